/*
 * Commands on the running system: status, explain, drain, members, add-learner,
 * promote, remove and keys.
 */
#ifndef CTL_CTL_GROUP_H
#define CTL_CTL_GROUP_H

#include <json-c/json.h>

#include "ctl/ctl.h"

int ctl_status(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_explain(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_drain(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_members(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_add_learner(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_promote(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_remove(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_keys(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
/* Appends the reply of /status as text. */
void ctl_status_render(struct json_object *status, bool colour,
    struct str_buf *out) ATTR_NONNULL_ALL;

#endif
