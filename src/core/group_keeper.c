#include "core/group_keeper.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"

/*
 * Returns whether the members include an id.
 */
static bool
is_member(const struct replica_info *info, uint64_t id)
{
	for (unsigned i = 0; i < info->member_count; i++) {
		if (info->members[i].id == id)
			return true;
	}
	return false;
}

/*
 * Decides about a message of replica from to replica to.  A sender that was
 * removed is told so only under a lease and after the removal is committed: a
 * replica that gives up its log before has no vote if the removal is lost with
 * this leader.
 */
enum group_verdict
group_judge_message(const struct replica_info *info, bool has_lease,
    uint64_t self, uint64_t from, uint64_t to)
{
	if (has_lease && info->members_committed && !is_member(info, from))
		return GROUP_TELL_REMOVED;
	return to == self ? GROUP_TAKE : GROUP_DENY;
}

/*
 * A seed that was killed after it had written its id and before it had stored
 * the first members is opened again without them, if bootstrap is set to false
 * then.  Nobody has seen its disk.
 */
bool
group_never_took_part(
    const struct replica_info *info, uint64_t self, unsigned count)
{
	return count == 0 && (self & GROUP_DRAWN_ID) == 0 &&
	    info->member_count == 0 && !info->bootstrapping;
}

/*
 * Returns whether a replica asks to join: while its own list doesn't have it,
 * and while it knows of no leader.  It may have been replaced while it was
 * away, and the leader may be one that its list doesn't have either.  A leader
 * takes no notice of members that ask.
 */
bool
group_should_ask_to_join(const struct replica_info *info, uint64_t self)
{
	return info->leader == 0 || !is_member(info, self);
}

/*
 * Returns the contact of a member, NULL when there is none.
 */
static struct group_contact *
find_contact(const struct group_keeper *keeper, uint64_t id)
{
	for (unsigned i = 0; i < keeper->contact_count; i++) {
		if (keeper->contacts[i].id == id)
			return (struct group_contact *)&keeper->contacts[i];
	}
	return NULL;
}

/*
 * Takes over the list of members; what is known of those that stay is kept.
 */
void
group_keeper_update(struct group_keeper *keeper,
    const struct replica_info *info, uint64_t self, uint64_t now_us)
{
	struct group_contact contacts[REPLICA_MEMBERS_MAX] = {0};
	unsigned count = 0;

	keeper->self = self;
	if (info->role != REPLICA_LEADER)
		keeper->leader_since_us = 0;
	else if (keeper->leader_since_us == 0)
		keeper->leader_since_us = now_us;
	for (unsigned i = 0; i < info->member_count; i++) {
		uint64_t id = info->members[i].id;
		const struct group_contact *known = find_contact(keeper, id);

		if (id == keeper->joiner.id)
			keeper->joiner.id = 0;
		if (id == self)
			continue;
		contacts[count++] = known != NULL
		    ? *known
		    : (struct group_contact){
			  .id = id, .last_message_us = now_us};
	}
	memcpy(keeper->contacts, contacts, count * sizeof(*contacts));
	keeper->contact_count = count;
	if (!info->members_committed ||
	    info->members_index == keeper->list_index)
		return;
	/* The next change does not wait. */
	keeper->list_index = info->members_index;
	keeper->due_us = 0;
}

/*
 * Records a replica's message.
 */
void
group_keeper_on_message(
    struct group_keeper *keeper, uint64_t from, uint64_t now_us)
{
	struct group_contact *contact = find_contact(keeper, from);

	if (contact != NULL)
		contact->last_message_us = now_us;
}

/*
 * Returns whether another replica has answered from a member's address since a
 * time.  A message of the member that came later shows that it is there.
 */
static bool
is_denied(const struct group_contact *contact, uint64_t since_us)
{
	return contact->denied_us > contact->last_message_us &&
	    contact->denied_us >= since_us;
}

/*
 * Returns whether a member has the address of this replica, which has taken its
 * place.  Nobody else can tell us: we don't send messages to ourselves.
 */
static bool
is_predecessor(const struct group_keeper *keeper,
    const struct replica_info *info, const struct replica_member *member)
{
	for (unsigned i = 0; i < info->member_count; i++) {
		const struct replica_member *other = &info->members[i];

		if (other->id == keeper->self)
			return member->id != keeper->self &&
			    strcmp(member->address, other->address) == 0;
	}
	return false;
}

/*
 * Returns whether a member's disk is known to be gone since a time.
 */
static bool
is_gone(const struct group_keeper *keeper, const struct replica_info *info,
    const struct replica_member *member, uint64_t since_us)
{
	const struct group_contact *contact = find_contact(keeper, member->id);

	return (contact != NULL && is_denied(contact, since_us)) ||
	    is_predecessor(keeper, info, member);
}

