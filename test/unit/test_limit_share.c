/*
 * Tests of src/limit/share.h: the shares that entries actually use never add
 * up to more than the limit, over seeded joins, message losses, network
 * partitions, crashes and leader changes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "limit/share.h"

enum {
	ENTRIES = 17,
	ENTRIES_MAX = 20,
	CONNECTIONS = 250,
	SEEDS = 200,
	STEPS = 2000,
	FAULT_FREE_STEPS = 400
};

#define STEP_US (50 * US_PER_MS)
#define LEASE_US (3 * US_PER_S)

static const struct share_params params = {
    .entries_max = ENTRIES_MAX,
    .lease_us = LEASE_US,
    .safe_us = 10 * US_PER_S,
};

/* The actual state of an entry, whatever control knows of it. */
struct entry {
	bool up;
	bool partitioned;
	uint32_t divisor;
	uint64_t until_us;
};

struct simulation {
	struct random random;
	struct share_table table;
	struct entry entries[ENTRIES];
	uint64_t now_us;
	bool assume_delivery; /* count every lease as received */
};

static bool
draw_permille(struct simulation *w, unsigned permille)
{
	return random_below(&w->random, 1000) < permille;
}

static double
used_share(const struct simulation *w, uint32_t *connections)
{
	double sum = 0.0;

	*connections = 0;
	for (unsigned i = 0; i < ENTRIES; i++) {
		const struct entry *entry = &w->entries[i];
		double share;

		if (!entry->up || entry->divisor == 0)
			continue;
		share = share_current(
		    &params, entry->divisor, entry->until_us, w->now_us);
		sum += share;
		*connections += (uint32_t)(CONNECTIONS * share + 1e-6);
	}
	return sum;
}

/* Sends a heartbeat and the lease in reply; each may be lost. */
static void
heartbeat(struct simulation *w, unsigned i, bool faults)
{
	struct entry *entry = &w->entries[i];
	uint64_t sent_us = w->now_us;
	uint32_t divisor;

	if (!entry->up || entry->partitioned ||
	    (faults && draw_permille(w, 100)))
		return;
	share_confirm(&w->table, i, entry->divisor, entry->until_us > w->now_us,
	    w->now_us);
	divisor = share_grant(&w->table, i, w->now_us);
	if (w->assume_delivery)
		w->table.members[i].reserved_until_us = 0;
	if (divisor == 0 || (faults && draw_permille(w, 200)))
		return;
	entry->divisor = divisor;
	entry->until_us = sent_us + LEASE_US;
}

static void
inject_fault(struct simulation *w)
{
	unsigned i = (unsigned)random_below(&w->random, ENTRIES);
	struct entry *entry = &w->entries[i];

	if (draw_permille(w, 30))
		entry->partitioned = !entry->partitioned;
	if (draw_permille(w, 20)) {
		if (!entry->up)
			share_remove_member(&w->table, i);
		*entry = (struct entry){.up = !entry->up};
	}
	if (draw_permille(w, 3))
		share_table_init(&w->table, &params, false, w->now_us);
}

/* Returns the number of steps in which the limit was exceeded. */
static unsigned
run_seed(uint64_t seed, bool assume_delivery)
{
	struct simulation w = {.assume_delivery = assume_delivery};
	unsigned exceeded = 0;
	uint32_t connections;

	random_seed(&w.random, seed);
	share_table_init(&w.table, &params, true, 0);
	for (unsigned step = 0; step < STEPS + FAULT_FREE_STEPS; step++) {
		bool faults = step < STEPS;

		w.now_us += STEP_US;
		if (faults)
			inject_fault(&w);
		for (unsigned i = 0; i < ENTRIES; i++)
			if (!faults || draw_permille(&w, 200))
				heartbeat(&w, i, faults);
		exceeded += used_share(&w, &connections) > 1.0 + 1e-6;
		if (!assume_delivery)
			assert_true(connections <= CONNECTIONS);
		if (!assume_delivery)
			assert_true(share_reserved_sum(&w.table, w.now_us) <=
			    1.0 + 1e-6);
	}
	return exceeded;
}

static void
shares_never_exceed_limit(void **state ATTR_UNUSED)
{
	unsigned exceeded = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		assert_int_equal(run_seed(seed, false), 0);
		exceeded += run_seed(seed, true);
	}
	print_message("assuming delivery: %u of %u steps above the limit\n",
	    exceeded, SEEDS * (STEPS + FAULT_FREE_STEPS));
	assert_true(exceeded > 0);
}

static void
live_entries_get_equal_shares(void **state ATTR_UNUSED)
{
	struct simulation w = {0};
	uint32_t connections;

	random_seed(&w.random, 1);
	share_table_init(&w.table, &params, true, 0);
	for (unsigned step = 0; step < 400; step++) {
		w.now_us += STEP_US;
		w.entries[step % ENTRIES].up = true;
		for (unsigned i = 0; i < ENTRIES; i++)
			heartbeat(&w, i, false);
	}
	assert_true(used_share(&w, &connections) > 0.99);
	for (unsigned i = 0; i < ENTRIES; i++)
		assert_int_equal(w.entries[i].divisor, ENTRIES);
	/* Three are partitioned: the others get what the safe shares leave. */
	for (unsigned i = 0; i < 3; i++)
		w.entries[i].partitioned = true;
	for (unsigned step = 0; step < 160; step++) {
		w.now_us += STEP_US;
		for (unsigned i = 0; i < ENTRIES; i++)
			heartbeat(&w, i, false);
	}
	assert_int_equal(w.entries[ENTRIES - 1].divisor, 17);
	assert_true(used_share(&w, &connections) > 0.95);
	/* The three are known to be gone: the others share everything. */
	for (unsigned i = 0; i < 3; i++) {
		w.entries[i].up = false;
		share_remove_member(&w.table, i);
	}
	for (unsigned step = 0; step < 200; step++) {
		w.now_us += STEP_US;
		for (unsigned i = 0; i < ENTRIES; i++)
			heartbeat(&w, i, false);
	}
	assert_int_equal(w.entries[ENTRIES - 1].divisor, 14);
}

static void
share_never_grows_without_lease(void **state ATTR_UNUSED)
{
	for (uint32_t divisor = 0; divisor < 100; divisor++) {
		double last = 1.0;

		for (uint64_t s = 0; s < 20; s++) {
			double share = share_current(
			    &params, divisor, LEASE_US, s * US_PER_S);

			assert_true(share <= last);
			last = share;
		}
		assert_true(last == 0.0);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(shares_never_exceed_limit),
	    cmocka_unit_test(live_entries_get_equal_shares),
	    cmocka_unit_test(share_never_grows_without_lease),
	};

	return cmocka_run_group_tests_name("limit share", tests, NULL, NULL);
}
