#include "entry/call.h"

#include "base/clock.h"
#include "entry/attempt.h"
#include "entry/crash_guard.h"
#include "entry/request.h"
#include "retry/crash_ledger.h"

enum {
	ATTEMPTS_MAX = 8,
	CLIENT_CLOSED_STATUS = 499 /* as nginx logs it */
};

static const uint64_t default_retry_after_us = US_PER_S;
/* The caller's connection is checked only after a longer wait. */
static const uint64_t caller_check_wait_us = 20 * US_PER_MS;

struct call {
	struct request request;
	struct attempt attempt;
	struct admission_ticket *slot;
	bool needs_claim; /* non-idempotent */
	bool in_claim_wait; /* counted in service->claim_waits */
	struct claim_submission submission;
	uint8_t digest[POLICY_DIGEST_BYTES];
	struct balance_ticket tried[ATTEMPTS_MAX];
	unsigned attempts;
	unsigned withdrawn; /* of these; they cost no retry */
	struct crash_identity identity;
	unsigned ended_targets; /* by this call's attempts */
	bool may_have_run; /* the outcome of some attempt is unknown */
	int status; /* HTTP status of the answer */
};

/*
 * Refuses the call and stores the HTTP status.  Once an attempt may have run,
 * the outcome is reported as unknown.
 */
static int
refuse(struct call *c, enum refusal_reason reason, enum refusal_outcome outcome,
    uint64_t retry_after_us)
{
	if (c->may_have_run)
		outcome = REFUSAL_UNKNOWN;
	c->status =
	    request_refuse(&c->request, reason, outcome, retry_after_us);
	return c->status;
}

/* Releases the call's slot, if it has one. */
static void
release_slot(struct call *c)
{
	if (c->slot == NULL)
		return;
	service_end_call(c->request.service, c->slot);
	c->slot = NULL;
}

/* Ends a call whose caller has disconnected before an answer was started. */
static void
abandon(struct call *c)
{
	counter_add(c->request.entry->counters.callers_gone, 1);
	mg_disable_connection_keep_alive(c->request.conn);
	release_slot(c);
	c->status = CLIENT_CLOSED_STATUS;
}

/* Why a call was not admitted. */
struct admission_refusal {
	enum refusal_reason reason;
	uint64_t retry_after_us;
	bool caller_gone; /* the caller has disconnected */
};

/*
 * Waits for admission; false, with the reason, when it is refused or the
 * caller has disconnected.  Sends no answer.
 */
static bool
admit(struct call *c, struct admission_refusal *why)
{
	struct request *r = &c->request;
	struct service_call call = {
	    .policy = &r->section->service,
	    .route = r->route,
	    .tenant = r->tenant,
	    .deadline_us = r->deadline_us,
	};

	*why = (struct admission_refusal){0};
	if (!service_admit(r->service, &call, &c->slot, &why->reason,
		&why->retry_after_us))
		return false;
	if (clock_monotonic_us() - r->arrived_us < caller_check_wait_us ||
	    !web_caller_disconnected(r->conn))
		return true;
	why->caller_gone = true;
	why->reason = REFUSAL_QUEUE_TIMEOUT;
	release_slot(c);
	return false;
}

/*
 * Decides after a failed attempt whether to retry: never when the body cannot
 * be sent again, the caller has disconnected or ATTEMPTS_MAX is reached.
 */
static enum retry_verdict
decide_retry(struct call *c)
{
	struct request *r = &c->request;
	struct retry_call call = {
	    .repeatable = r->route->repeatable,
	    .depth = r->depth,
	    .attempts = c->attempts - c->withdrawn,
	    .deadline_us = r->deadline_us,
	    .expected_us = atomic_load(&r->service->smoothed_attempt_us),
	};

	if (c->attempt.failure != RETRY_NOT_SENT && c->attempt.body_streamed)
		return RETRY_NOT_ALLOWED;
	if (c->ended_targets >= CRASHES_MAX ||
	    (c->ended_targets > 0 &&
		crash_guard_left_us(r->entry->crashes, &c->identity) > 0))
		return RETRY_NOT_ALLOWED;
	if (r->body_truncated || r->body_too_large ||
	    c->attempt.answer.caller_gone || c->attempts == ATTEMPTS_MAX)
		return RETRY_NOT_ALLOWED;
	return retry_decide(r->service->retries, &call, c->attempt.failure,
	    clock_monotonic_us());
}

