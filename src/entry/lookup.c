#include "entry/lookup.h"

#include <string.h>

#include "base/random.h"
#include "base/web.h"

enum {
	CHOSEN_MAX = 4,
	CANDIDATES_MAX = 64,
	SERVICE_BYTES = 128
};

/* Returns whether an entry of the same failure domain was chosen already. */
static bool
domain_is_chosen(const struct view_entry **chosen, unsigned count,
    const struct view_entry *entry)
{
	for (unsigned i = 0; i < count; i++) {
		if (strcmp(chosen[i]->failure_domain, entry->failure_domain) ==
		    0)
			return true;
	}
	return false;
}

/*
 * Returns the weight of an entry in a draw.  It is never 0, so that an entry
 * without spare capacity is still chosen occasionally.
 */
static uint64_t
entry_weight(const struct view_entry *entry)
{
	return (uint64_t)entry->spare_eighths * 2 + 1;
}

/*
 * Draws a candidate, from any failure domain if any_domain is set, else only
 * from one that is not chosen yet.  Returns its index, or -1 for none.
 */
static int
draw_candidate(const struct view_entry **candidates, unsigned count,
    const struct view_entry **chosen, unsigned chosen_count, bool any_domain,
    struct random *random)
{
	uint64_t sum = 0;
	uint64_t at;

	for (unsigned i = 0; i < count; i++) {
		if (any_domain ||
		    !domain_is_chosen(chosen, chosen_count, candidates[i]))
			sum += entry_weight(candidates[i]);
	}
	if (sum == 0)
		return -1;
	at = random_below(random, sum);
	for (unsigned i = 0; i < count; i++) {
		uint64_t weight = entry_weight(candidates[i]);

		if (!any_domain &&
		    domain_is_chosen(chosen, chosen_count, candidates[i]))
			continue;
		if (at < weight)
			return (int)i;
		at -= weight;
	}
	return -1;
}

/*
 * Chooses up to max entries in the order in which they should be used.
 */
unsigned
lookup_choose(const struct view_entry *entries, unsigned count, uint64_t seed,
    const struct view_entry **chosen, unsigned max)
{
	const struct view_entry *candidates[CANDIDATES_MAX] = {0};
	struct random random;
	unsigned left = 0;
	unsigned chosen_count = 0;

	random_seed(&random, seed);
	for (unsigned i = 0; i < count && left < CANDIDATES_MAX; i++) {
		if (!entries[i].leaving)
			candidates[left++] = &entries[i];
	}
	while (chosen_count < max && left > 0) {
		int at = draw_candidate(
		    candidates, left, chosen, chosen_count, false, &random);

		if (at < 0)
			at = draw_candidate(candidates, left, chosen,
			    chosen_count, true, &random);
		if (at < 0)
			break;
		chosen[chosen_count++] = candidates[at];
		candidates[at] = candidates[--left];
	}
	return chosen_count;
}

/*
 * Sends the chosen entries in the order of their use, and how long (ms) the
 * answer may be cached; returns the HTTP status.
 */
static int
answer_entries(struct mg_connection *conn, const char *service,
    const struct view_entry **chosen, unsigned count, uint64_t keep_ms)
{
	struct str_buf body = {0};
	struct web_reply reply = {
	    .status = 200, .content_type = "application/json"};

	str_buf_printf(&body, "{\"service\":\"%s\",\"entries\":[", service);
	for (unsigned i = 0; i < count; i++)
		str_buf_printf(&body,
		    "%s{\"name\":\"%s\",\"address\":\"%s\","
		    "\"failure_domain\":\"%s\"}",
		    i > 0 ? "," : "", chosen[i]->name, chosen[i]->address,
		    chosen[i]->failure_domain);
	str_buf_printf(
	    &body, "],\"keep_ms\":%llu}\n", (unsigned long long)keep_ms);
	reply.body = str_buf_view(&body);
	web_answer(conn, &reply);
	str_buf_free(&body);
	return reply.status;
}

/* Refuses a lookup with outcome "not-run".  Returns the HTTP status. */
static int
answer_problem(struct mg_connection *conn, enum refusal_reason reason)
{
	struct str_buf body = {0};
	struct web_reply reply = {
	    .status = refusal_http_status(reason),
	    .content_type = "application/problem+json",
	};

	str_buf_printf(&body,
	    "{\"title\":\"%s\",\"status\":%d,\"code\":\"%s\","
	    "\"outcome\":\"not-run\"}\n",
	    refusal_default_text(reason), reply.status,
	    refusal_reason_name(reason));
	reply.headers = reply.status == 503 ? "Retry-After: 1\r\n" : NULL;
	reply.body = str_buf_view(&body);
	web_answer(conn, &reply);
	str_buf_free(&body);
	return reply.status;
}

/*
 * Answers a lookup from the view.  Without a lease, or without entries to
 * choose from, the entry returns only itself; without a lease only for
 * services that are served while cut off from control.
 */
static int
answer_lookup(struct entry *entry, struct mg_connection *conn,
    const struct view *view, const char *service)
{
	const struct view_entry *chosen[CHOSEN_MAX];
	const struct policy_section *section =
	    policy_find_service_by_name(view->policy, str_from(service));
	struct view_entry self = {.spare_eighths = 1};
	unsigned count;

	if (section == NULL)
		return answer_problem(conn, REFUSAL_UNKNOWN_SERVICE);
	if (entry_has_lease(entry)) {
		count = lookup_choose(view->entries, view->entry_count,
		    entry->seed ^ atomic_fetch_add(&entry->lookup_draws, 1),
		    chosen, CHOSEN_MAX);
		if (count > 0)
			return answer_entries(conn, service, chosen, count,
			    view->policy->fleet->lookup_cache_ms);
	}
	if (atomic_load(&entry->leaving))
		return answer_problem(conn, REFUSAL_ENTRY_LEAVING);
	if (!entry_has_lease(entry) &&
	    section->service.cut_off != POLICY_CUT_OFF_SERVE)
		return answer_problem(conn, REFUSAL_ENTRY_CUT_OFF);
	/* The state of other entries is unknown: return only this one. */
	strncpy(self.name, entry->name, sizeof(self.name) - 1);
	strncpy(self.address, entry->address, sizeof(self.address) - 1);
	strncpy(self.failure_domain, entry->failure_domain,
	    sizeof(self.failure_domain) - 1);
	chosen[0] = &self;
	return answer_entries(
	    conn, service, chosen, 1, view->policy->fleet->lookup_cache_ms);
}

/*
 * Serves a lookup request; returns the HTTP status.
 */
int
lookup_serve(struct entry *entry, struct mg_connection *conn)
{
	const char *query = mg_get_request_info(conn)->query_string;
	char service[SERVICE_BYTES] = "";
	struct view *view = view_acquire(entry->views);
	int status;

	counter_add(entry->counters.lookups, 1);
	if (query != NULL)
		(void)mg_get_var(
		    query, strlen(query), "service", service, sizeof(service));
	if (view == NULL || view->policy->fleet == NULL)
		status = answer_problem(conn, REFUSAL_NO_DOCUMENT);
	else
		status = answer_lookup(entry, conn, view, service);
	view_release(view);
	return status;
}
