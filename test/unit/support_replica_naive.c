/*
 * A naive replication engine for comparison with the replicated log.  The
 * reachable member with the lowest id leads, the last write to an index
 * wins, and there are no terms and no fsync.  A command is acknowledged once
 * a majority has it in memory.
 */
#include <string.h>

#include "base/memory.h"
#include "base/random.h"
#include "support_replica_group.h"

enum {
	NAIVE_COMMANDS_MAX = 4096,
	NAIVE_MEMBERS_MAX = 8
};

enum naive_kind {
	NAIVE_HELLO,
	NAIVE_STORE,
	NAIVE_STORED
};

struct naive_message {
	uint64_t kind;
	uint64_t index;
	uint64_t len;
	char data[256];
};

struct naive {
	struct replica_config config;
	struct replica_callbacks callbacks;
	struct replica_storage storage;
	struct replica_member members[NAIVE_MEMBERS_MAX];
	unsigned count;
	uint64_t heard_us[NAIVE_MEMBERS_MAX];
	uint64_t now_us;
	uint64_t hello_due_us;
	uint64_t last;
	uint64_t written; /* entries written to disk, never synced */
	struct str_buf log[NAIVE_COMMANDS_MAX];
	unsigned acks[NAIVE_COMMANDS_MAX]; /* bitmask of member ids */
};

static void
naive_load_state(
    void *ctx ATTR_UNUSED, uint64_t term ATTR_UNUSED, uint64_t vote ATTR_UNUSED)
{
}

static void
naive_load_snapshot(void *ctx ATTR_UNUSED, uint64_t index ATTR_UNUSED,
    uint64_t term ATTR_UNUSED, struct str data ATTR_UNUSED)
{
}

static void
naive_load_group(void *ctx ATTR_UNUSED, struct str data ATTR_UNUSED)
{
}

/*
 * Writes a command to disk without syncing it.
 */
static void
naive_write(struct naive *naive, uint64_t index, struct str data)
{
	struct storage_entry entry = {.index = ++naive->written, .term = 1};
	struct str_buf bytes = {0};

	str_buf_append(&bytes, str_of((const char *)&index, sizeof(index)));
	str_buf_append(&bytes, data);
	entry.data = str_buf_view(&bytes);
	if (naive->storage.append(naive->storage.ctx, &entry, 1) != STATUS_OK)
		naive->written--;
	str_buf_free(&bytes);
}

/*
 * Stores and applies a command, overwriting any previous one at its index.
 */
static void
naive_store(struct naive *naive, uint64_t index, struct str data)
{
	if (index == 0 || index >= NAIVE_COMMANDS_MAX)
		return;
	str_buf_clear(&naive->log[index]);
	str_buf_append(&naive->log[index], data);
	if (index > naive->last)
		naive->last = index;
	naive->callbacks.apply(naive->callbacks.ctx, index, 0, data);
}

static void
naive_load_entry(void *ctx, const struct storage_entry *entry)
{
	struct naive *naive = ctx;

	naive->written = entry->index;
	if (entry->data.len > sizeof(uint64_t)) {
		uint64_t index;

		memcpy(&index, entry->data.data, sizeof(index));
		naive_store(naive, index,
		    str_of(entry->data.data + sizeof(index),
			entry->data.len - sizeof(index)));
	}
}

static void
naive_close(void *engine)
{
	struct naive *naive = engine;

	for (unsigned i = 0; i < NAIVE_COMMANDS_MAX; i++)
		str_buf_free(&naive->log[i]);
	naive->storage.close(naive->storage.ctx);
	mem_free(naive);
}

static enum status
naive_open(const struct replica_config *config, struct replica_storage *storage,
    const struct replica_callbacks *callbacks,
    const struct replica_member *bootstrap, unsigned count, uint64_t now_us,
    void **engine)
{
	struct naive *naive = mem_calloc(1, sizeof(*naive));
	enum status status;
	const struct storage_loader loader = {.ctx = naive,
	    .state = naive_load_state,
	    .snapshot = naive_load_snapshot,
	    .entry = naive_load_entry,
	    .group = naive_load_group};

	naive->config = *config;
	naive->callbacks = *callbacks;
	naive->storage = *storage;
	naive->now_us = now_us;
	naive->count = count;
	memcpy(naive->members, bootstrap, count * sizeof(*bootstrap));
	status = storage->load(storage->ctx, &loader);
	if (status == STATUS_OK)
		status = storage->save_state(storage->ctx, 1, 0);
	*engine = naive;
	if (status != STATUS_OK)
		naive_close(naive);
	return status;
}

/*
 * Returns the lowest id that was heard within the election timeout.
 */
static uint64_t
naive_leader(const struct naive *naive, uint64_t now_us)
{
	uint64_t leader = naive->config.id;

	for (unsigned i = 0; i < naive->count; i++) {
		if (naive->members[i].id < leader && naive->heard_us[i] > 0 &&
		    naive->heard_us[i] + naive->config.election_timeout_us >
			now_us)
			leader = naive->members[i].id;
	}
	return leader;
}

