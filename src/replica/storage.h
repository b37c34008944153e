/*
 * Storage interface for a replica's term, vote, log and snapshot.
 * Implemented by a data folder (storage_folder_open) and by a test double
 * that injects faults.
 */
#ifndef REPLICA_STORAGE_H
#define REPLICA_STORAGE_H

#include <stdbool.h>

#include "base/status.h"
#include "base/str.h"

struct storage_entry {
	uint64_t index;
	uint64_t term;
	uint32_t kind; /* command, members or no-op */
	struct str data;
};

/* Receives the stored state while it is loaded. */
struct storage_loader {
	void *ctx;
	void (*state)(void *ctx, uint64_t term, uint64_t vote);
	void (*snapshot)(
	    void *ctx, uint64_t index, uint64_t term, struct str data);
	void (*entry)(void *ctx, const struct storage_entry *entry);
	/* The bootstrap members, as passed to save_group(). */
	void (*group)(void *ctx, struct str data);
};

/*
 * Functions of a storage.  Data is durable only after sync() returned
 * STATUS_OK, or, of a storage with sync_ended(), after that said so of the sync
 * begun last; one at a time.  Calls take effect in order, so a sync covers those
 * before it.  After any failure the storage refuses all further use (a failed
 * fsync is never retried).
 */
struct replica_storage {
	void *ctx;
	uint64_t disk; /* random, drawn when the storage was created; never 0 */
	enum status (*load)(void *ctx, const struct storage_loader *loader);
	enum status (*save_state)(void *ctx, uint64_t term, uint64_t vote);
	enum status (*append)(
	    void *ctx, const struct storage_entry *entries, unsigned count);
	enum status (*truncate_after)(void *ctx, uint64_t index);
	enum status (*save_snapshot)(
	    void *ctx, uint64_t index, uint64_t term, struct str data);
	enum status (*save_group)(void *ctx, struct str data);
	enum status (*sync)(void *ctx);
	/*
	 * NULL: sync() waits for the disk.  Else it only begins, and the errors of
	 * all calls are reported here: true, once, when the sync has ended.
	 */
	bool (*sync_ended)(void *ctx, enum status *status, uint64_t *took_us);
	void (*close)(void *ctx);
};

/* Fails with STATUS_CONFLICT if the folder belongs to another id. */
enum status storage_folder_open(const char *path, uint64_t id,
    struct replica_storage *storage) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
