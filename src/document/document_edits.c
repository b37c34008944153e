#include "document/document_edits.h"

#include <string.h>

#include <glib.h>

#include "base/memory.h"

struct document_edits {
	GHashTable *by_id; /* set; a record is its own key */
	GQueue accepted; /* oldest first */
	GQueue refused;
};

/* Hashes a record by team and edit id. */
static guint
hash_record(gconstpointer key)
{
	const struct document_edit_record *record = key;

	return (guint)(str_hash(record->team) * 31 + str_hash(record->edit_id));
}

/* Returns whether two records have the same team and edit id. */
static gboolean
equal_records(gconstpointer a, gconstpointer b)
{
	const struct document_edit_record *x = a;
	const struct document_edit_record *y = b;

	return str_equal(x->team, y->team) && str_equal(x->edit_id, y->edit_id);
}

/*
 * Returns an empty table, to be freed with document_edits_free().
 */
struct document_edits *
document_edits_new(void)
{
	struct document_edits *edits = mem_calloc(1, sizeof(*edits));

	edits->by_id = g_hash_table_new(hash_record, equal_records);
	g_queue_init(&edits->accepted);
	g_queue_init(&edits->refused);
	return edits;
}

/*
 * Frees the table with all records; NULL is allowed.
 */
void
document_edits_free(struct document_edits *edits)
{
	if (edits == NULL)
		return;
	g_hash_table_destroy(edits->by_id);
	g_queue_clear_full(&edits->accepted, mem_free);
	g_queue_clear_full(&edits->refused, mem_free);
	mem_free(edits);
}

/*
 * Finds the record of a team's edit id; NULL when none is retained.  The result
 * is valid until the next document_edits_add().
 */
const struct document_edit_record *
document_edits_find(
    const struct document_edits *edits, struct str team, struct str edit_id)
{
	struct document_edit_record key = {.team = team, .edit_id = edit_id};

	return g_hash_table_lookup(edits->by_id, &key);
}

/* A record and its strings share one block. */
static struct document_edit_record *
copy_record(const struct document_edit_record *record)
{
	size_t bytes = record->section.len + record->team.len +
	    record->author.len + record->edit_id.len + record->message.len;
	struct document_edit_record *copy = mem_alloc(sizeof(*copy) + bytes);
	char *at = (char *)(copy + 1);

	*copy = *record;
	copy->section = str_pack(&at, record->section);
	copy->team = str_pack(&at, record->team);
	copy->author = str_pack(&at, record->author);
	copy->edit_id = str_pack(&at, record->edit_id);
	copy->message = str_pack(&at, record->message);
	return copy;
}

/*
 * Adds a copy of a record whose team and edit id are not in the table yet.
 * Accepted and refused edits have separate limits, so that refusals evict no
 * accepted edit; beyond the limit the oldest record of its kind is evicted.
 */
void
document_edits_add(
    struct document_edits *edits, const struct document_edit_record *record)
{
	bool accepted = record->status == STATUS_OK;
	GQueue *queue = accepted ? &edits->accepted : &edits->refused;
	guint max =
	    accepted ? DOCUMENT_EDITS_ACCEPTED_MAX : DOCUMENT_EDITS_REFUSED_MAX;
	struct document_edit_record *copy = copy_record(record);

	if (queue->length == max) {
		struct document_edit_record *oldest = g_queue_pop_head(queue);

		g_hash_table_remove(edits->by_id, oldest);
		mem_free(oldest);
	}
	g_queue_push_tail(queue, copy);
	g_hash_table_insert(edits->by_id, copy, copy);
}

/*
 * Fills out with at most max accepted edits, newest first, of one section or,
 * if section is empty, of all; returns the count.  The strings are borrowed
 * from the table.
 */
uint32_t
document_edits_history(const struct document_edits *edits, struct str section,
    struct document_history_entry *out, uint32_t max)
{
	uint32_t count = 0;

	for (const GList *link = edits->accepted.tail;
	     link != NULL && count < max; link = link->prev) {
		const struct document_edit_record *record = link->data;

		if (section.len > 0 && !str_equal(section, record->section))
			continue;
		out[count++] = (struct document_history_entry){
		    .revision = record->revision,
		    .accepted_us = record->accepted_us,
		    .section = record->section,
		    .team = record->team,
		    .author = record->author,
		    .edit_id = record->edit_id,
		    .removed = record->removed,
		};
	}
	return count;
}

/*
 * Returns the number of accepted or of refused edits retained.
 */
uint32_t
document_edits_count(const struct document_edits *edits, bool accepted)
{
	return accepted ? edits->accepted.length : edits->refused.length;
}

/*
 * Calls visit for the accepted or the refused edits, oldest first.
 */
void
document_edits_for_each(const struct document_edits *edits, bool accepted,
    document_edits_visitor *visit, void *ctx)
{
	const GQueue *queue = accepted ? &edits->accepted : &edits->refused;

	for (const GList *link = queue->head; link != NULL; link = link->next)
		visit(ctx, link->data);
}
