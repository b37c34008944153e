/*
 * Tests of the leader's table of entries, in virtual time: late and lost
 * messages, entries that come, go and restart, and changes of leader.  The
 * shares in force never add up to more than the whole, and a change is
 * called in force only when no entry that may serve lacks it.
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
	QUIET_STEPS = 700,
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
static const double rounding = 1e-6;

/* An entry as it sees itself. */
struct fake_entry {
	char name[NAME_BYTES];
	bool up;
	uint64_t incarnation;
	uint64_t index; /* installed */
	uint32_t divisor;
	uint64_t lease_until_us;
	uint64_t lease_sent_us;
	/* One heartbeat and one answer on the way; 0: none. */
	uint64_t beat_arrives_us;
	uint64_t beat_sent_us;
	uint32_t beat_divisor;
	bool beat_lease_live;
	uint64_t beat_lease_sent_us;
	uint64_t beat_index;
	uint64_t answer_arrives_us;
	uint64_t answer_sent_us;
	uint32_t answer_divisor;
	uint64_t answer_index;
};

struct fake_group {
	struct entry_table *table;
	struct fake_entry entries[ENTRIES];
	struct random random;
	uint64_t now_us;
	uint64_t index; /* newest change */
	uint64_t in_force; /* highest index called in force */
	unsigned loss_percent;
	bool quiet;
};

static uint64_t
arrival(struct fake_group *group)
{
	return group->now_us +
	    random_below(&group->random, DELAY_STEPS_MAX) * STEP_US;
}

static bool
lost(struct fake_group *group)
{
	return random_below(&group->random, 100) < group->loss_percent;
}

static void
send_beat(struct fake_group *group, struct fake_entry *entry)
{
	if (lost(group))
		return;
	entry->beat_arrives_us = arrival(group);
	entry->beat_sent_us = group->now_us;
	entry->beat_index = entry->index;
	entry->beat_divisor = entry->divisor;
	entry->beat_lease_live = entry->lease_until_us > group->now_us;
	entry->beat_lease_sent_us = entry->lease_sent_us;
}

static void
leader_receives(struct fake_group *group, struct fake_entry *entry)
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
	beat.applied_index = entry->beat_index;
	beat.share_divisor = entry->beat_divisor;
	beat.lease_live = entry->beat_lease_live;
	beat.lease_sent_us = entry->beat_lease_sent_us;
	beat.sent_us = entry->beat_sent_us;
	entry->beat_arrives_us = 0;
	record = entry_table_heartbeat(
	    group->table, &beat, &peer, group->now_us, &replaced);
	assert_non_null(record);
	if (!entry_table_grant(group->table, record, group->now_us) ||
	    lost(group))
		return;
	entry->answer_arrives_us = arrival(group);
	entry->answer_sent_us = entry->beat_sent_us;
	entry->answer_divisor = record->share_divisor;
	entry->answer_index = group->index;
}

/* As the link does: the view first, then the lease. */
static void
entry_receives(struct fake_entry *entry)
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
restart(struct fake_group *group, struct fake_entry *entry)
{
	entry->up = !entry->up;
	entry->incarnation++;
	entry->index = 0;
	entry->lease_until_us = 0;
	entry->lease_sent_us = 0;
	entry->divisor = 0;
	entry->beat_arrives_us = 0;
	entry->answer_arrives_us = 0;
	(void)group;
}

static void
disturb(struct fake_group *group)
{
	if (random_below(&group->random, 100) == 0)
		restart(group,
		    &group->entries[random_below(&group->random, ENTRIES)]);
	if (random_below(&group->random, 60) == 0)
		group->index++;
	if (random_below(&group->random, 500) != 0)
		return;
	/* A new leader: answers of the old one may still be on the way. */
	entry_table_lead(group->table, &shares, false, group->now_us);
	group->in_force = 0;
}

static void
check(struct fake_group *group)
{
	double sum = 0;

	if (entry_table_in_force(group->table, group->index, group->now_us))
		group->in_force = group->index;
	for (int i = 0; i < ENTRIES; i++) {
		const struct fake_entry *entry = &group->entries[i];

		if (!entry->up || entry->divisor == 0)
			continue;
		sum += share_current(&shares, entry->divisor,
		    entry->lease_until_us, group->now_us);
		if (entry->lease_until_us > group->now_us)
			assert_true(entry->index >= group->in_force);
	}
	assert_true(sum <= 1.0 + rounding);
}

