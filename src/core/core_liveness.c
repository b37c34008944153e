/*
 * Expiry of targets.  A target reports to one control instance at a time;
 * the other instances and the entries learn from short lists that it is
 * alive.
 */
#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "core/core_internal.h"

enum {
	/*
	 * Lists to entries include targets reported within this many intervals.
	 */
	MISSED_LISTS_MAX = 2
};

struct live_list {
	GArray *hashes; /* of uint32_t */
	uint64_t since_us;
	bool reported_here; /* only targets that report to this instance */
};

/*
 * Adds a target's id hash to a list if the target was reported since the
 * list's time; for roster_for_each().
 */
static void
add_if_reported(void *ctx, struct roster_target *target)
{
	struct live_list *live_list = ctx;
	uint64_t at = live_list->reported_here ? target->reported_us
					       : target->last_seen_us;
	uint32_t hash = roster_id_hash(target->id);

	if (at != 0 && at >= live_list->since_us)
		g_array_append_val(live_list->hashes, hash);
}

/*
 * Returns a frame with the targets reported since a time; NULL when there
 * are none.
 */
static struct packed_frame *
pack_live_list(const struct core *core, uint64_t since_us, bool reported_here)
{
	struct live_list live_list = {
	    .hashes = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
	    .since_us = since_us,
	    .reported_here = reported_here,
	};
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Heard heard = FLEET__HEARD__INIT;
	struct packed_frame *packed = NULL;

	roster_for_each(core->roster, add_if_reported, &live_list);
	heard.n_target = live_list.hashes->len;
	heard.target = (uint32_t *)(void *)live_list.hashes->data;
	frame.body_case = FLEET__FRAME__BODY_HEARD;
	frame.heard = &heard;
	if (heard.n_target > 0)
		packed = channel_pack(&frame);
	g_array_free(live_list.hashes, TRUE);
	return packed;
}

/*
 * Sends control instances the targets that report to this one and entries
 * all targets.  A report received from another instance is not forwarded to
 * a third one, since it would circulate forever.
 */
static void
send_live_lists(struct core *core, uint64_t now_us, uint64_t interval_us)
{
	struct packed_frame *reported_here, *all;
	GHashTableIter iter;
	gpointer value;

	reported_here = pack_live_list(core, now_us - interval_us, true);
	all = pack_live_list(
	    core, now_us - MISSED_LISTS_MAX * interval_us, false);
	/* Backwards: a peer with a full queue is removed. */
	for (guint i = core->peers->len; i > 0; i--) {
		const struct core_peer *peer = core->peers->pdata[i - 1];
		struct packed_frame *packed =
		    peer->is_control ? reported_here : all;

		if (peer->hello_received && peer->wants_all && packed != NULL)
			channel_send_packed(peer->channel, packed);
	}
	/*
	 * Other instances do not connect to one without a disk, so it sends
	 * over its own connections to them.
	 */
	g_hash_table_iter_init(&iter, core->neighbours);
	while (core->settings.data == NULL && reported_here != NULL &&
	    g_hash_table_iter_next(&iter, NULL, &value))
		channel_send_packed(
		    ((struct core_neighbour *)value)->channel, reported_here);
	if (reported_here != NULL)
		packed_frame_put(reported_here);
	if (all != NULL)
		packed_frame_put(all);
}

/*
 * Sends the lists of live targets when they are due, and removes expired
 * targets.
 */
void
core_liveness_tick(struct core *core, uint64_t now_us)
{
	uint64_t kept_us = core->settings.target_kept_ms * US_PER_MS;
	uint64_t interval_us = kept_us / ROSTER_LISTS_PER_EXPIRY;

	roster_expire(core->roster, now_us, kept_us);
	if (now_us < core->liveness_due_us || now_us < kept_us)
		return;
	core->liveness_due_us = now_us + interval_us;
	send_live_lists(core, now_us, interval_us);
}

/*
 * Refreshes the targets in another instance's list, and asks it for those that
 * are not known here.  They may have expired here alone, and the other one
 * announces a target only when something about it changes.
 */
void
core_on_heard(
    struct core *core, struct channel *channel, const Fleet__Heard *heard)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Unknown message = FLEET__UNKNOWN__INIT;
	GArray *unknown = roster_refresh(
	    core->roster, heard->target, heard->n_target, clock_boot_us());

	if (unknown->len > 0) {
		message.n_target = unknown->len;
		message.target = (uint32_t *)(void *)unknown->data;
		frame.body_case = FLEET__FRAME__BODY_UNKNOWN;
		frame.unknown = &message;
		channel_send(channel, &frame);
	}
	g_array_free(unknown, TRUE);
}

struct asked_targets {
	GHashTable *hashes;
	struct str_buf batch;
	unsigned count;
};

static void
add_if_asked(void *ctx, struct roster_target *target)
{
	struct asked_targets *asked = ctx;
	uint32_t hash = roster_id_hash(target->id);

	if (!g_hash_table_contains(asked->hashes, GUINT_TO_POINTER(hash)))
		return;
	core_batch_target(&asked->batch, target);
	asked->count++;
}

/*
 * Announces targets again to an instance that has heard of them in a list and
 * doesn't know them.
 */
void
core_on_unknown(
    struct core *core, struct channel *channel, const Fleet__Unknown *unknown)
{
	struct asked_targets asked = {
	    .hashes = g_hash_table_new(NULL, NULL),
	};
	struct packed_frame *packed;

	for (size_t i = 0; i < unknown->n_target; i++)
		g_hash_table_add(
		    asked.hashes, GUINT_TO_POINTER(unknown->target[i]));
	roster_for_each(core->roster, add_if_asked, &asked);
	if (core_may_log(core))
		log_info("targets_announced_again",
		    "instance=%s to=%s asked=%zu known=%u",
		    core->settings.instance, channel_address(channel),
		    unknown->n_target, asked.count);
	if (asked.count > 0) {
		packed = channel_pack_batch(&asked.batch);
		channel_send_packed(channel, packed);
		packed_frame_put(packed);
	}
	str_buf_free(&asked.batch);
	g_hash_table_destroy(asked.hashes);
}
