/*
 * Requests by client account.  The largest accounts are rendered by name and
 * the others together, so that the number of series is bounded.
 */
#include <inttypes.h>
#include <string.h>

#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	NAMED_ACCOUNTS = 16
};

static const char metric[] = "gypsummill_flow_account_requests_total";

struct account_requests {
	char *name;
	uint64_t count;
};

static void
requests_free(void *value)
{
	struct account_requests *requests = value;

	mem_free(requests->name);
	mem_free(requests);
}

void
account_counts_open(struct flow *flow)
{
	flow->account_requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, requests_free);
}

void
account_counts_close(struct flow *flow)
{
	g_hash_table_destroy(flow->account_requests);
}

/*
 * Counts a request of an account.
 */
void
account_count(struct flow *flow, const char *name)
{
	struct account_requests *requests =
	    g_hash_table_lookup(flow->account_requests, name);

	if (requests == NULL) {
		requests = mem_calloc(1, sizeof(*requests));
		requests->name = str_dup(str_from(name));
		g_hash_table_insert(
		    flow->account_requests, requests->name, requests);
	}
	requests->count++;
}

/*
 * Forgets the accounts that a new document doesn't hold, since documents may
 * name ever new ones.  Their requests stay in the sum.
 */
void
account_counts_prune(struct flow *flow)
{
	const struct accounts *accounts = flow->routes->accounts;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->account_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct account_requests *requests = value;

		if (accounts != NULL &&
		    accounts_find_name(accounts, requests->name) != NULL)
			continue;
		flow->other_account_requests += requests->count;
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Inserts an account into a list of the largest ones, in descending order;
 * those with the same count are ordered by name.  Returns the new length.
 */
static unsigned
insert_largest(const struct account_requests *largest[NAMED_ACCOUNTS],
    unsigned count, const struct account_requests *requests)
{
	unsigned at = count;

	while (at > 0 &&
	    (requests->count > largest[at - 1]->count ||
		(requests->count == largest[at - 1]->count &&
		    strcmp(requests->name, largest[at - 1]->name) < 0)))
		at--;
	if (at == NAMED_ACCOUNTS)
		return count;
	if (count < NAMED_ACCOUNTS)
		count++;
	memmove(&largest[at + 1], &largest[at],
	    (count - at - 1) * sizeof(largest[0]));
	largest[at] = requests;
	return count;
}

static void
render_series(struct str_buf *out, const char *name, uint64_t count)
{
	str_buf_printf(out, "%s{account=\"", metric);
	for (; *name != '\0'; name++)
		str_buf_printf(out, "%s%c",
		    *name == '"' || *name == '\\' ? "\\" : "", *name);
	str_buf_printf(out, "\"} %" PRIu64 "\n", count);
}

/*
 * Appends the counts in Prometheus text format; nothing if no request had an
 * account.
 */
void
account_render_counts(const struct flow *flow, struct str_buf *out)
{
	const struct account_requests *largest[NAMED_ACCOUNTS];
	uint64_t other = flow->other_account_requests;
	unsigned count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->account_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct account_requests *requests = value;

		other += requests->count;
		count = insert_largest(largest, count, requests);
	}
	if (other == 0)
		return;
	str_buf_printf(out,
	    "# HELP %s Requests by client account (count)\n"
	    "# TYPE %s counter\n",
	    metric, metric);
	for (unsigned i = 0; i < count; i++) {
		other -= largest[i]->count;
		render_series(out, largest[i]->name, largest[i]->count);
	}
	render_series(out, "other", other);
}
