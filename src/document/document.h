/*
 * The policy document: sections owned by teams and edited one at a time.  The
 * document is part of the replicated state, so equal commands in equal order
 * must produce equal documents.  It therefore reads no clock and uses no random
 * numbers.
 */
#ifndef DOCUMENT_DOCUMENT_H
#define DOCUMENT_DOCUMENT_H

#include "document/policy.h"

struct document;

/*
 * Team of an edit authenticated by control's bootstrap token.  It may write the
 * fleet section of an empty document and nothing else.
 */
#define DOCUMENT_BOOTSTRAP_TEAM "bootstrap"

enum {
	DOCUMENT_SECTIONS_MAX = 1000,
	DOCUMENT_MAX_BYTES = 16 << 20, /* total of all section texts */
	DOCUMENT_EDIT_ID_MAX_BYTES = 64,
	DOCUMENT_AUTHOR_MAX_BYTES = 128
};

struct document_edit {
	struct str section;
	struct str edit_id; /* chosen by the client; unchanged in a resend */
	struct str team; /* authenticated by its token */
	struct str author; /* free text, shown in the history */
	struct str text; /* new text of the section */
	uint64_t base_revision; /* revision that was edited; 0: new */
	uint64_t accepted_us; /* leader's wall clock, part of the command */
	bool remove;
};

struct document_edit_result {
	enum status status; /* OK, INVALID, CONFLICT, DENIED, FULL, NOT_FOUND */
	uint64_t revision; /* of the section after the edit, accepted or not */
	bool resend; /* repeats the first answer to this edit id */
	struct str_buf message; /* error text; on a conflict, what changed */
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
 * Applies an edit. index is the log index and becomes the revision of the
 * section; it must increase with every call.  *result is overwritten, and the
 * caller frees its message.  A resend, identified by team and edit id, gets the
 * first answer again while the id is retained: the last 16,384 accepted edits
 * and the last 1,024 refused ones.
 */
void document_apply(struct document *document, const struct document_edit *edit,
    uint64_t index, struct document_edit_result *result) ATTR_NONNULL_ALL;
/* Returns a new reference to a policy of the current sections. */
struct policy *
document_policy(const struct document *document) ATTR_NONNULL_ALL;
/*
 * Gets the text of a section at a revision; STATUS_NOT_FOUND if not retained.
 */
enum status
document_get_section_text(const struct document *document, struct str section,
    uint64_t revision, struct str *text) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Lists accepted edits, newest first, at most max; returns the count. */
uint32_t document_history(const struct document *document, struct str section,
    struct document_history_entry *out, uint32_t max) ATTR_NONNULL_ALL;
/* Appends the texts of all sections, in name order. */
void document_render(
    const struct document *document, struct str_buf *out) ATTR_NONNULL_ALL;
/* Returns whether the token belongs to the team. */
bool document_team_has_token(const struct document *document, struct str team,
    struct str token) ATTR_NONNULL_ALL;
bool document_find_team_by_token(const struct document *document,
    struct str token, struct str *team) ATTR_NONNULL_ALL;
void document_save(
    const struct document *document, struct str_buf *out) ATTR_NONNULL_ALL;
enum status document_load(struct document *document,
    struct str data) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
