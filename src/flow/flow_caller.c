#include <inttypes.h>
#include <string.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	SWEEP_MS = 100,
	START_SWEEP_MS = 20, /* during the startup, since callers wait */
	STOP_IDLE_TIMEOUT_MS = 2500, /* longer than a lookup result is cached */
	STOP_CLOSE_ALL_MS = 4500,
	ACCEPT_RETRY_MS = 5 /* while a new connection waits for a place */
};

static void
on_closed(uv_handle_t *handle)
{
	mem_free(handle->data);
}

/*
 * Drops a request whose end will not come, or is not waited for.
 */
void
caller_drop_partial_request(struct caller *caller)
{
	memory_stop_waiting(caller);
	if (caller->reading != NULL)
		exchange_free(caller->reading);
	caller->reading = NULL;
}

/*
 * Closes a connection and ends its pending requests.
 */
void
caller_close(struct caller *caller)
{
	struct exchange *x;

	if (caller->closing)
		return;
	caller->closing = true;
	ahead_forget(caller);
	limit_forget(caller);
	limit_release(caller);
	caller_drop_partial_request(caller);
	while ((x = g_queue_pop_head(&caller->exchanges)) != NULL)
		exchange_abandon(x);
	g_queue_unlink(&caller->flow->callers, &caller->link);
	uv_close((uv_handle_t *)&caller->tcp, on_closed);
}

/*
 * Logs the end of a connection if a part of its answers may not arrive:
 * requests are pending, or the caller's host has not acknowledged all bytes,
 * which a reset discards.
 */
