/*
 * Numbers in replica messages at their extremes.  One message of a faulty
 * replica must not end a log or the terms, or cut a follower off.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "support_replica_testbed.h"

enum {
	MESSAGE_BYTES = 512
};

/* A number of a message and its bound. */
struct field {
	const char *name;
	size_t offset;
	uint64_t max;
};

static const struct field fields[] = {
    {"term", offsetof(Replica__Message, term), REPLICA_NUMBER_MAX},
    {"index", offsetof(Replica__Message, index), REPLICA_NUMBER_MAX},
    {"log_term", offsetof(Replica__Message, log_term), REPLICA_NUMBER_MAX},
    {"commit", offsetof(Replica__Message, commit), REPLICA_NUMBER_MAX},
    {"hint", offsetof(Replica__Message, hint), REPLICA_NUMBER_MAX},
    {"list_end", offsetof(Replica__Message, list_end), REPLICA_NUMBER_MAX},
    {"offset", offsetof(Replica__Message, offset), SNAPSHOT_MAX_BYTES},
    {"total", offsetof(Replica__Message, total), SNAPSHOT_MAX_BYTES},
};

/* Packs a message of one replica and passes it to another. */
static enum status
receive(struct testbed *testbed, unsigned to, unsigned from, Replica__Message m)
{
	uint8_t bytes[MESSAGE_BYTES];
	struct replica *r = testbed_get(testbed, to);
	enum status status;
	size_t len;

	m.from_disk = testbed_get(testbed, from)->storage.disk;
	len = replica__message__pack(&m, bytes);
	assert_true(len <= sizeof(bytes));
	status = replica_receive(
	    r, from, str_of((const char *)bytes, len), testbed->now_us);
	replica_flush(r, testbed->now_us);
	return status;
}

static void
each_number_is_refused_above_its_bound(void **state ATTR_UNUSED)
{
	for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		const struct field *f = &fields[i];
		const uint64_t values[] = {
		    0, 1, f->max, f->max + 1, UINT64_MAX};

		for (size_t k = 0; k < sizeof(values) / sizeof(values[0]);
		     k++) {
			Replica__Message m = REPLICA__MESSAGE__INIT;
			bool refused;

			m.term = REPLICA_NUMBER_MAX;
			memcpy((char *)&m + f->offset, &values[k],
			    sizeof(values[k]));
			refused = message_fault(&m) != NULL;
			if (refused != (values[k] > f->max))
				fail_msg("%s %llu", f->name,
				    (unsigned long long)values[k]);
		}
	}
}

/*
 * An entry's term may not be above its message's, its index not above the
 * bound, and its kind must be known.
 */
static void
entries_are_bounded_by_their_message(void **state ATTR_UNUSED)
{
	Replica__Entry entries[2] = {
	    REPLICA__ENTRY__INIT, REPLICA__ENTRY__INIT};
	Replica__Entry *list[2] = {&entries[0], &entries[1]};
	Replica__Message m = REPLICA__MESSAGE__INIT;

	m.kind = REPLICA__KIND__KIND_APPEND;
	m.term = 5;
	m.entries = list;
	m.n_entries = 2;
	entries[0].term = entries[1].term = 5;
	assert_null(message_fault(&m));
	entries[1].term = 6;
	assert_non_null(message_fault(&m));
	entries[1].term = 5;
	entries[1].kind = ENTRY_MEMBERS;
	assert_null(message_fault(&m));
	entries[1].kind = ENTRY_MEMBERS + 1;
	assert_non_null(message_fault(&m));
	entries[1].kind = ENTRY_COMMAND;
	m.index = REPLICA_NUMBER_MAX - 2;
	assert_null(message_fault(&m));
	m.index++;
	assert_non_null(message_fault(&m));
	m.index = 0;
	m.log_term = 5;
	assert_null(message_fault(&m));
	m.log_term = 6;
	assert_non_null(message_fault(&m));
}

/*
 * A snapshot at the last index would leave no index for the next entry.
 */
static void
snapshot_at_the_last_index_does_not_end_the_log(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 2);
	struct str_buf data = {0};
	uint64_t last = log_last_index(&r->log);
	Replica__Message m = REPLICA__MESSAGE__INIT;
	struct image *image;

	for (int i = 0; i < 8; i++)
		str_buf_append_c(&data, "x");
	image =
	    image_new(UINT64_MAX, r->term, &r->members, str_buf_view(&data));
	m.kind = REPLICA__KIND__KIND_SNAPSHOT;
	m.term = r->term;
	m.index = UINT64_MAX;
	m.log_term = r->term;
	m.total = image->len;
	m.chunk.data = (uint8_t *)image->data;
	m.chunk.len = image->len;
	(void)receive(testbed, 2, 1, m);
	assert_true(log_last_index(&r->log) == last);
	testbed_propose(testbed, 1, 3);
	testbed_run(testbed, 2 * (uint64_t)HEARTBEAT_US);
	assert_int_equal(testbed->replicas[1].applied, 3);
	image_put(image);
	str_buf_free(&data);
	testbed_free(testbed);
}

