#include <stdlib.h>

#include "replica/replica_defs.h"

/*
 * Returns how long to wait for messages of others, in microseconds.  They come
 * after a sync of theirs, which takes about as long as ours.
 */
static uint64_t
patience_us(const struct replica *r)
{
	return r->config.election_timeout_us +
	    stall_recent_us(&r->stall, r->now_us);
}

/*
 * Sets the time of the next election: one to two election timeouts from now,
 * at random, more if syncs are slow.
 */
void
election_reset_timer(struct replica *r)
{
	uint64_t timeout = patience_us(r);

	r->election_due_us =
	    r->now_us + timeout + random_below(&r->random, timeout + 1);
}

/*
 * Sets the time of the next pre-vote: one to three heartbeat intervals from
 * now.
 */
void
election_retry_soon(struct replica *r)
{
	uint64_t interval = r->config.heartbeat_us;

	r->election_due_us =
	    r->now_us + interval + random_below(&r->random, 2 * interval + 1);
}

/*
 * Returns whether a leader's message arrived within the minimum election
 * timeout, or may have arrived before a restart of this replica.  Votes are
 * refused meanwhile; a leader's lease depends on that (Ongaro 2014, 4.2.3
 * and 6.4.1).
 */
bool
election_leader_is_active(const struct replica *r)
{
	return r->now_us < r->leader_contact_us + r->config.election_timeout_us;
}

/*
 * Becomes a follower in the current term or a newer one.
 */
void
election_become_follower(struct replica *r, uint64_t term, uint64_t leader)
{
	if (r->role == REPLICA_STOPPED)
		return;
	if (r->role != REPLICA_FOLLOWER || r->term != term ||
	    r->leader != leader)
		replica_mark_changed(r);
	if (r->role != REPLICA_FOLLOWER)
		election_reset_timer(r);
	r->role = REPLICA_FOLLOWER;
	r->leader = leader;
	if (term > r->term) {
		r->term = term;
		r->vote = 0;
		replica_save_state(r);
	}
}

/*
 * Requests a vote or pre-vote from every voter.
 */
static void
request_votes(struct replica *r, Replica__Kind kind, uint64_t term)
{
	for (unsigned i = 0; i < r->peer_count; i++) {
		Replica__Message m = REPLICA__MESSAGE__INIT;

		r->peers[i].granted = false;
		if (!r->peers[i].voter)
			continue;
		m.kind = kind;
		m.term = term;
		m.index = log_last_index(&r->log);
		m.log_term = log_last_term(&r->log);
		m.sent_us = r->question_base_us + r->now_us;
		message_send(r, r->peers[i].id, &m, false);
	}
}

/*
 * The time without a leader is over.  A learner, which may have been removed
 * without a message, only forgets the leader that it knew.  A voter starts a
 * pre-vote round: terms stay unchanged until a majority would grant
 * its vote (Ongaro 2014, section 9.6).  The next round follows soon: after a
 * restart of all, the first rounds are refused by replicas that started later,
 * and pre-votes disturb no leader.  Rounds within an election timeout of our
 * start elect nobody, and only ask for the lists of members.  No
 * round begins before our last vote is durable: its own messages wait for that.
 */
void
election_campaign(struct replica *r)
{
	election_retry_soon(r);
	if (r->leader != 0)
		replica_mark_changed(r);
	r->leader = 0;
	if (!members_is_voter(r) || r->bootstrapping ||
	    !replica_state_is_durable(r))
		return;
	r->role = REPLICA_PRE_CANDIDATE;
	replica_mark_changed(r);
	request_votes(r, REPLICA__KIND__KIND_PRE_VOTE, r->term + 1);
}

/*
 * Starts the actual election.  Our own vote counts after the next sync.
 */
static void
become_candidate(struct replica *r)
{
	election_reset_timer(r);
	r->role = REPLICA_CANDIDATE;
	r->term++;
	r->vote = r->config.id;
	replica_save_state(r);
	replica_mark_changed(r);
	request_votes(r, REPLICA__KIND__KIND_VOTE, r->term);
}

/*
 * Becomes leader and appends a no-op: only a committed entry of the current
 * term shows which older entries are committed.
 */
static void
become_leader(struct replica *r)
{
	r->role = REPLICA_LEADER;
	r->leader = r->config.id;
	r->heartbeat_due_us = r->now_us;
	for (unsigned i = 0; i < r->peer_count; i++) {
		struct peer *peer = &r->peers[i];

		image_put(peer->image);
		peer->image = NULL;
		peer->state = PEER_PROBE;
		peer->match = 0;
		peer->next = log_last_index(&r->log) + 1;
		peer->last_reply_us = r->now_us;
		peer->acked_sent_us = 0;
		peer->waiting = false;
		peer->in_flight = 0;
		peer->heartbeat_due = true;
	}
	replica_append_entry(r, ENTRY_NOOP, (struct str){0}, r->term);
	replica_mark_changed(r);
}

/*
 * Returns whether we may vote for ourselves.  After a restart we refuse it as
 * we refuse votes to others: a leader's lease may depend on what we answered
 * before.  A replica that is alone has promised nothing to others.
 */
static bool
may_vote_for_self(const struct replica *r)
{
	if (members_quorum(r) == 1 && r->peer_count == 0)
		return true;
	return !election_leader_is_active(r);
}

/*
 * Counts the votes of the current round; those of an election only once our own
 * is durable.
 */
