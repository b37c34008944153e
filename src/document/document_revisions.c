#include "document/document_revisions.h"

#include <string.h>

#include <glib.h>

#include "base/memory.h"

struct stored_revision {
	struct str section;
	struct str text;
	uint64_t revision;
};

struct document_revisions {
	GQueue queue; /* oldest first */
	uint64_t bytes; /* total size of the texts */
};

/*
 * Returns an empty store, to be freed with document_revisions_free().
 */
struct document_revisions *
document_revisions_new(void)
{
	struct document_revisions *texts = mem_calloc(1, sizeof(*texts));

	g_queue_init(&texts->queue);
	return texts;
}

/*
 * Frees the store with all texts; NULL is allowed.
 */
void
document_revisions_free(struct document_revisions *texts)
{
	if (texts == NULL)
		return;
	g_queue_clear_full(&texts->queue, mem_free);
	mem_free(texts);
}

/*
 * Stores a copy of a section's text.  The oldest texts of all sections are
 * evicted while the total exceeds DOCUMENT_REVISIONS_MAX_BYTES.
 */
void
document_revisions_add(struct document_revisions *texts, struct str section,
    uint64_t revision, struct str text)
{
	struct stored_revision *kept =
	    mem_alloc(sizeof(*kept) + section.len + text.len);
	char *data = (char *)(kept + 1);

	memcpy(data, section.data, section.len);
	memcpy(data + section.len, text.data, text.len);
	*kept = (struct stored_revision){
	    .section = str_of(data, section.len),
	    .text = str_of(data + section.len, text.len),
	    .revision = revision,
	};
	g_queue_push_tail(&texts->queue, kept);
	texts->bytes += text.len;
	while (texts->bytes > DOCUMENT_REVISIONS_MAX_BYTES) {
		struct stored_revision *oldest =
		    g_queue_pop_head(&texts->queue);

		texts->bytes -= oldest->text.len;
		mem_free(oldest);
	}
}

/*
 * Gets the section's text at exactly this revision; false when it is not
 * retained.  The text is valid until the next document_revisions_add().
 */
bool
document_revisions_find(const struct document_revisions *texts,
    struct str section, uint64_t revision, struct str *text)
{
	for (const GList *link = texts->queue.tail; link != NULL;
	     link = link->prev) {
		const struct stored_revision *kept = link->data;

		if (kept->revision != revision ||
		    !str_equal(kept->section, section))
			continue;
		*text = kept->text;
		return true;
	}
	return false;
}

/*
 * Returns the number of texts retained.
 */
uint32_t
document_revisions_count(const struct document_revisions *texts)
{
	return texts->queue.length;
}

/*
 * Calls visit for all texts, oldest first.
 */
void
document_revisions_for_each(const struct document_revisions *texts,
    document_revisions_visitor *visit, void *ctx)
{
	for (const GList *link = texts->queue.head; link != NULL;
	     link = link->next) {
		const struct stored_revision *kept = link->data;

		visit(ctx, kept->section, kept->revision, kept->text);
	}
}
