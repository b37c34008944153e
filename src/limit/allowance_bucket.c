#include "limit/allowance_bucket.h"

#include <math.h>

#include "base/clock.h"
#include "base/memory.h"
#include "limit/allowance_bucket_defs.h"

enum {
	UNUSED_KEPT_MS = 10 * 60 * 1000,
	/* Draws of a bucket that are remembered; later ones wait for room. */
	DRAWS_MAX = 4096,
	/* A full table is swept once in this time: that takes 0.4 ms. */
	SWEEP_MS = 1000,
	/* At most one of this many remaining tokens is a spare one. */
	SPARE_PART = 4,
	/* About as long as a write of lower floors takes. */
	FLOOR_RETRY_MS = 100
};

/* Spare tokens that may be unspent at a time, of a share of the window. */
static const double spare_ratio = 0.02;

/*
 * Returns the life of a token: short against the window, since what lives
 * longer than its window adds to the next one.
 */
uint64_t
allowance_token_us(uint64_t window_us)
{
	return MIN(ALLOWANCE_TOKEN_MS * US_PER_MS,
	    window_us / ALLOWANCE_TOKEN_WINDOW_PART);
}

static void
bucket_free(void *value)
{
	struct bucket *bucket = value;

	g_queue_clear_full(&bucket->draws, mem_free);
	mem_free(bucket);
}

/*
 * Creates an empty table whose buckets start with one token now.
 */
struct allowance_table *
allowance_table_new(unsigned shares, uint64_t window_us, uint64_t now_us)
{
	struct allowance_table *table = mem_calloc(1, sizeof(*table));

	table->buckets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, bucket_free);
	table->floors =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, mem_free);
	table->shares = shares > 0 ? shares : 1;
	table->window_us = window_us;
	table->token_us = allowance_token_us(window_us);
	table->started_us = now_us;
	return table;
}

/*
 * Frees a table; NULL is allowed.
 */
void
allowance_table_free(struct allowance_table *table)
{
	if (table == NULL)
		return;
	g_hash_table_destroy(table->buckets);
	g_hash_table_destroy(table->floors);
	mem_free(table);
}

/*
 * Forgets what was granted, as after a start without a file.  What the file may
 * hold is not valid any more, and withheld until it has been removed.
 */
void
allowance_table_reset(struct allowance_table *table, uint64_t now_us)
{
	allowance_table_keep_floors(table);
	g_hash_table_remove_all(table->buckets);
	table->started_us = now_us;
}

static double
share_rate(const struct allowance_table *table, const struct bucket *bucket)
{
	return bucket->limit.rate_per_s / table->shares;
}

/*
 * Returns the capacity of a bucket in tokens.
 */
double
allowance_bucket_capacity(
    const struct allowance_table *table, const struct bucket *bucket)
{
	return fmax(
	    fmax(bucket->limit.burst, ALLOWANCE_CAPACITY_MIN) / table->shares,
	    1);
}

static double
seconds(uint64_t us)
{
	return (double)us / US_PER_S;
}

/*
 * Cuts the level to the capacity, and to what the live tokens leave of it.
 */
static void
cut_level(const struct allowance_table *table, struct bucket *bucket)
{
	double full = allowance_bucket_capacity(table, bucket);
	double with_live = full +
	    share_rate(table, bucket) * seconds(table->token_us) +
	    ALLOWANCE_EXCESS / table->shares - bucket->live;

	bucket->level = fmax(fmin(bucket->level, fmin(full, with_live)), 0);
}

/*
 * Cuts the level so that for any time until now, the tokens drawn since and the
 * level together do not exceed the capacity, what accrues in that time, and
 * ALLOWANCE_EXCESS.  Only a return can lead beyond that.  After a restart the
 * live tokens are unknown, and the bucket fills while they expire one by one:
 * their ages matter then.
 */
static void
cut_level_by_age(
    const struct allowance_table *table, struct bucket *bucket, uint64_t now_us)
{
	double room = allowance_bucket_capacity(table, bucket) +
	    ALLOWANCE_EXCESS / table->shares;
	unsigned live = 0;

	for (const GList *node = bucket->draws.tail; node != NULL;
	     node = node->prev) {
		const struct recent_draw *draw = node->data;

		live += draw->live;
		bucket->level = fmin(bucket->level,
		    room +
			share_rate(table, bucket) *
			    seconds(now_us - draw->at_us) -
			live);
	}
	bucket->level = fmax(bucket->level, 0);
}

/*
 * Forgets draws whose tokens are no longer live, and adds what has accrued.
 */
void
allowance_bucket_update(
    const struct allowance_table *table, struct bucket *bucket, uint64_t now_us)
{
	struct recent_draw *draw;

	while ((draw = g_queue_peek_head(&bucket->draws)) != NULL &&
	    now_us - draw->at_us >= table->token_us) {
		bucket->live -= draw->live;
		bucket->spare -= draw->spare;
		mem_free(g_queue_pop_head(&bucket->draws));
	}
	bucket->level +=
	    share_rate(table, bucket) * seconds(now_us - bucket->updated_us);
	bucket->updated_us = now_us;
	cut_level(table, bucket);
}

/*
 * Returns the bucket of an account, with what it would hold had it existed
 * since the start; NULL if there are ALLOWANCE_BUCKETS_MAX.
 */
