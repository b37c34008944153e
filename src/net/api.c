#include "net/api_internal.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "net/address.h"

enum {
	IDLE_TIMEOUT_MS = 30 * 1000, /* callers poll every 1.5 s at most */
	REQUEST_TIMEOUT_MS = 30 * 1000, /* of a head and body, to their end */
	LINGER_POLL_MS = 50
};

struct write {
	uv_write_t request;
	struct connection *connection;
	size_t allocated;
	char bytes[];
};

static void
on_handle_closed(uv_handle_t *handle)
{
	struct connection *c = handle->data;

	if (--c->open_handles > 0)
		return;
	api_limit_remove_connection(c);
	if (c->previous != NULL)
		c->previous->next = c->next;
	else
		c->server->first = c->next;
	if (c->next != NULL)
		c->next->previous = c->previous;
	mem_free(c->pipelined);
	mem_free(c);
}

/*
 * Closes a connection.  A request that is being processed stays allocated
 * until api_reply().
 */
void
api_connection_close(struct connection *c)
{
	if (c->closing)
		return;
	c->closing = true;
	if (c->exchange != NULL) {
		if (c->paused)
			c->exchange->connection = NULL;
		else
			api_exchange_free(c->exchange);
		c->exchange = NULL;
	}
	api_limit_update(c);
	uv_close((uv_handle_t *)&c->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&c->timer, on_handle_closed);
}

/*
 * Logs that a part of an answer may not arrive, and closes the connection.
 */
static void
cut_connection(struct connection *c, const char *reason)
{
	unsigned unacknowledged = tcp_unacknowledged_bytes(&c->tcp);

	if (unacknowledged > 0 && !c->closing)
		log_warn("connection_cut",
		    "what=api reason=\"%s\" unacknowledged_bytes=%u", reason,
		    unacknowledged);
	api_connection_close(c);
}

static void
on_shutdown(uv_shutdown_t *request, int status ATTR_UNUSED)
{
	struct connection *c = request->handle->data;

	c->write_shut = true;
}

/*
 * Returns how many bytes of the last answer have not reached the caller's host,
 * counting the end of stream as one.
 */
static unsigned
undelivered_bytes(const struct connection *c)
{
	return tcp_unacknowledged_bytes(&c->tcp) + !c->write_shut;
}

/*
 * Closes a connection that lingers once its caller has the last answer.
 */
static void
on_linger_timer(uv_timer_t *timer)
{
	struct connection *c = timer->data;

	if (linger_is_over(
		&c->linger_wait, undelivered_bytes(c), uv_now(c->server->loop)))
		cut_connection(c, "the caller did not read its answer");
}

/*
 * Closes a connection after its last answer, the sending side first.  Nothing
 * is processed any more.
 */
void
api_connection_linger(struct connection *c)
{
	if (c->closing || c->lingering)
		return;
	c->lingering = true;
	if (c->exchange != NULL) {
		api_exchange_free(c->exchange);
		c->exchange = NULL;
	}
	linger_start(&c->linger_wait, uv_now(c->server->loop));
	api_connection_read(c);
	if (uv_shutdown(&c->shutdown, (uv_stream_t *)&c->tcp, on_shutdown) !=
	    0) {
		api_connection_close(c);
		return;
	}
	uv_timer_start(
	    &c->timer, on_linger_timer, LINGER_POLL_MS, LINGER_POLL_MS);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested ATTR_UNUSED, uv_buf_t *buf)
{
	struct connection *c = handle->data;

	*buf = uv_buf_init(c->server->input, sizeof(c->server->input));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct connection *c = stream->data;

	if (n == UV_EOF && !c->paused &&
	    uv_stream_get_write_queue_size(stream) > 0) {
		/* The caller sends no more, but may still read. */
		api_connection_linger(c);
		uv_read_stop(stream);
		return;
	}
	if (n < 0) {
		api_connection_close(c);
		return;
	}
	if (c->lingering)
		return;
	if (n > 0)
		api_parse_input(c, buf->base, (size_t)n);
	if (c->closing || c->lingering)
		return;
	api_limit_update(c);
	if (c->closing)
		return;
	if (c->exchange != NULL && !c->paused &&
	    uv_now(c->server->loop) - c->request_ms > REQUEST_TIMEOUT_MS) {
		api_limit_close(c, CONNECTION_LIMIT_TIME);
		return;
	}
	uv_timer_again(&c->timer);
}

/*
 * Starts or resumes reading.
 */
