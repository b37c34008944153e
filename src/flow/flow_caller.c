#include <string.h>
#include <strings.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	SILENCE_MS =
	    3000, /* of a caller's host, before its socket is given up */
	LINGER_MS = 1000, /* callers allow a second for a new connection */
	SWEEP_MS = 100,
	OUTPUT_MAX_BYTES = 512 << 10, /* unread by the caller */
	/* Callers stop using addresses after three times an answer's time. */
	LISTEN_ON_MS = 3500,
	CLOSE_IDLE_MS = 2500, /* more than an answer to a lookup is kept */
	CLOSE_ALL_MS = 4500,
	END_MS = 5500, /* half a second before the least grace, 6 s */
	SPARE_DESCRIPTORS = 700 /* files, targets' and other connections */
};

struct write {
	uv_write_t request;
	struct caller *caller;
	char bytes[];
};

static int on_begin(http_parser *parser);
static int on_url(http_parser *parser, const char *at, size_t len);
static int on_field(http_parser *parser, const char *at, size_t len);
static int on_value(http_parser *parser, const char *at, size_t len);
static int on_head(http_parser *parser);
static int on_body(http_parser *parser, const char *at, size_t len);
static int on_complete(http_parser *parser);

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void
on_closed(uv_handle_t *handle)
{
	mem_free(handle->data);
}

/*
 * Closes a connection; work for requests in hand ends.
 */
void
caller_close(struct caller *caller)
{
	struct exchange *x;

	if (caller->closing)
		return;
	caller->closing = true;
	if (caller->reading != NULL)
		exchange_free(caller->reading);
	caller->reading = NULL;
	while ((x = g_queue_pop_head(&caller->exchanges)) != NULL)
		exchange_abandon(x);
	g_queue_unlink(&caller->flow->callers, &caller->link);
	uv_close((uv_handle_t *)&caller->tcp, on_closed);
}

static void
on_written(uv_write_t *request, int status)
{
	struct write *write = (struct write *)request;
	struct caller *caller = write->caller;

	mem_free(write);
	caller->writes--;
	if (caller->closing)
		return;
	if (status != 0) {
		caller_close(caller);
		return;
	}
	caller->active_ms = uv_now(caller->flow->loop);
	caller_flush(caller);
}

/*
 * Writes bytes, at once as far as the socket takes them.
 */
static void
put(struct caller *caller, struct str bytes)
{
	uv_buf_t buf = uv_buf_init((char *)bytes.data, (unsigned)bytes.len);
	struct write *write;
	int n = caller->writes == 0
	    ? uv_try_write((uv_stream_t *)&caller->tcp, &buf, 1)
	    : 0;

	if (n > 0)
		bytes = str_of(bytes.data + n, bytes.len - (size_t)n);
	if (bytes.len == 0)
		return;
	write = mem_alloc(sizeof(*write) + bytes.len);
	write->caller = caller;
	memcpy(write->bytes, bytes.data, bytes.len);
	buf = uv_buf_init(write->bytes, (unsigned)bytes.len);
	if (uv_write(&write->request, (uv_stream_t *)&caller->tcp, &buf, 1,
		on_written) != 0)
		mem_free(write);
	else
		caller->writes++;
}

static void
on_shutdown(uv_shutdown_t *request, int status ATTR_UNUSED)
{
	mem_free(request);
}

/*
 * Ends a connection after its last answer: the sending side first, so that
 * what the caller still sends does not reset the answer away.
 */
