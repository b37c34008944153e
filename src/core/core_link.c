#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "core/core_cache.h"
#include "core/core_internal.h"

enum {
	/* A member that nobody has named for so long is no longer dialled. */
	NEIGHBOUR_FORGET_MS = 60 * 1000,
	MEMBERS_MS = 1000,
	CACHE_MS =
	    500, /* a third of a heartbeat: a burst of news is one write */
	NEIGHBOURS_MAX = 32
};

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
 * Sends a frame to all who have greeted, or to those who want all.
 */
void
core_push(struct core *core, const Fleet__Frame *frame, bool to_everyone)
{
	struct packed_frame *packed = channel_pack(frame);

	for (guint i = 0; i < core->peers->len; i++) {
		const struct core_peer *peer = core->peers->pdata[i];

		if (peer->greeted && (to_everyone || peer->wants_all))
			channel_send_packed(peer->channel, packed);
	}
	channel_packed_put(packed);
}

static void
push_to(struct core *core, const Fleet__Frame *frame, bool to_everyone,
    struct str_buf *batch)
{
	if (batch != NULL)
		channel_batch(batch, frame);
	else
		core_push(core, frame, to_everyone);
}

static bool
is_near(const struct core *core, const struct core_peer *peer)
{
	return strcmp(peer->hello->failure_domain,
		   core->settings.failure_domain) == 0;
}

/*
 * Returns the newest document that may be handed on: of the log, or of the
 * last run while the log does not say.
 */
static Fleet__Document
known_document(const struct core *core)
{
	Fleet__Document document = FLEET__DOCUMENT__INIT;

	if (core->state.document_index == 0 && core->cache != NULL &&
	    core->cache->document != NULL)
		return *core->cache->document;
	document.index = core->state.document_index;
	document.version = core->state.version;
	document.text.data = (uint8_t *)core->state.text.data;
	document.text.len = core->state.text.len;
	return document;
}

static struct packed_frame *
pack_document(const struct core *core, bool with_text)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Document document = known_document(core);

	if (!with_text)
		document.text = (ProtobufCBinaryData){0};
	frame.body_case = FLEET__FRAME__BODY_DOCUMENT;
	frame.document = &document;
	return channel_pack(&frame);
}

/*
 * Tells all of the document in force.  Bytes between failure domains are
 * dear: the text goes to the entries of this one, and to instances that have
 * no log.
 */
void
core_push_document(struct core *core)
{
	struct packed_frame *whole, *named;

	if (known_document(core).index == 0)
		return;
	whole = pack_document(core, true);
	named = pack_document(core, false);
	for (guint i = 0; i < core->peers->len; i++) {
		const struct core_peer *peer = core->peers->pdata[i];

		if (!peer->greeted || (peer->is_control && peer->replica != 0))
			continue;
		channel_send_packed(peer->channel,
		    peer->is_control || is_near(core, peer) ? whole : named);
	}
	channel_packed_put(whole);
	channel_packed_put(named);
}

/*
 * Sends the text of the document to one that has heard of it.
 */
static void
send_document(struct core *core, const struct core_peer *peer)
{
	struct packed_frame *whole;

	if (known_document(core).index == 0)
		return;
	whole = pack_document(core, true);
	channel_send_packed(peer->channel, whole);
	channel_packed_put(whole);
}

/*
 * Sends a departure, to one or to all.
 */
void
core_push_departure(struct core *core, const struct roster_departure *departure,
    struct str_buf *batch)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Departure message = FLEET__DEPARTURE__INIT;

	message.id = departure->id;
	message.started_ms = departure->started_ms;
	message.recorded_ms = departure->recorded_ms;
	frame.body_case = FLEET__FRAME__BODY_DEPARTURE;
	frame.departure = &message;
	push_to(core, &frame, true, batch);
}

/*
 * Sends what a target says of itself, to one or to all.
 */
void
core_push_announcement(struct core *core, const struct roster_target *target,
    struct str_buf *batch)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Announcement message = FLEET__ANNOUNCEMENT__INIT;
	uint64_t now = clock_boot_us();

	message.id = target->id;
	message.service = target->service;
	message.address = target->address;
	message.failure_domain = target->failure_domain;
	message.started_ms = target->started_ms;
	message.sequence = target->sequence;
	message.slots = target->slots;
	if (target->warm_us > now)
		message.warm_in_ms =
		    (uint32_t)((target->warm_us - now) / US_PER_MS);
	frame.body_case = FLEET__FRAME__BODY_ANNOUNCEMENT;
	frame.announcement = &message;
	push_to(core, &frame, false, batch);
}

