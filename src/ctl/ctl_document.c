#include "ctl/ctl_document.h"

#include <json-c/json.h>

#include "ctl/ctl_file.h"
#include "ctl/ctl_json.h"
#include "ctl/ctl_remote.h"
#include "ctl/ctl_table.h"
#include "document/document_diff.h"
#include "document/policy_fields.h"

enum {
	CONTEXT_LINES = 3,
	DIFF_MAX_BYTES = 4 << 20
};

/* Writes text to the command's output unchanged. */
static void
write_output(struct ctl *ctl, struct str text)
{
	fwrite(text.data, 1, text.len, ctl->out);
}

/* Writes a value as indented JSON with a newline. */
static void
write_json(struct ctl *ctl, struct json_object *value)
{
	struct str_buf out = {0};

	ctl_json_append_pretty(value, &out);
	write_output(ctl, str_buf_view(&out));
	str_buf_free(&out);
}

/* Returns the non-empty lines as a JSON array, owned by the caller. */
static struct json_object *
lines_to_json(struct str text)
{
	struct json_object *list = json_object_new_array();
	struct str line;

	while (text.len > 0 && str_split(&text, '\n', &line)) {
		if (line.len > 0)
			json_object_array_add(list,
			    json_object_new_string_len(
				line.data, (int)line.len));
	}
	return list;
}

/* Prints whether the file is valid, its errors and its warnings as JSON. */
static void
print_check_json(struct ctl *ctl, const struct ctl_file *file)
{
	struct json_object *root = json_object_new_object();

	json_object_object_add(
	    root, "valid", json_object_new_boolean(file->errors.len == 0));
	json_object_object_add(
	    root, "sections", json_object_new_int((int)file->count));
	json_object_object_add(
	    root, "errors", lines_to_json(str_buf_view(&file->errors)));
	json_object_object_add(
	    root, "warnings", lines_to_json(str_buf_view(&file->warnings)));
	write_json(ctl, root);
	json_object_put(root);
}

/*
 * check FILE: validates a document locally, without the control group.
 */
int
ctl_check(struct ctl *ctl, char *const *arguments)
{
	struct ctl_file file;
	enum status status = ctl_file_read(arguments[0], &file);
	int exit_code;

	if (status != STATUS_OK && status != STATUS_INVALID) {
		exit_code = ctl_print_error(status);
	} else {
		exit_code = ctl_exit_code(status);
		if (ctl->json)
			print_check_json(ctl, &file);
		else {
			write_output(ctl, str_buf_view(&file.errors));
			if (file.warnings.len > 0)
				fprintf(stderr, "%s", file.warnings.data);
			if (exit_code == CTL_EXIT_OK)
				fprintf(ctl->out, "%s: %u sections, valid\n",
				    arguments[0], file.count);
		}
	}
	ctl_file_free(&file);
	return exit_code;
}

/* Prints a diff with removed lines in red and added lines in green. */
static void
print_coloured_diff(struct ctl *ctl, struct str diff)
{
	struct str line;

	while (diff.len > 0 && str_split(&diff, '\n', &line)) {
		const char *code = line.len > 0 && line.data[0] == '-'
		    ? "\033[31m"
		    : line.len > 0 && line.data[0] == '+' ? "\033[32m"
							  : "";

		fprintf(ctl->out, "%s%.*s%s\n", code, STR_ARG(line),
		    code[0] != '\0' ? "\033[0m" : "");
	}
}

/*
 * Adds a section's diff to the results and prints it unless the output is JSON.
 */
