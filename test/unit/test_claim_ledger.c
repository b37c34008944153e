/*
 * Tests of src/claim/ledger.h, the last one against a naive ledger that
 * keeps everything in one array.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"
#include "claim/ledger.h"

enum {
	RETENTION_S = 7200,
	OPEN_MAX_S = 3600,
	CLAIMS_MAX = 10
};

static struct claim_key
key_named(const char *service, const char *key)
{
	return (struct claim_key){
	    .tenant = STR_LITERAL("store-7"),
	    .service = str_from(service),
	    .key = str_from(key),
	};
}

static struct claim_holder
holder(const char *entry, uint64_t incarnation, uint64_t attempt)
{
	return (struct claim_holder){
	    .entry = str_from(entry),
	    .incarnation = incarnation,
	    .attempt = attempt,
	};
}

static struct claim_open
open_of(const char *key, struct claim_holder by, char body, uint64_t time_s)
{
	struct claim_open open = {
	    .key = key_named("orders", key),
	    .holder = by,
	    .retention_us = RETENTION_S * US_PER_S,
	    .claims_max = CLAIMS_MAX,
	    .time_us = time_s * US_PER_S,
	};

	memset(open.digest, body, sizeof(open.digest));
	return open;
}

static enum claim_verdict
try_open(struct claim_ledger *ledger, const char *key, struct claim_holder by,
    char body, uint64_t time_s)
{
	struct claim_open open = open_of(key, by, body, time_s);
	struct claim_answer answer;

	return claim_ledger_open(ledger, &open, &answer);
}

static bool
try_end(struct claim_ledger *ledger, const char *key, struct claim_holder by,
    enum claim_ending ending, uint64_t time_s)
{
	struct claim_end end = {
	    .key = key_named("orders", key),
	    .holder = by,
	    .ending = ending,
	    .answer =
		{
		    .http_status = 201,
		    .content_type = STR_LITERAL("text/plain"),
		    .body = STR_LITERAL("printed"),
		    .kept = true,
		},
	    .time_us = time_s * US_PER_S,
	};

	return claim_ledger_end(ledger, &end);
}

static void
a_claim_runs_once_and_keeps_its_answer(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();
	struct claim_open again = open_of("k", holder("e2", 1, 1), 'a', 3);
	struct claim_answer answer;

	assert_int_equal(try_open(ledger, "k", holder("e1", 1, 1), 'a', 1),
	    CLAIM_VERDICT_GRANTED);
	assert_int_equal(try_open(ledger, "k", holder("e2", 1, 1), 'a', 2),
	    CLAIM_VERDICT_IN_PROGRESS);
	assert_int_equal(try_open(ledger, "k", holder("e2", 1, 2), 'b', 2),
	    CLAIM_VERDICT_KEY_REUSED);
	assert_true(
	    try_end(ledger, "k", holder("e1", 1, 1), CLAIM_ENDED_ANSWERED, 2));
	assert_int_equal(
	    claim_ledger_open(ledger, &again, &answer), CLAIM_VERDICT_DONE);
	assert_int_equal(answer.http_status, 201);
	assert_true(str_equal_c(answer.body, "printed"));
	assert_true(str_equal_c(answer.content_type, "text/plain"));
	claim_ledger_free(ledger);
}

static void
a_resent_open_is_granted_again(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();

	assert_int_equal(try_open(ledger, "k", holder("e1", 1, 1), 'a', 1),
	    CLAIM_VERDICT_GRANTED);
	assert_int_equal(try_open(ledger, "k", holder("e1", 1, 1), 'a', 2),
	    CLAIM_VERDICT_GRANTED);
	assert_int_equal(try_open(ledger, "k", holder("e1", 2, 1), 'a', 2),
	    CLAIM_VERDICT_IN_PROGRESS);
	assert_int_equal(claim_ledger_count(ledger), 1);
	claim_ledger_free(ledger);
}

static void
only_the_holder_ends_a_claim(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();

	(void)try_open(ledger, "k", holder("e1", 1, 1), 'a', 1);
	assert_false(
	    try_end(ledger, "k", holder("e1", 1, 2), CLAIM_ENDED_NOT_RUN, 2));
	assert_false(
	    try_end(ledger, "k", holder("e1", 2, 1), CLAIM_ENDED_NOT_RUN, 2));
	assert_false(
	    try_end(ledger, "k", holder("e2", 1, 1), CLAIM_ENDED_NOT_RUN, 2));
	assert_int_equal(claim_ledger_end_entry_claims(
			     ledger, str_from("e1"), 1, 3, NULL, NULL),
	    1);
	assert_false(
	    try_end(ledger, "k", holder("e1", 1, 1), CLAIM_ENDED_ANSWERED, 4));
	assert_int_equal(try_open(ledger, "k", holder("e2", 1, 1), 'a', 5),
	    CLAIM_VERDICT_UNKNOWN);
	claim_ledger_free(ledger);
}

static void
a_claim_not_run_may_run_later(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();

	(void)try_open(ledger, "k", holder("e1", 1, 1), 'a', 1);
	assert_true(
	    try_end(ledger, "k", holder("e1", 1, 1), CLAIM_ENDED_NOT_RUN, 2));
	/* The same attempt's open, delayed, may not bring it back. */
	assert_int_equal(try_open(ledger, "k", holder("e1", 1, 1), 'a', 3),
	    CLAIM_VERDICT_UNKNOWN);
	assert_int_equal(try_open(ledger, "k", holder("e1", 1, 2), 'b', 3),
	    CLAIM_VERDICT_KEY_REUSED);
	assert_int_equal(try_open(ledger, "k", holder("e1", 1, 2), 'a', 3),
	    CLAIM_VERDICT_GRANTED);
	claim_ledger_free(ledger);
}

