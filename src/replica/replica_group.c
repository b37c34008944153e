#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "replica/replica_defs.h"

enum {
	REFUSAL_LOG_MS = 60 * 1000
};

/*
 * Bootstrap of a new group, and protection against a replica that votes
 * again under its old id after losing its data.  Each data folder holds a
 * random number, called its disk, drawn when the folder was created.  A
 * bootstrap member votes only after every other bootstrap member, or a majority
 * with itself, has durably stored its disk; a member permanently stores one disk
 * for each id, the first that is presented.  A member that lost its folder
 * presents another disk, is rejected and stops.  Members that join later are
 * bound to their disk by the log entry that makes them voters.
 *
 * With a majority: two disks of an id can't both vote, since two majorities
 * share a member, and that has stored one of them; or it has lost its own disk,
 * and then isn't a bootstrap member any more.  So the first members are the same
 * voters wherever the group is formed, and one group comes of it.
 */

/*
 * Stores the bootstrap members and the disks confirmed so far.
 */
static void
save_group(struct replica *r)
{
	Replica__Member space[REPLICA_MEMBERS_MAX];
	Replica__Member *list[REPLICA_MEMBERS_MAX];
	Replica__Group group = REPLICA__GROUP__INIT;
	uint8_t bytes[REPLICA_MEMBERS_MAX * 128];
	size_t len;

	members_to_message(&r->bootstrap_members, space, list);
	group.formed = !r->bootstrapping;
	group.n_members = r->bootstrap_members.count;
	group.members = list;
	len = replica__group__pack(&group, bytes);
	r->writes++;
	if (r->storage.save_group(
		r->storage.ctx, str_of((const char *)bytes, len)) != STATUS_OK)
		replica_stop(r, "group record");
}

/*
 * Decodes what save_group() stored; false when it is corrupt.
 */
bool
group_load(struct replica *r, struct str data)
{
	Replica__Group *group =
	    replica__group__unpack(NULL, data.len, (const uint8_t *)data.data);
	bool good;

	if (group == NULL)
		return false;
	good = members_from_message(
	    group->members, group->n_members, &r->bootstrap_members);
	r->bootstrapping = !group->formed;
	replica__group__free_unpacked(group, NULL);
	return good;
}

/*
 * Returns whether enough bootstrap members have confirmed our disk and shown
 * theirs.
 */
static bool
is_confirmed(const struct replica *r)
{
	unsigned count = r->bootstrap_members.count;
	unsigned confirmed = 0;

	for (unsigned i = 0; i < count; i++) {
		const struct member *member = &r->bootstrap_members.list[i];

		if (member->info.id == r->config.id ||
		    (member->disk != 0 &&
			(r->confirmed_members & 1u << i) != 0))
			confirmed++;
	}
	return confirmed == count ||
	    (r->config.forms_by_majority && confirmed >= count / 2 + 1);
}

/*
 * Ends the bootstrap, so that this replica may vote, once its disk is
 * confirmed.
 */
static void
finish_bootstrap_if_ready(struct replica *r)
{
	if (!is_confirmed(r))
		return;
	r->bootstrapping = false;
	save_group(r);
	r->snapshot_members = r->bootstrap_members;
	members_reload(r);
	election_reset_timer(r);
}

/*
 * Starts the bootstrap of a new group if this replica is among its first
 * members; does nothing when stored state was loaded.
 */
enum status
group_open(struct replica *r, const struct replica_member *bootstrap,
    unsigned count, bool loaded)
{
	bool own = false;

	for (unsigned i = 0; i < count; i++)
		own = own || bootstrap[i].id == r->config.id;
	if (loaded || !own)
		return STATUS_OK;
	if (count > REPLICA_MEMBERS_MAX)
		return status_set(STATUS_INVALID, "%d members at most",
		    (int)REPLICA_MEMBERS_MAX);
	for (unsigned i = 0; i < count; i++) {
		struct member *member = &r->bootstrap_members.list[i];

		if (bootstrap[i].id == 0 ||
		    members_find(&r->bootstrap_members, bootstrap[i].id) !=
			NULL)
			return status_set(STATUS_INVALID,
			    "bootstrap members need unique ids other than 0");
		member->info = bootstrap[i];
		member->info.voter = true;
		r->bootstrap_members.count++;
		if (bootstrap[i].id == r->config.id)
			member->disk = r->storage.disk;
	}
	r->bootstrapping = true;
	save_group(r);
	return r->role == REPLICA_STOPPED ? STATUS_IO : STATUS_OK;
}

