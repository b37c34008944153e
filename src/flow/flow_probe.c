#include "base/logger.h"
#include "flow/flow_internal.h"

enum {
	/* A target's word on a new speed is fresh by a hundredth of its time. */
	PROBE_TICK_MS = 5,
	/* A target that does not answer is looked for less often. */
	PROBE_SILENT_MS = 250,
	PROBE_SILENT_AFTER = 3
};

/*
 * Returns when a target is probed next: well within what its owner allows.
 */
static uint64_t
due_us(const struct pool *pool, uint64_t now_us)
{
	const struct flow *flow = pool->flow;
	uint64_t due = placement_probe_due(
	    pool->of->placement, pool->id, pool->probed_us, now_us);
	uint64_t earliest = pool->probed_us +
	    (uint64_t)(2.0 * (double)US_PER_S /
		flow->settings.probes_per_second);

	if (pool->probe_failures >= PROBE_SILENT_AFTER)
		due = pool->probed_us + PROBE_SILENT_MS * US_PER_MS;
	return due > earliest ? due : earliest;
}

static const char *
health_path(const struct pool *pool)
{
	const struct flow *flow = pool->flow;
	const struct route_service *service = flow->routes != NULL
	    ? g_hash_table_lookup(flow->routes->services, pool->service)
	    : NULL;

	return service != NULL ? service->health_path : NULL;
}

/*
 * Probes the targets of the services that are scheduled here.
 */
static void
on_probe_tick(uv_timer_t *timer)
{
	struct flow *flow = timer->data;
	uint64_t now = flow_now_us(flow);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;
		const char *path;

		if (!schedule_is_active(pool->of))
			continue;
		/* Spread over the interval, so that they come evenly. */
		if (pool->probed_us == 0)
			pool->probed_us = now -
			    random_below(
				&flow->random, PROBE_SILENT_MS * US_PER_MS);
		path = health_path(pool);
		if (path == NULL || now < due_us(pool, now))
			continue;
		pool->probed_us = now;
		(void)target_probe(pool, path);
	}
}

/*
 * Starts to probe.
 */
void
probe_open(struct flow *flow)
{
	uv_timer_init(flow->loop, &flow->probe_timer);
	flow->probe_timer.data = flow;
	uv_timer_start(
	    &flow->probe_timer, on_probe_tick, PROBE_TICK_MS, PROBE_TICK_MS);
}

/*
 * Stops probing.
 */
void
probe_close(struct flow *flow)
{
	uv_close((uv_handle_t *)&flow->probe_timer, NULL);
}
