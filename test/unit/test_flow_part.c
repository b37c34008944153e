/*
 * An entry and the loads of a service's parts: what it learns from answers,
 * which requests it moves, and what it reports itself.  Guards against requests
 * that wait at a full part while another has room, and against requests that
 * are sent twice by a move.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "support_flow_peer.h"

enum {
	TARGETS = 100 /* two parts */
};

struct bed {
	struct flow_fixture fixture;
	struct flow_peer peer;
	struct service *parts[2];
};

static void
bed_open(struct bed *bed, bool has_peer)
{
	flow_fixture_open(&bed->fixture, REPEAT_NEVER);
	flow_fixture_announce_many(&bed->fixture, 0, TARGETS);
	bed->parts[0] = fleet_service(bed->fixture.flow, "svc#0/2");
	bed->parts[1] = fleet_service(bed->fixture.flow, "svc#1/2");
	if (has_peer)
		flow_peer_open(&bed->peer, &bed->fixture);
}

static void
bed_close(struct bed *bed, struct exchange *x)
{
	if (x != NULL)
		exchange_free(x);
	if (bed->peer.fixture != NULL)
		flow_peer_close(&bed->peer);
	flow_fixture_close(&bed->fixture, NULL);
}

/*
 * Asks a part for a target for a new request.
 */
static struct exchange *
ask_part(struct bed *bed, unsigned part)
{
	struct exchange *x = flow_fixture_exchange(&bed->fixture);

	x->service = bed->parts[part];
	schedule_ask(x, false);
	flow_peer_wait_ask(&bed->peer, x);
	assert_string_equal(bed->peer.ask->ask->service, x->service->name);
	return x;
}

/*
 * Lets the entry choose among the parts, as it does for each request, and hear
 * that part 1 has a load.
 */
static void
hear_load_of_part_1(struct bed *bed, uint32_t load)
{
	struct exchange *x;

	(void)fleet_next_part(bed->fixture.flow, "svc");
	x = ask_part(bed, 1);
	flow_peer_reject(&bed->peer, x, REJECT_NO_TARGET, load);
	assert_true(x->ended);
	exchange_free(x);
}

static void
held_request_moves_once(void **state ATTR_UNUSED)
{
	struct bed bed = {0};
	struct exchange *x;
	uint64_t first;
	double before;
	char *target;

	bed_open(&bed, true);
	hear_load_of_part_1(&bed, 50);
	x = ask_part(&bed, 0);
	first = x->ask_id;
	before = counter_get(bed.fixture.flow->part_choices[PART_MOVED]);
	flow_peer_hold(&bed.peer, x, 120);
	flow_peer_wait_cancel(&bed.peer, first);
	flow_peer_wait_ask(&bed.peer, x);
	assert_ptr_equal(x->service, bed.parts[1]);
	assert_string_equal(bed.peer.ask->ask->service, "svc#1/2");
	assert_int_equal(
	    counter_get(bed.fixture.flow->part_choices[PART_MOVED]) - before,
	    1);
	/* Part 0 has granted it before the cancel arrived. */
	target = ((struct pool *)bed.parts[0]->pools->pdata[0])->id;
	{
		Fleet__Grant late = FLEET__GRANT__INIT;

		late.request = first;
		late.target = target;
		ask_on_grant(bed.fixture.flow, &late);
		assert_int_equal(x->attempt_count, 0);
	}
	/* It stays at part 1, although part 0 is said to have room by now. */
	part_on_load(bed.parts[0], 10);
	flow_peer_hold(&bed.peer, x, 120);
	assert_ptr_equal(x->service, bed.parts[1]);
	target = ((struct pool *)bed.parts[1]->pools->pdata[0])->id;
	flow_peer_grant(&bed.peer, x, target, 120);
	assert_int_equal(x->attempt_count, 1);
	bed_close(&bed, x);
}

