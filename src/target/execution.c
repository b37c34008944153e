#include "target/execution.h"

#include <pthread.h>

#include "base/memory.h"

enum {
	BUCKET_COUNT = 16384
};

struct execution {
	struct execution *next;
	char *key;
	uint64_t count;
};

struct execution_table {
	pthread_mutex_t lock;
	struct execution *buckets[BUCKET_COUNT];
	uint64_t keys;
	uint64_t executions;
	uint64_t duplicated_keys;
};

/*
 * Creates an empty table; execution_table_free() frees it.
 */
struct execution_table *
execution_table_new(void)
{
	struct execution_table *table = mem_calloc(1, sizeof(*table));

	pthread_mutex_init(&table->lock, NULL);
	return table;
}

/*
 * Frees a table; NULL is allowed.
 */
void
execution_table_free(struct execution_table *table)
{
	if (table == NULL)
		return;
	for (unsigned i = 0; i < BUCKET_COUNT; i++) {
		while (table->buckets[i] != NULL) {
			struct execution *e = table->buckets[i];

			table->buckets[i] = e->next;
			mem_free(e->key);
			mem_free(e);
		}
	}
	pthread_mutex_destroy(&table->lock);
	mem_free(table);
}

/*
 * Returns the entry of a key, or NULL.  Called with the lock held.
 */
static struct execution *
find_execution(struct execution_table *table, struct str key)
{
	struct execution *e = table->buckets[str_hash(key) % BUCKET_COUNT];

	while (e != NULL && !str_equal_c(key, e->key))
		e = e->next;
	return e;
}

/*
 * Adds a key that is not in the table, with a count of 0.  Called with the
 * lock held.
 */
static struct execution *
add_execution(struct execution_table *table, struct str key)
{
	struct execution **bucket =
	    &table->buckets[str_hash(key) % BUCKET_COUNT];
	struct execution *e = mem_calloc(1, sizeof(*e));

	e->key = str_dup(key);
	e->next = *bucket;
	*bucket = e;
	table->keys++;
	return e;
}

/*
 * Counts one execution of a key, which is copied on first use.  Returns the
 * number of executions of the key so far, including this one.
 */
uint64_t
execution_table_record(struct execution_table *table, struct str key)
{
	struct execution *e;
	uint64_t count;

	pthread_mutex_lock(&table->lock);
	e = find_execution(table, key);
	if (e == NULL)
		e = add_execution(table, key);
	count = ++e->count;
	table->executions++;
	if (count == 2)
		table->duplicated_keys++;
	pthread_mutex_unlock(&table->lock);
	return count;
}

/*
 * Appends the count of a key as JSON, or the totals when key is empty.
 */
void
execution_table_write_json(
    struct execution_table *table, struct str key, struct str_buf *out)
{
	const struct execution *e;

	pthread_mutex_lock(&table->lock);
	if (key.len > 0) {
		e = find_execution(table, key);
		str_buf_printf(out, "{\"executions\":%llu}\n",
		    (unsigned long long)(e != NULL ? e->count : 0));
	} else {
		str_buf_printf(out,
		    "{\"keys\":%llu,\"executions\":%llu,\"doubled\":%llu}\n",
		    (unsigned long long)table->keys,
		    (unsigned long long)table->executions,
		    (unsigned long long)table->duplicated_keys);
	}
	pthread_mutex_unlock(&table->lock);
}
