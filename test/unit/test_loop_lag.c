/*
 * Detection of a shortage of processor time by the lateness of a timer.  A
 * single freeze must not count, and busy must not toggle on every late run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "flow/loop_lag.h"

enum {
	MS = 1000,
	INTERVAL_US = 10 * MS
};

/*
 * Runs the timer a number of times, each late by late_us; returns how often
 * busy changed.
 */
static unsigned
run_timer(struct loop_lag *s, uint64_t *now_us, unsigned runs, uint64_t late_us)
{
	unsigned changes = 0;

	for (unsigned i = 0; i < runs; i++) {
		*now_us += INTERVAL_US + late_us;
		changes += loop_lag_record(s, *now_us, INTERVAL_US) ? 1 : 0;
	}
	return changes;
}

static void
late_runs_set_busy_until_calm(void **state ATTR_UNUSED)
{
	struct loop_lag s = {0};
	uint64_t now = MS;

	assert_int_equal(run_timer(&s, &now, 500, 1 * MS), 0);
	assert_int_equal(run_timer(&s, &now, 300, 30 * MS), 1);
	assert_true(s.busy);
	/* Busy is not cleared immediately, and does not toggle. */
	assert_int_equal(run_timer(&s, &now, 100, 0), 0);
	assert_true(s.busy);
	assert_int_equal(run_timer(&s, &now, 1000, 1 * MS), 1);
	assert_false(s.busy);
}

static void
single_freeze_does_not_set_busy(void **state ATTR_UNUSED)
{
	struct loop_lag s = {0};
	uint64_t now = MS;

	(void)run_timer(&s, &now, 100, 0);
	now += 8000 * MS;
	assert_int_equal(run_timer(&s, &now, 100, 0), 0);
	assert_false(s.busy);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(late_runs_set_busy_until_calm),
	    cmocka_unit_test(single_freeze_does_not_set_busy),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