static void
step(struct fake_group *group, unsigned number)
{
	group->now_us += STEP_US;
	if (!group->quiet)
		disturb(group);
	for (unsigned i = 0; i < ENTRIES; i++) {
		struct fake_entry *entry = &group->entries[i];

		if (!entry->up)
			continue;
		if (number % HEARTBEAT_STEPS == i % HEARTBEAT_STEPS &&
		    entry->beat_arrives_us == 0)
			send_beat(group, entry);
		if (entry->beat_arrives_us != 0 &&
		    entry->beat_arrives_us <= group->now_us)
			leader_receives(group, entry);
		if (entry->answer_arrives_us != 0 &&
		    entry->answer_arrives_us <= group->now_us)
			entry_receives(entry);
	}
	check(group);
}

static void
start(struct fake_group *group, uint64_t seed)
{
	*group = (struct fake_group){
	    .table = entry_table_new(),
	    .now_us = 100 * US_PER_S,
	    .index = 1,
	};
	random_seed(&group->random, seed);
	group->loss_percent = (unsigned)random_below(&group->random, 40);
	entry_table_lead(group->table, &shares, seed % 2 == 0, group->now_us);
	for (int i = 0; i < ENTRIES; i++) {
		struct fake_entry *entry = &group->entries[i];

		snprintf(entry->name, sizeof(entry->name), "entry-%d", i);
		entry->incarnation = 1;
		entry->up = random_below(&group->random, 2) == 0;
	}
}

/* After a quiet while each entry serves, and little of the whole is unused. */
static void
check_settled(const struct fake_group *group)
{
	double sum = 0;
	unsigned up = 0;

	for (int i = 0; i < ENTRIES; i++) {
		const struct fake_entry *entry = &group->entries[i];

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
shares_and_views_hold_in_all_schedules(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
		struct fake_group group;

		start(&group, seed);
		for (unsigned i = 0; i < STEPS; i++)
			step(&group, i);
		group.quiet = true;
		group.loss_percent = 0;
		for (unsigned i = 0; i < QUIET_STEPS; i++)
			step(&group, i);
		check_settled(&group);
		entry_table_free(group.table);
	}
}

/* A reader of the list of entries, some of whose leases are lost. */
static void
reader_follows(
    struct fake_group *group, struct entry_list *list, uint64_t *version)
{
	Wire__EntryInfo infos[ENTRIES];
	Wire__EntryInfo *entries[ENTRIES];
	Wire__Lease lease = WIRE__LEASE__INIT;

	lease.entries_version =
	    entry_table_version(group->table, group->now_us);
	lease.entries = entries;
	lease.n_entries = entry_table_list(
	    group->table, *version, &lease.entries_base, infos, entries);
	if (lost(group))
		return;
	assert_true(entry_list_apply(list, &lease, *version));
	*version = lease.entries_version;
}

static void
check_list(const struct fake_group *group, const struct entry_list *list)
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
		    entry->now.incarnation);
	}
}

static void
lists_follow_by_changes(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= SCHEDULES / 10; seed++) {
		struct entry_list *list = entry_list_new();
		struct entry_record gone;
		struct fake_group group;
		uint64_t version = 0;

		start(&group, seed);
		for (unsigned i = 0; i < STEPS; i++) {
			step(&group, i);
			(void)entry_table_take_lost(
			    group.table, group.now_us, 3 * lease_us, &gone);
			if (i % HEARTBEAT_STEPS == 0)
				reader_follows(&group, list, &version);
		}
		group.loss_percent = 0;
		reader_follows(&group, list, &version);
		check_list(&group, list);
		entry_list_free(list);
		entry_table_free(group.table);
	}
}

static void
an_older_incarnation_is_refused(void **state ATTR_UNUSED)
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
lost_entries_are_taken_once(void **state ATTR_UNUSED)
{
	struct entry_table *table = entry_table_new();
	struct entry_record gone;

	entry_table_expect(table, str_from("entry-1"), 3, US_PER_S);
	assert_false(
	    entry_table_take_lost(table, 2 * US_PER_S, 5 * US_PER_S, &gone));
	assert_true(
	    entry_table_take_lost(table, 6 * US_PER_S, 5 * US_PER_S, &gone));
	assert_string_equal(gone.name, "entry-1");
	assert_int_equal(gone.now.incarnation, 3);
	assert_false(
	    entry_table_take_lost(table, 7 * US_PER_S, 5 * US_PER_S, &gone));
	entry_table_free(table);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(shares_and_views_hold_in_all_schedules),
	    cmocka_unit_test(lists_follow_by_changes),
	    cmocka_unit_test(an_older_incarnation_is_refused),
	    cmocka_unit_test(lost_entries_are_taken_once),
	};

	return cmocka_run_group_tests_name(
	    "control_entries", tests, NULL, NULL);
}
