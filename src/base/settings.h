/*
 * Program settings, each given by a flag (GLib options) or an environment
 * variable GYPSUMMILL_NAME; the flag takes precedence.  All values are checked
 * at start and all errors are reported at once.
 */
#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum setting_kind {
	SETTING_TEXT, /* char * */
	SETTING_NUMBER, /* uint64_t, with min, max and unit */
	SETTING_BOOL, /* bool */
	SETTING_ADDRESS, /* char *, IP:PORT */
	SETTING_ADDRESS_LIST, /* char *, IP:PORT,IP:PORT,... */
	SETTING_CHOICE, /* char *, one of allowed, a|b|c */
	SETTING_DIRECTORY /* char *, an existing directory */
};

struct setting {
	const char *name; /* flag --name, variable GYPSUMMILL_NAME */
	enum setting_kind kind;
	void *value; /* destination; initially the default */
	const char *unit; /* shown in --help, e.g. "ms" */
	const char *help;
	const char *group; /* heading in --help; NULL: "General" */
	const char *allowed; /* SETTING_CHOICE: a|b|c */
	uint64_t min;
	uint64_t max;
	bool required;
};

struct settings {
	const char *program;
	const char *summary;
	const struct setting *entries;
	unsigned count;
	/*
	 * Checks values that depend on each other; prints a line for each
	 * error to standard error and returns their count.  May be NULL.
	 */
	int (*check)(void);
	bool allow_arguments; /* keep non-flag arguments in argv */
};

/* Exit codes of settings_parse(), as in sysexits(3). */
enum {
	SETTINGS_EXIT_USAGE = 64,
	SETTINGS_EXIT_CONFIG = 78
};

void settings_parse(
    const struct settings *settings, int *argc, char ***argv) ATTR_NONNULL_ALL;
bool settings_parse_address(const char *text, char *ip, unsigned ip_size,
    uint16_t *port) ATTR_NONNULL_ALL;

#endif
