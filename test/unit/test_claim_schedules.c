/*
 * Checks at-most-once execution over seeded schedules of double submissions,
 * resends, crashes, pauses, network partitions, leader changes, and late and
 * lost messages: no call runs twice, no call reported as not run has run, and
 * no claim is lost.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/attr.h"
#include "support_claim.h"

enum {
	SCHEDULES = 10000,
	UNCLAIMED_SCHEDULES = 500
};

static struct claim_totals
run(enum claim_mode mode, uint64_t schedules)
{
	struct claim_totals totals = {0};

	for (uint64_t seed = 1; seed <= schedules; seed++)
		claim_schedule_run(seed, mode, &totals);
	return totals;
}

static void
claimed_calls_run_at_most_once(void **state ATTR_UNUSED)
{
	struct claim_totals totals = run(CLAIM_MODE_CLAIMED, SCHEDULES);

	assert_int_equal(totals.schedules, SCHEDULES);
	assert_int_equal(totals.run_twice, 0);
	assert_int_equal(totals.ran_despite_not_run, 0);
	assert_int_equal(totals.claims_lost, 0);
	assert_int_equal(totals.wrong_answers, 0);
	assert_int_equal(totals.without_reply, 0);
	assert_int_equal(totals.stuck, 0);
	assert_true(totals.orphans * 1000 < SCHEDULES);
	/* The schedules must have exercised each kind of fault and reply. */
	assert_true(totals.runs > SCHEDULES);
	assert_true(totals.not_run_replies > 0 && totals.unknown_replies > 0);
	assert_true(totals.crashes > 0 && totals.pauses > 0);
	assert_true(totals.partitions > 0 && totals.leader_changes > 0);
	assert_true(totals.late_runs > 0 && totals.rejected_ends > 0);
}

static void
calls_without_ledger_run_twice(void **state ATTR_UNUSED)
{
	struct claim_totals none = run(CLAIM_MODE_NONE, UNCLAIMED_SCHEDULES);
	struct claim_totals local = run(CLAIM_MODE_LOCAL, UNCLAIMED_SCHEDULES);

	assert_true(none.run_twice > 0);
	assert_true(none.ran_despite_not_run > 0);
	assert_true(local.run_twice > 0);
	assert_true(local.ran_despite_not_run > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(claimed_calls_run_at_most_once),
	    cmocka_unit_test(calls_without_ledger_run_twice),
	};

	return cmocka_run_group_tests_name(
	    "claim schedules", tests, NULL, NULL);
}
