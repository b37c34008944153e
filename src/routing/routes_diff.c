#include "routing/routes_diff.h"

#include <inttypes.h>
#include <string.h>

#include "routing/routes_diff_accounts.h"

/*
 * Appends ", " between the changes of one entry, then a change.
 */
void
routes_diff_append(
    struct str_buf *text, const char *name, double before, double after)
{
	if (before < after || before > after)
		str_buf_printf(text, "%s%s %.15g -> %.15g",
		    text->len > 0 ? ", " : "", name, before, after);
}

static void
append_text(struct str_buf *text, const char *name, const char *before,
    const char *after)
{
	if (strcmp(before, after) != 0)
		str_buf_printf(text, "%s%s \"%s\" -> \"%s\"",
		    text->len > 0 ? ", " : "", name, before, after);
}

/*
 * Adds an entry that was changed, if it was, and frees the text.
 */
void
routes_diff_add_changed(GPtrArray *report, enum report_place place,
    const char *host, const char *name, struct str_buf *text)
{
	if (text->len > 0)
		report_add(report, REPORT_CHANGED, place, host, name, "%s",
		    text->data);
	str_buf_free(text);
}

static void
append_destinations(const struct route *route, struct str_buf *text)
{
	for (unsigned i = 0; i < route->destination_count; i++)
		str_buf_printf(text, "%s%s %.15g", i > 0 ? ", " : "",
		    route->destinations[i].service->name,
		    route->destinations[i].weight);
}

static const char *
repeat_name(const struct route *route)
{
	static const char *const names[] = {
	    [REPEAT_ALLOWED] = "allowed",
	    [REPEAT_ALLOWED_LARGE] = "allowed, large responses",
	    [REPEAT_NEVER] = "never",
	};

	return names[route->repeat];
}

static void
diff_route(
    const struct route *before, const struct route *after, GPtrArray *report)
{
	struct str_buf text = {0};
	struct str_buf was = {0};
	struct str_buf is = {0};

	append_text(&text, "name", before->name, after->name);
	append_text(&text, "repeats", repeat_name(before), repeat_name(after));
	append_text(&text, "key", before->public ? "not needed" : "needed",
	    after->public ? "not needed" : "needed");
	routes_diff_append(&text, "rank", before->rank, after->rank);
	routes_diff_append(
	    &text, "attempts", before->max_attempts, after->max_attempts);
	routes_diff_append(&text, "timeout ms", (double)before->timeout_ms,
	    (double)after->timeout_ms);
	routes_diff_append(&text, "objective ms", (double)before->objective_ms,
	    (double)after->objective_ms);
	append_destinations(before, &was);
	append_destinations(after, &is);
	append_text(&text, "services", was.data != NULL ? was.data : "",
	    is.data != NULL ? is.data : "");
	str_buf_free(&was);
	str_buf_free(&is);
	routes_diff_add_changed(
	    report, REPORT_ROUTE, after->host, after->name, &text);
}

/* Where two sorted lists of routes are compared. */
static int
compare_places(const struct route *a, const struct route *b)
{
	int order = g_ascii_strcasecmp(a->host, b->host);

	return order != 0 ? order : str_compare(a->prefix, b->prefix);
}

/*
 * Returns whether a document has a route of a host.
 */
static bool
has_host(const struct routes *routes, const char *host)
{
	char *lower = g_ascii_strdown(host, -1);
	bool found = g_hash_table_contains(routes->hosts, lower);

	g_free(lower);
	return found;
}

/*
 * Adds the hosts of a list that another one doesn't have.
 */
static void
add_hosts(const GPtrArray *of, const struct routes *other,
    enum report_kind kind, GPtrArray *report)
{
	const char *last = "";

	for (guint i = 0; i < of->len; i++) {
		const struct route *route = of->pdata[i];

		if (g_ascii_strcasecmp(route->host, last) == 0)
			continue;
		last = route->host;
		if (!has_host(other, last))
			report_add(report, kind, REPORT_HOST, NULL, last, "%s",
			    kind == REPORT_ADDED ? "is new" : "is gone");
	}
}

static void
add_route(const struct route *route, enum report_kind kind, GPtrArray *report)
{
	report_add(report, kind, REPORT_ROUTE, route->host, route->name,
	    "prefix \"%.*s\"", STR_ARG(route->prefix));
}

