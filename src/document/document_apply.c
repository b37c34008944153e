/*
 * Applies an edit: checks for a resend, the owner and a conflicting edit, then
 * parses and stores the new text.
 */
#include <string.h>

#include <sodium.h>

#include "base/invariant.h"
#include "document/document_check.h"
#include "document/document_diff.h"
#include "document/document_state.h"
#include "document/policy_parse.h"

enum {
	CONFLICT_DIFF_MAX_BYTES = 1500,
	TEAM_MAX_BYTES = 63
};

/* Returns a view of the current sections, for the checks. */
static struct document_sections
current_sections(const struct document *document)
{
	return (struct document_sections){
	    .list = document->sections,
	    .count = document->count,
	};
}

/*
 * Computes a digest of an edit's content, which detects a reused edit id.  The
 * base revision is left out, since a client that resends an edit may meanwhile
 * have seen the revision that the edit produced.
 */
static void
digest_edit(const struct document_edit *edit,
    uint8_t digest[DOCUMENT_EDIT_DIGEST_BYTES])
{
	uint8_t full_digest[crypto_hash_sha256_BYTES];
	struct str_buf content = {0};

	str_buf_printf(&content, "%.*s %d %zu ", STR_ARG(edit->section),
	    edit->remove, edit->text.len);
	str_buf_append(&content, edit->text);
	crypto_hash_sha256(
	    full_digest, (const unsigned char *)content.data, content.len);
	memcpy(digest, full_digest, DOCUMENT_EDIT_DIGEST_BYTES);
	str_buf_free(&content);
}

/* Validates the fields of an edit that do not depend on the document. */
static enum status
check_edit_fields(const struct document_edit *edit)
{
	if (edit->edit_id.len == 0 ||
	    edit->edit_id.len > DOCUMENT_EDIT_ID_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "edit id: found %zu bytes; allowed: 1 to %d",
		    edit->edit_id.len, DOCUMENT_EDIT_ID_MAX_BYTES);
	if (edit->author.len > DOCUMENT_AUTHOR_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "author: found %zu bytes; allowed: at most %d",
		    edit->author.len, DOCUMENT_AUTHOR_MAX_BYTES);
	if (edit->team.len == 0 || edit->team.len > TEAM_MAX_BYTES)
		return status_set(STATUS_DENIED, "no team is known");
	return STATUS_OK;
}

/* Checks that the team may write this section. */
static enum status
check_team(const struct document *document, const struct document_edit *edit,
    const struct policy_section *old)
{
	if (str_equal_c(edit->team, DOCUMENT_BOOTSTRAP_TEAM)) {
		if (document->count == 0)
			return STATUS_OK;
		return status_set(STATUS_DENIED,
		    "the bootstrap token works on an empty document only");
	}
	if (document_check_find_team(current_sections(document), edit->team) ==
	    NULL)
		return status_set(STATUS_DENIED,
		    "team %.*s is not listed in the fleet section",
		    STR_ARG(edit->team));
	if (old != NULL && !str_equal(old->team, edit->team))
		return status_set(STATUS_DENIED,
		    "section %.*s belongs to team %.*s, not to team %.*s",
		    STR_ARG(old->name), STR_ARG(old->team),
		    STR_ARG(edit->team));
	return STATUS_OK;
}

/*
 * Appends an error text: the section's revision, who changed it last and, if
 * the edit's base is still retained, a diff of at most CONFLICT_DIFF_MAX_BYTES
 * from the base to the current text.
 */
static void
describe_conflict(const struct document *document,
    const struct document_edit *edit, const struct policy_section *old,
    struct str_buf *out)
{
	struct document_history_entry last;
	struct str base;

