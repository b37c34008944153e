/*
 * Targets that name the rate that they take, in placements.  Guards against more
 * requests than all entries together may send, from the causes that one bucket
 * does not see: a takeover, entries that place on their own view, a scheduler
 * that wakes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "placement/placement_defs.h"

enum {
	ENTRIES_MAX = 12,
	SCHEDULE_SEEDS = 400,
	SCHEDULE_MS = 20 * 1000,
	TICK_MS = 5,
	WINDOW_MS = 4000,
	/* Until all entries have chosen the same scheduler again. */
	CHANGE_MS = 500
};

static unsigned grants[2]; /* of "limited" and "free" */
static unsigned rejects;
static uint64_t retry_after_us;

static void
on_grant(void *ctx, void *user ATTR_UNUSED, const char *target,
    uint64_t expected_us ATTR_UNUSED)
{
	grants[strcmp(target, "free") == 0]++;
	if (ctx != NULL && strcmp(target, "limited") == 0)
		(*(unsigned *)ctx)++;
}

static void
on_reject(void *ctx ATTR_UNUSED, void *user ATTR_UNUSED, uint64_t after_us,
    enum placement_reason reason ATTR_UNUSED)
{
	rejects++;
	retry_after_us = after_us;
}

static struct placement *
new_placement(unsigned *counted, double limit_per_s, bool scheduler)
{
	const struct placement_callbacks callbacks = {
	    .ctx = counted, .grant = on_grant, .reject = on_reject};
	const struct repeat_limits limits = {10 * US_PER_S, 0.2, 60};
	struct placement *p = placement_new(&callbacks, &limits, 1, 1);

	memset(grants, 0, sizeof(grants));
	rejects = 0;
	placement_set_scheduler(p, scheduler, 1);
	placement_add_target(p, "limited", 1, 64, 0, 1);
	placement_set_rate_limit(p, "limited", limit_per_s, 1);
	return p;
}

/*
 * Submits a request and ends it at once.
 */
static void
submit(struct placement *p, uint64_t now_us)
{
	int user;
	const struct placement_request request = {
	    .route = 1,
	    .objective_us = now_us + US_PER_S,
	    .deadline_us = now_us + 2 * US_PER_S,
	    .user = &user,
	};

	(void)placement_submit(p, &request, now_us);
	placement_complete(
	    p, &user, "limited", OUTCOME_ANSWERED, US_PER_MS, NULL, now_us);
	placement_complete(
	    p, &user, "free", OUTCOME_ANSWERED, US_PER_MS, NULL, now_us);
	placement_cancel(p, &user, now_us);
}

/*
 * Submits a request each 10 ms; returns the grants of the limited target.
 */
static unsigned
run(struct placement *p, uint64_t from_us, uint64_t until_us)
{
	unsigned before = grants[0];

	for (uint64_t now = from_us; now < until_us; now += 10 * US_PER_MS)
		submit(p, now);
	return grants[0] - before;
}

static void
scheduler_grants_the_rate(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(NULL, 5, true);

	/* The target got more until now. */
	assert_int_equal(run(p, 10, 190 * US_PER_MS), 0);
	assert_in_range(run(p, 190 * US_PER_MS, 10 * US_PER_S), 48, 50);
	/* After a pause a small burst. */
	assert_in_range(run(p, 20 * US_PER_S, 21 * US_PER_S), 8, 9);
	placement_free(p);
}

static void
other_targets_get_the_rest(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(NULL, 5, true);

	placement_add_target(p, "free", 1, 64, 0, 1);
	assert_in_range(run(p, 10, 10 * US_PER_S), 1, 50);
	assert_true(grants[1] > 900);
	assert_int_equal(rejects, 0);
	placement_free(p);
}

static void
limit_ends(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(NULL, 5, true);
	struct placement_stats f;

	(void)run(p, 10, US_PER_S);
	placement_set_rate_limit(p, "limited", -1, US_PER_S);
	assert_in_range(run(p, US_PER_S, 2 * US_PER_S), 99, 101);
	placement_get_stats(p, 2 * US_PER_S, &f);
	assert_int_equal(f.limited, 0);
	placement_set_rate_limit(p, "limited", 5, 2 * US_PER_S);
	assert_in_range(run(p, 2 * US_PER_S, 4 * US_PER_S), 9, 10);
	/* A new start of the target. */
	placement_remove_target(p, "limited");
	placement_add_target(p, "limited", 1, 64, 0, 4 * US_PER_S);
	assert_in_range(run(p, 4 * US_PER_S, 5 * US_PER_S), 99, 101);
	placement_get_stats(p, 5 * US_PER_S, &f);
	assert_int_equal(f.limited, 0);
	placement_free(p);
}

