#include <stdio.h>
#include <string.h>

#include "model_suite.h"

enum {
	CALLS = 120000,
	STRAGGLER_SLOW_US = 2000000,
	REPORT_DELAY_US = 1000000
};

static const struct model_config base = {
    .targets = 16,
    .slots = 4,
    .entries = 17,
    .load = 0.8,
    .mean_us = 10000,
    .straggler_slow_us = STRAGGLER_SLOW_US,
    .report_delay_us = REPORT_DELAY_US,
    .calls = CALLS,
};

struct fault_scenario {
	const char *name;
	uint32_t faults;
	double load;
	uint64_t straggler_slow_us;
	uint64_t report_delay_us;
	uint32_t limits;
};

static const struct fault_scenario fault_scenarios[] = {
    {"straggler 200 ms", FAULT_STRAGGLER, 0.8, 200000, 0, LIMIT_HERD},
    {"straggler 10 s", FAULT_STRAGGLER, 0.8, 10000000, 0, LIMIT_HERD},
    {"fail-fast", FAULT_FAIL_FAST, 0.8, 0, 0, 0},
    {"reports idle", FAULT_IDLE_REPORT, 0.8, 0, 0, LIMIT_REPORTS},
    {"reports frozen", FAULT_FROZEN_REPORT, 0.8, 0, 0, LIMIT_REPORTS},
    {"reports idle", FAULT_IDLE_REPORT, 0.9, 0, 0, LIMIT_REPORTS},
    {"reports frozen", FAULT_FROZEN_REPORT, 0.9, 0, 0, LIMIT_REPORTS},
    {"reports late 100 ms", FAULT_LATE_REPORT, 0.8, 0, 100000, LIMIT_REPORTS},
    {"reports late 1 s", FAULT_LATE_REPORT, 0.8, 0, 1000000, LIMIT_REPORTS},
    {"reports late 100 ms", FAULT_LATE_REPORT, 0.9, 0, 100000, LIMIT_REPORTS},
    {"reports late 1 s", FAULT_LATE_REPORT, 0.9, 0, 1000000, LIMIT_REPORTS},
    {"reports late 5 s", FAULT_LATE_REPORT, 0.9, 0, 5000000, LIMIT_REPORTS},
    {"cold starts", FAULT_COLD_START, 0.8, 0, 0, LIMIT_HERD},
    {"rolling drain", FAULT_DRAIN, 0.8, 0, 0, LIMIT_HERD},
    {"domain lost", FAULT_DOMAIN_LOSS, 0.5, 0, 0, 0},
    {"5 entries lost", FAULT_ENTRY_LOSS, 0.8, 0, 0, 0},
    {"straggler, idle", FAULT_STRAGGLER | FAULT_IDLE_REPORT, 0.8, 0, 0,
	LIMIT_REPORTS | LIMIT_HERD},
    {"straggler, frozen", FAULT_STRAGGLER | FAULT_FROZEN_REPORT, 0.8, 0, 0,
	LIMIT_REPORTS | LIMIT_HERD},
    {"straggler, late 1 s", FAULT_STRAGGLER | FAULT_LATE_REPORT, 0.8, 0,
	1000000, LIMIT_REPORTS | LIMIT_HERD},
    {"straggler, cold", FAULT_STRAGGLER | FAULT_COLD_START, 0.8, 0, 0,
	LIMIT_HERD},
    {"straggler, drain", FAULT_STRAGGLER | FAULT_DRAIN, 0.8, 0, 0, LIMIT_HERD},
    {"straggler, entries", FAULT_STRAGGLER | FAULT_ENTRY_LOSS, 0.8, 0, 0,
	LIMIT_HERD},
    {"fail-fast, idle", FAULT_FAIL_FAST | FAULT_IDLE_REPORT, 0.8, 0, 0,
	LIMIT_REPORTS},
    {"fail-fast, straggler", FAULT_FAIL_FAST | FAULT_STRAGGLER, 0.7, 0, 0,
	LIMIT_HERD},
    {"cold, entries", FAULT_COLD_START | FAULT_ENTRY_LOSS, 0.8, 0, 0,
	LIMIT_HERD},
    {"domain, straggler", FAULT_DOMAIN_LOSS | FAULT_STRAGGLER, 0.5, 0, 0, 0},
};

