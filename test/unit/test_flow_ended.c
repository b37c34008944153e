/*
 * Lost reports of the ends of requests: an entry names its ended asks again, and
 * the scheduler frees their slots.  Guards against slots that stay occupied
 * until a second after the request's deadline, and against freeing those of
 * requests that still run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "support_flow_peer.h"

static void
ids_are_named_three_times_within_two_seconds(void **state ATTR_UNUSED)
{
	struct ended_asks asks = {.count = 0};
	uint64_t ids[FLEET_ENDED_MAX];
	uint64_t now = 9 * US_PER_S;

	ended_asks_add(&asks, 1, now);
	assert_int_equal(ended_asks_name(&asks, ids, now + 2 * US_PER_S), 1);
	ended_asks_add(&asks, 2, now + 2 * US_PER_S);
	assert_int_equal(ended_asks_name(&asks, ids, now + 2 * US_PER_S), 2);
	assert_int_equal(ids[0], 2);
	assert_int_equal(ids[1], 1);
	assert_int_equal(
	    ended_asks_name(&asks, ids, now + 2 * US_PER_S + 1), 1);
	assert_int_equal(ids[0], 2);
	assert_int_equal(
	    ended_asks_name(&asks, ids, now + 2 * US_PER_S + 1), 1);
	assert_int_equal(
	    ended_asks_name(&asks, ids, now + 2 * US_PER_S + 1), 0);
	for (uint64_t id = 1; id <= 20; id++)
		ended_asks_add(&asks, id, now);
	assert_int_equal(ended_asks_name(&asks, ids, now), FLEET_ENDED_MAX);
	for (unsigned i = 0; i < FLEET_ENDED_MAX; i++)
		assert_int_equal(ids[i], 20 - i);
}

static struct exchange *
ask_peer(struct flow_fixture *fixture, struct flow_peer *peer)
{
	struct exchange *x = flow_fixture_exchange(fixture);

	schedule_ask(x, false);
	flow_peer_wait_ask(peer, x);
	return x;
}

static void
asks_name_ended_ones_and_no_others(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct flow_peer peer;
	struct exchange *running, *answered, *cancelled, *rejected, *next;
	uint64_t answered_id, cancelled_id;

	flow_fixture_open(&fixture, REPEAT_NEVER);
	flow_peer_open(&peer, &fixture);
	running = ask_peer(&fixture, &peer);
	flow_peer_grant(&peer, running, "t1", 0);
	answered = ask_peer(&fixture, &peer);
	flow_peer_grant(&peer, answered, "t1", 0);
	cancelled = ask_peer(&fixture, &peer);
	rejected = ask_peer(&fixture, &peer);
	assert_int_equal(peer.ask->ask->n_ended, 0);
	answered_id = answered->ask_id;
	cancelled_id = cancelled->ask_id;
	/* Reported as answered: it may still be used until it is cancelled. */
	schedule_complete(&answered->attempts[0], OUTCOME_ANSWERED);
	schedule_cancel(answered);
	schedule_cancel(cancelled);
	/* The scheduler itself has ended this one. */
	flow_peer_reject(&peer, rejected, REJECT_NO_ROOM, 0);
	next = ask_peer(&fixture, &peer);
	assert_int_equal(peer.ask->ask->n_ended, 2);
	assert_int_equal(peer.ask->ask->ended[0], cancelled_id);
	assert_int_equal(peer.ask->ask->ended[1], answered_id);
	exchange_free(next);
	exchange_free(rejected);
	exchange_free(cancelled);
	exchange_free(answered);
	exchange_free(running);
	flow_peer_close(&peer);
	flow_fixture_close(&fixture, NULL);
}

/*
 * Guards against a slot that stays occupied when a rejection and the repetition
 * of its ask cross: the scheduler places the repetition as a new call.
 */
static void
rejected_ask_that_was_repeated_is_named(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct flow_peer peer;
	struct exchange *rejected, *next;
	uint64_t id;

	flow_fixture_open(&fixture, REPEAT_NEVER);
	flow_peer_open(&peer, &fixture);
	rejected = flow_fixture_exchange(&fixture);
	schedule_ask(rejected, false);
	id = rejected->ask_id;
	while (peer.asks < 2)
		(void)uv_run(&fixture.loop, UV_RUN_ONCE);
	uv_timer_stop(&rejected->ask_timer);
	flow_peer_reject(&peer, rejected, REJECT_NO_ROOM, 0);
	assert_true(rejected->ended);
	next = ask_peer(&fixture, &peer);
	assert_int_equal(peer.cancels, 1);
	assert_int_equal(peer.cancelled, id);
	assert_int_equal(peer.ask->ask->n_ended, 1);
	assert_int_equal(peer.ask->ask->ended[0], id);
	exchange_free(next);
	exchange_free(rejected);
	flow_peer_close(&peer);
	flow_fixture_close(&fixture, NULL);
}

