#include "document/policy_convert.h"

#include <stdio.h>
#include <string.h>

#include "base/memory.h"
#include "document/policy_parse.h"

enum {
	FOUND_MAX_BYTES = 80
};

/*
 * Appends an error: the field's path, what was found (NULL: nothing) and what
 * is allowed.  Errors beyond POLICY_ERRORS_MAX are only counted.
 */
void
policy_convert_error(struct policy_convert *convert, const char *path,
    const char *found, const char *allowed)
{
	struct str_buf *out = convert->messages;

	convert->errors++;
	if (convert->errors > POLICY_ERRORS_MAX)
		return;
	if (out->len > 0)
		str_buf_append_c(out, "\n");
	if (convert->name.len > 0)
		str_buf_printf(out, "section %.*s, ", STR_ARG(convert->name));
	str_buf_printf(out,
	    "line %u, %s: ", policy_lines_find(convert->lines, str_from(path)),
	    path);
	if (found == NULL)
		str_buf_append_c(out, "not given");
	else
		str_buf_printf(out, "found \"%.*s\"", FOUND_MAX_BYTES, found);
	str_buf_printf(out, "; allowed: %s", allowed);
}

/*
 * Appends an error for a value that violates its rule.
 */
void
policy_convert_rule_error(struct policy_convert *convert, const char *path,
    const char *found, const struct policy_value_rule *rule)
{
	struct str_buf allowed = {0};

	policy_value_describe(rule, &allowed);
	policy_convert_error(convert, path, found, allowed.data);
	str_buf_free(&allowed);
}

/* Stores a number in a member of 8 or 4 bytes, or of 1 byte as a flag. */
static void
store_number(void *out, uint32_t bytes, uint64_t number)
{
	uint32_t narrow = (uint32_t)number;
	bool flag = number != 0;

	if (bytes == sizeof(number))
		memcpy(out, &number, sizeof(number));
	else if (bytes == sizeof(narrow))
		memcpy(out, &narrow, sizeof(narrow));
	else
		memcpy(out, &flag, sizeof(flag));
}

/*
 * Converts one value by its field's rule; false if the rule does not allow it.
 * Text is copied to the arena.
 */
static bool
store_value(struct policy_convert *convert, const struct policy_field *field,
    const char *text, void *out)
{
	struct str view = str_from(text);
	uint64_t number;

	if (field->rule.kind == POLICY_VALUE_DIGEST)
		return policy_value_parse_digest(view, out);
	if (policy_value_is_text(field->rule.kind)) {
		if (!policy_value_is_valid_text(&field->rule, view))
			return false;
		*(struct str *)out = policy_arena_copy(convert->arena, view);
		return true;
	}
	if (!policy_value_parse_number(&field->rule, view, &number))
		return false;
	store_number(out, field->bytes, number);
	return true;
}

/*
 * Joins the path of a mapping and a key: "service" and "hosts" become
 * "service.hosts".
 */
void
policy_convert_field_path(
    const char *prefix, const char *key, char out[POLICY_PATH_BYTES])
{
	snprintf(out, POLICY_PATH_BYTES, "%s%s%s", prefix,
	    prefix[0] != '\0' ? "." : "", key);
}

/*
 * Converts all fields of a table from the raw to the typed struct; a missing
 * field gets its default or is an error.
 */
void
policy_convert_fields(struct policy_convert *convert, enum policy_table which,
    const char *prefix, const void *raw, void *typed)
{
	const struct policy_field_table *table = &policy_field_tables[which];

	for (uint32_t i = 0; i < table->count; i++) {
		const struct policy_field *field = &table->fields[i];
		const char *given;
		char path[POLICY_PATH_BYTES];

		memcpy(&given, (const char *)raw + field->raw_offset,
		    sizeof(given));
		if (given == NULL && field->default_value != NULL &&
		    field->default_value[0] == '\0')
			continue;
		policy_convert_field_path(prefix, field->key, path);
		if (given == NULL && field->default_value == NULL)
			policy_convert_rule_error(
			    convert, path, NULL, &field->rule);
		else if (!store_value(convert, field,
			     given != NULL ? given : field->default_value,
			     (char *)typed + field->offset))
			policy_convert_rule_error(
			    convert, path, given, &field->rule);
	}
}

/*
 * Formats the path of a list element: "service.routes[2]".
 */
void
policy_convert_element_path(
    const char *list, uint32_t index, char out[POLICY_PATH_BYTES])
{
	snprintf(out, POLICY_PATH_BYTES, "%s[%u]", list, index);
}

/*
 * Converts a list of mappings; returns the typed array.
 */
void *
policy_convert_list(struct policy_convert *convert, enum policy_table which,
    const char *list, const void *raw, size_t raw_bytes, uint32_t count,
    size_t bytes)
{
	char *typed = policy_arena_alloc(convert->arena, count, bytes);

	for (uint32_t i = 0; i < count; i++) {
		char path[POLICY_PATH_BYTES];

		policy_convert_element_path(list, i, path);
		policy_convert_fields(convert, which, path,
		    (const char *)raw + i * raw_bytes, typed + i * bytes);
	}
	return typed;
}

/*
 * Copies a list of names and checks each against a rule.
 */
struct str *
policy_convert_names(struct policy_convert *convert, const char *list,
    const struct policy_value_rule *rule, char *const *raw, uint32_t count)
{
	struct str *names =
	    policy_arena_alloc(convert->arena, count, sizeof(*names));

	for (uint32_t i = 0; i < count; i++) {
		char path[POLICY_PATH_BYTES];

		names[i] = policy_arena_copy(convert->arena, str_from(raw[i]));
		policy_convert_element_path(list, i, path);
		if (!policy_value_is_valid_text(rule, names[i]))
			policy_convert_rule_error(convert, path, raw[i], rule);
	}
	return names;
}

/*
 * Appends an error for each element whose name, at name_offset, an earlier
 * element already has.
 */
void
policy_convert_check_unique(struct policy_convert *convert, const char *list,
    const void *elements, size_t bytes, size_t name_offset, uint32_t count)
{
	const struct str **seen;
	uint32_t mask = 16;

	while (mask < 2 * count)
		mask *= 2;
	seen = mem_calloc(mask, sizeof(const struct str *));
	mask--;
	for (uint32_t i = 0; i < count; i++) {
		const struct str *name = (const void *)((const char *)elements +
		    i * bytes + name_offset);
		uint32_t at = (uint32_t)str_hash(*name) & mask;
		char path[POLICY_PATH_BYTES];

		while (seen[at] != NULL && !str_equal(*seen[at], *name))
			at = (at + 1) & mask;
		if (seen[at] != NULL && name->len > 0) {
			policy_convert_element_path(list, i, path);
			policy_convert_error(convert, path, name->data,
			    "a name that is not in the list yet");
		}
		seen[at] = name;
	}
	mem_free(seen);
}
