/*
 * Targets that name the rate of requests that they take from all entries
 * together.  The scheduler of the service keeps to it: its probes and the
 * reports of other entries' answers tell it.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

enum {
	/*
	 * Answers pass each other: one without a rate ends the limit only this
	 * long after the last answer that named it.
	 */
	RATE_ENDS_MS = 1000
};

/*
 * Reads the lowest rate that a response names, in millionths of a request per
 * second; false if it names none that can be read.
 */
static bool
read_rate(const struct upstream *up, uint64_t *micros_per_s)
{
	const char *name = up->flow->dialect.rate_header;
	struct str value;
	bool found = false;
	unsigned at = 0;

	while (name != NULL &&
	    (value = head_find_next(&up->head, name, &at)).data != NULL) {
		uint64_t micros;

		if (!str_to_micros(
			str_trim(value), FLEET_RATE_MAX_MICROS, &micros))
			continue;
		if (!found || micros < *micros_per_s)
			*micros_per_s = micros;
		found = true;
	}
	return found;
}

/*
 * Applies what is known of a target's rate to its placement.
 */
static void
apply(const struct pool *pool)
{
	const struct rate_limit *limit = &pool->rate_limit;

	placement_set_rate_limit(pool->service_part->placement, pool->id,
	    limit->active ? (double)limit->micros_per_s / 1e6 : -1,
	    flow_now_us(pool->flow));
}

static void
log_rate(const struct pool *pool, const char *source)
{
	const struct rate_limit *limit = &pool->rate_limit;

	if (flow_may_log(pool->flow))
		log_info("target_rate",
		    "instance=%s target=%s started=%" PRIu64
		    " active=%d per_s=%.3f source=%s",
		    pool->flow->settings.instance, pool->id, pool->started_ms,
		    limit->active, (double)limit->micros_per_s / 1e6, source);
}

/*
 * Records that a target names its rate.  Returns whether it had none before.
 */
static bool
on_named(struct pool *pool, uint64_t micros_per_s, const char *source)
{
	struct rate_limit *limit = &pool->rate_limit;
	bool begins = !limit->active;
	bool changed = begins || limit->micros_per_s != micros_per_s;

	limit->active = true;
	limit->micros_per_s = micros_per_s;
	limit->named_us = flow_now_us(pool->flow);
	if (begins)
		counter_add(pool->flow->rates_heard, 1);
	if (changed) {
		apply(pool);
		log_rate(pool, source);
	}
	return begins;
}

/*
 * Records that a target answers without a rate.
 */
static void
on_not_named(struct pool *pool, const char *source)
{
	struct rate_limit *limit = &pool->rate_limit;

	if (!limit->active ||
	    flow_now_us(pool->flow) - limit->named_us <
		RATE_ENDS_MS * US_PER_MS)
		return;
	*limit = (struct rate_limit){.active = false};
	apply(pool);
	log_rate(pool, source);
}

/*
 * Tells schedulers that a target has begun to name a rate: the end of a send
 * whose answer is streamed is reported late.
 */
static void
tell_schedulers(const struct pool *pool)
{
	Fleet__Done done = FLEET__DONE__INIT;
	Fleet__RateLimit rate = FLEET__RATE_LIMIT__INIT;

	rate.started_ms = pool->started_ms;
	rate.active = true;
	rate.micros_per_s = pool->rate_limit.micros_per_s;
	done.rate_limit = &rate;
	schedule_tell(pool, &done);
}

/*
 * Returns whether the absence of a rate in a response says that there is none:
 * rejections need not name it, and neither do probes if none has.
 */
static bool
shows_absence(const struct upstream *up, const struct pool *pool)
{
	return up->probe
	    ? pool->rate_limit.by_probe
	    : head_find(&up->head, up->flow->dialect.proof_header).data !=
		    NULL &&
		!up->not_run;
}

/*
 * Evaluates the head of a final response.
 */
void
rate_on_head(struct upstream *up)
{
	const char *source = up->probe ? "probe" : "answer";
	const char *target = attribution_target(up);
	struct pool *pool = target != NULL
	    ? g_hash_table_lookup(up->flow->pools, target)
	    : NULL;
	struct rate_statement rate = {.started_ms = up->target_started_ms};

	if (pool == NULL || pool->started_ms != up->target_started_ms)
		return;
	rate.active = read_rate(up, &rate.micros_per_s);
	rate.given = rate.active || shows_absence(up, pool);
	if (up->attempt != NULL)
		up->attempt->rate = rate;
	if (!rate.given)
		return;
	if (!rate.active) {
		on_not_named(pool, source);
		return;
	}
	if (on_named(pool, rate.micros_per_s, source))
		tell_schedulers(pool);
	pool->rate_limit.by_probe |= up->probe;
}

/*
 * Another entry reports what an answer has said.  A report on another
 * incarnation than the known one has no effect.
 */
void
rate_on_report(
    struct flow *flow, const char *target, const Fleet__RateLimit *report)
{
	struct pool *pool = g_hash_table_lookup(flow->pools, target);

	if (pool == NULL || pool->started_ms != report->started_ms)
		return;
	if (report->active)
		(void)on_named(pool, report->micros_per_s, "entry");
	else
		on_not_named(pool, "entry");
}

/*
 * The target was added to a placement.
 */
void
rate_on_added(struct pool *pool)
{
	if (pool->rate_limit.active)
		apply(pool);
}
