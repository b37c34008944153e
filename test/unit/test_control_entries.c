/*
 * Tests of the leader's table of entries, in virtual time: late and lost
 * messages, entries that start, stop and restart, and changes of leader.  The
 * shares in force never add up to more than the whole, and a change is reported
 * in force only if no entry that may serve lacks it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "control/entry_table.h"
#include "link/entry_list.h"

enum {
	ENTRIES = 17,
	SCHEDULES = 300,
	STEP_US = 20000,
	STEPS = 3000,
	CONVERGE_STEPS = 700,
	HEARTBEAT_STEPS = 50,
	DELAY_STEPS_MAX = 12,
	NAME_BYTES = 16
};

static const uint64_t lease_us = 3 * US_PER_S;
static const struct share_params shares = {
    .entries_max = ENTRIES,
    .lease_us = 3 * US_PER_S,
    .safe_us = 3 * US_PER_S,
};
static const double rounding_error = 1e-6;

/* An entry's own state. */
struct simulated_entry {
	char name[NAME_BYTES];
	bool up;
	uint64_t incarnation;
	uint64_t index; /* index of the installed view */
	uint32_t divisor;
	uint64_t lease_until_us;
	uint64_t lease_sent_us;
	/* At most one heartbeat and one answer in flight; 0: none. */
	uint64_t heartbeat_arrives_us;
	uint64_t heartbeat_sent_us;
	uint32_t heartbeat_divisor;
	bool heartbeat_lease_live;
	uint64_t heartbeat_lease_sent_us;
	uint64_t heartbeat_index;
	uint64_t answer_arrives_us;
	uint64_t answer_sent_us;
	uint32_t answer_divisor;
	uint64_t answer_index;
};

struct simulation {
	struct entry_table *table;
	struct simulated_entry entries[ENTRIES];
	struct random random;
	uint64_t now_us;
	uint64_t index; /* index of the newest change */
	uint64_t in_force; /* highest index reported in force */
	unsigned loss_percent;
	bool faults_stopped;
};

static uint64_t
arrival_us(struct simulation *group)
{
	return group->now_us +
	    random_below(&group->random, DELAY_STEPS_MAX) * STEP_US;
}

static bool
drop_message(struct simulation *group)
{
	return random_below(&group->random, 100) < group->loss_percent;
}

static void
send_heartbeat(struct simulation *group, struct simulated_entry *entry)
{
	if (drop_message(group))
		return;
	entry->heartbeat_arrives_us = arrival_us(group);
	entry->heartbeat_sent_us = group->now_us;
	entry->heartbeat_index = entry->index;
	entry->heartbeat_divisor = entry->divisor;
	entry->heartbeat_lease_live = entry->lease_until_us > group->now_us;
	entry->heartbeat_lease_sent_us = entry->lease_sent_us;
}

static void
leader_receives(struct simulation *group, struct simulated_entry *entry)
{
	Wire__EntryInfo info = WIRE__ENTRY_INFO__INIT;
	Wire__Heartbeat beat = WIRE__HEARTBEAT__INIT;
	struct transport_peer peer = {0};
	struct entry_record *record;
	uint64_t replaced;

	info.name = entry->name;
	info.address = (char *)"127.0.0.1:1";
	info.failure_domain = (char *)"north";
	info.incarnation = entry->incarnation;
	beat.entry = &info;
	beat.applied_index = entry->heartbeat_index;
	beat.share_divisor = entry->heartbeat_divisor;
	beat.lease_live = entry->heartbeat_lease_live;
	beat.lease_sent_us = entry->heartbeat_lease_sent_us;
	beat.sent_us = entry->heartbeat_sent_us;
	entry->heartbeat_arrives_us = 0;
	record = entry_table_heartbeat(
	    group->table, &beat, &peer, group->now_us, &replaced);
	assert_non_null(record);
	if (!entry_table_grant(group->table, record, group->now_us) ||
	    drop_message(group))
		return;
	entry->answer_arrives_us = arrival_us(group);
	entry->answer_sent_us = entry->heartbeat_sent_us;
	entry->answer_divisor = record->share_divisor;
	entry->answer_index = group->index;
}

