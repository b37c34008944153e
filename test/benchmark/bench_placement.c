/*
 * Replays of load near and above capacity on targets that slow down as their
 * slots fill, in virtual time.  Policies side by side under the same load: the
 * learnt limit of requests a target, all slots, all but one slot (of three or
 * more), and the best fixed limit for that load and curve, which knows the
 * curve.  Prints the worth of the answers as a part of the worth of all
 * requests.
 *
 *   bench_placement [--check] [--quick] [--seeds N]
 *
 * With --check, fails unless the learnt limit has check_ratio of the best fixed
 * limit's worth in each row, after LEARN_S; rows that KNOWN-RED.txt names by
 * their label are printed and passed over.  --quick plays the rows of few slots
 * and two loads.
 *
 * A second table has one client account at account_excess times its usual load:
 * what that costs the other accounts, with requests that name no account and
 * with shares by slot time.  With --check, fails above account_loss_max on
 * targets of constant speed.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/memory.h"
#include "base/random.h"
#include "placement/placement_defs.h"
#include "support_account_load.h"

enum {
	MS = 1000,
	TARGETS = 16,
	SLOTS_MAX = 8,
	RUNS_MAX = 4,
	PROBE_US = 50 * MS,
	LEARN_S = 4, /* not counted: the curve is learnt */
	REPLAY_S = 16,
	TICK_US = 10 * MS,
	REQUESTS_MAX = 40000,
	SEEDS_MAX = 9,
	QUICK_SLOTS_MAX = 4
};

static const double check_ratio = 0.97;
static const double account_excess = 7;
static const double account_loss_max = 0.02;
/* A quarter of the targets work four times as long, redrawn on this period. */
static const double slow_share = 0.25;
static const double slow_factor = 4;
static const uint64_t slow_period_us = 300 * MS;
static const double work_spread = 0.3;
static const double late_worth = 0.1;

/* How targets slow down: the factor of the time of each request there. */
struct curve {
	const char *name;
	double from; /* fill above which it grows */
	double factor; /* at full occupancy */
	bool step; /* at once, not in proportion */
};

static const struct curve curves[] = {
    {"none", 1, 1, false},
    {"slight, last", 0.8, 1.15, true},
    {"steep, last", 0.8, 1.7, true},
    {"slight, from 1/3", 1.0 / 3, 1.3, false},
    {"steep, from 1/3", 1.0 / 3, 2.5, false},
};

/* Two kinds of requests, as rank, work, objective, deadline, worth, share. */
struct kind {
	unsigned rank;
	double work_ms;
	double objective_ms;
	double deadline_ms;
	double worth;
	double share;
};

static const struct kind kinds[] = {
    {1, 160, 400, 1200, 2, 0.25},
    {2, 120, 300, 1000, 1, 0.75},
};

enum policy {
	POLICY_LEARNT,
	POLICY_ALL_SLOTS,
	POLICY_ALL_BUT_ONE,
	POLICY_FIXED /* to the limit in simulation.limit */
};

struct run {
	int target; /* -1: ended */
	double left_us;
	uint64_t started_us;
};

struct request {
	const struct kind *kind;
	uint64_t arrival_us;
	uint64_t objective_us;
	uint64_t deadline_us;
	uint64_t return_us; /* when its caller returns; 0: never */
	double work_us;
	bool returned;
	bool ended;
	struct run runs[RUNS_MAX];
	unsigned run_count;
};

struct simulation {
	struct placement *placement;
	struct random random;
	const struct curve *curve;
	enum policy policy;
	unsigned slots;
	unsigned limit;
	uint64_t now_us;
	double slowness[TARGETS];
	uint64_t phase_us[TARGETS];
	unsigned running[TARGETS];
	struct request *requests;
	unsigned count;
	unsigned first_open;
	double offered;
	double earned;
};

static double
curve_factor(const struct curve *curve, unsigned running, unsigned slots)
{
	double fill = (double)running / slots;

	if (fill <= curve->from || running <= 1)
		return 1;
	return curve->step ? curve->factor
			   : 1 +
		(curve->factor - 1) * (fill - curve->from) / (1 - curve->from);
}

/*
 * Requests a second that the targets complete at their best occupancy.
 */
static double
capacity(const struct curve *curve, unsigned slots)
{
	double best = 0;
	double work_ms = 0;
	/* Speeds, not times, are averaged over the periods. */
	double slowness = 1 / (1 - slow_share + slow_share / slow_factor);

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++)
		work_ms += kinds[i].share * kinds[i].work_ms;
	for (unsigned n = 1; n <= slots; n++)
		best = fmax(best, n / curve_factor(curve, n, slots));
	return TARGETS * best * 1000 / (work_ms * slowness);
}

