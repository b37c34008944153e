/*
 * Keys of requests that wait: a document withdraws them before the grant, while
 * the connection to the target is made, and before a rejection.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/memory.h"
#include "flow/flow_allowance.h"
#include "support_flow.h"

struct withdrawal {
	struct flow_fixture fixture;
	struct exchange *x;
	struct routes *next; /* the document that follows */
};

static void
add_key(struct accounts *accounts, const char *name, const char *key)
{
	const struct account from = {.name = (char *)name};
	const struct account *account;

	assert_int_equal(accounts_add(accounts, &from, &account), STATUS_OK);
	assert_int_equal(
	    accounts_add_key(accounts, account, str_from(key)), STATUS_OK);
}

/*
 * Opens an entry with a request of account "a" that waits.
 */
static void
open_withdrawal(struct withdrawal *w, bool public)
{
	struct flow *flow;

	flow_fixture_open(&w->fixture, REPEAT_ALLOWED);
	flow = w->fixture.flow;
	w->fixture.routes->accounts = accounts_new();
	add_key(w->fixture.routes->accounts, "a", "k1");
	flow->routes = routes_get(w->fixture.routes);
	w->x = flow_fixture_exchange(&w->fixture);
	w->x->route->public = public;
	assert_true(
	    head_append_name(&w->x->head, STR_LITERAL("authorization")));
	assert_true(head_append_value(&w->x->head, STR_LITERAL("bEARER k1")));
	assert_true(account_authenticate(w->x));
	assert_string_equal(w->x->account->name, "a");
	w->next = routes_new(2);
	w->next->accounts = accounts_new();
}

static void
put_in_force(struct withdrawal *w)
{
	routes_put(w->fixture.flow->routes);
	w->fixture.flow->routes = routes_get(w->next);
}

static void
close_withdrawal(struct withdrawal *w)
{
	routes_put(w->next);
	flow_fixture_close(&w->fixture, w->x);
}

static void
assert_refused(const struct exchange *x)
{
	assert_true(x->ended);
	assert_false(x->close_after);
	assert_memory_equal(x->out.data, "HTTP/1.1 401 ", 13);
	assert_null(strstr(x->out.data, "k1"));
}

static void
withdrawn_before_the_grant(void **state ATTR_UNUSED)
{
	struct withdrawal w;

	open_withdrawal(&w, false);
	put_in_force(&w);
	exchange_on_grant(w.x, "t1", false, 0);
	assert_refused(w.x);
	assert_int_equal(w.x->attempt_count, 0);
	close_withdrawal(&w);
}

static void
withdrawn_while_the_connection_is_made(void **state ATTR_UNUSED)
{
	struct withdrawal w;

	open_withdrawal(&w, false);
	exchange_on_grant(w.x, "t1", false, 0);
	assert_int_equal(w.x->attempt_count, 1);
	put_in_force(&w);
	flow_fixture_run(&w.fixture, 50);
	assert_refused(w.x);
	assert_false(w.x->attempts[0].sent);
	close_withdrawal(&w);
}

/*
 * Lets the request wait for a voter of its account's allowance; none is
 * connected.
 */
static void
wait_for_voter(struct withdrawal *w)
{
	((struct account *)w->x->account)->rate_per_s = 10;
	schedule_ask(w->x, false);
	assert_false(w->x->ended);
	assert_int_equal(w->x->attempt_count, 0);
}

/*
 * Guards against a request that waits for a voter on behalf of a key that is
 * withdrawn.
 */
static void
withdrawn_while_it_waits_for_a_voter(void **state ATTR_UNUSED)
{
	struct withdrawal w;

	open_withdrawal(&w, false);
	wait_for_voter(&w);
	put_in_force(&w);
	allowance_on_document(w.fixture.flow);
	flow_fixture_run(&w.fixture, 50);
	assert_refused(w.x);
	close_withdrawal(&w);
}

