/*
 * Raft's rules one by one, on replicas whose messages the test hands over.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "support_replica_bed.h"

/*
 * An entry of an older term is not committed by count alone (Ongaro 2014,
 * figure 3.7).
 */
static void
older_terms_are_not_committed_by_count(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 1000);
	struct replica *r;
	uint64_t old;

	bed_isolate(bed, 1, true);
	bed_propose(bed, 1, 1);
	replica_flush(bed_replica(bed, 1), bed->now_us);
	old = log_last_index(&bed_replica(bed, 1)->log);
	bed_close(bed, 1);
	bed_open(bed, 1);
	bed_block(bed, 1, 2, false);
	bed->now_us += 3 * (uint64_t)ELECTION_US;
	bed_tick(bed, 2);
	bed_lose(bed);
	r = bed_replica(bed, 1);
	bed_tick(bed, 1);
	while (bed_deliver_one(bed) &&
	    log_last_index(&bed_replica(bed, 2)->log) < old)
		continue;
	assert_int_equal(r->role, REPLICA_LEADER);
	assert_int_equal(log_last_index(&bed_replica(bed, 2)->log), old);
	bed->blocked[1][2] = true;
	bed_settle(bed);
	assert_true(members_peer(r, 2)->match == old);
	assert_true(r->commit_index < old);
	bed->blocked[1][2] = false;
	bed->now_us += HEARTBEAT_US;
	bed_tick(bed, 1);
	bed_settle(bed);
	assert_true(r->commit_index > old);
	bed_free(bed);
}

/*
 * While a leader is heard its followers refuse votes, so its lease holds;
 * also just after a restart.
 */
static void
votes_are_refused_during_a_lease(void **state ATTR_UNUSED)
{
	for (int restart = 0; restart < 2; restart++) {
		struct bed *bed = bed_new(3, 1000);
		struct replica *far = bed_replica(bed, 3);

		bed_block(bed, 1, 3, true);
		for (int i = 0; i < 20; i++) {
			bed->now_us += HEARTBEAT_US;
			bed_tick(bed, 1);
			bed_settle(bed);
		}
		if (restart) {
			bed_close(bed, 2);
			bed_open(bed, 2);
		}
		bed->now_us += HEARTBEAT_US;
		assert_true(
		    replica_has_lease(bed_replica(bed, 1), bed->now_us));
		bed_tick(bed, 3);
		assert_int_equal(far->role, REPLICA_PRE_CANDIDATE);
		bed_settle(bed);
		assert_int_equal(far->role, REPLICA_PRE_CANDIDATE);
		assert_int_equal(bed_replica(bed, 1)->role, REPLICA_LEADER);
		bed_free(bed);
	}
}

/*
 * Real votes are refused as well, and move no term, during a lease.
 */
static void
real_votes_are_refused_during_a_lease(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 1000);
	struct replica *near = bed_replica(bed, 2);
	uint64_t term = near->term;

	for (uint64_t ahead = 0; ahead < 2; ahead++) {
		Replica__Message m = REPLICA__MESSAGE__INIT;
		uint8_t bytes[256];
		size_t len;

		m.kind = REPLICA__KIND__KIND_VOTE;
		m.term = term + ahead;
		m.index = 1000;
		m.log_term = term + ahead;
		m.to_disk = near->storage.disk;
		m.from_disk = bed_replica(bed, 3)->storage.disk;
		len = replica__message__pack(&m, bytes);
		replica_receive(
		    near, 3, str_of((const char *)bytes, len), bed->now_us);
		replica_flush(near, bed->now_us);
		assert_true(near->term == term);
		assert_true(near->vote != 3);
	}
	bed_free(bed);
}

/*
 * A leader that no majority answers steps down and takes nothing.
 */
static void
silent_leader_steps_down(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 1000);
	struct replica *r = bed_replica(bed, 1);
	uint64_t index, term, commit;

	bed_isolate(bed, 1, true);
	bed_propose(bed, 1, 1);
	commit = r->commit_index;
	bed->now_us += LEASE_US + 1;
	assert_false(replica_has_lease(r, bed->now_us));
	bed_run(bed, 3 * (uint64_t)ELECTION_US);
	assert_int_not_equal(r->role, REPLICA_LEADER);
	assert_true(r->commit_index == commit);
	assert_int_equal(replica_propose(r, str_from("x"), &index, &term),
	    STATUS_UNAVAILABLE);
	bed_isolate(bed, 1, false);
	bed_run(bed, 3 * (uint64_t)ELECTION_US);
	assert_true(bed->nodes[0].applied == bed->nodes[1].applied);
	bed_free(bed);
}

/*
 * One change of members at a time, and none before the leader has
 * committed in its own term.
 */
