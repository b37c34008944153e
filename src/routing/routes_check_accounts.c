#include "routing/routes_check_accounts.h"

#include <inttypes.h>
#include <string.h>

/* The shortest method and header lines around the prefix and the host. */
#define HEAD_REST "GET  HTTP/1.1\r\nHost:\r\n\r\n"

struct key_sizes {
	unsigned count;
	size_t longest;
};

static void
on_key(void *ctx, const struct account *account, struct str key)
{
	GHashTable *sizes = ctx;
	struct key_sizes *of = g_hash_table_lookup(sizes, account);

	if (of == NULL) {
		of = g_new0(struct key_sizes, 1);
		g_hash_table_insert(sizes, (gpointer)account, of);
	}
	of->count++;
	of->longest = MAX(of->longest, key.len);
}

/*
 * Returns the bytes of the shortest head of a request that matches a route.
 */
size_t
routes_head_bytes(const struct route *route)
{
	return strlen(HEAD_REST) + route->prefix.len + strlen(route->host);
}

/*
 * Returns the bytes of the shortest head of all routes that need a key, or 0 if
 * there is no such route.
 */
static size_t
shortest_head(const GPtrArray *list)
{
	size_t shortest = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct route *route = list->pdata[i];
		size_t bytes = routes_head_bytes(route);

		if (!route->public && (shortest == 0 || bytes < shortest))
			shortest = bytes;
	}
	return shortest;
}

/*
 * Adds up the capacity of the services.  Returns false if that of any is not
 * known.
 */
static bool
add_up_capacity(const struct routes *routes, GHashTable *capacity, double *sum)
{
	GHashTableIter iter;
	gpointer name;

	*sum = 0;
	if (capacity == NULL)
		return false;
	g_hash_table_iter_init(&iter, routes->services);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		const double *one = g_hash_table_lookup(capacity, name);

		if (one == NULL)
			return false;
		*sum += *one;
	}
	return true;
}

/*
 * Checks the allowance of an account.
 */
static void
check_allowance(const struct account *account, GPtrArray *report)
{
	if (account->rate_per_s > 0 && account->burst <= 0)
		report_add(report, REPORT_WARNING, REPORT_ACCOUNT, NULL,
		    account->name,
		    "a rate with a burst of 0: requests that come at the same "
		    "time are refused below the rate");
	if (account->rate_per_s <= 0 && account->burst > 0)
		report_add(report, REPORT_WARNING, REPORT_ACCOUNT, NULL,
		    account->name, "a burst without a rate limits nothing");
}

/*
 * Checks the keys of an account.
 */
static void
check_keys(const struct routes *routes, const struct account *account,
    const struct key_sizes *sizes, size_t other_bytes, GPtrArray *report)
{
	if (sizes == NULL)
		report_add(report, REPORT_WARNING, REPORT_ACCOUNT, NULL,
		    account->name, "it has no key: no request belongs to it");
	else if (other_bytes + sizes->longest > routes->limits.max_header_bytes)
		report_add(report, REPORT_ERROR, REPORT_ACCOUNT, NULL,
		    account->name,
		    "a request with its longest key has a header of at least "
		    "%zu bytes, the limit is %" PRIu64,
		    other_bytes + sizes->longest,
		    routes->limits.max_header_bytes);
}

/*
 * Compares the allowances with what the targets can do.
 */
static void
check_capacity(const struct routes *routes, const GPtrArray *accounts,
    GHashTable *capacity, GPtrArray *report)
{
	double able;
	double sum = 0;

	if (!add_up_capacity(routes, capacity, &able))
		return;
	for (guint i = 0; i < accounts->len; i++) {
		const struct account *account = accounts->pdata[i];

		sum += account->rate_per_s;
		if (account->rate_per_s > able)
			report_add(report, REPORT_WARNING, REPORT_ACCOUNT, NULL,
			    account->name,
			    "its rate of %g requests/s is above the %g that "
			    "the targets can do",
			    account->rate_per_s, able);
	}
	if (sum > able)
		report_add(report, REPORT_WARNING, REPORT_DOCUMENT, NULL, NULL,
		    "the rates of all accounts are %g requests/s, the targets "
		    "can do %g",
		    sum, able);
}

/*
 * Checks the accounts; see routes_check_accounts.h.
 */
void
routes_check_accounts(const struct routes *routes, const GPtrArray *list,
    const struct routes_check_options *options, GPtrArray *report)
{
	GHashTable *sizes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GPtrArray *accounts = accounts_list(routes->accounts);
	size_t head = shortest_head(list);

	accounts_for_each_key(routes->accounts, on_key, sizes);
	if (g_hash_table_size(sizes) == 0 && head > 0)
		report_add(report, REPORT_ERROR, REPORT_DOCUMENT, NULL, NULL,
		    "there is no key: every request on a route that isn't "
		    "public gets 401");
	for (guint i = 0; i < accounts->len; i++) {
		const struct account *account = accounts->pdata[i];

		check_allowance(account, report);
		check_keys(routes, account, g_hash_table_lookup(sizes, account),
		    head + options->key_header_bytes, report);
	}
	check_capacity(routes, accounts, options->capacity, report);
	g_ptr_array_unref(accounts);
	g_hash_table_destroy(sizes);
}
