#include "net/api.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <http_parser.h>

#include "base/logger.h"
#include "base/memory.h"
#include "net/address.h"

enum {
	READ_BYTES = 16 << 10,
	/* Input received while a request is being processed. */
	PIPELINED_MAX_BYTES = 64 << 10,
	HEADER_MAX_BYTES = 8 << 10, /* request target and headers */
	CONNECTIONS_MAX = 1024, /* a quarter of 4,100 file descriptors */
	IDLE_TIMEOUT_MS = 30 * 1000, /* callers poll every 1.5 s at most */
	TCP_USER_TIMEOUT_MS = 2000
};

struct api_server {
	uv_tcp_t tcp;
	uv_loop_t *loop;
	size_t body_max_bytes;
	api_handler *handler;
	void *ctx;
	unsigned connections;
	bool closing;
};

struct connection {
	uv_tcp_t tcp;
	uv_timer_t timer;
	unsigned open_handles;
	struct api_server *server;
	http_parser parser;
	struct exchange *exchange; /* being received or answered */
	bool paused; /* a request is being processed */
	bool closing;
	char *pipelined; /* input received after the current request */
	size_t pipelined_len;
	char input[READ_BYTES];
};

struct exchange {
	struct api_call call; /* first member: api_reply() casts back */
	struct connection *connection; /* NULL once closed */
	struct str_buf target;
	struct str_buf body;
	struct str_buf if_match;
	char field[64];
	size_t field_len;
	size_t header_bytes;
	bool in_value;
	bool keep_alive;
};

struct write {
	uv_write_t request;
	struct connection *connection;
	bool close_after;
	char bytes[];
};

static void parse_input(struct connection *c, const char *data, size_t len);

static void
exchange_free(struct exchange *e)
{
	str_buf_free(&e->target);
	str_buf_free(&e->body);
	str_buf_free(&e->if_match);
	mem_free(e);
}

static void
on_handle_closed(uv_handle_t *handle)
{
	struct connection *c = handle->data;

	if (--c->open_handles > 0)
		return;
	c->server->connections--;
	mem_free(c->pipelined);
	mem_free(c);
}

/*
 * Closes a connection.  A request that is being processed stays allocated
 * until api_reply().
 */
static void
close_connection(struct connection *c)
{
	if (c->closing)
		return;
	c->closing = true;
	if (c->exchange != NULL) {
		if (c->paused)
			c->exchange->connection = NULL;
		else
			exchange_free(c->exchange);
		c->exchange = NULL;
	}
	uv_close((uv_handle_t *)&c->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&c->timer, on_handle_closed);
}

static int
on_begin(http_parser *parser)
{
	struct connection *c = parser->data;

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

	c->exchange->keep_alive = http_should_keep_alive(parser) != 0;
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
	c->server->handler(c->server->ctx, &e->call);
}

/*
 * Saves input that arrives while a request is being processed.  Closes the
 * connection above PIPELINED_MAX_BYTES.
 */
static void
save_pipelined(struct connection *c, const char *data, size_t len)
{
	if (c->pipelined_len + len > PIPELINED_MAX_BYTES) {
		close_connection(c);
		return;
	}
	c->pipelined = mem_resize(c->pipelined, c->pipelined_len + len);
	memcpy(c->pipelined + c->pipelined_len, data, len);
	c->pipelined_len += len;
}

/*
 * Parses input up to the end of a request and dispatches the request.  The
 * input after it is saved until the reply has been sent.
 */
static void
parse_input(struct connection *c, const char *data, size_t len)
{
	size_t used;

	if (c->paused) {
		save_pipelined(c, data, len);
		return;
	}
	used = http_parser_execute(&c->parser, &parser_settings, data, len);
	if (c->paused) {
		if (used < len)
			save_pipelined(c, data + used, len - used);
		if (!c->closing)
			dispatch_request(c);
		return;
	}
	if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK || c->parser.upgrade)
		close_connection(c);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested ATTR_UNUSED, uv_buf_t *buf)
{
	struct connection *c = handle->data;

	*buf = uv_buf_init(c->input, sizeof(c->input));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct connection *c = stream->data;

	if (n < 0)
		close_connection(c);
	else if (n > 0)
		parse_input(c, buf->base, (size_t)n);
	if (!c->closing)
		uv_timer_again(&c->timer);
}

