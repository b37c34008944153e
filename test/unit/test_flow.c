/*
 * An exchange of the event-driven entry, without a network beyond loopback:
 * grants that come twice, and what may be sent again.
 */
#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "flow/flow_internal.h"

struct bed {
	uv_loop_t loop;
	uv_tcp_t listener; /* takes connections and never answers */
	char target_address[ADDRESS_BYTES];
	struct flow *flow;
	struct caller caller;
	struct routes *routes;
};

static bool
read_load(struct str value ATTR_UNUSED, struct target_load *load ATTR_UNUSED)
{
	return false;
}

static enum status
read_document(struct str text ATTR_UNUSED, struct routes **routes)
{
	*routes = routes_new(5);
	return STATUS_OK;
}

static void
ignore_connection(uv_stream_t *listener ATTR_UNUSED, int status ATTR_UNUSED)
{
}

static void
listen_anywhere(struct bed *bed)
{
	struct sockaddr_in at;
	int len = sizeof(at);

	assert_int_equal(uv_ip4_addr("127.0.7.251", 0, &at), 0);
	uv_tcp_init(&bed->loop, &bed->listener);
	assert_int_equal(
	    uv_tcp_bind(&bed->listener, (struct sockaddr *)&at, 0), 0);
	assert_int_equal(
	    uv_listen((uv_stream_t *)&bed->listener, 16, ignore_connection), 0);
	assert_int_equal(
	    uv_tcp_getsockname(&bed->listener, (struct sockaddr *)&at, &len),
	    0);
	snprintf(bed->target_address, sizeof(bed->target_address),
	    "127.0.7.251:%u", ntohs(at.sin_port));
}

static void
announce(struct bed *bed, const char *id, const char *address)
{
	const struct roster_target target = {
	    .id = (char *)id,
	    .service = (char *)"svc",
	    .address = (char *)address,
	    .failure_domain = (char *)"a",
	    .started_ms = 1,
	    .slots = 4,
	};

	assert_true(roster_announce(bed->flow->roster, &target));
}

static void
open_bed(struct bed *bed, enum repeat_rule repeat)
{
	static const struct flow_dialect dialect = {
	    .attempt_header = "Attempt",
	    .deadline_header = "Deadline",
	    .expect_header = "Expect-Target",
	    .identity_header = "Target",
	    .proof_header = "Proof",
	    .not_run_header = "Not-Run",
	    .load_header = "Load",
	    .read_load = read_load,
	    .read_document = read_document,
	};
	struct flow_settings settings = {
	    .instance = "test",
	    .failure_domain = "a",
	    .caller_address = "127.0.7.251:0",
	    .datagram_address = "127.0.7.251:0",
	    .memory_bytes = 64 << 20,
	    .descriptors = 1024,
	    .repeats = {.window_us = 10 * US_PER_S, .ratio = 0.2, .slack = 9},
	    .probes_per_second = 10,
	};
	const struct route from = {
	    .name = (char *)"r",
	    .host = (char *)"h",
	    .prefix = STR_LITERAL("/"),
	    .repeat = repeat,
	    .max_attempts = 2,
	    .timeout_ms = 5000,
	    .objective_ms = 5000,
	};
	struct route *route;

	memset(bed, 0, sizeof(*bed));
	uv_loop_init(&bed->loop);
	listen_anywhere(bed);
	assert_int_equal(
	    flow_open(&bed->loop, &settings, &dialect, &bed->flow), STATUS_OK);
	bed->routes = routes_new(1);
	assert_int_equal(
	    routes_add_service(bed->routes, "svc", "/health", 100), STATUS_OK);
	assert_int_equal(routes_add(bed->routes, &from, &route), STATUS_OK);
	assert_int_equal(
	    routes_add_part(bed->routes, route, "svc", 1), STATUS_OK);
	announce(bed, "t1", bed->target_address);
	bed->caller.flow = bed->flow;
}

/*
 * Returns a whole request that waits for its first grant.
 */
static struct exchange *
new_exchange(struct bed *bed)
{
	struct exchange *x = exchange_new(&bed->caller);

	x->caller = NULL;
	x->routes = routes_get(bed->routes);
	x->route = routes_find(bed->routes, str_from("h"), str_from("/x"));
	x->service = fleet_service(bed->flow, "svc");
	x->deadline_us = x->begun_us + 5 * US_PER_S;
	x->objective_us = x->deadline_us;
	str_buf_append_c(&x->target, "/x");
	return x;
}

static void
close_bed(struct bed *bed, struct exchange *x)
{
	exchange_free(x);
	routes_put(bed->routes);
	uv_close((uv_handle_t *)&bed->listener, NULL);
	flow_close(bed->flow);
	(void)uv_run(&bed->loop, UV_RUN_DEFAULT);
	flow_free(bed->flow);
	assert_int_equal(uv_loop_close(&bed->loop), 0);
}