static void
an_end_that_overtakes_its_open_fences_it(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();

	assert_true(
	    try_end(ledger, "k", holder("e1", 1, 1), CLAIM_ENDED_NOT_RUN, 1));
	assert_int_equal(try_open(ledger, "k", holder("e1", 1, 1), 'a', 2),
	    CLAIM_VERDICT_UNKNOWN);
	assert_int_equal(try_open(ledger, "k", holder("e2", 1, 1), 'a', 2),
	    CLAIM_VERDICT_GRANTED);
	assert_false(
	    try_end(ledger, "j", holder("e1", 1, 3), CLAIM_ENDED_ANSWERED, 3));
	claim_ledger_free(ledger);
}

static void
a_full_ledger_refuses_and_forgets_nothing(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();
	char name[] = "k0";

	for (int i = 0; i < CLAIMS_MAX; i++) {
		name[1] = (char)('0' + i);
		(void)try_open(ledger, name, holder("e1", 1, 1), 'a', 1);
		(void)try_end(
		    ledger, name, holder("e1", 1, 1), CLAIM_ENDED_ANSWERED, 1);
	}
	assert_int_equal(
	    try_open(ledger, "x", holder("e1", 1, 1), 'a', RETENTION_S),
	    CLAIM_VERDICT_FULL);
	assert_int_equal(
	    try_open(ledger, "k3", holder("e1", 1, 9), 'a', RETENTION_S),
	    CLAIM_VERDICT_DONE);
	/* Time that goes back with a new leader brings nothing back. */
	assert_int_equal(
	    try_open(ledger, "x", holder("e1", 1, 1), 'a', RETENTION_S + 1),
	    CLAIM_VERDICT_GRANTED);
	assert_int_equal(try_open(ledger, "k3", holder("e1", 1, 9), 'a', 1),
	    CLAIM_VERDICT_GRANTED);
	claim_ledger_free(ledger);
}

static void
a_claim_open_for_too_long_is_unknown(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();

	(void)try_open(ledger, "k", holder("e1", 1, 1), 'a', 1);
	assert_int_equal(
	    try_open(ledger, "k", holder("e2", 1, 1), 'a', OPEN_MAX_S),
	    CLAIM_VERDICT_IN_PROGRESS);
	assert_int_equal(
	    try_open(ledger, "k", holder("e2", 1, 1), 'a', OPEN_MAX_S + 1),
	    CLAIM_VERDICT_UNKNOWN);
	assert_false(try_end(ledger, "k", holder("e1", 1, 1),
	    CLAIM_ENDED_NOT_RUN, OPEN_MAX_S + 2));
	assert_int_equal(try_open(ledger, "k", holder("e2", 1, 1), 'a',
			     OPEN_MAX_S + RETENTION_S),
	    CLAIM_VERDICT_UNKNOWN);
	claim_ledger_free(ledger);
}

