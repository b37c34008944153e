#include "document/policy_fields.h"

#include <stddef.h>

#include "document/policy_defs.h"
#include "document/policy_raw.h"

enum {
	NAME_MAX_BYTES = 63,
	HOST_MAX_BYTES = 253,
	PATH_MAX_BYTES = 200,
	METHOD_MAX_BYTES = 16,
	TEXT_MAX_BYTES = 600,
	DIGEST_HEX_BYTES = 64
};

#define MINUTE_MS UINT64_C(60000)
#define HOUR_MS (60 * MINUTE_MS)
#define DAY_S UINT64_C(86400)

#define MB_BYTES (UINT64_C(1) << 20)
#define MEMBER_SIZE(structure, member) \
	((uint32_t)sizeof(((structure *)0)->member))
#define MEMBER_OFFSETS(raw, raw_member, typed, member)  \
	.raw_offset = offsetof(struct raw, raw_member), \
	.offset = offsetof(struct typed, member),       \
	.bytes = MEMBER_SIZE(struct typed, member)
#define NAME                                               \
	{                                                  \
		POLICY_VALUE_NAME, 1, NAME_MAX_BYTES, NULL \
	}
#define PATTERN                                               \
	{                                                     \
		POLICY_VALUE_PATTERN, 1, NAME_MAX_BYTES, NULL \
	}
#define DIGEST                                                                \
	{                                                                     \
		POLICY_VALUE_DIGEST, DIGEST_HEX_BYTES, DIGEST_HEX_BYTES, NULL \
	}
#define COUNT(low, high)                            \
	{                                           \
		POLICY_VALUE_COUNT, low, high, NULL \
	}
#define MS(low, high)                            \
	{                                        \
		POLICY_VALUE_MS, low, high, NULL \
	}
#define SECONDS(low, high)                      \
	{                                       \
		POLICY_VALUE_S, low, high, NULL \
	}
#define BYTES(low, high)                            \
	{                                           \
		POLICY_VALUE_BYTES, low, high, NULL \
	}
#define PERCENT(low, high)                            \
	{                                             \
		POLICY_VALUE_PERCENT, low, high, NULL \
	}
#define CHOICE(words)                            \
	{                                        \
		POLICY_VALUE_CHOICE, 0, 0, words \
	}

const struct policy_value_rule policy_rule_host = {
    POLICY_VALUE_HOST, 1, HOST_MAX_BYTES, NULL};
const struct policy_value_rule policy_rule_pattern = PATTERN;
const struct policy_value_rule policy_rule_refusal = {
    POLICY_VALUE_TEXT, 1, TEXT_MAX_BYTES, NULL};

static const struct policy_field section_fields[] = {
    {"section", NAME, NULL, "Name of the section, unique in the document.",
	"store-orders",
	MEMBER_OFFSETS(raw_section, section, policy_section, name)},
    {"team", NAME, NULL,
	"Team that owns the section; changes require the token of this team.",
	"ordering", MEMBER_OFFSETS(raw_section, team, policy_section, team)},
};

static const struct policy_field fleet_fields[] = {
    {"lease", MS(500, MINUTE_MS), "3s",
	"Document lease: how long an entry may serve calls without "
	"confirming that its document is current.",
	"3s", MEMBER_OFFSETS(raw_fleet, lease, policy_fleet, lease_ms)},
    {"target_lease", MS(500, 10 * MINUTE_MS), "3s",
	"Lifetime of a target's announcement unless it is renewed.", "3s",
	MEMBER_OFFSETS(raw_fleet, target_lease, policy_fleet, target_lease_ms)},
    {"answer_keep", MS(1000, HOUR_MS), "10s",
	"How long a caller may cache a lookup of the entries to use.", "10s",
	MEMBER_OFFSETS(raw_fleet, answer_keep, policy_fleet, lookup_cache_ms)},
    {"entries_max", COUNT(1, 1000), "17",
	"Maximum number of entries running at once; an entry whose lease has "
	"expired falls back to 1/entries_max of each limit.",
	"17",
	MEMBER_OFFSETS(raw_fleet, entries_max, policy_fleet, entries_max)},
    {"measuring_messages", COUNT(0, 1000000), "200",
	"Maximum messages per second for measuring the load of targets, "
	"total of all entries.",
	"200",
	MEMBER_OFFSETS(raw_fleet, measuring_messages, policy_fleet,
	    measuring_messages_per_s)},
    {"measuring_bytes", BYTES(0, 1024 * MB_BYTES), "64KB",
	"Maximum bytes per second for measuring the load of targets, total "
	"of all entries.",
	"64KB",
	MEMBER_OFFSETS(
	    raw_fleet, measuring_bytes, policy_fleet, measuring_bytes_per_s)},
    {"measuring_per_1000_calls", COUNT(0, 1000), "20",
	"Maximum messages per 1,000 calls for measuring the load of targets.",
	"20",
	MEMBER_OFFSETS(raw_fleet, measuring_per_1000_calls, policy_fleet,
	    measuring_per_1000_calls)},
    {"depth_max", COUNT(1, 64), "8",
	"Maximum number of hops of a nested call, which services pass on to "
	"one another.",
	"8", MEMBER_OFFSETS(raw_fleet, depth_max, policy_fleet, depth_max)},
};

