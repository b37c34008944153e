/*
 * Compares the balancing policies in virtual time.
 *
 *   bench_balance [--quick] [--check] [--seeds N] [--threads N]
 *                 [--only TEXT] [--known FILE]
 */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "model_suite.h"

enum {
	SEEDS = 3,
	SEEDS_QUICK = 5,
	THREADS = 4,
	THREADS_MAX = 16
};

struct options {
	bool quick;
	bool check;
	uint32_t seeds;
	uint32_t threads;
	const char *only;
	const char *known;
};

static uint32_t
number(const char *text, uint32_t max)
{
	unsigned long value = strtoul(text, NULL, 10);

	if (value < 1)
		return 1;
	return value < max ? (uint32_t)value : max;
}

static bool
parse(int argc, char **argv, struct options *options)
{
	static const struct option known[] = {
	    {"quick", no_argument, NULL, 'q'},
	    {"check", no_argument, NULL, 'c'},
	    {"seeds", required_argument, NULL, 's'},
	    {"threads", required_argument, NULL, 't'},
	    {"only", required_argument, NULL, 'o'},
	    {"known", required_argument, NULL, 'k'},
	    {NULL, 0, NULL, 0},
	};
	int c;

	while ((c = getopt_long(argc, argv, "", known, NULL)) != -1) {
		switch (c) {
		case 'q':
			options->quick = true;
			break;
		case 'c':
			options->check = true;
			break;
		case 's':
			options->seeds = number(optarg, SUITE_SEEDS_MAX);
			break;
		case 't':
			options->threads = number(optarg, THREADS_MAX);
			break;
		case 'o':
			options->only = optarg;
			break;
		case 'k':
			options->known = optarg;
			break;
		default:
			return false;
		}
	}
	return true;
}

int
main(int argc, char **argv)
{
	static struct suite suite;
	struct options options = {.known = "KNOWN-RED.txt", .threads = THREADS};
	uint64_t started = clock_monotonic_us();

	if (!parse(argc, argv, &options))
		return 2;
	if (options.seeds == 0)
		options.seeds = options.quick ? SEEDS_QUICK : SEEDS;
	suite.seeds = options.seeds;
	suite.threads = options.threads;
	for (uint32_t i = 0; i < CONTENDER_COUNT; i++)
		suite.contenders[i] = !options.quick || i == CONTENDER_IDEAL ||
		    i == CONTENDER_EXPECTED_DELAY ||
		    i == CONTENDER_LEAST_IN_FLIGHT;
	suite_list(&suite, options.quick, options.only);
	suite_run(&suite);
	suite_print(&suite);
	fprintf(stderr, "%.1f s\n",
	    (double)(clock_monotonic_us() - started) / US_PER_S);
	if (!options.check && options.quick)
		return 0;
	return suite_check(&suite, options.known) > 0 && options.check;
}
