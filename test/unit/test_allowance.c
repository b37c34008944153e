/*
 * Allowances of accounts: the decisions of voters and entries, and the bound on
 * all entries together over seeds of faults, in virtual time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "limit/allowance_draw.h"
#include "support_allowance.h"

enum {
	WINDOW_US = 5000 * 1000,
	SHARES = 5,
	SEEDS = 2
};

static unsigned
draw(struct allowance_table *table, double rate, double burst, uint64_t index,
    uint64_t request, unsigned want, uint64_t now_us)
{
	const struct allowance_limit limit = {rate, burst, index};

	return allowance_table_draw(
	    table, "a", &limit, 1, request, want, now_us)
	    .granted;
}

static unsigned
draw_all(struct allowance_table *table, double rate, double burst,
    uint64_t index, uint64_t now_us)
{
	unsigned count = 0;

	while (draw(table, rate, burst, index, 1000 + count, 1, now_us) == 1)
		count++;
	return count;
}

/*
 * Guards against a voter that grants its whole share again after a restart, and
 * against one that withholds from a new account what has accrued since.
 */
static void
a_bucket_holds_what_has_accrued_since_the_start(void **state ATTR_UNUSED)
{
	struct allowance_table *table =
	    allowance_table_new(SHARES, WINDOW_US, US_PER_S);

	assert_int_equal(draw_all(table, 100, 500, 1, US_PER_S), 1);
	assert_int_equal(draw_all(table, 100, 500, 1, 2 * US_PER_S), 20);
	allowance_table_reset(table, 3 * US_PER_S);
	assert_int_equal(draw_all(table, 100, 500, 1, 4 * US_PER_S), 21);
	assert_int_equal(draw_all(table, 100, 500, 1, 100 * US_PER_S), 100);
	allowance_table_free(table);
}

/*
 * Guards against a lower limit that holds only once the old burst is spent, and
 * against an entry with an older document that brings the old limit back.
 */
static void
the_limit_of_the_newest_document_counts(void **state ATTR_UNUSED)
{
	struct allowance_table *table =
	    allowance_table_new(SHARES, WINDOW_US, 0);

	assert_int_equal(draw(table, 100, 500, 1, 1, 1, 60 * US_PER_S), 1);
	assert_int_equal(draw_all(table, 10, 50, 2, 60 * US_PER_S), 10);
	assert_int_equal(draw_all(table, 100, 500, 1, 61 * US_PER_S), 2);
	allowance_table_free(table);
}

/*
 * Guards against tokens that come back twice, or so late that they add to
 * another window.
 */
static void
a_token_is_returned_once_and_in_time(void **state ATTR_UNUSED)
{
	struct allowance_table *table =
	    allowance_table_new(SHARES, WINDOW_US, 0);
	uint64_t now = 60 * US_PER_S;

	assert_int_equal(draw(table, 50, 50, 1, 7, 1, now), 1);
	assert_int_equal(allowance_table_return(table, "a", 1, 8, 1, now), 0);
	assert_int_equal(allowance_table_return(table, "a", 2, 7, 1, now), 0);
	assert_int_equal(allowance_table_return(table, "a", 1, 7, 9, now), 1);
	assert_int_equal(allowance_table_return(table, "a", 1, 7, 1, now), 0);
	assert_int_equal(draw(table, 50, 50, 1, 9, 1, now), 1);
	assert_int_equal(allowance_table_return(table, "a", 1, 9, 1,
			     now + ALLOWANCE_TOKEN_MS * US_PER_MS),
	    0);
	allowance_table_free(table);
}

/*
 * Guards against a share that grants more at one moment than its capacity and
 * the excess, since old tokens were returned for it: if its process ends then,
 * the next one fills its bucket while all of them are still live.
 */
