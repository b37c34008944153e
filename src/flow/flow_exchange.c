#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	NO_DOCUMENT_RETRY_US = 300 * 1000, /* a fifth of a heartbeat interval */
	NO_MEMORY_RETRY_US = 300 * 1000,
	/*
	 * Until then lookups may still direct callers here; a signal may be
	 * handled late on a busy processor.
	 */
	STOP_ACCEPT_ALL_MS = 2800,
	/* "Not run" is sent this long before the deadline, to arrive in time. */
	DEADLINE_MARGIN_MS = 5,
	LOOP_TIME_ERROR_US = 1000, /* the loop counts whole milliseconds */
	DEADLINE_MAX_MS = 10 * 60 * 1000 /* longest timeout of a route */
};

const char exchange_stopping_reason[] = "this instance is stopping";
static const char late_reason[] = "no answer in time";

static uint64_t
elapsed_ms(const struct exchange *x)
{
	return (flow_now_us(x->flow) - x->arrival_us) / US_PER_MS;
}

/*
 * Logs the outcome of a request and its reason.
 */
void
exchange_log_end(
    struct exchange *x, const char *outcome, int status, const char *reason)
{
	bool routine = strcmp(outcome, "answered") == 0;

	if (routine ? !flow_may_log_routine(x->flow) : !flow_may_log(x->flow))
		return;
	log_info("request",
	    "instance=%s request=%" PRIu64 " attempt=%s route=%s service=%s "
	    "version=%" PRIu64 " outcome=%s status=%d reason=\"%s\" ms=%" PRIu64
	    " tried_ms=%" PRIu64 " sends=%u ran=%d target=%s",
	    x->flow->settings.instance, x->id, x->attempt_id,
	    x->route != NULL ? x->route->name : "-",
	    x->service != NULL ? x->service->name : "-",
	    x->routes != NULL ? x->routes->version : 0, outcome, status, reason,
	    elapsed_ms(x), x->prior_wait_ms, x->attempt_count,
	    x->possibly_executed,
	    x->attempt_count > 0 && x->attempts[x->attempt_count - 1].target
		? x->attempts[x->attempt_count - 1].target
		: "-");
}

/*
 * Creates a request that a caller has started to send.
 */
struct exchange *
exchange_new(struct caller *caller)
{
	struct exchange *x = mem_calloc(1, sizeof(*x));

	x->flow = caller->flow;
	x->caller = caller;
	x->id = ++caller->flow->next_id;
	x->arrival_us = flow_now_us(caller->flow);
	uv_timer_init(x->flow->loop, &x->timer);
	uv_timer_init(x->flow->loop, &x->ask_timer);
	x->timer.data = x->ask_timer.data = x;
	x->handles = 2;
	return x;
}

static void
on_handle_closed(uv_handle_t *handle)
{
	struct exchange *x = handle->data;

	if (--x->handles > 0)
		return;
	x->flow->closing_exchanges--;
	for (unsigned i = 0; i < x->attempt_count; i++)
		mem_free(x->attempts[i].target);
	exchange_drop_request(x);
	memory_track(x->flow, MEMORY_REQUEST_HEADS, &x->head_charged, 0);
	str_buf_free(&x->out);
	str_buf_free(&x->fallback);
	memory_track(x->flow, MEMORY_ANSWERS, &x->answer_charged, 0);
	routes_put(x->routes);
	routes_put(x->account_routes);
	mem_free(x);
}

/*
 * Ends all open sends.
 */
void
exchange_end_attempts(struct exchange *x, enum placement_outcome outcome)
{
	for (unsigned i = 0; i < x->attempt_count; i++) {
		struct attempt *attempt = &x->attempts[i];
		struct upstream *up = attempt->upstream;

		if (up == NULL)
			continue;
		attempt->upstream = NULL;
		up->attempt = NULL;
		schedule_complete(attempt, outcome);
		/* A target drops a request when its connection is closed. */
		upstream_close(up);
	}
}

/*
 * Frees a request.  The memory is released after the loop has closed its
 * timers.
 */
