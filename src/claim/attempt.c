#include "claim/attempt.h"

#include "base/clock.h"

/* How long an attempt that gave up refuses a grant that comes late. */
#define LINGER_TIMEOUT_US (60 * US_PER_S)
/* Longest pause between two sendings of one proposal. */
#define RESEND_BACKOFF_MAX_US (2 * US_PER_S)

/*
 * Returns the earlier of two times, or the shorter of two spans.
 */
static uint64_t
min_us(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * Tells the caller of a refusal, unless it has been told something already: a
 * caller is told once.
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
 * Tells the caller of an answer, fresh or kept, unless it has been told
 * something already.
 */
static void
reply(struct claim_attempt *attempt, enum claim_reply what,
    struct claim_step *step)
{
	if (attempt->replied)
		return;
	attempt->replied = true;
	step->reply = what;
}

/*
 * Schedules the next sending of a proposal after an exponential pause.
 */
static void
schedule_resend(struct claim_attempt *attempt, uint64_t now_us)
{
	attempt->next_us = now_us + attempt->backoff_us;
	attempt->backoff_us =
	    min_us(2 * attempt->backoff_us, RESEND_BACKOFF_MAX_US);
}

/*
 * Proposes the open, again or for the first time.  The timer is due at the
 * resend or at the call's deadline, whichever is first.
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
 * Proposes the claim's end and awaits control's answer.  It is resent without
 * a deadline: control has to learn the end also after the caller has gone.
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
 * Ends the attempt's life: its owner may release it, no timer is due.
 */
static void
close_attempt(struct claim_attempt *attempt)
{
	attempt->state = CLAIM_ATTEMPT_CLOSED;
	attempt->next_us = UINT64_MAX;
}

/*
 * Begins an attempt by proposing its open.
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
 * Gives up without having sent: the claim, should it be or become ours, is
 * ended as not run.
 */
static void
give_up(struct claim_attempt *attempt, enum refusal_reason reason,
    enum refusal_outcome outcome, uint64_t now_us, struct claim_step *step)
{
	reply_with_refusal(attempt, reason, outcome, step);
	propose_end(attempt, CLAIM_ENDED_NOT_RUN, now_us, step);
}

/*
 * Takes a grant: the call may go to a target until its deadline.  After it the
 * claim is given back as not run.
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
 * Awaits a copy of the open that may still be granted, until LINGER_TIMEOUT_US from
 * now.
 */
static void
linger(struct claim_attempt *attempt, uint64_t now_us)
{
	attempt->state = CLAIM_ATTEMPT_LINGERING;
	attempt->next_us = now_us + LINGER_TIMEOUT_US;
}

/*
 * The key is refused to this attempt.  A second copy of its open may still
 * come to control and be granted: the attempt is fenced when it was resent,
 * and lingers in any case.
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
 * Acts on control's verdict on the open.  A key that is held elsewhere is
 * polled; the outcome of a claim that has ended is told and closes the
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
		reply(attempt, CLAIM_REPLY_STORED, step);
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
		/* Another tap may have found room since. */
		handle_refused_key(attempt, REFUSAL_CLAIM_LEDGER_FULL,
		    REFUSAL_UNKNOWN, now_us, step);
		return;
	}
}

/*
 * Takes the result of an open.  Only an attempt that has not been granted
 * minds it; one that gave up sends back a grant that comes late.
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
 * Opens anew at once, with the first pause, when the attempt was waiting for
 * the key; otherwise the step is empty.
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
 * Says whether the call may go to a target now.
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
 * Goes back to "granted" after a sending that no target started.
 */
void
claim_attempt_send_not_started(struct claim_attempt *attempt)
{
	if (attempt->state == CLAIM_ATTEMPT_SENT)
		attempt->state = CLAIM_ATTEMPT_GRANTED;
}

/*
 * Hands the answer to the caller and ends the claim with it.  An answer
 * that comes after the attempt has ended is dropped.
 */
struct claim_step
claim_attempt_on_answer(struct claim_attempt *attempt, uint64_t now_us)
{
	struct claim_step step = {0};

	if (attempt->state != CLAIM_ATTEMPT_SENT)
		return step;
	reply(attempt, CLAIM_REPLY_ANSWER, &step);
	propose_end(attempt, CLAIM_ENDED_ANSWERED, now_us, &step);
	return step;
}

/*
 * Ends the claim by what the failure says of the call: not run when no target
 * can have started it, else unknown.  The step is empty unless the attempt is
 * granted or sent.
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
 * Gives up what has not been sent; what has been is seen to its end, for
 * the sake of a resend.
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
 * Takes control's answer to the end.  After "not run", accepted or not, a
 * copy of the open may still come to control and be granted, so the attempt
 * lingers to end it again; it never sends any more.
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
 * Resends what control has not answered, and ends what is out of time.
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
		/* An earlier tap may have run, and control can't be asked. */
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
