#include "support_replica_testbed.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#include "base/memory.h"

static void
member_send(void *ctx, uint64_t to, struct str message)
{
	struct testbed_replica *member = ctx;
	struct testbed *testbed = member->testbed;

	if (testbed->blocked[member->id][to])
		return;
	assert_true(testbed->tail - testbed->head < MESSAGES_MAX);
	testbed->queue[testbed->tail++ % MESSAGES_MAX] =
	    (struct queued_message){.from = member->id,
		.to = to,
		.bytes = str_of(str_dup(message), message.len)};
}

static void
member_apply(void *ctx, uint64_t index ATTR_UNUSED, uint64_t term ATTR_UNUSED,
    struct str command ATTR_UNUSED)
{
	struct testbed_replica *member = ctx;

	member->applied++;
}

static void
member_save(void *ctx, struct str_buf *out)
{
	struct testbed_replica *member = ctx;

	for (int i = 0; i < 500; i++)
		str_buf_append(out,
		    str_of((const char *)&member->applied, sizeof(uint64_t)));
}

static enum status
member_load(void *ctx, uint64_t index ATTR_UNUSED, struct str data)
{
	struct testbed_replica *member = ctx;

	memcpy(&member->applied, data.data, sizeof(uint64_t));
	return STATUS_OK;
}

void
testbed_open(struct testbed *testbed, unsigned id)
{
	struct testbed_replica *member = &testbed->replicas[id - 1];
	struct replica_member members[REPLICAS_MAX];
	const struct replica_config config = {.id = id,
	    .election_timeout_us = ELECTION_US,
	    .heartbeat_us = HEARTBEAT_US,
	    .lease_us = LEASE_US,
	    .snapshot_entries = testbed->snapshot_entries,
	    .append_max_bytes = 1024,
	    .seed = id};
	const struct replica_callbacks callbacks = {.ctx = member,
	    .send = member_send,
	    .apply = member_apply,
	    .snapshot_save = member_save,
	    .snapshot_load = member_load};
	struct replica_storage storage;

	for (unsigned i = 0; i < testbed->first; i++)
		members[i] =
		    (struct replica_member){.id = i + 1, .voter = true};
	if (member->fs == NULL)
		member->fs = fs_new(testbed->now_us + id);
	member->testbed = testbed;
	member->id = id;
	member->applied = 0;
	assert_int_equal(
	    storage_folder_open_with("/data", id, &member->fs->calls, &storage),
	    STATUS_OK);
	assert_int_equal(replica_open(&config, &storage, &callbacks, members,
			     id <= testbed->first ? testbed->first : 0,
			     testbed->now_us, &member->replica),
	    STATUS_OK);
}

void
testbed_close(struct testbed *testbed, unsigned id)
{
	struct testbed_replica *member = &testbed->replicas[id - 1];

	replica_close(member->replica);
	member->replica = NULL;
	fs_crash(member->fs);
}

/*
 * Delivers one message; false when none is queued.
 */
bool
testbed_deliver_one(struct testbed *testbed)
{
	struct queued_message queued_message;
	struct replica *to;

	if (testbed->head == testbed->tail)
		return false;
	queued_message = testbed->queue[testbed->head++ % MESSAGES_MAX];
	to = testbed->replicas[queued_message.to - 1].replica;
	if (to != NULL &&
	    !testbed->blocked[queued_message.from][queued_message.to]) {
		replica_receive(to, queued_message.from, queued_message.bytes,
		    testbed->now_us);
		replica_flush(to, testbed->now_us);
	}
	mem_free((char *)queued_message.bytes.data);
	return true;
}

void
testbed_deliver_all(struct testbed *testbed)
{
	while (testbed_deliver_one(testbed))
		continue;
}

/*
 * Passes the current time to one replica and flushes it.
 */
void
testbed_tick(struct testbed *testbed, unsigned id)
{
	struct replica *r = testbed->replicas[id - 1].replica;

	replica_tick(r, testbed->now_us);
	replica_flush(r, testbed->now_us);
}

void
testbed_run(struct testbed *testbed, uint64_t us)
{
	for (uint64_t end = testbed->now_us + us; testbed->now_us < end;) {
		testbed->now_us += 10 * US_PER_MS;
		for (unsigned i = 1; i <= REPLICAS_MAX; i++) {
			if (testbed->replicas[i - 1].replica != NULL)
				testbed_tick(testbed, i);
		}
		testbed_deliver_all(testbed);
	}
}

struct replica *
testbed_get(struct testbed *testbed, unsigned id)
{
	return testbed->replicas[id - 1].replica;
}

void
testbed_block(struct testbed *testbed, unsigned a, unsigned b, bool blocked)
{
	testbed->blocked[a][b] = blocked;
	testbed->blocked[b][a] = blocked;
}

void
testbed_isolate(struct testbed *testbed, unsigned id, bool blocked)
{
	for (unsigned i = 1; i <= REPLICAS_MAX; i++)
		testbed_block(testbed, id, i, blocked);
}

/*
 * Creates a group whose first member is the leader.
 */
struct testbed *
testbed_new(unsigned first, uint64_t snapshot_entries)
{
	struct testbed *testbed = mem_calloc(1, sizeof(*testbed));

	testbed->first = first;
	testbed->now_us = US_PER_S;
	testbed->snapshot_entries = snapshot_entries;
	for (unsigned i = 1; i <= first; i++)
		testbed_open(testbed, i);
	for (unsigned i = 0; i < 5; i++) {
		testbed->now_us += HEARTBEAT_US;
		for (unsigned j = 1; j <= first; j++)
			testbed_tick(testbed, j);
		testbed_deliver_all(testbed);
	}
	testbed->now_us += 3 * (uint64_t)ELECTION_US;
	testbed_tick(testbed, 1);
	testbed_deliver_all(testbed);
	assert_int_equal(testbed_get(testbed, 1)->role, REPLICA_LEADER);
	testbed_run(testbed, 2 * (uint64_t)HEARTBEAT_US);
	return testbed;
}

/*
 * Drops all queued messages.
 */
void
testbed_drop_messages(struct testbed *testbed)
{
	while (testbed->head < testbed->tail)
		mem_free((char *)testbed->queue[testbed->head++ % MESSAGES_MAX]
			     .bytes.data);
}

void
testbed_free(struct testbed *testbed)
{
	testbed_drop_messages(testbed);
	for (unsigned i = 0; i < REPLICAS_MAX; i++) {
		replica_close(testbed->replicas[i].replica);
		fs_free(testbed->replicas[i].fs);
	}
	mem_free(testbed);
}

void
testbed_propose(struct testbed *testbed, unsigned id, unsigned count)
{
	uint64_t index, term;

	for (unsigned i = 0; i < count; i++)
		assert_int_equal(replica_propose(testbed_get(testbed, id),
				     str_from("a command"), &index, &term),
		    STATUS_OK);
}
