#include <math.h>

#include "placement/placement_defs.h"

/* Weight of one outcome in the share of failures. */
static const double outcome_weight = 0.2;
/* Time in which a share of failures halves: the way back of a target. */
static const double failure_half_life_us = 2e6;
/* A target that has just started works half as fast, by the sheets. */
static const double warmup_slowness = 2.0;
/* What a full target adds, as some slow down then. */
static const double occupancy_penalty = 0.1;
/* What a new connection to a target adds, and how near costs are equal. */
static const double new_connection_penalty = 0.04;
static const double cost_tie_ratio = 0.01;
/* A target elsewhere must be a tenth faster to be worth the way. */
static const double local_preference = 1.1;

/*
 * Returns the slowness of a target as far as it is known: its report as long
 * as that holds, or fading where it is not known when speeds change.
 */
double
target_slowness(
    const struct placement *p, const struct target *t, uint64_t now_us)
{
	const struct speed_forecast view = speed_phase_forecast(
	    &p->speed_period, &t->speed_phase, t->reported_us, now_us);
	double slowness = p->mean_slowness;

	if (view.current)
		slowness = t->slowness;
	else if (t->reported_us != 0)
		slowness = slowness_decayed(
		    t->slowness, now_us - t->reported_us, p->mean_slowness);
	if (now_us < t->warmup_end_us && slowness < warmup_slowness)
		slowness = warmup_slowness;
	return slowness;
}

/*
 * Returns the time that work will likely take: a quick target stays quick,
 * a slow one goes back to the mean.
 */
double
target_likely_time(const struct placement *p, const struct target *t,
    double work_us, uint64_t now_us)
{
	const struct speed_forecast view = speed_phase_forecast(
	    &p->speed_period, &t->speed_phase, t->reported_us, now_us);
	double slowness = target_slowness(p, t, now_us);

	if (view.current && slowness > p->mean_slowness)
		return work_duration_until_change(
		    work_us, slowness, (double)view.left_us, p->mean_slowness);
	return work_duration(work_us, slowness, p->mean_slowness);
}

/*
 * Returns the mean time that work will take, by which targets are compared:
 * what goes on beyond the next change of speed goes on at the mean.
 */
double
target_mean_time(const struct placement *p, const struct target *t,
    double work_us, uint64_t now_us)
{
	const struct speed_forecast view = speed_phase_forecast(
	    &p->speed_period, &t->speed_phase, t->reported_us, now_us);

	if (!view.known)
		return target_likely_time(p, t, work_us, now_us);
	return work_duration_until_change(work_us,
	    target_slowness(p, t, now_us),
	    view.current ? (double)view.left_us : 0, p->mean_slowness);
}

/*
 * Returns the share of failures, 0 to 1, which fades with time.
 */
double
target_failure_rate(const struct target *t, uint64_t now_us)
{
	if (t->failure_rate == 0 || now_us <= t->failure_rate_us)
		return t->failure_rate;
	return t->failure_rate *
	    exp2(-(double)(now_us - t->failure_rate_us) / failure_half_life_us);
}

/*
 * Notes one outcome: 0 for a good one, 1 for a failure.
 */
void
target_record_outcome(struct target *t, double failed, uint64_t now_us)
{
	double before = target_failure_rate(t, now_us);

	t->failure_rate = before + outcome_weight * (failed - before);
	t->failure_rate_us = now_us;
}

/*
 * Takes a target out for a while, longer each time.
 */
void
target_mark_down(struct target *t, uint64_t now_us)
{
	if (now_us < t->down_until_us)
		return;
	t->down_for_us =
	    t->down_for_us == 0 ? DOWN_INITIAL_US : t->down_for_us * 2;
	if (t->down_for_us > DOWN_MAX_US)
		t->down_for_us = DOWN_MAX_US;
	t->down_until_us = now_us + t->down_for_us;
}

/*
 * Returns how many requests a target holds, ours and others'.
 */
unsigned
target_occupied(const struct target *t, uint64_t now_us)
{
	if (t->reported_us == 0 || now_us - t->reported_us > REPORT_FRESH_US)
		return t->in_flight;
	return t->in_flight + t->external;
}

/*
 * Returns whether a target may be used at all.  When most are silent, it is
 * the prober that is cut off, and silence says nothing.
 */
bool
target_is_usable(
    const struct placement *p, const struct target *t, uint64_t now_us)
{
	return now_us >= t->down_until_us &&
	    (!t->probe_failing ||
		p->probe_failing_count * 2 > (int)p->order->len);
}

/*
 * Returns whether a request would find a slot at once.
 */
bool
target_has_room(const struct target *t, uint64_t now_us)
{
	return now_us >= t->full_until_us &&
	    target_occupied(t, now_us) < t->slots;
}

/*
 * Returns what a target's other requests add to its work, as a factor.
 */
static double
occupancy_factor(const struct target *t, uint64_t now_us)
{
	return 1 +
	    occupancy_penalty * (double)target_occupied(t, now_us) /
	    (double)(t->slots + 1);
}

