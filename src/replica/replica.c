#include "replica/replica.h"

#include "base/invariant.h"
#include "base/logger.h"
#include "base/memory.h"
#include "replica/replica_defs.h"

static const char *const role_names[] = {
    [REPLICA_FOLLOWER] = "follower",
    [REPLICA_PRE_CANDIDATE] = "pre-candidate",
    [REPLICA_CANDIDATE] = "candidate",
    [REPLICA_LEADER] = "leader",
    [REPLICA_STOPPED] = "stopped",
};

/*
 * Returns a role's name for logs and JSON.
 */
const char *
replica_role_name(enum replica_role role)
{
	if ((unsigned)role > REPLICA_STOPPED)
		return "unknown";
	return role_names[role];
}

/*
 * Schedules callbacks.changed() for the end of the current call.
 */
void
replica_mark_changed(struct replica *r)
{
	r->change_pending = true;
}

/*
 * Calls callbacks.changed() if it is scheduled.
 */
static void
notify_if_changed(struct replica *r)
{
	if (!r->change_pending)
		return;
	r->change_pending = false;
	if (r->callbacks.changed != NULL)
		r->callbacks.changed(r->callbacks.ctx);
}

/*
 * Frees the messages that were not sent.
 */
static void
drop_outgoing(struct replica *r)
{
	for (size_t i = 0; i < r->out_count; i++)
		mem_free(r->out[i].data);
	r->out_count = 0;
}

/*
 * Stops the replica permanently: it sends, counts and stores nothing any
 * more. what names the step that failed, status_message() the error.
 */
void
replica_stop(struct replica *r, const char *what)
{
	if (r->role == REPLICA_STOPPED)
		return;
	log_error("replica_stopped", "id=%llu what=\"%s\" message=\"%s\"",
	    (unsigned long long)r->config.id, what, status_message());
	r->role = REPLICA_STOPPED;
	r->leader = 0;
	drop_outgoing(r);
	replica_mark_changed(r);
}

/*
 * Stops a replica whose id belongs to another disk: it has to join under a new
 * one.
 */
void
replica_refuse(struct replica *r, const char *why)
{
	if (r->role != REPLICA_STOPPED)
		(void)status_set(STATUS_CONFLICT,
		    "join under a new id; disk %llu",
		    (unsigned long long)r->storage.disk);
	r->refused = true;
	replica_stop(r, why);
}

/*
 * Stores term and vote, which take effect after the next sync.
 */
void
replica_save_state(struct replica *r)
{
	r->state_write = ++r->writes;
	if (r->storage.save_state(r->storage.ctx, r->term, r->vote) !=
	    STATUS_OK)
		replica_stop(r, "saving term and vote");
}

/*
 * Returns whether term and vote are as they would be after a restart.
 */
bool
replica_state_is_durable(const struct replica *r)
{
	return r->state_write <= r->durable_writes;
}

/*
 * Appends an entry to the log in memory and on disk.  A membership entry
 * takes effect at once.
 */
void
replica_append_entry(
    struct replica *r, enum entry_kind kind, struct str data, uint64_t term)
{
	struct storage_entry entry = {.index = log_last_index(&r->log) + 1,
	    .term = term,
	    .kind = kind,
	    .data = data};
	struct members members;

	r->writes++;
	log_append(&r->log, &entry);
	if (r->storage.append(r->storage.ctx, &entry, 1) != STATUS_OK) {
		replica_stop(r, "append");
		return;
	}
	if (kind == ENTRY_MEMBERS && members_decode(data, &members))
		members_activate(r, &members, entry.index);
}

/*
 * Raises the commit index and applies the newly committed entries.
 */
void
replica_set_commit(struct replica *r, uint64_t index)
{
	if (index > log_last_index(&r->log))
		index = log_last_index(&r->log);
	if (index > r->commit_index)
		r->commit_index = index;
	if (r->applying)
		return;
	r->applying = true;
	while (
	    r->applied_index < r->commit_index && r->role != REPLICA_STOPPED) {
		const struct storage_entry *entry =
		    log_at(&r->log, r->applied_index + 1);

		INVARIANT(entry != NULL, "a committed entry is missing");
		r->applied_index = entry->index;
		r->applied_term = entry->term;
		if (entry->kind == ENTRY_COMMAND)
			r->callbacks.apply(r->callbacks.ctx, entry->index,
			    entry->term, entry->data);
		else if (entry->kind == ENTRY_MEMBERS)
			members_on_applied(r, entry);
	}
	r->applying = false;
}

/*
 * Closes a replica and its storage; NULL is allowed.
 */
