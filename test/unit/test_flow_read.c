/*
 * Requests of callers cut by the reads of the event-driven entry, behind other
 * requests of their connection: where one ends and the next begins, and what is
 * accepted, doesn't depend on the cut.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "support_flow_cut.h"

enum {
	TRIES_MAX = 10,
	HEADER_MAX_BYTES = 1024,
	SHORT_MS = 300,
	HOLD_UP_MS = 100
};

#define FIELDS(id) \
	" /x?a=1 HTTP/1.1\r\nHost: h\r\nAttempt: " id "\r\nDeadline: 3000\r\n"
#define LENGTH_5 "Content-Length: 5\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

struct sent {
	const char *text;
	const char *seen; /* by the target; NULL: it is malformed */
};

/* What comes first on the connection. */
static const struct sent first[] = {
    {"GET" FIELDS("one") "\r\n", "GET /x?a=1 "},
    {"POST" FIELDS("one") LENGTH_5 "hello", "POST /x?a=1 hello"},
    {"POST" FIELDS("one") CHUNKED "5\r\nhello\r\n0\r\n\r\n",
	"POST /x?a=1 hello"},
    {"POST" FIELDS("one") CHUNKED "5;a=b\r\nhello\r\n0\r\nNote: 1\r\n\r\n",
	"POST /x?a=1 hello"},
};

static const struct sent proper[] = {
    {"GET" FIELDS("three") "\r\n", "GET /x?a=1 "},
    {"\r\nGET" FIELDS("three") "\r\n", "GET /x?a=1 "},
    {"DELETE" FIELDS("three") "Note:\r\n\r\n", "DELETE /x?a=1 "},
    {"POST" FIELDS("three") LENGTH_5 "\r\n\r\nx", "POST /x?a=1 \r\n\r\nx"},
    {"POST" FIELDS("three") "Content-Length: 0\r\n\r\n", "POST /x?a=1 "},
    {"PUT" FIELDS("three") "Expect: 100-continue\r\n" LENGTH_5 "hello",
	"PUT /x?a=1 hello"},
    {"POST" FIELDS("three") CHUNKED "0\r\n\r\n", "POST /x?a=1 "},
    {"POST" FIELDS("three") CHUNKED "02;a=\"b\";c\r\n\r\n\r\nA \r\nGET / HTTP"
				    "\r\n000 ;d\r\nNote: 1\r\nB: 2\r\n\r\n",
	"POST /x?a=1 \r\nGET / HTTP"},
};