/*
 * Sends the link addresses of all instances with a disk that are known.
 */
void
core_push_members(struct core *core, struct str_buf *batch)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Members message = FLEET__MEMBERS__INIT;
	char *addresses[REPLICA_MEMBERS_MAX + 1];
	size_t count = 0;

	for (unsigned i = 0; i < core->info.member_count; i++) {
		addresses[count++] = core->info.members[i].address;
		message.voters += core->info.members[i].voter ? 1 : 0;
	}
	if (core->settings.data != NULL)
		addresses[count++] = (char *)core->settings.link_address;
	message.n_address = count;
	message.address = addresses;
	message.leader = core->info.leader;
	message.leader_address = (char *)core_leader_address(core);
	frame.body_case = FLEET__FRAME__BODY_MEMBERS;
	frame.members = &message;
	push_to(core, &frame, true, batch);
}

/*
 * Sends an entry that is connected here or was until now.
 */
static void
push_entry(
    struct core *core, Fleet__Hello *hello, bool gone, struct str_buf *batch)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Entry entry = FLEET__ENTRY__INIT;

	entry.hello = hello;
	entry.gone = gone;
	frame.body_case = FLEET__FRAME__BODY_ENTRY;
	frame.entry = &entry;
	push_to(core, &frame, false, batch);
}

struct greeting {
	struct core *core;
	struct str_buf batch;
};

static void
greet_target(void *ctx, struct roster_target *target)
{
	struct greeting *g = ctx;

	core_push_announcement(g->core, target, &g->batch);
}

static void
greet_departure(void *ctx, const struct roster_departure *departure)
{
	struct greeting *g = ctx;

	core_push_departure(g->core, departure, &g->batch);
}

static void
batch_document(
    struct core *core, const struct core_peer *peer, struct str_buf *batch)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Document document = known_document(core);

	if (document.index == 0 || (peer->is_control && peer->replica != 0))
		return;
	if (!peer->is_control && !is_near(core, peer))
		document.text = (ProtobufCBinaryData){0};
	frame.body_case = FLEET__FRAME__BODY_DOCUMENT;
	frame.document = &document;
	channel_batch(batch, &frame);
}

/*
 * Tells a newcomer, or one that wants more than before, what is known here,
 * in one piece.  Departures go first, so that nobody takes a departed target
 * for a moment.
 */
static void
greet(struct core *core, struct core_peer *peer)
{
	struct greeting g = {.core = core};
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Synced synced = FLEET__SYNCED__INIT;

	core_push_members(core, &g.batch);
	roster_each_departure(core->roster, greet_departure, &g);
	batch_document(core, peer, &g.batch);
	if (peer->wants_all)
		roster_each(core->roster, greet_target, &g);
	for (guint i = 0; peer->wants_all && i < core->peers->len; i++) {
		const struct core_peer *other = core->peers->pdata[i];

		if (other->greeted && !other->is_control)
			push_entry(core, other->hello, false, &g.batch);
	}
	frame.body_case = FLEET__FRAME__BODY_SYNCED;
	frame.synced = &synced;
	channel_batch(&g.batch, &frame);
	channel_send_batch(peer->channel, &g.batch);
	str_buf_free(&g.batch);
}

static Fleet__Hello *
copy_hello(const Fleet__Hello *from)
{
	size_t len = fleet__hello__get_packed_size(from);
	uint8_t *bytes = mem_alloc(len);
	Fleet__Hello *copy;

	fleet__hello__pack(from, bytes);
	copy = fleet__hello__unpack(NULL, len, bytes);
	mem_free(bytes);
	return copy;
}

/*
 * Takes the first word of a peer, or news of its readiness.
 */
