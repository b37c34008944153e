/*
 * Targets that say in their answers that they leave: what other entries and
 * control are told, and what reports of other entries may do.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/memory.h"
#include "support_flow.h"

static void
add_field(struct head *head, const char *name, const char *value)
{
	assert_true(head_append_name(head, str_from(name)));
	assert_true(head_append_value(head, str_from(value)));
}

/*
 * Sends a request to "t1" and returns its connection.
 */
static struct upstream *
send_to_first(struct exchange *x)
{
	exchange_on_grant(x, "t1", true, 0);
	assert_int_equal(x->attempt_count, 1);
	assert_non_null(x->attempts[0].upstream);
	return x->attempts[0].upstream;
}

/*
 * Makes an entry hear that "t1" leaves, in an answer with the given fields.
 */
static void
answer(struct upstream *up, unsigned status, const char *leaving,
    const char *identity)
{
	up->parser.status_code = status;
	add_field(&up->head, "Leaving", leaving);
	if (identity != NULL)
		add_field(&up->head, "Target", identity);
	leaving_on_head(up);
}

static bool
is_known(const struct flow_fixture *fixture, const char *id)
{
	return roster_find(fixture->flow->roster, id) != NULL;
}

static void
answer_counts_for_its_target_alone(void **state ATTR_UNUSED)
{
	static const struct {
		unsigned status;
		const char *leaving;
		const char *identity;
		bool counts;
	} cases[] = {
	    {200, "1", NULL, true},
	    {200, " 1 ", NULL, true},
	    {503, "1", "t1", true},
	    {500, "1", NULL, true},
	    {200, "0", NULL, false},
	    {200, "", NULL, false},
	    {200, "11", NULL, false},
	    {200, "true", NULL, false},
	    {200, "1", "t2", false},
	    {421, "1", NULL, false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct flow_fixture fixture;
		struct exchange *x;

		flow_fixture_open(&fixture, REPEAT_ALLOWED);
		flow_fixture_announce(&fixture, "t2", "127.0.7.251:9");
		x = flow_fixture_exchange(&fixture);
		answer(send_to_first(x), cases[i].status, cases[i].leaving,
		    cases[i].identity);
		assert_int_equal(is_known(&fixture, "t1"), !cases[i].counts);
		assert_true(is_known(&fixture, "t2"));
		/* The request that runs there goes on. */
		assert_non_null(x->attempts[0].upstream);
		flow_fixture_close(&fixture, x);
	}
}

/*
 * Announces "t1" again.
 */
static bool
announce_again(
    struct flow_fixture *fixture, uint64_t started_ms, uint32_t slots)
{
	const struct roster_target target = {
	    .id = (char *)"t1",
	    .service = (char *)"svc",
	    .address = fixture->target_address,
	    .failure_domain = (char *)"a",
	    .started_ms = started_ms,
	    .sequence = 9,
	    .slots = slots,
	};

	return roster_announce(fixture->flow->roster, &target);
}

static void
answer_on_older_connection_counts_for_its_incarnation(void **state ATTR_UNUSED)
{
	/*
	 * A change of the announcement replaces the target's connections while
	 * its requests run.
	 */
	for (uint64_t start = 1; start <= 2; start++) {
		struct flow_fixture fixture;
		struct upstream *up;
		struct exchange *x;

		flow_fixture_open(&fixture, REPEAT_ALLOWED);
		x = flow_fixture_exchange(&fixture);
		up = send_to_first(x);
		assert_true(announce_again(&fixture, start, 8));
		assert_null(up->pool);
		answer(up, 200, "1", NULL);
		assert_int_equal(is_known(&fixture, "t1"), start == 2);
		flow_fixture_close(&fixture, x);
	}
}

static void
same_start_stays_away_and_new_one_is_used(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = flow_fixture_exchange(&fixture);
	answer(send_to_first(x), 200, "1", NULL);
	assert_false(announce_again(&fixture, 1, 4));
	assert_false(announce_again(&fixture, 1, 8));
	assert_false(is_known(&fixture, "t1"));
	assert_true(announce_again(&fixture, 2, 4));
	assert_true(is_known(&fixture, "t1"));
	flow_fixture_close(&fixture, x);
}

static void
granted_target_that_leaves_gets_no_request(void **state ATTR_UNUSED)
{
	/* A new scheduler does not know yet and grants it again. */
	struct flow_fixture fixture;
	struct exchange *first, *x;

	flow_fixture_open(&fixture, REPEAT_NEVER);
	first = flow_fixture_exchange(&fixture);
	answer(send_to_first(first), 200, "1", NULL);
	flow_fixture_announce(&fixture, "t2", fixture.target_address);
	x = flow_fixture_exchange(&fixture);
	exchange_on_grant(x, "t1", true, 0);
	/* Asked for again, and granted by this entry itself. */
	assert_int_equal(x->attempt_count, 1);
	assert_string_equal(x->attempts[0].target, "t2");
	assert_false(x->possibly_executed);
	exchange_free(first);
	flow_fixture_close(&fixture, x);
}

static void
report_counts_for_a_known_incarnation_alone(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	uint64_t started_ms;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	leaving_on_report(fixture.flow, "t9", 1);
	leaving_on_report(fixture.flow, "t1", 0);
	leaving_on_report(fixture.flow, "t1", UINT64_MAX);
	assert_true(is_known(&fixture, "t1"));
	assert_false(leaving_is_known(fixture.flow, "t9", &started_ms));
	assert_false(leaving_is_known(fixture.flow, "t1", &started_ms));
	leaving_on_report(fixture.flow, "t1", 1);
	assert_false(is_known(&fixture, "t1"));
	assert_true(leaving_is_known(fixture.flow, "t1", &started_ms));
	assert_int_equal(started_ms, 1);
	flow_fixture_close(&fixture, NULL);
}

/*
 * Adds another entry, the scheduler of all services, whose datagrams arrive at
 * a socket, which is returned.
 */
static int
add_scheduler(struct flow_fixture *fixture, struct peer_entry **peer_entry)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	char address[ADDRESS_BYTES];

	assert_true(fd >= 0);
	assert_int_equal(inet_pton(AF_INET, "127.0.7.253", &at.sin_addr), 1);
	assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &len), 0);
	snprintf(
	    address, sizeof(address), "127.0.7.253:%u", ntohs(at.sin_port));
	*peer_entry = mem_calloc(1, sizeof(**peer_entry));
	**peer_entry = (struct peer_entry){
	    .address = str_dup(str_from(address)),
	    .instance = str_dup(str_from("other")),
	    .address_hash = str_hash(str_from(address)),
	    .processor_millis = 1000,
	    .sources = 1,
	    .ready = true,
	    .datagram = at,
	};
	g_hash_table_insert(
	    fixture->flow->peer_entries, (*peer_entry)->address, *peer_entry);
	fleet_invalidate_schedulers(fixture->flow);
	return fd;
}