static void
naive_send(struct naive *naive, uint64_t to, uint64_t kind, uint64_t index,
    struct str data)
{
	struct naive_message message = {
	    .kind = kind, .index = index, .len = data.len};

	if (data.len > sizeof(message.data))
		return;
	if (data.len > 0)
		memcpy(message.data, data.data, data.len);
	naive->callbacks.send(naive->callbacks.ctx, to,
	    str_of((const char *)&message, sizeof(message)));
}

static void
naive_broadcast(
    struct naive *naive, uint64_t kind, uint64_t index, struct str data)
{
	for (unsigned i = 0; i < naive->count; i++) {
		if (naive->members[i].id != naive->config.id)
			naive_send(
			    naive, naive->members[i].id, kind, index, data);
	}
}

/*
 * Sends missing commands to a member that is behind.
 */
static void
naive_catch_up(struct naive *naive, uint64_t to, uint64_t last)
{
	enum {
		BATCH = 32
	};

	if (naive_leader(naive, naive->now_us) != naive->config.id)
		return;
	for (uint64_t i = last + 1; i <= naive->last && i <= last + BATCH; i++)
		naive_send(
		    naive, to, NAIVE_STORE, i, str_buf_view(&naive->log[i]));
}

static void
naive_receive(void *engine, uint64_t from, struct str bytes, uint64_t now_us)
{
	struct naive *naive = engine;
	struct naive_message message;

	if (bytes.len != sizeof(message))
		return;
	memcpy(&message, bytes.data, sizeof(message));
	naive->now_us = now_us;
	for (unsigned i = 0; i < naive->count; i++) {
		if (naive->members[i].id == from)
			naive->heard_us[i] = now_us;
	}
	if (message.len > sizeof(message.data))
		return;
	if (message.kind == NAIVE_HELLO) {
		naive_catch_up(naive, from, message.index);
	} else if (message.kind == NAIVE_STORE) {
		naive_store(
		    naive, message.index, str_of(message.data, message.len));
		naive_write(
		    naive, message.index, str_of(message.data, message.len));
		naive_send(
		    naive, from, NAIVE_STORED, message.index, (struct str){0});
	} else if (message.kind == NAIVE_STORED &&
	    message.index < NAIVE_COMMANDS_MAX) {
		unsigned before = naive->acks[message.index];
		unsigned after = before | 1u << from;

		naive->acks[message.index] = after;
		if (__builtin_popcount(before) + 1 <= (int)naive->count / 2 &&
		    __builtin_popcount(after) + 1 > (int)naive->count / 2)
			naive->callbacks.apply(naive->callbacks.ctx,
			    message.index, naive->config.id,
			    str_buf_view(&naive->log[message.index]));
	}
}

static void
naive_tick(void *engine, uint64_t now_us)
{
	struct naive *naive = engine;

	naive->now_us = now_us;
	if (now_us < naive->hello_due_us)
		return;
	naive->hello_due_us = now_us + naive->config.heartbeat_us;
	naive_broadcast(naive, NAIVE_HELLO, naive->last, (struct str){0});
}

static void
naive_flush(void *engine ATTR_UNUSED, uint64_t now_us ATTR_UNUSED)
{
}

static enum status
naive_propose(void *engine, struct str command, uint64_t *index, uint64_t *term)
{
	struct naive *naive = engine;
	uint64_t next_index = naive->last + 1;

	if (naive_leader(naive, naive->now_us) != naive->config.id ||
	    next_index >= NAIVE_COMMANDS_MAX)
		return STATUS_UNAVAILABLE;
	naive_store(naive, next_index, command);
	naive_write(naive, next_index, command);
	naive_broadcast(naive, NAIVE_STORE, next_index, command);
	*index = next_index;
	*term = naive->config.id;
	return STATUS_OK;
}

static bool
naive_has_lease(void *engine, uint64_t now_us)
{
	struct naive *naive = engine;

	return naive_leader(naive, now_us) == naive->config.id;
}

static void
naive_describe(void *engine, struct replica_info *info)
{
	const struct naive *naive = engine;

	*info = (struct replica_info){.term = 0,
	    .role = naive_leader(naive, naive->now_us) == naive->config.id
		? REPLICA_LEADER
		: REPLICA_FOLLOWER,
	    .last_index = naive->last,
	    .member_count = naive->count};
	memcpy(info->members, naive->members,
	    naive->count * sizeof(*naive->members));
}

const struct group_engine group_engine_naive = {
    .name = "naive",
    .supports_replacement = false,
    .open = naive_open,
    .close = naive_close,
    .receive = naive_receive,
    .tick = naive_tick,
    .flush = naive_flush,
    .propose = naive_propose,
    .has_lease = naive_has_lease,
    .describe = naive_describe,
};
