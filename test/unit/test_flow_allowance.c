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

#include "support_flow.h"

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
answer(struct voter *voter, unsigned granted, unsigned retry_after_ms)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__DrawResult result = FLEET__DRAW_RESULT__INIT;

	result.request = voter->request;
	result.granted = granted;
	result.retry_after_ms = retry_after_ms;
	frame.body_case = FLEET__FRAME__BODY_DRAW_RESULT;
	frame.draw_result = &result;
	channel_send(voter->channel, &frame);
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
 * Guards against 429 where the allowance is unknown.
 */
static void
a_silent_voter_is_no_refusal(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct voter voter;
	struct exchange *x = open_limited(&fixture, &voter);

	schedule_ask(x, false);
	for (unsigned i = 0; i < 500 && !x->ended; i++)
		flow_fixture_run(&fixture, 2);
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
	    cmocka_unit_test(a_silent_voter_is_no_refusal),
	    cmocka_unit_test(the_token_of_an_unsent_request_is_returned),
	    cmocka_unit_test(without_a_limit_nothing_is_drawn),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
