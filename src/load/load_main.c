/*
 * gypsummill-load: an open-loop load generator that checks every answer.
 */
#include <signal.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/settings.h"
#include "base/str.h"
#include "load/load_report.h"
#include "load/load_run.h"

enum {
	EXIT_WRONG_ANSWERS =
	    1, /* an answer was wrong, truncated or disconnected */
	EXIT_DATA = 65, /* EX_DATAERR */
	EXIT_IO = 74 /* EX_IOERR */
};

static char *entries;
static char *direct;
static char *mix_path;
static char *phases = (char *)"100:5";
static char *json_path;
static char *csv_path;
static char *svg_path;
static char *compare_paths;
static uint64_t connections = 64;
static uint64_t seed = 1;
static uint64_t warm_up_ms;
static bool quiet;

static const struct setting setting_table[] = {
    {.name = "entries",
	.group = "Addresses",
	.kind = SETTING_ADDRESS_LIST,
	.value = &entries,
	.unit = "IP:PORT,...",
	.help = "Known entries, queried for the entries of a service"},
    {.name = "direct",
	.group = "Addresses",
	.kind = SETTING_ADDRESS_LIST,
	.value = &direct,
	.unit = "IP:PORT,...",
	.help = "Targets to call directly, bypassing the entries"},
    {.name = "mix",
	.group = "Load",
	.kind = SETTING_TEXT,
	.value = &mix_path,
	.unit = "FILE",
	.help = "File with routes, weights, tenants and sizes"},
    {.name = "phases",
	.group = "Load",
	.kind = SETTING_TEXT,
	.value = &phases,
	.unit = "RATE:SECONDS,...",
	.help = "Phases of the load: calls per second and duration"},
    {.name = "connections",
	.group = "Load",
	.kind = SETTING_NUMBER,
	.value = &connections,
	.unit = "connections",
	.min = 1,
	.max = 2000,
	.help = "Keep-alive connections, each with a thread"},
    {.name = "seed",
	.group = "Load",
	.kind = SETTING_NUMBER,
	.value = &seed,
	.min = 0,
	.max = UINT64_MAX,
	.help = "Seed of arrivals, routes and nonces"},
    {.name = "warm-up",
	.group = "Load",
	.kind = SETTING_NUMBER,
	.value = &warm_up_ms,
	.unit = "ms",
	.min = 0,
	.max = 600000,
	.help = "Initial time whose calls are sent and checked but not "
		"included in the latency figures"},
    {.name = "json",
	.group = "Results",
	.kind = SETTING_TEXT,
	.value = &json_path,
	.unit = "FILE",
	.help = "Write the results as JSON to this file"},
    {.name = "csv",
	.group = "Results",
	.kind = SETTING_TEXT,
	.value = &csv_path,
	.unit = "FILE",
	.help = "Write a line per call to this file"},
    {.name = "plot",
	.group = "Results",
	.kind = SETTING_TEXT,
	.value = &svg_path,
	.unit = "FILE",
	.help = "Write an SVG plot to this file"},
    {.name = "compare",
	.group = "Results",
	.kind = SETTING_TEXT,
	.value = &compare_paths,
	.unit = "FILE,FILE",
	.help = "Compare two result files and exit"},
    {.name = "quiet",
	.group = "Results",
	.kind = SETTING_BOOL,
	.value = &quiet,
	.unit = "true|false",
	.help = "Do not print the table"},
};

/*
 * Prints the message of the last error; returns the given exit code.
 */
static int
print_error(int exit_code)
{
	fprintf(stderr, "gypsummill-load: %s\n", status_message());
	return exit_code;
}

/*
 * Prints the comparison for --compare; returns the exit code.
 */
static int
compare_files(void)
{
	struct str rest = str_from(compare_paths);
	struct str first;
	char *name;
	enum status status;

	if (!str_split(&rest, ',', &first) || rest.data == NULL) {
		fprintf(stderr, "--compare needs FILE,FILE\n");
		return SETTINGS_EXIT_USAGE;
	}
	name = str_dup(first);
	status = load_report_compare(name, rest.data, stdout);
	mem_free(name);
	return status == STATUS_OK ? 0 : print_error(EXIT_DATA);
}

/*
 * Writes the results in each requested format; stops at the first failure.
 */
static enum status
write_results(const struct load_report *report)
{
	enum status status = STATUS_OK;

	if (!quiet)
		load_report_print_table(report, stdout);
	if (json_path != NULL)
		status = load_report_write_json(report, json_path);
	if (status == STATUS_OK && csv_path != NULL)
		status = load_report_write_csv(report, csv_path);
	if (status == STATUS_OK && svg_path != NULL)
		status = load_report_write_svg(report, svg_path);
	return status;
}

/*
 * Plans, runs and reports a load; returns the exit code.
 */
static int
run_load(void)
{
	static struct load_mix mix;
	struct load_plan plan;
	struct load_report *report;
	struct load_run run = {
	    .plan = &plan,
	    .mix = &mix,
	    .entries = entries,
	    .direct = direct,
	    .connections = (unsigned)connections,
	};
	bool is_clean;

	if (load_mix_read(mix_path, &mix) != STATUS_OK ||
	    load_plan_make(&plan, phases, &mix, seed) != STATUS_OK)
		return print_error(EXIT_DATA);
	run.reasons = load_reasons_new();
	load_run(&run);
	report =
	    load_report_new(&plan, &mix, run.reasons, warm_up_ms * US_PER_MS);
	is_clean = load_report_is_clean(report);
	if (write_results(report) != STATUS_OK)
		return print_error(EXIT_IO);
	load_report_free(report);
	load_reasons_free(run.reasons);
	load_plan_free(&plan);
	return is_clean ? 0 : EXIT_WRONG_ANSWERS;
}

/*
 * Compares two results or runs a load.  Exits with 0, with EXIT_WRONG_ANSWERS,
 * or with a code of sysexits(3).
 */
int
main(int argc, char **argv)
{
	struct settings settings = {
	    .program = "gypsummill-load",
	    .summary = "Sends an open-loop load and checks every answer.",
	    .entries = setting_table,
	    .count = sizeof(setting_table) / sizeof(setting_table[0]),
	};

	settings_parse(&settings, &argc, &argv);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_ALL);
	if (compare_paths != NULL)
		return compare_files();
	if (mix_path == NULL || (entries == NULL) == (direct == NULL)) {
		fprintf(stderr,
		    "gypsummill-load: needs --mix, and either "
		    "--entries or --direct\n");
		return SETTINGS_EXIT_USAGE;
	}
	return run_load();
}
