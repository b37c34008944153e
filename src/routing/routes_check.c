#include "routing/routes_check.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "routing/routes_check_accounts.h"

/* Characters that end the path of a request's target or can't be in it. */
static const char no_path_characters[] = "?# ";

/* Characters that are in no name of a host, and end the name in a URL. */
static const char no_host_characters[] = "/?#@*, ";

/*
 * Adds a finding about a route.
 */
#define ADD_ROUTE(report, kind, route, ...)                                  \
	report_add(report, kind, REPORT_ROUTE, (route)->host, (route)->name, \
	    __VA_ARGS__)

/*
 * Returns whether a text has a byte that is no visible ASCII, or one of a set.
 */
static bool
has_other_characters(struct str text, const char *set)
{
	for (size_t i = 0; i < text.len; i++) {
		if (!g_ascii_isgraph(text.data[i]) ||
		    strchr(set, text.data[i]) != NULL)
			return true;
	}
	return false;
}

/*
 * Checks that the lookup of a request finds the route.
 */
static void
check_match(
    const struct routes *routes, const struct route *route, GPtrArray *report)
{
	struct str host = str_from(route->host);

	if (routes_find(routes, host, route->prefix) != route)
		ADD_ROUTE(report, REPORT_ERROR, route,
		    "no request matches: the host is compared without port, "
		    "up to 255 bytes long");
	else if (has_other_characters(host, no_host_characters))
		ADD_ROUTE(report, REPORT_WARNING, route,
		    "the host has characters that no name of a host has; "
		    "there are no wildcards");
	if (has_other_characters(route->prefix, no_path_characters))
		ADD_ROUTE(report, REPORT_WARNING, route,
		    "the prefix \"%.*s\" has characters that no path of a "
		    "request has",
		    STR_ARG(route->prefix));
	if (routes_head_bytes(route) > routes->limits.max_header_bytes)
		ADD_ROUTE(report, REPORT_ERROR, route,
		    "no request fits: the shortest has a header of %zu bytes, "
		    "the limit is %" PRIu64,
		    routes_head_bytes(route), routes->limits.max_header_bytes);
}

/*
 * Checks the weights of a route's services.  A single service gets all requests
 * whatever its weight is.
 */
static void
check_weights(const struct route *route, GPtrArray *report)
{
	/* service -> whether it was reported */
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	double sum = 0;

	for (unsigned i = 0; i < route->destination_count; i++) {
		const struct route_service *service =
		    route->destinations[i].service;
		gpointer reported = GINT_TO_POINTER(FALSE);
		bool again = g_hash_table_lookup_extended(
		    seen, service, NULL, &reported);

		sum += route->destinations[i].weight;
		g_hash_table_insert(
		    seen, (gpointer)service, GINT_TO_POINTER(again));
		if (again && !GPOINTER_TO_INT(reported))
			ADD_ROUTE(report, REPORT_WARNING, route,
			    "service \"%s\" stands more than once; the weights "
			    "add up",
			    service->name);
	}
	g_hash_table_destroy(seen);
	if (!isfinite(sum))
		ADD_ROUTE(report, REPORT_ERROR, route,
		    "the sum of the weights is not finite");
	else if (sum <= 0 && route->destination_count > 1)
		ADD_ROUTE(report, REPORT_ERROR, route,
		    "all weights are 0: every request gets 503");
	else if (sum <= 0)
		ADD_ROUTE(report, REPORT_WARNING, route,
		    "the weight 0 of the only service has no effect: it gets "
		    "all requests");
}

/*
 * Checks the times and attempts of a route.  More than one attempt has a
 * meaning also for a request that may not be repeated: a target that refuses it
 * has not run it, and another one is tried.
 */
static void
check_limits(const struct route *route,
    const struct routes_check_options *options, GPtrArray *report)
{
	if (route->objective_ms == 0)
		ADD_ROUTE(report, REPORT_WARNING, route,
		    "the objective is 0 ms: no answer meets it");
	if (route->objective_ms > route->timeout_ms)
		ADD_ROUTE(report, REPORT_WARNING, route,
		    "the timeout of %" PRIu64 " ms is below the objective of "
		    "%" PRIu64 " ms",
		    route->timeout_ms, route->objective_ms);
	if (route->max_attempts > 1 && options->repeat_ratio >= 0 &&
	    options->repeat_ratio <= 0 && options->repeat_slack <= 0)
		ADD_ROUTE(report, REPORT_WARNING, route,
		    "%" PRIu32 " attempts, but the repeat budget allows no "
		    "second one",
		    route->max_attempts);
}

/*
 * Returns the services that routes send requests to.
 */
static GHashTable *
used_services(const GPtrArray *routes)
{
	GHashTable *used = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < routes->len; i++) {
		const struct route *route = routes->pdata[i];

		for (unsigned k = 0; k < route->destination_count; k++) {
			if (route->destinations[k].weight > 0 ||
			    route->destination_count == 1)
				g_hash_table_add(used,
				    (gpointer)route->destinations[k].service);
		}
	}
	return used;
}

static void
check_service(const struct route_service *service, bool used, GPtrArray *report)
{
	if (!used)
		report_add(report, REPORT_WARNING, REPORT_SERVICE, NULL,
		    service->name, "no route sends it a request");
	if (service->warmup_per_s > 0 && service->warmup_ms == 0)
		report_add(report, REPORT_WARNING, REPORT_SERVICE, NULL,
		    service->name,
		    "a warm-up rate without a warm-up time: a target that is "
		    "assumed to be cold stays so for the longest time");
}

static gint
compare_services(gconstpointer a, gconstpointer b)
{
	const struct route_service *const *x = a;
	const struct route_service *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

static void
check_services(
    const struct routes *routes, const GPtrArray *list, GPtrArray *report)
{
	GPtrArray *services = g_ptr_array_new();
	GHashTable *used = used_services(list);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, routes->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(services, value);
	g_ptr_array_sort(services, compare_services);
	for (guint i = 0; i < services->len; i++)
		check_service(services->pdata[i],
		    g_hash_table_contains(used, services->pdata[i]), report);
	g_hash_table_destroy(used);
	g_ptr_array_unref(services);
}

/*
 * Checks a document; see routes_check.h.
 */
void
routes_check(const struct routes *routes,
    const struct routes_check_options *options, GPtrArray *report)
{
	GPtrArray *list = routes_list(routes);

	if (list->len == 0)
		report_add(report, REPORT_ERROR, REPORT_DOCUMENT, NULL, NULL,
		    "no host has a route: every request gets 404");
	for (guint i = 0; i < list->len; i++) {
		const struct route *route = list->pdata[i];

		check_match(routes, route, report);
		check_weights(route, report);
		check_limits(route, options, report);
	}
	check_services(routes, list, report);
	if (routes->accounts != NULL)
		routes_check_accounts(routes, list, options, report);
	g_ptr_array_unref(list);
}
