/*
 * Internal state of a document; private to src/document.
 */
#ifndef DOCUMENT_DOCUMENT_STATE_H
#define DOCUMENT_DOCUMENT_STATE_H

#include "document/document.h"
#include "document/document_edits.h"
#include "document/document_revisions.h"

struct document {
	struct policy_section **sections; /* in name order */
	uint32_t count;
	uint32_t capacity;
	uint64_t text_bytes; /* total of the current sections */
	uint64_t revision; /* highest revision assigned so far */
	struct document_edits *edits;
	struct document_revisions *old_revisions;
};

/* Returns the index of the first section whose name is not less than name. */
uint32_t document_state_lower_bound(
    const struct document *document, struct str name) ATTR_NONNULL_ALL;
/* Finds a section by name; NULL when there is none. */
struct policy_section *document_state_find(
    const struct document *document, struct str name) ATTR_NONNULL_ALL;
/* Removes a section, which must exist. */
void document_state_remove(
    struct document *document, struct str name) ATTR_NONNULL_ALL;
/* Inserts or replaces a section; takes ownership of the reference. */
void document_state_upsert(
    struct document *document, struct policy_section *section) ATTR_NONNULL_ALL;
void document_state_clear(struct document *document) ATTR_NONNULL_ALL;

#endif