void
exchange_free(struct exchange *x)
{
	if (uv_is_closing((uv_handle_t *)&x->timer))
		return;
	startup_unpark(x);
	allowance_end(x);
	schedule_cancel(x);
	exchange_end_attempts(x, OUTCOME_ABANDONED);
	x->flow->closing_exchanges++;
	uv_close((uv_handle_t *)&x->timer, on_handle_closed);
	uv_close((uv_handle_t *)&x->ask_timer, on_handle_closed);
}

/*
 * Ends all work for a request whose caller has left.
 */
void
exchange_abandon(struct exchange *x)
{
	if (!x->ended) {
		counter_add(x->flow->callers_left, 1);
		exchange_log_end(x, "caller_left", 0, "");
	}
	x->caller = NULL;
	exchange_free(x);
}

/*
 * Writes available output; this may free the request.
 */
void
exchange_flush(struct exchange *x)
{
	if (x->caller != NULL)
		caller_flush(x->caller);
}

/*
 * Drops the part of a streamed answer that waits for those before it.  Returns
 * false if the answer has its turn: a part of it was sent.
 */
static bool
drop_unsent_answer(struct exchange *x)
{
	if (x->caller != NULL && g_queue_peek_head(&x->caller->exchanges) == x)
		return false;
	x->streaming = false;
	x->chunked = false;
	str_buf_free(&x->out);
	memory_track_answer(x);
	return true;
}

/*
 * Answers with an error of the entry itself and ends all work for the request.
 */
void
exchange_refuse(
    struct exchange *x, int status, uint64_t retry_after_us, const char *reason)
{
	bool not_run = status == 503 || status == 429;

	if (x->ended)
		return;
	if (not_run && account_is_withdrawn(x)) {
		account_refuse_withdrawn(x);
		return;
	}
	startup_unpark(x);
	allowance_end(x);
	schedule_cancel(x);
	exchange_end_attempts(
	    x, status == 504 ? OUTCOME_TIMED_OUT : OUTCOME_ABANDONED);
	uv_timer_stop(&x->timer);
	counter_add(not_run ? x->flow->rejected : x->flow->failed, 1);
	/* A refused key has a line of its own. */
	if (status != 401)
		exchange_log_end(
		    x, not_run ? "rejected" : "failed", status, reason);
	if (x->streaming && !drop_unsent_answer(x)) {
		/*
		 * A truncated answer must not look complete, and those before
		 * it may still be on their way.
		 */
		x->ended = true;
		x->close_after = true;
	}
	answer_error(x, status, retry_after_us, reason);
	exchange_flush(x);
}

/*
 * Ends a request that can't be retried: with the failure response of a target
 * kept during retries, otherwise with 502 if a target may have executed it, or
 * 503.
 */
void
exchange_end_with_failure(
    struct exchange *x, uint64_t retry_after_us, const char *reason)
{
	uint64_t away_us;

	if (x->fallback_status != 0 && !x->ended && !x->streaming) {
		allowance_end(x);
		schedule_cancel(x);
		uv_timer_stop(&x->timer);
		counter_add(x->flow->failed, 1);
		exchange_log_end(
		    x, "target_failure", x->fallback_status, reason);
		str_buf_clear(&x->out);
		str_buf_append(&x->out, str_buf_view(&x->fallback));
		str_buf_free(&x->fallback);
		memory_track_answer(x);
		exchange_drop_request(x);
		x->ended = true;
		exchange_flush(x);
		return;
	}
	away_us = x->service != NULL ? away_service_left_us(x->service) : 0;
	if (away_us > 0)
		retry_after_us = away_us;
	if (x->possibly_executed)
		exchange_refuse(x, 502, 0, reason);
	else
		exchange_refuse(x, 503, retry_after_us, reason);
}

bool
exchange_has_open_attempt(const struct exchange *x)
{
	for (unsigned i = 0; i < x->attempt_count; i++) {
		if (x->attempts[i].upstream != NULL)
			return true;
	}
	return false;
}

static bool
has_sent_attempt(const struct exchange *x)
{
	for (unsigned i = 0; i < x->attempt_count; i++) {
		if (x->attempts[i].upstream != NULL && x->attempts[i].sent)
			return true;
	}
	return false;
}

