/*
 * Who waits, who is rejected and when a rejected caller should return.  Answers
 * bursts of some seconds, which wait here in order of rank and objective, and
 * overload that lasts, in which requests that can't be in time are rejected on
 * arrival.
 */
#include <math.h>

#include "base/clock.h"
#include "placement/placement_defs.h"

/* Part of its slack that a newly arrived request may spend waiting. */
static const double admission_wait_share = 0.4;
/*
 * Jitter of Retry-After as a part of its value, so that rejected callers do not
 * all return at once.
 */
static const double retry_after_jitter = 0.6;

/*
 * Applies the minimum and the jitter to a Retry-After time in microseconds.
 */
static uint64_t
jitter_retry_after(struct placement *p, double retry_us)
{
	if (retry_us < RETRY_AFTER_MIN_US)
		retry_us = RETRY_AFTER_MIN_US;
	return (uint64_t)(retry_us *
	    (1 + retry_after_jitter * (random_unit(&p->random) - 0.5)));
}

/*
 * Returns whether a requester may use a target now.
 */
static bool
is_usable_for(const struct placement *p, const struct target *t,
    uint32_t requester, uint64_t now_us)
{
	return target_takes_requests(p, t, now_us) &&
	    !target_is_away(t, requester, now_us);
}

/*
 * Returns how many requests with this much work the targets that a requester
 * may use complete per microsecond.
 */
static double
completion_rate(const struct placement *p, uint32_t requester, double work_us,
    uint64_t now_us)
{
	double sum = 0;

	for (guint i = 0; i < p->order->len; i++) {
		const struct target *t = p->order->pdata[i];

		double rate;

		if (!is_usable_for(p, t, requester, now_us))
			continue;
		rate = target_useful_slots(p, t) /
		    target_likely_time(p, t, work_us, now_us);
		sum += fmin(
		    rate, target_rate_per_s(p, t, now_us) / (double)US_PER_S);
	}
	return sum;
}

/*
 * Returns whether any target has room.
 */
static bool
has_room(struct placement *p, uint64_t now_us)
{
	struct dispatch_cache *cache = &p->cache;
	bool room = false;

	if (cache->usable && cache->has_room)
		return cache->room;
	for (guint i = 0; i < p->order->len && !room; i++) {
		const struct target *t = p->order->pdata[i];

		p->visits++;
		room = target_takes_requests(p, t, now_us) &&
		    target_has_room(p, t, now_us);
	}
	cache->has_room = cache->usable;
	cache->room = room;
	return room;
}

/*
 * Returns the expected wait for a slot in microseconds, behind the waiting
 * calls of the same or a higher rank; INFINITY if no target is usable.
 */
static double
calculate_wait(struct placement *p, const struct call *call, uint64_t now_us)
{
	double work = 0;
	double rate;
	unsigned ahead = 1;

	for (guint i = 0; i < p->waiting->len; i++) {
		const struct call *other = p->waiting->pdata[i];

		if (other == call || other->request.rank > call->request.rank)
			continue;
		work += service_time_estimate(&p->work, other->request.route);
		ahead++;
	}
	work = (work + service_time_estimate(&p->work, call->request.route)) /
	    ahead;
	rate = completion_rate(p, call->request.requester, work, now_us);
	p->visits += p->waiting->len + p->order->len;
	return rate > 0 ? ahead / rate : INFINITY;
}

/*
 * Returns the expected wait of a call while client accounts share the service:
 * only the calls in front of it in the queue go before it.
 */
static double
share_wait(struct placement *p, const struct call *call, uint64_t now_us)
{
	uint32_t requester = call->request.requester;
	struct dispatch_cache *cache = &p->cache;
	double before = placement_work_before(p, call);
	double work;

	if (!cache->usable || !cache->has_work_rate ||
	    cache->requester != requester) {
		work = service_time_estimate(&p->work, call->request.route);
		cache->work_rate =
		    completion_rate(p, requester, work, now_us) * work;
		cache->requester = requester;
		cache->has_work_rate = cache->usable;
		p->visits += p->order->len;
	}
	return cache->work_rate > 0 ? before / cache->work_rate : INFINITY;
}

