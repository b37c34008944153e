/*
 * Probing of targets: a queue, ordered by time, of the targets whose services
 * are scheduled by this entry.  An entry that schedules none has no work here.
 */
#include <string.h>

#include "flow/flow_internal.h"

enum {
	/*
	 * A report of a new speed is delayed by at most 1 % of the time for
	 * which it holds.
	 */
	PROBE_TICK_MS = 5,
	/* Targets that do not answer are probed less often. */
	PROBE_BACKOFF_MS = 250,
	PROBE_BACKOFF_FAILURES = 3
};

/*
 * Returns when a target is probed next, at half of the rate that its owner
 * allows at most.
 */
static uint64_t
due_us(const struct pool *pool, uint64_t now_us)
{
	const struct flow *flow = pool->flow;
	uint64_t due = placement_probe_due(
	    pool->service_part->placement, pool->id, pool->probed_us, now_us);
	uint64_t away_us;
	uint64_t earliest = pool->probed_us +
	    (uint64_t)(2.0 * (double)US_PER_S /
		flow->settings.probes_per_second);

	if (pool->probe_failures >= PROBE_BACKOFF_FAILURES)
		due = pool->probed_us + PROBE_BACKOFF_MS * US_PER_MS;
	if (due < earliest)
		due = earliest;
	away_us = away_left_us(flow, pool->id);
	if (away_us > 0 && due < now_us + away_us)
		due = now_us + away_us;
	return due;
}

/*
 * Returns the health check path of a target's service, or NULL.
 */
static const char *
health_path(const struct pool *pool)
{
	const struct flow *flow = pool->flow;
	const struct route_service *service = flow->routes != NULL
	    ? g_hash_table_lookup(flow->routes->services, pool->service)
	    : NULL;

	return service != NULL ? service->health_path : NULL;
}

static gint
compare_due(gconstpointer a, gconstpointer b, gpointer ctx ATTR_UNUSED)
{
	const struct pool *x = a;
	const struct pool *y = b;

	if (x->probe_due_us != y->probe_due_us)
		return x->probe_due_us < y->probe_due_us ? -1 : 1;
	return strcmp(x->id, y->id);
}

static void on_probe_timer(uv_timer_t *timer);

/*
 * Arms the timer for the first target in the queue; probes that are due within
 * one tick are sent together.
 */
static void
arm_timer(struct flow *flow)
{
	GSequenceIter *first = g_sequence_get_begin_iter(flow->probe_queue);
	uint64_t now = flow_now_us(flow);
	uint64_t wait_us = PROBE_TICK_MS * US_PER_MS;
	const struct pool *pool;

	if (g_sequence_iter_is_end(first)) {
		uv_timer_stop(&flow->probe_timer);
		return;
	}
	pool = g_sequence_get(first);
	if (pool->probe_due_us > now + wait_us)
		wait_us = pool->probe_due_us - now;
	uv_timer_start(&flow->probe_timer, on_probe_timer,
	    (wait_us + US_PER_MS - 1) / US_PER_MS, 0);
}

/*
 * Probes a target if it is still due, and sets its next position in the queue.
 * Load reports in responses may have postponed the probe.
 */
static void
probe_if_due(struct pool *pool, uint64_t now_us)
{
	struct flow *flow = pool->flow;
	const char *path = health_path(pool);
	uint64_t due = due_us(pool, now_us);

	flow_count_scanned(flow, 1);
	if (path == NULL) {
		due = now_us + PROBE_BACKOFF_MS * US_PER_MS;
	} else if (due <= now_us) {
		pool->probed_us = now_us;
		(void)target_probe(pool, path);
		due = due_us(pool, now_us);
	}
	pool->probe_due_us =
	    due > now_us ? due : now_us + PROBE_TICK_MS * US_PER_MS;
	/*
	 * A probe that failed at once may have removed the target from the
	 * queue.
	 */
	if (pool->probe_iter != NULL)
		g_sequence_sort_changed(pool->probe_iter, compare_due, NULL);
}

static void
on_probe_timer(uv_timer_t *timer)
{
	struct flow *flow = timer->data;
	uint64_t now = flow_now_us(flow);

	for (;;) {
		GSequenceIter *first =
		    g_sequence_get_begin_iter(flow->probe_queue);
		struct pool *pool;

		if (g_sequence_iter_is_end(first))
			break;
		pool = g_sequence_get(first);
		if (pool->probe_due_us > now)
			break;
		probe_if_due(pool, now);
	}
	arm_timer(flow);
}

/*
 * Removes a target from the probe queue.
 */
void
probe_remove(struct pool *pool)
{
	if (pool->probe_iter == NULL)
		return;
	g_sequence_remove(pool->probe_iter);
	pool->probe_iter = NULL;
}

/*
 * Starts or stops probing a target: only the entry that schedules its service
 * probes it, unless it is evacuated.  The first probes are spread over an interval, so that the load is
 * even.
 */
void
probe_update(struct pool *pool)
{
	struct flow *flow = pool->flow;
	uint64_t now = flow_now_us(flow);
	uint64_t interval_us = PROBE_BACKOFF_MS * US_PER_MS;

	if (!pool->service_part->owner || pool->evacuated) {
		probe_remove(pool);
		return;
	}
	if (pool->probe_iter != NULL)
		return;
	if (pool->probed_us == 0)
		pool->probed_us =
		    now - random_below(&flow->random, interval_us);
	pool->probe_due_us = now;
	pool->probe_iter = g_sequence_insert_sorted(
	    flow->probe_queue, pool, compare_due, NULL);
	if (!uv_is_active((uv_handle_t *)&flow->probe_timer))
		arm_timer(flow);
}

/*
 * Creates an empty probe queue.
 */
void
probe_open(struct flow *flow)
{
	flow->probe_queue = g_sequence_new(NULL);
	uv_timer_init(flow->loop, &flow->probe_timer);
	flow->probe_timer.data = flow;
}

/*
 * Stops probing.
 */
void
probe_close(struct flow *flow)
{
	uv_close((uv_handle_t *)&flow->probe_timer, NULL);
	g_sequence_free(flow->probe_queue);
}