/*
 * Returns whether a target may have executed the request, or still may.
 */
bool
exchange_may_have_run(const struct exchange *x)
{
	return x->possibly_executed || has_sent_attempt(x);
}

/*
 * Ends a request at the end of a stop, with an answer of its own: answers to
 * later requests of its connection may be complete.  One that is streamed has
 * until the end of the process.
 */
void
exchange_end_by_stop(struct exchange *x)
{
	bool may_have_run = exchange_may_have_run(x);

	if (x->ended || x->streaming)
		return;
	exchange_end_attempts(x, OUTCOME_ABANDONED);
	if (may_have_run && x->fallback_status == 0)
		exchange_refuse(x, 504, 0, exchange_stopping_reason);
	else
		exchange_end_with_failure(
		    x, OTHER_ENTRY_RETRY_US, exchange_stopping_reason);
}

/*
 * The caller's deadline or the route's timeout has passed, or is about to.  A
 * request at which a target may be at work gets all of its time: what is broken
 * off before is lost.  After that a target's own failure is the better answer.
 */
static void
on_deadline(uv_timer_t *timer)
{
	struct exchange *x = timer->data;
	uint64_t now = flow_now_us(x->flow);
	uint64_t end = x->deadline_us + LOOP_TIME_ERROR_US;
	bool at_work = has_sent_attempt(x) || x->streaming;

	if (at_work && now < end) {
		uv_timer_start(timer, on_deadline, (end - now) / US_PER_MS, 0);
	} else if (x->fallback_status != 0 && !x->streaming) {
		exchange_end_attempts(x, OUTCOME_TIMED_OUT);
		exchange_end_with_failure(x, 0, late_reason);
	} else if (at_work || x->possibly_executed) {
		exchange_refuse(x, 504, 0, late_reason);
	} else {
		exchange_refuse(x, 503, NO_DOCUMENT_RETRY_US,
		    x->awaits_delivery ? "earlier answers took too long"
				       : "no room in time");
	}
}

/*
 * Returns the caller's timeout in milliseconds, from the deadline header.
 */
uint64_t
exchange_caller_timeout_ms(const struct exchange *x)
{
	struct str text = head_find(&x->head, x->flow->dialect.deadline_header);
	uint64_t ms;

	if (text.data == NULL || !str_to_u64(str_trim(text), &ms) ||
	    ms > DEADLINE_MAX_MS)
		return DEADLINE_MAX_MS;
	return ms;
}

/*
 * Returns the timeouts observed on a route, which are kept when the document
 * changes.
 */
static struct caller_timeouts *
get_caller_timeouts(struct flow *flow, uint32_t route)
{
	struct caller_timeouts *caller_timeouts = g_hash_table_lookup(
	    flow->route_caller_timeouts, GUINT_TO_POINTER(route));

	if (caller_timeouts == NULL) {
		caller_timeouts = g_new0(struct caller_timeouts, 1);
		g_hash_table_insert(flow->route_caller_timeouts,
		    GUINT_TO_POINTER(route), caller_timeouts);
	}
	return caller_timeouts;
}

/*
 * Sets the objective and the deadline of a request from the caller's timeout,
 * the time it has already waited, and the route's limits.
 */
static void
set_deadlines(struct exchange *x)
{
	uint64_t wait_ms = exchange_caller_timeout_ms(x);
	uint64_t route_ms = x->route->timeout_ms;
	uint64_t objective_ms = x->route->objective_ms;
	uint64_t elapsed;

	struct caller_timeouts *caller_timeouts =
	    get_caller_timeouts(x->flow, x->route->id);
	uint64_t prior_wait_ms =
	    caller_timeouts_elapsed_ms(caller_timeouts, wait_ms);

	caller_timeouts_record(caller_timeouts, wait_ms);
	/* The objective starts at the caller's first try. */
	objective_ms =
	    objective_ms > prior_wait_ms ? objective_ms - prior_wait_ms : 0;
	x->prior_wait_ms = prior_wait_ms;
	x->caller_deadline_us = x->arrival_us + wait_ms * US_PER_MS;
	if (route_ms > 0 && route_ms < wait_ms)
		wait_ms = route_ms;
	x->deadline_us = x->arrival_us + wait_ms * US_PER_MS;
	x->objective_us = x->arrival_us +
	    (objective_ms < wait_ms ? objective_ms : wait_ms) * US_PER_MS;
	/* The head or the startup may have taken a part of the time. */
	elapsed = elapsed_ms(x) + DEADLINE_MARGIN_MS;
	uv_timer_start(&x->timer, on_deadline,
	    wait_ms > elapsed ? wait_ms - elapsed : 0, 0);
}