/*
 * Counts the reports of the departure of "t1" that have arrived at a socket.
 */
static unsigned
count_departures(int fd)
{
	uint8_t bytes[2048];
	unsigned count = 0;
	ssize_t n;

	while ((n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0) {
		Fleet__Datagram *d =
		    fleet__datagram__unpack(NULL, (size_t)n, bytes);

		assert_non_null(d);
		assert_null(fleet_datagram_fault(d));
		if (d->body_case == FLEET__DATAGRAM__BODY_DONE &&
		    d->done->departed) {
			assert_string_equal(d->done->target, "t1");
			assert_int_equal(d->done->started_ms, 1);
			/* It must count for nothing else. */
			assert_int_equal(d->done->outcome, OUTCOME_ABANDONED);
			assert_int_equal(d->done->request, 0);
			count++;
		}
		fleet__datagram__free_unpacked(d, NULL);
	}
	return count;
}

/*
 * Guards against a scheduler that counts as lost for a moment, while another
 * one places the request that hears of the departure, and that grants the
 * target again afterwards.
 */
static void
schedulers_hear_of_a_departure_at_once(void **state ATTR_UNUSED)
{
	static const struct {
		bool asked;
		uint64_t asked_ago_ms;
		bool suspect;
		unsigned told;
	} cases[] = {
	    {.told = 1},
	    {.suspect = true, .told = 0},
	    {.asked = true, .suspect = true, .told = 1},
	    {.asked = true, .asked_ago_ms = 9000, .suspect = true, .told = 1},
	    {.asked = true, .asked_ago_ms = 11000, .suspect = true, .told = 0},
	    {.asked = true, .told = 1},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct flow_fixture fixture;
		struct peer_entry *scheduler;
		struct exchange *x;
		int fd;

		flow_fixture_open(&fixture, REPEAT_ALLOWED);
		fd = add_scheduler(&fixture, &scheduler);
		if (cases[i].asked) {
			struct exchange *first =
			    flow_fixture_exchange(&fixture);

			schedule_ask(first, false);
			assert_int_not_equal(first->ask_id, 0);
			exchange_free(first);
		}
		fixture.loop.time += cases[i].asked_ago_ms;
		if (cases[i].suspect)
			fleet_mark_suspect(fixture.flow, scheduler);
		x = flow_fixture_exchange(&fixture);
		exchange_on_grant(x, "t1", false, 0);
		assert_non_null(x->attempts[0].upstream);
		assert_int_equal(count_departures(fd), 0);
		answer(x->attempts[0].upstream, 200, "1", NULL);
		assert_int_equal(count_departures(fd), cases[i].told);
		/* Not again for the same incarnation. */
		leaving_on_head(x->attempts[0].upstream);
		assert_int_equal(count_departures(fd), 0);
		flow_fixture_close(&fixture, x);
		assert_int_equal(close(fd), 0);
	}
}

struct asked {
	unsigned count;
	unsigned answer_from; /* number of the ask that is answered */
};

/*
 * A control instance that records a departure when it is asked often enough.
 */
static void
on_frame(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct asked *asked = ctx;
	Fleet__Frame out = FLEET__FRAME__INIT;
	Fleet__Departure departure = FLEET__DEPARTURE__INIT;

	if (frame->body_case != FLEET__FRAME__BODY_DEPARTURE)
		return;
	assert_string_equal(frame->departure->id, "t1");
	assert_int_equal(frame->departure->started_ms, 1);
	if (++asked->count < asked->answer_from)
		return;
	departure.id = (char *)"t1";
	departure.started_ms = 1;
	out.body_case = FLEET__FRAME__BODY_DEPARTURE;
	out.departure = &departure;
	channel_send(channel, &out);
}

static void
control_is_asked_until_it_has_recorded_the_departure(void **state ATTR_UNUSED)
{
	struct asked asked = {.answer_from = 2};
	struct fake_control control = {.message = on_frame, .ctx = &asked};
	struct flow_fixture fixture;
	struct exchange *x;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	x = flow_fixture_exchange(&fixture);
	/* Control cannot be reached at first. */
	answer(send_to_first(x), 200, "1", NULL);
	flow_fixture_join(&fixture, &control);
	while (asked.count < 2)
		(void)uv_run(&fixture.loop, UV_RUN_ONCE);
	/* It would be asked again after two and four seconds. */
	flow_fixture_run(&fixture, 2500);
	assert_int_equal(asked.count, 2);
	flow_fixture_leave(&fixture, &control);
	flow_fixture_close(&fixture, x);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(answer_counts_for_its_target_alone),
	    cmocka_unit_test(
		answer_on_older_connection_counts_for_its_incarnation),
	    cmocka_unit_test(same_start_stays_away_and_new_one_is_used),
	    cmocka_unit_test(granted_target_that_leaves_gets_no_request),
	    cmocka_unit_test(report_counts_for_a_known_incarnation_alone),
	    cmocka_unit_test(schedulers_hear_of_a_departure_at_once),
	    cmocka_unit_test(
		control_is_asked_until_it_has_recorded_the_departure),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
