/*
 * Measures the control group's log: durable appends, recovery, snapshots,
 * elections and messages of an idle group.
 *   bench_replica_cost [--folder PATH]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/histogram.h"
#include "base/invariant.h"
#include "base/memory.h"
#include "replica/replica.h"
#include "replica/storage.h"
#include "support_replica_fs.h"

enum {
	ELECTION_US = 1000000, /* defaults of the control program */
	HEARTBEAT_US = 150000,
	LEASE_US = 900000,
	ONE_WAY_US = 1500,
	COMMAND_BYTES = 200,
	FLUSHES = 200,
	NODES_MAX = 7,
	ELECTIONS = 200,
	IDLE_S = 60
};

/* A state machine with a state of a given size. */
struct state {
	uint64_t applied;
	size_t bytes;
};

static void
no_send(void *ctx ATTR_UNUSED, uint64_t to ATTR_UNUSED,
    struct str message ATTR_UNUSED)
{
}

static void
count_apply(void *ctx, uint64_t index ATTR_UNUSED, uint64_t term ATTR_UNUSED,
    struct str command ATTR_UNUSED)
{
	struct state *state = ctx;

	state->applied++;
}

static void
save_state(void *ctx, struct str_buf *out)
{
	struct state *state = ctx;
	char *bytes = mem_calloc(1, state->bytes);

	str_buf_append(out, str_of(bytes, state->bytes));
	mem_free(bytes);
}

static enum status
load_state(void *ctx, uint64_t index ATTR_UNUSED, struct str data ATTR_UNUSED)
{
	struct state *state = ctx;

	state->applied++;
	return STATUS_OK;
}

static struct replica *
open_single(const char *path, uint64_t snapshot_entries, struct state *state)
{
	const struct replica_config config = {.id = 1,
	    .election_timeout_us = ELECTION_US,
	    .heartbeat_us = HEARTBEAT_US,
	    .lease_us = LEASE_US,
	    .snapshot_entries = snapshot_entries,
	    .append_max_bytes = 64 << 10,
	    .seed = 1};
	const struct replica_callbacks callbacks = {.ctx = state,
	    .send = no_send,
	    .apply = count_apply,
	    .snapshot_save = save_state,
	    .snapshot_load = load_state};
	const struct replica_member member = {.id = 1, .voter = true};
	struct replica_storage storage;
	struct replica *replica;
	uint64_t now = clock_monotonic_us();

	INVARIANT(storage_folder_open(path, 1, &storage) == STATUS_OK &&
		replica_open(&config, &storage, &callbacks, &member, 1, now,
		    &replica) == STATUS_OK,
	    status_message());
	replica_tick(replica, now);
	replica_flush(replica, now);
	return replica;
}

static void
propose(struct replica *replica, unsigned count)
{
	char command[COMMAND_BYTES] = {0};
	uint64_t index, term;

	for (unsigned i = 0; i < count; i++)
		INVARIANT(
		    replica_propose(replica, str_of(command, sizeof(command)),
			&index, &term) == STATUS_OK,
		    status_message());
}

/*
 * Creates a folder in parent and stores its path in path.
 */
static void
make_folder(const char *parent, char *path, size_t size)
{
	snprintf(path, size, "%s/replica-cost-XXXXXX", parent);
	INVARIANT(mkdtemp(path) != NULL, "mkdtemp failed");
}

static void
remove_folder(const char *path)
{
	char command[512];

	snprintf(command, sizeof(command), "rm -rf '%s'", path);
	INVARIANT(system(command) == 0, "the folder was not removed");
}

static void
print_appends(const char *parent)
{
	printf("durable appends of %d bytes, one replica\n", COMMAND_BYTES);
	printf("%12s %14s %12s %12s\n", "concurrent", "appends/s", "p50 ms",
	    "p99 ms");
	for (unsigned batch = 1; batch <= 256; batch *= 4) {
		static struct histogram latency;
		struct state state = {0};
		char path[256];
		struct replica *replica;
		uint64_t start;

		make_folder(parent, path, sizeof(path));
		histogram_clear(&latency);
		replica = open_single(path, UINT64_MAX, &state);
		start = clock_monotonic_us();
		for (unsigned i = 0; i < FLUSHES; i++) {
			uint64_t before = clock_monotonic_us();

			propose(replica, batch);
			replica_flush(replica, before);
			histogram_record(
			    &latency, clock_monotonic_us() - before);
		}
		printf("%12u %14.0f %12.2f %12.2f\n", batch,
		    (double)batch * FLUSHES * US_PER_S /
			(double)(clock_monotonic_us() - start),
		    (double)histogram_quantile(&latency, 0.5) / US_PER_MS,
		    (double)histogram_quantile(&latency, 0.99) / US_PER_MS);
		replica_close(replica);
		remove_folder(path);
	}
}

