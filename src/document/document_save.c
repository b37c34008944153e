/*
 * Serialization of the document for a snapshot.
 */
#include <string.h>

#include "base/memory.h"
#include "document/document_state.h"
#include "wire/state.pb-c.h"
#include "wire/state_frame.h"

enum {
	SAVE_VERSION = 1
};

static const char save_kind[] = "GDOC";

/* Messages and strings that live until the document has been packed. */
struct saver {
	State__SavedSection *sections;
	State__SavedEdit *edits;
	State__SavedRefusal *refusals;
	char **strings;
	size_t string_count;
	size_t count; /* elements filled so far */
};

/* Copies text to a C string that is freed once the message is packed. */
static char *
keep_string(struct saver *saver, struct str text)
{
	char *copy = str_dup(text);

	saver->strings[saver->string_count++] = copy;
	return copy;
}

/* Returns text as a bytes field without copying. */
static ProtobufCBinaryData
bytes_field(struct str text)
{
	return (ProtobufCBinaryData){
	    .len = text.len,
	    .data = (uint8_t *)text.data,
	};
}

/* Visitor: fills the next section message, for a current or an old revision. */
static void
save_text(void *ctx, struct str section, uint64_t revision, struct str text)
{
	struct saver *saver = ctx;
	State__SavedSection *saved = &saver->sections[saver->count++];

	state__saved_section__init(saved);
	saved->name = keep_string(saver, section);
	saved->revision = revision;
	saved->text = bytes_field(text);
}

/* Visitor: fills the next message for an accepted edit. */
static void
save_edit(void *ctx, const struct document_edit_record *record)
{
	struct saver *saver = ctx;
	State__SavedEdit *saved = &saver->edits[saver->count++];

	state__saved_edit__init(saved);
	saved->revision = record->revision;
	saved->accepted_us = record->accepted_us;
	saved->section = keep_string(saver, record->section);
	saved->team = keep_string(saver, record->team);
	saved->author = keep_string(saver, record->author);
	saved->edit_id = keep_string(saver, record->edit_id);
	saved->removed = record->removed;
	saved->digest = bytes_field(
	    str_of((const char *)record->digest, sizeof(record->digest)));
}

/* Visitor: fills the next message for a refused edit. */
static void
save_refusal(void *ctx, const struct document_edit_record *record)
{
	struct saver *saver = ctx;
	State__SavedRefusal *saved = &saver->refusals[saver->count++];

	state__saved_refusal__init(saved);
	saved->team = keep_string(saver, record->team);
	saved->edit_id = keep_string(saver, record->edit_id);
	saved->digest = bytes_field(
	    str_of((const char *)record->digest, sizeof(record->digest)));
	saved->status = (uint32_t)record->status;
	saved->revision = record->revision;
	saved->message = keep_string(saver, record->message);
}

/* Returns an array of pointers to count elements of the given size. */
static void *
make_pointer_array(void *elements, size_t count, size_t bytes)
{
	void **list = mem_calloc(count, sizeof(*list));

	for (size_t i = 0; i < count; i++)
		list[i] = (char *)elements + i * bytes;
	return list;
}

/*
 * Packs and seals the messages; sections holds the current sections first, then
 * the old revisions.
 */
static void
pack_document(
    const struct document *document, struct saver *saver, struct str_buf *out)
{
	State__SavedDocument saved = STATE__SAVED_DOCUMENT__INIT;

	saved.revision = document->revision;
	saved.n_sections = document->count;
	saved.n_older = document_revisions_count(document->old_revisions);
	saved.n_edits = document_edits_count(document->edits, true);
	saved.n_refusals = document_edits_count(document->edits, false);
	saved.sections = make_pointer_array(
	    saver->sections, saved.n_sections, sizeof(*saver->sections));
	saved.older = make_pointer_array(saver->sections + saved.n_sections,
	    saved.n_older, sizeof(*saver->sections));
	saved.edits = make_pointer_array(
	    saver->edits, saved.n_edits, sizeof(*saver->edits));
	saved.refusals = make_pointer_array(
	    saver->refusals, saved.n_refusals, sizeof(*saver->refusals));
	state_frame_append(save_kind, SAVE_VERSION, &saved.base, out);
	mem_free(saved.sections);
	mem_free(saved.older);
	mem_free(saved.edits);
	mem_free(saved.refusals);
}

/*
 * Appends the serialized document; equal documents produce equal bytes.
 */
