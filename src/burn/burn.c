#include "burn/burn.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "base/clock.h"
#include "base/memory.h"
#include "burn/burn_window.h"

enum {
	SHARDS = 16,
	PERMYRIAD = 10000
};

/* Tenant under which events of tenants without room in the table count. */
static const char other_tenant[] = "other";

struct burn_item {
	struct burn_key key; /* strings follow this struct */
	uint64_t hash;
	uint32_t success_permyriad;
	uint64_t window_s;
	uint64_t first_event_us; /* time of the first event */
	struct burn_window short_window;
	struct burn_window long_window;
	struct burn_window window;
};

struct shard {
	pthread_mutex_t lock;
	GHashTable *items; /* set of struct burn_item */
};

struct burn {
	uint32_t keys_max;
	_Atomic uint32_t keys;
	struct shard shards[SHARDS];
};

/*
 * Returns a hash of a key's three strings.  The low bits select the shard, the
 * high bits the place in its table.
 */
static uint64_t
key_hash(const struct burn_key *key)
{
	uint64_t hash = str_hash(key->service);

	hash = hash * 31 + str_hash(key->objective);
	return hash * 31 + str_hash(key->tenant);
}

/*
 * Hash function of a shard's table: the bits that did not select the shard.
 */
static guint
item_hash(gconstpointer pointer)
{
	const struct burn_item *item = pointer;

	return (guint)(item->hash >> 32);
}

/*
 * Comparison function of a shard's table, by key only, so that an item without
 * windows can be used for a lookup.
 */
static gboolean
item_equal(gconstpointer a, gconstpointer b)
{
	const struct burn_key *left = &((const struct burn_item *)a)->key;
	const struct burn_key *right = &((const struct burn_item *)b)->key;

	return str_equal(left->tenant, right->tenant) &&
	    str_equal(left->service, right->service) &&
	    str_equal(left->objective, right->objective);
}

/*
 * Returns a table for at most keys_max keys, and one more for each objective
 * whose tenants exceed it; free it with burn_free().
 */
struct burn *
burn_new(uint32_t keys_max)
{
	struct burn *burn = mem_calloc(1, sizeof(*burn));

	burn->keys_max = keys_max;
	for (unsigned i = 0; i < SHARDS; i++) {
		pthread_mutex_init(&burn->shards[i].lock, NULL);
		burn->shards[i].items = g_hash_table_new_full(
		    item_hash, item_equal, mem_free, NULL);
	}
	return burn;
}

/*
 * Frees the table with all keys; NULL is allowed.  No thread may be using it.
 */
void
burn_free(struct burn *burn)
{
	if (burn == NULL)
		return;
	for (unsigned i = 0; i < SHARDS; i++) {
		g_hash_table_destroy(burn->shards[i].items);
		pthread_mutex_destroy(&burn->shards[i].lock);
	}
	mem_free(burn);
}

/*
 * Returns an item whose first event is at now_us, in one block with copies of
 * the key's strings; free it with mem_free().
 */
static struct burn_item *
item_new(const struct burn_key *key, uint64_t window_s, uint64_t now_us)
{
	size_t bytes = key->service.len + key->objective.len + key->tenant.len;
	struct burn_item *item = mem_calloc(1, sizeof(*item) + bytes);
	char *at = (char *)(item + 1);

	item->key = (struct burn_key){
	    .service = str_pack(&at, key->service),
	    .objective = str_pack(&at, key->objective),
	    .tenant = str_pack(&at, key->tenant),
	};
	item->hash = key_hash(key);
	item->window_s = window_s;
	item->first_event_us = now_us;
	burn_window_init(&item->short_window, BURN_SHORT_S * US_PER_S);
	burn_window_init(&item->long_window, BURN_LONG_S * US_PER_S);
	burn_window_init(&item->window, window_s * US_PER_S);
	return item;
}

/*
 * Returns whether a key is that of the overflow tenant, which is added even
 * beyond keys_max.
 */
static bool
is_overflow_key(const struct burn_key *key)
{
	return str_equal_c(key->tenant, other_tenant);
}

/*
 * Counts an event under its key; returns false if there is no room for the
 * key.
 */
static bool
record_event(struct burn *burn, const struct burn_key *key,
    uint32_t success_permyriad, uint64_t window_s, bool good, uint64_t now_us)
{
	struct burn_item lookup_item = {.key = *key, .hash = key_hash(key)};
	struct shard *shard = &burn->shards[lookup_item.hash % SHARDS];
	struct burn_item *item;
	bool found = true;

	pthread_mutex_lock(&shard->lock);
	item = g_hash_table_lookup(shard->items, &lookup_item);
	if (item == NULL) {
		found = is_overflow_key(key) ||
		    atomic_load(&burn->keys) < burn->keys_max;
		if (found) {
			item = item_new(key, window_s, now_us);
			g_hash_table_add(shard->items, item);
			atomic_fetch_add(&burn->keys, 1);
		}
	}
	if (found) {
		if (item->window_s != window_s) {
			item->window_s = window_s;
			burn_window_init(&item->window, window_s * US_PER_S);
		}
		item->success_permyriad = success_permyriad;
		burn_window_add(&item->short_window, good, !good, now_us);
		burn_window_add(&item->long_window, good, !good, now_us);
		burn_window_add(&item->window, good, !good, now_us);
	}
	pthread_mutex_unlock(&shard->lock);
	return found;
}

/*
 * Counts one event of an objective for a tenant.
 */
