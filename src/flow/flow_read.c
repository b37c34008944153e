#include <string.h>

#include "flow/flow_internal.h"

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

/*
 * Answers an invalid request and stops reading.
 */
int
caller_fail(struct caller *caller, int status, const char *reason)
{
	return caller_end(caller, status, 0, reason);
}

/*
 * As caller_fail(), with the time after which the caller may try again.
 */
int
caller_end(struct caller *caller, int status, uint64_t retry_after_us,
    const char *reason)
{
	struct exchange *x = caller->reading;

	memory_stop_waiting(caller);
	caller->reading = NULL;
	caller->no_more_requests = true;
	if (x == NULL)
		x = exchange_new(caller);
	x->close_after = true;
	g_queue_push_tail(&caller->exchanges, x);
	answer_error(x, status, retry_after_us, reason);
	/* Returning 1 would tell the parser that the message has no body. */
	return -1;
}

static int
on_begin(http_parser *parser)
{
	struct caller *caller = parser->data;

	caller->reading = exchange_new(caller);
	caller->head_started_ms = uv_now(caller->flow->loop);
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
	if (!head_append_name(&caller->reading->head, str_of(at, len)))
		return caller_fail(caller, 431, "too many header fields");
	return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct caller *caller = parser->data;

	if (caller->in_body)
		return 0;
	if (!head_append_value(&caller->reading->head, str_of(at, len)))
		return caller_fail(caller, 431, "too many header fields");
	return 0;
}

/*
 * Returns why a request is ambiguous, so that another parser could read it in
 * another way; NULL if it is not.
 */
static const char *
find_ambiguity(const http_parser *parser, const struct head *head)
{
	struct str coding = head_find(head, "Transfer-Encoding");

	if (head_has_space_in_name(head))
		return "a field name has a space";
	if (!head_coding_is_chunked(head))
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

/*
 * Asks a caller for the body that it holds back.  An interim answer has its
 * turn behind the answers to earlier requests.
 */
void
caller_continue(struct caller *caller)
{
	struct exchange *x = caller->reading;

	if (x == NULL || !x->expects_continue || caller->exchanges.length > 0 ||
	    caller->awaits_memory)
		return;
	x->expects_continue = false;
	caller_write(caller, STR_LITERAL("HTTP/1.1 100 Continue\r\n\r\n"));
}

static int
on_head(http_parser *parser)
{
	struct caller *caller = parser->data;
	struct exchange *x = caller->reading;
	const struct routes *routes = caller->flow->routes;
	const char *reason = find_ambiguity(parser, &x->head);
	struct str expect = head_find(&x->head, "Expect");
	bool known = parser->content_length != UINT64_MAX;

	if (reason != NULL || parser->upgrade)
		return caller_fail(
		    caller, 400, reason != NULL ? reason : "upgrade");
	if (routes != NULL && known &&
	    parser->content_length > routes->limits.max_body_bytes)
		return caller_fail(caller, 413, "the body is too long");
	memory_track_head(x);
	caller->in_body = true;
	request_scan_body(&caller->scan, (parser->flags & F_CHUNKED) != 0);
	x->method = (enum http_method)parser->method;
	x->keep_alive = http_should_keep_alive(parser) != 0;
	x->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
	x->expects_continue = expect.data != NULL &&
	    expect.len == strlen("100-continue") && !x->http_1_0;
	if (known &&
	    parser->content_length > caller->flow->memory.body_max_bytes)
		return memory_refuse_body(caller);
	if (!known || memory_begin_body(caller, (size_t)parser->content_length))
		caller_continue(caller);
	return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct caller *caller = parser->data;
	const struct routes *routes = caller->flow->routes;
	uint64_t max = routes != NULL ? routes->limits.max_body_bytes : 1 << 20;
	size_t len_after;

	caller->reading->expects_continue = false;
	len_after = body_len(caller->reading->body) + len;
	if (len_after > max)
		return caller_fail(caller, 413, "the body is too long");
	if (len_after > caller->flow->memory.body_max_bytes ||
	    !memory_append_body(caller, str_of(at, len)))
		return memory_refuse_body(caller);
	return 0;
}

static int
on_complete(http_parser *parser)
{
	struct caller *caller = parser->data;
	struct exchange *x = caller->reading;

	memory_stop_waiting(caller);
	caller->reading = NULL;
	caller->in_body = false;
	caller->head_started_ms = 0;
	caller->scan = (struct request_scan){0};
	if (!x->keep_alive || caller->flow->stopping) {
		caller->no_more_requests = true;
		x->close_after = true;
	}
	caller->served = true;
	caller->turn_requests++;
	g_queue_push_tail(&caller->exchanges, x);
	exchange_begin(x);
	if (caller->no_more_requests || caller->closing)
		return 1;
	/* The next head is scanned before it is parsed. */
	http_parser_pause(parser, 1);
	return 0;
}

/*
 * Parses input up to the end of a request; returns how much it has used.
 */
static size_t
parse(struct caller *caller, const char *data, size_t len)
{
	size_t used =
	    http_parser_execute(&caller->parser, &parser_settings, data, len);

	if (HTTP_PARSER_ERRNO(&caller->parser) == HPE_PAUSED)
		http_parser_pause(&caller->parser, 0);
	else if (!caller->closing && !caller->no_more_requests &&
	    HTTP_PARSER_ERRNO(&caller->parser) != HPE_OK)
		(void)caller_fail(caller, 400,
		    http_errno_description(HTTP_PARSER_ERRNO(&caller->parser)));
	return used;
}

/*
 * Parses input of a caller.  Each part of a request is scanned first, so that
 * it can be checked before the parser accepts it.
 */
void
caller_parse(struct caller *caller, const char *data, size_t len)
{
	caller->parsing = true;
	while (len > 0 && !caller->closing && !caller->no_more_requests) {
		const struct routes *routes = caller->flow->routes;
		ssize_t piece;
		size_t used;

		if (caller->reading == NULL && limit_must_hold(caller)) {
			limit_hold(caller, str_of(data, len));
			break;
		}
		piece = request_scan(&caller->scan, data, len);
		if (piece < 0) {
			(void)caller_fail(caller, 400,
			    caller->in_body ? "malformed chunk"
					    : "malformed line end");
			break;
		}
		if (routes != NULL &&
		    caller->scan.head_bytes > routes->limits.max_header_bytes) {
			(void)caller_fail(
			    caller, 431, "the header is too long");
			break;
		}
		used = parse(caller, data, (size_t)piece);
		if (caller->reading != NULL)
			memory_track_head(caller->reading);
		if (used == 0)
			break;
		data += used;
		len -= used;
	}
	caller->parsing = false;
}
