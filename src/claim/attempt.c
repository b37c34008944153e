#include "claim/attempt.h"

#include "base/clock.h"

/* How long an attempt that gave up waits for a delayed grant. */
#define LINGER_TIMEOUT_US (60 * US_PER_S)
/* Longest interval between two sends of the same proposal. */
#define RESEND_BACKOFF_MAX_US (2 * US_PER_S)

/*
 * Returns the smaller of two times or durations.
 */
static uint64_t
min_us(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * Replies to the caller with a refusal, unless it already has a reply: each
 * caller gets exactly one.
 */
static void
reply_with_refusal(struct claim_attempt *attempt, enum refusal_reason reason,
    enum refusal_outcome outcome, struct claim_step *step)
{
	if (attempt->replied)
		return;
	attempt->replied = true;
	step->reply = CLAIM_REPLY_REFUSAL;
	step->reason = reason;
	step->outcome = outcome;
}

/*
 * Replies to the caller with an answer, fresh or stored, unless it already has
 * a reply.
 */
static void
reply_with_answer(struct claim_attempt *attempt, enum claim_reply what,
    struct claim_step *step)
{
	if (attempt->replied)
		return;
	attempt->replied = true;
	step->reply = what;
}

/*
 * Schedules the next send of a proposal with exponential back-off.
 */
static void
schedule_resend(struct claim_attempt *attempt, uint64_t now_us)
{
	attempt->next_us = now_us + attempt->backoff_us;
	attempt->backoff_us =
	    min_us(2 * attempt->backoff_us, RESEND_BACKOFF_MAX_US);
}

/*
 * Proposes the open, for the first time or again.  The timer is due at the
 * resend or at the deadline of the call, whichever is earlier.
 */
static void
propose_open(
    struct claim_attempt *attempt, uint64_t now_us, struct claim_step *step)
{
	attempt->state = CLAIM_ATTEMPT_OPENING;
	attempt->opens++;
	schedule_resend(attempt, now_us);
	attempt->next_us =
	    min_us(attempt->next_us, attempt->params.deadline_us);
	step->propose_open = true;
}

/*
 * Proposes the end of the claim and waits for the result.  It is resent
 * without a deadline, since control has to learn of the end even after the
 * caller has gone.
 */
static void
propose_end(struct claim_attempt *attempt, enum claim_ending ending,
    uint64_t now_us, struct claim_step *step)
{
	attempt->state = CLAIM_ATTEMPT_ENDING;
	attempt->ending = ending;
	attempt->backoff_us = attempt->params.resend_us;
	schedule_resend(attempt, now_us);
	step->propose_end = true;
}

/*
 * Closes the attempt: its owner may free it, and no timer is due.
 */
static void
close_attempt(struct claim_attempt *attempt)
{
	attempt->state = CLAIM_ATTEMPT_CLOSED;
	attempt->next_us = UINT64_MAX;
}

/*
 * Starts an attempt by proposing its open.
 */
struct claim_step
claim_attempt_start(struct claim_attempt *attempt,
    const struct claim_attempt_params *params, uint64_t now_us)
{
	struct claim_step step = {0};

	*attempt = (struct claim_attempt){
	    .params = *params,
	    .ending = CLAIM_ENDED_NOT_RUN,
	    .backoff_us = params->resend_us,
	};
	propose_open(attempt, now_us, &step);
	return step;
}

/*
 * Gives up before anything was sent: the claim is ended as not run, in case it
 * is, or later becomes, held by this attempt.
 */
static void
give_up(struct claim_attempt *attempt, enum refusal_reason reason,
    enum refusal_outcome outcome, uint64_t now_us, struct claim_step *step)
{
	reply_with_refusal(attempt, reason, outcome, step);
	propose_end(attempt, CLAIM_ENDED_NOT_RUN, now_us, step);
}

/*
 * Handles a grant: the call may be sent to a target until its deadline.  After
 * the deadline the claim is ended as not run.
 */
static void
accept_grant(
    struct claim_attempt *attempt, uint64_t now_us, struct claim_step *step)
{
	if (now_us >= attempt->params.deadline_us) {
		give_up(attempt, REFUSAL_QUEUE_TIMEOUT, REFUSAL_NOT_RUN, now_us,
		    step);
		return;
	}
	attempt->state = CLAIM_ATTEMPT_GRANTED;
	attempt->next_us = attempt->params.deadline_us;
	step->send = true;
}

/*
 * Waits until LINGER_TIMEOUT_US from now for a copy of the open that may still
 * be granted.
 */
static void
linger(struct claim_attempt *attempt, uint64_t now_us)
{
	attempt->state = CLAIM_ATTEMPT_LINGERING;
	attempt->next_us = now_us + LINGER_TIMEOUT_US;
}

/*
 * Handles a refusal of the key.  A second copy of the open may still reach
 * control and be granted: if the open was resent, the attempt is fenced now,
 * and in either case it lingers.
 */
static void
handle_refused_key(struct claim_attempt *attempt, enum refusal_reason reason,
    enum refusal_outcome outcome, uint64_t now_us, struct claim_step *step)
{
	reply_with_refusal(attempt, reason, outcome, step);
	if (attempt->opens > 1)
		propose_end(attempt, CLAIM_ENDED_NOT_RUN, now_us, step);
	else
		linger(attempt, now_us);
}

/*
 * Handles the verdict on the open.  A key held by another attempt is polled;
 * the outcome of an ended claim is passed to the caller and closes the
 * attempt.
 */
static void
apply_verdict(struct claim_attempt *attempt, enum claim_verdict verdict,
    uint64_t now_us, struct claim_step *step)
{
	switch (verdict) {
	case CLAIM_VERDICT_GRANTED:
		accept_grant(attempt, now_us, step);
		return;
	case CLAIM_VERDICT_IN_PROGRESS:
		attempt->state = CLAIM_ATTEMPT_WAITING;
		attempt->next_us = min_us(now_us + attempt->params.poll_us,
		    attempt->params.deadline_us);
		return;
	case CLAIM_VERDICT_DONE:
		reply_with_answer(attempt, CLAIM_REPLY_STORED, step);
		close_attempt(attempt);
		return;
	case CLAIM_VERDICT_DONE_NOT_KEPT:
		reply_with_refusal(
		    attempt, REFUSAL_CLAIM_ANSWER_NOT_KEPT, REFUSAL_RUN, step);
		close_attempt(attempt);
		return;
	case CLAIM_VERDICT_UNKNOWN:
		reply_with_refusal(attempt, REFUSAL_CLAIM_OUTCOME_UNKNOWN,
		    REFUSAL_UNKNOWN, step);
		close_attempt(attempt);
		return;
	case CLAIM_VERDICT_KEY_REUSED:
		handle_refused_key(
		    attempt, REFUSAL_KEY_REUSED, REFUSAL_NOT_RUN, now_us, step);
		return;
	case CLAIM_VERDICT_FULL:
		/* The ledger may have accepted another submission since. */
		handle_refused_key(attempt, REFUSAL_CLAIM_LEDGER_FULL,
		    REFUSAL_UNKNOWN, now_us, step);
		return;
	}
}

/*
 * Handles the result of an open.  It is ignored once the attempt has been
 * granted; an attempt that has given up ends a late grant as not run.
 */
struct claim_step
claim_attempt_on_open_result(
    struct claim_attempt *attempt, enum claim_verdict verdict, uint64_t now_us)
{
	struct claim_step step = {0};

	switch (attempt->state) {
	case CLAIM_ATTEMPT_OPENING:
	case CLAIM_ATTEMPT_WAITING:
		apply_verdict(attempt, verdict, now_us, &step);
		break;
	case CLAIM_ATTEMPT_LINGERING:
		if (verdict == CLAIM_VERDICT_GRANTED)
			propose_end(
			    attempt, CLAIM_ENDED_NOT_RUN, now_us, &step);
		break;
	case CLAIM_ATTEMPT_GRANTED:
	case CLAIM_ATTEMPT_SENT:
	case CLAIM_ATTEMPT_ENDING:
	case CLAIM_ATTEMPT_CLOSED:
		break;
	}
	return step;
}

/*
 * Opens again at once, with the initial resend interval, if the attempt was
 * waiting for the key; otherwise returns an empty step.
 */
struct claim_step
claim_attempt_on_key_released(struct claim_attempt *attempt, uint64_t now_us)
{
	struct claim_step step = {0};

	if (attempt->state != CLAIM_ATTEMPT_WAITING)
		return step;
	attempt->backoff_us = attempt->params.resend_us;
	propose_open(attempt, now_us, &step);
	return step;
}

/*
 * Returns whether the call may be sent to a target now.
 */
bool
claim_attempt_begin_send(
    struct claim_attempt *attempt, uint64_t now_us, struct claim_step *step)
{
	*step = (struct claim_step){0};
	if (attempt->state != CLAIM_ATTEMPT_GRANTED)
		return false;
	if (now_us >= attempt->params.deadline_us) {
		give_up(attempt, REFUSAL_QUEUE_TIMEOUT, REFUSAL_NOT_RUN, now_us,
		    step);
		return false;
	}
	attempt->state = CLAIM_ATTEMPT_SENT;
	return true;
}

/*
 * Returns to "granted" after a send that no target started.
 */
void
claim_attempt_send_not_started(struct claim_attempt *attempt)
{
	if (attempt->state == CLAIM_ATTEMPT_SENT)
		attempt->state = CLAIM_ATTEMPT_GRANTED;
}

/*
 * Passes the answer to the caller and ends the claim with it.  An answer that
 * arrives after the attempt has ended is dropped.
 */
struct claim_step
claim_attempt_on_answer(struct claim_attempt *attempt, uint64_t now_us)
{
	struct claim_step step = {0};

	if (attempt->state != CLAIM_ATTEMPT_SENT)
		return step;
	reply_with_answer(attempt, CLAIM_REPLY_ANSWER, &step);
	propose_end(attempt, CLAIM_ENDED_ANSWERED, now_us, &step);
	return step;
}

/*
 * Ends the claim according to the failure: as not run if no target can have
 * started the call, else as unknown.  Returns an empty step unless the attempt
 * is granted or sent.
 */
struct claim_step
claim_attempt_on_failure(struct claim_attempt *attempt,
    enum retry_failure failure, enum refusal_reason reason, uint64_t now_us)
{
	struct claim_step step = {0};
	enum refusal_outcome outcome = retry_outcome(failure);

	if (attempt->state == CLAIM_ATTEMPT_GRANTED)
		outcome = REFUSAL_NOT_RUN;
	else if (attempt->state != CLAIM_ATTEMPT_SENT)
		return step;
	if (outcome == REFUSAL_NOT_RUN) {
		give_up(attempt, reason, outcome, now_us, &step);
		return step;
	}
	reply_with_refusal(attempt, reason, outcome, &step);
	propose_end(attempt, CLAIM_ENDED_UNKNOWN, now_us, &step);
	return step;
}

/*
 * Ends the claim as not run if nothing has been sent.  A call that has been
 * sent is completed, so that a resent request finds its result.
 */
struct claim_step
claim_attempt_on_caller_disconnect(
    struct claim_attempt *attempt, uint64_t now_us)
{
	struct claim_step step = {0};

	attempt->replied = true;
	if (attempt->state == CLAIM_ATTEMPT_OPENING ||
	    attempt->state == CLAIM_ATTEMPT_WAITING ||
	    attempt->state == CLAIM_ATTEMPT_GRANTED)
		propose_end(attempt, CLAIM_ENDED_NOT_RUN, now_us, &step);
	return step;
}

/*
 * Handles control's reply to the end.  After "not run", accepted or not, a
 * copy of the open may still reach control and be granted, so the attempt
 * lingers to end it again; it never sends anything after that.
 */
void
claim_attempt_on_end_result(struct claim_attempt *attempt, uint64_t now_us)
{
	if (attempt->state != CLAIM_ATTEMPT_ENDING)
		return;
	if (attempt->ending == CLAIM_ENDED_NOT_RUN)
		linger(attempt, now_us);
	else
		close_attempt(attempt);
}

/*
 * Resends proposals without a reply, and ends the attempt after its deadline.
 */
struct claim_step
claim_attempt_on_timer(struct claim_attempt *attempt, uint64_t now_us)
{
	struct claim_step step = {0};
	bool past_deadline = now_us >= attempt->params.deadline_us;

	if (now_us < attempt->next_us)
		return step;
	switch (attempt->state) {
	case CLAIM_ATTEMPT_OPENING:
		/*
		 * An earlier submission may have run, and control can't be
		 * asked.
		 */
		if (past_deadline)
			give_up(attempt, REFUSAL_CLAIM_UNAVAILABLE,
			    REFUSAL_UNKNOWN, now_us, &step);
		else
			propose_open(attempt, now_us, &step);
		break;
	case CLAIM_ATTEMPT_WAITING:
		if (past_deadline)
			give_up(attempt, REFUSAL_CLAIM_IN_PROGRESS,
			    REFUSAL_UNKNOWN, now_us, &step);
		else
			propose_open(attempt, now_us, &step);
		break;
	case CLAIM_ATTEMPT_GRANTED:
		give_up(attempt, REFUSAL_QUEUE_TIMEOUT, REFUSAL_NOT_RUN, now_us,
		    &step);
		break;
	case CLAIM_ATTEMPT_SENT:
		reply_with_refusal(
		    attempt, REFUSAL_TARGET_TIMEOUT, REFUSAL_UNKNOWN, &step);
		propose_end(attempt, CLAIM_ENDED_UNKNOWN, now_us, &step);
		break;
	case CLAIM_ATTEMPT_ENDING:
		schedule_resend(attempt, now_us);
		step.propose_end = true;
		break;
	case CLAIM_ATTEMPT_LINGERING:
		close_attempt(attempt);
		break;
	case CLAIM_ATTEMPT_CLOSED:
		attempt->next_us = UINT64_MAX;
		break;
	}
	return step;
}
