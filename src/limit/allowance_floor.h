/*
 * Floors of a voter's buckets: levels that outlive a restart.  A floor is a
 * level that a bucket is known not to have gone below since a file was written
 * that says so.  A bucket grants only what it holds above the highest floor
 * that may be on disk; after a restart it starts at the floor in the file.
 */
#ifndef LIMIT_ALLOWANCE_FLOOR_H
#define LIMIT_ALLOWANCE_FLOOR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/str.h"

enum {
	ALLOWANCE_FLOORS_MAX = 4096, /* accounts in a file */
	/* Accounts without a draw since the start are dropped after this. */
	ALLOWANCE_FLOOR_KEPT_MS = 10 * 60 * 1000
};

/* What became of a write of the file. */
enum allowance_write {
	ALLOWANCE_WRITE_DONE, /* the file holds what was written */
	ALLOWANCE_WRITE_EMPTY, /* it failed, and there is no file */
	ALLOWANCE_WRITE_UNKNOWN /* it failed; either file may be there */
};

/* The floor of one bucket, in tokens. */
struct allowance_floor {
	double held; /* the highest that may be on disk */
	double writing; /* in the write that is under way */
	bool high; /* the level was high at the last scan and since */
};

/* A line of the file. */
struct allowance_floor_line {
	char *account; /* owned */
	double level;
};

/* Lines of a file; freed by g_ptr_array_unref(). */
GPtrArray *allowance_floor_lines_new(void);
void allowance_floor_lines_add(
    GPtrArray *lines, const char *account, double level) ATTR_NONNULL_ALL;

/* What a floor counts with a capacity, at a restart and while granting. */
double allowance_floor_limit(double level, double capacity);
/* Notes a lower level after a draw; returns whether a write is due. */
bool allowance_floor_on_draw(struct allowance_floor *floor, double level,
    double capacity) ATTR_NONNULL_ALL;
/* Returns the floor to be written, from time to time also a higher one. */
double allowance_floor_wanted(struct allowance_floor *floor, double level,
    double capacity, bool may_raise) ATTR_NONNULL_ALL;
void allowance_floor_begin(
    struct allowance_floor *floor, double level) ATTR_NONNULL_ALL;
void allowance_floor_end(struct allowance_floor *floor,
    enum allowance_write outcome) ATTR_NONNULL_ALL;

/* Appends the file's text for a replica and a number of shares. */
void allowance_floor_format(struct str_buf *out, uint64_t replica_id,
    unsigned shares, const GPtrArray *lines) ATTR_NONNULL_ALL;
/* Reads it; NULL if it is torn, or of another replica or number of shares. */
GPtrArray *
allowance_floor_parse(struct str text, uint64_t replica_id, unsigned shares);

#endif
