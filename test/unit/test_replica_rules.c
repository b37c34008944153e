/*
 * Raft's rules, each on a group of replicas whose messages the test
 * delivers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "support_replica_testbed.h"

/*
 * A leader must not commit an entry of an older term just because a majority
 * has stored it (Ongaro 2014, figure 3.7).
 */
static void
older_terms_are_not_committed_by_majority_alone(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r;
	uint64_t old;

	testbed_isolate(testbed, 1, true);
	testbed_propose(testbed, 1, 1);
	replica_flush(testbed_get(testbed, 1), testbed->now_us);
	old = log_last_index(&testbed_get(testbed, 1)->log);
	testbed_close(testbed, 1);
	testbed_open(testbed, 1);
	testbed_block(testbed, 1, 2, false);
	testbed->now_us += 3 * (uint64_t)ELECTION_US;
	testbed_tick(testbed, 2);
	testbed_drop_messages(testbed);
	r = testbed_get(testbed, 1);
	testbed_tick(testbed, 1);
	while (testbed_deliver_one(testbed) &&
	    log_last_index(&testbed_get(testbed, 2)->log) < old)
		continue;
	assert_int_equal(r->role, REPLICA_LEADER);
	assert_int_equal(log_last_index(&testbed_get(testbed, 2)->log), old);
	testbed->blocked[1][2] = true;
	testbed_deliver_all(testbed);
	assert_true(members_peer(r, 2)->match == old);
	assert_true(r->commit_index < old);
	testbed->blocked[1][2] = false;
	testbed->now_us += HEARTBEAT_US;
	testbed_tick(testbed, 1);
	testbed_deliver_all(testbed);
	assert_true(r->commit_index > old);
	testbed_free(testbed);
}

/*
 * Followers in contact with a leader refuse pre-votes, also right after a
 * restart; otherwise a second leader could be elected during a lease.
 */
static void
votes_are_refused_during_a_lease(void **state ATTR_UNUSED)
{
	for (int restart = 0; restart < 2; restart++) {
		struct testbed *testbed = testbed_new(3, 1000);
		struct replica *isolated = testbed_get(testbed, 3);

		testbed_block(testbed, 1, 3, true);
		for (int i = 0; i < 20; i++) {
			testbed->now_us += HEARTBEAT_US;
			testbed_tick(testbed, 1);
			testbed_deliver_all(testbed);
		}
		if (restart) {
			testbed_close(testbed, 2);
			testbed_open(testbed, 2);
		}
		testbed->now_us += HEARTBEAT_US;
		assert_true(replica_has_lease(
		    testbed_get(testbed, 1), testbed->now_us));
		testbed_tick(testbed, 3);
		assert_int_equal(isolated->role, REPLICA_PRE_CANDIDATE);
		testbed_deliver_all(testbed);
		assert_int_equal(isolated->role, REPLICA_PRE_CANDIDATE);
		assert_int_equal(testbed_get(testbed, 1)->role, REPLICA_LEADER);
		testbed_free(testbed);
	}
}

/*
 * Followers in contact with a leader refuse votes as well, and a request of
 * a higher term does not change theirs.
 */
static void
vote_requests_during_a_lease_keep_the_term(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *follower = testbed_get(testbed, 2);
	uint64_t term = follower->term;

	for (uint64_t ahead = 0; ahead < 2; ahead++) {
		Replica__Message m = REPLICA__MESSAGE__INIT;
		uint8_t bytes[256];
		size_t len;

		m.kind = REPLICA__KIND__KIND_VOTE;
		m.term = term + ahead;
		m.index = 1000;
		m.log_term = term + ahead;
		m.to_disk = follower->storage.disk;
		m.from_disk = testbed_get(testbed, 3)->storage.disk;
		len = replica__message__pack(&m, bytes);
		replica_receive(follower, 3, str_of((const char *)bytes, len),
		    testbed->now_us);
		replica_flush(follower, testbed->now_us);
		assert_true(follower->term == term);
		assert_true(follower->vote != 3);
	}
	testbed_free(testbed);
}

/*
 * Only votes of voters count: neither a learner's reply nor a vote that a
 * member gave before it became a learner makes a leader.
 */
