/*
 * Handling of a request after its target has responded or failed.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

static const char *const outcome_names[] = {
    [OUTCOME_ANSWERED] = "answered",
    [OUTCOME_FAILED] = "failed",
    [OUTCOME_SHED] = "shed",
    [OUTCOME_UNREACHABLE] = "unreached",
    [OUTCOME_TIMED_OUT] = "silent",
    [OUTCOME_ABANDONED] = "abandoned",
    [OUTCOME_RESET_FULL] = "reset_full",
};

static void
read_response_load(struct attempt *attempt, const struct upstream *up)
{
	attempt->has_load = response_read_load(up, &attempt->load);
}

/*
 * Returns whether a status of this system guarantees that the request did not
 * run.
 */
static bool
guarantees_not_run(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/*
 * Ends a send whose connection can be reused.
 */
static void
finish_attempt(struct attempt *attempt, enum placement_outcome outcome)
{
	struct upstream *up = attempt->upstream;

	attempt->upstream = NULL;
	up->attempt = NULL;
	schedule_complete(attempt, outcome);
	upstream_release(up);
}

static void
log_attempt(const struct attempt *attempt, enum placement_outcome outcome,
    const char *reason)
{
	const struct exchange *x = attempt->exchange;

	if (!flow_may_log(x->flow))
		return;
	log_info("send",
	    "instance=%s request=%" PRIu64 " attempt=%s target=%s outcome=%s "
	    "reason=\"%s\" ms=%" PRIu64 " deadline_left_ms=%" PRId64,
	    x->flow->settings.instance, x->id, x->attempt_id, attempt->target,
	    outcome_names[outcome], reason,
	    (flow_now_us(x->flow) - attempt->started_us) / US_PER_MS,
	    ((int64_t)x->deadline_us - (int64_t)flow_now_us(x->flow)) / 1000);
}

/*
 * Counts and logs a successful answer.
 */
static void
record_success(struct exchange *x, int status)
{
	uint64_t now = flow_now_us(x->flow);

	counter_add(x->flow->answered, 1);
	histogram_record(&x->flow->latency, now - x->arrival_us);
	exchange_log_end(
	    x, now > x->objective_us ? "late" : "answered", status, "");
}

/*
 * Forwards a complete response of a target.
 */
static void
deliver(struct attempt *attempt, bool success)
{
	struct exchange *x = attempt->exchange;
	struct upstream *up = attempt->upstream;
	int status = (int)up->parser.status_code;

	str_buf_clear(&x->out);
	answer_target_head(x, up, true, &x->out);
	if (x->method != HTTP_HEAD) {
		str_buf_reserve(&x->out, x->out.len + up->body.len + 1);
		str_buf_append(&x->out, str_buf_view(&up->body));
	}
	x->ended = true;
	if (success)
		ahead_record_answer(x, x->out.len);
	memory_track_answer(x);
	exchange_drop_request(x);
	finish_attempt(attempt, success ? OUTCOME_ANSWERED : OUTCOME_FAILED);
	schedule_cancel(x);
	exchange_end_attempts(x, OUTCOME_ABANDONED);
	uv_timer_stop(&x->timer);
	if (success) {
		record_success(x, status);
	} else {
		counter_add(x->flow->failed, 1);
		histogram_record(
		    &x->flow->latency, flow_now_us(x->flow) - x->arrival_us);
		exchange_log_end(x, "target_failure", status, "");
	}
	exchange_flush(x);
}

/*
 * Keeps a target's failure response while another target is tried.
 */
static void
keep_fallback(struct attempt *attempt, const char *reason)
{
	struct exchange *x = attempt->exchange;
	const struct upstream *up = attempt->upstream;

	x->fallback_status = (int)up->parser.status_code;
	str_buf_clear(&x->fallback);
	answer_target_head(x, up, true, &x->fallback);
	if (x->method != HTTP_HEAD)
		str_buf_append(&x->fallback, str_buf_view(&up->body));
	memory_track_answer(x);
	log_attempt(attempt, OUTCOME_FAILED, reason);
	finish_attempt(attempt, OUTCOME_FAILED);
	exchange_retry(x, reason);
}

/*
 * Processes a complete response of a target.
 */
void
exchange_on_response(struct attempt *attempt)
{
	struct exchange *x = attempt->exchange;
	struct upstream *up = attempt->upstream;
	unsigned status = up->parser.status_code;
	bool proved =
	    head_find(&up->head, x->flow->dialect.proof_header).data != NULL;

	read_response_load(attempt, up);
	if (x->streaming) {
		if (x->chunked)
			str_buf_append(&x->out, STR_LITERAL("0\r\n\r\n"));
		x->ended = true;
		crash_on_answered(x);
		ahead_record_answer(x, x->streamed_bytes);
		finish_attempt(attempt, OUTCOME_ANSWERED);
		uv_timer_stop(&x->timer);
		record_success(x, (int)status);
		exchange_flush(x);
		return;
	}
	if (up->not_run) {
		bool wrong_target = status == 421;

		/* No further request could use it. */
		if (wrong_target)
			up->keep_alive = false;
		log_attempt(attempt,
		    wrong_target ? OUTCOME_UNREACHABLE : OUTCOME_SHED,
		    "not run");
		finish_attempt(
		    attempt, wrong_target ? OUTCOME_UNREACHABLE : OUTCOME_SHED);
		exchange_retry(x, "the target did not run it");
		return;
	}
	x->possibly_executed = true;
	if (proved)
		crash_on_answered(x);
	if (status < 300 && proved) {
		deliver(attempt, true);
		return;
	}
	if (status >= 500 && route_is_idempotent(x->route)) {
		keep_fallback(attempt, "the target failed it");
		return;
	}
	if (status < 300 ||
	    (guarantees_not_run(status) && !route_is_idempotent(x->route))) {
		/*
		 * Without the proof header, the response and its status
		 * guarantee nothing: the request may have run.
		 */
		log_attempt(
		    attempt, OUTCOME_FAILED, "response without proof header");
		finish_attempt(attempt, OUTCOME_FAILED);
		exchange_retry(x, "the target's answer was not proved");
		return;
	}
	deliver(attempt, status < 500);
}

/*
 * Excludes a target from further sends of a request.
 */
static void
exclude(struct exchange *x, uint32_t target_hash)
{
	if (x->excluded_count < PLACEMENT_EXCLUDED_MAX)
		x->excluded[x->excluded_count++] = target_hash;
}

/*
 * The connection failed, or could not be made, before a complete response.
 */
void
exchange_on_send_failed(
    struct attempt *attempt, enum placement_outcome outcome, const char *reason)
{
	struct exchange *x = attempt->exchange;

	log_attempt(attempt, outcome, reason);
	attempt->upstream = NULL;
	if (attempt->sent)
		x->possibly_executed = true;
	schedule_complete(attempt, outcome);
	exclude(x, attempt->target_hash);
	if (!attempt->sent && attempt == &x->attempts[x->attempt_count - 1]) {
		/* Nothing was sent, so this does not count as an attempt. */
		mem_free(attempt->target);
		attempt->target = NULL;
		x->attempt_count--;
	}
	if (x->streaming) {
		exchange_refuse(x, 502, 0, reason);
		return;
	}
	exchange_retry(x, reason);
}

/*
 * The target reset the connection before any byte of a response.  The request
 * may have run, but if the target is known to be full this is no failure.
 */
void
exchange_on_reset(struct attempt *attempt, const char *reason)
{
	struct exchange *x = attempt->exchange;
	bool full = placement_is_full(x->service->placement, attempt->target,
	    &x->requester, flow_now_us(x->flow));

	attempt->reset = true;
	if (full)
		counter_add(x->flow->resets_full, 1);
	exchange_on_send_failed(
	    attempt, full ? OUTCOME_RESET_FULL : OUTCOME_FAILED, reason);
}

/*
 * Forwards the available part of a large response.  Only a successful response
 * with the proof header is streamed before it is complete.
 */
void
exchange_on_partial_response(struct attempt *attempt)
{
	struct exchange *x = attempt->exchange;
	struct upstream *up = attempt->upstream;

	if (!x->streaming) {
		if (up->parser.status_code >= 300 ||
		    head_find(&up->head, x->flow->dialect.proof_header).data ==
			NULL)
			return;
		for (unsigned i = 0; i < x->attempt_count; i++) {
			struct attempt *other = &x->attempts[i];
			struct upstream *loser = other->upstream;

			if (other == attempt || loser == NULL)
				continue;
			other->upstream = NULL;
			loser->attempt = NULL;
			schedule_complete(other, OUTCOME_ABANDONED);
			upstream_close(loser);
		}
		x->possibly_executed = true;
		str_buf_clear(&x->out);
		answer_target_head(x, up, false, &x->out);
		x->streaming = true;
		exchange_drop_body(x);
	}
	if (up->body.len > 0) {
		x->streamed_bytes += up->body.len;
		if (x->chunked)
			str_buf_printf(&x->out, "%zx\r\n", up->body.len);
		str_buf_append(&x->out, str_buf_view(&up->body));
		if (x->chunked)
			str_buf_append(&x->out, STR_LITERAL("\r\n"));
		upstream_drop_response(up);
		memory_track_answer(x);
	}
	/* The answers of a connection are returned in order. */
	if (x->caller != NULL &&
	    g_queue_peek_head(&x->caller->exchanges) != x) {
		if (memory_budget_holds_many_answers(&x->flow->memory))
			upstream_pause(up, true);
		return;
	}
	exchange_flush(x);
}