/*
 * Guards against a wake that draws for some requests several times instead of
 * for all of them once: one of a withdrawn key waits on.
 */
static void
all_that_wait_for_a_voter_are_woken(void **state ATTR_UNUSED)
{
	struct withdrawal w;
	struct exchange *others[50];
	struct flow_allowance *a;

	open_withdrawal(&w, false);
	a = w.fixture.flow->allowance;
	add_key(w.next->accounts, "a", "k2");
	((struct account *)w.x->account)->rate_per_s = 10;
	for (unsigned i = 0; i < 50; i++) {
		others[i] = flow_fixture_exchange(&w.fixture);
		/* Their key stays in force. */
		assert_true(head_append_name(
		    &others[i]->head, STR_LITERAL("authorization")));
		assert_true(head_append_value(
		    &others[i]->head, STR_LITERAL("bEARER k2")));
		others[i]->account = w.x->account;
		schedule_ask(others[i], false);
	}
	wait_for_voter(&w);
	assert_int_equal(a->waiting.length, 51);
	put_in_force(&w);
	allowance_on_document(w.fixture.flow);
	allowance_wait_tick(a, a->wake_due_us);
	assert_refused(w.x);
	for (unsigned i = 0; i < 50; i++)
		exchange_free(others[i]);
	close_withdrawal(&w);
}

/*
 * Guards against a request that waits for a voter although its key has moved to
 * an account without a limit.
 */
static void
moved_while_it_waits_for_a_voter(void **state ATTR_UNUSED)
{
	struct withdrawal w;

	open_withdrawal(&w, false);
	wait_for_voter(&w);
	add_key(w.next->accounts, "b", "k1");
	put_in_force(&w);
	allowance_on_document(w.fixture.flow);
	flow_fixture_run(&w.fixture, 50);
	assert_string_equal(w.x->account->name, "b");
	assert_int_equal(w.x->attempt_count, 1);
	close_withdrawal(&w);
}

/*
 * Guards against a request that waits for a voter, which may end with "not
 * run", while a connection for its first send is made.
 */
static void
moved_before_a_second_grant(void **state ATTR_UNUSED)
{
	struct withdrawal w;
	struct account *next;

	open_withdrawal(&w, false);
	flow_fixture_announce(&w.fixture, "t2", "127.0.7.250:20");
	exchange_on_grant(w.x, "t1", false, 0);
	assert_int_equal(w.x->attempt_count, 1);
	add_key(w.next->accounts, "b", "k1");
	next =
	    (struct account *)accounts_find(w.next->accounts, str_from("k1"));
	next->rate_per_s = 10;
	put_in_force(&w);
	exchange_on_grant(w.x, "t2", false, 0);
	assert_int_equal(w.fixture.flow->allowance->waiting.length, 0);
	assert_int_equal(w.x->attempt_count, 1);
	assert_false(w.x->ended);
	close_withdrawal(&w);
}

static void
withdrawn_before_the_rejection(void **state ATTR_UNUSED)
{
	struct withdrawal w;

	open_withdrawal(&w, false);
	put_in_force(&w);
	exchange_on_reject(w.x, 0, REJECT_NO_ROOM);
	assert_refused(w.x);
	close_withdrawal(&w);
}

/*
 * A 401 would say that it did not run.
 */
static void
a_sent_request_ends_as_without_the_withdrawal(void **state ATTR_UNUSED)
{
	struct withdrawal w;

	open_withdrawal(&w, false);
	exchange_on_grant(w.x, "t1", false, 0);
	flow_fixture_run(&w.fixture, 50);
	assert_true(w.x->attempts[0].sent);
	put_in_force(&w);
	exchange_refuse(w.x, 503, 0, "stop");
	assert_memory_equal(w.x->out.data, "HTTP/1.1 503 ", 13);
	close_withdrawal(&w);
}

/*
 * The document in force holds the key, for another account, or asks for none.
 */
