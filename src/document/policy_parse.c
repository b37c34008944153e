/*
 * Parser of a section: from its text to typed values.
 */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "base/invariant.h"
#include "base/memory.h"
#include "document/document_split.h"
#include "document/policy.h"
#include "document/policy_convert.h"
#include "document/policy_parse.h"
#include "document/policy_raw.h"

enum {
	ARENA_HEADROOM_BYTES = 2048
};

/* Converts the fleet's fields and its teams; at least one team is required. */
static void
convert_fleet(struct policy_convert *convert, const struct raw_fleet *raw,
    struct policy_fleet *fleet)
{
	policy_convert_fields(convert, POLICY_TABLE_FLEET, "fleet", raw, fleet);
	fleet->team_count = raw->team_count;
	fleet->teams = policy_convert_list(convert, POLICY_TABLE_TEAM,
	    "fleet.teams", raw->teams, sizeof(*raw->teams), raw->team_count,
	    sizeof(*fleet->teams));
	if (raw->team_count == 0)
		policy_convert_error(
		    convert, "fleet.teams", NULL, "at least one team");
	policy_convert_check_unique(convert, "fleet.teams", fleet->teams,
	    sizeof(*fleet->teams), offsetof(struct policy_team, name),
	    fleet->team_count);
}

/* Converts the list of tenants; names must be unique. */
static void
convert_tenants(struct policy_convert *convert, const struct raw_section *raw,
    struct policy_section *section)
{
	section->tenant_count = raw->tenant_count;
	section->tenants = policy_convert_list(convert, POLICY_TABLE_TENANT,
	    "tenants", raw->tenants, sizeof(*raw->tenants), raw->tenant_count,
	    sizeof(*section->tenants));
	policy_convert_check_unique(convert, "tenants", section->tenants,
	    sizeof(*section->tenants), offsetof(struct policy_tenant, name),
	    section->tenant_count);
}

/*
 * Converts the routes with their allowed tenants.  An empty list of tenants is
 * an error, so that no route is opened or closed by oversight.
 */
static void
convert_routes(struct policy_convert *convert, const struct raw_service *raw,
    struct policy_service *service)
{
	static const char list[] = "service.routes";

	service->route_count = raw->route_count;
	service->routes = policy_convert_list(convert, POLICY_TABLE_ROUTE, list,
	    raw->routes, sizeof(*raw->routes), raw->route_count,
	    sizeof(*service->routes));
	for (uint32_t i = 0; i < raw->route_count; i++) {
		char path[POLICY_PATH_BYTES];

		snprintf(path, sizeof(path), "%s[%u].tenants", list, i);
		service->routes[i].tenant_count = raw->routes[i].tenant_count;
		service->routes[i].tenants =
		    policy_convert_names(convert, path, &policy_rule_pattern,
			raw->routes[i].tenants, raw->routes[i].tenant_count);
		if (raw->routes[i].tenant_count == 0)
			policy_convert_error(convert, path, NULL,
			    "at least one tenant or pattern; \"*\" admits "
			    "all");
	}
	if (raw->route_count == 0)
		policy_convert_error(convert, list, NULL, "at least one route");
	policy_convert_check_unique(convert, list, service->routes,
	    sizeof(*service->routes), offsetof(struct policy_route, name),
	    service->route_count);
}

/*
 * Appends an error for each route whose method and path an earlier route
 * already has.
 */
static void
check_duplicate_routes(
    struct policy_convert *convert, const struct policy_service *service)
{
	for (uint32_t i = 0; i < service->route_count; i++) {
		const struct policy_route *a = &service->routes[i];

		for (uint32_t k = 0; k < i; k++) {
			const struct policy_route *b = &service->routes[k];
			char path[POLICY_PATH_BYTES];

			if (!str_equal(a->method, b->method) ||
			    !str_equal(a->path, b->path) || a->path.len == 0)
				continue;
			policy_convert_element_path("service.routes", i, path);
			policy_convert_error(convert, path, a->path.data,
			    "a method and path that no other route has");
		}
	}
}

/* Returns whether an objective may name this route; "*" means all routes. */
static bool
has_route(const struct policy_service *service, struct str name)
{
	for (uint32_t i = 0; i < service->route_count; i++) {
		if (str_equal(service->routes[i].name, name))
			return true;
	}
	return str_equal_c(name, "*");
}

