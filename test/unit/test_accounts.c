/*
 * Client accounts of a configuration: what is refused, with messages that name
 * accounts and never a key, and which account a key belongs to.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/memory.h"
#include "platform/platform_json.h"

/* In each key of the tests, and in no other text. */
#define SECRET "s3cr3t"

static const char document[] =
    "{\"version\":1,\"services\":[{\"name\":\"svc\"}],%s"
    "\"limits\":{\"max_header_bytes\":1,\"max_body_bytes\":1,"
    "\"header_timeout_ms\":1,\"idle_timeout_ms\":1},\"hosts\":[{\"host\":"
    "\"h\",\"paths\":[{\"path_prefix\":\"/\",\"kind\":\"safe\","
    "\"timeout_ms\":1000,\"service\":\"svc\"},{\"path_prefix\":\"/p/\","
    "\"kind\":\"safe\",\"timeout_ms\":1000,\"service\":\"svc\",\"public\":%s}"
    "]}]}";

/*
 * Reads a configuration with the given field of accounts, which may be empty.
 */
static struct routes *
read_document(const char *accounts, const char *public)
{
	struct str_buf text = {0};
	struct routes *routes = NULL;
	enum status status;

	str_buf_printf(&text, document, accounts, public);
	status = platform_document_read(str_buf_view(&text), &routes);
	str_buf_free(&text);
	assert_int_equal(status == STATUS_OK, routes != NULL);
	return routes;
}

/*
 * Each of them would let a key stand for two accounts or none, or break a
 * header.
 */
static void
invalid_accounts_are_refused_by_place(void **state ATTR_UNUSED)
{
	static const struct {
		const char *accounts;
		const char *where; /* in the message */
	} cases[] = {
	    {"{}", "\"tenants\""},
	    {"null", "\"tenants\""},
	    {"\"" SECRET "\"", "\"tenants\""},
	    {"[{\"name\":\"a\"},7]", "tenants[1]"},
	    {"[{\"api_keys\":[\"" SECRET "\"]}]", "tenants[0]"},
	    {"[{\"name\":\"a\"},{\"name\":\"\"}]", "tenants[1]"},
	    {"[{\"name\":5}]", "tenants[0]"},
	    {"[{\"name\":\"a b\"}]", "tenants[0]"},
	    {"[{\"name\":\"a\\r\\nX-Y: z\"}]", "tenants[0]"},
	    {"[{\"name\":\"a\\u0000b\"}]", "tenants[0]"},
	    {"[{\"name\":\"\\u00e4\"}]", "tenants[0]"},
	    {"[{\"name\":\"a\"},{\"name\":\"a\"}]", "\"a\" stands twice"},
	    {"[{\"name\":\"a\",\"api_keys\":[\"" SECRET "\"]},{\"name\":\"b\","
	     "\"api_keys\":[\"" SECRET "2\",\"" SECRET "\"]}]",
		"accounts \"a\" and \"b\""},
	    {"[{\"name\":\"a\",\"api_keys\":[\"" SECRET "\",\"\"]}]", "\"a\""},
	    {"[{\"name\":\"a\",\"api_keys\":[\"" SECRET " x\"]}]", "\"a\""},
	    {"[{\"name\":\"a\",\"api_keys\":[\"" SECRET "\\u0000\"]}]",
		"\"a\""},
	    {"[{\"name\":\"a\",\"api_keys\":[\"" SECRET "\\u00e4\"]}]",
		"\"a\""},
	    {"[{\"name\":\"a\",\"api_keys\":[\"" SECRET "\\n\"]}]", "\"a\""},
	    {"[{\"name\":\"a\",\"api_keys\":[7]}]", "a: \"api_keys\""},
	    {"[{\"name\":\"a\",\"api_keys\":\"" SECRET "\"}]",
		"a: \"api_keys\""},
	    {"[{\"name\":\"a\",\"rate_per_s\":-1}]", "a: \"rate_per_s\""},
	    {"[{\"name\":\"a\",\"rate_per_s\":1e400}]", "a: \"rate_per_s\""},
	    {"[{\"name\":\"a\",\"rate_per_s\":\"5\"}]", "a: \"rate_per_s\""},
	    {"[{\"name\":\"a\",\"burst\":-0.1}]", "a: \"burst\""},
	    {"[{\"name\":\"a\",\"burst\":1e400}]", "a: \"burst\""},
	    {"[{\"name\":\"a\",\"priority\":-1}]", "a: \"priority\""},
	    {"[{\"name\":\"a\",\"priority\":\"high\"}]", "a: \"priority\""},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct str_buf field = {0};

		str_buf_printf(&field, "\"tenants\":%s,", cases[i].accounts);
		assert_null(read_document(field.data, "false"));
		if (strstr(status_message(), cases[i].where) == NULL)
			fail_msg("%s: %s", cases[i].accounts, status_message());
		assert_null(strstr(status_message(), SECRET));
		str_buf_free(&field);
	}
}

