/*
 * Reads the data folder of a replica that is not running, and changes nothing
 * in it.
 */
#ifndef REPLICA_REPLICA_INSPECT_H
#define REPLICA_REPLICA_INSPECT_H

#include "replica/replica.h"

/* What a folder holds.  Entries at its end may not be committed. */
struct replica_contents {
	uint64_t id;
	uint64_t disk;
	uint64_t term;
	uint64_t snapshot_index;
	uint64_t last_index;
	uint64_t last_term; /* of the last entry, or of the snapshot */
	struct replica_member members[REPLICA_MEMBERS_MAX]; /* the last list */
	unsigned member_count;
};

/* What was applied, in order: the snapshot, then the commands of the log. */
struct replica_inspector {
	void *ctx;
	enum status (*snapshot)(void *ctx, uint64_t index, struct str data);
	void (*command)(void *ctx, uint64_t index, struct str command);
};

/*
 * STATUS_NOT_FOUND without a replica, STATUS_CONFLICT while a process uses the
 * folder, STATUS_CORRUPT if it is damaged.
 */
enum status
replica_inspect(const char *path, const struct replica_inspector *inspector,
    struct replica_contents *contents) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Returns whether a folder's log holds at least all committed entries that
 * another one's holds.  Both are of the same group.
 */
bool replica_contents_is_newer(const struct replica_contents *one,
    const struct replica_contents *other) ATTR_NONNULL_ALL;

#endif
