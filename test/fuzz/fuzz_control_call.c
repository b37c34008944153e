/*
 * Fuzz target for the requests of the control port: whatever the pieces in
 * which input arrives, the same requests are dispatched.
 */
#include "mutate.h"

#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"
#include "net/api_internal.h"

enum {
	BODY_MAX_BYTES = 64,
	MEMORY_BYTES = 8 << 20, /* its bounds are far below the defaults */
	CONNECTIONS_MAX = 1,
	INPUT_MAX_BYTES = 32 << 10
};

static const char *const seed_texts[] = {
    "GET /config HTTP/1.1\r\nHost: c\r\n\r\n"
    "PUT /config HTTP/1.1\r\nIf-Match: 5\r\nContent-Length: 2\r\n\r\n{}"
    "GET /resolve?name=a.example&region=r&zone=z HTTP/1.1\r\n\r\n",
    "PUT /instances/i-1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;a=b\r\n{\"a\":\r\n3\r\n12}\r\n0\r\nX-Y: z\r\n\r\n"
    "DELETE /instances/i-1 HTTP/1.0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
    "GET /metrics? HTTP/1.1\r\nConnection: close, Upgrade\r\n"
    "Upgrade: h2c\r\nIF-MATCH: 1\r\nIf-Match:  2 \r\n\r\nrest",
    "POST /x HTTP/1.1\r\nContent-Length: 65\r\n\r\n"
    "0123456789012345678901234567890123456789012345678901234567890123456789",
};

/* The requests of one input. */
struct trace {
	struct api_call *pending;
	struct str_buf text;
	size_t calls;
};

static void
on_call(void *ctx, struct api_call *call)
{
	struct trace *trace = ctx;

	INVARIANT(trace->pending == NULL, "one request at a time");
	INVARIANT(call->body.len <= BODY_MAX_BYTES, "the body is bounded");
	INVARIANT(call->path.len == 0 ||
		memchr(call->path.data, '?', call->path.len) == NULL,
	    "the path has no query");
	trace->pending = call;
	trace->calls++;
	str_buf_printf(&trace->text, "%.*s %.*s %.*s %.*s ",
	    STR_ARG(call->method), STR_ARG(call->path), STR_ARG(call->query),
	    STR_ARG(call->if_match));
	str_buf_append(&trace->text, call->body);
	str_buf_append_c(&trace->text, "\n");
}

/*
 * Ends the requests that are processed, as a reply does.
 */
static void
end_requests(struct connection *c, struct trace *trace)
{
	while (trace->pending != NULL) {
		struct exchange *e = (struct exchange *)trace->pending;

		trace->pending = NULL;
		api_exchange_free(e);
		if (!c->closing)
			api_resume(c);
	}
}

/*
 * Feeds input in two pieces.
 */
static void
feed(uv_loop_t *loop, const char *data, size_t len, size_t cut,
    struct trace *trace)
{
	struct api_server server = {
	    .loop = loop,
	    .body_max_bytes = BODY_MAX_BYTES,
	    .handler = on_call,
	    .ctx = trace,
	};
	struct connection *c = mem_calloc(1, sizeof(*c));
	enum connection_limit limit;

	c->server = &server;
	server.first = c;
	uv_tcp_init(loop, &c->tcp);
	uv_timer_init(loop, &c->timer);
	c->open_handles = 2;
	c->tcp.data = c->timer.data = c;
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	api_limit_add_server(&server);
	INVARIANT(api_limit_add_connection(c, &limit),
	    "there is room for a connection");
	api_parse_input(c, data, cut);
	end_requests(c, trace);
	if (!c->closing && !c->lingering)
		api_parse_input(c, data + cut, len - cut);
	end_requests(c, trace);
	api_connection_close(c);
	while (uv_run(loop, UV_RUN_NOWAIT) != 0)
		continue;
	api_limit_remove_server(&server);
	INVARIANT(server.first == NULL, "the connection is freed");
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	const char *text = (const char *)data;
	struct trace whole = {0};
	uv_loop_t loop;

	if (len > INPUT_MAX_BYTES)
		return 0;
	api_set_limits("fuzz", MEMORY_BYTES, CONNECTIONS_MAX, 0);
	uv_loop_init(&loop);
	feed(&loop, text, len, len, &whole);
	for (size_t cut = 0; cut < len; cut += 1 + len / 16) {
		struct trace pieces = {0};

		feed(&loop, text, len, cut, &pieces);
		INVARIANT(pieces.calls == whole.calls &&
			str_equal(str_buf_view(&pieces.text),
			    str_buf_view(&whole.text)),
		    "pieces of input make the same requests");
		str_buf_free(&pieces.text);
	}
	str_buf_free(&whole.text);
	INVARIANT(uv_loop_close(&loop) == 0, "nothing is open");
	return 0;
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	size_t count = sizeof(seed_texts) / sizeof(seed_texts[0]);

	for (size_t i = 0; i < count && i < max; i++)
		seeds[i] = (struct fuzz_seed){
		    (const uint8_t *)seed_texts[i], strlen(seed_texts[i])};
	return count < max ? count : max;
}
