/*
 * Commands that read the document: check, diff, get, history and fields.
 */
#ifndef CTL_CTL_DOCUMENT_H
#define CTL_CTL_DOCUMENT_H

#include "ctl/ctl.h"

int ctl_check(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_diff(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_get(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_history(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
int ctl_fields(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;

#endif
