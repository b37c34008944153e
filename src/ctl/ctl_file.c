#include "ctl/ctl_file.h"

#include <stdlib.h>

#include "base/memory.h"
#include "document/document_check.h"
#include "document/document_split.h"
#include "document/policy_parse.h"

/* Appends "path: text" and a newline. */
static void
add_line(struct str_buf *out, const char *path, struct str text)
{
	str_buf_printf(out, "%s: %.*s\n", path, STR_ARG(text));
}

/* Appends each non-empty line of text as "path: line". */
static void
add_lines(struct str_buf *out, const char *path, struct str text)
{
	struct str line;

	while (str_split(&text, '\n', &line)) {
		if (line.len > 0)
			add_line(out, path, line);
	}
}

/*
 * Validates and parses a section.  For the validation, it is padded with empty
 * lines, so that line numbers in messages are those of the file.
 */
static void
check_section(
    const char *path, struct ctl_section *section, struct str_buf *errors)
{
	struct policy_section *parsed;
	struct str_buf padded = {0};
	struct str_buf messages = {0};

	for (uint32_t i = 1; i < section->line; i++)
		str_buf_append_c(&padded, "\n");
	str_buf_append(&padded, section->text);
	if (policy_section_check(
		str_buf_view(&padded), 0, &parsed, &messages) == STATUS_OK) {
		policy_section_put(parsed);
		if (policy_section_parse(section->text, 0, &parsed) ==
		    STATUS_OK)
			section->parsed = parsed;
	} else
		add_lines(errors, path, str_buf_view(&messages));
	str_buf_free(&padded);
	str_buf_free(&messages);
}

/* Splits the file at separator lines; validates and parses each section. */
static void
parse_sections(const char *path, struct ctl_file *file)
{
	struct str rest = str_buf_view(&file->bytes);
	struct document_split_part part;
	uint32_t line = 1;

	while (document_split_next(&rest, &line, &part)) {
		struct ctl_section *section;

		file->sections = mem_resize(file->sections,
		    (file->count + 1) * sizeof(*file->sections));
		section = &file->sections[file->count++];
		*section = (struct ctl_section){
		    .text = part.text,
		    .line = part.line,
		};
		check_section(path, section, &file->errors);
	}
	if (file->count == 0)
		add_line(&file->errors, path,
		    STR_LITERAL("the file has no section"));
}

/* If the file has the fleet section, it must list the team of each section. */
static void
check_teams(
    const char *path, struct ctl_file *file, struct document_sections sections)
{
	bool has_fleet_section = false;

	for (uint32_t i = 0; i < sections.count; i++)
		has_fleet_section =
		    has_fleet_section || sections.list[i]->kind == POLICY_FLEET;
	for (uint32_t i = 0; has_fleet_section && i < sections.count; i++) {
		const struct policy_section *section = sections.list[i];

		if (document_check_find_team(sections, section->team) == NULL)
			str_buf_printf(&file->errors,
			    "%s: section %.*s, team: found \"%.*s\"; "
			    "allowed: a team of fleet.teams\n",
			    path, STR_ARG(section->name),
			    STR_ARG(section->team));
	}
}

/*
 * Checks each section against those before it, as control does, and for
 * duplicate names.
 */
static void
check_all_sections(const char *path, struct ctl_file *file)
{
	struct policy_section **list =
	    mem_calloc(file->count, sizeof(struct policy_section *));
	struct document_sections sections = {.list = list};

	for (uint32_t i = 0; i < file->count; i++) {
		const struct ctl_section *section = &file->sections[i];

		if (section->parsed == NULL)
			continue;
		for (uint32_t k = 0; k < sections.count; k++) {
			if (str_equal(list[k]->name, section->parsed->name))
				str_buf_printf(&file->errors,
				    "%s: line %u, section: found \"%.*s\" "
				    "again; allowed: each section once\n",
				    path, section->line,
				    STR_ARG(section->parsed->name));
		}
		if (document_check_section(sections, section->parsed) !=
		    STATUS_OK)
			add_line(
			    &file->errors, path, str_from(status_message()));
		list[sections.count++] = section->parsed;
	}
	check_teams(path, file, sections);
	mem_free(list);
}

/* Returns whether a tenant of the file matches; all sections must be valid. */
static bool
matches_tenant(const struct ctl_file *file, struct str pattern)
{
	for (uint32_t i = 0; i < file->count; i++) {
		const struct policy_section *section = file->sections[i].parsed;

		for (uint32_t k = 0; k < section->tenant_count; k++) {
			if (policy_pattern_matches(
				pattern, section->tenants[k].name))
				return true;
		}
	}
	return false;
}