static struct bucket *
find_or_create(struct allowance_table *table, const char *account,
    const struct allowance_limit *limit, uint64_t now_us)
{
	struct bucket *bucket = g_hash_table_lookup(table->buckets, account);

	if (bucket != NULL)
		return bucket;
	if (g_hash_table_size(table->buckets) >= ALLOWANCE_BUCKETS_MAX) {
		if (now_us - table->swept_us >= SWEEP_MS * US_PER_MS)
			allowance_table_sweep(table, now_us);
		if (g_hash_table_size(table->buckets) >= ALLOWANCE_BUCKETS_MAX)
			return NULL;
	}
	bucket = mem_calloc(1, sizeof(*bucket));
	bucket->limit = *limit;
	bucket->level = 1;
	bucket->updated_us = table->started_us;
	allowance_bucket_take_floor(table, account, bucket);
	g_queue_init(&bucket->draws);
	g_hash_table_insert(table->buckets, g_strdup(account), bucket);
	return bucket;
}

/*
 * Returns how many spare tokens a draw gets beside its first one, which is
 * already taken.
 */
static unsigned
spare_tokens(const struct allowance_table *table, const struct bucket *bucket,
    unsigned want)
{
	double allowed = spare_ratio *
		(bucket->limit.rate_per_s * seconds(table->window_us) +
		    bucket->limit.burst) /
		table->shares +
	    1 - bucket->spare;
	double most = fmin(
	    allowed, allowance_bucket_available(table, bucket) / SPARE_PART);

	if (most < 1)
		return 0;
	return most < want - 1 ? (unsigned)most : want - 1;
}

/*
 * Notes for the next write of floors what a draw has left or found.
 */
static void
note_level(struct allowance_table *table, struct bucket *bucket)
{
	if (allowance_floor_on_draw(&bucket->floor, bucket->level,
		allowance_bucket_capacity(table, bucket)))
		table->floors_due = true;
}

/*
 * Returns the time until the next token accrues, in microseconds; less if only
 * the floor withholds it, which is being lowered.
 */
static uint64_t
retry_us(const struct allowance_table *table, const struct bucket *bucket)
{
	double missing = fmax(1 - allowance_bucket_available(table, bucket), 0);
	double wait = missing / share_rate(table, bucket);
	uint64_t us = wait < seconds(3600 * US_PER_S)
	    ? (uint64_t)ceil(wait * US_PER_S) + 1
	    : 3600 * US_PER_S;

	return bucket->level >= 1 ? MIN(us, FLOOR_RETRY_MS * US_PER_MS) : us;
}

/*
 * Draws tokens.  The limit of the newest document counts.
 */
struct allowance_result
allowance_table_draw(struct allowance_table *table, const char *account,
    const struct allowance_limit *limit, uint64_t holder, uint64_t request,
    unsigned want, uint64_t now_us)
{
	struct bucket *bucket = find_or_create(table, account, limit, now_us);
	struct recent_draw *draw;
	unsigned spare;

	if (bucket == NULL)
		return (struct allowance_result){.unavailable = true};
	/* What has accrued until now accrued at the earlier rate. */
	allowance_bucket_update(table, bucket, now_us);
	if (limit->document_index > bucket->limit.document_index) {
		bucket->limit = *limit;
		cut_level(table, bucket);
	}
	bucket->used_us = now_us;
	if (allowance_bucket_available(table, bucket) < 1 || want == 0 ||
	    g_queue_get_length(&bucket->draws) >= DRAWS_MAX) {
		note_level(table, bucket);
		return (struct allowance_result){
		    .retry_us = retry_us(table, bucket),
		};
	}
	bucket->level -= 1;
	spare = spare_tokens(table, bucket, want);
	bucket->level -= spare;
	draw = mem_calloc(1, sizeof(*draw));
	*draw = (struct recent_draw){
	    .holder = holder,
	    .request = request,
	    .at_us = now_us,
	    .live = 1 + spare,
	    .spare = spare,
	};
	g_queue_push_tail(&bucket->draws, draw);
	bucket->live += draw->live;
	bucket->spare += spare;
	note_level(table, bucket);
	return (struct allowance_result){.granted = draw->live};
}

/*
 * Takes back tokens of a draw that is still known.
 */
unsigned
allowance_table_return(struct allowance_table *table, const char *account,
    uint64_t holder, uint64_t request, unsigned count, uint64_t now_us)
{
	struct bucket *bucket = g_hash_table_lookup(table->buckets, account);
	struct recent_draw *draw = NULL;
	unsigned spare;

	if (bucket == NULL)
		return 0;
	allowance_bucket_update(table, bucket, now_us);
	for (GList *node = bucket->draws.tail; node != NULL && draw == NULL;
	     node = node->prev) {
		struct recent_draw *one = node->data;

		if (one->holder == holder && one->request == request)
			draw = one;
	}
	if (draw == NULL)
		return 0;
	count = MIN(count, draw->live);
	spare = MIN(count, draw->spare);
	draw->live -= count;
	draw->spare -= spare;
	bucket->live -= count;
	bucket->spare -= spare;
	bucket->level += count;
	cut_level(table, bucket);
	cut_level_by_age(table, bucket, now_us);
	return count;
}

/*
 * Discards unused buckets that are full: a new one would hold no more.
 */
void
allowance_table_sweep(struct allowance_table *table, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	table->swept_us = now_us;
	g_hash_table_iter_init(&iter, table->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *bucket = value;

		/* What may be on disk of it must not be forgotten. */
		if (bucket->floor.held > 0 ||
		    now_us - bucket->used_us < UNUSED_KEPT_MS * US_PER_MS)
			continue;
		allowance_bucket_update(table, bucket, now_us);
		if (bucket->level >= allowance_bucket_capacity(table, bucket))
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Returns the number of buckets.
 */
unsigned
allowance_table_count(const struct allowance_table *table)
{
	return g_hash_table_size(table->buckets);
}