static const struct policy_field team_fields[] = {
    {"name", NAME, NULL, "Name of the team.", "ordering",
	MEMBER_OFFSETS(raw_team, name, policy_team, name)},
    {"token_sha256", DIGEST, NULL,
	"SHA-256 of the team's token; the token itself is never written "
	"here.",
	"(64 hex digits)",
	MEMBER_OFFSETS(raw_team, token_sha256, policy_team, token_digest)},
};

static const struct policy_field tenant_fields[] = {
    {"name", NAME, NULL, "Name of the tenant, unique in the document.",
	"store-0142", MEMBER_OFFSETS(raw_tenant, name, policy_tenant, name)},
    {"token_sha256", DIGEST, NULL,
	"SHA-256 of the bearer token that the tenant's callers send.",
	"(64 hex digits)",
	MEMBER_OFFSETS(raw_tenant, token_sha256, policy_tenant, token_digest)},
    {"weight", COUNT(1, 1000), "1",
	"Weight in fair queueing: share of the slots relative to other "
	"tenants while calls of all of them are waiting.",
	"2", MEMBER_OFFSETS(raw_tenant, weight, policy_tenant, weight)},
};

static const struct policy_field service_fields[] = {
    {"name", NAME, "", "Name of the service; default: the name of the section.",
	"store-orders",
	MEMBER_OFFSETS(raw_service, name, policy_service, name)},
    {"target_slots", COUNT(1, 10000), "4",
	"Maximum calls that one target runs at once.", "4",
	MEMBER_OFFSETS(
	    raw_service, target_slots, policy_service, target_slots)},
    {"target_connections", COUNT(1, 100000), "250",
	"Maximum connections to one target, total of all entries.", "250",
	MEMBER_OFFSETS(raw_service, target_connections, policy_service,
	    target_connections)},
    {"cold_start", MS(0, HOUR_MS), "10s",
	"Time in which a new target's share of the calls grows to full.", "10s",
	MEMBER_OFFSETS(raw_service, cold_start, policy_service, cold_start_ms)},
    {"queue_wait", MS(0, HOUR_MS), "1s",
	"Maximum time that a call waits for a slot in an entry.", "500ms",
	MEMBER_OFFSETS(raw_service, queue_wait, policy_service, queue_wait_ms)},
    {"queue_calls", COUNT(0, 100000), "100",
	"Maximum number of calls waiting in one entry.", "100",
	MEMBER_OFFSETS(raw_service, queue_calls, policy_service, queue_calls)},
    {"bulk_slots", PERCENT(1, 100), "50%",
	"Maximum share of the slots for calls of class bulk.", "50%",
	MEMBER_OFFSETS(
	    raw_service, bulk_slots, policy_service, bulk_slots_percent)},
    {"retries", PERCENT(0, 100), "10%",
	"Retry budget: maximum retries as a share of all calls.", "10%",
	MEMBER_OFFSETS(raw_service, retries, policy_service, retry_percent)},
    {"retry_attempts", COUNT(1, 10), "3",
	"Maximum attempts per call, including the first.", "3",
	MEMBER_OFFSETS(
	    raw_service, retry_attempts, policy_service, retry_attempts)},
    {"hedges", PERCENT(0, 100), "0%",
	"Hedging budget: maximum second attempts for slow calls as a share "
	"of all calls; 0%: off. Entries store the value but do not send "
	"hedges yet.",
	"2%",
	MEMBER_OFFSETS(raw_service, hedges, policy_service, hedge_percent)},
    {"ejected", PERCENT(0, 90), "30%",
	"Maximum share of the targets that may be ejected at once.", "30%",
	MEMBER_OFFSETS(raw_service, ejected, policy_service, eject_percent)},
    {"claim_retention", SECONDS(60, 90 * DAY_S), "1d",
	"How long the answer to a non-idempotent call is retained.", "1d",
	MEMBER_OFFSETS(
	    raw_service, claim_retention, policy_service, claim_retention_s)},
    {"claim_answer_max", BYTES(0, MB_BYTES), "16KB",
	"Maximum answer size retained for resends of a non-idempotent call.",
	"16KB",
	MEMBER_OFFSETS(raw_service, claim_answer_max, policy_service,
	    claim_answer_max_bytes)},
    {"claims_max", COUNT(1, 10000000), "100000",
	"Maximum number of non-idempotent calls recorded at once.", "100000",
	MEMBER_OFFSETS(raw_service, claims_max, policy_service, claims_max)},
    {"cut_off", CHOICE("refuse|serve"), "refuse",
	"How an entry treats calls once it cannot confirm that its document is "
	"current.",
	"refuse",
	MEMBER_OFFSETS(raw_service, cut_off, policy_service, cut_off)},
};

