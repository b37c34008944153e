/*
 * Tests of the measuring budget: in no window of a second or longer do the
 * entries spend more than the fleet's budget, however entries join and leave.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "balance/budget.h"
#include "base/clock.h"
#include "base/random.h"

enum {
	ENTRIES_MAX = 20,
	SCHEDULES = 200,
	SECONDS = 90,
	TICK_US = 10000,
	TICKS = SECONDS * (int)(1000000 / TICK_US)
};

struct entry {
	struct measuring_budget budget;
	bool live;
	uint32_t known_live; /* number of live entries known to it */
	uint64_t notified_us; /* when a change arrives; 0: none pending */
};

struct fleet {
	struct entry entries[ENTRIES_MAX];
	uint32_t live;
	uint64_t messages_per_s;
	uint64_t bytes_per_s;
	uint64_t messages[TICKS];
	uint64_t bytes[TICKS];
};

static void
announce(struct fleet *fleet, struct random *random, uint64_t now_us)
{
	for (int i = 0; i < ENTRIES_MAX; i++) {
		uint64_t late =
		    random_below(random, MEASURING_BUDGET_GROW_DELAY_US);

		/* A second change is received no later than the first one. */
		if (fleet->entries[i].notified_us == 0)
			fleet->entries[i].notified_us = now_us + late;
	}
}

static void
change_entries(struct fleet *fleet, struct random *random, uint64_t now_us)
{
	struct entry *entry =
	    &fleet->entries[random_below(random, ENTRIES_MAX)];

	if (entry->live && fleet->live == 1)
		return;
	entry->live = !entry->live;
	fleet->live += entry->live ? 1 : -1;
	announce(fleet, random, now_us);
	if (!entry->live)
		return;
	memset(&entry->budget, 0, sizeof(entry->budget));
	entry->known_live = fleet->live;
	entry->notified_us = 0;
	measuring_budget_set(&entry->budget, fleet->messages_per_s,
	    fleet->bytes_per_s, 1000, fleet->live, now_us);
}

static void
step(struct fleet *fleet, struct random *random, int tick)
{
	uint64_t now = (uint64_t)(tick + 1) * TICK_US;

	for (int i = 0; i < ENTRIES_MAX; i++) {
		struct entry *entry = &fleet->entries[i];
		uint64_t size = 50 + random_below(random, 400);

		if (!entry->live)
			continue;
		if (entry->notified_us != 0 && now >= entry->notified_us) {
			entry->notified_us = 0;
			measuring_budget_set(&entry->budget,
			    fleet->messages_per_s, fleet->bytes_per_s, 1000,
			    fleet->live, now);
		}
		measuring_budget_count_calls(&entry->budget, 5);
		while (measuring_budget_spend(&entry->budget, size, now)) {
			fleet->messages[tick]++;
			fleet->bytes[tick] += size;
		}
	}
}

static void
assert_windows(const uint64_t *spent, int seconds, uint64_t per_s)
{
	int width = seconds * (int)(US_PER_S / TICK_US);
	uint64_t sum = 0;

	for (int i = 0; i < TICKS; i++) {
		sum += spent[i];
		if (i >= width)
			sum -= spent[i - width];
		assert_true(sum <= per_s * (uint64_t)seconds);
	}
}

static void
no_window_exceeds_the_budget(void **state ATTR_UNUSED)
{
	uint64_t spent = 0;

	for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
		static struct fleet fleet;
		struct random random;

		memset(&fleet, 0, sizeof(fleet));
		random_seed(&random, seed);
		fleet.messages_per_s = 1 + random_below(&random, 400);
		fleet.bytes_per_s =
		    fleet.messages_per_s * (50 + random_below(&random, 400));
		change_entries(&fleet, &random, 0);
		for (int tick = 0; tick < TICKS; tick++) {
			if (random_below(&random, 100) == 0)
				change_entries(&fleet, &random,
				    (uint64_t)tick * TICK_US + 1);
			step(&fleet, &random, tick);
			spent += fleet.messages[tick];
		}
		assert_windows(fleet.messages, 1, fleet.messages_per_s);
		assert_windows(fleet.messages, 10, fleet.messages_per_s);
		assert_windows(fleet.bytes, 1, fleet.bytes_per_s);
		assert_windows(fleet.bytes, 10, fleet.bytes_per_s);
	}
	assert_true(spent > 10000);
}

static void
calls_limit_messages(void **state ATTR_UNUSED)
{
	struct measuring_budget budget = {0};
	uint64_t now = 0;
	unsigned spent = 0;

	measuring_budget_set(&budget, 1000000, 1000000000, 50, 1, now);
	now += MEASURING_BUDGET_GROW_DELAY_US;
	for (unsigned i = 0; i < 10000; i++) {
		now += US_PER_MS;
		measuring_budget_count_calls(&budget, 1);
		spent += measuring_budget_spend(&budget, 100, now);
	}
	assert_in_range(spent, 490, 500);
}

static void
share_below_one_message_is_zero(void **state ATTR_UNUSED)
{
	struct measuring_budget budget = {0};

	measuring_budget_set(&budget, 16, 1000000, 1000, 17, 0);
	measuring_budget_count_calls(&budget, 1000);
	for (uint64_t i = 0; i < 100; i++)
		assert_false(measuring_budget_spend(&budget, 1, i * US_PER_S));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(no_window_exceeds_the_budget),
	    cmocka_unit_test(calls_limit_messages),
	    cmocka_unit_test(share_below_one_message_is_zero),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
