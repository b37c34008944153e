/*
 * Faults of a schedule and the operators' reaction to them.
 */
#include <string.h>

#include "replica/replica_defs.h"
#include "support_replica_group_defs.h"

/*
 * Returns a random running node, NULL when none runs.
 */
static struct node *
random_node(struct group *g)
{
	struct node *up[GROUP_NODES_MAX];
	unsigned count = 0;

	for (unsigned i = 0; i < GROUP_NODES_MAX; i++) {
		if (g->nodes[i].engine != NULL)
			up[count++] = &g->nodes[i];
	}
	return count > 0 ? up[random_below(&g->random, count)] : NULL;
}

/*
 * Partitions a random part of the group from the rest, in one direction or
 * both.
 */
static void
partition_links(struct group *g)
{
	uint64_t side = random_next(&g->random);
	uint64_t ways = random_below(&g->random, 3);

	if (random_below(&g->random, 2) == 0)
		memset(g->partitioned, 0, sizeof(g->partitioned));
	if (random_below(&g->random, 2) == 0)
		side = UINT64_C(1) << random_below(&g->random, g->next_id);
	for (unsigned a = 0; a < GROUP_NODES_MAX; a++) {
		for (unsigned b = 0; b < GROUP_NODES_MAX; b++) {
			if ((side >> a & 1) == 0 || (side >> b & 1) == 1)
				continue;
			g->partitioned[a][b] = ways != 1;
			g->partitioned[b][a] = ways != 2;
		}
	}
	g->result->partitions++;
	group_trace(g, "cut %llx ways %llu",
	    (unsigned long long)(side & 0xffff), (unsigned long long)ways);
}

/*
 * Returns whether a disk may be lost: the last repair is complete, no
 * membership change is in progress and enough voters remain.  The log
 * guarantees nothing beyond that.
 */
static bool
may_wipe_disk(struct group *g, const struct node *victim)
{
	const struct node *leader = group_leader(g);
	struct replica_info info;
	unsigned voters = 0;
	bool member = false;

	if (g->task != TASK_NONE || g->replace_id != 0 || leader == NULL ||
	    g->next_id >= GROUP_NODES_MAX)
		return false;
	g->engine->describe(leader->engine, &info);
	for (unsigned i = 0; i < info.member_count; i++) {
		voters += info.members[i].voter ? 1 : 0;
		member = member || info.members[i].id == victim->id;
	}
	return member && voters >= VOTERS_MIN;
}

/*
 * Replaces a node's folder by an empty one.  Half of the time the node is
 * also restarted under its old id, an operator's error; it must never vote
 * then.
 */
static void
wipe_disk(struct group *g, struct node *node)
{
	if (!may_wipe_disk(g, node))
		return;
	if (g->repaired_step != 0 && g->step < g->repaired_step + 10)
		g->result->wipes_after_repair++;
	group_kill(g, node, 1 + random_below(&g->random, 30));
	fs_free(node->fs);
	node->fs = fs_new(random_next(&g->random));
	node->wiped = true;
	node->last_stored = 0;
	g->result->disks_wiped++;
	group_trace(
	    g, "node %llu loses its disk", (unsigned long long)node->id);
	if (!g->engine->supports_replacement)
		return;
	if (random_below(&g->random, 2) == 0)
		node->removed = true;
	g->replace_id = node->id;
	g->remove_first = random_below(&g->random, 2) == 0;
	g->task = g->remove_first ? TASK_REMOVE : TASK_ADD;
	g->task_id = g->remove_first ? node->id : group_add_node(g)->id;
}

/*
 * Makes one of the next system calls of a node's disk fail.
 */
static void
inject_disk_fault(struct group *g, struct node *node)
{
	static const enum fs_fault faults[] = {FS_KILL_BEFORE, FS_KILL_AFTER,
	    FS_SYNC_ERROR, FS_FULL, FS_WRITE_ERROR};

	node->fs->fault = faults[random_below(&g->random, 5)];
	node->fs->fault_at =
	    node->fs->mutations + 1 + random_below(&g->random, 8);
	g->result->disk_errors++;
}

/*
 * Injects one random fault, more often on the leader.
 */
