/*
 * State of a replica and the internal functions that its source files share.
 */
#ifndef REPLICA_REPLICA_DEFS_H
#define REPLICA_REPLICA_DEFS_H

#include "base/random.h"
#include "base/refcount.h"
#include "replica/replica.h"
#include "replica/replica.pb-c.h"
#include "replica/replica_log.h"
#include "replica/stall.h"
#include "replica/storage.h"

enum entry_kind {
	ENTRY_NOOP = 0,
	ENTRY_COMMAND = 1,
	ENTRY_MEMBERS = 2
};

enum {
	UNCOMMITTED_MAX_BYTES = 8 << 20,
	UNCOMMITTED_MAX_ENTRIES = 16384, /* entries */
	COMMAND_MAX_BYTES = 4 << 20,
	MESSAGE_MAX_BYTES = 8 << 20,
	SNAPSHOT_MAX_BYTES = 256 << 20,
	LOG_MAX_BYTES = 16 << 20, /* log size that forces a snapshot */
	TRAILING_MAX_BYTES = 2 << 20, /* of entries kept after a snapshot */
	WINDOW_MAX_ENTRIES = 4096, /* unacknowledged, per follower */
	IN_FLIGHT_MAX_APPENDS = 16, /* unanswered, per follower */
	OUTGOING_MAX = 8192, /* messages, while a sync takes long */
	FLUSH_ROUNDS_MAX = 4
};

/*
 * Largest index and term in a message: an entry each microsecond for 285
 * years.
 */
#define REPLICA_NUMBER_MAX ((UINT64_C(1) << 53) - 1)

/* Terms that a replica may have missed: one each second for 136 years. */
#define TERM_STEP_MAX (UINT64_C(1) << 32)

struct member {
	struct replica_member info;
	/*
	 * 0: unknown.  Of a voter only if it is a first member that had not shown
	 * its disk when the group was formed.
	 */
	uint64_t disk;
};

struct members {
	struct member list[REPLICA_MEMBERS_MAX];
	unsigned count;
};

enum peer_state {
	PEER_PROBE, /* one append at a time until the logs match */
	PEER_REPLICATE, /* pipelined appends within a window */
	PEER_SNAPSHOT /* snapshot chunks, one at a time */
};

/*
 * Differences between the own clock and the one in a leader's messages.  The
 * clocks are unrelated and drift, so only a message's distance from the least
 * one of late says how long it was on its way.
 */
struct leader_delay {
	uint64_t term; /* 0: none */
	uint64_t since_us; /* first message of the term */
	uint64_t period_us; /* start of the current period */
	int64_t least_us; /* in the current period */
	int64_t previous_us; /* the least one of the period before */
};

/* An encoded snapshot with the members in effect at its index. */
struct image {
	struct refcount ref;
	uint64_t index;
	uint64_t term;
	char *data;
	size_t len;
};

/* This replica's view of another member. */
struct peer {
	uint64_t id;
	uint64_t disk; /* a voter's from the log, a learner's from replies */
	enum peer_state state;
	bool voter;
	bool granted; /* vote or pre-vote in the current round */
	bool waiting; /* for the reply to a probe or chunk */
	bool heartbeat_due;
	uint64_t match;
	uint64_t next;
	unsigned in_flight; /* unanswered appends since the last heartbeat */
	uint64_t last_reply_us; /* arrival of its last reply */
	uint64_t acked_sent_us; /* our clock; newest message that it answered */
	/* our clock; newest pre-vote that it answered without a later list */
	uint64_t list_us;
	struct image *image;
	size_t offset;
};

struct outgoing {
	uint64_t to;
	char *data;
	size_t len;
	uint64_t writes; /* those that have to be durable first */
};

/* A snapshot that is being received in chunks. */
struct incoming {
	uint64_t from;
	uint64_t index;
	uint64_t term;
	uint64_t total;
	struct str_buf data;
};

struct replica {
	struct replica_config config;
	struct replica_callbacks callbacks;
	struct replica_storage storage;
	struct random random;
	enum replica_role role;
	uint64_t now_us;
	/*
	 * Added to the time in pre-votes, at random: a reply to one from before
	 * a reboot, whose clock was another one, names no time of ours.
	 */
	uint64_t question_base_us;

	uint64_t term;
	uint64_t vote;
	uint64_t leader;
	struct replica_log log;
	uint64_t durable_index;
	uint64_t commit_index;
	uint64_t applied_index;
	uint64_t applied_term;
	bool caught_up; /* with the leader, since the replica was opened */
	/*
	 * Calls that changed the storage, counted: all of them, the last one that
	 * stored term or vote, those before the running sync and those that are
	 * durable.
	 */
	uint64_t writes;
	uint64_t state_write;
	uint64_t sync_writes;
	uint64_t durable_writes;
	bool syncing;
	uint64_t sync_index; /* last one of the log that the sync covers */
	uint64_t sync_began_us;
	uint64_t sync_took_us; /* the last one */

