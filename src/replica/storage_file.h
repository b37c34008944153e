/*
 * File helpers over the storage's system calls.  Short reads and writes are
 * continued; files are replaced by write, sync, rename and sync of the
 * folder.
 */
#ifndef REPLICA_STORAGE_FILE_H
#define REPLICA_STORAGE_FILE_H

#include "replica/storage_calls.h"
#include "replica/storage_record.h"

enum {
	STORAGE_PATH_MAX_BYTES = 4096
};

struct storage_location {
	const struct storage_calls *calls;
	char path[STORAGE_PATH_MAX_BYTES]; /* of the folder */
};

enum status
storage_errno_status(const char *what, const char *name) ATTR_NONNULL_ALL;
/* Joins folder and name; STATUS_INVALID when the path is too long. */
enum status file_path(const struct storage_location *location, const char *name,
    char *path, size_t size) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status
file_write(const struct storage_calls *calls, int fd, const char *name,
    struct str data, uint64_t offset) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status file_read_all(const struct storage_calls *calls, int fd,
    const char *name, struct str_buf *out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status
file_replace(const struct storage_location *location, const char *name,
    const struct record *record) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* bytes owns the record's data; STATUS_NOT_FOUND if there is no file. */
enum status file_load(const struct storage_location *location, const char *name,
    uint32_t kind, struct str_buf *bytes,
    struct record *record) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status file_unlink(const struct storage_location *location,
    const char *name) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status file_sync_folder(const struct storage_location *location)
    ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