/*
 * Records that another replica has answered a message for a member.  Only what
 * was sent after that replica got its id can be answered so: a member that was
 * added later is never denied by it.
 */
void
group_keeper_on_denied(
    struct group_keeper *keeper, uint64_t id, uint64_t now_us)
{
	struct group_contact *contact = find_contact(keeper, id);

	if (contact == NULL)
		return;
	if (!is_denied(contact, keeper->leader_since_us))
		keeper->due_us = 0;
	contact->denied_us = now_us;
}

/*
 * Records a request to join.
 */
void
group_keeper_on_join(struct group_keeper *keeper, uint64_t id,
    const char *address, uint64_t now_us)
{
	keeper->joiner.id = id;
	keeper->joiner_us = now_us;
	snprintf(keeper->joiner.address, sizeof(keeper->joiner.address), "%s",
	    address);
}

/*
 * Returns for how long the leader has heard nothing from a member, in
 * milliseconds.  What it heard before it led proves nothing: followers hear
 * little from each other.
 */
static uint64_t
silent_ms(const struct group_keeper *keeper,
    const struct group_contact *contact, uint64_t now_us)
{
	uint64_t since_us = contact->last_message_us;

	if (since_us < keeper->leader_since_us)
		since_us = keeper->leader_since_us;
	return now_us > since_us ? (now_us - since_us) / US_PER_MS : 0;
}

/*
 * Fills in the leader's view of its group.
 */
static void
describe_group(struct group_keeper *keeper, const struct replica_info *info,
    uint64_t now_us, struct group_view *view)
{
	view->count = info->member_count;
	for (unsigned i = 0; i < view->count; i++) {
		const struct replica_member *from = &info->members[i];
		struct group_member *to = &view->members[i];
		const struct group_contact *contact =
		    find_contact(keeper, from->id);

		to->id = from->id;
		to->voter = from->voter;
		to->self = from->id == keeper->self;
		memcpy(to->address, from->address, sizeof(to->address));
		to->caught_up = info->caught_up[i];
		if (contact == NULL)
			continue;
		to->silent_ms = silent_ms(keeper, contact, now_us);
		to->denied =
		    is_gone(keeper, info, from, keeper->leader_since_us);
	}
	if (now_us - keeper->joiner_us < GROUP_SILENT_MS * US_PER_MS)
		view->joiner = keeper->joiner;
}

/*
 * Returns the next change; GROUP_KEEP within GROUP_CHANGE_MS of the last try.
 */
struct group_action
group_keeper_plan(struct group_keeper *keeper, const struct replica_info *info,
    unsigned wanted_voters, uint64_t now_us)
{
	struct group_view view = {.wanted_voters = wanted_voters};

	if (now_us < keeper->due_us)
		return (struct group_action){.change = GROUP_KEEP};
	keeper->due_us = now_us + GROUP_CHANGE_MS * US_PER_MS;
	describe_group(keeper, info, now_us, &view);
	return group_next_action(&view);
}

bool
group_keeper_apply(const struct group_keeper *keeper, struct replica *replica,
    struct group_action action, struct group_step *step)
{
	struct replica_member member = {.id = action.id};

	*step = (struct group_step){.action = action};
	switch (action.change) {
	case GROUP_KEEP:
		return false;
	case GROUP_ADD:
		memcpy(member.address, keeper->joiner.address,
		    sizeof(member.address));
		step->status =
		    replica_add_learner(replica, &member, &step->index);
		break;
	case GROUP_PROMOTE:
		step->status =
		    replica_promote(replica, action.id, &step->index);
		break;
	case GROUP_REMOVE:
		step->status = replica_remove(replica, action.id, &step->index);
		break;
	}
	return step->status != STATUS_BUSY;
}

unsigned
group_keeper_gone_voters(const struct group_keeper *keeper,
    const struct replica_info *info, uint64_t now_us,
    unsigned gone[REPLICA_MEMBERS_MAX])
{
	uint64_t since_us = now_us - GROUP_SILENT_MS * US_PER_MS;
	unsigned count = 0;

	for (unsigned i = 0; i < info->member_count; i++) {
		const struct replica_member *member = &info->members[i];

		if (member->voter && is_gone(keeper, info, member, since_us))
			gone[count++] = i;
	}
	return count;
}

bool
group_is_without_quorum(const struct replica_info *info, unsigned gone)
{
	unsigned voters = 0;

	for (unsigned i = 0; i < info->member_count; i++)
		voters += info->members[i].voter ? 1 : 0;
	return voters > 0 && voters - gone < voters / 2 + 1;
}

/*
 * Returns a change's name for logs.
 */
const char *
group_change_name(enum group_change change)
{
	static const char *const names[] = {
	    [GROUP_KEEP] = "keep",
	    [GROUP_ADD] = "add",
	    [GROUP_PROMOTE] = "promote",
	    [GROUP_REMOVE] = "remove",
	};

	return names[change];
}