	if (old == NULL)
		str_buf_printf(
		    out, "section %.*s does not exist", STR_ARG(edit->section));
	else
		str_buf_printf(out, "section %.*s is at revision %llu",
		    STR_ARG(edit->section), (unsigned long long)old->revision);
	str_buf_printf(out, ", this edit was made from %llu",
	    (unsigned long long)edit->base_revision);
	if (document_edits_history(document->edits, edit->section, &last, 1) >
	    0)
		str_buf_printf(out,
		    "; last %s by %.*s of team %.*s at "
		    "revision %llu",
		    last.removed ? "removed" : "changed", STR_ARG(last.author),
		    STR_ARG(last.team), (unsigned long long)last.revision);
	if (old == NULL ||
	    document_get_section_text(document, edit->section,
		edit->base_revision, &base) != STATUS_OK)
		return;
	if (str_equal(base, old->text)) {
		str_buf_append_c(out, "; its text is the same as then");
		return;
	}
	str_buf_append_c(out, "; changed meanwhile:\n");
	document_diff(base, old->text, 0, CONFLICT_DIFF_MAX_BYTES, out);
}

/*
 * Checks that the new text names the edited section and the editor's own team;
 * the bootstrap token may write a fleet section only.
 */
static enum status
check_names(const struct document_edit *edit, const struct policy_section *next)
{
	if (!str_equal(next->name, edit->section))
		return status_set(STATUS_INVALID,
		    "section: found \"%.*s\"; allowed: %.*s, the section that "
		    "is edited",
		    STR_ARG(next->name), STR_ARG(edit->section));
	if (str_equal_c(edit->team, DOCUMENT_BOOTSTRAP_TEAM)) {
		if (next->kind == POLICY_FLEET)
			return STATUS_OK;
		return status_set(STATUS_DENIED,
		    "the first section of a document is its fleet section");
	}
	if (!str_equal(next->team, edit->team))
		return status_set(STATUS_DENIED,
		    "team %.*s can't write a section for team %.*s",
		    STR_ARG(edit->team), STR_ARG(next->team));
	return STATUS_OK;
}

/*
 * Returns STATUS_FULL if the edit would exceed DOCUMENT_SECTIONS_MAX sections
 * or DOCUMENT_MAX_BYTES of text.
 */
static enum status
check_bounds(const struct document *document, const struct document_edit *edit,
    const struct policy_section *old)
{
	uint64_t freed = old != NULL ? old->text.len : 0;

	if (old == NULL && document->count == DOCUMENT_SECTIONS_MAX)
		return status_set(STATUS_FULL,
		    "the document holds %d sections already",
		    DOCUMENT_SECTIONS_MAX);
	if (document->text_bytes - freed + edit->text.len > DOCUMENT_MAX_BYTES)
		return status_set(STATUS_FULL,
		    "the document would be larger than %d bytes",
		    DOCUMENT_MAX_BYTES);
	return STATUS_OK;
}

/* Stores the text that an edit is about to replace; old may be NULL. */
static void
store_replaced_text(struct document *document, const struct policy_section *old)
{
	if (old != NULL)
		document_revisions_add(document->old_revisions, old->name,
		    old->revision, old->text);
}

/*
 * Removes old; STATUS_NOT_FOUND if it is NULL, STATUS_INVALID for a fleet
 * section while other sections exist, since their teams are defined there.
 */
static enum status
apply_removal(struct document *document, const struct policy_section *old)
{
	if (old == NULL)
		return status_set(
		    STATUS_NOT_FOUND, "the section does not exist");
	if (old->kind == POLICY_FLEET && document->count > 1)
		return status_set(STATUS_INVALID,
		    "section %.*s: the fleet section can be removed last only",
		    STR_ARG(old->name));
	store_replaced_text(document, old);
	document_state_remove(document, old->name);
	return STATUS_OK;
}

/*
 * Parses the edit's text, checks it against the other sections and stores it
 * with index as its revision.  The document is unchanged on an error.
 */
