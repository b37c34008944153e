/*
 * One file of the log: records of entries in index order.
 */
#ifndef REPLICA_STORAGE_SEGMENT_H
#define REPLICA_STORAGE_SEGMENT_H

#include "replica/storage_file.h"

struct segment_position {
	uint64_t term;
	uint64_t offset;
};

struct segment {
	char name[32]; /* log-INDEX of its first entry */
	uint64_t first;
	uint64_t count;
	struct segment_position *positions;
	size_t capacity;
	uint64_t size; /* in bytes, including write_buffer */
	struct str_buf write_buffer;
	int fd;
	bool unsynced;
};

enum status
segment_create(const struct storage_location *location, uint64_t first,
    struct segment *segment) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Opens and checks a file; with last, a torn tail is truncated. */
enum status segment_open(const struct storage_location *location,
    uint64_t first, bool last, struct str_buf *bytes,
    struct segment *segment) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status
segment_append(const struct storage_location *location, struct segment *segment,
    const struct storage_entry *entry) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status segment_sync(const struct storage_location *location,
    struct segment *segment) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status segment_truncate_after(const struct storage_location *location,
    struct segment *segment,
    uint64_t index) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void segment_close(const struct storage_location *location,
    struct segment *segment) ATTR_NONNULL_ALL;

#endif
