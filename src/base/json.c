#include "base/json.h"

#include <string.h>

/*
 * Parses a text that consists of one JSON object; trailing white space is
 * allowed.  Returns NULL on any other text.
 */
struct json_object *
json_parse_object(struct str text)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *json;
	size_t used;

	json_tokener_set_flags(
	    tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
	json = json_tokener_parse_ex(tokener, text.data, (int)text.len);
	used = json_tokener_get_parse_end(tokener);
	if (json_tokener_get_error(tokener) != json_tokener_success ||
	    str_trim(str_of(text.data + used, text.len - used)).len > 0 ||
	    !json_object_is_type(json, json_type_object)) {
		json_object_put(json);
		json = NULL;
	}
	json_tokener_free(tokener);
	return json;
}

/*
 * Returns a string field; NULL when it is missing, has another type or contains
 * a NUL, after which the rest would be lost.
 */
const char *
json_get_text(struct json_object *from, const char *name)
{
	struct json_object *field;
	const char *text;

	if (!json_object_object_get_ex(from, name, &field) ||
	    !json_object_is_type(field, json_type_string))
		return NULL;
	text = json_object_get_string(field);
	return strlen(text) == (size_t)json_object_get_string_len(field) ? text
									 : NULL;
}

/*
 * Reads an integer field of 0 to max; false when it is missing, of another type
 * or out of range.  Numbers above INT64_MAX are read as INT64_MAX.
 */
bool
json_get_u64(
    struct json_object *from, const char *name, uint64_t max, uint64_t *value)
{
	struct json_object *field;
	int64_t number;

	if (!json_object_object_get_ex(from, name, &field) ||
	    !json_object_is_type(field, json_type_int))
		return false;
	number = json_object_get_int64(field);
	if (number < 0 || (uint64_t)number > max)
		return false;
	*value = (uint64_t)number;
	return true;
}
