/*
 * Tests of the inputs of the expected-delay policy: the latency profile, the
 * straggler filter, the trust in reports, the cost, and hedges.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "balance/latency.h"
#include "balance/policy.h"
#include "balance/straggler.h"
#include "balance/trust.h"
#include "base/clock.h"
#include "base/random.h"

#define MEAN_US 10000.0

static void
observe_exponential(
    struct latency_profile *profile, struct random *random, int count)
{
	for (int i = 0; i < count; i++)
		latency_profile_observe(
		    profile, random_exponential(random, MEAN_US));
}

static void
profile_tracks_the_quantiles(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct latency_profile profile = {0};
		struct latency_view view;
		struct random random;

		random_seed(&random, seed);
		observe_exponential(&profile, &random, 5000);
		view = latency_profile_view(&profile);
		assert_true(view.known);
		assert_true(view.quantiles_us[0] > 0.4 * MEAN_US &&
		    view.quantiles_us[0] < 1.1 * MEAN_US);
		assert_true(view.quantiles_us[1] > 1.5 * MEAN_US &&
		    view.quantiles_us[1] < 3.5 * MEAN_US);
		assert_true(view.quantiles_us[2] > 3.0 * MEAN_US &&
		    view.quantiles_us[2] < 8.0 * MEAN_US);
	}
}

static void
latency_at_surprisal_is_inverse(void **state ATTR_UNUSED)
{
	struct latency_profile profile = {0};
	struct latency_view view;
	struct random random;

	random_seed(&random, 3);
	observe_exponential(&profile, &random, 1000);
	view = latency_profile_view(&profile);
	for (double z = 0.1; z < 12.0; z += 0.1) {
		double back =
		    latency_surprisal(&view, latency_at_surprisal(&view, z));

		assert_true(back > z - 1e-6 && back < z + 1e-6);
	}
}

/*
 * The first answer of a target defines its floor, so that its latency in
 * excess of the floor is 0.  Guards against a profile initialized from that
 * 0, which makes every later latency evidence of a straggler.
 */
static void
profile_handles_initial_zero_latencies(void **state ATTR_UNUSED)
{
	struct latency_profile profile = {0};
	struct latency_view view;
	struct random random;

	random_seed(&random, 5);
	for (int i = 0; i < 16; i++)
		latency_profile_observe(&profile, 0.0);
	view = latency_profile_view(&profile);
	assert_false(view.known);
	assert_true(latency_surprisal(&view, MEAN_US) == 0.0);
	observe_exponential(&profile, &random, 200);
	view = latency_profile_view(&profile);
	assert_true(view.known);
	assert_true(view.mean_us > 0.3 * MEAN_US);
}

/*
 * Returns whether a target whose answers take factor times longer is
 * suspected.
 */
static bool
suspected_within(double factor, int answers, uint64_t seed)
{
	struct straggler straggler = {0};
	struct random random;
	uint64_t now = 0;

	random_seed(&random, seed);
	for (int i = 0; i < answers; i++) {
		now += 50 * US_PER_MS;
		straggler_observe(&straggler, MEAN_US,
		    factor * random_exponential(&random, 1.0), true, now);
		if (straggler_log_odds(&straggler, MEAN_US, now) > 0.0)
			return true;
	}
	return false;
}

static void
straggler_is_detected_within_five_answers(void **state ATTR_UNUSED)
{
	int found = 0;
	int wrong = 0;

	for (uint64_t seed = 1; seed <= 200; seed++) {
		found += suspected_within(10.0, 5, seed);
		wrong += suspected_within(1.0, 50, seed);
	}
	assert_true(found >= 190);
	assert_true(wrong <= 20);
}

static void
straggler_evidence_decays(void **state ATTR_UNUSED)
{
	struct straggler straggler = {0};

	straggler_observe(&straggler, MEAN_US, 30.0, true, 1);
	assert_true(straggler_log_odds(&straggler, MEAN_US, 1) > 5.0);
	assert_true(
	    straggler_log_odds(&straggler, MEAN_US, 60 * US_PER_S) < -3.0);
}

/* Returns whether a sequence of reports of a kind ends up trusted. */
static bool
trusted_after(int kind, uint64_t seed)
{
	struct trust trust = {0};
	struct random random;
	double other_calls = 2.0;

	random_seed(&random, seed);
	for (int i = 0; i < 400; i++) {
		double own = random_below(&random, 4) == 0 ? 1.0 : 0.0;
		double true_load = own + other_calls;
		double reported = true_load;

		other_calls = (double)random_below(&random, 4);
		if (kind == 1)
			reported = 0.0;
		else if (kind == 2)
			reported = 2.0;
		else if (kind == 3)
			reported = (double)random_below(&random, 5);
		trust_observe(&trust, reported, own);
	}
	return trust_is_sufficient(&trust);
}

static void
trust_distinguishes_false_reports(void **state ATTR_UNUSED)
{
	int wrong[4] = {0};

	for (uint64_t seed = 1; seed <= 200; seed++) {
		wrong[0] += !trusted_after(0, seed);
		for (int kind = 1; kind < 4; kind++)
			wrong[kind] += trusted_after(kind, seed);
	}
	assert_true(wrong[0] <= 20); /* true */
	assert_int_equal(wrong[1], 0); /* always idle */
	assert_int_equal(wrong[2], 0); /* constant */
	assert_true(wrong[3] <= 20); /* unrelated to the calls */
}

