/*
 * Requests under which targets end.  Guards against requests that are refused
 * since they ran beside a harmful one, and against harmful ones that are not.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "retry/crash_ledger.h"
#include "retry/quarantine.h"

enum {
	JUDGED_MS = 200, /* later than the delay of a judgement */
	HARMFUL_MAX = 3,
	POPULAR = 20,
	SEEDS = 300,
	PLAY_ENDS = 60
};

static unsigned verdicts;
static uint64_t last_content;
static uint32_t last_caller;

static void
on_verdict(void *ctx, uint64_t content, uint32_t caller)
{
	verdicts++;
	last_content = content;
	last_caller = caller;
	if (ctx != NULL)
		(void)quarantine_add(
		    ctx, content, caller, UINT64_C(1000) * US_PER_S);
}

static void
judge(struct crash_ledger *ledger, uint64_t at_ms)
{
	verdicts = 0;
	crash_ledger_judge(ledger, at_ms * US_PER_MS, on_verdict, NULL);
}

static void
third_end_of_a_caller_s_request_is_one_too_many(void **state ATTR_UNUSED)
{
	struct crash_ledger *ledger = crash_ledger_new();

	crash_ledger_record(ledger, 7, 1, 100, US_PER_MS);
	crash_ledger_record(ledger, 7, 1, 101, 2 * US_PER_MS);
	/* Reported twice. */
	crash_ledger_record(ledger, 7, 1, 101, 3 * US_PER_MS);
	judge(ledger, JUDGED_MS);
	assert_int_equal(verdicts, 0);
	crash_ledger_record(ledger, 7, 1, 102, JUDGED_MS * US_PER_MS);
	judge(ledger, JUDGED_MS + 10);
	assert_int_equal(verdicts, 0);
	judge(ledger, 2 * JUDGED_MS);
	assert_int_equal(verdicts, 1);
	assert_int_equal(last_content, 7);
	assert_int_equal(last_caller, 1);
	/* Once for each further end. */
	judge(ledger, 3 * JUDGED_MS);
	assert_int_equal(verdicts, 0);
	crash_ledger_free(ledger);
}

static void
ends_under_several_callers_count_for_all(void **state ATTR_UNUSED)
{
	struct crash_ledger *ledger = crash_ledger_new();

	for (unsigned i = 0; i < 3; i++)
		crash_ledger_record(ledger, 7, 1 + i, 100 + i, US_PER_MS);
	judge(ledger, JUDGED_MS);
	assert_int_equal(verdicts, 1);
	assert_int_equal(last_caller, CRASH_ANY_CALLER);
	crash_ledger_free(ledger);
}

static void
answer_to_one_caller_clears_it_alone(void **state ATTR_UNUSED)
{
	struct crash_ledger *ledger = crash_ledger_new();

	assert_false(crash_ledger_answered(ledger, 7, 2));
	for (unsigned i = 0; i < 3; i++)
		crash_ledger_record(ledger, 7, 1, 100 + i, US_PER_MS);
	crash_ledger_record(ledger, 7, 2, 110, US_PER_MS);
	assert_true(crash_ledger_answered(ledger, 7, 2));
	assert_false(crash_ledger_answered(ledger, 7, 2));
	judge(ledger, JUDGED_MS);
	assert_int_equal(verdicts, 1);
	assert_int_equal(last_caller, 1);
	/* What is answered ends no targets, but for others. */
	assert_true(crash_ledger_answered(ledger, 7, 1));
	crash_ledger_record(ledger, 7, 1, 120, JUDGED_MS * US_PER_MS);
	crash_ledger_record(ledger, 7, 2, 121, JUDGED_MS * US_PER_MS);
	crash_ledger_record(ledger, 7, 3, 122, JUDGED_MS * US_PER_MS);
	judge(ledger, 2 * JUDGED_MS);
	assert_int_equal(verdicts, 0);
	crash_ledger_free(ledger);
}

