/*
 * Tests of the claim attempt state machine (src/claim/attempt.h).
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "claim/attempt.h"

#define DEADLINE_US (10 * US_PER_S)

static const struct claim_attempt_params params = {
    .deadline_us = DEADLINE_US,
    .resend_us = 100 * US_PER_MS,
    .poll_us = US_PER_S,
};

static struct claim_attempt
start_and_open(enum claim_verdict verdict, struct claim_step *step)
{
	struct claim_attempt attempt;

	*step = claim_attempt_start(&attempt, &params, 0);
	assert_true(step->propose_open);
	*step = claim_attempt_on_open_result(&attempt, verdict, US_PER_MS);
	return attempt;
}

static struct claim_attempt
start_and_send(void)
{
	struct claim_step step;
	struct claim_attempt attempt =
	    start_and_open(CLAIM_VERDICT_GRANTED, &step);

	assert_true(step.send);
	assert_true(claim_attempt_begin_send(&attempt, 2 * US_PER_MS, &step));
	return attempt;
}

static void
send_requires_a_grant(void **state ATTR_UNUSED)
{
	struct claim_step step;
	struct claim_attempt attempt;

	step = claim_attempt_start(&attempt, &params, 0);
	assert_false(claim_attempt_begin_send(&attempt, 1, &step));
	attempt = start_and_open(CLAIM_VERDICT_IN_PROGRESS, &step);
	assert_false(claim_attempt_begin_send(&attempt, 2 * US_PER_MS, &step));
	attempt = start_and_send();
	assert_false(claim_attempt_begin_send(&attempt, 2 * US_PER_MS, &step));
	claim_attempt_send_not_started(&attempt);
	assert_true(claim_attempt_begin_send(&attempt, 2 * US_PER_MS, &step));
}

static void
grant_after_deadline_is_ended_as_not_run(void **state ATTR_UNUSED)
{
	struct claim_step step;
	struct claim_attempt attempt =
	    start_and_open(CLAIM_VERDICT_GRANTED, &step);

	/* As if the entry had been paused between the grant and the send. */
	assert_false(claim_attempt_begin_send(&attempt, DEADLINE_US, &step));
	assert_int_equal(step.reply, CLAIM_REPLY_REFUSAL);
	assert_int_equal(step.outcome, REFUSAL_NOT_RUN);
	assert_true(step.propose_end);
	assert_int_equal(attempt.ending, CLAIM_ENDED_NOT_RUN);
	assert_false(claim_attempt_begin_send(&attempt, 0, &step));
}

static void
end_reflects_outcome_of_send(void **state ATTR_UNUSED)
{
	struct claim_attempt attempt = start_and_send();
	struct claim_step step;

	step = claim_attempt_on_answer(&attempt, US_PER_S);
	assert_int_equal(step.reply, CLAIM_REPLY_ANSWER);
	assert_int_equal(attempt.ending, CLAIM_ENDED_ANSWERED);
	attempt = start_and_send();
	step = claim_attempt_on_failure(
	    &attempt, RETRY_SHED, REFUSAL_TARGETS_SHEDDING, US_PER_S);
	assert_int_equal(step.outcome, REFUSAL_NOT_RUN);
	assert_int_equal(attempt.ending, CLAIM_ENDED_NOT_RUN);
	attempt = start_and_send();
	step = claim_attempt_on_failure(
	    &attempt, RETRY_BROKEN, REFUSAL_TARGET_FAILED, US_PER_S);
	assert_int_equal(step.outcome, REFUSAL_UNKNOWN);
	assert_int_equal(attempt.ending, CLAIM_ENDED_UNKNOWN);
	attempt = start_and_send();
	step = claim_attempt_on_timer(&attempt, DEADLINE_US);
	assert_int_equal(step.outcome, REFUSAL_UNKNOWN);
	assert_int_equal(attempt.ending, CLAIM_ENDED_UNKNOWN);
	/* An answer that arrives after the end is ignored. */
	step = claim_attempt_on_answer(&attempt, DEADLINE_US + 1);
	assert_int_equal(step.reply, CLAIM_REPLY_NONE);
	assert_false(step.propose_end);
}

