/*
 * Life cycle of a connection to a target.
 */
#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/* unacknowledged data of a request that any target's host can take */
	TCP_USER_TIMEOUT_MS = 1000,
	LARGE_REQUEST_BYTES = 16 << 10
};

struct write {
	uv_write_t request;
	struct upstream *up;
};

/*
 * Frees the request of a connection after it was written.  Kept connections
 * hold no buffers: there are many of them.
 */
static void
drop_request(struct upstream *up)
{
	struct request_body *body = up->request_body;

	up->request_body = NULL;
	str_buf_free(&up->request);
	memory_track(up->flow, MEMORY_REQUEST_HEADS, &up->request_charged, 0);
	body_put(body);
}

/*
 * Frees the body of the response that a connection has read so far.
 */
void
upstream_drop_response(struct upstream *up)
{
	str_buf_free(&up->body);
	memory_track(up->flow, MEMORY_RESPONSES, &up->response_charged, 0);
}

static void
on_closed(uv_handle_t *handle)
{
	struct upstream *up = handle->data;

	head_free(&up->head);
	drop_request(up);
	upstream_drop_response(up);
	mem_free(up);
}

static void
enter_queue(struct upstream *up, GQueue *queue)
{
	up->queue = queue;
	up->link.data = up;
	g_queue_push_tail_link(queue, &up->link);
}

/*
 * Removes a connection from the idle or connecting queue.
 */
void
upstream_leave_queue(struct upstream *up)
{
	if (up->queue != NULL)
		g_queue_unlink(up->queue, &up->link);
	up->queue = NULL;
}

/*
 * Adds a connection to its pool; the sweep visits pools with connections.
 */
static void
add_to_pool(struct upstream *up, struct pool *pool)
{
	up->pool = pool;
	up->pool_link.data = up;
	pool->link.data = pool;
	if (pool->all.length == 0)
		g_queue_push_tail_link(
		    &pool->flow->connected_pools, &pool->link);
	g_queue_push_tail_link(&pool->all, &up->pool_link);
}

/*
 * Removes a connection from its pool, which may be freed after that.
 */
void
upstream_unlink(struct upstream *up)
{
	struct pool *pool = up->pool;

	g_queue_unlink(&pool->all, &up->pool_link);
	if (pool->all.length == 0)
		g_queue_unlink(&pool->flow->connected_pools, &pool->link);
	up->pool = NULL;
}

/*
 * Closes a connection that serves no request.
 */
void
upstream_close(struct upstream *up)
{
	if (up->closing)
		return;
	if (up->checks_end)
		crash_on_checked(up, CHECK_UNKNOWN);
	up->closing = true;
	upstream_leave_queue(up);
	if (up->pool != NULL) {
		if (up->pool->probing == up)
			up->pool->probing = NULL;
		if (up->pool->probe_upstream == up)
			up->pool->probe_upstream = NULL;
		upstream_unlink(up);
	}
	uv_close((uv_handle_t *)&up->tcp, on_closed);
}

/*
 * Closes a connection and fails its request or probe.
 */
void
upstream_fail(
    struct upstream *up, enum placement_outcome outcome, const char *reason)
{
	struct attempt *attempt = up->attempt;
	struct pool *pool = up->pool;
	bool probe = up->probe;
	bool refused = up->connected && outcome == OUTCOME_FAILED;

	up->attempt = NULL;
	upstream_close(up);
	/*
	 * A target that accepts a connection and closes it is reachable, but
	 * may be full.
	 */
	if (probe && pool != NULL)
		schedule_on_probe(
		    pool, refused ? &(struct target_load){0} : NULL);
	if (attempt != NULL)
		exchange_on_send_failed(attempt, outcome, reason);
}

/*
 * The target reset a connection.  Targets of some services do that when they
 * are full, before any byte of a response.
 */
static void
on_reset(struct upstream *up, const char *reason)
{
	struct attempt *attempt = up->attempt;

	if (attempt == NULL || !attempt->sent || up->in_response ||
	    up->body.len > 0) {
		upstream_fail(up, OUTCOME_FAILED, reason);
		return;
	}
	up->attempt = NULL;
	upstream_close(up);
	exchange_on_reset(attempt, reason);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested ATTR_UNUSED, uv_buf_t *buf)
{
	struct upstream *up = handle->data;

	*buf = uv_buf_init(up->flow->input, READ_BYTES);
}