static void
a_key_that_stays_is_not_refused(void **state ATTR_UNUSED)
{
	for (int i = 0; i < 2; i++) {
		struct withdrawal w;

		open_withdrawal(&w, false);
		if (i == 0) {
			add_key(w.next->accounts, "b", "k1");
		} else {
			accounts_free(w.next->accounts);
			w.next->accounts = NULL;
		}
		put_in_force(&w);
		exchange_on_grant(w.x, "t1", false, 0);
		flow_fixture_run(&w.fixture, 50);
		assert_false(w.x->ended);
		assert_true(w.x->attempts[0].sent);
		close_withdrawal(&w);
	}
}

/*
 * Guards against a request that goes out with the name of the account that had
 * its key before, or without a token of the one that has it now.
 */
static void
a_moved_key_is_the_new_accounts(void **state ATTR_UNUSED)
{
	for (int i = 0; i < 4; i++) {
		const bool limited = i >= 2;
		struct account b = {
		    .name = (char *)"b", .rate_per_s = limited ? 1 : 0};
		const struct account *account;
		const struct str_buf *request;
		struct withdrawal w;

		open_withdrawal(&w, false);
		/* It is known that no voter is there: nothing waits for one. */
		w.fixture.flow->allowance->voter_us -= 1500 * US_PER_MS;
		assert_int_equal(
		    accounts_add(w.next->accounts, &b, &account), STATUS_OK);
		assert_int_equal(accounts_add_key(w.next->accounts, account,
				     STR_LITERAL("k1")),
		    STATUS_OK);
		if (i % 2 == 0)
			put_in_force(&w);
		exchange_on_grant(w.x, "t1", false, 0);
		if (i == 2) {
			/* No voter is known. */
			assert_int_equal(w.x->attempt_count, 0);
			assert_memory_equal(w.x->out.data, "HTTP/1.1 503 ", 13);
		} else if (i % 2 == 1) {
			put_in_force(&w);
		}
		if (!limited) {
			struct upstream *up = w.x->attempts[0].upstream;

			assert_true(target_confirm_request(up));
			request = &up->request;
			assert_null(strstr(request->data, "Account: a"));
			assert_non_null(strstr(request->data, "Account: b"));
		}
		flow_fixture_run(&w.fixture, 50);
		if (i == 3) {
			assert_false(w.x->attempts[0].sent);
			assert_memory_equal(w.x->out.data, "HTTP/1.1 503 ", 13);
		}
		assert_string_equal(w.x->account->name, "b");
		close_withdrawal(&w);
	}
}

/*
 * On a public route the request goes on, without the account's name.
 */
static void
a_public_route_needs_no_key(void **state ATTR_UNUSED)
{
	for (int i = 0; i < 2; i++) {
		struct withdrawal w;
		const struct str_buf *request;

		open_withdrawal(&w, true);
		if (i == 0)
			put_in_force(&w);
		exchange_on_grant(w.x, "t1", false, 0);
		assert_int_equal(w.x->attempt_count, 1);
		request = &w.x->attempts[0].upstream->request;
		assert_true(
		    (strstr(request->data, "Account: a") == NULL) == (i == 0));
		assert_null(strstr(request->data, "k1"));
		put_in_force(&w);
		flow_fixture_run(&w.fixture, 50);
		assert_true(w.x->attempts[0].sent);
		assert_null(w.x->account);
		close_withdrawal(&w);
	}
}

/*
 * Returns the metrics of the entry.
 */
static char *
render(const struct flow *flow)
{
	struct str_buf text = {0};

	flow_render_metrics(flow, &text);
	return text.data;
}

/*
 * Each reason has a counter, and no metric shows a key.
 */
