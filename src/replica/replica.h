/*
 * One replica of the control group's log: the Raft consensus algorithm
 * (Ongaro 2014) with pre-vote, check-quorum, snapshots, learners and
 * membership changes of one replica at a time.  The module performs no I/O
 * itself: messages are sent through callbacks, data is stored through a
 * storage interface, and the current time is passed as an argument.  Not
 * thread-safe; one thread owns a replica.
 */
#ifndef REPLICA_REPLICA_H
#define REPLICA_REPLICA_H

#include "base/status.h"
#include "base/str.h"

enum {
	REPLICA_MEMBERS_MAX = 9
};

enum replica_role {
	REPLICA_FOLLOWER,
	REPLICA_PRE_CANDIDATE,
	REPLICA_CANDIDATE,
	REPLICA_LEADER,
	REPLICA_STOPPED /* storage failed; sends no replies */
};

struct replica_member {
	uint64_t id; /* never reused after its disk was lost */
	bool voter; /* false: learner */
	char address[64]; /* IP:PORT for messages of its peers */
};

struct replica_config {
	uint64_t id;
	uint64_t election_timeout_us; /* minimum; drawn up to twice that */
	uint64_t heartbeat_us;
	uint64_t lease_us; /* below election_timeout_us */
	uint64_t snapshot_entries; /* log entries between snapshots */
	uint64_t append_max_bytes; /* of entries in one message */
	uint64_t seed;
	/* of the process, at the latest; 0: its messages may be older */
	uint64_t started_us;
	/*
	 * A majority of the first members forms the group; else all of them do.
	 * Requires that none which lost its disk is opened with bootstrap again:
	 * two such could form a second group.
	 */
	bool forms_by_majority;
};

struct replica_storage; /* replica/storage.h */

struct replica_callbacks {
	void *ctx;
	/* Sends a message over the network; delivery is not guaranteed. */
	void (*send)(void *ctx, uint64_t to, struct str message);
	/* Applies a committed command; called once for each, in log order. */
	void (*apply)(
	    void *ctx, uint64_t index, uint64_t term, struct str command);
	void (*snapshot_save)(void *ctx, struct str_buf *out);
	enum status (*snapshot_load)(
	    void *ctx, uint64_t index, struct str data);
	/* Reports a change of the role, term, leader or members. */
	void (*changed)(void *ctx);
};

struct replica_info {
	enum replica_role role;
	uint64_t term;
	uint64_t leader; /* 0: unknown */
	uint64_t commit_index;
	uint64_t applied_index;
	uint64_t last_index;
	uint64_t snapshot_index;
	struct replica_member members[REPLICA_MEMBERS_MAX];
	unsigned member_count;
	/* On the leader, by member: it holds all that is committed. */
	bool caught_up[REPLICA_MEMBERS_MAX];
	/* false: a change is under way, which may not come to pass */
	bool members_committed;
	bool bootstrapping; /* the group isn't formed yet, as far as it knows */
	/* Stopped since its id belongs to another disk. */
	bool refused;
	/* of the log: at which this list is known to be in effect */
	uint64_t members_index;
	/*
	 * When it was last in touch with a leader, or led with a majority: by
	 * messages that were not held up on their way.  0: never since it was
	 * opened.
	 */
	uint64_t touch_us;
	/*
	 * Latest time at which a majority of the voters had no later list of
	 * members, by their replies to pre-votes; 0: not known.  If the list is
	 * committed, no later one was committed before this time.
	 */
	uint64_t list_us;
	/* How long the running sync, or the last one, has taken. */
	uint64_t sync_us;
};

struct replica;

/*
 * Opens a replica on its storage and replays what is stored: the snapshot
 * through snapshot_load, committed commands through apply as they become
 * known to be committed. bootstrap lists the first members of a new group
 * and is used only when the storage is empty and config->id is among them.
 */
enum status replica_open(const struct replica_config *config,
    struct replica_storage *storage, const struct replica_callbacks *callbacks,
    const struct replica_member *bootstrap, unsigned bootstrap_count,
    uint64_t now_us, struct replica **replica) ATTR_UNUSED_RESULT;
void replica_close(struct replica *replica);
/*
 * Processes a message of another replica.  STATUS_INVALID, with the field in
 * the status message, if it has no effect since it is malformed or a number is
 * out of its bounds.
 */
enum status replica_receive(struct replica *replica, uint64_t from,
    struct str message, uint64_t now_us) ATTR_NONNULL(1);
void replica_tick(struct replica *replica, uint64_t now_us) ATTR_NONNULL(1);
/*
 * Appends a command on the leader.  STATUS_UNAVAILABLE on other replicas.
 * The command is committed only once apply() has been called for its index
 * and term.
 */
enum status replica_propose(struct replica *replica, struct str command,
    uint64_t *index, uint64_t *term) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Makes all appended data durable with one sync and sends the messages that
 * depend on it (group commit).  Called after a batch of the functions above, and
 * when a sync of the storage has ended.
 */
void replica_flush(struct replica *replica, uint64_t now_us) ATTR_NONNULL(1);
/*
 * The process has waited for its disk, in microseconds, and runs on.  Called
 * after the functions above where that may have taken long.
 */
void replica_on_stall(
    struct replica *replica, uint64_t took_us, uint64_t now_us) ATTR_NONNULL(1);
/* True while no other leader can have been elected. */
bool replica_has_lease(const struct replica *replica, uint64_t now_us)
    ATTR_NONNULL(1);
/* Whether all that its leader had committed is applied, since it was opened. */
bool replica_has_caught_up(const struct replica *replica) ATTR_NONNULL(1);
/* Adds a learner, promotes a caught-up learner, or removes a member. */
enum status replica_add_learner(struct replica *replica,
    const struct replica_member *member, uint64_t *index) ATTR_NONNULL_ALL;
enum status replica_promote(
    struct replica *replica, uint64_t id, uint64_t *index) ATTR_NONNULL_ALL;
enum status replica_remove(
    struct replica *replica, uint64_t id, uint64_t *index) ATTR_NONNULL_ALL;
void replica_describe(
    const struct replica *replica, struct replica_info *info) ATTR_NONNULL_ALL;
const char *replica_role_name(enum replica_role role);

#endif
