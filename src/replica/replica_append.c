#include "base/clock.h"
#include "base/invariant.h"
#include "base/memory.h"
#include "replica/replica_defs.h"

enum {
	/*
	 * A leader's messages count as proof of touch this long after its first
	 * one: those that waited in a socket while this process was frozen or
	 * cut off all come at once.
	 */
	TOUCH_AFTER_MS = 1000,
	/* A message that was this much longer on its way proves nothing. */
	TOUCH_DELAY_MAX_MS = 500,
	/* Clocks drift apart by milliseconds in two such periods. */
	DELAY_PERIOD_MS = 60 * 1000
};

/*
 * Records a leader's message as proof of touch, unless it was held up on its
 * way: this replica may have been replaced meanwhile.  Any message was sent
 * after this process started, since its sockets are not older.
 */
void
append_record_touch(struct replica *r, const Replica__Message *m)
{
	struct leader_delay *d = &r->leader_delay;
	int64_t delay = (int64_t)(r->now_us - m->sent_us);
	int64_t least;

	if (d->term != m->term) {
		*d = (struct leader_delay){
		    .term = m->term,
		    .since_us = r->now_us,
		    .period_us = r->now_us,
		    .least_us = delay,
		    .previous_us = delay,
		};
	} else if (r->now_us - d->period_us > DELAY_PERIOD_MS * US_PER_MS) {
		d->previous_us = d->least_us;
		d->least_us = delay;
		d->period_us = r->now_us;
	}
	if (delay < d->least_us)
		d->least_us = delay;
	least = d->least_us < d->previous_us ? d->least_us : d->previous_us;
	if (r->now_us - d->since_us >= TOUCH_AFTER_MS * US_PER_MS &&
	    delay - least <= (int64_t)(TOUCH_DELAY_MAX_MS * US_PER_MS))
		r->touch_us = r->now_us;
	else if (r->touch_us < r->config.started_us)
		r->touch_us = r->config.started_us;
}

/*
 * Schedules a heartbeat to each follower when the interval has passed.
 */
void
append_tick(struct replica *r)
{
	if (r->role != REPLICA_LEADER || r->now_us < r->heartbeat_due_us)
		return;
	r->heartbeat_due_us = r->now_us + r->config.heartbeat_us;
	for (unsigned i = 0; i < r->peer_count; i++)
		r->peers[i].heartbeat_due = true;
}

/*
 * Collects up to max entries from index next on, bounded by
 * append_max_bytes; the first is taken whatever its size.  Returns their
 * number.
 */
static unsigned
fill_entries(struct replica *r, uint64_t next, Replica__Entry *space,
    Replica__Entry **list, unsigned max)
{
	unsigned count = 0;
	uint64_t bytes = 0;

	for (; count < max; count++) {
		const struct storage_entry *entry =
		    log_at(&r->log, next + count);

		if (entry == NULL)
			break;
		bytes += entry->data.len;
		if (count > 0 && bytes > r->config.append_max_bytes)
			break;
		replica__entry__init(&space[count]);
		space[count].term = entry->term;
		space[count].kind = entry->kind;
		space[count].data.data = (uint8_t *)entry->data.data;
		space[count].data.len = entry->data.len;
		list[count] = &space[count];
	}
	return count;
}

/*
 * Sends one append from peer->next on, a heartbeat when max is 0.  Returns
 * the number of entries sent.  Starts a snapshot when the log no longer
 * holds the previous entry.
 */
static unsigned
send_append(struct replica *r, struct peer *peer, unsigned max)
{
	enum {
		ENTRIES_MAX = 256
	};
	Replica__Entry space[ENTRIES_MAX];
	Replica__Entry *list[ENTRIES_MAX];
	Replica__Message m = REPLICA__MESSAGE__INIT;
	uint64_t term = 0;

	if (!log_term_at(&r->log, peer->next - 1, &term)) {
		snapshot_start(r, peer);
		return 0;
	}
	if (max > ENTRIES_MAX)
		max = ENTRIES_MAX;
	m.kind = REPLICA__KIND__KIND_APPEND;
	m.term = r->term;
	m.index = peer->next - 1;
	m.log_term = term;
	m.commit = r->commit_index;
	m.sent_us = r->now_us;
	m.n_entries = fill_entries(r, peer->next, space, list, max);
	m.entries = list;
	message_send(r, peer->id, &m, true);
	peer->heartbeat_due = false;
	return (unsigned)m.n_entries;
}

/*
 * Sends a follower as many entries as its window permits.
 */
