/*
 * Shared by the files of the seeded group: its state.
 */
#ifndef SUPPORT_REPLICA_GROUP_DEFS_H
#define SUPPORT_REPLICA_GROUP_DEFS_H

#include "base/clock.h"
#include "support_replica_group.h"

enum {
	STEP_US = 10000,
	FAULTY_STEPS = 900, /* with failures */
	RECOVERY_STEPS = 400, /* all mended: the group must work again */
	ELECTION_US = 20 * STEP_US,
	HEARTBEAT_US = 4 * STEP_US,
	LEASE_US = 18 * STEP_US,
	BUCKETS = 128, /* steps a message can be under way */
	VOTERS_MIN = 3,
	VOTERS_MAX = 5
};

struct envelope {
	uint64_t from;
	uint64_t to;
	char *data;
	size_t len;
};

struct bucket {
	struct envelope *list;
	size_t count;
	size_t capacity;
};

/* The state kept by the commands: a value for each index. */
struct state_machine {
	uint64_t *values; /* by index; 0: no command there */
	uint64_t capacity;
	uint64_t applied; /* last index */
	uint64_t chain; /* hash over the sequence */
};

struct group;

struct node {
	struct group *group;
	uint64_t id;
	bool used;
	bool removed; /* no longer a member, never started again */
	bool wiped; /* its folder was lost */
	struct fs *fs;
	struct replica_storage inner; /* storage behind the checks */
	uint64_t *terms; /* of its stored log, by index */
	uint64_t terms_capacity;
	uint64_t last_stored;
	void *engine; /* NULL: down */
	uint64_t restart_step; /* when down */
	uint64_t thaw_step; /* frozen until then */
	uint64_t incarnation;
	uint64_t clock_offset_us;
	uint64_t clock_rate; /* millionths */
	bool bootstrap;
	struct state_machine state_machine;
};

/* A command that was proposed. */
struct proposal {
	uint64_t node; /* slot */
	uint64_t incarnation;
	uint64_t index;
	uint64_t term;
	uint64_t value;
};

enum operator_task {
	TASK_NONE,
	TASK_ADD, /* a new replica: start, add, promote */
	TASK_REMOVE /* a member */
};

struct group {
	const struct group_engine *engine;
	struct random random;
	struct group_result *result;
	bool trace;
	uint64_t step;
	uint64_t now_us;
	struct node nodes[GROUP_NODES_MAX]; /* slot id - 1 */
	struct replica_member bootstrap[VOTERS_MAX];
	unsigned bootstrap_count;
	uint64_t snapshot_entries;
	uint64_t append_max_bytes;
	uint64_t fault_steps; /* mean time between failures */
	uint64_t delay_steps; /* most messages take at most that */
	struct bucket buckets[BUCKETS];
	bool partitioned[GROUP_NODES_MAX][GROUP_NODES_MAX];
	uint64_t next_id;
	uint64_t next_value;

	/* What operators do. */
	enum operator_task task;
	uint64_t task_id; /* replica that is added or removed */
	uint64_t replace_id; /* member with a lost disk, 0: none */
	bool remove_first;
	uint64_t repaired_step;

	/* What was seen, over all nodes. */
	struct proposal *proposals;
	size_t proposal_count;
	size_t proposal_capacity;
	uint64_t *acked; /* value by index; 0: none */
	uint64_t acked_capacity;
	uint64_t acked_last;
	uint64_t *chains; /* by index, of the first replica to apply it */
	uint64_t chains_capacity;
	struct stored_entry *stored_entries; /* hash table of log entries */
	size_t stored_entry_count;
	size_t stored_entry_capacity;
	uint64_t *leaders; /* by term */
	uint64_t leaders_capacity;
};

/* support_replica_group.c */
void group_trace(const struct group *g, const char *fmt, ...) ATTR_PRINTF(2, 3);
uint64_t group_local_us(const struct group *g, const struct node *node);
void group_start(struct group *g, struct node *node);
void group_kill(struct group *g, struct node *node, uint64_t down_steps);
struct node *group_add_node(struct group *g);
struct node *group_leader(struct group *g);
bool group_is_up(const struct group *g, const struct node *node);
uint64_t *group_slot(uint64_t **table, uint64_t *capacity, uint64_t index);

/* support_replica_check.c */
void check_storage(struct node *node, struct replica_storage *storage);
void check_applied(
    struct node *node, uint64_t index, uint64_t term, struct str command);
void check_loaded(struct node *node, uint64_t index, uint64_t chain);
void check_step(struct group *g);
void check_end(struct group *g);
void check_free(struct group *g);

/* support_replica_faults.c */
void faults_step(struct group *g);
void faults_clear(struct group *g);
void faults_run_operator(struct group *g);

#endif