static void
votes_of_learners_do_not_count(void **state ATTR_UNUSED)
{
	static const Replica__Kind kinds[] = {
	    REPLICA__KIND__KIND_PRE_VOTE_REPLY, REPLICA__KIND__KIND_VOTE_REPLY};
	struct testbed *testbed = testbed_new(3, 1000);
	const struct replica_member learner = {.id = 4};
	struct replica *r = testbed_get(testbed, 1);
	uint64_t index;

	assert_int_equal(replica_add_learner(r, &learner, &index), STATUS_OK);
	testbed_open(testbed, 4);
	testbed_run(testbed, 6 * (uint64_t)HEARTBEAT_US);
	testbed_isolate(testbed, 1, true);
	testbed_run(testbed, 3 * (uint64_t)ELECTION_US);
	assert_int_equal(r->role, REPLICA_PRE_CANDIDATE);
	for (unsigned i = 0; i < 2; i++) {
		Replica__Message m = REPLICA__MESSAGE__INIT;
		enum replica_role role = r->role;
		uint8_t bytes[256];
		size_t len;

		m.kind = kinds[i];
		m.term = i == 0 ? r->term + 1 : r->term;
		m.from_disk = members_peer(r, 4)->disk;
		len = replica__message__pack(&m, bytes);
		replica_receive(
		    r, 4, str_of((const char *)bytes, len), testbed->now_us);
		replica_flush(r, testbed->now_us);
		assert_false(members_peer(r, 4)->granted);
		members_peer(r, 4)->granted = true;
		replica_flush(r, testbed->now_us);
		assert_int_equal(r->role, role);
		members_peer(r, 2)->granted = true;
		replica_flush(r, testbed->now_us);
		assert_int_equal(
		    r->role, i == 0 ? REPLICA_CANDIDATE : REPLICA_LEADER);
	}
	testbed_free(testbed);
}

/*
 * A leader that receives no replies from a majority loses its lease, commits
 * nothing, steps down and refuses proposals.
 */
static void
leader_without_quorum_steps_down(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 1);
	uint64_t index, term, commit;

	testbed_isolate(testbed, 1, true);
	testbed_propose(testbed, 1, 1);
	commit = r->commit_index;
	testbed->now_us += LEASE_US + 1;
	assert_false(replica_has_lease(r, testbed->now_us));
	testbed_run(testbed, 3 * (uint64_t)ELECTION_US);
	assert_int_not_equal(r->role, REPLICA_LEADER);
	assert_true(r->commit_index == commit);
	assert_int_equal(replica_propose(r, str_from("x"), &index, &term),
	    STATUS_UNAVAILABLE);
	testbed_isolate(testbed, 1, false);
	testbed_run(testbed, 3 * (uint64_t)ELECTION_US);
	assert_true(
	    testbed->replicas[0].applied == testbed->replicas[1].applied);
	testbed_free(testbed);
}

/*
 * Only one membership change may be uncommitted, and none may start before
 * the leader has committed an entry of its own term.
 */
static void
membership_changes_are_serialized(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	const struct replica_member learner = {.id = 4},
				    second_learner = {.id = 5};
	struct replica *r = testbed_get(testbed, 1);
	uint64_t index;

	assert_int_equal(replica_promote(r, 4, &index), STATUS_NOT_FOUND);
	assert_int_equal(replica_add_learner(r, &learner, &index), STATUS_OK);
	assert_int_equal(
	    replica_add_learner(r, &second_learner, &index), STATUS_BUSY);
	assert_int_equal(replica_remove(r, 2, &index), STATUS_BUSY);
	replica_flush(r, testbed->now_us);
	testbed_deliver_all(testbed);
	assert_int_equal(replica_promote(r, 4, &index), STATUS_BUSY);
	testbed_open(testbed, 4);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	testbed_isolate(testbed, 4, true);
	testbed_propose(testbed, 1, 3);
	testbed_run(testbed, 2 * (uint64_t)HEARTBEAT_US);
	assert_int_equal(replica_promote(r, 4, &index), STATUS_BUSY);
	testbed_isolate(testbed, 4, false);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	assert_int_equal(replica_promote(r, 4, &index), STATUS_OK);
	assert_int_equal(members_quorum(r), 3);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	assert_true(r->commit_index >= index);
	testbed_isolate(testbed, 1, true);
	testbed->now_us += 3 * (uint64_t)ELECTION_US;
	testbed_tick(testbed, 1);
	testbed_tick(testbed, 3);
	testbed_drop_messages(testbed);
	testbed_tick(testbed, 2);
	while (testbed_get(testbed, 2)->role != REPLICA_LEADER)
		assert_true(testbed_deliver_one(testbed));
	assert_int_equal(replica_add_learner(
			     testbed_get(testbed, 2), &second_learner, &index),
	    STATUS_BUSY);
	testbed_deliver_all(testbed);
	assert_int_equal(replica_add_learner(
			     testbed_get(testbed, 2), &second_learner, &index),
	    STATUS_OK);
	testbed_free(testbed);
}

