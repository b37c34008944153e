/*
 * Passes arbitrary messages to a replica, in any order.  It may drop them or
 * stop, but must not crash, apply an entry twice or lower its commit index.
 */
#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"
#include "mutate.h"
#include "replica/replica_defs.h"

enum {
	FUZZ_DISK = 7,
	FUZZ_ELECTION_US = 300000
};

static enum status
storage_load(
    void *ctx ATTR_UNUSED, const struct storage_loader *loader ATTR_UNUSED)
{
	return STATUS_OK;
}

static enum status
storage_state(
    void *ctx ATTR_UNUSED, uint64_t term ATTR_UNUSED, uint64_t vote ATTR_UNUSED)
{
	return STATUS_OK;
}

static enum status
storage_append(void *ctx ATTR_UNUSED,
    const struct storage_entry *entries ATTR_UNUSED, unsigned count ATTR_UNUSED)
{
	return STATUS_OK;
}

static enum status
storage_truncate(void *ctx ATTR_UNUSED, uint64_t index ATTR_UNUSED)
{
	return STATUS_OK;
}

static enum status
storage_snapshot(void *ctx ATTR_UNUSED, uint64_t index ATTR_UNUSED,
    uint64_t term ATTR_UNUSED, struct str data ATTR_UNUSED)
{
	return STATUS_OK;
}

static enum status
storage_group(void *ctx ATTR_UNUSED, struct str data ATTR_UNUSED)
{
	return STATUS_OK;
}

static enum status
storage_sync(void *ctx ATTR_UNUSED)
{
	return STATUS_OK;
}

static void
fuzz_send(void *ctx ATTR_UNUSED, uint64_t to ATTR_UNUSED,
    struct str message ATTR_UNUSED)
{
}

static void
fuzz_apply(void *ctx, uint64_t index, uint64_t term ATTR_UNUSED,
    struct str command ATTR_UNUSED)
{
	uint64_t *applied = ctx;

	INVARIANT(index > *applied, "index applied twice or out of order");
	*applied = index;
}

static void
fuzz_save(void *ctx ATTR_UNUSED, struct str_buf *out)
{
	str_buf_append_c(out, "state");
}

static enum status
fuzz_load(void *ctx, uint64_t index, struct str data ATTR_UNUSED)
{
	uint64_t *applied = ctx;

	INVARIANT(index > *applied, "snapshot older than the applied state");
	*applied = index;
	return STATUS_OK;
}

/*
 * Opens the second of three bootstrap members, before or after the end of
 * bootstrap.
 */
static struct replica *
open_replica(uint64_t *applied, bool formed)
{
	const struct replica_config config = {.id = 2,
	    .election_timeout_us = FUZZ_ELECTION_US,
	    .heartbeat_us = FUZZ_ELECTION_US / 6,
	    .lease_us = FUZZ_ELECTION_US / 2,
	    .snapshot_entries = 4,
	    .append_max_bytes = 256,
	    .seed = 1};
	const struct replica_callbacks callbacks = {.ctx = applied,
	    .send = fuzz_send,
	    .apply = fuzz_apply,
	    .snapshot_save = fuzz_save,
	    .snapshot_load = fuzz_load};
	struct replica_storage storage = {.disk = FUZZ_DISK,
	    .load = storage_load,
	    .save_state = storage_state,
	    .append = storage_append,
	    .truncate_after = storage_truncate,
	    .save_snapshot = storage_snapshot,
	    .save_group = storage_group,
	    .sync = storage_sync};
	const struct replica_member members[] = {
	    {.id = 1, .voter = true}, {.id = 2, .voter = true}, {.id = 3}};
	struct replica *r;

	INVARIANT(replica_open(&config, &storage, &callbacks, members, 3, 1,
		      &r) == STATUS_OK,
	    "replica_open failed");
	if (!formed)
		return r;
	r->bootstrapping = false;
	for (unsigned i = 0; i < r->bootstrap_members.count; i++)
		r->bootstrap_members.list[i].disk = FUZZ_DISK;
	r->snapshot_members = r->bootstrap_members;
	members_reload(r);
	return r;
}

