#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "core/core_internal.h"
#include "roster/announcement.h"
#include "wire/fleet_bounds.h"

enum {
	/* Until a disconnected neighbour that no peer names is dropped. */
	NEIGHBOUR_EXPIRY_MS = 60 * 1000,
	MEMBERS_MS = 1000,
	NEIGHBOURS_MAX = 32
};

/*
 * Returns a peer's instance name for logs, "?" before its hello.
 */
static const char *
peer_name(const struct core_peer *peer)
{
	return peer->hello != NULL ? peer->hello->instance : "?";
}

static void
peer_free(void *value)
{
	struct core_peer *peer = value;

	if (peer->hello != NULL)
		fleet__hello__free_unpacked(peer->hello, NULL);
	mem_free(peer);
}

/*
 * Handles the first hello of a peer, or a later one that updates its state.
 */
static void
on_hello(struct core *core, struct core_peer *peer, const Fleet__Hello *hello)
{
	bool first = !peer->hello_received;
	bool subscribes = hello->wants_all && !peer->wants_all;

	if (peer->hello != NULL)
		fleet__hello__free_unpacked(peer->hello, NULL);
	peer->hello = core_copy_hello(hello);
	peer->hello_received = true;
	peer->is_control = hello->is_control;
	peer->wants_all = hello->wants_all || hello->is_control;
	peer->replica = hello->replica;
	if (first && core_may_log(core)) {
		log_info("peer_connected",
		    "instance=%s peer=%s control=%d replica=%" PRIu64
		    " failure_domain=%s",
		    core->settings.instance, peer_name(peer), peer->is_control,
		    peer->replica, hello->failure_domain);
	}
	peer->initial_state_due =
	    peer->initial_state_due || first || subscribes;
	core->entry_count += first && !peer->is_control ? 1 : 0;
	if (!peer->is_control) {
		core_publish_entry(core, peer->hello, false);
		return;
	}
	if (hello->replica != 0) {
		guint64 *key = g_new(guint64, 1);

		*key = hello->replica;
		g_hash_table_replace(
		    core->addresses, key, g_strdup(hello->link_address));
	}
	/* What entries report to an instance without a log, it passes on. */
	if (hello->replica != 0)
		(void)core_neighbour(core, hello->link_address);
}

/*
 * Applies a target's announcement, sent to this instance or to another one,
 * and publishes it if it changes anything.
 */
void
core_apply_announcement(struct core *core, const struct roster_target *target)
{
	if (!roster_announce(core->roster, target))
		return;
	if (core_may_log(core))
		log_info("target",
		    "instance=%s target=%s service=%s address=%s "
		    "failure_domain=%s "
		    "started=%" PRIu64 " sequence=%" PRIu64 " slots=%u",
		    core->settings.instance, target->id, target->service,
		    target->address, target->failure_domain, target->started_ms,
		    target->sequence, target->slots);
	core->cache_dirty = true;
	core_publish_target(core, target);
}

/*
 * Applies an announcement received over the wire or read from the cache.
 */
void
core_on_announcement(struct core *core, const Fleet__Announcement *message)
{
	struct roster_target target;

	if (announcement_read(message, clock_boot_us(), &target))
		core_apply_announcement(core, &target);
	else if (core_refuse_announcement(core, message->id))
		log_warn("announcement_refused", "instance=%s target=%.*s",
		    core->settings.instance, ROSTER_NAME_BYTES, message->id);
}

/*
 * Records the members that one of them has named.  What other instances name
 * may be older.
 */
static void
record_members(struct core *core, const Fleet__Members *members)
{
	if (members->voters == 0)
		return;
	g_ptr_array_set_size(core->reported_members, 0);
	for (size_t i = 0; i < members->n_address; i++)
		g_ptr_array_add(
		    core->reported_members, g_strdup(members->address[i]));
}

/*
 * Connects to the instances that another one names.
 */
static void
on_members(struct core *core, const Fleet__Members *members)
{
	record_members(core, members);
	for (size_t i = 0; i < members->n_address; i++) {
		struct core_neighbour *neighbour =
		    core_neighbour(core, members->address[i]);

		if (neighbour != NULL)
			neighbour->last_named_us = clock_boot_us();
	}
	if (members->leader_address[0] != '\0')
		snprintf(core->leader_address, sizeof(core->leader_address),
		    "%s", members->leader_address);
}

