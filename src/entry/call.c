#include "entry/call.h"

#include "base/clock.h"
#include "entry/attempt.h"
#include "entry/request.h"

enum {
	ATTEMPTS_MAX = 8,
	CLIENT_CLOSED_STATUS = 499 /* as logs of other servers have it */
};

static const uint64_t shed_retry_after_us = US_PER_S;
/* A call that waited less is not asked for its caller. */
static const uint64_t gone_look_us = 20 * US_PER_MS;

struct call {
	struct request request;
	struct attempt attempt;
	struct admission_ticket *admitted;
	bool claims; /* unrepeatable: runs under a claim */
	struct claiming_tap tap;
	uint8_t digest[POLICY_DIGEST_BYTES];
	struct balance_ticket tried[ATTEMPTS_MAX];
	unsigned attempts;
	bool may_have_run; /* some attempt's end is unknown */
	int status; /* of what was answered */
};

/*
 * Refuses the call and keeps the HTTP status; once an attempt may have run,
 * the outcome is unknown whatever was asked for.
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

/* Gives the slot back, if the call has one. */
static void
leave(struct call *c)
{
	if (c->admitted == NULL)
		return;
	service_leave(c->request.service, c->admitted);
	c->admitted = NULL;
}

/* The caller left while its call waited: it is not started. */
static void
abandon(struct call *c)
{
	counter_add(c->request.entry->counters.gone, 1);
	mg_disable_connection_keep_alive(c->request.conn);
	leave(c);
	c->status = CLIENT_CLOSED_STATUS;
}

/* Why a call was not admitted. */
struct turned_away {
	enum refusal_reason reason;
	uint64_t retry_after_us;
	bool gone; /* the caller has left */
};

/* Waits for admission; says nothing to the caller. */
static bool
admit(struct call *c, struct turned_away *why)
{
	struct request *r = &c->request;
	struct service_call ask = {
	    .policy = &r->section->service,
	    .route = r->route,
	    .tenant = r->tenant,
	    .deadline_us = r->deadline_us,
	};

	*why = (struct turned_away){0};
	if (!service_enter(r->service, &ask, &c->admitted, &why->reason,
		&why->retry_after_us))
		return false;
	if (clock_monotonic_us() - r->arrived_us < gone_look_us ||
	    !web_caller_disconnected(r->conn))
		return true;
	why->gone = true;
	why->reason = REFUSAL_QUEUE_TIMEOUT;
	leave(c);
	return false;
}

/*
 * Decides after a failed attempt whether another may follow: never when the
 * body is used up, the caller is gone or ATTEMPTS_MAX is reached.
 */
static enum retry_verdict
decide(struct call *c)
{
	struct request *r = &c->request;
	struct retry_call ask = {
	    .repeatable = r->route->repeatable,
	    .depth = r->depth,
	    .attempts = c->attempts,
	    .deadline_us = r->deadline_us,
	    .expected_us = atomic_load(&r->service->typical_us),
	};

	if (c->attempt.failure != RETRY_NOT_SENT && c->attempt.body_consumed)
		return RETRY_NOT_ALLOWED;
	if (r->body_broken || r->body_too_large ||
	    c->attempt.answer.caller_gone || c->attempts == ATTEMPTS_MAX)
		return RETRY_NOT_ALLOWED;
	return retry_decide(r->service->retries, &ask, c->attempt.failure,
	    clock_monotonic_us());
}

/*
 * Returns the reason to refuse with after the last attempt failed; the
 * caller's own faults come first.
 */