/*
 * Returns the refusal reason after the last attempt has failed.  Errors of the
 * caller take precedence.
 */
static enum refusal_reason
failure_reason(const struct call *c, enum retry_verdict verdict)
{
	const struct request *r = &c->request;

	if (r->body_too_large)
		return REFUSAL_BODY_TOO_LARGE;
	if (r->body_truncated)
		return REFUSAL_MALFORMED_REQUEST;
	if (verdict == RETRY_NO_BUDGET && !c->may_have_run)
		return REFUSAL_RETRY_BUDGET_SPENT;
	switch (c->attempt.failure) {
	case RETRY_SHED:
		return REFUSAL_TARGETS_SHEDDING;
	case RETRY_NOT_SENT:
		return c->attempt.timed_out ? REFUSAL_QUEUE_TIMEOUT
					    : REFUSAL_NO_TARGET;
	default:
		return c->attempt.timed_out ? REFUSAL_TARGET_TIMEOUT
					    : REFUSAL_TARGET_FAILED;
	}
}

/*
 * Refuses the call if the claim's step says so.  retry_after_us is when a retry
 * is worthwhile, if that is known, else 0.
 */
static void
refuse_by_claim(struct call *c, uint64_t retry_after_us)
{
	const struct claim_step *step = &c->submission.step;

	if (step->reply != CLAIM_REPLY_REFUSAL)
		return;
	if (retry_after_us == 0)
		retry_after_us = default_retry_after_us;
	if (step->reason == REFUSAL_CLAIM_OUTCOME_UNKNOWN)
		retry_after_us = 0;
	refuse(c, step->reason, step->outcome, retry_after_us);
}

/*
 * Ends a call without an answer from a target.  With a claim, the claim's step
 * decides the refusal.  retry_after_us is as for refuse_by_claim().
 */
static void
fail_call(struct call *c, enum retry_failure failure,
    enum refusal_reason reason, uint64_t retry_after_us)
{
	if (c->needs_claim) {
		c->submission.step =
		    claim_attempt_on_failure(&c->submission.attempt, failure,
			reason, clock_monotonic_us());
		if (failure != RETRY_ANSWER_STARTED)
			refuse_by_claim(c, retry_after_us);
		return;
	}
	if (retry_after_us == 0)
		retry_after_us = default_retry_after_us;
	if (failure != RETRY_ANSWER_STARTED)
		refuse(c, reason, retry_outcome(failure), retry_after_us);
}

/*
 * Ends a call after its last attempt has failed, with a refusal if the caller
 * can still be answered.
 */
static void
finish_failed(struct call *c, enum retry_verdict verdict)
{
	struct entry *entry = c->request.entry;

	if (c->attempt.answer.caller_gone && !c->needs_claim) {
		abandon(c);
		return;
	}
	if (c->attempt.failure == RETRY_ANSWER_STARTED) {
		counter_add(c->attempt.answer.caller_gone
			? entry->counters.callers_gone
			: entry->counters.truncated,
		    1);
		c->status = c->attempt.answer.status;
	}
	fail_call(c, c->attempt.failure, failure_reason(c, verdict), 0);
}

/* Returns whether the request may be sent to a target; refuses it if not. */
static bool
may_send(struct call *c)
{
	if (!c->needs_claim)
		return true;
	if (claim_attempt_begin_send(&c->submission.attempt,
		clock_monotonic_us(), &c->submission.step))
		return true;
	refuse_by_claim(c, 0);
	return false;
}

/*
 * Tells the guard how an attempt ended, whose ticket is not finished yet.  A
 * call that timed out or was cancelled says nothing of its target.
 */
