/*
 * gypsummillctl: validates and applies the document, explains refused calls and
 * manages the running system.
 */
#include <string.h>
#include <unistd.h>

#include "base/settings.h"
#include "ctl/ctl_command.h"
#include "ctl/ctl_program.h"

enum {
	TIMEOUT_MAX_MS = 600000,
	WATCH_MAX_S = 3600
};

static struct ctl_settings settings = {
    .wait = (char *)"accepted",
    .output = (char *)"text",
    .colour = (char *)"auto",
    .timeout_ms = 15000,
};

static const struct setting setting_list[] = {
    {.name = "controls",
	.kind = SETTING_ADDRESS_LIST,
	.value = &settings.controls,
	.unit = "IP:PORT,...",
	.help = "Operator ports of the control instances"},
    {.name = "ca",
	.kind = SETTING_TEXT,
	.value = &settings.ca,
	.unit = "FILE",
	.help = "Trusted certificates (PEM); enables HTTPS"},
    {.name = "token",
	.kind = SETTING_TEXT,
	.value = &settings.token,
	.unit = "TOKEN",
	.help = "Token of the team; safer in the environment or a file"},
    {.name = "token-file",
	.kind = SETTING_TEXT,
	.value = &settings.token_file,
	.unit = "FILE",
	.help = "Tokens, a line \"TEAM TOKEN\" each, or one token"},
    {.name = "section",
	.kind = SETTING_TEXT,
	.value = &settings.section,
	.unit = "NAME",
	.help = "apply, diff: only this section of the file"},
    {.name = "base",
	.kind = SETTING_TEXT,
	.value = &settings.base,
	.unit = "REVISION|FILE|current",
	.help = "apply, delete: what the change is based on"},
    {.name = "author",
	.kind = SETTING_TEXT,
	.value = &settings.author,
	.unit = "NAME",
	.help = "apply, delete: author of the edit, for the history"},
    {.name = "edit-id",
	.kind = SETTING_TEXT,
	.value = &settings.edit_id,
	.unit = "ID",
	.help = "apply, delete: resend the edit of this ID after a lost reply"},
    {.name = "wait",
	.kind = SETTING_CHOICE,
	.value = &settings.wait,
	.unit = "accepted|in-force",
	.help = "apply, delete: when to return",
	.allowed = "accepted|in-force"},
    {.name = "revision",
	.kind = SETTING_NUMBER,
	.value = &settings.revision,
	.unit = "NUMBER",
	.help = "get, diff: older revision of a section",
	.min = 1,
	.max = UINT64_MAX},
    {.name = "watch",
	.kind = SETTING_NUMBER,
	.value = &settings.watch_s,
	.unit = "s",
	.help = "status: refresh interval",
	.min = 1,
	.max = WATCH_MAX_S},
    {.name = "svg",
	.kind = SETTING_TEXT,
	.value = &settings.svg,
	.unit = "FILE",
	.help = "burn: write an SVG chart to a file"},
    {.name = "keys",
	.kind = SETTING_DIRECTORY,
	.value = &settings.keys,
	.unit = "FOLDER",
	.help = "keys: folder for the key pair"},
    {.name = "output",
	.kind = SETTING_CHOICE,
	.value = &settings.output,
	.unit = "text|json",
	.help = "Output format",
	.allowed = "text|json"},
    {.name = "colour",
	.kind = SETTING_CHOICE,
	.value = &settings.colour,
	.unit = "auto|always|never",
	.help = "Coloured output; auto: only on a terminal",
	.allowed = "auto|always|never"},
    {.name = "timeout",
	.kind = SETTING_NUMBER,
	.value = &settings.timeout_ms,
	.unit = "ms",
	.help = "Time limit of a request and of --wait in-force",
	.min = 100,
	.max = TIMEOUT_MAX_MS},
};

/* Returns whether to colour the output; "auto": if stdout is a terminal. */
static bool
use_colour(void)
{
	struct str colour = str_from(settings.colour);

	if (str_equal_c(colour, "auto"))
		return isatty(STDOUT_FILENO) == 1;
	return str_equal_c(colour, "always");
}

/*
 * Parses the settings, then runs the command named by the first argument.
 */
int
main(int argc, char **argv)
{
	struct str_buf summary = {0};
	struct settings description = {
	    .program = "gypsummillctl",
	    .entries = setting_list,
	    .count = sizeof(setting_list) / sizeof(setting_list[0]),
	    .allow_arguments = true,
	};
	ctl_program_command *program;
	const struct ctl_command *command;
	struct ctl ctl = {.settings = &settings, .out = stdout};

	program = argc > 1 ? ctl_program_find(argv[1]) : NULL;
	if (program != NULL)
		return program(&ctl, argv + 2);
	ctl_command_append_help(&summary);
	description.summary = summary.data;
	settings_parse(&description, &argc, &argv);
	str_buf_free(&summary);
	command = argc > 1 ? ctl_command_find(argv[1]) : NULL;
	if (command == NULL) {
		fprintf(stderr,
		    "gypsummillctl: %s%s; see gypsummillctl --help\n",
		    argc > 1 ? "unknown command " : "no command given",
		    argc > 1 ? argv[1] : "");
		return CTL_EXIT_USAGE;
	}
	ctl.json = str_equal_c(str_from(settings.output), "json");
	ctl.colour = use_colour();
	return ctl_command_run(command, &ctl, argc - 2, argv + 2);
}
