/*
 * Targets of an evacuated failure domain at an entry.  Guards against the paths
 * by which a request or a connection could still reach such a target.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "support_flow.h"

/*
 * Replaces the set of evacuated failure domains; the fixture's target is in
 * "a".
 */
static void
evacuate(struct flow *flow, const char *failure_domain)
{
	Fleet__Evacuations message = FLEET__EVACUATIONS__INIT;
	char *names[] = {(char *)failure_domain};

	message.index = flow->evacuation_index + 1;
	message.failure_domain = names;
	message.n_failure_domain = failure_domain != NULL ? 1 : 0;
	evacuation_on_update(flow, &message);
}

static struct pool *
pool_of(const struct flow_fixture *fixture)
{
	return g_hash_table_lookup(fixture->flow->pools, "t1");
}

static void
grant_by_a_scheduler_that_does_not_know_is_refused(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = flow_fixture_exchange(&fixture);
	evacuate(fixture.flow, "a");
	/* The entry itself, asked again, has no target for it either. */
	exchange_on_grant(x, "t1", true, 0);
	assert_int_equal(x->attempt_count, 0);
	assert_int_equal(pool_of(&fixture)->all.length, 0);
	assert_true(x->ended);
	flow_fixture_close(&fixture, x);
}

static void
unsent_request_is_placed_again(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_NEVER);
	x = flow_fixture_exchange(&fixture);
	exchange_on_grant(x, "t1", true, 0);
	assert_int_equal(x->attempt_count, 1);
	assert_false(x->attempts[0].sent);
	evacuate(fixture.flow, "a");
	assert_int_equal(pool_of(&fixture)->all.length, 0);
	assert_int_equal(x->attempt_count, 0);
	assert_false(x->possibly_executed);
	flow_fixture_close(&fixture, x);
}

static void
sent_request_ends_at_its_target(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;
	struct upstream *up;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = flow_fixture_exchange(&fixture);
	exchange_on_grant(x, "t1", true, 0);
	flow_fixture_run(&fixture, 50);
	assert_true(x->attempts[0].sent);
	up = x->attempts[0].upstream;
	evacuate(fixture.flow, "a");
	assert_ptr_equal(x->attempts[0].upstream, up);
	assert_false(up->closing);
	/* Its connection is not kept. */
	up->keep_alive = true;
	up->keep_alive_ms = 1000;
	up->attempt = NULL;
	x->attempts[0].upstream = NULL;
	upstream_release(up);
	assert_true(up->closing);
	flow_fixture_close(&fixture, x);
}

static void
target_that_joins_is_evacuated_until_the_end(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;
	struct pool *pool;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	evacuate(fixture.flow, "a");
	flow_fixture_announce(&fixture, "t7", fixture.target_address);
	pool = g_hash_table_lookup(fixture.flow->pools, "t7");
	assert_non_null(pool);
	assert_true(pool->evacuated);
	assert_null(pool->probe_iter);
	assert_false(target_probe(pool, "/"));
	evacuate(fixture.flow, "other");
	assert_false(pool->evacuated);
	x = flow_fixture_exchange(&fixture);
	exchange_on_grant(x, "t7", true, 0);
	assert_int_equal(x->attempt_count, 1);
	flow_fixture_close(&fixture, x);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		grant_by_a_scheduler_that_does_not_know_is_refused),
	    cmocka_unit_test(unsent_request_is_placed_again),
	    cmocka_unit_test(sent_request_ends_at_its_target),
	    cmocka_unit_test(target_that_joins_is_evacuated_until_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