/*
 * A target that takes nothing gets a request now and then: its answers show that
 * the limit has ended.
 */
static void
limit_of_nothing(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(NULL, 0, true);

	assert_in_range(run(p, 10, 40 * US_PER_S), 9, 10);
	placement_free(p);
}

static void
takeover_begins_without_tokens(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(NULL, 5, false);

	placement_set_scheduler(p, true, 60 * US_PER_S);
	assert_int_equal(
	    run(p, 60 * US_PER_S, 60 * US_PER_S + 190 * US_PER_MS), 0);
	placement_free(p);
}

/*
 * An entry without the scheduler uses its share, and nothing that it has saved
 * while the scheduler answered it.
 */
static void
own_view_uses_its_share(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(NULL, 20, false);

	assert_int_equal(run(p, 10, 2 * US_PER_S), 0);
	assert_in_range(retry_after_us, 1, US_PER_S);
	placement_set_own_view_share(p, 0.5 / 10);
	/* One a second. */
	assert_int_equal(
	    run(p, 60 * US_PER_S, 60 * US_PER_S + 900 * US_PER_MS), 0);
	assert_in_range(
	    run(p, 60 * US_PER_S + 900 * US_PER_MS, 70 * US_PER_S), 9, 10);
	placement_free(p);
}

/*
 * Four requests are a second's for such a target: the later ones are rejected on
 * arrival, and told when there is room.
 */
static void
requests_beyond_the_limit_are_rejected_on_arrival(void **state ATTR_UNUSED)
{
	struct placement *p = new_placement(NULL, 4, true);
	int users[8];

	for (unsigned i = 0; i < 8; i++) {
		const struct placement_request request = {
		    .route = 1,
		    .objective_us = 12 * US_PER_S,
		    .deadline_us = 14 * US_PER_S,
		    .user = &users[i],
		};

		(void)placement_submit(p, &request, 10 * US_PER_S);
	}
	/* The burst, and what may wait for two fifths of its time. */
	assert_int_equal(grants[0], 4);
	assert_in_range(rejects, 1, 2);
	assert_in_range(retry_after_us, US_PER_S / 2, 2 * US_PER_S);
	/* The load counts what it takes, not its 64 slots. */
	assert_true(placement_get_load(p, 10 * US_PER_S) > 100);
	placement_free(p);
}

/* One play of a fleet: who schedules, by whose view, and what was granted. */
struct schedule {
	struct random random;
	unsigned entries;
	double limit_per_s;
	struct placement *entry[ENTRIES_MAX];
	unsigned scheduler;
	unsigned follows[ENTRIES_MAX]; /* the scheduler by each entry's view */
	uint64_t follows_from_ms[ENTRIES_MAX];
	uint64_t cut_until_ms[ENTRIES_MAX]; /* places on its own view */
	uint64_t change_ms;
	unsigned granted;
	unsigned per_tick[SCHEDULE_MS / TICK_MS];
};

static void
change_scheduler(struct schedule *s, uint64_t now_ms)
{
	s->scheduler = (unsigned)random_below(&s->random, s->entries);
	for (unsigned i = 0; i < s->entries; i++)
		s->follows_from_ms[i] =
		    now_ms + random_below(&s->random, CHANGE_MS);
	s->change_ms = now_ms + 2 * CHANGE_MS + WINDOW_MS;
}

/*
 * Applies the changes of a tick: one scheduler after the other, entries that are
 * cut off for up to 3 s, at times all of them.
 */
static void
disturb(struct schedule *s, uint64_t now_ms)
{
	bool all = random_below(&s->random, 2000) == 0;

	if (now_ms >= s->change_ms && random_below(&s->random, 400) == 0)
		change_scheduler(s, now_ms);
	for (unsigned i = 0; i < s->entries; i++) {
		if (now_ms >= s->follows_from_ms[i] &&
		    s->follows[i] != s->scheduler) {
			s->follows[i] = s->scheduler;
			placement_set_scheduler(
			    s->entry[i], s->scheduler == i, now_ms * US_PER_MS);
		}
		if (all || random_below(&s->random, 4000) == 0)
			s->cut_until_ms[i] =
			    now_ms + random_below(&s->random, 3000);
	}
}

