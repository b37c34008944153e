#include "flow/flow.h"

#include <inttypes.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	PAUSE_MS = 1000 /* ten turns of the slowest timer */
};

/*
 * Returns the loop's time: the same throughout one turn.
 */
uint64_t
flow_now_us(const struct flow *flow)
{
	return uv_now(flow->loop) * US_PER_MS;
}

static bool
may_log(struct flow *flow, bool routine)
{
	bool may =
	    log_limiter_allow(&flow->log_limiter, uv_now(flow->loop), routine);

	if (!may)
		counter_add(flow->log_dropped, 1);
	return may;
}

/*
 * Notes that the loop turns.  A longer gap is a pause of the process, by the
 * clock that goes on while it is suspended: grants that were asked for before
 * are void from now on, and connections may have been closed meanwhile.
 */
void
flow_note_turn(struct flow *flow)
{
	uint64_t now = clock_boot_us();
	uint64_t gap = now - flow->turned_boot_us;

	flow->turned_boot_us = now;
	if (gap < PAUSE_MS * US_PER_MS)
		return;
	flow->resumed_boot_us = now;
	log_warn("resumed", "instance=%s paused_ms=%" PRIu64,
	    flow->settings.instance, gap / US_PER_MS);
	targets_drop_idle(flow);
}

/*
 * Counts what timers have looked at.
 */
void
flow_note_visits(struct flow *flow, unsigned count)
{
	counter_add(flow->visits, count);
}

/*
 * Returns whether a line on a failure or a change may be logged.
 */
bool
flow_may_log(struct flow *flow)
{
	return may_log(flow, false);
}

/*
 * Returns whether a line on what went well may be logged: it leaves most of
 * the second's lines to failures.
 */
bool
flow_may_log_routine(struct flow *flow)
{
	return may_log(flow, true);
}

static void
register_counters(struct flow *flow)
{
	const struct {
		struct counter **counter;
		const char *name;
		const char *help;
	} list[] = {
	    {&flow->requests, "gypsummill_flow_requests_total",
		"Requests read whole (count)"},
	    {&flow->answered, "gypsummill_flow_answered_total",
		"Requests answered by a target with success (count)"},
	    {&flow->rejected, "gypsummill_flow_rejected_total",
		"Requests rejected before they ran (count)"},
	    {&flow->failed, "gypsummill_flow_failed_total",
		"Requests that ended with another failure (count)"},
	    {&flow->left, "gypsummill_flow_callers_left_total",
		"Requests whose caller left first (count)"},
	    {&flow->repeats, "gypsummill_flow_repeats_total",
		"Sends beyond the first of a request (count)"},
	    {&flow->probes, "gypsummill_flow_probes_total",
		"Probes of targets (count)"},
	    {&flow->connects, "gypsummill_flow_connects_total",
		"New connections to targets (count)"},
	    {&flow->fallbacks, "gypsummill_flow_fallbacks_total",
		"Placements on this entry's own view (count)"},
	    {&flow->visits, "gypsummill_flow_visits_total",
		"Targets, entries and parts that timers looked at (count)"},
	    {&flow->log_dropped, "gypsummill_flow_log_lines_left_out_total",
		"Log lines beyond the budget of a second (count)"},
	};

	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]); i++)
		*list[i].counter = counter_register(
		    COUNTER_TOTAL, list[i].name, list[i].help, NULL);
}

/*
 * Opens an entry on a loop.  Fails when one of its addresses can't be bound.
 */