/* Converts the objectives; each must name a route of this service. */
static void
convert_objectives(struct policy_convert *convert,
    const struct raw_service *raw, struct policy_service *service)
{
	static const char list[] = "service.objectives";

	service->objective_count = raw->objective_count;
	service->objectives =
	    policy_convert_list(convert, POLICY_TABLE_OBJECTIVE, list,
		raw->objectives, sizeof(*raw->objectives), raw->objective_count,
		sizeof(*service->objectives));
	policy_convert_check_unique(convert, list, service->objectives,
	    sizeof(*service->objectives),
	    offsetof(struct policy_objective, name), service->objective_count);
	for (uint32_t i = 0; i < service->objective_count; i++) {
		char path[POLICY_PATH_BYTES];

		snprintf(path, sizeof(path), "%s[%u].route", list, i);
		if (!has_route(service, service->objectives[i].route))
			policy_convert_error(convert, path,
			    raw->objectives[i].route,
			    "a route of this service, or \"*\"");
	}
}

/*
 * Converts the limits.  Each limits calls, slots or both; the default burst is
 * one second's calls.
 */
static void
convert_limits(struct policy_convert *convert, const struct raw_service *raw,
    struct policy_service *service)
{
	static const char list[] = "service.limits";

	service->limit_count = raw->limit_count;
	service->limits = policy_convert_list(convert, POLICY_TABLE_LIMIT, list,
	    raw->limits, sizeof(*raw->limits), raw->limit_count,
	    sizeof(*service->limits));
	policy_convert_check_unique(convert, list, service->limits,
	    sizeof(*service->limits), offsetof(struct policy_limit, tenant),
	    service->limit_count);
	for (uint32_t i = 0; i < service->limit_count; i++) {
		struct policy_limit *limit = &service->limits[i];
		char path[POLICY_PATH_BYTES];

		policy_convert_element_path(list, i, path);
		if (limit->calls_per_s == 0 && limit->slots_percent == 0)
			policy_convert_error(convert, path,
			    raw->limits[i].tenant,
			    "calls_per_second, slots or both");
		if (limit->burst == 0)
			limit->burst = limit->calls_per_s;
	}
}

/* Copies the refusal texts that are given; raw may be NULL. */
static void
convert_refusals(struct policy_convert *convert, const struct raw_refusals *raw,
    struct policy_service *service)
{
	if (raw == NULL)
		return;
	service->texts = policy_arena_alloc(
	    convert->arena, REFUSAL_REASON_COUNT, sizeof(*service->texts));
	for (unsigned i = 0; i < REFUSAL_REASON_COUNT; i++) {
		struct policy_refusal_text *text =
		    &service->texts[service->text_count];
		char path[POLICY_PATH_BYTES];

		if (raw->text[i] == NULL)
			continue;
		text->reason = (enum refusal_reason)i;
		text->text = policy_arena_copy(
		    convert->arena, str_trim(str_from(raw->text[i])));
		service->text_count++;
		policy_convert_field_path("service.refusals",
		    refusal_reason_name(text->reason), path);
		if (!policy_value_is_valid_text(
			&policy_rule_refusal, text->text))
			policy_convert_rule_error(
			    convert, path, raw->text[i], &policy_rule_refusal);
	}
}

/* Appends an error for each duplicate host. */
static void
check_hosts(
    struct policy_convert *convert, const struct policy_service *service)
{
	for (uint32_t i = 0; i < service->host_count; i++) {
		for (uint32_t k = 0; k < i; k++) {
			char path[POLICY_PATH_BYTES];

			if (!str_equal(service->hosts[i], service->hosts[k]))
				continue;
			policy_convert_element_path("service.hosts", i, path);
			policy_convert_error(convert, path,
			    service->hosts[i].data,
			    "a host that is not in the list yet");
		}
	}
}

/* Converts a service; its name defaults to the section's name. */
static void
convert_service(struct policy_convert *convert, const struct raw_service *raw,
    struct policy_service *service)
{
	policy_convert_fields(
	    convert, POLICY_TABLE_SERVICE, "service", raw, service);
	if (service->name.len == 0)
		service->name = convert->name;
	service->host_count = raw->host_count;
	service->hosts = policy_convert_names(convert, "service.hosts",
	    &policy_rule_host, raw->hosts, raw->host_count);
	if (raw->host_count == 0)
		policy_convert_error(
		    convert, "service.hosts", NULL, "at least one host");
	check_hosts(convert, service);
	convert_routes(convert, raw, service);
	check_duplicate_routes(convert, service);
	convert_limits(convert, raw, service);
	convert_objectives(convert, raw, service);
	convert_refusals(convert, raw->refusals, service);
}

