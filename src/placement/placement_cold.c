/*
 * Targets that may not be granted, or only at a rate: cold ones, which crash
 * above a rate of requests after their start, and those of evacuated failure
 * domains.  Requests that run at such a target end there.
 */
#include "placement/placement_defs.h"

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
	    (p->grants_cold || !target_is_cold(p, t, now_us));
}

/*
 * Returns whether the rate of a cold target allows one more request.
 */
bool
target_rate_allows(
    const struct placement *p, const struct target *t, uint64_t now_us)
{
	return !target_is_cold(p, t, now_us) ||
	    warmup_budget_allows(&t->warmup, p->warmup_per_s, now_us);
}

/*
 * Counts a send to a target against its rate while it is cold.
 */
void
target_record_cold_send(
    const struct placement *p, struct target *t, uint64_t now_us)
{

	if (target_is_cold(p, t, now_us))
		warmup_budget_take(&t->warmup, p->warmup_per_s, now_us);
}

/*
 * Sets the end of a target's warm-up.  The bucket of one that becomes cold is
 * empty: it may have had requests just before.
 */
void
target_set_warmup_end(struct target *t, uint64_t end_us, uint64_t now_us)
{
	if (now_us >= t->warmup_end_us)
		warmup_budget_empty(&t->warmup, now_us);
	t->warmup_end_us = end_us;
}

static void
empty_buckets(struct placement *p, uint64_t now_us)
{
	for (guint i = 0; i < p->order->len; i++) {
		struct target *t = p->order->pdata[i];

		warmup_budget_empty(&t->warmup, now_us);
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
	if (scheduler && !p->grants_cold)
		empty_buckets(p, now_us);
	if (scheduler != p->grants_cold)
		hedge_budget_empty(&p->hedges);
	p->grants_cold = scheduler;
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
 * Counts a request that got no target at once, if the rate of a cold target
 * with room has kept it from that target.
 */
void
placement_count_held_back(
    struct placement *p, struct call *call, uint64_t now_us)
{
	if (p->warmup_per_s <= 0 || call->held_back)
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
