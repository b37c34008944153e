/*
 * Tests of the section parser and of lookups in a policy.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "document/document_split.h"
#include "document/policy.h"
#include "document/policy_parse.h"

enum {
	SECTIONS_MAX = 16
};

static const char service_head[] = "section: shop\n"
				   "team: sales\n"
				   "service:\n"
				   "  hosts: [shop.example]\n"
				   "  routes:\n"
				   "    - name: all\n"
				   "      tenants: [\"*\"]\n";

static void
read_file(const char *path, struct str_buf *out)
{
	char chunk[4096];
	size_t got;
	FILE *file = fopen(path, "r");

	assert_non_null(file);
	while ((got = fread(chunk, 1, sizeof(chunk), file)) > 0)
		str_buf_append(out, str_of(chunk, got));
	fclose(file);
}

static struct policy *
load_policy(struct str text)
{
	struct policy_section *sections[SECTIONS_MAX];
	struct document_split_part part;
	struct policy *policy;
	uint32_t line = 1;
	uint32_t count = 0;

	while (document_split_next(&text, &line, &part)) {
		assert_true(count < SECTIONS_MAX);
		if (policy_section_parse(
			part.text, count + 1, &sections[count]) != STATUS_OK)
			fail_msg("%s", status_message());
		count++;
	}
	policy = policy_new(sections, count);
	while (count > 0)
		policy_section_put(sections[--count]);
	return policy;
}

static void
expect_error(const char *head, const char *tail, const char *message)
{
	struct policy_section *section;
	struct str_buf text = {0};

	str_buf_append_c(&text, head);
	str_buf_append_c(&text, tail);
	assert_int_equal(policy_section_parse(str_buf_view(&text), 1, &section),
	    STATUS_INVALID);
	assert_string_equal(status_message(), message);
	str_buf_free(&text);
}

static void
omitted_fields_get_defaults(void **state ATTR_UNUSED)
{
	struct policy *policy = load_policy(str_from(service_head));
	const struct policy_section *section = policy_find_service(policy,
	    str_from("SHOP.example"), str_from("GET"), str_from("/any"));
	const struct policy_service *service;

	assert_non_null(section);
	service = &section->service;
	assert_true(str_equal_c(service->name, "shop"));
	assert_int_equal(service->target_slots, 4);
	assert_int_equal(service->target_connections, 250);
	assert_int_equal(service->retry_percent, 10);
	assert_int_equal(service->claim_retention_s, 86400);
	assert_int_equal(service->cut_off, POLICY_CUT_OFF_REFUSE);
	assert_true(service->routes[0].repeatable);
	assert_int_equal(service->routes[0].deadline_ms, 10000);
	assert_true(str_equal_c(section->text, service_head));
	policy_put(policy);
}

/* Returns the name of the section that serves a request; "" if none. */
static const char *
find_section_name(
    const struct policy *policy, const char *method, const char *path)
{
	const struct policy_section *section = policy_find_service(
	    policy, str_from("shop.example"), str_from(method), str_from(path));

	return section != NULL ? section->name.data : "";
}

static void
services_share_a_host_by_method_and_path(void **state ATTR_UNUSED)
{
	struct policy *policy = load_policy(str_from(
	    "section: readers\nteam: sales\nservice:\n"
	    "  hosts: [shop.example]\n  routes:\n"
	    "    - name: read\n      method: GET\n      path: /orders\n"
	    "      tenants: [\"*\"]\n"
	    "    - name: read-old\n      method: GET\n      path: /orders/old\n"
	    "      tenants: [\"*\"]\n"
	    "---\n"
	    "section: writers\nteam: sales\nservice:\n"
	    "  hosts: [shop.example]\n  routes:\n"
	    "    - name: write\n      method: POST\n      path: /orders\n"
	    "      tenants: [\"*\"]\n"));

	assert_string_equal(
	    find_section_name(policy, "GET", "/orders"), "readers");
	assert_string_equal(
	    find_section_name(policy, "POST", "/orders"), "writers");
	assert_string_equal(
	    find_section_name(policy, "POST", "/orders/old"), "writers");
	assert_string_equal(
	    find_section_name(policy, "GET", "/orders/new"), "readers");
	/* No route has the method: the path decides which section refuses. */
	assert_string_equal(
	    find_section_name(policy, "PUT", "/orders/old"), "readers");
	assert_string_equal(find_section_name(policy, "PUT", "/stock"), "");
	policy_put(policy);
}