static const struct policy_field route_fields[] = {
    {"name", NAME, NULL, "Name of the route, unique in the service.",
	"print-order", MEMBER_OFFSETS(raw_route, name, policy_route, name)},
    {"method", {POLICY_VALUE_METHOD, 1, METHOD_MAX_BYTES, NULL}, "*",
	"HTTP method, or \"*\" for any method.", "POST",
	MEMBER_OFFSETS(raw_route, method, policy_route, method)},
    {"path", {POLICY_VALUE_PATH, 1, PATH_MAX_BYTES, NULL}, "/",
	"Path prefix, matched by whole segments; the longest match wins.",
	"/orders", MEMBER_OFFSETS(raw_route, path, policy_route, path)},
    {"class", CHOICE("interactive|bulk"), "interactive",
	"Scheduling class; interactive: a person waits for the answer.", "bulk",
	MEMBER_OFFSETS(raw_route, class, policy_route, class)},
    {"repeatable", CHOICE("no|yes"), "yes",
	"\"no\": calls are non-idempotent; each requires an Idempotency-Key "
	"header and runs at most once.",
	"no", MEMBER_OFFSETS(raw_route, repeatable, policy_route, repeatable)},
    {"deadline", MS(1, 24 * HOUR_MS), "10s",
	"Time limit of the whole call if the caller states none, and the "
	"maximum that a caller may state.",
	"3s", MEMBER_OFFSETS(raw_route, deadline, policy_route, deadline_ms)},
    {"body_max", BYTES(0, (MB_BYTES << 20)), "1MB",
	"Maximum size of a request body.", "256KB",
	MEMBER_OFFSETS(raw_route, body_max, policy_route, body_max_bytes)},
};

static const struct policy_field limit_fields[] = {
    {"tenant", PATTERN, NULL,
	"Name of a tenant, or a pattern with one '*'; an exact name takes "
	"precedence over a pattern, a longer pattern over a shorter one.",
	"store-*", MEMBER_OFFSETS(raw_limit, tenant, policy_limit, tenant)},
    {"calls_per_second", COUNT(0, 10000000), "0",
	"Maximum calls per second of each matching tenant, total of all "
	"entries; 0: no limit.",
	"20",
	MEMBER_OFFSETS(raw_limit, calls_per_second, policy_limit, calls_per_s)},
    {"burst", COUNT(0, 10000000), "0",
	"Size of the token bucket: calls allowed at once above the rate; 0: "
	"the calls of one second.",
	"60", MEMBER_OFFSETS(raw_limit, burst, policy_limit, burst)},
    {"slots", PERCENT(0, 100), "0%",
	"Maximum share of the service's slots for each matching tenant; 0%: "
	"no limit.",
	"25%", MEMBER_OFFSETS(raw_limit, slots, policy_limit, slots_percent)},
};

