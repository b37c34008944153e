#include "flow/flow.h"

#include <inttypes.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	PROCESS_PAUSE_MIN_MS = 1000 /* ten periods of the slowest timer */
};

/*
 * Returns the loop's time in microseconds, which is constant within one
 * iteration.
 */
uint64_t
flow_now_us(const struct flow *flow)
{
	return uv_now(flow->loop) * US_PER_MS;
}

/*
 * Returns whether the log budget allows a line; counts a dropped one.
 */
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
 * Records a loop iteration.  A gap of PROCESS_PAUSE_MIN_MS means that the process was
 * paused, measured by the clock that continues during a suspension.  Grants
 * requested before the pause are void from then on, and connections may have
 * been closed meanwhile.
 */
void
flow_on_loop_iteration(struct flow *flow)
{
	uint64_t now = clock_boot_us();
	uint64_t gap = now - flow->last_turn_boot_us;

	flow->last_turn_boot_us = now;
	if (gap < PROCESS_PAUSE_MIN_MS * US_PER_MS)
		return;
	flow->resumed_boot_us = now;
	log_warn("resumed", "instance=%s paused_ms=%" PRIu64,
	    flow->settings.instance, gap / US_PER_MS);
	targets_close_idle(flow);
}

/*
 * Counts objects scanned by timers.
 */
void
flow_count_scanned(struct flow *flow, unsigned count)
{
	counter_add(flow->scanned, count);
}

/*
 * Returns whether a log line about a failure or a change may be written.
 */
bool
flow_may_log(struct flow *flow)
{
	return may_log(flow, false);
}

/*
 * Returns whether a log line about a success may be written.  Most of the
 * budget is reserved for failures.
 */
bool
flow_may_log_routine(struct flow *flow)
{
	return may_log(flow, true);
}

/*
 * Counts a message between instances that is refused at its decoding, and logs
 * the first one of its sender in a minute.
 */