static void
value_errors_name_line_and_field(void **state ATTR_UNUSED)
{
	expect_error(service_head, "  queue_wait: 5\n",
	    "section shop, line 8, service.queue_wait: found \"5\"; allowed: "
	    "a duration in ms, s, m, h or d from 0ms to 1h");
	expect_error(service_head, "  bulk_slots: 101%\n",
	    "section shop, line 8, service.bulk_slots: found \"101%\"; "
	    "allowed: a whole percentage from 1% to 100%");
	expect_error(service_head,
	    "  objectives:\n    - name: fast\n      route: al\n"
	    "      success: 99.5%\n",
	    "section shop, line 10, service.objectives[0].route: found "
	    "\"al\"; allowed: a route of this service, or \"*\"");
	expect_error(service_head,
	    "  limits:\n    - tenant: a*b*\n"
	    "      calls_per_second: 3\n",
	    "section shop, line 9, service.limits[0].tenant: found \"a*b*\"; "
	    "allowed: a name of a-z, 0-9, '-', '_', '.' with at most one "
	    "'*', 1 to 63 bytes");
	expect_error("section: shop\nservice:\n  hosts: [a.example]\n", "",
	    "line 1, team: not given; allowed: a name of a-z, 0-9, '-', "
	    "'_', '.', 1 to 63 bytes\n"
	    "section shop, line 2, service.routes: not given; allowed: at "
	    "least one route");
	expect_error("section: shop\nteam: sales\n", "",
	    "section shop, line 1, section: found \"shop\"; allowed: exactly "
	    "one of fleet, tenants and service in a section");
}

static void
structure_errors_name_the_line(void **state ATTR_UNUSED)
{
	struct policy_section *section;

	expect_error(service_head,
	    "  limits:\n    - tenant: x\n"
	    "      slot: 5%\n",
	    "section shop, line 10, service.limits[0].slot: unknown field; "
	    "allowed: tenant, calls_per_second, burst, slots");
	expect_error(service_head, "limits: 5\n",
	    "section shop, line 8, limits: unknown field; allowed: section, "
	    "team, fleet, tenants, service");
	expect_error(service_head, "  limits: 5\n",
	    "section shop, line 8, service.limits: found a single value; "
	    "allowed: a list");
	expect_error(service_head, "  queue_wait: [1s]\n",
	    "section shop, line 8, service.queue_wait: found a list; "
	    "allowed: a single value");
	expect_error(service_head, "  queue_wait: 1s\n  queue_wait: 2s\n",
	    "line 9: the field was already given on line 8");
	expect_error(service_head, "---\nsection: b\n",
	    "line 8: found \"---\"; allowed: one section without separator "
	    "lines");
	expect_error(service_head, "--- {}\n",
	    "line 8: a section holds one YAML document");
	expect_error(service_head, "  queue_wait: [\n",
	    "line 9: did not find expected node content");
	expect_error("section: &a shop\nteam: *a\n", "",
	    "line 2: aliases are not allowed");
	expect_error("", "", "line 1: the section is empty");
	/* A NULL view, as for a request without a body. */
	assert_int_equal(
	    policy_section_parse((struct str){0}, 1, &section), STATUS_INVALID);
	assert_string_equal(status_message(), "line 1: the section is empty");
	expect_error("[[[[[[[[[[", "", "line 1: nested more than 8 levels");
}

