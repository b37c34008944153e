#include "ctl/ctl_burn.h"

#include <string.h>

#include "burn/burn.h"
#include "ctl/ctl_client.h"
#include "ctl/ctl_json.h"
#include "ctl/ctl_remote.h"
#include "ctl/ctl_table.h"

enum {
	CELL_BYTES = 32,
	PERMYRIAD_PER_PERCENT = 100
};

/* Returns a member as a double; 0 if it is missing. */
static double
member_double(struct json_object *object, const char *key)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, key, &member))
		return 0;
	return json_object_get_double(member);
}

/* Adds a cell with the burn rate of a window. */
static void
add_burn_rate_cell(
    struct ctl_table *table, struct json_object *row, const char *window)
{
	char text[CELL_BYTES];

	snprintf(text, sizeof(text), "%.2f",
	    member_double(json_object_object_get(row, window), "rate"));
	ctl_table_add_cell(table, str_from(text));
}

/* Adds a cell with the remaining error budget in percent, or "spent". */
static void
add_budget_cell(struct ctl_table *table, struct json_object *row)
{
	double budget_left = member_double(row, "budget_left");
	char text[CELL_BYTES];

	snprintf(text, sizeof(text), "%.1f%%", 100 * budget_left);
	ctl_table_add_cell(
	    table, budget_left < 0 ? STR_LITERAL("spent") : str_from(text));
}

/* Adds a cell with the objective's required success ratio in percent. */
static void
add_goal_cell(struct ctl_table *table, struct json_object *row)
{
	uint64_t permyriad = ctl_json_get_u64(row, "success_permyriad");
	char text[CELL_BYTES];

	snprintf(text, sizeof(text), "%llu.%02llu%%",
	    (unsigned long long)(permyriad / PERMYRIAD_PER_PERCENT),
	    (unsigned long long)(permyriad % PERMYRIAD_PER_PERCENT));
	ctl_table_add_cell(table, str_from(text));
}

/*
 * Appends a merged burn report as a table with one row per objective and
 * tenant.
 */
void
ctl_burn_table(struct json_object *report, bool colour, struct str_buf *out)
{
	struct json_object *rows = ctl_json_get_array(report, "burn");
	struct ctl_table *table =
	    ctl_table_new("service|objective|tenant|goal|good|bad|5 min|1 h|"
			  "window|budget left",
		colour);

	for (size_t i = 0; rows != NULL && i < json_object_array_length(rows);
	     i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);
		struct json_object *window =
		    json_object_object_get(row, "window");

		ctl_table_add_cell(table, ctl_json_get_string(row, "service"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(row, "objective"));
		ctl_table_add_cell(table, ctl_json_get_string(row, "tenant"));
		add_goal_cell(table, row);
		ctl_table_add_cell(table, ctl_json_get_string(window, "good"));
		ctl_table_add_cell(table, ctl_json_get_string(window, "bad"));
		add_burn_rate_cell(table, row, "short");
		add_burn_rate_cell(table, row, "long");
		add_burn_rate_cell(table, row, "window");
		add_budget_cell(table, row);
	}
	ctl_table_render(table, out);
	ctl_table_free(table);
	str_buf_append_c(out,
	    "burn rate 1.00: uses up the error budget exactly in its window\n");
}

/*
 * Prints a warning if the report lacks the events of an entry that did not
 * reply, or may lack entries that a new leader does not know yet.
 */
static void
warn_missing(struct json_object *report)
{
	struct json_object *entry;

	if (json_object_object_get_ex(report, "may_lack_entries", &entry))
		fprintf(stderr,
		    "gypsummillctl: control has a new leader; the events of "
		    "entries that have not reported to it may be missing\n");
	if (json_object_object_get_ex(report, "unanswered", &entry))
		fprintf(stderr,
		    "gypsummillctl: entry %s did not answer; its events are "
		    "missing\n",
		    json_object_get_string(entry));
}

/*
 * Merges the reports of all entries, which control returns as an array.
 * *merged is released with json_object_put().
 */
static enum status
merge_reports(struct json_object *reports, struct json_object **merged)
{
	enum status status = STATUS_OK;

	*merged = NULL;
	if (!json_object_is_type(reports, json_type_array))
		return burn_merge(merged, reports);
	for (size_t i = 0;
	     i < json_object_array_length(reports) && status == STATUS_OK;
	     i++) {
		struct json_object *report =
		    json_object_array_get_idx(reports, i);

		warn_missing(report);
		status = burn_merge(merged, report);
	}
	return status;
}

/* Writes the report as an SVG file; STATUS_IO if that fails. */
static enum status
write_svg(const char *path, struct json_object *report)
{
	struct str_buf out = {0};
	FILE *file = fopen(path, "w");
	bool written;

	if (file == NULL)
		return status_set_errno(STATUS_IO, path);
	ctl_burn_svg(report, &out);
	written = fwrite(out.data, 1, out.len, file) == out.len;
	str_buf_free(&out);
	if (fclose(file) != 0 || !written)
		return status_set_errno(STATUS_IO, path);
	return STATUS_OK;
}

/* Prints the report, or writes it to --svg FILE; returns the exit code. */
static int
print_report(struct ctl *ctl, struct json_object *report)
{
	struct str_buf out = {0};

	if (report == NULL)
		return ctl_print_error(status_set(
		    STATUS_UNAVAILABLE, "no entry returned a burn report"));
	if (ctl->settings->svg != NULL) {
		if (write_svg(ctl->settings->svg, report) == STATUS_OK)
			return CTL_EXIT_OK;
		ctl_print_error(STATUS_IO);
		return CTL_EXIT_CANT_CREATE;
	}
	if (ctl->json)
		ctl_json_append_pretty(report, &out);
	else
		ctl_burn_table(report, ctl->colour, &out);
	fwrite(out.data, 1, out.len, ctl->out);
	str_buf_free(&out);
	return CTL_EXIT_OK;
}

/*
 * burn: reports the remaining error budgets and the tenants that used them.
 */
int
ctl_burn(struct ctl *ctl, char *const *arguments ATTR_UNUSED)
{
	struct ctl_reply reply = {0};
	struct json_object *reports;
	struct json_object *report = NULL;
	enum status status = ctl_remote_get(ctl, "/burn", &reply);
	int exit_code;

	if (status == STATUS_OK)
		status = ctl_json_parse(str_buf_view(&reply.body), &reports);
	if (status == STATUS_OK) {
		status = merge_reports(reports, &report);
		json_object_put(reports);
	}
	exit_code = status == STATUS_OK ? print_report(ctl, report)
					: ctl_print_error(status);
	json_object_put(report);
	ctl_reply_free(&reply);
	return exit_code;
}
