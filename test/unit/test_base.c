/*
 * Tests of src/base.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "base/random.h"
#include "base/settings.h"
#include "base/status.h"
#include "base/str.h"

static void
str_split_and_trim(void **state ATTR_UNUSED)
{
	struct str rest = str_from("a, b,,");
	struct str head;

	assert_true(str_split(&rest, ',', &head));
	assert_true(str_equal_c(head, "a"));
	assert_true(str_split(&rest, ',', &head));
	assert_true(str_equal_c(str_trim(head), "b"));
	assert_true(str_split(&rest, ',', &head));
	assert_int_equal(head.len, 0);
	assert_true(str_split(&rest, ',', &head));
	assert_int_equal(head.len, 0);
	assert_false(str_split(&rest, ',', &head));
}

static void
str_to_u64_rejects_invalid_numbers(void **state ATTR_UNUSED)
{
	uint64_t value;

	assert_true(str_to_u64(str_from("18446744073709551615"), &value));
	assert_true(value == UINT64_MAX);
	assert_false(str_to_u64(str_from("18446744073709551616"), &value));
	assert_false(str_to_u64(str_from(""), &value));
	assert_false(str_to_u64(str_from("-1"), &value));
	assert_false(str_to_u64(str_from("1 "), &value));
}

static void
str_buf_grows(void **state ATTR_UNUSED)
{
	struct str_buf buf = {0};

	for (int i = 0; i < 1000; i++)
		str_buf_printf(&buf, "%d,", i % 10);
	assert_int_equal(buf.len, 2000);
	assert_true(str_has_prefix(str_buf_view(&buf), str_from("0,1,2,")));
	str_buf_free(&buf);
}

static void
histogram_error_is_bounded(void **state ATTR_UNUSED)
{
	static struct histogram histogram;
	struct random random;

	random_seed(&random, 7);
	for (int i = 0; i < 100000; i++)
		histogram_record(&histogram, random_below(&random, 1000000));
	assert_in_range(histogram_quantile(&histogram, 0.5), 480000, 540000);
	assert_in_range(histogram_quantile(&histogram, 0.99), 975000, 1000000);
	assert_in_range(histogram_count_above(&histogram, 900000), 6000, 10500);
}

static void
random_sequence_depends_on_seed(void **state ATTR_UNUSED)
{
	struct random a, b;
	double sum = 0;

	random_seed(&a, 1);
	random_seed(&b, 1);
	for (int i = 0; i < 100000; i++) {
		assert_true(random_next(&a) == random_next(&b));
		sum += random_exponential(&a, 10.0);
		random_next(&b);
	}
	assert_true(sum / 100000 > 9.8 && sum / 100000 < 10.2);
}

static void
counter_render_groups_by_name(void **state ATTR_UNUSED)
{
	struct counter *a = counter_register(
	    COUNTER_TOTAL, "test_total", "Tests (count)", "kind=\"a\"");
	struct counter *other =
	    counter_register(COUNTER_GAUGE, "test_gauge", "A gauge", NULL);
	struct counter *b = counter_register(
	    COUNTER_TOTAL, "test_total", "Tests (count)", "kind=\"b\"");
	struct str_buf out = {0};

	assert_ptr_equal(a,
	    counter_register(COUNTER_TOTAL, "test_total", "Tests (count)",
		"kind=\"%s\"", "a"));
	counter_add(a, 2);
	counter_add(b, 3);
	counter_set(other, -1);
	counter_render(&out);
	assert_string_equal(out.data,
	    "# HELP test_total Tests (count)\n# TYPE test_total counter\n"
	    "test_total{kind=\"a\"} 2\ntest_total{kind=\"b\"} 3\n"
	    "# HELP test_gauge A gauge\n# TYPE test_gauge gauge\n"
	    "test_gauge -1\n");
	str_buf_free(&out);
}

static void
settings_parse_address_requires_ip(void **state ATTR_UNUSED)
{
	char ip[64];
	uint16_t port;

	assert_true(
	    settings_parse_address("127.0.0.1:80", ip, sizeof(ip), &port));
	assert_int_equal(port, 80);
	assert_true(settings_parse_address("[::1]:80", ip, sizeof(ip), &port));
	assert_string_equal(ip, "::1");
	assert_false(
	    settings_parse_address("localhost:80", ip, sizeof(ip), &port));
	assert_false(
	    settings_parse_address("127.0.0.1:70000", ip, sizeof(ip), &port));
	assert_false(
	    settings_parse_address("127.0.0.1", ip, sizeof(ip), &port));
}

static void
status_set_stores_message(void **state ATTR_UNUSED)
{
	assert_int_equal(
	    status_set(STATUS_INVALID, "field %s", "x"), STATUS_INVALID);
	assert_string_equal(status_message(), "field x");
	assert_string_equal(status_name(STATUS_CONFLICT), "conflict");
	status_clear();
	assert_string_equal(status_message(), "");
}

/*
 * condition_wait() takes deadlines of the monotonic clock.  A passed deadline
 * ends the wait with the lock held.
 */
static void
condition_wait_ends_at_deadline(void **state ATTR_UNUSED)
{
	pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	pthread_cond_t condition;
	uint64_t deadline_us = clock_monotonic_us() + US_PER_MS;

	condition_init(&condition);
	pthread_mutex_lock(&lock);
	assert_false(condition_wait(&condition, &lock, 0));
	while (condition_wait(&condition, &lock, deadline_us))
		;
	assert_true(clock_monotonic_us() >= deadline_us);
	assert_int_equal(pthread_mutex_unlock(&lock), 0);
	pthread_cond_destroy(&condition);
	pthread_mutex_destroy(&lock);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(str_split_and_trim),
	    cmocka_unit_test(str_to_u64_rejects_invalid_numbers),
	    cmocka_unit_test(str_buf_grows),
	    cmocka_unit_test(histogram_error_is_bounded),
	    cmocka_unit_test(random_sequence_depends_on_seed),
	    cmocka_unit_test(counter_render_groups_by_name),
	    cmocka_unit_test(settings_parse_address_requires_ip),
	    cmocka_unit_test(status_set_stores_message),
	    cmocka_unit_test(condition_wait_ends_at_deadline),
	};

	return cmocka_run_group_tests_name("base", tests, NULL, NULL);
}