static void
note_attempt(struct call *c)
{
	const struct attempt *a = &c->attempt;
	struct crash_guard *crashes = c->request.entry->crashes;

	if (a->answered)
		crash_guard_on_answered(crashes, &c->identity);
	else if (a->outcome == BALANCE_BROKEN && !a->timed_out &&
	    crash_guard_on_broken(crashes, &c->identity,
		balancer_ticket_id(&a->ticket),
		balancer_ticket_incarnation(&a->ticket),
		balancer_ticket_address(&a->ticket)))
		c->ended_targets++;
}

/*
 * Picks a target and runs one attempt; false, with the call refused, when no
 * target could be picked or the claim doesn't allow sending.
 */
static bool
try_target(struct call *c)
{
	struct request *r = &c->request;
	struct balance_ticket ticket;
	struct balance_call pick = {
	    .avoid = c->tried,
	    .avoid_count = c->attempts,
	    .bulk = r->route->class == POLICY_BULK,
	};
	enum refusal_reason reason;
	uint64_t retry_after_us;

	if (!service_pick_target(r->service, &pick, r->deadline_us, &ticket,
		&reason, &retry_after_us)) {
		fail_call(c, RETRY_NOT_SENT, reason, retry_after_us);
		return false;
	}
	if (!may_send(c)) {
		balancer_finish(r->service->balancer, &ticket,
		    BALANCE_CANCELLED, clock_monotonic_us(), NULL);
		return false;
	}
	c->tried[c->attempts++] = ticket;
	attempt_run(&c->attempt, &ticket);
	note_attempt(c);
	balancer_finish(r->service->balancer, &ticket, c->attempt.outcome,
	    clock_monotonic_us(),
	    c->attempt.answer.has_report ? &c->attempt.answer.report : NULL);
	return true;
}

/*
 * Returns whether the call, of which nothing was sent, only has to be placed
 * elsewhere because its target left or asked to back off.
 */
static bool
is_replaced(struct call *c)
{
	if (!c->attempt.withdrawn || c->attempts == ATTEMPTS_MAX)
		return false;
	c->withdrawn++;
	if (c->needs_claim)
		claim_attempt_send_not_started(&c->submission.attempt);
	return true;
}

/* Runs attempts until one is answered or no retry is allowed. */
static bool
run_attempts(struct call *c)
{
	struct request *r = &c->request;

	retry_budget_count_call(r->service->retries);
	for (;;) {
		enum retry_verdict verdict;

		if (!try_target(c))
			return false;
		if (c->attempt.answered) {
			c->status = c->attempt.answer.status;
			counter_add(r->service->answered, 1);
			service_record_duration(
			    r->service, c->attempt.duration_us);
			return true;
		}
		if (retry_outcome(c->attempt.failure) == REFUSAL_UNKNOWN)
			c->may_have_run = true;
		if (is_replaced(c))
			continue;
		verdict = decide_retry(c);
		if (verdict != RETRY_AGAIN) {
			finish_failed(c, verdict);
			return false;
		}
		if (c->needs_claim)
			claim_attempt_send_not_started(&c->submission.attempt);
		counter_add(r->service->retried, 1);
	}
}

/*
 * Sends the stored answer of an earlier call with the same key, marked as
 * replayed.  Returns the HTTP status.
 */
static int
send_stored_answer(struct call *c, const Wire__Result *result)
{
	const Wire__ClaimResult *claim = result->claim;
	struct str_buf headers = {0};
	struct web_reply reply = {
	    .status = (int)claim->http_status,
	    .body = str_of((const char *)claim->answer.data, claim->answer.len),
	};

	str_buf_append_c(&headers, "Idempotency-Replayed: true\r\n");
	reply.headers = headers.data;
	if (claim->content_type != NULL && claim->content_type[0] != '\0')
		reply.content_type = claim->content_type;
	c->status = web_answer(c->request.conn, &reply);
	str_buf_free(&headers);
	return c->status;
}