static void
print_recovery(const char *parent)
{
	printf(
	    "\ncoming back from the log, entries of %d bytes\n", COMMAND_BYTES);
	printf("%12s %14s\n", "entries", "ms");
	for (unsigned entries = 500; entries <= 50000; entries *= 10) {
		struct state state = {0};
		char path[256];
		struct replica *replica;
		uint64_t start;

		make_folder(parent, path, sizeof(path));
		replica = open_single(path, UINT64_MAX, &state);
		for (unsigned done = 0; done < entries; done += 500) {
			propose(replica, 500);
			replica_flush(replica, clock_monotonic_us());
		}
		replica_close(replica);
		state.applied = 0;
		start = clock_monotonic_us();
		replica = open_single(path, UINT64_MAX, &state);
		INVARIANT(state.applied == entries, "entries are missing");
		printf("%12u %14.2f\n", entries,
		    (double)(clock_monotonic_us() - start) / US_PER_MS);
		replica_close(replica);
		remove_folder(path);
	}
}

static void
print_snapshots(const char *parent)
{
	printf("\nsnapshots\n%12s %14s %14s\n", "MB", "save ms", "load ms");
	for (unsigned mb = 1; mb <= 64; mb *= 4) {
		struct state state = {.bytes = (size_t)mb << 20};
		char path[256];
		struct replica *replica;
		uint64_t start, saved;

		make_folder(parent, path, sizeof(path));
		replica = open_single(path, 8, &state);
		propose(replica, 9);
		start = clock_monotonic_us();
		replica_flush(replica, start);
		saved = clock_monotonic_us() - start;
		replica_close(replica);
		start = clock_monotonic_us();
		replica = open_single(path, 8, &state);
		printf("%12u %14.2f %14.2f\n", mb, (double)saved / US_PER_MS,
		    (double)(clock_monotonic_us() - start) / US_PER_MS);
		replica_close(replica);
		remove_folder(path);
	}
}

/* A message in transit, for ONE_WAY_US. */
struct link_message {
	uint64_t due_us;
	uint64_t from, to;
	char *data;
	size_t len;
};

struct cluster;

struct node {
	struct cluster *cluster;
	uint64_t id;
	struct fs *fs;
	struct replica *replica;
	struct state state;
};

struct cluster {
	struct node nodes[NODES_MAX];
	unsigned count;
	uint64_t now_us;
	struct link_message link_messages[4096];
	unsigned head, tail;
	uint64_t messages[NODES_MAX], bytes[NODES_MAX]; /* sent, by node */
};

static void
node_send(void *ctx, uint64_t to, struct str message)
{
	struct node *node = ctx;
	struct cluster *cluster = node->cluster;

	cluster->messages[node->id - 1]++;
	cluster->bytes[node->id - 1] += message.len;
	cluster->link_messages[cluster->tail++ % 4096] =
	    (struct link_message){.due_us = cluster->now_us + ONE_WAY_US,
		.from = node->id,
		.to = to,
		.data = str_dup(message),
		.len = message.len};
}

/*
 * Advances virtual time by half a millisecond.
 */
static void
cluster_step(struct cluster *cluster)
{
	cluster->now_us += 500;
	while (cluster->head != cluster->tail &&
	    cluster->link_messages[cluster->head % 4096].due_us <=
		cluster->now_us) {
		struct link_message link_message =
		    cluster->link_messages[cluster->head++ % 4096];
		struct replica *to =
		    cluster->nodes[link_message.to - 1].replica;

		if (to != NULL)
			replica_receive(to, link_message.from,
			    str_of(link_message.data, link_message.len),
			    cluster->now_us);
		mem_free(link_message.data);
	}
	for (unsigned i = 0; i < cluster->count; i++) {
		if (cluster->nodes[i].replica == NULL)
			continue;
		replica_tick(cluster->nodes[i].replica, cluster->now_us);
		replica_flush(cluster->nodes[i].replica, cluster->now_us);
	}
}

static struct node *
cluster_leader(struct cluster *cluster)
{
	for (unsigned i = 0; i < cluster->count; i++) {
		if (cluster->nodes[i].replica != NULL &&
		    replica_has_lease(
			cluster->nodes[i].replica, cluster->now_us))
			return &cluster->nodes[i];
	}
	return NULL;
}

/*
 * Starts a group and runs it until it has a leader.
 */