static const struct sent malformed[] = {
    {"GET /x HTTP/1.1\nHost: h\r\nAttempt: three\r\n\r\n", NULL},
    {"GET" FIELDS("three") "Note: 1\n\r\n", NULL},
    {"GET" FIELDS("three") "Note: 1\r\n 2\r\n\r\n", NULL},
    {"GET" FIELDS("three") "\n", NULL},
    {"POST" FIELDS("three") CHUNKED "5\nhello\r\n0\r\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "5;a\nhello\r\n0\r\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "5;a\rb\r\nhello\r\n0\r\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "5 6\r\nhello\r\n0\r\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "5\rxhello\r\n0\r\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "5\r\nhello\n0\r\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "5\r\nhelloxx0\r\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "5\r\nhello\r\n\r\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "5\r\nhello\r\n;a\r\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "10000000000000000\r\nhello", NULL},
    {"POST" FIELDS("three") CHUNKED "0\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "0\r\n\n", NULL},
    {"POST" FIELDS("three") CHUNKED "0\r\nNote: 1\n\r\n", NULL},
    {"POST" FIELDS("three") CHUNKED "0\r\nNote: 1\r\n 2\r\n\r\n", NULL},
};

/* Sends two requests, cut at a byte, or each byte alone if cut is 0. */
static void
send_cut(struct bed *bed, struct str text, size_t cut)
{
	size_t at = 0;

	while (at < text.len && !bed->caller_closed) {
		size_t n = cut == 0 ? 1 : at == 0 ? cut : text.len - at;

		bed_send(bed->caller, str_of(text.data + at, n));
		at += n;
		for (int i = 0; i < 2 && at < text.len; i++)
			bed_step(bed);
	}
}

static void
check_answer(const struct bed *bed, unsigned i, const struct sent *sent,
    const char *attempt, const char *body, size_t cut)
{
	const struct answer *answer = &bed->answers[i];
	unsigned status = sent->seen != NULL ? 200 : 400;
	const char *seen = bed->seen[i * 2];

	if (answer->complete && answer->status == status &&
	    (sent->seen == NULL ? bed->received[i * 2] == 0
				: strcmp(answer->attempt, attempt) == 0 &&
			str_equal_c(str_buf_view(&answer->body), body) &&
			bed->received[i * 2] == 1 &&
			strcmp(seen, sent->seen) == 0))
		return;
	fail_msg("\"%s\", cut after %zu bytes: status %u, seen \"%s\"",
	    sent->text, cut, answer->status, seen);
}

/*
 * The entry refuses the second request and closes the connection, which must
 * not be used for the next case.
 */
static void
expect_close(struct bed *bed, unsigned status)
{
	assert_int_equal(bed->answers[1].status, status);
	bed_run(bed, 3);
	assert_true(bed->caller_closed);
}

/* The same, behind a request that is answered. */
static void
expect_refusal(struct bed *bed, unsigned status)
{
	bed_run(bed, 2);
	assert_int_equal(bed->answers[0].status, 200);
	expect_close(bed, status);
}

static void
run_case(struct bed *bed, const struct sent *one, const struct sent *other,
    struct str text, size_t cut)
{
	unsigned tries = 0;
	bool again;

	do {
		assert_true(tries++ < TRIES_MAX);
		bed_start_case(bed, false);
		bed->methods[0] = bed->methods[1] = "GET";
		memset(bed->seen, 0, sizeof(bed->seen));
		send_cut(bed, text, cut);
		bed_run(bed, 2);
		again = bed->received[0] == 0 && bed->answers[0].status == 503;
		if (again && other->seen == NULL)
			expect_close(bed, 400);
	} while (again);
	check_answer(bed, 0, one, "one", "first", cut);
	check_answer(bed, 1, other, "three", "third", cut);
	assert_false(bed->malformed);
	assert_int_equal(bed->answer_count, 2);
	if (other->seen == NULL)
		expect_refusal(bed, 400);
}

static void
run_all_cuts(const struct sent *others, size_t count)
{
	struct bed bed;

	bed_open(&bed, REPEAT_ALLOWED);
	for (size_t i = 0; i < count * 4; i++) {
		const struct sent *one = &first[i % 4];
		const struct sent *other = &others[i / 4];
		struct str_buf text = {0};

		str_buf_append_c(&text, one->text);
		str_buf_append_c(&text, other->text);
		for (size_t cut = 0; cut <= text.len; cut++)
			run_case(&bed, one, other, str_buf_view(&text), cut);
		str_buf_free(&text);
	}
	bed_close(&bed);
}

static void
request_is_read_alike_wherever_it_is_cut(void **state ATTR_UNUSED)
{
	run_all_cuts(proper, sizeof(proper) / sizeof(proper[0]));
}

static void
malformed_request_is_refused_wherever_it_is_cut(void **state ATTR_UNUSED)
{
	run_all_cuts(malformed, sizeof(malformed) / sizeof(malformed[0]));
}

/* Sends a request behind the i-th first one, in one piece. */
static void
send_behind(struct bed *bed, size_t i, const char *text, size_t note_bytes,
    const char *end)
{
	struct str_buf out = {0};

	bed_start_case(bed, false);
	bed->methods[0] = bed->methods[1] = "GET";
	str_buf_append_c(&out, first[i].text);
	str_buf_append_c(&out, text);
	for (size_t n = 0; n < note_bytes; n++)
		str_buf_append_c(&out, "n");
	str_buf_append_c(&out, end);
	bed_send(bed->caller, str_buf_view(&out));
	str_buf_free(&out);
}

static void
header_limit_counts_each_request_alone(void **state ATTR_UNUSED)
{
	static const char get[] = "GET" FIELDS("three") "Note: ";
	static const char trailers[] =
	    "POST" FIELDS("three") CHUNKED "0\r\nNote: ";
	struct bed bed;

	bed_open(&bed, REPEAT_ALLOWED);
	bed.fixture.routes->limits.max_header_bytes = HEADER_MAX_BYTES;
	for (size_t i = 0; i < 4; i++) {
		size_t room = HEADER_MAX_BYTES - strlen(get) - 4;

		send_behind(&bed, i, get, room, "\r\n\r\n");
		bed_run(&bed, 2);
		assert_int_equal(bed.answers[1].status, 200);
		send_behind(&bed, i, get, room + 1, "\r\n\r\n");
		expect_refusal(&bed, 431);
		send_behind(&bed, i, trailers, HEADER_MAX_BYTES, "\r\n\r\n");
		expect_refusal(&bed, 431);
	}
	bed_close(&bed);
}

static void
slow_head_behind_a_body_times_out(void **state ATTR_UNUSED)
{
	struct bed bed;

	bed_open(&bed, REPEAT_ALLOWED);
	bed.fixture.routes->limits.header_timeout_ms = SHORT_MS;
	for (size_t i = 0; i < 4; i++) {
		send_behind(&bed, i, "GET /x HTTP/1.1\r", 0, "");
		expect_refusal(&bed, 408);
		/* An empty line behind a body is no head. */
		send_behind(&bed, i, "\r\n", 0, "");
		bed_run(&bed, 1);
		flow_fixture_run(&bed.fixture, 2 * SHORT_MS);
		bed_send(bed.caller, STR_LITERAL("GET" FIELDS("three") "\r\n"));
		bed_run(&bed, 2);
		assert_int_equal(bed.answers[1].status, 200);
	}
	bed_close(&bed);
}

/* A caller may hold a body back until it gets an interim answer. */
static void
body_is_asked_for_behind_a_slow_answer(void **state ATTR_UNUSED)
{
	struct bed bed;
	char byte;

	bed_open(&bed, REPEAT_ALLOWED);
	bed_start_case(&bed, false);
	bed.methods[0] = bed.methods[1] = "GET";
	bed_send(bed.caller,
	    STR_LITERAL("POST" FIELDS("hold") LENGTH_5
		"hello"
		"POST" FIELDS("three") "Expect: 100-continue\r\n" LENGTH_5));
	while (bed.held == 0)
		bed_step(&bed);
	for (int i = 0; i < 10; i++)
		bed_step(&bed);
	assert_int_equal(
	    recv(bed.caller, &byte, 1, MSG_PEEK | MSG_DONTWAIT), -1);
	bed.released = true;
	bed_run(&bed, 1);
	while (bed.interim_count == 0 && !bed.caller_closed)
		bed_run(&bed, bed.complete_count + 1);
	bed_send(bed.caller, STR_LITERAL("hello"));
	bed_run(&bed, 2);
	assert_int_equal(bed.answers[1].status, 200);
	assert_string_equal(bed.seen[2], "POST /x?a=1 hello");
	assert_int_equal(bed.interim_count, 1);
	bed_close(&bed);
}

struct delay {
	struct bed *bed;
	uint64_t sent_us;
};

/* Holds the loop up, and lets a request arrive meanwhile. */
static void
on_delay(uv_poll_t *poll, int status, int events)
{
	struct delay *delay = poll->data;

	(void)status;
	(void)events;
	uv_poll_stop(poll);
	clock_sleep_us(HOLD_UP_MS * US_PER_MS);
	delay->sent_us = clock_monotonic_us();
	bed_send(delay->bed->caller, STR_LITERAL("GET" FIELDS("hold") "\r\n"));
}

/* A loop that was held up has an old time, and its timers would be early. */
static void
request_time_starts_after_the_request_was_sent(void **state ATTR_UNUSED)
{
	struct bed bed;
	struct delay delay = {.bed = &bed};
	const struct caller *caller;
	const struct exchange *last;
	uv_poll_t poll = {.data = &delay};
	int ends[2];

	bed_open(&bed, REPEAT_ALLOWED);
	bed_start_case(&bed, false);
	bed.methods[0] = bed.methods[1] = "GET";
	assert_int_equal(pipe(ends), 0);
	assert_int_equal(uv_poll_init(&bed.fixture.loop, &poll, ends[0]), 0);
	assert_int_equal(uv_poll_start(&poll, UV_READABLE, on_delay), 0);
	while (bed.fixture.flow->callers.length == 0)
		bed_step(&bed);
	/* Both are ready in one turn of the loop, the delay first. */
	assert_int_equal(write(ends[1], "d", 1), 1);
	bed_send(bed.caller, STR_LITERAL("GET" FIELDS("hold") "\r\n"));
	while (delay.sent_us == 0)
		bed_step(&bed);
	caller = bed.fixture.flow->callers.head->data;
	while (caller->exchanges.length < 2)
		bed_step(&bed);
	last = g_queue_peek_tail((GQueue *)&caller->exchanges);
	/* The loop counts whole milliseconds. */
	assert_in_range(
	    last->arrival_us + US_PER_MS, delay.sent_us, UINT64_MAX);
	uv_close((uv_handle_t *)&poll, NULL);
	(void)close(ends[0]);
	(void)close(ends[1]);
	bed.released = true;
	bed_run(&bed, 2);
	bed_close(&bed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(request_is_read_alike_wherever_it_is_cut),
	    cmocka_unit_test(malformed_request_is_refused_wherever_it_is_cut),
	    cmocka_unit_test(header_limit_counts_each_request_alone),
	    cmocka_unit_test(slow_head_behind_a_body_times_out),
	    cmocka_unit_test(request_time_starts_after_the_request_was_sent),
	    cmocka_unit_test(body_is_asked_for_behind_a_slow_answer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
