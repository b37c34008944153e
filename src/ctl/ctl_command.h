/*
 * Table of the gypsummillctl commands.
 */
#ifndef CTL_CTL_COMMAND_H
#define CTL_CTL_COMMAND_H

#include "ctl/ctl.h"

struct ctl_command {
	const char *name;
	const char *arguments; /* "FILE", "[SECTION]", "ID ADDRESS" */
	unsigned min_arguments;
	unsigned max_arguments;
	bool needs_control; /* needs --controls */
	int (*run)(struct ctl *ctl, char *const *arguments);
	const char *help;
};

const struct ctl_command *ctl_command_find(const char *name) ATTR_NONNULL_ALL;
/* Runs a command; argument_count excludes the command's name. */
int ctl_command_run(const struct ctl_command *command, struct ctl *ctl,
    int argument_count, char *const *arguments) ATTR_NONNULL_ALL;
/* Appends the list of commands and exit codes for --help. */
void ctl_command_append_help(struct str_buf *out) ATTR_NONNULL_ALL;
/* Appends a bash completion script. */
void ctl_command_append_completion(struct str_buf *out) ATTR_NONNULL_ALL;

#endif
