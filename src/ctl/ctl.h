/*
 * Definitions shared by the commands of gypsummillctl: settings, exit codes
 * and the output stream.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdio.h>

#include "base/status.h"
#include "base/str.h"

enum ctl_exit {
	CTL_EXIT_OK = 0,
	CTL_EXIT_DIFFERS = 1, /* difference, conflict or not found */
	CTL_EXIT_USAGE = 64,
	CTL_EXIT_INVALID = 65, /* document not valid */
	CTL_EXIT_NO_INPUT = 66, /* input file not readable */
	CTL_EXIT_UNAVAILABLE = 69, /* no control instance replied */
	CTL_EXIT_CANT_CREATE = 73, /* output file not writable */
	CTL_EXIT_DENIED = 77,
	CTL_EXIT_SETTINGS = 78 /* setting missing or not valid */
};

struct ctl_settings {
	char *controls; /* IP:PORT,... of the operator ports */
	char *token;
	char *token_file;
	char *ca; /* PEM file of trusted certificates; NULL: HTTP */
	char *section;
	char *base; /* "current", a revision or a file; NULL: none */
	char *author;
	char *edit_id;
	char *wait; /* "accepted" or "in-force" */
	char *keys;
	char *output; /* "text" or "json" */
	char *colour; /* "auto", "always" or "never" */
	char *svg;
	uint64_t revision; /* 0: current */
	uint64_t watch_s; /* status: refresh interval; 0: print once */
	uint64_t timeout_ms;
};

struct ctl_client;

struct ctl {
	struct ctl_settings *settings;
	struct ctl_client *client; /* NULL if the command needs none */
	FILE *out;
	bool json;
	bool colour;
};

/* Prints status_message() to stderr; returns the exit code of status. */
int ctl_print_error(enum status status);
int ctl_exit_code(enum status status);
/* STATUS_IO if the file can't be opened or read to its end. */
enum status ctl_read_file(
    const char *path, struct str_buf *out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
