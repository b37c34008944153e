#include "balance/policy.h"

#include <math.h>

#include "balance/draw.h"
#include "base/clock.h"

/* Decay time of a report, in mean latencies. */
#define REPORT_DECAY_MEANS 1.0
/* Own calls count more, since they show where this entry's next calls go. */
#define OWN_CALL_WEIGHT 3.0
/* Extra cost of a straggler, in mean latencies. */
#define STRAGGLER_COST_MEANS 9.0
/* Extra cost of a target at the start of its cold start, in mean latencies. */
#define COLD_START_COST_MEANS 1.0
/* A hedge is worthwhile from these log odds, within bounds of its surprisal. */
#define HEDGE_LOG_ODDS 0.0
#define HEDGE_SURPRISAL_MIN 1.5
#define HEDGE_SURPRISAL_MAX 5.3
/* Number of answers from which a target's floor is considered known. */
#define FLOOR_MIN_ANSWERS 16
/* Latency assumed for a target without answers. */
#define INITIAL_LATENCY_US 1000.0

/*
 * Returns this entry's calls in flight per slot.
 */
static double
own_load_cost(
    const struct service_view *view ATTR_UNUSED, const struct target *target)
{
	return (double)target_in_flight(target) / target_slots(target);
}

/*
 * Returns the peak latency, or the age of the oldest outstanding call if that
 * is larger, times the calls in flight.
 */
static double
peak_latency_cost(const struct service_view *view, const struct target *target)
{
	double latency = target->latency_us;
	double age = (double)target_oldest_age(target, view->now_us);

	if (latency < INITIAL_LATENCY_US)
		latency = INITIAL_LATENCY_US;
	if (age > latency)
		latency = age;
	return latency * (1.0 + target_in_flight(target));
}

/*
 * Returns the calls per slot of the target's last report, regardless of its
 * age.
 */
static double
report_cost(
    const struct service_view *view ATTR_UNUSED, const struct target *target)
{
	return (double)target->reported / target_slots(target);
}

/*
 * Returns the estimated calls of other entries on the target: the last
 * reported number, which decays towards its average as the report ages.  For a
 * target whose reports are not trusted it is the average of the service.
 */
static double
estimate_other_calls(
    const struct service_view *view, const struct target *target)
{
	uint64_t at = atomic_load(&target->reported_us);
	double age = view->now_us > at ? (double)(view->now_us - at) : 0.0;
	double average = target->other_calls;
	double decay;

	if (at == 0 || !trust_is_sufficient(&target->trust))
		return view->other_calls;
	decay = exp(-age / (REPORT_DECAY_MEANS * view->latency.mean_us));
	return average +
	    decay * ((double)target->reported_other_calls - average);
}

/*
 * Returns the probability that the target is a straggler, taking into account
 * its oldest outstanding attempt.
 */
static double
target_straggler_probability(
    const struct service_view *view, const struct target *target)
{
	double odds = straggler_log_odds(
	    &target->straggler, view->latency.mean_us, view->now_us);
	double age = (double)target_oldest_age(target, view->now_us);

	if (age > 0.0)
		odds = straggler_add_outstanding(odds,
		    latency_surprisal(&view->latency, age - target->floor_us));
	return 1.0 / (1.0 + exp(-odds));
}

/*
 * Returns the remaining part of a cold start, from 1 down to 0.
 */
static double
cold_start_remaining(
    const struct service_view *view, const struct target *target)
{
	uint64_t since = view->now_us - atomic_load(&target->announced_us);

	if (atomic_load(&target->state) != BALANCE_COLD ||
	    since >= view->cold_start_us)
		return 0.0;
	return 1.0 - (double)since / (double)view->cold_start_us;
}

/*
 * Returns the expected delay of one more call apart from its own work:
 * transit, the wait for a slot behind the estimated calls on the target, and
 * the extra delay of a straggler or a cold start.
 */
double
policy_expected_delay_cost(
    const struct service_view *view, const struct target *target)
{
	double mean = view->latency.mean_us;
	double slots = target_slots(target);
	double own = target_in_flight(target);
	double floor = atomic_load(&target->floor_us);
	double slow = target_straggler_probability(view, target);
	double calls =
	    own * OWN_CALL_WEIGHT + estimate_other_calls(view, target);
	/* Softplus: a smooth maximum of 0 and the calls ahead of this one. */
	double queued_ahead = log1p(exp(calls + 1.0 - slots));

	if (atomic_load(&target->answers) < FLOOR_MIN_ANSWERS &&
	    (floor <= 0.0 || floor > view->floor_us))
		floor = view->floor_us;
	return floor +
	    mean *
	    (queued_ahead / slots * (1.0 + STRAGGLER_COST_MEANS * slow) +
		STRAGGLER_COST_MEANS * slow +
		COLD_START_COST_MEANS * cold_start_remaining(view, target));
}

/*
 * Returns the age, in microseconds, from which an attempt is more likely to be
 * on a straggler than just long, at the earliest when more than three quarters
 * of the attempts are answered.
 */
double
policy_hedge_age(const struct service_view *view, const struct target *target)
{
	double odds = straggler_log_odds(
	    &target->straggler, view->latency.mean_us, view->now_us);
	double surprisal = straggler_surprisal_for_odds(odds, HEDGE_LOG_ODDS);

	surprisal =
	    fmin(fmax(surprisal, HEDGE_SURPRISAL_MIN), HEDGE_SURPRISAL_MAX);
	return target->floor_us +
	    latency_at_surprisal(&view->latency, surprisal);
}

typedef double (*cost_fn)(
    const struct service_view *view, const struct target *target);

/*
 * Returns the cheapest candidate; ties are broken at random.
 */
static size_t
cheapest(cost_fn cost, const struct service_view *view,
    struct target *const *candidates, size_t count)
{
	size_t start = draw_below(view->draw, count);
	size_t best = start;
	double lowest = INFINITY;

	for (size_t n = 0; n < count; n++) {
		size_t i = (start + n) % count;
		double c = cost(view, candidates[i]);

		if (c < lowest) {
			lowest = c;
			best = i;
		}
	}
	return best;
}

/*
 * Returns the less loaded of two random candidates.
 */
static size_t
power_of_two(const struct service_view *view, struct target *const *candidates,
    size_t count)
{
	size_t a = draw_below(view->draw, count);
	size_t b;

	if (count == 1)
		return 0;
	b = draw_below(draw_mix(view->draw), count - 1);
	if (b >= a)
		b++;
	return report_cost(view, candidates[b]) <
		report_cost(view, candidates[a])
	    ? b
	    : a;
}

/*
 * Chooses a candidate by the policy.
 */
size_t
policy_choose(enum balance_policy policy, const struct service_view *view,
    struct target *const *candidates, size_t count)
{
	switch (policy) {
	case BALANCE_ROUND_ROBIN:
		return (size_t)(view->pick_number % count);
	case BALANCE_LEAST_IN_FLIGHT:
		return cheapest(own_load_cost, view, candidates, count);
	case BALANCE_POWER_OF_TWO:
		return power_of_two(view, candidates, count);
	case BALANCE_PEAK_LATENCY:
		return cheapest(peak_latency_cost, view, candidates, count);
	case BALANCE_EXPECTED_DELAY:
		if (!view->latency.known)
			return cheapest(
			    peak_latency_cost, view, candidates, count);
		return cheapest(
		    policy_expected_delay_cost, view, candidates, count);
	case BALANCE_RANDOM:
	case BALANCE_POLICY_COUNT:
	default:
		return draw_below(view->draw, count);
	}
}
