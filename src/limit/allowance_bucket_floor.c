/*
 * The floors of a voter's buckets: what a new bucket starts with, and what the
 * next write of the file holds.
 */
#include <math.h>

#include "base/clock.h"
#include "base/memory.h"
#include "limit/allowance_bucket_defs.h"

enum {
	/* Between scans for floors to be raised; 65,536 buckets take 3 ms. */
	SCAN_MS = 1000
};

/* A floor that the next write may hold. */
struct candidate {
	const char *account;
	struct allowance_floor *floor;
	double wanted;
	double capacity;
};

/*
 * Returns the tokens that a bucket may grant: those above its floor.
 */
double
allowance_bucket_available(
    const struct allowance_table *table, const struct bucket *bucket)
{
	double capacity = allowance_bucket_capacity(table, bucket);
	double held = table->floors_unknown ? capacity : bucket->floor.held;

	return bucket->level - allowance_floor_limit(held, capacity);
}

/*
 * Gives a new bucket the floor that may be on disk for its account.  Its level
 * starts there, but not below one token, if the file is valid.
 */
void
allowance_bucket_take_floor(
    struct allowance_table *table, const char *account, struct bucket *bucket)
{
	const struct allowance_floor *floor =
	    g_hash_table_lookup(table->floors, account);

	if (floor == NULL)
		return;
	bucket->floor = *floor;
	if (table->floors_valid)
		bucket->level = fmax(bucket->level,
		    allowance_floor_limit(
			floor->held, allowance_bucket_capacity(table, bucket)));
	g_hash_table_remove(table->floors, account);
}

static void
keep(struct allowance_table *table, const char *account,
    const struct allowance_floor *floor)
{
	struct allowance_floor *copy = mem_calloc(1, sizeof(*copy));

	*copy = *floor;
	g_hash_table_insert(table->floors, g_strdup(account), copy);
}

/*
 * Takes over the lines of a file.  They are not valid yet.
 */
void
allowance_table_load_floors(
    struct allowance_table *table, const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct allowance_floor_line *line =
		    g_ptr_array_index(lines, i);
		const struct allowance_floor floor = {.held = line->level};

		keep(table, line->account, &floor);
	}
	table->floors_stale = lines->len > 0;
	table->floors_due = true;
}

/*
 * Notes that there is a file that could not be read.
 */
void
allowance_table_miss_floors(struct allowance_table *table)
{
	table->floors_unknown = true;
	table->floors_stale = true;
	table->floors_due = true;
}

/*
 * The share is the one that was held when the file was written.
 */
void
allowance_table_use_floors(struct allowance_table *table)
{
	table->floors_valid = true;
	table->floors_stale = false;
}

/*
 * Returns whether the file may hold floors that count for no bucket: nothing
 * may say that the share was kept since they were written.
 */
bool
allowance_table_has_stale_floors(const struct allowance_table *table)
{
	return table->floors_stale;
}

/*
 * Keeps what may be on disk of the buckets, which no level stands behind any
 * more.
 */
void
allowance_table_keep_floors(struct allowance_table *table)
{
	GHashTableIter iter;
	gpointer account;
	gpointer value;

	g_hash_table_iter_init(&iter, table->buckets);
	while (g_hash_table_iter_next(&iter, &account, &value)) {
		const struct bucket *bucket = value;

		if (bucket->floor.held > 0)
			keep(table, account, &bucket->floor);
	}
	table->floors_valid = false;
	table->floors_stale =
	    table->floors_unknown || g_hash_table_size(table->floors) > 0;
	table->stale_end = false;
	table->floors_due = true;
}

static gint
by_capacity(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	return (left->capacity < right->capacity) -
	    (left->capacity > right->capacity);
}

/*
 * Lists the floors that are on disk or should be.
 */
static GArray *
list_candidates(struct allowance_table *table, bool may_raise, uint64_t now_us)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	bool expired = !table->floors_valid ||
	    now_us - table->started_us >= ALLOWANCE_FLOOR_KEPT_MS * US_PER_MS;
	GHashTableIter iter;
	gpointer account;
	gpointer value;

	g_hash_table_iter_init(&iter, table->buckets);
	while (g_hash_table_iter_next(&iter, &account, &value)) {
		struct bucket *bucket = value;
		struct candidate one = {
		    .account = account,
		    .floor = &bucket->floor,
		    .capacity = allowance_bucket_capacity(table, bucket),
		};

		allowance_bucket_update(table, bucket, now_us);
		one.wanted = allowance_floor_wanted(
		    &bucket->floor, bucket->level, one.capacity, may_raise);
		if (one.wanted > 0 || bucket->floor.held > 0)
			g_array_append_val(list, one);
	}
	g_hash_table_iter_init(&iter, table->floors);
	while (g_hash_table_iter_next(&iter, &account, &value)) {
		struct allowance_floor *floor = value;
		/* The capacity is unknown; a floor is half of it. */
		struct candidate one = {
		    .account = account,
		    .floor = floor,
		    .wanted = expired ? 0 : floor->held,
		    .capacity = 2 * floor->held,
		};

		g_array_append_val(list, one);
	}
	g_array_sort(list, by_capacity);
	return list;
}

/*
 * Decides on a write.  Floors are lowered as soon as one should be, and raised
 * once in SCAN_MS.  If there are more than ALLOWANCE_FLOORS_MAX, those with the
 * largest capacity are written.
 */
GPtrArray *
allowance_table_begin_write(struct allowance_table *table, uint64_t now_us)
{
	bool may_raise = now_us >= table->next_scan_us;
	GPtrArray *lines;
	GArray *list;
	bool changed = table->floors_unknown;

	if (!may_raise && !table->floors_due)
		return NULL;
	if (may_raise)
		table->next_scan_us = now_us + SCAN_MS * US_PER_MS;
	table->floors_due = false;
	list = list_candidates(table, may_raise, now_us);
	lines = allowance_floor_lines_new();
	for (guint i = 0; i < list->len; i++) {
		struct candidate *one =
		    &g_array_index(list, struct candidate, i);

		if (lines->len >= ALLOWANCE_FLOORS_MAX)
			one->wanted = 0;
		changed = changed || one->wanted != one->floor->held;
		if (one->wanted > 0)
			allowance_floor_lines_add(
			    lines, one->account, one->wanted);
	}
	for (guint i = 0; i < list->len && changed; i++) {
		const struct candidate *one =
		    &g_array_index(list, struct candidate, i);

		allowance_floor_begin(one->floor, one->wanted);
	}
	g_array_free(list, TRUE);
	table->stale_end = true;
	table->unknown_end = table->floors_unknown;
	if (changed)
		return lines;
	table->floors_stale = false;
	g_ptr_array_unref(lines);
	return NULL;
}

/*
 * Follows the end of a write.  One that failed is due again.
 */
void
allowance_table_end_write(
    struct allowance_table *table, enum allowance_write outcome)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *bucket = value;

		allowance_floor_end(&bucket->floor, outcome);
	}
	g_hash_table_iter_init(&iter, table->floors);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct allowance_floor *floor = value;

		allowance_floor_end(floor, outcome);
		if (floor->held <= 0)
			g_hash_table_iter_remove(&iter);
	}
	if (outcome == ALLOWANCE_WRITE_UNKNOWN) {
		table->floors_due = true;
		return;
	}
	if (table->unknown_end)
		table->floors_unknown = false;
	if (table->stale_end)
		table->floors_stale = false;
}
