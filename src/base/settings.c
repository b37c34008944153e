#include "base/settings.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <glib.h>

#include "base/memory.h"
#include "base/str.h"

enum {
	VARIABLE_BYTES = 96,
	IP_BYTES = 64,
	MAX_ALLOWED_BYTES = 256
};

struct source {
	char *text; /* as given, or NULL */
	char *description; /* help line, referenced by GLib */
	const char *origin; /* "flag" or "environment" */
};

/*
 * Writes the name of the environment variable of a flag, such as
 * GYPSUMMILL_LOG_LEVEL for log-level, truncated to VARIABLE_BYTES.
 */
static void
environment_name(const char *name, char out[VARIABLE_BYTES])
{
	size_t used = (size_t)snprintf(out, VARIABLE_BYTES, "GYPSUMMILL_");

	for (; *name != '\0' && used + 1 < VARIABLE_BYTES; name++)
		out[used++] =
		    *name == '-' ? '_' : (char)toupper((unsigned char)*name);
	out[used] = '\0';
}

/*
 * Splits IP:PORT ([v6]:PORT for IPv6).  Returns false when text does not have
 * that form; host names are not resolved.
 */
bool
settings_parse_address(
    const char *text, char *ip, unsigned ip_size, uint16_t *port)
{
	unsigned char scratch[sizeof(struct in6_addr)];
	const char *colon = strrchr(text, ':');
	struct str host;
	uint64_t number;

	if (colon == NULL || !str_to_u64(str_from(colon + 1), &number) ||
	    number > UINT16_MAX)
		return false;
	host = str_of(text, (size_t)(colon - text));
	if (host.len >= 2 && host.data[0] == '[' &&
	    host.data[host.len - 1] == ']')
		host = str_of(host.data + 1, host.len - 2);
	if (host.len == 0 || host.len >= ip_size)
		return false;
	memcpy(ip, host.data, host.len);
	ip[host.len] = '\0';
	*port = (uint16_t)number;
	return inet_pton(AF_INET, ip, scratch) == 1 ||
	    inet_pton(AF_INET6, ip, scratch) == 1;
}

/*
 * Returns whether text is a comma-separated list of IP:PORT.
 */
static bool
is_address_list(const char *text)
{
	struct str rest = str_from(text);
	struct str item;

	while (str_split(&rest, ',', &item)) {
		char *copy = str_dup(item);
		char ip[IP_BYTES];
		uint16_t port;
		bool ok = settings_parse_address(copy, ip, sizeof(ip), &port);

		mem_free(copy);
		if (!ok)
			return false;
	}
	return true;
}

/*
 * Returns whether text is one of the words in allowed, separated by bars.
 */
static bool
is_choice(const char *text, const char *allowed)
{
	struct str rest = str_from(allowed);
	struct str item;

	while (str_split(&rest, '|', &item)) {
		if (str_equal_c(item, text))
			return true;
	}
	return false;
}

/*
 * Returns whether text names an existing directory.
 */
static bool
is_directory(const char *text)
{
	struct stat st;

	return stat(text, &st) == 0 && S_ISDIR(st.st_mode);
}

/*
 * Parses true, 1, false or 0; returns false and leaves *value unchanged for any
 * other text.
 */
static bool
parse_bool(const char *text, bool *value)
{
	if (strcmp(text, "true") == 0 || strcmp(text, "1") == 0)
		*value = true;
	else if (strcmp(text, "false") == 0 || strcmp(text, "0") == 0)
		*value = false;
	else
		return false;
	return true;
}

/*
 * Describes the values that a setting accepts, for an error message.
 */
static void
describe_allowed(const struct setting *s, char out[MAX_ALLOWED_BYTES])
{
	const char *unit = s->unit != NULL ? s->unit : "";

	switch (s->kind) {
	case SETTING_NUMBER:
		snprintf(out, MAX_ALLOWED_BYTES,
		    "a whole number from %llu to %llu %s",
		    (unsigned long long)s->min, (unsigned long long)s->max,
		    unit);
		break;
	case SETTING_BOOL:
		snprintf(out, MAX_ALLOWED_BYTES, "true or false");
		break;
	case SETTING_ADDRESS:
		snprintf(out, MAX_ALLOWED_BYTES, "an address IP:PORT");
		break;
	case SETTING_ADDRESS_LIST:
		snprintf(out, MAX_ALLOWED_BYTES,
		    "a comma-separated list of IP:PORT");
		break;
	case SETTING_CHOICE:
		snprintf(out, MAX_ALLOWED_BYTES, "one of %s", s->allowed);
		break;
	case SETTING_DIRECTORY:
		snprintf(out, MAX_ALLOWED_BYTES, "an existing directory");
		break;
	case SETTING_TEXT:
		snprintf(out, MAX_ALLOWED_BYTES, "a non-empty string");
		break;
	}
}

