/*
 * Tests of the entry's modules that run without a process, and of the headers
 * and test patterns that target and load share with it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "base/call_header.h"
#include "base/clock.h"
#include "base/pattern.h"
#include "base/random.h"
#include "entry/answer.h"
#include "entry/lookup.h"

static void
timeouts_are_parsed(void **state ATTR_UNUSED)
{
	static const struct {
		const char *text;
		uint64_t us;
	} good[] = {{"1S", 1000000}, {"250m", 250000}, {"7u", 7}, {"1500n", 1},
	    {"2M", 120000000}, {"1H", 3600000000}, {" 5m ", 5000}};
	static const char *const bad[] = {
	    "", "5", "m", "-1m", "5x", "123456789m", "1.5S", "5 m"};
	uint64_t us;

	for (unsigned i = 0; i < sizeof(good) / sizeof(good[0]); i++) {
		assert_true(
		    call_header_parse_timeout(str_from(good[i].text), &us));
		assert_int_equal(us, good[i].us);
	}
	for (unsigned i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_false(call_header_parse_timeout(str_from(bad[i]), &us));
}

/* A timeout that is formatted and parsed again at each hop must not grow. */
static void
forwarded_timeouts_never_grow(void **state ATTR_UNUSED)
{
	struct random random;
	char text[CALL_HEADER_TIMEOUT_BYTES];

	random_seed(&random, 1);
	for (int i = 0; i < 10000; i++) {
		uint64_t us = random_next(&random) >> random_below(&random, 64);
		uint64_t read;

		call_header_format_timeout(us, text);
		assert_true(call_header_parse_timeout(str_from(text), &read));
		assert_true(read <= us);
		if (us < 99999999 * US_PER_MS)
			assert_true(us - read < US_PER_MS);
	}
}

static void
load_reports_are_parsed(void **state ATTR_UNUSED)
{
	struct call_load load;

	assert_true(call_header_parse_load(
	    str_from("TEXT cpu_utilization=0.5, named_metrics.in_flight=3, "
		     "named_metrics.slots=4"),
	    &load));
	assert_int_equal(load.in_flight, 3);
	assert_int_equal(load.slots, 4);
	assert_false(call_header_parse_load(str_from("TEXT "), &load));
	assert_false(call_header_parse_load(
	    str_from("JSON named_metrics.in_flight=3"), &load));
	assert_false(call_header_parse_load(
	    str_from("TEXT named_metrics.in_flight=-3, named_metrics.slots=4"),
	    &load));
}

static void
spans_are_parsed(void **state ATTR_UNUSED)
{
	struct str span;

	assert_true(call_header_parse_span(
	    str_from("00-0af7651916cd43dd8448eb211c80319c-"
		     "b7ad6b7169203331-01"),
	    &span));
	assert_true(str_equal_c(span, "b7ad6b7169203331"));
	assert_false(
	    call_header_parse_span(str_from("00-0af7-b7ad-01"), &span));
	assert_false(call_header_parse_span(
	    str_from("00-0af7651916cd43dd8448eb211c80319c-"
		     "b7ad6b716920333\"-01"),
	    &span));
}

/* Any part of a pattern matches at its offset; a wrong byte is detected. */
static void
pattern_parts_match(void **state ATTR_UNUSED)
{
	char whole[1000];
	char piece[1000];
	struct random random;

	random_seed(&random, 2);
	pattern_fill(77, 0, whole, sizeof(whole));
	for (int i = 0; i < 1000; i++) {
		size_t at = random_below(&random, sizeof(whole));
		size_t len = random_below(&random, sizeof(whole) - at);

		pattern_fill(77, at, piece, len);
		assert_memory_equal(piece, whole + at, len);
		assert_true(pattern_matches(77, at, whole + at, len));
		if (len == 0)
			continue;
		assert_false(
		    pattern_matches(78, at, whole + at, len) && len > 2);
		piece[random_below(&random, len)] ^= 1;
		assert_false(pattern_matches(77, at, piece, len));
	}
}

enum {
	ENTRIES = 12,
	DRAWS = 20000
};

static void
make_entries(struct view_entry entries[ENTRIES])
{
	memset(entries, 0, sizeof(*entries) * ENTRIES);
	for (int i = 0; i < ENTRIES; i++) {
		snprintf(entries[i].name, VIEW_NAME_BYTES, "entry-%d", i);
		snprintf(entries[i].failure_domain, VIEW_NAME_BYTES, "%c",
		    'a' + i % 4);
		entries[i].spare_eighths = 8;
	}
}

/* Distinct failure domains first, no leaving entry, same result per seed. */
static void
lookups_spread_over_domains(void **state ATTR_UNUSED)
{
	struct view_entry entries[ENTRIES];
	const struct view_entry *chosen[4];
	const struct view_entry *again[4];

	make_entries(entries);
	entries[3].leaving = true;
	for (uint64_t seed = 0; seed < 1000; seed++) {
		assert_int_equal(
		    lookup_choose(entries, ENTRIES, seed, chosen, 4), 4);
		assert_int_equal(
		    lookup_choose(entries, ENTRIES, seed, again, 4), 4);
		assert_memory_equal(chosen, again, sizeof(chosen));
		for (int i = 0; i < 4; i++) {
			assert_false(chosen[i]->leaving);
			for (int j = 0; j < i; j++)
				assert_string_not_equal(
				    chosen[i]->failure_domain,
				    chosen[j]->failure_domain);
		}
	}
}

