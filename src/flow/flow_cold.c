/*
 * Targets in their warm-up, of services whose document names the rate that they
 * tolerate meanwhile.  Their reports to control and their answers to probes say
 * how long it lasts; the placements apply it.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

enum {
	WARMUP_MAX_MS = 24 * 3600 * 1000, /* of a service in a document */
	/*
	 * Reports come through control and may be older than the last probe;
	 * targets are probed more often than this.
	 */
	HEARD_FRESH_MS = 1000,
	COUNT_INTERVAL_MS = 1000
};

/*
 * Returns the rate that cold targets of a service tolerate; 0: no limit.
 */
static double
warmup_per_s(const struct flow *flow, const char *service)
{
	const struct route_service *found = flow->routes != NULL
	    ? g_hash_table_lookup(flow->routes->services, service)
	    : NULL;

	return found != NULL ? found->warmup_per_s : 0;
}

static void
log_cold(const struct pool *pool, uint64_t end_us, const char *source)
{
	struct flow *flow = pool->flow;

	if (flow_may_log(flow))
		log_info("target_cold",
		    "instance=%s target=%s started=%" PRIu64 " left_ms=%" PRIu64
		    " source=%s",
		    flow->settings.instance, pool->id, pool->started_ms,
		    (end_us - flow_now_us(flow)) / US_PER_MS, source);
}

/*
 * Applies the end of a target's warm-up to its placement.
 */
static void
set_end(struct pool *pool, uint64_t end_us, const char *source)
{
	if (placement_set_warmup_end(pool->service_part->placement, pool->id,
		end_us, flow_now_us(pool->flow)))
		log_cold(pool, end_us, source);
}

/*
 * A service was created.
 */
void
cold_on_service(struct service *service)
{
	struct flow *flow = service->flow;

	placement_set_warmup_rate(service->placement,
	    warmup_per_s(flow, service->whole_name), flow_now_us(flow));
}

/*
 * Applies the rates of a document, and what was reported of targets before
 * their service had one.
 */
void
cold_on_document(struct flow *flow)
{
	GHashTableIter iter;
	gpointer value;

	flow->limits_warmup = false;
	g_hash_table_iter_init(&iter, flow->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		cold_on_service(value);
	g_hash_table_iter_init(&iter, flow->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;
		const struct roster_target *target =
		    roster_find(flow->roster, pool->id);

		if (target == NULL || warmup_per_s(flow, pool->service) <= 0)
			continue;
		flow->limits_warmup = true;
		if (!pool->assumed_cold)
			set_end(pool, target->warmup_end_us, "report");
	}
	if (!flow->limits_warmup)
		counter_set(flow->cold_targets, 0);
}

/*
 * A target was added to a placement.
 */
void
cold_on_added(struct pool *pool)
{
	struct flow *flow = pool->flow;
	const struct roster_target *target =
	    roster_find(flow->roster, pool->id);

	if (warmup_per_s(flow, pool->service) <= 0)
		return;
	flow->limits_warmup = true;
	if (pool->assumed_cold)
		cold_assume(pool);
	else if (target != NULL && target->warmup_end_us > flow_now_us(flow))
		log_cold(pool, target->warmup_end_us, "report");
}

/*
 * Reads the time left of the warm-up from the answer to a probe.  The end that
 * follows from it is kept in the roster as well, for another placement.
 */
void
cold_on_probe(struct pool *pool, const struct head *head)
{
	struct flow *flow = pool->flow;
	struct roster_target *target = roster_find(flow->roster, pool->id);
	struct str text = {0};
	uint64_t left_ms;

	if (target == NULL || warmup_per_s(flow, pool->service) <= 0)
		return;
	if (flow->dialect.warmup_header != NULL)
		text = head_find(head, flow->dialect.warmup_header);
	if (text.data != NULL && str_to_u64(str_trim(text), &left_ms) &&
	    left_ms <= WARMUP_MAX_MS) {
		pool->warmup_heard_us = flow_now_us(flow);
		target->warmup_end_us =
		    pool->warmup_heard_us + left_ms * US_PER_MS;
	} else if (!pool->assumed_cold) {
		return;
	}
	pool->assumed_cold = false;
	set_end(pool, target->warmup_end_us, "probe");
}

/*
 * A report changes the end of a target's warm-up.  One that ends it earlier
 * than the last probe has told is older than that probe.
 */
void
cold_on_report(void *ctx, struct roster_target *target, uint64_t before_us)
{
	struct flow *flow = ctx;
	struct pool *pool = g_hash_table_lookup(flow->pools, target->id);

	if (pool == NULL)
		return;
	/* Without a rate, a target is only assumed to be slower while cold. */
	if (warmup_per_s(flow, pool->service) <= 0) {
		if (target->warmup_end_us < before_us)
			set_end(pool, target->warmup_end_us, "report");
		return;
	}
	if (target->warmup_end_us < before_us && pool->warmup_heard_us != 0 &&
	    flow_now_us(flow) - pool->warmup_heard_us <
		HEARD_FRESH_MS * US_PER_MS) {
		target->warmup_end_us = before_us;
		return;
	}
	if (!pool->assumed_cold)
		set_end(pool, target->warmup_end_us, "report");
}

/*
 * Assumes that a target is cold until its first probe says otherwise, for the
 * warm-up of its service at most: it had no requests for an unknown time.
 */
void
cold_assume(struct pool *pool)
{
	struct flow *flow = pool->flow;
	const struct route_service *service;

	if (warmup_per_s(flow, pool->service) <= 0)
		return;
	service = g_hash_table_lookup(flow->routes->services, pool->service);
	pool->assumed_cold = true;
	set_end(pool,
	    flow_now_us(flow) +
		(service->warmup_ms > 0 ? service->warmup_ms : WARMUP_MAX_MS) *
		    US_PER_MS,
	    "evacuation");
}

/*
 * Updates the metrics of cold targets, if the document limits them.
 */
void
cold_tick(struct flow *flow)
{
	uint64_t now = flow_now_us(flow);
	unsigned cold = 0;
	GHashTableIter iter;
	gpointer value;

	if (!flow->limits_warmup || now < flow->cold_count_due_us)
		return;
	flow->cold_count_due_us = now + COUNT_INTERVAL_MS * US_PER_MS;
	flow_count_scanned(flow, g_hash_table_size(flow->pools));
	g_hash_table_iter_init(&iter, flow->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;
		struct placement_stats f;

		placement_get_stats(service->placement, now, &f);
		cold += f.cold;
		counter_add(flow->cold_held_back,
		    (int64_t)(f.held_back - service->held_back));
		service->held_back = f.held_back;
	}
	counter_set(flow->cold_targets, cold);
}
