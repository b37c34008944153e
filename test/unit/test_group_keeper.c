/*
 * What a leader knows of its members, and what it does about it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "core/group_keeper.h"

enum {
	WANTED = 3,
	SELF = 1
};

/* A clock far from its start, as that of a machine. */
static const uint64_t start_us = 1000 * US_PER_S;

/*
 * Returns what the leader, replica 1, knows of voters 1, 2 and 3 and of the
 * caught up learner 4, at addresses a, b, c and d.
 */
static struct replica_info
three_voters_and_a_learner(void)
{
	struct replica_info info = {.role = REPLICA_LEADER,
	    .term = 1,
	    .member_count = 4,
	    .members_committed = true,
	    .members_index = 1};

	for (unsigned i = 0; i < info.member_count; i++) {
		info.members[i].id = i + 1;
		info.members[i].voter = i < 3;
		snprintf(info.members[i].address,
		    sizeof(info.members[i].address), "%c", 'a' + (int)i);
		info.caught_up[i] = true;
	}
	return info;
}

static void
assert_plan(struct group_keeper *keeper, const struct replica_info *info,
    uint64_t now_us, enum group_change change, uint64_t id)
{
	struct group_action action;

	group_keeper_update(keeper, info, SELF, now_us);
	action = group_keeper_plan(keeper, info, WANTED, now_us);
	assert_int_equal(action.change, change);
	if (change != GROUP_KEEP)
		assert_int_equal(action.id, id);
}

/*
 * An answer of another replica from a voter's address is enough: the voter is
 * replaced without a wait.
 */
static void
denied_voter_is_replaced_at_once(void **state ATTR_UNUSED)
{
	struct group_keeper keeper = {0};
	struct replica_info info = three_voters_and_a_learner();

	assert_plan(&keeper, &info, start_us, GROUP_KEEP, 0);
	group_keeper_on_denied(&keeper, 2, start_us + 1);
	assert_plan(&keeper, &info, start_us + 2, GROUP_PROMOTE, 4);
	info.members[3].voter = true;
	info.members_index = 2;
	assert_plan(&keeper, &info, start_us + 3, GROUP_REMOVE, 2);
}

/*
 * Where no learner has caught up, the voter stays: its removal would leave a
 * quorum of fewer disks.
 */
static void
denied_voter_stays_until_another_has_caught_up(void **state ATTR_UNUSED)
{
	struct group_keeper keeper = {0};
	struct replica_info info = three_voters_and_a_learner();

	info.caught_up[3] = false;
	assert_plan(&keeper, &info, start_us, GROUP_KEEP, 0);
	group_keeper_on_denied(&keeper, 2, start_us + 1);
	assert_plan(&keeper, &info, start_us + 2, GROUP_KEEP, 0);
	info.caught_up[3] = true;
	assert_plan(
	    &keeper, &info, start_us + 200 * US_PER_MS, GROUP_PROMOTE, 4);
}

/*
 * A message of the voter that comes later shows that its disk is there.
 */
static void
voter_that_speaks_again_is_kept(void **state ATTR_UNUSED)
{
	struct group_keeper keeper = {0};
	struct replica_info info = three_voters_and_a_learner();
	unsigned gone[REPLICA_MEMBERS_MAX];

	assert_plan(&keeper, &info, start_us, GROUP_KEEP, 0);
	group_keeper_on_denied(&keeper, 2, start_us + 1);
	assert_int_equal(
	    group_keeper_gone_voters(&keeper, &info, start_us + 2, gone), 1);
	assert_int_equal(gone[0], 1);
	group_keeper_on_message(&keeper, 2, start_us + 3);
	assert_int_equal(
	    group_keeper_gone_voters(&keeper, &info, start_us + 4, gone), 0);
	assert_plan(&keeper, &info, start_us + 5, GROUP_KEEP, 0);
}

/*
 * A new leader doesn't act on what it was told before it led, nor on silence
 * from before.
 */
static void
leader_counts_what_it_has_seen_itself(void **state ATTR_UNUSED)
{
	struct group_keeper keeper = {0};
	struct replica_info info = three_voters_and_a_learner();
	uint64_t later_us = start_us + 60 * US_PER_S;

	info.role = REPLICA_FOLLOWER;
	group_keeper_update(&keeper, &info, SELF, start_us);
	group_keeper_on_denied(&keeper, 2, start_us + 1);
	info.role = REPLICA_LEADER;
	assert_plan(&keeper, &info, later_us, GROUP_KEEP, 0);
	for (uint64_t id = 2; id <= 4; id += 2)
		group_keeper_on_message(
		    &keeper, id, later_us + 1000 * US_PER_MS);
	assert_plan(&keeper, &info,
	    later_us + (GROUP_SILENT_MS - 1) * US_PER_MS, GROUP_KEEP, 0);
	assert_plan(&keeper, &info,
	    later_us + (GROUP_SILENT_MS + 200) * US_PER_MS, GROUP_PROMOTE, 4);
}

/*
 * The leader's own predecessor, at its own address, is never asked, and is
 * gone all the same.
 */
static void
leaders_own_predecessor_is_replaced(void **state ATTR_UNUSED)
{
	struct group_keeper keeper = {0};
	struct replica_info info = three_voters_and_a_learner();

	snprintf(info.members[2].address, sizeof(info.members[2].address), "a");
	assert_plan(&keeper, &info, start_us, GROUP_PROMOTE, 4);
	info.members[3].voter = true;
	info.members_index = 2;
	assert_plan(&keeper, &info, start_us + 1, GROUP_REMOVE, 3);
}

/*
 * Without a majority of disks the group is lost, whatever else is alive.
 */
static void
majority_of_disks_makes_a_quorum(void **state ATTR_UNUSED)
{
	struct replica_info info = three_voters_and_a_learner();
	const struct replica_info none = {0};

	assert_false(group_is_without_quorum(&none, 0));
	assert_false(group_is_without_quorum(&info, 0));
	assert_false(group_is_without_quorum(&info, 1));
	assert_true(group_is_without_quorum(&info, 2));
	info.members[3].voter = true;
	assert_true(group_is_without_quorum(&info, 2));
}

/*
 * A message for a replica that is not here is denied, by a member and by a
 * joiner without members.
 */
static void
messages_for_another_replica_are_denied(void **state ATTR_UNUSED)
{
	const struct replica_info info = three_voters_and_a_learner();
	const struct replica_info none = {0};

	assert_int_equal(
	    group_judge_message(&info, false, SELF, 2, SELF), GROUP_TAKE);
	assert_int_equal(
	    group_judge_message(&info, false, SELF, 2, 9), GROUP_DENY);
	assert_int_equal(
	    group_judge_message(&none, false, 9, 2, SELF), GROUP_DENY);
	assert_int_equal(group_judge_message(&info, true, SELF, 9, SELF),
	    GROUP_TELL_REMOVED);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(denied_voter_is_replaced_at_once),
	    cmocka_unit_test(denied_voter_stays_until_another_has_caught_up),
	    cmocka_unit_test(voter_that_speaks_again_is_kept),
	    cmocka_unit_test(leader_counts_what_it_has_seen_itself),
	    cmocka_unit_test(leaders_own_predecessor_is_replaced),
	    cmocka_unit_test(majority_of_disks_makes_a_quorum),
	    cmocka_unit_test(messages_for_another_replica_are_denied),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
