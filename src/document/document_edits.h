/*
 * Recent edits by team and edit id: the history of accepted edits, and the
 * first answer to each edit, which resends get again.  Bounded by count; the
 * oldest record is evicted first.
 */
#ifndef DOCUMENT_DOCUMENT_EDITS_H
#define DOCUMENT_DOCUMENT_EDITS_H

#include "document/document.h"

enum {
	DOCUMENT_EDITS_ACCEPTED_MAX = 16384,
	DOCUMENT_EDITS_REFUSED_MAX = 1024,
	DOCUMENT_EDIT_DIGEST_BYTES = 16
};

struct document_edit_record {
	struct str section;
	struct str team;
	struct str author;
	struct str edit_id;
	struct str message; /* error text of a refused edit */
	uint64_t revision; /* revision in the answer */
	uint64_t accepted_us;
	enum status status;
	bool removed;
	uint8_t digest
	    [DOCUMENT_EDIT_DIGEST_BYTES]; /* of the section, text and kind of edit */
};

struct document_edits;
typedef void
document_edits_visitor(void *ctx, const struct document_edit_record *record);

struct document_edits *document_edits_new(void);
void document_edits_free(struct document_edits *edits);
const struct document_edit_record *
document_edits_find(const struct document_edits *edits, struct str team,
    struct str edit_id) ATTR_NONNULL(1);
/* Adds a copy of record; team and edit id must not be present yet. */
void document_edits_add(struct document_edits *edits,
    const struct document_edit_record *record) ATTR_NONNULL_ALL;
/*
 * Lists accepted edits, newest first; an empty section name means all sections.
 */
uint32_t
document_edits_history(const struct document_edits *edits, struct str section,
    struct document_history_entry *out, uint32_t max) ATTR_NONNULL(1, 3);
uint32_t document_edits_count(
    const struct document_edits *edits, bool accepted) ATTR_NONNULL_ALL;
/* Iterates over the accepted or the refused edits, oldest first. */
void document_edits_for_each(const struct document_edits *edits, bool accepted,
    document_edits_visitor *visit, void *ctx) ATTR_NONNULL(1, 3);

#endif