/*
 * Plays a seed; own_views is the part of the limit for all own views.
 */
static void
play(struct schedule *s, unsigned seed, double own_views)
{
	unsigned per_s = 0;

	memset(s, 0, sizeof(*s));
	random_seed(&s->random, seed);
	s->entries = 2 + (unsigned)random_below(&s->random, ENTRIES_MAX - 1);
	s->limit_per_s = 0.1 + random_unit(&s->random) * 40;
	for (unsigned i = 0; i < s->entries; i++) {
		s->entry[i] =
		    new_placement(&s->granted, s->limit_per_s, i == 0);
		placement_set_own_view_share(
		    s->entry[i], own_views / s->entries);
	}
	per_s = (unsigned)(s->limit_per_s * 4) + 20;
	for (unsigned tick = 0; tick < SCHEDULE_MS / TICK_MS; tick++) {
		uint64_t now_ms = 1000 + (uint64_t)tick * TICK_MS;

		s->granted = 0;
		disturb(s, now_ms);
		for (unsigned i = 0; i < s->entries; i++) {
			unsigned at =
			    now_ms < s->cut_until_ms[i] ? i : s->follows[i];

			if (random_below(&s->random, 1000 / TICK_MS) <
			    per_s / s->entries + 1)
				submit(s->entry[at], now_ms * US_PER_MS);
		}
		s->per_tick[tick] = s->granted;
	}
	for (unsigned i = 0; i < s->entries; i++)
		placement_free(s->entry[i]);
}

static unsigned
most_in_window(const struct schedule *s)
{
	const unsigned width = WINDOW_MS / TICK_MS;
	unsigned sum = 0, most = 0;

	for (unsigned i = 0; i < SCHEDULE_MS / TICK_MS; i++) {
		sum += s->per_tick[i];
		sum -= i >= width ? s->per_tick[i - width] : 0;
		most = sum > most ? sum : most;
	}
	return most;
}

static bool
is_above(const struct schedule *s)
{
	return most_in_window(s) > 1.5 * s->limit_per_s * WINDOW_MS / 1000 + 5;
}

/*
 * Whoever schedules, and whoever places on its own view meanwhile: no 4 s have
 * more than one and a half times the limit, and 5.
 */
static void
all_entries_keep_to_the_limit(void **state ATTR_UNUSED)
{
	struct schedule *s = test_calloc(1, sizeof(*s));
	double used = 0;

	for (unsigned seed = 1; seed <= SCHEDULE_SEEDS; seed++) {
		play(s, seed, 0.5);
		if (is_above(s))
			fail_msg("seed %u: limit %.2f, %u entries: %u requests",
			    seed, s->limit_per_s, s->entries,
			    most_in_window(s));
		used += most_in_window(s) / (s->limit_per_s * WINDOW_MS / 1000);
	}
	/* The limit is used, too. */
	assert_true(used / SCHEDULE_SEEDS > 0.8);
	test_free(s);
}

/*
 * The schedules find entries that each use the whole limit on their own view.
 */
static void
planted_whole_limit_for_each_entry_is_found(void **state ATTR_UNUSED)
{
	struct schedule *s = test_calloc(1, sizeof(*s));
	unsigned found = 0;

	for (unsigned seed = 1; seed <= SCHEDULE_SEEDS; seed++) {
		play(s, seed, ENTRIES_MAX);
		found += is_above(s) ? 1 : 0;
	}
	print_message("found in %u of %d seeds\n", found, SCHEDULE_SEEDS);
	assert_true(found > 0);
	test_free(s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(scheduler_grants_the_rate),
	    cmocka_unit_test(other_targets_get_the_rest),
	    cmocka_unit_test(limit_ends),
	    cmocka_unit_test(limit_of_nothing),
	    cmocka_unit_test(takeover_begins_without_tokens),
	    cmocka_unit_test(own_view_uses_its_share),
	    cmocka_unit_test(requests_beyond_the_limit_are_rejected_on_arrival),
	    cmocka_unit_test(all_entries_keep_to_the_limit),
	    cmocka_unit_test(planted_whole_limit_for_each_entry_is_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
