/*
 * Second sends against the slowest answers.  Guards against more of them than
 * the share allows, at a service short of room, or of requests that may run
 * only once.
 */
/* cmocka.h needs these headers included before it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "placement/placement_defs.h"

enum {
	MS = 1000,
	TARGETS = 8,
	SLOTS = 4,
	REQUESTS = 6000,
	SEEDS = 8,
	LATE_MS = 500
};

struct load {
	double share;
	double per_s;
	double stuck; /* part of the sends that take ten times as long */
	unsigned
	    takeover_ms; /* the scheduler is replaced this often; 0: never */
	uint64_t all_slow_ms; /* from then on each send is stuck; 0: never */
	bool own_view;
	bool once; /* the requests may not be repeated */
};

struct send_run {
	int target; /* -1: none */
	uint64_t start_us;
	uint64_t end_us;
};

struct world {
	struct placement *placement;
	struct random random;
	const struct load *load;
	uint64_t now_us;
	unsigned running[TARGETS];
	struct send_run runs[REQUESTS][2];
	unsigned count;
	unsigned answered;
	unsigned second; /* sends */
	unsigned second_slow; /* of them after all became slow */
	unsigned late; /* answers after LATE_MS */
};

static struct world world;

static void
on_grant(void *ctx ATTR_UNUSED, void *user, const char *target,
    uint64_t expected_us ATTR_UNUSED)
{
	struct send_run *run = user;
	bool slow = world.load->all_slow_ms > 0 &&
	    world.now_us > world.load->all_slow_ms * MS;
	uint64_t took = (uint64_t)((90 + 20 * random_unit(&world.random)) * MS);

	if (run[0].target >= 0) {
		world.second++;
		world.second_slow += slow ? 1 : 0;
		run++;
	}
	if (slow || random_unit(&world.random) < world.load->stuck)
		took *= 10;
	*run = (struct send_run){.target = target[1] - '0',
	    .start_us = world.now_us,
	    .end_us = world.now_us + took};
	world.running[run->target]++;
}

static void
on_reject(void *ctx ATTR_UNUSED, void *user ATTR_UNUSED,
    uint64_t retry_after_us ATTR_UNUSED,
    enum placement_reason reason ATTR_UNUSED)
{
}

static void
open_scheduler(uint64_t seed)
{
	static const struct placement_callbacks callbacks = {
	    .grant = on_grant, .reject = on_reject};
	static const struct repeat_limits limits = {
	    .ratio = 0.5, .slack = 100, .window_us = 10 * 1000 * MS};

	world.placement =
	    placement_new(&callbacks, &limits, seed, world.now_us);
	placement_set_hedge_share(world.placement, world.load->share);
	placement_set_scheduler(
	    world.placement, !world.load->own_view, world.now_us);
	for (int i = 0; i < TARGETS; i++) {
		char name[] = {'t', (char)('0' + i), 0};

		placement_add_target(
		    world.placement, name, 1, SLOTS, 0, world.now_us);
	}
}

static void
arrive(void)
{
	struct send_run *run = world.runs[world.count++];
	const struct placement_request request = {.route = 1,
	    .idempotent = !world.load->once,
	    .sends_left = 1,
	    .objective_us = world.now_us + 5000 * MS,
	    .deadline_us = world.now_us + 8000 * MS,
	    .user = run};

	run[0].target = run[1].target = -1;
	(void)placement_submit(world.placement, &request, world.now_us);
}

/*
 * Ends the sends of a request whose first answer is due.
 */
static void
answer(struct send_run *run)
{
	for (int i = 0; i < 2; i++) {
		char name[] = {'t', (char)('0' + run[i].target), 0};

		if (run[i].target < 0 || run[i].end_us > world.now_us)
			continue;
		world.answered++;
		world.late +=
		    world.now_us - run[0].start_us > LATE_MS * MS ? 1 : 0;
		for (int k = 0; k < 2; k++) {
			if (run[k].target >= 0)
				world.running[run[k].target]--;
		}
		run[0].target = run[1].target = -1;
		placement_complete(world.placement, run, name, OUTCOME_ANSWERED,
		    world.now_us - run[i].start_us, NULL, world.now_us);
		return;
	}
}

