/*
 * The replicated state and the leader's membership changes: compare-and-set
 * of the document, resends, snapshots, and the order in which a lost member
 * is replaced.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/random.h"
#include "core/core_state.h"
#include "core/group_membership.h"

static enum core_outcome
edit(struct core_state *state, uint64_t index, uint64_t base, uint64_t version,
    const char *text)
{
	Fleet__Command command = FLEET__COMMAND__INIT;
	Fleet__Edit message = FLEET__EDIT__INIT;
	struct core_effect effect;

	message.base_version = base;
	message.version = version;
	message.text.data = (uint8_t *)text;
	message.text.len = strlen(text);
	command.body_case = FLEET__COMMAND__BODY_EDIT;
	command.edit = &message;
	core_state_apply(state, index, &command, &effect);
	return effect.outcome;
}

static void
depart(struct core_state *state, uint64_t index, const char *id,
    uint64_t started_ms, uint64_t time_ms)
{
	Fleet__Command command = FLEET__COMMAND__INIT;
	Fleet__Departure message = FLEET__DEPARTURE__INIT;
	struct core_effect effect;

	message.id = (char *)id;
	message.started_ms = started_ms;
	command.body_case = FLEET__COMMAND__BODY_DEPARTURE;
	command.departure = &message;
	command.time_ms = time_ms;
	core_state_apply(state, index, &command, &effect);
}

static void
edits_compare_and_set(void **state ATTR_UNUSED)
{
	struct roster *roster = roster_new(NULL);
	struct core_state s;

	core_state_init(&s, roster);
	assert_int_equal(edit(&s, 1, 0, 3, "a"), CORE_ACCEPTED);
	assert_int_equal(edit(&s, 2, 0, 4, "b"), CORE_CONFLICT);
	assert_int_equal(edit(&s, 3, 3, 3, "b"), CORE_STALE);
	assert_int_equal(edit(&s, 4, 3, 7, "b"), CORE_ACCEPTED);
	/* A resend is accepted without effect, also after another edit. */
	assert_int_equal(edit(&s, 5, 0, 3, "a"), CORE_ACCEPTED);
	assert_int_equal(s.document_index, 4);
	assert_int_equal(s.version, 7);
	/* The same text on another base version is another edit. */
	assert_int_equal(edit(&s, 6, 3, 7, "a"), CORE_CONFLICT);
	core_state_destroy(&s);
	roster_free(roster);
}

static void
snapshot_restores_the_whole_state(void **state ATTR_UNUSED)
{
	struct roster *one = roster_new(NULL);
	struct roster *two = roster_new(NULL);
	struct core_state s, copy;
	struct str_buf bytes = {0};
	struct str_buf copy_bytes = {0};

	core_state_init(&s, one);
	core_state_init(&copy, two);
	assert_int_equal(edit(&s, 1, 0, 3, "a"), CORE_ACCEPTED);
	assert_int_equal(edit(&s, 2, 3, 5, "b"), CORE_ACCEPTED);
	depart(&s, 3, "t2", 20, 100);
	depart(&s, 4, "t1", 10, 100);
	core_state_save(&s, &bytes);
	assert_int_equal(
	    core_state_load(&copy, str_buf_view(&bytes)), STATUS_OK);
	assert_int_equal(copy.version, 5);
	assert_true(str_equal_c(str_buf_view(&copy.text), "b"));
	assert_true(roster_has_departed(two, "t1", 10));
	assert_false(roster_has_departed(two, "t1", 11));
	assert_int_equal(edit(&copy, 5, 0, 3, "a"), CORE_ACCEPTED);
	assert_int_equal(copy.version, 5);
	core_state_save(&copy, &copy_bytes);
	assert_true(str_equal(str_buf_view(&bytes), str_buf_view(&copy_bytes)));
	assert_int_equal(
	    core_state_load(&copy, str_of("\xff\xff", 2)), STATUS_CORRUPT);
	str_buf_free(&bytes);
	str_buf_free(&copy_bytes);
	core_state_destroy(&s);
	core_state_destroy(&copy);
	roster_free(one);
	roster_free(two);
}

/*
 * A step ahead of the leader's clock makes nobody forget who has left, so that
 * a late report would bring it back.  Only where many have left, those that
 * left long ago are forgotten.
 */
static void
departures_outlive_a_step_of_the_clock(void **state ATTR_UNUSED)
{
	const uint64_t hour_ms = 3600 * 1000;
	struct roster *roster = roster_new(NULL);
	struct core_state s;
	char id[16];

	core_state_init(&s, roster);
	depart(&s, 1, "t1", 10, hour_ms);
	depart(&s, 2, "t2", 10, 24 * hour_ms);
	assert_true(roster_has_departed(roster, "t1", 10));
	for (unsigned i = 0; i < 300; i++) {
		snprintf(id, sizeof(id), "m%u", i);
		depart(&s, 3 + i, id, 10, 24 * hour_ms);
	}
	assert_false(roster_has_departed(roster, "t1", 10));
	assert_true(roster_has_departed(roster, "t2", 10));
	core_state_destroy(&s);
	roster_free(roster);
}