static void
request_beside_a_harmful_one_is_not_blamed(void **state ATTR_UNUSED)
{
	struct crash_ledger *ledger = crash_ledger_new();

	/* Its report comes first each time, and it ran on three of four. */
	for (unsigned i = 0; i < 4; i++) {
		if (i != 1)
			crash_ledger_record(ledger, 8, 1, 100 + i, US_PER_MS);
		crash_ledger_record(ledger, 7, 1, 100 + i, US_PER_MS);
	}
	judge(ledger, JUDGED_MS);
	assert_int_equal(verdicts, 1);
	assert_int_equal(last_content, 7);
	/* The harmful one is refused by now: these ends are another's. */
	for (unsigned i = 0; i < 3; i++)
		crash_ledger_record(
		    ledger, 8, 1, 200 + i, JUDGED_MS * US_PER_MS);
	judge(ledger, 2 * JUDGED_MS);
	assert_int_equal(verdicts, 1);
	assert_int_equal(last_content, 8);
	crash_ledger_free(ledger);
}

static void
ends_that_another_instance_judged_count_at_the_next_one(
    void **state ATTR_UNUSED)
{
	struct crash_ledger *ledger = crash_ledger_new();

	for (unsigned i = 0; i < 3; i++)
		crash_ledger_record(ledger, 7, 1, 100 + i, US_PER_MS);
	crash_ledger_judge(ledger, JUDGED_MS * US_PER_MS, NULL, NULL);
	judge(ledger, 2 * JUDGED_MS);
	assert_int_equal(verdicts, 0);
	crash_ledger_record(ledger, 7, 1, 110, 2 * JUDGED_MS * US_PER_MS);
	judge(ledger, 3 * JUDGED_MS);
	assert_int_equal(verdicts, 1);
	crash_ledger_free(ledger);
}

static void
memory_is_bounded(void **state ATTR_UNUSED)
{
	struct crash_ledger *ledger = crash_ledger_new();

	for (uint64_t i = 0; i < 5000; i++)
		crash_ledger_record(ledger, i, 1, i, US_PER_MS);
	assert_false(crash_ledger_answered(ledger, 0, 1));
	assert_true(crash_ledger_answered(ledger, 4999, 1));
	for (uint64_t i = 0; i < 100; i++)
		crash_ledger_record(ledger, 4998, 1, 10000 + i, US_PER_MS);
	judge(ledger, JUDGED_MS);
	assert_int_equal(verdicts, 1);
	crash_ledger_free(ledger);
}

static void
quarantine_is_by_caller_or_for_all(void **state ATTR_UNUSED)
{
	struct quarantine *q = quarantine_new();

	assert_true(quarantine_add(q, 7, 1, 100 * US_PER_S));
	assert_false(quarantine_add(q, 7, 1, 101 * US_PER_S));
	assert_int_equal(
	    quarantine_left_us(q, 7, 1, 40 * US_PER_S), 60 * US_PER_S);
	assert_int_equal(quarantine_left_us(q, 7, 2, 40 * US_PER_S), 0);
	assert_int_equal(quarantine_left_us(q, 8, 1, 40 * US_PER_S), 0);
	assert_true(quarantine_add(q, 7, CRASH_ANY_CALLER, 90 * US_PER_S));
	assert_int_equal(
	    quarantine_left_us(q, 7, 2, 40 * US_PER_S), 50 * US_PER_S);
	assert_int_equal(
	    quarantine_left_us(q, 7, 1, 40 * US_PER_S), 60 * US_PER_S);
	assert_true(quarantine_remove(q, 7, 1));
	assert_false(quarantine_remove(q, 7, 1));
	assert_int_equal(quarantine_expire(q, 40 * US_PER_S), 1);
	assert_int_equal(quarantine_expire(q, 90 * US_PER_S), 0);
	for (uint64_t i = 0; i < 5000; i++)
		(void)quarantine_add(q, i, 1, 100 * US_PER_S);
	assert_in_range(quarantine_expire(q, US_PER_S), 1, 1024);
	quarantine_free(q);
}

struct play {
	struct random random;
	struct crash_ledger *ledger;
	struct quarantine *quarantine;
	uint64_t now_us;
	unsigned harmful;
	unsigned ends[HARMFUL_MAX]; /* under each, until it is refused */
	uint64_t next_target;
	uint64_t next_single;
};