static void
a_second_grant_counts_only_for_what_may_be_repeated(void **state ATTR_UNUSED)
{
	static const struct {
		enum repeat_rule repeat;
		unsigned sends;
	} cases[] = {{REPEAT_NEVER, 1}, {REPEAT_ALLOWED, 2}};

	for (size_t i = 0; i < 2; i++) {
		struct bed bed;
		struct exchange *x;

		open_bed(&bed, cases[i].repeat);
		announce(&bed, "t2", "127.0.7.251:9");
		x = new_exchange(&bed);
		exchange_on_grant(x, "t1", true, 0);
		assert_int_equal(x->attempt_count, 1);
		/* The answer to a question that was asked again. */
		exchange_on_grant(x, "t1", true, 0);
		assert_int_equal(x->attempt_count, 1);
		exchange_on_grant(x, "t2", true, 0);
		assert_int_equal(x->attempt_count, cases[i].sends);
		exchange_on_grant(x, "t1", true, 0);
		exchange_on_grant(x, "t3", true, 0);
		assert_int_equal(x->attempt_count, cases[i].sends);
		close_bed(&bed, x);
	}
}

/*
 * Asks the entry for a target of a service by a datagram, as another entry
 * does; returns what it answers, to be freed.
 */
static Fleet__Datagram *
ask_by_datagram(struct bed *bed, const char *service)
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
	assert_int_equal(
	    uv_udp_getsockname(&bed->flow->udp, (struct sockaddr *)&at, &len),
	    0);
	n = (ssize_t)fleet__datagram__pack(&datagram, bytes);
	assert_int_equal(sendto(fd, bytes, (size_t)n, 0,
			     (const struct sockaddr *)&at, sizeof(at)),
	    n);
	do {
		(void)uv_run(&bed->loop, UV_RUN_ONCE);
		n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	} while (n < 0 && errno == EAGAIN);
	(void)close(fd);
	assert_true(n > 0);
	return fleet__datagram__unpack(NULL, (size_t)n, bytes);
}

static void
announce_many(struct bed *bed, unsigned from, unsigned to)
{
	for (unsigned i = from; i < to; i++) {
		char id[32], address[ADDRESS_BYTES];

		snprintf(id, sizeof(id), "many-%u", i);
		snprintf(address, sizeof(address), "127.0.7.251:%u", 20 + i);
		announce(bed, id, address);
	}
}

static void
entries_that_differ_on_the_parts_of_a_service_are_served(
    void **state ATTR_UNUSED)
{
	/*
	 * 78 targets: who has seen 80 has split them in two, who has started
	 * since has not.  Asked by the others' names, a scheduler rejected
	 * all, since the part had no target here.
	 */
	static const struct {
		unsigned parts; /* of the scheduler */
		const char *asked;
		unsigned then; /* its parts afterwards */
	} cases[] = {
	    {2, "svc", 2}, {1, "svc#1/2", 2},
	    {2, "svc#0/4", 2}, /* too many for so few targets */
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bed bed;
		struct exchange *x;
		Fleet__Datagram *answer;

		open_bed(&bed, REPEAT_ALLOWED);
		announce_many(&bed, 0, 77);
		fleet_adopt_parts(bed.flow, "svc", cases[i].parts);
		answer = ask_by_datagram(&bed, cases[i].asked);
		assert_int_equal(
		    answer->body_case, FLEET__DATAGRAM__BODY_GRANT);
		assert_int_equal(answer->grant->parts, cases[i].then);
		fleet__datagram__free_unpacked(answer, NULL);
		x = new_exchange(&bed);
		close_bed(&bed, x);
	}
}

static void
more_parts_are_adopted_where_the_targets_are_many(void **state ATTR_UNUSED)
{
	struct bed bed;

	open_bed(&bed, REPEAT_ALLOWED);
	announce_many(&bed, 0, 50);
	assert_int_equal(fleet_adopt_parts(bed.flow, "svc", 2), 1);
	announce_many(&bed, 50, 70);
	assert_int_equal(fleet_adopt_parts(bed.flow, "svc", 3), 1);
	assert_int_equal(fleet_adopt_parts(bed.flow, "svc", 2), 2);
	assert_int_equal(fleet_adopt_parts(bed.flow, "svc", 1), 2);
	assert_int_equal(fleet_service(bed.flow, "svc#0/2")->targets +
		fleet_service(bed.flow, "svc#1/2")->targets,
	    71);
	assert_int_equal(fleet_service(bed.flow, "svc")->targets, 0);
	close_bed(&bed, new_exchange(&bed));
}

/* A control instance that names a document and hands it out, or does not. */
struct fake_control {
	struct channel_listener *listener;
	char address[ADDRESS_BYTES];
	bool answers;
	unsigned fetches;
};

