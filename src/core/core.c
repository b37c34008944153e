#include "core/core.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "core/core_internal.h"

enum {
	TICK_MS = 20 /* a fifth of the replica's heartbeat interval */
};

/*
 * Tells the replica how long this process has waited for its disk since a time.
 */
static void
report_stall(const struct core *core, uint64_t since_us)
{
	uint64_t now = clock_boot_us();

	if (core->replica != NULL)
		replica_on_stall(core->replica, now - since_us, now);
}

/*
 * Runs the periodic work of all parts, every TICK_MS.
 */
static void
on_tick(uv_timer_t *timer)
{
	struct core *core = timer->data;
	uint64_t now = clock_boot_us();

	core_replica_tick(core, now);
	core_propose_tick(core, now);
	core_link_tick(core, now);
	core_entries_tick(core, now);
	core_push_tick(core);
	core_text_tick(core, now);
	core_cache_tick(core, now);
	core_liveness_tick(core, now);
	core_allowance_tick(core, now);
	core_crash_tick(core, now);
	report_stall(core, now);
}

/*
 * Before the loop waits: syncs once all entries appended during this iteration,
 * and sends once what was applied, which after a start is the log from the last
 * snapshot on.
 */
static void
on_prepare(uv_prepare_t *prepare)
{
	struct core *core = prepare->data;
	uint64_t now = clock_boot_us();

	if (core->replica != NULL)
		replica_flush(core->replica, now);
	core_push_applied(core);
	report_stall(core, now);
}

/*
 * A sync of the log has ended: on_prepare() does what waits for it.
 */
static void
on_log_synced(uv_async_t *async ATTR_UNUSED)
{
}

/*
 * Registers this instance's metrics.
 */
static void
register_counters(struct core *core)
{
	core->edits = counter_register(COUNTER_TOTAL,
	    "gypsummill_core_edits_total", "Documents accepted (count)", NULL);
	core->texts_sent = counter_register(COUNTER_TOTAL,
	    "gypsummill_core_document_texts_total",
	    "Documents sent to other processes with their text (count)", NULL);
	core->departures =
	    counter_register(COUNTER_TOTAL, "gypsummill_core_departures_total",
		"Targets that left (count)", NULL);
	core->announcements = counter_register(COUNTER_TOTAL,
	    "gypsummill_core_announcements_total",
	    "Announcements received from targets (count)", NULL);
	core->refused = counter_register(COUNTER_TOTAL,
	    "gypsummill_core_announcements_refused_total",
	    "Announcements from targets, instances or the cache with a field "
	    "out of its bounds (count)",
	    NULL);
	core->ignored = counter_register(COUNTER_TOTAL,
	    "gypsummill_core_calls_ignored_total",
	    "Calls of earlier or departed starts of targets (count)", NULL);
	core->messages_refused = counter_register(COUNTER_TOTAL,
	    "gypsummill_core_messages_refused_total",
	    "Messages of instances with a field out of its bounds (count)",
	    NULL);
	core->evacuations =
	    counter_register(COUNTER_GAUGE, "gypsummill_core_evacuations",
		"Failure domains that are being evacuated (count)", NULL);
	core->quarantines =
	    counter_register(COUNTER_TOTAL, "gypsummill_core_quarantines_total",
		"Different requests found to end targets (count)", NULL);
	core->is_leader =
	    counter_register(COUNTER_GAUGE, "gypsummill_core_leader",
		"1 while this instance is the leader", NULL);
	core->log_sync_ms =
	    counter_register(COUNTER_GAUGE, "gypsummill_core_log_sync_ms",
		"Time of the last sync of the log, or of the running one (ms)",
		NULL);
	core->without_quorum = counter_register(COUNTER_GAUGE,
	    "gypsummill_core_quorum_lost",
	    "1 while the voters with a disk are less than a majority", NULL);
}

/*
 * Returns whether another line about a peer or a target may be logged.
 * After a restart of the whole fleet there would be hundreds of them at
 * once.  Changes of roles, documents and departures are always logged.
 */