/*
 * Returns whether an error shows that the target, or its host, has closed a
 * connection.
 */
static bool
is_closed_by_target(ssize_t error)
{
	return error == UV_EOF || error == UV_ECONNRESET || error == UV_EPIPE;
}

/*
 * Handles the end of a connection: it completes a response without a length;
 * any other response is incomplete.
 */
static void
on_end(struct upstream *up, ssize_t error)
{
	if (error == UV_EOF && up->in_response &&
	    up->attribution != ATTRIBUTION_OTHER && !tcp_was_reset(&up->tcp)) {
		(void)http_parser_execute(
		    &up->parser, &response_settings, NULL, 0);
		if (up->complete) {
			up->keep_alive = false;
			response_complete(up, false);
			return;
		}
	}
	if (is_closed_by_target(error))
		crash_on_break(up);
	if (error == UV_ECONNRESET)
		on_reset(up, uv_strerror((int)error));
	else
		upstream_fail(up, OUTCOME_FAILED,
		    error == UV_EOF ? "the target closed the connection"
				    : uv_strerror((int)error));
}

/*
 * Parses a part of a response, up to the end of it or of an interim response
 * before it; returns how much was used.
 */
static size_t
parse_response(struct upstream *up, const char *data, size_t len)
{
	if (!status_line_read(&up->status_line, str_of(data, len))) {
		upstream_fail(up, OUTCOME_FAILED, "the status is none");
		return len;
	}
	if (HTTP_PARSER_ERRNO(&up->parser) == HPE_PAUSED)
		http_parser_pause(&up->parser, 0);
	return http_parser_execute(&up->parser, &response_settings, data, len);
}

static bool
can_parse_on(const struct upstream *up)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&up->parser);

	return !up->closing && !up->complete && !up->parser.upgrade &&
	    (error == HPE_OK || error == HPE_PAUSED);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct upstream *up = stream->data;
	size_t used = 0;

	if (n == 0 || up->closing)
		return;
	if (n < 0) {
		on_end(up, n);
		return;
	}
	if (up->attempt == NULL && !up->probe) {
		/* No request is pending, so this data belongs to none. */
		upstream_close(up);
		return;
	}
	while (used < (size_t)n && can_parse_on(up))
		used += parse_response(up, buf->base + used, (size_t)n - used);
	if (up->closing)
		return;
	if (up->complete) {
		response_complete(up, used < (size_t)n);
		return;
	}
	if (!can_parse_on(up))
		upstream_fail(up, OUTCOME_FAILED, "the response can't be read");
}

static void
on_written(uv_write_t *request, int status)
{
	struct write *write = (struct write *)request;
	struct upstream *up = write->up;

	mem_free(write);
	up->writing = false;
	drop_request(up);
	if (is_closed_by_target(status) && !up->closing)
		crash_on_break(up);
	if (status == UV_ECONNRESET && !up->closing)
		on_reset(up, uv_strerror(status));
	else if (status != 0 && !up->closing)
		upstream_fail(up, OUTCOME_FAILED, uv_strerror(status));
}

/*
 * Sets the user timeout of a connection for its next request.  A target may
 * read a large one late, while its host acknowledges all along; the deadline of
 * the request ends that.
 */
static void
set_user_timeout(struct upstream *up)
{
	bool large =
	    up->request.len + body_len(up->request_body) > LARGE_REQUEST_BYTES;

	if (up->options_set && large == up->large_request)
		return;
	up->options_set = true;
	up->large_request = large;
	tcp_set_options(&up->tcp, large ? 0 : TCP_USER_TIMEOUT_MS);
}

/*
 * Writes the request, immediately as far as the socket accepts it.  The body
 * stays where it is; the connection has a reference to it.
 */
