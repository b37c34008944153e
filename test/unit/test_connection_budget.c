/*
 * Decisions on what callers' connections may hold: the bounds, when reading
 * stops and goes on, and which connection is closed first.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/connection_budget.h"

enum {
	MB = 1 << 20,
	KB = 1 << 10,
	NOW_MS = 60 * 1000
};

static struct connection_budget
open_budget(uint64_t memory_bytes)
{
	struct connection_budget budget;

	connection_budget_open(&budget, memory_bytes);
	return budget;
}

static void
bounds_follow_the_memory(void **state ATTR_UNUSED)
{
	struct connection_budget small = open_budget(32 * MB);
	struct connection_budget large = open_budget(1024 * (uint64_t)MB);

	assert_int_equal(small.process_max, 8 * MB);
	assert_int_equal(small.unread_max, 32 * KB);
	assert_int_equal(small.socket_bytes, 128 * KB);
	assert_int_equal(large.unread_max, 256 * KB);
	assert_int_equal(large.socket_bytes, 512 * KB);
	assert_int_equal(open_budget(MB).unread_max, 16 * KB);
	assert_int_equal(open_budget(MB).socket_bytes, 64 * KB);
}

static void
excess_is_what_is_above_the_bound(void **state ATTR_UNUSED)
{
	struct connection_budget b = open_budget(32 * MB);

	connection_budget_change(&b, 0, 8 * MB);
	assert_int_equal(connection_budget_excess(&b), 0);
	connection_budget_change(&b, 0, 3 * MB);
	connection_budget_change(&b, 3 * MB, 1 * MB);
	assert_int_equal(connection_budget_excess(&b), 1 * MB);
	connection_budget_change(&b, 8 * MB, 0);
	assert_int_equal(b.held, 1 * MB);
	assert_int_equal(connection_budget_excess(&b), 0);
}

static void
reading_stops_above_the_bound_and_goes_on_at_half(void **state ATTR_UNUSED)
{
	struct connection_budget b = open_budget(32 * MB);

	assert_false(connection_budget_must_pause(&b, 32 * KB));
	assert_true(connection_budget_must_pause(&b, 32 * KB + 1));
	assert_false(connection_budget_may_resume(&b, 16 * KB + 1));
	assert_true(connection_budget_may_resume(&b, 16 * KB));
}

static void
ordinary_request_is_never_closed(void **state ATTR_UNUSED)
{
	const struct connection_use ordinary = {
	    .held = 5 * MB, .address_held = 5 * MB, .ordinary = true};
	const struct connection_use nothing = {.address_held = 5 * MB};

	assert_false(connection_use_goes_first(&ordinary, NULL, NOW_MS));
	assert_false(connection_use_goes_first(&nothing, NULL, NOW_MS));
}

static void
address_that_holds_most_comes_first(void **state ATTR_UNUSED)
{
	const struct connection_use one = {
	    .held = 2 * MB, .address_held = 2 * MB};
	const struct connection_use of_many = {
	    .held = MB, .address_held = 9 * MB, .moved_ms = NOW_MS};

	assert_true(connection_use_goes_first(&of_many, &one, NOW_MS));
	assert_false(connection_use_goes_first(&one, &of_many, NOW_MS));
}

static void
most_held_and_least_moved_comes_first(void **state ATTR_UNUSED)
{
	const struct connection_use moves = {
	    .held = 3 * MB, .address_held = 9 * MB, .moved_ms = NOW_MS};
	const struct connection_use stalls = {
	    .held = 1 * MB, .address_held = 9 * MB, .moved_ms = NOW_MS - 5000};
	const struct connection_use small = {.held = 100 * KB,
	    .address_held = 9 * MB,
	    .moved_ms = NOW_MS - 5000};

	assert_true(connection_use_goes_first(&moves, NULL, NOW_MS));
	assert_true(connection_use_goes_first(&stalls, &moves, NOW_MS));
	assert_true(connection_use_goes_first(&moves, &small, NOW_MS));
	assert_true(connection_use_goes_first(&stalls, &small, NOW_MS));
}

static void
caller_that_takes_bytes_has_moved(void **state ATTR_UNUSED)
{
	struct connection_use use = {0};

	/* Less than it was given waits: its host has taken the rest. */
	assert_true(connection_use_update(&use, 100 * KB, 60 * KB, 1));
	assert_false(connection_use_update(&use, 100 * KB, 60 * KB, 2));
	assert_false(connection_use_update(&use, 200 * KB, 160 * KB, 3));
	assert_int_equal(use.moved_ms, 1);
	/* More waits than before, and some was taken. */
	assert_true(connection_use_update(&use, 300 * KB, 259 * KB, 4));
	assert_int_equal(use.moved_ms, 4);
	/* Nothing waits: a caller that is idle is not a slow one. */
	assert_true(connection_use_update(&use, 300 * KB, 0, 5));
	assert_true(connection_use_update(&use, 300 * KB, 0, 6));
	assert_int_equal(use.moved_ms, 6);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(bounds_follow_the_memory),
	    cmocka_unit_test(excess_is_what_is_above_the_bound),
	    cmocka_unit_test(reading_stops_above_the_bound_and_goes_on_at_half),
	    cmocka_unit_test(ordinary_request_is_never_closed),
	    cmocka_unit_test(address_that_holds_most_comes_first),
	    cmocka_unit_test(most_held_and_least_moved_comes_first),
	    cmocka_unit_test(caller_that_takes_bytes_has_moved),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
