/*
 * Second sends against the slowest answers.  Guards against more of them than
 * the share allows, at a service short of room, or of requests that may run
 * only once.
 */
/* cmocka.h needs these headers included before it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/random.h"
#include "placement/hedge_budget.h"
#include "placement/latency_quantile.h"
#include "support_hedge_load.h"

enum {
	SEEDS = 8,
	LOSS_SEEDS = 48
};

/*
 * With the share, the slowest answers are cut; schedulers that are lost and
 * replaced make no more second sends than the share of all answers.
 */
static void
share_holds_over_replaced_schedulers(void **state ATTR_UNUSED)
{
	static const unsigned takeovers[] = {0, 700, 3000, 5000};

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct hedge_load load = {.policy = HEDGE_POLICY_RULE,
		    .share = 0.03,
		    .per_s = 100,
		    .stuck = 0.02,
		    .takeover_ms = takeovers[seed % 4]};
		struct hedge_load_result with = hedge_load_replay(&load, seed);

		assert_true(with.second <= 0.03 * with.answered);
		assert_true(load.takeover_ms == 700 || with.second > 0);
		if (load.takeover_ms > 0)
			continue;
		load.share = 0;
		assert_true(with.late_from_send * 2 <
		    hedge_load_replay(&load, seed).late_from_send);
	}
}

/*
 * Two schedulers of one service, of which one is lost at random times: its
 * successor begins without credit, and nobody gets credit for what the lost
 * one has granted.  Guards against a share that holds for each scheduler but
 * not for their sum.  Checked after each millisecond.
 */
static void
share_holds_for_two_schedulers(void **state ATTR_UNUSED)
{
	static const double shares[] = {0.01, 0.02, 0.05, 0.2};
	unsigned hedges = 0;
	unsigned losses = 0;

	for (uint64_t seed = 1; seed <= LOSS_SEEDS; seed++) {
		const struct hedge_load load = {.policy = HEDGE_POLICY_RULE,
		    .share = shares[seed % 4],
		    .per_s = 50 + 50 * (double)(seed / 4 % 3),
		    .stuck = 0.1,
		    .all_slow_ms = seed / 12 % 2 == 1 ? 10000 : 0,
		    .all_slow_end_ms = 12000,
		    .lost_ms = 1000U << seed % 3};
		struct hedge_load_result o = hedge_load_replay(&load, seed);

		assert_int_equal(o.exceeded, 0);
		assert_true(o.answered > o.requests / 2);
		hedges += o.hedges;
		losses += o.losses;
	}
	/* The property says nothing without them. */
	assert_true(losses > 100);
	assert_true(hedges > 300);
}

/*
 * Second sends of a service whose targets are all slow would slow them further.
 */
static void
no_second_sends_without_idle_room(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		const struct hedge_load load = {.policy = HEDGE_POLICY_RULE,
		    .share = 0.2,
		    .per_s = 150,
		    .stuck = 0.02,
		    .all_slow_ms = 10000};

		/* The first ones begin before the slots are full. */
		assert_true(hedge_load_replay(&load, seed).second_slow <=
		    2 * HEDGE_CREDIT_MAX);
	}
}

/*
 * Off by default, for requests that run once, and for an entry that places on
 * its own view.
 */
static void
no_second_sends_where_not_allowed(void **state ATTR_UNUSED)
{
	static const struct hedge_load loads[] = {
	    {.policy = HEDGE_POLICY_RULE,
		.share = 0,
		.per_s = 100,
		.stuck = 0.02},
	    {.policy = HEDGE_POLICY_RULE,
		.share = 0.2,
		.per_s = 100,
		.stuck = 0.02,
		.once = true},
	    {.policy = HEDGE_POLICY_RULE,
		.share = 0.2,
		.per_s = 100,
		.stuck = 0.02,
		.own_view = true},
	};

	for (unsigned i = 0; i < 3; i++)
		assert_int_equal(hedge_load_replay(&loads[i], i + 1).second, 0);
}

/*
 * The learnt value is near the true nine in ten of uniform times.
 */
static void
quantile_is_learnt(void **state ATTR_UNUSED)
{
	struct latency_quantile latency = {0};
	struct random random;
	double left;

	random_seed(&random, 1);
	for (int i = 0; i < 5000; i++)
		latency_quantile_record(&latency, 1, random_unit(&random));
	assert_true(latency.levels[1].quantile > 0.8);
	assert_true(latency.levels[1].quantile < 0.98);
	assert_true(latency_quantile_exceeds(&latency, 1, 0.99, &left));
	assert_false(latency_quantile_exceeds(&latency, 0, 0.99, &left));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(share_holds_over_replaced_schedulers),
	    cmocka_unit_test(share_holds_for_two_schedulers),
	    cmocka_unit_test(no_second_sends_without_idle_room),
	    cmocka_unit_test(no_second_sends_where_not_allowed),
	    cmocka_unit_test(quantile_is_learnt),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
