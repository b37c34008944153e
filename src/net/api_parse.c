/*
 * Requests of the HTTP server: parsing, and input that arrives too early.
 */
#include <string.h>
#include <strings.h>

#include "base/memory.h"
#include "net/api_internal.h"

enum {
	/* Input received while a request is being processed. */
	PIPELINED_MAX_BYTES = 16 << 10,
	HEADER_MAX_BYTES = 8 << 10 /* request target and headers */
};

void
api_exchange_free(struct exchange *e)
{
	str_buf_free(&e->target);
	str_buf_free(&e->body);
	str_buf_free(&e->if_match);
	mem_free(e);
}

static int
on_begin(http_parser *parser)
{
	struct connection *c = parser->data;

	c->request_ms = uv_now(c->server->loop);
	c->exchange = mem_calloc(1, sizeof(*c->exchange));
	c->exchange->connection = c;
	return 0;
}

/*
 * Adds to the size of the request target and headers; returns false above
 * HEADER_MAX_BYTES, which closes the connection.
 */
static bool
count_header_bytes(struct exchange *e, size_t len)
{
	e->header_bytes += len;
	return e->header_bytes <= HEADER_MAX_BYTES;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
	struct exchange *e = ((struct connection *)parser->data)->exchange;

	if (!count_header_bytes(e, len))
		return 1;
	str_buf_append(&e->target, str_of(at, len));
	return 0;
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
	struct exchange *e = ((struct connection *)parser->data)->exchange;

	if (!count_header_bytes(e, len))
		return 1;
	if (e->in_value)
		e->field_len = 0;
	e->in_value = false;
	if (len > sizeof(e->field) - e->field_len)
		len = sizeof(e->field) - e->field_len;
	memcpy(e->field + e->field_len, at, len);
	e->field_len += len;
	return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	static const char wanted[] = "if-match";
	struct exchange *e = ((struct connection *)parser->data)->exchange;

	if (!count_header_bytes(e, len))
		return 1;
	e->in_value = true;
	if (e->field_len == sizeof(wanted) - 1 &&
	    strncasecmp(e->field, wanted, e->field_len) == 0)
		str_buf_append(&e->if_match, str_of(at, len));
	return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct connection *c = parser->data;

	if (c->exchange->body.len + len > c->server->body_max_bytes)
		return 1;
	str_buf_append(&c->exchange->body, str_of(at, len));
	return 0;
}

static int
on_complete(http_parser *parser)
{
	struct connection *c = parser->data;

	c->served = true;
	c->exchange->keep_alive = http_should_keep_alive(parser) != 0;
	/* No other protocol is offered: what follows is the next request. */
	parser->upgrade = 0;
	c->paused = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/*
 * Passes a complete request to the server's handler.
 */
static void
dispatch_request(struct connection *c)
{
	struct exchange *e = c->exchange;
	struct str target = str_buf_view(&e->target);

	(void)str_split(&target, '?', &e->call.path);
	e->call.query = target.data != NULL ? target : str_of("", 0);
	e->call.method =
	    str_from(http_method_str((enum http_method)c->parser.method));
	e->call.body = str_buf_view(&e->body);
	e->call.if_match = str_buf_view(&e->if_match);
	e->call.since_us = c->since_us;
	e->call.speaker = &c->speaker;
	c->server->handler(c->server->ctx, &e->call);
}

/*
 * Saves input that arrives while a request is being processed or answers wait
 * to be read.  From PIPELINED_MAX_BYTES on no more is read until then.
 */
static void
save_pipelined(struct connection *c, const char *data, size_t len)
{
	if (c->blocked || c->pipelined_len + len >= PIPELINED_MAX_BYTES)
		uv_read_stop((uv_stream_t *)&c->tcp);
	c->pipelined = mem_resize(c->pipelined, c->pipelined_len + len);
	memcpy(c->pipelined + c->pipelined_len, data, len);
	c->pipelined_len += len;
}

/*
 * Parses input and dispatches its requests, one after the other, as long as
 * they are answered at once.  The input after one that isn't is saved until the
 * reply has been sent.
 */
static void
parse(struct connection *c, const char *data, size_t len)
{
	c->parsing = true;
	while (len > 0 && !c->paused && !c->closing && !c->lingering &&
	    !c->blocked) {
		size_t used = http_parser_execute(
		    &c->parser, &parser_settings, data, len);

		data += used;
		len -= used;
		if (c->paused) {
			dispatch_request(c);
			c->blocked = api_limit_must_wait(c);
		} else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
			/* Earlier answers may still be on their way. */
			api_connection_linger(c);
		}
	}
	c->parsing = false;
	if (len > 0 && !c->closing && !c->lingering)
		save_pipelined(c, data, len);
}

/*
 * Processes input of a connection, or saves it while a request is being
 * processed.
 */
void
api_parse_input(struct connection *c, const char *data, size_t len)
{
	if (c->paused || c->blocked)
		save_pipelined(c, data, len);
	else
		parse(c, data, len);
}

/*
 * Resumes parsing with the input saved during the last request.  If the reply
 * was sent within the handler, parse() goes on by itself: the depth of calls
 * must not grow with the number of requests that a caller sends ahead.
 */
void
api_resume(struct connection *c)
{
	char *pipelined = c->pipelined;
	size_t len = c->pipelined_len;

	c->exchange = NULL;
	c->paused = false;
	http_parser_pause(&c->parser, 0);
	if (c->parsing)
		return;
	c->blocked = api_limit_must_wait(c);
	if (c->blocked) {
		uv_read_stop((uv_stream_t *)&c->tcp);
		return;
	}
	c->pipelined = NULL;
	c->pipelined_len = 0;
	api_connection_read(c);
	parse(c, pipelined, len);
	mem_free(pipelined);
}

/*
 * Resumes parsing when enough of the answers has been read.
 */
void
api_unblock(struct connection *c)
{
	if (!c->blocked || c->closing || c->lingering || c->parsing ||
	    !api_limit_may_resume(c))
		return;
	c->blocked = false;
	if (!c->paused)
		api_resume(c);
}