static void
returned_tokens_do_not_add_to_new_ones(void **state ATTR_UNUSED)
{
	/* A token lives for 100 ms, in which 10 accrue. */
	struct allowance_table *table = allowance_table_new(1, US_PER_S, 0);
	uint64_t now = 10 * US_PER_S;
	unsigned fresh = 0;

	for (uint64_t round = 1; round <= 6; round++) {
		unsigned old = fresh;

		now += 99 * US_PER_MS;
		for (fresh = 0; fresh < 15; fresh++)
			assert_int_equal(draw(table, 100, 100, 1,
					     round * 1000 + fresh, 1, now),
			    1);
		for (unsigned i = 0; i < old; i++)
			(void)allowance_table_return(
			    table, "a", 1, (round - 1) * 1000 + i, 1, now);
	}
	while (draw(table, 100, 100, 1, 9000 + fresh, 1, now) == 1)
		fresh++;
	assert_in_range(fresh, 100, 100 + ALLOWANCE_EXCESS);
	allowance_table_free(table);
}

/*
 * Guards against spare tokens beyond a quarter of the rest, or beyond the sum
 * that may be unspent at a time.
 */
static void
spare_tokens_are_few(void **state ATTR_UNUSED)
{
	struct allowance_table *table =
	    allowance_table_new(SHARES, WINDOW_US, 0);
	uint64_t now = 600 * US_PER_S;

	/* 0.02 x (500 x 5 + 500) / 5 + 1 = 13 */
	assert_int_equal(draw(table, 500, 500, 1, 1, 64, now), 1 + 13);
	assert_int_equal(draw(table, 500, 500, 1, 2, 64, now), 1);
	(void)draw_all(table, 500, 500, 1, now);
	assert_int_equal(
	    draw(table, 500, 500, 1, 3, 64, now + 100 * US_PER_MS), 1);
	assert_int_equal(
	    draw(table, 500, 500, 1, 4, 64, now + 590 * US_PER_MS), 1 + 13);
	allowance_table_free(table);
}

static bool
draw_for_number(struct allowance_table *table, unsigned number, uint64_t now_us)
{
	const struct allowance_limit limit = {100, 50, 1};
	char account[16];

	snprintf(account, sizeof(account), "a%u", number);
	return !allowance_table_draw(
	    table, account, &limit, 1, number, 1, now_us)
		    .unavailable;
}

/*
 * Guards against a scan of all buckets, 0.4 ms, for each draw of an account
 * that has none while the table is full.
 */
static void
a_full_table_is_swept_once_a_second(void **state ATTR_UNUSED)
{
	struct allowance_table *table =
	    allowance_table_new(SHARES, WINDOW_US, 0);
	uint64_t now = 60 * US_PER_S;
	uint64_t unused = now + 600 * US_PER_S;

	for (unsigned i = 0; i < ALLOWANCE_BUCKETS_MAX; i++)
		assert_true(draw_for_number(table, i, now));
	assert_false(draw_for_number(
	    table, ALLOWANCE_BUCKETS_MAX, unused - 600 * US_PER_MS));
	assert_false(draw_for_number(
	    table, ALLOWANCE_BUCKETS_MAX, unused + 100 * US_PER_MS));
	assert_true(draw_for_number(
	    table, ALLOWANCE_BUCKETS_MAX, unused + 400 * US_PER_MS));
	allowance_table_free(table);
}

static struct allowance_step
answer(struct allowance_draws *draws, const struct allowance_step *asked,
    unsigned granted, uint64_t retry_us, uint64_t now_us)
{
	const struct allowance_result result = {
	    .granted = granted,
	    .retry_us = retry_us,
	};

	return allowance_draws_on_result(
	    draws, asked->request, &result, 3, now_us);
}

/*
 * Guards against a frozen entry that wakes and uses the answers in its socket,
 * and against tokens that are lost or used twice when a request is not sent.
 */
