/*
 * The document aggregate: sections owned by teams, edited one at a time.
 * It is part of the replicated state: equal commands in equal order give
 * equal documents, so it reads no clock and draws no random number.
 */
#ifndef DOCUMENT_DOCUMENT_H
#define DOCUMENT_DOCUMENT_H

#include "document/policy.h"

struct document;

/*
 * The team of an edit authenticated by control's bootstrap token.  It may
 * write the fleet section while the document is empty, and nothing else.
 */
#define DOCUMENT_BOOTSTRAP_TEAM "bootstrap"

enum {
	DOCUMENT_SECTIONS_MAX = 1000,
	DOCUMENT_MAX_BYTES = 16 << 20, /* all sections' texts */
	DOCUMENT_EDIT_ID_MAX_BYTES = 64,
	DOCUMENT_AUTHOR_MAX_BYTES = 128
};

struct document_edit {
	struct str section;
	struct str edit_id; /* chosen by the editor; a resend keeps it */
	struct str team; /* authenticated by its token */
	struct str author; /* free text for the history */
	struct str text; /* the section as it shall read */
	uint64_t base_revision; /* revision it was made from; 0: new */
	uint64_t accepted_us; /* leader's wall time, in the command */
	bool remove;
};

struct document_edit_result {
	enum status status; /* OK, INVALID, CONFLICT, DENIED, FULL, NOT_FOUND */
	uint64_t revision; /* of the section after the edit, or as it is */
	bool resend; /* the first answer to this edit id, again */
	struct str_buf message; /* for people; on conflict, what changed */
};

struct document_history_entry {
	uint64_t revision;
	uint64_t accepted_us;
	struct str section;
	struct str team;
	struct str author;
	struct str edit_id;
	bool removed;
};

struct document *document_new(void);
void document_free(struct document *document);
/*
 * index is the log index and becomes the section's revision; it must grow.
 * result is overwritten; the caller frees its message.  A resend, known by
 * team and edit id, gets its first answer while the id is kept: the last
 * 16,384 accepted edits and the last 1,024 refused ones.
 */
void document_apply(struct document *document, const struct document_edit *edit,
    uint64_t index, struct document_edit_result *result) ATTR_NONNULL_ALL;
/* The sections in force; a new reference. */
struct policy *
document_policy(const struct document *document) ATTR_NONNULL_ALL;
/* Text of a section at a revision; STATUS_NOT_FOUND when not kept. */
enum status
document_get_section_text(const struct document *document, struct str section,
    uint64_t revision, struct str *text) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Newest first, at most max entries; returns the count. */
uint32_t document_history(const struct document *document, struct str section,
    struct document_history_entry *out, uint32_t max) ATTR_NONNULL_ALL;
/* The whole accepted text: sections in name order. */
void document_render(
    const struct document *document, struct str_buf *out) ATTR_NONNULL_ALL;
/* Token check: does the token belong to the team? */
bool document_team_has_token(const struct document *document, struct str team,
    struct str token) ATTR_NONNULL_ALL;
bool document_find_team_by_token(const struct document *document,
    struct str token, struct str *team) ATTR_NONNULL_ALL;
void document_save(
    const struct document *document, struct str_buf *out) ATTR_NONNULL_ALL;
enum status document_load(struct document *document,
    struct str data) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