static void
add_scenario(struct suite *suite, const struct model_config *config,
    const char *fault, uint32_t limits)
{
	struct suite_scenario *scenario = &suite->scenarios[suite->count];
	const char *tail =
	    config->service == SERVICE_HYPEREXPONENTIAL ? "h" : "";

	if (suite->count == SUITE_SCENARIOS_MAX)
		return;
	scenario->config = *config;
	scenario->limits = limits;
	snprintf(scenario->name, sizeof(scenario->name),
	    "%ux%u %.0f%% %.0fms%s %s", config->targets, config->slots,
	    config->load * 100, config->mean_us / 1000, tail, fault);
	suite->count++;
}

/*
 * The scenarios with limits for the tail latency: every mean service time,
 * number of slots and load.
 */
static void
add_tail_scenarios(struct suite *suite)
{
	static const double means[] = {2000, 10000, 50000};

	for (uint32_t slots = 4; slots >= 2; slots -= 2) {
		for (int m = 0; m < 3; m++) {
			struct model_config config = base;

			config.slots = slots;
			config.mean_us = means[m];
			config.faults = FAULT_STRAGGLER;
			add_scenario(suite, &config, "straggler",
			    LIMIT_TAIL_80 | LIMIT_HERD);
			config.load = 0.9;
			add_scenario(suite, &config, "straggler",
			    LIMIT_TAIL_90 | LIMIT_HERD);
		}
	}
}

static void
add_faults(struct suite *suite)
{
	size_t count = sizeof(fault_scenarios) / sizeof(fault_scenarios[0]);

	for (size_t i = 0; i < count; i++) {
		const struct fault_scenario *row = &fault_scenarios[i];
		struct model_config config = base;

		config.load = row->load;
		config.faults = row->faults;
		if (row->straggler_slow_us > 0)
			config.straggler_slow_us = row->straggler_slow_us;
		if (row->report_delay_us > 0)
			config.report_delay_us = row->report_delay_us;
		add_scenario(suite, &config, row->name, row->limits);
	}
}

/* Further loads and sizes, without limits for the tail latency. */
static void
add_unlimited_scenarios(struct suite *suite)
{
	static const double loads[] = {0.5, 0.8, 0.9, 0.95, 1.05};
	struct model_config config;

	for (int i = 0; i < 5; i++) {
		config = base;
		config.load = loads[i];
		add_scenario(suite, &config, "healthy", 0);
	}
	config = base;
	config.slots = 2;
	add_scenario(suite, &config, "healthy", 0);
	config = base;
	config.faults = FAULT_STRAGGLER;
	config.service = SERVICE_HYPEREXPONENTIAL;
	add_scenario(suite, &config, "straggler", LIMIT_HERD);
	config = base;
	config.faults = FAULT_STRAGGLER;
	config.targets = 8;
	add_scenario(suite, &config, "straggler", LIMIT_HERD);
	config.targets = 10;
	config.slots = 2;
	config.entries = 15;
	add_scenario(suite, &config, "straggler", LIMIT_HERD);
	config = base;
	config.faults = FAULT_STRAGGLER;
	config.entries = 16;
	add_scenario(suite, &config, "straggler 16 entries", LIMIT_HERD);
}

/*
 * Fills the list of scenarios; with only, just those whose name contains that
 * text.
 */
void
suite_list(struct suite *suite, bool quick, const char *only)
{
	uint32_t selected = 0;

	add_tail_scenarios(suite);
	add_faults(suite);
	if (!quick)
		add_unlimited_scenarios(suite);
	for (uint32_t i = 0; i < suite->count; i++) {
		if (quick && suite->scenarios[i].limits == 0)
			continue;
		if (only != NULL &&
		    strstr(suite->scenarios[i].name, only) == NULL)
			continue;
		suite->scenarios[selected++] = suite->scenarios[i];
	}
	suite->count = selected;
}
