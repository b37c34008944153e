/*
 * Targets that name the rate that they take: which answers count, and what
 * reports of other entries may do.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "support_flow_peer.h"

enum {
	LATER_MS = 1500 /* an answer without a rate counts then */
};

static void
add_field(struct head *head, const char *name, const char *value)
{
	assert_true(head_append_name(head, str_from(name)));
	assert_true(head_append_value(head, str_from(value)));
}

static struct rate_limit *
known(const struct flow_fixture *fixture)
{
	struct pool *pool = g_hash_table_lookup(fixture->flow->pools, "t1");

	assert_non_null(pool);
	return &pool->rate_limit;
}

static unsigned
limited_targets(struct flow_fixture *fixture)
{
	struct placement_stats f;

	placement_get_stats(fleet_service(fixture->flow, "svc")->placement,
	    flow_now_us(fixture->flow), &f);
	return f.limited;
}

/*
 * Makes the entry hear an answer of "t1", with a rate or without (NULL).
 */
static void
answer(struct upstream *up, unsigned status, const char *rate,
    const char *identity)
{
	head_clear(&up->head);
	up->parser.status_code = status;
	up->not_run = status == 503;
	if (status == 200)
		add_field(&up->head, "Proof", "x");
	if (rate != NULL)
		add_field(&up->head, "Rate", rate);
	if (identity != NULL)
		add_field(&up->head, "Target", identity);
	rate_on_head(up);
}

static struct upstream *
send_to_first(struct flow_fixture *fixture, struct exchange **x)
{
	flow_fixture_open(fixture, REPEAT_ALLOWED);
	*x = flow_fixture_exchange(fixture);
	exchange_on_grant(*x, "t1", false, 0);
	assert_non_null((*x)->attempts[0].upstream);
	return (*x)->attempts[0].upstream;
}

static void
rates_are_read_from_answers_of_their_target(void **state ATTR_UNUSED)
{
	static const struct {
		unsigned status;
		const char *rate;
		const char *identity;
		bool active;
		uint64_t micros;
	} cases[] = {
	    {200, "5", NULL, true, 5000000},
	    {200, " 2.25 ", "t1", true, 2250000},
	    {500, "0", NULL, true, 0},
	    {503, "0.5", NULL, true, 500000},
	    {200, "99999999999999", NULL, true, FLEET_RATE_MAX_MICROS},
	    {200, "5", "t2", false, 0},
	    {421, "5", NULL, false, 0},
	    {200, "", NULL, false, 0},
	    {200, "-1", NULL, false, 0},
	    {200, "1e3", NULL, false, 0},
	    {200, "many", NULL, false, 0},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct flow_fixture fixture;
		struct exchange *x;
		struct upstream *up = send_to_first(&fixture, &x);

		answer(up, cases[i].status, cases[i].rate, cases[i].identity);
		assert_int_equal(known(&fixture)->active, cases[i].active);
		assert_int_equal(
		    known(&fixture)->micros_per_s, cases[i].micros);
		assert_int_equal(limited_targets(&fixture), cases[i].active);
		assert_int_equal(x->attempts[0].rate.active, cases[i].active);
		flow_fixture_close(&fixture, x);
	}
}

static void
lowest_of_several_rates_counts(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;
	struct upstream *up = send_to_first(&fixture, &x);

	add_field(&up->head, "Rate", "7");
	answer(up, 200, "7", NULL);
	add_field(&up->head, "Rate", "3");
	rate_on_head(up);
	assert_int_equal(known(&fixture)->micros_per_s, 3000000);
	flow_fixture_close(&fixture, x);
}

/*
 * Answers pass each other, and rejections need not name the rate.
 */