static void
memory_returns_to_nothing(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();
	uint64_t empty = claim_ledger_bytes(ledger);

	(void)try_open(ledger, "k", holder("e1", 1, 1), 'a', 1);
	assert_true(claim_ledger_bytes(ledger) > empty);
	(void)try_end(ledger, "k", holder("e1", 1, 1), CLAIM_ENDED_ANSWERED, 1);
	(void)try_end(ledger, "j", holder("e1", 1, 2), CLAIM_ENDED_NOT_RUN, 1);
	for (unsigned i = 0; i < 4; i++)
		(void)try_end(ledger, "none", holder("e1", 1, 3),
		    CLAIM_ENDED_UNKNOWN, 3 * RETENTION_S + i);
	assert_int_equal(claim_ledger_bytes(ledger), empty);
	claim_ledger_free(ledger);
}

/* A kept answer of 1 MiB. */
static void
answer_large(struct claim_ledger *ledger, const char *service, unsigned number)
{
	static char body[1 << 20];
	char name[16];
	struct claim_open open = open_of("", holder("e1", 1, number), 'a', 1);
	struct claim_end end = {
	    .holder = open.holder,
	    .ending = CLAIM_ENDED_ANSWERED,
	    .answer = {.http_status = 201,
		.body = str_of(body, sizeof(body)),
		.kept = true},
	    .time_us = US_PER_S,
	};
	struct claim_answer answer;

	(void)snprintf(name, sizeof(name), "%u", number);
	open.key = key_named(service, name);
	open.claims_max = UINT64_MAX;
	end.key = open.key;
	assert_int_equal(
	    claim_ledger_open(ledger, &open, &answer), CLAIM_VERDICT_GRANTED);
	assert_true(claim_ledger_end(ledger, &end));
}

static enum claim_verdict
verdict_of(struct claim_ledger *ledger, const char *service, const char *name)
{
	struct claim_open open = open_of(name, holder("e9", 1, 1), 'a', 2);
	struct claim_answer answer;

	open.key = key_named(service, name);
	return claim_ledger_open(ledger, &open, &answer);
}

static void
kept_answers_are_bounded_by_service(void **state ATTR_UNUSED)
{
	enum {
		ANSWERS = 100,
		BOUND = 32 << 20
	};
	struct claim_ledger *ledger = claim_ledger_new();

	answer_large(ledger, "orders", 1);
	for (unsigned i = 1; i <= ANSWERS; i++)
		answer_large(ledger, "artwork", i);
	assert_true(claim_ledger_bytes(ledger) < BOUND);
	assert_int_equal(claim_ledger_count(ledger), ANSWERS + 1);
	/* The crowding service lost its oldest answers, the other none. */
	assert_int_equal(verdict_of(ledger, "orders", "1"), CLAIM_VERDICT_DONE);
	assert_int_equal(
	    verdict_of(ledger, "artwork", "1"), CLAIM_VERDICT_DONE_NOT_KEPT);
	assert_int_equal(
	    verdict_of(ledger, "artwork", "100"), CLAIM_VERDICT_DONE);
	claim_ledger_free(ledger);
}

static void
visit_holder(void *ctx, struct str entry, uint64_t incarnation, uint64_t open)
{
	uint64_t *sum = ctx;

	assert_true(str_equal_c(entry, "e1"));
	*sum += incarnation * 100 + open;
}

static void
late_opens_of_a_lost_entry_show(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();
	uint64_t sum = 0;

	(void)claim_ledger_end_entry_claims(
	    ledger, str_from("e1"), 4, 1, NULL, NULL);
	(void)try_open(ledger, "k", holder("e1", 4, 1), 'a', 2);
	(void)try_open(ledger, "j", holder("e1", 4, 2), 'a', 2);
	claim_ledger_for_each_holder(ledger, visit_holder, &sum);
	assert_int_equal(sum, 402);
	(void)claim_ledger_end_entry_claims(
	    ledger, str_from("e1"), 4, 3, NULL, NULL);
	claim_ledger_for_each_holder(ledger, visit_holder, &sum);
	assert_int_equal(sum, 402);
	claim_ledger_free(ledger);
}

static void
a_damaged_snapshot_is_refused(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();
	struct claim_ledger *other = claim_ledger_new();
	struct str_buf saved = {0};

	(void)try_open(ledger, "k", holder("e1", 1, 1), 'a', 1);
	claim_ledger_save(ledger, &saved);
	for (size_t i = 0; i < saved.len; i++) {
		saved.data[i] ^= 1;
		assert_int_equal(claim_ledger_load(other, str_buf_view(&saved)),
		    STATUS_CORRUPT);
		saved.data[i] ^= 1;
		assert_int_equal(
		    claim_ledger_load(other, str_of(saved.data, i)),
		    STATUS_CORRUPT);
	}
	assert_int_equal(claim_ledger_count(other), 0);
	assert_int_equal(
	    claim_ledger_load(other, str_buf_view(&saved)), STATUS_OK);
	assert_int_equal(claim_ledger_count(other), 1);
	str_buf_free(&saved);
	claim_ledger_free(ledger);
	claim_ledger_free(other);
}

