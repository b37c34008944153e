/*
 * The command "config": checks a configuration of gypsummill-core.
 */
#ifndef CTL_CTL_CONFIG_H
#define CTL_CTL_CONFIG_H

#include "ctl/ctl.h"

/*
 * config check ...: replaces the process by gypsummill-config-check with the
 * arguments, which end with NULL.  Returns only if that can't be run.
 */
int ctl_config(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;

#endif