/*
 * Returns the expected wait of a call.  It is the same for waiting calls of the
 * same rank, route and requester.
 */
static double
expected_wait(struct placement *p, const struct call *call, uint64_t now_us)
{
	const struct placement_request *r = &call->request;
	struct dispatch_cache *cache = &p->cache;

	if (account_share_is_active(&p->shares))
		return share_wait(p, call, now_us);
	if (!cache->usable || !call->waiting)
		return calculate_wait(p, call, now_us);
	if (cache->has_wait && cache->rank == r->rank &&
	    cache->route == r->route && cache->requester == r->requester)
		return cache->wait_us;
	cache->wait_us = calculate_wait(p, call, now_us);
	cache->rank = r->rank;
	cache->route = r->route;
	cache->requester = r->requester;
	cache->has_wait = true;
	return cache->wait_us;
}

void
placement_dequeue(struct placement *p, struct call *call)
{
	if (!call->waiting)
		return;
	call->waiting = false;
	p->queue_changes++;
	p->cache.usable = false;
	g_ptr_array_remove(p->waiting, call);
}

/*
 * Removes a call and rejects it with the expected wait as Retry-After, or with
 * the time until the first backoff ends.
 */
void
placement_reject(struct placement *p, struct call *call,
    enum placement_reason reason, uint64_t now_us)
{
	void *user = call->request.user;
	double wait = expected_wait(p, call, now_us);
	uint64_t away_until_us = reason == REJECT_NO_TARGET
	    ? placement_away_until(p, call->request.requester, now_us)
	    : 0;
	uint64_t retry_after_us;

	/* This entry's share of a limit says nothing of the scheduler's. */
	if (!isfinite(wait) ||
	    (!p->is_scheduler && p->limited_count > 0 &&
		wait > DOWN_INITIAL_US))
		wait = DOWN_INITIAL_US;
	retry_after_us = away_until_us > 0 ? away_until_us - now_us
					   : jitter_retry_after(p, wait);
	placement_remove_call(p, call, now_us);
	p->callbacks.reject(p->callbacks.ctx, user, retry_after_us, reason);
}

/*
 * Records a send at a target and calls the grant callback.  Every send after
 * the first one of a request counts as a repeat.
 */
void
placement_grant(struct placement *p, struct call *call, struct target *t,
    double finish_us, uint64_t now_us)
{
	bool hedge;

	if (call->request.repeat || call->send_count > 0)
		repeat_budget_repeat(&p->budget, now_us);
	placement_dequeue(p, call);
	target_advance(p, t, target_slowness(p, t, now_us), now_us);
	hedge = call->sends[call->send_count].hedge;
	call->sends[call->send_count++] = (struct send){
	    .target = t,
	    .granted_us = now_us,
	    .exposure = t->exposure,
	    .level = occupancy_level(t->in_flight + 1, t->slots),
	    .hedge = hedge,
	};
	t->in_flight++;
	placement_charge_send(
	    p, call, &call->sends[call->send_count - 1], now_us);
	target_record_send(p, t, now_us);
	target_record_use(t, call->request.requester, now_us);
	p->callbacks.grant(
	    p->callbacks.ctx, call->request.user, t->id, (uint64_t)finish_us);
}

static bool
has_usable_target(
    const struct placement *p, const struct call *call, uint64_t now_us)
{
	for (guint i = 0; i < p->order->len; i++) {
		if (is_usable_for(
			p, p->order->pdata[i], call->request.requester, now_us))
			return true;
	}
	return false;
}

/*
 * Returns whether a call may wait for a slot and still be answered within its
 * objective.  A call that was not admitted yet may use only a part of its
 * slack: with a queue of the maximum length every call would be answered just
 * at its limit, and many would be rejected after waiting.
 */
static bool
may_wait(struct placement *p, const struct call *call, uint64_t now_us)
{
	double work = service_time_estimate(&p->work, call->request.route);
	double slack =
	    (double)call->request.objective_us - (double)now_us - work;
	double wait;

	if (slack <= 0)
		return false;
	wait = expected_wait(p, call, now_us);
	return wait <= (call->admitted ? slack : admission_wait_share * slack);
}