static void
members_change_one_at_a_time(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 1000);
	const struct replica_member four = {.id = 4}, five = {.id = 5};
	struct replica *r = bed_replica(bed, 1);
	uint64_t index;

	assert_int_equal(replica_promote(r, 4, &index), STATUS_NOT_FOUND);
	assert_int_equal(replica_add_learner(r, &four, &index), STATUS_OK);
	assert_int_equal(replica_add_learner(r, &five, &index), STATUS_BUSY);
	assert_int_equal(replica_remove(r, 2, &index), STATUS_BUSY);
	replica_flush(r, bed->now_us);
	bed_settle(bed);
	assert_int_equal(replica_promote(r, 4, &index), STATUS_BUSY);
	bed_open(bed, 4);
	bed_run(bed, 4 * (uint64_t)HEARTBEAT_US);
	bed_isolate(bed, 4, true);
	bed_propose(bed, 1, 3);
	bed_run(bed, 2 * (uint64_t)HEARTBEAT_US);
	assert_int_equal(replica_promote(r, 4, &index), STATUS_BUSY);
	bed_isolate(bed, 4, false);
	bed_run(bed, 4 * (uint64_t)HEARTBEAT_US);
	assert_int_equal(replica_promote(r, 4, &index), STATUS_OK);
	assert_int_equal(members_quorum(r), 3);
	bed_run(bed, 4 * (uint64_t)HEARTBEAT_US);
	assert_true(r->commit_index >= index);
	bed_isolate(bed, 1, true);
	bed->now_us += 3 * (uint64_t)ELECTION_US;
	bed_tick(bed, 1);
	bed_tick(bed, 3);
	bed_lose(bed);
	bed_tick(bed, 2);
	while (bed_replica(bed, 2)->role != REPLICA_LEADER)
		assert_true(bed_deliver_one(bed));
	assert_int_equal(
	    replica_add_learner(bed_replica(bed, 2), &five, &index),
	    STATUS_BUSY);
	bed_settle(bed);
	assert_int_equal(
	    replica_add_learner(bed_replica(bed, 2), &five, &index), STATUS_OK);
	bed_free(bed);
}

/*
 * A leader that is removed steps down once that is committed; the others
 * go on.
 */
static void
removed_leader_steps_down(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 1000);
	struct replica *r = bed_replica(bed, 1);
	uint64_t index, applied;

	bed_propose(bed, 1, 3);
	assert_int_equal(replica_remove(r, 1, &index), STATUS_OK);
	assert_int_equal(r->role, REPLICA_LEADER);
	bed_run(bed, 4 * (uint64_t)HEARTBEAT_US);
	assert_int_not_equal(r->role, REPLICA_LEADER);
	assert_true(r->applied_index >= index);
	bed_run(bed, 4 * (uint64_t)ELECTION_US);
	assert_int_equal(r->role, REPLICA_FOLLOWER);
	applied = bed->nodes[1].applied;
	assert_int_equal(applied, 3);
	assert_true(bed_replica(bed, 2)->role == REPLICA_LEADER ||
	    bed_replica(bed, 3)->role == REPLICA_LEADER);
	bed_free(bed);
}

/*
 * A snapshot carries the members in force at its index, not newer ones
 * that may never be committed.
 */
static void
snapshots_hold_their_own_members(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 8);
	const struct replica_member four = {.id = 4};
	struct replica *r = bed_replica(bed, 1);
	uint64_t index;

	bed_propose(bed, 1, 12);
	replica_flush(r, bed->now_us);
	assert_int_equal(replica_add_learner(r, &four, &index), STATUS_OK);
	while (r->snapshot_index == 0)
		assert_true(bed_deliver_one(bed));
	assert_true(r->members_index > r->snapshot_index);
	assert_int_equal(r->members.count, 4);
	assert_int_equal(r->snapshot_members.count, 3);
	bed_free(bed);
}

/*
 * A follower far behind takes a snapshot in chunks.
 */
static void
far_follower_takes_a_snapshot(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 16);

	bed_isolate(bed, 3, true);
	for (unsigned i = 0; i < 20; i++) {
		bed_propose(bed, 1, 10);
		bed_run(bed, 2 * (uint64_t)HEARTBEAT_US);
	}
	assert_int_equal(bed->nodes[0].applied, 200);
	assert_int_equal(bed->nodes[2].applied, 0);
	assert_true(bed_replica(bed, 1)->image->len > 2 * 1024);
	bed_isolate(bed, 3, false);
	bed_run(bed, 2 * (uint64_t)ELECTION_US);
	assert_int_equal(bed->nodes[2].applied, 200);
	assert_true(bed_replica(bed, 3)->snapshot_index > 0);
	bed_free(bed);
}