static struct cluster *
cluster_new(unsigned count, uint64_t seed)
{
	struct cluster *cluster = mem_calloc(1, sizeof(*cluster));
	struct replica_member members[NODES_MAX] = {0};

	cluster->count = count;
	for (unsigned i = 0; i < count; i++)
		members[i] =
		    (struct replica_member){.id = i + 1, .voter = true};
	for (unsigned i = 0; i < count; i++) {
		struct node *node = &cluster->nodes[i];
		const struct replica_config config = {.id = i + 1,
		    .election_timeout_us = ELECTION_US,
		    .heartbeat_us = HEARTBEAT_US,
		    .lease_us = LEASE_US,
		    .snapshot_entries = 4096,
		    .append_max_bytes = 64 << 10,
		    .seed = seed * 100 + i};
		const struct replica_callbacks callbacks = {.ctx = node,
		    .send = node_send,
		    .apply = count_apply,
		    .snapshot_save = save_state,
		    .snapshot_load = load_state};
		struct replica_storage storage;

		node->cluster = cluster;
		node->id = i + 1;
		node->fs = fs_new(seed * 100 + i);
		INVARIANT(storage_folder_open_with("/data", i + 1,
			      &node->fs->calls, &storage) == STATUS_OK &&
			replica_open(&config, &storage, &callbacks, members,
			    count, 0, &node->replica) == STATUS_OK,
		    status_message());
	}
	while (cluster_leader(cluster) == NULL)
		cluster_step(cluster);
	return cluster;
}

static void
cluster_free(struct cluster *cluster)
{
	while (cluster->head != cluster->tail)
		mem_free(cluster->link_messages[cluster->head++ % 4096].data);
	for (unsigned i = 0; i < cluster->count; i++) {
		replica_close(cluster->nodes[i].replica);
		fs_free(cluster->nodes[i].fs);
	}
	mem_free(cluster);
}

static void
print_elections(void)
{
	printf("\nfrom a leader's death to the next one's lease, virtual "
	       "time, %.1f ms one way, timeout %d ms\n",
	    (double)ONE_WAY_US / US_PER_MS, (int)(ELECTION_US / US_PER_MS));
	printf(
	    "%12s %14s %14s %14s\n", "members", "p50 ms", "p99 ms", "max ms");
	for (unsigned count = 3; count <= 7; count += 2) {
		static struct histogram times;

		histogram_clear(&times);
		for (uint64_t seed = 1; seed <= ELECTIONS; seed++) {
			struct cluster *cluster = cluster_new(count, seed);
			struct node *leader = cluster_leader(cluster);
			uint64_t start;

			for (int i = 0; i < 1000; i++)
				cluster_step(cluster);
			replica_close(leader->replica);
			leader->replica = NULL;
			start = cluster->now_us;
			while (cluster_leader(cluster) == NULL)
				cluster_step(cluster);
			histogram_record(&times, cluster->now_us - start);
			cluster_free(cluster);
		}
		printf("%12u %14.0f %14.0f %14.0f\n", count,
		    (double)histogram_quantile(&times, 0.5) / US_PER_MS,
		    (double)histogram_quantile(&times, 0.99) / US_PER_MS,
		    (double)times.max / US_PER_MS);
	}
}

static void
print_idle(void)
{
	printf("\nidle group, heartbeat %d ms, sent a second\n",
	    (int)(HEARTBEAT_US / US_PER_MS));
	printf("%12s %14s %14s %14s %14s\n", "members", "leader msgs",
	    "leader bytes", "follower msgs", "follower bytes");
	for (unsigned count = 3; count <= 7; count += 2) {
		struct cluster *cluster = cluster_new(count, 1);
		const struct node *leader = cluster_leader(cluster);
		unsigned first = (unsigned)leader->id - 1;
		unsigned other = first == 0 ? 1 : 0;
		uint64_t end;

		for (int i = 0; i < 1000; i++)
			cluster_step(cluster);
		memset(cluster->messages, 0, sizeof(cluster->messages));
		memset(cluster->bytes, 0, sizeof(cluster->bytes));
		end = cluster->now_us + IDLE_S * US_PER_S;
		while (cluster->now_us < end)
			cluster_step(cluster);
		printf("%12u %14.1f %14.0f %14.1f %14.0f\n", count,
		    (double)cluster->messages[first] / IDLE_S,
		    (double)cluster->bytes[first] / IDLE_S,
		    (double)cluster->messages[other] / IDLE_S,
		    (double)cluster->bytes[other] / IDLE_S);
		cluster_free(cluster);
	}
}

int
main(int argc, char **argv)
{
	const char *parent = "/tmp";

	if (argc == 3 && strcmp(argv[1], "--folder") == 0)
		parent = argv[2];
	print_appends(parent);
	print_recovery(parent);
	print_snapshots(parent);
	print_elections();
	print_idle();
	return 0;
}
