#include "ctl/ctl_command.h"

#include <string.h>

#include "ctl/ctl_apply.h"
#include "ctl/ctl_burn.h"
#include "ctl/ctl_client.h"
#include "ctl/ctl_document.h"
#include "ctl/ctl_group.h"
#include "ctl/ctl_program.h"

enum {
	ARGUMENTS_MAX = 2
};

/* completion SHELL: prints the completion script; only bash is supported. */
static int
print_completion(struct ctl *ctl, char *const *arguments)
{
	struct str_buf out = {0};

	if (strcmp(arguments[0], "bash") != 0) {
		fprintf(stderr,
		    "gypsummillctl: completion: found \"%s\"; "
		    "allowed: bash\n",
		    arguments[0]);
		return CTL_EXIT_USAGE;
	}
	ctl_command_append_completion(&out);
	fwrite(out.data, 1, out.len, ctl->out);
	str_buf_free(&out);
	return CTL_EXIT_OK;
}

static const struct ctl_command commands[] = {
    {"check", "FILE", 1, 1, false, ctl_check,
	"validate a document without a control group"},
    {"config", "check FILE", 2, 2, false, ctl_config,
	"check a config of gypsummill-core; config check --help"},
    {"state", "FOLDER", 1, 1, false, ctl_state,
	"show what a data folder of gypsummill-core holds; state --help"},
    {"diff", "FILE", 1, 1, true, ctl_diff,
	"show what applying a document would change"},
    {"apply", "FILE", 1, 1, true, ctl_apply,
	"send the sections that differ (--section, --base, --wait)"},
    {"get", "[SECTION]", 0, 1, true, ctl_get,
	"print the accepted text (--revision)"},
    {"delete", "SECTION", 1, 1, true, ctl_delete, "remove a section (--base)"},
    {"history", "[SECTION]", 0, 1, true, ctl_history,
	"list the accepted edits with time, team and author"},
    {"status", "", 0, 0, true, ctl_status,
	"show leader, members, entries and targets (--watch)"},
    {"explain", "ID", 1, 1, true, ctl_explain,
	"show why a call was refused, by the ID in its answer"},
    {"burn", "", 0, 0, true, ctl_burn,
	"show remaining error budgets and who used them (--svg)"},
    {"drain", "TARGET", 1, 1, true, ctl_drain, "give a target no new work"},
    {"members", "", 0, 0, true, ctl_members, "list the control group"},
    {"add-learner", "ID IP:PORT", 2, 2, true, ctl_add_learner,
	"add a learner: a control instance that copies the state"},
    {"promote", "ID", 1, 1, true, ctl_promote,
	"make a learner that has caught up a voter"},
    {"remove", "ID", 1, 1, true, ctl_remove,
	"remove a control instance permanently"},
    {"keys", "[DIR] NAME", 1, 2, false, ctl_keys,
	"create the key pair of a process (--keys)"},
    {"fields", "", 0, 0, false, ctl_fields,
	"print all document fields as Markdown"},
    {"completion", "bash", 1, 1, false, print_completion,
	"print a completion script"},
};

enum {
	COMMAND_COUNT = sizeof(commands) / sizeof(commands[0])
};

/*
 * Finds a command by its name; NULL if there is none.
 */
const struct ctl_command *
ctl_command_find(const char *name)
{
	for (size_t i = 0; i < COMMAND_COUNT; i++) {
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}

/*
 * Checks the number of arguments, opens a client if the command needs one, runs
 * the command and returns its exit code.  Omitted arguments are passed as NULL.
 */
int
ctl_command_run(const struct ctl_command *command, struct ctl *ctl,
    int argument_count, char *const *arguments)
{
	char *padded[ARGUMENTS_MAX + 1] = {NULL};
	enum status status;
	int exit_code;

	if (argument_count < (int)command->min_arguments ||
	    argument_count > (int)command->max_arguments) {
		fprintf(stderr, "usage: gypsummillctl %s %s\n", command->name,
		    command->arguments);
		return CTL_EXIT_USAGE;
	}
	for (int i = 0; i < argument_count; i++)
		padded[i] = arguments[i];
	if (!command->needs_control)
		return command->run(ctl, padded);
	status = ctl_client_open(ctl->settings, &ctl->client);
	if (status != STATUS_OK) {
		ctl_print_error(status);
		return CTL_EXIT_SETTINGS;
	}
	exit_code = command->run(ctl, padded);
	ctl_client_close(ctl->client);
	return exit_code;
}

/*
 * Appends the commands and exit codes for --help.
 */
void
ctl_command_append_help(struct str_buf *out)
{
	str_buf_append_c(out, "Commands:\n");
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		str_buf_printf(out, "  %-11s %-11s %s\n", commands[i].name,
		    commands[i].arguments, commands[i].help);
	str_buf_append_c(out,
	    "\nExit codes: 0 done; 1 differs, conflict or not found; 64 "
	    "usage;\n65 invalid document; 66 unreadable file; 69 control "
	    "unavailable;\n73 file can't be written; 77 denied; 78 "
	    "settings.\nOf config check: 0 good; 1 warnings; 2 errors; 3 "
	    "unreadable; 64 usage.\n");
}

/*
 * Appends a bash completion script that completes the command, then files.  The
 * script reads the options from --help when it runs.
 */
void
ctl_command_append_completion(struct str_buf *out)
{
	str_buf_append_c(out,
	    "# bash completion for gypsummillctl\n"
	    "_gypsummillctl() {\n"
	    "\tlocal word=${COMP_WORDS[COMP_CWORD]}\n"
	    "\tlocal options=$(gypsummillctl --help 2>/dev/null |\n"
	    "\t    grep -o -- '--[a-z-]*' | sort -u)\n"
	    "\tif [[ $word == -* ]]; then\n"
	    "\t\tCOMPREPLY=($(compgen -W \"$options\" -- \"$word\"))\n"
	    "\telif ((COMP_CWORD == 1)); then\n"
	    "\t\tCOMPREPLY=($(compgen -W \"");
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		str_buf_printf(out, "%s%s", i > 0 ? " " : "", commands[i].name);
	str_buf_append_c(out,
	    "\" -- \"$word\"))\n"
	    "\telse\n"
	    "\t\tCOMPREPLY=($(compgen -f -- \"$word\"))\n"
	    "\tfi\n"
	    "}\n"
	    "complete -F _gypsummillctl gypsummillctl\n");
}