/*
 * After a restart of all, pre-votes are refused by replicas that started later.
 * Guards against a group without a leader for up to two further election
 * timeouts after the votes would be granted.
 */
static void
refused_pre_votes_are_repeated_soon(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(5, 1000);

	for (unsigned round = 0; round < 20; round++) {
		uint64_t granted_us;
		bool elected = false;

		for (unsigned id = 1; id <= 5; id++)
			testbed_close(testbed, id);
		testbed_drop_messages(testbed);
		for (unsigned id = 1; id <= 5; id++)
			testbed_open(testbed, id);
		granted_us = testbed->now_us + ELECTION_US;
		/* Two ask just before the others grant votes. */
		for (unsigned id = 1; id <= 5; id++)
			testbed_get(testbed, id)->election_due_us =
			    id == 1 + round % 5 || id == 1 + (round + 1) % 5
			    ? granted_us - 10 * US_PER_MS
			    : granted_us + ELECTION_US;
		testbed_run(testbed, ELECTION_US);
		while (!elected &&
		    testbed->now_us < granted_us + 4 * (uint64_t)HEARTBEAT_US) {
			testbed_run(testbed, 10 * (uint64_t)US_PER_MS);
			for (unsigned id = 1; id <= 5; id++)
				elected = elected ||
				    testbed_get(testbed, id)->role ==
					REPLICA_LEADER;
		}
		assert_true(elected);
		testbed_run(testbed, ELECTION_US);
	}
	testbed_free(testbed);
}

static uint64_t
list_us(struct testbed *testbed, unsigned id)
{
	struct replica_info info;

	replica_describe(testbed_get(testbed, id), &info);
	return info.list_us;
}

/*
 * After a restart without a leader a replica learns from a majority that there
 * is no later list of members.  Guards against a majority that is missing, that
 * knows a later list, or that has lost its log.
 */
static void
a_later_list_is_ruled_out_by_a_majority(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	const struct replica_member learner = {.id = 4};
	uint64_t index;

	testbed_isolate(testbed, 3, true);
	assert_int_equal(
	    replica_add_learner(testbed_get(testbed, 1), &learner, &index),
	    STATUS_OK);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	testbed_isolate(testbed, 3, false);
	for (unsigned id = 1; id <= 3; id++)
		testbed_close(testbed, id);
	testbed_drop_messages(testbed);
	testbed_open(testbed, 3);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	assert_true(list_us(testbed, 3) == 0);
	/* The other one has a later list than this one. */
	testbed_close(testbed, 3);
	testbed_open(testbed, 3);
	testbed_open(testbed, 2);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	assert_true(list_us(testbed, 3) == 0);
	assert_true(list_us(testbed, 2) != 0);
	assert_true(list_us(testbed, 2) <= testbed->now_us);
	assert_int_equal(testbed_get(testbed, 2)->role, REPLICA_PRE_CANDIDATE);
	/* It comes back without its log. */
	testbed_close(testbed, 2);
	fs_free(testbed->replicas[1].fs);
	testbed->replicas[1].fs = NULL;
	testbed_close(testbed, 3);
	testbed_open(testbed, 2);
	testbed_open(testbed, 3);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	assert_true(list_us(testbed, 3) == 0);
	testbed_free(testbed);
}

