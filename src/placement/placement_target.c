#include <math.h>

#include "placement/placement_defs.h"

/* Weight of one outcome in the share of failures. */
static const double outcome_share = 0.2;
/* Time in which a share of failures halves: the way back of a target. */
static const double failing_half_us = 2e6;
/* A target that has just started works half as fast, by the sheets. */
static const double cold_slowness = 2.0;
/* What a full target adds, as some slow down then. */
static const double crowding = 0.1;
/* What a new connection to a target adds, and how near costs are equal. */
static const double cold_connection = 0.04;
static const double equal_share = 0.01;
/* A target elsewhere must be a tenth faster to be worth the way. */
static const double home_preference = 1.1;

/*
 * Returns the slowness of a target as far as it is known: its report as long
 * as that holds, or fading where it is not known when speeds change.
 */
double
target_slowness(
    const struct placement *p, const struct target *t, uint64_t now_us)
{
	const struct pulse_view view =
	    pulse_look(&p->rhythm, &t->pulse, t->reported_us, now_us);
	double slowness = p->mean_slowness;

	if (view.current)
		slowness = t->slowness;
	else if (t->reported_us != 0)
		slowness = slowness_now(
		    t->slowness, now_us - t->reported_us, p->mean_slowness);
	if (now_us < t->warm_us && slowness < cold_slowness)
		slowness = cold_slowness;
	return slowness;
}

/*
 * Returns the time that work will likely take: a quick target stays quick,
 * a slow one goes back to the mean.
 */
double
target_likely(const struct placement *p, const struct target *t, double work_us,
    uint64_t now_us)
{
	const struct pulse_view view =
	    pulse_look(&p->rhythm, &t->pulse, t->reported_us, now_us);
	double slowness = target_slowness(p, t, now_us);

	if (view.current && slowness > p->mean_slowness)
		return time_until_change(
		    work_us, slowness, (double)view.left_us, p->mean_slowness);
	return time_for_work(work_us, slowness, p->mean_slowness);
}

/*
 * Returns the mean time that work will take, by which targets are compared:
 * what goes on beyond the next change of speed goes on at the mean.
 */
double
target_expected(const struct placement *p, const struct target *t,
    double work_us, uint64_t now_us)
{
	const struct pulse_view view =
	    pulse_look(&p->rhythm, &t->pulse, t->reported_us, now_us);

	if (!view.known)
		return target_likely(p, t, work_us, now_us);
	return time_until_change(work_us, target_slowness(p, t, now_us),
	    view.current ? (double)view.left_us : 0, p->mean_slowness);
}

/*
 * Returns the share of failures, 0 to 1, which fades with time.
 */
double
target_failing(const struct target *t, uint64_t now_us)
{
	if (t->failing == 0 || now_us <= t->failed_us)
		return t->failing;
	return t->failing *
	    exp2(-(double)(now_us - t->failed_us) / failing_half_us);
}

/*
 * Notes one outcome: 0 for a good one, 1 for a failure.
 */
void
target_note(struct target *t, double failed, uint64_t now_us)
{
	double before = target_failing(t, now_us);

	t->failing = before + outcome_share * (failed - before);
	t->failed_us = now_us;
}

/*
 * Takes a target out for a while, longer each time.
 */
void
target_note_down(struct target *t, uint64_t now_us)
{
	if (now_us < t->down_until_us)
		return;
	t->down_for_us =
	    t->down_for_us == 0 ? DOWN_FIRST_US : t->down_for_us * 2;
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
	    (!t->silent || p->silent_count * 2 > (int)p->order->len);
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
crowd(const struct target *t, uint64_t now_us)
{
	return 1 +
	    crowding * (double)target_occupied(t, now_us) /
	    (double)(t->slots + 1);
}

/*
 * Returns when a call sent now would likely be answered, in microseconds
 * from now.
 */
double
target_finish(const struct placement *p, const struct target *t,
    const struct call *call, uint64_t now_us)
{
	return target_likely(
		   p, t, work_estimate(&p->work, call->request.route), now_us) *
	    crowd(t, now_us);
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
	    : (double)ESTIMATE_SHIFT_US;

	return target_failing(t, now_us) * left;
}

/*
 * Notes that an entry sends a request to a target.
 */
void
target_note_use(struct target *t, uint32_t asker, uint64_t now_us)
{
	t->granted_us = now_us;
	g_hash_table_insert(t->users, GUINT_TO_POINTER(asker),
	    GUINT_TO_POINTER((guint)(now_us / 1000000)));
}

/*
 * Returns whether the entry that asks has used the target lately, or nobody
 * ever has: a new target must be tried to be known.
 */
static bool
is_warm(const struct target *t, const struct call *call, uint64_t now_us)
{
	guint last = GPOINTER_TO_UINT(g_hash_table_lookup(
	    t->users, GUINT_TO_POINTER(call->request.asker)));

	return t->granted_us == 0 ||
	    (last != 0 && now_us / 1000000 - last < WARM_S);
}

/*
 * Returns whether a target goes before another: by cost, or by the longer
 * time without use where these are as good as equal.
 */
static bool
goes_before(const struct target *t, double cost, const struct target *best,
    double best_cost)
{
	if (best == NULL || cost < best_cost * (1 - equal_share))
		return true;
	return cost < best_cost * (1 + equal_share) &&
	    t->granted_us < best->granted_us;
}

/*
 * Returns the target with room that is best for a call, and when it would
 * answer; NULL when none has room.  Large responses stay in the asker's
 * failure domain where that is in time; others go where they finish first.
 */
struct target *
placement_best(const struct placement *p, const struct call *call,
    uint64_t now_us, double *finish_us)
{
	struct target *best[2] = {NULL, NULL}; /* anywhere, at home */
	double cost[2] = {INFINITY, INFINITY};
	double finish[2] = {INFINITY, INFINITY};
	double work = work_estimate(&p->work, call->request.route);
	bool home;

	for (guint i = 0; i < p->order->len; i++) {
		struct target *t = p->order->pdata[i];
		double f, c;

		if (!target_is_usable(p, t, now_us) ||
		    !target_has_room(t, now_us) || is_excluded(call, t))
			continue;
		f = target_finish(p, t, call, now_us);
		c = target_expected(p, t, work, now_us) * crowd(t, now_us);
		c = c * (is_warm(t, call, now_us) ? 1 : 1 + cold_connection) +
		    failure_cost(t, call, now_us);
		for (int k = 0; k < 2; k++) {
			if ((k == 1 &&
				t->failure_domain !=
				    call->request.failure_domain) ||
			    !goes_before(t, c, best[k], cost[k]))
				continue;
			best[k] = t;
			cost[k] = c;
			finish[k] = f;
		}
	}
	home = best[1] != NULL &&
	    (cost[1] <= cost[0] * home_preference ||
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
placement_slowest(const struct placement *p, const struct call *call,
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
		finish = target_finish(p, t, call, now_us) +
		    failure_cost(t, call, now_us);
		if (finish > left || finish <= *finish_us)
			continue;
		slowest = t;
		*finish_us = finish;
	}
	return slowest;
}
