#include "control/control_json.h"

/*
 * Adds a copy of text.
 */
void
control_json_add_str(
    struct json_object *object, const char *name, struct str text)
{
	json_object_object_add(
	    object, name, json_object_new_string_len(text.data, (int)text.len));
}

/*
 * Adds a copy of a NUL-terminated string.
 */
void
control_json_add_text(
    struct json_object *object, const char *name, const char *text)
{
	json_object_object_add(object, name, json_object_new_string(text));
}

/*
 * Adds an unsigned integer.
 */
void
control_json_add_u64(
    struct json_object *object, const char *name, uint64_t value)
{
	json_object_object_add(object, name, json_object_new_uint64(value));
}

/*
 * Adds a boolean.
 */
void
control_json_add_bool(struct json_object *object, const char *name, bool value)
{
	json_object_object_add(object, name, json_object_new_boolean(value));
}

/*
 * Finishes the job with root, serialized, as its body, which replaces any
 * earlier body, and releases root.
 */
void
control_json_finish(struct job *job, int http_status, struct json_object *root)
{
	str_buf_clear(&job->body);
	str_buf_append_c(&job->body,
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	job_finish(job, http_status, "application/json");
}
