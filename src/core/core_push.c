#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "core/core_internal.h"
#include "roster/candidate.h"
#include "wire/fleet_bounds.h"

/*
 * Sends a packed frame to all peers that have sent their hello, or only to the
 * entries among them.
 */
static void
send_to_peers(
    const struct core *core, struct packed_frame *packed, bool to_control)
{
	/* Backwards: a peer with a full queue is removed. */
	for (guint i = core->peers->len; i > 0; i--) {
		const struct core_peer *peer = core->peers->pdata[i - 1];

		if (peer->hello_received && (to_control || !peer->is_control))
			channel_send_packed(peer->channel, packed);
	}
}

/*
 * Sends a packed frame to these peers, and drops the reference.
 */
static void
broadcast(const struct core *core, struct packed_frame *packed, bool to_control)
{
	send_to_peers(core, packed, to_control);
	packed_frame_put(packed);
}

/*
 * Sends a batch to all peers and clears it.
 */
void
core_broadcast(struct core *core, struct str_buf *batch)
{
	broadcast(core, channel_pack_batch(batch), true);
	str_buf_free(batch);
}

/*
 * Appends a departure to a batch.
 */
static void
batch_departure(struct str_buf *batch, const struct roster_departure *departure)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Departure message = FLEET__DEPARTURE__INIT;

	message.id = departure->id;
	message.started_ms = departure->started_ms;
	message.born_ms = departure->born_ms;
	message.recorded_ms = departure->recorded_ms;
	frame.body_case = FLEET__FRAME__BODY_DEPARTURE;
	frame.departure = &message;
	channel_batch_append(batch, &frame);
}

static struct packed_frame *
pack_departure(const struct roster_departure *departure)
{
	struct str_buf batch = {0};
	struct packed_frame *packed;

	batch_departure(&batch, departure);
	packed = channel_pack_batch(&batch);
	str_buf_free(&batch);
	return packed;
}

/*
 * Queues a departure for all peers.
 */
void
core_queue_departure(
    struct core *core, const struct roster_departure *departure)
{
	batch_departure(&core->departures_due, departure);
}

/*
 * Drops the kept document once the log has caught up.  If it is newer than the
 * log's, it is of another group, whose indexes mean nothing here.
 */
static void
release_kept_document(struct core *core)
{
	if (core->kept.index > core->state.document_index) {
		log_warn("cache_dropped",
		    "instance=%s index=%" PRIu64 " in_log=%" PRIu64
		    " reason=\"of another group\"",
		    core->settings.instance, core->kept.index,
		    core->state.document_index);
		core_drop_packed_document(core);
		core->sent_index = 0;
		core->document_due = true;
	}
	core_drop_kept_document(core);
}

/*
 * Sends what was applied since the last call: the newest document and all
 * departures.
 */
void
core_push_applied(struct core *core)
{
	if (core->kept.index != 0 && core->replica != NULL &&
	    replica_has_caught_up(core->replica))
		release_kept_document(core);
	if (core->kept_evacuations.index != 0 && core->replica != NULL &&
	    replica_has_caught_up(core->replica))
		core_release_evacuations(core);
	core_push_evacuations(core);
	if (core->document_due) {
		core->document_due = false;
		core_push_document(core);
	}
	if (core->departures_due.len == 0)
		return;
	broadcast(core, channel_pack_batch(&core->departures_due), true);
	str_buf_clear(&core->departures_due);
}

/*
 * Sends a departure to entries only; see core_relay_document() in core_text.c.
 */
void
core_relay_departure(
    struct core *core, const struct roster_departure *departure)
{
	broadcast(core, pack_departure(departure), false);
}

/*
 * Appends a target's announcement to a batch.
 */
void
core_batch_target(struct str_buf *batch, const struct roster_target *target)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Announcement message = FLEET__ANNOUNCEMENT__INIT;
	uint64_t now = clock_boot_us();

	message.id = target->id;
	message.service = target->service;
	message.address = target->address;
	message.failure_domain = target->failure_domain;
	message.started_ms = target->started_ms;
	message.born_ms = target->born_ms;
	message.sequence = target->sequence;
	message.slots = target->slots;
	if (target->warmup_end_us > now)
		message.warm_in_ms =
		    (uint32_t)((target->warmup_end_us - now + US_PER_MS - 1) /
			US_PER_MS);
	frame.body_case = FLEET__FRAME__BODY_ANNOUNCEMENT;
	frame.announcement = &message;
	channel_batch_append(batch, &frame);
}

/*
 * Queues a target's announcement for all subscribers.
 */