static void
fake_send(struct channel *channel, struct str text)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Document document = FLEET__DOCUMENT__INIT;

	document.index = 5;
	document.version = 5;
	document.text.data = (uint8_t *)text.data;
	document.text.len = text.len;
	frame.body_case = FLEET__FRAME__BODY_DOCUMENT;
	frame.document = &document;
	channel_send(channel, &frame);
}

static void
fake_message(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct fake_control *fake = ctx;

	if (frame->body_case == FLEET__FRAME__BODY_HELLO)
		fake_send(channel, str_of("", 0));
	if (frame->body_case != FLEET__FRAME__BODY_FETCH)
		return;
	fake->fetches++;
	if (fake->answers)
		fake_send(channel, STR_LITERAL("text"));
}

static void
fake_open(struct bed *bed, struct fake_control *fake)
{
	const struct channel_callbacks callbacks = {
	    .ctx = fake, .message = fake_message};

	for (unsigned port = 32100; fake->listener == NULL && port < 33000;
	     port++) {
		snprintf(fake->address, sizeof(fake->address), "127.0.7.252:%u",
		    port);
		fake->listener =
		    channel_listen(&bed->loop, fake->address, &callbacks);
	}
	assert_non_null(fake->listener);
}

static void
a_document_is_asked_for_until_one_answers(void **state ATTR_UNUSED)
{
	/* The instance that was asked first is frozen: nobody was asked after. */
	struct fake_control fakes[3] = {
	    {.answers = false}, {.answers = false}, {.answers = true}};
	const char *seeds[3];
	struct bed bed;

	open_bed(&bed, REPEAT_ALLOWED);
	for (int i = 0; i < 3; i++) {
		fake_open(&bed, &fakes[i]);
		seeds[i] = fakes[i].address;
	}
	bed.flow->settings.seeds = seeds;
	bed.flow->settings.seed_count = 3;
	while (bed.flow->document_index != 5 &&
	    fakes[0].fetches + fakes[1].fetches < 20)
		(void)uv_run(&bed.loop, UV_RUN_ONCE);
	assert_int_equal(bed.flow->document_index, 5);
	assert_true(fakes[2].fetches > 0);
	for (int i = 0; i < 3; i++)
		channel_listener_close(fakes[i].listener);
	bed.flow->settings.seed_count = 0;
	close_bed(&bed, new_exchange(&bed));
}

/*
 * Connects a caller that reads little at a time.
 */
static int
connect_slow_caller(struct bed *bed)
{
	struct sockaddr_in at;
	int len = sizeof(at);
	int small = 4096;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(uv_tcp_getsockname(&bed->flow->listener,
			     (struct sockaddr *)&at, &len),
	    0);
	assert_int_equal(
	    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small)), 0);
	assert_int_equal(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	while (bed->flow->callers.length == 0)
		(void)uv_run(&bed->loop, UV_RUN_ONCE);
	return fd;
}

static void
a_last_answer_is_written_however_long_it_takes(void **state ATTR_UNUSED)
{
	/* A link of 2.4 Mbit/s: longer than the wait for the caller's close. */
	enum {
		ANSWER_BYTES = 900000,
		UNREAD_MS = 2500
	};
	struct bed bed;
	struct caller *caller;
	struct exchange *x;
	uv_os_fd_t server;
	int small = 4096;
	int fd;
	uint64_t began;
	size_t got = 0;
	ssize_t n;
	char bytes[65536];

	open_bed(&bed, REPEAT_ALLOWED);
	fd = connect_slow_caller(&bed);
	caller = g_queue_peek_head(&bed.flow->callers);
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
	began = uv_now(&bed.loop);
	while (uv_now(&bed.loop) - began < UNREAD_MS)
		(void)uv_run(&bed.loop, UV_RUN_ONCE);
	assert_int_equal(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
	do {
		n = read(fd, bytes, sizeof(bytes));
		got += n > 0 ? (size_t)n : 0;
		(void)uv_run(&bed.loop, UV_RUN_NOWAIT);
	} while (n > 0 || (n < 0 && errno == EAGAIN));
	assert_int_equal(got, ANSWER_BYTES);
	(void)close(fd);
	routes_put(bed.routes);
	uv_close((uv_handle_t *)&bed.listener, NULL);
	flow_close(bed.flow);
	(void)uv_run(&bed.loop, UV_RUN_DEFAULT);
	flow_free(bed.flow);
	assert_int_equal(uv_loop_close(&bed.loop), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		a_second_grant_counts_only_for_what_may_be_repeated),
	    cmocka_unit_test(
		entries_that_differ_on_the_parts_of_a_service_are_served),
	    cmocka_unit_test(a_document_is_asked_for_until_one_answers),
	    cmocka_unit_test(more_parts_are_adopted_where_the_targets_are_many),
	    cmocka_unit_test(a_last_answer_is_written_however_long_it_takes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