/*
 * Fills in the claim's parameters and has the answer copied for it.  The
 * answer is then read to its end even if the caller disconnects.
 */
static void
prepare_claim(struct call *c)
{
	struct request *r = &c->request;
	const struct policy_service *policy = &r->section->service;

	request_digest(r, c->digest);
	c->submission.call = (struct claim_client_call){
	    .key = {.tenant = r->tenant->name,
		.service = r->section->name,
		.key = r->key},
	    .route = r->route->name,
	    .digest = c->digest,
	    .retention_s = policy->claim_retention_s,
	    .claims_max = policy->claims_max,
	    .deadline_us = r->deadline_us,
	};
	c->attempt.answer.copy_max = policy->claim_answer_max_bytes;
	c->attempt.answer.read_to_end = true;
}

/*
 * Opens the claim until there is a decision; false when the call was answered or
 * refused instead.  While it waits for another attempt, or for control that does
 * not answer, the call holds no slot.  Of the latter there may be as many as in
 * the queue; more keep their slots, so that their number stays bounded.
 */
static bool
open_claim(struct call *c)
{
	struct claim_client *claim_client = c->request.entry->claim_client;

	claim_client_begin(claim_client, &c->submission);
	for (;;) {
		switch (claim_client_open(claim_client, &c->submission)) {
		case CLAIM_DECISION_RUN:
			return true;
		case CLAIM_DECISION_REPLAY:
			send_stored_answer(c, c->submission.replay);
			link_result_free(c->submission.replay);
			return false;
		case CLAIM_DECISION_REFUSE:
			refuse_by_claim(c, 0);
			return false;
		case CLAIM_DECISION_WAIT:
			release_slot(c);
			claim_client_wait(claim_client, &c->submission);
			break;
		case CLAIM_DECISION_UNANSWERED:
			if (c->slot == NULL ||
			    !service_enter_claim_wait(c->request.service))
				break;
			c->in_claim_wait = true;
			release_slot(c);
			break;
		}
	}
}

/*
 * Acquires the claim; false when the call was answered or refused instead.
 */
static bool
acquire_claim(struct call *c)
{
	bool acquired;

	prepare_claim(c);
	acquired = open_claim(c);
	if (c->in_claim_wait)
		service_leave_claim_wait(c->request.service);
	c->in_claim_wait = false;
	return acquired;
}

/* Ends the claim with the call's outcome. */
static void
end_claim(struct call *c, bool answered)
{
	const struct answer *answer = &c->attempt.answer;
	struct claim_answer stored = {
	    .http_status = (uint32_t)answer->status,
	    .content_type = str_from(answer->content_type),
	    .body = str_buf_view(&answer->body_copy),
	    .kept = answer->copy_complete,
	};

	if (answered)
		c->submission.step = claim_attempt_on_answer(
		    &c->submission.attempt, clock_monotonic_us());
	claim_client_end(c->request.entry->claim_client, &c->submission,
	    answered ? &stored : NULL);
}

/* Runs a call without a claim, from admission to its end. */
static void
run_unclaimed(struct call *c)
{
	struct admission_refusal why;

	if (admit(c, &why)) {
		(void)run_attempts(c);
		release_slot(c);
	} else if (why.caller_gone) {
		abandon(c);
	} else {
		refuse(c, why.reason, REFUSAL_NOT_RUN, why.retry_after_us);
	}
}

/*
 * Runs a call under a claim.  An earlier submission with the same key may have
 * run, so even a call that is not admitted queries its claim before it is
 * answered, within a rate limit.
 */
static void
run_claimed(struct call *c)
{
	struct admission_refusal why;
	bool admitted = admit(c, &why);
	bool answered = false;

	c->needs_claim = true;
	if (!admitted &&
	    !claim_client_take_query_token(c->request.entry->claim_client)) {
		refuse(c, why.reason, REFUSAL_UNKNOWN, why.retry_after_us);
		return;
	}
	if (acquire_claim(c)) {
		if (admitted && c->slot == NULL)
			admitted = admit(c, &why);
		if (admitted)
			answered = run_attempts(c);
		else
			fail_call(
			    c, RETRY_NOT_SENT, why.reason, why.retry_after_us);
	}
	release_slot(c);
	end_claim(c, answered);
}