/*
 * Targets end under a harmful request, with popular ones, which other targets
 * answer soon, and single ones beside it.  Reports come up to 60 ms apart and in
 * any order.
 */
static void
end_target(struct play *p, unsigned harmful)
{
	uint64_t contents[4];
	unsigned count = 1 + (unsigned)random_below(&p->random, 4);
	unsigned first = (unsigned)random_below(&p->random, count);
	uint64_t target = ++p->next_target;

	for (unsigned i = 0; i < count; i++) {
		if (i == first)
			contents[i] = 1 + harmful;
		else if (random_below(&p->random, 2) == 0)
			contents[i] = 100 + random_below(&p->random, POPULAR);
		else
			contents[i] = 1000 + p->next_single++ / 2;
	}
	for (unsigned i = 0; i < count; i++) {
		p->now_us += random_below(&p->random, 20) * US_PER_MS;
		crash_ledger_record(
		    p->ledger, contents[i], 1, target, p->now_us);
		/* Most popular requests have been answered meanwhile. */
		if (contents[i] >= 100 && contents[i] < 1000 &&
		    random_below(&p->random, 4) > 0)
			(void)crash_ledger_answered(p->ledger, contents[i], 1);
	}
	p->ends[harmful]++;
}

static void
play(struct play *p, unsigned seed)
{
	*p = (struct play){.now_us = US_PER_S};
	random_seed(&p->random, seed);
	p->ledger = crash_ledger_new();
	p->quarantine = quarantine_new();
	p->harmful = 1 + (unsigned)random_below(&p->random, HARMFUL_MAX);
	for (unsigned i = 0; i < PLAY_ENDS; i++) {
		unsigned harmful =
		    (unsigned)random_below(&p->random, p->harmful);

		if (quarantine_left_us(
			p->quarantine, 1 + harmful, 1, p->now_us) == 0)
			end_target(p, harmful);
		p->now_us += random_below(&p->random, 300) * US_PER_MS;
		crash_ledger_judge(
		    p->ledger, p->now_us, on_verdict, p->quarantine);
	}
}

static void
count_innocent(void *ctx, uint64_t content, uint32_t caller ATTR_UNUSED,
    uint64_t left_us ATTR_UNUSED)
{
	if (content >= 100)
		++*(unsigned *)ctx;
}

static void
schedules_of_ends_find_the_harmful_requests_alone(void **state ATTR_UNUSED)
{
	unsigned most = 0;
	unsigned innocent = 0;

	for (unsigned seed = 1; seed <= SEEDS; seed++) {
		struct play p;

		play(&p, seed);
		for (unsigned i = 0; i < p.harmful; i++) {
			if (quarantine_left_us(
				p.quarantine, 1 + i, 1, p.now_us) == 0)
				fail_msg("seed %u: %u ends under %u", seed,
				    p.ends[i], i);
			most = p.ends[i] > most ? p.ends[i] : most;
		}
		quarantine_for_each(
		    p.quarantine, p.now_us, count_innocent, &innocent);
		if (innocent > 0)
			fail_msg("seed %u: an innocent request", seed);
		crash_ledger_free(p.ledger);
		quarantine_free(p.quarantine);
	}
	print_message("most ends under a harmful request: %u\n", most);
	/* The third, and what began before it was judged. */
	assert_in_range(most, CRASHES_MAX, CRASHES_MAX + 3);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(third_end_of_a_caller_s_request_is_one_too_many),
	    cmocka_unit_test(ends_under_several_callers_count_for_all),
	    cmocka_unit_test(answer_to_one_caller_clears_it_alone),
	    cmocka_unit_test(request_beside_a_harmful_one_is_not_blamed),
	    cmocka_unit_test(
		ends_that_another_instance_judged_count_at_the_next_one),
	    cmocka_unit_test(memory_is_bounded),
	    cmocka_unit_test(quarantine_is_by_caller_or_for_all),
	    cmocka_unit_test(schedules_of_ends_find_the_harmful_requests_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
