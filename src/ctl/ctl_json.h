/*
 * Reads JSON replies of the control group and renders them as text.
 */
#ifndef CTL_CTL_JSON_H
#define CTL_CTL_JSON_H

#include <json-c/json.h>

#include "base/status.h"
#include "base/str.h"

/* STATUS_UNAVAILABLE if the text is not JSON. */
enum status ctl_json_parse(struct str text, struct json_object **root)
    ATTR_NONNULL(2) ATTR_UNUSED_RESULT;
/* A member as string; empty if missing. */
struct str ctl_json_get_string(struct json_object *object, const char *key)
    ATTR_NONNULL(2);
uint64_t
ctl_json_get_u64(struct json_object *object, const char *key) ATTR_NONNULL(2);
bool
ctl_json_get_bool(struct json_object *object, const char *key) ATTR_NONNULL(2);
/* An array member; NULL if missing or not an array. */
struct json_object *
ctl_json_get_array(struct json_object *object, const char *key) ATTR_NONNULL(2);
/* Appends a wall time in the form "2026-01-31 12:00:00 UTC". */
void
ctl_json_append_time(uint64_t wall_us, struct str_buf *out) ATTR_NONNULL_ALL;
/*
 * Appends any value as text: members aligned, lists of objects as tables,
 * multi-line strings indented, wall times in UTC.
 */
void ctl_json_append_text(struct json_object *value, bool colour,
    struct str_buf *out) ATTR_NONNULL(3);

/* Appends any value as indented JSON with a newline. */
void ctl_json_append_pretty(struct json_object *value, struct str_buf *out)
    ATTR_NONNULL(2);

#endif