/*
 * Records a departure on an instance without a log and passes it on to
 * entries; others get it from the log.
 */
static void
on_departure(struct core *core, const Fleet__Departure *message)
{
	const struct roster_departure departure = {
	    .id = message->id,
	    .started_ms = message->started_ms,
	    .born_ms =
		message->born_ms != 0 ? message->born_ms : message->started_ms,
	    .recorded_ms = message->recorded_ms,
	    .known_us = clock_boot_us(),
	};

	if (core->settings.data == NULL &&
	    roster_depart(core->roster, &departure))
		core_relay_departure(core, &departure);
}

/*
 * Confirms a document: the sender may send a newer one.
 */
static void
confirm_document(struct channel *to, uint64_t index)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__DocumentReceived received = FLEET__DOCUMENT_RECEIVED__INIT;

	received.index = index;
	frame.body_case = FLEET__FRAME__BODY_DOCUMENT_RECEIVED;
	frame.document_received = &received;
	channel_send(to, &frame);
}

/*
 * Stores a newer document on an instance without a log and passes it on to
 * entries; others get it from the log.
 */
static void
on_document(
    struct core *core, struct channel *from, const Fleet__Document *document)
{
	confirm_document(from, document->index);
	if (core->settings.data != NULL ||
	    document->index <= core->state.document_index)
		return;
	core->state.document_index = document->index;
	core->state.version = document->version;
	str_buf_clear(&core->state.text);
	str_buf_append(&core->state.text,
	    str_of((const char *)document->text.data, document->text.len));
	log_info("document",
	    "instance=%s index=%" PRIu64 " version=%" PRIu64
	    " bytes=%zu from=%s",
	    core->settings.instance, document->index, document->version,
	    document->text.len, channel_address(from));
	core_relay_document(core);
	core_on_applied(core, document->index, 0, CORE_UNAVAILABLE);
}

/*
 * Records a request to join; only the leader acts on it.
 */
static void
on_join(struct core *core, const Fleet__Join *join)
{
	group_keeper_on_join(
	    &core->keeper, join->replica, join->address, clock_boot_us());
}

/*
 * Notifies a replica of its removal, so that it joins under a new id.
 */
static void
send_removed(const struct core_peer *peer)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Removed removed = FLEET__REMOVED__INIT;

	removed.replica = peer->replica;
	frame.body_case = FLEET__FRAME__BODY_REMOVED;
	frame.removed = &removed;
	channel_send(peer->channel, &frame);
}

/*
 * Tells the sender of a message for another replica that this one has its
 * address.
 */
static void
send_denied(const struct core_peer *peer, uint64_t replica)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Denied denied = FLEET__DENIED__INIT;

	denied.replica = replica;
	frame.body_case = FLEET__FRAME__BODY_DENIED;
	frame.denied = &denied;
	channel_send(peer->channel, &frame);
}

/*
 * Counts a frame with a wrong field, and logs the field.
 */
static void
count_refused(struct core *core, const struct channel *channel,
    const Fleet__Frame *frame, const char *field)
{
	counter_add(core->messages_refused, 1);
	if (minute_log_allow(
		&core->messages_log, channel_address(channel), clock_boot_us()))
		log_warn("message_refused",
		    "instance=%s from=%s kind=%d field=%s",
		    core->settings.instance, channel_address(channel),
		    (int)frame->body_case, field);
}

/*
 * Passes on a message of another replica, unless it was removed or the
 * message is for another id.
 */
static void
on_replica(struct core *core, struct core_peer *peer, const Fleet__Frame *frame)
{
	enum group_verdict verdict;

	if (peer == NULL || peer->replica == 0)
		return;
	verdict = group_judge_message(&core->info,
	    core_has_lease(core, clock_boot_us()), core->replica_id,
	    peer->replica, frame->replica_to);
	switch (verdict) {
	case GROUP_TELL_REMOVED:
		send_removed(peer);
		return;
	case GROUP_DENY:
		/* Without an open replica, the id in the folder may change. */
		if (core->replica != NULL && !core->rejoin_due)
			send_denied(peer, frame->replica_to);
		return;
	case GROUP_TAKE:
		if (core_replica_message(
			core, peer->replica, &frame->replica) != STATUS_OK)
			count_refused(
			    core, peer->channel, frame, status_message());
		return;
	}
}