/*
 * Builds one account with a name and a key of the given lengths.
 */
static struct routes *
read_lengths(int name, int key)
{
	struct str_buf field = {0};
	struct routes *routes;

	str_buf_printf(&field,
	    "\"tenants\":[{\"name\":\"%0*d\",\"api_keys\":[\"%0*d\"]}],", name,
	    7, key, 9);
	routes = read_document(field.data, "false");
	str_buf_free(&field);
	return routes;
}

static void
lengths_are_bounded(void **state ATTR_UNUSED)
{
	struct routes *routes =
	    read_lengths(ACCOUNT_NAME_MAX_BYTES, ACCOUNT_KEY_MAX_BYTES);

	assert_non_null(routes);
	routes_put(routes);
	assert_null(read_lengths(ACCOUNT_NAME_MAX_BYTES + 1, 1));
	assert_null(read_lengths(1, ACCOUNT_KEY_MAX_BYTES + 1));
	assert_null(strstr(status_message(), "000"));
}

static void
accounts_are_read_with_their_fields(void **state ATTR_UNUSED)
{
	struct routes *routes = read_document(
	    "\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\",\"k1\"],"
	    "\"priority\":0,\"rate_per_s\":2.5,\"burst\":7},{\"name\":\"b\","
	    "\"api_keys\":[\"k3\"]},{\"name\":\"c\"}],",
	    "true");
	const struct account *a, *b;

	assert_non_null(routes);
	assert_int_equal(accounts_count(routes->accounts), 3);
	a = accounts_find(routes->accounts, str_from("k2"));
	b = accounts_find(routes->accounts, str_from("k3"));
	assert_string_equal(a->name, "a");
	assert_ptr_equal(accounts_find(routes->accounts, str_from("k1")), a);
	assert_true(a->has_rank && a->rank == 0);
	assert_true(a->rate_per_s == 2.5 && a->burst == 7);
	assert_string_equal(b->name, "b");
	assert_false(b->has_rank);
	assert_true(b->rate_per_s == 0 && b->burst == 0);
	assert_int_equal(a->id, (uint32_t)str_hash(str_from("a")));
	assert_null(accounts_find(routes->accounts, str_from("k")));
	assert_null(accounts_find(routes->accounts, str_from("k11")));
	assert_null(accounts_find(routes->accounts, str_from("K1")));
	assert_null(accounts_find(routes->accounts, str_from("")));
	assert_false(
	    routes_find(routes, str_from("h"), str_from("/x"))->public);
	assert_true(
	    routes_find(routes, str_from("h"), str_from("/p/x"))->public);
	routes_put(routes);
}

/*
 * An empty list asks for keys that nobody has; a missing one must not.
 */
static void
an_empty_list_is_not_a_missing_one(void **state ATTR_UNUSED)
{
	struct routes *routes = read_document("\"tenants\":[],", "false");

	assert_non_null(routes->accounts);
	assert_null(accounts_find(routes->accounts, str_from("k")));
	routes_put(routes);
	assert_null(read_document("\"tenants\":[],", "\"no\""));
	routes = read_document("", "\"no\"");
	assert_null(routes->accounts);
	routes_put(routes);
}

/*
 * Growing the table must lose no key, and its bounds hold.
 */
static void
a_full_table_finds_each_key(void **state ATTR_UNUSED)
{
	struct accounts *accounts = accounts_new();
	struct account from = {0};
	const struct account *account = NULL;
	char text[32];

	for (unsigned i = 0; i <= ACCOUNTS_MAX; i++) {
		snprintf(text, sizeof(text), "account-%u", i);
		from.name = text;
		assert_int_equal(accounts_add(accounts, &from, &account),
		    i < ACCOUNTS_MAX ? STATUS_OK : STATUS_INVALID);
	}
	for (unsigned i = 0; i <= ACCOUNT_KEYS_MAX; i++) {
		snprintf(text, sizeof(text), SECRET "-%u", i);
		assert_int_equal(
		    accounts_add_key(accounts, account, str_from(text)),
		    i < ACCOUNT_KEYS_MAX ? STATUS_OK : STATUS_INVALID);
	}
	assert_null(strstr(status_message(), SECRET));
	for (unsigned i = 0; i <= ACCOUNT_KEYS_MAX; i++) {
		snprintf(text, sizeof(text), SECRET "-%u", i);
		assert_ptr_equal(accounts_find(accounts, str_from(text)),
		    i < ACCOUNT_KEYS_MAX ? account : NULL);
	}
	accounts_free(accounts);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(invalid_accounts_are_refused_by_place),
	    cmocka_unit_test(lengths_are_bounded),
	    cmocka_unit_test(accounts_are_read_with_their_fields),
	    cmocka_unit_test(an_empty_list_is_not_a_missing_one),
	    cmocka_unit_test(a_full_table_finds_each_key),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
