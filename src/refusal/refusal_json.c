#include <json-c/json.h>

#include "refusal/refusal.h"

enum {
	MS_PER_S = 1000
};

/*
 * Adds a NUL-terminated string.
 */
static void
add_text(struct json_object *object, const char *name, const char *text)
{
	json_object_object_add(object, name, json_object_new_string(text));
}

/*
 * Adds a number.
 */
static void
add_number(struct json_object *object, const char *name, uint64_t value)
{
	json_object_object_add(object, name, json_object_new_uint64(value));
}

/*
 * Appends the object as JSON and frees it.
 */
static void
render_and_free(struct json_object *object, struct str_buf *out)
{
	str_buf_append_c(out,
	    json_object_to_json_string_ext(object,
		JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(object);
}

/*
 * Appends the body of application/problem+json (RFC 9457).  text is the
 * document's text for callers, or empty for the default.  retry_after is in
 * whole seconds, as in the Retry-After header, and omitted if a retry is not
 * worthwhile.
 */
void
refusal_problem_json(
    const struct refusal *refusal, struct str text, struct str_buf *out)
{
	struct json_object *object = json_object_new_object();
	const char *code = refusal_reason_name(refusal->reason);
	struct str_buf type = {0};

	str_buf_printf(&type, "urn:gypsummill:refusal:%s", code);
	add_text(object, "type", type.data);
	str_buf_free(&type);
	add_text(object, "title", refusal_default_text(refusal->reason));
	json_object_object_add(object, "status",
	    json_object_new_int(refusal_http_status(refusal->reason)));
	if (text.len == 0)
		text = str_from(refusal_default_text(refusal->reason));
	json_object_object_add(object, "detail",
	    json_object_new_string_len(text.data, (int)text.len));
	add_text(object, "outcome", refusal_outcome_name(refusal->outcome));
	add_text(object, "code", code);
	add_text(object, "rule", refusal->rule);
	add_text(object, "section", refusal->section);
	add_number(object, "revision", refusal->section_revision);
	add_text(object, "refusal", refusal->id);
	if (refusal->retry_after_ms > 0)
		add_number(object, "retry_after",
		    (refusal->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	render_and_free(object, out);
}

/*
 * Returns the figures with their bounds as an array owned by the caller.
 */
static struct json_object *
figures_json(const struct refusal *refusal)
{
	struct json_object *array = json_object_new_array();

	for (unsigned i = 0; i < refusal->figure_count; i++) {
		const struct refusal_figure *figure = &refusal->figures[i];
		struct json_object *object = json_object_new_object();

		add_text(object, "name", figure->name);
		add_number(object, "value", figure->value);
		add_number(object, "bound", figure->bound);
		json_object_array_add(array, object);
	}
	return array;
}

/*
 * Appends everything stored about a refusal: the deciding rule, the section
 * and its revision, and the figures with their bounds at that moment.
 */
void
refusal_explain_json(const struct refusal *refusal, struct str_buf *out)
{
	struct json_object *object = json_object_new_object();

	add_text(object, "refusal", refusal->id);
	add_text(object, "outcome", refusal_outcome_name(refusal->outcome));
	add_text(object, "code", refusal_reason_name(refusal->reason));
	json_object_object_add(object, "status",
	    json_object_new_int(refusal_http_status(refusal->reason)));
	add_text(object, "service", refusal->service);
	add_text(object, "route", refusal->route);
	add_text(object, "tenant", refusal->tenant);
	add_text(object, "section", refusal->section);
	add_text(object, "rule", refusal->rule);
	add_number(object, "revision", refusal->section_revision);
	add_number(object, "wall_us", refusal->wall_us);
	add_number(object, "retry_after_ms", refusal->retry_after_ms);
	json_object_object_add(object, "figures", figures_json(refusal));
	render_and_free(object, out);
}
