/*
 * Draws of an entry at a control instance: who grants, from when on, and what
 * the list of members says of it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "support_core.h"

struct drawer {
	struct channel *channel;
	bool opened;
	bool answered;
	Fleet__DrawResult result;
	unsigned voters; /* named in the last list of members */
};

static void
on_opened(void *ctx, struct channel *channel)
{
	struct drawer *drawer = ctx;
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Hello hello = FLEET__HELLO__INIT;

	hello.instance = hello.failure_domain = (char *)"entry";
	hello.datagram_address = hello.caller_address = (char *)"127.0.7.9:98";
	frame.body_case = FLEET__FRAME__BODY_HELLO;
	frame.hello = &hello;
	channel_send(channel, &frame);
	drawer->opened = true;
}

static void
on_message(
    void *ctx, struct channel *channel ATTR_UNUSED, const Fleet__Frame *frame)
{
	struct drawer *drawer = ctx;

	if (frame->body_case == FLEET__FRAME__BODY_DRAW_RESULT) {
		drawer->answered = true;
		drawer->result = *frame->draw_result;
	}
	if (frame->body_case != FLEET__FRAME__BODY_MEMBERS)
		return;
	drawer->voters = 0;
	for (size_t i = 0; i < frame->members->n_voter; i++)
		drawer->voters += frame->members->voter[i] ? 1 : 0;
}

static void
on_closed(void *ctx ATTR_UNUSED, struct channel *channel ATTR_UNUSED,
    const char *reason ATTR_UNUSED)
{
}

static bool
is_opened(const void *ctx)
{
	return ((const struct drawer *)ctx)->opened;
}

static bool
is_answered(const void *ctx)
{
	return ((const struct drawer *)ctx)->answered;
}

static bool
is_share_written(const void *ctx)
{
	return ((const struct core *)ctx)->allowance.share_index != 0;
}

static void
open_drawer(struct core_fixture *fixture, struct drawer *drawer)
{
	const struct channel_callbacks callbacks = {
	    .ctx = drawer,
	    .opened = on_opened,
	    .message = on_message,
	    .closed = on_closed,
	};

	*drawer = (struct drawer){0};
	drawer->channel =
	    channel_dial(&fixture->loop, fixture->address, &callbacks);
	core_fixture_run_until(fixture, is_opened, drawer);
}

static void
draw(struct core_fixture *fixture, struct drawer *drawer, uint64_t request)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Draw message = FLEET__DRAW__INIT;

	message.request = request;
	message.account = (char *)"acct";
	message.rate = 0.001;
	message.burst = 1;
	message.want = 1;
	frame.body_case = FLEET__FRAME__BODY_DRAW;
	frame.draw = &message;
	drawer->answered = false;
	channel_send(drawer->channel, &frame);
	core_fixture_run_until(fixture, is_answered, drawer);
	assert_int_equal(drawer->result.request, request);
}

static void
give_back(struct drawer *drawer, uint64_t request)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__DrawReturn message = FLEET__DRAW_RETURN__INIT;

	message.request = request;
	message.account = (char *)"acct";
	message.count = 1;
	frame.body_case = FLEET__FRAME__BODY_DRAW_RETURN;
	frame.draw_return = &message;
	channel_send(drawer->channel, &frame);
}

/*
 * Guards against an instance that grants without a group behind it, and against
 * tokens that are granted again without having been returned.
 */
