#include "document/policy.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "document/policy_index.h"

enum {
	HOST_MAX_BYTES = 256
};

/* Orders sections by name, for qsort(). */
static int
compare_sections(const void *a, const void *b)
{
	const struct policy_section *x = *(struct policy_section *const *)a;
	const struct policy_section *y = *(struct policy_section *const *)b;

	return str_compare(x->name, y->name);
}

/*
 * Builds a policy from sections with distinct names, in any order, and takes a
 * reference to each.
 */
struct policy *
policy_new(struct policy_section *const *sections, uint32_t count)
{
	struct policy *policy = mem_calloc(1, sizeof(*policy));

	refcount_init(&policy->ref);
	policy->sections = mem_calloc(count, sizeof(struct policy_section *));
	policy->section_count = count;
	for (uint32_t i = 0; i < count; i++) {
		policy->sections[i] = policy_section_get(sections[i]);
		if (sections[i]->revision > policy->revision)
			policy->revision = sections[i]->revision;
		if (sections[i]->kind == POLICY_FLEET)
			policy->fleet = &sections[i]->fleet;
	}
	if (count > 0)
		qsort(policy->sections, count, sizeof(struct policy_section *),
		    compare_sections);
	policy->index = policy_index_new(policy);
	return policy;
}

/*
 * Takes one more reference.
 */
struct policy *
policy_get(struct policy *policy)
{
	refcount_get(&policy->ref);
	return policy;
}

/*
 * Drops a reference and frees the policy with the last; NULL is allowed.
 */
void
policy_put(struct policy *policy)
{
	if (policy == NULL || !refcount_put(&policy->ref))
		return;
	policy_index_free(policy->index);
	for (uint32_t i = 0; i < policy->section_count; i++)
		policy_section_put(policy->sections[i]);
	mem_free(policy->sections);
	mem_free(policy);
}

/*
 * Finds a section by name; NULL when there is none.
 */