/*
 * Parses a text according to the setting's kind and stores the value; returns
 * false and stores nothing when it is invalid.  A stored string is a copy that
 * lives as long as the process.
 */
static bool
store_value(const struct setting *s, const char *text)
{
	char ip[IP_BYTES];
	uint16_t port;
	uint64_t number;

	switch (s->kind) {
	case SETTING_NUMBER:
		if (!str_to_u64(str_from(text), &number) || number < s->min ||
		    number > s->max)
			return false;
		*(uint64_t *)s->value = number;
		return true;
	case SETTING_BOOL:
		return parse_bool(text, s->value);
	case SETTING_ADDRESS:
		if (!settings_parse_address(text, ip, sizeof(ip), &port))
			return false;
		break;
	case SETTING_ADDRESS_LIST:
		if (!is_address_list(text))
			return false;
		break;
	case SETTING_CHOICE:
		if (!is_choice(text, s->allowed))
			return false;
		break;
	case SETTING_DIRECTORY:
		if (!is_directory(text))
			return false;
		break;
	case SETTING_TEXT:
		if (text[0] == '\0')
			return false;
		break;
	}
	*(char **)s->value = str_dup(str_from(text));
	return true;
}

/*
 * Stores one setting, or prints why it is missing or invalid.  Returns the
 * number of errors, 0 or 1.
 */
static int
apply_setting(const struct setting *s, const struct source *source)
{
	char allowed[MAX_ALLOWED_BYTES];
	char variable[VARIABLE_BYTES];

	environment_name(s->name, variable);
	describe_allowed(s, allowed);
	if (source->text == NULL) {
		if (!s->required)
			return 0;
		fprintf(stderr, "setting --%s (%s): missing; needs %s\n",
		    s->name, variable, allowed);
		return 1;
	}
	if (store_value(s, source->text))
		return 0;
	fprintf(stderr, "setting --%s (%s, from the %s): \"%s\" is not %s\n",
	    s->name, variable, source->origin, source->text, allowed);
	return 1;
}

/*
 * Returns the help line of a setting, with its default; owned by the caller.
 */
static char *
format_help(const struct setting *s)
{
	struct str_buf text = {0};
	const char *value;

	str_buf_append_c(&text, s->help);
	switch (s->kind) {
	case SETTING_NUMBER:
		if (!s->required)
			str_buf_printf(&text, " (default %llu)",
			    (unsigned long long)*(uint64_t *)s->value);
		break;
	case SETTING_BOOL:
		str_buf_printf(&text, " (default %s)",
		    *(bool *)s->value ? "true" : "false");
		break;
	default:
		value = *(char **)s->value;
		if (value != NULL && value[0] != '\0')
			str_buf_printf(&text, " (default %s)", value);
		break;
	}
	if (s->required)
		str_buf_append_c(&text, "; required");
	return text.data;
}

/*
 * Returns the GLib option of a setting.  It points to the source, which must
 * live until the flags are parsed and help is printed.
 */
static GOptionEntry
make_option(const struct setting *s, struct source *source)
{
	source->description = format_help(s);
	return (GOptionEntry){
	    .long_name = s->name,
	    .arg = G_OPTION_ARG_STRING,
	    .arg_data = &source->text,
	    .description = source->description,
	    .arg_description = s->unit != NULL ? s->unit : "VALUE",
	};
}

/*
 * Returns the heading of a setting in the help text.
 */
static const char *
group_name(const struct setting *s)
{
	return s->group != NULL ? s->group : "General";
}

/*
 * Returns whether a setting before the one at index until has the same group,
 * so that each group is added once.
 */
static bool
is_group_added(const struct settings *settings, unsigned until)
{
	for (unsigned i = 0; i < until; i++) {
		if (strcmp(group_name(&settings->entries[i]),
			group_name(&settings->entries[until])) == 0)
			return true;
	}
	return false;
}

/*
 * Adds the group of the setting at index first, with all its settings.
 */
static void
add_group(GOptionContext *context, const struct settings *settings,
    struct source *sources, unsigned first)
{
	const char *name = group_name(&settings->entries[first]);
	GOptionGroup *group = g_option_group_new(name, name, name, NULL, NULL);
	GOptionEntry *options =
	    mem_calloc(settings->count + 1, sizeof(*options));
	unsigned count = 0;

