/*
 * Targets that reset connections when they are full, and services at which all
 * targets refuse.  Guards against requests that run twice or get lost at a
 * target without room, against targets that lose their place for being full,
 * and against resends that add to an overload.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "placement/placement_defs.h"

static unsigned grants;
static unsigned rejects;
static enum placement_reason rejected_for;

static void
on_grant(void *ctx ATTR_UNUSED, void *user ATTR_UNUSED,
    const char *target ATTR_UNUSED, uint64_t expected_us ATTR_UNUSED)
{
	grants++;
}

static void
on_reject(void *ctx ATTR_UNUSED, void *user ATTR_UNUSED,
    uint64_t retry_after_us ATTR_UNUSED, enum placement_reason reason)
{
	rejects++;
	rejected_for = reason;
}

static struct placement *
new_placement(void)
{
	const struct placement_callbacks callbacks = {
	    .grant = on_grant, .reject = on_reject};
	const struct repeat_limits limits = {10 * US_PER_S, 0.2, 60};
	struct placement *p = placement_new(&callbacks, &limits, 1, 1);

	grants = rejects = 0;
	placement_add_target(p, "t", 1, 4, 0, 1);
	return p;
}

static void
submit(struct placement *p, void *user, bool idempotent, bool repeat,
    uint64_t now_us)
{
	const struct placement_request request = {
	    .route = 1,
	    .idempotent = idempotent,
	    .repeat = repeat,
	    .objective_us = now_us + US_PER_S,
	    .deadline_us = now_us + 2 * US_PER_S,
	    .user = user,
	};

	(void)placement_submit(p, &request, now_us);
}

static void
end(struct placement *p, void *user, enum placement_outcome outcome,
    uint64_t now_us)
{

	placement_complete(p, user, "t", outcome, US_PER_MS, NULL, now_us);
}

static void
reset_of_a_full_target_is_no_failure(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement();
	const struct target *t = p->order->pdata[0];
	const struct target_load full = {4, 2, 4, 100};
	const struct target_load room = {4, 1, 4, 100};
	int users[5];

	/* Without a report the own sends count, apart from the one that asks.
	 */
	for (unsigned i = 0; i < 4; i++)
		submit(p, &users[i], true, false, 10 + i);
	assert_int_equal(grants, 4);
	assert_false(placement_is_full(p, "t", &users[3], 20));
	assert_true(placement_is_full(p, "t", &users[4], 20));
	for (unsigned i = 0; i < 4; i++)
		end(p, &users[i], OUTCOME_ANSWERED, 30);
	assert_false(placement_is_full(p, "t", &users[0], 40));
	/* A report with requests that wait, and a later one with fewer. */
	placement_on_probe(p, "t", &full, US_PER_S);
	assert_true(placement_is_full(p, "t", NULL, US_PER_S + 1));
	placement_on_probe(p, "t", &room, US_PER_S + 2);
	assert_false(placement_is_full(p, "t", NULL, US_PER_S + 3));
	placement_on_probe(p, "t", &full, US_PER_S + 4);
	assert_false(
	    placement_is_full(p, "t", NULL, US_PER_S + REPORT_FRESH_US + 5));

	end(p, NULL, OUTCOME_RESET_FULL, US_PER_S + 5);
	assert_true(target_failure_rate(t, US_PER_S + 5) == 0);
	assert_true(t->shed_until_us > US_PER_S + 5);
	placement_free(p);
}

static void
request_that_must_not_be_repeated_needs_room(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement();
	const struct target_load idle = {0, 0, 4, 100};
	const struct target_load busy = {4, 0, 4, 100};
	uint64_t now = US_PER_S;
	int users[4];

	/* Before any reset nothing changes. */
	submit(p, &users[0], false, false, now);
	assert_int_equal(grants, 1);
	end(p, &users[0], OUTCOME_RESET_FULL, now + 1);
	now += US_PER_S;
	submit(p, &users[1], false, false, now);
	assert_int_equal(grants, 1);
	submit(p, &users[2], true, false, now);
	assert_int_equal(grants, 2);
	end(p, &users[2], OUTCOME_ANSWERED, now + 1);
	placement_on_probe(p, "t", &busy, now + 2);
	assert_int_equal(grants, 2);
	placement_on_probe(p, "t", &idle, now + 3);
	assert_int_equal(grants, 3);
	end(p, &users[1], OUTCOME_ANSWERED, now + 4);
	submit(p, &users[3], false, false, now + REPORT_FRESH_US + 4);
	assert_int_equal(grants, 3);
	placement_free(p);
}

static void
refusing_service_gets_no_resends(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement();
	uint64_t now = US_PER_S;
	int user, other;

	/* Seven refusals prove nothing. */
	for (unsigned i = 0; i < 7; i++)
		end(p, NULL, OUTCOME_SHED, now + i);
	now += SHED_PAUSE_US + 10;
	submit(p, &user, true, true, now);
	assert_int_equal(grants, 1);
	end(p, &user, OUTCOME_SHED, now + 1);
	now += SHED_PAUSE_US + 10;
	submit(p, &user, true, true, now);
	assert_int_equal(rejects, 1);
	assert_int_equal(rejected_for, REJECT_NO_ROOM);
	/* The first send of a request is tried, also much later. */
	now += US_PER_S;
	submit(p, &other, true, false, now);
	assert_int_equal(grants, 2);
	submit(p, &user, true, true, now);
	assert_int_equal(rejects, 2);
	end(p, &other, OUTCOME_ANSWERED, now + 1);
	submit(p, &user, true, true, now + 2);
	assert_int_equal(grants, 3);
	placement_free(p);
}

static void
refusals_are_counted_within_the_window(void **state ATTR_UNUSED)
{
	struct refusal_window w = {0};
	uint64_t now = US_PER_S;

	for (unsigned i = 0; i < 36; i++)
		refusal_window_record(&w, i % 9 != 0, now + i);
	/* Eight in nine. */
	assert_false(refusal_window_refuses(&w, now));
	now += 2 * REFUSAL_WINDOW_US;
	for (unsigned i = 0; i < 8; i++)
		refusal_window_record(&w, true, now + i);
	assert_true(refusal_window_refuses(&w, now));
	refusal_window_record(&w, false, now + 10);
	refusal_window_record(&w, false, now + 11);
	assert_true(refusal_window_refuses(&w, now + 12));
	refusal_window_record(&w, false, now + 13);
	assert_false(refusal_window_refuses(&w, now + 14));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(reset_of_a_full_target_is_no_failure),
	    cmocka_unit_test(request_that_must_not_be_repeated_needs_room),
	    cmocka_unit_test(refusing_service_gets_no_resends),
	    cmocka_unit_test(refusals_are_counted_within_the_window),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
