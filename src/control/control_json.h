/*
 * JSON responses of the control loop, built with json-c.
 */
#ifndef CONTROL_CONTROL_JSON_H
#define CONTROL_CONTROL_JSON_H

#include <json-c/json.h>

#include "base/str.h"
#include "control/job.h"

/* Each adds a member or replaces the one with the same name. */
void control_json_add_str(struct json_object *object, const char *name,
    struct str text) ATTR_NONNULL(1, 2);
void control_json_add_text(struct json_object *object, const char *name,
    const char *text) ATTR_NONNULL_ALL;
void control_json_add_u64(struct json_object *object, const char *name,
    uint64_t value) ATTR_NONNULL_ALL;
void control_json_add_bool(
    struct json_object *object, const char *name, bool value) ATTR_NONNULL_ALL;
/* Finishes the job with root as its body and releases root. */
void control_json_finish(struct job *job, int http_status,
    struct json_object *root) ATTR_NONNULL_ALL;

#endif
