/*
 * Seeded schedules of failures over a group of replicas: virtual clock,
 * folders in memory, links that lose, delay, repeat and reorder.  The same
 * seed gives the same schedule.
 */
#ifndef SUPPORT_REPLICA_GROUP_H
#define SUPPORT_REPLICA_GROUP_H

#include "replica/replica.h"
#include "support_replica_fs.h"

enum {
	GROUP_NODES_MAX = 16 /* replicas of one schedule, replaced ones too */
};

/* A replica's functions, so that a naive version runs the same schedule. */
struct group_engine {
	const char *name;
	bool supports_replacement; /* a lost disk comes back under a new id */
	enum status (*open)(const struct replica_config *config,
	    struct replica_storage *storage,
	    const struct replica_callbacks *callbacks,
	    const struct replica_member *bootstrap, unsigned count,
	    uint64_t now_us, void **engine);
	void (*close)(void *engine);
	void (*receive)(
	    void *engine, uint64_t from, struct str message, uint64_t now_us);
	void (*tick)(void *engine, uint64_t now_us);
	void (*flush)(void *engine, uint64_t now_us);
	enum status (*propose)(
	    void *engine, struct str command, uint64_t *index, uint64_t *term);
	bool (*has_lease)(void *engine, uint64_t now_us);
	void (*describe)(void *engine, struct replica_info *info);
};

struct group_result {
	uint64_t schedules;
	uint64_t acknowledged; /* commands */
	uint64_t lost; /* acknowledged, then not in the final state */
	uint64_t reverted; /* an applied place that changed or went back */
	uint64_t diverged; /* applied sequences or logs that contradict */
	uint64_t two_leaders; /* of one term */
	uint64_t two_leases; /* at one moment */
	uint64_t stale_reads; /* under a lease, missing an acknowledged one */
	uint64_t votes_after_wipe; /* an empty folder that counts again */
	uint64_t failed_starts; /* on a folder that only crashed */
	uint64_t stuck; /* no leader after all was mended */
	/* What the schedules brought about. */
	uint64_t elections;
	uint64_t kills;
	uint64_t disks_wiped;
	uint64_t disks_torn;
	uint64_t disk_errors;
	uint64_t partitions;
	uint64_t freezes;
	uint64_t member_changes;
	uint64_t wipes_after_repair; /* a disk lost right after a repair */
	uint64_t snapshots_loaded;
	uint64_t messages;
};

extern const struct group_engine group_engine_replica;
extern const struct group_engine group_engine_naive;

/* Runs one schedule and adds to result; trace prints each event. */
void group_run(const struct group_engine *engine, uint64_t seed, bool trace,
    struct group_result *result) ATTR_NONNULL_ALL;
/* Runs count schedules from seed on in several threads. */
void
group_run_many(const struct group_engine *engine, uint64_t seed, uint64_t count,
    unsigned threads, struct group_result *result) ATTR_NONNULL_ALL;
uint64_t group_violations(const struct group_result *result) ATTR_NONNULL_ALL;
void group_print(const struct group_engine *const *engines,
    const struct group_result *results, unsigned count) ATTR_NONNULL_ALL;

#endif