static enum refusal_reason
failure_reason(const struct call *c, enum retry_verdict verdict)
{
	const struct request *r = &c->request;

	if (r->body_too_large)
		return REFUSAL_BODY_TOO_LARGE;
	if (r->body_broken)
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

/* Tells the caller what a claim's step says. */
static void
refuse_step(struct call *c)
{
	const struct claim_step *step = &c->tap.step;

	if (step->tell == CLAIM_TELL_REFUSAL)
		refuse(c, step->reason, step->outcome,
		    step->reason == REFUSAL_CLAIM_OUTCOME_UNKNOWN
			? 0
			: shed_retry_after_us);
}

/* No attempt was answered; the claim, if there is one, decides its end. */
static void
fail(struct call *c, enum retry_failure failure, enum refusal_reason reason)
{
	if (c->claims) {
		c->tap.step = claim_attempt_failed(
		    &c->tap.attempt, failure, reason, clock_monotonic_us());
		if (failure != RETRY_ANSWER_STARTED)
			refuse_step(c);
		return;
	}
	if (failure != RETRY_ANSWER_STARTED)
		refuse(c, reason, retry_outcome(failure), shed_retry_after_us);
}

/* The last attempt failed: tells the caller, if it can still be told. */
static void
give_up(struct call *c, enum retry_verdict verdict)
{
	struct entry *entry = c->request.entry;

	if (c->attempt.answer.caller_gone && !c->claims) {
		abandon(c);
		return;
	}
	if (c->attempt.failure == RETRY_ANSWER_STARTED) {
		counter_add(c->attempt.answer.caller_gone
			? entry->counters.gone
			: entry->counters.cut_short,
		    1);
		c->status = c->attempt.answer.status;
	}
	fail(c, c->attempt.failure, failure_reason(c, verdict));
}

/* Asked before each sending: may bytes go to a target? */
static bool
may_send(struct call *c)
{
	if (!c->claims)
		return true;
	if (claim_attempt_sending(
		&c->tap.attempt, clock_monotonic_us(), &c->tap.step))
		return true;
	refuse_step(c);
	return false;
}

/* Makes one attempt; false when no target could be picked. */
static bool
try_once(struct call *c)
{
	struct request *r = &c->request;
	struct balance_ticket ticket;
	struct balance_call pick = {
	    .avoid = c->tried,
	    .avoid_count = c->attempts,
	    .bulk = r->route->class == POLICY_BULK,
	};
	enum refusal_reason reason;

	if (!service_pick(
		r->service, &pick, r->deadline_us, &ticket, &reason)) {
		fail(c, RETRY_NOT_SENT, reason);
		return false;
	}
	if (!may_send(c)) {
		balancer_finish(r->service->balancer, &ticket,
		    BALANCE_CANCELLED, clock_monotonic_us(), NULL);
		return false;
	}
	c->tried[c->attempts++] = ticket;
	attempt_run(&c->attempt, balancer_ticket_address(&ticket));
	balancer_finish(r->service->balancer, &ticket, c->attempt.outcome,
	    clock_monotonic_us(),
	    c->attempt.answer.has_report ? &c->attempt.answer.report : NULL);
	return true;
}

/* Attempts until one is answered or none may follow. */
static bool
run_attempts(struct call *c)
{
	struct request *r = &c->request;

	retry_budget_earn(r->service->retries);
	for (;;) {
		enum retry_verdict verdict;

		if (!try_once(c))
			return false;
		if (c->attempt.answered) {
			c->status = c->attempt.answer.status;
			counter_add(r->service->answered, 1);
			service_learn(r->service, c->attempt.taken_us);
			return true;
		}
		if (retry_outcome(c->attempt.failure) == REFUSAL_UNKNOWN)
			c->may_have_run = true;
		verdict = decide(c);
		if (verdict != RETRY_AGAIN) {
			give_up(c, verdict);
			return false;
		}
		if (c->claims)
			claim_attempt_again(&c->tap.attempt);
		counter_add(r->service->retried, 1);
	}
}

/*
 * Answers with the kept answer of an earlier call under the key, marked as
 * replayed; returns the HTTP status.
 */
static int
answer_from_claim(struct call *c, const Wire__Result *result)
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
 * Fills in what the claim is asked with, and has the answer kept for it; it is
 * then read to its end even when the caller has left.
 */
static void
prepare_claim(struct call *c)
{
	struct request *r = &c->request;
	const struct policy_service *policy = &r->section->service;

	request_digest(r, c->digest);
	c->tap.call = (struct claiming_call){
	    .key = {.tenant = r->tenant->name,
		.service = r->section->name,
		.key = r->key},
	    .route = r->route->name,
	    .digest = c->digest,
	    .retention_s = policy->claim_retention_s,
	    .claims_max = policy->claims_max,
	    .deadline_us = r->deadline_us,
	};
	c->attempt.answer.keep_max = policy->claim_answer_max_bytes;
	c->attempt.answer.persist = true;
}

/* True when this call holds the claim; it waits for others without a slot. */
static bool
take_claim(struct call *c)
{
	struct claiming *claiming = c->request.entry->claiming;

	prepare_claim(c);
	claiming_begin(claiming, &c->tap);
	for (;;) {
		switch (claiming_open(claiming, &c->tap)) {
		case CLAIMING_RUN:
			return true;
		case CLAIMING_KEPT:
			answer_from_claim(c, c->tap.kept);
			link_result_free(c->tap.kept);
			return false;
		case CLAIMING_REFUSED:
			refuse_step(c);
			return false;
		case CLAIMING_WAIT:
			leave(c);
			claiming_wait(claiming, &c->tap);
			break;
		}
	}
}

/* Ends the claim with what came of it. */
static void
end_claim(struct call *c, bool answered)
{
	const struct answer *answer = &c->attempt.answer;
	struct claim_answer kept = {
	    .http_status = (uint32_t)answer->status,
	    .content_type = str_from(answer->content_type),
	    .body = str_buf_view(&answer->kept),
	    .kept = answer->kept_whole,
	};

	if (answered)
		c->tap.step = claim_attempt_answered(
		    &c->tap.attempt, clock_monotonic_us());
	claiming_close(
	    c->request.entry->claiming, &c->tap, answered ? &kept : NULL);
}

/* Runs a call that needs no claim, from admission to its end. */
static void
run_repeatable(struct call *c)
{
	struct turned_away why;

	if (admit(c, &why)) {
		(void)run_attempts(c);
		leave(c);
	} else if (why.gone) {
		abandon(c);
	} else {
		refuse(c, why.reason, REFUSAL_NOT_RUN, why.retry_after_us);
	}
}

/*
 * An earlier tap under the same key may have run, so even a call that is
 * turned away asks its claim before it is told anything, within a budget.
 */
static void
run_claimed(struct call *c)
{
	struct turned_away why;
	bool admitted = admit(c, &why);
	bool answered = false;

	c->claims = true;
	if (!admitted && !claiming_may_ask(c->request.entry->claiming)) {
		refuse(c, why.reason, REFUSAL_UNKNOWN, why.retry_after_us);
		return;
	}
	if (take_claim(c)) {
		if (admitted && c->admitted == NULL)
			admitted = admit(c, &why);
		if (admitted)
			answered = run_attempts(c);
		else
			fail(c, RETRY_NOT_SENT, why.reason);
	}
	leave(c);
	end_claim(c, answered);
}

/* Runs the call as its route says: freely, or under a claim. */
static void
run(struct call *c)
{
	if (c->request.route->repeatable)
		run_repeatable(c);
	else
		run_claimed(c);
}

/*
 * Counts the call, good or bad, for each objective that matches its route:
 * good below status 500 and within the objective's latency.
 */
static void
record_burn(const struct call *c)
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
 * What is known of a request that is refused before its claim is asked for.
 * One with an idempotency key may be a resend of a tap that ran elsewhere;
 * where the refusal is for a passing state of this entry or for the time left,
 * and not for what the request is, only the claim could tell.
 */
static enum refusal_outcome
early_outcome(const struct request *r, enum refusal_reason reason)
{
	if (web_header(r->conn, "Idempotency-Key").len == 0)
		return REFUSAL_NOT_RUN;
	switch (reason) {
	case REFUSAL_ENTRY_CUT_OFF:
	case REFUSAL_NO_DOCUMENT:
	case REFUSAL_DEADLINE_TOO_SHORT:
		return REFUSAL_UNKNOWN;
	default:
		return REFUSAL_NOT_RUN;
	}
}

/*
 * Serves a request from its head to its end.
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
	c.attempt.answer.head_request =
	    str_equal_c(str_from(r->info->request_method), "HEAD");
	counter_add(entry->counters.in_flight, 1);
	if (!request_identify(r, &reason) ||
	    !request_read_body(r, !r->route->repeatable, &reason))
		refuse(&c, reason, early_outcome(r, reason), 0);
	else
		run(&c);
	if (r->tenant != NULL && r->route != NULL)
		record_burn(&c);
	answer_release(&c.attempt.answer);
	request_release(r);
	counter_add(entry->counters.in_flight, -1);
	return c.status > 0 ? c.status : 500;
}