static void
replicate_to(struct replica *r, struct peer *peer)
{
	if (peer->state == PEER_SNAPSHOT) {
		if (!peer->waiting || peer->heartbeat_due)
			snapshot_send_chunk(r, peer);
		return;
	}
	if (peer->state == PEER_PROBE) {
		if (!peer->waiting || peer->heartbeat_due) {
			send_append(r, peer, 1);
			peer->waiting = true;
		}
		return;
	}
	if (peer->heartbeat_due)
		peer->in_flight = 0;
	while (peer->next <= log_last_index(&r->log) &&
	    peer->next - peer->match <= WINDOW_MAX_ENTRIES &&
	    peer->in_flight < IN_FLIGHT_MAX_APPENDS) {
		unsigned sent = send_append(r, peer, WINDOW_MAX_ENTRIES);

		if (sent == 0)
			break;
		peer->next += sent;
		peer->in_flight++;
	}
	if (peer->heartbeat_due && peer->state == PEER_REPLICATE)
		send_append(r, peer, 0);
}

/*
 * Queues missing entries and due heartbeats for all followers.
 */
void
append_replicate(struct replica *r)
{
	if (r->role != REPLICA_LEADER)
		return;
	for (unsigned i = 0; i < r->peer_count; i++)
		replicate_to(r, &r->peers[i]);
}

/*
 * Returns the index up to which a peer's log is known to match; for
 * election_quorum_value().
 */
static uint64_t
match_index(const struct peer *peer)
{
	return peer->match;
}

/*
 * Advances the commit index to what a majority has stored, if the last such
 * entry is of the current term.
 */
void
append_advance_commit(struct replica *r)
{
	uint64_t index, term;

	if (r->role != REPLICA_LEADER)
		return;
	index = election_quorum_value(r, match_index, r->durable_index);
	if (index <= r->commit_index || !log_term_at(&r->log, index, &term) ||
	    term != r->term)
		return;
	replica_set_commit(r, index);
}

/*
 * Reports to the leader up to which index our log matches its own.
 */
void
append_confirm(
    struct replica *r, uint64_t to, const Replica__Message *m, uint64_t match)
{
	Replica__Message reply = REPLICA__MESSAGE__INIT;

	reply.kind = REPLICA__KIND__KIND_APPEND_REPLY;
	reply.term = r->term;
	reply.index = match;
	reply.sent_us = m->sent_us;
	message_send(r, to, &reply, false);
}

/*
 * Answers at once, for what is durable of a log that matches the leader's up to
 * an index, which is the hint: a leader must hear from us, and may send more,
 * while we sync.
 */
static void
confirm_durable(
    struct replica *r, uint64_t to, const Replica__Message *m, uint64_t match)
{
	Replica__Message reply = REPLICA__MESSAGE__INIT;

	reply.kind = REPLICA__KIND__KIND_APPEND_REPLY;
	reply.term = r->term;
	reply.index = match < r->durable_index ? match : r->durable_index;
	reply.hint = match;
	reply.sent_us = m->sent_us;
	message_send(r, to, &reply, true);
}

/*
 * Rejects an append whose previous entry is missing or differs.  The hint is
 * the last index that may match: the one before all our entries of the
 * conflicting term.
 */
static void
reject_append(struct replica *r, uint64_t from, const Replica__Message *m)
{
	Replica__Message reply = REPLICA__MESSAGE__INIT;
	uint64_t hint = log_last_index(&r->log);
	uint64_t conflict, term;

	if (hint >= m->index && log_term_at(&r->log, m->index, &conflict)) {
		hint = m->index - 1;
		while (hint > r->commit_index &&
		    log_term_at(&r->log, hint, &term) && term == conflict)
			hint--;
	}
	reply.kind = REPLICA__KIND__KIND_APPEND_REPLY;
	reply.term = r->term;
	reply.reject = true;
	reply.index = m->index;
	reply.hint = hint;
	reply.sent_us = m->sent_us;
	message_send(r, from, &reply, true);
}

/*
 * Removes our entries from an index on, which conflict with a newer
 * leader's.  A conflict with a committed entry means corrupt storage or a
 * faulty peer; the replica stops.
 */
static void
truncate_conflict(struct replica *r, uint64_t index)
{
	if (index <= r->commit_index) {
		status_set(STATUS_CORRUPT, "entry %llu is already committed",
		    (unsigned long long)index);
		replica_stop(
		    r, "a leader's entry conflicts with a committed one");
		return;
	}
	log_truncate_after(&r->log, index - 1);
	r->writes++;
	if (r->durable_index > index - 1)
		r->durable_index = index - 1;
	if (r->sync_index > index - 1)
		r->sync_index = index - 1;
	if (r->storage.truncate_after(r->storage.ctx, index - 1) != STATUS_OK) {
		replica_stop(r, "truncation");
		return;
	}
	if (r->members_index >= index)
		members_reload(r);
}