void
election_count_votes(struct replica *r)
{
	unsigned votes = members_is_voter(r) ? 1 : 0;

	if (r->role != REPLICA_PRE_CANDIDATE && r->role != REPLICA_CANDIDATE)
		return;
	if (r->role == REPLICA_PRE_CANDIDATE && !may_vote_for_self(r))
		return;
	if (r->role == REPLICA_CANDIDATE && !replica_state_is_durable(r))
		return;
	for (unsigned i = 0; i < r->peer_count; i++) {
		if (r->peers[i].voter && r->peers[i].granted)
			votes++;
	}
	if (votes < members_quorum(r))
		return;
	if (r->role == REPLICA_PRE_CANDIDATE)
		become_candidate(r);
	else
		become_leader(r);
}

/*
 * Compares two numbers for qsort(), largest first.
 */
static int
descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

/*
 * Returns the greatest value that a majority of the voters has reached.
 */
uint64_t
election_quorum_value(const struct replica *r,
    uint64_t (*value)(const struct peer *peer), uint64_t own)
{
	uint64_t values[REPLICA_MEMBERS_MAX] = {0};
	unsigned count = 0;

	if (members_is_voter(r))
		values[count++] = own;
	for (unsigned i = 0; i < r->peer_count; i++) {
		if (r->peers[i].voter)
			values[count++] = value(&r->peers[i]);
	}
	qsort(values, count, sizeof(*values), descending);
	return values[members_quorum(r) - 1];
}

/*
 * Returns when the last reply of a peer arrived, in microseconds; for
 * election_quorum_value().
 */
static uint64_t
last_reply_us(const struct peer *peer)
{
	return peer->last_reply_us;
}

/*
 * Starts an election when the timeout has passed.  A leader without replies
 * from a majority within the election timeout, and a sync of theirs, steps down.
 */
void
election_tick(struct replica *r)
{
	uint64_t heard_us;

	if (r->role != REPLICA_LEADER) {
		if (r->now_us >= r->election_due_us)
			election_campaign(r);
		return;
	}
	heard_us = election_quorum_value(r, last_reply_us, r->now_us);
	if (heard_us < r->stopped_us)
		heard_us = r->stopped_us;
	if (heard_us + patience_us(r) < r->now_us)
		election_become_follower(r, r->term, 0);
}

/*
 * Returns whether a candidate's log is at least as up-to-date as ours.
 */
static bool
log_is_up_to_date(const struct replica *r, const Replica__Message *m)
{
	uint64_t term = log_last_term(&r->log);

	if (m->log_term != term)
		return m->log_term > term;
	return m->index >= log_last_index(&r->log);
}

/*
 * Returns whether a sender knows us with our current disk.  One that knows no
 * disk of a first member may mean us: no other disk can have voted for it.
 */
static bool
is_for_our_disk(const struct replica *r, const Replica__Message *m)
{
	if (m->to_disk != 0)
		return m->to_disk == r->storage.disk;
	return members_find(&r->bootstrap_members, r->config.id) != NULL;
}

/*
 * Answers a request for a vote or pre-vote.  The sender must know us as a
 * voter with our current disk: the votes stored on a lost disk are unknown.
 */
void
election_on_request(struct replica *r, uint64_t from, const Replica__Message *m)
{
	bool is_vote = m->kind == REPLICA__KIND__KIND_VOTE;
	Replica__Message reply = REPLICA__MESSAGE__INIT;
	bool grant = !r->bootstrapping && is_for_our_disk(r, m) &&
	    r->role != REPLICA_LEADER && !election_leader_is_active(r) &&
	    log_is_up_to_date(r, m);

	if (is_vote)
		grant = grant && m->term == r->term &&
		    (r->vote == 0 || r->vote == from);
	else
		grant = grant && m->term > r->term;
	reply.kind = is_vote ? REPLICA__KIND__KIND_VOTE_REPLY
			     : REPLICA__KIND__KIND_PRE_VOTE_REPLY;
	reply.reject = !grant;
	reply.term = grant ? m->term : r->term;
	reply.sent_us = m->sent_us;
	if (!is_vote)
		reply.list_end = r->members_index + 1;
	if (grant && is_vote) {
		election_become_follower(r, r->term, 0);
		if (r->vote == 0) {
			r->vote = from;
			replica_save_state(r);
		}
		election_reset_timer(r);
	}
	message_send(r, from, &reply, false);
}

/*
 * Records that a voter has no list of members after ours, in a reply to a
 * pre-vote of this process.  Its log is durable, so it is in no majority that
 * had committed a later one when the pre-vote was sent.
 */
static void
record_list(struct replica *r, struct peer *peer, const Replica__Message *m)
{
	uint64_t sent_us = m->sent_us - r->question_base_us;

	if (m->list_end == 0 || m->list_end - 1 > r->members_index)
		return;
	if (sent_us <= peer->list_us || sent_us > r->now_us)
		return;
	peer->list_us = sent_us;
	replica_mark_changed(r);
}

/*
 * Records the reply to a request for a vote or pre-vote.
 */
void
election_on_reply(struct replica *r, uint64_t from, const Replica__Message *m)
{
	struct peer *peer = members_peer(r, from);
	bool is_vote = m->kind == REPLICA__KIND__KIND_VOTE_REPLY;
	uint64_t term = is_vote ? r->term : r->term + 1;

	if (peer != NULL && peer->voter && members_has_disk(peer, m->from_disk))
		record_list(r, peer, m);
	if (r->role != (is_vote ? REPLICA_CANDIDATE : REPLICA_PRE_CANDIDATE))
		return;
	if (peer == NULL || !peer->voter ||
	    !members_has_disk(peer, m->from_disk) || m->reject ||
	    m->term != term)
		return;
	peer->granted = true;
}