/*
 * Replaces what the placement has learnt, for the policies that do not learn.
 */
static void
impose_limit(struct simulation *s)
{
	struct occupancy_curve *c = &s->placement->occupancy;
	unsigned limit = s->limit;

	if (s->policy == POLICY_LEARNT)
		return;
	if (s->policy == POLICY_ALL_SLOTS)
		limit = s->slots;
	if (s->policy == POLICY_ALL_BUT_ONE)
		limit = s->slots > 2 ? s->slots - 1 : s->slots;
	occupancy_curve_init(c);
	for (unsigned n = 1; n <= s->slots; n++) {
		unsigned level = occupancy_level(n, s->slots);

		if (s->policy == POLICY_FIXED)
			c->speed[level] =
			    1 / curve_factor(s->curve, n, s->slots);
		c->goodput[level] = n <= limit ? 1 : 0;
	}
}

static void
on_grant(
    void *ctx, void *user, const char *target, uint64_t expected_us ATTR_UNUSED)
{
	struct simulation *s = ctx;
	struct request *r = user;
	int at = atoi(target + 1);

	if (r->run_count == RUNS_MAX || r->ended)
		return;
	r->runs[r->run_count++] = (struct run){
	    .target = at, .left_us = r->work_us, .started_us = s->now_us};
	s->running[at]++;
}

static void
on_reject(void *ctx, void *user, uint64_t retry_after_us,
    enum placement_reason reason ATTR_UNUSED)
{
	struct simulation *s = ctx;
	struct request *r = user;
	uint64_t third = (r->deadline_us - s->now_us) / 3;

	if (r->returned) {
		r->ended = true;
		return;
	}
	r->return_us =
	    s->now_us + (retry_after_us < third ? retry_after_us : third);
}

static void
submit(struct simulation *s, struct request *r)
{
	const struct placement_request request = {
	    .route = r->kind->rank,
	    .rank = r->kind->rank,
	    .idempotent = r->kind->rank == 2,
	    .sends_left = 1,
	    .objective_us = r->objective_us,
	    .deadline_us = r->deadline_us,
	    .requester = (uint32_t)random_below(&s->random, 15) + 1,
	    .user = r,
	};

	(void)placement_submit(s->placement, &request, s->now_us);
}

static void
add_request(struct simulation *s)
{
	struct request *r = &s->requests[s->count++];
	const struct kind *kind =
	    &kinds[random_unit(&s->random) < kinds[0].share ? 0 : 1];
	double normal = 0;

	for (int i = 0; i < 12; i++)
		normal += random_unit(&s->random) - 0.5;
	*r = (struct request){
	    .kind = kind,
	    .arrival_us = s->now_us,
	    .objective_us = s->now_us + (uint64_t)(kind->objective_ms * MS),
	    .deadline_us = s->now_us + (uint64_t)(kind->deadline_ms * MS),
	    .work_us = kind->work_ms * MS *
		exp(work_spread * normal - work_spread * work_spread / 2),
	};
	if (s->now_us >= LEARN_S * 1000 * MS)
		s->offered += kind->worth;
	submit(s, r);
}

static void
target_name(int i, char name[16])
{
	snprintf(name, 16, "t%d", i);
}

static struct target_load
load_of(const struct simulation *s, int i)
{
	return (struct target_load){
	    .running = s->running[i] < s->slots ? s->running[i] : s->slots,
	    .waiting = s->running[i] < s->slots ? 0 : s->running[i] - s->slots,
	    .slots = s->slots,
	    .slowness = (uint32_t)(s->slowness[i] * 100),
	};
}

/*
 * Ends all runs of an answered request and counts its worth.
 */
static void
answer(struct simulation *s, struct request *r, const struct run *winner)
{
	const struct target_load load = load_of(s, winner->target);
	char name[16];

	r->ended = true;
	for (unsigned i = 0; i < r->run_count; i++) {
		if (r->runs[i].target >= 0)
			s->running[r->runs[i].target]--;
	}
	if (r->arrival_us >= LEARN_S * 1000 * MS)
		s->earned += r->kind->worth *
		    (s->now_us <= r->objective_us ? 1 : late_worth);
	target_name(winner->target, name);
	placement_complete(s->placement, r, name, OUTCOME_ANSWERED,
	    s->now_us - winner->started_us, &load, s->now_us);
}

/*
 * Ends a request whose caller's time is over.
 */
static void
give_up(struct simulation *s, struct request *r)
{
	r->ended = true;
	for (unsigned i = 0; i < r->run_count; i++) {
		if (r->runs[i].target >= 0)
			s->running[r->runs[i].target]--;
	}
	placement_cancel(s->placement, r, s->now_us);
}

