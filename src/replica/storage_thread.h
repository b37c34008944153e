/*
 * A storage whose calls run in order on a thread of their own, so that its
 * owner goes on while the disk is slow.
 */
#ifndef REPLICA_STORAGE_THREAD_H
#define REPLICA_STORAGE_THREAD_H

#include "replica/storage.h"

struct storage_owner {
	void *ctx;
	/* Called on the storage's thread when a sync has ended. */
	void (*wake)(void *ctx);
};

/*
 * Replaces a storage by one that runs the calls of it on a new thread.  load()
 * comes before all other calls and isn't deferred.  Calls that have not begun
 * are dropped by close(), which waits for the one that has.  On failure the
 * storage is closed.
 */
enum status storage_thread_start(struct replica_storage *storage,
    const struct storage_owner *owner) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