static struct target *
make_target(enum balance_state state)
{
	return target_new(
	    &(struct balance_target_info){
		.id = STR_LITERAL("t"),
		.address = STR_LITERAL("a"),
		.failure_domain = STR_LITERAL("fd0"),
		.slots = 4,
		.state = state,
	    },
	    1);
}

static struct service_view
make_view(uint64_t now_us)
{
	struct service_view view = {
	    .now_us = now_us,
	    .cold_start_us = US_PER_S,
	    .latency = {.known = true, .mean_us = MEAN_US},
	    .other_calls = 2.0,
	    .floor_us = 1000.0,
	};

	view.latency.quantiles_us[0] = 0.693 * MEAN_US;
	view.latency.quantiles_us[1] = 2.303 * MEAN_US;
	view.latency.quantiles_us[2] = 4.605 * MEAN_US;
	return view;
}

static void
cost_rises_with_load_age_and_cold_start(void **state ATTR_UNUSED)
{
	struct target *target = make_target(BALANCE_READY);
	struct target *cold = make_target(BALANCE_COLD);
	struct service_view view = make_view(1000);
	struct balance_report report = {.in_flight = 6, .slots = 4};
	double idle = policy_expected_delay_cost(&view, target);
	double fresh, reported;
	unsigned start_index;

	assert_true(policy_expected_delay_cost(&view, cold) > idle);
	start_index = target_begin(target, 1000);
	fresh = policy_expected_delay_cost(&view, target);
	assert_true(fresh > idle);
	view.now_us += 200 * US_PER_MS;
	assert_true(policy_expected_delay_cost(&view, target) > 2.0 * fresh);
	target_end(target, start_index);
	target_record_report(target, &report, view.now_us);
	reported = policy_expected_delay_cost(&view, target);
	assert_true(reported > idle);
	report.in_flight = 0;
	target_record_report(target, &report, view.now_us + 1);
	view.now_us += 2;
	assert_true(policy_expected_delay_cost(&view, target) < reported);
	target_put(target);
	target_put(cold);
}

static void
hedge_is_earlier_on_suspected_straggler(void **state ATTR_UNUSED)
{
	struct target *target = make_target(BALANCE_READY);
	struct service_view view = make_view(10 * US_PER_S);
	double before = policy_hedge_age(&view, target);

	straggler_observe(&target->straggler, MEAN_US, 9.0, false, view.now_us);
	assert_true(policy_hedge_age(&view, target) < before);
	assert_true(
	    policy_hedge_age(&view, target) > view.latency.quantiles_us[0]);
	target_put(target);
}

/* Sets random statistics that the policies use. */
static void
randomize_target(struct target *target, struct random *random, uint64_t now_us)
{
	uint64_t calls = random_below(random, 4);

	for (uint64_t i = 0; i < calls; i++)
		target_begin(target, now_us - random_below(random, 20000));
	target_observe(target, 500 + random_below(random, 30000),
	    now_us - random_below(random, 5000));
	atomic_store(&target->slots, 1 + (uint32_t)random_below(random, 4));
	atomic_store(&target->reported, (uint32_t)random_below(random, 8));
}

static double
reference_cost(enum balance_policy policy, const struct service_view *view,
    const struct target *target)
{
	double latency = target->latency_us;
	double oldest = 0.0;

	if (policy == BALANCE_LEAST_IN_FLIGHT)
		return (double)target->in_flight / target->slots;
	for (int i = 0; i < TARGET_START_TIMES; i++) {
		double age =
		    (double)view->now_us - (double)target->start_times[i];

		if (target->start_times[i] != 0 && age > oldest)
			oldest = age;
	}
	if (latency < 1000.0)
		latency = 1000.0;
	return (oldest > latency ? oldest : latency) *
	    (1.0 + target->in_flight);
}

/*
 * Compares the policies with a reference that examines every target: the
 * chosen target must have the lowest cost.
 */
static void
choices_match_reference(void **state ATTR_UNUSED)
{
	static const enum balance_policy policies[] = {
	    BALANCE_LEAST_IN_FLIGHT, BALANCE_PEAK_LATENCY};
	struct random random;

	random_seed(&random, 11);
	for (int round = 0; round < 500; round++) {
		struct service_view view = make_view(US_PER_S);
		struct target *targets[POLICY_CANDIDATES];
		size_t count = 1 + random_below(&random, POLICY_CANDIDATES);

		for (size_t i = 0; i < count; i++) {
			targets[i] = make_target(BALANCE_READY);
			randomize_target(targets[i], &random, view.now_us);
		}
		for (int p = 0; p < 2; p++) {
			size_t chosen;

			view.draw = random_next(&random);
			chosen =
			    policy_choose(policies[p], &view, targets, count);
			for (size_t i = 0; i < count; i++)
				assert_true(reference_cost(policies[p], &view,
						targets[chosen]) <=
				    reference_cost(
					policies[p], &view, targets[i]));
		}
		for (size_t i = 0; i < count; i++) {
			atomic_store(&targets[i]->in_flight, 0);
			target_put(targets[i]);
		}
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(profile_tracks_the_quantiles),
	    cmocka_unit_test(latency_at_surprisal_is_inverse),
	    cmocka_unit_test(profile_handles_initial_zero_latencies),
	    cmocka_unit_test(straggler_is_detected_within_five_answers),
	    cmocka_unit_test(straggler_evidence_decays),
	    cmocka_unit_test(trust_distinguishes_false_reports),
	    cmocka_unit_test(cost_rises_with_load_age_and_cold_start),
	    cmocka_unit_test(hedge_is_earlier_on_suspected_straggler),
	    cmocka_unit_test(choices_match_reference),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
