#include "ctl/ctl_json.h"

#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/memory.h"
#include "ctl/ctl_table.h"

enum {
	TIME_BYTES = 40,
	KEY_WIDTH_MAX = 32
};

/*
 * Parses a reply.  *root is released with json_object_put().
 * STATUS_UNAVAILABLE, with *root set to NULL, if the text is not JSON.
 */
enum status
ctl_json_parse(struct str text, struct json_object **root)
{
	char *copy = str_dup(text);

	*root = json_tokener_parse(copy);
	mem_free(copy);
	if (*root == NULL)
		return status_set(
		    STATUS_UNAVAILABLE, "control's reply is not JSON");
	return STATUS_OK;
}

/*
 * Returns a member as string, also a number; empty if it is missing or null.
 * Borrowed from the object.
 */
struct str
ctl_json_get_string(struct json_object *object, const char *key)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, key, &member))
		return str_of("", 0);
	return str_from(json_object_get_string(member));
}

/*
 * Returns a member as unsigned integer; 0 if it is missing or not a number.
 */
uint64_t
ctl_json_get_u64(struct json_object *object, const char *key)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, key, &member))
		return 0;
	return json_object_get_uint64(member);
}

/*
 * Returns whether a member is present and true.
 */
bool
ctl_json_get_bool(struct json_object *object, const char *key)
{
	struct json_object *member;

	return json_object_object_get_ex(object, key, &member) &&
	    json_object_get_boolean(member);
}

/*
 * Returns an array member, borrowed; NULL if it is missing or of another type.
 */
struct json_object *
ctl_json_get_array(struct json_object *object, const char *key)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, key, &member) ||
	    !json_object_is_type(member, json_type_array))
		return NULL;
	return member;
}

/*
 * Appends a wall time, given in µs since 1970, as date and time in UTC.
 */
void
ctl_json_append_time(uint64_t wall_us, struct str_buf *out)
{
	time_t seconds = (time_t)(wall_us / US_PER_S);
	char text[TIME_BYTES];
	struct tm tm;

	gmtime_r(&seconds, &tm);
	strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S UTC", &tm);
	str_buf_append_c(out, text);
}

/* Returns whether value is neither an object nor an array. */
static bool
is_scalar(struct json_object *value)
{
	return !json_object_is_type(value, json_type_object) &&
	    !json_object_is_type(value, json_type_array);
}

/* Returns whether members of this name are wall times in µs. */
static bool
is_wall_time(const char *key)
{
	return strcmp(key, "wall_us") == 0 || strcmp(key, "accepted_us") == 0;
}

/* Appends a scalar as text; null as empty. */
static void
append_scalar(const char *key, struct json_object *value, struct str_buf *out)
{
	if (json_object_is_type(value, json_type_boolean))
		str_buf_append_c(
		    out, json_object_get_boolean(value) ? "yes" : "no");
	else if (is_wall_time(key) && json_object_is_type(value, json_type_int))
		ctl_json_append_time(json_object_get_uint64(value), out);
	else if (value != NULL)
		str_buf_append_c(out, json_object_get_string(value));
}

/* Returns whether value is a string that contains a newline. */
static bool
is_multiline(struct json_object *value)
{
	return json_object_is_type(value, json_type_string) &&
	    strchr(json_object_get_string(value), '\n') != NULL;
}

/* Appends the lines of a text, each indented. */
static void
append_indented(struct str text, struct str_buf *out)
{
	struct str line;

	while (text.len > 0 && str_split(&text, '\n', &line))
		str_buf_printf(out, "    %.*s\n", STR_ARG(line));
}

/*
 * Appends a list of objects as a table.  The columns are the scalar members of
 * the first object.
 */
static void
append_table(struct json_object *list, bool colour, struct str_buf *out)
{
	struct json_object *first = json_object_array_get_idx(list, 0);
	struct str_buf headings = {0};
	struct ctl_table *table;

	json_object_object_foreach (first, key, member) {
		if (is_scalar(member))
			str_buf_printf(&headings, "%s%s",
			    headings.len > 0 ? "|" : "", key);
	}
	table = ctl_table_new(headings.data, colour);
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *row = json_object_array_get_idx(list, i);
		struct str rest = str_buf_view(&headings);
		struct str name;

		while (str_split(&rest, '|', &name)) {
			char *column = str_dup(name);
			struct json_object *cell =
			    json_object_object_get(row, column);
			struct str_buf text = {0};

			append_scalar(column, cell, &text);
			ctl_table_add_cell(table, str_buf_view(&text));
			str_buf_free(&text);
			mem_free(column);
		}
	}
	ctl_table_render(table, out);
	ctl_table_free(table);
	str_buf_free(&headings);
}

/* Returns whether value is an object with a scalar member, for a table. */
static bool
has_scalar_member(struct json_object *value)
{
	if (!json_object_is_type(value, json_type_object))
		return false;
	json_object_object_foreach (value, key, member) {
		(void)key;
		if (is_scalar(member))
			return true;
	}
	return false;
}

/* Appends a list: objects as a table, other values one per line. */
static void
append_list(struct json_object *list, bool colour, struct str_buf *out)
{
	struct json_object *first = json_object_array_get_idx(list, 0);

	if (has_scalar_member(first)) {
		append_table(list, colour, out);
		return;
	}
	for (size_t i = 0; i < json_object_array_length(list); i++)
		str_buf_printf(out, "    %s\n",
		    json_object_get_string(json_object_array_get_idx(list, i)));
}

/* Returns the width of the key column in bytes, at most KEY_WIDTH_MAX. */
static int
key_width(struct json_object *object)
{
	size_t width = 0;

	json_object_object_foreach (object, key, member) {
		if (is_scalar(member) && strlen(key) > width)
			width = strlen(key);
	}
	return (int)(width < KEY_WIDTH_MAX ? width : KEY_WIDTH_MAX);
}

/*
 * Appends the one-line scalar members, then each other member below its key.
 * Empty lists are omitted.
 */
static void
append_object(struct json_object *object, bool colour, struct str_buf *out)
{
	int width = key_width(object);

	json_object_object_foreach (object, key, member) {
		if (!is_scalar(member) || is_multiline(member))
			continue;
		str_buf_printf(out, "%-*s  ", width, key);
		append_scalar(key, member, out);
		str_buf_append_c(out, "\n");
	}
	json_object_object_foreach (object, name, value) {
		if (is_scalar(value) && !is_multiline(value))
			continue;
		if (json_object_is_type(value, json_type_array) &&
		    json_object_array_length(value) == 0)
			continue;
		str_buf_printf(out, "\n%s:\n", name);
		if (is_multiline(value))
			append_indented(
			    str_from(json_object_get_string(value)), out);
		else
			ctl_json_append_text(value, colour, out);
	}
}

/*
 * Appends any value as text.
 */
void
ctl_json_append_text(
    struct json_object *value, bool colour, struct str_buf *out)
{
	if (json_object_is_type(value, json_type_array))
		append_list(value, colour, out);
	else if (json_object_is_type(value, json_type_object))
		append_object(value, colour, out);
	else
		str_buf_printf(out, "%s\n", json_object_get_string(value));
}

/*
 * Appends a value as indented JSON with a newline.
 */
void
ctl_json_append_pretty(struct json_object *value, struct str_buf *out)
{
	str_buf_printf(out, "%s\n",
	    json_object_to_json_string_ext(value, JSON_C_TO_STRING_PRETTY));
}
