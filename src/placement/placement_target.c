#include <math.h>

#include "placement/placement_defs.h"

/* Weight of one outcome in the failure rate. */
static const double outcome_weight = 0.2;
/* Half-life of the failure rate, after which a target gets requests again. */
static const double failure_half_life_us = 2e6;
/* According to their data sheets, targets run at half speed during warm-up. */
static const double warmup_slowness = 2.0;
/*
 * Cost added for a new connection, and the ratio within which costs are equal.
 */
static const double new_connection_penalty = 0.04;
static const double cost_tie_ratio = 0.01;
/* A target in another failure domain must be 10 % faster to be chosen. */
static const double local_preference = 1.1;

/*
 * Returns the slowness of a target: the reported value while the target's speed
 * phase shows that it holds, otherwise the reported value decayed towards the
 * mean.
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
 * Returns the likely duration in microseconds: a fast target is assumed to stay
 * fast, a slow one to return to the mean.
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
 * Returns the mean duration in microseconds, used to compare targets: after the
 * target's next speed change, work continues at the mean speed.
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
 * Returns the failure rate, 0 to 1, which decays with time.
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
 * Records one outcome: 0 for success, 1 for failure.
 */
void
target_record_outcome(struct target *t, double failed, uint64_t now_us)
{
	double before = target_failure_rate(t, now_us);

	t->failure_rate = before + outcome_weight * (failed - before);
	t->failure_rate_us = now_us;
}

/*
 * Excludes a target for a period that doubles each time, up to DOWN_MAX_US.
 */
void
target_mark_down(struct target *t, uint64_t now_us)
{
	if (now_us < t->down_until_us)
		return;
	t->down_period_us =
	    t->down_period_us == 0 ? DOWN_INITIAL_US : t->down_period_us * 2;
	if (t->down_period_us > DOWN_MAX_US)
		t->down_period_us = DOWN_MAX_US;
	t->down_until_us = now_us + t->down_period_us;
}

/*
 * Returns how many requests a target has in progress, from all entries.
 */
unsigned
target_occupied(const struct target *t, uint64_t now_us)
{
	if (t->reported_us == 0 || now_us - t->reported_us > REPORT_FRESH_US)
		return t->in_flight;
	return t->in_flight + t->others_in_flight;
}

/*
 * Returns whether a target may be used at all.  If probes of most targets fail,
 * the prober itself is probably cut off, and the failures are ignored.
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
 * Returns the number of requests up to which a target is filled: those with which it
 * completes the most requests.
 */
unsigned
target_useful_slots(const struct placement *p, const struct target *t)
{
	return occupancy_curve_useful_slots(&p->occupancy, t->slots);
}

/*
 * Returns whether a further request adds to what a target completes.
 */
bool
target_has_slot(
    const struct placement *p, const struct target *t, uint64_t now_us)
{
	unsigned turn = t->hash + (unsigned)(now_us / EXPLORER_TURN_US);

	return now_us >= t->shed_until_us &&
	    target_occupied(t, now_us) <
	    occupancy_curve_limit(&p->occupancy, t->slots, turn);
}

/*
 * Returns whether a target has a slot, and its rate allows a request while it
 * is cold.
 */
bool
target_has_room(
    const struct placement *p, const struct target *t, uint64_t now_us)
{
	return target_has_slot(p, t, now_us) &&
	    target_rate_allows(p, t, now_us);
}

/*
 * Updates the exposure of the requests at a target, before their number
 * changes or after a load report.  slowness_before is the slowness expected
 * before the report: the speed changed somewhere between.
 */
void
target_advance(const struct placement *p, struct target *t,
    double slowness_before, uint64_t now_us)
{
	unsigned occupied = target_occupied(t, now_us);
	double speed =
	    (1 / slowness_before + 1 / target_slowness(p, t, now_us)) / 2;

	if (occupied > 0)
		t->exposure.us[occupancy_level(occupied, t->slots)] +=
		    (double)(now_us - t->exposed_us) * speed;
	t->exposed_us = now_us;
}

/*
 * Returns the exposure of a send up to the last target_advance().
 */
struct occupancy_exposure
target_exposure_since(const struct target *t, const struct send *send)
{
	struct occupancy_exposure since;

	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++)
		since.us[i] = t->exposure.us[i] - send->exposure.us[i];
	return since;
}

/*
 * Returns the time in microseconds at slowness 1 that an exposure amounts to.
 */
double
exposure_sum(const struct occupancy_exposure *exposure)
{
	double sum = 0;

	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++)
		sum += exposure->us[i];
	return sum;
}

/*
 * Returns the likely response time of a call sent now, in microseconds.
 */
double
target_finish_time(const struct placement *p, const struct target *t,
    const struct call *call, uint64_t now_us)
{
	return target_likely_time(
	    p, t, service_time_estimate(&p->work, call->request.route), now_us);
}

/*
 * Returns the time in microseconds that the requests at a target lose in sum
 * if another one runs there for stay_us.
 */
