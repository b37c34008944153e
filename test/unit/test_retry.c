/*
 * Tests of src/retry.
 */
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "retry/retry.h"

enum {
	DEPTH = 8,
	CALLS = 2000,
	ATTEMPTS_MAX = 3,
	RETRY_PERCENT = 10
};

static const struct retry_params params = {
    .retry_percent = RETRY_PERCENT,
    .hedge_percent = 5,
    .attempts_max = ATTEMPTS_MAX,
};

static struct retry_call
first_attempt(void)
{
	return (struct retry_call){
	    .repeatable = true,
	    .attempts = 1,
	    .deadline_us = US_PER_S,
	    .expected_us = US_PER_MS,
	};
}

static struct retry_budget *
full_budget(void)
{
	struct retry_budget *budget = retry_budget_new(&params);

	for (unsigned i = 0; i < CALLS; i++)
		retry_budget_count_call(budget);
	return budget;
}

static void
only_safe_calls_are_retried(void **state ATTR_UNUSED)
{
	struct retry_budget *budget = full_budget();
	struct retry_call call = first_attempt();

	assert_int_equal(
	    retry_decide(budget, &call, RETRY_BROKEN, 0), RETRY_AGAIN);
	assert_int_equal(retry_decide(budget, &call, RETRY_ANSWER_STARTED, 0),
	    RETRY_NOT_ALLOWED);
	call.repeatable = false;
	assert_int_equal(
	    retry_decide(budget, &call, RETRY_BROKEN, 0), RETRY_NOT_ALLOWED);
	assert_int_equal(
	    retry_decide(budget, &call, RETRY_SHED, 0), RETRY_AGAIN);
	assert_int_equal(
	    retry_decide(budget, &call, RETRY_NOT_SENT, 0), RETRY_AGAIN);
	assert_false(retry_decide_hedge(budget, &call, 0));
	call.repeatable = true;
	assert_true(retry_decide_hedge(budget, &call, 0));
	retry_budget_free(budget);
}

static void
retries_are_limited_by_time_attempts_and_depth(void **state ATTR_UNUSED)
{
	struct retry_budget *budget = full_budget();
	struct retry_call call = first_attempt();

	assert_int_equal(
	    retry_decide(budget, &call, RETRY_SHED, US_PER_S - US_PER_MS),
	    RETRY_NO_TIME);
	assert_false(retry_decide_hedge(budget, &call, US_PER_S + 1));
	call.attempts = ATTEMPTS_MAX;
	assert_int_equal(retry_decide(budget, &call, RETRY_SHED, 0),
	    RETRY_ATTEMPTS_EXHAUSTED);
	call = first_attempt();
	call.depth = 1;
	assert_int_equal(
	    retry_decide(budget, &call, RETRY_SHED, 0), RETRY_AT_OTHER_HOP);
	assert_false(retry_decide_hedge(budget, &call, 0));
	call = first_attempt();
	call.retried_downstream = true;
	assert_int_equal(
	    retry_decide(budget, &call, RETRY_SHED, 0), RETRY_AT_OTHER_HOP);
	retry_budget_free(budget);
}

static void
outcome_matches_failure(void **state ATTR_UNUSED)
{
	assert_int_equal(retry_outcome(RETRY_NOT_SENT), REFUSAL_NOT_RUN);
	assert_int_equal(retry_outcome(RETRY_SHED), REFUSAL_NOT_RUN);
	assert_int_equal(retry_outcome(RETRY_BROKEN), REFUSAL_UNKNOWN);
	assert_int_equal(retry_outcome(RETRY_ANSWER_STARTED), REFUSAL_UNKNOWN);
}

/*
 * Makes a call through the remaining hops to a target that fails every
 * attempt.  Returns the number of attempts made at the target.
 */
static uint64_t
call_hop(struct retry_budget **budgets, uint32_t depth, bool unlimited)
{
	struct retry_call call = first_attempt();
	uint64_t target_attempts = 0;

	call.depth = depth;
	if (depth == DEPTH)
		return 1;
	retry_budget_count_call(budgets[depth]);
	for (call.attempts = 1;; call.attempts++) {
		target_attempts += call_hop(budgets, depth + 1, unlimited);
		if (unlimited && call.attempts < ATTEMPTS_MAX)
			continue;
		if (unlimited ||
		    retry_decide(budgets[depth], &call, RETRY_BROKEN, 0) !=
			RETRY_AGAIN)
			return target_attempts;
	}
}

static void
retries_do_not_multiply_over_eight_hops(void **state ATTR_UNUSED)
{
	struct retry_budget *budgets[DEPTH];
	uint64_t attempts = 0;
	uint64_t unlimited = 1;

	for (unsigned i = 0; i < DEPTH; i++)
		budgets[i] = retry_budget_new(&params);
	for (unsigned i = 0; i < CALLS; i++)
		attempts += call_hop(budgets, 0, false);
	assert_true(attempts > CALLS);
	assert_true(attempts <= CALLS + CALLS * RETRY_PERCENT / 100);
	for (unsigned i = 0; i < DEPTH; i++)
		unlimited *= ATTEMPTS_MAX;
	assert_int_equal(call_hop(budgets, 0, true), unlimited);
	print_message("target attempts per call: %.3f, without limits %llu\n",
	    (double)attempts / CALLS, (unsigned long long)unlimited);
	for (unsigned i = 0; i < DEPTH; i++)
		retry_budget_free(budgets[i]);
}

struct spender {
	pthread_t thread;
	struct retry_budget *budget;
	uint64_t retries;
};

static void *
spend_all(void *ctx)
{
	struct spender *spender = ctx;
	struct retry_call call = first_attempt();

	for (unsigned i = 0; i < CALLS; i++) {
		retry_budget_count_call(spender->budget);
		if (retry_decide(spender->budget, &call, RETRY_SHED, 0) ==
		    RETRY_AGAIN)
			spender->retries++;
	}
	return NULL;
}

static void
concurrent_retries_stay_within_budget(void **state ATTR_UNUSED)
{
	enum {
		THREADS = 4
	};
	struct spender spenders[THREADS];
	struct retry_budget *budget = retry_budget_new(&params);
	uint64_t retries = 0;

	for (unsigned i = 0; i < THREADS; i++) {
		spenders[i] = (struct spender){.budget = budget};
		assert_int_equal(pthread_create(&spenders[i].thread, NULL,
				     spend_all, &spenders[i]),
		    0);
	}
	for (unsigned i = 0; i < THREADS; i++) {
		(void)pthread_join(spenders[i].thread, NULL);
		retries += spenders[i].retries;
	}
	assert_int_equal(retries, THREADS * CALLS * RETRY_PERCENT / 100);
	retry_budget_free(budget);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(only_safe_calls_are_retried),
	    cmocka_unit_test(retries_are_limited_by_time_attempts_and_depth),
	    cmocka_unit_test(outcome_matches_failure),
	    cmocka_unit_test(retries_do_not_multiply_over_eight_hops),
	    cmocka_unit_test(concurrent_retries_stay_within_budget),
	};

	return cmocka_run_group_tests_name("retry", tests, NULL, NULL);
}