/* The naive ledger: every key's state, searched and expired in full. */
enum {
	NAIVE_KEYS = 12,
	NAIVE_STEPS = 20000,
	NAIVE_SERVICES = 3,
	NAIVE_ENTRIES = 3,
	NAIVE_MAX = 3
};

enum naive_state {
	NAIVE_NONE,
	NAIVE_OPEN,
	NAIVE_DONE,
	NAIVE_UNKNOWN,
	NAIVE_RELEASED
};

struct naive_claim {
	enum naive_state state;
	unsigned service, entry, incarnation, attempt;
	char body;
	uint64_t expires_s;
};

struct naive {
	struct naive_claim claims[NAIVE_KEYS];
	uint64_t now_s;
};

static void
naive_tick(struct naive *naive, uint64_t now_s)
{
	if (now_s > naive->now_s)
		naive->now_s = now_s;
	for (unsigned i = 0; i < NAIVE_KEYS; i++) {
		struct naive_claim *claim = &naive->claims[i];

		if (claim->expires_s > naive->now_s)
			continue;
		if (claim->state == NAIVE_OPEN) {
			claim->state = NAIVE_UNKNOWN;
			claim->expires_s = naive->now_s + RETENTION_S;
		} else {
			claim->state = NAIVE_NONE;
		}
	}
}

static bool
naive_holds(const struct naive_claim *claim, const struct naive_claim *by)
{
	return claim->entry == by->entry &&
	    claim->incarnation == by->incarnation &&
	    claim->attempt == by->attempt;
}

static enum claim_verdict
naive_open(struct naive *naive, unsigned i, const struct naive_claim *by)
{
	struct naive_claim *claim = &naive->claims[i];
	unsigned count = 0;

	if (claim->state == NAIVE_RELEASED && naive_holds(claim, by))
		return CLAIM_VERDICT_UNKNOWN;
	if (claim->state == NAIVE_RELEASED && claim->body != '\0' &&
	    claim->body != by->body)
		return CLAIM_VERDICT_KEY_REUSED;
	if (claim->state == NAIVE_NONE || claim->state == NAIVE_RELEASED) {
		for (unsigned j = 0; j < NAIVE_KEYS; j++)
			count += j % NAIVE_SERVICES == i % NAIVE_SERVICES &&
			    naive->claims[j].state != NAIVE_NONE &&
			    naive->claims[j].state != NAIVE_RELEASED;
		if (count >= NAIVE_MAX)
			return CLAIM_VERDICT_FULL;
		*claim = *by;
		claim->state = NAIVE_OPEN;
		claim->expires_s = naive->now_s + OPEN_MAX_S;
		return CLAIM_VERDICT_GRANTED;
	}
	if (claim->body != by->body)
		return CLAIM_VERDICT_KEY_REUSED;
	if (claim->state == NAIVE_OPEN)
		return naive_holds(claim, by) ? CLAIM_VERDICT_GRANTED
					      : CLAIM_VERDICT_IN_PROGRESS;
	return claim->state == NAIVE_DONE ? CLAIM_VERDICT_DONE
					  : CLAIM_VERDICT_UNKNOWN;
}

static bool
naive_end(struct naive *naive, unsigned i, const struct naive_claim *by,
    enum claim_ending ending)
{
	static const enum naive_state states[] = {
	    NAIVE_DONE, NAIVE_RELEASED, NAIVE_UNKNOWN};
	struct naive_claim *claim = &naive->claims[i];
	bool free =
	    claim->state == NAIVE_NONE || claim->state == NAIVE_RELEASED;

	if (free && ending != CLAIM_ENDED_NOT_RUN)
		return false;
	if (!free && (claim->state != NAIVE_OPEN || !naive_holds(claim, by)))
		return false;
	if (free) {
		char body = claim->state == NAIVE_NONE ? '\0' : claim->body;

		*claim = *by;
		claim->body = body;
	}
	claim->state = states[ending];
	claim->expires_s =
	    naive->now_s + (ending == CLAIM_ENDED_NOT_RUN ? 600 : RETENTION_S);
	return true;
}

