/*
 * The check of a document and the comparison of two.  A finding that is missed
 * lets an operator put a document in force that serves nobody; one that is
 * wrong teaches them to ignore the check.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/memory.h"
#include "routing/routes_check.h"
#include "routing/routes_diff.h"

static const struct routes_check_options unknown = {.repeat_ratio = -1};

/* A route of the tests, valid unless the test changes it. */
static struct route
make_route(const char *prefix)
{
	return (struct route){.name = (char *)"r",
	    .host = (char *)"h.example",
	    .prefix = str_from(prefix),
	    .timeout_ms = 1000,
	    .objective_ms = 500,
	    .max_attempts = 2};
}

static struct route *
add_route(struct routes *routes, const struct route *from, double weight)
{
	struct route *route;

	assert_int_equal(routes_add(routes, from, &route), STATUS_OK);
	assert_int_equal(
	    routes_add_destination(routes, route, "svc", weight), STATUS_OK);
	return route;
}

static struct routes *
make_routes(void)
{
	struct routes *routes = routes_new(1);

	routes->limits.max_header_bytes = 1000;
	assert_int_equal(routes_add_service(routes, "svc", "/", 10), STATUS_OK);
	return routes;
}

static const struct account *
add_account(struct routes *routes, const char *name, const char *key,
    double rate, double burst)
{
	const struct account from = {
	    .name = (char *)name, .rate_per_s = rate, .burst = burst};
	const struct account *account;

	if (routes->accounts == NULL)
		routes->accounts = accounts_new();
	assert_int_equal(
	    accounts_add(routes->accounts, &from, &account), STATUS_OK);
	if (key != NULL)
		assert_int_equal(
		    accounts_add_key(routes->accounts, account, str_from(key)),
		    STATUS_OK);
	return account;
}

/* Asserts that the report is this one line, or empty for NULL; frees it. */
static void
assert_line(GPtrArray *report, enum report_kind kind, const char *part)
{
	const struct report_line *line;

	if (part == NULL) {
		assert_int_equal(report->len, 0);
	} else {
		assert_int_equal(report->len, 1);
		line = report->pdata[0];
		assert_int_equal(line->kind, kind);
		if (strstr(line->text, part) == NULL)
			fail_msg("\"%s\" is not in \"%s\"", part, line->text);
	}
	g_ptr_array_unref(report);
}

static void
check_one(struct routes *routes, const struct routes_check_options *options,
    enum report_kind kind, const char *part)
{
	GPtrArray *report = report_new();

	routes_check(routes, options, report);
	assert_line(report, kind, part);
	routes_put(routes);
}

/* Names that the lookup of a request can't find, beside one that it can. */
static void
unmatched_places_are_found(void **state ATTR_UNUSED)
{
	static const struct {
		const char *host;
		const char *prefix;
		enum report_kind kind;
		const char *part;
	} cases[] = {
	    {"H.Example", "/", REPORT_ERROR, NULL},
	    {"h.example:80", "/", REPORT_ERROR, "without port"},
	    {"*.example", "/", REPORT_WARNING, "wildcards"},
	    {"h.example", "/a?b", REPORT_WARNING, "no path"},
	    {"h.example", "/a b", REPORT_WARNING, "no path"},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct routes *routes = make_routes();
		struct route from = make_route(cases[i].prefix);

		from.host = (char *)cases[i].host;
		(void)add_route(routes, &from, 1);
		check_one(routes, &unknown, cases[i].kind, cases[i].part);
	}
}

/* One service gets all requests with any weight; two with 0 get none. */
static void
weights_of_nothing_are_found(void **state ATTR_UNUSED)
{
	static const struct {
		double first;
		double second; /* below 0: none */
		enum report_kind kind;
		const char *part;
	} cases[] = {
	    {1, -1, REPORT_ERROR, NULL},
	    {0, -1, REPORT_WARNING, "no effect"},
	    {0, 1, REPORT_ERROR, NULL},
	    {0, 0, REPORT_ERROR, "all weights are 0"},
	    {1e308, 1e308, REPORT_ERROR, "not finite"},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct routes *routes = make_routes();
		struct route from = make_route("/");
		struct route other = make_route("/other");
		struct route *route = add_route(routes, &from, cases[i].first);

		/* Both services are used by another route. */
		assert_int_equal(
		    routes_add_service(routes, "two", "/", 1), STATUS_OK);
		assert_int_equal(routes_add_destination(routes,
				     add_route(routes, &other, 1), "two", 1),
		    STATUS_OK);
		if (cases[i].second >= 0)
			assert_int_equal(routes_add_destination(routes, route,
					     "two", cases[i].second),
			    STATUS_OK);
		check_one(routes, &unknown, cases[i].kind, cases[i].part);
	}
}

/* One line for a service, however often it stands in the split. */
static void
repeated_service_is_told_once(void **state ATTR_UNUSED)
{
	struct routes *routes = make_routes();
	struct route from = make_route("/");
	struct route *route = add_route(routes, &from, 1);

	for (unsigned i = 0; i < 3; i++)
		assert_int_equal(
		    routes_add_destination(routes, route, "svc", 1), STATUS_OK);
	check_one(routes, &unknown, REPORT_WARNING, "more than once");
}

