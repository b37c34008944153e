/*
 * Requests of the event-driven entry over loopback: duplicate grants, retries,
 * asks of other entries, document fetches, slow callers and the startup.
 */
#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "placement/placement_defs.h"
#include "support_flow.h"

static void
second_grant_is_used_only_if_idempotent(void **state ATTR_UNUSED)
{
	static const struct {
		enum repeat_policy repeat;
		unsigned sends;
	} cases[] = {{REPEAT_NEVER, 1}, {REPEAT_ALLOWED, 2}};

	for (size_t i = 0; i < 2; i++) {
		struct flow_fixture fixture;
		struct exchange *x;

		flow_fixture_open(&fixture, cases[i].repeat);
		flow_fixture_announce(&fixture, "t2", "127.0.7.251:9");
		x = flow_fixture_exchange(&fixture);
		exchange_on_grant(x, "t1", true, 0);
		assert_int_equal(x->attempt_count, 1);
		/* Answer to a repeated ask. */
		exchange_on_grant(x, "t1", true, 0);
		assert_int_equal(x->attempt_count, 1);
		exchange_on_grant(x, "t2", true, 0);
		assert_int_equal(x->attempt_count, cases[i].sends);
		exchange_on_grant(x, "t1", true, 0);
		exchange_on_grant(x, "t3", true, 0);
		assert_int_equal(x->attempt_count, cases[i].sends);
		flow_fixture_close(&fixture, x);
	}
}

static void
rejecting_target_stays_excluded_behind_unreachable_ones(
    void **state ATTR_UNUSED)
{
	/*
	 * Only so many exclusions fit into a request for a target.  Guards
	 * against a second send to a target that has had the request.
	 */
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_NEVER);
	x = flow_fixture_exchange(&fixture);
	x->attempts[x->attempt_count++] = (struct attempt){
	    .exchange = x,
	    .target = str_dup(str_from("t1")),
	    .target_hash = (uint32_t)str_hash(str_from("t1")),
	};
	while (x->excluded_count < PLACEMENT_EXCLUDED_MAX)
		x->excluded[x->excluded_count++] = 1;
	schedule_ask(x, false);
	flow_fixture_run(&fixture, 50);
	assert_int_equal(x->attempt_count, 1);
	flow_fixture_close(&fixture, x);
}

/*
 * Asks the entry for a target of a service in a datagram, like another entry.
 * Returns its answer, to be freed by the caller.
 */
static Fleet__Datagram *
ask_by_datagram(struct flow_fixture *fixture, const char *service)
{
	struct sockaddr_in at;
	int len = sizeof(at);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Ask ask = FLEET__ASK__INIT;
	uint8_t bytes[1500];
	ssize_t n = -1;

	ask.request = 7;
	ask.service = (char *)service;
	ask.objective_left_ms = 1000;
	ask.deadline_left_ms = 2000;
	datagram.body_case = FLEET__DATAGRAM__BODY_ASK;
	datagram.ask = &ask;
	assert_int_equal(uv_udp_getsockname(
			     &fixture->flow->udp, (struct sockaddr *)&at, &len),
	    0);
	n = (ssize_t)fleet__datagram__pack(&datagram, bytes);
	assert_int_equal(sendto(fd, bytes, (size_t)n, 0,
			     (const struct sockaddr *)&at, sizeof(at)),
	    n);
	do {
		(void)uv_run(&fixture->loop, UV_RUN_ONCE);
		n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	} while (n < 0 && errno == EAGAIN);
	(void)close(fd);
	assert_true(n > 0);
	return fleet__datagram__unpack(NULL, (size_t)n, bytes);
}

static void
ask_with_other_part_count_is_granted(void **state ATTR_UNUSED)
{
	/*
	 * With 78 targets, an entry that once had 80 uses two parts, and one
	 * that started later uses one.  Guards against a scheduler that rejects
	 * every request for a part of the other number, because that part has
	 * no targets there.
	 */
	static const struct {
		unsigned parts; /* of the scheduler */
		const char *asked;
		unsigned parts_after; /* of the scheduler, afterwards */
	} cases[] = {
	    {2, "svc", 2}, {1, "svc#1/2", 2},
	    {2, "svc#0/4", 2}, /* too many parts for this few targets */
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct flow_fixture fixture;
		struct exchange *x;
		Fleet__Datagram *answer;

		flow_fixture_open(&fixture, REPEAT_ALLOWED);
		flow_fixture_announce_many(&fixture, 0, 77);
		fleet_adopt_parts(fixture.flow, "svc", cases[i].parts);
		answer = ask_by_datagram(&fixture, cases[i].asked);
		assert_int_equal(
		    answer->body_case, FLEET__DATAGRAM__BODY_GRANT);
		assert_int_equal(answer->grant->parts, cases[i].parts_after);
		fleet__datagram__free_unpacked(answer, NULL);
		x = flow_fixture_exchange(&fixture);
		flow_fixture_close(&fixture, x);
	}
}