static double
harm_to_others(const struct placement *p, const struct target *t,
    double stay_us, uint64_t now_us)
{
	unsigned occupied = target_occupied(t, now_us);

	if (occupied == 0)
		return 0;
	return occupied * stay_us *
	    (1 -
		occupancy_curve_speed(&p->occupancy, occupied + 1, t->slots) /
		    occupancy_curve_speed(&p->occupancy, occupied, t->slots));
}

/*
 * Returns whether a call excludes a target or was sent to it before.
 */
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
 * Returns the cost of a target's failure rate in microseconds: that share of
 * the time left until the call's objective.
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
 * Records that an entry sends a request to a target.
 */
void
target_record_use(struct target *t, uint32_t requester, uint64_t now_us)
{
	t->granted_us = now_us;
	g_hash_table_insert(t->entry_last_used, GUINT_TO_POINTER(requester),
	    GUINT_TO_POINTER((guint)(now_us / 1000000)));
}

/*
 * Returns whether the requesting entry has used the target recently, or no
 * entry ever has: a new target must be tried to learn about it.
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
 * Returns whether a target is preferred to the best one so far: by cost, or by
 * the longest time without use if the costs are about equal.
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
 * Returns whether a first send goes to a cold target although another one is
 * faster: a target that only got what the others can't take would stay without
 * requests until they are busy.  One request in COLD_DUE_US is enough for that.
 * Where many targets start at once, all that their rates allow would be half of
 * the load, at half the speed.  The request has to be in time there.
 */
static bool
is_due_cold_target(const struct placement *p, const struct target *t,
    const struct call *call, double finish_us, uint64_t now_us)
{
	const struct placement_request *r = &call->request;

	return target_is_cold(p, t, now_us) && call->send_count == 0 &&
	    (t->granted_us == 0 || now_us - t->granted_us >= COLD_DUE_US) &&
	    (!r->large || t->failure_domain == r->failure_domain) &&
	    now_us + (uint64_t)(finish_us + failure_cost(t, call, now_us)) <=
	    r->objective_us;
}

/*
 * Returns the best target with a free slot for a call, and its likely response
 * time; NULL if there is none.  Large responses stay in the requester's failure
 * domain if that meets the objective; other requests go where they finish
 * first, or stay there as placement_stays_local() says.  A cold target gets what
 * its rate allows.
 */
struct target *
placement_best_target(const struct placement *p, const struct call *call,
    uint64_t now_us, double *finish_us)
{
	/* any, same failure domain, cold */
	struct target *best[3] = {NULL, NULL, NULL};
	double cost[3] = {INFINITY, INFINITY, INFINITY};
	double finish[3] = {INFINITY, INFINITY, INFINITY};
	double work = service_time_estimate(&p->work, call->request.route);
	bool local;

	for (guint i = 0; i < p->order->len; i++) {
		struct target *t = p->order->pdata[i];
		double f, c;

		if (!target_takes_requests(p, t, now_us) ||
		    !target_has_room(p, t, now_us) || is_excluded(call, t) ||
		    !target_room_is_known(p, t, &call->request, now_us) ||
		    target_is_away(t, call->request.requester, now_us) ||
		    placement_is_cut_off(p, call, t, now_us))
			continue;
		f = target_finish_time(p, t, call, now_us);
		c = target_mean_time(p, t, work, now_us);
		c = c *
			(has_recent_connection(t, call, now_us)
				? 1
				: 1 + new_connection_penalty) +
		    harm_to_others(p, t, c, now_us) +
		    failure_cost(t, call, now_us);
		for (int k = 0; k < 3; k++) {
			if ((k == 1 &&
				t->failure_domain !=
				    call->request.failure_domain) ||
			    (k == 2 &&
				!is_due_cold_target(p, t, call, f, now_us)) ||
			    !is_better_target(t, c, best[k], cost[k]))
				continue;
			best[k] = t;
			cost[k] = c;
			finish[k] = f;
		}
	}
	if (best[2] != NULL) {
		*finish_us = finish[2];
		return best[2];
	}
	local = best[1] != NULL &&
	    (cost[1] <= cost[0] * local_preference ||
		(call->request.large &&
		    now_us + (uint64_t)cost[1] <= call->request.objective_us) ||
		placement_stays_local(p, call, best[1], cost[1], now_us));
	*finish_us = finish[local ? 1 : 0];
	return best[local ? 1 : 0];
}

/*
 * Returns the target for a call that can't meet its objective: the slowest one
 * that still meets its deadline, so that fast slots stay free for calls that
 * can be on time.
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

		if (!target_takes_requests(p, t, now_us) ||
		    !target_has_room(p, t, now_us) || is_excluded(call, t) ||
		    !target_room_is_known(p, t, &call->request, now_us) ||
		    target_is_away(t, call->request.requester, now_us) ||
		    placement_is_cut_off(p, call, t, now_us))
			continue;
		finish = target_finish_time(p, t, call, now_us) +
		    failure_cost(t, call, now_us);
		/* 0 if answers took less than the clock's resolution. */
		if (finish > left || (slowest != NULL && finish <= *finish_us))
			continue;
		slowest = t;
		*finish_us = finish;
	}
	return slowest;
}
