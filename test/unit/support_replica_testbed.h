/*
 * A few replicas on one virtual clock.  The test delivers their messages one
 * at a time.
 */
#ifndef SUPPORT_REPLICA_TESTBED_H
#define SUPPORT_REPLICA_TESTBED_H

#include "base/clock.h"
#include "replica/replica_defs.h"
#include "support_replica_fs.h"

enum {
	REPLICAS_MAX = 5,
	MESSAGES_MAX = 4096,
	ELECTION_US = 300000,
	HEARTBEAT_US = 50000,
	LEASE_US = 250000
};

struct testbed;

struct testbed_replica {
	struct testbed *testbed;
	uint64_t id;
	struct fs *fs;
	struct replica *replica;
	uint64_t applied; /* number of commands */
};

struct queued_message {
	uint64_t from, to;
	struct str bytes;
};

struct testbed {
	struct testbed_replica replicas[REPLICAS_MAX];
	unsigned first; /* number of bootstrap members */
	uint64_t now_us;
	uint64_t snapshot_entries;
	bool blocked[REPLICAS_MAX + 1][REPLICAS_MAX + 1];
	struct queued_message queue[MESSAGES_MAX];
	unsigned head, tail;
};

void testbed_open(struct testbed *testbed, unsigned id);
void testbed_close(struct testbed *testbed, unsigned id);
bool testbed_deliver_one(struct testbed *testbed);
void testbed_deliver_all(struct testbed *testbed);
void testbed_tick(struct testbed *testbed, unsigned id);
void testbed_run(struct testbed *testbed, uint64_t us);
struct replica *testbed_get(struct testbed *testbed, unsigned id);
void
testbed_block(struct testbed *testbed, unsigned a, unsigned b, bool blocked);
void testbed_isolate(struct testbed *testbed, unsigned id, bool blocked);
struct testbed *testbed_new(unsigned first, uint64_t snapshot_entries);
void testbed_drop_messages(struct testbed *testbed);
void testbed_free(struct testbed *testbed);
void testbed_propose(struct testbed *testbed, unsigned id, unsigned count);

#endif
