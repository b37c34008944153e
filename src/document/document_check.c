#include "document/document_check.h"

#include <string.h>

#include "base/str_key.h"
#include "document/document.h"
#include "document/policy_index.h"

/*
 * Sets STATUS_INVALID for a value in field of next that section other already
 * has; why says what is allowed instead.
 */
static enum status
set_conflict_error(const struct policy_section *next, const char *field,
    struct str found, const struct policy_section *other, const char *why)
{
	return status_set(STATUS_INVALID,
	    "section %.*s, %s: found \"%.*s\", which section %.*s of team "
	    "%.*s has already; allowed: %s",
	    STR_ARG(next->name), field, STR_ARG(found), STR_ARG(other->name),
	    STR_ARG(other->team), why);
}

/* Finds a team by name; NULL when it is not listed. */
static const struct policy_team *
find_team(const struct policy_fleet *fleet, struct str team)
{
	for (uint32_t i = 0; i < fleet->team_count; i++) {
		if (str_equal(fleet->teams[i].name, team))
			return &fleet->teams[i];
	}
	return NULL;
}

/*
 * Finds a team in the fleet section; NULL when either does not exist.
 */
const struct policy_team *
document_check_find_team(struct document_sections sections, struct str team)
{
	for (uint32_t i = 0; i < sections.count; i++) {
		if (sections.list[i]->kind == POLICY_FLEET)
			return find_team(&sections.list[i]->fleet, team);
	}
	return NULL;
}

/*
 * Checks that no team has the reserved bootstrap name or shares a token with
 * another team.
 */
static enum status
check_team_tokens(const struct policy_section *next)
{
	const struct policy_fleet *fleet = &next->fleet;

	for (uint32_t i = 0; i < fleet->team_count; i++) {
		if (str_equal_c(fleet->teams[i].name, DOCUMENT_BOOTSTRAP_TEAM))
			return status_set(STATUS_INVALID,
			    "section %.*s, fleet.teams[%u].name: found \"%s\", "
			    "which is reserved; allowed: another name",
			    STR_ARG(next->name), i, DOCUMENT_BOOTSTRAP_TEAM);
		for (uint32_t k = 0; k < i; k++) {
			if (memcmp(fleet->teams[i].token_digest,
				fleet->teams[k].token_digest,
				POLICY_DIGEST_BYTES) == 0)
				return status_set(STATUS_INVALID,
				    "section %.*s, fleet.teams[%u]."
				    "token_sha256: found the token of team "
				    "%.*s; allowed: a token of its own",
				    STR_ARG(next->name), i,
				    STR_ARG(fleet->teams[k].name));
		}
	}
	return STATUS_OK;
}

/*
 * Checks that the team of every section stays listed, as otherwise no team
 * could edit that section again.
 */
static enum status
check_fleet(
    struct document_sections sections, const struct policy_section *next)
{
	if (find_team(&next->fleet, next->team) == NULL)
		return status_set(STATUS_INVALID,
		    "section %.*s, team: found \"%.*s\"; allowed: a team of "
		    "fleet.teams",
		    STR_ARG(next->name), STR_ARG(next->team));
	for (uint32_t i = 0; i < sections.count; i++) {
		const struct policy_section *other = sections.list[i];

		if (str_equal(other->name, next->name))
			continue;
		if (other->kind == POLICY_FLEET)
			return set_conflict_error(next, "fleet", next->name,
			    other, "one fleet section in a document");
		if (find_team(&next->fleet, other->team) == NULL)
			return status_set(STATUS_INVALID,
			    "section %.*s, fleet.teams: team \"%.*s\" is not "
			    "given, but owns section %.*s",
			    STR_ARG(next->name), STR_ARG(other->team),
			    STR_ARG(other->name));
	}
	return check_team_tokens(next);
}

/* Returns whether a service has a route with the same method and path. */
static bool
has_same_route(
    const struct policy_service *service, const struct policy_route *route)
{
	for (uint32_t i = 0; i < service->route_count; i++) {
		if (str_equal(service->routes[i].path, route->path) &&
		    str_equal(service->routes[i].method, route->method))
			return true;
	}
	return false;
}

/*
 * Checks a host that two services have in common: it may be shared within a
 * team if their routes differ in method or path.
 */