/*
 * Guards against a replica that votes for itself soon after a restart, although
 * the leader's lease depends on what it answered before: two leaders would have
 * a lease.
 */
static void
a_restarted_replica_waits_before_it_votes_for_itself(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	uint64_t opened_us;

	testbed_block(testbed, 1, 3, true);
	testbed_run(testbed, 2 * (uint64_t)ELECTION_US);
	assert_true(
	    replica_has_lease(testbed_get(testbed, 1), testbed->now_us));
	testbed_close(testbed, 2);
	testbed_block(testbed, 1, 2, true);
	testbed_open(testbed, 2);
	opened_us = testbed->now_us;
	while (testbed->now_us < opened_us + ELECTION_US - 10 * US_PER_MS) {
		testbed_run(testbed, 10 * (uint64_t)US_PER_MS);
		for (unsigned id = 2; id <= 3; id++)
			assert_true(
			    testbed_get(testbed, id)->role != REPLICA_LEADER);
	}
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	assert_true(testbed_get(testbed, 2)->role == REPLICA_LEADER ||
	    testbed_get(testbed, 3)->role == REPLICA_LEADER);
	testbed_free(testbed);
}

/*
 * Guards against replicas that learn nothing about the lists of the others
 * after a restart because one of them has a higher term.
 */
static void
lists_are_ruled_out_across_terms(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 3);

	r->term++;
	r->vote = 0;
	replica_save_state(r);
	replica_flush(r, testbed->now_us);
	for (unsigned id = 1; id <= 3; id++)
		testbed_close(testbed, id);
	testbed_drop_messages(testbed);
	testbed_open(testbed, 1);
	testbed_open(testbed, 3);
	testbed_block(testbed, 1, 3, true);
	testbed_open(testbed, 2);
	testbed_block(testbed, 1, 2, true);
	/* The one with the higher term hears only from one with a lower one. */
	testbed_get(testbed, 2)->election_due_us =
	    testbed->now_us + ELECTION_US;
	testbed_run(testbed, 3 * (uint64_t)HEARTBEAT_US + 10 * US_PER_MS);
	assert_true(list_us(testbed, 3) != 0);
	/* One with a lower term asks again soon after it has learned of it. */
	testbed_block(testbed, 1, 3, false);
	testbed_block(testbed, 2, 3, true);
	testbed_run(testbed, 3 * (uint64_t)HEARTBEAT_US + 10 * US_PER_MS);
	assert_true(
	    testbed_get(testbed, 1)->term == testbed_get(testbed, 3)->term);
	assert_true(testbed_get(testbed, 1)->election_due_us <=
	    testbed->now_us + 3 * (uint64_t)HEARTBEAT_US);
	testbed_free(testbed);
}

/*
 * Voters are listed in the order of their promotion.  Guards against a voter
 * that stops being among the first ones, which hold the shares of allowances,
 * when a learner that joined before it is promoted.
 */
static void
promotions_keep_the_order_of_voters(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	const struct replica_member learners[] = {{.id = 4}, {.id = 5}};
	struct replica *r = testbed_get(testbed, 1);
	uint64_t index;

	for (unsigned i = 0; i < 2; i++) {
		assert_int_equal(
		    replica_add_learner(r, &learners[i], &index), STATUS_OK);
		testbed_open(testbed, 4 + i);
		testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	}
	assert_int_equal(replica_promote(r, 5, &index), STATUS_OK);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	assert_int_equal(replica_promote(r, 4, &index), STATUS_OK);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	for (unsigned id = 1; id <= 5; id++) {
		static const uint64_t expected[] = {1, 2, 3, 5, 4};
		const struct members *members =
		    &testbed_get(testbed, id)->members;

		assert_int_equal(members->count, 5);
		for (unsigned i = 0; i < 5; i++)
			assert_true(members->list[i].info.id == expected[i] &&
			    members->list[i].info.voter);
	}
	testbed_free(testbed);
}

/*
 * A leader that is removed steps down once its removal is committed, and the
 * others elect a new one.
 */
