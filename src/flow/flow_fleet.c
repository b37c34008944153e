/*
 * Role of an entry in the fleet: when it is ready, and which services it
 * schedules.
 */
#include <inttypes.h>
#include <string.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/*
	 * Longest wait for most control instances to synchronize.  A target
	 * that only a few of them have reported so far still gets requests
	 * from the entries that received the report.
	 */
	SYNC_WAIT_MS = 400,
	NO_TARGETS_WAIT_MS = 2000, /* more than a heartbeat interval */
	/* Startup time of the slowest of several entries that start at once. */
	OWNER_WAIT_MS = 2000
};

/* Share of the repeat slack of a service that its scheduler gets. */
#define SCHEDULER_SLACK 0.7
/*
 * Part of a target's limit for all entries that place on their own view: with
 * the scheduler's it makes one and a half times the limit.
 */
#define OWN_VIEW_SHARE 0.5

/*
 * Invalidates the choice of schedulers.  They are chosen again at their next
 * use, owners at the next tick.
 */
void
fleet_invalidate_schedulers(struct flow *flow)
{
	flow->fleet_generation++;
}

/*
 * Returns whether this entry is synchronized enough to serve: most control
 * instances are synchronized, or some time has passed since the first.
 */
static bool
is_synced_enough(const struct flow *flow)
{
	unsigned synced = 0;
	uint64_t waited_us;
	GHashTableIter iter;
	gpointer value;

	if (flow->routes == NULL || flow->first_synced_us == 0)
		return false;
	waited_us = flow_now_us(flow) - flow->first_synced_us;
	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		synced += ((const struct control *)value)->synced ? 1 : 0;
	/*
	 * Without targets it could only reject requests; their reports are on
	 * the way.
	 */
	if (g_hash_table_size(flow->pools) == 0)
		return waited_us > NO_TARGETS_WAIT_MS * US_PER_MS;
	return synced * 2 > g_hash_table_size(flow->controls) ||
	    waited_us > SYNC_WAIT_MS * US_PER_MS;
}

/*
 * Sets the repeat limits of a placement: most of the slack goes to the
 * scheduler, a little to each entry that may have to place requests alone.
 */
static void
set_limits(struct flow *flow, struct service *service)
{
	double parts = service->parts;
	struct repeat_limits limits = flow->settings.repeats;

	if (service->owner)
		limits.slack *= SCHEDULER_SLACK / parts;
	else
		limits.slack *= (1 - SCHEDULER_SLACK) / parts /
		    (fleet_other_entry_count(flow) + 1);
	placement_set_limits(service->placement, &limits);
	placement_set_own_view_share(service->placement,
	    OWN_VIEW_SHARE / (fleet_other_entry_count(flow) + 1));
	placement_set_hedge_share(
	    service->placement, flow->settings.hedge_share);
	/* Services with few targets are placed by cost alone. */
	placement_set_stay_local(service->placement, parts > 1);
	placement_set_check_timeout(service->placement, parts > 1);
}

/*
 * Makes this entry the scheduler of a service, or ends that, and updates the
 * probes and the repeat limits.
 */
static void
set_owner(struct flow *flow, struct service *service, bool owner)
{
	if (owner != service->owner) {
		log_info("scheduler",
		    "instance=%s service=%s here=%d entries=%u targets=%u",
		    flow->settings.instance, service->name, owner,
		    fleet_other_entry_count(flow), service->pools->len);
		service->owner = owner;
		placement_set_scheduler(
		    service->placement, owner, flow_now_us(flow));
		if (owner)
			placement_take_over(
			    service->placement, flow_now_us(flow));
		for (guint i = 0; i < service->pools->len; i++)
			probe_update(service->pools->pdata[i]);
	}
	set_limits(flow, service);
}

/*
 * Determines which services this entry schedules.  During a simultaneous start
 * only some entries are ready.  This entry waits for connected ones that
 * precede it, so that a service has one owner at a time.
 */
void
fleet_update_owners(struct flow *flow)
{
	bool may_schedule =
	    flow->ready && !flow->stopping && fleet_may_schedule(flow);
	bool during_startup =
	    flow_now_us(flow) - flow->ready_us < OWNER_WAIT_MS * US_PER_MS;
	bool settled = true;
	GHashTableIter iter;
	gpointer value;

	flow_count_scanned(flow, g_hash_table_size(flow->services));
	g_hash_table_iter_init(&iter, flow->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;
		bool owner =
		    may_schedule && fleet_scheduler(flow, service) == NULL;

		if (owner && during_startup &&
		    fleet_expected_scheduler(flow, service) != NULL) {
			owner = false;
			settled = false;
		}
		set_owner(flow, service, owner);
	}
	flow->owners_generation =
	    settled ? flow->fleet_generation : flow->fleet_generation - 1;
}