static const struct policy_field objective_fields[] = {
    {"name", NAME, NULL, "Name of the objective, unique in the service.",
	"orders-answered",
	MEMBER_OFFSETS(raw_objective, name, policy_objective, name)},
    {"route", PATTERN, "*",
	"Name or pattern of the routes whose calls are counted; \"*\": all.",
	"print-order",
	MEMBER_OFFSETS(raw_objective, route, policy_objective, route)},
    {"success", {POLICY_VALUE_PERMYRIAD, 1, 9999, NULL}, NULL,
	"Minimum share of calls that must be good events.", "99.5%",
	MEMBER_OFFSETS(
	    raw_objective, success, policy_objective, success_permyriad)},
    {"latency", MS(0, HOUR_MS), "0s",
	"Maximum latency; a slower answer is a bad event; 0s: no latency "
	"limit.",
	"400ms",
	MEMBER_OFFSETS(raw_objective, latency, policy_objective, latency_ms)},
    {"window", SECONDS(60, 90 * DAY_S), "30d",
	"Time window over which the share is computed.", "30d",
	MEMBER_OFFSETS(raw_objective, window, policy_objective, window_s)},
};

#define TABLE(where, text, list)                                    \
	{                                                           \
		where, text, list, sizeof(list) / sizeof((list)[0]) \
	}

const struct policy_field_table policy_field_tables[POLICY_TABLE_COUNT] = {
    [POLICY_TABLE_SECTION] =
	TABLE("", "Fields of every section", section_fields),
    [POLICY_TABLE_FLEET] =
	TABLE("fleet", "Settings of the whole installation", fleet_fields),
    [POLICY_TABLE_TEAM] =
	TABLE("fleet.teams[]", "Teams that own sections", team_fields),
    [POLICY_TABLE_TENANT] = TABLE(
	"tenants[]", "Tenants, the organisations of callers", tenant_fields),
    [POLICY_TABLE_SERVICE] =
	TABLE("service", "Settings of a service", service_fields),
    [POLICY_TABLE_ROUTE] =
	TABLE("service.routes[]", "Routes of a service", route_fields),
    [POLICY_TABLE_LIMIT] =
	TABLE("service.limits[]", "Limits per tenant", limit_fields),
    [POLICY_TABLE_OBJECTIVE] = TABLE(
	"service.objectives[]", "Service-level objectives", objective_fields),
};

/*
 * Appends the table row of a field: key, allowed values, default, example,
 * meaning.
 */
static void
markdown_field(const struct policy_field *field, struct str_buf *out)
{
	str_buf_printf(out, "| `%s` | ", field->key);
	policy_value_describe(&field->rule, out);
	if (field->default_value == NULL)
		str_buf_append_c(out, " | required");
	else if (field->default_value[0] == '\0')
		str_buf_append_c(out, " | see meaning");
	else
		str_buf_printf(out, " | `%s`", field->default_value);
	str_buf_printf(out, " | `%s` | %s |\n", field->example, field->help);
}

/*
 * Appends one table per group of fields, then the refusal reasons.
 */
void
policy_fields_markdown(struct str_buf *out)
{
	for (unsigned i = 0; i < POLICY_TABLE_COUNT; i++) {
		const struct policy_field_table *table =
		    &policy_field_tables[i];

		str_buf_printf(out, "### %s%s%s%s\n\n", table->help,
		    table->path[0] != '\0' ? ": `" : "", table->path,
		    table->path[0] != '\0' ? "`" : "");
		str_buf_append_c(out,
		    "| field | allowed | default | example | meaning |\n"
		    "|---|---|---|---|---|\n");
		for (uint32_t k = 0; k < table->count; k++)
			markdown_field(&table->fields[k], out);
		str_buf_append_c(out, "\n");
	}
	str_buf_append_c(out,
	    "### Refusal texts sent to callers: `service.refusals`\n\n"
	    "| reason | HTTP status | default text |\n|---|---|---|\n");
	for (unsigned i = 0; i < REFUSAL_REASON_COUNT; i++) {
		enum refusal_reason reason = (enum refusal_reason)i;

		str_buf_printf(out, "| `%s` | %d | %s |\n",
		    refusal_reason_name(reason), refusal_http_status(reason),
		    refusal_default_text(reason));
	}
}
