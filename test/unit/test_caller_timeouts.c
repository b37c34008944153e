/*
 * Estimation of callers' timeouts from the remaining time in their requests:
 * first tries, retries with less time left, and routes with different callers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/random.h"
#include "flow/caller_timeouts.h"

static void
retries_are_distinguished_from_new_requests(void **state ATTR_UNUSED)
{
	struct caller_timeouts p = {0};
	struct random random;

	random_seed(&random, 1);
	/* Remaining time of a browse request: 2.5 s less a few milliseconds. */
	for (int i = 0; i < 200; i++) {
		bool returned = random_below(&random, 3) == 0;
		uint64_t left = 2500 - 3 - random_below(&random, 8);

		if (returned)
			left -= 100 + random_below(&random, 1500);
		caller_timeouts_record(&p, left);
	}
	assert_int_equal(caller_timeouts_elapsed_ms(&p, 2497), 0);
	assert_int_equal(caller_timeouts_elapsed_ms(&p, 2480), 0);
	assert_in_range(caller_timeouts_elapsed_ms(&p, 2090), 390, 410);
	assert_in_range(caller_timeouts_elapsed_ms(&p, 1200), 1280, 1300);
	/* More than any caller had. */
	assert_int_equal(caller_timeouts_elapsed_ms(&p, 9000), 0);
}

static void
no_estimate_from_few_requests(void **state ATTR_UNUSED)
{
	struct caller_timeouts p = {0};

	for (int i = 0; i < 10; i++)
		caller_timeouts_record(&p, 2500);
	assert_int_equal(caller_timeouts_elapsed_ms(&p, 300), 0);
}

static void
two_usual_timeouts_are_recognized(void **state ATTR_UNUSED)
{
	struct caller_timeouts p = {0};

	for (int i = 0; i < 100; i++)
		caller_timeouts_record(&p, i % 3 == 0 ? 800 : 5000);
	assert_int_equal(caller_timeouts_elapsed_ms(&p, 5000), 0);
	assert_int_equal(caller_timeouts_elapsed_ms(&p, 795), 0);
	assert_int_equal(caller_timeouts_elapsed_ms(&p, 700), 100);
}

static void
no_estimate_without_usual_timeout(void **state ATTR_UNUSED)
{
	struct caller_timeouts p = {0};

	for (unsigned i = 0; i < 200; i++)
		caller_timeouts_record(&p, 100 + i * 37 % 5000);
	for (unsigned left = 0; left < 5000; left += 100)
		assert_int_equal(caller_timeouts_elapsed_ms(&p, left), 0);
}

static void
changed_timeout_is_learned(void **state ATTR_UNUSED)
{
	struct caller_timeouts p = {0};

	for (int i = 0; i < 100; i++)
		caller_timeouts_record(&p, 5000);
	assert_int_equal(caller_timeouts_elapsed_ms(&p, 1000), 4000);
	for (int i = 0; i < 100; i++)
		caller_timeouts_record(&p, 1000);
	assert_int_equal(caller_timeouts_elapsed_ms(&p, 1000), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(retries_are_distinguished_from_new_requests),
	    cmocka_unit_test(no_estimate_from_few_requests),
	    cmocka_unit_test(two_usual_timeouts_are_recognized),
	    cmocka_unit_test(no_estimate_without_usual_timeout),
	    cmocka_unit_test(changed_timeout_is_learned),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