	struct image *image; /* the newest snapshot */
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	struct members snapshot_members; /* in effect at snapshot_index */
	struct members members; /* latest in the log, committed or not */
	uint64_t members_index;
	struct members bootstrap_members; /* and their disks */
	bool bootstrapping; /* not enough have confirmed our disk yet */
	bool refused; /* our id belongs to another disk */
	uint64_t next_refusal_log_us;
	unsigned confirmed_members; /* bit per bootstrap member with our disk */
	uint64_t join_due_us;

	struct peer peers[REPLICA_MEMBERS_MAX];
	unsigned peer_count;
	uint64_t leader_contact_us; /* last message of a leader */
	struct leader_delay leader_delay;
	uint64_t touch_us; /* replica_info.touch_us */
	uint64_t election_due_us;
	struct stall stall; /* of the disk */
	/* End of the last stall that stopped the process. */
	uint64_t stopped_us;
	uint64_t heartbeat_due_us;

	struct incoming incoming;
	struct outgoing *out;
	size_t out_count;
	size_t out_capacity;
	bool change_pending; /* callbacks.changed() is to be called */
	bool applying;
};

/* replica.c */
void replica_stop(struct replica *r, const char *what);
void replica_refuse(struct replica *r, const char *why);
void replica_mark_changed(struct replica *r);
void replica_append_entry(
    struct replica *r, enum entry_kind kind, struct str data, uint64_t term);
void replica_set_commit(struct replica *r, uint64_t index);
void replica_save_state(struct replica *r);
bool replica_state_is_durable(const struct replica *r);

/* replica_message.c */
void message_send(struct replica *r, uint64_t to, Replica__Message *message,
    bool before_sync);
Replica__Message *message_decode(struct str bytes);
const char *message_fault(const Replica__Message *m);
void members_encode(const struct members *members, struct str_buf *out);
bool members_decode(struct str bytes, struct members *members);
void members_to_message(const struct members *members, Replica__Member *space,
    Replica__Member **list);
bool members_from_message(
    Replica__Member *const *list, size_t count, struct members *members);
struct image *image_new(uint64_t index, uint64_t term,
    const struct members *members, struct str data);
struct image *image_from_bytes(uint64_t index, uint64_t term, struct str bytes);
void image_put(struct image *image);
Replica__Snapshot *image_decode(struct str bytes, struct members *members);

/* replica_election.c */
void election_reset_timer(struct replica *r);
void election_retry_soon(struct replica *r);
void
election_become_follower(struct replica *r, uint64_t term, uint64_t leader);
void election_campaign(struct replica *r);
void election_tick(struct replica *r);
void election_count_votes(struct replica *r);
void election_on_request(
    struct replica *r, uint64_t from, const Replica__Message *m);
void
election_on_reply(struct replica *r, uint64_t from, const Replica__Message *m);
bool election_leader_is_active(const struct replica *r);
uint64_t election_quorum_value(const struct replica *r,
    uint64_t (*value)(const struct peer *peer), uint64_t own);

/* replica_append.c */
void append_tick(struct replica *r);
void append_record_touch(struct replica *r, const Replica__Message *m);
void append_replicate(struct replica *r);
void append_advance_commit(struct replica *r);
void
append_on_request(struct replica *r, uint64_t from, const Replica__Message *m);
void
append_on_reply(struct replica *r, uint64_t from, const Replica__Message *m);
void append_confirm(
    struct replica *r, uint64_t to, const Replica__Message *m, uint64_t match);

/* replica_snapshot.c */
void snapshot_take_if_due(struct replica *r);
void snapshot_start(struct replica *r, struct peer *peer);
void snapshot_send_chunk(struct replica *r, struct peer *peer);
void snapshot_on_request(
    struct replica *r, uint64_t from, const Replica__Message *m);
void
snapshot_on_reply(struct replica *r, uint64_t from, const Replica__Message *m);
void snapshot_adopt(
    struct replica *r, struct image *image, const struct members *members);

/* replica_members.c */
struct peer *members_peer(struct replica *r, uint64_t id);
bool members_has_disk(struct peer *peer, uint64_t disk);
bool members_caught_up(const struct replica *r, uint64_t id);
void members_record_reply(
    const struct replica *r, struct peer *peer, uint64_t sent_us);
const struct member *members_find(const struct members *members, uint64_t id);
bool members_is_voter(const struct replica *r);
unsigned members_quorum(const struct replica *r);
void members_activate(
    struct replica *r, const struct members *members, uint64_t index);
void members_reload(struct replica *r);
void
members_at(const struct replica *r, uint64_t index, struct members *members);
void members_on_applied(struct replica *r, const struct storage_entry *entry);

/* replica_group.c */
enum status group_open(struct replica *r,
    const struct replica_member *bootstrap, unsigned count, bool loaded);
bool group_load(struct replica *r, struct str data);
void group_tick(struct replica *r);
void group_on_join(struct replica *r, uint64_t from, const Replica__Message *m);
void group_on_join_reply(
    struct replica *r, uint64_t from, const Replica__Message *m);

#endif