static void
removed_leader_steps_down(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 1);
	uint64_t index, applied;

	testbed_propose(testbed, 1, 3);
	assert_int_equal(replica_remove(r, 1, &index), STATUS_OK);
	assert_int_equal(r->role, REPLICA_LEADER);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	assert_int_not_equal(r->role, REPLICA_LEADER);
	assert_true(r->applied_index >= index);
	testbed_run(testbed, 4 * (uint64_t)ELECTION_US);
	assert_int_equal(r->role, REPLICA_FOLLOWER);
	applied = testbed->replicas[1].applied;
	assert_int_equal(applied, 3);
	assert_true(testbed_get(testbed, 2)->role == REPLICA_LEADER ||
	    testbed_get(testbed, 3)->role == REPLICA_LEADER);
	testbed_free(testbed);
}

/*
 * Guards against a member that is told of its removal and gives up its log
 * before the removal is committed.
 */
static void
removal_is_not_reported_before_it_is_committed(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 1);
	struct replica_info info;
	uint64_t index;

	testbed_propose(testbed, 1, 1);
	replica_describe(r, &info);
	assert_true(info.members_committed);
	assert_int_equal(replica_remove(r, 3, &index), STATUS_OK);
	replica_describe(r, &info);
	assert_int_equal(info.member_count, 2);
	assert_false(info.members_committed);
	testbed_run(testbed, 4 * (uint64_t)HEARTBEAT_US);
	replica_describe(r, &info);
	assert_true(info.members_committed);
	testbed_free(testbed);
}

/*
 * A snapshot stores the members in effect at its index, not later ones that
 * may never be committed.
 */
static void
snapshot_holds_members_at_its_index(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 8);
	const struct replica_member learner = {.id = 4};
	struct replica *r = testbed_get(testbed, 1);
	uint64_t index;

	testbed_propose(testbed, 1, 12);
	replica_flush(r, testbed->now_us);
	assert_int_equal(replica_add_learner(r, &learner, &index), STATUS_OK);
	while (r->snapshot_index == 0)
		assert_true(testbed_deliver_one(testbed));
	assert_true(r->members_index > r->snapshot_index);
	assert_int_equal(r->members.count, 4);
	assert_int_equal(r->snapshot_members.count, 3);
	testbed_free(testbed);
}

/*
 * A follower whose missing entries are discarded receives a snapshot in
 * chunks.
 */
static void
lagging_follower_receives_a_snapshot(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 16);

	testbed_isolate(testbed, 3, true);
	for (unsigned i = 0; i < 20; i++) {
		testbed_propose(testbed, 1, 10);
		testbed_run(testbed, 2 * (uint64_t)HEARTBEAT_US);
	}
	assert_int_equal(testbed->replicas[0].applied, 200);
	assert_int_equal(testbed->replicas[2].applied, 0);
	assert_true(testbed_get(testbed, 1)->image->len > 2 * 1024);
	testbed_isolate(testbed, 3, false);
	testbed_run(testbed, 2 * (uint64_t)ELECTION_US);
	assert_int_equal(testbed->replicas[2].applied, 200);
	assert_true(testbed_get(testbed, 3)->snapshot_index > 0);
	testbed_free(testbed);
}

/*
 * A replica that restarts under its old id with an empty folder never votes;
 * checked for a bootstrap member and for one that was added later.
 */
static void
replica_with_lost_disk_never_votes(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	const struct replica_member learner = {.id = 4};
	struct replica *r = testbed_get(testbed, 1);
	uint64_t index;

	assert_int_equal(replica_add_learner(r, &learner, &index), STATUS_OK);
	testbed_open(testbed, 4);
	testbed_run(testbed, 6 * (uint64_t)HEARTBEAT_US);
	assert_int_equal(replica_promote(r, 4, &index), STATUS_OK);
	testbed_run(testbed, 6 * (uint64_t)HEARTBEAT_US);
	for (unsigned id = 3; id <= 4; id++) {
		testbed_close(testbed, id);
		fs_free(testbed->replicas[id - 1].fs);
		testbed->replicas[id - 1].fs = NULL;
		testbed->now_us++;
		testbed_open(testbed, id);
		testbed_run(testbed, 6 * (uint64_t)HEARTBEAT_US);
		assert_int_equal(
		    testbed_get(testbed, id)->role, REPLICA_STOPPED);
		assert_true(testbed_get(testbed, id)->vote == 0);
	}
	testbed_free(testbed);
}