void
api_connection_read(struct connection *c)
{
	(void)uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static void
on_idle(uv_timer_t *timer)
{
	struct connection *c = timer->data;

	if (c->paused)
		api_connection_close(c);
	else
		api_connection_linger(c);
}

/*
 * Closes the connection whose caller has had the last answer for longest.
 * Returns false if there is none.
 */
bool
api_yield_connection(struct api_server *server)
{
	struct connection *first = NULL;

	for (struct connection *c = server->first; c != NULL; c = c->next) {
		if (c->closing || !c->lingering)
			continue;
		linger_is_delivered(&c->linger_wait, undelivered_bytes(c),
		    uv_now(server->loop));
		if (linger_can_yield(&c->linger_wait,
			first == NULL ? NULL : &first->linger_wait))
			first = c;
	}
	if (first != NULL)
		api_connection_close(first);
	return first != NULL;
}

/*
 * Records that all connections which were waiting have been accepted.
 */
static void
on_polled(uv_check_t *check)
{
	struct api_server *server = check->data;

	server->polled_us = clock_boot_us();
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct api_server *server = listener->data;
	struct connection *c;
	int peer_len = sizeof(c->peer);
	enum connection_limit limit;
	bool accepted;

	if (status != 0) {
		log_warn("accept_failed", "what=api reason=\"%s\"",
		    uv_strerror(status));
		return;
	}
	c = mem_calloc(1, sizeof(*c));
	c->server = server;
	c->next = server->first;
	if (c->next != NULL)
		c->next->previous = c;
	server->first = c;
	uv_tcp_init(server->loop, &c->tcp);
	uv_timer_init(server->loop, &c->timer);
	c->open_handles = 2;
	c->tcp.data = c->timer.data = c;
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	c->opened_ms = uv_now(server->loop);
	accepted = uv_accept(listener, (uv_stream_t *)&c->tcp) == 0;
	if (accepted) {
		(void)uv_tcp_getpeername(
		    &c->tcp, (struct sockaddr *)&c->peer, &peer_len);
		/* What was waiting at the last poll was accepted then. */
		if (tcp_opened_at_once(&c->tcp))
			c->since_us = server->polled_us;
	}
	if (!api_limit_add_connection(c, &limit)) {
		api_limit_close(c, limit);
		return;
	}
	if (!accepted) {
		api_connection_close(c);
		return;
	}
	/*
	 * No user timeout: the kernel applies it to callers that pause reading,
	 * too, although their hosts acknowledge all along.  A connection to a
	 * dead host ends by the idle timeout and the one of lingering.
	 */
	tcp_set_options(&c->tcp, 0);
	uv_timer_start(&c->timer, on_idle, IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS);
	api_connection_read(c);
}

static void
on_listen_failed(uv_handle_t *handle)
{
	api_limit_remove_server(handle->data);
	mem_free(handle->data);
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
	api_limit_add_server(server);
	uv_tcp_init(loop, &server->tcp);
	server->tcp.data = server;
	if (address_parse(address, &at))
		error =
		    uv_tcp_bind(&server->tcp, (const struct sockaddr *)&at, 0);
	if (error == 0)
		api_limit_set_socket(&server->tcp);
	if (error == 0)
		error = uv_listen(
		    (uv_stream_t *)&server->tcp, SOMAXCONN, on_connection);
	if (error != 0) {
		(void)status_set(
		    STATUS_IO, "%s: %s", address, uv_strerror(error));
		uv_close((uv_handle_t *)&server->tcp, on_listen_failed);
		return NULL;
	}
	server->polled_us = clock_boot_us();
	server->check.data = server;
	uv_check_init(loop, &server->check);
	uv_check_start(&server->check, on_polled);
	uv_unref((uv_handle_t *)&server->check);
	return server;
}

static void
on_written(uv_write_t *request, int status)
{
	struct write *write = (struct write *)request;
	struct connection *c = write->connection;

	api_limit_free(c, write->allocated);
	mem_free(write);
	if (status != 0)
		api_connection_close(c);
	else
		api_unblock(c);
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
		api_exchange_free(e);
		return;
	}
	if (!api_limit_has_room(c, body.len)) {
		status = 503;
		body = STR_LITERAL("{\"error\":\"no memory for the answer\"}");
	}
	close_after = !e->keep_alive || call->last || c->server->closing;
	len = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
	    "%s\r\n",
	    status, http_status_str((enum http_status)status), content_type,
	    body.len, close_after ? "Connection: close\r\n" : "");
	write = mem_alloc(sizeof(*write) + (size_t)len + body.len);
	write->connection = c;
	write->allocated = sizeof(*write) + (size_t)len + body.len;
	memcpy(write->bytes, head, (size_t)len);
	if (body.len > 0)
		memcpy(write->bytes + len, body.data, body.len);
	api_exchange_free(e);
	c->exchange = NULL;
	api_limit_allocate(c, write->allocated);
	buf = uv_buf_init(write->bytes, (unsigned)((size_t)len + body.len));
	c->given += buf.len;
	if (c->closing ||
	    uv_write(&write->request, (uv_stream_t *)&c->tcp, &buf, 1,
		on_written) != 0) {
		api_limit_free(c, write->allocated);
		mem_free(write);
		api_connection_close(c);
		return;
	}
	if (close_after) {
		c->paused = false;
		api_connection_linger(c);
		return;
	}
	api_resume(c);
}

static void
on_closed(uv_handle_t *handle ATTR_UNUSED)
{
}

/*
 * Stops listening.  Replies sent from now on close their connections.  The
 * server stays allocated for its connections.
 */
void
api_close(struct api_server *server)
{
	if (server == NULL || server->closing)
		return;
	server->closing = true;
	uv_close((uv_handle_t *)&server->check, NULL);
	uv_close((uv_handle_t *)&server->tcp, on_closed);
}

/*
 * Returns whether a request is being processed or a caller may not have its
 * last answer.
 */
bool
api_is_busy(const struct api_server *server)
{
	if (server == NULL)
		return false;
	for (const struct connection *c = server->first; c != NULL;
	     c = c->next) {
		if (c->closing)
			continue;
		if (c->paused || c->lingering ||
		    tcp_unacknowledged_bytes(&c->tcp) > 0)
			return true;
	}
	return false;
}
