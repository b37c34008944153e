/*
 * Client accounts that share a service short of slots.
 */
/* cmocka.h needs these headers included before it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "placement/placement_defs.h"
#include "support_account_load.h"

enum {
	SECOND_US = 1000 * 1000
};

static const char *granted[8];
static unsigned granted_count;

static void
on_grant(void *ctx ATTR_UNUSED, void *user, const char *target ATTR_UNUSED,
    uint64_t expected_us ATTR_UNUSED)
{
	assert_true(granted_count < 8);
	granted[granted_count++] = user;
}

static void
on_reject(void *ctx ATTR_UNUSED, void *user ATTR_UNUSED,
    uint64_t retry_after_us ATTR_UNUSED,
    enum placement_reason reason ATTR_UNUSED)
{
}

static struct placement *
open_placement(unsigned slots)
{
	static const struct placement_callbacks callbacks = {
	    .grant = on_grant, .reject = on_reject};
	static const struct repeat_limits limits = {
	    .ratio = 0.2, .slack = 60, .window_us = 10 * SECOND_US};
	struct placement *p = placement_new(&callbacks, &limits, 1, 1);

	granted_count = 0;
	placement_add_target(p, "t1", 1, slots, 0, 1);
	return p;
}

/*
 * Submits a request; the earlier its number, the earlier its objective.
 */
static void
submit(struct placement *p, const char *user, uint32_t account, unsigned number)
{
	const struct placement_request request = {
	    .user = (void *)(uintptr_t)user,
	    .account = account,
	    .objective_us = (100 + number) * (uint64_t)SECOND_US,
	    .deadline_us = 200 * (uint64_t)SECOND_US,
	};

	(void)placement_submit(p, &request, SECOND_US + number);
}

/*
 * Ends each granted request after 100 ms, which frees the slot for the next.
 */
static void
complete_all(struct placement *p)
{
	uint64_t now = SECOND_US;

	for (unsigned i = 0; i < granted_count; i++) {
		now += 100 * 1000;
		placement_complete(p, (void *)(uintptr_t)granted[i], "t1",
		    OUTCOME_ANSWERED, 100 * 1000, NULL, now);
	}
}

/*
 * Waiting requests of one account delayed those of another that had used
 * nothing, since all were ordered by their objective.
 */
static void
account_with_the_least_slot_time_goes_first(void **state ATTR_UNUSED)
{
	struct placement *p = open_placement(1);
	static const char *const expected[] = {"a1", "b1", "a2", "b2", "a3"};

	submit(p, "a1", 1, 1);
	submit(p, "a2", 1, 2);
	submit(p, "a3", 1, 3);
	submit(p, "b1", 2, 4);
	submit(p, "b2", 2, 5);
	complete_all(p);
	assert_int_equal(granted_count, 5);
	for (unsigned i = 0; i < granted_count; i++)
		assert_string_equal(granted[i], expected[i]);
	placement_free(p);
}

/*
 * A service without accounts keeps no table and the order of the objectives.
 */
static void
requests_without_account_go_by_objective(void **state ATTR_UNUSED)
{
	struct placement *p = open_placement(1);

	submit(p, "1", 0, 1);
	submit(p, "3", 0, 3);
	submit(p, "2", 0, 2);
	assert_false(account_share_is_active(&p->shares));
	complete_all(p);
	assert_int_equal(granted_count, 3);
	for (unsigned i = 0; i < 3; i++)
		assert_int_equal(granted[i][0], '1' + (int)i);
	assert_false(account_share_is_active(&p->shares));
	placement_free(p);
}

/*
 * Slot time outside the window still counted, or the table grew with each
 * account that was ever seen.
 */
static void
table_is_bounded_and_forgets(void **state ATTR_UNUSED)
{
	struct account_share_table table;
	uint64_t now = 100 * (uint64_t)SECOND_US;

	account_share_init(&table);
	for (uint32_t i = 1; i <= 4 * ACCOUNT_SHARE_MAX; i++) {
		account_share_note(&table, i, now);
		account_share_charge(&table, i, 1000, now);
	}
	assert_true(g_hash_table_size(table.accounts) <= ACCOUNT_SHARE_MAX + 1);
	assert_true(account_share_used(&table, 1, now + SECOND_US) == 1000);
	assert_true(
	    account_share_used(&table, 1, now + ACCOUNT_SHARE_WINDOW_US) == 0);
	account_share_expire(&table, now + ACCOUNT_SHARE_WINDOW_US + 1);
	assert_false(account_share_is_active(&table));
	account_share_clear(&table);
}

/*
 * Each arrival considers the waiting requests once, not each with each other.
 */
static void
arrival_visits_each_waiting_request_a_few_times(void **state ATTR_UNUSED)
{
	enum {
		REQUESTS = 2000
	};
	static char users[REQUESTS];
	struct placement *p = open_placement(1);

	for (unsigned i = 0; i < REQUESTS; i++) {
		uint64_t before = p->visits;

		submit(p, &users[i], 1 + i % 50, 10 * i);
		assert_true(p->visits - before <= 4 * (i + 2));
	}
	assert_int_equal(p->waiting->len, REQUESTS - 1);
	placement_free(p);
}

/*
 * A large account at seven times its usual load took the slots of all others:
 * without accounts, 4 to 34 in 100 requests of the worst of them were lost.
 */
static void
excess_of_one_account_costs_no_other(void **state ATTR_UNUSED)
{
	static const double loads[] = {1.0, 1.15, 1.3};

	for (unsigned i = 0; i < 3; i++) {
		struct account_load load = {.load = loads[i],
		    .excess = 7,
		    .account = i == 1,
		    .named = true,
		    .seconds = 24,
		    .seeds = 2};
		struct account_load_result result = account_load_replay(&load);

		assert_true(result.worst_loss <= 0.02);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(account_with_the_least_slot_time_goes_first),
	    cmocka_unit_test(requests_without_account_go_by_objective),
	    cmocka_unit_test(table_is_bounded_and_forgets),
	    cmocka_unit_test(arrival_visits_each_waiting_request_a_few_times),
	    cmocka_unit_test(excess_of_one_account_costs_no_other),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