void
burn_record(struct burn *burn, const struct burn_key *key,
    uint32_t success_permyriad, uint64_t window_s, bool good, uint64_t now_us)
{
	struct burn_key other = {
	    .service = key->service,
	    .objective = key->objective,
	    .tenant = str_from(other_tenant),
	};

	if (!record_event(burn, key, success_permyriad, window_s, good, now_us))
		(void)record_event(
		    burn, &other, success_permyriad, window_s, good, now_us);
}

/*
 * Returns the sums of an item's windows as of now_us.  The key's strings
 * belong to the item.
 */
static struct burn_stats
item_stats(const struct burn_item *item, uint64_t now_us)
{
	struct burn_bucket sum_short =
	    burn_window_sum(&item->short_window, now_us);
	struct burn_bucket sum_long =
	    burn_window_sum(&item->long_window, now_us);
	struct burn_bucket sum = burn_window_sum(&item->window, now_us);

	return (struct burn_stats){
	    .key = item->key,
	    .success_permyriad = item->success_permyriad,
	    .window_s = item->window_s,
	    .observed_s = now_us > item->first_event_us
		? (now_us - item->first_event_us) / US_PER_S
		: 0,
	    .short_good = sum_short.good,
	    .short_bad = sum_short.bad,
	    .long_good = sum_long.good,
	    .long_bad = sum_long.bad,
	    .window_good = sum.good,
	    .window_bad = sum.bad,
	};
}

/*
 * Returns whether all windows are empty, so that the key can be removed.
 */
static bool
is_empty(const struct burn_stats *stats)
{
	return stats->window_good + stats->window_bad + stats->long_good +
	    stats->long_bad + stats->short_good + stats->short_bad ==
	    0;
}

/*
 * Orders pointers to items by service, objective and tenant, for
 * burn_for_each().
 */
static int
compare_items(const void *a, const void *b)
{
	const struct burn_key *left = &(*(struct burn_item *const *)a)->key;
	const struct burn_key *right = &(*(struct burn_item *const *)b)->key;
	int order = str_compare(left->service, right->service);

	if (order == 0)
		order = str_compare(left->objective, right->objective);
	if (order == 0)
		order = str_compare(left->tenant, right->tenant);
	return order;
}

/*
 * Returns a copy that can be read without the shard's lock; free it with
 * mem_free().
 */
static struct burn_item *
item_copy(const struct burn_item *from)
{
	struct burn_item *item =
	    item_new(&from->key, from->window_s, from->first_event_us);

	item->success_permyriad = from->success_permyriad;
	item->short_window = from->short_window;
	item->long_window = from->long_window;
	item->window = from->window;
	return item;
}

/*
 * Appends copies of a shard's items to items, and removes items without
 * events.
 */
static void
copy_shard(
    struct burn *burn, struct shard *shard, uint64_t now_us, GPtrArray *items)
{
	GHashTableIter iter;
	gpointer pointer;

	pthread_mutex_lock(&shard->lock);
	g_hash_table_iter_init(&iter, shard->items);
	while (g_hash_table_iter_next(&iter, &pointer, NULL)) {
		struct burn_stats stats = item_stats(pointer, now_us);

		if (is_empty(&stats)) {
			g_hash_table_iter_remove(&iter);
			atomic_fetch_sub(&burn->keys, 1);
			continue;
		}
		g_ptr_array_add(items, item_copy(pointer));
	}
	pthread_mutex_unlock(&shard->lock);
}

/*
 * Visits the figures of all keys with events, ordered by service, objective
 * and tenant.  Keys without events are removed.
 */
void
burn_for_each(
    struct burn *burn, uint64_t now_us, burn_visitor *visit, void *ctx)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(mem_free);

	for (unsigned i = 0; i < SHARDS; i++)
		copy_shard(burn, &burn->shards[i], now_us, items);
	g_ptr_array_sort(items, compare_items);
	for (guint i = 0; i < items->len; i++) {
		struct burn_stats stats =
		    item_stats(g_ptr_array_index(items, i), now_us);

		visit(ctx, &stats);
	}
	g_ptr_array_free(items, TRUE);
}

/*
 * Returns the ratio of bad events that an objective allows.
 */
static double
allowed_bad_ratio(uint32_t success_permyriad)
{
	if (success_permyriad >= PERMYRIAD)
		return 0.0;
	return (double)(PERMYRIAD - success_permyriad) / PERMYRIAD;
}

/*
 * Returns the burn rate: 1.0 uses up the budget exactly within its window.  An
 * objective that allows no bad event burns at BURN_RATE_MAX from the first
 * one.  (Multiwindow burn rates: Google, "The Site Reliability Workbook",
 * 2018, chapter 5.)
 */
double
burn_rate(uint64_t good, uint64_t bad, uint32_t success_permyriad)
{
	double allowed = allowed_bad_ratio(success_permyriad);
	double rate;

	if (bad == 0)
		return 0.0;
	if (allowed <= 0.0)
		return BURN_RATE_MAX;
	rate = (double)bad / (double)(good + bad) / allowed;
	return rate < BURN_RATE_MAX ? rate : BURN_RATE_MAX;
}

/*
 * Returns the remaining share of the budget: 1.0 without bad events, below 0
 * if it is overspent.
 */
double
burn_budget_left(const struct burn_stats *stats)
{
	return 1.0 -
	    burn_rate(stats->window_good, stats->window_bad,
		stats->success_permyriad);
}