static enum status
apply_text(struct document *document, const struct document_edit *edit,
    uint64_t index, const struct policy_section *old)
{
	struct policy_section *next;
	enum status status = check_bounds(document, edit, old);

	if (status != STATUS_OK)
		return status;
	status = policy_section_parse(edit->text, index, &next);
	if (status != STATUS_OK)
		return status;
	status = check_names(edit, next);
	if (status == STATUS_OK)
		status =
		    document_check_section(current_sections(document), next);
	if (status != STATUS_OK) {
		policy_section_put(next);
		return status;
	}
	store_replaced_text(document, old);
	document_state_upsert(document, next);
	return STATUS_OK;
}

/* Applies an edit that is not a resend. */
static enum status
apply_new(struct document *document, const struct document_edit *edit,
    uint64_t index, struct document_edit_result *result)
{
	const struct policy_section *old =
	    document_state_find(document, edit->section);
	enum status status = check_team(document, edit, old);

	result->revision = old != NULL ? old->revision : 0;
	if (status == STATUS_OK && result->revision != edit->base_revision) {
		describe_conflict(document, edit, old, &result->message);
		return STATUS_CONFLICT;
	}
	if (status == STATUS_OK)
		status = edit->remove ? apply_removal(document, old)
				      : apply_text(document, edit, index, old);
	if (status != STATUS_OK) {
		str_buf_append_c(&result->message, status_message());
		return status;
	}
	document->revision = index;
	result->revision = index;
	return STATUS_OK;
}

/*
 * Repeats the first answer; STATUS_INVALID if the edit id was used for an edit
 * with other content.
 */
static void
replay_answer(const struct document_edit_record *first,
    const uint8_t digest[DOCUMENT_EDIT_DIGEST_BYTES],
    struct document_edit_result *result)
{
	if (memcmp(first->digest, digest, DOCUMENT_EDIT_DIGEST_BYTES) != 0) {
		result->status = STATUS_INVALID;
		str_buf_printf(&result->message,
		    "edit id %.*s was used for another edit",
		    STR_ARG(first->edit_id));
		return;
	}
	result->status = first->status;
	result->revision = first->revision;
	result->resend = true;
	if (first->message.len > 0)
		str_buf_append(&result->message, first->message);
}

/* Records the answer for resends and, if accepted, for the history. */
static void
record_answer(struct document *document, const struct document_edit *edit,
    const uint8_t digest[DOCUMENT_EDIT_DIGEST_BYTES],
    const struct document_edit_result *result)
{
	struct document_edit_record record = {
	    .section = edit->section,
	    .team = edit->team,
	    .author = edit->author,
	    .edit_id = edit->edit_id,
	    .message = str_buf_view(&result->message),
	    .revision = result->revision,
	    .accepted_us = edit->accepted_us,
	    .status = result->status,
	    .removed = edit->remove,
	};

	memcpy(record.digest, digest, sizeof(record.digest));
	document_edits_add(document->edits, &record);
}

/*
 * Applies one edit of the log; see document.h.  A refused edit changes only the
 * table of answers.  Denied edits are not recorded, so that another team cannot
 * evict answers.
 */
void
document_apply(struct document *document, const struct document_edit *edit,
    uint64_t index, struct document_edit_result *result)
{
	uint8_t digest[DOCUMENT_EDIT_DIGEST_BYTES];
	const struct document_edit_record *first;

	INVARIANT(index > document->revision,
	    "the log index must exceed the last revision");
	*result = (struct document_edit_result){0};
	result->status = check_edit_fields(edit);
	if (result->status != STATUS_OK) {
		str_buf_append_c(&result->message, status_message());
		return;
	}
	digest_edit(edit, digest);
	first = document_edits_find(document->edits, edit->team, edit->edit_id);
	if (first != NULL) {
		replay_answer(first, digest, result);
		return;
	}
	result->status = apply_new(document, edit, index, result);
	if (result->status != STATUS_DENIED)
		record_answer(document, edit, digest, result);
}
