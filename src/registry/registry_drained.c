#include "registry/registry_drained.h"

#include "base/memory.h"
#include "base/str_key.h"

struct drained {
	struct str id; /* bytes follow this struct */
	uint64_t incarnation;
};

struct registry_drained {
	GHashTable *by_id; /* from struct str to its link in queue */
	GQueue queue; /* of struct drained, oldest first */
};

/*
 * Returns an empty table; free it with registry_drained_free().
 */
struct registry_drained *
registry_drained_new(void)
{
	struct registry_drained *drained = mem_calloc(1, sizeof(*drained));

	drained->by_id = g_hash_table_new(str_key_hash, str_key_equal);
	g_queue_init(&drained->queue);
	return drained;
}

/*
 * Frees the table; NULL is allowed.
 */
void
registry_drained_free(struct registry_drained *drained)
{
	if (drained == NULL)
		return;
	registry_drained_clear(drained);
	g_hash_table_destroy(drained->by_id);
	mem_free(drained);
}

/*
 * Removes all records.
 */
void
registry_drained_clear(struct registry_drained *drained)
{
	g_hash_table_remove_all(drained->by_id);
	g_queue_clear_full(&drained->queue, mem_free);
}

/* Removes the record of a link in the queue. */
static void
remove_record(struct registry_drained *drained, GList *link)
{
	struct drained *old = link->data;

	g_hash_table_remove(drained->by_id, &old->id);
	g_queue_delete_link(&drained->queue, link);
	mem_free(old);
}

/*
 * Records that this incarnation of a target is draining.  It replaces the
 * record of the same id; at REGISTRY_DRAINED_MAX records the oldest is
 * removed.  id is copied.
 */
void
registry_drained_add(
    struct registry_drained *drained, struct str id, uint64_t incarnation)
{
	GList *link = g_hash_table_lookup(drained->by_id, &id);
	struct drained *new = mem_alloc(sizeof(*new) + id.len);
	char *at = (char *)(new + 1);

	new->id = str_pack(&at, id);
	new->incarnation = incarnation;
	if (link != NULL)
		remove_record(drained, link);
	else if (drained->queue.length == REGISTRY_DRAINED_MAX)
		remove_record(drained, drained->queue.head);
	g_queue_push_tail(&drained->queue, new);
	g_hash_table_insert(drained->by_id, &new->id, drained->queue.tail);
}

/*
 * Returns whether this incarnation of the target is recorded as draining.
 */
bool
registry_drained_contains(
    const struct registry_drained *drained, struct str id, uint64_t incarnation)
{
	const GList *link = g_hash_table_lookup(drained->by_id, &id);
	const struct drained *found = link != NULL ? link->data : NULL;

	return found != NULL && found->incarnation == incarnation;
}

/*
 * Returns which incarnation of a target is recorded; 0 if there is none.
 */
uint64_t
registry_drained_incarnation(
    const struct registry_drained *drained, struct str id)
{
	const GList *link = g_hash_table_lookup(drained->by_id, &id);
	const struct drained *found = link != NULL ? link->data : NULL;

	return found != NULL ? found->incarnation : 0;
}

/*
 * Returns the number of records, at most REGISTRY_DRAINED_MAX.
 */
uint32_t
registry_drained_count(const struct registry_drained *drained)
{
	return drained->queue.length;
}

/*
 * Visits the records, oldest first; the visitor must not change the table.
 */
void
registry_drained_for_each(const struct registry_drained *drained,
    registry_drained_visitor *visit, void *ctx)
{
	for (const GList *link = drained->queue.head; link != NULL;
	     link = link->next) {
		const struct drained *item = link->data;

		visit(ctx, item->id, item->incarnation);
	}
}
