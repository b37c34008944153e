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
	"Team that owns the section; only its token may change it.", "ordering",
	MEMBER_OFFSETS(raw_section, team, policy_section, team)},
};

static const struct policy_field fleet_fields[] = {
    {"lease", MS(500, MINUTE_MS), "3s",
	"How long an entry may serve without confirming that its document "
	"is current.",
	"3s", MEMBER_OFFSETS(raw_fleet, lease, policy_fleet, lease_ms)},
    {"target_lease", MS(500, 10 * MINUTE_MS), "3s",
	"How long a target's announcement holds unless it is renewed.", "3s",
	MEMBER_OFFSETS(raw_fleet, target_lease, policy_fleet, target_lease_ms)},
    {"answer_keep", MS(1000, HOUR_MS), "10s",
	"How long a caller may keep the answer to which entries to use.", "10s",
	MEMBER_OFFSETS(raw_fleet, answer_keep, policy_fleet, lookup_cache_ms)},
    {"entries_max", COUNT(1, 1000), "17",
	"The most entries that run at once; a cut-off entry falls back to "
	"this share of each limit.",
	"17",
	MEMBER_OFFSETS(raw_fleet, entries_max, policy_fleet, entries_max)},
    {"measuring_messages", COUNT(0, 1000000), "200",
	"Messages a second that measuring load may cost over all entries.",
	"200",
	MEMBER_OFFSETS(raw_fleet, measuring_messages, policy_fleet,
	    measuring_messages_per_s)},
    {"measuring_bytes", BYTES(0, 1024 * MB_BYTES), "64KB",
	"Bytes a second that measuring load may cost over all entries.", "64KB",
	MEMBER_OFFSETS(
	    raw_fleet, measuring_bytes, policy_fleet, measuring_bytes_per_s)},
    {"measuring_per_1000_calls", COUNT(0, 1000), "20",
	"Messages that measuring may cost for each 1,000 calls.", "20",
	MEMBER_OFFSETS(raw_fleet, measuring_per_1000_calls, policy_fleet,
	    measuring_per_1000_calls)},
    {"depth_max", COUNT(1, 64), "8",
	"Hops of a call that services pass on to one another.", "8",
	MEMBER_OFFSETS(raw_fleet, depth_max, policy_fleet, depth_max)},
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
	"Share of the slots against other tenants when all are waiting.", "2",
	MEMBER_OFFSETS(raw_tenant, weight, policy_tenant, weight)},
};

static const struct policy_field service_fields[] = {
    {"name", NAME, "", "Name of the service; by default the section's name.",
	"store-orders",
	MEMBER_OFFSETS(raw_service, name, policy_service, name)},
    {"target_slots", COUNT(1, 10000), "4",
	"Calls that one target runs at once.", "4",
	MEMBER_OFFSETS(
	    raw_service, target_slots, policy_service, target_slots)},
    {"target_connections", COUNT(1, 100000), "250",
	"Connections that all entries together may hold to one target.", "250",
	MEMBER_OFFSETS(raw_service, target_connections, policy_service,
	    target_connections)},
    {"cold_start", MS(0, HOUR_MS), "10s",
	"How long a new target's share of calls takes to grow to full.", "10s",
	MEMBER_OFFSETS(raw_service, cold_start, policy_service, cold_start_ms)},
    {"queue_wait", MS(0, HOUR_MS), "1s",
	"The longest time a call waits in an entry for a slot.", "500ms",
	MEMBER_OFFSETS(raw_service, queue_wait, policy_service, queue_wait_ms)},
    {"queue_calls", COUNT(0, 100000), "100",
	"The most calls that wait in one entry.", "100",
	MEMBER_OFFSETS(raw_service, queue_calls, policy_service, queue_calls)},
    {"bulk_slots", PERCENT(1, 100), "50%",
	"Share of the slots that calls of class bulk may fill.", "50%",
	MEMBER_OFFSETS(
	    raw_service, bulk_slots, policy_service, bulk_slots_percent)},
    {"retries", PERCENT(0, 100), "10%", "Retries as a share of all calls.",
	"10%",
	MEMBER_OFFSETS(raw_service, retries, policy_service, retry_percent)},
    {"retry_attempts", COUNT(1, 10), "3",
	"Attempts of one call at most, the first one included.", "3",
	MEMBER_OFFSETS(
	    raw_service, retry_attempts, policy_service, retry_attempts)},
    {"hedges", PERCENT(0, 100), "0%",
	"Second attempts for slow calls as a share of all calls; 0% is off. "
	"Entries keep the figure but make no hedges yet.",
	"2%",
	MEMBER_OFFSETS(raw_service, hedges, policy_service, hedge_percent)},
    {"ejected", PERCENT(0, 90), "30%",
	"Share of the targets that may be ejected at once.", "30%",
	MEMBER_OFFSETS(raw_service, ejected, policy_service, eject_percent)},
    {"claim_retention", SECONDS(60, 90 * DAY_S), "1d",
	"How long the answer to an unrepeatable call is remembered.", "1d",
	MEMBER_OFFSETS(
	    raw_service, claim_retention, policy_service, claim_retention_s)},
    {"claim_answer_max", BYTES(0, MB_BYTES), "16KB",
	"The largest answer kept for a resend of an unrepeatable call.", "16KB",
	MEMBER_OFFSETS(raw_service, claim_answer_max, policy_service,
	    claim_answer_max_bytes)},
    {"claims_max", COUNT(1, 10000000), "100000",
	"Unrepeatable calls remembered at once.", "100000",
	MEMBER_OFFSETS(raw_service, claims_max, policy_service, claims_max)},
    {"cut_off", CHOICE("refuse|serve"), "refuse",
	"What an entry does once it cannot confirm that its document is "
	"current.",
	"refuse",
	MEMBER_OFFSETS(raw_service, cut_off, policy_service, cut_off)},
};