void
flow_refuse_message(
    struct flow *flow, const char *sender, int kind, const char *field)
{
	counter_add(flow->messages_refused, 1);
	if (minute_log_allow(&flow->messages_log, sender, clock_boot_us()))
		log_warn("message_refused",
		    "instance=%s from=%s kind=%d field=%s",
		    flow->settings.instance, sender, kind, field);
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
		"Requests received completely (count)"},
	    {&flow->answered, "gypsummill_flow_answered_total",
		"Requests answered successfully by a target (count)"},
	    {&flow->rejected, "gypsummill_flow_rejected_total",
		"Requests rejected before execution (count)"},
	    {&flow->failed, "gypsummill_flow_failed_total",
		"Requests that failed for another reason (count)"},
	    {&flow->callers_left, "gypsummill_flow_callers_left_total",
		"Requests whose caller left before the answer (count)"},
	    {&flow->cut_requests, "gypsummill_flow_cut_requests_total",
		"Requests cut by the end of a stop (count)"},
	    {&flow->cut_connections, "gypsummill_flow_cut_connections_total",
		"Connections closed before their answers arrived (count)"},
	    {&flow->delivery_waits, "gypsummill_flow_delivery_waits_total",
		"Requests that waited for the delivery of answers before them "
		"(count)"},
	    {&flow->unsent_requests, "gypsummill_flow_unsent_requests_total",
		"Such requests that a stop did not send to a target (count)"},
	    {&flow->repeats, "gypsummill_flow_repeats_total",
		"Sends after the first one of a request (count)"},
	    {&flow->probes, "gypsummill_flow_probes_total",
		"Probes of targets (count)"},
	    {&flow->connects, "gypsummill_flow_connects_total",
		"New connections to targets (count)"},
	    {&flow->local_placements, "gypsummill_flow_fallbacks_total",
		"Placements on local data, without the scheduler (count)"},
	    {&flow->leavings_heard, "gypsummill_flow_leavings_total",
		"Targets that said in an answer that they leave (count)"},
	    {&flow->departures_asked, "gypsummill_flow_departures_asked_total",
		"Departures that control was asked to record (count)"},
	    {&flow->aways_heard, "gypsummill_flow_aways_total",
		"Answers 503 of targets with a Retry-After (count)"},
	    {&flow->rates_heard, "gypsummill_flow_rate_limits_total",
		"Targets that began to name the rate that they take (count)"},
	    {&flow->ends_seen, "gypsummill_flow_ended_targets_total",
		"Targets that ended while they ran requests (count)"},
	    {&flow->crash_refusals, "gypsummill_flow_crash_refusals_total",
		"Requests refused since targets end under them (count)"},
	    {&flow->refused_grants, "gypsummill_flow_refused_grants_total",
		"Grants of targets that want nothing at the time (count)"},
	    {&flow->calls_freed, "gypsummill_flow_calls_freed_total",
		"Calls of other entries freed by a later ask, since the report "
		"of their end was lost (count)"},
	    {&flow->resets_full, "gypsummill_flow_resets_full_total",
		"Sends whose connection a full target has reset (count)"},
	    {&flow->cold_held_back, "gypsummill_flow_cold_held_back_total",
		"Requests that the rate of a cold target kept from it at first "
		"(count)"},
	    {&flow->hedges[HEDGE_MADE], "gypsummill_flow_hedges_total",
		"Second sends against slow answers (count)"},
	    {&flow->hedges[HEDGE_WON], "gypsummill_flow_hedges_won_total",
		"Second sends answered before the first (count)"},
	    {&flow->hedges[HEDGE_LOST], "gypsummill_flow_hedges_lost_total",
		"Second sends answered after the first (count)"},
	    {&flow->hedges[HEDGE_FAILED], "gypsummill_flow_hedges_failed_total",
		"Second sends ended without an answer (count)"},
	    {&flow->scanned, "gypsummill_flow_visits_total",
		"Targets, entries and parts scanned by timers (count)"},
	    {&flow->announcements_refused,
		"gypsummill_flow_announcements_refused_total",
		"Announcements of targets with a field out of its bounds "
		"(count)"},
	    {&flow->targets_asked_again,
		"gypsummill_flow_targets_asked_again_total",
		"Targets in lists of control that had expired here alone "
		"(count)"},
	    {&flow->loads_refused, "gypsummill_flow_loads_refused_total",
		"Load reports of targets that can't be read (count)"},
	    {&flow->messages_refused, "gypsummill_flow_messages_refused_total",
		"Messages of instances with a field out of its bounds "
		"(count)"},
	    {&flow->documents, "gypsummill_flow_documents_total",
		"Documents put in force (count)"},
	    {&flow->document_fetches, "gypsummill_flow_document_fetches_total",
		"Requests to control for the text of a document (count)"},
	    {&flow->log_dropped, "gypsummill_flow_log_lines_left_out_total",
		"Log lines dropped by the rate limit (count)"},
	};

	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]); i++)
		*list[i].counter = counter_register(
		    COUNTER_TOTAL, list[i].name, list[i].help, NULL);
	flow->document_version =
	    counter_register(COUNTER_GAUGE, "gypsummill_flow_document_version",
		"Version of the document in force (number)", NULL);
	flow->document_late_ms = counter_register(COUNTER_GAUGE,
	    "gypsummill_flow_document_late_milliseconds",
	    "Time since a newer document was announced (ms), 0 if none was",
	    NULL);
	flow->controls_open =
	    counter_register(COUNTER_GAUGE, "gypsummill_flow_controls_open",
		"Connected control instances (count)", NULL);
	flow->quarantined =
	    counter_register(COUNTER_GAUGE, "gypsummill_flow_quarantined",
		"Different requests that are refused since targets end under "
		"them (count)",
		NULL);
	flow->cold_targets =
	    counter_register(COUNTER_GAUGE, "gypsummill_flow_cold_targets",
		"Targets that get requests at the rate of their warm-up only "
		"(count)",
		NULL);
}