/*
 * A term that is taken from one message must leave terms for elections: with
 * the last one, the next candidate's term is 0, which all others refuse.
 */
static void
message_far_ahead_does_not_end_the_terms(void **state ATTR_UNUSED)
{
	static const Replica__Kind kinds[] = {REPLICA__KIND__KIND_APPEND,
	    REPLICA__KIND__KIND_SNAPSHOT, REPLICA__KIND__KIND_APPEND_REPLY,
	    REPLICA__KIND__KIND_VOTE, REPLICA__KIND__KIND_VOTE_REPLY,
	    REPLICA__KIND__KIND_PRE_VOTE_REPLY};

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		struct testbed *testbed = testbed_new(3, 1000);
		Replica__Message m = REPLICA__MESSAGE__INIT;

		m.kind = kinds[i];
		m.term = UINT64_MAX;
		m.reject = true;
		(void)receive(testbed, 1, 2, m);
		(void)receive(testbed, 2, 3, m);
		m.term = REPLICA_NUMBER_MAX;
		(void)receive(testbed, 1, 2, m);
		(void)receive(testbed, 2, 3, m);
		m.term = testbed_get(testbed, 2)->term + TERM_STEP_MAX + 1;
		assert_int_equal(receive(testbed, 2, 3, m), STATUS_INVALID);
		assert_true(testbed_get(testbed, 1)->term < 10);
		assert_true(testbed_get(testbed, 2)->term < 10);
		testbed_run(testbed, 6 * (uint64_t)ELECTION_US);
		testbed_propose(testbed, 1, 3);
		testbed_run(testbed, 2 * (uint64_t)HEARTBEAT_US);
		assert_int_equal(testbed->replicas[1].applied, 3);
		testbed_free(testbed);
	}
}

/*
 * A refusal of an append that the leader never sent must not move the
 * follower's position behind the end of the log.
 */
static void
reply_beyond_the_log_does_not_cut_a_follower_off(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 1);
	Replica__Message m = REPLICA__MESSAGE__INIT;

	m.kind = REPLICA__KIND__KIND_APPEND_REPLY;
	m.term = r->term;
	m.reject = true;
	m.index = log_last_index(&r->log) + 100;
	m.hint = m.index;
	assert_int_equal(receive(testbed, 1, 2, m), STATUS_OK);
	assert_true(members_peer(r, 2)->next <= log_last_index(&r->log) + 1);
	testbed_propose(testbed, 1, 3);
	testbed_run(testbed, 3 * (uint64_t)ELECTION_US);
	assert_int_equal(testbed->replicas[1].applied, 3);
	testbed_free(testbed);
}

/*
 * Guards against a reply to a pre-vote that counts although it is from another
 * disk, names a later list of members, or answers a question that this process
 * has not asked yet, and against one that still counts for another list.
 */
static void
replies_about_lists_are_checked(void **state ATTR_UNUSED)
{
	struct testbed *testbed = testbed_new(3, 1000);
	struct replica *r = testbed_get(testbed, 1);
	const struct replica *from = testbed_get(testbed, 2);
	const struct {
		uint64_t disk;
		uint64_t list_end;
		uint64_t sent_us;
		bool counts;
	} cases[] = {
	    {from->storage.disk + 1, r->members_index + 1, r->now_us, false},
	    {from->storage.disk, r->members_index + 2, r->now_us, false},
	    {from->storage.disk, 0, r->now_us, false},
	    {from->storage.disk, r->members_index + 1, r->now_us + 1, false},
	    {from->storage.disk, r->members_index + 1, r->now_us - 1, true},
	};

	members_peer(r, 2)->list_us = 0;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		Replica__Message m = REPLICA__MESSAGE__INIT;
		uint8_t bytes[MESSAGE_BYTES];
		size_t len;

		m.kind = REPLICA__KIND__KIND_PRE_VOTE_REPLY;
		m.term = r->term;
		m.reject = true;
		m.from_disk = cases[i].disk;
		m.list_end = cases[i].list_end;
		m.sent_us = r->question_base_us + cases[i].sent_us;
		len = replica__message__pack(&m, bytes);
		assert_int_equal(
		    replica_receive(r, 2, str_of((const char *)bytes, len),
			testbed->now_us),
		    STATUS_OK);
		assert_true(members_peer(r, 2)->list_us ==
		    (cases[i].counts ? cases[i].sent_us : 0));
	}
	/* After a truncation our list may be an earlier one. */
	members_reload(r);
	assert_true(members_peer(r, 2)->list_us == 0);
	testbed_free(testbed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(each_number_is_refused_above_its_bound),
	    cmocka_unit_test(replies_about_lists_are_checked),
	    cmocka_unit_test(entries_are_bounded_by_their_message),
	    cmocka_unit_test(snapshot_at_the_last_index_does_not_end_the_log),
	    cmocka_unit_test(message_far_ahead_does_not_end_the_terms),
	    cmocka_unit_test(reply_beyond_the_log_does_not_cut_a_follower_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