/*
 * Schedules a rejoin under a new id after the leader has reported this
 * replica as removed.
 */
static void
on_removed(struct core *core, const Fleet__Removed *removed)
{
	if (core->replica == NULL || removed->replica != core->replica_id ||
	    core->info.member_count == 0)
		return;
	log_warn("removed_from_group",
	    "instance=%s replica=%" PRIu64 " next=join_anew",
	    core->settings.instance, core->replica_id);
	core->rejoin_due = true;
	core->reopen_us = 0;
}

/*
 * Records that another replica runs at the address of a member, unless the
 * answer comes from elsewhere.
 */
static void
on_denied(struct core *core, const struct channel *channel,
    const Fleet__Denied *denied)
{
	for (unsigned i = 0; i < core->info.member_count; i++) {
		const struct replica_member *member = &core->info.members[i];

		if (member->id == denied->replica &&
		    strcmp(member->address, channel_address(channel)) == 0)
			group_keeper_on_denied(
			    &core->keeper, member->id, clock_boot_us());
	}
}

/*
 * Returns whether a frame has a field out of its bounds, which is counted and
 * logged.
 */
static bool
refuse_frame(
    struct core *core, const struct channel *channel, const Fleet__Frame *frame)
{
	const char *field = fleet_frame_fault(frame);

	if (field != NULL)
		count_refused(core, channel, frame, field);
	return field != NULL;
}

/*
 * Handles a frame from a peer (accepted channel) or from a neighbour
 * (dialled channel; peer is NULL).
 */
static void
dispatch(struct core *core, struct core_peer *peer, struct channel *channel,
    const Fleet__Frame *frame)
{
	if (refuse_frame(core, channel, frame))
		return;
	switch (frame->body_case) {
	case FLEET__FRAME__BODY_HELLO:
		if (peer != NULL)
			on_hello(core, peer, frame->hello);
		break;
	case FLEET__FRAME__BODY_REPLICA:
		on_replica(core, peer, frame);
		break;
	case FLEET__FRAME__BODY_PROPOSE:
		core_on_propose(core, channel, frame->propose);
		break;
	case FLEET__FRAME__BODY_RESULT:
		core_on_result(core, frame->result);
		break;
	case FLEET__FRAME__BODY_READ:
		core_on_read(core, channel, frame->read);
		break;
	case FLEET__FRAME__BODY_ANNOUNCEMENT:
		core_on_announcement(core, frame->announcement);
		break;
	case FLEET__FRAME__BODY_DEPARTURE:
		if (peer != NULL && peer->hello_received && !peer->is_control)
			core_on_asked_departure(core, peer, frame->departure);
		else
			on_departure(core, frame->departure);
		break;
	case FLEET__FRAME__BODY_DOCUMENT:
		on_document(core, channel, frame->document);
		break;
	case FLEET__FRAME__BODY_MEMBERS:
		on_members(core, frame->members);
		break;
	case FLEET__FRAME__BODY_JOIN:
		on_join(core, frame->join);
		break;
	case FLEET__FRAME__BODY_REMOVED:
		on_removed(core, frame->removed);
		break;
	case FLEET__FRAME__BODY_DENIED:
		if (peer == NULL)
			on_denied(core, channel, frame->denied);
		break;
	case FLEET__FRAME__BODY_FETCH:
		if (peer != NULL && peer->hello_received)
			core_on_fetch(core, peer);
		break;
	case FLEET__FRAME__BODY_DOCUMENT_RECEIVED:
		if (peer != NULL)
			core_on_document_received(
			    core, peer, frame->document_received);
		break;
	case FLEET__FRAME__BODY_ENTRY:
		core_on_entry(core, channel, frame->entry);
		break;
	case FLEET__FRAME__BODY_SYNCED:
		core_on_synced(core, channel);
		break;
	case FLEET__FRAME__BODY_ESTIMATE:
		core_on_estimate(core, frame->estimate);
		break;
	case FLEET__FRAME__BODY_HEARD:
		core_on_heard(core, channel, frame->heard);
		break;
	case FLEET__FRAME__BODY_UNKNOWN:
		if (peer == NULL || peer->hello_received)
			core_on_unknown(core, channel, frame->unknown);
		break;
	case FLEET__FRAME__BODY_EVACUATIONS:
		if (peer == NULL || peer->is_control)
			core_on_evacuations(core, frame->evacuations);
		break;
	case FLEET__FRAME__BODY_DRAW:
		if (peer != NULL && peer->hello_received)
			core_on_draw(core, peer, frame->draw);
		break;
	case FLEET__FRAME__BODY_DRAW_RETURN:
		if (peer != NULL && peer->hello_received)
			core_on_draw_return(core, peer, frame->draw_return);
		break;
	case FLEET__FRAME__BODY_CRASH:
		if (peer != NULL && peer->hello_received)
			core_on_crash(core, frame->crash);
		break;
	case FLEET__FRAME__BODY_QUARANTINE:
		core_on_quarantine(core, frame->quarantine);
		break;
	case FLEET__FRAME__BODY_DRAW_RESULT:
	case FLEET__FRAME__BODY_PING:
	case FLEET__FRAME__BODY__NOT_SET:
	case _FLEET__FRAME__BODY__CASE_IS_INT_SIZE:
		break;
	}
}

