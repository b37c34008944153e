/*
 * Requests of accounts with a limit: they are sent with a target and a token,
 * in either order, and leave nothing behind if they are not sent.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "flow/flow_allowance.h"
#include "support_flow_peer.h"

static struct account account = {
    .name = (char *)"acct",
    .rate_per_s = 10,
    .burst = 10,
};

/* A voter that answers draws when and as a test says. */
struct voter {
	struct fake_control control;
	struct channel *channel;
	unsigned draws;
	uint64_t request; /* of the last draw */
	unsigned returned;
};

static void
on_message(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct voter *voter = ctx;

	voter->channel = channel;
	if (frame->body_case == FLEET__FRAME__BODY_DRAW) {
		voter->draws++;
		voter->request = frame->draw->request;
		assert_string_equal(frame->draw->account, "acct");
	}
	if (frame->body_case == FLEET__FRAME__BODY_DRAW_RETURN &&
	    frame->draw_return->request == voter->request)
		voter->returned += frame->draw_return->count;
}

static void
send_members(struct voter *voter)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Members members = FLEET__MEMBERS__INIT;
	char *addresses[] = {voter->control.address};
	protobuf_c_boolean voters[] = {true};

	members.n_address = members.n_voter = 1;
	members.address = addresses;
	members.voter = voters;
	frame.body_case = FLEET__FRAME__BODY_MEMBERS;
	frame.members = &members;
	channel_send(voter->channel, &frame);
}

static void
send_result(struct voter *voter, unsigned granted, unsigned retry_after_ms,
    bool unavailable)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__DrawResult result = FLEET__DRAW_RESULT__INIT;

	result.request = voter->request;
	result.granted = granted;
	result.retry_after_ms = retry_after_ms;
	result.unavailable = unavailable;
	frame.body_case = FLEET__FRAME__BODY_DRAW_RESULT;
	frame.draw_result = &result;
	channel_send(voter->channel, &frame);
}

static void
answer(struct voter *voter, unsigned granted, unsigned retry_after_ms)
{
	send_result(voter, granted, retry_after_ms, false);
}

/*
 * Waits until a number of milliseconds at most until a counter is reached.
 */
static void
wait_for(struct flow_fixture *fixture, const unsigned *count, unsigned wanted)
{
	for (unsigned i = 0; i < 500 && *count < wanted; i++)
		flow_fixture_run(fixture, 2);
	assert_true(*count >= wanted);
}

static struct exchange *
open_limited(struct flow_fixture *fixture, struct voter *voter)
{
	struct exchange *x;

	flow_fixture_open(fixture, REPEAT_NEVER);
	memset(voter, 0, sizeof(*voter));
	voter->control.message = on_message;
	voter->control.ctx = voter;
	flow_fixture_join(fixture, &voter->control);
	for (unsigned i = 0; i < 500 && voter->channel == NULL; i++)
		flow_fixture_run(fixture, 2);
	assert_non_null(voter->channel);
	send_members(voter);
	flow_fixture_run(fixture, 50);
	/* An account comes with a document that is in force. */
	fixture->flow->routes = routes_get(fixture->routes);
	x = flow_fixture_exchange(fixture);
	x->account = &account;
	return x;
}

static void
close_limited(
    struct flow_fixture *fixture, struct voter *voter, struct exchange *x)
{
	flow_fixture_leave(fixture, &voter->control);
	flow_fixture_close(fixture, x);
}

static unsigned
in_flight(struct flow_fixture *fixture, const struct exchange *x)
{
	struct placement_stats stats;

	placement_get_stats(
	    x->service->placement, flow_now_us(fixture->flow), &stats);
	return stats.in_flight;
}

/*
 * Guards against a request that is sent with a target alone.
 */