static void
late_answer_or_rejection_does_not_end_a_limit(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;
	struct upstream *up = send_to_first(&fixture, &x);

	answer(up, 200, "5", NULL);
	answer(up, 200, NULL, NULL);
	assert_true(known(&fixture)->active);
	fixture.loop.time += LATER_MS;
	answer(up, 503, NULL, NULL);
	answer(up, 500, NULL, NULL);
	assert_true(known(&fixture)->active);
	answer(up, 200, NULL, NULL);
	assert_false(known(&fixture)->active);
	assert_int_equal(limited_targets(&fixture), 0);
	flow_fixture_close(&fixture, x);
}

static void
reports_count_for_the_known_incarnation(void **state ATTR_UNUSED)
{
	Fleet__RateLimit report = FLEET__RATE_LIMIT__INIT;
	struct flow_fixture fixture;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	report.active = true;
	report.micros_per_s = 4000000;
	report.started_ms = 2;
	rate_on_report(fixture.flow, "t1", &report);
	rate_on_report(fixture.flow, "t9", &report);
	assert_false(known(&fixture)->active);
	report.started_ms = 1;
	rate_on_report(fixture.flow, "t1", &report);
	assert_int_equal(known(&fixture)->micros_per_s, 4000000);
	assert_int_equal(limited_targets(&fixture), 1);
	report.active = false;
	rate_on_report(fixture.flow, "t1", &report);
	assert_true(known(&fixture)->active);
	fixture.loop.time += LATER_MS;
	rate_on_report(fixture.flow, "t1", &report);
	assert_int_equal(limited_targets(&fixture), 0);
	flow_fixture_close(&fixture, NULL);
}

static void
rate_above_its_bound_is_refused(void **state ATTR_UNUSED)
{
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Done done = FLEET__DONE__INIT;
	Fleet__RateLimit report = FLEET__RATE_LIMIT__INIT;

	datagram.body_case = FLEET__DATAGRAM__BODY_DONE;
	datagram.done = &done;
	done.rate_limit = &report;
	report.micros_per_s = FLEET_RATE_MAX_MICROS;
	assert_null(fleet_datagram_fault(&datagram));
	report.micros_per_s++;
	assert_string_equal(fleet_datagram_fault(&datagram), "micros_per_s");
	report.micros_per_s = 0;
	report.started_ms = FLEET_TIME_MAX_MS + 1;
	assert_string_equal(fleet_datagram_fault(&datagram), "started_ms");
}

/*
 * An answer that is streamed names the limit long before its end is reported.
 */
static void
scheduler_is_told_with_the_head(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct flow_peer peer;
	struct exchange *x;
	struct upstream *up = send_to_first(&fixture, &x);

	flow_peer_open(&peer, &fixture);
	answer(up, 200, "5", NULL);
	flow_fixture_run(&fixture, 50);
	assert_int_equal(peer.dones, 1);
	answer(up, 200, "5", NULL);
	flow_fixture_run(&fixture, 50);
	assert_int_equal(peer.dones, 1);
	flow_peer_close(&peer);
	flow_fixture_close(&fixture, x);
}

/*
 * The service is split into other parts: the target moves to another placement.
 */
static void
limit_moves_with_its_target(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct placement_stats f;
	const struct pool *pool;
	struct exchange *x;
	struct upstream *up = send_to_first(&fixture, &x);

	answer(up, 200, "5", NULL);
	flow_fixture_announce_many(&fixture, 2, 100);
	pool = g_hash_table_lookup(fixture.flow->pools, "t1");
	assert_int_not_equal(pool->service_part->parts, 1);
	placement_get_stats(
	    pool->service_part->placement, flow_now_us(fixture.flow), &f);
	assert_int_equal(f.limited, 1);
	flow_fixture_close(&fixture, x);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(rates_are_read_from_answers_of_their_target),
	    cmocka_unit_test(lowest_of_several_rates_counts),
	    cmocka_unit_test(late_answer_or_rejection_does_not_end_a_limit),
	    cmocka_unit_test(reports_count_for_the_known_incarnation),
	    cmocka_unit_test(rate_above_its_bound_is_refused),
	    cmocka_unit_test(scheduler_is_told_with_the_head),
	    cmocka_unit_test(limit_moves_with_its_target),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