/*
 * Compares the routes by a merge of the sorted lists.
 */
static void
diff_routes(const GPtrArray *before, const GPtrArray *after, GPtrArray *report)
{
	guint i = 0;
	guint k = 0;

	while (i < before->len || k < after->len) {
		int order = i == before->len ? 1
		    : k == after->len
		    ? -1
		    : compare_places(before->pdata[i], after->pdata[k]);

		if (order < 0)
			add_route(before->pdata[i++], REPORT_REMOVED, report);
		else if (order > 0)
			add_route(after->pdata[k++], REPORT_ADDED, report);
		else
			diff_route(
			    before->pdata[i++], after->pdata[k++], report);
	}
}

static void
diff_service(const struct route_service *before,
    const struct route_service *after, GPtrArray *report)
{
	struct str_buf text = {0};

	append_text(
	    &text, "health path", before->health_path, after->health_path);
	routes_diff_append(&text, "connections", before->max_connections,
	    after->max_connections);
	routes_diff_append(&text, "warm-up ms", (double)before->warmup_ms,
	    (double)after->warmup_ms);
	routes_diff_append(&text, "warm-up requests/s", before->warmup_per_s,
	    after->warmup_per_s);
	routes_diff_add_changed(
	    report, REPORT_SERVICE, NULL, after->name, &text);
}

/*
 * Returns the names of both documents' services, sorted.
 */
static GPtrArray *
service_names(const struct routes *before, const struct routes *after)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, before->services);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(names, name);
	g_hash_table_iter_init(&iter, after->services);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (g_hash_table_lookup(before->services, name) == NULL)
			g_ptr_array_add(names, name);
	}
	g_ptr_array_sort(names, routes_diff_compare_texts);
	return names;
}

/*
 * Orders texts of a GPtrArray.
 */
gint
routes_diff_compare_texts(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
diff_services(
    const struct routes *before, const struct routes *after, GPtrArray *report)
{
	GPtrArray *names = service_names(before, after);

	for (guint i = 0; i < names->len; i++) {
		const char *name = names->pdata[i];
		const struct route_service *was =
		    g_hash_table_lookup(before->services, name);
		const struct route_service *is =
		    g_hash_table_lookup(after->services, name);

		if (was == NULL)
			report_add(report, REPORT_ADDED, REPORT_SERVICE, NULL,
			    name, "health path \"%s\"", is->health_path);
		else if (is == NULL)
			report_add(report, REPORT_REMOVED, REPORT_SERVICE, NULL,
			    name, "health path \"%s\"", was->health_path);
		else
			diff_service(was, is, report);
	}
	g_ptr_array_unref(names);
}

static void
diff_limits(
    const struct routes *from, const struct routes *to, GPtrArray *report)
{
	const struct request_limits *before = &from->limits;
	const struct request_limits *after = &to->limits;
	struct str_buf text = {0};

	routes_diff_append(
	    &text, "version", (double)from->version, (double)to->version);
	routes_diff_append(&text, "header bytes",
	    (double)before->max_header_bytes, (double)after->max_header_bytes);
	routes_diff_append(&text, "body bytes", (double)before->max_body_bytes,
	    (double)after->max_body_bytes);
	routes_diff_append(&text, "header timeout ms",
	    (double)before->header_timeout_ms,
	    (double)after->header_timeout_ms);
	routes_diff_append(&text, "idle timeout ms",
	    (double)before->idle_timeout_ms, (double)after->idle_timeout_ms);
	routes_diff_add_changed(report, REPORT_DOCUMENT, NULL, NULL, &text);
}

/*
 * Compares two documents; see routes_diff.h.
 */
void
routes_diff(
    const struct routes *before, const struct routes *after, GPtrArray *report)
{
	GPtrArray *was = routes_list(before);
	GPtrArray *is = routes_list(after);

	diff_limits(before, after, report);
	add_hosts(was, after, REPORT_REMOVED, report);
	add_hosts(is, before, REPORT_ADDED, report);
	diff_routes(was, is, report);
	diff_services(before, after, report);
	routes_diff_accounts(before->accounts, after->accounts, report);
	g_ptr_array_unref(was);
	g_ptr_array_unref(is);
}
