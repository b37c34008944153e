#include "document/document.h"

#include <string.h>

#include <sodium.h>

#include "base/memory.h"
#include "document/document_state.h"

enum {
	FIRST_CAPACITY = 16
};

/*
 * Returns an empty document, to be freed with document_free().
 */
struct document *
document_new(void)
{
	struct document *document = mem_calloc(1, sizeof(*document));

	document->edits = document_edits_new();
	document->old_revisions = document_revisions_new();
	return document;
}

/*
 * Removes all sections, edit records and old revisions.
 */
void
document_state_clear(struct document *document)
{
	for (uint32_t i = 0; i < document->count; i++)
		policy_section_put(document->sections[i]);
	document->count = 0;
	document->text_bytes = 0;
	document->revision = 0;
	document_edits_free(document->edits);
	document_revisions_free(document->old_revisions);
	document->edits = document_edits_new();
	document->old_revisions = document_revisions_new();
}

/*
 * Frees the document; NULL is allowed.  Policies built from it remain valid.
 */
void
document_free(struct document *document)
{
	if (document == NULL)
		return;
	document_state_clear(document);
	document_edits_free(document->edits);
	document_revisions_free(document->old_revisions);
	mem_free(document->sections);
	mem_free(document);
}

/*
 * Returns the index of the first section whose name is not less than name; the
 * number of sections when there is none.
 */
uint32_t
document_state_lower_bound(const struct document *document, struct str name)
{
	uint32_t low = 0;
	uint32_t high = document->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (str_compare(document->sections[middle]->name, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/*
 * Finds a section by name; NULL when there is none.  The result is valid until
 * the document next changes.
 */
struct policy_section *
document_state_find(const struct document *document, struct str name)
{
	uint32_t at = document_state_lower_bound(document, name);

	if (at == document->count ||
	    !str_equal(document->sections[at]->name, name))
		return NULL;
	return document->sections[at];
}

/*
 * Inserts section at index at, which must preserve the name order; takes
 * ownership of the caller's reference.
 */
static void
insert_at(
    struct document *document, uint32_t at, struct policy_section *section)
{
	if (document->count == document->capacity) {
		document->capacity = document->capacity > 0
		    ? 2 * document->capacity
		    : FIRST_CAPACITY;
		document->sections = mem_resize(document->sections,
		    document->capacity * sizeof(struct policy_section *));
	}
	memmove(&document->sections[at + 1], &document->sections[at],
	    (document->count - at) * sizeof(struct policy_section *));
	document->sections[at] = section;
	document->count++;
}

/*
 * Inserts a section or replaces the one with the same name.
 */
void
document_state_upsert(struct document *document, struct policy_section *section)
{
	uint32_t at = document_state_lower_bound(document, section->name);

	document->text_bytes += section->text.len;
	if (at == document->count ||
	    !str_equal(document->sections[at]->name, section->name)) {
		insert_at(document, at, section);
		return;
	}
	document->text_bytes -= document->sections[at]->text.len;
	policy_section_put(document->sections[at]);
	document->sections[at] = section;
}

/*
 * Removes a section, which must exist, and releases its reference.
 */
void
document_state_remove(struct document *document, struct str name)
{
	uint32_t at = document_state_lower_bound(document, name);

	document->text_bytes -= document->sections[at]->text.len;
	policy_section_put(document->sections[at]);
	document->count--;
	memmove(&document->sections[at], &document->sections[at + 1],
	    (document->count - at) * sizeof(struct policy_section *));
}

/*
 * Returns a new policy of the current sections.
 */
struct policy *
document_policy(const struct document *document)
{
	return policy_new(document->sections, document->count);
}

/*
 * Gets the text of a section at exactly this revision; STATUS_NOT_FOUND if it
 * is not retained.  The text is valid until the document next changes.
 */
enum status
document_get_section_text(const struct document *document, struct str section,
    uint64_t revision, struct str *text)
{
	const struct policy_section *current =
	    document_state_find(document, section);

	if (current != NULL && current->revision == revision) {
		*text = current->text;
		return STATUS_OK;
	}
	if (document_revisions_find(
		document->old_revisions, section, revision, text))
		return STATUS_OK;
	return status_set(STATUS_NOT_FOUND,
	    "section %.*s at revision %llu is not kept", STR_ARG(section),
	    (unsigned long long)revision);
}

/*
 * Lists accepted edits, newest first, of all sections if section is empty.  The
 * strings are valid until the document next changes.
 */
uint32_t
document_history(const struct document *document, struct str section,
    struct document_history_entry *out, uint32_t max)
{
	return document_edits_history(document->edits, section, out, max);
}

/*
 * Appends the sections in name order, separated by "---" lines.
 */
void
document_render(const struct document *document, struct str_buf *out)
{
	for (uint32_t i = 0; i < document->count; i++) {
		struct str text = document->sections[i]->text;

		if (i > 0)
			str_buf_append_c(out, "---\n");
		str_buf_append(out, text);
		if (i + 1 < document->count && text.data[text.len - 1] != '\n')
			str_buf_append_c(out, "\n");
	}
}

/* Returns the values of the fleet section; NULL if there is none. */
static const struct policy_fleet *
find_fleet(const struct document *document)
{
	for (uint32_t i = 0; i < document->count; i++) {
		if (document->sections[i]->kind == POLICY_FLEET)
			return &document->sections[i]->fleet;
	}
	return NULL;
}

/* Compares a token's SHA-256 with the team's in constant time. */
static bool
token_matches(
    const struct policy_team *team, const uint8_t digest[POLICY_DIGEST_BYTES])
{
	return sodium_memcmp(team->token_digest, digest, POLICY_DIGEST_BYTES) ==
	    0;
}

/*
 * Finds the team that a token belongs to.  *team is valid until the document
 * next changes.
 */
bool
document_find_team_by_token(
    const struct document *document, struct str token, struct str *team)
{
	const struct policy_fleet *fleet = find_fleet(document);
	uint8_t digest[POLICY_DIGEST_BYTES];

	if (fleet == NULL || token.len == 0)
		return false;
	policy_digest(token, digest);
	for (uint32_t i = 0; i < fleet->team_count; i++) {
		if (!token_matches(&fleet->teams[i], digest))
			continue;
		*team = fleet->teams[i].name;
		return true;
	}
	return false;
}

/*
 * Returns whether the token belongs to the team; false if there is no fleet
 * section.
 */
bool
document_team_has_token(
    const struct document *document, struct str team, struct str token)
{
	struct str owner;

	return document_find_team_by_token(document, token, &owner) &&
	    str_equal(owner, team);
}
