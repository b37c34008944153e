/*
 * Prints how much of an account's allowance can be used, and how many windows
 * are above the bound, by pattern of demand and faults, in virtual time.
 */
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/attr.h"
#include "support_allowance.h"

int
main(int argc, char **argv)
{
	unsigned seeds = argc > 2 && strcmp(argv[1], "--seeds") == 0
	    ? (unsigned)strtoul(argv[2], NULL, 10)
	    : 5;
	unsigned above = 0;

	printf("%-24s %9s %9s %9s %7s %7s %7s %9s %9s %6s %6s\n", "pattern",
	    "least use", "windows", "above", "most", "bound", "unknown",
	    "asks/req", "asks/429", "soon", "first");
	for (const struct allowance_model *m = allowance_models;
	     m->name != NULL; m++) {
		struct allowance_outcome sum = {
		    .usable = 10,
		    .soon = 10,
		    .first = UINT_MAX,
		};

		for (unsigned seed = 1; seed <= seeds; seed++) {
			struct allowance_outcome o =
			    allowance_model_run(m, seed);

			sum.usable =
			    o.usable < sum.usable ? o.usable : sum.usable;
			sum.soon = o.soon < sum.soon ? o.soon : sum.soon;
			sum.first = o.first < sum.first ? o.first : sum.first;
			sum.windows += o.windows;
			sum.above += o.above;
			sum.most = o.most > sum.most ? o.most : sum.most;
			sum.bound = o.bound;
			sum.unknown += o.unknown;
			sum.draws += o.draws;
			sum.refused += o.refused;
			sum.sent += o.sent;
		}
		above += sum.above;
		printf("%-24s %9.3f %9u %9u %7u %7.0f %7u %9.2f %9.2f %6.3f "
		       "%6u\n",
		    m->name, sum.usable, sum.windows, sum.above, sum.most,
		    sum.bound, sum.unknown, (double)sum.draws / sum.sent,
		    sum.refused > 0 ? (double)sum.draws / sum.refused : 0,
		    sum.soon, sum.first);
	}
	return above == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