	for (unsigned i = first; i < settings->count; i++) {
		if (strcmp(group_name(&settings->entries[i]), name) == 0)
			options[count++] =
			    make_option(&settings->entries[i], &sources[i]);
	}
	g_option_group_add_entries(group, options);
	g_option_context_add_group(context, group);
	mem_free(options);
}

/*
 * Reads the settings not given by a flag from the environment, and records the
 * origin of each for error messages.
 */
static void
read_environment(const struct settings *settings, struct source *sources)
{
	for (unsigned i = 0; i < settings->count; i++) {
		char variable[VARIABLE_BYTES];
		const char *text;

		sources[i].origin = "flag";
		if (sources[i].text != NULL)
			continue;
		environment_name(settings->entries[i].name, variable);
		text = getenv(variable);
		if (text == NULL)
			continue;
		sources[i].text = g_strdup(text);
		sources[i].origin = "environment";
	}
}

struct common_flags {
	gboolean help;
	gboolean version;
	gboolean check;
};

/*
 * Returns the parser of all settings and the common flags;
 * g_option_context_free() releases it.  GLib's own --help is disabled, since it
 * exits the process.
 */
static GOptionContext *
new_context(const struct settings *settings, struct source *sources,
    struct common_flags *flags)
{
	GOptionContext *context = g_option_context_new(
	    settings->allow_arguments ? "COMMAND [ARGUMENT...]" : NULL);
	const GOptionEntry common[] = {
	    {"help", 'h', 0, G_OPTION_ARG_NONE, &flags->help,
		"Print this help and exit", NULL},
	    {"version", 0, 0, G_OPTION_ARG_NONE, &flags->version,
		"Print the version and exit", NULL},
	    {"check-settings", 0, 0, G_OPTION_ARG_NONE, &flags->check,
		"Check all settings and exit (0 or 78)", NULL},
	    {0},
	};

	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_set_summary(context, settings->summary);
	g_option_context_set_description(context,
	    "Each option --some-name may also be given as the environment "
	    "variable\nGYPSUMMILL_SOME_NAME; the option takes precedence.\n");
	g_option_context_add_main_entries(context, common, NULL);
	for (unsigned i = 0; i < settings->count; i++) {
		if (!is_group_added(settings, i))
			add_group(context, settings, sources, i);
	}
	return context;
}

/*
 * Prints the help of all groups to standard output.
 */
static void
print_help(GOptionContext *context)
{
	char *text = g_option_context_get_help(context, FALSE, NULL);

	fputs(text, stdout);
	g_free(text);
}

/*
 * Parses the command line into the sources.  Exits the process after --help and
 * --version (0) and on an unknown flag or argument (64).
 */
static void
parse_flags(const struct settings *settings, struct source *sources,
    struct common_flags *flags, int *argc, char ***argv)
{
	GOptionContext *context = new_context(settings, sources, flags);
	GError *error = NULL;

	if (!g_option_context_parse(context, argc, argv, &error)) {
		fprintf(stderr, "%s: %s\n", settings->program, error->message);
		exit(SETTINGS_EXIT_USAGE);
	}
	if (flags->help) {
		print_help(context);
		exit(0);
	}
	if (flags->version) {
		printf("%s %s\n", settings->program, GYPSUMMILL_VERSION);
		exit(0);
	}
	if (!settings->allow_arguments && *argc > 1) {
		fprintf(stderr, "%s: unexpected argument \"%s\"\n",
		    settings->program, (*argv)[1]);
		exit(SETTINGS_EXIT_USAGE);
	}
	g_option_context_free(context);
}

/*
 * Reads flags and environment into the values of the settings.  Exits the
 * process after --help and --version (0), --check-settings (0 or 78), an
 * unknown flag (64) and invalid values (78, each printed to standard error).
 */
void
settings_parse(const struct settings *settings, int *argc, char ***argv)
{
	struct source *sources = mem_calloc(settings->count, sizeof(*sources));
	struct common_flags flags = {0};
	int errors = 0;

	parse_flags(settings, sources, &flags, argc, argv);
	read_environment(settings, sources);
	for (unsigned i = 0; i < settings->count; i++) {
		errors += apply_setting(&settings->entries[i], &sources[i]);
		g_free(sources[i].text);
		mem_free(sources[i].description);
	}
	mem_free(sources);
	if (errors == 0 && settings->check != NULL)
		errors = settings->check();
	if (errors > 0)
		exit(SETTINGS_EXIT_CONFIG);
	if (flags.check)
		exit(0);
}
