/*
 * Second sends against slow answers: the product's rule beside a fixed delay,
 * a percentile of the times alone, and both sends at once, each with the same
 * share of the requests.  In virtual time.  Fails if second sends exceed the
 * share of the answers at any time.
 *
 *   bench_hedge [SEEDS]
 */
#include <stdio.h>
#include <stdlib.h>

#include "support_hedge_load.h"

static const char *const names[HEDGE_POLICIES] = {
    [HEDGE_POLICY_NONE] = "none",
    [HEDGE_POLICY_RULE] = "rule",
    [HEDGE_POLICY_DELAY] = "delay",
    [HEDGE_POLICY_PERCENTILE] = "percentile",
    [HEDGE_POLICY_TIED] = "tied",
    [HEDGE_POLICY_START] = "start",
    [HEDGE_POLICY_START_WORK] = "start, work",
};

static const struct {
	const char *name;
	struct hedge_load load;
} kinds[] = {
    {"slow", {.stuck = 0.02}},
    {"slow to start", {.stuck = 0.02, .slow_start = true}},
    {"all slow for 2 s",
	{.stuck = 0.02, .all_slow_ms = 10000, .all_slow_end_ms = 12000}},
};

static const double rates[] = {100, 200, 260};
static const double shares[] = {0.01, 0.02, 0.05};

static void
add(struct hedge_load_result *sum, const struct hedge_load_result *o)
{
	sum->answered += o->answered;
	sum->rejected += o->rejected;
	sum->late += o->late;
	sum->late_after += o->late_after;
	sum->second += o->second;
	sum->hedges += o->hedges;
	sum->hedges_slow += o->hedges_slow;
	sum->exceeded += o->exceeded;
	sum->slot_us += o->slot_us;
	sum->cancelled_us += o->cancelled_us;
}

/*
 * Prints the row of one rule.  Returns at how many times second sends exceeded
 * the share.
 */
static unsigned
print_row(const char *name, const struct hedge_load *load, unsigned seeds)
{
	struct hedge_load_result sum = {0};

	for (unsigned seed = 1; seed <= seeds; seed++) {
		struct hedge_load_result o = hedge_load_replay(load, seed);

		add(&sum, &o);
	}
	printf("%-17s %5.0f %6.2f %-11s %8u %8u %7u %7u %8u %7u %7u %7.2f%%\n",
	    name, load->per_s, load->share, names[load->policy], sum.answered,
	    sum.rejected, sum.late, sum.late_after, sum.hedges, sum.hedges_slow,
	    sum.second - sum.hedges,
	    100.0 * (double)sum.cancelled_us / (double)sum.slot_us);
	fflush(stdout);
	return sum.exceeded;
}

int
main(int argc, char **argv)
{
	unsigned seeds = argc > 1 ? (unsigned)atoi(argv[1]) : 8;
	unsigned exceeded = 0;

	printf("%-17s %5s %6s %-11s %8s %8s %7s %7s %8s %7s %7s %8s\n", "load",
	    "per s", "share", "sends", "answered", "rejected", "late", "after",
	    "second", "slow", "others", "wasted");
	for (size_t k = 0; k < sizeof(kinds) / sizeof(kinds[0]); k++) {
		for (size_t r = 0; r < sizeof(rates) / sizeof(rates[0]); r++) {
			struct hedge_load load = kinds[k].load;

			load.per_s = rates[r];
			exceeded += print_row(kinds[k].name, &load, seeds);
			for (size_t s = 0;
			     s < sizeof(shares) / sizeof(shares[0]); s++) {
				load.share = shares[s];
				for (int i = HEDGE_POLICY_RULE;
				     i < HEDGE_POLICIES; i++) {
					load.policy = (enum hedge_policy)i;
					exceeded += print_row(
					    kinds[k].name, &load, seeds);
				}
			}
		}
	}
	if (exceeded > 0)
		printf("second sends exceeded the share %u times\n", exceeded);
	return exceeded > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