/*
 * The input is a sequence of messages, each preceded by one byte for its
 * sender and one for its length.  A length of 0 advances the time instead.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	uint64_t applied = 0, now_us = 1, commit = 0;
	struct replica *r = open_replica(&applied, len % 4 != 0);

	while (len >= 2) {
		size_t take = data[1] < len - 2 ? data[1] : len - 2;

		if (take == 0) {
			now_us += FUZZ_ELECTION_US;
			replica_tick(r, now_us);
		} else {
			replica_receive(r, data[0] & 3,
			    str_of((const char *)data + 2, take), now_us);
		}
		replica_flush(r, now_us);
		INVARIANT(r->commit_index >= commit &&
			(r->role == REPLICA_STOPPED ||
			    r->commit_index <= log_last_index(&r->log)),
		    "commit index decreased or beyond the log");
		commit = r->commit_index;
		data += 2 + take;
		len -= 2 + take;
	}
	replica_close(r);
	return 0;
}

/*
 * Appends a message to a sequence.
 */
static void
append_message(struct str_buf *sequence, uint8_t from, Replica__Message *m)
{
	uint8_t bytes[512];
	char head[2];
	size_t len;

	m->from_disk = FUZZ_DISK;
	m->to_disk = FUZZ_DISK;
	len = replica__message__pack(m, bytes);
	head[0] = (char)from;
	head[1] = (char)len;
	INVARIANT(len < 256, "seed message longer than its length byte allows");
	str_buf_append(sequence, str_of(head, 2));
	str_buf_append(sequence, str_of((const char *)bytes, len));
}

/*
 * Builds the messages that a follower receives: appends of three terms with
 * conflicts, and a snapshot.
 */
static void
follower_sequence(struct str_buf *sequence)
{
	Replica__Entry entries[2] = {
	    REPLICA__ENTRY__INIT, REPLICA__ENTRY__INIT};
	Replica__Entry *list[2] = {&entries[0], &entries[1]};
	uint8_t snapshot[] = {0x12, 0x01, 'x'};
	Replica__Message m = REPLICA__MESSAGE__INIT;

	for (uint64_t term = 1; term <= 3; term++) {
		entries[0].term = term;
		entries[1].term = term;
		entries[0].kind = ENTRY_COMMAND;
		replica__message__init(&m);
		m.kind = REPLICA__KIND__KIND_APPEND;
		m.term = term;
		m.index = term - 1;
		m.log_term = term - 1;
		m.commit = term;
		m.entries = list;
		m.n_entries = 2;
		append_message(sequence, 1, &m);
	}
	replica__message__init(&m);
	m.kind = REPLICA__KIND__KIND_SNAPSHOT;
	m.term = 4;
	m.index = 20;
	m.log_term = 4;
	m.total = sizeof(snapshot);
	m.chunk.data = snapshot;
	m.chunk.len = sizeof(snapshot);
	append_message(sequence, 3, &m);
}

/*
 * Builds the messages that a candidate receives until it leads, and the
 * replies to a leader.
 */
static void
leader_sequence(struct str_buf *sequence)
{
	static const Replica__Kind kinds[] = {
	    REPLICA__KIND__KIND_PRE_VOTE_REPLY, REPLICA__KIND__KIND_VOTE_REPLY,
	    REPLICA__KIND__KIND_APPEND_REPLY, REPLICA__KIND__KIND_APPEND_REPLY,
	    REPLICA__KIND__KIND_SNAPSHOT_REPLY, REPLICA__KIND__KIND_PRE_VOTE,
	    REPLICA__KIND__KIND_VOTE, REPLICA__KIND__KIND_JOIN,
	    REPLICA__KIND__KIND_JOIN_REPLY};
	static const char wait[] = {0, 0, 0, 0};

	str_buf_append(sequence, str_of(wait, sizeof(wait)));
	for (size_t i = 0; i < sizeof(kinds) / sizeof(*kinds); i++) {
		Replica__Message m = REPLICA__MESSAGE__INIT;

		m.kind = kinds[i];
		m.term = 1;
		m.index = 1;
		m.reject = i == 3;
		append_message(sequence, i % 2 == 0 ? 1 : 3, &m);
	}
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	static struct str_buf sequences[2];

	if (max < 2)
		return 0;
	follower_sequence(&sequences[0]);
	leader_sequence(&sequences[1]);
	for (size_t i = 0; i < 2; i++)
		seeds[i] = (struct fuzz_seed){
		    .data = (const uint8_t *)sequences[i].data,
		    .len = sequences[i].len};
	return 2;
}
