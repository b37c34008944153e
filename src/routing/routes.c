#include "routing/routes.h"

#include <string.h>

#include "base/memory.h"
#include "base/random.h"

static void
service_free(void *value)
{
	struct route_service *service = value;

	mem_free(service->name);
	mem_free(service->health_path);
	mem_free(service);
}

static void
route_free(void *value)
{
	struct route *route = value;

	mem_free(route->name);
	mem_free(route->host);
	mem_free((char *)route->prefix.data);
	mem_free(route->destinations);
	mem_free(route);
}

/* Routes of one host, looked up by each prefix length that occurs. */
struct route_host {
	/* struct str of the prefix -> struct route, owned */
	GHashTable *routes;
	GArray *prefix_lengths; /* size_t: prefix lengths, longest first */
};

static guint
prefix_hash(gconstpointer key)
{
	return (guint)str_hash(*(const struct str *)key);
}

static gboolean
prefix_equal(gconstpointer a, gconstpointer b)
{
	return str_equal(*(const struct str *)a, *(const struct str *)b);
}

static void
host_free(void *value)
{
	struct route_host *host = value;

	g_hash_table_destroy(host->routes);
	g_array_free(host->prefix_lengths, TRUE);
	mem_free(host);
}

/*
 * Returns empty routes of a document, with one reference.
 */
struct routes *
routes_new(uint64_t version)
{
	struct routes *routes = mem_calloc(1, sizeof(*routes));

	refcount_init(&routes->ref);
	routes->version = version;
	routes->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	routes->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, host_free);
	return routes;
}

/*
 * Takes a reference.
 */
struct routes *
routes_get(struct routes *routes)
{
	refcount_get(&routes->ref);
	return routes;
}

/*
 * Drops a reference; the last one frees the routes.  NULL is allowed.
 */
void
routes_put(struct routes *routes)
{
	if (routes == NULL || !refcount_put(&routes->ref))
		return;
	g_hash_table_destroy(routes->hosts);
	g_hash_table_destroy(routes->services);
	accounts_free(routes->accounts);
	mem_free(routes);
}

/*
 * Adds a service that routes may refer to.  STATUS_INVALID for an empty or
 * duplicate name.
 */
enum status
routes_add_service(struct routes *routes, const char *name,
    const char *health_path, uint32_t max_connections)
{
	struct route_service *service;

	if (name[0] == '\0')
		return status_set(STATUS_INVALID, "a service has no name");
	if (g_hash_table_lookup(routes->services, name) != NULL)
		return status_set(
		    STATUS_INVALID, "service \"%s\" stands twice", name);
	service = mem_calloc(1, sizeof(*service));
	service->name = str_dup(str_from(name));
	service->health_path = str_dup(str_from(health_path));
	service->max_connections = max_connections;
	g_hash_table_insert(routes->services, service->name, service);
	return STATUS_OK;
}

/*
 * Sets how a service's targets warm up.
 */
void
routes_set_warmup(struct routes *routes, const char *name, uint64_t warmup_ms,
    double warmup_per_s)
{
	struct route_service *service =
	    g_hash_table_lookup(routes->services, name);

	service->warmup_ms = warmup_ms;
	service->warmup_per_s = warmup_per_s;
}

/*
 * Validates the fields of a single route.
 */
static enum status
check_route(const struct route *route)
{
	if (route->host[0] == '\0')
		return status_set(STATUS_INVALID, "a route has no host");
	if (!str_has_prefix(route->prefix, STR_LITERAL("/")))
		return status_set(STATUS_INVALID,
		    "prefix \"%.*s\" does not begin with a slash",
		    STR_ARG(route->prefix));
	if (route->timeout_ms == 0)
		return status_set(STATUS_INVALID,
		    "route \"%s\": timeout of zero", route->name);
	if (route->timeout_ms > ROUTE_TIMEOUT_MAX_MS)
		return status_set(STATUS_INVALID,
		    "route \"%s\": timeout over ten minutes", route->name);
	return STATUS_OK;
}

/*
 * Returns the routes of a host, which are created at first use.
 */
static struct route_host *
get_or_add_host(struct routes *routes, const char *name)
{
	char *lower = g_ascii_strdown(name, -1);
	struct route_host *host = g_hash_table_lookup(routes->hosts, lower);

	if (host != NULL) {
		g_free(lower);
		return host;
	}
	host = mem_calloc(1, sizeof(*host));
	host->routes =
	    g_hash_table_new_full(prefix_hash, prefix_equal, NULL, route_free);
	host->prefix_lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
	g_hash_table_insert(routes->hosts, lower, host);
	return host;
}

/*
 * Adds a prefix length of a host; the list is sorted, longest first.
 */
static void
add_prefix_length(struct route_host *host, size_t len)
{
	guint at = 0;

	while (at < host->prefix_lengths->len &&
	    g_array_index(host->prefix_lengths, size_t, at) > len)
		at++;
	if (at < host->prefix_lengths->len &&
	    g_array_index(host->prefix_lengths, size_t, at) == len)
		return;
	g_array_insert_val(host->prefix_lengths, at, len);
}

/*
 * Adds a route to its host.
 */
enum status
routes_add(
    struct routes *routes, const struct route *from, struct route **added)
{
	enum status status = check_route(from);
	struct route_host *host;
	struct route *route;