/*
 * Lets another entry ask for a target of the service.
 */
static void
ask_entry(struct flow *flow, const struct sockaddr_in *from, uint64_t request,
    uint64_t *ended, size_t ended_count)
{
	Fleet__Ask ask = FLEET__ASK__INIT;

	ask.request = request;
	ask.service = (char *)"svc";
	ask.objective_left_ms = ask.deadline_left_ms = 5000;
	ask.ended = ended;
	ask.n_ended = ended_count;
	schedule_on_ask(flow, from, &ask);
}

static unsigned
occupied_slots(struct flow *flow)
{
	struct placement_stats stats;

	placement_get_stats(
	    fleet_service(flow, "svc")->placement, flow_now_us(flow), &stats);
	return stats.in_flight;
}

static void
slot_is_free_after_the_next_ask(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct sockaddr_in from, other;
	uint64_t ended[] = {2, 1, 77};
	double before;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	assert_int_equal(uv_ip4_addr("127.0.7.9", 100, &from), 0);
	assert_int_equal(uv_ip4_addr("127.0.7.10", 100, &other), 0);
	for (uint64_t request = 1; request <= 3; request++)
		ask_entry(fixture.flow, &from, request, NULL, 0);
	/* Ids are those of one entry: another one's are not freed. */
	ask_entry(fixture.flow, &other, 1, NULL, 0);
	assert_int_equal(occupied_slots(fixture.flow), 4);
	before = counter_get(fixture.flow->calls_freed);
	/* Two reports were lost, and one id is unknown. */
	ask_entry(fixture.flow, &from, 4, ended, 3);
	assert_int_equal(occupied_slots(fixture.flow), 3);
	assert_int_equal(g_hash_table_size(fixture.flow->remote_calls), 3);
	assert_int_equal(counter_get(fixture.flow->calls_freed) - before, 2);
	/* A repeated ask, whose list was in an earlier one. */
	ask_entry(fixture.flow, &from, 4, ended, 3);
	assert_int_equal(occupied_slots(fixture.flow), 3);
	assert_int_equal(counter_get(fixture.flow->calls_freed) - before, 2);
	flow_fixture_close(&fixture, NULL);
}

static void
id_of_the_ask_itself_frees_it_before_it_is_placed(void **state ATTR_UNUSED)
{
	/* A faulty entry: the call must not be used after it was freed. */
	struct flow_fixture fixture;
	struct sockaddr_in from;
	uint64_t ended[] = {1, 1};

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	assert_int_equal(uv_ip4_addr("127.0.7.9", 100, &from), 0);
	ask_entry(fixture.flow, &from, 1, NULL, 0);
	ask_entry(fixture.flow, &from, 1, ended, 2);
	assert_int_equal(occupied_slots(fixture.flow), 1);
	assert_int_equal(g_hash_table_size(fixture.flow->remote_calls), 1);
	flow_fixture_close(&fixture, NULL);
}

static void
ids_start_at_random_and_fit(void **state ATTR_UNUSED)
{
	uint64_t last = 0;

	for (int i = 0; i < 3; i++) {
		struct flow_fixture fixture;

		flow_fixture_open(&fixture, REPEAT_ALLOWED);
		assert_int_not_equal(fixture.flow->next_ask, last);
		last = fixture.flow->next_ask;
		assert_true(last < UINT64_C(1) << 62);
		flow_fixture_close(&fixture, NULL);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(ids_are_named_three_times_within_two_seconds),
	    cmocka_unit_test(asks_name_ended_ones_and_no_others),
	    cmocka_unit_test(rejected_ask_that_was_repeated_is_named),
	    cmocka_unit_test(slot_is_free_after_the_next_ask),
	    cmocka_unit_test(id_of_the_ask_itself_frees_it_before_it_is_placed),
	    cmocka_unit_test(ids_start_at_random_and_fit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