void
replica_close(struct replica *replica)
{
	if (replica == NULL)
		return;
	drop_outgoing(replica);
	mem_free(replica->out);
	for (unsigned i = 0; i < replica->peer_count; i++)
		image_put(replica->peers[i].image);
	image_put(replica->image);
	str_buf_free(&replica->incoming.data);
	log_free(&replica->log);
	if (replica->storage.close != NULL)
		replica->storage.close(replica->storage.ctx);
	mem_free(replica);
}

/*
 * Handles a message whose term may differ from ours, adopting a higher term
 * where Raft requires it.  Returns whether the message is to be processed
 * further.
 */
static bool
update_term(struct replica *r, uint64_t from, const Replica__Message *m)
{
	bool from_leader = m->kind == REPLICA__KIND__KIND_APPEND ||
	    m->kind == REPLICA__KIND__KIND_SNAPSHOT;
	bool is_vote_request = m->kind == REPLICA__KIND__KIND_PRE_VOTE ||
	    m->kind == REPLICA__KIND__KIND_VOTE;

	if (m->kind == REPLICA__KIND__KIND_JOIN ||
	    m->kind == REPLICA__KIND__KIND_JOIN_REPLY)
		return true;
	if (m->kind == REPLICA__KIND__KIND_VOTE &&
	    (r->role == REPLICA_LEADER || election_leader_is_active(r)) &&
	    m->term > r->term)
		return false;
	if (m->kind == REPLICA__KIND__KIND_PRE_VOTE ||
	    (m->kind == REPLICA__KIND__KIND_PRE_VOTE_REPLY && !m->reject))
		return true;
	if (m->term > r->term) {
		election_become_follower(r, m->term, from_leader ? from : 0);
		if (m->kind == REPLICA__KIND__KIND_PRE_VOTE_REPLY)
			election_retry_soon(r);
		return r->role != REPLICA_STOPPED;
	}
	if (m->term == r->term)
		return true;
	if (from_leader) {
		Replica__Message reply = REPLICA__MESSAGE__INIT;

		reply.kind = REPLICA__KIND__KIND_APPEND_REPLY;
		reply.term = r->term;
		reply.reject = true;
		message_send(r, from, &reply, false);
	}
	/* Any reply to a pre-vote names the sender's list of members. */
	return is_vote_request || m->kind == REPLICA__KIND__KIND_PRE_VOTE_REPLY;
}

/*
 * Dispatches a message to its handler by kind.
 */
static void
dispatch(struct replica *r, uint64_t from, const Replica__Message *m)
{
	switch (m->kind) {
	case REPLICA__KIND__KIND_APPEND:
		append_on_request(r, from, m);
		return;
	case REPLICA__KIND__KIND_APPEND_REPLY:
		append_on_reply(r, from, m);
		return;
	case REPLICA__KIND__KIND_PRE_VOTE:
	case REPLICA__KIND__KIND_VOTE:
		election_on_request(r, from, m);
		return;
	case REPLICA__KIND__KIND_PRE_VOTE_REPLY:
	case REPLICA__KIND__KIND_VOTE_REPLY:
		election_on_reply(r, from, m);
		return;
	case REPLICA__KIND__KIND_SNAPSHOT:
		snapshot_on_request(r, from, m);
		return;
	case REPLICA__KIND__KIND_SNAPSHOT_REPLY:
		snapshot_on_reply(r, from, m);
		return;
	case REPLICA__KIND__KIND_JOIN:
		group_on_join(r, from, m);
		return;
	case REPLICA__KIND__KIND_JOIN_REPLY:
		group_on_join_reply(r, from, m);
		return;
	default:
		return;
	}
}

/*
 * Returns the name of a number of a message that is out of its bounds, or NULL.
 */
static const char *
find_fault(const struct replica *r, const Replica__Message *m)
{
	if (m->term > r->term && m->term - r->term > TERM_STEP_MAX)
		return "term";
	return message_fault(m);
}

/*
 * Processes a message of another member.  One that doesn't decode, or has a
 * number out of its bounds, has no effect: STATUS_INVALID.  A message addressed
 * to another disk under our id means that the group has bound the id to that
 * disk, and the replica stops.  A voter knows better: the sender's note is of an
 * earlier try to form the group.
 */
enum status
replica_receive(
    struct replica *replica, uint64_t from, struct str message, uint64_t now_us)
{
	Replica__Message *m;
	const char *field;