/* Warns if a pattern matches no tenant; location: route name or "limits". */
static void
warn_if_unmatched(const char *path, struct ctl_file *file,
    const struct policy_section *section, struct str location,
    struct str pattern)
{
	if (matches_tenant(file, pattern))
		return;
	str_buf_printf(&file->warnings,
	    "%s: section %.*s, %.*s: \"%.*s\" matches no tenant of this "
	    "file\n",
	    path, STR_ARG(section->name), STR_ARG(location), STR_ARG(pattern));
}

/* Warns of patterns in a service's routes and limits that match no tenant. */
static void
warn_unmatched_in_service(const char *path, struct ctl_file *file,
    const struct policy_section *section)
{
	const struct policy_service *service = &section->service;

	for (uint32_t i = 0; i < service->route_count; i++) {
		const struct policy_route *route = &service->routes[i];

		for (uint32_t k = 0; k < route->tenant_count; k++)
			warn_if_unmatched(path, file, section, route->name,
			    route->tenants[k]);
	}
	for (uint32_t i = 0; i < service->limit_count; i++)
		warn_if_unmatched(path, file, section, STR_LITERAL("limits"),
		    service->limits[i].tenant);
}

/*
 * Warns of all patterns that match no tenant.  Does nothing without a tenants
 * section, as the tenants may be in another file, or if a section is invalid.
 */
static void
warn_unmatched_patterns(const char *path, struct ctl_file *file)
{
	bool has_tenants_section = false;

	for (uint32_t i = 0; i < file->count; i++) {
		if (file->sections[i].parsed == NULL)
			return;
		if (file->sections[i].parsed->kind == POLICY_TENANTS)
			has_tenants_section = true;
	}
	for (uint32_t i = 0; has_tenants_section && i < file->count; i++) {
		if (file->sections[i].parsed->kind == POLICY_SERVICE)
			warn_unmatched_in_service(
			    path, file, file->sections[i].parsed);
	}
}

/*
 * Reads and validates a file; see ctl_file.h.  The caller must call
 * ctl_file_free() even after an error, as errors may hold the error texts.
 */
enum status
ctl_file_read(const char *path, struct ctl_file *file)
{
	enum status status;

	*file = (struct ctl_file){0};
	status = ctl_read_file(path, &file->bytes);
	if (status != STATUS_OK)
		return status;
	parse_sections(path, file);
	check_all_sections(path, file);
	warn_unmatched_patterns(path, file);
	if (file->errors.len > 0)
		return status_set(STATUS_INVALID, "%s is not valid", path);
	return STATUS_OK;
}

/*
 * Frees the sections and texts; a zeroed struct is allowed.
 */
void
ctl_file_free(struct ctl_file *file)
{
	for (uint32_t i = 0; i < file->count; i++)
		policy_section_put(file->sections[i].parsed);
	mem_free(file->sections);
	str_buf_free(&file->bytes);
	str_buf_free(&file->errors);
	str_buf_free(&file->warnings);
	*file = (struct ctl_file){0};
}

/*
 * Finds a valid section by its name; NULL if there is none.
 */
const struct ctl_section *
ctl_file_find_section(const struct ctl_file *file, struct str name)
{
	for (uint32_t i = 0; i < file->count; i++) {
		if (file->sections[i].parsed != NULL &&
		    str_equal(file->sections[i].parsed->name, name))
			return &file->sections[i];
	}
	return NULL;
}

/*
 * Returns STATUS_NOT_FOUND if the file has no section of that name; NULL, for
 * --section not given, is always found.
 */
enum status
ctl_file_require_section(const struct ctl_file *file, const char *name)
{
	if (name == NULL || ctl_file_find_section(file, str_from(name)) != NULL)
		return STATUS_OK;
	return status_set(STATUS_NOT_FOUND, "the file has no section %s", name);
}

/* qsort() comparator: by kind, then by line. */
static int
compare_sections(const void *a, const void *b)
{
	const struct ctl_section *x = a;
	const struct ctl_section *y = b;

	if (x->parsed->kind != y->parsed->kind)
		return x->parsed->kind < y->parsed->kind ? -1 : 1;
	return x->line < y->line ? -1 : 1;
}

/*
 * Sorts the sections into the order of application: fleet, tenants, services.
 * All sections must be valid.
 */
void
ctl_file_sort(struct ctl_file *file)
{
	qsort(file->sections, file->count, sizeof(*file->sections),
	    compare_sections);
}
