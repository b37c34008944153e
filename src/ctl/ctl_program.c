#include "ctl/ctl_program.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

/*
 * Returns the arguments of a program, with its name first and NULL last.
 */
static GPtrArray *
make_arguments(
    const struct ctl *ctl, const char *program, char *const *arguments)
{
	GPtrArray *list = g_ptr_array_new();

	g_ptr_array_add(list, (gpointer)program);
	if (ctl->json)
		g_ptr_array_add(list, (gpointer) "--json");
	for (; *arguments != NULL; arguments++)
		g_ptr_array_add(list, *arguments);
	g_ptr_array_add(list, NULL);
	return list;
}

/*
 * Runs the program beside this one, else the one that PATH names.
 */
static int
run_program(const struct ctl *ctl, const char *program, char *const *arguments)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	GPtrArray *list = make_arguments(ctl, program, arguments);

	if (self != NULL) {
		char *folder = g_path_get_dirname(self);
		char *path = g_build_filename(folder, program, NULL);

		execv(path, (char *const *)list->pdata);
		g_free(path);
		g_free(folder);
	}
	if (self == NULL || errno == ENOENT)
		execvp(program, (char *const *)list->pdata);
	fprintf(stderr, "gypsummillctl: %s: %s\n", program, g_strerror(errno));
	g_ptr_array_unref(list);
	g_free(self);
	return CTL_EXIT_UNAVAILABLE;
}

int
ctl_config(struct ctl *ctl, char *const *arguments)
{
	if (arguments[0] == NULL || strcmp(arguments[0], "check") != 0) {
		fputs("usage: gypsummillctl config check FILE [OPTION...]; see "
		      "gypsummillctl config check --help\n",
		    stderr);
		return CTL_EXIT_USAGE;
	}
	return run_program(ctl, "gypsummill-config-check", arguments + 1);
}

int
ctl_state(struct ctl *ctl, char *const *arguments)
{
	return run_program(ctl, "gypsummill-state", arguments);
}

/*
 * Returns the command of this name if a program parses its options; NULL if not.
 */
ctl_program_command *
ctl_program_find(const char *name)
{
	if (strcmp(name, "config") == 0)
		return ctl_config;
	return strcmp(name, "state") == 0 ? ctl_state : NULL;
}
