#include <string.h>

#include "base/invariant.h"
#include "replica/replica_defs.h"
#include "support_disk_world.h"

/*
 * Returns the machine whose replica leads with a lease, or NULL.
 */
struct machine *
world_leader(struct world *w)
{
	for (unsigned i = 0; i < w->machine_count; i++) {
		struct machine *m = &w->machines[i];

		if (machine_is_running(m) &&
		    replica_has_lease(m->replica, machine_local_us(m)))
			return m;
	}
	return NULL;
}

void
world_propose(struct world *w)
{
	struct machine *m = world_leader(w);
	uint64_t content[3], index, term;

	if (m == NULL || random_below(&w->random, 5) != 0)
		return;
	content[0] = w->next_value + 1;
	content[1] = m->info.term;
	content[2] = m->disk.id;
	if (replica_propose(m->replica,
		str_of((const char *)content, sizeof(content)), &index,
		&term) == STATUS_OK)
		w->next_value++;
}

/*
 * Returns whether a running replica has an id.
 */
static bool
runs_somewhere(const struct world *w, uint64_t id)
{
	for (unsigned i = 0; i < w->machine_count; i++) {
		if (machine_is_running(&w->machines[i]) &&
		    w->machines[i].disk.id == id)
			return true;
	}
	return false;
}

/*
 * Returns whether a leader has all the voters that it needs, all with disks.
 */
bool
world_is_whole(struct world *w)
{
	const struct machine *leader = world_leader(w);
	unsigned voters = 0;

	if (leader == NULL)
		return false;
	for (unsigned i = 0; i < leader->info.member_count; i++) {
		if (!leader->info.members[i].voter)
			continue;
		voters++;
		if (!runs_somewhere(w, leader->info.members[i].id))
			return false;
	}
	return voters >= 2 * w->losses + 1;
}

/*
 * Changes a planned action as the planted fault has it.
 */
static struct group_action
plant_fault(const struct machine *m, struct group_action action)
{
	const struct world *w = m->world;
	unsigned voters = 0;
	uint64_t gone = 0;

	for (unsigned i = 0; i < m->info.member_count; i++) {
		const struct replica_member *member = &m->info.members[i];

		voters += member->voter ? 1 : 0;
		if (member->voter && !runs_somewhere(w, member->id))
			gone = member->id;
		if (w->plant == DISK_PLANT_KEEP_OLD_VOTER && member->voter &&
		    action.change == GROUP_REMOVE && action.id == member->id)
			return (struct group_action){.change = GROUP_KEEP};
	}
	if (w->plant == DISK_PLANT_REMOVE_FIRST && gone != 0 && voters > 2)
		return (struct group_action){
		    .change = GROUP_REMOVE, .id = gone};
	return action;
}

static void
change_members(struct machine *m)
{
	struct world *w = m->world;
	struct group_step step;
	struct group_action action;

	if (!replica_has_lease(m->replica, machine_local_us(m)))
		return;
	action = group_keeper_plan(
	    &m->keeper, &m->info, 2 * w->losses + 1, machine_local_us(m));
	action = plant_fault(m, action);
	if (!group_keeper_apply(&m->keeper, m->replica, action, &step))
		return;
	w->result->changes_of_members += step.status == STATUS_OK ? 1 : 0;
	for (unsigned i = 0; i < m->info.member_count; i++)
		world_trace(w, "  before: %s %llu of %s%s",
		    m->info.members[i].voter ? "voter" : "learner",
		    (unsigned long long)m->info.members[i].id,
		    m->info.members[i].address,
		    runs_somewhere(w, m->info.members[i].id) ? "" : ", gone");
	world_trace(w, "machine %u: %s %llu: %s", m->number,
	    group_change_name(action.change), (unsigned long long)action.id,
	    status_name(step.status));
}

/*
 * Asks to join while its replica is no member.
 */
static void
ask_to_join(struct machine *m)
{
	struct world *w = m->world;

	if (w->step < m->join_step ||
	    !group_should_ask_to_join(&m->info, m->disk.id))
		return;
	m->join_step = w->step + GROUP_JOIN_MS * US_PER_MS / STEP_US;
	for (unsigned i = 0; i < w->machine_count; i++) {
		if (i != m->number)
			world_send(w,
			    (struct envelope){.kind = MESSAGE_JOIN,
				.from = m->number,
				.to = i,
				.from_id = m->disk.id},
			    str_of("", 0));
	}
}

/*
 * Checks that a term has one leader.
 */
static void
check_leader(const struct machine *m)
{
	struct world *w = m->world;
	uint64_t *leader = &w->leaders[m->info.term % LEADERS_MAX];

	if (m->info.role != REPLICA_LEADER)
		return;
	if (*leader != 0 && *leader != m->disk.id)
		w->result->two_leaders++;
	w->result->elections += *leader == 0 ? 1 : 0;
	*leader = m->disk.id;
}

void
machine_tick(struct machine *m)
{
	struct world *w = m->world;
	struct replica_info before;

	if (m->own_step != 0 && w->step >= m->own_step) {
		world_trace(w, "machine %u has its address again", m->number);
		m->own_step = 0;
		machine_stop(m, 0);
		fs_free(m->disk.fs);
		m->disk = m->own;
		m->own = (struct disk){0};
	}
	if (m->replica == NULL && w->step >= m->start_step)
		machine_start(m);
	if (!machine_is_running(m))
		return;
	replica_tick(m->replica, machine_local_us(m));
	replica_flush(m->replica, machine_local_us(m));
	if (m->disk.fs->dead) {
		machine_set_dead(m);
		return;
	}
	before = m->info;
	replica_describe(m->replica, &m->info);
	if (before.role != m->info.role || before.term != m->info.term)
		world_trace(w, "machine %u: %s of term %llu, last %llu",
		    m->number, replica_role_name(m->info.role),
		    (unsigned long long)m->info.term,
		    (unsigned long long)m->info.last_index);
	group_keeper_update(
	    &m->keeper, &m->info, m->disk.id, machine_local_us(m));
	check_leader(m);
	ask_to_join(m);
	change_members(m);
}
