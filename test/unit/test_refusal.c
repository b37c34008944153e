/*
 * Tests of src/refusal.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>
#include <json-c/json.h>

#include "refusal/refusal.h"

static struct refusal
rate_refusal(void)
{
	return (struct refusal){
	    .outcome = REFUSAL_NOT_RUN,
	    .reason = REFUSAL_RATE_LIMITED,
	    .service = "orders",
	    .route = "print",
	    .tenant = "store-7",
	    .section = "orders",
	    .rule = "limits[0].calls_per_s",
	    .section_revision = 41,
	    .wall_us = 1700000000000000,
	    .retry_after_ms = 1200,
	    .figures = {{"tenant calls a second", 41, 40}},
	    .figure_count = 1,
	};
}

static void
refusal_is_found_by_id(void **state ATTR_UNUSED)
{
	struct refusal_log *log =
	    refusal_log_new(str_from("entry.north-1"), 0x1a2b, 4);
	struct refusal given = rate_refusal();
	struct refusal found;

	refusal_log_add(log, &given);
	assert_string_equal(given.id, "entry.north-1.1a2b.0");
	assert_int_equal(
	    refusal_log_find(log, str_from(given.id), &found), STATUS_OK);
	assert_string_equal(found.rule, "limits[0].calls_per_s");
	assert_int_equal(found.figures[0].bound, 40);
	refusal_log_free(log);
}

static void
lookup_distinguishes_unknown_and_expired_ids(void **state ATTR_UNUSED)
{
	static const char *const never[] = {"e1.5.9", "e2.5.1", "e1.6.0", "",
	    "e1", "e1.5", "e1.5.", "e1.x.1", ".5.1", "e1.5.1 ",
	    "e1.5.11111111111111111"};
	struct refusal_log *log = refusal_log_new(str_from("e1"), 5, 4);
	struct refusal refusal;

	for (unsigned i = 0; i < 9; i++) {
		refusal = rate_refusal();
		refusal_log_add(log, &refusal);
	}
	for (unsigned i = 0; i < sizeof(never) / sizeof(never[0]); i++)
		assert_int_equal(
		    refusal_log_find(log, str_from(never[i]), &refusal),
		    STATUS_NOT_FOUND);
	assert_int_equal(
	    refusal_log_find(log, str_from("e1.5.4"), &refusal), STATUS_CLOSED);
	assert_int_equal(
	    refusal_log_find(log, str_from("e1.5.5"), &refusal), STATUS_OK);
	assert_string_equal(refusal.id, "e1.5.5");
	assert_int_equal(
	    refusal_log_find(log, str_from("e1.5.8"), &refusal), STATUS_OK);
	assert_int_equal(
	    refusal_log_find(log, str_from("e1.4.8"), &refusal), STATUS_CLOSED);
	refusal_log_free(log);
}

static struct json_object *
member(struct json_object *object, const char *name)
{
	struct json_object *value = NULL;

	assert_true(json_object_object_get_ex(object, name, &value));
	return value;
}

static void
problem_json_has_reason_and_rule(void **state ATTR_UNUSED)
{
	struct refusal refusal = rate_refusal();
	struct str_buf out = {0};
	struct json_object *json;

	(void)snprintf(refusal.id, sizeof(refusal.id), "e1.5.0");
	refusal_problem_json(&refusal, str_from("Too \"many\".\n"), &out);
	json = json_tokener_parse(out.data);
	assert_non_null(json);
	assert_string_equal(json_object_get_string(member(json, "type")),
	    "urn:gypsummill:refusal:rate-limited");
	assert_int_equal(json_object_get_int(member(json, "status")), 429);
	assert_string_equal(
	    json_object_get_string(member(json, "detail")), "Too \"many\".\n");
	assert_string_equal(
	    json_object_get_string(member(json, "outcome")), "not-run");
	assert_string_equal(
	    json_object_get_string(member(json, "code")), "rate-limited");
	assert_string_equal(json_object_get_string(member(json, "rule")),
	    "limits[0].calls_per_s");
	assert_string_equal(
	    json_object_get_string(member(json, "section")), "orders");
	assert_int_equal(json_object_get_int(member(json, "revision")), 41);
	assert_string_equal(
	    json_object_get_string(member(json, "refusal")), "e1.5.0");
	assert_int_equal(json_object_get_int(member(json, "retry_after")), 2);
	json_object_put(json);
	str_buf_free(&out);
}

static void
problem_json_uses_default_text(void **state ATTR_UNUSED)
{
	struct refusal refusal = rate_refusal();
	struct str_buf out = {0};
	struct json_object *json;

	refusal.retry_after_ms = 0;
	refusal_problem_json(&refusal, (struct str){0}, &out);
	json = json_tokener_parse(out.data);
	assert_string_equal(json_object_get_string(member(json, "detail")),
	    refusal_default_text(REFUSAL_RATE_LIMITED));
	assert_false(json_object_object_get_ex(json, "retry_after", NULL));
	json_object_put(json);
	str_buf_free(&out);
}

static void
explain_json_has_figures(void **state ATTR_UNUSED)
{
	struct refusal refusal = rate_refusal();
	struct str_buf out = {0};
	struct json_object *json;
	struct json_object *figure;

	refusal_explain_json(&refusal, &out);
	json = json_tokener_parse(out.data);
	figure = json_object_array_get_idx(member(json, "figures"), 0);
	assert_string_equal(json_object_get_string(member(figure, "name")),
	    "tenant calls a second");
	assert_int_equal(json_object_get_int(member(figure, "value")), 41);
	assert_int_equal(json_object_get_int(member(figure, "bound")), 40);
	assert_string_equal(
	    json_object_get_string(member(json, "tenant")), "store-7");
	json_object_put(json);
	str_buf_free(&out);
}

static void
every_reason_has_name_status_and_text(void **state ATTR_UNUSED)
{
	for (unsigned i = 0; i < REFUSAL_REASON_COUNT; i++) {
		enum refusal_reason reason = (enum refusal_reason)i;
		enum refusal_reason back;

		assert_true(refusal_reason_from_name(
		    str_from(refusal_reason_name(reason)), &back));
		assert_int_equal(back, reason);
		assert_in_range(refusal_http_status(reason), 400, 599);
		assert_true(refusal_default_text(reason)[0] != '\0');
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(refusal_is_found_by_id),
	    cmocka_unit_test(lookup_distinguishes_unknown_and_expired_ids),
	    cmocka_unit_test(problem_json_has_reason_and_rule),
	    cmocka_unit_test(problem_json_uses_default_text),
	    cmocka_unit_test(explain_json_has_figures),
	    cmocka_unit_test(every_reason_has_name_status_and_text),
	};

	return cmocka_run_group_tests_name("refusal", tests, NULL, NULL);
}
