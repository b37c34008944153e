/*
 * A service in four parts of uneven size: rejected and late requests with one
 * placement over all targets, with the parts in rotation, and with the choice
 * by targets and load, without and with moves.  In virtual time.
 *
 *   bench_parts [SEEDS]
 */
#include <stdio.h>
#include <stdlib.h>

#include "support_part_load.h"

static const struct {
	const char *name;
	struct part_load load;
} rows[] = {
    {"even, 0.70", {.load = 0.70, .slowness = 1}},
    {"even, 0.90", {.load = 0.90, .slowness = 1}},
    {"part 1 slower by 1.25, 0.85", {.load = 0.85, .slowness = 1.25}},
    {"part 1 slower by 1.5, 0.80", {.load = 0.80, .slowness = 1.5}},
    {"part 1 slower by 2, 0.75", {.load = 0.75, .slowness = 2}},
    {"part 1 without 10 slots, 0.90",
	{.load = 0.90, .slowness = 1, .lost_slots = 10}},
};

int
main(int argc, char **argv)
{
	static const char *names[] = {"one", "rotation", "choice", "moves"};
	unsigned seeds = argc > 1 ? (unsigned)atoi(argv[1]) : 3;

	printf("%-30s %-9s %9s %9s %9s %9s %7s\n", "load", "policy", "requests",
	    "rejected", "late", "moved", "spread");
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		if (argc > 2 && (size_t)atoi(argv[2]) != i)
			continue;
		for (int policy = PART_POLICY_ONE; policy <= PART_POLICY_MOVES;
		     policy++) {
			struct part_load_result sum = {0};

			for (unsigned seed = 1; seed <= seeds; seed++) {
				struct part_load load = rows[i].load;
				struct part_load_result o;

				load.seconds = 5;
				load.seed = seed;
				o = part_load_replay(
				    &load, (enum part_policy)policy);
				sum.requests += o.requests;
				sum.rejected += o.rejected;
				sum.late += o.late;
				sum.moved += o.moved;
				sum.load_spread += o.load_spread / seeds;
			}
			printf("%-30s %-9s %9u %8.2f%% %8.2f%% %8.2f%% %7.2f\n",
			    rows[i].name, names[policy], sum.requests,
			    100.0 * sum.rejected / sum.requests,
			    100.0 * sum.late / sum.requests,
			    100.0 * sum.moved / sum.requests, sum.load_spread);
			fflush(stdout);
		}
	}
	return EXIT_SUCCESS;
}