static void
refusals_are_counted_by_reason(void **state ATTR_UNUSED)
{
	static const struct {
		const char *first;
		const char *second;
		enum key_reason reason;
	} cases[] = {
	    {NULL, NULL, KEY_MISSING},
	    {"", NULL, KEY_MISSING},
	    {"Bearer", NULL, KEY_MISSING},
	    {"Bearer k2", NULL, KEY_UNKNOWN},
	    {"Basic k1", NULL, KEY_OTHER_SCHEME},
	    {"k1", NULL, KEY_OTHER_SCHEME},
	    {"Bearer k1", "Bearer k1", KEY_REPEATED},
	    {"Bearer k1", "Basic k1", KEY_REPEATED},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const char *values[] = {cases[i].first, cases[i].second};
		struct withdrawal w;
		int64_t before[KEY_REASONS];
		char *text;

		open_withdrawal(&w, false);
		for (unsigned k = 0; k < KEY_REASONS; k++)
			before[k] =
			    counter_get(w.fixture.flow->keys_refused[k]);
		w.x->account = NULL;
		head_clear(&w.x->head);
		for (unsigned k = 0; k < 2 && values[k] != NULL; k++) {
			assert_true(head_append_name(
			    &w.x->head, STR_LITERAL("Authorization")));
			assert_true(
			    head_append_value(&w.x->head, str_from(values[k])));
		}
		assert_false(account_authenticate(w.x));
		assert_refused(w.x);
		for (unsigned k = 0; k < KEY_REASONS; k++)
			assert_int_equal(
			    counter_get(w.fixture.flow->keys_refused[k]),
			    before[k] + (k == cases[i].reason ? 1 : 0));
		text = render(w.fixture.flow);
		assert_non_null(strstr(text, "{account=\"a\"} 1\n"));
		assert_null(strstr(text, "k1"));
		mem_free(text);
		close_withdrawal(&w);
	}
}

/*
 * More accounts than series: the largest by name, and all in the sum.
 */
static void
requests_are_counted_for_the_largest_accounts(void **state ATTR_UNUSED)
{
	struct flow_fixture fixture;
	struct str_buf text = {0};
	unsigned series = 0;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	for (unsigned i = 1; i <= 20; i++) {
		char name[32];

		snprintf(name, sizeof(name), i == 20 ? "q\"%u" : "a-%u", i);
		for (unsigned k = 0; k < i; k++)
			account_count(fixture.flow, name);
	}
	account_render_counts(fixture.flow, &text);
	for (const char *at = text.data; (at = strstr(at, "{account=")) != NULL;
	     at++)
		series++;
	assert_int_equal(series, 17);
	assert_non_null(strstr(text.data, "{account=\"q\\\"20\"} 20\n"));
	assert_non_null(strstr(text.data, "{account=\"a-5\"} 5\n"));
	assert_null(strstr(text.data, "{account=\"a-4\"}"));
	assert_non_null(strstr(text.data, "{account=\"other\"} 10\n"));
	str_buf_free(&text);
	fixture.flow->routes = routes_get(fixture.routes);
	account_counts_prune(fixture.flow);
	account_render_counts(fixture.flow, &text);
	assert_non_null(strstr(text.data, "{account=\"other\"} 210\n"));
	str_buf_free(&text);
	flow_fixture_close(&fixture, NULL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(withdrawn_before_the_grant),
	    cmocka_unit_test(withdrawn_while_the_connection_is_made),
	    cmocka_unit_test(withdrawn_while_it_waits_for_a_voter),
	    cmocka_unit_test(all_that_wait_for_a_voter_are_woken),
	    cmocka_unit_test(moved_while_it_waits_for_a_voter),
	    cmocka_unit_test(moved_before_a_second_grant),
	    cmocka_unit_test(withdrawn_before_the_rejection),
	    cmocka_unit_test(a_sent_request_ends_as_without_the_withdrawal),
	    cmocka_unit_test(a_key_that_stays_is_not_refused),
	    cmocka_unit_test(a_moved_key_is_the_new_accounts),
	    cmocka_unit_test(a_public_route_needs_no_key),
	    cmocka_unit_test(refusals_are_counted_by_reason),
	    cmocka_unit_test(requests_are_counted_for_the_largest_accounts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
