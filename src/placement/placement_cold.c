/*
 * Targets that may not be granted, or only at a rate: cold ones, which crash
 * above a rate of requests after their start, and those of evacuated failure
 * domains.  Requests that run at such a target end there.
 */
#include <math.h>

#include "placement/placement_defs.h"

enum {
	/*
	 * Two schedulers of one target together stay below the rate at which a
	 * cold target crashes.
	 */
	WARMUP_CAPACITY = 2
};

/*
 * Returns whether a target is in its warm-up and its service has a rate for
 * that.
 */
bool
target_is_cold(
    const struct placement *p, const struct target *t, uint64_t now_us)
{
	return p->warmup_per_s > 0 && now_us < t->warmup_end_us;
}

/*
 * Returns whether a target may get further requests from this placement.  Only
 * a scheduler grants cold targets: the sum over all entries that place on their
 * own view would have no bound.
 */
bool
target_takes_requests(
    const struct placement *p, const struct target *t, uint64_t now_us)
{
	return target_is_usable(p, t, now_us) && !t->evacuated &&
	    (p->is_scheduler || !target_is_cold(p, t, now_us));
}

static struct token_rate
warmup_rate(const struct placement *p)
{
	return (struct token_rate){p->warmup_per_s, WARMUP_CAPACITY};
}

/*
 * Returns whether the rates of a cold and of a limited target allow one more
 * request.
 */
bool
target_rate_allows(
    const struct placement *p, const struct target *t, uint64_t now_us)
{
	if (target_is_cold(p, t, now_us) &&
	    !token_bucket_allows(&t->warmup, warmup_rate(p), now_us))
		return false;
	return !t->limited ||
	    token_bucket_allows(&t->limit, target_limit_rate(p, t), now_us);
}

/*
 * Counts a send to a target against the rates in force.
 */
void
target_record_send(const struct placement *p, struct target *t, uint64_t now_us)
{

	if (target_is_cold(p, t, now_us))
		token_bucket_take(&t->warmup, warmup_rate(p), now_us);
	if (t->limited)
		token_bucket_take(&t->limit, target_limit_rate(p, t), now_us);
}

/*
 * Returns the lowest rate in force in requests per second; INFINITY if there is
 * none.
 */
double
target_rate_per_s(
    const struct placement *p, const struct target *t, uint64_t now_us)
{
	double per_s = INFINITY;

	if (target_is_cold(p, t, now_us))
		per_s = p->warmup_per_s;
	return t->limited ? fmin(per_s, target_limit_rate(p, t).per_s) : per_s;
}

/*
 * Sets the end of a target's warm-up.  The bucket of one that becomes cold is
 * empty: it may have had requests just before.
 */
void
target_set_warmup_end(struct target *t, uint64_t end_us, uint64_t now_us)
{
	if (now_us >= t->warmup_end_us)
		token_bucket_empty(&t->warmup, now_us);
	t->warmup_end_us = end_us;
}

static void
empty_buckets(struct placement *p, uint64_t now_us)
{
	for (guint i = 0; i < p->order->len; i++) {
		struct target *t = p->order->pdata[i];

		token_bucket_empty(&t->warmup, now_us);
	}
}

/*
 * Sets how many requests per second a cold target tolerates; 0: no limit.
 */
void
placement_set_warmup_rate(struct placement *p, double per_s, uint64_t now_us)
{
	if (p->warmup_per_s <= 0 && per_s > 0)
		empty_buckets(p, now_us);
	p->warmup_per_s = per_s;
}

/*
 * Sets whether this placement is its service's scheduler.  What a predecessor
 * has granted is unknown, so it begins with empty buckets.
 */
void
placement_set_scheduler(struct placement *p, bool scheduler, uint64_t now_us)
{
	if (scheduler && !p->is_scheduler)
		empty_buckets(p, now_us);
	if (scheduler != p->is_scheduler) {
		placement_empty_limits(p, now_us);
		hedge_budget_empty(&p->hedges);
	}
	p->is_scheduler = scheduler;
}

/*
 * Sets the end of a known target's warm-up.  Returns whether the target has
 * become cold by that.
 */
bool
placement_set_warmup_end(
    struct placement *p, const char *target, uint64_t end_us, uint64_t now_us)
{
	struct target *t = g_hash_table_lookup(p->targets, target);
	bool was_cold;

	if (t == NULL)
		return false;
	was_cold = target_is_cold(p, t, now_us);
	target_set_warmup_end(t, end_us, now_us);
	return !was_cold && target_is_cold(p, t, now_us);
}

/*
 * Sets whether a target's failure domain is evacuated.  An evacuated target is
 * not probed, so its last probe says nothing any more.
 */
void
placement_set_evacuated(struct placement *p, const char *target, bool evacuated)
{
	struct target *t = g_hash_table_lookup(p->targets, target);

	if (t == NULL || t->evacuated == evacuated)
		return;
	t->evacuated = evacuated;
	p->probe_failing_count -= t->probe_failing ? 1 : 0;
	t->probe_failing = false;
}

/*
 * Counts a request that got no target at once, if the rate of a cold or limited
 * target with room has kept it from that target.
 */
void
placement_count_held_back(
    struct placement *p, struct call *call, uint64_t now_us)
{
	if ((p->warmup_per_s <= 0 && p->limited_count == 0) || call->held_back)
		return;
	for (guint i = 0; i < p->order->len; i++) {
		const struct target *t = p->order->pdata[i];

		if (target_rate_allows(p, t, now_us) ||
		    !target_takes_requests(p, t, now_us) ||
		    !target_has_slot(p, t, now_us))
			continue;
		call->held_back = true;
		p->held_back++;
		return;
	}
}