static void
inject_fault(struct group *g)
{
	struct node *node = random_node(g);
	struct node *leader = group_leader(g);

	if (node == NULL)
		return;
	if (leader != NULL && random_below(&g->random, 3) == 0)
		node = leader;
	switch (random_below(&g->random, 10)) {
	case 0:
	case 1:
	case 2:
		group_kill(g, node, 1 + random_below(&g->random, 60));
		return;
	case 3:
	case 4:
		node->thaw_step = g->step + 5 + random_below(&g->random, 100);
		g->result->freezes++;
		group_trace(
		    g, "node %llu freezes", (unsigned long long)node->id);
		return;
	case 5:
		inject_disk_fault(g, node);
		return;
	case 6:
		wipe_disk(g, node);
		return;
	case 7:
		memset(g->partitioned, 0, sizeof(g->partitioned));
		return;
	default:
		partition_links(g);
		return;
	}
}

/*
 * Starts a random membership change that no fault requires.
 */
static void
change_members(struct group *g)
{
	const struct node *leader = group_leader(g);
	struct replica_info info;

	if (!g->engine->supports_replacement || leader == NULL ||
	    g->task != TASK_NONE || g->replace_id != 0)
		return;
	g->engine->describe(leader->engine, &info);
	if (info.member_count > VOTERS_MIN &&
	    random_below(&g->random, 2) == 0) {
		g->task = TASK_REMOVE;
		g->task_id =
		    info.members[random_below(&g->random, info.member_count)]
			.id;
	} else if (info.member_count < VOTERS_MAX &&
	    g->next_id < GROUP_NODES_MAX - 4) {
		g->task = TASK_ADD;
		g->task_id = group_add_node(g)->id;
	}
}

/*
 * Finishes an operator task and starts the next one: the id of a lost disk
 * is removed and a new replica is added, in either order.
 */
static void
finish_task(struct group *g)
{
	enum operator_task done = g->task;
	struct node *node = &g->nodes[g->task_id - 1];

	group_trace(g, "members: %s %llu done",
	    done == TASK_ADD ? "add" : "remove",
	    (unsigned long long)g->task_id);
	g->result->member_changes++;
	g->task = TASK_NONE;
	if (done == TASK_REMOVE) {
		node->removed = true;
		group_kill(g, node, 0);
	}
	if (g->replace_id == 0)
		return;
	if (done == TASK_REMOVE && g->remove_first) {
		g->task = TASK_ADD;
		g->task_id = group_add_node(g)->id;
	} else if (done == TASK_ADD && !g->remove_first) {
		g->task = TASK_REMOVE;
		g->task_id = g->replace_id;
	} else {
		g->replace_id = 0;
		g->repaired_step = g->step;
	}
}

/*
 * Performs the next step of a task on a leader.  Only a leader with a lease
 * can tell that the change is committed.
 */
static void
advance_task(struct group *g, const struct node *node)
{
	struct replica *leader = node->engine;
	const struct member *member =
	    members_find(&leader->members, g->task_id);
	struct replica_member added = {.id = g->task_id};
	bool is_committed = leader->members_index <= leader->commit_index &&
	    replica_has_lease(leader, group_local_us(g, node));
	uint64_t index;

	if (g->task == TASK_REMOVE) {
		if (member == NULL && is_committed)
			finish_task(g);
		else if (member != NULL)
			replica_remove(leader, g->task_id, &index);
		return;
	}
	if (member == NULL)
		replica_add_learner(leader, &added, &index);
	else if (!member->info.voter)
		replica_promote(leader, g->task_id, &index);
	else if (is_committed)
		finish_task(g);
}

/*
 * Performs an operator's next step, on any node that claims to be the
 * leader.
 */
void
faults_run_operator(struct group *g)
{
	struct node *node = random_node(g);
	struct replica_info info;

	if (g->task == TASK_NONE || node == NULL || !group_is_up(g, node))
		return;
	g->engine->describe(node->engine, &info);
	if (info.role == REPLICA_LEADER)
		advance_task(g, node);
}

/*
 * Injects the faults and membership changes of one step.
 */
void
faults_step(struct group *g)
{
	if (random_below(&g->random, g->fault_steps) == 0)
		inject_fault(g);
	if (g->repaired_step != 0 && g->step == g->repaired_step + 3 &&
	    random_below(&g->random, 2) == 0) {
		struct node *node = random_node(g);

		if (node != NULL)
			wipe_disk(g, node);
	}
	if (random_below(&g->random, 150) == 0)
		change_members(g);
}

/*
 * Ends all faults: links and frozen nodes resume, stopped nodes restart.
 */
void
faults_clear(struct group *g)
{
	memset(g->partitioned, 0, sizeof(g->partitioned));
	for (unsigned i = 0; i < GROUP_NODES_MAX; i++) {
		struct node *node = &g->nodes[i];

		if (!node->used)
			continue;
		node->thaw_step = 0;
		node->fs->fault = FS_NONE;
		if (node->restart_step > g->step)
			node->restart_step = g->step;
	}
}