/*
 * Returns whether no control instance reports an entry any more.
 */
static gboolean
is_peer_gone(void *key ATTR_UNUSED, void *value, void *ctx)
{
	const struct peer_entry *peer_entry = value;
	struct flow *flow = ctx;

	if (peer_entry->sources != 0)
		return FALSE;
	flow->suspect_count -= peer_entry->suspect ? 1 : 0;
	return TRUE;
}

/*
 * Removes entries that are gone and updates the owners, if the set of possible
 * schedulers has changed.
 */
static void
update_fleet(struct flow *flow)
{
	if (flow->owners_generation == flow->fleet_generation)
		return;
	flow_count_scanned(flow, g_hash_table_size(flow->peer_entries));
	if (g_hash_table_foreach_remove(
		flow->peer_entries, is_peer_gone, flow) > 0)
		fleet_invalidate_schedulers(flow);
	fleet_update_owners(flow);
}

/*
 * Removes targets that control has not reported for target_kept_ms.  While no
 * primary is synchronized, missing reports mean nothing.
 */
static void
expire_targets(struct flow *flow, uint64_t now_us)
{
	uint64_t kept_us = flow->settings.target_kept_ms * US_PER_MS;
	bool synced = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct control *control = value;

		synced = synced || (control->primary && control->synced);
	}
	if (!synced)
		flow->synced_since_us = 0;
	else if (flow->synced_since_us == 0)
		flow->synced_since_us = now_us;
	if (synced && now_us - flow->synced_since_us > kept_us)
		roster_expire(flow->roster, now_us, kept_us);
}

/*
 * Periodic work: control instances, readiness, owners of services, document
 * fetches and expiry.
 */
void
fleet_tick(struct flow *flow)
{
	uint64_t now = flow_now_us(flow);
	bool ready = !flow->stopping && (flow->ready || is_synced_enough(flow));

	for (unsigned i = 0; i < flow->settings.seed_count; i++) {
		struct control *control =
		    control_find_or_connect(flow, flow->settings.seeds[i]);

		if (control != NULL)
			control->last_named_us = now;
	}
	controls_expire(flow, now);
	updates_tick(flow, now);
	controls_choose_primaries(flow);
	if (ready != flow->ready) {
		flow->ready = ready;
		flow->ready_us = now;
		fleet_invalidate_schedulers(flow);
		log_info("ready",
		    "instance=%s ready=%d index=%" PRIu64 " targets=%u",
		    flow->settings.instance, ready, flow->document_index,
		    g_hash_table_size(flow->pools));
		fleet_send_hello(flow);
	}
	update_fleet(flow);
	if (flow->ready)
		startup_resume_parked(flow);
	document_fetch(flow, now);
	document_check_lateness(flow, now);
	leaving_tick(flow);
	away_tick(flow);
	cold_tick(flow);
	crash_tick(flow);
	fleet_ping_suspects(flow, now);
	expire_targets(flow, now);
}

/*
 * Creates the tables of the fleet and dials the seeds.
 */
void
fleet_open(struct flow *flow)
{
	const struct roster_callbacks callbacks = {
	    .ctx = flow,
	    .added = service_on_added,
	    .removed = service_on_removed,
	    .warmup = cold_on_report,
	};

	flow->own_address_hash =
	    str_hash(str_from(flow->settings.datagram_address));
	flow->owners_generation = flow->fleet_generation - 1;
	flow->roster = roster_new(&callbacks);
	flow->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, flow_service_free);
	flow->service_sizes = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_size_free);
	flow->peer_entries = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, peer_entry_free);
	flow->controls = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, control_free);
	for (unsigned i = 0; i < flow->settings.seed_count; i++)
		(void)control_find_or_connect(flow, flow->settings.seeds[i]);
}

/*
 * Frees the tables of the fleet.
 */
void
fleet_close(struct flow *flow)
{
	g_hash_table_destroy(flow->controls);
	g_hash_table_destroy(flow->peer_entries);
	g_hash_table_destroy(flow->services);
	g_hash_table_destroy(flow->service_sizes);
	roster_free(flow->roster);
}