static void
linger(struct caller *caller)
{
	uv_shutdown_t *request;

	if (caller->lingering)
		return;
	caller->lingering = true;
	caller->active_ms = uv_now(caller->flow->loop);
	request = mem_calloc(1, sizeof(*request));
	if (uv_shutdown(request, (uv_stream_t *)&caller->tcp, on_shutdown) !=
	    0) {
		mem_free(request);
		caller_close(caller);
	}
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

static void
on_alloc(uv_handle_t *handle, size_t suggested ATTR_UNUSED, uv_buf_t *buf)
{
	struct caller *caller = handle->data;

	*buf = uv_buf_init(caller->flow->input, READ_BYTES);
}

/*
 * Reads on once there is room again.
 */
static void
resume(struct caller *caller)
{
	if (!caller->paused || caller->closing ||
	    caller->exchanges.length >= PIPELINE_MAX / 2)
		return;
	caller->paused = false;
	uv_read_start((uv_stream_t *)&caller->tcp, on_alloc, on_read);
}

/*
 * Writes what is ready of the answers, in the order of the requests.
 */
void
caller_flush(struct caller *caller)
{
	while (!caller->closing && caller->exchanges.length > 0) {
		struct exchange *x = g_queue_peek_head(&caller->exchanges);
		bool last;

		if (x->out.len > 0) {
			put(caller, str_buf_view(&x->out));
			str_buf_clear(&x->out);
			caller->active_ms = uv_now(caller->flow->loop);
		}
		for (unsigned i = 0; i < x->attempt_count; i++) {
			if (x->streaming && x->attempts[i].upstream != NULL)
				upstream_pause(x->attempts[i].upstream,
				    uv_stream_get_write_queue_size(
					(uv_stream_t *)&caller->tcp) >
					OUTPUT_MAX_BYTES);
		}
		if (!x->ended)
			return;
		last = x->close_after;
		(void)g_queue_pop_head(&caller->exchanges);
		x->caller = NULL;
		exchange_free(x);
		if (last) {
			caller->final = true;
			while (
			    (x = g_queue_pop_head(&caller->exchanges)) != NULL)
				exchange_abandon(x);
		}
	}
	if (caller->closing)
		return;
	if (caller->final && caller->exchanges.length == 0)
		linger(caller);
	else
		resume(caller);
}

/*
 * Answers a request that can't be read, and reads no more.
 */
static int
fail_reading(struct caller *caller, int status, const char *reason)
{
	struct exchange *x = caller->reading;

	caller->reading = NULL;
	caller->final = true;
	if (x == NULL)
		x = exchange_new(caller);
	x->close_after = true;
	g_queue_push_tail(&caller->exchanges, x);
	answer_own(x, status, 0, reason);
	/* 1 would tell the parser that a head has no body. */
	return -1;
}

static int
on_begin(http_parser *parser)
{
	struct caller *caller = parser->data;

	caller->reading = exchange_new(caller);
	return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
	struct caller *caller = parser->data;

	str_buf_append(&caller->reading->target, str_of(at, len));
	return 0;
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
	struct caller *caller = parser->data;

	/* Trailers of a chunked body are not forwarded. */
	if (caller->in_body)
		return 0;
	if (!head_name(&caller->reading->head, str_of(at, len)))
		return fail_reading(caller, 431, "too many header fields");
	return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct caller *caller = parser->data;

	if (caller->in_body)
		return 0;
	if (!head_value(&caller->reading->head, str_of(at, len)))
		return fail_reading(caller, 431, "too many header fields");
	return 0;
}

/*
 * Refuses what two parsers could read in two ways.
 */
static const char *
ambiguity(const http_parser *parser, const struct head *head)
{
	struct str coding = head_find(head, "Transfer-Encoding");

	if (coding.data != NULL &&
	    (head_count(head, "Transfer-Encoding") > 1 ||
		coding.len != strlen("chunked") ||
		strncasecmp(coding.data, "chunked", coding.len) != 0))
		return "transfer coding is not chunked";
	if (coding.data != NULL &&
	    head_find(head, "Content-Length").data != NULL)
		return "both a length and a transfer coding";
	if (coding.data != NULL && parser->http_minor == 0)
		return "transfer coding in HTTP/1.0";
	if (head_count(head, "Content-Length") > 1)
		return "two lengths";
	if (head_count(head, "Host") != 1 && parser->http_minor > 0)
		return "not one Host";
	return NULL;
}

static int
on_head(http_parser *parser)
{
	struct caller *caller = parser->data;
	struct exchange *x = caller->reading;
	const struct routes *routes = caller->flow->routes;
	const char *reason = ambiguity(parser, &x->head);
	struct str expect = head_find(&x->head, "Expect");

	if (reason != NULL || parser->upgrade)
		return fail_reading(
		    caller, 400, reason != NULL ? reason : "upgrade");
	if (routes != NULL && parser->content_length != UINT64_MAX &&
	    parser->content_length > routes->limits.max_body_bytes)
		return fail_reading(caller, 413, "the body is too long");
	caller->in_body = true;
	x->method = (enum http_method)parser->method;
	x->keep_alive = http_should_keep_alive(parser) != 0;
	x->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
	if (expect.data != NULL && expect.len == strlen("100-continue") &&
	    caller->exchanges.length == 0)
		put(caller, STR_LITERAL("HTTP/1.1 100 Continue\r\n\r\n"));
	return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct caller *caller = parser->data;
	const struct routes *routes = caller->flow->routes;
	uint64_t max = routes != NULL ? routes->limits.max_body_bytes : 1 << 20;

	/* A quarter of the memory is all that one body may take. */
	if (max > caller->flow->settings.memory_bytes / 4)
		max = caller->flow->settings.memory_bytes / 4;
	if (caller->reading->body.len + len > max)
		return fail_reading(caller, 413, "the body is too long");
	str_buf_append(&caller->reading->body, str_of(at, len));
	return 0;
}

static int
on_complete(http_parser *parser)
{
	struct caller *caller = parser->data;
	struct exchange *x = caller->reading;

	caller->reading = NULL;
	caller->in_body = false;
	caller->head_since_ms = 0;
	caller->head_bytes = 0;
	memset(caller->tail, 0, sizeof(caller->tail));
	if (!x->keep_alive || caller->flow->stopping) {
		caller->final = true;
		x->close_after = true;
	}
	g_queue_push_tail(&caller->exchanges, x);
	exchange_begin(x);
	return caller->final || caller->closing ? 1 : 0;
}

/*
 * Returns how many bytes belong to the head being read, -1 for a line that
 * ends without a carriage return or is folded: the parser takes both, other
 * servers may not.
 */
static ssize_t
scan_head(struct caller *caller, const char *data, size_t len)
{
	char *tail = caller->tail;

	for (size_t i = 0; i < len; i++) {
		char c = data[i];

		if (c == '\n' && tail[2] != '\r')
			return -1;
		if ((c == ' ' || c == '\t') && tail[2] == '\n')
			return -1;
		if (c == '\n' && tail[1] == '\n' && tail[0] == '\r')
			return (ssize_t)(i + 1);
		/* An empty line before a request is skipped by the parser. */
		tail[0] = tail[1];
		tail[1] = tail[2];
		tail[2] = c;
	}
	return (ssize_t)len;
}

static size_t
parse(struct caller *caller, const char *data, size_t len)
{
	size_t used =
	    http_parser_execute(&caller->parser, &parser_settings, data, len);

	if (!caller->closing && !caller->final &&
	    HTTP_PARSER_ERRNO(&caller->parser) != HPE_OK)
		(void)fail_reading(caller, 400,
		    http_errno_description(HTTP_PARSER_ERRNO(&caller->parser)));
	return used;
}

/*
 * Parses bytes: heads apart from bodies, so that a head can be looked at
 * before the parser takes it.
 */
static void
feed(struct caller *caller, const char *data, size_t len)
{
	while (len > 0 && !caller->closing && !caller->final) {
		size_t piece = len;
		size_t used;

		if (!caller->in_body) {
			const struct routes *routes = caller->flow->routes;
			ssize_t head = scan_head(caller, data, len);

			if (caller->head_since_ms == 0)
				caller->head_since_ms =
				    uv_now(caller->flow->loop);
			if (head < 0) {
				(void)fail_reading(
				    caller, 400, "malformed line end");
				break;
			}
			piece = (size_t)head;
			caller->head_bytes += piece;
			if (routes != NULL &&
			    caller->head_bytes >
				routes->limits.max_header_bytes) {
				(void)fail_reading(
				    caller, 431, "the header is too long");
				break;
			}
		}
		used = parse(caller, data, piece);
		if (caller->closing || caller->final ||
		    (used < piece && used == 0))
			break;
		data += used;
		len -= used;
	}
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct caller *caller = stream->data;

	if (n < 0) {
		caller_close(caller);
		return;
	}
	if (n == 0 || caller->final)
		return;
	caller->active_ms = uv_now(caller->flow->loop);
	feed(caller, buf->base, (size_t)n);
	if (caller->closing)
		return;
	if (caller->exchanges.length >= PIPELINE_MAX && !caller->paused) {
		caller->paused = true;
		uv_read_stop(stream);
	}
	caller_flush(caller);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct flow *flow = listener->data;
	struct caller *caller;

	if (status != 0) {
		log_warn("accept_failed", "instance=%s reason=\"%s\"",
		    flow->settings.instance, uv_strerror(status));
		return;
	}
	caller = mem_calloc(1, sizeof(*caller));
	caller->flow = flow;
	uv_tcp_init(flow->loop, &caller->tcp);
	caller->tcp.data = caller;
	caller->link.data = caller;
	caller->active_ms = uv_now(flow->loop);
	http_parser_init(&caller->parser, HTTP_REQUEST);
	caller->parser.data = caller;
	g_queue_init(&caller->exchanges);
	g_queue_push_tail_link(&flow->callers, &caller->link);
	if (uv_accept(listener, (uv_stream_t *)&caller->tcp) != 0 ||
	    flow->callers.length + SPARE_DESCRIPTORS >
		flow->settings.descriptors) {
		caller_close(caller);
		return;
	}
	address_tune(&caller->tcp, SILENCE_MS);
	uv_read_start((uv_stream_t *)&caller->tcp, on_alloc, on_read);
}

/*
 * Returns how long a connection may be idle.  During a stop a request may be
 * on its way on any of them: callers leave by themselves once the entry is
 * no longer named, and only what they have left is closed.
 */
static uint64_t
idle_limit_ms(const struct flow *flow, uint64_t now_ms)
{
	if (!flow->stopping)
		return flow->routes->limits.idle_timeout_ms;
	return now_ms - flow->stopping_ms > CLOSE_ALL_MS ? 0 : CLOSE_IDLE_MS;
}

/*
 * Looks after a connection's times: of its head, between requests, and after
 * its last answer.
 */
static void
sweep_caller(struct caller *caller, uint64_t now_ms)
{
	const struct flow *flow = caller->flow;
	const struct routes *routes = flow->routes;
	uint64_t idle_ms = now_ms - caller->active_ms;
	bool idle = caller->exchanges.length == 0 && caller->reading == NULL &&
	    caller->head_since_ms == 0 && caller->writes == 0;

	if (caller->lingering) {
		if (idle_ms > LINGER_MS)
			caller_close(caller);
		return;
	}
	if (routes == NULL)
		return;
	if (idle && idle_ms > idle_limit_ms(flow, now_ms) &&
	    !address_has_input(&caller->tcp)) {
		/* Nothing is in hand: a request that crosses is not read. */
		caller->final = true;
		linger(caller);
		return;
	}
	if (caller->head_since_ms != 0 && !caller->final && !caller->in_body &&
	    !caller->paused &&
	    now_ms - caller->head_since_ms > routes->limits.header_timeout_ms) {
		(void)fail_reading(caller, 408, "the header took too long");
		caller_flush(caller);
	}
}

/*
 * Looks after all connections, and ends the process once a stop is over.
 */
void
callers_sweep(struct flow *flow)
{
	uint64_t now = uv_now(flow->loop);
	GList *next;

	for (GList *l = flow->callers.head; l != NULL; l = next) {
		next = l->next;
		sweep_caller(l->data, now);
	}
	if (!flow->stopping || flow->stopped == NULL)
		return;
	if (flow->listening && now - flow->stopping_ms >= LISTEN_ON_MS) {
		flow->listening = false;
		uv_close((uv_handle_t *)&flow->listener, NULL);
	}
	if (!flow->listening &&
	    (flow->callers.length == 0 || now - flow->stopping_ms > END_MS)) {
		flow->stopped(flow->stopped_ctx);
		flow->stopped = NULL;
	}
}

static void
on_sweep(uv_timer_t *timer)
{
	struct flow *flow = timer->data;

	callers_sweep(flow);
	targets_sweep(flow);
	fleet_tick(flow);
}

/*
 * Starts to take connections of callers.
 */
enum status
callers_open(struct flow *flow)
{
	struct sockaddr_in at;
	int error = UV_EINVAL;

	g_queue_init(&flow->callers);
	uv_tcp_init(flow->loop, &flow->listener);
	flow->listener.data = flow;
	if (address_parse(flow->settings.caller_address, &at))
		error = uv_tcp_bind(
		    &flow->listener, (const struct sockaddr *)&at, 0);
	if (error == 0)
		error = uv_listen(
		    (uv_stream_t *)&flow->listener, SOMAXCONN, on_connection);
	if (error != 0)
		return status_set(STATUS_IO, "%s: %s",
		    flow->settings.caller_address, uv_strerror(error));
	flow->listening = true;
	uv_timer_init(flow->loop, &flow->sweep);
	flow->sweep.data = flow;
	uv_timer_start(&flow->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	return STATUS_OK;
}

/*
 * Lets callers go: each answer from now on ends its connection.
 */
void
callers_stop(struct flow *flow)
{
	for (GList *l = flow->callers.head; l != NULL; l = l->next) {
		struct caller *caller = l->data;
		struct exchange *last = g_queue_peek_tail(&caller->exchanges);

		/* What is half read is read on, and closes then. */
		if (caller->reading != NULL || last == NULL)
			continue;
		last->close_after = true;
		caller->final = true;
	}
}