static void
on_hello(struct core *core, struct core_peer *peer, const Fleet__Hello *hello)
{
	bool first = !peer->greeted;
	bool more = hello->wants_all && !peer->wants_all;

	if (peer->hello != NULL)
		fleet__hello__free_unpacked(peer->hello, NULL);
	peer->hello = copy_hello(hello);
	peer->greeted = true;
	peer->is_control = hello->is_control;
	peer->wants_all = hello->wants_all || hello->is_control;
	peer->replica = hello->replica;
	if (first) {
		log_info("peer_connected",
		    "instance=%s peer=%s control=%d replica=%" PRIu64
		    " failure_domain=%s",
		    core->settings.instance, peer_name(peer), peer->is_control,
		    peer->replica, hello->failure_domain);
	}
	if (first || more)
		greet(core, peer);
	if (!peer->is_control) {
		push_entry(core, peer->hello, false, NULL);
		return;
	}
	if (hello->replica != 0) {
		guint64 *key = g_new(guint64, 1);

		*key = hello->replica;
		g_hash_table_replace(
		    core->addresses, key, g_strdup(hello->link_address));
	}
	(void)core_neighbour(core, hello->link_address);
}

static void
tell_neighbours(struct core *core, const struct roster_target *target)
{
	struct str_buf batch = {0};
	GHashTableIter iter;
	gpointer value;

	core_push_announcement(core, target, &batch);
	g_hash_table_iter_init(&iter, core->neighbours);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		channel_send_batch(
		    ((struct core_neighbour *)value)->channel, &batch);
	str_buf_free(&batch);
}

/*
 * Takes what a target said of itself to another instance or to this one.
 */
void
core_take_announcement(struct core *core, const struct roster_target *target)
{
	if (!roster_announce(core->roster, target))
		return;
	log_info("target",
	    "instance=%s target=%s service=%s address=%s failure_domain=%s "
	    "started=%" PRIu64 " sequence=%" PRIu64 " slots=%u",
	    core->settings.instance, target->id, target->service,
	    target->address, target->failure_domain, target->started_ms,
	    target->sequence, target->slots);
	core->cache_dirty = true;
	core_push_announcement(core, target, NULL);
	/* Instances without a disk are no neighbours: they dial, and tell. */
	if (core->settings.data == NULL)
		tell_neighbours(core, target);
}

static void
on_announcement(struct core *core, const Fleet__Announcement *message)
{
	uint64_t now = clock_boot_us();
	const struct roster_target target = {
	    .id = message->id,
	    .service = message->service,
	    .address = message->address,
	    .failure_domain = message->failure_domain,
	    .started_ms = message->started_ms,
	    .sequence = message->sequence,
	    .slots = message->slots,
	    .warm_us = now + message->warm_in_ms * US_PER_MS,
	    .heard_us = now,
	};

	core_take_announcement(core, &target);
}

/*
 * Dials the instances that another one names.
 */
static void
on_members(struct core *core, const Fleet__Members *members)
{
	for (size_t i = 0; i < members->n_address; i++) {
		struct core_neighbour *neighbour =
		    core_neighbour(core, members->address[i]);

		if (neighbour != NULL)
			neighbour->seen_us = clock_boot_us();
	}
	if (members->leader_address[0] != '\0')
		snprintf(core->leader_address, sizeof(core->leader_address),
		    "%s", members->leader_address);
}

/*
 * An instance without a replica keeps departures as it is told.
 */
static void
on_departure(struct core *core, const Fleet__Departure *message)
{
	const struct roster_departure departure = {
	    .id = message->id,
	    .started_ms = message->started_ms,
	    .recorded_ms = message->recorded_ms,
	};

	if (core->settings.data == NULL)
		(void)roster_depart(core->roster, &departure);
}

static void
on_document(struct core *core, const Fleet__Document *document)
{
	if (core->settings.data != NULL ||
	    document->index <= core->state.document_index)
		return;
	core->state.document_index = document->index;
	core->state.version = document->version;
	str_buf_clear(&core->state.text);
	str_buf_append(&core->state.text,
	    str_of((const char *)document->text.data, document->text.len));
	core_on_applied(core, document->index, 0, CORE_UNAVAILABLE);
}

/*
 * Takes a request to join; only the leader acts on it.
 */
static void
on_join(struct core *core, const Fleet__Join *join)
{
	core->joiner_id = join->replica;
	core->joiner_us = clock_boot_us();
	snprintf(core->joiner_address, sizeof(core->joiner_address), "%s",
	    join->address);
}