static void
a_voter_grants_while_its_group_has_a_leader(void **state ATTR_UNUSED)
{
	struct core_fixture fixture;
	struct drawer drawer;

	core_fixture_init(&fixture, true);
	core_fixture_open(&fixture, NULL);
	core_fixture_edit(&fixture, 0, 1, "text");
	core_fixture_run(&fixture, 100);
	open_drawer(&fixture, &drawer);
	draw(&fixture, &drawer, 1);
	assert_int_equal(drawer.result.granted, 1);
	draw(&fixture, &drawer, 2);
	assert_int_equal(drawer.result.granted, 0);
	assert_false(drawer.result.unavailable);
	assert_true(drawer.result.retry_after_ms > 1000);
	give_back(&drawer, 1);
	draw(&fixture, &drawer, 3);
	assert_int_equal(drawer.result.granted, 1);
	core_fixture_run(&fixture, 1200);
	assert_int_equal(drawer.voters, 1);
	/* As if the process had been cut off from its leader. */
	fixture.core->info.touch_us = clock_boot_us() - 4 * US_PER_S;
	fixture.core->info.list_us = fixture.core->info.touch_us;
	fixture.core->allowance.granting = true;
	uv_timer_stop(&fixture.core->timer);
	draw(&fixture, &drawer, 4);
	assert_true(drawer.result.unavailable);
	channel_close(drawer.channel);
	core_fixture_close(&fixture);
}

/*
 * Guards against a holder without a leader that grants for more than 3 s after
 * a majority had no later list of members, or with a later list than the one
 * that its file tells of.
 */
static void
a_holder_grants_while_a_majority_knows_no_later_list(void **state ATTR_UNUSED)
{
	struct core_fixture fixture;
	struct drawer drawer;
	struct core *core;

	core_fixture_init(&fixture, true);
	core_fixture_open(&fixture, NULL);
	core_fixture_edit(&fixture, 0, 1, "text");
	core_fixture_run(&fixture, 100);
	open_drawer(&fixture, &drawer);
	core = fixture.core;
	uv_timer_stop(&core->timer);
	core->allowance.granting = true;
	core->allowance.share_index = 1;
	core->info.members_index = 1;
	core->info.members_committed = false;
	core->info.touch_us = 0;
	core->info.list_us = 0;
	draw(&fixture, &drawer, 1);
	assert_true(drawer.result.unavailable);
	core->info.list_us = clock_boot_us() - 4 * US_PER_S;
	draw(&fixture, &drawer, 2);
	assert_true(drawer.result.unavailable);
	core->info.list_us = clock_boot_us();
	core->info.members_index = 2;
	draw(&fixture, &drawer, 3);
	assert_true(drawer.result.unavailable);
	core->info.members_index = 1;
	core->info.list_us = clock_boot_us();
	draw(&fixture, &drawer, 4);
	assert_int_equal(drawer.result.granted, 1);
	channel_close(drawer.channel);
	core_fixture_close(&fixture);
}

/*
 * Guards against two holders of one share: a successor grants only when the
 * voter that it replaces must have stopped, also one that held a share before
 * (a leader of an older version may have put another voter in front).
 */
static void
a_new_holder_waits(void **state ATTR_UNUSED)
{
	struct core_fixture fixture;
	struct core *core;
	uint64_t now;

	core_fixture_init(&fixture, true);
	core_fixture_open(&fixture, NULL);
	core_fixture_edit(&fixture, 0, 1, "text");
	core = fixture.core;
	uv_timer_stop(&core->timer);
	now = clock_boot_us();
	core->replica_id |= UINT64_C(1) << 47;
	core->info.members[0].id = core->replica_id;
	core->info.members_index = 1;
	core_allowance_on_opened(core);
	core_allowance_tick(core, now);
	core_allowance_tick(core, now + 3900 * US_PER_MS);
	assert_false(core->allowance.granting);
	core_allowance_tick(core, now + 4000 * US_PER_MS);
	assert_true(core->allowance.granting);
	core_fixture_run_until(&fixture, is_share_written, core);
	/* One more voter is there before it in the list. */
	core->info.members[1] = core->info.members[0];
	core->info.members[0].id = 7;
	core->info.member_count = 2;
	assert_true(core_allowance_is_holder(core, 0));
	assert_false(core_allowance_is_holder(core, 1));
	core_allowance_tick(core, now + 4100 * US_PER_MS);
	assert_false(core->allowance.granting);
	core->info.members[0].id = core->replica_id;
	core->info.member_count = 1;
	core_allowance_tick(core, now + 4200 * US_PER_MS);
	assert_false(core->allowance.granting);
	core_allowance_tick(core, now + 8200 * US_PER_MS);
	assert_true(core->allowance.granting);
	core_fixture_close(&fixture);
}