/*
 * Returns the outcome of a request that is refused before its claim is
 * queried.  One with an idempotency key may be a resend of a submission that
 * ran at another entry.  If the refusal is due to a temporary state of this
 * entry or to the remaining time, not to the request itself, only the claim
 * would show that, so the outcome is unknown.
 */
static enum refusal_outcome
outcome_before_claim(const struct request *r, enum refusal_reason reason)
{
	if (web_header(r->conn, "Idempotency-Key").len == 0)
		return REFUSAL_NOT_RUN;
	switch (reason) {
	case REFUSAL_ENTRY_CUT_OFF:
	case REFUSAL_NO_DOCUMENT:
	case REFUSAL_DEADLINE_TOO_SHORT:
	case REFUSAL_ENDS_TARGETS:
		return REFUSAL_UNKNOWN;
	default:
		return REFUSAL_NOT_RUN;
	}
}

/*
 * Runs the call, under a claim if its route is not repeatable, unless targets
 * end under its request.
 */
static void
run_call(struct call *c)
{
	struct request *r = &c->request;
	uint64_t left_us;

	c->identity =
	    crash_identity_of(request_content_hash(r), r->info->remote_addr);
	left_us = crash_guard_left_us(r->entry->crashes, &c->identity);
	if (left_us > 0)
		refuse(c, REFUSAL_ENDS_TARGETS,
		    outcome_before_claim(r, REFUSAL_ENDS_TARGETS), left_us);
	else if (r->route->repeatable)
		run_unclaimed(c);
	else
		run_claimed(c);
}

/*
 * Counts the call as good or bad for each objective that matches its route.
 * It is good if its status is below 500 and it met the objective's latency.
 */
static void
record_objectives(const struct call *c)
{
	const struct request *r = &c->request;
	const struct policy_service *service = &r->section->service;
	uint64_t now_us = clock_monotonic_us();
	uint64_t taken_ms = (now_us - r->arrived_us) / US_PER_MS;

	for (uint32_t i = 0; i < service->objective_count; i++) {
		const struct policy_objective *o = &service->objectives[i];
		struct burn_key key = {
		    .service = r->section->name,
		    .objective = o->name,
		    .tenant = r->tenant->name,
		};

		if (!policy_pattern_matches(o->route, r->route->name))
			continue;
		burn_record(r->entry->burn, &key, o->success_permyriad,
		    o->window_s,
		    c->status < 500 &&
			(o->latency_ms == 0 || taken_ms <= o->latency_ms),
		    now_us);
	}
}

/*
 * Serves a request.  Returns the HTTP status of the answer.
 */
int
call_serve(struct entry *entry, struct mg_connection *conn)
{
	struct call c = {
	    .request = {.entry = entry,
		.conn = conn,
		.info = mg_get_request_info(conn),
		.arrived_us = clock_monotonic_us()},
	};
	struct request *r = &c.request;
	enum refusal_reason reason;

	c.attempt.request = r;
	c.attempt.answer.conn = conn;
	c.attempt.answer.close = atomic_load(&entry->closing);
	c.attempt.answer.leaving_header = entry->leaving_header;
	c.attempt.answer.head_request =
	    str_equal_c(str_from(r->info->request_method), "HEAD");
	counter_add(entry->counters.in_flight, 1);
	if (!request_identify(r, &reason) ||
	    !request_read_body(r, !r->route->repeatable, &reason))
		refuse(&c, reason, outcome_before_claim(r, reason), 0);
	else
		run_call(&c);
	if (r->tenant != NULL && r->route != NULL)
		record_objectives(&c);
	answer_release(&c.attempt.answer);
	request_release(r);
	counter_add(entry->counters.in_flight, -1);
	return c.status > 0 ? c.status : 500;
}