static void
an_entry_uses_each_token_once_and_in_time(void **state ATTR_UNUSED)
{
	const struct allowance_limit limit = {10, 10, 1};
	struct allowance_draws *draws = allowance_draws_new(WINDOW_US, 0);
	struct allowance_call first = {0};
	struct allowance_call second = {0};
	struct allowance_step step;
	uint64_t now = 10 * US_PER_S;

	(void)allowance_draws_name_voter(draws, "v0", now);
	(void)allowance_draws_name_voter(draws, "v1", now);
	step = allowance_draws_begin(draws, &first, "a", &limit, 3, now);
	assert_int_equal(step.kind, ALLOWANCE_ASK);
	step = answer(draws, &step, 1, 0, now + US_PER_S);
	assert_int_equal(step.kind, ALLOWANCE_ASK);
	now += US_PER_S;
	step = answer(draws, &step, 1, 0, now);
	assert_int_equal(step.kind, ALLOWANCE_GRANTED);
	allowance_draws_end(draws, &first, false, now);
	step = allowance_draws_begin(draws, &second, "a", &limit, 3, now);
	assert_int_equal(step.kind, ALLOWANCE_GRANTED);
	step = allowance_draws_begin(draws, &first, "a", &limit, 3, now);
	assert_int_equal(step.kind, ALLOWANCE_ASK);
	allowance_draws_end(draws, &first, false, now);
	allowance_draws_end(draws, &second, true, now);
	allowance_draws_free(draws);
}

/*
 * Guards against 429 where no voter has said that there is no room, and against
 * 503 where one has.
 */
static void
all_voters_are_asked_before_a_refusal(void **state ATTR_UNUSED)
{
	const struct allowance_limit limit = {10, 10, 1};
	struct allowance_draws *draws = allowance_draws_new(WINDOW_US, 0);
	struct allowance_call call = {0};
	struct allowance_step step;
	uint64_t now = 10 * US_PER_S;

	(void)allowance_draws_name_voter(draws, "v0", now);
	(void)allowance_draws_name_voter(draws, "v1", now);
	step = allowance_draws_begin(draws, &call, "a", &limit, 0, now);
	assert_int_equal(step.kind, ALLOWANCE_UNKNOWN);
	allowance_draws_end(draws, &call, false, now);
	step = allowance_draws_begin(draws, &call, "a", &limit, 3, now);
	step = allowance_draws_on_silence(draws, &call, 3, now);
	assert_int_equal(step.kind, ALLOWANCE_ASK);
	step = answer(draws, &step, 0, 70 * US_PER_MS, now);
	assert_int_equal(step.kind, ALLOWANCE_REFUSED);
	assert_int_equal(step.retry_us, 70 * US_PER_MS);
	allowance_draws_end(draws, &call, false, now);
	step = allowance_draws_begin(draws, &call, "a", &limit, 3, now);
	assert_int_equal(step.kind, ALLOWANCE_ASK);
	step = allowance_draws_on_silence(draws, &call, 3, now);
	assert_int_equal(step.kind, ALLOWANCE_REFUSED);
	allowance_draws_end(draws, &call, false, now);
	allowance_draws_free(draws);
}

/*
 * Returns how many of the requests that begin every 10 ms for ms draw from a
 * voter; each is refused, the last ones at once.
 */
static unsigned
count_refused_draws(
    struct allowance_draws *draws, uint64_t *now_us, unsigned ms)
{
	const struct allowance_limit limit = {100, 50, 1};
	unsigned asked = 0;

	for (unsigned i = 0; i < ms; i += 10, *now_us += 10 * US_PER_MS) {
		struct allowance_call call = {0};
		struct allowance_step step = allowance_draws_begin(
		    draws, &call, "a", &limit, 3, *now_us);

		while (step.kind == ALLOWANCE_ASK) {
			asked++;
			step = answer(draws, &step, 0, 5 * US_PER_MS, *now_us);
		}
		assert_int_equal(step.kind, ALLOWANCE_REFUSED);
		assert_int_equal(step.retry_us, 5 * US_PER_MS);
		assert_int_equal(step.paced, call.asked_count == 0);
		allowance_draws_end(draws, &call, false, *now_us);
	}
	return asked;
}