/* As in the link: applies the view first, then the lease. */
static void
entry_receives(struct simulated_entry *entry)
{
	uint64_t until = entry->answer_sent_us + lease_us;

	entry->answer_arrives_us = 0;
	if (entry->answer_index > entry->index)
		entry->index = entry->answer_index;
	if (until <= entry->lease_until_us)
		return;
	entry->lease_until_us = until;
	entry->divisor = entry->answer_divisor;
	entry->lease_sent_us = entry->answer_sent_us;
}

static void
toggle_entry(struct simulation *group, struct simulated_entry *entry)
{
	entry->up = !entry->up;
	entry->incarnation++;
	entry->index = 0;
	entry->lease_until_us = 0;
	entry->lease_sent_us = 0;
	entry->divisor = 0;
	entry->heartbeat_arrives_us = 0;
	entry->answer_arrives_us = 0;
	(void)group;
}

static void
inject_faults(struct simulation *group)
{
	if (random_below(&group->random, 100) == 0)
		toggle_entry(group,
		    &group->entries[random_below(&group->random, ENTRIES)]);
	if (random_below(&group->random, 60) == 0)
		group->index++;
	if (random_below(&group->random, 500) != 0)
		return;
	/* A new leader: answers of the old one may still be in flight. */
	entry_table_reset(group->table, &shares, false, group->now_us);
	group->in_force = 0;
}

static void
check_invariants(struct simulation *group)
{
	double sum = 0;

	if (entry_table_in_force(group->table, group->index, group->now_us))
		group->in_force = group->index;
	for (int i = 0; i < ENTRIES; i++) {
		const struct simulated_entry *entry = &group->entries[i];

		if (!entry->up || entry->divisor == 0)
			continue;
		sum += share_current(&shares, entry->divisor,
		    entry->lease_until_us, group->now_us);
		if (entry->lease_until_us > group->now_us)
			assert_true(entry->index >= group->in_force);
	}
	assert_true(sum <= 1.0 + rounding_error);
}

static void
step(struct simulation *group, unsigned number)
{
	group->now_us += STEP_US;
	if (!group->faults_stopped)
		inject_faults(group);
	for (unsigned i = 0; i < ENTRIES; i++) {
		struct simulated_entry *entry = &group->entries[i];

		if (!entry->up)
			continue;
		if (number % HEARTBEAT_STEPS == i % HEARTBEAT_STEPS &&
		    entry->heartbeat_arrives_us == 0)
			send_heartbeat(group, entry);
		if (entry->heartbeat_arrives_us != 0 &&
		    entry->heartbeat_arrives_us <= group->now_us)
			leader_receives(group, entry);
		if (entry->answer_arrives_us != 0 &&
		    entry->answer_arrives_us <= group->now_us)
			entry_receives(entry);
	}
	check_invariants(group);
}

static void
start(struct simulation *group, uint64_t seed)
{
	*group = (struct simulation){
	    .table = entry_table_new(),
	    .now_us = 100 * US_PER_S,
	    .index = 1,
	};
	random_seed(&group->random, seed);
	group->loss_percent = (unsigned)random_below(&group->random, 40);
	entry_table_reset(group->table, &shares, seed % 2 == 0, group->now_us);
	for (int i = 0; i < ENTRIES; i++) {
		struct simulated_entry *entry = &group->entries[i];

		snprintf(entry->name, sizeof(entry->name), "entry-%d", i);
		entry->incarnation = 1;
		entry->up = random_below(&group->random, 2) == 0;
	}
}

/*
 * After a period without faults every entry has a lease and the newest view,
 * and little of the whole is unused.
 */
static void
check_converged(const struct simulation *group)
{
	double sum = 0;
	unsigned up = 0;

	for (int i = 0; i < ENTRIES; i++) {
		const struct simulated_entry *entry = &group->entries[i];

		if (!entry->up)
			continue;
		up++;
		assert_true(entry->lease_until_us > group->now_us);
		assert_int_equal(entry->index, group->index);
		sum += 1.0 / entry->divisor;
	}
	assert_true(up == 0 || sum >= 0.95);
	assert_true(
	    entry_table_in_force(group->table, group->index, group->now_us));
}

static void
shares_and_views_stay_consistent(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
		struct simulation group;

		start(&group, seed);
		for (unsigned i = 0; i < STEPS; i++)
			step(&group, i);
		group.faults_stopped = true;
		group.loss_percent = 0;
		for (unsigned i = 0; i < CONVERGE_STEPS; i++)
			step(&group, i);
		check_converged(&group);
		entry_table_free(group.table);
	}
}

