/*
 * Cold targets and evacuated ones in a placement.  Guards against more requests
 * than a cold target tolerates from the causes that a bucket does not see by
 * itself: a takeover, a second cold phase, an entry that is no scheduler.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "placement/placement_defs.h"

#define PER_S 5.0
#define WARM_END_US (100 * US_PER_S)

static unsigned grants[2]; /* of "cold" and "warm" */
static unsigned rejects;

static void
on_grant(void *ctx ATTR_UNUSED, void *user ATTR_UNUSED, const char *target,
    uint64_t expected_us ATTR_UNUSED)
{
	grants[strcmp(target, "warm") == 0]++;
}

static void
on_reject(void *ctx ATTR_UNUSED, void *user ATTR_UNUSED,
    uint64_t retry_after_us ATTR_UNUSED,
    enum placement_reason reason ATTR_UNUSED)
{
	rejects++;
}

static struct placement *
new_placement(double per_s, bool scheduler)
{
	const struct placement_callbacks callbacks = {
	    .grant = on_grant, .reject = on_reject};
	const struct repeat_limits limits = {10 * US_PER_S, 0.2, 60};
	struct placement *p = placement_new(&callbacks, &limits, 1, 1);

	memset(grants, 0, sizeof(grants));
	rejects = 0;
	placement_set_warmup_rate(p, per_s, 1);
	placement_set_scheduler(p, scheduler, 1);
	placement_add_target(p, "cold", 1, 4, WARM_END_US, 1);
	return p;
}

/*
 * Submits a request each 10 ms and ends it 1 ms later; returns the grants of
 * the cold target.
 */
static unsigned
run(struct placement *p, uint64_t from_us, uint64_t until_us)
{
	unsigned before = grants[0];
	int user;

	for (uint64_t now = from_us; now < until_us; now += 10 * US_PER_MS) {
		const struct placement_request request = {
		    .route = 1,
		    .objective_us = now + US_PER_S,
		    .deadline_us = now + 2 * US_PER_S,
		    .user = &user,
		};

		(void)placement_submit(p, &request, now);
		placement_complete(p, &user, "cold", OUTCOME_ANSWERED,
		    US_PER_MS, NULL, now + US_PER_MS);
		placement_complete(p, &user, "warm", OUTCOME_ANSWERED,
		    US_PER_MS, NULL, now + US_PER_MS);
		placement_cancel(p, &user, now + US_PER_MS);
	}
	return grants[0] - before;
}

static void
test_only_scheduler_grants(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(PER_S, false);

	assert_int_equal(run(p, 10, 2 * US_PER_S), 0);
	assert_true(rejects > 0);
	placement_set_scheduler(p, true, 2 * US_PER_S);
	/* It begins with an empty bucket. */
	assert_int_equal(
	    run(p, 2 * US_PER_S, 2 * US_PER_S + 190 * US_PER_MS), 0);
	assert_in_range(
	    run(p, 2 * US_PER_S + 190 * US_PER_MS, 12 * US_PER_S), 47, 50);
	placement_free(p);
}

/*
 * A target that joins a service with idle targets is not left without requests,
 * and doesn't get all that its rate allows: at half the speed of the others.
 */
static void
test_joining_target_gets_some_requests(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(PER_S, true);

	placement_add_target(p, "warm", 1, 4, 0, 1);
	assert_in_range(run(p, 10, 10 * US_PER_S), 9, 10);
	assert_true(grants[1] > 900);
	assert_int_equal(rejects, 0);
	placement_free(p);
}

static void
test_cold_again(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(PER_S, true);

	/* A report that says 0 ends the cold state. */
	assert_false(placement_set_warmup_end(p, "cold", 0, US_PER_S));
	assert_in_range(run(p, US_PER_S, 2 * US_PER_S), 99, 101);
	assert_true(
	    placement_set_warmup_end(p, "cold", WARM_END_US, 2 * US_PER_S));
	assert_int_equal(
	    run(p, 2 * US_PER_S, 2 * US_PER_S + 190 * US_PER_MS), 0);
	/* A longer warm-up of a cold target does not fill the bucket. */
	assert_false(placement_set_warmup_end(
	    p, "cold", WARM_END_US + US_PER_S, 3 * US_PER_S));
	assert_in_range(run(p, 3 * US_PER_S, 5 * US_PER_S), 10, 12);
	placement_free(p);
}

static void
test_no_rate_no_limit(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(0, false);

	assert_in_range(run(p, 10, US_PER_S), 99, 101);
	/* A changed document. */
	placement_set_warmup_rate(p, PER_S, US_PER_S);
	assert_int_equal(run(p, US_PER_S, 2 * US_PER_S), 0);
	placement_free(p);
}

static void
test_evacuated(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(0, true);
	const struct target_load load = {0, 0, 4, 100};
	struct placement_stats f;
	int user;
	const struct placement_request running = {
	    .route = 1,
	    .idempotent = true,
	    .sends_left = 1,
	    .objective_us = 2 * US_PER_S,
	    .deadline_us = 3 * US_PER_S,
	    .user = &user,
	};

	placement_add_target(p, "cold", 1, 4, 0, 1);
	(void)placement_submit(p, &running, 10);
	assert_int_equal(grants[0], 1);
	placement_add_target(p, "warm", 2, 4, 0, 1);
	placement_set_evacuated(p, "cold", true);
	/* What runs there ends there, without a second send. */
	placement_on_probe(p, "cold", &load, 20 * US_PER_MS);
	assert_int_equal(grants[1], 0);
	assert_int_equal(run(p, US_PER_S, 2 * US_PER_S), 0);
	assert_true(grants[1] > 90);
	placement_set_evacuated(p, "warm", true);
	assert_int_equal(run(p, 2 * US_PER_S, 3 * US_PER_S), 0);
	assert_int_equal(rejects, 100);
	placement_get_stats(p, 3 * US_PER_S, &f);
	assert_int_equal(f.usable, 0);
	placement_set_evacuated(p, "cold", false);
	assert_true(run(p, 3 * US_PER_S, 4 * US_PER_S) > 90);
	placement_free(p);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_only_scheduler_grants),
	    cmocka_unit_test(test_joining_target_gets_some_requests),
	    cmocka_unit_test(test_cold_again),
	    cmocka_unit_test(test_no_rate_no_limit),
	    cmocka_unit_test(test_evacuated),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