void
document_save(const struct document *document, struct str_buf *out)
{
	size_t texts = document->count +
	    (size_t)document_revisions_count(document->old_revisions);
	size_t edits = document_edits_count(document->edits, true);
	size_t refusals = document_edits_count(document->edits, false);
	struct saver saver = {
	    .sections = mem_calloc(texts, sizeof(*saver.sections)),
	    .edits = mem_calloc(edits, sizeof(*saver.edits)),
	    .refusals = mem_calloc(refusals, sizeof(*saver.refusals)),
	    .strings =
		mem_calloc(texts + 4 * edits + 3 * refusals, sizeof(char *)),
	};

	for (uint32_t i = 0; i < document->count; i++)
		save_text(&saver, document->sections[i]->name,
		    document->sections[i]->revision,
		    document->sections[i]->text);
	document_revisions_for_each(document->old_revisions, save_text, &saver);
	saver.count = 0;
	document_edits_for_each(document->edits, true, save_edit, &saver);
	saver.count = 0;
	document_edits_for_each(document->edits, false, save_refusal, &saver);
	pack_document(document, &saver, out);
	for (size_t i = 0; i < saver.string_count; i++)
		mem_free(saver.strings[i]);
	mem_free(saver.strings);
	mem_free(saver.sections);
	mem_free(saver.edits);
	mem_free(saver.refusals);
}

/* Returns a view of a bytes field; its data is never NULL. */
static struct str
bytes_view(ProtobufCBinaryData data)
{
	return str_of(data.len > 0 ? (const char *)data.data : "", data.len);
}

/*
 * Restores the current sections and the old revisions.  STATUS_CORRUPT when a
 * section's text cannot be parsed.
 */
static enum status
load_sections(struct document *document, const State__SavedDocument *saved)
{
	for (size_t i = 0; i < saved->n_sections; i++) {
		const State__SavedSection *from = saved->sections[i];
		struct policy_section *section;

		if (policy_section_parse(bytes_view(from->text), from->revision,
			&section) != STATUS_OK)
			return status_set(STATUS_CORRUPT,
			    "saved document: section %s can't be read",
			    from->name);
		document_state_upsert(document, section);
	}
	for (size_t i = 0; i < saved->n_older; i++)
		document_revisions_add(document->old_revisions,
		    str_from(saved->older[i]->name), saved->older[i]->revision,
		    bytes_view(saved->older[i]->text));
	return STATUS_OK;
}

/* Copies a saved digest; a digest of another length leaves zeros. */
static void
load_digest(struct document_edit_record *record, ProtobufCBinaryData digest)
{
	if (digest.len == sizeof(record->digest))
		memcpy(record->digest, digest.data, sizeof(record->digest));
}

/* Restores the accepted and the refused edits, oldest first. */
static void
load_edits(struct document *document, const State__SavedDocument *saved)
{
	for (size_t i = 0; i < saved->n_edits; i++) {
		const State__SavedEdit *from = saved->edits[i];
		struct document_edit_record record = {
		    .section = str_from(from->section),
		    .team = str_from(from->team),
		    .author = str_from(from->author),
		    .edit_id = str_from(from->edit_id),
		    .revision = from->revision,
		    .accepted_us = from->accepted_us,
		    .status = STATUS_OK,
		    .removed = from->removed,
		};

		load_digest(&record, from->digest);
		document_edits_add(document->edits, &record);
	}
	for (size_t i = 0; i < saved->n_refusals; i++) {
		const State__SavedRefusal *from = saved->refusals[i];
		struct document_edit_record record = {
		    .team = str_from(from->team),
		    .edit_id = str_from(from->edit_id),
		    .message = str_from(from->message),
		    .revision = from->revision,
		    .status = (enum status)from->status,
		};

		load_digest(&record, from->digest);
		document_edits_add(document->edits, &record);
	}
}

/*
 * Replaces the content by the output of document_save().  On STATUS_CORRUPT the
 * document is empty or partly filled.
 */
enum status
document_load(struct document *document, struct str data)
{
	State__SavedDocument *saved;
	struct str payload;
	enum status status =
	    state_frame_parse(save_kind, SAVE_VERSION, data, &payload);

	if (status != STATUS_OK)
		return status;
	saved = state__saved_document__unpack(
	    NULL, payload.len, (const uint8_t *)payload.data);
	if (saved == NULL)
		return status_set(
		    STATUS_CORRUPT, "saved document cannot be decoded");
	document_state_clear(document);
	document->revision = saved->revision;
	status = load_sections(document, saved);
	if (status == STATUS_OK)
		load_edits(document, saved);
	state__saved_document__free_unpacked(saved, NULL);
	return status;
}