/*
 * Tells a replica that is no member that it was removed, so that it joins
 * anew.  Only the leader knows for certain.
 */
static bool
answer_removed(struct core *core, struct core_peer *peer)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Removed removed = FLEET__REMOVED__INIT;

	if (!core_leads(core, clock_boot_us()))
		return false;
	for (unsigned i = 0; i < core->info.member_count; i++)
		if (core->info.members[i].id == peer->replica)
			return false;
	removed.replica = peer->replica;
	frame.body_case = FLEET__FRAME__BODY_REMOVED;
	frame.removed = &removed;
	channel_send(peer->channel, &frame);
	return true;
}

static void
on_replica(
    struct core *core, struct core_peer *peer, const ProtobufCBinaryData *bytes)
{
	if (peer == NULL || peer->replica == 0 || answer_removed(core, peer))
		return;
	core_replica_message(core, peer->replica, bytes);
}

static void
on_removed(struct core *core, const Fleet__Removed *removed)
{
	if (core->replica == NULL || removed->replica != core->replica_id ||
	    core->info.member_count == 0)
		return;
	log_warn("removed_from_group",
	    "instance=%s replica=%" PRIu64 " next=join_anew",
	    core->settings.instance, core->replica_id);
	core->reset_due = true;
	core->reopen_us = 0;
}

/*
 * Handles a frame of a peer (an accepted channel) or of a neighbour (a
 * dialled one, peer NULL).
 */
static void
dispatch(struct core *core, struct core_peer *peer, struct channel *channel,
    const Fleet__Frame *frame)
{
	switch (frame->body_case) {
	case FLEET__FRAME__BODY_HELLO:
		if (peer != NULL)
			on_hello(core, peer, frame->hello);
		break;
	case FLEET__FRAME__BODY_REPLICA:
		on_replica(core, peer, &frame->replica);
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
		on_announcement(core, frame->announcement);
		break;
	case FLEET__FRAME__BODY_DEPARTURE:
		on_departure(core, frame->departure);
		break;
	case FLEET__FRAME__BODY_DOCUMENT:
		on_document(core, frame->document);
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
	case FLEET__FRAME__BODY_FETCH:
		if (peer != NULL && peer->greeted)
			send_document(core, peer);
		break;
	case FLEET__FRAME__BODY_ENTRY:
	case FLEET__FRAME__BODY_PING:
	case FLEET__FRAME__BODY_SYNCED:
	case FLEET__FRAME__BODY__NOT_SET:
	case _FLEET__FRAME__BODY__CASE_IS_INT_SIZE:
		break;
	}
}

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

static void
on_peer_closed(void *ctx, struct channel *channel, const char *reason)
{
	struct core *core = ctx;
	struct core_peer *peer = channel_user(channel);

	core_forget_channel(core, channel);
	if (peer == NULL)
		return;
	log_info("peer_lost", "instance=%s peer=%s reason=\"%s\"",
	    core->settings.instance, peer_name(peer), reason);
	peer->channel = NULL;
	if (peer->greeted && !peer->is_control) {
		peer->greeted = false;
		push_entry(core, peer->hello, true, NULL);
	}
	g_ptr_array_remove_fast(core->peers, peer);
}

static void
on_dialled(void *ctx, struct channel *channel)
{
	struct core *core = ctx;
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Hello hello = FLEET__HELLO__INIT;

	hello.is_control = true;
	hello.instance = (char *)core->settings.instance;
	hello.failure_domain = (char *)core->settings.failure_domain;
	hello.link_address = (char *)core->settings.link_address;
	hello.replica = core->replica != NULL ? core->replica_id : 0;
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

static void
on_neighbour_closed(void *ctx, struct channel *channel, const char *reason)
{
	struct core *core = ctx;

	core_forget_channel(core, channel);
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
 * Returns another instance by its link address, dialled at the first use;
 * NULL for this one and for more than can be kept.
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
	neighbour->seen_us = clock_boot_us();
	neighbour->channel = channel_dial(core->loop, address, &callbacks);
	g_hash_table_insert(core->neighbours, neighbour->address, neighbour);
	return neighbour;
}

/*
 * Greets all neighbours again, since this replica has a new id.
 */
static void
greet_again(struct core *core)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->neighbours);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		on_dialled(core, ((struct core_neighbour *)value)->channel);
}