static void
write_request(struct upstream *up)
{
	unsigned count;
	uv_buf_t *bufs =
	    body_buffers(up->request_body, str_buf_view(&up->request), &count);
	size_t len = up->request.len + body_len(up->request_body);
	struct write *write;
	size_t written;
	int n;

	set_user_timeout(up);
	memory_track(up->flow, MEMORY_REQUEST_HEADS, &up->request_charged,
	    up->request.capacity);
	n = uv_try_write((uv_stream_t *)&up->tcp, bufs, count);
	if (up->attempt != NULL)
		up->attempt->sent = true;
	written = n > 0 ? (size_t)n : 0;
	if (written == len) {
		mem_free(bufs);
		drop_request(up);
		return;
	}
	for (unsigned i = 0; i < count; i++) {
		size_t part = written < bufs[i].len ? written : bufs[i].len;

		bufs[i].base += part;
		bufs[i].len -= part;
		written -= part;
	}
	write = mem_calloc(1, sizeof(*write));
	write->up = up;
	up->writing = true;
	n = uv_write(
	    &write->request, (uv_stream_t *)&up->tcp, bufs, count, on_written);
	mem_free(bufs);
	if (n != 0) {
		mem_free(write);
		up->writing = false;
		upstream_fail(up, OUTCOME_FAILED, "write failed");
	}
}

static enum check_result
check_result(int status)
{
	if (status == 0)
		return CHECK_ACCEPTED;
	return status == UV_ECONNREFUSED || status == UV_ECONNRESET
	    ? CHECK_REFUSED
	    : CHECK_UNKNOWN;
}

static void
on_connected(uv_connect_t *request, int status)
{
	struct upstream *up = request->data;
	bool checks_end = up->checks_end;

	mem_free(request);
	if (up->closing)
		return;
	upstream_leave_queue(up);
	if (checks_end)
		crash_on_checked(up, check_result(status));
	if (status != 0) {
		upstream_fail(up, OUTCOME_UNREACHABLE, uv_strerror(status));
		return;
	}
	up->connected = true;
	uv_read_start((uv_stream_t *)&up->tcp, on_alloc, on_read);
	if (checks_end) {
		upstream_close(up);
		return;
	}
	if (up->attempt == NULL || target_confirm_request(up))
		write_request(up);
}

/*
 * Starts a new connection; returns NULL if that fails immediately.
 */
struct upstream *
upstream_connect(struct pool *pool)
{
	struct upstream *up;
	struct sockaddr_in to;
	uv_connect_t *request;

	if (!address_parse(pool->address, &to))
		return NULL;
	up = mem_calloc(1, sizeof(*up));
	up->flow = pool->flow;
	up->target_started_ms = pool->started_ms;
	add_to_pool(up, pool);
	up->started_ms = uv_now(pool->flow->loop);
	enter_queue(up, &pool->flow->connecting);
	uv_tcp_init(pool->flow->loop, &up->tcp);
	up->tcp.data = up;
	http_parser_init(&up->parser, HTTP_RESPONSE);
	up->parser.data = up;
	request = mem_calloc(1, sizeof(*request));
	request->data = up;
	if (uv_tcp_connect(
		request, &up->tcp, (struct sockaddr *)&to, on_connected) != 0) {
		mem_free(request);
		upstream_close(up);
		return NULL;
	}
	counter_add(pool->flow->connects, 1);
	return up;
}

/*
 * Assigns the next request to a connection, or a probe (NULL), and returns the
 * output buffer.
 */
struct str_buf *
upstream_assign(struct upstream *up, struct attempt *attempt)
{
	up->attempt = attempt;
	up->probe = attempt == NULL;
	up->stale_response_bytes = 0;
	up->interim_count = 0;
	up->started_ms = uv_now(up->flow->loop);
	drop_request(up);
	return &up->request;
}

/*
 * Sends the request set by upstream_assign(), after the connection is
 * established.
 */
void
upstream_send(struct upstream *up)
{
	if (up->connected)
		write_request(up);
}

/*
 * Keeps a connection for the next request, or closes it.
 */
void
upstream_release(struct upstream *up)
{
	if (up->closing)
		return;
	if (!up->keep_alive || up->pool == NULL || up->pool->evacuated ||
	    up->keep_alive_ms == 0 || up->flow->stopping) {
		upstream_close(up);
		return;
	}
	upstream_pause(up, false);
	up->idle_since_ms = uv_now(up->flow->loop);
	upstream_drop_response(up);
	/*
	 * The probe connection is kept separately, since a full target accepts
	 * no new one.
	 */
	if (up->pool->probe_upstream != up)
		enter_queue(up, &up->pool->idle);
}

/*
 * Pauses or resumes reading while the caller reads too slowly.
 */
void
upstream_pause(struct upstream *up, bool pause)
{
	if (up->closing || !up->connected)
		return;
	if (pause)
		uv_read_stop((uv_stream_t *)&up->tcp);
	else
		(void)uv_read_start((uv_stream_t *)&up->tcp, on_alloc, on_read);
}