	if (replica->role == REPLICA_STOPPED || from == 0 ||
	    from == replica->config.id)
		return STATUS_OK;
	if (now_us > replica->now_us)
		replica->now_us = now_us;
	m = message_decode(message);
	if (m == NULL)
		return status_set(STATUS_INVALID, "malformed");
	field = find_fault(replica, m);
	if (field != NULL) {
		replica__message__free_unpacked(m, NULL);
		return status_set(STATUS_INVALID, "%s", field);
	}
	if (m->to_disk != 0 && m->to_disk != replica->storage.disk) {
		if (!members_is_voter(replica))
			replica_refuse(
			    replica, "this id belongs to another disk");
	} else if (update_term(replica, from, m) &&
	    (!replica->bootstrapping || m->kind == REPLICA__KIND__KIND_JOIN ||
		m->kind == REPLICA__KIND__KIND_JOIN_REPLY))
		dispatch(replica, from, m);
	replica__message__free_unpacked(m, NULL);
	notify_if_changed(replica);
	return STATUS_OK;
}

/*
 * Advances time: runs elections, heartbeats and the leader's quorum check.
 */
void
replica_tick(struct replica *replica, uint64_t now_us)
{
	if (replica->role == REPLICA_STOPPED)
		return;
	if (now_us > replica->now_us)
		replica->now_us = now_us;
	group_tick(replica);
	if (replica->role == REPLICA_STOPPED)
		return;
	election_tick(replica);
	append_tick(replica);
	if (replica_has_lease(replica, replica->now_us))
		replica->touch_us = replica->now_us;
	notify_if_changed(replica);
}

/*
 * Appends a command on the leader.  STATUS_BUSY when too many entries or
 * bytes are uncommitted.
 */
enum status
replica_propose(struct replica *replica, struct str command, uint64_t *index,
    uint64_t *term)
{
	struct replica *r = replica;

	if (r->role != REPLICA_LEADER || !members_is_voter(r))
		return status_set(STATUS_UNAVAILABLE, "not the leader");
	if (command.len > COMMAND_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "a command of %zu bytes; %d at most", command.len,
		    (int)COMMAND_MAX_BYTES);
	if (log_last_index(&r->log) - r->commit_index >=
		UNCOMMITTED_MAX_ENTRIES ||
	    r->log.bytes + command.len > LOG_MAX_BYTES + UNCOMMITTED_MAX_BYTES)
		return status_set(
		    STATUS_BUSY, "too many commands wait for a majority");
	replica_append_entry(r, ENTRY_COMMAND, command, r->term);
	if (r->role == REPLICA_STOPPED) {
		notify_if_changed(r);
		return status_set(STATUS_IO, "the log failed");
	}
	*index = log_last_index(&r->log);
	*term = r->term;
	return STATUS_OK;
}

/*
 * Sends the queued messages that depend on nothing that isn't durable yet.
 */
static void
send_outgoing(struct replica *r)
{
	size_t kept = 0;

	for (size_t i = 0; i < r->out_count; i++) {
		struct outgoing *out = &r->out[i];

		if (out->writes > r->durable_writes) {
			r->out[kept++] = *out;
			continue;
		}
		r->callbacks.send(
		    r->callbacks.ctx, out->to, str_of(out->data, out->len));
		mem_free(out->data);
	}
	r->out_count = kept;
}

/*
 * What was stored before the sync is durable now.  If that is a vote, ours or
 * another's, its candidate is waited for from now on.
 */
static void
on_synced(struct replica *r, uint64_t took_us)
{
	bool had_state = replica_state_is_durable(r);

	r->syncing = false;
	r->durable_writes = r->sync_writes;
	if (r->sync_index > r->durable_index)
		r->durable_index = r->sync_index;
	r->sync_took_us = took_us;
	if (stall_record(&r->stall, took_us, r->now_us) && !had_state &&
	    r->role != REPLICA_LEADER)
		election_reset_timer(r);
}

/*
 * Begins a sync of all that is stored, which may end at once.
 */
static void
begin_sync(struct replica *r)
{
	r->syncing = true;
	r->sync_began_us = r->now_us;
	r->sync_writes = r->writes;
	r->sync_index = log_last_index(&r->log);
	if (r->storage.sync(r->storage.ctx) != STATUS_OK)
		replica_stop(r, "sync");
	else if (r->storage.sync_ended == NULL)
		on_synced(r, 0);
}

/*
 * Ends the running sync if the storage has done it.
 */
static void
poll_sync(struct replica *r)
{
	enum status status = STATUS_OK;
	uint64_t took_us = 0;

	if (!r->syncing || r->storage.sync_ended == NULL ||
	    !r->storage.sync_ended(r->storage.ctx, &status, &took_us))
		return;
	if (status == STATUS_OK)
		on_synced(r, took_us);
	else
		replica_stop(r, "sync");
}

