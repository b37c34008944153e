/*
 * The queue of a placement when thousands of calls wait.
 */
/* cmocka.h needs these headers included before it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "placement/placement_defs.h"

enum {
	SECOND_US = 1000 * 1000,
	CALLS = 4000,
	RANKS = 4,
	VISITS_PER_CALL = 4 /* of all waiting calls together */
};

static unsigned granted;
static unsigned rejected;

static void
on_grant(void *ctx ATTR_UNUSED, void *user ATTR_UNUSED,
    const char *target ATTR_UNUSED, uint64_t expected_us ATTR_UNUSED)
{
	granted++;
}

static void
on_reject(void *ctx ATTR_UNUSED, void *user ATTR_UNUSED,
    uint64_t retry_after_us ATTR_UNUSED,
    enum placement_reason reason ATTR_UNUSED)
{
	rejected++;
}

static struct placement *
open_placement(void)
{
	static const struct placement_callbacks callbacks = {
	    .grant = on_grant,
	    .reject = on_reject,
	};
	static const struct repeat_limits limits = {
	    .ratio = 0.2,
	    .window_us = 10 * SECOND_US,
	    .slack = 62,
	};
	struct placement *p = placement_new(&callbacks, &limits, 1, 1);

	granted = rejected = 0;
	placement_add_target(p, "t1", 1, 4, 0, 1);
	return p;
}

/*
 * Submits a call; each user is a byte of its own.
 */
static void
submit(struct placement *p, unsigned number, uint64_t now_us)
{
	static char users[CALLS];
	struct placement_request request = {
	    .user = &users[number],
	    .rank = number % RANKS,
	    .idempotent = true,
	    .objective_us = now_us + 100000 * (uint64_t)SECOND_US,
	    .deadline_us = now_us + 100000 * (uint64_t)SECOND_US,
	};

	(void)placement_submit(p, &request, now_us);
}

/*
 * An entry stood still for over 20 seconds: each arrival compared each waiting
 * call with each other one.
 */
static void
arrival_visits_each_waiting_call_a_few_times(void **state ATTR_UNUSED)
{
	struct placement *p = open_placement();
	uint64_t now = SECOND_US;

	for (unsigned i = 0; i < CALLS; i++) {
		uint64_t before = p->visits;

		submit(p, i, ++now);
		assert_true(
		    p->visits - before <= VISITS_PER_CALL * (i + 2) + RANKS);
	}
	assert_int_equal(granted + p->waiting->len, CALLS);
	assert_int_equal(rejected, 0);
	placement_free(p);
}

/*
 * All waiting calls are considered when a slot is free, the most urgent first.
 */
static void
calls_of_the_best_rank_are_granted_first(void **state ATTR_UNUSED)
{
	struct placement *p = open_placement();
	uint64_t now = SECOND_US;

	for (unsigned i = 0; i < CALLS; i++)
		submit(p, i, ++now);
	for (unsigned rank = 0; rank < RANKS; rank++) {
		const struct call *first = p->waiting->pdata[0];
		unsigned before = granted;

		assert_int_equal(first->request.rank, 0);
		placement_add_target(
		    p, "t1", 1, 4 + 100 * (rank + 1), 0, ++now);
		placement_tick(p, ++now);
		assert_true(granted > before);
	}
	placement_free(p);
}

/*
 * Guards against late requests that are rejected while slots are free, because
 * the answers so far took less than the clock's resolution.
 */
static void
late_call_is_granted_after_answers_in_no_time(void **state ATTR_UNUSED)
{
	struct placement *p = open_placement();
	struct placement_request request = {
	    .user = "late",
	    .objective_us = 2 * SECOND_US,
	    .deadline_us = 60 * SECOND_US,
	};

	submit(p, 0, SECOND_US);
	assert_int_equal(granted, 1);
	placement_complete(p,
	    ((const struct call *)p->call_order.head->data)->request.user, "t1",
	    OUTCOME_ANSWERED, 0, NULL, SECOND_US);
	assert_false(placement_submit(p, &request, 3 * SECOND_US));
	assert_int_equal(granted, 2);
	assert_int_equal(rejected, 0);
	placement_free(p);
}

/*
 * Guards against a route that is never learnt: its timeout is below the work
 * that is assumed without samples, so that each request was rejected on an idle
 * service.  Requests that find the target occupied are rejected.
 */
static void
unknown_route_is_tried_at_an_idle_target(void **state ATTR_UNUSED)
{
	struct placement *p = open_placement();
	char users[2];
	struct placement_request request = {
	    .user = &users[0],
	    .objective_us = SECOND_US + 20 * 1000,
	    .deadline_us = SECOND_US + 50 * 1000,
	};

	placement_set_check_timeout(p, true);
	(void)placement_submit(p, &request, SECOND_US);
	assert_int_equal(granted, 1);
	request.user = &users[1];
	(void)placement_submit(p, &request, SECOND_US);
	assert_int_equal(granted, 1);
	assert_int_equal(rejected, 1);
	placement_free(p);
}

/*
 * Guards against a request that is sent after its deadline.
 */
static void
unknown_route_is_not_tried_after_its_deadline(void **state ATTR_UNUSED)
{
	struct placement *p = open_placement();
	char user;
	struct placement_request request = {
	    .user = &user,
	    .objective_us = SECOND_US,
	    .deadline_us = SECOND_US,
	};

	(void)placement_submit(p, &request, SECOND_US);
	assert_int_equal(granted, 0);
	assert_int_equal(rejected, 1);
	placement_free(p);
}

/*
 * Guards against a usual work above the route's timeout after a pause of an
 * entry, whose answers end seconds late: each request of the route was rejected
 * from then on, with nearly all slots free.
 */
static void
answers_held_up_by_a_pause_do_not_count(void **state ATTR_UNUSED)
{
	struct placement *p = open_placement();
	static char users[2];
	struct placement_request request = {
	    .idempotent = true,
	};
	uint64_t now = SECOND_US;

	for (unsigned i = 0; i < 50; i++) {
		bool held_up = i >= 20;
		uint64_t took = held_up ? 7 * SECOND_US : SECOND_US / 10;

		request.user = &users[0];
		request.objective_us = now + SECOND_US / 2;
		request.deadline_us = now + SECOND_US;
		(void)placement_submit(p, &request, now);
		assert_int_equal(granted, i + 1);
		now += took;
		placement_complete(
		    p, &users[0], "t1", OUTCOME_ANSWERED, took, NULL, now);
		now += SECOND_US;
	}
	assert_int_equal(rejected, 0);
	placement_free(p);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(arrival_visits_each_waiting_call_a_few_times),
	    cmocka_unit_test(calls_of_the_best_rank_are_granted_first),
	    cmocka_unit_test(late_call_is_granted_after_answers_in_no_time),
	    cmocka_unit_test(answers_held_up_by_a_pause_do_not_count),
	    cmocka_unit_test(unknown_route_is_tried_at_an_idle_target),
	    cmocka_unit_test(unknown_route_is_not_tried_after_its_deadline),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