static void
contradicting_limits_are_found(void **state ATTR_UNUSED)
{
	struct routes_check_options no_repeats = unknown;
	struct routes *routes = make_routes();
	struct route from = make_route("/");

	from.objective_ms = 1001;
	(void)add_route(routes, &from, 1);
	check_one(routes, &unknown, REPORT_WARNING, "below the objective");

	no_repeats.repeat_ratio = 0;
	routes = make_routes();
	from = make_route("/");
	(void)add_route(routes, &from, 1);
	check_one(routes, &no_repeats, REPORT_WARNING, "no second one");
	no_repeats.repeat_slack = 10;
	routes = make_routes();
	(void)add_route(routes, &from, 1);
	check_one(routes, &no_repeats, REPORT_WARNING, NULL);

	routes = make_routes();
	(void)add_route(routes, &from, 1);
	routes_set_warmup(routes, "svc", 0, 5);
	check_one(routes, &unknown, REPORT_WARNING, "without a warm-up time");

	routes = make_routes();
	(void)add_route(routes, &from, 1);
	assert_int_equal(routes_add_service(routes, "idle", "/", 1), STATUS_OK);
	check_one(routes, &unknown, REPORT_WARNING, "no route sends");

	routes = make_routes();
	(void)add_route(routes, &from, 1);
	routes->limits.max_header_bytes = 30;
	check_one(routes, &unknown, REPORT_ERROR, "no request fits");
}

static void
contradicting_accounts_are_found(void **state ATTR_UNUSED)
{
	static const struct {
		const char *key;
		double rate;
		double burst;
		uint64_t header_bytes;
		enum report_kind kind;
		const char *part;
	} cases[] = {
	    {"key", 5, 5, 1000, REPORT_ERROR, NULL},
	    {"key", 5, 0, 1000, REPORT_WARNING, "burst of 0"},
	    {"key", 0, 5, 1000, REPORT_WARNING, "limits nothing"},
	    {"key", 5, 5, 40, REPORT_ERROR, "longest key"},
	    {"key", 11, 5, 1000, REPORT_WARNING, "its rate of 11"},
	    {NULL, 5, 5, 1000, REPORT_WARNING, "it has no key"},
	};
	struct routes_check_options options = unknown;
	double able = 10;

	options.key_header_bytes = 20;
	options.capacity = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(options.capacity, (gpointer) "svc", &able);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct routes *routes = make_routes();
		struct route from = make_route("/");
		bool is_over = cases[i].rate > able;

		(void)add_route(routes, &from, 1);
		(void)add_account(routes, "acme", cases[i].key, cases[i].rate,
		    cases[i].burst);
		if (cases[i].key == NULL)
			(void)add_account(routes, "other", "k", 0, 0);
		routes->limits.max_header_bytes = cases[i].header_bytes;
		if (is_over) {
			GPtrArray *report = report_new();

			/* Also the sum is above it. */
			routes_check(routes, &options, report);
			assert_int_equal(report->len, 2);
			g_ptr_array_remove_index(report, 1);
			assert_line(report, cases[i].kind, cases[i].part);
			routes_put(routes);
		} else
			check_one(
			    routes, &options, cases[i].kind, cases[i].part);
	}
	g_hash_table_destroy(options.capacity);
}

static void
compare_one(struct routes *before, struct routes *after, const char *part)
{
	GPtrArray *report = report_new();

	routes_diff(before, after, report);
	assert_line(report, REPORT_CHANGED, part);
	routes_put(after);
}

/* Also a key that moves to another account is told by numbers only. */
static void
differences_are_complete(void **state ATTR_UNUSED)
{
	struct routes *before = make_routes();
	struct routes *after = make_routes();
	struct route from = make_route("/");
	GPtrArray *report = report_new();

	(void)add_route(before, &from, 1);
	(void)add_account(before, "a", "moved", 0, 0);
	(void)add_account(before, "b", NULL, 0, 0);
	(void)add_route(after, &from, 1);
	(void)add_account(after, "a", NULL, 0, 0);
	(void)add_account(after, "b", "moved", 0, 0);
	routes_diff(before, before, report);
	assert_int_equal(report->len, 0);
	routes_diff(before, after, report);
	assert_int_equal(report->len, 2);
	assert_string_equal(((struct report_line *)report->pdata[0])->text,
	    "keys withdrawn: 1");
	assert_string_equal(
	    ((struct report_line *)report->pdata[1])->text, "keys added: 1");
	g_ptr_array_unref(report);
	routes_put(after);
	routes_put(before);

	before = make_routes();
	(void)add_route(before, &from, 1);
	after = make_routes();
	from.host = (char *)"H.example";
	from.timeout_ms = 2000;
	(void)add_route(after, &from, 1);
	compare_one(before, after, "timeout ms 1000 -> 2000");
	after = make_routes();
	from.timeout_ms = 1000;
	(void)add_route(after, &from, 2);
	compare_one(before, after, "services \"svc 1\" -> \"svc 2\"");
	routes_put(before);
}

/* A route's host goes with its last route. */
static void
added_and_removed_hosts_are_told(void **state ATTR_UNUSED)
{
	static const enum report_kind kinds[] = {
	    REPORT_REMOVED, REPORT_ADDED, REPORT_REMOVED, REPORT_ADDED};
	struct routes *before = make_routes();
	struct routes *after = make_routes();
	struct route from = make_route("/");
	GPtrArray *report = report_new();

	(void)add_route(before, &from, 1);
	from.host = (char *)"i.example";
	(void)add_route(after, &from, 1);
	routes_diff(before, after, report);
	assert_int_equal(report->len, 4);
	for (guint i = 0; i < report->len; i++)
		assert_int_equal(
		    ((struct report_line *)report->pdata[i])->kind, kinds[i]);
	g_ptr_array_unref(report);
	routes_put(before);
	routes_put(after);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(unmatched_places_are_found),
	    cmocka_unit_test(weights_of_nothing_are_found),
	    cmocka_unit_test(repeated_service_is_told_once),
	    cmocka_unit_test(contradicting_limits_are_found),
	    cmocka_unit_test(contradicting_accounts_are_found),
	    cmocka_unit_test(differences_are_complete),
	    cmocka_unit_test(added_and_removed_hosts_are_told),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
