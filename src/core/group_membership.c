#include "core/group_membership.h"

#include <string.h>

/*
 * Returns whether a member sent a message within GROUP_SILENT_MS and has its
 * disk; self is always alive.
 */
static bool
is_alive(const struct group_member *member)
{
	return member->self ||
	    (!member->denied && member->silent_ms < GROUP_SILENT_MS);
}

/*
 * Returns whether another replica has the address of a lost member: a live
 * member, the joiner, or one that has answered from there.  Since an address
 * has one process, the member has lost its disk.
 */
static bool
is_replaced(const struct group_view *view, const struct group_member *member)
{
	if (member->self || is_alive(member))
		return false;
	if (member->denied)
		return true;
	for (unsigned i = 0; i < view->count; i++) {
		const struct group_member *other = &view->members[i];

		if (other->id != member->id && is_alive(other) &&
		    strcmp(other->address, member->address) == 0)
			return true;
	}
	return view->joiner.id != 0 && view->joiner.id != member->id &&
	    strcmp(view->joiner.address, member->address) == 0;
}

/*
 * Returns whether a majority of the voters that remain without a member is
 * alive.
 */
static bool
may_remove(const struct group_view *view, const struct group_member *leaving)
{
	unsigned voters = 0;
	unsigned alive = 0;

	for (unsigned i = 0; i < view->count; i++) {
		const struct group_member *member = &view->members[i];

		if (!member->voter || member->id == leaving->id)
			continue;
		voters++;
		alive += is_alive(member) ? 1 : 0;
	}
	return alive >= voters / 2 + 1;
}

static unsigned
count_voters(const struct group_view *view)
{
	unsigned voters = 0;

	for (unsigned i = 0; i < view->count; i++)
		voters += view->members[i].voter ? 1 : 0;
	return voters;
}

/*
 * Returns the lost voter that was silent longest, or first one whose address
 * another member has taken over; NULL when none is lost.
 */
static const struct group_member *
lost_voter(const struct group_view *view)
{
	const struct group_member *lost = NULL;

	for (unsigned i = 0; i < view->count; i++) {
		const struct group_member *member = &view->members[i];

		if (!member->voter || is_alive(member))
			continue;
		if (is_replaced(view, member))
			return member;
		if (lost == NULL || member->silent_ms > lost->silent_ms)
			lost = member;
	}
	return lost;
}

/*
 * Returns a live learner that may be promoted, NULL when there is none.
 */
static const struct group_member *
ready_learner(const struct group_view *view)
{
	for (unsigned i = 0; i < view->count; i++) {
		const struct group_member *member = &view->members[i];

		if (!member->voter && is_alive(member) && member->caught_up)
			return member;
	}
	return NULL;
}

/*
 * Returns a lost learner whose address has been taken over, or any lost one
 * when the group is full; NULL when there is none.
 */
static const struct group_member *
lost_learner(const struct group_view *view)
{
	for (unsigned i = 0; i < view->count; i++) {
		const struct group_member *member = &view->members[i];

		if (!member->voter && !is_alive(member) &&
		    (is_replaced(view, member) ||
			view->count == REPLICA_MEMBERS_MAX))
			return member;
	}
	return NULL;
}

static struct group_action
action(enum group_change change, uint64_t id)
{
	return (struct group_action){.change = change, .id = id};
}

/*
 * Returns the next membership change.  A successor becomes a voter before
 * the lost voter is removed, so that a majority never depends on fewer disks
 * than before.  A learner that is ready goes before a joiner, which has yet to
 * get the log: the next loss may come at any moment.
 */
struct group_action
group_next_action(const struct group_view *view)
{
	unsigned voters = count_voters(view);
	const struct group_member *lost = lost_voter(view);
	const struct group_member *learner = ready_learner(view);
	const struct group_member *old = lost_learner(view);

	if (old != NULL)
		return action(GROUP_REMOVE, old->id);
	if (voters > view->wanted_voters && lost != NULL &&
	    may_remove(view, lost))
		return action(GROUP_REMOVE, lost->id);
	if (learner != NULL &&
	    (voters < view->wanted_voters ||
		(lost != NULL && voters == view->wanted_voters)))
		return action(GROUP_PROMOTE, learner->id);
	if (view->joiner.id != 0 && view->count < REPLICA_MEMBERS_MAX)
		return action(GROUP_ADD, view->joiner.id);
	return action(GROUP_KEEP, 0);
}