static bool
needs_sync(const struct replica *r)
{
	return !r->syncing && r->writes > r->durable_writes;
}

/*
 * Runs one round of replica_flush().  A leader's appends are sent while its
 * own disk is still writing (Ongaro 2014, section 10.2.1).
 */
static void
flush_round(struct replica *r)
{
	append_replicate(r);
	poll_sync(r);
	if (r->role == REPLICA_STOPPED)
		return;
	send_outgoing(r);
	if (needs_sync(r))
		begin_sync(r);
	if (r->role == REPLICA_STOPPED)
		return;
	send_outgoing(r);
	election_count_votes(r);
	append_advance_commit(r);
}

/*
 * Makes all appended data durable with one sync, then counts votes, advances
 * the commit index and sends the messages that depend on the sync.  Where the
 * storage syncs on its own, all this is done by a later call.
 */
void
replica_flush(struct replica *replica, uint64_t now_us)
{
	unsigned rounds = 0;

	if (now_us > replica->now_us)
		replica->now_us = now_us;
	if (replica->role == REPLICA_STOPPED) {
		notify_if_changed(replica);
		return;
	}
	do {
		flush_round(replica);
	} while (replica->role != REPLICA_STOPPED && needs_sync(replica) &&
	    ++rounds < FLUSH_ROUNDS_MAX);
	snapshot_take_if_due(replica);
	notify_if_changed(replica);
}

/*
 * The process has waited for its disk.  Nobody was asked or heard meanwhile, so
 * the time for an answer begins now: a candidate would else give up before its
 * request was sent.
 */
void
replica_on_stall(struct replica *replica, uint64_t took_us, uint64_t now_us)
{
	if (now_us > replica->now_us)
		replica->now_us = now_us;
	if (!stall_record(&replica->stall, took_us, replica->now_us))
		return;
	replica->stopped_us = replica->now_us;
	if (replica->role != REPLICA_LEADER)
		election_reset_timer(replica);
}

/*
 * Returns when the latest message that a peer answered was sent, in
 * microseconds by our clock; for election_quorum_value().
 */
static uint64_t
acked_sent_us(const struct peer *peer)
{
	return peer->acked_sent_us;
}

/*
 * Returns true while no other leader can have been elected: a majority
 * answered a message that was sent less than lease_us ago, and refuses votes
 * to others for the minimum election timeout from then on.  Also false until
 * all entries committed by earlier leaders are applied here.
 */
bool
replica_has_lease(const struct replica *replica, uint64_t now_us)
{
	if (replica->role != REPLICA_LEADER ||
	    replica->applied_term != replica->term)
		return false;
	return election_quorum_value(replica, acked_sent_us, now_us) +
	    replica->config.lease_us >
	    now_us;
}

/*
 * Returns whether, since it was opened, the replica has applied all that was
 * committed when its leader, which may be itself, sent its last message.
 */
bool
replica_has_caught_up(const struct replica *replica)
{
	return replica->caught_up ||
	    (replica->role == REPLICA_LEADER &&
		replica->applied_term == replica->term);
}

/*
 * Returns when a pre-vote was sent after which a peer had no later list of
 * members, in microseconds by our clock; for election_quorum_value().
 */
static uint64_t
list_us(const struct peer *peer)
{
	return peer->list_us;
}

/*
 * Fills in the replica's status for operators.
 */
void
replica_describe(const struct replica *replica, struct replica_info *info)
{
	*info = (struct replica_info){
	    .role = replica->role,
	    .term = replica->term,
	    .leader = replica->leader,
	    .commit_index = replica->commit_index,
	    .applied_index = replica->applied_index,
	    .last_index = log_last_index(&replica->log),
	    .snapshot_index = replica->snapshot_index,
	    .member_count = replica->members.count,
	    .members_committed =
		replica->members_index <= replica->commit_index,
	    .members_index = replica->members_index,
	    .bootstrapping = replica->bootstrapping,
	    .refused = replica->refused,
	    .touch_us = replica->touch_us,
	    .sync_us = replica->syncing
		? replica->now_us - replica->sync_began_us
		: replica->sync_took_us,
	    .list_us = replica->members.count > 0
		? election_quorum_value(replica, list_us, replica->now_us)
		: 0,
	};
	for (unsigned i = 0; i < replica->members.count; i++) {
		info->members[i] = replica->members.list[i].info;
		info->caught_up[i] =
		    members_caught_up(replica, info->members[i].id);
	}
}
