/*
 * Reading control's JSON answers and showing them to people.
 */
#ifndef CTL_CTL_JSON_H
#define CTL_CTL_JSON_H

#include <json-c/json.h>

#include "base/status.h"
#include "base/str.h"

/* STATUS_UNAVAILABLE when the text is not JSON. */
enum status ctl_json_parse(struct str text, struct json_object **root)
    ATTR_NONNULL(2) ATTR_UNUSED_RESULT;
/* A member as text; empty when it is missing. */
struct str ctl_json_get_string(struct json_object *object, const char *key)
    ATTR_NONNULL(2);
uint64_t
ctl_json_get_u64(struct json_object *object, const char *key) ATTR_NONNULL(2);
bool
ctl_json_get_bool(struct json_object *object, const char *key) ATTR_NONNULL(2);
/* An array member; NULL when it is missing or no array. */
struct json_object *
ctl_json_get_array(struct json_object *object, const char *key) ATTR_NONNULL(2);
/* Wall time as "2026-01-31 12:00:00 UTC". */
void
ctl_json_append_time(uint64_t wall_us, struct str_buf *out) ATTR_NONNULL_ALL;
/*
 * Any value for people: members aligned, lists as tables, long texts
 * indented, *_us as time.
 */
void ctl_json_append_text(struct json_object *value, bool colour,
    struct str_buf *out) ATTR_NONNULL(3);

/* Any value for programs: indented JSON and a line end. */
void ctl_json_append_pretty(struct json_object *value, struct str_buf *out)
    ATTR_NONNULL(2);

#endif