/*
 * Opens an entry on a loop.  Fails if one of its addresses can't be bound.
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
	flow->last_turn_boot_us = clock_boot_us();
	random_seed(&flow->random,
	    clock_wall_us() ^ str_hash(str_from(settings->datagram_address)));
	/*
	 * Ask ids must differ from those used before a restart, which other
	 * entries may still know by the same address.  62 bits, so that none
	 * recurs and an id takes 9 bytes in a message.
	 */
	flow->next_ask = random_next(&flow->random) >> 2;
	register_counters(flow);
	account_open(flow);
	part_open(flow);
	flow->route_caller_timeouts =
	    g_hash_table_new_full(NULL, NULL, NULL, g_free);
	uv_update_time(loop);
	flow->opened_us = flow_now_us(flow);
	g_queue_init(&flow->parked);
	status = datagram_open(flow);
	if (status != STATUS_OK)
		return status;
	schedule_open(flow);
	memory_open(flow);
	limits_open(flow);
	ahead_open(flow);
	targets_open(flow);
	leaving_open(flow);
	away_open(flow);
	crash_open(flow);
	evacuation_open(flow);
	document_open(flow);
	allowance_open(flow);
	probe_open(flow);
	fleet_open(flow);
	status = callers_open(flow);
	if (status != STATUS_OK)
		return status;
	*out = flow;
	return STATUS_OK;
}

/*
 * Applies the settings that may change at run time.
 */
void
flow_reload(struct flow *flow, const struct flow_settings *settings)
{
	flow->settings.seeds = settings->seeds;
	flow->settings.seed_count = settings->seed_count;
	flow->settings.repeats.ratio = settings->repeats.ratio;
	flow->settings.repeats.slack = settings->repeats.slack;
	flow->settings.hedge_share = settings->hedge_share;
	fleet_invalidate_schedulers(flow);
	flow->settings.probes_per_second = settings->probes_per_second;
	flow->settings.target_kept_ms = settings->target_kept_ms;
}

/*
 * Returns whether this entry serves callers: it has a document and is
 * synchronized with control.
 */
bool
flow_is_ready(const struct flow *flow)
{
	return flow->ready && !flow->stopping;
}

/*
 * Stops gracefully: callers are no longer directed here, accepted requests are
 * answered, and each connection closes after its last answer.
 */
void
flow_stop(struct flow *flow, void (*stopped)(void *ctx), void *ctx)
{
	if (flow->stopping)
		return;
	flow->stopping = true;
	flow->stopping_ms = uv_now(flow->loop);
	flow->stopped = stopped;
	flow->on_stopped_ctx = ctx;
	fleet_invalidate_schedulers(flow);
	fleet_tick(flow);
	allowance_on_stop(flow);
	stop_callers(flow);
}

/*
 * Appends the counters of the process and the latency of answered requests,
 * from the first byte of the request to the last one of the answer.
 */
void
flow_render_metrics(const struct flow *flow, struct str_buf *out)
{
	static const unsigned bounds_ms[] = {
	    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000};
	static const char name[] = "gypsummill_flow_latency_seconds";
	uint64_t count = atomic_load(&flow->latency.count);

	counter_render(out);
	account_render_counts(flow, out);
	str_buf_printf(out,
	    "# HELP %s Duration of answered requests (seconds)\n"
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
 * Closes all handles of an entry without waiting for pending requests.
 */
void
flow_close(struct flow *flow)
{
	struct caller *caller;

	while ((caller = g_queue_peek_head(&flow->callers)) != NULL)
		caller_close(caller);
	if (flow->listening)
		uv_close((uv_handle_t *)&flow->listener, NULL);
	uv_close((uv_handle_t *)&flow->accept_timer, NULL);
	uv_close((uv_handle_t *)&flow->sweep, NULL);
	ahead_close(flow);
	limits_close(flow);
	schedule_close(flow);
	datagram_close(flow);
	targets_close(flow);
	fleet_close(flow);
	leaving_close(flow);
	away_close(flow);
	crash_close(flow);
	evacuation_close(flow);
	document_close(flow);
	allowance_close(flow);
	probe_close(flow);
	minute_log_free(&flow->messages_log);
	routes_put(flow->routes);
	g_hash_table_destroy(flow->route_caller_timeouts);
	account_counts_close(flow);
}

/*
 * Frees an entry after its handles are closed.
 */
void
flow_free(struct flow *flow)
{
	bodies_close(flow);
	mem_free(flow);
}
