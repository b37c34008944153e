/*
 * Tests of the mix parser and the plan of the load generator.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/attr.h"
#include "base/clock.h"
#include "load/load_plan.h"

static enum status
read_mix(const char *text, struct load_mix *mix)
{
	char path[] = "/tmp/gypsummill-mix-XXXXXX";
	int fd = mkstemp(path);
	enum status status;

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	close(fd);
	status = load_mix_read(path, mix);
	unlink(path);
	return status;
}

static void
load_mix_read_parses_routes(void **state ATTR_UNUSED)
{
	struct load_mix mix;

	assert_int_equal(read_mix("# comment\n\n"
				  "a weight=3 path=/x bytes=5\n"
				  "b method=POST key=1 twice_percent=50\n",
			     &mix),
	    STATUS_OK);
	assert_int_equal(mix.count, 2);
	assert_int_equal(mix.weight, 4);
	assert_string_equal(mix.routes[0].path, "/x");
	assert_string_equal(mix.routes[0].method, "GET");
	assert_int_equal(mix.routes[1].key, 1);
}

static void
load_mix_read_errors_name_line(void **state ATTR_UNUSED)
{
	static const char *const wrong[] = {
	    "a\nb colour=red\n", "a\nb weight=x\n", "a\nb weight\n"};
	struct load_mix mix;
	char line[2048];

	for (unsigned i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		assert_int_equal(read_mix(wrong[i], &mix), STATUS_INVALID);
		assert_non_null(strstr(status_message(), "line 2"));
	}
	assert_int_equal(read_mix("# nothing\n", &mix), STATUS_INVALID);
	/* An overlong line must not be parsed as two routes. */
	snprintf(line, sizeof(line), "a\nb weight=1%1500s\n", "weight=2");
	assert_int_equal(read_mix(line, &mix), STATUS_INVALID);
	assert_non_null(strstr(status_message(), "line 2"));
}

/*
 * Equal seeds must give equal plans, with the given rate in each phase.
 */
static void
load_plan_depends_on_seed(void **state ATTR_UNUSED)
{
	struct load_mix mix;
	struct load_plan plan;
	struct load_plan again;
	uint32_t duplicates = 0;
	uint32_t second_phase = 0;

	assert_int_equal(
	    read_mix("a weight=1\nb weight=1 twice_percent=50 key=1\n", &mix),
	    STATUS_OK);
	assert_int_equal(
	    load_plan_make(&plan, "1000:10,4000:5", &mix, 9), STATUS_OK);
	assert_int_equal(
	    load_plan_make(&again, "1000:10,4000:5", &mix, 9), STATUS_OK);
	assert_int_equal(plan.count, again.count);
	assert_memory_equal(
	    plan.records, again.records, plan.count * sizeof(*plan.records));
	for (uint32_t i = 0; i < plan.count; i++) {
		if (i > 0)
			assert_true(plan.records[i].intended_us >=
			    plan.records[i - 1].intended_us);
		duplicates += plan.records[i].duplicate;
		second_phase += plan.records[i].phase == 1;
	}
	assert_in_range(plan.count - duplicates, 29000, 31000);
	assert_in_range(duplicates, 7000, 8000);
	assert_in_range(second_phase, 24000, 26000);
	load_plan_free(&plan);
	load_plan_free(&again);
}

static void
load_plan_rejects_invalid_phases(void **state ATTR_UNUSED)
{
	static const char too_many[] = "1:1,1:1,1:1,1:1,1:1,1:1,1:1,1:1,1:1,"
				       "1:1,1:1,1:1,1:1,1:1,1:1,1:1,1:1";
	static const char *const wrong[] = {"", "10", "0:5", "10:", "x:5",
	    "1000000:60", "1:4000", "4611686018427387904:4",
	    "9223372036854775808:2", too_many};
	struct load_mix mix;
	struct load_plan plan;

	assert_int_equal(read_mix("a\n", &mix), STATUS_OK);
	for (unsigned i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++)
		assert_int_equal(
		    load_plan_make(&plan, wrong[i], &mix, 1), STATUS_INVALID);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(load_mix_read_parses_routes),
	    cmocka_unit_test(load_mix_read_errors_name_line),
	    cmocka_unit_test(load_plan_depends_on_seed),
	    cmocka_unit_test(load_plan_rejects_invalid_phases),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
