/*
 * What the commands of gypsummillctl share: the settings, the exit codes
 * and where output goes.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdio.h>

#include "base/status.h"
#include "base/str.h"

enum ctl_exit {
	CTL_EXIT_OK = 0,
	CTL_EXIT_DIFFERS = 1, /* differs, conflict, not found */
	CTL_EXIT_USAGE = 64,
	CTL_EXIT_INVALID = 65, /* the document is not valid */
	CTL_EXIT_NO_INPUT = 66, /* a file can't be read */
	CTL_EXIT_UNAVAILABLE = 69, /* no control instance answers */
	CTL_EXIT_CANT_CREATE = 73, /* a file can't be written */
	CTL_EXIT_DENIED = 77,
	CTL_EXIT_SETTINGS = 78
};

struct ctl_settings {
	char *controls; /* IP:PORT,... of the operators' ports */
	char *token;
	char *token_file;
	char *ca; /* certificates to trust; NULL: plain HTTP */
	char *section;
	char *base; /* "current", a revision or a file; NULL: none */
	char *author;
	char *edit_id;
	char *wait; /* "accepted" or "in-force" */
	char *keys;
	char *output; /* "text" or "json" */
	char *colour; /* "auto", "always" or "never" */
	char *svg;
	uint64_t revision; /* 0: the current one */
	uint64_t watch_s; /* 0: once */
	uint64_t timeout_ms;
};

struct ctl_client;

struct ctl {
	struct ctl_settings *settings;
	struct ctl_client *client; /* NULL for commands without control */
	FILE *out;
	bool json;
	bool colour;
};

/* Prints the last message to standard error and returns the exit code. */
int ctl_print_error(enum status status);
int ctl_exit_code(enum status status);
/* STATUS_IO when the file can't be read whole. */
enum status ctl_read_file(
    const char *path, struct str_buf *out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