/*
 * Returns whether a request arrives so late in a stop that the stop might cut
 * it: it is rejected before it runs.
 */
static bool
may_be_cut(const struct exchange *x)
{
	const struct flow *flow = x->flow;

	return flow->stopping &&
	    uv_now(flow->loop) - flow->stopping_ms > STOP_ACCEPT_ALL_MS &&
	    x->deadline_us > stop_end_ms(flow) * US_PER_MS;
}

/*
 * Routes a complete request and asks for a target.
 */
void
exchange_begin(struct exchange *x)
{
	struct flow *flow = x->flow;
	struct str rest = str_buf_view(&x->target);
	struct str path;
	struct str host = head_find(&x->head, "Host");
	struct str attempt = head_find(&x->head, flow->dialect.attempt_header);
	const struct route_service *part;
	uint64_t refused_us;

	if (!x->was_parked)
		counter_add(flow->requests, 1);
	snprintf(x->attempt_id, sizeof(x->attempt_id), "%.*s",
	    STR_ARG(attempt.data != NULL ? attempt : str_from("")));
	if (!memory_budget_has_room(&flow->memory, 0)) {
		counter_add(flow->memory_refused, 1);
		exchange_refuse(x, 503, NO_MEMORY_RETRY_US, "no memory");
		return;
	}
	if (startup_park(x))
		return;
	if (flow->routes == NULL) {
		exchange_refuse(
		    x, 503, startup_remaining_us(flow), "no document yet");
		return;
	}
	x->routes = routes_get(flow->routes);
	(void)str_split(&rest, '?', &path);
	x->route =
	    host.data != NULL ? routes_find(x->routes, host, path) : NULL;
	if (x->route == NULL) {
		exchange_refuse(x, 404, 0, "no route");
		return;
	}
	if (!account_authenticate(x))
		return;
	crash_identify(x);
	refused_us = crash_refused_us(x);
	if (refused_us > 0) {
		crash_refuse(x, refused_us);
		return;
	}
	part = route_next_destination(x->route);
	if (part == NULL) {
		exchange_refuse(x, 503, NO_DOCUMENT_RETRY_US, "no weight");
		return;
	}
	x->service = fleet_next_part(flow, part->name);
	set_deadlines(x);
	if (may_be_cut(x)) {
		exchange_refuse(
		    x, 503, OTHER_ENTRY_RETRY_US, exchange_stopping_reason);
		return;
	}
	if (!ahead_hold(x))
		schedule_ask(x, false);
}

/*
 * Returns whether a target may still get the request: it could not answer it in
 * less than the margin.
 */
bool
exchange_has_time_to_send(const struct exchange *x)
{
	return flow_now_us(x->flow) + DEADLINE_MARGIN_MS * US_PER_MS <
	    x->deadline_us;
}

/*
 * Sends again after a failed send, or ends the request.
 */
void
exchange_retry(struct exchange *x, const char *reason)
{
	bool may_repeat =
	    !x->possibly_executed || route_is_idempotent(x->route);

	if (x->ended || exchange_has_open_attempt(x))
		return;
	if (!may_repeat || x->attempt_count >= x->route->max_attempts ||
	    x->attempt_count >= ATTEMPTS_MAX ||
	    x->excluded_count == PLACEMENT_EXCLUDED_MAX ||
	    !exchange_has_time_to_send(x)) {
		exchange_end_with_failure(x, NO_DOCUMENT_RETRY_US, reason);
		return;
	}
	schedule_ask(x, x->attempt_count > 0);
}