static void
on_idle(uv_timer_t *timer)
{
	close_connection(timer->data);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct api_server *server = listener->data;
	struct connection *c;

	if (status != 0) {
		log_warn("accept_failed", "what=api reason=\"%s\"",
		    uv_strerror(status));
		return;
	}
	c = mem_calloc(1, sizeof(*c));
	c->server = server;
	server->connections++;
	uv_tcp_init(server->loop, &c->tcp);
	uv_timer_init(server->loop, &c->timer);
	c->open_handles = 2;
	c->tcp.data = c->timer.data = c;
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0 ||
	    server->connections > CONNECTIONS_MAX) {
		close_connection(c);
		return;
	}
	tcp_set_options(&c->tcp, TCP_USER_TIMEOUT_MS);
	uv_timer_start(&c->timer, on_idle, IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/*
 * Listens on IP:PORT.  Returns NULL, with STATUS_IO and a message set, when
 * the address is invalid or cannot be bound.
 */
struct api_server *
api_listen(uv_loop_t *loop, const char *address, size_t body_max_bytes,
    api_handler *handler, void *ctx)
{
	struct api_server *server = mem_calloc(1, sizeof(*server));
	struct sockaddr_in at;
	int error = UV_EINVAL;

	server->loop = loop;
	server->body_max_bytes = body_max_bytes;
	server->handler = handler;
	server->ctx = ctx;
	uv_tcp_init(loop, &server->tcp);
	server->tcp.data = server;
	if (address_parse(address, &at))
		error =
		    uv_tcp_bind(&server->tcp, (const struct sockaddr *)&at, 0);
	if (error == 0)
		error = uv_listen(
		    (uv_stream_t *)&server->tcp, SOMAXCONN, on_connection);
	if (error != 0) {
		(void)status_set(
		    STATUS_IO, "%s: %s", address, uv_strerror(error));
		api_close(server);
		return NULL;
	}
	return server;
}

static void
on_written(uv_write_t *request, int status)
{
	struct write *write = (struct write *)request;

	if (write->close_after || status != 0)
		close_connection(write->connection);
	mem_free(write);
}

/*
 * Resumes parsing with the input saved during the last request.
 */
static void
resume(struct connection *c)
{
	char *pipelined = c->pipelined;
	size_t len = c->pipelined_len;

	c->exchange = NULL;
	c->paused = false;
	http_parser_pause(&c->parser, 0);
	c->pipelined = NULL;
	c->pipelined_len = 0;
	if (len > 0)
		parse_input(c, pipelined, len);
	mem_free(pipelined);
}

/*
 * Sends the reply to a request and frees the request.  If the connection has
 * closed, the reply is discarded.
 */
void
api_reply(struct api_call *call, int status, const char *content_type,
    struct str body)
{
	struct exchange *e = (struct exchange *)call;
	struct connection *c = e->connection;
	char head[256];
	int len;
	struct write *write;
	uv_buf_t buf;
	bool close_after;

	if (c == NULL || c->closing) {
		exchange_free(e);
		return;
	}
	close_after = !e->keep_alive || c->server->closing;
	len = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
	    "%s\r\n",
	    status, http_status_str((enum http_status)status), content_type,
	    body.len, close_after ? "Connection: close\r\n" : "");
	write = mem_alloc(sizeof(*write) + (size_t)len + body.len);
	write->connection = c;
	write->close_after = close_after;
	memcpy(write->bytes, head, (size_t)len);
	if (body.len > 0)
		memcpy(write->bytes + len, body.data, body.len);
	exchange_free(e);
	buf = uv_buf_init(write->bytes, (unsigned)((size_t)len + body.len));
	if (uv_write(&write->request, (uv_stream_t *)&c->tcp, &buf, 1,
		on_written) != 0) {
		mem_free(write);
		c->exchange = NULL;
		close_connection(c);
		return;
	}
	resume(c);
}

static void
on_server_closed(uv_handle_t *handle)
{
	struct api_server *server = handle->data;

	/* Open connections still reference the server. */
	if (server->connections == 0)
		mem_free(server);
}

/*
 * Stops listening.  Replies sent from now on close their connections.
 */
void
api_close(struct api_server *server)
{
	if (server == NULL || server->closing)
		return;
	server->closing = true;
	uv_close((uv_handle_t *)&server->tcp, on_server_closed);
}
