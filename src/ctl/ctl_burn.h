/*
 * The burn command: reports the use of error budgets as a table or an SVG
 * chart.
 */
#ifndef CTL_CTL_BURN_H
#define CTL_CTL_BURN_H

#include <json-c/json.h>

#include "ctl/ctl.h"

int ctl_burn(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
/* Both take a report as made by burn_json(). */
void ctl_burn_table(struct json_object *report, bool colour,
    struct str_buf *out) ATTR_NONNULL_ALL;
void
ctl_burn_svg(struct json_object *report, struct str_buf *out) ATTR_NONNULL_ALL;

#endif
