#include "ctl/ctl_config.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#define CHECK_PROGRAM "gypsummill-config-check"

/*
 * Returns the arguments of the program, with its name first and NULL last.
 */
static GPtrArray *
make_arguments(const struct ctl *ctl, char *const *arguments)
{
	GPtrArray *list = g_ptr_array_new();

	g_ptr_array_add(list, (gpointer)CHECK_PROGRAM);
	if (ctl->json)
		g_ptr_array_add(list, (gpointer) "--json");
	for (; *arguments != NULL; arguments++)
		g_ptr_array_add(list, *arguments);
	g_ptr_array_add(list, NULL);
	return list;
}

/*
 * Runs the program beside this one, else the one that PATH names.  The parser
 * of the configuration knows the provider's names, so that it can't be linked
 * here; see docs/design/config-check.md.
 */
int
ctl_config(struct ctl *ctl, char *const *arguments)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	GPtrArray *list;

	if (arguments[0] == NULL || strcmp(arguments[0], "check") != 0) {
		g_free(self);
		fputs("usage: gypsummillctl config check FILE [OPTION...]; see "
		      "gypsummillctl config check --help\n",
		    stderr);
		return CTL_EXIT_USAGE;
	}
	list = make_arguments(ctl, arguments + 1);
	if (self != NULL) {
		char *folder = g_path_get_dirname(self);
		char *path = g_build_filename(folder, CHECK_PROGRAM, NULL);

		execv(path, (char *const *)list->pdata);
		g_free(path);
		g_free(folder);
	}
	if (self == NULL || errno == ENOENT)
		execvp(CHECK_PROGRAM, (char *const *)list->pdata);
	fprintf(stderr, "gypsummillctl: %s: %s\n", CHECK_PROGRAM,
	    g_strerror(errno));
	g_ptr_array_unref(list);
	g_free(self);
	return CTL_EXIT_UNAVAILABLE;
}