static void
advance_request(struct simulation *s, struct request *r)
{
	if (s->now_us >= r->deadline_us) {
		give_up(s, r);
		return;
	}
	if (r->return_us != 0 && s->now_us >= r->return_us) {
		r->return_us = 0;
		r->returned = true;
		submit(s, r);
	}
	for (unsigned i = 0; i < r->run_count && !r->ended; i++) {
		struct run *run = &r->runs[i];

		if (run->target < 0)
			continue;
		run->left_us -= MS /
		    (s->slowness[run->target] *
			curve_factor(
			    s->curve, s->running[run->target], s->slots));
		if (run->left_us <= 0)
			answer(s, r, run);
	}
}

static void
advance_targets(struct simulation *s)
{
	for (int i = 0; i < TARGETS; i++) {
		const struct target_load load = load_of(s, i);
		char name[16];

		if ((s->now_us + s->phase_us[i]) % slow_period_us < MS)
			s->slowness[i] = random_unit(&s->random) < slow_share
			    ? slow_factor
			    : 1;
		if ((s->now_us + s->phase_us[i]) % PROBE_US >= MS)
			continue;
		target_name(i, name);
		placement_on_probe(s->placement, name, &load, s->now_us);
	}
}

/*
 * Returns the part of the offered worth that is earned.
 */
static double
replay(const struct curve *curve, unsigned slots, double load,
    enum policy policy, unsigned limit, uint64_t seed)
{
	const struct repeat_limits limits = {
	    .ratio = 0.2, .slack = 60, .window_us = 10 * 1000 * 1000};
	struct simulation s = {
	    .curve = curve, .policy = policy, .slots = slots, .limit = limit};
	const struct placement_callbacks callbacks = {
	    .ctx = &s, .grant = on_grant, .reject = on_reject};
	double rate = load * capacity(curve, slots);
	double due_us = 0;

	random_seed(&s.random, seed);
	s.placement = placement_new(&callbacks, &limits, seed, 0);
	s.requests = mem_calloc(REQUESTS_MAX, sizeof(*s.requests));
	for (int i = 0; i < TARGETS; i++) {
		char name[16];

		target_name(i, name);
		s.slowness[i] =
		    random_unit(&s.random) < slow_share ? slow_factor : 1;
		s.phase_us[i] = random_below(&s.random, slow_period_us);
		placement_add_target(s.placement, name, 1, slots, 0, 0);
	}
	for (s.now_us = MS; s.now_us < REPLAY_S * 1000 * MS; s.now_us += MS) {
		impose_limit(&s);
		advance_targets(&s);
		while (due_us < (double)s.now_us && s.count < REQUESTS_MAX) {
			add_request(&s);
			due_us -= log(1 - random_unit(&s.random)) * 1e6 / rate;
		}
		while (s.first_open < s.count && s.requests[s.first_open].ended)
			s.first_open++;
		for (unsigned i = s.first_open; i < s.count; i++) {
			if (!s.requests[i].ended)
				advance_request(&s, &s.requests[i]);
		}
		if (s.now_us % TICK_US == 0)
			placement_tick(s.placement, s.now_us);
	}
	placement_free(s.placement);
	mem_free(s.requests);
	return s.earned / s.offered;
}

static int
by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/*
 * Returns the median of the seeds.
 */
static double
median_worth(const struct curve *curve, unsigned slots, double load,
    enum policy policy, unsigned limit, unsigned seeds)
{
	double worth[SEEDS_MAX];

	for (unsigned i = 0; i < seeds; i++)
		worth[i] = replay(curve, slots, load, policy, limit, i + 1);
	qsort(worth, seeds, sizeof(worth[0]), by_value);
	return worth[seeds / 2];
}

/* One row of the table: a load and the worth by policy. */
struct row {
	const struct curve *curve;
	unsigned slots;
	double load;
	unsigned seeds;
	double learnt;
	double all;
	double but_one;
	double best;
	unsigned best_limit;
};

/*
 * Plays the policies of one row; a thread of the pool.
 */
static void
play_row(void *data, void *ctx ATTR_UNUSED)
{
	struct row *r = data;

	for (unsigned limit = 1; limit <= r->slots; limit++) {
		double worth = median_worth(
		    r->curve, r->slots, r->load, POLICY_FIXED, limit, r->seeds);

		if (worth <= r->best)
			continue;
		r->best = worth;
		r->best_limit = limit;
	}
	r->learnt = median_worth(
	    r->curve, r->slots, r->load, POLICY_LEARNT, 0, r->seeds);
	r->all = median_worth(
	    r->curve, r->slots, r->load, POLICY_ALL_SLOTS, 0, r->seeds);
	r->but_one = median_worth(
	    r->curve, r->slots, r->load, POLICY_ALL_BUT_ONE, 0, r->seeds);
}

/*
 * Returns whether a row below its bound is listed as known.
 */