void
core_publish_target(struct core *core, const struct roster_target *target)
{
	core_batch_target(&core->updates, target);
}

/*
 * Appends an update of an entry to a batch.
 */
static void
batch_entry(struct str_buf *batch, Fleet__Hello *hello, bool gone)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Entry entry = FLEET__ENTRY__INIT;

	entry.hello = hello;
	entry.gone = gone;
	frame.body_case = FLEET__FRAME__BODY_ENTRY;
	frame.entry = &entry;
	channel_batch_append(batch, &frame);
}

/*
 * Returns whether an entry is published to other entries.  Each update costs
 * bytes to every other entry, so only scheduling candidates are published.
 */
static bool
may_schedule(const struct core *core, const Fleet__Hello *hello)
{
	return is_scheduler_candidate(
	    str_hash(str_from(hello->datagram_address)),
	    hello->processor_millis, core->entry_count,
	    core->most_processor_millis);
}

/*
 * Queues an update of an entry that has connected, changed or disconnected.
 * Control instances get every update, entries only those of scheduling
 * candidates.
 */
void
core_publish_entry(struct core *core, Fleet__Hello *hello, bool gone)
{
	struct str_buf *updates = &core->control_updates;

	if (hello->processor_millis > core->most_processor_millis)
		core->most_processor_millis = hello->processor_millis;
	/* Sent to all: in a smaller fleet it may have been a candidate. */
	if (gone || may_schedule(core, hello))
		updates = &core->updates;
	batch_entry(updates, hello, gone);
}

/*
 * Builds a frame with the link addresses of all known instances that have a
 * disk, and passes it to callback.  An instance that is no member names those
 * that a member has reported: it may be the only one that a new process knows.
 */
static void
with_members_frame(struct core *core,
    void (*callback)(void *ctx, const Fleet__Frame *frame), void *ctx)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Members message = FLEET__MEMBERS__INIT;
	char *addresses[FLEET_CONTROLS_MAX];
	protobuf_c_boolean voters[FLEET_CONTROLS_MAX] = {0};
	size_t count = 0;

	for (unsigned i = 0; i < core->info.member_count; i++) {
		voters[count] = core_allowance_is_holder(core, i);
		addresses[count++] = core->info.members[i].address;
		message.voters += core->info.members[i].voter ? 1 : 0;
	}
	for (guint i = 0; count == 0 && i < core->reported_members->len &&
	     i + 1 < FLEET_CONTROLS_MAX;
	     i++)
		addresses[i] = core->reported_members->pdata[i];
	if (count == 0)
		count =
		    MIN(core->reported_members->len, FLEET_CONTROLS_MAX - 1);
	if (core->settings.data != NULL)
		addresses[count++] = (char *)core->settings.link_address;
	if (core->info.member_count > 0) {
		message.n_voter = count;
		message.voter = voters;
	}
	message.n_address = count;
	message.address = addresses;
	message.leader = core->info.leader;
	message.entries = core->entry_count;
	message.most_millis = core->most_processor_millis;
	message.leader_address = (char *)core_leader_address(core);
	message.relay = core->settings.data == NULL;
	frame.body_case = FLEET__FRAME__BODY_MEMBERS;
	frame.members = &message;
	callback(ctx, &frame);
}

static void
push_frame(void *ctx, const Fleet__Frame *frame)
{
	broadcast(ctx, channel_pack(frame), true);
}

static void
batch_frame(void *ctx, const Fleet__Frame *frame)
{
	channel_batch_append(ctx, frame);
}

/*
 * Sends the list of instances to all peers.
 */
void
core_push_members(struct core *core)
{
	with_members_frame(core, push_frame, core);
}

static void
add_target_to_batch(void *ctx, struct roster_target *target)
{
	core_batch_target(ctx, target);
}

static void
add_departure_to_batch(void *ctx, const struct roster_departure *departure)
{
	batch_departure(ctx, departure);
}

/*
 * Returns the first part of the initial state.  Departures and evacuations
 * precede targets, so that no peer uses a target that it must not use.
 */
static struct packed_frame *
pack_members_and_departures(struct core *core)
{
	struct str_buf batch = {0};
	struct packed_frame *packed;

	with_members_frame(core, batch_frame, &batch);
	core_batch_evacuations(core, &batch);
	core_batch_quarantine(core, &batch);
	roster_for_each_departure(core->roster, add_departure_to_batch, &batch);
	packed = channel_pack_batch(&batch);
	str_buf_free(&batch);
	return packed;
}

