/*
 * The last milliseconds of a request of the event-driven entry.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "support_flow.h"

enum {
	LAST_MS = 4,
	TIMEOUT_MS = 200
};

/* Guards against a repeat that is broken off as soon as it has begun. */
static void
grant_in_the_last_milliseconds_is_ignored(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	flow_fixture_announce(&fixture, "t2", "127.0.7.251:9");
	x = flow_fixture_exchange(&fixture);
	exchange_on_grant(x, "t1", true, 0);
	assert_int_equal(x->attempt_count, 1);
	x->deadline_us = flow_now_us(fixture.flow) + LAST_MS * US_PER_MS;
	exchange_on_grant(x, "t2", true, 0);
	assert_int_equal(x->attempt_count, 1);
	flow_fixture_close(&fixture, x);
}

/*
 * Guards against a request that has waited, is sent shortly before the end of a
 * stop, and cut there: it may have run.
 */
static void
grant_that_a_stop_would_cut_is_returned(void **state ATTR_UNUSED)
{
	enum {
		GRACE_MS = 6000,
		LEFT_MS = 1000 /* until the stop ends requests */
	};
	static const struct {
		uint64_t expected_ms;
		bool sent;
	} cases[] = {{100, true}, {600, false}};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct flow_fixture fixture;
		struct exchange *x;

		flow_fixture_open(&fixture, REPEAT_NEVER);
		x = flow_fixture_exchange(&fixture);
		fixture.flow->settings.grace_ms = GRACE_MS;
		fixture.flow->stopping = true;
		fixture.flow->stopping_ms = 0;
		fixture.flow->stopping_ms =
		    uv_now(&fixture.loop) + LEFT_MS - stop_end_ms(fixture.flow);
		exchange_on_grant(
		    x, "t1", true, cases[i].expected_ms * US_PER_MS);
		assert_int_equal(x->attempt_count, cases[i].sent);
		assert_int_equal(x->ended, !cases[i].sent);
		if (!cases[i].sent)
			assert_non_null(strstr(x->out.data, "HTTP/1.1 503"));
		flow_fixture_close(&fixture, x);
	}
}

static void
add_field(struct exchange *x, const char *name, const char *value)
{
	assert_true(head_append_name(&x->head, str_from(name)));
	assert_true(head_append_value(&x->head, str_from(value)));
}

/*
 * No target is at work when the time is about to end: the failure that one has
 * answered must arrive before the caller gives up.  The timer is let run out
 * early, so that a pause of the test changes nothing.
 */
static void
kept_failure_is_sent_in_the_callers_time(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	fixture.flow->routes = routes_get(fixture.routes);
	fixture.flow->ready = true;
	x = exchange_new(&fixture.caller);
	x->caller = NULL;
	x->method = HTTP_GET;
	str_buf_append_c(&x->target, "/x");
	add_field(x, "Host", "h");
	add_field(x, "Deadline", "60000");
	exchange_begin(x);
	assert_int_equal(x->attempt_count, 1);
	assert_true(flow_now_us(fixture.flow) +
		uv_timer_get_due_in(&x->timer) * US_PER_MS <
	    x->deadline_us);
	/* The target has failed it, and a repeat waits for a grant. */
	exchange_end_attempts(x, OUTCOME_FAILED);
	x->possibly_executed = true;
	x->fallback_status = 500;
	str_buf_append_c(&x->fallback, "HTTP/1.1 500 Failed\r\n\r\n");
	uv_timer_start(&x->timer, x->timer.timer_cb, 0, 0);
	while (!x->ended && uv_timer_get_due_in(&x->timer) == 0)
		(void)uv_run(&fixture.loop, UV_RUN_NOWAIT);
	assert_true(x->ended);
	assert_non_null(strstr(x->out.data, "HTTP/1.1 500"));
	flow_fixture_close(&fixture, x);
}

/* One at work gets all of it; what another has answered is not withheld. */
static void
kept_failure_is_sent_after_the_time_of_one_at_work(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	fixture.flow->routes = routes_get(fixture.routes);
	fixture.flow->ready = true;
	x = exchange_new(&fixture.caller);
	x->caller = NULL;
	x->method = HTTP_GET;
	str_buf_append_c(&x->target, "/x");
	add_field(x, "Host", "h");
	add_field(x, "Deadline", "200");
	exchange_begin(x);
	assert_int_equal(x->attempt_count, 1);
	x->possibly_executed = true;
	x->fallback_status = 500;
	str_buf_append_c(&x->fallback, "HTTP/1.1 500 Failed\r\n\r\n");
	while (!x->ended)
		(void)uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_non_null(strstr(x->out.data, "HTTP/1.1 500"));
	assert_false(exchange_has_open_attempt(x));
	assert_in_range(flow_now_us(fixture.flow) - x->arrival_us,
	    TIMEOUT_MS * US_PER_MS, UINT64_MAX);
	flow_fixture_close(&fixture, x);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(grant_in_the_last_milliseconds_is_ignored),
	    cmocka_unit_test(grant_that_a_stop_would_cut_is_returned),
	    cmocka_unit_test(kept_failure_is_sent_in_the_callers_time),
	    cmocka_unit_test(
		kept_failure_is_sent_after_the_time_of_one_at_work),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