/* An entry with 8 eighths free has 17 times the weight of a full one. */
static void
lookups_follow_spare_capacity(void **state ATTR_UNUSED)
{
	struct view_entry entries[ENTRIES];
	const struct view_entry *chosen[4];
	unsigned first[ENTRIES] = {0};

	make_entries(entries);
	entries[0].spare_eighths = 0;
	for (uint64_t seed = 0; seed < DRAWS; seed++) {
		lookup_choose(entries, ENTRIES, seed, chosen, 4);
		first[chosen[0] - entries]++;
	}
	assert_true(first[0] * 8 < first[1]);
	assert_true(first[0] > 0);
	for (int i = 1; i < ENTRIES; i++)
		assert_in_range(first[i], DRAWS / 11 - DRAWS / 100,
		    DRAWS / 11 + DRAWS / 100);
}

static void
lookups_with_few_entries(void **state ATTR_UNUSED)
{
	struct view_entry entries[ENTRIES];
	const struct view_entry *chosen[4];

	make_entries(entries);
	assert_int_equal(lookup_choose(entries, 0, 1, chosen, 4), 0);
	assert_int_equal(lookup_choose(entries, 1, 1, chosen, 4), 1);
	entries[0].leaving = true;
	assert_int_equal(lookup_choose(entries, 1, 1, chosen, 4), 0);
	entries[1].failure_domain[0] = 'a';
	entries[0].leaving = false;
	assert_int_equal(lookup_choose(entries, 2, 1, chosen, 4), 2);
}

static void
add_head_line(struct answer *answer, const char *text)
{
	assert_true(answer_header(answer, str_from(text), 503));
}

/* A "not started" header counts only if it names this attempt's span. */
static void
not_started_must_name_the_attempt(void **state ATTR_UNUSED)
{
	struct answer answer = {.span = "b7ad6b7169203331"};

	answer_reset(&answer);
	add_head_line(&answer, "HTTP/1.1 503 Service Unavailable\r\n");
	add_head_line(&answer, "gypsummill-not-started: 0000000000000000\r\n");
	assert_false(answer.not_started);
	add_head_line(&answer, "Gypsummill-Not-Started: b7ad6b7169203331\r\n");
	assert_true(answer.not_started);
	/* A further status line resets the answer. */
	add_head_line(&answer, "HTTP/1.1 503 Service Unavailable\r\n");
	assert_false(answer.not_started);
	answer_release(&answer);
}

static void
hop_headers_are_removed(void **state ATTR_UNUSED)
{
	struct answer answer = {.span = "b7ad6b7169203331"};

	answer_reset(&answer);
	add_head_line(&answer, "HTTP/1.1 100 Continue\r\n");
	add_head_line(&answer, "X-Early: 1\r\n");
	add_head_line(&answer, "HTTP/1.1 503 Service Unavailable\r\n");
	add_head_line(&answer, "Connection: close\r\n");
	add_head_line(&answer, "transfer-encoding: chunked\r\n");
	add_head_line(&answer, "Content-Type: text/plain\r\n");
	add_head_line(&answer, "Content-Length: 12\r\n");
	add_head_line(&answer,
	    "Endpoint-Load-Metrics: TEXT named_metrics.in_flight=9, "
	    "named_metrics.slots=2\r\n");
	add_head_line(&answer, "X-Kept: yes\r\n");
	assert_int_equal(answer.content_length, 12);
	assert_true(answer.has_report);
	assert_int_equal(answer.report.in_flight, 9);
	assert_string_equal(answer.content_type, "text/plain");
	assert_string_equal(answer.head.data,
	    "HTTP/1.1 503 Service Unavailable\r\n"
	    "Content-Type: text/plain\r\nX-Kept: yes\r\n");
	answer_release(&answer);
}

static void
header_names_ignore_case(void **state ATTR_UNUSED)
{
	assert_true(answer_header_is(
	    str_from("gypsummill-draining"), CALL_HEADER_DRAINING));
	assert_true(answer_header_is(
	    str_from("Endpoint-Load-Metrics"), CALL_HEADER_LOAD));
	assert_false(answer_header_is(
	    str_from("gypsummill-drainin"), CALL_HEADER_DRAINING));
	assert_false(answer_header_is(str_from(""), CALL_HEADER_LOAD));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(timeouts_are_parsed),
	    cmocka_unit_test(forwarded_timeouts_never_grow),
	    cmocka_unit_test(load_reports_are_parsed),
	    cmocka_unit_test(spans_are_parsed),
	    cmocka_unit_test(pattern_parts_match),
	    cmocka_unit_test(lookups_spread_over_domains),
	    cmocka_unit_test(lookups_follow_spare_capacity),
	    cmocka_unit_test(lookups_with_few_entries),
	    cmocka_unit_test(not_started_must_name_the_attempt),
	    cmocka_unit_test(hop_headers_are_removed),
	    cmocka_unit_test(header_names_ignore_case),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