void
caller_log_cut(struct caller *caller, const char *event, const char *reason)
{
	struct flow *flow = caller->flow;
	unsigned unacknowledged = tcp_unacknowledged_bytes(&caller->tcp);
	size_t unwritten =
	    uv_stream_get_write_queue_size((uv_stream_t *)&caller->tcp);

	if (caller->exchanges.length == 0 && unacknowledged == 0 &&
	    unwritten == 0)
		return;
	counter_add(flow->cut_connections, 1);
	if (!flow_may_log(flow))
		return;
	log_warn(event,
	    "instance=%s reason=\"%s\" stopping_ms=%" PRIu64
	    " pending=%u unwritten_bytes=%zu unacknowledged_bytes=%u "
	    "unread_input=%d idle_ms=%" PRIu64,
	    flow->settings.instance, reason, stop_age_ms(flow),
	    caller->exchanges.length, unwritten, unacknowledged,
	    tcp_has_unread_input(&caller->tcp),
	    uv_now(flow->loop) - caller->active_ms);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested ATTR_UNUSED, uv_buf_t *buf)
{
	struct caller *caller = handle->data;

	*buf = uv_buf_init(
	    caller->flow->input, (unsigned)memory_read_bytes(caller));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

/*
 * Starts or resumes reading.
 */
void
caller_read(struct caller *caller)
{
	caller->paused = false;
	uv_read_start((uv_stream_t *)&caller->tcp, on_alloc, on_read);
}

/*
 * Resumes reading.  A caller that has left gets no further request taken, but
 * its input is read up to the end: a close resets a connection with unread
 * input.
 */
void
caller_resume_reading(struct caller *caller)
{
	if (!caller->paused || caller->closing || caller->awaits_memory ||
	    caller->parsing ||
	    caller->exchanges.length >= (limit_ahead_max(caller) + 1) / 2 ||
	    !connection_budget_may_resume(
		&caller->flow->connections, caller->unread))
		return;
	if (!caller->no_more_requests && limit_queue_turn(caller))
		return;
	if (tcp_peer_has_ended(&caller->tcp))
		caller->no_more_requests = true;
	caller_read(caller);
}

/*
 * Writes available answer data in the order of the requests.
 */
void
caller_flush(struct caller *caller)
{
	while (!caller->closing && caller->exchanges.length > 0) {
		struct exchange *x = g_queue_peek_head(&caller->exchanges);
		bool last;

		if (x->out.len > 0) {
			caller_write_output(caller, &x->out);
			str_buf_free(&x->out);
			memory_track_answer(x);
			caller->active_ms = uv_now(caller->flow->loop);
		}
		for (unsigned i = 0; i < x->attempt_count; i++) {
			if (x->streaming && x->attempts[i].upstream != NULL)
				upstream_pause(x->attempts[i].upstream,
				    uv_stream_get_write_queue_size(
					(uv_stream_t *)&caller->tcp) >
					memory_output_max(caller->flow));
		}
		if (!x->ended)
			return;
		last = x->close_after;
		(void)g_queue_pop_head(&caller->exchanges);
		x->caller = NULL;
		exchange_free(x);
		if (last) {
			caller->no_more_requests = true;
			while (
			    (x = g_queue_pop_head(&caller->exchanges)) != NULL)
				exchange_abandon(x);
		}
	}
	if (caller->closing)
		return;
	if (caller->no_more_requests && caller->exchanges.length == 0) {
		caller_linger(caller);
		return;
	}
	caller_continue(caller);
	caller_resume_reading(caller);
}

/*
 * Ends the requests of a connection whose caller sends no more: the pending
 * ones are the last.
 */
static void
end_input(struct caller *caller)
{
	struct exchange *last = g_queue_peek_tail(&caller->exchanges);

	caller_drop_partial_request(caller);
	uv_read_stop((uv_stream_t *)&caller->tcp);
	caller->input_ended = true;
	caller->no_more_requests = true;
	answer_close_after(last);
}

/*
 * Handles the end of a caller's input.  While requests are pending it means
 * that the caller has left, but not in a stop: callers send nothing more to an
 * instance that lookups no longer name, and still wait for their answers.  After
 * the last answer the caller may still read.
 */
static void
on_input_end(struct caller *caller, ssize_t error)
{
	if (error == UV_EOF && caller->exchanges.length == 0 &&
	    caller->reading == NULL && caller_is_undelivered(caller)) {
		caller->no_more_requests = true;
		caller_linger(caller);
	}
	if (caller->closing)
		return;
	if (error == UV_EOF && caller->flow->stopping &&
	    caller->exchanges.length > 0) {
		end_input(caller);
		return;
	}
	if (error == UV_EOF && caller->lingering) {
		caller->input_ended = true;
		uv_read_stop((uv_stream_t *)&caller->tcp);
		caller_sweep_lingering(caller, uv_now(caller->flow->loop));
		return;
	}
	if (error != UV_EOF)
		caller_log_cut(
		    caller, "connection_lost", uv_strerror((int)error));
	caller_close(caller);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct caller *caller = stream->data;

	if (n < 0) {
		on_input_end(caller, n);
		return;
	}
	if (n == 0 || caller->no_more_requests)
		return;
	flow_on_loop_iteration(caller->flow);
	/* The input may have arrived while the loop was held up. */
	uv_update_time(caller->flow->loop);
	caller->active_ms = uv_now(caller->flow->loop);
	caller->turn_requests = 0;
	caller_parse(caller, buf->base, (size_t)n);
	if (caller->closing)
		return;
	if (caller->exchanges.length >= limit_ahead_max(caller) &&
	    !caller->paused) {
		caller->paused = true;
		uv_read_stop(stream);
	}
	caller_flush(caller);
}

/*
 * Accepts the connection that libuv holds, or refuses it if it has no place.
 */
static void
accept_caller(struct flow *flow)
{
	uv_stream_t *listener = (uv_stream_t *)&flow->listener;
	struct caller *caller;
	int peer_len = sizeof(caller->peer);

	caller = mem_calloc(1, sizeof(*caller));
	caller->flow = flow;
	uv_tcp_init(flow->loop, &caller->tcp);
	caller->tcp.data = caller;
	caller->link.data = caller;
	caller->active_ms = caller->opened_ms = uv_now(flow->loop);
	http_parser_init(&caller->parser, HTTP_REQUEST);
	caller->parser.data = caller;
	g_queue_init(&caller->exchanges);
	g_queue_push_tail_link(&flow->callers, &caller->link);
	if (uv_accept(listener, (uv_stream_t *)&caller->tcp) != 0) {
		caller_close(caller);
		return;
	}
	(void)uv_tcp_getpeername(
	    &caller->tcp, (struct sockaddr *)&caller->peer, &peer_len);
	if (!limit_admit(caller))
		return;
	/*
	 * No user timeout: the kernel applies it to callers that read slowly,
	 * too, although their hosts acknowledge all along.
	 */
	tcp_set_options(&caller->tcp, 0);
	caller_read(caller);
}

static void on_accept_retry(uv_timer_t *timer);

/*
 * Accepts a new connection.  While there is no place, but one may be free as
 * soon as a caller's host acknowledges the last answer, the connection stays
 * with libuv, which takes no further one until it is accepted.
 */
static void
accept_or_wait(struct flow *flow)
{
	if (!limit_has_place(flow) && callers_may_yield_soon(flow))
		uv_timer_start(
		    &flow->accept_timer, on_accept_retry, ACCEPT_RETRY_MS, 0);
	else
		accept_caller(flow);
}

static void
on_accept_retry(uv_timer_t *timer)
{
	struct flow *flow = timer->data;

	if (flow->listening)
		accept_or_wait(flow);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct flow *flow = listener->data;

	if (status != 0) {
		log_warn("accept_failed", "instance=%s reason=\"%s\"",
		    flow->settings.instance, uv_strerror(status));
		return;
	}
	accept_or_wait(flow);
}

/*
 * Returns the idle timeout of a connection in milliseconds.  During a stop a
 * request may be in transit on any connection.  Callers leave by themselves
 * after the entry is no longer announced, and only connections that they have
 * left are closed.
 */
static uint64_t
idle_limit_ms(const struct flow *flow, uint64_t now_ms)
{
	if (!flow->stopping)
		return flow->routes->limits.idle_timeout_ms;
	return now_ms - flow->stopping_ms > STOP_CLOSE_ALL_MS
	    ? 0
	    : STOP_IDLE_TIMEOUT_MS;
}

/*
 * Enforces the timeouts of a connection: of a request head or body, between
 * requests, and after the last answer.
 */
static void
sweep_caller(struct caller *caller, uint64_t now_ms)
{
	const struct flow *flow = caller->flow;
	const struct routes *routes = flow->routes;
	uint64_t idle_ms = now_ms - caller->active_ms;
	bool idle = caller->exchanges.length == 0 && caller->reading == NULL &&
	    caller->held.len == 0 && caller->head_started_ms == 0 &&
	    caller->writes == 0;

	if (caller->lingering) {
		caller_sweep_lingering(caller, now_ms);
		return;
	}
	ahead_sweep(caller);
	if (caller->paused && caller->turn_link.data == NULL &&
	    tcp_peer_has_ended(&caller->tcp)) {
		/* libuv reports no close while it doesn't read. */
		caller->no_more_requests = true;
		caller_read(caller);
		return;
	}
	if (caller->writes > 0 && caller_has_stalled(caller, now_ms)) {
		caller_log_cut(caller, "connection_cut", "no progress");
		caller_close(caller);
		return;
	}
	if (routes == NULL)
		return;
	if (idle && idle_ms > idle_limit_ms(flow, now_ms) &&
	    !tcp_has_unread_input(&caller->tcp) &&
	    (!caller_is_undelivered(caller) ||
		caller_has_stalled(caller, now_ms))) {
		/* No request is pending; one that is in transit is not read. */
		caller->no_more_requests = true;
		caller_linger(caller);
		return;
	}
	if (caller->head_started_ms != 0 && !caller->no_more_requests &&
	    !caller->in_body && !caller->paused &&
	    now_ms - caller->head_started_ms >
		routes->limits.header_timeout_ms) {
		(void)caller_fail(caller, 408, "the header took too long");
		caller_flush(caller);
		return;
	}
	if (caller->in_body && !caller->no_more_requests && !caller->paused &&
	    idle_ms > routes->limits.idle_timeout_ms) {
		(void)caller_fail(caller, 408, "the body took too long");
		caller_flush(caller);
	}
}

/*
 * Checks all connections.
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
}

/*
 * Records the lateness of this timer.  Uses the monotonic clock rather than the
 * loop's time, since the lateness itself is measured.
 */
static void
record_loop_lag(struct flow *flow)
{
	if (!loop_lag_record(
		&flow->loop_lag, clock_monotonic_us(), SWEEP_MS * US_PER_MS))
		return;
	log_info("strain", "instance=%s busy=%d lag_us=%.0f callers=%u",
	    flow->settings.instance, flow->loop_lag.busy,
	    flow->loop_lag.mean_lag_us, flow->callers.length);
	fleet_send_hello(flow);
}

static void
on_sweep(uv_timer_t *timer)
{
	struct flow *flow = timer->data;

	flow_on_loop_iteration(flow);
	if (uv_timer_get_repeat(timer) == SWEEP_MS)
		record_loop_lag(flow);
	callers_sweep(flow);
	limits_sweep(flow);
	memory_sweep(flow);
	stop_tick(flow);
	targets_sweep(flow);
	schedule_sweep(flow, flow_now_us(flow));
	fleet_tick(flow);
	uv_timer_set_repeat(
	    timer, flow->ready || flow->stopping ? SWEEP_MS : START_SWEEP_MS);
}

/*
 * Starts to accept connections of callers.
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
		limits_set_socket(flow, &flow->listener);
	if (error == 0)
		error = uv_listen(
		    (uv_stream_t *)&flow->listener, SOMAXCONN, on_connection);
	if (error != 0)
		return status_set(STATUS_IO, "%s: %s",
		    flow->settings.caller_address, uv_strerror(error));
	flow->listening = true;
	uv_timer_init(flow->loop, &flow->accept_timer);
	flow->accept_timer.data = flow;
	uv_timer_init(flow->loop, &flow->sweep);
	flow->sweep.data = flow;
	uv_timer_start(&flow->sweep, on_sweep, START_SWEEP_MS, START_SWEEP_MS);
	return STATUS_OK;
}