/*
 * Two bootstrap members that lost their disks must not elect a leader
 * between them while the third is down: neither can tell whether it has
 * voted before.
 */
static void
empty_bootstrap_member_waits_for_all(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);

	for (unsigned id = 1; id <= 3; id++)
		testbed_close(testbed, id);
	for (unsigned id = 2; id <= 3; id++) {
		fs_free(testbed->replicas[id - 1].fs);
		testbed->replicas[id - 1].fs = NULL;
		testbed->now_us++;
		testbed_open(testbed, id);
	}
	testbed_run(testbed, 5 * (uint64_t)ELECTION_US);
	assert_true(testbed_get(testbed, 2)->term == 0);
	assert_true(testbed_get(testbed, 3)->term == 0);
	testbed_open(testbed, 1);
	testbed_run(testbed, 2 * (uint64_t)ELECTION_US);
	assert_int_equal(testbed_get(testbed, 2)->role, REPLICA_STOPPED);
	assert_int_equal(testbed_get(testbed, 3)->role, REPLICA_STOPPED);
	testbed_free(testbed);
}

/*
 * A storage error stops a replica permanently: it sends nothing more.
 */
static void
failed_disk_stops_the_replica(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 1);
	uint64_t index, term;

	testbed_propose(testbed, 1, 1);
	testbed->replicas[0].fs->fault = FS_SYNC_ERROR;
	replica_flush(r, testbed->now_us);
	assert_int_equal(r->role, REPLICA_STOPPED);
	testbed_deliver_all(testbed);
	testbed_run(testbed, HEARTBEAT_US);
	assert_int_equal(r->out_count, 0);
	assert_int_equal(replica_propose(r, str_from("x"), &index, &term),
	    STATUS_UNAVAILABLE);
	assert_false(replica_has_lease(r, testbed->now_us));
	testbed_run(testbed, 4 * (uint64_t)ELECTION_US);
	assert_true(testbed_get(testbed, 2)->role == REPLICA_LEADER ||
	    testbed_get(testbed, 3)->role == REPLICA_LEADER);
	testbed_free(testbed);
}

/*
 * An entry that the storage failed to append may be in the log after a restart,
 * so that its proposal must not end as refused or as accepted.
 */
static void
failed_append_is_neither_refused_nor_accepted(void **state ATTR_UNUSED)
{
	enum {
		BUFFERED_BYTES =
		    (1 << 20) - 64 /* written with the next entry */
	};
	static char command[BUFFERED_BYTES];
	const struct replica_member learner = {.id = 4};

	for (unsigned kind = 0; kind < 3; kind++) {
		struct testbed *testbed = testbed_new(3, 1000);
		struct replica *r = testbed_get(testbed, 1);
		struct fs *fs = testbed->replicas[0].fs;
		uint64_t index, term;
		enum status status;

		assert_int_equal(
		    replica_propose(
			r, str_of(command, sizeof(command)), &index, &term),
		    STATUS_OK);
		fs->fault = FS_WRITE_ERROR;
		fs->fault_at = fs->mutations + 1;
		if (kind == 0)
			status = replica_propose(
			    r, str_of(command, sizeof(command)), &index, &term);
		else if (kind == 1)
			status = replica_add_learner(r, &learner, &index);
		else
			status = replica_remove(r, 3, &index);
		assert_int_equal(r->role, REPLICA_STOPPED);
		assert_int_equal(status, STATUS_IO);
		testbed_free(testbed);
	}
}

/*
 * The number of uncommitted commands is bounded.
 */
static void
uncommitted_commands_are_bounded(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 1);
	uint64_t index, term, count = 0;

	testbed_isolate(testbed, 1, true);
	while (replica_propose(r, str_from("x"), &index, &term) == STATUS_OK)
		count++;
	assert_true(count <= UNCOMMITTED_MAX_ENTRIES);
	assert_int_equal(
	    replica_propose(r, str_from("x"), &index, &term), STATUS_BUSY);
	testbed_free(testbed);
}

/*
 * Passes a heartbeat of replica 1 to a follower, sent and received then.
 */