/*
 * Returns whether a call that is not expected to end by its deadline is sent
 * nevertheless, to learn its route's work at an idle target.
 */
static bool
may_try(const struct placement *p, const struct call *call,
    const struct target *t, uint64_t now_us)
{
	return t != NULL && t->in_flight == 0 &&
	    call->request.deadline_us > now_us && placement_is_untried(p, call);
}

/*
 * Grants a call, leaves it queued, or rejects it.  A call waits for a faster
 * slot only while that slot could still meet its objective.  A call that can't
 * meet it takes a free slot now or is rejected.
 */
void
placement_grant_or_queue(
    struct placement *p, struct call *call, uint64_t now_us)
{
	const struct placement_request *r = &call->request;
	double finish = 0;
	bool room = has_room(p, now_us);
	struct target *best =
	    room ? placement_best_target(p, call, now_us, &finish) : NULL;
	double untried_finish = finish;
	struct target *untried = best;

	if (best != NULL && now_us + (uint64_t)finish <= r->objective_us) {
		placement_grant(p, call, best, finish, now_us);
		return;
	}
	placement_count_held_back(p, call, now_us);
	if (!has_usable_target(p, call, now_us)) {
		placement_reject(p, call, REJECT_NO_TARGET, now_us);
		return;
	}
	if (may_wait(p, call, now_us)) {
		call->admitted = true;
		return;
	}
	if (room)
		best = placement_slowest_target(p, call, now_us, &finish);
	if (best == NULL && may_try(p, call, untried, now_us)) {
		best = untried;
		finish = untried_finish;
	}
	if (best != NULL) {
		placement_grant(p, call, best, finish, now_us);
		return;
	}
	placement_reject(p, call, REJECT_NO_ROOM, now_us);
}

/*
 * Considers the queued call at a position; returns where to go on.  Callbacks
 * may have changed the queue: what was considered in this round is skipped.
 */
static guint
dispatch_call(struct placement *p, guint at, uint64_t now_us)
{
	struct call *call = p->waiting->pdata[at];
	unsigned changes = p->queue_changes;

	if (call->round == p->round)
		return at + 1;
	call->round = p->round;
	p->cache.usable = true;
	placement_grant_or_queue(p, call, now_us);
	if (p->queue_changes == changes)
		return at + 1;
	p->cache = (struct dispatch_cache){0};
	if (at > p->waiting->len)
		at = p->waiting->len;
	while (at > 0 &&
	    ((struct call *)p->waiting->pdata[at - 1])->round != p->round)
		at--;
	return at;
}

/*
 * Tries to place all queued calls, the most urgent first.
 */
void
placement_dispatch(struct placement *p, uint64_t now_us)
{
	if (p->dispatching || p->waiting->len == 0)
		return;
	p->dispatching = true;
	p->round++;
	p->cache = (struct dispatch_cache){0};
	if (account_share_is_active(&p->shares)) {
		placement_order_by_share(p, now_us);
		placement_hedge_before_queue(p, now_us);
	}
	for (guint i = 0; i < p->waiting->len;)
		i = dispatch_call(p, i, now_us);
	p->cache.usable = false;
	p->dispatching = false;
}

/*
 * Returns whether a call precedes another in the queue: by rank, then by
 * objective, or by rank and share while there are client accounts.
 */
static bool
is_more_urgent(
    const struct placement *p, const struct call *a, const struct call *b)
{
	if (account_share_is_active(&p->shares))
		return placement_share_precedes(a, b);
	if (a->request.rank != b->request.rank)
		return a->request.rank < b->request.rank;
	return a->request.objective_us < b->request.objective_us;
}

void
placement_enqueue(struct placement *p, struct call *call, uint64_t now_us)
{
	guint at = 0;

	if (account_share_is_active(&p->shares))
		call->share_start_us = account_share_used(
		    &p->shares, call->request.account, now_us);
	while (at < p->waiting->len &&
	    is_more_urgent(p, p->waiting->pdata[at], call))
		at++;
	g_ptr_array_insert(p->waiting, (gint)at, call);
	call->waiting = true;
	/* A call that arrives during a dispatch is considered on its own. */
	call->round = p->round;
	p->queue_changes++;
	p->cache.usable = false;
}
