#include <string.h>

#include "base/invariant.h"
#include "replica/replica_defs.h"

/*
 * Returns the peer with an id, NULL when it is no other member.
 */
struct peer *
members_peer(struct replica *r, uint64_t id)
{
	for (unsigned i = 0; i < r->peer_count; i++) {
		if (r->peers[i].id == id)
			return &r->peers[i];
	}
	return NULL;
}

/*
 * Returns a member by id, NULL when there is none.
 */
const struct member *
members_find(const struct members *members, uint64_t id)
{
	for (unsigned i = 0; i < members->count; i++) {
		if (members->list[i].info.id == id)
			return &members->list[i];
	}
	return NULL;
}

/*
 * Returns whether this replica is a voter by the latest members in its log.
 */
bool
members_is_voter(const struct replica *r)
{
	const struct member *self = members_find(&r->members, r->config.id);

	return self != NULL && self->info.voter &&
	    (self->disk == r->storage.disk || self->disk == 0);
}

/*
 * Returns whether a peer's reply comes from the disk to which its id is bound.
 * A first member whose disk isn't known yet is bound by its first reply: it
 * sends none before a majority has confirmed its disk, and each confirms one.
 */
bool
members_has_disk(struct peer *peer, uint64_t disk)
{
	if (peer->voter && peer->disk == 0)
		peer->disk = disk;
	return peer->disk == disk;
}

/*
 * Returns the number of voters that form a majority.
 */
unsigned
members_quorum(const struct replica *r)
{
	unsigned voters = 0;

	for (unsigned i = 0; i < r->members.count; i++)
		voters += r->members.list[i].info.voter ? 1 : 0;
	return voters / 2 + 1;
}

/*
 * Returns whether, as this leader knows, another member has stored all
 * committed entries on a disk that has a number.
 */
bool
members_caught_up(const struct replica *r, uint64_t id)
{
	if (r->role != REPLICA_LEADER)
		return false;
	for (unsigned i = 0; i < r->peer_count; i++) {
		const struct peer *peer = &r->peers[i];

		if (peer->id == id)
			return peer->match >= r->commit_index &&
			    peer->disk != 0;
	}
	return false;
}

/*
 * Records a peer's reply to a message that was sent at sent_us by our clock.
 * A time in the future is ignored, since it would extend the lease.
 */
void
members_record_reply(
    const struct replica *r, struct peer *peer, uint64_t sent_us)
{
	peer->last_reply_us = r->now_us;
	if (sent_us > peer->acked_sent_us && sent_us <= r->now_us)
		peer->acked_sent_us = sent_us;
}

/*
 * Returns the peer state for a member, keeping the progress of an existing
 * peer.
 */
static struct peer
make_peer(struct replica *r, const struct member *member)
{
	const struct peer *old = members_peer(r, member->info.id);
	struct peer peer = {0};

	if (old != NULL) {
		peer = *old;
	} else {
		peer.id = member->info.id;
		peer.next = log_last_index(&r->log) + 1;
		peer.last_reply_us = r->now_us;
	}
	if (member->info.voter && !peer.voter)
		peer.last_reply_us = r->now_us;
	peer.voter = member->info.voter;
	peer.list_us = 0;
	if (member->disk != 0)
		peer.disk = member->disk;
	return peer;
}

/*
 * Puts members into effect.  Called when they enter the log, whether
 * committed or not (Ongaro 2014, section 4.1).
 */
void
members_activate(
    struct replica *r, const struct members *members, uint64_t index)
{
	struct peer peers[REPLICA_MEMBERS_MAX];
	unsigned count = 0;

	for (unsigned i = 0; i < members->count; i++) {
		if (members->list[i].info.id != r->config.id)
			peers[count++] = make_peer(r, &members->list[i]);
	}
	for (unsigned i = 0; i < r->peer_count; i++) {
		if (members_find(members, r->peers[i].id) == NULL)
			image_put(r->peers[i].image);
	}
	memcpy(r->peers, peers, count * sizeof(*peers));
	r->peer_count = count;
	r->members = *members;
	r->members_index = index;
	replica_mark_changed(r);
}

/*
 * Finds the members in effect at an index, which may not be lower than the
 * snapshot's.
 */
void
members_at(const struct replica *r, uint64_t index, struct members *members)
{
	for (uint64_t i = index; i > r->snapshot_index; i--) {
		const struct storage_entry *entry = log_at(&r->log, i);

		if (entry != NULL && entry->kind == ENTRY_MEMBERS &&
		    members_decode(entry->data, members))
			return;
	}
	*members = r->snapshot_members;
}

/*
 * Reverts to the latest members in the log, after a truncation or load.
 */
void
members_reload(struct replica *r)
{
	for (uint64_t i = log_last_index(&r->log); i > r->snapshot_index; i--) {
		const struct storage_entry *entry = log_at(&r->log, i);
		struct members members;

		if (entry != NULL && entry->kind == ENTRY_MEMBERS &&
		    members_decode(entry->data, &members)) {
			members_activate(r, &members, i);
			return;
		}
	}
	members_activate(r, &r->snapshot_members, r->snapshot_index);
}

/*
 * Handles a committed membership entry: a leader that is no longer a voter
 * steps down.
 */