static struct group_member
member(uint64_t id, bool voter, const char *address, uint64_t silent_ms)
{
	struct group_member m = {.id = id,
	    .voter = voter,
	    .self = id == 1,
	    .silent_ms = silent_ms,
	    .caught_up = true};

	snprintf(m.address, sizeof(m.address), "%s", address);
	return m;
}

static struct group_view
three_voters(void)
{
	return (struct group_view){
	    .members = {member(1, true, "a", 0), member(2, true, "b", 10),
		member(3, true, "c", 10)},
	    .count = 3,
	    .wanted_voters = 3,
	};
}

static void
assert_action(
    const struct group_view *view, enum group_change change, uint64_t id)
{
	struct group_action action = group_next_action(view);

	assert_int_equal(action.change, change);
	assert_int_equal(action.id, id);
}

static void
lost_voter_is_replaced_before_removal(void **state ATTR_UNUSED)
{
	struct group_view view = three_voters();

	assert_action(&view, GROUP_KEEP, 0);
	view.members[2].silent_ms = GROUP_SILENT_MS;
	view.joiner.id = 9;
	snprintf(view.joiner.address, sizeof(view.joiner.address), "c");
	assert_action(&view, GROUP_ADD, 9);
	view.joiner.id = 0;
	view.members[3] = member(9, false, "c", 10);
	view.count = 4;
	assert_action(&view, GROUP_PROMOTE, 9);
	view.members[3].voter = true;
	assert_action(&view, GROUP_REMOVE, 3);
	view.members[2] = view.members[3];
	view.count = 3;
	assert_action(&view, GROUP_KEEP, 0);
}

static void
learner_replaces_silent_voter(void **state ATTR_UNUSED)
{
	struct group_view view = three_voters();

	view.members[3] = member(4, false, "d", 10);
	view.count = 4;
	assert_action(&view, GROUP_KEEP, 0);
	view.members[1].silent_ms = GROUP_SILENT_MS;
	assert_action(&view, GROUP_PROMOTE, 4);
	view.members[3].voter = true;
	assert_action(&view, GROUP_REMOVE, 2);
}

static void
no_voter_is_removed_without_a_live_majority(void **state ATTR_UNUSED)
{
	struct group_view view = three_voters();

	view.members[3] = member(4, true, "d", GROUP_SILENT_MS);
	view.count = 4;
	view.members[1].silent_ms = GROUP_SILENT_MS + 1;
	view.members[2].silent_ms = GROUP_SILENT_MS + 2;
	/* One of the three remaining voters would be alive. */
	assert_action(&view, GROUP_KEEP, 0);
	view.members[1].silent_ms = 0;
	assert_action(&view, GROUP_REMOVE, 3);
}

static void
group_grows_to_tolerate_two_losses(void **state ATTR_UNUSED)
{
	struct group_view view = three_voters();

	view.wanted_voters = 5;
	view.members[3] = member(4, false, "d", 10);
	view.members[4] = member(5, false, "e", 10);
	view.count = 5;
	assert_action(&view, GROUP_PROMOTE, 4);
	view.members[3].voter = true;
	assert_action(&view, GROUP_PROMOTE, 5);
	view.members[4].voter = true;
	assert_action(&view, GROUP_KEEP, 0);
}

/*
 * A removal leaves a live majority of the remaining voters, checked on 2000
 * random groups.
 */
static void
removals_keep_a_live_majority(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= 2000; seed++) {
		struct random random;
		struct group_view view = {.wanted_voters = 3};
		struct group_action action;
		unsigned voters = 0;
		unsigned alive = 0;

		random_seed(&random, seed);
		view.count = 1 + (unsigned)random_below(&random, 6);
		for (unsigned i = 0; i < view.count; i++) {
			char address[4];

			snprintf(address, sizeof(address), "%u",
			    (unsigned)random_below(&random, 5));
			view.members[i] = member(i + 1,
			    i == 0 || random_below(&random, 2) == 0, address,
			    i == 0 ? 0 : random_below(&random, 6000));
		}
		action = group_next_action(&view);
		if (action.change != GROUP_REMOVE)
			continue;
		for (unsigned i = 0; i < view.count; i++) {
			const struct group_member *m = &view.members[i];

			if (!m->voter || m->id == action.id)
				continue;
			voters++;
			alive += m->self || m->silent_ms < GROUP_SILENT_MS;
		}
		assert_int_not_equal(action.id, 1);
		if (view.members[action.id - 1].voter)
			assert_true(alive >= voters / 2 + 1);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(edits_compare_and_set),
	    cmocka_unit_test(snapshot_restores_the_whole_state),
	    cmocka_unit_test(departures_outlive_a_step_of_the_clock),
	    cmocka_unit_test(lost_voter_is_replaced_before_removal),
	    cmocka_unit_test(learner_replaces_silent_voter),
	    cmocka_unit_test(no_voter_is_removed_without_a_live_majority),
	    cmocka_unit_test(group_grows_to_tolerate_two_losses),
	    cmocka_unit_test(removals_keep_a_live_majority),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
