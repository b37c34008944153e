/*
 * Replays of a service with 208 targets in four failure domains and four parts,
 * in virtual time (support_domain_load.h): a decision on and off under the same
 * arrivals.
 *
 *   bench_placement_domains [--check] [--quick] [--seeds N]
 *
 * The table shows requests that stay in their requester's failure domain: how
 * many leave it, and how many are late, rejected or cut off.  With --check,
 * fails if more than before are late, rejected or cut off (beyond the spread of
 * the seeds without the decision), or if more than half of those that left
 * still leave at a load of 0.3 or 0.5.  --quick plays 0.3, 0.5 and 0.9.
 *
 * The second table shows requests that may not be repeated, a fifth and four
 * fifths of all, on targets of changing speed: in time, those of them in time,
 * late, rejected and cut off.  With --check, fails if fewer are in time (beyond
 * the spread).  --quick plays a load of 1.1.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "support_domain_load.h"

enum {
	SEEDS_MAX = 9,
	SECONDS = 6,
	TIMEOUT_ROWS = 6
};

static const double loads[] = {0.3, 0.5, 0.7, 0.9, 1.1};
static const double once_share = 0.25;
/* Below this load at most half as many may leave as before. */
static const double half_load_max = 0.6;

/* Mean of the seeds, and the spread of what was lost. */
struct summary {
	double late;
	double rejected;
	double cut_off;
	double left;
	double once_in_time;
	double lost_min;
	double lost_max;
};

struct row {
	struct domain_load load;
	unsigned seeds;
	struct summary before;
	struct summary after;
};

static double
lost(const struct summary *s)
{
	return s->late + s->rejected + s->cut_off;
}

static struct summary
play_seeds(struct domain_load load, unsigned seeds)
{
	struct summary s = {.lost_min = 1};

	for (load.seed = 1; load.seed <= seeds; load.seed++) {
		struct domain_load_result r = domain_load_replay(&load);

		s.late += r.late / seeds;
		s.rejected += r.rejected / seeds;
		s.cut_off += r.cut_off / seeds;
		s.left += r.left / seeds;
		s.once_in_time += r.once_in_time / seeds;
		s.lost_min = fmin(s.lost_min, 1 - r.in_time);
		s.lost_max = fmax(s.lost_max, 1 - r.in_time);
	}
	return s;
}

/*
 * Plays one row; a thread of the pool.
 */
static void
play_row(void *data, void *ctx __attribute__((unused)))
{
	struct row *r = data;

	bool local = r->load.once_share == once_share;

	r->before = play_seeds(r->load, r->seeds);
	r->load.stay_local = local;
	r->load.check_timeout = !local;
	r->after = play_seeds(r->load, r->seeds);
}

/*
 * Prints one row; returns whether it holds the bounds.
 */
static bool
print_row(const struct row *r)
{
	const struct summary *a = &r->before;
	const struct summary *b = &r->after;
	double spread = a->lost_max - a->lost_min;
	bool holds = lost(b) <= lost(a) + spread &&
	    (r->load.load > half_load_max || b->left <= a->left / 2);

	printf("%-8s %4.1f  %5.3f %6.4f %6.4f %6.4f  %5.3f %6.4f %6.4f %6.4f  "
	       "%6.4f%s\n",
	    r->load.slow ? "changing" : "constant", r->load.load, a->left,
	    a->late, a->rejected, a->cut_off, b->left, b->late, b->rejected,
	    b->cut_off, spread, holds ? "" : "  above");
	return holds;
}

/*
 * Prints one row of requests that may not be repeated; returns whether no fewer
 * are in time.
 */
static bool
print_timeout_row(const struct row *r)
{
	const struct summary *a = &r->before;
	const struct summary *b = &r->after;
	bool holds = lost(b) <= lost(a) + a->lost_max - a->lost_min;

	printf("%-8.1f %4.1f  %6.4f %6.4f %6.4f %6.4f %6.4f  %6.4f %6.4f %6.4f "
	       "%6.4f %6.4f%s\n",
	    r->load.once_share, r->load.load, 1 - lost(a), a->once_in_time,
	    a->late, a->rejected, a->cut_off, 1 - lost(b), b->once_in_time,
	    b->late, b->rejected, b->cut_off, holds ? "" : "  above");
	return holds;
}

int
main(int argc, char **argv)
{
	struct row rows[2 * sizeof(loads) / sizeof(loads[0]) + TIMEOUT_ROWS];
	GThreadPool *pool = g_thread_pool_new(
	    play_row, NULL, (int)g_get_num_processors(), FALSE, NULL);
	unsigned seeds = 5;
	unsigned count = 0;
	unsigned local;
	unsigned above = 0;
	bool check = false;
	bool quick = false;

	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--check") == 0)
			check = true;
		else if (strcmp(argv[i], "--quick") == 0)
			quick = true;
		else if (strcmp(argv[i], "--seeds") == 0 && i + 1 < argc)
			seeds = (unsigned)atoi(argv[++i]);
	}
	if (seeds < 1 || seeds > SEEDS_MAX)
		return 2;
	for (size_t i = 0; i < 2 * sizeof(loads) / sizeof(loads[0]); i++) {
		double load = loads[i / 2];

		if (quick && (load == 0.7 || load == 1.1))
			continue;
		rows[count] = (struct row){.load = {.load = load,
					       .once_share = once_share,
					       .slow = i % 2 != 0,
					       .seconds = SECONDS},
		    .seeds = seeds};
		g_thread_pool_push(pool, &rows[count++], NULL);
	}
	local = count;
	for (unsigned i = 0; i < TIMEOUT_ROWS; i++) {
		if (quick && i % 3 != 2)
			continue;
		rows[count] = (struct row){.load = {.load = 0.7 + 0.2 * (i % 3),
					       .once_share = i < 3 ? 0.2 : 0.8,
					       .slow = true,
					       .seconds = SECONDS},
		    .seeds = seeds};
		g_thread_pool_push(pool, &rows[count++], NULL);
	}
	g_thread_pool_free(pool, FALSE, TRUE);
	printf("%-8s %4s  %27s  %27s\n%-8s %4s  %5s %6s %6s %6s  %5s %6s %6s "
	       "%6s  %6s\n",
	    "", "", "before", "local", "speed", "load", "left", "late",
	    "reject", "cut", "left", "late", "reject", "cut", "spread");
	for (unsigned i = 0; i < local; i++)
		above += print_row(&rows[i]) ? 0 : 1;
	printf("\n%-8s %4s  %34s  %34s\n%-8s %4s  %6s %6s %6s %6s %6s  %6s %6s "
	       "%6s %6s %6s\n",
	    "", "", "before", "timeout checked", "once", "load", "intime",
	    "once", "late", "reject", "cut", "intime", "once", "late", "reject",
	    "cut");
	for (unsigned i = local; i < count; i++)
		above += print_timeout_row(&rows[i]) ? 0 : 1;
	return check && above > 0;
}
