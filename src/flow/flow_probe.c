#include "base/logger.h"
#include "flow/flow_internal.h"

enum {
	PROBE_TICK_MS = 10,
	/* A tenth of the time in which speeds shift, 500 ms. */
	PROBE_INTERVAL_MS = 50,
	/* A target that does not answer is looked for less often. */
	PROBE_SILENT_MS = 250,
	PROBE_SILENT_AFTER = 3,
	/* Of one scheduler: about 2 % of a small instance's processor. */
	PROBES_PER_SECOND = 2000
};

/*
 * Returns the time between two probes of a target: well within what its
 * owner allows.
 */
static uint64_t
interval_us(const struct pool *pool)
{
	const struct flow *flow = pool->flow;
	double allowed_us =
	    2.0 * (double)US_PER_S / flow->settings.probes_per_second;
	uint64_t wanted =
	    (pool->probe_failures >= PROBE_SILENT_AFTER ? PROBE_SILENT_MS
							: PROBE_INTERVAL_MS) *
	    US_PER_MS;

	return wanted > (uint64_t)allowed_us ? wanted : (uint64_t)allowed_us;
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
		const char *path = health_path(pool);

		if (!schedule_is_active(pool->of) || path == NULL ||
		    now < pool->probe_due_us)
			continue;
		/* Spread over the interval, so that they come evenly. */
		if (pool->probe_due_us == 0)
			pool->probe_due_us = now +
			    random_below(&flow->random, interval_us(pool));
		else
			pool->probe_due_us = now + interval_us(pool);
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