/*
 * During bootstrap, asks the other bootstrap members to store our disk.
 */
void
group_tick(struct replica *r)
{
	if (!r->bootstrapping)
		return;
	finish_bootstrap_if_ready(r);
	if (!r->bootstrapping || r->now_us < r->join_due_us)
		return;
	r->join_due_us = r->now_us + r->config.heartbeat_us;
	for (unsigned i = 0; i < r->bootstrap_members.count; i++) {
		Replica__Message m = REPLICA__MESSAGE__INIT;

		if (r->bootstrap_members.list[i].info.id == r->config.id)
			continue;
		m.kind = REPLICA__KIND__KIND_JOIN;
		message_send(
		    r, r->bootstrap_members.list[i].info.id, &m, false);
	}
}

/*
 * Returns a bootstrap member by id, NULL when there is none.
 */
static struct member *
find_bootstrap_member(struct replica *r, uint64_t id)
{
	return (struct member *)members_find(&r->bootstrap_members, id);
}

/*
 * Logs, once a minute, that a bootstrap member presents another disk than
 * before: with it, a second group could be formed.
 */
static void
log_other_disk(struct replica *r, const struct member *note)
{
	if (r->now_us < r->next_refusal_log_us)
		return;
	r->next_refusal_log_us = r->now_us + REFUSAL_LOG_MS * US_PER_MS;
	log_warn("first_member_refused",
	    "id=%llu member=%llu address=%s formed=%d reason=\"it has shown "
	    "another disk before; with both, two groups could be formed\"",
	    (unsigned long long)r->config.id, (unsigned long long)note->info.id,
	    note->info.address, !r->bootstrapping);
}

/*
 * Stores the disk of a bootstrap member when it is first presented, and
 * replies whether it is the stored one.
 */
void
group_on_join(struct replica *r, uint64_t from, const Replica__Message *m)
{
	struct member *note = find_bootstrap_member(r, from);
	Replica__Message reply = REPLICA__MESSAGE__INIT;
	Replica__Group group = REPLICA__GROUP__INIT;
	Replica__Member space[REPLICA_MEMBERS_MAX];
	Replica__Member *list[REPLICA_MEMBERS_MAX];

	if (note != NULL && note->disk == 0 &&
	    (r->bootstrapping || r->config.forms_by_majority)) {
		note->disk = m->from_disk;
		save_group(r);
		if (r->role == REPLICA_STOPPED)
			return;
	}
	reply.kind = REPLICA__KIND__KIND_JOIN_REPLY;
	reply.reject = note == NULL || note->disk != m->from_disk;
	if (note != NULL && reply.reject)
		log_other_disk(r, note);
	reply.to_disk = m->from_disk;
	members_to_message(&r->bootstrap_members, space, list);
	group.formed = !r->bootstrapping;
	group.n_members = r->bootstrap_members.count;
	group.members = list;
	reply.group = &group;
	message_send(r, from, &reply, false);
}

/*
 * Adopts the members sent by a peer.  Returns false unless the peer has
 * finished its bootstrap and its members list this replica with its current
 * disk.
 */
static bool
adopt_members(struct replica *r, const Replica__Group *group)
{
	struct members members;
	const struct member *self;

	if (group == NULL || !group->formed ||
	    !members_from_message(group->members, group->n_members, &members))
		return false;
	self = members_find(&members, r->config.id);
	if (self == NULL || self->disk != r->storage.disk)
		return false;
	r->bootstrap_members = members;
	r->confirmed_members = ~0u;
	return true;
}

/*
 * Handles a bootstrap member's reply to our join request.
 */
void
group_on_join_reply(struct replica *r, uint64_t from, const Replica__Message *m)
{
	struct member *note = find_bootstrap_member(r, from);

	if (!r->bootstrapping || note == NULL)
		return;
	/* What a formed group says counts, whatever was noted in earlier tries. */
	if (adopt_members(r, m->group)) {
		finish_bootstrap_if_ready(r);
		return;
	}
	if (m->reject) {
		/* Of an earlier try; a majority may form the group without it. */
		if (r->config.forms_by_majority &&
		    (m->group == NULL || !m->group->formed))
			return;
		replica_refuse(r, "this id has shown another disk before");
		return;
	}
	if (note->disk == 0) {
		note->disk = m->from_disk;
		save_group(r);
	}
	if (note->disk != m->from_disk || r->role == REPLICA_STOPPED)
		return;
	r->confirmed_members |= 1u << (note - r->bootstrap_members.list);
	finish_bootstrap_if_ready(r);
}
