#include <string.h>

#include "base/clock.h"
#include "core/core_internal.h"

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

static struct packed_frame *
pack_document(const struct core *core, bool with_text)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Document document = core_known_document(core);

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

	if (core_known_document(core).index == 0)
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
void
core_send_document(struct core *core, const struct core_peer *peer)
{
	struct packed_frame *whole;

	if (core_known_document(core).index == 0)
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
void
core_push_entry(
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
	Fleet__Document document = core_known_document(core);

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
void
core_greet(struct core *core, struct core_peer *peer)
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
			core_push_entry(core, other->hello, false, &g.batch);
	}
	frame.body_case = FLEET__FRAME__BODY_SYNCED;
	frame.synced = &synced;
	channel_batch(&g.batch, &frame);
	channel_send_batch(peer->channel, &g.batch);
	str_buf_free(&g.batch);
}
