/*
 * Commands about gypsummill-core, which other programs carry out: what they read
 * has the provider's names, so that their code can't be linked here.
 */
#ifndef CTL_CTL_PROGRAM_H
#define CTL_CTL_PROGRAM_H

#include "ctl/ctl.h"

/*
 * These replace the process by a program with the arguments, which end with
 * NULL, and return only if that can't be run.
 */

/* config check ...: checks a configuration, with gypsummill-config-check. */
int ctl_config(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;
/* state ...: what data folders hold, with gypsummill-state. */
int ctl_state(struct ctl *ctl, char *const *arguments) ATTR_NONNULL_ALL;

typedef int ctl_program_command(struct ctl *ctl, char *const *arguments);
/* The command of this name if a program parses its options; NULL if not. */
ctl_program_command *ctl_program_find(const char *name) ATTR_NONNULL_ALL;

#endif
