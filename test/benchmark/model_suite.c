#include "model_suite.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <urcu.h>

#include "base/memory.h"

enum {
	ENTRIES_NAMED = 4
};

struct cell {
	uint32_t scenario;
	enum suite_contender contender;
	uint32_t seed;
	struct suite_stats stats;
};

struct work {
	struct suite *suite;
	struct cell *cells;
	uint32_t count;
	atomic_uint next;
};

static const char *const contender_names[CONTENDER_COUNT] = {
    [CONTENDER_IDEAL] = "ideal",
    [CONTENDER_RANDOM] = "random",
    [CONTENDER_ROUND_ROBIN] = "round robin",
    [CONTENDER_LEAST_IN_FLIGHT] = "least in flight",
    [CONTENDER_POWER_OF_TWO] = "power of two",
    [CONTENDER_PEAK_LATENCY] = "peak latency",
    [CONTENDER_EXPECTED_DELAY] = "chosen",
    [CONTENDER_EXPECTED_DELAY_UNHEDGED] = "chosen, no hedges",
    [CONTENDER_EXPECTED_DELAY_SUBSET] = "chosen, 4 entries",
};

static enum balance_policy
policy_of(enum suite_contender contender)
{
	switch (contender) {
	case CONTENDER_RANDOM:
		return BALANCE_RANDOM;
	case CONTENDER_ROUND_ROBIN:
		return BALANCE_ROUND_ROBIN;
	case CONTENDER_LEAST_IN_FLIGHT:
		return BALANCE_LEAST_IN_FLIGHT;
	case CONTENDER_POWER_OF_TWO:
		return BALANCE_POWER_OF_TWO;
	case CONTENDER_PEAK_LATENCY:
		return BALANCE_PEAK_LATENCY;
	default:
		return BALANCE_EXPECTED_DELAY;
	}
}

static struct suite_stats
stats_of(struct model_result *result)
{
	double calls = result->calls > 0 ? (double)result->calls : 1.0;
	uint64_t messages = result->hedges + result->retries + result->cancels;

	return (struct suite_stats){
	    .p50_ms = model_result_quantile_ms(result, 0.5),
	    .p99_ms = model_result_quantile_ms(result, 0.99),
	    .p999_ms = model_result_quantile_ms(result, 0.999),
	    .refused = (double)(result->refused + result->lost) / calls,
	    .messages = (double)messages / calls,
	    .bytes = (double)result->bytes / calls,
	    .share_max = result->share_max,
	    .share_recovered = result->share_recovered,
	};
}

static void
run_cell(const struct suite *suite, struct cell *cell)
{
	struct model_config config = suite->scenarios[cell->scenario].config;
	struct model_result result;

	config.seed = cell->seed + 1;
	config.policy = policy_of(cell->contender);
	config.hedge = cell->contender == CONTENDER_EXPECTED_DELAY ||
	    cell->contender == CONTENDER_EXPECTED_DELAY_SUBSET;
	if (cell->contender == CONTENDER_EXPECTED_DELAY_SUBSET)
		config.entries_in_lookup = ENTRIES_NAMED;
	if (cell->contender == CONTENDER_IDEAL)
		model_ideal(&config, &result);
	else
		model_run(&config, &result);
	cell->stats = stats_of(&result);
	model_result_free(&result);
}

static void *
run_cells(void *arg)
{
	struct work *work = arg;
	uint32_t i;

	rcu_register_thread();
	while ((i = atomic_fetch_add(&work->next, 1)) < work->count)
		run_cell(work->suite, &work->cells[i]);
	rcu_unregister_thread();
	return NULL;
}

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/*
 * Returns the median of the figure at an offset, over the seeds of one
 * scenario and contender.
 */
