
#include <json-c/json.h>

#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/memory.h"
#include "control/control_internal.h"
#include "control/control_json.h"
#include "refusal/refusal.h"

/* Entries that have not answered by then are left out. */
static const uint64_t answer_timeout_us = 3 * US_PER_S;

/*
 * Registers a query of an entry for a job and returns its key, the request
 * number.
 */
static const gint64 *
add_query(
    struct control *control, const struct entry_record *entry, struct job *job)
{
	struct pending_query *query = mem_calloc(1, sizeof(*query));
	gint64 *key = g_new(gint64, 1);

	*key = (gint64)++control->last_query;
	job_get(job);
	query->job = job;
	query->deadline_us = clock_monotonic_us() + answer_timeout_us;
	snprintf(query->entry, sizeof(query->entry), "%s", entry->name);
	g_hash_table_replace(control->queries, key, query);
	return key;
}

/*
 * Sends a query to an entry on behalf of a job, which then waits for one more
 * answer.  Returns false if the entry cannot be reached.
 */
static bool
send_query(struct control *control, const struct entry_record *entry,
    struct job *job, const char *what)
{
	Wire__Query query = WIRE__QUERY__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	const gint64 *key = add_query(control, entry, job);

	query.request = control->last_query;
	query.what = (char *)what;
	query.argument = job->name != NULL ? job->name : (char *)"";
	envelope.body_case = WIRE__ENVELOPE__BODY_QUERY;
	envelope.query = &query;
	if (transport_send(control->router, &entry->peer, &envelope) !=
	    STATUS_OK) {
		g_hash_table_remove(control->queries, key);
		return false;
	}
	job->waiting++;
	return true;
}

/*
 * Queries the entry that gave a refusal, whose name is part of the id, for what
 * it recorded.  Answers 404 if the id is malformed or the entry is lost, 503 if
 * the entry may run but has not reported to this leader.
 */
void
control_run_explain(struct control *control, struct job *job, uint64_t now_us)
{
	uint64_t lost_us = control_entry_lost_us(control);
	const struct entry_record *entry;
	uint64_t incarnation, sequence;
	struct str name;

	if (!refusal_id_parse(
		str_from(job->name), &name, &incarnation, &sequence)) {
		job_finish_with_problem(job, 404, "not-found",
		    "\"%s\" is not the id of a refusal", job->name);
		return;
	}
	entry = entry_table_find(control->entries, name);
	if (entry == NULL &&
	    !entry_table_may_lack(control->entries, lost_us, now_us)) {
		job_finish_with_problem(job, 404, "unknown-entry",
		    "the entry that gave refusal \"%s\" is lost: it has not "
		    "reported for %" PRIu64 " s or more",
		    job->name, lost_us / US_PER_S);
		return;
	}
	if (entry == NULL || !entry->connected) {
		job->retry_after_s = CONTROL_RETRY_AFTER_S;
		job_finish_with_problem(job, 503, "unavailable",
		    "the entry that gave refusal \"%s\" has not reported to "
		    "this leader yet",
		    job->name);
		return;
	}
	if (!send_query(control, entry, job, "explain"))
		job_finish_with_problem(job, 503, "unavailable",
		    "entry %s cannot be reached", entry->name);
}

/*
 * Appends one entry's JSON report to the array of reports, which the client
 * adds up.
 */
static void
append_report(struct job *job, struct str json)
{
	str_buf_append_c(&job->body, job->body.len == 0 ? "[" : ",");
	str_buf_append(&job->body, json);
}

/*
 * Appends a report that names an entry whose events are missing.
 */
static void
append_unanswered(struct job *job, const char *entry)
{
	struct json_object *report = json_object_new_object();

	json_object_object_add(report, "burn", json_object_new_array());
	json_object_object_add(
	    report, "unanswered", json_object_new_string(entry));
	append_report(job, str_from(json_object_to_json_string(report)));
	json_object_put(report);
}

/*
 * Appends a report that says that events may be missing: entries that have not
 * reported to this leader are not known to it.
 */