static void
receive_heartbeat(
    struct testbed *testbed, struct replica *r, uint64_t sent, uint64_t now)
{
	Replica__Message m = REPLICA__MESSAGE__INIT;
	uint8_t bytes[256];
	size_t len;

	m.kind = REPLICA__KIND__KIND_APPEND;
	m.term = r->term;
	m.sent_us = sent;
	m.to_disk = r->storage.disk;
	m.from_disk = testbed_get(testbed, 1)->storage.disk;
	len = replica__message__pack(&m, bytes);
	assert_int_equal(
	    replica_receive(r, 1, str_of((const char *)bytes, len), now),
	    STATUS_OK);
}

/*
 * A follower that was frozen or cut off reads heartbeats that waited in its
 * socket: they must not count as touch with the leader, which may have replaced
 * the follower meanwhile.
 */
static void
held_up_heartbeats_are_no_touch(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 2);
	struct replica_info info;
	uint64_t sent;

	testbed_run(testbed, 2 * US_PER_S);
	replica_describe(r, &info);
	assert_true(testbed->now_us - info.touch_us <= 2 * HEARTBEAT_US);
	sent = testbed->now_us;
	for (unsigned i = 1; i <= 40; i++)
		receive_heartbeat(
		    testbed, r, sent + i * HEARTBEAT_US, sent + 20 * US_PER_S);
	replica_describe(r, &info);
	assert_true(info.touch_us <= sent);
	receive_heartbeat(
	    testbed, r, sent + 21 * US_PER_S, sent + 21 * US_PER_S);
	replica_describe(r, &info);
	assert_true(info.touch_us == sent + 21 * US_PER_S);
	testbed_free(testbed);
}

/*
 * Guards against a restarted holder that may not grant in the first second of a
 * new leader, and against one that was frozen after its start and takes what it
 * reads then for touch.
 */
static void
the_first_heartbeat_is_as_new_as_the_process(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 2);
	struct replica_info info;
	uint64_t now;

	testbed_run(testbed, 2 * US_PER_S);
	now = testbed->now_us;
	r->touch_us = 0;
	r->leader_delay.term = 0;
	r->config.started_us = now - US_PER_S;
	receive_heartbeat(testbed, r, now, now);
	replica_describe(r, &info);
	assert_true(info.touch_us == now - US_PER_S);
	receive_heartbeat(testbed, r, now, now + 20 * US_PER_S);
	replica_describe(r, &info);
	assert_true(info.touch_us == now - US_PER_S);
	testbed_free(testbed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(older_terms_are_not_committed_by_majority_alone),
	    cmocka_unit_test(votes_are_refused_during_a_lease),
	    cmocka_unit_test(vote_requests_during_a_lease_keep_the_term),
	    cmocka_unit_test(votes_of_learners_do_not_count),
	    cmocka_unit_test(leader_without_quorum_steps_down),
	    cmocka_unit_test(membership_changes_are_serialized),
	    cmocka_unit_test(refused_pre_votes_are_repeated_soon),
	    cmocka_unit_test(a_later_list_is_ruled_out_by_a_majority),
	    cmocka_unit_test(
		a_restarted_replica_waits_before_it_votes_for_itself),
	    cmocka_unit_test(lists_are_ruled_out_across_terms),
	    cmocka_unit_test(promotions_keep_the_order_of_voters),
	    cmocka_unit_test(removed_leader_steps_down),
	    cmocka_unit_test(removal_is_not_reported_before_it_is_committed),
	    cmocka_unit_test(snapshot_holds_members_at_its_index),
	    cmocka_unit_test(lagging_follower_receives_a_snapshot),
	    cmocka_unit_test(replica_with_lost_disk_never_votes),
	    cmocka_unit_test(empty_bootstrap_member_waits_for_all),
	    cmocka_unit_test(failed_disk_stops_the_replica),
	    cmocka_unit_test(failed_append_is_neither_refused_nor_accepted),
	    cmocka_unit_test(uncommitted_commands_are_bounded),
	    cmocka_unit_test(held_up_heartbeats_are_no_touch),
	    cmocka_unit_test(the_first_heartbeat_is_as_new_as_the_process),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