static struct allowance_draws *
draws_of_two_voters(uint64_t now_us)
{
	struct allowance_draws *draws = allowance_draws_new(WINDOW_US, 0);

	(void)allowance_draws_name_voter(draws, "v0", now_us);
	(void)allowance_draws_name_voter(draws, "v1", now_us);
	return draws;
}

/*
 * Guards against a message to each voter for each request of an account that is
 * empty: 7,833 answers 429 in 6 s took five or six draws each.
 */
static void
an_empty_account_costs_two_draws_a_second(void **state ATTR_UNUSED)
{
	uint64_t now = 10 * US_PER_S;
	struct allowance_draws *draws = draws_of_two_voters(now);
	unsigned first = count_refused_draws(draws, &now, 1000);

	assert_in_range(first, 2, 5 + 2);
	assert_in_range(count_refused_draws(draws, &now, 4000), 7, 8);
	assert_in_range(
	    allowance_draws_counts(draws).paced, 500 - first - 8, 500 - 8);
	allowance_draws_free(draws);
}

/*
 * Guards against an account that stays limited when it has room again: the
 * voter has spare tokens, or has refused nothing for half a second.
 */
static void
an_account_with_room_draws_as_before(void **state ATTR_UNUSED)
{
	const struct allowance_limit limit = {100, 50, 1};
	uint64_t now = 10 * US_PER_S;
	struct allowance_draws *draws = draws_of_two_voters(now);
	struct allowance_call calls[8] = {0};
	struct allowance_step step;

	(void)count_refused_draws(draws, &now, 1000);
	now += 500 * US_PER_MS;
	step = allowance_draws_begin(draws, &calls[0], "a", &limit, 3, now);
	assert_int_equal(step.kind, ALLOWANCE_ASK);
	(void)answer(draws, &step, 2, 0, now);
	step = allowance_draws_begin(draws, &calls[1], "a", &limit, 3, now);
	assert_int_equal(step.kind, ALLOWANCE_GRANTED);
	for (unsigned i = 2; i < 8; i++) {
		step = allowance_draws_begin(
		    draws, &calls[i], "a", &limit, 3, now);
		assert_int_equal(step.kind, ALLOWANCE_ASK);
	}
	for (unsigned i = 0; i < 8; i++)
		allowance_draws_end(draws, &calls[i], true, now);
	allowance_draws_free(draws);
}

/*
 * Guards against an account of which only the share of the nearest voter can
 * be used, since the few draws all go there.
 */
static void
paced_draws_go_to_the_voter_that_has_waited_longest(void **state ATTR_UNUSED)
{
	const struct allowance_limit limit = {0.1, 50, 1};
	uint64_t now = 10 * US_PER_S;
	struct allowance_draws *draws = draws_of_two_voters(now);
	unsigned asked[2] = {0, 0};

	for (unsigned i = 0; i < 40; i++, now += 200 * US_PER_MS) {
		struct allowance_call call = {0};
		struct allowance_step step =
		    allowance_draws_begin(draws, &call, "a", &limit, 3, now);

		while (step.kind == ALLOWANCE_ASK) {
			asked[step.voter]++;
			step = answer(draws, &step, 0, US_PER_S,
			    now + (step.voter == 0 ? 0 : 5 * US_PER_MS));
		}
		allowance_draws_end(draws, &call, false, now);
	}
	assert_in_range(asked[0], asked[1] - 1, asked[1] + 1);
	allowance_draws_free(draws);
}

/*
 * Guards against an address that is too long to be kept whole: it took another
 * number with each list of members, until there was none left for a voter.
 */
static void
a_long_address_takes_no_number(void **state ATTR_UNUSED)
{
	struct allowance_draws *draws = allowance_draws_new(WINDOW_US, 0);
	char address[200];

	memset(address, 'a', sizeof(address) - 1);
	address[sizeof(address) - 1] = '\0';
	for (unsigned i = 0; i < 20; i++)
		assert_int_equal(
		    allowance_draws_name_voter(draws, address, US_PER_S),
		    ALLOWANCE_VOTERS_MAX);
	assert_int_equal(allowance_draws_name_voter(draws, "v0", US_PER_S), 0);
	allowance_draws_free(draws);
}

