/*
 * Tests of src/claim/ledger.h.  The last one compares the ledger with a
 * reference model that keeps all claims in one array.
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
claim_not_run_can_be_granted_again(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();

	(void)try_open(ledger, "k", holder("e1", 1, 1), 'a', 1);
	assert_true(
	    try_end(ledger, "k", holder("e1", 1, 1), CLAIM_ENDED_NOT_RUN, 2));
	/* A delayed open of the same attempt must not be granted. */
	assert_int_equal(try_open(ledger, "k", holder("e1", 1, 1), 'a', 3),
	    CLAIM_VERDICT_UNKNOWN);
	assert_int_equal(try_open(ledger, "k", holder("e1", 1, 2), 'b', 3),
	    CLAIM_VERDICT_KEY_REUSED);
	assert_int_equal(try_open(ledger, "k", holder("e1", 1, 2), 'a', 3),
	    CLAIM_VERDICT_GRANTED);
	claim_ledger_free(ledger);
}

static void
end_before_open_fences_the_attempt(void **state ATTR_UNUSED)
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
full_ledger_refuses_new_claims_only(void **state ATTR_UNUSED)
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
	/*
	 * Time that goes back with a new leader must not restore expired
	 * claims.
	 */
	assert_int_equal(
	    try_open(ledger, "x", holder("e1", 1, 1), 'a', RETENTION_S + 1),
	    CLAIM_VERDICT_GRANTED);
	assert_int_equal(try_open(ledger, "k3", holder("e1", 1, 9), 'a', 1),
	    CLAIM_VERDICT_GRANTED);
	claim_ledger_free(ledger);
}

static void
overdue_claim_becomes_unknown(void **state ATTR_UNUSED)
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
expiry_frees_all_memory(void **state ATTR_UNUSED)
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