static void
play(const struct load *load, uint64_t seed)
{
	double due = 0;

	world = (struct world){.load = load};
	random_seed(&world.random, seed);
	open_scheduler(seed);
	for (world.now_us = MS; world.now_us < 20000 * MS; world.now_us += MS) {
		uint64_t ms = world.now_us / MS;

		if (load->takeover_ms > 0 && ms % load->takeover_ms == 0) {
			placement_free(world.placement);
			open_scheduler(seed + ms);
		}
		while (due < (double)world.now_us && world.count < REQUESTS) {
			arrive();
			due += random_exponential(
			    &world.random, 1e6 / load->per_s);
		}
		for (unsigned i = 0; i < world.count; i++)
			answer(world.runs[i]);
		for (int i = 0; i < TARGETS && ms % 50 == 0; i++) {
			char name[] = {'t', (char)('0' + i), 0};
			const struct target_load report = {
			    .running = world.running[i],
			    .slots = SLOTS,
			    .slowness = 100};

			placement_on_probe(
			    world.placement, name, &report, world.now_us);
		}
		placement_tick(world.placement, world.now_us);
	}
	placement_free(world.placement);
}

/*
 * With the share, the slowest answers are cut; schedulers that are lost and
 * replaced make no more second sends than the share of all answers.
 */
static void
share_holds_over_replaced_schedulers(void **state ATTR_UNUSED)
{
	static const unsigned takeovers[] = {0, 700, 3000, 5000};

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct load load = {.share = 0.03,
		    .per_s = 100,
		    .stuck = 0.02,
		    .takeover_ms = takeovers[seed % 4]};
		unsigned late;

		play(&load, seed);
		assert_true(world.second <= 0.03 * world.answered);
		assert_true(load.takeover_ms == 700 || world.second > 0);
		if (load.takeover_ms > 0)
			continue;
		late = world.late;
		load.share = 0;
		play(&load, seed);
		assert_true(late * 2 < world.late);
	}
}

/*
 * Second sends of a service whose targets are all slow would slow them further.
 */
static void
no_second_sends_without_idle_room(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		const struct load load = {.share = 0.2,
		    .per_s = 150,
		    .stuck = 0.02,
		    .all_slow_ms = 10000};

		play(&load, seed);
		/* The first ones begin before the slots are full. */
		assert_true(world.second_slow <= 2 * HEDGE_CREDIT_MAX);
	}
}

/*
 * Off by default, for requests that run once, and for an entry that places on
 * its own view.
 */
static void
no_second_sends_where_not_allowed(void **state ATTR_UNUSED)
{
	static const struct load loads[] = {
	    {.share = 0, .per_s = 100, .stuck = 0.02},
	    {.share = 0.2, .per_s = 100, .stuck = 0.02, .once = true},
	    {.share = 0.2, .per_s = 100, .stuck = 0.02, .own_view = true},
	};

	for (unsigned i = 0; i < 3; i++) {
		play(&loads[i], i + 1);
		assert_int_equal(world.second, 0);
	}
}

/*
 * The learnt value is near the true nine in ten of uniform times.
 */
static void
quantile_is_learnt(void **state ATTR_UNUSED)
{
	struct latency_quantile latency = {0};
	struct random random;
	double left;

	random_seed(&random, 1);
	for (int i = 0; i < 5000; i++)
		latency_quantile_record(&latency, 1, random_unit(&random));
	assert_true(latency.levels[1].quantile > 0.8);
	assert_true(latency.levels[1].quantile < 0.98);
	assert_true(latency_quantile_exceeds(&latency, 1, 0.99, &left));
	assert_false(latency_quantile_exceeds(&latency, 0, 0.99, &left));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(share_holds_over_replaced_schedulers),
	    cmocka_unit_test(no_second_sends_without_idle_room),
	    cmocka_unit_test(no_second_sends_where_not_allowed),
	    cmocka_unit_test(quantile_is_learnt),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