/*
 * Returns the most draws for each request of a caller: below 2 where an entry
 * has demand beyond the allowance and requests each second.
 */
static double
most_draws(const struct allowance_model *m)
{
	return m->demand >= 2 && m->rate_per_s * m->demand >= m->entries &&
		!m->faults && m->pause_ms == 0 &&
		m->restart == ALLOWANCE_RESTART_NONE
	    ? 2
	    : 10;
}

/*
 * Returns the least share of what is asked 1 to 3 s after the first grant that
 * must not be refused: 0.95 below the allowance.
 */
static double
soon_least(const struct allowance_model *m)
{
	return m->restart != ALLOWANCE_RESTART_NONE && m->demand < 1 ? 0.95 : 0;
}

/*
 * Guards against any window above the bound, whatever fails, and against
 * refusals below the allowance where nothing does.
 */
static void
the_bound_holds_and_the_allowance_is_usable(void **state ATTR_UNUSED)
{
	for (const struct allowance_model *m = allowance_models;
	     m->name != NULL; m++) {
		for (unsigned seed = 1; seed <= SEEDS; seed++) {
			struct allowance_outcome o =
			    allowance_model_run(m, seed);

			if (o.above > 0 || o.soon < soon_least(m) ||
			    (!m->faults && m->pause_ms == 0 &&
				m->restart == ALLOWANCE_RESTART_NONE &&
				o.usable < 0.95) ||
			    o.draws >= most_draws(m) * o.sent)
				fail_msg("%s, seed %u: %u windows above, "
					 "usable %.3f, soon %.3f, %u draws for "
					 "%u requests",
				    m->name, seed, o.above, o.usable, o.soon,
				    o.draws, o.sent);
		}
	}
}

/*
 * Guards against a checker that finds nothing: each voter holds the whole rate.
 */
static void
the_checker_finds_a_planted_violation(void **state ATTR_UNUSED)
{
	const struct allowance_model whole = {"whole rate at each voter", 100,
	    50, 5000, 7, 141, 0, 10, 0, 0, false, 0, 1, ALLOWANCE_RESTART_NONE,
	    false, ALLOWANCE_DISK_GOOD};

	assert_true(allowance_model_run(&whole, 1).above > 0);
}

/*
 * Guards against a measure that does not see what the earlier rules refused: a
 * wait after the restart of all processes, and one token without what accrued.
 */
static void
the_earlier_rules_refuse_after_a_restart(void **state ATTR_UNUSED)
{
	const struct allowance_model all = {"all restart, earlier rules", 100,
	    50, 5000, 0.6, 141, 0, 20, 0, 0, false, 0, 0, ALLOWANCE_RESTART_ALL,
	    true, ALLOWANCE_DISK_NONE};

	assert_true(allowance_model_run(&all, 1).soon < 0.95);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_bucket_holds_what_has_accrued_since_the_start),
	    cmocka_unit_test(the_limit_of_the_newest_document_counts),
	    cmocka_unit_test(a_token_is_returned_once_and_in_time),
	    cmocka_unit_test(returned_tokens_do_not_add_to_new_ones),
	    cmocka_unit_test(spare_tokens_are_few),
	    cmocka_unit_test(a_full_table_is_swept_once_a_second),
	    cmocka_unit_test(an_entry_uses_each_token_once_and_in_time),
	    cmocka_unit_test(all_voters_are_asked_before_a_refusal),
	    cmocka_unit_test(an_empty_account_costs_two_draws_a_second),
	    cmocka_unit_test(an_account_with_room_draws_as_before),
	    cmocka_unit_test(
		paced_draws_go_to_the_voter_that_has_waited_longest),
	    cmocka_unit_test(a_long_address_takes_no_number),
	    cmocka_unit_test(the_bound_holds_and_the_allowance_is_usable),
	    cmocka_unit_test(the_checker_finds_a_planted_violation),
	    cmocka_unit_test(the_earlier_rules_refuse_after_a_restart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
