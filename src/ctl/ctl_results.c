#include "ctl/ctl_results.h"

#include "base/clock.h"
#include "ctl/ctl_json.h"
#include "ctl/ctl_remote.h"
#include "ctl/ctl_table.h"

enum {
	IN_FORCE_POLL_MS = 20
};

/*
 * Adds the outcome of a section; message may be NULL.
 */
void
ctl_results_add(struct ctl_results *results, struct str name,
    const char *outcome, uint64_t revision, bool resend, const char *message)
{
	struct json_object *result = json_object_new_object();

	json_object_object_add(result, "section",
	    json_object_new_string_len(name.data, (int)name.len));
	json_object_object_add(
	    result, "outcome", json_object_new_string(outcome));
	json_object_object_add(
	    result, "revision", json_object_new_uint64(revision));
	json_object_object_add(
	    result, "resend", json_object_new_boolean(resend));
	if (message != NULL)
		json_object_object_add(
		    result, "message", json_object_new_string(message));
	json_object_array_add(results->list, result);
}

/*
 * Records an accepted edit and the current time, from which
 * ctl_results_wait_in_force() measures.
 */
void
ctl_results_add_accepted(struct ctl_results *results, struct str name,
    bool removed, const struct ctl_reply *reply)
{
	struct json_object *answer;
	uint64_t revision = reply->etag;
	bool resend = false;

	if (ctl_json_parse(str_buf_view(&reply->body), &answer) == STATUS_OK) {
		revision = ctl_json_get_u64(answer, "revision");
		resend = ctl_json_get_bool(answer, "resend");
		json_object_put(answer);
	}
	if (revision > results->last_revision)
		results->last_revision = revision;
	results->accepted_us = clock_monotonic_us();
	ctl_results_add(results, name, removed ? "removed" : "accepted",
	    revision, resend, NULL);
}

/*
 * Prints the outcomes as a table or JSON.
 */
void
ctl_results_print(const struct ctl_results *results, struct ctl *ctl)
{
	struct ctl_table *table;
	struct str_buf out = {0};

	if (ctl->json) {
		ctl_json_append_pretty(results->list, &out);
		fwrite(out.data, 1, out.len, ctl->out);
		str_buf_free(&out);
		return;
	}
	table = ctl_table_new("section|outcome|revision|resend", ctl->colour);
	for (size_t i = 0; i < json_object_array_length(results->list); i++) {
		struct json_object *result =
		    json_object_array_get_idx(results->list, i);

		ctl_table_add_cell(
		    table, ctl_json_get_string(result, "section"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(result, "outcome"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(result, "revision"));
		ctl_table_add_cell(table,
		    ctl_json_get_bool(result, "resend") ? STR_LITERAL("yes")
							: STR_LITERAL(""));
	}
	ctl_table_render(table, &out);
	ctl_table_free(table);
	fwrite(out.data, 1, out.len, ctl->out);
	str_buf_free(&out);
}

/*
 * Polls until every live entry has confirmed the last accepted edit.
 * *elapsed_us is the time since the reply to it.  STATUS_UNAVAILABLE if
 * --timeout, also measured from that reply, expires first.
 */
enum status
ctl_results_wait_in_force(
    const struct ctl_results *results, struct ctl *ctl, uint64_t *elapsed_us)
{
	uint64_t deadline_us =
	    results->accepted_us + ctl->settings->timeout_ms * US_PER_MS;
	struct str_buf path = {0};
	struct str_buf waiting_for = {0};
	bool in_force = false;

	str_buf_printf(&path, "/in-force?index=%llu",
	    (unsigned long long)results->last_revision);
	while (!in_force && clock_monotonic_us() < deadline_us) {
		struct ctl_reply reply = {0};
		struct json_object *answer;

		if (ctl_remote_get(ctl, path.data, &reply) == STATUS_OK &&
		    ctl_json_parse(str_buf_view(&reply.body), &answer) ==
			STATUS_OK) {
			in_force = ctl_json_get_bool(answer, "in_force");
			str_buf_clear(&waiting_for);
			str_buf_append(&waiting_for,
			    ctl_json_get_string(answer, "waiting_for"));
			json_object_put(answer);
		}
		ctl_reply_free(&reply);
		if (!in_force)
			clock_sleep_us(IN_FORCE_POLL_MS * US_PER_MS);
	}
	*elapsed_us = clock_monotonic_us() - results->accepted_us;
	if (!in_force)
		status_set(STATUS_UNAVAILABLE,
		    "revision %llu was accepted but is not yet in force; "
		    "waiting for %s",
		    (unsigned long long)results->last_revision,
		    waiting_for.len > 0 ? waiting_for.data : "control");
	str_buf_free(&path);
	str_buf_free(&waiting_for);
	return in_force ? STATUS_OK : STATUS_UNAVAILABLE;
}