static double
median(const struct cell *cells, uint32_t seeds, size_t offset, double *spread)
{
	double values[SUITE_SEEDS_MAX];

	for (uint32_t i = 0; i < seeds; i++)
		memcpy(&values[i], (const char *)&cells[i].stats + offset,
		    sizeof(double));
	qsort(values, seeds, sizeof(double), compare);
	if (spread != NULL)
		*spread = (values[seeds - 1] - values[0]) / 2;
	return values[seeds / 2];
}

static struct suite_stats
medians(const struct cell *cells, uint32_t seeds)
{
	struct suite_stats stats = {0};
	double *to = (double *)&stats;

	for (size_t i = 0; i < sizeof(stats) / sizeof(double); i++)
		to[i] = median(cells, seeds, i * sizeof(double), NULL);
	median(cells, seeds, offsetof(struct suite_stats, p99_ms),
	    &stats.p99_spread_ms);
	return stats;
}

/*
 * Runs every scenario for every contender and seed, in parallel on the suite's
 * threads.
 */
void
suite_run(struct suite *suite)
{
	uint32_t most = suite->count * CONTENDER_COUNT * suite->seeds;
	struct work work = {.suite = suite,
	    .cells = mem_calloc(most > 0 ? most : 1, sizeof(struct cell))};
	pthread_t threads[16];

	for (uint32_t s = 0; s < suite->count; s++) {
		for (uint32_t c = 0; c < CONTENDER_COUNT; c++) {
			for (uint32_t n = 0;
			     suite->contenders[c] && n < suite->seeds; n++)
				work.cells[work.count++] = (struct cell){
				    .scenario = s, .contender = c, .seed = n};
		}
	}
	for (uint32_t i = 0; i < suite->threads; i++)
		pthread_create(&threads[i], NULL, run_cells, &work);
	for (uint32_t i = 0; i < suite->threads; i++)
		pthread_join(threads[i], NULL);
	for (uint32_t i = 0; i < work.count; i += suite->seeds)
		suite->stats[work.cells[i].scenario][work.cells[i].contender] =
		    medians(&work.cells[i], suite->seeds);
	mem_free(work.cells);
}

static void
print_row(const struct suite *suite, uint32_t scenario, uint32_t contender)
{
	const struct suite_stats *f = &suite->stats[scenario][contender];
	const struct suite_stats *ideal =
	    &suite->stats[scenario][CONTENDER_IDEAL];

	printf("%-34s %-18s %7.1f %8.1f %6.1f %8.1f %6.2f %6.2f %7.3f "
	       "%7.4f %6.1f %6.2f %6.2f\n",
	    suite->scenarios[scenario].name, contender_names[contender],
	    f->p50_ms, f->p99_ms, f->p99_spread_ms, f->p999_ms,
	    f->p99_ms / (ideal->p99_ms + 3.0),
	    f->p999_ms / (ideal->p999_ms + 3.0), f->refused * 100, f->messages,
	    f->bytes, f->share_max, f->share_recovered);
}

/*
 * Prints one row per scenario and contender.
 */
void
suite_print(const struct suite *suite)
{
	printf("Milliseconds at the entry; medians of %u seeds, +-: half the "
	       "range.  r99, r99.9: over the ideal\nand a round trip between "
	       "failure domains (3 ms).  refused: %% of calls without an "
	       "answer.  msgs: hedges,\nretries and cancellations a call.  "
	       "bytes: of reports and extra messages a call.  max, rec: the "
	       "largest\nshare of a target in any 100 ms, in fair shares; of "
	       "targets just recovered.\n\n",
	    suite->seeds);
	printf("%-34s %-18s %7s %8s %6s %8s %6s %6s %7s %7s %6s %6s %6s\n",
	    "scenario", "policy", "p50", "p99", "+-", "p99.9", "r99", "r99.9",
	    "refused", "msgs", "bytes", "max", "rec");
	for (uint32_t s = 0; s < suite->count; s++) {
		for (uint32_t c = 0; c < CONTENDER_COUNT; c++) {
			if (suite->contenders[c])
				print_row(suite, s, c);
		}
		printf("\n");
	}
}
