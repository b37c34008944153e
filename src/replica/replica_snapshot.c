#include <string.h>

#include "base/memory.h"
#include "replica/replica_defs.h"

/*
 * Makes a snapshot the newest one and takes over the caller's reference.
 */
void
snapshot_adopt(
    struct replica *r, struct image *image, const struct members *members)
{
	image_put(r->image);
	r->image = image;
	r->snapshot_index = image->index;
	r->snapshot_term = image->term;
	r->snapshot_members = *members;
}

/*
 * Discards entries that the snapshot covers, except for recent ones that
 * slow followers may still need.
 */
static void
discard_log(struct replica *r)
{
	uint64_t trailing = r->config.snapshot_entries / 4;
	uint64_t keep =
	    r->snapshot_index > trailing ? r->snapshot_index - trailing : 0;

	log_discard_to(&r->log, keep);
	while (r->log.bytes > TRAILING_MAX_BYTES &&
	    r->log.base_index < r->snapshot_index)
		log_discard_to(&r->log, r->log.base_index + 1);
}

/*
 * Saves a snapshot of the applied state once the log exceeds its limit of
 * entries or bytes.
 */
void
snapshot_take_if_due(struct replica *r)
{
	struct str_buf data = {0};
	struct members members;
	struct image *image;

	if (r->role == REPLICA_STOPPED || r->applied_index == r->snapshot_index)
		return;
	if (r->applied_index - r->snapshot_index < r->config.snapshot_entries &&
	    r->log.bytes < LOG_MAX_BYTES)
		return;
	members_at(r, r->applied_index, &members);
	r->callbacks.snapshot_save(r->callbacks.ctx, &data);
	image = image_new(
	    r->applied_index, r->applied_term, &members, str_buf_view(&data));
	str_buf_free(&data);
	if (r->storage.save_snapshot(r->storage.ctx, image->index, image->term,
		str_of(image->data, image->len)) != STATUS_OK) {
		image_put(image);
		replica_stop(r, "snapshot");
		return;
	}
	r->writes++;
	snapshot_adopt(r, image, &members);
	discard_log(r);
}

/*
 * Starts sending the newest snapshot to a follower.
 */
void
snapshot_start(struct replica *r, struct peer *peer)
{
	if (r->image == NULL)
		return;
	refcount_get(&r->image->ref);
	image_put(peer->image);
	peer->image = r->image;
	peer->offset = 0;
	peer->state = PEER_SNAPSHOT;
	snapshot_send_chunk(r, peer);
}

/*
 * Sends the next chunk of a follower's snapshot.
 */
void
snapshot_send_chunk(struct replica *r, struct peer *peer)
{
	Replica__Message m = REPLICA__MESSAGE__INIT;
	size_t left = peer->image->len - peer->offset;

	if (left > r->config.append_max_bytes)
		left = r->config.append_max_bytes;
	m.kind = REPLICA__KIND__KIND_SNAPSHOT;
	m.term = r->term;
	m.index = peer->image->index;
	m.log_term = peer->image->term;
	m.commit = r->commit_index;
	m.sent_us = r->now_us;
	m.offset = peer->offset;
	m.total = peer->image->len;
	m.chunk.data = (uint8_t *)peer->image->data + peer->offset;
	m.chunk.len = left;
	message_send(r, peer->id, &m, true);
	peer->waiting = true;
	peer->heartbeat_due = false;
}

/*
 * Starts receiving a snapshot, unless it is the one being received already.
 */
static void
begin_snapshot_receive(
    struct replica *r, uint64_t from, const Replica__Message *m)
{
	struct incoming *in = &r->incoming;

	if (in->from == from && in->index == m->index &&
	    in->term == m->log_term && in->total == m->total)
		return;
	str_buf_free(&in->data);
	*in = (struct incoming){.from = from,
	    .index = m->index,
	    .term = m->log_term,
	    .total = m->total};
}

/*
 * Replaces the state by a completely received snapshot.  Entries after it
 * are kept only if the log contains the snapshot's last entry.
 */
static bool
install_snapshot(struct replica *r)
{
	struct incoming *in = &r->incoming;
	struct members members;
	Replica__Snapshot *message =
	    image_decode(str_buf_view(&in->data), &members);
	struct image *image;
	enum status status;
	uint64_t term;

	if (message == NULL)
		return false;
	if (r->storage.save_snapshot(r->storage.ctx, in->index, in->term,
		str_buf_view(&in->data)) != STATUS_OK) {
		replica__snapshot__free_unpacked(message, NULL);
		replica_stop(r, "received snapshot");
		return false;
	}
	image = image_from_bytes(in->index, in->term, str_buf_view(&in->data));
	snapshot_adopt(r, image, &members);
	r->writes++;
	if (!log_term_at(&r->log, in->index, &term) || term != in->term) {
		log_reset(&r->log, in->index, in->term);
		r->durable_index = 0;
		r->sync_index = 0;
	}
	r->commit_index = in->index;
	r->applied_index = in->index;
	r->applied_term = in->term;
	members_reload(r);
	status = r->callbacks.snapshot_load(r->callbacks.ctx, in->index,
	    str_of((const char *)message->data.data, message->data.len));
	replica__snapshot__free_unpacked(message, NULL);
	if (status != STATUS_OK)
		replica_stop(r, "state of a received snapshot");
	return status == STATUS_OK;
}

/*
 * Reports to the leader which offset of its snapshot is needed next.
 */
static void
request_next_chunk(struct replica *r, uint64_t from, const Replica__Message *m)
{
	Replica__Message reply = REPLICA__MESSAGE__INIT;

	reply.kind = REPLICA__KIND__KIND_SNAPSHOT_REPLY;
	reply.term = r->term;
	reply.index = m->index;
	reply.sent_us = m->sent_us;
	reply.offset = r->incoming.data.len;
	message_send(r, from, &reply, false);
}

/*
 * Handles a chunk of a leader's snapshot.
 */
void
snapshot_on_request(struct replica *r, uint64_t from, const Replica__Message *m)
{
	election_become_follower(r, m->term, from);
	r->leader_contact_us = r->now_us;
	append_record_touch(r, m);
	election_reset_timer(r);
	if (m->index <= r->commit_index) {
		append_confirm(r, from, m, r->commit_index);
		return;
	}
	if (m->total == 0 || m->total > SNAPSHOT_MAX_BYTES ||
	    m->chunk.len > m->total)
		return;
	begin_snapshot_receive(r, from, m);
	if (m->offset == r->incoming.data.len &&
	    m->offset + m->chunk.len <= m->total)
		str_buf_append(&r->incoming.data,
		    str_of((const char *)m->chunk.data, m->chunk.len));
	if (r->incoming.data.len < m->total) {
		request_next_chunk(r, from, m);
		return;
	}
	if (install_snapshot(r))
		append_confirm(r, from, m, m->index);
	str_buf_free(&r->incoming.data);
	r->incoming = (struct incoming){0};
}

/*
 * Advances a follower's snapshot to the offset that it asks for.
 */
void
snapshot_on_reply(struct replica *r, uint64_t from, const Replica__Message *m)
{
	struct peer *peer = members_peer(r, from);

	if (r->role != REPLICA_LEADER || peer == NULL ||
	    (peer->voter && !members_has_disk(peer, m->from_disk)))
		return;
	members_record_reply(r, peer, m->sent_us);
	if (peer->state != PEER_SNAPSHOT || m->index != peer->image->index ||
	    m->offset > peer->image->len)
		return;
	peer->offset = m->offset;
	peer->waiting = false;
}