static enum status
check_host(const struct policy_section *next,
    const struct policy_section *other, struct str host)
{
	if (!str_equal(next->team, other->team))
		return set_conflict_error(next, "service.hosts", host, other,
		    "a host that no other team serves");
	for (uint32_t i = 0; i < next->service.route_count; i++) {
		const struct policy_route *route = &next->service.routes[i];

		if (has_same_route(&other->service, route))
			return set_conflict_error(next, "service.routes",
			    route->path, other,
			    "a method and path of its own on this host");
	}
	return STATUS_OK;
}

/* Returns whether a service has this host. */
static bool
has_host(const struct policy_service *service, struct str host)
{
	for (uint32_t i = 0; i < service->host_count; i++) {
		if (str_equal(service->hosts[i], host))
			return true;
	}
	return false;
}

/*
 * Checks that the name of a service is unique in the document and that its
 * hosts are shared only as check_host() allows.
 */
static enum status
check_service(
    struct document_sections sections, const struct policy_section *next)
{
	enum status status = STATUS_OK;

	for (uint32_t i = 0; i < sections.count && status == STATUS_OK; i++) {
		const struct policy_section *other = sections.list[i];

		if (other->kind != POLICY_SERVICE ||
		    str_equal(other->name, next->name))
			continue;
		if (str_equal(other->service.name, next->service.name))
			return set_conflict_error(next, "service.name",
			    next->service.name, other, "a name of its own");
		for (uint32_t k = 0;
		     k < next->service.host_count && status == STATUS_OK; k++) {
			if (has_host(&other->service, next->service.hosts[k]))
				status = check_host(
				    next, other, next->service.hosts[k]);
		}
	}
	return status;
}

struct tenant_sets {
	GHashTable *names;
	GHashTable *digests;
};

/*
 * Fills the sets from next, whose names and digests they borrow.
 * STATUS_INVALID when two of its tenants have the same token; duplicate names
 * were rejected when the section was parsed.
 */
static enum status
add_tenants(struct tenant_sets *sets, const struct policy_section *next)
{
	for (uint32_t i = 0; i < next->tenant_count; i++) {
		struct policy_tenant *tenant = &next->tenants[i];

		g_hash_table_add(sets->names, &tenant->name);
		if (!g_hash_table_add(sets->digests, tenant->token_digest))
			return status_set(STATUS_INVALID,
			    "section %.*s, tenants[%u].token_sha256: found a "
			    "token that another tenant has; allowed: a token "
			    "of its own",
			    STR_ARG(next->name), i);
	}
	return STATUS_OK;
}

/* Returns STATUS_INVALID if other has a tenant name or token in the sets. */
static enum status
check_tenant_conflicts(const struct tenant_sets *sets,
    const struct policy_section *next, const struct policy_section *other)
{
	for (uint32_t i = 0; i < other->tenant_count; i++) {
		const struct policy_tenant *tenant = &other->tenants[i];

		if (g_hash_table_contains(sets->names, &tenant->name))
			return set_conflict_error(next, "tenants", tenant->name,
			    other, "a name of its own");
		if (g_hash_table_contains(sets->digests, tenant->token_digest))
			return set_conflict_error(next, "tenants, token of",
			    tenant->name, other, "a token of its own");
	}
	return STATUS_OK;
}

/*
 * Checks that tenant names and tokens are unique in the document; otherwise one
 * team's callers could act as another team's.
 */
static enum status
check_tenants(
    struct document_sections sections, const struct policy_section *next)
{
	struct tenant_sets sets = {
	    .names = g_hash_table_new(str_key_hash, str_key_equal),
	    .digests = g_hash_table_new(
		policy_index_hash_digest, policy_index_equal_digests),
	};
	enum status status = add_tenants(&sets, next);

	for (uint32_t i = 0; i < sections.count && status == STATUS_OK; i++) {
		if (!str_equal(sections.list[i]->name, next->name))
			status = check_tenant_conflicts(
			    &sets, next, sections.list[i]);
	}
	g_hash_table_destroy(sets.names);
	g_hash_table_destroy(sets.digests);
	return status;
}

/*
 * Checks a section against the others; see document_check.h.
 */
enum status
document_check_section(
    struct document_sections sections, const struct policy_section *next)
{
	switch (next->kind) {
	case POLICY_FLEET:
		return check_fleet(sections, next);
	case POLICY_TENANTS:
		return check_tenants(sections, next);
	default:
		return check_service(sections, next);
	}
}