static bool
is_known(const char *known, const struct row *r)
{
	char label[64];

	snprintf(label, sizeof(label), "[replay %s, %u slots, %.1f]",
	    r->curve->name, r->slots, r->load);
	return known != NULL && strstr(known, label) != NULL;
}

/*
 * Prints one row; returns whether the learnt limit holds its bound or is known
 * not to.
 */
static bool
print_row(const struct row *r, const char *known)
{
	bool holds = r->learnt >= check_ratio * r->best;
	bool listed = is_known(known, r);

	printf("%-18s %5u %5.1f  %7.3f %9.3f %11.3f %7.3f (%u)  %6.3f%s\n",
	    r->curve->name, r->slots, r->load, r->learnt, r->all, r->but_one,
	    r->best, r->best_limit, r->learnt / r->best,
	    holds        ? ""
		: listed ? "  below, known"
			 : "  below");
	return holds || listed;
}

/*
 * Prints one row of accounts; returns whether it holds the bound.
 */
static bool
print_accounts(double load, unsigned account, bool slow, unsigned seeds)
{
	struct account_load_result without, with;
	struct account_load options = {.load = load,
	    .excess = account_excess,
	    .account = account,
	    .slow = slow,
	    .seconds = 24,
	    .seeds = seeds};
	bool holds;

	without = account_load_replay(&options);
	options.named = true;
	with = account_load_replay(&options);
	holds = with.worst_loss <= account_loss_max;
	printf(
	    "%-8s %7u %5.2f  %7.3f  %6.3f %6.3f %6.3f  %6.3f %6.3f %6.3f%s\n",
	    slow ? "changing" : "constant", account, load, with.usual_in_time,
	    without.worst_loss, without.mean_loss, without.own_in_time,
	    with.worst_loss, with.mean_loss, with.own_in_time,
	    holds ? "" : "  above");
	return holds || slow;
}

/*
 * Prints the table of accounts; returns the number of rows above the bound.
 */
static unsigned
print_account_table(bool quick, unsigned seeds)
{
	static const double loads[] = {1.0, 1.15, 1.3};
	unsigned above = 0;

	printf("\n%-8s %7s %5s  %7s  %20s  %20s\n", "speed", "account", "load",
	    "usual", "unnamed: worst mean own", "shares: worst mean own");
	for (unsigned i = 0; i < (quick ? 3 : 12); i++)
		above += print_accounts(loads[i % 3], i / 3 % 2, i >= 6, seeds)
		    ? 0
		    : 1;
	return above;
}

int
main(int argc, char **argv)
{
	static const unsigned slot_counts[] = {1, 2, 3, 4, 6, 8};
	static const double loads[] = {0.5, 0.8, 1.2, 2.0};
	struct row rows[sizeof(curves) / sizeof(curves[0]) *
	    sizeof(slot_counts) / sizeof(slot_counts[0]) * sizeof(loads) /
	    sizeof(loads[0])];
	GThreadPool *pool = g_thread_pool_new(
	    play_row, NULL, (int)g_get_num_processors(), FALSE, NULL);
	unsigned seeds = 5;
	unsigned below = 0;
	unsigned count = 0;
	bool check = false;
	bool quick = false;
	gchar *known = NULL;

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
	for (size_t c = 0; c < sizeof(curves) / sizeof(curves[0]); c++) {
		for (size_t n = 0;
		     n < sizeof(slot_counts) / sizeof(slot_counts[0]); n++) {
			for (size_t l = 0; l < sizeof(loads) / sizeof(loads[0]);
			     l++) {
				if (quick &&
				    (slot_counts[n] > QUICK_SLOTS_MAX ||
					(loads[l] != 0.5 && loads[l] != 1.2)))
					continue;
				rows[count] = (struct row){.curve = &curves[c],
				    .slots = slot_counts[n],
				    .load = loads[l],
				    .seeds = seeds};
				g_thread_pool_push(pool, &rows[count++], NULL);
			}
		}
	}
	g_thread_pool_free(pool, FALSE, TRUE);
	(void)g_file_get_contents("KNOWN-RED.txt", &known, NULL, NULL);
	printf("%-18s %5s %5s  %7s %9s %11s %11s  %6s\n", "slow-down", "slots",
	    "load", "learnt", "all slots", "all but one", "best fixed",
	    "ratio");
	for (unsigned i = 0; i < count; i++)
		below += print_row(&rows[i], known) ? 0 : 1;
	printf("%u rows, %u below %.2f of the best fixed limit after %d s%s\n",
	    count, below, check_ratio, LEARN_S,
	    known != NULL ? ", known ones apart" : "");
	g_free(known);
	below += print_account_table(quick, seeds < 2 ? seeds : 2);
	return check && below > 0;
}