static void
print_diff(struct ctl *ctl, const struct ctl_section *section,
    const struct ctl_remote *remote, struct json_object *results)
{
	struct str name = section->parsed->name;
	struct str_buf diff = {0};
	struct json_object *result;

	document_diff(str_buf_view(&remote->text), section->text, CONTEXT_LINES,
	    DIFF_MAX_BYTES, &diff);
	if (diff.len == 0)
		str_buf_append_c(&diff, "(the last line end differs)\n");
	if (!ctl->json) {
		fprintf(ctl->out, "--- %.*s, revision %llu\n+++ %.*s, file\n",
		    STR_ARG(name), (unsigned long long)remote->revision,
		    STR_ARG(name));
		if (ctl->colour)
			print_coloured_diff(ctl, str_buf_view(&diff));
		else
			write_output(ctl, str_buf_view(&diff));
	}
	result = json_object_new_object();
	json_object_object_add(result, "section",
	    json_object_new_string_len(name.data, (int)name.len));
	json_object_object_add(
	    result, "revision", json_object_new_uint64(remote->revision));
	json_object_object_add(result, "diff",
	    json_object_new_string_len(diff.data, (int)diff.len));
	json_object_array_add(results, result);
	str_buf_free(&diff);
}

/* Compares a section of the file with the current or --revision one. */
static enum status
diff_section(struct ctl *ctl, const struct ctl_section *section,
    struct json_object *results)
{
	struct ctl_remote remote;
	enum status status = ctl_remote_get_section(
	    ctl, section->parsed->name, ctl->settings->revision, &remote);

	if (status != STATUS_OK)
		return status;
	if (!str_equal(str_buf_view(&remote.text), section->text))
		print_diff(ctl, section, &remote, results);
	ctl_remote_free(&remote);
	return STATUS_OK;
}

/*
 * Compares the sections of the file, or only that of --section, with those of
 * the control group.  STATUS_NOT_FOUND if the file has no such section.
 */
static enum status
diff_file(
    struct ctl *ctl, const struct ctl_file *file, struct json_object *results)
{
	const char *section_name = ctl->settings->section;
	enum status status = ctl_file_require_section(file, section_name);

	for (uint32_t i = 0; i < file->count && status == STATUS_OK; i++) {
		const struct ctl_section *section = &file->sections[i];

		if (section_name == NULL ||
		    str_equal_c(section->parsed->name, section_name))
			status = diff_section(ctl, section, results);
	}
	return status;
}

/*
 * diff FILE: shows what applying the file would change.
 */
int
ctl_diff(struct ctl *ctl, char *const *arguments)
{
	struct json_object *results = json_object_new_array();
	struct ctl_file file;
	enum status status = ctl_file_read(arguments[0], &file);
	int exit_code;

	if (file.errors.len > 0)
		fputs(file.errors.data, stderr);
	if (status == STATUS_OK)
		status = diff_file(ctl, &file, results);
	if (status == STATUS_OK && ctl->json)
		write_json(ctl, results);
	exit_code = status != STATUS_OK             ? ctl_print_error(status)
	    : json_object_array_length(results) > 0 ? CTL_EXIT_DIFFERS
						    : CTL_EXIT_OK;
	json_object_put(results);
	ctl_file_free(&file);
	return exit_code;
}

/* Prints a section's text unchanged, or text and revision as JSON. */
static void
print_section(
    struct ctl *ctl, const char *name, const struct ctl_remote *remote)
{
	struct json_object *root;

	if (!ctl->json) {
		write_output(ctl, str_buf_view(&remote->text));
		return;
	}
	root = json_object_new_object();
	json_object_object_add(root, "section", json_object_new_string(name));
	json_object_object_add(
	    root, "revision", json_object_new_uint64(remote->revision));
	json_object_object_add(root, "text",
	    json_object_new_string_len(
		str_buf_view(&remote->text).data, (int)remote->text.len));
	write_json(ctl, root);
	json_object_put(root);
}

/* Prints a section; STATUS_NOT_FOUND if control has no such section. */
static enum status
get_section(struct ctl *ctl, const char *name)
{
	struct ctl_remote remote;
	enum status status = ctl_remote_get_section(
	    ctl, str_from(name), ctl->settings->revision, &remote);

	if (status != STATUS_OK)
		return status;
	if (remote.revision == 0)
		status = status_set(
		    STATUS_NOT_FOUND, "the document has no section %s", name);
	else
		print_section(ctl, name, &remote);
	ctl_remote_free(&remote);
	return status;
}

