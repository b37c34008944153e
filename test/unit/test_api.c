/*
 * Tests of the HTTP server's requests that are sent ahead.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/memory.h"
#include "net/api_internal.h"

enum {
	REQUESTS = 2500, /* fewer bytes than may be sent ahead */
	/*
	 * Some handlers run below libuv's poll, whose frame has 12 KB.  One
	 * frame a request would take 300 KB.
	 */
	DEPTH_MAX_BYTES = 32 << 10,
	REPLIES_MAX = REQUESTS + 1,
	WATCHDOG_MS = 20000 /* stops a hung test */
};

struct fixture {
	uv_loop_t loop;
	uv_timer_t watchdog;
	struct api_server *server;
	uv_tcp_t client;
	uv_connect_t connect;
	uv_write_t write;
	struct str_buf requests;
	struct api_call *held; /* answered later */
	unsigned calls;
	uintptr_t lowest, highest; /* addresses on the stack of the handler */
	size_t received;
	size_t expected;
	char input[64 << 10];
	bool timed_out;
};

static void
on_watchdog(uv_timer_t *timer)
{
	struct fixture *f = timer->data;

	f->timed_out = true;
	uv_stop(&f->loop);
}

/*
 * Holds the first request back and answers all others at once.
 */
static void
on_call(void *ctx, struct api_call *call)
{
	struct fixture *f = ctx;
	uintptr_t here = (uintptr_t)&call;

	if (f->calls++ == 0) {
		f->held = call;
		return;
	}
	if (f->lowest == 0 || here < f->lowest)
		f->lowest = here;
	if (here > f->highest)
		f->highest = here;
	assert_true(str_equal_c(call->path, "/x"));
	assert_true(str_equal_c(call->query, "y=1"));
	api_reply(call, 200, "text/plain", str_of("z", 1));
}

static void
on_alloc(uv_handle_t *handle, size_t suggested ATTR_UNUSED, uv_buf_t *buf)
{
	struct fixture *f = handle->data;

	*buf = uv_buf_init(f->input, sizeof(f->input));
}

/*
 * Counts the answers by the ends of their heads.
 */
static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct fixture *f = stream->data;

	if (n < 0) {
		uv_stop(&f->loop);
		return;
	}
	for (ssize_t i = 0; i < n; i++)
		f->received += buf->base[i] == 'z';
	if (f->received == f->expected)
		uv_stop(&f->loop);
}

static void
on_written(uv_write_t *request, int status)
{
	struct fixture *f = request->data;

	assert_int_equal(status, 0);
	uv_read_start((uv_stream_t *)&f->client, on_alloc, on_read);
}

static void
on_connected(uv_connect_t *request, int status)
{
	struct fixture *f = request->data;
	uv_buf_t buf = uv_buf_init(f->requests.data, (unsigned)f->requests.len);

	assert_int_equal(status, 0);
	f->write.data = f;
	uv_write(&f->write, (uv_stream_t *)&f->client, &buf, 1, on_written);
}

static void
open_fixture(struct fixture *f)
{
	struct sockaddr_in at;
	int len = sizeof(at);

	memset(f, 0, sizeof(*f));
	uv_loop_init(&f->loop);
	uv_timer_init(&f->loop, &f->watchdog);
	f->watchdog.data = f;
	uv_timer_start(&f->watchdog, on_watchdog, WATCHDOG_MS, 0);
	f->server = api_listen(&f->loop, "127.0.0.1:0", 1 << 20, on_call, f);
	assert_non_null(f->server);
	assert_int_equal(
	    uv_tcp_getsockname(&f->server->tcp, (struct sockaddr *)&at, &len),
	    0);
	uv_tcp_init(&f->loop, &f->client);
	f->client.data = f;
	f->connect.data = f;
	assert_int_equal(uv_tcp_connect(&f->connect, &f->client,
			     (const struct sockaddr *)&at, on_connected),
	    0);
}

static void
close_handle(uv_handle_t *handle, void *ctx ATTR_UNUSED)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void
close_fixture(struct fixture *f)
{
	api_close(f->server);
	for (struct connection *c = f->server->first; c != NULL; c = c->next)
		api_connection_close(c);
	uv_walk(&f->loop, close_handle, NULL);
	while (uv_run(&f->loop, UV_RUN_NOWAIT) != 0)
		continue;
	uv_loop_close(&f->loop);
	mem_free(f->server);
	str_buf_free(&f->requests);
}

static bool
is_sent_ahead(const struct fixture *f)
{
	const struct connection *c = f->server->first;

	return f->held != NULL && c != NULL &&
	    c->pipelined_len >= f->requests.len / 2;
}

static void
requests_behind_a_slow_one_do_not_exhaust_the_stack(void **state ATTR_UNUSED)
{
	struct fixture f;

	open_fixture(&f);
	str_buf_append_c(
	    &f.requests, "PUT /slow HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
	for (int i = 0; i < REQUESTS; i++)
		str_buf_append_c(&f.requests, "GET /x?y=1 HTTP/1.1\r\n\r\n");
	f.expected = REPLIES_MAX;
	while (!is_sent_ahead(&f) && !f.timed_out)
		uv_run(&f.loop, UV_RUN_ONCE);
	assert_non_null(f.held);
	api_reply(f.held, 200, "text/plain", str_of("z", 1));
	uv_run(&f.loop, UV_RUN_DEFAULT);
	assert_false(f.timed_out);
	assert_int_equal(f.calls, REQUESTS + 1);
	assert_int_equal(f.received, f.expected);
	assert_true(f.highest - f.lowest < DEPTH_MAX_BYTES);
	close_fixture(&f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		requests_behind_a_slow_one_do_not_exhaust_the_stack),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
