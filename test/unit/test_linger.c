/*
 * The wait between a connection's last answer and its close: it starts with the
 * acknowledgement of the answer by the peer's host, and every part is bounded.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/linger.h"

enum {
	START_MS = 1000,
	STEP_MS = 100,
	ANSWER_BYTES = 100000
};

/*
 * Steps through a wait and returns its length in milliseconds.  The peer takes
 * taken_bytes of the answer in each step and doesn't close.
 */
static uint64_t
wait_ms(unsigned answer_bytes, unsigned taken_bytes)
{
	struct linger_wait wait;
	uint64_t now = START_MS;

	linger_start(&wait, now);
	while (!linger_is_over(&wait, answer_bytes, now)) {
		now += STEP_MS;
		answer_bytes -=
		    taken_bytes < answer_bytes ? taken_bytes : answer_bytes;
	}
	return now - START_MS;
}

static void
close_waits_for_a_slow_reader_that_makes_progress(void **state ATTR_UNUSED)
{
	/* 1,000 steps of 0.1 s, and ten seconds for the peer's close. */
	assert_in_range(wait_ms(ANSWER_BYTES, 100), 110000, 110200);
}

static void
reader_without_progress_is_cut_after_a_minute(void **state ATTR_UNUSED)
{
	assert_in_range(wait_ms(ANSWER_BYTES, 0), 60000, 61000);
}

static void
late_peer_has_ten_seconds_to_close(void **state ATTR_UNUSED)
{
	assert_in_range(wait_ms(0, 0), 10000, 10200);
}

static void
only_delivered_connections_yield_the_first_of_them_first(
    void **state ATTR_UNUSED)
{
	struct linger_wait waits[3];

	for (unsigned i = 0; i < 3; i++)
		linger_start(&waits[i], START_MS);
	assert_false(linger_is_over(&waits[0], ANSWER_BYTES, START_MS));
	assert_false(linger_is_over(&waits[1], 0, START_MS + STEP_MS));
	assert_false(linger_is_over(&waits[2], 0, START_MS + 2 * STEP_MS));
	assert_false(linger_can_yield(&waits[0], NULL));
	assert_false(linger_can_yield(&waits[0], &waits[1]));
	assert_true(linger_can_yield(&waits[2], NULL));
	assert_true(linger_can_yield(&waits[1], &waits[2]));
	assert_false(linger_can_yield(&waits[2], &waits[1]));
}

/*
 * Guards against new peers that wait for a place as long as a slow reader makes
 * progress.
 */
static void
connection_may_yield_soon_for_the_delay_of_an_acknowledgement(
    void **state ATTR_UNUSED)
{
	struct linger_wait wait;

	linger_start(&wait, START_MS);
	assert_true(linger_may_yield_soon(&wait, START_MS));
	assert_false(linger_is_over(&wait, ANSWER_BYTES, START_MS + STEP_MS));
	assert_true(linger_may_yield_soon(&wait, START_MS + 2 * STEP_MS));
	assert_false(
	    linger_is_over(&wait, ANSWER_BYTES / 2, START_MS + 2 * STEP_MS));
	assert_false(linger_may_yield_soon(&wait, START_MS + 2 * STEP_MS + 1));
	linger_start(&wait, START_MS);
	assert_true(linger_is_delivered(&wait, 0, START_MS + STEP_MS));
	assert_false(linger_may_yield_soon(&wait, START_MS + STEP_MS));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(close_waits_for_a_slow_reader_that_makes_progress),
	    cmocka_unit_test(reader_without_progress_is_cut_after_a_minute),
	    cmocka_unit_test(late_peer_has_ten_seconds_to_close),
	    cmocka_unit_test(
		only_delivered_connections_yield_the_first_of_them_first),
	    cmocka_unit_test(
		connection_may_yield_soon_for_the_delay_of_an_acknowledgement),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