/*
 * As if the process had been restarted: nothing is kept but the files.
 */
static void
restart(struct core *core, uint64_t now_us)
{
	core_allowance_on_opened(core);
	core_allowance_tick(core, now_us);
}

/*
 * Guards against a voter that waits after each restart of all processes as if
 * it succeeded another one, also when another member has joined meanwhile, and
 * against one that does not wait although the list of members names others
 * before it, is not known, or its file is torn.
 */
static void
a_holder_grants_at_once_after_a_restart(void **state ATTR_UNUSED)
{
	struct core_fixture fixture;
	struct core *core;
	char path[CORE_PATH_BYTES];
	uint64_t now;
	uint64_t last;

	core_fixture_init(&fixture, true);
	core_fixture_open(&fixture, NULL);
	core_fixture_edit(&fixture, 0, 1, "text");
	core_fixture_run(&fixture, 200);
	core = fixture.core;
	uv_timer_stop(&core->timer);
	now = clock_boot_us();
	core->replica_id |= UINT64_C(1) << 47;
	core->info.members[0].id = core->replica_id;
	core->info.members_index = 1;
	last = core->info.last_index;
	restart(core, now);
	assert_false(core->allowance.granting);
	core_allowance_tick(core, now + 4000 * US_PER_MS);
	assert_true(core->allowance.granting);
	core_fixture_run_until(&fixture, is_share_written, core);
	assert_int_equal(core->allowance.share_index, 1);
	now += 5 * US_PER_S;
	restart(core, now);
	assert_true(core->allowance.granting);
	/* The log was cut: what is committed may name another holder. */
	core->info.last_index = 0;
	restart(core, now);
	assert_false(core->allowance.granting);
	core->info.last_index = last;
	/* Without a leader a majority must say that it has no later list. */
	core->info.members_committed = false;
	core->info.list_us = 0;
	restart(core, now);
	assert_false(core->allowance.granting);
	core->info.list_us = now;
	restart(core, now);
	assert_true(core->allowance.granting);
	/* It says nothing of an own later list that is not committed. */
	core->info.members_index = 2;
	restart(core, now);
	assert_false(core->allowance.granting);
	core->info.members_index = 1;
	core->info.list_us = 0;
	core->info.members_committed = true;
	/* A learner joined while the process was down. */
	core->info.members_index = 2;
	core->info.members[1] =
	    (struct replica_member){.id = core->replica_id + 2};
	core->info.member_count = 2;
	restart(core, now);
	assert_true(core->allowance.granting);
	/* The replica was removed, and others are the first voters. */
	core->info.members[0].id = core->replica_id + 3;
	restart(core, now);
	assert_false(core->allowance.granting);
	core->info.members[0].id = core->replica_id;
	core->info.member_count = 1;
	core->info.members_index = 1;
	core->replica_id++;
	core->info.members[0].id++;
	restart(core, now);
	assert_false(core->allowance.granting);
	core->replica_id--;
	core->info.members[0].id--;
	restart(core, now);
	assert_true(core->allowance.granting);
	core_path(core, "share", path);
	assert_int_equal(truncate(path, 20), 0);
	restart(core, now);
	assert_false(core->allowance.granting);
	core_fixture_close(&fixture);
}

/*
 * Guards against a holder that writes no file while the members of its group
 * have never changed and it has taken no snapshot, and cannot grant before a
 * leader is elected.
 */
static void
a_holder_of_the_first_list_writes_its_file(void **state ATTR_UNUSED)
{
	struct core_fixture fixture;
	struct core *core;

	core_fixture_init(&fixture, true);
	core_fixture_open(&fixture, NULL);
	core_fixture_edit(&fixture, 0, 1, "text");
	core = fixture.core;
	core_fixture_run_until(&fixture, is_share_written, core);
	assert_int_equal(core->info.members_index, 0);
	assert_int_equal(core->info.snapshot_index, 0);
	uv_timer_stop(&core->timer);
	core->info.members_committed = false;
	core->info.list_us = 0;
	restart(core, clock_boot_us());
	assert_false(core->allowance.granting);
	core->info.list_us = clock_boot_us();
	restart(core, core->info.list_us);
	assert_true(core->allowance.granting);
	core_fixture_close(&fixture);
}

