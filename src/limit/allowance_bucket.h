/*
 * Decisions of a voter of the control group on the allowances of client
 * accounts.  Each of the voters holds an equal share of an account's rate and
 * burst in a token bucket and never asks another one, so that the sum holds
 * whatever is cut off.
 * Of the state only floors outlive a restart.
 *
 * A token that was granted is live until it is used, returned or
 * ALLOWANCE_TOKEN_MS old.  A bucket counts the tokens that it granted within
 * that time and did not get back: they and its level together never exceed the
 * capacity, what the share accrues within that time, and
 * ALLOWANCE_EXCESS.  This bounds the tokens that are drawn in one window and
 * used in the next one.
 */
#ifndef LIMIT_ALLOWANCE_BUCKET_H
#define LIMIT_ALLOWANCE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "limit/allowance_floor.h"

enum {
	/* Longest life of a token, from the question to its use or return. */
	ALLOWANCE_TOKEN_MS = 500,
	ALLOWANCE_WINDOW_MS = 5000, /* if the settings name none */
	/* A token lives for at most this part of the window. */
	ALLOWANCE_TOKEN_WINDOW_PART = 10,
	ALLOWANCE_BUCKETS_MAX = 65536,
	/*
	 * Smallest sum of the capacities of all shares, but at least 1 each.
	 * With 1 each an account without a burst got 0.94 of its rate: a bucket
	 * is full before the next request comes.
	 */
	ALLOWANCE_CAPACITY_MIN = 10,
	/*
	 * Live tokens and level of all shares beyond their capacity and what
	 * accrues in the life of a token.  Both sums are within the 20 requests
	 * that the bound allows to every account.
	 */
	ALLOWANCE_EXCESS = 5
};

/* The allowance of a whole account. */
struct allowance_limit {
	double rate_per_s; /* above 0 */
	double burst;
	uint64_t document_index; /* of the document that says so */
};

struct allowance_result {
	unsigned granted;
	uint64_t retry_us; /* if none: until the next token */
	bool unavailable; /* ALLOWANCE_BUCKETS_MAX is reached */
};

struct allowance_table;

/* The life of a token for a window of the bound. */
uint64_t allowance_token_us(uint64_t window_us);

/* shares: number of voters among which an allowance is split. */
struct allowance_table *
allowance_table_new(unsigned shares, uint64_t window_us, uint64_t now_us);
void allowance_table_free(struct allowance_table *table);
/* Forgets all buckets; they start again with one token, without floors. */
void allowance_table_reset(
    struct allowance_table *table, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Draws 1 to want tokens for an account.  holder and request identify the draw
 * for allowance_table_return().
 */
struct allowance_result allowance_table_draw(struct allowance_table *table,
    const char *account, const struct allowance_limit *limit, uint64_t holder,
    uint64_t request, unsigned want, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Takes back tokens of a draw.  Returns the number taken back: none of a draw
 * that is unknown, or whose tokens are too old.
 */
unsigned allowance_table_return(struct allowance_table *table,
    const char *account, uint64_t holder, uint64_t request, unsigned count,
    uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Takes over the floors of a file, before any draw.  They are withheld, and
 * buckets start at them once allowance_table_use_floors() says that they are
 * valid: the share is the one that it was when the file was written.
 */
void allowance_table_load_floors(
    struct allowance_table *table, const GPtrArray *lines) ATTR_NONNULL_ALL;
/*
 * Says instead that there is a file that could not be read.  The largest floor
 * that it may hold for a bucket is withheld until the file has been replaced or
 * removed.
 */
void
allowance_table_miss_floors(struct allowance_table *table) ATTR_NONNULL_ALL;
void allowance_table_use_floors(struct allowance_table *table) ATTR_NONNULL_ALL;
bool allowance_table_has_stale_floors(
    const struct allowance_table *table) ATTR_NONNULL_ALL;
/*
 * Returns the lines of a write that is due now, possibly none, and counts them
 * as being written; NULL if the file would not change.
 */
GPtrArray *allowance_table_begin_write(
    struct allowance_table *table, uint64_t now_us) ATTR_NONNULL_ALL;
/* The write that began last has ended, before the next one begins. */
void allowance_table_end_write(struct allowance_table *table,
    enum allowance_write outcome) ATTR_NONNULL_ALL;
/* Discards buckets that are full and have not been used for ten minutes. */
void allowance_table_sweep(
    struct allowance_table *table, uint64_t now_us) ATTR_NONNULL_ALL;
unsigned
allowance_table_count(const struct allowance_table *table) ATTR_NONNULL_ALL;

#endif