bool
core_may_log(struct core *core)
{
	return log_limiter_allow(
	    &core->log_limiter, clock_boot_us() / US_PER_MS, false);
}

/*
 * Closes the parts that core_open() opens, in reverse order.
 */
static void
close_parts(struct core *core)
{
	core_cache_close(core);
	core_allowance_close(core);
	core_propose_close(core);
	core_departures_close(core);
	core_replica_close(core);
	core_link_close(core);
	core_estimates_close(core);
	core_crash_close(core);
	core_state_destroy(&core->state);
	core_drop_kept_document(core);
	evacuation_set_destroy(&core->kept_evacuations);
	roster_free(core->roster);
	minute_log_free(&core->refused_log);
	minute_log_free(&core->ignored_log);
	minute_log_free(&core->messages_log);
	g_hash_table_destroy(core->gone_voters);
}

/*
 * Opens a control instance on a loop.  Fails when its address can't be
 * listened on; a replica that can't be opened is retried later.
 */
enum status
core_open(
    uv_loop_t *loop, const struct core_settings *settings, struct core **out)
{
	struct core *core = mem_calloc(1, sizeof(*core));
	enum status status;

	core->loop = loop;
	core->settings = *settings;
	core->log_limiter.instance = settings->instance;
	core->roster = roster_new(NULL);
	core_state_init(&core->state, core->roster);
	evacuation_set_init(&core->kept_evacuations);
	register_counters(core);
	core->gone_voters =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	core_propose_open(core);
	core_departures_open(core);
	core_allowance_open(core);
	core_crash_open(core);
	status = core_link_open(core);
	if (status != STATUS_OK) {
		close_parts(core);
		mem_free(core);
		return status;
	}
	uv_async_init(loop, &core->log_synced, on_log_synced);
	core_cache_load(core);
	if (core_replica_open(core) != STATUS_OK)
		log_error("replica_not_opened", "instance=%s reason=\"%s\"",
		    settings->instance, status_message());
	uv_timer_init(loop, &core->timer);
	uv_prepare_init(loop, &core->prepare);
	core->timer.data = core->prepare.data = core;
	uv_timer_start(&core->timer, on_tick, 0, TICK_MS);
	uv_prepare_start(&core->prepare, on_prepare);
	*out = core;
	return STATUS_OK;
}

/*
 * Applies those settings that may change at run time.
 */
void
core_reload(struct core *core, const struct core_settings *settings)
{
	core->settings.seeds = settings->seeds;
	core->settings.seed_count = settings->seed_count;
	core->settings.losses = settings->losses;
	core->settings.target_kept_ms = settings->target_kept_ms;
}

/*
 * Closes all handles of a control instance.
 */
void
core_close(struct core *core)
{
	if (core == NULL)
		return;
	uv_close((uv_handle_t *)&core->timer, NULL);
	uv_close((uv_handle_t *)&core->prepare, NULL);
	close_parts(core);
	uv_close((uv_handle_t *)&core->log_synced, NULL);
}

/*
 * Frees a control instance whose handles are closed.
 */
void
core_free(struct core *core)
{
	mem_free(core);
}

/*
 * Applies an announcement that a target sent to this instance.
 */
void
core_announce(struct core *core, const struct roster_target *target)
{
	counter_add(core->announcements, 1);
	core_apply_announcement(core, target);
}

/*
 * Counts an announcement that was refused at its decoding.  Returns whether to
 * log it: the first of its target in a minute, of a bounded number of targets.
 */
bool
core_refuse_announcement(struct core *core, const char *id)
{
	counter_add(core->refused, 1);
	return minute_log_allow(&core->refused_log, id, clock_boot_us());
}

/*
 * Counts a call of a target that has no effect, since it comes from an earlier
 * start or from one that has departed.  Returns whether to log it, as above.
 */
bool
core_ignore_call(struct core *core, const char *id)
{
	counter_add(core->ignored, 1);
	return minute_log_allow(&core->ignored_log, id, clock_boot_us());
}

/*
 * Returns what this instance knows of targets.
 */
const struct roster *
core_roster(const struct core *core)
{
	return core->roster;
}