static void
proposals_are_resent_until_answered(void **state ATTR_UNUSED)
{
	struct claim_attempt attempt;
	struct claim_step step;
	uint64_t now_us = 0;
	unsigned sends = 0;

	step = claim_attempt_start(&attempt, &params, 0);
	while (step.propose_open) {
		assert_true(attempt.next_us > now_us);
		now_us = attempt.next_us;
		step = claim_attempt_on_timer(&attempt, now_us);
		sends++;
	}
	assert_int_equal(now_us, DEADLINE_US);
	assert_in_range(sends, 6, 12);
	assert_int_equal(step.reason, REFUSAL_CLAIM_UNAVAILABLE);
	assert_int_equal(step.outcome, REFUSAL_UNKNOWN);
	for (unsigned i = 0; i < 20; i++) {
		assert_true(step.propose_end);
		step = claim_attempt_on_timer(&attempt, attempt.next_us);
	}
	claim_attempt_on_end_result(&attempt, DEADLINE_US);
	assert_int_equal(attempt.state, CLAIM_ATTEMPT_LINGERING);
	step = claim_attempt_on_open_result(
	    &attempt, CLAIM_VERDICT_GRANTED, DEADLINE_US + 1);
	assert_false(step.send);
	assert_true(step.propose_end);
	claim_attempt_on_end_result(&attempt, DEADLINE_US + 2);
	step = claim_attempt_on_timer(&attempt, attempt.next_us);
	assert_int_equal(attempt.state, CLAIM_ATTEMPT_CLOSED);
}

static void
second_submission_waits_for_result(void **state ATTR_UNUSED)
{
	struct claim_step step;
	struct claim_attempt attempt =
	    start_and_open(CLAIM_VERDICT_IN_PROGRESS, &step);

	assert_int_equal(step.reply, CLAIM_REPLY_NONE);
	step = claim_attempt_on_key_released(&attempt, US_PER_S);
	assert_true(step.propose_open);
	step = claim_attempt_on_open_result(
	    &attempt, CLAIM_VERDICT_DONE, US_PER_S);
	assert_int_equal(step.reply, CLAIM_REPLY_STORED);
	assert_int_equal(attempt.state, CLAIM_ATTEMPT_CLOSED);
	attempt = start_and_open(CLAIM_VERDICT_IN_PROGRESS, &step);
	step = claim_attempt_on_timer(&attempt, attempt.next_us);
	assert_true(step.propose_open);
	step = claim_attempt_on_open_result(
	    &attempt, CLAIM_VERDICT_IN_PROGRESS, 9 * US_PER_S);
	step = claim_attempt_on_timer(&attempt, DEADLINE_US);
	assert_int_equal(step.reason, REFUSAL_CLAIM_IN_PROGRESS);
	assert_int_equal(step.outcome, REFUSAL_UNKNOWN);
}

static void
disconnected_caller_gets_no_reply(void **state ATTR_UNUSED)
{
	struct claim_step step;
	struct claim_attempt attempt =
	    start_and_open(CLAIM_VERDICT_GRANTED, &step);

	step = claim_attempt_on_caller_disconnect(&attempt, US_PER_S);
	assert_true(step.propose_end);
	assert_int_equal(attempt.ending, CLAIM_ENDED_NOT_RUN);
	attempt = start_and_send();
	step = claim_attempt_on_caller_disconnect(&attempt, US_PER_S);
	assert_false(step.propose_end);
	step = claim_attempt_on_answer(&attempt, US_PER_S);
	assert_int_equal(step.reply, CLAIM_REPLY_NONE);
	assert_int_equal(attempt.ending, CLAIM_ENDED_ANSWERED);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(send_requires_a_grant),
	    cmocka_unit_test(grant_after_deadline_is_ended_as_not_run),
	    cmocka_unit_test(end_reflects_outcome_of_send),
	    cmocka_unit_test(proposals_are_resent_until_answered),
	    cmocka_unit_test(second_submission_waits_for_result),
	    cmocka_unit_test(disconnected_caller_gets_no_reply),
	};

	return cmocka_run_group_tests_name("claim attempt", tests, NULL, NULL);
}
