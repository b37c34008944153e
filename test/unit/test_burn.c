/*
 * Tests of src/burn.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <json-c/json.h>

#include "base/clock.h"
#include "burn/burn.h"
#include "burn/burn_window.h"

enum {
	SUCCESS = 9900,
	WINDOW_S = 86400
};

static struct burn_key
key_of(const char *tenant)
{
	return (struct burn_key){
	    .service = STR_LITERAL("orders"),
	    .objective = STR_LITERAL("answers"),
	    .tenant = str_from(tenant),
	};
}

static void
count(struct burn *burn, const char *tenant, unsigned good, unsigned bad,
    uint64_t now_s)
{
	struct burn_key key = key_of(tenant);

	for (unsigned i = 0; i < good + bad; i++)
		burn_record(
		    burn, &key, SUCCESS, WINDOW_S, i < good, now_s * US_PER_S);
}

struct collected {
	unsigned count;
	char tenants[256];
	struct burn_stats last;
};

static void
collect(void *ctx, const struct burn_stats *stats)
{
	struct collected *collected = ctx;

	(void)strncat(
	    collected->tenants, stats->key.tenant.data, stats->key.tenant.len);
	collected->count++;
	collected->last = *stats;
}

static void
events_expire_per_window(void **state ATTR_UNUSED)
{
	struct burn *burn = burn_new(10);
	struct collected collected = {0};

	count(burn, "t", 90, 10, 1000);
	burn_for_each(burn, 1000 * US_PER_S, collect, &collected);
	assert_int_equal(collected.last.short_good, 90);
	assert_int_equal(collected.last.long_bad, 10);
	burn_for_each(burn, 1400 * US_PER_S, collect, &collected);
	assert_int_equal(
	    collected.last.short_good + collected.last.short_bad, 0);
	assert_int_equal(collected.last.long_good, 90);
	burn_for_each(burn, 5000 * US_PER_S, collect, &collected);
	assert_int_equal(collected.last.long_bad, 0);
	assert_int_equal(collected.last.window_bad, 10);
	assert_int_equal(collected.last.observed_s, 4000);
	collected.count = 0;
	burn_for_each(
	    burn, (1000 + 2 * WINDOW_S) * US_PER_S, collect, &collected);
	assert_int_equal(collected.count, 0);
	burn_free(burn);
}

static void
window_sum_covers_whole_window(void **state ATTR_UNUSED)
{
	struct burn_window window;
	struct burn_bucket sum;

	burn_window_init(&window, 12 * US_PER_S);
	for (uint64_t s = 0; s < 100; s++) {
		burn_window_add(&window, 1, 0, s * US_PER_S);
		sum = burn_window_sum(&window, s * US_PER_S);
		assert_int_equal(sum.good, s < 13 ? s + 1 : 13);
	}
	/* A late event is counted; a jump of the clock clears all buckets. */
	burn_window_add(&window, 0, 1, 98 * US_PER_S);
	assert_int_equal(burn_window_sum(&window, 99 * US_PER_S).bad, 1);
	burn_window_add(&window, 1, 0, 1000000 * US_PER_S);
	sum = burn_window_sum(&window, 1000000 * US_PER_S);
	assert_int_equal(sum.good, 1);
	assert_int_equal(sum.bad, 0);
}

static void
burn_rate_is_relative_to_budget(void **state ATTR_UNUSED)
{
	struct burn_stats stats = {
	    .success_permyriad = SUCCESS, .window_good = 980, .window_bad = 20};

	assert_true(fabs(burn_rate(99, 1, SUCCESS) - 1.0) < 1e-9);
	assert_true(fabs(burn_rate(0, 5, SUCCESS) - 100.0) < 1e-9);
	assert_true(burn_rate(0, 0, SUCCESS) == 0.0);
	assert_true(burn_rate(9, 1, 10000) == BURN_RATE_MAX);
	assert_true(fabs(burn_budget_left(&stats) + 1.0) < 1e-9);
}

static void
tenants_beyond_limit_count_as_other(void **state ATTR_UNUSED)
{
	struct burn *burn = burn_new(2);
	struct collected collected = {0};

	count(burn, "b", 1, 0, 10);
	count(burn, "a", 1, 0, 10);
	count(burn, "c", 2, 1, 10);
	count(burn, "d", 3, 0, 10);
	burn_for_each(burn, 10 * US_PER_S, collect, &collected);
	assert_string_equal(collected.tenants, "abother");
	assert_int_equal(collected.last.short_good, 5);
	assert_int_equal(collected.last.short_bad, 1);
	burn_free(burn);
}

static struct json_object *
report_of(struct burn *burn)
{
	struct str_buf out = {0};
	struct json_object *json;

	burn_json(burn, 10 * US_PER_S, &out);
	json = json_tokener_parse(out.data);
	assert_non_null(json);
	str_buf_free(&out);
	return json;
}

static void
reports_merge_by_adding_counts(void **state ATTR_UNUSED)
{
	struct burn *one = burn_new(10);
	struct burn *two = burn_new(10);
	struct burn *all = burn_new(10);
	struct json_object *merged = NULL;
	struct json_object *reports[3];

	count(one, "t", 99, 1, 10);
	count(all, "t", 99, 1, 10);
	count(two, "t", 50, 50, 10);
	count(all, "t", 50, 50, 10);
	count(two, "u", 7, 0, 10);
	count(all, "u", 7, 0, 10);
	reports[0] = report_of(one);
	reports[1] = report_of(two);
	reports[2] = report_of(all);
	assert_int_equal(burn_merge(&merged, reports[0]), STATUS_OK);
	assert_int_equal(burn_merge(&merged, reports[1]), STATUS_OK);
	assert_string_equal(json_object_to_json_string(merged),
	    json_object_to_json_string(reports[2]));
	json_object_put(merged);
	merged = NULL;
	assert_int_equal(
	    burn_merge(&merged,
		json_object_array_get_idx(
		    json_object_object_get(reports[0], "burn"), 0)),
	    STATUS_INVALID);
	assert_null(merged);
	for (unsigned i = 0; i < 3; i++)
		json_object_put(reports[i]);
	burn_free(one);
	burn_free(two);
	burn_free(all);
}

/*
 * A key whose strings are null counts as one with empty strings: such items
 * are merged into one.
 */
static void
merge_treats_null_text_as_empty(void **state ATTR_UNUSED)
{
	struct json_object *report = json_tokener_parse(
	    "{\"burn\": [{\"service\": null, \"objective\": \"answers\", "
	    "\"tenant\": null, \"window\": {\"good\": 3, \"bad\": 0}}]}");
	struct json_object *merged = NULL;
	struct json_object *array;

	assert_int_equal(burn_merge(&merged, report), STATUS_OK);
	assert_int_equal(burn_merge(&merged, report), STATUS_OK);
	assert_true(json_object_object_get_ex(merged, "burn", &array));
	assert_int_equal(json_object_array_length(array), 1);
	json_object_put(report);
	json_object_put(merged);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(events_expire_per_window),
	    cmocka_unit_test(window_sum_covers_whole_window),
	    cmocka_unit_test(burn_rate_is_relative_to_budget),
	    cmocka_unit_test(tenants_beyond_limit_count_as_other),
	    cmocka_unit_test(reports_merge_by_adding_counts),
	    cmocka_unit_test(merge_treats_null_text_as_empty),
	};

	return cmocka_run_group_tests_name("burn", tests, NULL, NULL);
}
