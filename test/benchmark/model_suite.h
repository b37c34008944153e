/*
 * The scenarios and contenders of the benchmark, run over several seeds, and
 * the limits for the expected-delay policy.
 */
#ifndef MODEL_SUITE_H
#define MODEL_SUITE_H

#include "model.h"

enum {
	SUITE_SEEDS_MAX = 9,
	SUITE_SCENARIOS_MAX = 64
};

enum suite_contender {
	CONTENDER_IDEAL,
	CONTENDER_RANDOM,
	CONTENDER_ROUND_ROBIN,
	CONTENDER_LEAST_IN_FLIGHT,
	CONTENDER_POWER_OF_TWO,
	CONTENDER_PEAK_LATENCY,
	CONTENDER_EXPECTED_DELAY,
	CONTENDER_EXPECTED_DELAY_UNHEDGED,
	CONTENDER_EXPECTED_DELAY_SUBSET, /* the lookup names 4 entries */
	CONTENDER_COUNT
};

enum suite_limit {
	LIMIT_TAIL_80 = 1 << 0, /* p99 within 1.05, p99.9 within 1.10 */
	LIMIT_TAIL_90 = 1 << 1, /* p99 within 1.15 */
	LIMIT_REPORTS = 1 << 2, /* not worse than least in flight */
	LIMIT_HERD = 1 << 3 /* at most 2 fair shares after a recovery */
};

struct suite_scenario {
	char name[48];
	struct model_config config;
	uint32_t limits; /* enum suite_limit */
};

/* Medians over the seeds, and half the range of p99. */
struct suite_stats {
	double p50_ms;
	double p99_ms;
	double p99_spread_ms;
	double p999_ms;
	double refused; /* ratio of all calls */
	double messages; /* hedges, retries, cancels per call */
	double bytes; /* of reports and additional messages per call */
	double share_max;
	double share_recovered;
};

struct suite {
	struct suite_scenario scenarios[SUITE_SCENARIOS_MAX];
	uint32_t count;
	bool contenders[CONTENDER_COUNT];
	uint32_t seeds;
	uint32_t threads;
	struct suite_stats stats[SUITE_SCENARIOS_MAX][CONTENDER_COUNT];
};

/* Lists the scenarios; with quick, only those with limits. */
void suite_list(struct suite *suite, bool quick, const char *only);
void suite_run(struct suite *suite);
void suite_print(const struct suite *suite);
/*
 * Prints each limit and whether it holds.  Returns the number of violations
 * that the file of known failures doesn't name.
 */
unsigned suite_check(const struct suite *suite, const char *known_path);

#endif