/* Prints the document, or the list of its sections as JSON. */
static enum status
get_document(struct ctl *ctl)
{
	struct ctl_reply reply = {0};
	enum status status = ctl_remote_get(
	    ctl, ctl->json ? "/document/sections" : "/document", &reply);

	if (status == STATUS_OK)
		write_output(ctl, str_buf_view(&reply.body));
	if (status == STATUS_OK && ctl->json)
		write_output(ctl, STR_LITERAL("\n"));
	ctl_reply_free(&reply);
	return status;
}

/*
 * get [SECTION]: prints the accepted text, byte for byte.
 */
int
ctl_get(struct ctl *ctl, char *const *arguments)
{
	enum status status = arguments[0] != NULL
	    ? get_section(ctl, arguments[0])
	    : get_document(ctl);

	return status == STATUS_OK ? CTL_EXIT_OK : ctl_print_error(status);
}

/* Prints the accepted edits as a table. */
static void
print_history(struct ctl *ctl, struct json_object *edits)
{
	struct ctl_table *table = ctl_table_new(
	    "revision|accepted|section|change|team|author|edit", ctl->colour);
	struct str_buf out = {0};

	for (size_t i = 0; i < json_object_array_length(edits); i++) {
		struct json_object *edit = json_object_array_get_idx(edits, i);
		struct str_buf accepted_time = {0};

		ctl_json_append_time(
		    ctl_json_get_u64(edit, "accepted_us"), &accepted_time);
		ctl_table_add_cell(
		    table, ctl_json_get_string(edit, "revision"));
		ctl_table_add_cell(table, str_buf_view(&accepted_time));
		ctl_table_add_cell(table, ctl_json_get_string(edit, "section"));
		ctl_table_add_cell(table,
		    ctl_json_get_bool(edit, "removed")
			? STR_LITERAL("removed")
			: STR_LITERAL("written"));
		ctl_table_add_cell(table, ctl_json_get_string(edit, "team"));
		ctl_table_add_cell(table, ctl_json_get_string(edit, "author"));
		ctl_table_add_cell(table, ctl_json_get_string(edit, "edit_id"));
		str_buf_free(&accepted_time);
	}
	ctl_table_render(table, &out);
	ctl_table_free(table);
	write_output(ctl, str_buf_view(&out));
	str_buf_free(&out);
}

/*
 * history [SECTION]: lists the accepted edits, newest first.
 */
int
ctl_history(struct ctl *ctl, char *const *arguments)
{
	struct str_buf path = {0};
	struct ctl_reply reply = {0};
	struct json_object *list;
	enum status status;

	str_buf_append_c(&path, "/document/history");
	if (arguments[0] != NULL) {
		str_buf_append_c(&path, "?section=");
		ctl_client_append_escaped(str_from(arguments[0]), &path);
	}
	status = ctl_remote_get(ctl, path.data, &reply);
	str_buf_free(&path);
	if (status == STATUS_OK)
		status = ctl_json_parse(str_buf_view(&reply.body), &list);
	if (status == STATUS_OK) {
		if (ctl->json)
			write_json(ctl, list);
		else
			print_history(ctl, list);
		json_object_put(list);
	}
	ctl_reply_free(&reply);
	return status == STATUS_OK ? CTL_EXIT_OK : ctl_print_error(status);
}

/*
 * fields: prints a reference of all document fields as Markdown.
 */
int
ctl_fields(struct ctl *ctl, char *const *arguments ATTR_UNUSED)
{
	struct str_buf out = {0};

	policy_fields_markdown(&out);
	write_output(ctl, str_buf_view(&out));
	str_buf_free(&out);
	return CTL_EXIT_OK;
}