static void
a_grant_waits_for_the_token(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_limited(&fixture, &voter);

	schedule_ask(x, false);
	assert_int_equal(in_flight(&fixture, x), 1);
	assert_int_equal(x->attempt_count, 0);
	wait_for(&fixture, &voter.draws, 1);
	assert_int_equal(x->attempt_count, 0);
	answer(&voter, 1, 0);
	wait_for(&fixture, &x->attempt_count, 1);
	assert_int_equal(voter.draws, 1);
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against slots of a target that stay counted for a refused request.
 */
static void
a_refused_token_gives_the_grant_back(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_limited(&fixture, &voter);

	schedule_ask(x, false);
	assert_int_equal(in_flight(&fixture, x), 1);
	wait_for(&fixture, &voter.draws, 1);
	answer(&voter, 0, 700);
	for (unsigned i = 0; i < 500 && !x->ended; i++)
		flow_fixture_run(&fixture, 2);
	assert_true(x->ended);
	assert_int_equal(x->attempt_count, 0);
	assert_int_equal(in_flight(&fixture, x), 0);
	assert_memory_equal(x->out.data, "HTTP/1.1 429", 12);
	assert_non_null(strstr(x->out.data, "Retry-After: 0.7"));
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against a message, and the time of its answer, for each request of an
 * account that the voters have refused repeatedly.
 */
static void
an_empty_account_is_refused_at_once(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_limited(&fixture, &voter);
	unsigned draws = 0;

	for (bool drew = true; drew;) {
		schedule_ask(x, false);
		drew = !x->ended;
		if (drew) {
			wait_for(&fixture, &voter.draws, ++draws);
			answer(&voter, 0, 1);
			for (unsigned i = 0; i < 500 && !x->ended; i++)
				flow_fixture_run(&fixture, 2);
		}
		/* The answer is there before the loop runs, or draws again. */
		assert_true(x->ended);
		assert_memory_equal(x->out.data, "HTTP/1.1 429", 12);
		if (drew) {
			exchange_free(x);
			x = flow_fixture_exchange(&fixture);
			x->account = &account;
		}
	}
	assert_in_range(draws, 2, 20);
	assert_non_null(strstr(x->out.data, "Retry-After: 0.001"));
	flow_fixture_run(&fixture, 20);
	assert_int_equal(voter.draws, draws);
	close_limited(&fixture, &voter, x);
}

/*
 * Runs the loop until a request has ended, for a second at most.
 */
static void
wait_for_end(struct flow_fixture *fixture, const struct exchange *x)
{
	for (unsigned i = 0; i < 500 && !x->ended; i++)
		flow_fixture_run(fixture, 2);
	assert_true(x->ended);
}

/*
 * Lets a request wait for the voter, which answers that it may not grant.
 */
static struct exchange *
open_waiting(struct flow_fixture *fixture, struct voter *voter)
{
	struct exchange *x = open_limited(fixture, voter);
	const struct flow_allowance *a = fixture->flow->allowance;

	schedule_ask(x, false);
	wait_for(fixture, &voter->draws, 1);
	send_result(voter, 0, 0, true);
	wait_for(fixture, &a->waiting.length, 1);
	assert_false(x->ended);
	/* It holds no slot of a target meanwhile. */
	assert_int_equal(in_flight(fixture, x), 0);
	return x;
}

/*
 * Guards against 503 in an election: the voter may grant 100 ms later.
 */
static void
a_request_waits_for_a_voter(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_waiting(&fixture, &voter);

	wait_for(&fixture, &voter.draws, 2);
	answer(&voter, 1, 0);
	wait_for(&fixture, &x->attempt_count, 1);
	assert_int_equal(voter.draws, 2);
	assert_int_equal(fixture.flow->allowance->waiting.length, 0);
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against a request that waits on although a voter has granted to
 * another one.
 */
static void
a_grant_to_another_request_ends_the_wait(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_waiting(&fixture, &voter);
	struct exchange *other = flow_fixture_exchange(&fixture);

	other->account = &account;
	schedule_ask(other, false);
	wait_for(&fixture, &voter.draws, 2);
	answer(&voter, 2, 0);
	wait_for(&fixture, &other->attempt_count, 1);
	wait_for(&fixture, &x->attempt_count, 1);
	assert_int_equal(voter.draws, 2);
	exchange_free(other);
	close_limited(&fixture, &voter, x);
}

/*
 * Returns how long a request that waits may do so at most, in microseconds.
 */
static uint64_t
longest_wait_us(const struct exchange *x)
{
	return x->allowance->wait_end_us - x->allowance->wait_since_us;
}

/*
 * Guards against 503 after a wait in which the service was split: the request
 * asked for a target of the whole service, which has none any more.
 */
static void
a_wait_ends_at_a_current_part(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_waiting(&fixture, &voter);
	Fleet__DrawResult result = FLEET__DRAW_RESULT__INIT;

	wait_for(&fixture, &voter.draws, 2);
	flow_fixture_announce_many(&fixture, 0, 100);
	assert_int_equal(fleet_service_size(fixture.flow, "svc")->parts, 2);
	/* At once: probes find that nothing listens at the new ones. */
	result.request = voter.request;
	result.granted = 1;
	allowance_on_result(fixture.flow, &result);
	assert_int_equal(x->attempt_count, 1);
	assert_int_equal(x->service->parts, 2);
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against a draw of each request that waits with each answer of a voter:
 * all of them draw at most once in 100 ms for that.
 */
static void
wakes_are_bounded(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_waiting(&fixture, &voter);
	struct flow_allowance *a = fixture.flow->allowance;

	a->woken_us = clock_boot_us();
	allowance_wake(fixture.flow, a->woken_us + 1);
	assert_int_equal(a->wake_due_us - a->woken_us, 100 * US_PER_MS);
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against a request that waits until its objective without a granted
 * target, and is then sent although it must be late.
 */
static void
a_wait_leaves_time_for_the_work(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_limited(&fixture, &voter);
	struct placement_model model = {
	    .route_count = 1,
	    .route = {x->route->id},
	    .work_us = {300 * 1000},
	};

	placement_adopt_model(x->service->placement, &model);
	allowance_draws_expire_voters(
	    fixture.flow->allowance->draws, clock_boot_us() + 60 * US_PER_S);
	x->objective_us = flow_now_us(fixture.flow) + 400 * US_PER_MS;
	schedule_ask(x, false);
	assert_int_equal(fixture.flow->allowance->waiting.length, 1);
	assert_true(x->allowance->wait_end_us - x->allowance->wait_since_us <=
	    100 * US_PER_MS);
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against a wait that grows by the time of each silent voter.
 */
static void
no_further_voter_is_asked_after_the_wait(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_waiting(&fixture, &voter);
	GHashTable *controls = fixture.flow->controls;
	char other[] = "other";

	/* The same control instance as a second voter. */
	assert_int_not_equal(
	    allowance_draws_name_voter(
		fixture.flow->allowance->draws, other, clock_boot_us()),
	    ALLOWANCE_VOTERS_MAX);
	g_hash_table_insert(controls, other,
	    g_hash_table_lookup(controls, voter.control.address));
	wait_for(&fixture, &voter.draws, 2);
	x->allowance->wait_end_us = clock_boot_us();
	wait_for_end(&fixture, x);
	flow_fixture_run(&fixture, 20);
	assert_int_equal(voter.draws, 2);
	assert_memory_equal(x->out.data, "HTTP/1.1 503", 12);
	assert_true(g_hash_table_steal(controls, other));
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against a wait for more than a fifth of the caller's time, or beyond
 * the request's objective, and against 429 at its end.
 */
static void
a_wait_ends_in_time(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_waiting(&fixture, &voter);
	struct exchange *short_one = flow_fixture_exchange(&fixture);
	struct exchange *late = flow_fixture_exchange(&fixture);
	const GQueue *waiting = &fixture.flow->allowance->waiting;

	short_one->account = late->account = &account;
	assert_true(
	    head_append_name(&short_one->head, STR_LITERAL("Deadline")));
	assert_true(head_append_value(&short_one->head, STR_LITERAL("1000")));
	late->objective_us = late->arrival_us;
	schedule_ask(late, false);
	for (unsigned i = 0; i < 500 && !late->ended; i++) {
		flow_fixture_run(&fixture, 2);
		/* It does not wait beside the first one. */
		assert_true(waiting->length <= 1);
	}
	assert_true(late->ended);
	assert_true(longest_wait_us(x) <= 1000 * US_PER_MS);
	schedule_ask(short_one, false);
	wait_for(&fixture, &waiting->length, 2);
	assert_true(longest_wait_us(short_one) <= 200 * US_PER_MS);
	wait_for_end(&fixture, short_one);
	assert_true(flow_now_us(fixture.flow) - short_one->arrival_us >=
	    200 * US_PER_MS);
	assert_false(x->ended);
	wait_for_end(&fixture, x);
	assert_true(
	    flow_now_us(fixture.flow) - x->arrival_us >= 1000 * US_PER_MS);
	assert_memory_equal(short_one->out.data, "HTTP/1.1 503", 12);
	assert_non_null(strstr(x->out.data, "Retry-After: 0.5"));
	exchange_free(short_one);
	exchange_free(late);
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against a stop that takes as long as requests wait for a voter.
 */
static void
a_stop_ends_the_wait(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_waiting(&fixture, &voter);

	fixture.flow->stopping = true;
	allowance_on_stop(fixture.flow);
	assert_true(x->ended);
	assert_memory_equal(x->out.data, "HTTP/1.1 503", 12);
	assert_int_equal(fixture.flow->allowance->waiting.length, 0);
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against more waiting requests than there is room for.
 */
static void
the_requests_that_wait_are_bounded(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_waiting(&fixture, &voter);
	struct exchange *others[1001];
	unsigned ended = 0;

	allowance_draws_expire_voters(
	    fixture.flow->allowance->draws, clock_boot_us() + 60 * US_PER_S);
	for (unsigned i = 0; i < 1001; i++) {
		others[i] = flow_fixture_exchange(&fixture);
		others[i]->account = &account;
		schedule_ask(others[i], false);
		ended += others[i]->ended ? 1 : 0;
	}
	assert_int_equal(fixture.flow->allowance->waiting.length, 1000);
	assert_int_equal(ended, 2);
	for (unsigned i = 0; i < 1001; i++)
		exchange_free(others[i]);
	assert_int_equal(fixture.flow->allowance->waiting.length, 1);
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against 429 where the allowance is unknown, and against a wait where
 * no voter has granted for a while: this entry is cut off.
 */
static void
a_silent_voter_is_no_refusal(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_limited(&fixture, &voter);

	fixture.flow->allowance->voter_us -= 1500 * US_PER_MS;
	schedule_ask(x, false);
	wait_for_end(&fixture, x);
	assert_int_equal(voter.draws, 1);
	assert_memory_equal(x->out.data, "HTTP/1.1 503", 12);
	assert_non_null(strstr(x->out.data, "Retry-After: "));
	assert_int_equal(in_flight(&fixture, x), 0);
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against tokens that are lost with a caller that leaves.
 */
static void
the_token_of_an_unsent_request_is_returned(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_limited(&fixture, &voter);

	schedule_ask(x, false);
	wait_for(&fixture, &voter.draws, 1);
	exchange_free(x);
	answer(&voter, 1, 0);
	wait_for(&fixture, &voter.returned, 1);
	flow_fixture_run(&fixture, 600);
	assert_int_equal(voter.returned, 1);
	close_limited(&fixture, &voter, NULL);
}

/*
 * Guards against the use of an account that a request on a public route has
 * lost: the entry crashed when the request began to wait for a voter.
 */
static void
a_public_request_goes_on_without_a_withdrawn_key(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct flow_peer peer;
	struct voter voter;
	struct exchange *x = open_limited(&fixture, &voter);
	struct routes *next = routes_new(2);

	flow_peer_open(&peer, &fixture);
	x->route->public = true;
	schedule_ask(x, false);
	flow_peer_wait_ask(&peer, x);
	wait_for(&fixture, &voter.draws, 1);
	next->accounts = accounts_new();
	routes_put(fixture.flow->routes);
	fixture.flow->routes = next;
	flow_peer_grant(&peer, x, "t1", 0);
	assert_int_equal(x->attempt_count, 0);
	/* It is asked for again, without the account. */
	flow_peer_wait_ask(&peer, x);
	send_result(&voter, 0, 0, true);
	flow_fixture_run(&fixture, 50);
	assert_null(x->account);
	assert_null(x->allowance);
	assert_int_equal(fixture.flow->allowance->waiting.length, 0);
	assert_int_equal(peer.ask->ask->account, 0);
	flow_peer_grant(&peer, x, "t1", 0);
	assert_int_equal(x->attempt_count, 1);
	flow_peer_close(&peer);
	close_limited(&fixture, &voter, x);
}

/*
 * Guards against a cost for documents without accounts.
 */
static void
without_a_limit_nothing_is_drawn(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_limited(&fixture, &voter);

	x->account = NULL;
	schedule_ask(x, false);
	assert_int_equal(x->attempt_count, 1);
	assert_null(x->allowance);
	flow_fixture_run(&fixture, 30);
	assert_int_equal(voter.draws, 0);
	close_limited(&fixture, &voter, x);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_grant_waits_for_the_token),
	    cmocka_unit_test(a_refused_token_gives_the_grant_back),
	    cmocka_unit_test(an_empty_account_is_refused_at_once),
	    cmocka_unit_test(a_request_waits_for_a_voter),
	    cmocka_unit_test(a_grant_to_another_request_ends_the_wait),
	    cmocka_unit_test(a_wait_ends_at_a_current_part),
	    cmocka_unit_test(wakes_are_bounded),
	    cmocka_unit_test(a_wait_leaves_time_for_the_work),
	    cmocka_unit_test(no_further_voter_is_asked_after_the_wait),
	    cmocka_unit_test(a_wait_ends_in_time),
	    cmocka_unit_test(a_stop_ends_the_wait),
	    cmocka_unit_test(the_requests_that_wait_are_bounded),
	    cmocka_unit_test(a_silent_voter_is_no_refusal),
	    cmocka_unit_test(the_token_of_an_unsent_request_is_returned),
	    cmocka_unit_test(a_public_request_goes_on_without_a_withdrawn_key),
	    cmocka_unit_test(without_a_limit_nothing_is_drawn),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