/*
 * An empty folder under an old id never votes: a first member and one that
 * was added later.
 */
static void
lost_disk_never_votes_again(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 1000);
	const struct replica_member four = {.id = 4};
	struct replica *r = bed_replica(bed, 1);
	uint64_t index;

	assert_int_equal(replica_add_learner(r, &four, &index), STATUS_OK);
	bed_open(bed, 4);
	bed_run(bed, 6 * (uint64_t)HEARTBEAT_US);
	assert_int_equal(replica_promote(r, 4, &index), STATUS_OK);
	bed_run(bed, 6 * (uint64_t)HEARTBEAT_US);
	for (unsigned id = 3; id <= 4; id++) {
		bed_close(bed, id);
		fs_free(bed->nodes[id - 1].fs);
		bed->nodes[id - 1].fs = NULL;
		bed->now_us++;
		bed_open(bed, id);
		bed_run(bed, 6 * (uint64_t)HEARTBEAT_US);
		assert_int_equal(bed_replica(bed, id)->role, REPLICA_STOPPED);
		assert_true(bed_replica(bed, id)->vote == 0);
	}
	bed_free(bed);
}

/*
 * Alone with another that lost its disk, an empty first member waits: it
 * can't tell whether it has voted before.
 */
static void
empty_first_member_waits_for_all(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 1000);

	for (unsigned id = 1; id <= 3; id++)
		bed_close(bed, id);
	for (unsigned id = 2; id <= 3; id++) {
		fs_free(bed->nodes[id - 1].fs);
		bed->nodes[id - 1].fs = NULL;
		bed->now_us++;
		bed_open(bed, id);
	}
	bed_run(bed, 5 * (uint64_t)ELECTION_US);
	assert_true(bed_replica(bed, 2)->term == 0);
	assert_true(bed_replica(bed, 3)->term == 0);
	bed_open(bed, 1);
	bed_run(bed, 2 * (uint64_t)ELECTION_US);
	assert_int_equal(bed_replica(bed, 2)->role, REPLICA_STOPPED);
	assert_int_equal(bed_replica(bed, 3)->role, REPLICA_STOPPED);
	bed_free(bed);
}

/*
 * A storage error stops a replica for good: it says nothing more.
 */
static void
failed_disk_stops_the_replica(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 1000);
	struct replica *r = bed_replica(bed, 1);
	uint64_t index, term;

	bed_propose(bed, 1, 1);
	bed->nodes[0].fs->fault = FS_SYNC_ERROR;
	replica_flush(r, bed->now_us);
	assert_int_equal(r->role, REPLICA_STOPPED);
	bed_settle(bed);
	bed_run(bed, HEARTBEAT_US);
	assert_int_equal(r->out_count, 0);
	assert_int_equal(replica_propose(r, str_from("x"), &index, &term),
	    STATUS_UNAVAILABLE);
	assert_false(replica_has_lease(r, bed->now_us));
	bed_run(bed, 4 * (uint64_t)ELECTION_US);
	assert_true(bed_replica(bed, 2)->role == REPLICA_LEADER ||
	    bed_replica(bed, 3)->role == REPLICA_LEADER);
	bed_free(bed);
}

/*
 * An uncommitted backlog is bounded.
 */
static void
uncommitted_commands_are_bounded(void **state ATTR_UNUSED)
{
	struct bed *bed = bed_new(3, 1000);
	struct replica *r = bed_replica(bed, 1);
	uint64_t index, term, count = 0;

	bed_isolate(bed, 1, true);
	while (replica_propose(r, str_from("x"), &index, &term) == STATUS_OK)
		count++;
	assert_true(count <= UNCOMMITTED_MAX_ENTRIES);
	assert_int_equal(
	    replica_propose(r, str_from("x"), &index, &term), STATUS_BUSY);
	bed_free(bed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(older_terms_are_not_committed_by_count),
	    cmocka_unit_test(votes_are_refused_during_a_lease),
	    cmocka_unit_test(real_votes_are_refused_during_a_lease),
	    cmocka_unit_test(silent_leader_steps_down),
	    cmocka_unit_test(members_change_one_at_a_time),
	    cmocka_unit_test(removed_leader_steps_down),
	    cmocka_unit_test(snapshots_hold_their_own_members),
	    cmocka_unit_test(far_follower_takes_a_snapshot),
	    cmocka_unit_test(lost_disk_never_votes_again),
	    cmocka_unit_test(empty_first_member_waits_for_all),
	    cmocka_unit_test(failed_disk_stops_the_replica),
	    cmocka_unit_test(uncommitted_commands_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