static const struct policy_field route_fields[] = {
    {"name", NAME, NULL, "Name of the route, unique in the service.",
	"print-order", MEMBER_OFFSETS(raw_route, name, policy_route, name)},
    {"method", {POLICY_VALUE_METHOD, 1, METHOD_MAX_BYTES, NULL}, "*",
	"HTTP method, or \"*\" for any.", "POST",
	MEMBER_OFFSETS(raw_route, method, policy_route, method)},
    {"path", {POLICY_VALUE_PATH, 1, PATH_MAX_BYTES, NULL}, "/",
	"Path prefix, by whole segments; the longest match decides.", "/orders",
	MEMBER_OFFSETS(raw_route, path, policy_route, path)},
    {"class", CHOICE("interactive|bulk"), "interactive",
	"Whether a person waits for the answer.", "bulk",
	MEMBER_OFFSETS(raw_route, class, policy_route, class)},
    {"repeatable", CHOICE("no|yes"), "yes",
	"\"no\": a call needs an Idempotency-Key and runs at most once.", "no",
	MEMBER_OFFSETS(raw_route, repeatable, policy_route, repeatable)},
    {"deadline", MS(1, 24 * HOUR_MS), "10s",
	"Time for the whole call when the caller states none, and the most "
	"it may state.",
	"3s", MEMBER_OFFSETS(raw_route, deadline, policy_route, deadline_ms)},
    {"body_max", BYTES(0, (MB_BYTES << 20)), "1MB", "The largest request body.",
	"256KB",
	MEMBER_OFFSETS(raw_route, body_max, policy_route, body_max_bytes)},
};

static const struct policy_field limit_fields[] = {
    {"tenant", PATTERN, NULL,
	"Tenant, or a pattern with one '*'; an exact name goes before a "
	"pattern, a longer pattern before a shorter one.",
	"store-*", MEMBER_OFFSETS(raw_limit, tenant, policy_limit, tenant)},
    {"calls_per_second", COUNT(0, 10000000), "0",
	"Calls a second of each such tenant over all entries; 0: no limit.",
	"20",
	MEMBER_OFFSETS(raw_limit, calls_per_second, policy_limit, calls_per_s)},
    {"burst", COUNT(0, 10000000), "0",
	"Calls at once above the rate; 0: as many as a second's calls.", "60",
	MEMBER_OFFSETS(raw_limit, burst, policy_limit, burst)},
    {"slots", PERCENT(0, 100), "0%",
	"Share of the service's slots that each such tenant may use; 0%: no "
	"limit.",
	"25%", MEMBER_OFFSETS(raw_limit, slots, policy_limit, slots_percent)},
};

static const struct policy_field objective_fields[] = {
    {"name", NAME, NULL, "Name of the objective, unique in the service.",
	"orders-answered",
	MEMBER_OFFSETS(raw_objective, name, policy_objective, name)},
    {"route", PATTERN, "*", "Route it counts, or \"*\" for all.", "print-order",
	MEMBER_OFFSETS(raw_objective, route, policy_objective, route)},
    {"success", {POLICY_VALUE_PERMYRIAD, 1, 9999, NULL}, NULL,
	"Share of calls that are good events.", "99.5%",
	MEMBER_OFFSETS(
	    raw_objective, success, policy_objective, success_permyriad)},
    {"latency", MS(0, HOUR_MS), "0s",
	"A slower answer is a bad event; 0s: any answer is good.", "400ms",
	MEMBER_OFFSETS(raw_objective, latency, policy_objective, latency_ms)},
    {"window", SECONDS(60, 90 * DAY_S), "30d",
	"Time over which the share is counted.", "30d",
	MEMBER_OFFSETS(raw_objective, window, policy_objective, window_s)},
};

#define TABLE(where, text, list)                                    \
	{                                                           \
		where, text, list, sizeof(list) / sizeof((list)[0]) \
	}

const struct policy_field_table policy_field_tables[POLICY_TABLE_COUNT] = {
    [POLICY_TABLE_SECTION] = TABLE("", "Every section", section_fields),
    [POLICY_TABLE_FLEET] =
	TABLE("fleet", "The whole installation", fleet_fields),
    [POLICY_TABLE_TEAM] =
	TABLE("fleet.teams[]", "Teams that own sections", team_fields),
    [POLICY_TABLE_TENANT] =
	TABLE("tenants[]", "Callers' organisations", tenant_fields),
    [POLICY_TABLE_SERVICE] = TABLE("service", "One service", service_fields),
    [POLICY_TABLE_ROUTE] =
	TABLE("service.routes[]", "Kinds of requests", route_fields),
    [POLICY_TABLE_LIMIT] =
	TABLE("service.limits[]", "How much a tenant may send", limit_fields),
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
		str_buf_append_c(out, " | see right");
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
	    "### Words for callers: `service.refusals`\n\n"
	    "| reason | HTTP status | default text |\n|---|---|---|\n");
	for (unsigned i = 0; i < REFUSAL_REASON_COUNT; i++) {
		enum refusal_reason reason = (enum refusal_reason)i;

		str_buf_printf(out, "| `%s` | %d | %s |\n",
		    refusal_reason_name(reason), refusal_http_status(reason),
		    refusal_default_text(reason));
	}
}