static void
larger_part_count_is_adopted_with_enough_targets(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	flow_fixture_announce_many(&fixture, 0, 50);
	assert_int_equal(fleet_adopt_parts(fixture.flow, "svc", 2), 1);
	flow_fixture_announce_many(&fixture, 50, 70);
	assert_int_equal(fleet_adopt_parts(fixture.flow, "svc", 3), 1);
	assert_int_equal(fleet_adopt_parts(fixture.flow, "svc", 2), 2);
	assert_int_equal(fleet_adopt_parts(fixture.flow, "svc", 1), 2);
	assert_int_equal(fleet_service(fixture.flow, "svc#0/2")->pools->len +
		fleet_service(fixture.flow, "svc#1/2")->pools->len,
	    71);
	assert_int_equal(fleet_service(fixture.flow, "svc")->pools->len, 0);
	flow_fixture_close(&fixture, flow_fixture_exchange(&fixture));
}

static void
document_fetch_tries_all_control_instances(void **state ATTR_UNUSED)
{
	/*
	 * The control instance asked first is frozen.  Guards against a fetch
	 * that is never repeated at another one.
	 */
	struct fake_control controls[3] = {{.announces_document = true},
	    {.announces_document = true},
	    {.announces_document = true, .serves_document = true}};
	const char *seeds[3];
	struct flow_fixture fixture;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	for (int i = 0; i < 3; i++) {
		fake_control_open(&fixture.loop, &controls[i]);
		seeds[i] = controls[i].address;
	}
	fixture.flow->settings.seeds = seeds;
	fixture.flow->settings.seed_count = 3;
	while (fixture.flow->document_index != FAKE_DOCUMENT &&
	    controls[0].fetch_count + controls[1].fetch_count < 20)
		(void)uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_int_equal(fixture.flow->document_index, FAKE_DOCUMENT);
	assert_true(controls[2].fetch_count > 0);
	for (int i = 0; i < 3; i++)
		channel_listener_close(controls[i].listener);
	fixture.flow->settings.seed_count = 0;
	flow_fixture_close(&fixture, flow_fixture_exchange(&fixture));
}

static void
remember_channel(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct channel **to = ctx;

	if (frame->body_case == FLEET__FRAME__BODY_HELLO)
		*to = channel;
}

/*
 * Guards against a fetch that each further announcement puts off.
 */
static void
document_is_fetched_while_others_are_announced(void **state ATTR_UNUSED)
{
	enum {
		GAP_MS = 50,
		APPLY_MS = 2000 /* config_apply_ms, the shortest one */
	};
	struct channel *channel = NULL;
	struct fake_control control = {.announces_document = true,
	    .serves_document = true,
	    .message = remember_channel,
	    .ctx = &channel};
	struct flow_fixture fixture;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	flow_fixture_join(&fixture, &control);
	while (fixture.flow->document_index == 0)
		(void)uv_run(&fixture.loop, UV_RUN_ONCE);
	for (unsigned ms = 0;
	     ms < APPLY_MS && fixture.flow->document_index == FAKE_DOCUMENT;
	     ms += GAP_MS) {
		fake_control_send_document(
		    channel, ++control.newest, str_of("", 0));
		flow_fixture_run(&fixture, GAP_MS);
	}
	assert_true(fixture.flow->document_index > FAKE_DOCUMENT);
	flow_fixture_leave(&fixture, &control);
	flow_fixture_close(&fixture, flow_fixture_exchange(&fixture));
}

/*
 * Connects a caller with a small receive buffer.
 */
static int
connect_slow_caller(struct flow_fixture *fixture)
{
	struct sockaddr_in at;
	int len = sizeof(at);
	int small = 4096;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(uv_tcp_getsockname(&fixture->flow->listener,
			     (struct sockaddr *)&at, &len),
	    0);
	assert_int_equal(
	    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small)), 0);
	assert_int_equal(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	while (fixture->flow->callers.length == 0)
		(void)uv_run(&fixture->loop, UV_RUN_ONCE);
	return fd;
}