/*
 * Guards against a voter that held one of more shares before `losses` was
 * lowered, and grants at once when it moves up: the voter that it replaces may
 * still grant.
 */
static void
a_file_counts_only_for_its_number_of_shares(void **state ATTR_UNUSED)
{
	struct core_fixture fixture;
	struct core *core;
	uint64_t now;

	core_fixture_init(&fixture, true);
	core_fixture_open(&fixture, NULL);
	core_fixture_edit(&fixture, 0, 1, "text");
	core_fixture_run(&fixture, 200);
	core = fixture.core;
	uv_timer_stop(&core->timer);
	now = clock_boot_us();
	core->replica_id |= UINT64_C(1) << 47;
	core->info.members[0] = (struct replica_member){.id = 7, .voter = true};
	core->info.members[1] =
	    (struct replica_member){.id = core->replica_id, .voter = true};
	core->info.member_count = 2;
	core->info.members_index = 1;
	core->allowance.shares = 3;
	restart(core, now);
	core_allowance_tick(core, now + 4000 * US_PER_MS);
	assert_true(core->allowance.granting);
	core_fixture_run_until(&fixture, is_share_written, core);
	now += 5 * US_PER_S;
	restart(core, now);
	assert_true(core->allowance.granting);
	core->allowance.shares = 1;
	restart(core, now);
	assert_false(core->allowance.granting);
	/* The holder of the only share is removed. */
	core->info.members[0] = core->info.members[1];
	core->info.member_count = 1;
	core->info.members_index = 2;
	restart(core, now);
	assert_false(core->allowance.granting);
	core_allowance_tick(core, now + 3900 * US_PER_MS);
	assert_false(core->allowance.granting);
	core_allowance_tick(core, now + 4000 * US_PER_MS);
	assert_true(core->allowance.granting);
	core_fixture_close(&fixture);
}

/*
 * Guards against a first member beyond the number of shares that grants at once
 * when it moves up: the voter that it replaces may still grant.
 */
static void
a_first_member_that_moves_up_waits(void **state ATTR_UNUSED)
{
	struct core_fixture fixture;
	struct core *core;
	uint64_t now;

	core_fixture_init(&fixture, true);
	core_fixture_open(&fixture, NULL);
	core_fixture_edit(&fixture, 0, 1, "text");
	core = fixture.core;
	uv_timer_stop(&core->timer);
	now = clock_boot_us();
	core->info.members[1] = core->info.members[0];
	core->info.members[0].id = 7;
	core->info.member_count = 2;
	restart(core, now);
	core->info.members[0] = core->info.members[1];
	core->info.member_count = 1;
	core_allowance_tick(core, now + US_PER_S);
	assert_false(core->allowance.granting);
	core_allowance_tick(core, now + 5 * US_PER_S);
	assert_true(core->allowance.granting);
	core_fixture_close(&fixture);
}

static void
an_instance_without_a_log_never_grants(void **state ATTR_UNUSED)
{
	struct core_fixture fixture;
	struct drawer drawer;

	core_fixture_init(&fixture, false);
	core_fixture_open(&fixture, NULL);
	open_drawer(&fixture, &drawer);
	draw(&fixture, &drawer, 1);
	assert_true(drawer.result.unavailable);
	channel_close(drawer.channel);
	core_fixture_close(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_voter_grants_while_its_group_has_a_leader),
	    cmocka_unit_test(
		a_holder_grants_while_a_majority_knows_no_later_list),
	    cmocka_unit_test(a_new_holder_waits),
	    cmocka_unit_test(a_holder_grants_at_once_after_a_restart),
	    cmocka_unit_test(a_holder_of_the_first_list_writes_its_file),
	    cmocka_unit_test(a_file_counts_only_for_its_number_of_shares),
	    cmocka_unit_test(a_first_member_that_moves_up_waits),
	    cmocka_unit_test(an_instance_without_a_log_never_grants),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