/* Opens and ends a claim with a stored answer of 1 MiB. */
static void
add_large_answer(
    struct claim_ledger *ledger, const char *service, unsigned number)
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
stored_answers_are_limited_per_service(void **state ATTR_UNUSED)
{
	enum {
		ANSWERS = 100,
		BOUND = 32 << 20
	};
	struct claim_ledger *ledger = claim_ledger_new();

	add_large_answer(ledger, "orders", 1);
	for (unsigned i = 1; i <= ANSWERS; i++)
		add_large_answer(ledger, "artwork", i);
	assert_true(claim_ledger_bytes(ledger) < BOUND);
	assert_int_equal(claim_ledger_count(ledger), ANSWERS + 1);
	/* Only the service over its share lost answers, the oldest first. */
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
late_open_of_lost_entry_is_listed(void **state ATTR_UNUSED)
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
damaged_snapshot_is_rejected(void **state ATTR_UNUSED)
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

/* Reference model: the state of every key, searched and expired in full. */
enum {
	MODEL_KEYS = 12,
	MODEL_STEPS = 20000,
	MODEL_SERVICES = 3,
	MODEL_ENTRIES = 3,
	MODEL_CLAIMS_MAX = 3
};

enum model_state {
	MODEL_NONE,
	MODEL_OPEN,
	MODEL_DONE,
	MODEL_UNKNOWN,
	MODEL_RELEASED
};

struct model_claim {
	enum model_state state;
	unsigned service, entry, incarnation, attempt;
	char body;
	uint64_t expires_s;
};

struct model {
	struct model_claim claims[MODEL_KEYS];
	uint64_t now_s;
};

static void
model_advance(struct model *model, uint64_t now_s)
{
	if (now_s > model->now_s)
		model->now_s = now_s;
	for (unsigned i = 0; i < MODEL_KEYS; i++) {
		struct model_claim *claim = &model->claims[i];

		if (claim->expires_s > model->now_s)
			continue;
		if (claim->state == MODEL_OPEN) {
			claim->state = MODEL_UNKNOWN;
			claim->expires_s = model->now_s + RETENTION_S;
		} else {
			claim->state = MODEL_NONE;
		}
	}
}

static bool
model_is_holder(const struct model_claim *claim, const struct model_claim *by)
{
	return claim->entry == by->entry &&
	    claim->incarnation == by->incarnation &&
	    claim->attempt == by->attempt;
}

static enum claim_verdict
model_open(struct model *model, unsigned i, const struct model_claim *by)
{
	struct model_claim *claim = &model->claims[i];
	unsigned count = 0;

	if (claim->state == MODEL_RELEASED && model_is_holder(claim, by))
		return CLAIM_VERDICT_UNKNOWN;
	if (claim->state == MODEL_RELEASED && claim->body != '\0' &&
	    claim->body != by->body)
		return CLAIM_VERDICT_KEY_REUSED;
	if (claim->state == MODEL_NONE || claim->state == MODEL_RELEASED) {
		for (unsigned j = 0; j < MODEL_KEYS; j++)
			count += j % MODEL_SERVICES == i % MODEL_SERVICES &&
			    model->claims[j].state != MODEL_NONE &&
			    model->claims[j].state != MODEL_RELEASED;
		if (count >= MODEL_CLAIMS_MAX)
			return CLAIM_VERDICT_FULL;
		*claim = *by;
		claim->state = MODEL_OPEN;
		claim->expires_s = model->now_s + OPEN_MAX_S;
		return CLAIM_VERDICT_GRANTED;
	}
	if (claim->body != by->body)
		return CLAIM_VERDICT_KEY_REUSED;
	if (claim->state == MODEL_OPEN)
		return model_is_holder(claim, by) ? CLAIM_VERDICT_GRANTED
						  : CLAIM_VERDICT_IN_PROGRESS;
	return claim->state == MODEL_DONE ? CLAIM_VERDICT_DONE
					  : CLAIM_VERDICT_UNKNOWN;
}

static bool
model_end(struct model *model, unsigned i, const struct model_claim *by,
    enum claim_ending ending)
{
	static const enum model_state states[] = {
	    MODEL_DONE, MODEL_RELEASED, MODEL_UNKNOWN};
	struct model_claim *claim = &model->claims[i];
	bool free =
	    claim->state == MODEL_NONE || claim->state == MODEL_RELEASED;

	if (free && ending != CLAIM_ENDED_NOT_RUN)
		return false;
	if (!free &&
	    (claim->state != MODEL_OPEN || !model_is_holder(claim, by)))
		return false;
	if (free) {
		char body = claim->state == MODEL_NONE ? '\0' : claim->body;

		*claim = *by;
		claim->body = body;
	}
	claim->state = states[ending];
	claim->expires_s =
	    model->now_s + (ending == CLAIM_ENDED_NOT_RUN ? 600 : RETENTION_S);
	return true;
}

static uint64_t
model_entry_lost(struct model *model, unsigned entry, unsigned incarnation)
{
	uint64_t count = 0;

	for (unsigned i = 0; i < MODEL_KEYS; i++) {
		struct model_claim *claim = &model->claims[i];

		if (claim->state != MODEL_OPEN || claim->entry != entry ||
		    claim->incarnation > incarnation)
			continue;
		claim->state = MODEL_UNKNOWN;
		claim->expires_s = model->now_s + RETENTION_S;
		count++;
	}
	return count;
}

static void
compare_step(struct claim_ledger *ledger, struct model *model,
    struct random *random, uint64_t now_s)
{
	static const char *const services[] = {"a", "b", "c"};
	static const char *const entries[] = {"e0", "e1", "e2"};
	unsigned i = (unsigned)random_below(random, MODEL_KEYS);
	char name[] = {(char)('A' + i), '\0'};
	struct model_claim by = {
	    .entry = (unsigned)random_below(random, MODEL_ENTRIES),
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

	open.key = key_named(services[i % MODEL_SERVICES], name);
	open.claims_max = MODEL_CLAIMS_MAX;
	end.key = open.key;
	model_advance(model, now_s);
	switch (random_below(random, 10)) {
	case 0:
		assert_int_equal(
		    model_entry_lost(model, by.entry, by.incarnation),
		    claim_ledger_end_entry_claims(ledger, open.holder.entry,
			by.incarnation, open.time_us, NULL, NULL));
		break;
	case 1:
	case 2:
	case 3:
	case 4:
		assert_int_equal(claim_ledger_end(ledger, &end),
		    model_end(model, i, &by, end.ending));
		break;
	default:
		assert_int_equal(claim_ledger_open(ledger, &open, &answer),
		    model_open(model, i, &by));
		break;
	}
}

static void
ledger_matches_reference_model(void **state ATTR_UNUSED)
{
	struct claim_ledger *ledger = claim_ledger_new();
	struct claim_ledger *copy = claim_ledger_new();
	struct model model = {0};
	struct random random;
	struct random random_copy;
	struct model model_copy;
	uint64_t now_s = 1;

	random_seed(&random, 5);
	for (unsigned i = 0; i < MODEL_STEPS; i++) {
		struct str_buf saved = {0};
		struct str_buf again = {0};

		now_s += random_below(&random, 300);
		random_copy = random;
		model_copy = model;
		if (i % 50 == 0) {
			claim_ledger_save(ledger, &saved);
			assert_int_equal(
			    claim_ledger_load(copy, str_buf_view(&saved)),
			    STATUS_OK);
		}
		compare_step(ledger, &model, &random, now_s);
		compare_step(copy, &model_copy, &random_copy, now_s);
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
	    cmocka_unit_test(claim_not_run_can_be_granted_again),
	    cmocka_unit_test(end_before_open_fences_the_attempt),
	    cmocka_unit_test(full_ledger_refuses_new_claims_only),
	    cmocka_unit_test(overdue_claim_becomes_unknown),
	    cmocka_unit_test(expiry_frees_all_memory),
	    cmocka_unit_test(stored_answers_are_limited_per_service),
	    cmocka_unit_test(late_open_of_lost_entry_is_listed),
	    cmocka_unit_test(damaged_snapshot_is_rejected),
	    cmocka_unit_test(ledger_matches_reference_model),
	};

	return cmocka_run_group_tests_name("claim ledger", tests, NULL, NULL);
}
