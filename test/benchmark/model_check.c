#include <stdio.h>
#include <string.h>

#include "model_suite.h"

/* Required limits. */
#define P99_RATIO_80 1.05
#define P999_RATIO_80 1.10
#define P99_RATIO_90 1.15
#define ROUND_TRIP_MS 3.0
#define MESSAGES_PER_CALL 0.05
#define SHARE_AFTER_RECOVERY 2.0
/*
 * Allowed excess of refused calls over least in flight, so that a low latency
 * is not reached by refusing calls.
 */
#define REFUSED_MARGIN 0.0001

enum {
	KNOWN_LINE_MAX_BYTES = 512
};

struct check {
	const char *known_path;
	unsigned broken;
	unsigned known;
	unsigned held;
};

/* Returns whether the file of known failures names the limit in brackets. */
static bool
is_known(const char *path, const char *name)
{
	char wanted[128];
	char line[KNOWN_LINE_MAX_BYTES];
	bool found = false;
	FILE *file = fopen(path, "r");

	if (file == NULL)
		return false;
	snprintf(wanted, sizeof(wanted), "[%s]", name);
	while (!found && fgets(line, sizeof(line), file) != NULL)
		found = strstr(line, wanted) != NULL;
	fclose(file);
	return found;
}

static void
check_limit(struct check *check, const struct suite_scenario *scenario,
    const char *what, double value, double limit)
{
	char name[96];
	const char *verdict = "holds";

	snprintf(name, sizeof(name), "%s: %s", scenario->name, what);
	if (value <= limit) {
		check->held++;
	} else if (is_known(check->known_path, name)) {
		verdict = "KNOWN RED";
		check->known++;
	} else {
		verdict = "BROKEN";
		check->broken++;
	}
	printf("%-9s %-58s %9.4f, bound %9.4f\n", verdict, name, value, limit);
}

static void
check_scenario(struct check *check, const struct suite *suite, uint32_t number)
{
	const struct suite_scenario *scenario = &suite->scenarios[number];
	const struct suite_stats *stats = suite->stats[number];
	const struct suite_stats *expected_delay =
	    &stats[CONTENDER_EXPECTED_DELAY];
	const struct suite_stats *ideal = &stats[CONTENDER_IDEAL];
	const struct suite_stats *least = &stats[CONTENDER_LEAST_IN_FLIGHT];
	double p99 = expected_delay->p99_ms / (ideal->p99_ms + ROUND_TRIP_MS);
	double p999 =
	    expected_delay->p999_ms / (ideal->p999_ms + ROUND_TRIP_MS);

	if (scenario->limits & LIMIT_TAIL_80) {
		check_limit(check, scenario, "p99 ratio", p99, P99_RATIO_80);
		check_limit(
		    check, scenario, "p99.9 ratio", p999, P999_RATIO_80);
	}
	if (scenario->limits & LIMIT_TAIL_90)
		check_limit(check, scenario, "p99 ratio", p99, P99_RATIO_90);
	if (scenario->limits & LIMIT_REPORTS) {
		check_limit(check, scenario, "p99 of least in flight",
		    expected_delay->p99_ms, least->p99_ms);
		check_limit(check, scenario, "p99.9 of least in flight",
		    expected_delay->p999_ms, least->p999_ms);
	}
	if (scenario->limits & LIMIT_HERD)
		check_limit(check, scenario, "share after recovery",
		    expected_delay->share_recovered, SHARE_AFTER_RECOVERY);
	check_limit(check, scenario, "messages a call",
	    expected_delay->messages, MESSAGES_PER_CALL);
	check_limit(check, scenario, "refused over least in flight",
	    expected_delay->refused - least->refused, REFUSED_MARGIN);
}

/*
 * Checks the figures against the limits.
 */
unsigned
suite_check(const struct suite *suite, const char *known_path)
{
	struct check check = {.known_path = known_path};

	for (uint32_t i = 0; i < suite->count; i++)
		check_scenario(&check, suite, i);
	printf("bounds: %u hold, %u known red, %u broken\n", check.held,
	    check.known, check.broken);
	return check.broken;
}
