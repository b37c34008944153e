/*
 * Machines of a group on one virtual clock, shared by the files of the disk
 * schedules and of the first starts.
 */
#ifndef SUPPORT_DISK_WORLD_H
#define SUPPORT_DISK_WORLD_H

#include "base/clock.h"
#include "core/group_keeper.h"
#include "support_disk_schedule.h"
#include "support_replica_fs.h"

enum {
	STEP_US = 10000,
	EVENT_STEPS = 3000, /* with faults */
	FINAL_STEPS = 600, /* without */
	START_STEPS = 700, /* of a first start, from the last machine's on */
	APART_STEPS = 1000, /* the seeds start that far apart at most */
	CATCH_UP_STEPS = 400, /* catch_up_s: a machine stays lost that long */
	BUCKETS = 256, /* maximum delay of a message, in steps */
	MACHINES_MAX = 8,
	LOSSES_MAX = 3,
	VALUES_MAX = 8192, /* length of the log */
	LEADERS_MAX = 4096 /* terms */
};

enum message_kind {
	MESSAGE_REPLICA,
	MESSAGE_JOIN,
	MESSAGE_REMOVED,
	MESSAGE_DENIED
};

struct envelope {
	enum message_kind kind;
	unsigned from, to; /* machines */
	uint64_t from_id;
	uint64_t to_id; /* or of the replica that was removed, or denied */
	char *data;
	size_t len;
};

struct bucket {
	struct envelope *list;
	size_t count;
	size_t capacity;
};

/* A replica's disk and identity. */
struct disk {
	struct fs *fs;
	uint64_t id; /* 0: none yet */
	uint64_t number; /* planted: the disk that it passes for */
};

struct world;

struct machine {
	struct world *world;
	unsigned number;
	char address[16];
	bool bootstrap; /* as the settings of its next start say */
	struct disk disk;
	struct disk own; /* away while another process has the address */
	uint64_t own_step; /* when that ends; 0: not */
	struct replica *replica; /* NULL: down */
	struct replica_info info;
	struct group_keeper keeper;
	uint64_t clock_offset_us;
	uint64_t start_step;
	uint64_t thaw_step;
	uint64_t join_step;
	uint64_t whole_step; /* until then it counts as lost */
	uint64_t values[VALUES_MAX]; /* by index */
	uint64_t applied;
};

struct world {
	struct random random;
	enum disk_plant plant;
	bool trace;
	struct disk_result *result;
	struct machine machines[MACHINES_MAX];
	unsigned machine_count;
	unsigned losses; /* to bear at a time */
	/*
	 * Messages may be lost or late, which TCP has only at a cut or a
	 * restart.  Nothing then bounds the time of an election, so a machine
	 * counts as lost until the group is whole.
	 */
	bool lossy;
	uint64_t changed_step; /* last start, thaw or end of a cut */
	const struct first_start *first_start; /* NULL: the group has formed */
	bool killed; /* the seed of the first start */
	bool formed; /* its group, before that */
	struct replica_member first[MACHINES_MAX];
	unsigned first_count;
	uint64_t step;
	uint64_t next_id;
	uint64_t next_value;
	uint64_t snapshot_entries;
	uint64_t event_steps; /* mean steps between events */
	struct bucket buckets[BUCKETS];
	bool cut[MACHINES_MAX][MACHINES_MAX];
	uint64_t cut_step; /* when the cut ends */
	unsigned cut_machine;
	bool loss_armed; /* the next leader that acknowledges loses its disk */
	struct machine *acknowledged_by;
	uint64_t values[VALUES_MAX]; /* as first applied, by index */
	bool acknowledged[VALUES_MAX];
	uint64_t last_ack_step;
	uint64_t leaders[LEADERS_MAX]; /* by term */
	bool whole;
	bool late; /* counted since the group was last whole */
};

/* support_disk_machine.c: processes, disks and messages */
void world_trace(const struct world *w, const char *fmt, ...) ATTR_PRINTF(2, 3);
uint64_t machine_local_us(const struct machine *m);
bool machine_is_running(const struct machine *m);
bool machine_is_lost(const struct machine *m);
void machine_set_back(struct machine *m, uint64_t step);
void machine_start(struct machine *m);
/* The process of a first start was killed at a call to its disk. */
void machine_set_dead(struct machine *m);
void machine_stop(struct machine *m, uint64_t down_steps);
void machine_lose_disk(struct machine *m);
unsigned world_count_lost(const struct world *w);
void world_deliver(struct world *w);
void world_send(struct world *w, struct envelope envelope, struct str bytes);

/* support_disk_group.c: what the replicas of the machines do together */
void machine_tick(struct machine *m);
void world_propose(struct world *w);
struct machine *world_leader(struct world *w);
bool world_is_whole(struct world *w);

/* support_disk_schedule.c: events and checks */
void world_init(struct world *w, uint64_t seed);
void world_free(struct world *w);
void world_run_step(struct world *w, bool events);
void world_check_end(struct world *w);
uint64_t disk_violations(const struct disk_result *result);

#endif
