/*
 * Requests under which targets end, at an entry: which ones are the same, which
 * ends are reported, and what is refused.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "retry/crash_ledger.h"
#include "support_flow.h"

static struct request_identity
identify(struct flow_fixture *fixture, enum http_method method,
    const char *path, const char *body, const char *caller)
{
	struct exchange *x = flow_fixture_exchange(fixture);
	struct request_identity identity;

	assert_int_equal(uv_ip4_addr(caller, 1000, &fixture->caller.peer), 0);
	x->caller = &fixture->caller;
	x->method = method;
	str_buf_clear(&x->target);
	str_buf_append_c(&x->target, path);
	if (body != NULL) {
		x->body = body_new(fixture->flow);
		body_append(x->body, str_from(body));
	}
	crash_identify(x);
	identity = x->identity;
	x->caller = NULL;
	exchange_free(x);
	return identity;
}

static void
method_path_body_and_caller_make_a_request(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct request_identity same, other;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	same = identify(&fixture, HTTP_POST, "/x", "body", "127.0.0.1");
	other = identify(&fixture, HTTP_POST, "/x", "body", "127.0.0.1");
	assert_true(same.content == other.content);
	assert_true(same.caller == other.caller);
	other = identify(&fixture, HTTP_PUT, "/x", "body", "127.0.0.1");
	assert_true(same.content != other.content);
	other = identify(&fixture, HTTP_POST, "/x?y", "body", "127.0.0.1");
	assert_true(same.content != other.content);
	other = identify(&fixture, HTTP_POST, "/x", "bodz", "127.0.0.1");
	assert_true(same.content != other.content);
	other = identify(&fixture, HTTP_POST, "/x", NULL, "127.0.0.1");
	assert_true(same.content != other.content);
	other = identify(&fixture, HTTP_POST, "/x", "body", "127.0.0.2");
	assert_true(same.content == other.content);
	assert_true(same.caller != other.caller);
	flow_fixture_close(&fixture, NULL);
}

static void
report(struct flow *flow, uint64_t target, bool answered)
{
	Fleet__Crash crash = FLEET__CRASH__INIT;

	crash.content = 7;
	crash.caller = 5;
	crash.target = target;
	crash.answered = answered;
	crash_on_report(flow, &crash);
}

static struct exchange *
same_request(struct flow_fixture *fixture, uint32_t caller)
{
	struct exchange *x = flow_fixture_exchange(fixture);

	x->identity = (struct request_identity){7, caller};
	return x;
}

static void
entries_without_control_find_it_themselves(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = same_request(&fixture, 5);
	report(fixture.flow, 1, false);
	report(fixture.flow, 2, false);
	flow_fixture_run(&fixture, 150);
	crash_tick(fixture.flow);
	assert_true(crash_refused_us(x) == 0);
	report(fixture.flow, 3, false);
	flow_fixture_run(&fixture, 150);
	crash_tick(fixture.flow);
	assert_true(crash_refused_us(x) > 0);
	report(fixture.flow, 0, true);
	assert_true(crash_refused_us(x) == 0);
	flow_fixture_close(&fixture, x);
}

static void
quarantine(struct flow *flow, uint32_t caller, uint32_t left_ms)
{
	Fleet__Quarantine message = FLEET__QUARANTINE__INIT;

	message.content = 7;
	message.caller = caller;
	message.left_ms = left_ms;
	crash_on_quarantine(flow, &message, "control");
}

static void
granted_request_that_is_refused_is_not_sent(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x, *other;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = same_request(&fixture, 5);
	other = same_request(&fixture, 6);
	quarantine(fixture.flow, 5, 60000);
	exchange_on_grant(x, "t1", false, 0);
	assert_true(x->ended);
	assert_int_equal(x->attempt_count, 0);
	exchange_on_grant(other, "t1", false, 0);
	assert_int_equal(other->attempt_count, 1);
	exchange_free(other);
	flow_fixture_close(&fixture, x);
}

static void
request_that_may_have_run_gets_no_promise(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = same_request(&fixture, 5);
	x->possibly_executed = true;
	quarantine(fixture.flow, CRASH_ANY_CALLER, 60000);
	exchange_on_grant(x, "t1", false, 0);
	assert_true(x->ended);
	assert_non_null(strstr(x->out.data, "HTTP/1.1 502"));
	flow_fixture_close(&fixture, x);
}

static void
answer_lifts_it(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = same_request(&fixture, 5);
	quarantine(fixture.flow, CRASH_ANY_CALLER, 60000);
	assert_true(crash_refused_us(x) > 0);
	crash_on_answered(x);
	assert_true(crash_refused_us(x) == 0);
	flow_fixture_close(&fixture, x);
}

/*
 * Breaks off a request at a target and runs its checks.
 */
static bool
is_end_recorded(bool listens, bool answered_before)
{
	struct flow_fixture fixture;
	struct exchange *x;
	int64_t before;
	bool recorded;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	before = counter_get(fixture.flow->ends_seen);
	x = same_request(&fixture, 5);
	if (answered_before)
		crash_on_answered(x);
	exchange_on_grant(x, "t1", false, 0);
	flow_fixture_run(&fixture, 50);
	assert_true(x->attempts[0].sent);
	/* The connections of a listener that is closed are reset. */
	if (listens)
		crash_on_break(x->attempts[0].upstream);
	else
		uv_close((uv_handle_t *)&fixture.listener, NULL);
	/* The accepted check is made once more, after a tick. */
	flow_fixture_run(&fixture, 50);
	crash_tick(fixture.flow);
	flow_fixture_run(&fixture, 50);
	assert_int_equal(
	    counter_get(fixture.flow->ends_seen) - before, !listens);
	for (unsigned i = 1; i < CRASHES_MAX; i++)
		report(fixture.flow, i, false);
	flow_fixture_run(&fixture, 150);
	crash_tick(fixture.flow);
	recorded = crash_refused_us(x) > 0;
	if (!listens)
		uv_tcp_init(&fixture.loop, &fixture.listener);
	flow_fixture_close(&fixture, x);
	return recorded;
}

static void
refused_connection_shows_the_end_of_a_target(void **state ATTR_UNUSED)
{
	assert_true(is_end_recorded(false, false));
	assert_false(is_end_recorded(true, false));
}

/*
 * It ran beside another one that ends targets.
 */
static void
request_that_was_answered_lately_is_not_reported(void **state ATTR_UNUSED)
{
	assert_false(is_end_recorded(false, true));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(method_path_body_and_caller_make_a_request),
	    cmocka_unit_test(entries_without_control_find_it_themselves),
	    cmocka_unit_test(granted_request_that_is_refused_is_not_sent),
	    cmocka_unit_test(request_that_may_have_run_gets_no_promise),
	    cmocka_unit_test(answer_lifts_it),
	    cmocka_unit_test(refused_connection_shows_the_end_of_a_target),
	    cmocka_unit_test(request_that_was_answered_lately_is_not_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