/*
 * Appends those of a leader's entries that our log lacks.
 */
static void
append_missing_entries(struct replica *r, const Replica__Message *m)
{
	for (size_t i = 0; i < m->n_entries; i++) {
		const Replica__Entry *entry = m->entries[i];
		uint64_t index = m->index + 1 + i;
		uint64_t term;

		if (index <= r->log.base_index)
			continue;
		if (log_term_at(&r->log, index, &term)) {
			if (term == entry->term)
				continue;
			truncate_conflict(r, index);
		}
		if (r->role == REPLICA_STOPPED)
			return;
		replica_append_entry(r, entry->kind,
		    str_of((const char *)entry->data.data, entry->data.len),
		    entry->term);
	}
}

/*
 * Handles a leader's append of the current term (Ongaro 2014, figure 3.1).
 */
void
append_on_request(struct replica *r, uint64_t from, const Replica__Message *m)
{
	uint64_t match = m->index + m->n_entries;
	uint64_t term;

	election_become_follower(r, m->term, from);
	r->leader_contact_us = r->now_us;
	append_record_touch(r, m);
	election_reset_timer(r);
	if (m->index < r->commit_index && match <= r->commit_index) {
		append_confirm(r, from, m, r->commit_index);
		return;
	}
	if (m->index >= r->log.base_index &&
	    (!log_term_at(&r->log, m->index, &term) || term != m->log_term)) {
		reject_append(r, from, m);
		return;
	}
	append_missing_entries(r, m);
	if (r->role == REPLICA_STOPPED)
		return;
	replica_set_commit(r, m->commit < match ? m->commit : match);
	/*
	 * A new leader does not know what was committed before it until an
	 * entry of its own term is.
	 */
	if (m->commit <= match && r->applied_term == r->term)
		r->caught_up = true;
	if (replica_state_is_durable(r) && (m->n_entries == 0 || r->syncing))
		confirm_durable(r, from, m, match);
	if (m->n_entries > 0 || !replica_state_is_durable(r))
		append_confirm(r, from, m, match);
}

/*
 * Returns the sender of a reply, NULL unless it is a member with the disk
 * that we know.  A learner with another disk restarts replication from the
 * beginning.
 */
static struct peer *
replying_peer(struct replica *r, uint64_t from, const Replica__Message *m)
{
	struct peer *peer = members_peer(r, from);

	if (r->role != REPLICA_LEADER || peer == NULL)
		return NULL;
	if (members_has_disk(peer, m->from_disk))
		return peer;
	if (peer->voter)
		return NULL;
	if (peer->disk != 0) {
		peer->match = 0;
		peer->state = PEER_PROBE;
		peer->waiting = false;
	}
	peer->disk = m->from_disk;
	return peer;
}

/*
 * Records how far a follower's log matches, durably and up to the hint not yet
 * so, and advances the commit index.
 */
static void
update_match(
    struct replica *r, struct peer *peer, uint64_t match, uint64_t hint)
{
	if (match > log_last_index(&r->log))
		return;
	if (match > peer->match)
		peer->match = match;
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
	if (peer->state == PEER_SNAPSHOT) {
		if (peer->match < peer->image->index)
			return;
		image_put(peer->image);
		peer->image = NULL;
	}
	if (hint < peer->match || hint > log_last_index(&r->log))
		hint = peer->match;
	if (peer->state != PEER_REPLICATE)
		peer->next = hint + 1;
	peer->state = PEER_REPLICATE;
	append_advance_commit(r);
}

/*
 * Handles a follower's reply to an append or to the last chunk of a
 * snapshot.
 */
void
append_on_reply(struct replica *r, uint64_t from, const Replica__Message *m)
{
	struct peer *peer = replying_peer(r, from, m);

	if (peer == NULL)
		return;
	members_record_reply(r, peer, m->sent_us);
	if (!m->reject) {
		peer->waiting = false;
		if (peer->in_flight > 0)
			peer->in_flight--;
		update_match(r, peer, m->index, m->hint);
		return;
	}
	if (peer->state == PEER_SNAPSHOT || m->index <= peer->match ||
	    m->index > log_last_index(&r->log))
		return;
	if (peer->state == PEER_PROBE && m->index != peer->next - 1)
		return;
	peer->state = PEER_PROBE;
	peer->waiting = false;
	peer->in_flight = 0;
	peer->next = (m->hint < m->index ? m->hint : m->index - 1) + 1;
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
}