static uint64_t
naive_lost(struct naive *naive, unsigned entry, unsigned incarnation)
{
	uint64_t count = 0;

	for (unsigned i = 0; i < NAIVE_KEYS; i++) {
		struct naive_claim *claim = &naive->claims[i];

		if (claim->state != NAIVE_OPEN || claim->entry != entry ||
		    claim->incarnation > incarnation)
			continue;
		claim->state = NAIVE_UNKNOWN;
		claim->expires_s = naive->now_s + RETENTION_S;
		count++;
	}
	return count;
}

static void
compare_step(struct claim_ledger *ledger, struct naive *naive,
    struct random *random, uint64_t now_s)
{
	static const char *const services[] = {"a", "b", "c"};
	static const char *const entries[] = {"e0", "e1", "e2"};
	unsigned i = (unsigned)random_below(random, NAIVE_KEYS);
	char name[] = {(char)('A' + i), '\0'};
	struct naive_claim by = {
	    .entry = (unsigned)random_below(random, NAIVE_ENTRIES),
	    .incarnation = (unsigned)random_below(random, 2),
	    .attempt = (unsigned)random_below(random, 2),
	    .body = random_below(random, 10) == 0 ? 'x' : 'a',
	};
	struct claim_open open =
	    open_of(name, holder(entries[by.entry], by.incarnation, by.attempt),
		by.body, now_s);
	struct claim_end end = {
	    .holder = open.holder,
	    .ending = (enum claim_ending)random_below(random, 3),
	    .answer = {.http_status = 200, .kept = true},
	    .time_us = now_s * US_PER_S,
	};
	struct claim_answer answer;

	open.key = key_named(services[i % NAIVE_SERVICES], name);
	open.claims_max = NAIVE_MAX;
	end.key = open.key;
	naive_tick(naive, now_s);
	switch (random_below(random, 10)) {
	case 0:
		assert_int_equal(naive_lost(naive, by.entry, by.incarnation),
		    claim_ledger_end_entry_claims(ledger, open.holder.entry,
			by.incarnation, open.time_us, NULL, NULL));
		break;
	case 1:
	case 2:
	case 3:
	case 4:
		assert_int_equal(claim_ledger_end(ledger, &end),
		    naive_end(naive, i, &by, end.ending));
		break;
	default:
		assert_int_equal(claim_ledger_open(ledger, &open, &answer),
		    naive_open(naive, i, &by));
		break;
	}
}

static void
the_ledger_agrees_with_a_naive_one(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();
	struct claim_ledger *copy = claim_ledger_new();
	struct naive naive = {0};
	struct random random;
	struct random twin;
	struct naive naive_twin;
	uint64_t now_s = 1;

	random_seed(&random, 5);
	for (unsigned i = 0; i < NAIVE_STEPS; i++) {
		struct str_buf saved = {0};
		struct str_buf again = {0};

		now_s += random_below(&random, 300);
		twin = random;
		naive_twin = naive;
		if (i % 50 == 0) {
			claim_ledger_save(ledger, &saved);
			assert_int_equal(
			    claim_ledger_load(copy, str_buf_view(&saved)),
			    STATUS_OK);
		}
		compare_step(ledger, &naive, &random, now_s);
		compare_step(copy, &naive_twin, &twin, now_s);
		if (i % 50 == 49) {
			str_buf_clear(&saved);
			claim_ledger_save(ledger, &saved);
			claim_ledger_save(copy, &again);
			assert_true(str_equal(
			    str_buf_view(&saved), str_buf_view(&again)));
			assert_int_equal(claim_ledger_bytes(ledger),
			    claim_ledger_bytes(copy));
		}
		str_buf_free(&saved);
		str_buf_free(&again);
	}
	claim_ledger_free(ledger);
	claim_ledger_free(copy);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_claim_runs_once_and_keeps_its_answer),
	    cmocka_unit_test(a_resent_open_is_granted_again),
	    cmocka_unit_test(only_the_holder_ends_a_claim),
	    cmocka_unit_test(a_claim_not_run_may_run_later),
	    cmocka_unit_test(an_end_that_overtakes_its_open_fences_it),
	    cmocka_unit_test(a_full_ledger_refuses_and_forgets_nothing),
	    cmocka_unit_test(a_claim_open_for_too_long_is_unknown),
	    cmocka_unit_test(memory_returns_to_nothing),
	    cmocka_unit_test(kept_answers_are_bounded_by_service),
	    cmocka_unit_test(late_opens_of_a_lost_entry_show),
	    cmocka_unit_test(a_damaged_snapshot_is_refused),
	    cmocka_unit_test(the_ledger_agrees_with_a_naive_one),
	};

	return cmocka_run_group_tests_name("claim ledger", tests, NULL, NULL);
}