static void
rejected_request_moves_for_lack_of_room_alone(void **state ATTR_UNUSED)
{
	static const struct {
		enum placement_reason reason;
		uint32_t load;
		bool moves;
	} cases[] = {
	    {REJECT_NO_ROOM, 100, true},
	    {REJECT_NO_ROOM, 99, false},
	    /* A program that does not report its load. */
	    {REJECT_NO_ROOM, 0, false},
	    {REJECT_NO_TARGET, 1000, false},
	    {REJECT_NO_BUDGET, 1000, false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bed bed = {0};
		struct exchange *x;

		bed_open(&bed, true);
		hear_load_of_part_1(&bed, 50);
		x = ask_part(&bed, 0);
		flow_peer_reject(&bed.peer, x, cases[i].reason, cases[i].load);
		assert_int_equal(x->ended, !cases[i].moves);
		assert_ptr_equal(x->service, bed.parts[cases[i].moves]);
		if (cases[i].moves)
			flow_peer_wait_ask(&bed.peer, x);
		assert_int_equal(bed.peer.cancels, 0);
		bed_close(&bed, x);
	}
}

static void
sent_or_late_request_does_not_move(void **state ATTR_UNUSED)
{
	struct bed bed = {0};
	struct exchange *x;

	bed_open(&bed, true);
	hear_load_of_part_1(&bed, 50);
	x = ask_part(&bed, 0);
	x->objective_us = flow_now_us(bed.fixture.flow);
	flow_peer_hold(&bed.peer, x, 120);
	assert_ptr_equal(x->service, bed.parts[0]);
	x->objective_us = x->deadline_us;
	x->attempt_count = 1;
	flow_peer_hold(&bed.peer, x, 120);
	assert_ptr_equal(x->service, bed.parts[0]);
	x->attempt_count = 0;
	flow_peer_hold(&bed.peer, x, 120);
	assert_ptr_equal(x->service, bed.parts[1]);
	bed_close(&bed, x);
}

/*
 * Occupies all slots of part 0, which this entry schedules, for another one.
 */
static void
fill_part_0(struct bed *bed)
{
	struct sockaddr_in from;

	assert_int_equal(uv_ip4_addr("127.0.7.9", 100, &from), 0);
	for (uint64_t i = 1; i <= bed->parts[0]->pools->len * 4; i++) {
		Fleet__Ask ask = FLEET__ASK__INIT;

		ask.request = i;
		ask.service = bed->parts[0]->name;
		ask.objective_left_ms = ask.deadline_left_ms = 5000;
		schedule_on_ask(bed->fixture.flow, &from, &ask);
	}
	assert_true(part_load(bed->parts[0]) >= 100);
}

static void
own_request_moves_off_an_own_part(void **state ATTR_UNUSED)
{
	/* Held with 5 s to its objective, rejected with 1 ms. */
	static const uint64_t left_us[] = {5 * US_PER_S, US_PER_MS};

	for (size_t i = 0; i < 2; i++) {
		struct bed bed = {0};
		struct exchange *x;
		struct pool *pool;

		bed_open(&bed, false);
		bed.parts[0]->owner = bed.parts[1]->owner = true;
		fill_part_0(&bed);
		(void)fleet_next_part(bed.fixture.flow, "svc");
		x = flow_fixture_exchange(&bed.fixture);
		x->objective_us = flow_now_us(bed.fixture.flow) + left_us[i];
		x->service = bed.parts[0];
		schedule_ask(x, false);
		assert_int_equal(x->attempt_count, 1);
		pool = g_hash_table_lookup(
		    bed.fixture.flow->pools, x->attempts[0].target);
		assert_ptr_equal(pool->service_part, bed.parts[1]);
		assert_false(placement_is_waiting(
		    bed.parts[0]->placement, &x->requester));
		bed_close(&bed, x);
	}
}

static void
placing_without_the_scheduler_does_not_move(void **state ATTR_UNUSED)
{
	struct bed bed = {0};
	struct exchange *x;

	bed_open(&bed, false);
	fill_part_0(&bed);
	(void)fleet_next_part(bed.fixture.flow, "svc");
	part_on_load(bed.parts[1], 10);
	x = flow_fixture_exchange(&bed.fixture);
	x->service = bed.parts[0];
	schedule_ask(x, false);
	assert_ptr_equal(x->service, bed.parts[0]);
	assert_true(
	    placement_is_waiting(bed.parts[0]->placement, &x->requester));
	bed_close(&bed, x);
}

static void
number_of_parts_resets_the_loads(void **state ATTR_UNUSED)
{
	struct bed bed = {0};
	const struct service_size *size;
	uint64_t age_us;

	bed_open(&bed, false);
	size = fleet_service_size(bed.fixture.flow, "svc");
	(void)fleet_next_part(bed.fixture.flow, "svc");
	part_on_load(bed.parts[1], 500);
	assert_int_equal(part_choice_load(size->choice, 1, 0, &age_us), 500);
	assert_int_equal(fleet_adopt_parts(bed.fixture.flow, "svc", 2), 2);
	flow_fixture_announce_many(&bed.fixture, TARGETS, 160);
	assert_int_equal(size->parts, 4);
	(void)fleet_next_part(bed.fixture.flow, "svc");
	assert_int_equal(part_choice_load(size->choice, 1, 0, &age_us), 0);
	/* A late answer of an old part is ignored. */
	part_on_load(bed.parts[1], 500);
	assert_int_equal(part_choice_load(size->choice, 1, 0, &age_us), 0);
	bed_close(&bed, NULL);
}

static void
evacuated_targets_do_not_count(void **state ATTR_UNUSED)
{
	struct bed bed = {0};
	char domain[] = "a";
	char *domains[] = {domain};
	Fleet__Evacuations message = FLEET__EVACUATIONS__INIT;
	struct roster_target other = {
	    .id = (char *)"other",
	    .service = (char *)"svc",
	    .address = (char *)"127.0.7.252:9",
	    .failure_domain = (char *)"b",
	    .started_ms = 1,
	    .slots = 4,
	};
	struct pool *pool;

	bed_open(&bed, false);
	assert_true(roster_announce(bed.fixture.flow->roster, &other));
	(void)fleet_next_part(bed.fixture.flow, "svc");
	message.index = 9;
	message.n_failure_domain = 1;
	message.failure_domain = domains;
	evacuation_on_update(bed.fixture.flow, &message);
	pool = g_hash_table_lookup(bed.fixture.flow->pools, "other");
	for (int i = 0; i < 20; i++)
		assert_ptr_equal(fleet_next_part(bed.fixture.flow, "svc"),
		    pool->service_part);
	bed_close(&bed, NULL);
}

static void
loads_are_reported_for_parts_alone(void **state ATTR_UNUSED)
{
	struct bed bed = {0};

	bed_open(&bed, false);
	assert_int_equal(part_load(bed.parts[0]), 1);
	assert_int_equal(part_load(fleet_service(bed.fixture.flow, "svc")), 0);
	bed_close(&bed, NULL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(held_request_moves_once),
	    cmocka_unit_test(rejected_request_moves_for_lack_of_room_alone),
	    cmocka_unit_test(sent_or_late_request_does_not_move),
	    cmocka_unit_test(own_request_moves_off_an_own_part),
	    cmocka_unit_test(placing_without_the_scheduler_does_not_move),
	    cmocka_unit_test(number_of_parts_resets_the_loads),
	    cmocka_unit_test(evacuated_targets_do_not_count),
	    cmocka_unit_test(loads_are_reported_for_parts_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