static void
add_estimate_to_batch(void *ctx, Fleet__Estimate *estimate)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;

	frame.body_case = FLEET__FRAME__BODY_ESTIMATE;
	frame.estimate = estimate;
	channel_batch_append(ctx, &frame);
}

/*
 * Returns the last part of the initial state: targets and entries for
 * subscribers, and the Synced message that ends it.
 */
static struct packed_frame *
pack_targets_and_entries(
    const struct core *core, bool wants_all, bool is_control)
{
	struct str_buf batch = {0};
	struct packed_frame *packed;
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Synced synced = FLEET__SYNCED__INIT;

	if (wants_all)
		roster_for_each(core->roster, add_target_to_batch, &batch);
	if (wants_all && !is_control)
		core_for_each_estimate(core, add_estimate_to_batch, &batch);
	for (guint i = 0; wants_all && i < core->peers->len; i++) {
		const struct core_peer *other = core->peers->pdata[i];

		if (other->hello_received && !other->is_control &&
		    (is_control || may_schedule(core, other->hello)))
			batch_entry(&batch, other->hello, false);
	}
	synced.all = wants_all;
	frame.body_case = FLEET__FRAME__BODY_SYNCED;
	frame.synced = &synced;
	channel_batch_append(&batch, &frame);
	packed = channel_pack_batch(&batch);
	str_buf_free(&batch);
	return packed;
}

/*
 * Returns whether a peer is still at its place: a send to one with a full queue
 * closes its channel, which frees the peer.
 */
static bool
is_still_at(const struct core *core, guint at, const struct core_peer *peer)
{
	return at < core->peers->len && core->peers->pdata[at] == peer;
}

/*
 * Sends the initial state to new peers and to those that have just
 * subscribed.  All peers of one tick get the same packed frames, since after
 * a restart of the whole fleet every process connects at once.
 */
static void
send_initial_state(struct core *core)
{
	struct packed_frame *first = NULL;
	struct packed_frame *last[3] = {NULL, NULL, NULL};

	/* Backwards: a peer with a full queue is removed. */
	for (guint i = core->peers->len; i > 0; i--) {
		struct core_peer *peer = core->peers->pdata[i - 1];
		struct packed_frame **rest =
		    &last[peer->is_control ? 2 : peer->wants_all];

		if (!peer->initial_state_due)
			continue;
		peer->initial_state_due = false;
		if (first == NULL)
			first = pack_members_and_departures(core);
		if (*rest == NULL)
			*rest = pack_targets_and_entries(
			    core, peer->wants_all, peer->is_control);
		channel_send_packed(peer->channel, first);
		if (is_still_at(core, i - 1, peer))
			core_send_known_document(core, peer);
		if (is_still_at(core, i - 1, peer))
			channel_send_packed(peer->channel, *rest);
	}
	for (int i = 0; i < 3; i++) {
		if (last[i] != NULL)
			packed_frame_put(last[i]);
	}
	if (first != NULL)
		packed_frame_put(first);
}

/*
 * Sends queued updates as one frame to all subscribers, or to control
 * instances only.
 */
static void
push_batch(struct core *core, struct str_buf *updates, bool to_entries)
{
	struct packed_frame *packed;
	GHashTableIter iter;
	gpointer value;

	if (updates->len == 0)
		return;
	packed = channel_pack_batch(updates);
	str_buf_clear(updates);
	/* Backwards: a peer with a full queue is removed. */
	for (guint i = core->peers->len; i > 0; i--) {
		const struct core_peer *peer = core->peers->pdata[i - 1];

		if (peer->hello_received && peer->wants_all &&
		    (to_entries || peer->is_control))
			channel_send_packed(peer->channel, packed);
	}
	/*
	 * Other instances do not connect to one without a disk, so it sends
	 * over its own connections to them.
	 */
	g_hash_table_iter_init(&iter, core->neighbours);
	while (core->settings.data == NULL &&
	    g_hash_table_iter_next(&iter, NULL, &value))
		channel_send_packed(
		    ((struct core_neighbour *)value)->channel, packed);
	packed_frame_put(packed);
}

/*
 * Sends the updates queued since the last tick.
 */
void
core_push_tick(struct core *core)
{
	push_batch(core, &core->updates, true);
	push_batch(core, &core->control_updates, false);
	send_initial_state(core);
}

/*
 * Frees packed frames and queued updates.
 */
void
core_push_close(struct core *core)
{
	core_drop_packed_document(core);
	str_buf_free(&core->departures_due);
	str_buf_free(&core->updates);
	str_buf_free(&core->control_updates);
}