void
members_on_applied(struct replica *r, const struct storage_entry *entry)
{
	replica_mark_changed(r);
	if (r->role == REPLICA_LEADER && entry->index >= r->members_index &&
	    !members_is_voter(r))
		election_become_follower(r, r->term, 0);
}

/*
 * Checks that a membership change may start: only on a leader that has
 * committed an entry of its term, and while no other change is uncommitted.
 */
static enum status
check_membership_change(const struct replica *r)
{
	uint64_t term = 0;

	if (r->role != REPLICA_LEADER)
		return status_set(STATUS_UNAVAILABLE, "not the leader");
	if (r->members_index > r->commit_index)
		return status_set(
		    STATUS_BUSY, "a change of members is under way");
	if (!log_term_at(&r->log, r->commit_index, &term) || term != r->term)
		return status_set(STATUS_BUSY, "the leader is not ready yet");
	return STATUS_OK;
}

/*
 * Returns members with the disks of first members that have become known since
 * the group was formed.
 */
static struct members
with_known_disks(struct replica *r, const struct members *from)
{
	struct members members = *from;

	for (unsigned i = 0; i < members.count; i++) {
		struct member *member = &members.list[i];
		const struct peer *peer = members_peer(r, member->info.id);

		if (!member->info.voter || member->disk != 0)
			continue;
		if (member->info.id == r->config.id)
			member->disk = r->storage.disk;
		else if (peer != NULL)
			member->disk = peer->disk;
	}
	return members;
}

/*
 * Appends a membership entry, which takes effect at once.  STATUS_IO if the
 * storage failed: the entry may be in the log.
 */
static enum status
append_members(struct replica *r, const struct members *from, uint64_t *index)
{
	struct members members = with_known_disks(r, from);
	struct str_buf data = {0};

	members_encode(&members, &data);
	replica_append_entry(r, ENTRY_MEMBERS, str_buf_view(&data), r->term);
	str_buf_free(&data);
	if (r->role == REPLICA_STOPPED)
		return status_set(STATUS_IO, "the log failed");
	*index = log_last_index(&r->log);
	return STATUS_OK;
}

/*
 * Adds a member that receives the log but has no vote.  Its id must never
 * have been used with another disk.
 */
enum status
replica_add_learner(
    struct replica *r, const struct replica_member *member, uint64_t *index)
{
	struct members members = r->members;
	enum status status = check_membership_change(r);

	if (status != STATUS_OK)
		return status;
	if (member->id == 0 || members_find(&members, member->id) != NULL)
		return status_set(STATUS_CONFLICT, "id %llu is a member",
		    (unsigned long long)member->id);
	if (members.count == REPLICA_MEMBERS_MAX)
		return status_set(STATUS_FULL, "%d members at most",
		    (int)REPLICA_MEMBERS_MAX);
	members.list[members.count] = (struct member){.info = *member};
	members.list[members.count++].info.voter = false;
	return append_members(r, &members, index);
}

/*
 * Makes a learner a voter and binds it to the disk of its replies.  Voters are
 * listed before learners, in the order of their promotion, so that the first
 * ones stay the first ones until they are removed.  STATUS_BUSY until it has
 * stored all committed entries.
 */
enum status
replica_promote(struct replica *r, uint64_t id, uint64_t *index)
{
	struct members members = {0};
	enum status status = check_membership_change(r);
	const struct peer *peer = members_peer(r, id);

	if (status != STATUS_OK)
		return status;
	if (peer == NULL)
		return status_set(STATUS_NOT_FOUND, "%llu is no other member",
		    (unsigned long long)id);
	if (peer->voter)
		return status_set(
		    STATUS_CONFLICT, "%llu is a voter", (unsigned long long)id);
	if (!members_caught_up(r, id))
		return status_set(STATUS_BUSY,
		    "learner %llu holds %llu of %llu entries",
		    (unsigned long long)id, (unsigned long long)peer->match,
		    (unsigned long long)r->commit_index);
	for (unsigned i = 0; i < r->members.count; i++) {
		if (r->members.list[i].info.voter)
			members.list[members.count++] = r->members.list[i];
	}
	members.list[members.count] = *members_find(&r->members, id);
	members.list[members.count].info.voter = true;
	members.list[members.count++].disk = peer->disk;
	for (unsigned i = 0; i < r->members.count; i++) {
		const struct member *member = &r->members.list[i];

		if (!member->info.voter && member->info.id != id)
			members.list[members.count++] = *member;
	}
	return append_members(r, &members, index);
}

/*
 * Removes a member, possibly this one.  The last voter can't be removed.
 */
enum status
replica_remove(struct replica *r, uint64_t id, uint64_t *index)
{
	struct members members = {0};
	enum status status = check_membership_change(r);
	unsigned voters = 0;

	if (status != STATUS_OK)
		return status;
	if (members_find(&r->members, id) == NULL)
		return status_set(STATUS_NOT_FOUND, "%llu is no member",
		    (unsigned long long)id);
	for (unsigned i = 0; i < r->members.count; i++) {
		if (r->members.list[i].info.id == id)
			continue;
		members.list[members.count++] = r->members.list[i];
		voters += r->members.list[i].info.voter ? 1 : 0;
	}
	if (voters == 0)
		return status_set(
		    STATUS_CONFLICT, "the last voter can't be removed");
	return append_members(r, &members, index);
}