/*
 * Creates the peer of an accepted channel.
 */
static void
on_accepted(void *ctx, struct channel *channel)
{
	struct core *core = ctx;
	struct core_peer *peer = mem_calloc(1, sizeof(*peer));

	peer->channel = channel;
	channel_set_user(channel, peer);
	g_ptr_array_add(core->peers, peer);
}

static void
on_peer_message(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	dispatch(ctx, channel_user(channel), channel, frame);
}

/*
 * Returns whether the entry of a closed link is connected by another one: it
 * was started again before the link of its earlier start was found to be dead.
 */
static bool
is_connected_again(const struct core *core, const struct core_peer *gone)
{
	const char *address = gone->hello->datagram_address;

	for (guint i = 0; i < core->peers->len; i++) {
		const struct core_peer *peer = core->peers->pdata[i];

		if (peer != gone && peer->hello_received && !peer->is_control &&
		    strcmp(peer->hello->datagram_address, address) == 0)
			return true;
	}
	return false;
}

/*
 * Removes the peer of a closed channel, and publishes that its entry is
 * gone.
 */
static void
on_peer_closed(void *ctx, struct channel *channel, const char *reason)
{
	struct core *core = ctx;
	struct core_peer *peer = channel_user(channel);

	core_drop_channel_requests(core, channel);
	if (peer == NULL)
		return;
	if (core_may_log(core))
		log_info("peer_lost", "instance=%s peer=%s reason=\"%s\"",
		    core->settings.instance, peer_name(peer), reason);
	peer->channel = NULL;
	if (peer->hello_received && !peer->is_control) {
		peer->hello_received = false;
		core->entry_count--;
		if (!is_connected_again(core, peer))
			core_publish_entry(core, peer->hello, true);
	}
	g_ptr_array_remove_fast(core->peers, peer);
}

/*
 * Returns the id of the replica, 0 while it is not open.
 */
static uint64_t
open_replica_id(const struct core *core)
{
	return core->replica != NULL ? core->replica_id : 0;
}

/*
 * Sends this instance's hello to a neighbour when its channel opens.
 */
static void
on_dialled(void *ctx, struct channel *channel)
{
	struct core *core = ctx;
	struct core_neighbour *neighbour =
	    g_hash_table_lookup(core->neighbours, channel_address(channel));
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Hello hello = FLEET__HELLO__INIT;

	if (neighbour != NULL && !neighbour->synced)
		core_drop_entries_from(core, neighbour);
	hello.is_control = true;
	hello.instance = (char *)core->settings.instance;
	hello.failure_domain = (char *)core->settings.failure_domain;
	hello.link_address = (char *)core->settings.link_address;
	hello.replica = open_replica_id(core);
	frame.body_case = FLEET__FRAME__BODY_HELLO;
	frame.hello = &hello;
	channel_send(channel, &frame);
}

static void
on_neighbour_message(
    void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	dispatch(ctx, NULL, channel, frame);
}

/*
 * Handles a closed channel to a neighbour, which is dialled again.
 */
static void
on_neighbour_closed(void *ctx, struct channel *channel, const char *reason)
{
	struct core *core = ctx;
	struct core_neighbour *neighbour =
	    g_hash_table_lookup(core->neighbours, channel_address(channel));

	core_drop_channel_requests(core, channel);
	if (neighbour != NULL)
		neighbour->synced = false;
	log_info("neighbour_lost", "instance=%s address=%s reason=\"%s\"",
	    core->settings.instance, channel_address(channel), reason);
}

