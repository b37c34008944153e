/*
 * State of a voter's buckets, shared by the files of the module.
 */
#ifndef LIMIT_ALLOWANCE_BUCKET_DEFS_H
#define LIMIT_ALLOWANCE_BUCKET_DEFS_H

#include <glib.h>

#include "limit/allowance_bucket.h"

/* A draw whose tokens may still be used or returned. */
struct recent_draw {
	uint64_t holder;
	uint64_t request;
	uint64_t at_us;
	unsigned live; /* granted and not returned */
	unsigned spare; /* of live */
};

struct bucket {
	struct allowance_limit limit;
	double level;
	uint64_t updated_us; /* time of level */
	uint64_t used_us;
	GQueue draws; /* struct recent_draw, oldest first */
	unsigned live; /* sums over draws */
	unsigned spare;
	struct allowance_floor floor;
};

struct allowance_table {
	GHashTable *buckets; /* account -> struct bucket */
	double shares;
	uint64_t window_us;
	uint64_t token_us;
	uint64_t started_us;
	uint64_t swept_us;
	/*
	 * Floors that may be on disk, of accounts without a bucket: account ->
	 * struct allowance_floor.
	 */
	GHashTable *floors;
	bool floors_valid; /* buckets may start at them */
	/* The file may hold floors that were not taken over, nor earned. */
	bool floors_stale;
	bool stale_end; /* ends with the write under way */
	/* The file may hold any floors until the next write of it has ended. */
	bool floors_unknown;
	bool unknown_end; /* ends with the write under way */
	bool floors_due; /* one should be lowered, or a write has failed */
	uint64_t next_scan_us;
};

/* allowance_bucket.c */
/* Forgets draws that are no longer live, and adds what has accrued. */
void allowance_bucket_update(const struct allowance_table *table,
    struct bucket *bucket, uint64_t now_us) ATTR_NONNULL_ALL;
double allowance_bucket_capacity(const struct allowance_table *table,
    const struct bucket *bucket) ATTR_NONNULL_ALL;

/* allowance_bucket_floor.c */
/* Gives a new bucket the floor of its account, and starts its level there. */
void allowance_bucket_take_floor(struct allowance_table *table,
    const char *account, struct bucket *bucket) ATTR_NONNULL_ALL;
/* Keeps the floors of buckets that are about to be forgotten. */
void
allowance_table_keep_floors(struct allowance_table *table) ATTR_NONNULL_ALL;
/* Returns what a bucket may grant. */
double allowance_bucket_available(const struct allowance_table *table,
    const struct bucket *bucket) ATTR_NONNULL_ALL;

#endif