/*
 * A reader of the list of entries; some of the messages with changes are lost.
 */
static void
update_entry_list(
    struct simulation *group, struct entry_list *list, uint64_t *version)
{
	Wire__EntryInfo infos[ENTRIES];
	Wire__EntryInfo *entries[ENTRIES];
	Wire__Lease lease = WIRE__LEASE__INIT;

	lease.entries_version =
	    entry_table_refresh_list(group->table, group->now_us);
	lease.entries = entries;
	lease.n_entries = entry_table_list_since(
	    group->table, *version, &lease.entries_base, infos, entries);
	if (drop_message(group))
		return;
	assert_true(entry_list_apply(list, &lease, *version));
	*version = lease.entries_version;
}

static void
check_list(const struct simulation *group, const struct entry_list *list)
{
	size_t live = 0;

	for (unsigned i = 0; i < entry_table_count(group->table); i++)
		live += entry_record_live(
		    entry_table_at(group->table, i), group->now_us);
	assert_int_equal(entry_list_count(list), live);
	for (size_t i = 0; i < live; i++) {
		const struct entry_record *entry = entry_table_find(
		    group->table, str_from(entry_list_infos(list)[i]->name));

		assert_non_null(entry);
		assert_true(entry_record_live(entry, group->now_us));
		assert_int_equal(entry_list_infos(list)[i]->incarnation,
		    entry->reported.incarnation);
	}
}

static void
entry_lists_converge_by_deltas(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= SCHEDULES / 10; seed++) {
		struct entry_list *list = entry_list_new();
		struct entry_record gone;
		struct simulation group;
		uint64_t version = 0;

		start(&group, seed);
		for (unsigned i = 0; i < STEPS; i++) {
			step(&group, i);
			(void)entry_table_remove_lost(
			    group.table, group.now_us, 3 * lease_us, &gone);
			if (i % HEARTBEAT_STEPS == 0)
				update_entry_list(&group, list, &version);
		}
		group.loss_percent = 0;
		update_entry_list(&group, list, &version);
		check_list(&group, list);
		entry_list_free(list);
		entry_table_free(group.table);
	}
}

static void
older_incarnation_is_rejected(void **state ATTR_UNUSED)
{
	struct entry_table *table = entry_table_new();
	Wire__EntryInfo info = WIRE__ENTRY_INFO__INIT;
	Wire__Heartbeat beat = WIRE__HEARTBEAT__INIT;
	struct transport_peer peer = {0};
	uint64_t replaced;

	info.name = (char *)"entry-1";
	info.address = (char *)"127.0.0.1:1";
	info.failure_domain = (char *)"north";
	info.incarnation = 5;
	beat.entry = &info;
	assert_non_null(
	    entry_table_heartbeat(table, &beat, &peer, 1, &replaced));
	info.incarnation = 4;
	assert_null(entry_table_heartbeat(table, &beat, &peer, 2, &replaced));
	info.incarnation = 6;
	assert_non_null(
	    entry_table_heartbeat(table, &beat, &peer, 3, &replaced));
	assert_int_equal(replaced, 5);
	beat.entry = NULL;
	assert_null(entry_table_heartbeat(table, &beat, &peer, 4, &replaced));
	entry_table_free(table);
}

static void
lost_entries_are_removed_once(void **state ATTR_UNUSED)
{
	struct entry_table *table = entry_table_new();
	struct entry_record gone;

	entry_table_expect(table, str_from("entry-1"), 3, US_PER_S);
	assert_false(
	    entry_table_remove_lost(table, 2 * US_PER_S, 5 * US_PER_S, &gone));
	assert_true(
	    entry_table_remove_lost(table, 6 * US_PER_S, 5 * US_PER_S, &gone));
	assert_string_equal(gone.name, "entry-1");
	assert_int_equal(gone.reported.incarnation, 3);
	assert_false(
	    entry_table_remove_lost(table, 7 * US_PER_S, 5 * US_PER_S, &gone));
	entry_table_free(table);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(shares_and_views_stay_consistent),
	    cmocka_unit_test(entry_lists_converge_by_deltas),
	    cmocka_unit_test(older_incarnation_is_rejected),
	    cmocka_unit_test(lost_entries_are_removed_once),
	};

	return cmocka_run_group_tests_name(
	    "control_entries", tests, NULL, NULL);
}