static void
neighbour_free(void *value)
{
	struct core_neighbour *neighbour = value;

	channel_close(neighbour->channel);
	mem_free(neighbour);
}

/*
 * Returns another instance by its link address, dialling it at first use.
 * NULL for this instance's own address, an empty one, or when NEIGHBOURS_MAX
 * is reached.
 */
struct core_neighbour *
core_neighbour(struct core *core, const char *address)
{
	struct core_neighbour *neighbour =
	    g_hash_table_lookup(core->neighbours, address);
	const struct channel_callbacks callbacks = {
	    .ctx = core,
	    .opened = on_dialled,
	    .message = on_neighbour_message,
	    .closed = on_neighbour_closed,
	};

	if (neighbour != NULL ||
	    strcmp(address, core->settings.link_address) == 0 ||
	    address[0] == '\0' ||
	    g_hash_table_size(core->neighbours) >= NEIGHBOURS_MAX)
		return neighbour;
	neighbour = mem_calloc(1, sizeof(*neighbour));
	snprintf(neighbour->address, sizeof(neighbour->address), "%s", address);
	neighbour->last_named_us = clock_boot_us();
	neighbour->bit = core->next_neighbour_bit++ % 64;
	neighbour->channel = channel_dial(core->loop, address, &callbacks);
	g_hash_table_insert(core->neighbours, neighbour->address, neighbour);
	return neighbour;
}

/*
 * Sends a new hello to all neighbours after the replica was opened or closed.
 */
static void
resend_hello(struct core *core)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->neighbours);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		on_dialled(core, ((struct core_neighbour *)value)->channel);
}

/*
 * Returns whether a disconnected neighbour was not named for
 * NEIGHBOUR_EXPIRY_MS; for g_hash_table_foreach_remove().
 */
static gboolean
is_neighbour_expired(void *key ATTR_UNUSED, void *value, void *ctx)
{
	const struct core_neighbour *neighbour = value;
	const uint64_t *now_us = ctx;

	return !channel_is_open(neighbour->channel) &&
	    *now_us - neighbour->last_named_us >
	    NEIGHBOUR_EXPIRY_MS * US_PER_MS;
}

/*
 * Dials seeds and members, drops expired neighbours, and sends the list of
 * members.
 */
void
core_link_tick(struct core *core, uint64_t now_us)
{
	for (unsigned i = 0; i < core->settings.seed_count; i++)
		(void)core_neighbour(core, core->settings.seeds[i]);
	for (unsigned i = 0; i < core->info.member_count; i++)
		(void)core_neighbour(core, core->info.members[i].address);
	if (core->announced_replica_id != open_replica_id(core)) {
		core->announced_replica_id = open_replica_id(core);
		resend_hello(core);
	}
	if (now_us < core->next_members_us)
		return;
	core->next_members_us = now_us + MEMBERS_MS * US_PER_MS;
	g_hash_table_foreach_remove(
	    core->neighbours, is_neighbour_expired, &now_us);
	core_push_members(core);
}

/*
 * Listens for peers.
 */
enum status
core_link_open(struct core *core)
{
	const struct channel_callbacks callbacks = {
	    .ctx = core,
	    .opened = on_accepted,
	    .message = on_peer_message,
	    .closed = on_peer_closed,
	};

	core->peers = g_ptr_array_new_with_free_func(peer_free);
	core->reported_members = g_ptr_array_new_with_free_func(g_free);
	core->neighbours = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, neighbour_free);
	core->entries = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, core_entry_free);
	core->addresses =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	core->listener =
	    channel_listen(core->loop, core->settings.link_address, &callbacks);
	return core->listener != NULL ? STATUS_OK : STATUS_IO;
}

/*
 * Closes all channels.
 */
void
core_link_close(struct core *core)
{
	channel_listener_close(core->listener);
	core_push_close(core);
	g_hash_table_destroy(core->neighbours);
	for (guint i = 0; i < core->peers->len; i++) {
		struct core_peer *peer = core->peers->pdata[i];

		channel_set_user(peer->channel, NULL);
		channel_close(peer->channel);
	}
	g_ptr_array_free(core->peers, TRUE);
	g_ptr_array_free(core->reported_members, TRUE);
	g_hash_table_destroy(core->entries);
	g_hash_table_destroy(core->addresses);
}