/*
 * Returns when a call sent now would likely be answered, in microseconds
 * from now.
 */
double
target_finish_time(const struct placement *p, const struct target *t,
    const struct call *call, uint64_t now_us)
{
	return target_likely_time(p, t,
		   service_time_estimate(&p->work, call->request.route),
		   now_us) *
	    occupancy_factor(t, now_us);
}

static bool
is_excluded(const struct call *call, const struct target *t)
{
	for (unsigned i = 0; i < call->request.excluded_count; i++) {
		if (call->request.excluded[i] == t->hash)
			return true;
	}
	for (unsigned i = 0; i < call->send_count; i++) {
		if (call->sends[i].target == t)
			return true;
	}
	return false;
}

/*
 * Returns the time by which a target is worse for its failures: what they
 * would cost of the call's objective.
 */
static double
failure_cost(const struct target *t, const struct call *call, uint64_t now_us)
{
	double left = call->request.objective_us > now_us
	    ? (double)(call->request.objective_us - now_us)
	    : (double)SPEED_CHANGE_US;

	return target_failure_rate(t, now_us) * left;
}

/*
 * Notes that an entry sends a request to a target.
 */
void
target_record_use(struct target *t, uint32_t requester, uint64_t now_us)
{
	t->granted_us = now_us;
	g_hash_table_insert(t->entry_last_used, GUINT_TO_POINTER(requester),
	    GUINT_TO_POINTER((guint)(now_us / 1000000)));
}

/*
 * Returns whether the entry that asks has used the target lately, or nobody
 * ever has: a new target must be tried to be known.
 */
static bool
has_recent_connection(
    const struct target *t, const struct call *call, uint64_t now_us)
{
	guint last = GPOINTER_TO_UINT(g_hash_table_lookup(
	    t->entry_last_used, GUINT_TO_POINTER(call->request.requester)));

	return t->granted_us == 0 ||
	    (last != 0 && now_us / 1000000 - last < CONNECTION_REUSE_S);
}

/*
 * Returns whether a target goes before another: by cost, or by the longer
 * time without use where these are as good as equal.
 */
static bool
is_better_target(const struct target *t, double cost, const struct target *best,
    double best_cost)
{
	if (best == NULL || cost < best_cost * (1 - cost_tie_ratio))
		return true;
	return cost < best_cost * (1 + cost_tie_ratio) &&
	    t->granted_us < best->granted_us;
}

/*
 * Returns the target with room that is best for a call, and when it would
 * answer; NULL when none has room.  Large responses stay in the asker's
 * failure domain where that is in time; others go where they finish first.
 */
struct target *
placement_best_target(const struct placement *p, const struct call *call,
    uint64_t now_us, double *finish_us)
{
	struct target *best[2] = {NULL, NULL}; /* anywhere, at home */
	double cost[2] = {INFINITY, INFINITY};
	double finish[2] = {INFINITY, INFINITY};
	double work = service_time_estimate(&p->work, call->request.route);
	bool home;

	for (guint i = 0; i < p->order->len; i++) {
		struct target *t = p->order->pdata[i];
		double f, c;

		if (!target_is_usable(p, t, now_us) ||
		    !target_has_room(t, now_us) || is_excluded(call, t))
			continue;
		f = target_finish_time(p, t, call, now_us);
		c = target_mean_time(p, t, work, now_us) *
		    occupancy_factor(t, now_us);
		c = c *
			(has_recent_connection(t, call, now_us)
				? 1
				: 1 + new_connection_penalty) +
		    failure_cost(t, call, now_us);
		for (int k = 0; k < 2; k++) {
			if ((k == 1 &&
				t->failure_domain !=
				    call->request.failure_domain) ||
			    !is_better_target(t, c, best[k], cost[k]))
				continue;
			best[k] = t;
			cost[k] = c;
			finish[k] = f;
		}
	}
	home = best[1] != NULL &&
	    (cost[1] <= cost[0] * local_preference ||
		(call->request.large &&
		    now_us + (uint64_t)cost[1] <= call->request.objective_us));
	*finish_us = finish[home ? 1 : 0];
	return best[home ? 1 : 0];
}

/*
 * Returns the target for a call that can no longer be in time: the slowest
 * that still makes its deadline, so that quick slots stay free for calls that
 * can be in time.
 */
struct target *
placement_slowest_target(const struct placement *p, const struct call *call,
    uint64_t now_us, double *finish_us)
{
	double left = call->request.deadline_us > now_us
	    ? (double)(call->request.deadline_us - now_us)
	    : 0;
	struct target *slowest = NULL;

	*finish_us = 0;
	for (guint i = 0; i < p->order->len; i++) {
		struct target *t = p->order->pdata[i];
		double finish;

		if (!target_is_usable(p, t, now_us) ||
		    !target_has_room(t, now_us) || is_excluded(call, t))
			continue;
		finish = target_finish_time(p, t, call, now_us) +
		    failure_cost(t, call, now_us);
		if (finish > left || finish <= *finish_us)
			continue;
		slowest = t;
		*finish_us = finish;
	}
	return slowest;
}