	if (status != STATUS_OK)
		return status;
	host = get_or_add_host(routes, from->host);
	if (g_hash_table_lookup(host->routes, &from->prefix) != NULL)
		return status_set(STATUS_INVALID,
		    "host \"%s\" has prefix \"%.*s\" twice", from->host,
		    STR_ARG(from->prefix));
	route = mem_alloc(sizeof(*route));
	*route = *from;
	route->name = str_dup(str_from(from->name));
	route->host = str_dup(str_from(from->host));
	route->prefix = str_from(str_dup(from->prefix));
	route->id = (uint32_t)str_hash(str_from(from->name));
	route->destinations = NULL;
	route->destination_count = 0;
	g_hash_table_insert(host->routes, &route->prefix, route);
	add_prefix_length(host, route->prefix.len);
	*added = route;
	return STATUS_OK;
}

/*
 * Adds a service to a route.  STATUS_INVALID for an unknown service or a
 * weight below 0.
 */
enum status
routes_add_destination(struct routes *routes, struct route *route,
    const char *service, double weight)
{
	const struct route_service *known =
	    g_hash_table_lookup(routes->services, service);

	if (known == NULL)
		return status_set(STATUS_INVALID,
		    "route \"%s\" names unknown service \"%s\"", route->name,
		    service);
	if (!(weight >= 0))
		return status_set(STATUS_INVALID,
		    "route \"%s\": weight below 0", route->name);
	route->destinations = mem_resize(route->destinations,
	    (route->destination_count + 1) * sizeof(*route->destinations));
	route->destinations[route->destination_count++] =
	    (struct route_destination){.service = known, .weight = weight};
	return STATUS_OK;
}

/*
 * Returns the route of a request, or NULL. Host names are compared without
 * regard to case; a port in the host is ignored.
 */
struct route *
routes_find(const struct routes *routes, struct str host, struct str path)
{
	char name[256];
	const char *colon = memchr(host.data, ':', host.len);
	size_t len = colon != NULL ? (size_t)(colon - host.data) : host.len;
	const struct route_host *host_entry;

	if (len == 0 || len >= sizeof(name))
		return NULL;
	for (size_t i = 0; i < len; i++)
		name[i] = g_ascii_tolower(host.data[i]);
	name[len] = '\0';
	host_entry = g_hash_table_lookup(routes->hosts, name);
	for (guint i = 0;
	     host_entry != NULL && i < host_entry->prefix_lengths->len; i++) {
		size_t prefix_len =
		    g_array_index(host_entry->prefix_lengths, size_t, i);
		const struct str prefix = str_of(path.data, prefix_len);
		struct route *route = prefix_len <= path.len
		    ? g_hash_table_lookup(host_entry->routes, &prefix)
		    : NULL;

		if (route != NULL)
			return route;
	}
	return NULL;
}

static gint
compare_places(gconstpointer a, gconstpointer b)
{
	const struct route *const *x = a;
	const struct route *const *y = b;
	int order = g_ascii_strcasecmp((*x)->host, (*y)->host);

	return order != 0 ? order : str_compare((*x)->prefix, (*y)->prefix);
}

/*
 * Returns all routes, sorted by host and prefix.
 */
GPtrArray *
routes_list(const struct routes *routes)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter hosts;
	gpointer host;

	g_hash_table_iter_init(&hosts, routes->hosts);
	while (g_hash_table_iter_next(&hosts, NULL, &host)) {
		GHashTableIter iter;
		gpointer route;

		g_hash_table_iter_init(
		    &iter, ((const struct route_host *)host)->routes);
		while (g_hash_table_iter_next(&iter, NULL, &route))
			g_ptr_array_add(list, route);
	}
	g_ptr_array_sort(list, compare_places);
	return list;
}

/*
 * Returns the service of the next request by smooth weighted round robin; NULL
 * if no destination has a weight.
 */
const struct route_service *
route_next_destination(struct route *route)
{
	struct route_destination *best = NULL;
	double total = 0;

	if (route->destination_count == 1)
		return route->destinations[0].service;
	for (unsigned i = 0; i < route->destination_count; i++) {
		struct route_destination *destination = &route->destinations[i];

		if (destination->weight <= 0)
			continue;
		total += destination->weight;
		destination->current_weight += destination->weight;
		if (best == NULL ||
		    destination->current_weight > best->current_weight)
			best = destination;
	}
	if (best == NULL)
		return NULL;
	best->current_weight -= total;
	return best->service;
}

static void
shuffle_host(const struct route_host *host, struct random *random)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, host->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route *route = value;

		for (unsigned i = 0; i < route->destination_count; i++)
			route->destinations[i].current_weight =
			    route->destinations[i].weight * random_unit(random);
	}
}

/*
 * Starts each rotation at a random point.  Otherwise many instances with few
 * requests each would all begin with the heaviest destination.
 */
void
routes_randomize_rotation(struct routes *routes, uint64_t seed)
{
	struct random random;
	GHashTableIter iter;
	gpointer value;

	random_seed(&random, seed);
	g_hash_table_iter_init(&iter, routes->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		shuffle_host(value, &random);
}

/*
 * Returns whether a request of the route may run more than once.
 */
bool
route_is_idempotent(const struct route *route)
{
	return route->repeat != REPEAT_NEVER;
}