static void
append_may_lack_entries(struct job *job)
{
	struct json_object *report = json_object_new_object();

	json_object_object_add(report, "burn", json_object_new_array());
	control_json_add_bool(report, "may_lack_entries", true);
	append_report(job, str_from(json_object_to_json_string(report)));
	json_object_put(report);
}

/*
 * Ends a wait for one entry's report; the last one finishes the job.
 */
static void
finish_report(struct job *job)
{
	if (--job->waiting > 0)
		return;
	str_buf_append_c(&job->body, "]");
	job_finish(job, 200, "application/json");
}

/*
 * Queries all known entries for their burn reports.  The job ends with the last
 * answer, or with 503 if no entry can be reached.
 */
void
control_run_burn(struct control *control, struct job *job, uint64_t now_us)
{
	if (entry_table_may_lack(
		control->entries, control_entry_lost_us(control), now_us))
		append_may_lack_entries(job);
	for (unsigned i = 0; i < entry_table_count(control->entries); i++) {
		const struct entry_record *entry =
		    entry_table_at(control->entries, i);

		if (!entry->connected ||
		    !send_query(control, entry, job, "burn"))
			append_unanswered(job, entry->name);
	}
	if (job->waiting == 0)
		job_finish_with_problem(
		    job, 503, "unavailable", "no entry can be reached");
}

/* Adds the text, at that revision, of the section that decided the refusal. */
static void
add_section_text(struct control *control, struct json_object *refusal)
{
	struct json_object *section, *revision;
	struct str text;

	if (!json_object_object_get_ex(refusal, "section", &section) ||
	    !json_object_object_get_ex(refusal, "revision", &revision))
		return;
	if (document_get_section_text(control->machine.document,
		str_from(json_object_get_string(section)),
		(uint64_t)json_object_get_int64(revision), &text) != STATUS_OK)
		return;
	control_json_add_str(refusal, "section_text", text);
}

/*
 * Answers with the refusal as recorded by its entry and the section's text at
 * that revision; 404 if the entry no longer has it.
 */
static void
answer_explain(struct control *control, struct job *job, struct str json)
{
	char *text = str_dup(json);
	struct json_object *refusal = json_tokener_parse(text);

	mem_free(text);
	if (refusal == NULL ||
	    !json_object_is_type(refusal, json_type_object)) {
		json_object_put(refusal);
		job_finish_with_problem(job, 404, "not-found",
		    "no refusal \"%s\" is kept", job->name);
		return;
	}
	add_section_text(control, refusal);
	control_json_finish(job, 200, refusal);
}

/*
 * Passes an entry's answer to the waiting job.  Answers to unknown requests are
 * ignored.
 */
void
control_jobs_query_answer(
    struct control *control, const Wire__QueryAnswer *answer)
{
	gint64 key = (gint64)answer->request;
	struct pending_query *query =
	    g_hash_table_lookup(control->queries, &key);
	struct str json =
	    str_of((const char *)answer->json.data, answer->json.len);

	if (query == NULL)
		return;
	if (query->job->kind == JOB_EXPLAIN)
		answer_explain(control, query->job, json);
	else {
		append_report(query->job, json);
		finish_report(query->job);
	}
	g_hash_table_remove(control->queries, &key);
}

/*
 * Ends a query without an answer: an explanation fails, and a burn report names
 * the entry.
 */
static void
expire_query(const struct pending_query *query)
{
	if (query->job->kind == JOB_EXPLAIN) {
		job_finish_with_problem(query->job, 504, "no-answer",
		    "entry %s did not answer", query->entry);
		return;
	}
	append_unanswered(query->job, query->entry);
	finish_report(query->job);
}

/*
 * Ends all queries whose deadline has passed.
 */
void
control_jobs_query_expire(struct control *control, uint64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, control->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pending_query *query = value;

		if (now_us < query->deadline_us)
			continue;
		expire_query(query);
		g_hash_table_iter_remove(&iter);
	}
}