static gboolean
is_forgotten(void *key ATTR_UNUSED, void *value, void *ctx)
{
	const struct core_neighbour *neighbour = value;
	const uint64_t *now_us = ctx;

	return !channel_is_open(neighbour->channel) &&
	    *now_us - neighbour->seen_us > NEIGHBOUR_FORGET_MS * US_PER_MS;
}

/*
 * Dials the seeds, forgets who is gone for long, and names the members.
 */
void
core_link_tick(struct core *core, uint64_t now_us)
{
	for (unsigned i = 0; i < core->settings.seed_count; i++)
		(void)core_neighbour(core, core->settings.seeds[i]);
	for (unsigned i = 0; i < core->info.member_count; i++)
		(void)core_neighbour(core, core->info.members[i].address);
	if (core->greeted_as != core->replica_id) {
		core->greeted_as = core->replica_id;
		greet_again(core);
	}
	if (now_us < core->members_us)
		return;
	core->members_us = now_us + MEMBERS_MS * US_PER_MS;
	g_hash_table_foreach_remove(core->neighbours, is_forgotten, &now_us);
	core_push_members(core, NULL);
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
	core->neighbours = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, neighbour_free);
	core->addresses =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	core->heard =
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
	g_hash_table_destroy(core->neighbours);
	for (guint i = 0; i < core->peers->len; i++) {
		struct core_peer *peer = core->peers->pdata[i];

		channel_set_user(peer->channel, NULL);
		channel_close(peer->channel);
	}
	g_ptr_array_free(core->peers, TRUE);
	g_hash_table_destroy(core->addresses);
	g_hash_table_destroy(core->heard);
}

struct snapshot {
	Fleet__Announcement *space;
	Fleet__Announcement **list;
	size_t count;
};

static void
cache_target(void *ctx, struct roster_target *target)
{
	struct snapshot *s = ctx;
	Fleet__Announcement *to = &s->space[s->count];

	fleet__announcement__init(to);
	to->id = target->id;
	to->service = target->service;
	to->address = target->address;
	to->failure_domain = target->failure_domain;
	to->started_ms = target->started_ms;
	to->sequence = target->sequence;
	to->slots = target->slots;
	s->list[s->count++] = to;
}

static void
count_target(void *ctx, struct roster_target *target ATTR_UNUSED)
{
	(*(size_t *)ctx)++;
}

/*
 * Saves the document and the targets for the next start.
 */
void
core_cache_tick(struct core *core, uint64_t now_us)
{
	Fleet__Cache cache = FLEET__CACHE__INIT;
	Fleet__Document document = known_document(core);
	struct snapshot s = {0};
	size_t count = 0;

	if (core->settings.data == NULL || !core->cache_dirty ||
	    now_us < core->cache_us)
		return;
	core->cache_dirty = false;
	core->cache_us = now_us + CACHE_MS * US_PER_MS;
	roster_each(core->roster, count_target, &count);
	s.space = mem_calloc(count, sizeof(*s.space));
	s.list = mem_calloc(count, sizeof(*s.list));
	roster_each(core->roster, cache_target, &s);
	cache.document = &document;
	cache.n_announcement = s.count;
	cache.announcement = s.list;
	if (core_cache_write(core->settings.data, &cache) != STATUS_OK)
		log_warn("cache_not_written", "instance=%s reason=\"%s\"",
		    core->settings.instance, status_message());
	mem_free(s.list);
	mem_free(s.space);
}

/*
 * Takes over what the last run knew.
 */
void
core_cache_load(struct core *core)
{
	if (core->settings.data == NULL)
		return;
	core->cache = core_cache_read(core->settings.data);
	if (core->cache == NULL)
		return;
	for (size_t i = 0; i < core->cache->n_announcement; i++)
		on_announcement(core, core->cache->announcement[i]);
	core->cache_dirty = false;
	log_info("cache", "instance=%s index=%" PRIu64 " targets=%zu",
	    core->settings.instance,
	    core->cache->document != NULL ? core->cache->document->index : 0,
	    core->cache->n_announcement);
}