static void
example_documents_parse(void **state ATTR_UNUSED)
{
	static const char *const paths[] = {
	    "examples/caroni.yaml", "examples/vejradis.yaml"};

	for (unsigned i = 0; i < 2; i++) {
		struct str_buf text = {0};
		struct policy *policy;

		read_file(paths[i], &text);
		policy = load_policy(str_buf_view(&text));
		assert_int_equal(policy->section_count, 4);
		assert_non_null(policy->fleet);
		assert_int_equal(policy->fleet->team_count, 4);
		policy_put(policy);
		str_buf_free(&text);
	}
}

static void
example_document_lookups(void **state ATTR_UNUSED)
{
	struct str_buf text = {0};
	const struct policy_section *section;
	const struct policy_tenant *tenant;
	const struct policy_service *service;
	const struct policy_route *route;
	struct policy *policy;

	read_file("examples/caroni.yaml", &text);
	policy = load_policy(str_buf_view(&text));
	tenant =
	    policy_find_tenant(policy, str_from("store-07-token"), &section);
	assert_non_null(tenant);
	assert_true(str_equal_c(tenant->name, "store-07"));
	assert_true(str_equal_c(section->name, "callers"));
	assert_null(policy_find_tenant(policy, str_from("store-07"), &section));
	section = policy_find_service(policy, str_from("orders.caroni.example"),
	    str_from("POST"), str_from("/print-orders"));
	service = &section->service;
	assert_int_equal(service->target_slots, 4);
	route = policy_find_route(
	    service, str_from("POST"), str_from("/print-orders?x=1"));
	assert_true(str_equal_c(route->name, "print-order"));
	assert_false(route->repeatable);
	assert_true(policy_route_admits(route, tenant->name));
	assert_false(policy_route_admits(route, str_from("warehouse-01")));
	assert_int_equal(
	    policy_find_limit(service, tenant->name)->calls_per_s, 20);
	assert_null(policy_find_limit(service, str_from("warehouse-01")));
	assert_null(policy_find_route(
	    service, str_from("POST"), str_from("/print-ordersx")));
	assert_true(
	    str_has_prefix(policy_refusal_text(service, REFUSAL_RATE_LIMITED),
		str_from("Your store has sent more")));
	assert_true(
	    str_equal_c(policy_refusal_text(service, REFUSAL_MALFORMED_REQUEST),
		refusal_default_text(REFUSAL_MALFORMED_REQUEST)));
	policy_put(policy);
	str_buf_free(&text);
}

static void
patterns_match_with_one_star(void **state ATTR_UNUSED)
{
	assert_true(policy_pattern_matches(str_from("a*c"), str_from("abc")));
	assert_true(policy_pattern_matches(str_from("a*c"), str_from("ac")));
	assert_false(
	    policy_pattern_matches(str_from("ab*bc"), str_from("abc")));
	assert_true(policy_pattern_matches(str_from("*"), str_from("")));
	assert_false(policy_pattern_matches(str_from("a"), str_from("ab")));
}

static void
split_preserves_bytes(void **state ATTR_UNUSED)
{
	struct str rest =
	    str_from("# head\n---\na: 1 \r\n--- \n\n---\nb: 2\n---x\nc");
	struct document_split_part part;
	uint32_t line = 1;

	assert_true(document_split_next(&rest, &line, &part));
	assert_true(str_equal_c(part.text, "a: 1 \r\n"));
	assert_int_equal(part.line, 3);
	assert_true(document_split_next(&rest, &line, &part));
	assert_true(str_equal_c(part.text, "b: 2\n---x\nc"));
	assert_int_equal(part.line, 7);
	assert_false(document_split_next(&rest, &line, &part));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(omitted_fields_get_defaults),
	    cmocka_unit_test(services_share_a_host_by_method_and_path),
	    cmocka_unit_test(value_errors_name_line_and_field),
	    cmocka_unit_test(structure_errors_name_the_line),
	    cmocka_unit_test(example_documents_parse),
	    cmocka_unit_test(example_document_lookups),
	    cmocka_unit_test(patterns_match_with_one_star),
	    cmocka_unit_test(split_preserves_bytes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
