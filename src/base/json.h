/*
 * Reading of JSON from outside with json-c.
 */
#ifndef BASE_JSON_H
#define BASE_JSON_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "base/str.h"

/* Returns NULL unless the text is exactly one JSON object in UTF-8. */
struct json_object *json_parse_object(struct str text) ATTR_UNUSED_RESULT;
/* Returns NULL when the field is missing or has another type. */
const char *
json_get_text(struct json_object *from, const char *name) ATTR_NONNULL(2);
/* False when the field is missing, has another type or is above max. */
bool json_get_u64(struct json_object *from, const char *name, uint64_t max,
    uint64_t *value) ATTR_NONNULL(2, 4);

#endif