static void
last_response_is_written_to_slow_caller(void **state ATTR_UNUSED)
{
	/*
	 * At 2.4 Mbit/s this takes longer than the wait for the caller's close.
	 */
	enum {
		ANSWER_BYTES = 900000,
		UNREAD_MS = 2500
	};
	struct flow_fixture fixture;
	struct caller *caller;
	struct exchange *x;
	uv_os_fd_t server;
	int small = 4096;
	int fd;
	uint64_t start_ms;
	size_t got = 0;
	ssize_t n;
	char bytes[65536];

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	fd = connect_slow_caller(&fixture);
	caller = g_queue_peek_head(&fixture.flow->callers);
	assert_int_equal(
	    uv_fileno((const uv_handle_t *)&caller->tcp, &server), 0);
	assert_int_equal(
	    setsockopt(server, SOL_SOCKET, SO_SNDBUF, &small, sizeof(small)),
	    0);
	x = exchange_new(caller);
	for (size_t i = 0; i < ANSWER_BYTES; i++)
		str_buf_append(&x->out, STR_LITERAL("x"));
	x->ended = true;
	x->close_after = true;
	g_queue_push_tail(&caller->exchanges, x);
	caller_flush(caller);
	start_ms = uv_now(&fixture.loop);
	while (uv_now(&fixture.loop) - start_ms < UNREAD_MS)
		(void)uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_int_equal(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
	do {
		n = read(fd, bytes, sizeof(bytes));
		got += n > 0 ? (size_t)n : 0;
		(void)uv_run(&fixture.loop, UV_RUN_NOWAIT);
	} while (n > 0 || (n < 0 && errno == EAGAIN));
	assert_int_equal(got, ANSWER_BYTES);
	(void)close(fd);
	flow_fixture_close(&fixture, NULL);
}

static void
grant_after_pause_or_deadline_is_ignored(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;
	struct flow *flow;
	uint64_t ask;

	flow_fixture_open(&fixture, REPEAT_NEVER);
	flow = fixture.flow;
	x = flow_fixture_exchange(&fixture);
	x->ask_id = ask = ++flow->next_ask;
	x->scheduler_address = g_intern_string("127.0.7.253:9");
	g_hash_table_insert(flow->pending_asks, &x->ask_id, x);
	x->ask_sent_boot_us = clock_boot_us();
	/*
	 * The process was suspended for 5 s, in which the loop's time stood
	 * still.
	 */
	x->ask_sent_boot_us -= 5 * US_PER_S;
	flow->last_turn_boot_us = x->ask_sent_boot_us;
	flow_on_loop_iteration(flow);
	exchange_on_grant(x, "t1", true, 0);
	/*
	 * The ask was repeated to the entry itself as scheduler, and granted.
	 */
	assert_int_not_equal(x->ask_id, ask);
	assert_int_equal(x->attempt_count, 1);
	assert_false(x->attempts[0].remote);
	flow_fixture_close(&fixture, x);

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = flow_fixture_exchange(&fixture);
	x->deadline_us = flow_now_us(fixture.flow);
	exchange_on_grant(x, "t1", true, 0);
	assert_int_equal(x->attempt_count, 0);
	flow_fixture_close(&fixture, x);
}

static void
unknown_services_in_datagrams_use_no_memory(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	guint services, service_sizes;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	services = g_hash_table_size(fixture.flow->services);
	service_sizes = g_hash_table_size(fixture.flow->service_sizes);
	for (int i = 0; i < 50; i++) {
		char name[32];
		Fleet__Datagram *answer;

		snprintf(name, sizeof(name), "nobody%d#%d/64", i, i);
		answer = ask_by_datagram(&fixture, name);
		assert_int_equal(
		    answer->body_case, FLEET__DATAGRAM__BODY_REJECT);
		assert_int_equal(answer->reject->reason, REJECT_NO_TARGET);
		fleet__datagram__free_unpacked(answer, NULL);
	}
	assert_int_equal(g_hash_table_size(fixture.flow->services), services);
	assert_int_equal(
	    g_hash_table_size(fixture.flow->service_sizes), service_sizes);
	assert_int_equal(g_hash_table_size(fixture.flow->remote_calls), 0);
	flow_fixture_close(&fixture, NULL);
}

static void
sync_all(
    void *ctx ATTR_UNUSED, struct channel *channel, const Fleet__Frame *frame)
{
	if (frame->body_case == FLEET__FRAME__BODY_HELLO)
		fake_control_send_synced(channel);
}

static void
request_is_parked_during_startup(void **state ATTR_UNUSED)
{
	struct fake_control control = {
	    .announces_document = true, .serves_document = true};
	struct flow_fixture fixture;
	struct exchange *x;

	/* A request with a short timeout is rejected with a Retry-After. */
	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = exchange_new(&fixture.caller);
	x->caller = NULL;
	str_buf_append_c(&x->target, "/x");
	assert_true(head_append_name(&x->head, str_from("Deadline")));
	assert_true(head_append_value(&x->head, str_from("800")));
	exchange_begin(x);
	flow_fixture_run(&fixture, 90);
	assert_false(x->ended);
	flow_fixture_run(&fixture, 110);
	assert_true(x->ended);
	assert_non_null(strstr(x->out.data, "HTTP/1.1 503"));
	/* At least one second after the start, rather than 300 ms from now. */
	assert_in_range(1000 *
		strtod(strstr(x->out.data, "Retry-After: ") +
			strlen("Retry-After: "),
		    NULL),
	    600, 900);
	flow_fixture_close(&fixture, x);

	/*
	 * A request with a long timeout is started when the document arrives.
	 */
	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = exchange_new(&fixture.caller);
	x->caller = NULL;
	str_buf_append_c(&x->target, "/x");
	exchange_begin(x);
	assert_false(x->ended);
	control.message = sync_all;
	flow_fixture_join(&fixture, &control);
	flow_fixture_run(&fixture, 700);
	assert_true(fixture.flow->ready);
	assert_true(x->ended);
	/* The document of the test has no routes. */
	assert_non_null(strstr(x->out.data, "HTTP/1.1 404"));
	assert_int_equal(fixture.flow->parked.length, 0);
	flow_fixture_leave(&fixture, &control);
	flow_fixture_close(&fixture, x);
}

static void
add_field(struct exchange *x, const char *name, const char *value)
{
	assert_true(head_append_name(&x->head, str_from(name)));
	assert_true(head_append_value(&x->head, str_from(value)));
}

static void
late_request_of_a_stop_is_rejected_before_it_runs(void **state ATTR_UNUSED)
{
	/* The stop ends 5.5 s after its start, half a second early. */
	static const struct {
		unsigned stopping_for_ms;
		const char *timeout_ms;
		bool accepted;
	} cases[] = {
	    {1000, "5000", true}, /* callers are still directed here */
	    {3100, "2000", true}, /* over before the end in any case */
	    {3100, "3000", false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct flow_fixture fixture;
		struct exchange *x;

		flow_fixture_open(&fixture, REPEAT_NEVER);
		fixture.flow->settings.grace_ms = 6000;
		fixture.flow->routes = routes_get(fixture.routes);
		fixture.flow->ready = true;
		fixture.flow->stopping = true;
		fixture.flow->stopping_ms =
		    uv_now(&fixture.loop) - cases[i].stopping_for_ms;
		x = exchange_new(&fixture.caller);
		x->caller = NULL;
		x->method = HTTP_POST;
		str_buf_append_c(&x->target, "/x");
		add_field(x, "Host", "h");
		add_field(x, "Deadline", cases[i].timeout_ms);
		exchange_begin(x);
		assert_int_equal(x->ended, !cases[i].accepted);
		assert_int_equal(x->attempt_count, cases[i].accepted);
		if (!cases[i].accepted)
			assert_non_null(strstr(x->out.data, "HTTP/1.1 503"));
		flow_fixture_close(&fixture, x);
	}
}

/*
 * A slash in a name was read as the mark of a part, and its repeats, divided by
 * no parts, were not limited.
 */
static void
service_with_slash_in_its_name_has_limited_repeats(void **state ATTR_UNUSED)
{
	const struct roster_target target = {
	    .id = (char *)"t9",
	    .service = (char *)"shop/cart",
	    .address = (char *)"127.0.7.251:9",
	    .failure_domain = (char *)"a",
	    .started_ms = 1,
	    .slots = 1,
	};
	struct flow_fixture fixture;
	const struct service *service;
	double slack;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	slack = fixture.flow->settings.repeats.slack;
	assert_true(roster_announce(fixture.flow->roster, &target));
	fleet_update_owners(fixture.flow);
	service = g_hash_table_lookup(fixture.flow->services, "shop/cart");
	assert_non_null(service);
	assert_true(service->placement->budget.limits.slack <= slack);
	flow_fixture_close(&fixture, NULL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(second_grant_is_used_only_if_idempotent),
	    cmocka_unit_test(ask_with_other_part_count_is_granted),
	    cmocka_unit_test(document_fetch_tries_all_control_instances),
	    cmocka_unit_test(document_is_fetched_while_others_are_announced),
	    cmocka_unit_test(larger_part_count_is_adopted_with_enough_targets),
	    cmocka_unit_test(last_response_is_written_to_slow_caller),
	    cmocka_unit_test(grant_after_pause_or_deadline_is_ignored),
	    cmocka_unit_test(unknown_services_in_datagrams_use_no_memory),
	    cmocka_unit_test(request_is_parked_during_startup),
	    cmocka_unit_test(
		rejecting_target_stays_excluded_behind_unreachable_ones),
	    cmocka_unit_test(late_request_of_a_stop_is_rejected_before_it_runs),
	    cmocka_unit_test(
		service_with_slash_in_its_name_has_limited_repeats),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
