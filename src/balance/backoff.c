#include "balance/backoff.h"

#include <pthread.h>

#include <glib.h>

#include "base/memory.h"
#include "base/str_key.h"

struct backoff {
	struct str id; /* bytes follow this struct */
	uint64_t incarnation;
	uint64_t until_us;
};

struct backoff_table {
	pthread_mutex_t lock;
	GHashTable *by_id; /* from struct str to struct backoff */
};

/*
 * Returns an empty table, to be freed with backoff_table_free().
 */
struct backoff_table *
backoff_table_new(void)
{
	struct backoff_table *table = mem_calloc(1, sizeof(*table));

	pthread_mutex_init(&table->lock, NULL);
	table->by_id =
	    g_hash_table_new_full(str_key_hash, str_key_equal, NULL, mem_free);
	return table;
}

/*
 * Frees the table; NULL is allowed.
 */
void
backoff_table_free(struct backoff_table *table)
{
	if (table == NULL)
		return;
	g_hash_table_destroy(table->by_id);
	pthread_mutex_destroy(&table->lock);
	mem_free(table);
}

static gboolean
is_over(void *key ATTR_UNUSED, void *value, void *ctx)
{
	const struct backoff *backoff = value;
	const uint64_t *now_us = ctx;

	return backoff->until_us <= *now_us;
}

/*
 * Adds a target without a backoff; NULL if there are too many that are not
 * over.  Called with the lock held.
 */
static struct backoff *
add_backoff(struct backoff_table *table, struct str id, uint64_t now_us)
{
	struct backoff *backoff;
	char *at;

	if (g_hash_table_size(table->by_id) >= BACKOFF_TARGETS_MAX)
		g_hash_table_foreach_remove(table->by_id, is_over, &now_us);
	if (g_hash_table_size(table->by_id) >= BACKOFF_TARGETS_MAX)
		return NULL;
	backoff = mem_calloc(1, sizeof(*backoff) + id.len);
	at = (char *)(backoff + 1);
	backoff->id = str_pack(&at, id);
	g_hash_table_insert(table->by_id, &backoff->id, backoff);
	return backoff;
}

/*
 * Records that an incarnation of a target asked to back off until a time.  A
 * newer incarnation has not asked yet, and an older one is gone.
 */
enum backoff_change
backoff_table_record(struct backoff_table *table, struct str id,
    uint64_t incarnation, uint64_t until_us, uint64_t now_us)
{
	enum backoff_change change = BACKOFF_UNCHANGED;
	struct backoff *backoff;

	pthread_mutex_lock(&table->lock);
	backoff = g_hash_table_lookup(table->by_id, &id);
	if (backoff == NULL)
		backoff = add_backoff(table, id, now_us);
	if (backoff != NULL && backoff->incarnation < incarnation) {
		backoff->incarnation = incarnation;
		backoff->until_us = 0;
	}
	if (backoff != NULL && backoff->incarnation == incarnation &&
	    until_us > backoff->until_us) {
		change = backoff->until_us <= now_us ? BACKOFF_STARTED
						     : BACKOFF_EXTENDED;
		backoff->until_us = until_us;
	}
	pthread_mutex_unlock(&table->lock);
	return change;
}

/*
 * Returns until when an incarnation of a target is to be left alone; 0 if it
 * never asked for it.
 */
uint64_t
backoff_table_until_us(
    struct backoff_table *table, struct str id, uint64_t incarnation)
{
	const struct backoff *backoff;
	uint64_t until_us = 0;

	pthread_mutex_lock(&table->lock);
	backoff = g_hash_table_lookup(table->by_id, &id);
	if (backoff != NULL && backoff->incarnation == incarnation)
		until_us = backoff->until_us;
	pthread_mutex_unlock(&table->lock);
	return until_us;
}

/*
 * Returns the number of targets that are kept, at most BACKOFF_TARGETS_MAX.
 */
uint32_t
backoff_table_count(struct backoff_table *table)
{
	uint32_t count;

	pthread_mutex_lock(&table->lock);
	count = g_hash_table_size(table->by_id);
	pthread_mutex_unlock(&table->lock);
	return count;
}
