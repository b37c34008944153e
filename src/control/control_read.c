#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/memory.h"
#include "control/control_internal.h"
#include "control/control_json.h"

enum {
	HISTORY_MAX = 1000
};

/*
 * Answers with the whole accepted document as YAML, and its revision.
 */
void
control_run_document(struct control *control, struct job *job)
{
	struct policy *policy = document_policy(control->machine.document);

	job->document_revision = policy->revision;
	policy_put(policy);
	document_render(control->machine.document, &job->body);
	job_finish(job, 200, "application/yaml");
}

/*
 * Returns the name of a section's kind, as used in the document.
 */
static const char *
kind_name(enum policy_section_kind kind)
{
	switch (kind) {
	case POLICY_FLEET:
		return "fleet";
	case POLICY_TENANTS:
		return "tenants";
	case POLICY_SERVICE:
		return "service";
	}
	return "unknown";
}

/*
 * Adds the digest of a section in hexadecimal.
 */
static void
add_digest(struct json_object *item, const uint8_t digest[POLICY_DIGEST_BYTES])
{
	char hex[2 * POLICY_DIGEST_BYTES + 1];

	for (int i = 0; i < POLICY_DIGEST_BYTES; i++)
		snprintf(hex + (size_t)i * 2, 3, "%02x", digest[i]);
	control_json_add_text(item, "digest", hex);
}

/*
 * Answers with the name, team, kind, revision and digest of each section.
 */
void
control_run_sections(struct control *control, struct job *job)
{
	struct policy *policy = document_policy(control->machine.document);
	struct json_object *root = json_object_new_array();

	for (uint32_t i = 0; i < policy->section_count; i++) {
		const struct policy_section *section = policy->sections[i];
		struct json_object *item = json_object_new_object();

		control_json_add_str(item, "name", section->name);
		control_json_add_str(item, "team", section->team);
		control_json_add_text(item, "kind", kind_name(section->kind));
		control_json_add_u64(item, "revision", section->revision);
		add_digest(item, section->digest);
		json_object_array_add(root, item);
	}
	policy_put(policy);
	control_json_finish(job, 200, root);
}

/*
 * Answers with the text of a section at the requested revision, or the current
 * one if that is 0.  Answers 404 if there is none or its text is no longer
 * retained.
 */
void
control_run_section(struct control *control, struct job *job)
{
	struct policy *policy = document_policy(control->machine.document);
	struct str name = str_from(job->name);
	const struct policy_section *section =
	    policy_find_section(policy, name);
	struct str text;

	if (job->revision == 0 && section != NULL)
		job->revision = section->revision;
	policy_put(policy);
	if (job->revision == 0 ||
	    document_get_section_text(control->machine.document, name,
		job->revision, &text) != STATUS_OK) {
		job_finish_with_problem(job, 404, "not-found",
		    "section \"%s\" has no text kept at that revision",
		    job->name);
		return;
	}
	job->etag = job->revision;
	str_buf_append(&job->body, text);
	job_finish(job, 200, "application/yaml");
}

/*
 * Answers with the accepted edits of a section, or of all sections without a
 * name, newest first, at most HISTORY_MAX.
 */
void
control_run_history(struct control *control, struct job *job)
{
	struct document_history_entry *items =
	    mem_calloc(HISTORY_MAX, sizeof(*items));
	struct json_object *root = json_object_new_array();
	uint32_t count = document_history(
	    control->machine.document, str_from(job->name), items, HISTORY_MAX);

	for (uint32_t i = 0; i < count; i++) {
		const struct document_history_entry *from = &items[i];
		struct json_object *item = json_object_new_object();

		control_json_add_u64(item, "revision", from->revision);
		control_json_add_u64(item, "accepted_us", from->accepted_us);
		control_json_add_str(item, "section", from->section);
		control_json_add_str(item, "team", from->team);
		control_json_add_str(item, "author", from->author);
		control_json_add_str(item, "edit_id", from->edit_id);
		control_json_add_bool(item, "removed", from->removed);
		json_object_array_add(root, item);
	}
	mem_free(items);
	control_json_finish(job, 200, root);
}

/*
 * Answers whether a log index is in force everywhere, and which entries with a
 * valid lease have not installed it.
 */
void
control_run_in_force(struct control *control, struct job *job, uint64_t now_us)
{
	struct json_object *root = json_object_new_object();
	struct json_object *waiting = json_object_new_array();
	unsigned count = entry_table_count(control->entries);
	bool in_force =
	    entry_table_in_force(control->entries, job->revision, now_us);

	for (unsigned i = 0; i < count; i++) {
		const struct entry_record *entry =
		    entry_table_at(control->entries, i);

		if (entry_record_live(entry, now_us) &&
		    entry->applied_index < job->revision)
			json_object_array_add(
			    waiting, json_object_new_string(entry->name));
	}
	control_json_add_bool(root, "in_force", in_force);
	control_json_add_u64(root, "index", job->revision);
	json_object_object_add(root, "waiting_for", waiting);
	control_json_finish(job, 200, root);
}