enum status
flow_open(uv_loop_t *loop, const struct flow_settings *settings,
    const struct flow_dialect *dialect, struct flow **out)
{
	struct flow *flow = mem_calloc(1, sizeof(*flow));
	enum status status;

	flow->loop = loop;
	flow->settings = *settings;
	flow->dialect = *dialect;
	flow->log_limiter.instance = settings->instance;
	flow->failure_domain =
	    (uint32_t)str_hash(str_from(settings->failure_domain));
	flow->started_ms = clock_wall_us() / US_PER_MS;
	flow->turned_boot_us = clock_boot_us();
	random_seed(&flow->random,
	    clock_wall_us() ^ str_hash(str_from(settings->datagram_address)));
	/* Numbers of questions differ from those before a restart. */
	flow->next_ask = flow->started_ms << 20;
	register_counters(flow);
	flow->patiences = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	uv_update_time(loop);
	flow->opened_us = flow_now_us(flow);
	g_queue_init(&flow->parked);
	status = datagram_open(flow);
	if (status != STATUS_OK)
		return status;
	schedule_open(flow);
	targets_open(flow);
	probe_open(flow);
	fleet_open(flow);
	status = callers_open(flow);
	if (status != STATUS_OK)
		return status;
	*out = flow;
	return STATUS_OK;
}

/*
 * Takes over what may change while it runs.
 */
void
flow_reload(struct flow *flow, const struct flow_settings *settings)
{
	flow->settings.seeds = settings->seeds;
	flow->settings.seed_count = settings->seed_count;
	flow->settings.repeats.ratio = settings->repeats.ratio;
	flow->settings.repeats.slack = settings->repeats.slack;
	fleet_changed(flow);
	flow->settings.probes_per_second = settings->probes_per_second;
	flow->settings.target_kept_ms = settings->target_kept_ms;
}

/*
 * Returns whether this entry takes callers: it has a document and has heard
 * enough of the fleet.
 */
bool
flow_is_ready(const struct flow *flow)
{
	return flow->ready && !flow->stopping;
}

/*
 * Stops in peace: it is no longer named to callers, answers what it has, and
 * ends connections with their answers.
 */
void
flow_stop(struct flow *flow, void (*stopped)(void *ctx), void *ctx)
{
	if (flow->stopping)
		return;
	flow->stopping = true;
	flow->stopping_ms = uv_now(flow->loop);
	flow->stopped = stopped;
	flow->stopped_ctx = ctx;
	fleet_changed(flow);
	fleet_tick(flow);
	callers_stop(flow);
}

/*
 * Appends the counters of the process, and how long answered requests took
 * from their first byte to the last of the answer.
 */
void
flow_render_metrics(const struct flow *flow, struct str_buf *out)
{
	static const unsigned bounds_ms[] = {
	    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000};
	static const char name[] = "gypsummill_flow_latency_seconds";
	uint64_t count = atomic_load(&flow->latency.count);

	counter_render(out);
	str_buf_printf(out,
	    "# HELP %s Answered requests by time taken (seconds)\n"
	    "# TYPE %s histogram\n",
	    name, name);
	for (size_t i = 0; i < sizeof(bounds_ms) / sizeof(bounds_ms[0]); i++)
		str_buf_printf(out, "%s_bucket{le=\"%g\"} %" PRIu64 "\n", name,
		    bounds_ms[i] / 1000.0,
		    count -
			histogram_count_above(
			    &flow->latency, bounds_ms[i] * US_PER_MS));
	str_buf_printf(out,
	    "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %.6f\n%s_count %" PRIu64
	    "\n",
	    name, count, name,
	    (double)atomic_load(&flow->latency.sum) / US_PER_S, name, count);
}

/*
 * Closes all handles of an entry without waiting for requests in hand.
 */
void
flow_close(struct flow *flow)
{
	struct caller *caller;

	while ((caller = g_queue_peek_head(&flow->callers)) != NULL)
		caller_close(caller);
	if (flow->listening)
		uv_close((uv_handle_t *)&flow->listener, NULL);
	uv_close((uv_handle_t *)&flow->sweep, NULL);
	schedule_close(flow);
	datagram_close(flow);
	targets_close(flow);
	fleet_close(flow);
	probe_close(flow);
	routes_put(flow->routes);
	g_hash_table_destroy(flow->patiences);
}

/*
 * Frees an entry whose handles are closed.
 */
void
flow_free(struct flow *flow)
{
	mem_free(flow);
}
