/*
 * The apply and delete commands, which send edits to the control group.
 */
#ifndef CTL_CTL_APPLY_H
#define CTL_CTL_APPLY_H

#include "ctl/ctl.h"

int ctl_apply(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_delete(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;

#endif