const struct policy_section *
policy_find_section(const struct policy *policy, struct str name)
{
	uint32_t low = 0;
	uint32_t high = policy->section_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		int order = str_compare(policy->sections[middle]->name, name);

		if (order == 0)
			return policy->sections[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

/*
 * Returns the number of bytes of path that a route's prefix matches, plus one;
 * 0 if it does not match. A prefix matches whole path segments.
 */
static size_t
match_path(struct str prefix, struct str path)
{
	if (!str_has_prefix(path, prefix))
		return 0;
	if (path.len > prefix.len && prefix.data[prefix.len - 1] != '/' &&
	    path.data[prefix.len] != '/' && path.data[prefix.len] != '?')
		return 0;
	return prefix.len + 1;
}

/*
 * Returns the rank of a route for a request; 0 if it does not match.  A longer
 * path ranks higher; of equal paths, a route that names the method ranks above
 * "*".
 */
static size_t
route_rank(const struct policy_route *route, struct str method, struct str path)
{
	bool exact = str_equal(route->method, method);
	size_t match = match_path(route->path, path);

	if (match == 0 || (!exact && !str_equal_c(route->method, "*")))
		return 0;
	return 2 * match + exact;
}

/* Returns the highest route_rank() of the service's routes. */
static size_t
best_rank(
    const struct policy_service *service, struct str method, struct str path)
{
	size_t best = 0;

	for (uint32_t i = 0; i < service->route_count; i++) {
		size_t rank = route_rank(&service->routes[i], method, path);

		if (rank > best)
			best = rank;
	}
	return best;
}

/*
 * Returns the longest match_path() of the service's routes, ignoring methods.
 */
static size_t
longest_match(const struct policy_service *service, struct str path)
{
	size_t longest = 0;

	for (uint32_t i = 0; i < service->route_count; i++) {
		size_t match = match_path(service->routes[i].path, path);

		if (match > longest)
			longest = match;
	}
	return longest;
}

/*
 * Writes a host in ASCII lower case, host.len bytes without a NUL; false if it
 * is empty or too long for a host name.
 */
static bool
lower_host(struct str host, char out[HOST_MAX_BYTES])
{
	if (host.len == 0 || host.len >= HOST_MAX_BYTES)
		return false;
	for (size_t i = 0; i < host.len; i++) {
		char c = host.data[i];

		out[i] = c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
	}
	return true;
}

/*
 * Finds the service for a host, method and path; NULL when there is none.  If
 * several services share the host, the highest-ranked route decides, as within
 * a service; if no route matches, the longest matching path decides, so that
 * its service's text is used for the refusal.  A service that has the host to
 * itself is returned even if none of its routes matches.
 */
const struct policy_section *
policy_find_service(const struct policy *policy, struct str host,
    struct str method, struct str path)
{
	const struct policy_section *const *sections;
	const struct policy_section *found = NULL;
	char lower[HOST_MAX_BYTES];
	size_t best = 0;
	size_t longest = 0;
	uint32_t count;

	if (!lower_host(host, lower))
		return NULL;
	sections = policy_index_find_by_host(
	    policy->index, str_of(lower, host.len), &count);
	if (count == 1)
		return sections[0];
	for (uint32_t i = 0; i < count; i++) {
		const struct policy_service *service = &sections[i]->service;
		size_t rank = best_rank(service, method, path);
		size_t match = longest_match(service, path);

		if (rank < best || (rank == best && match <= longest))
			continue;
		best = rank;
		longest = match;
		found = sections[i];
	}
	return found;
}

/*
 * Finds a service's section by the service's name; NULL when there is none.
 */
const struct policy_section *
policy_find_service_by_name(const struct policy *policy, struct str name)
{
	return policy_index_find_service(policy->index, name);
}

/*
 * Finds the route with the longest matching path; of equal paths, one that
 * names the method takes precedence over "*".  NULL if none matches.
 */
const struct policy_route *
policy_find_route(
    const struct policy_service *service, struct str method, struct str path)
{
	const struct policy_route *found = NULL;
	size_t best = 0;

	for (uint32_t i = 0; i < service->route_count; i++) {
		const struct policy_route *route = &service->routes[i];
		size_t rank = route_rank(route, method, path);

		if (rank > best) {
			best = rank;
			found = route;
		}
	}
	return found;
}

/*
 * Finds the tenant that a bearer token belongs to, by the token's SHA-256; NULL
 * when there is none.
 */
const struct policy_tenant *
policy_find_tenant(const struct policy *policy, struct str token,
    const struct policy_section **section)
{
	uint8_t digest[POLICY_DIGEST_BYTES];

	if (token.len == 0)
		return NULL;
	policy_digest(token, digest);
	return policy_index_find_tenant(policy->index, digest, section);
}

/*
 * Returns whether a route allows a tenant, by name or pattern.
 */
bool
policy_route_admits(const struct policy_route *route, struct str tenant)
{
	for (uint32_t i = 0; i < route->tenant_count; i++) {
		if (policy_pattern_matches(route->tenants[i], tenant))
			return true;
	}
	return false;
}

/*
 * Finds the limit of a tenant: by exact name, else by the longest matching
 * pattern; NULL when none matches.
 */
const struct policy_limit *
policy_find_limit(const struct policy_service *service, struct str tenant)
{
	const struct policy_limit *found = NULL;

	for (uint32_t i = 0; i < service->limit_count; i++) {
		const struct policy_limit *limit = &service->limits[i];

		if (str_equal(limit->tenant, tenant))
			return limit;
		if (!policy_pattern_matches(limit->tenant, tenant))
			continue;
		if (found == NULL || limit->tenant.len > found->tenant.len)
			found = limit;
	}
	return found;
}

/*
 * Returns the refusal text for a caller; service may be NULL.
 */
struct str
policy_refusal_text(
    const struct policy_service *service, enum refusal_reason reason)
{
	for (uint32_t i = 0; service != NULL && i < service->text_count; i++) {
		if (service->texts[i].reason == reason)
			return service->texts[i].text;
	}
	return str_from(refusal_default_text(reason));
}

/*
 * Matches a name against a pattern with at most one '*', which matches any
 * text, including an empty one.
 */
bool
policy_pattern_matches(struct str pattern, struct str name)
{
	const char *star =
	    pattern.len > 0 ? memchr(pattern.data, '*', pattern.len) : NULL;
	struct str head;
	struct str tail;

	if (star == NULL)
		return str_equal(pattern, name);
	head = str_of(pattern.data, (size_t)(star - pattern.data));
	tail = str_of(star + 1, pattern.len - head.len - 1);
	if (name.len < head.len + tail.len || !str_has_prefix(name, head))
		return false;
	return str_equal(
	    str_of(name.data + name.len - tail.len, tail.len), tail);
}