/* Converts a section, which must have exactly one kind of content. */
static void
convert_section(struct policy_convert *convert, const struct raw_section *raw,
    struct policy_section *section)
{
	unsigned kinds = (raw->fleet != NULL) + (raw->tenants != NULL) +
	    (raw->service != NULL);

	policy_convert_fields(convert, POLICY_TABLE_SECTION, "", raw, section);
	convert->name = section->name;
	if (kinds != 1) {
		policy_convert_error(convert, "section", raw->section,
		    "exactly one of fleet, tenants and service in a section");
		return;
	}
	if (raw->fleet != NULL) {
		section->kind = POLICY_FLEET;
		convert_fleet(convert, raw->fleet, &section->fleet);
	} else if (raw->tenants != NULL) {
		section->kind = POLICY_TENANTS;
		convert_tenants(convert, raw, section);
	} else {
		section->kind = POLICY_SERVICE;
		convert_service(convert, raw->service, &section->service);
	}
}

/*
 * Reads the text into line numbers and raw strings, which the caller frees.  On
 * an error there is nothing to free.
 */
static enum status
read_raw(struct str text, struct policy_lines **lines, struct raw_section **raw)
{
	uint32_t separator;
	enum status status;

	if (text.len > POLICY_SECTION_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "line 1: the section has %zu bytes; allowed: at most %d",
		    text.len, POLICY_SECTION_MAX_BYTES);
	if (text.data == NULL)
		text = str_of("", 0); /* libyaml requires a non-NULL pointer */
	separator = document_split_find_separator(text);
	if (separator > 0)
		return status_set(STATUS_INVALID,
		    "line %u: found \"---\"; allowed: one section without "
		    "separator lines",
		    separator);
	status = policy_lines_read(text, lines);
	if (status != STATUS_OK)
		return status;
	status = policy_raw_load(text, *lines, raw);
	if (status != STATUS_OK) {
		policy_lines_free(*lines);
		return status;
	}
	return STATUS_OK;
}

/*
 * Parses and validates like policy_section_parse(), but appends every error,
 * one per line, to messages.
 */
enum status
policy_section_check(struct str text, uint64_t revision,
    struct policy_section **section, struct str_buf *messages)
{
	struct policy_lines *lines = NULL;
	struct raw_section *raw = NULL;
	struct policy_section *parsed;
	struct policy_convert convert = {.messages = messages};
	enum status status = read_raw(text, &lines, &raw);

	if (status != STATUS_OK) {
		str_buf_append_c(messages, status_message());
		return status;
	}
	INVARIANT(raw != NULL, "read_raw() set raw on success");
	convert.lines = lines;
	convert.arena = policy_arena_new(
	    sizeof(*parsed) + 3 * text.len + ARENA_HEADROOM_BYTES);
	parsed = policy_arena_alloc(convert.arena, 1, sizeof(*parsed));
	refcount_init(&parsed->ref);
	parsed->memory = convert.arena;
	parsed->revision = revision;
	parsed->text = policy_arena_copy(convert.arena, text);
	policy_digest(text, parsed->digest);
	convert_section(&convert, raw, parsed);
	policy_raw_free(raw);
	policy_lines_free(lines);
	if (convert.errors > 0) {
		if (convert.errors > POLICY_ERRORS_MAX)
			str_buf_printf(messages, "\n%u more errors",
			    convert.errors - POLICY_ERRORS_MAX);
		policy_section_put(parsed);
		return status_set(STATUS_INVALID, "%s", messages->data);
	}
	*section = parsed;
	return STATUS_OK;
}

/*
 * Parses and validates one section; see policy.h.
 */
enum status
policy_section_parse(
    struct str text, uint64_t revision, struct policy_section **section)
{
	struct str_buf messages = {0};
	enum status status =
	    policy_section_check(text, revision, section, &messages);

	str_buf_free(&messages);
	return status;
}

/*
 * Takes one more reference.
 */
struct policy_section *
policy_section_get(struct policy_section *section)
{
	refcount_get(&section->ref);
	return section;
}

/*
 * Drops a reference and frees the section's memory with the last; NULL is
 * allowed.
 */
void
policy_section_put(struct policy_section *section)
{
	if (section != NULL && refcount_put(&section->ref))
		policy_arena_free(section->memory);
}

/*
 * Computes the SHA-256 of text.
 */
void
policy_digest(struct str text, uint8_t digest[POLICY_DIGEST_BYTES])
{
	crypto_hash_sha256(digest, (const unsigned char *)text.data, text.len);
}
