/*
 * Record format of all files in a data folder: a header with its own
 * checksum, then data with another one (XXH3, 64 bits).
 */
#ifndef REPLICA_STORAGE_RECORD_H
#define REPLICA_STORAGE_RECORD_H

#include "base/str.h"

enum {
	RECORD_HEADER_BYTES = 48,
	RECORD_DATA_MAX_BYTES = 512 << 20
};

enum record_kind {
	RECORD_ENTRY_FIRST = 0, /* log entries of any kind */
	RECORD_ENTRY_LAST = 15,
	RECORD_IDENTITY, /* first: replica id, second: disk */
	RECORD_STATE, /* first: term, second: vote */
	RECORD_GROUP,
	RECORD_SNAPSHOT /* first: index, second: term */
};

struct record {
	uint32_t kind;
	uint64_t first; /* of an entry: its index */
	uint64_t second; /* of an entry: its term */
	struct str data; /* borrowed from the input */
};

enum record_status {
	RECORD_VALID,
	RECORD_TRUNCATED, /* the input ends inside the record */
	RECORD_CORRUPT /* a checksum does not match */
};

void record_append(
    struct str_buf *out, const struct record *record) ATTR_NONNULL_ALL;
/* Reads the record at the start of bytes; size includes its header. */
enum record_status record_read(
    struct str bytes, struct record *record, size_t *size) ATTR_NONNULL_ALL;

#endif
