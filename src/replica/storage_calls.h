/*
 * System calls used by the data folder, as a table so that tests can inject
 * failures into each.  As in libc, they return -1 and set errno on failure.
 */
#ifndef REPLICA_STORAGE_CALLS_H
#define REPLICA_STORAGE_CALLS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "base/attr.h"
#include "replica/storage.h"

typedef void storage_name_visitor(void *ctx, const char *name);

struct storage_calls {
	void *ctx;
	int (*make_folder)(void *ctx, const char *path); /* may exist already */
	int (*lock)(
	    void *ctx, const char *path); /* exclusive, returns a descriptor */
	int (*open)(void *ctx, const char *path, bool create);
	int (*close)(void *ctx, int fd);
	ssize_t (*read)(
	    void *ctx, int fd, void *data, size_t len, uint64_t offset);
	ssize_t (*write)(
	    void *ctx, int fd, const void *data, size_t len, uint64_t offset);
	int (*sync)(void *ctx, int fd);
	int (*truncate)(void *ctx, int fd, uint64_t size);
	int (*rename)(void *ctx, const char *from, const char *to);
	int (*unlink)(void *ctx, const char *path);
	int (*sync_folder)(void *ctx, const char *path);
	int (*list)(void *ctx, const char *path, storage_name_visitor *visit,
	    void *visit_ctx);
	uint64_t (*random)(void *ctx); /* never 0 */
};

const struct storage_calls *storage_calls_system(void);
/*
 * The same, but nothing is changed: writes fail, and what only tidies up a
 * folder succeeds without effect.
 */
const struct storage_calls *storage_calls_read_only(void);
/* storage_folder_open() with the given calls, which outlive the storage. */
enum status storage_folder_open_with(const char *path, uint64_t id,
    const struct storage_calls *calls,
    struct replica_storage *storage) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
