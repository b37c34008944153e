#include "document/policy_raw.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <cyaml/cyaml.h>

enum {
	LOG_LINE_BYTES = 256,
	PATH_BYTES = 256
};

#define OPTIONAL_POINTER (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)
#define TEXT(structure, member) \
	CYAML_FIELD_STRING_PTR( \
	    #member, OPTIONAL_POINTER, structure, member, 0, CYAML_UNLIMITED)
#define LIST(structure, member, count, entry, max)                       \
	CYAML_FIELD_SEQUENCE_COUNT(#member, OPTIONAL_POINTER, structure, \
	    member, count, &(entry), 0, max)

static const cyaml_schema_value_t name_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char *, 0, CYAML_UNLIMITED),
};

static const cyaml_schema_field_t team_fields[] = {
    TEXT(struct raw_team, name),
    TEXT(struct raw_team, token_sha256),
    CYAML_FIELD_END,
};
static const cyaml_schema_value_t team_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct raw_team, team_fields),
};

static const cyaml_schema_field_t fleet_fields[] = {
    TEXT(struct raw_fleet, lease),
    TEXT(struct raw_fleet, target_lease),
    TEXT(struct raw_fleet, answer_keep),
    TEXT(struct raw_fleet, entries_max),
    TEXT(struct raw_fleet, measuring_messages),
    TEXT(struct raw_fleet, measuring_bytes),
    TEXT(struct raw_fleet, measuring_per_1000_calls),
    TEXT(struct raw_fleet, depth_max),
    LIST(struct raw_fleet, teams, team_count, team_schema, RAW_TEAMS_MAX),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t tenant_fields[] = {
    TEXT(struct raw_tenant, name),
    TEXT(struct raw_tenant, token_sha256),
    TEXT(struct raw_tenant, weight),
    CYAML_FIELD_END,
};
static const cyaml_schema_value_t tenant_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct raw_tenant, tenant_fields),
};

static const cyaml_schema_field_t limit_fields[] = {
    TEXT(struct raw_limit, tenant),
    TEXT(struct raw_limit, calls_per_second),
    TEXT(struct raw_limit, burst),
    TEXT(struct raw_limit, slots),
    CYAML_FIELD_END,
};
static const cyaml_schema_value_t limit_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct raw_limit, limit_fields),
};

static const cyaml_schema_field_t route_fields[] = {
    TEXT(struct raw_route, name),
    TEXT(struct raw_route, method),
    TEXT(struct raw_route, path),
    TEXT(struct raw_route, class),
    TEXT(struct raw_route, repeatable),
    TEXT(struct raw_route, deadline),
    TEXT(struct raw_route, body_max),
    LIST(struct raw_route, tenants, tenant_count, name_schema, RAW_NAMES_MAX),
    CYAML_FIELD_END,
};
static const cyaml_schema_value_t route_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct raw_route, route_fields),
};

static const cyaml_schema_field_t objective_fields[] = {
    TEXT(struct raw_objective, name),
    TEXT(struct raw_objective, route),
    TEXT(struct raw_objective, success),
    TEXT(struct raw_objective, latency),
    TEXT(struct raw_objective, window),
    CYAML_FIELD_END,
};
static const cyaml_schema_value_t objective_schema = {
    CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct raw_objective, objective_fields),
};

/* One field per refusal reason, filled once from the names of the reasons. */
static cyaml_schema_field_t refusal_fields[REFUSAL_REASON_COUNT + 1];
static pthread_once_t refusal_fields_once = PTHREAD_ONCE_INIT;

static const cyaml_schema_field_t service_fields[] = {
    TEXT(struct raw_service, name),
    LIST(struct raw_service, hosts, host_count, name_schema, RAW_NAMES_MAX),
    LIST(struct raw_service, routes, route_count, route_schema, RAW_ROUTES_MAX),
    LIST(struct raw_service, limits, limit_count, limit_schema, RAW_LIMITS_MAX),
    LIST(struct raw_service, objectives, objective_count, objective_schema,
	RAW_OBJECTIVES_MAX),
    CYAML_FIELD_MAPPING_PTR("refusals", OPTIONAL_POINTER, struct raw_service,
	refusals, refusal_fields),
    TEXT(struct raw_service, target_slots),
    TEXT(struct raw_service, target_connections),
    TEXT(struct raw_service, cold_start),
    TEXT(struct raw_service, queue_wait),
    TEXT(struct raw_service, queue_calls),
    TEXT(struct raw_service, bulk_slots),
    TEXT(struct raw_service, retries),
    TEXT(struct raw_service, retry_attempts),
    TEXT(struct raw_service, hedges),
    TEXT(struct raw_service, ejected),
    TEXT(struct raw_service, claim_retention),
    TEXT(struct raw_service, claim_answer_max),
    TEXT(struct raw_service, claims_max),
    TEXT(struct raw_service, cut_off),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t section_fields[] = {
    TEXT(struct raw_section, section),
    TEXT(struct raw_section, team),
    CYAML_FIELD_MAPPING_PTR(
	"fleet", OPTIONAL_POINTER, struct raw_section, fleet, fleet_fields),
    LIST(struct raw_section, tenants, tenant_count, tenant_schema,
	RAW_TENANTS_MAX),
    CYAML_FIELD_MAPPING_PTR("service", OPTIONAL_POINTER, struct raw_section,
	service, service_fields),
    CYAML_FIELD_END,
};
static const cyaml_schema_value_t section_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct raw_section, section_fields),
};

/*
 * Builds the schema of service.refusals from the refusal reasons.  Called once.
 */
static void
fill_refusal_fields(void)
{
	for (unsigned i = 0; i < REFUSAL_REASON_COUNT; i++)
		refusal_fields[i] = (cyaml_schema_field_t){
		    .key = refusal_reason_name((enum refusal_reason)i),
		    .data_offset =
			(uint32_t)(offsetof(struct raw_refusals, text) +
			    i * sizeof(char *)),
		    .value =
			{
			    CYAML_VALUE_STRING(
				OPTIONAL_POINTER, char *, 0, CYAML_UNLIMITED),
			},
		};
}

/* Errors that libcyaml logs for a text that does not match the schema. */
struct collector {
	char problem[LOG_LINE_BYTES]; /* the first error */
	char path[PATH_BYTES]; /* built from the backtrace, innermost first */
};

/*
 * Prepends part to the path, which the backtrace lists from the inside out; dot
 * inserts a separator between two keys.
 */
static void
prepend_path(struct collector *collector, const char *part, bool dot)
{
	char old[PATH_BYTES];

	memcpy(old, collector->path, sizeof(old));
	snprintf(collector->path, sizeof(collector->path), "%.100s%s%.150s",
	    part, dot && old[0] != '\0' && old[0] != '[' ? "." : "", old);
}

/* Parses one line of the backtrace. */
static void
collect_path_component(struct collector *collector, const char *line)
{
	char name[LOG_LINE_BYTES];
	char part[16];
	unsigned entry;

	if (sscanf(line, " in mapping field '%255[^']'", name) == 1)
		prepend_path(collector, name, true);
	else if (sscanf(line, " in sequence entry '%u'", &entry) == 1) {
		/* libcyaml counts from 1. */
		snprintf(part, sizeof(part), "[%u]", entry - 1);
		prepend_path(collector, part, true);
	}
}

/* Log function for libcyaml: stores the first problem and its path. */
static void __attribute__((format(printf, 3, 0)))
collect_log(cyaml_log_t level, void *ctx, const char *fmt, va_list args)
{
	struct collector *collector = ctx;
	char line[LOG_LINE_BYTES];

	if (level != CYAML_LOG_ERROR)
		return;
	vsnprintf(line, sizeof(line), fmt, args);
	line[strcspn(line, "\n")] = '\0';
	if (strncmp(line, "Load: ", strlen("Load: ")) != 0)
		collect_path_component(collector, line);
	else if (collector->problem[0] == '\0')
		memcpy(collector->problem, line + strlen("Load: "),
		    sizeof(line) - strlen("Load: "));
}

/*
 * Returns the configuration of libcyaml; nothing is logged if collector is
 * NULL.
 */
static cyaml_config_t
make_config(struct collector *collector)
{
	return (cyaml_config_t){
	    .log_fn = collector != NULL ? collect_log : NULL,
	    .log_ctx = collector,
	    .log_level = CYAML_LOG_ERROR,
	    .mem_fn = cyaml_mem,
	    .flags = CYAML_CFG_NO_ALIAS,
	};
}

/*
 * Appends the keys of a mapping, since libcyaml's "Unexpected key: x" does not
 * say what is allowed.
 */
static void
append_allowed_keys(const cyaml_schema_field_t *fields, struct str_buf *out)
{
	for (; fields->key != NULL; fields++)
		str_buf_printf(
		    out, "%s%s", out->len > 0 ? ", " : "", fields->key);
}

/*
 * Returns the schema of the mapping at a path; NULL when there is no mapping.
 */
static const cyaml_schema_field_t *
fields_at(const char *path)
{
	const cyaml_schema_field_t *fields = section_fields;
	struct str rest = str_from(path);
	struct str part;

	while (rest.len > 0 && str_split(&rest, '.', &part)) {
		const char *bracket =
		    part.len > 0 ? memchr(part.data, '[', part.len) : NULL;
		const cyaml_schema_value_t *value = NULL;

		if (bracket != NULL)
			part.len = (size_t)(bracket - part.data);
		for (; fields->key != NULL && value == NULL; fields++) {
			if (str_equal_c(part, fields->key))
				value = &fields->value;
		}
		if (value != NULL && value->type == CYAML_SEQUENCE)
			value = value->sequence.entry;
		if (value == NULL || value->type != CYAML_MAPPING)
			return NULL;
		fields = value->mapping.fields;
	}
	return fields;
}

/* Appends the unknown key to the path, so that its own line is reported. */
static void
append_unknown_key(struct collector *collector)
{
	static const char unexpected[] = "Unexpected key: ";
	size_t used = strlen(collector->path);

	if (strncmp(collector->problem, unexpected, strlen(unexpected)) != 0)
		return;
	snprintf(collector->path + used, sizeof(collector->path) - used,
	    "%s%.100s", used > 0 ? "." : "",
	    collector->problem + strlen(unexpected));
	snprintf(
	    collector->problem, sizeof(collector->problem), "unknown field");
}

/* Describes the kind of a libcyaml event for an error message. */
static const char *
event_description(const char *event)
{
	if (strncmp(event, "SEQ", strlen("SEQ")) == 0)
		return "a list";
	if (strncmp(event, "MAP", strlen("MAP")) == 0)
		return "a mapping";
	return "a single value";
}

/*
 * Rewrites the error for a wrong kind of value: what was found and what is
 * allowed.
 */
static void
rewrite_kind_error(struct collector *collector)
{
	char expected[32];
	char found[32];

	if (sscanf(collector->problem, "Expecting %31[^,], got event: %31s",
		expected, found) == 2)
		snprintf(collector->problem, sizeof(collector->problem),
		    "found %s; allowed: %s", event_description(found),
		    event_description(expected));
}

/*
 * Sets and returns STATUS_INVALID with the section, line, field, what was found
 * and what is allowed.
 */
static enum status
set_schema_error(struct collector *collector, const struct policy_lines *lines,
    struct str name, cyaml_err_t err)
{
	const cyaml_schema_field_t *fields = NULL;
	struct str_buf allowed = {0};

	if (err == CYAML_ERR_INVALID_KEY) {
		fields = fields_at(collector->path);
		append_unknown_key(collector);
	}
	rewrite_kind_error(collector);
	if (collector->problem[0] == '\0')
		snprintf(collector->problem, sizeof(collector->problem), "%s",
		    cyaml_strerror(err));
	if (fields != NULL)
		append_allowed_keys(fields, &allowed);
	status_set(STATUS_INVALID, "section %.*s, line %u, %s: %s%s%.*s",
	    STR_ARG(name), policy_lines_find(lines, str_from(collector->path)),
	    collector->path[0] != '\0' ? collector->path : "section",
	    collector->problem, allowed.len > 0 ? "; allowed: " : "",
	    STR_ARG(str_buf_view(&allowed)));
	str_buf_free(&allowed);
	return STATUS_INVALID;
}

/*
 * Finds the section's name without parsing YAML: the value of the line that
 * starts with "section:".  Empty when there is none.
 */
struct str
policy_raw_find_name(struct str text)
{
	static const struct str key = STR_LITERAL("section:");
	struct str rest = text;
	struct str line;

	while (str_split(&rest, '\n', &line)) {
		if (str_has_prefix(line, key))
			return str_trim(
			    str_of(line.data + key.len, line.len - key.len));
	}
	return str_of("", 0);
}

/*
 * Loads text by the schema above.  Unknown fields and values of the wrong kind,
 * such as a list where a mapping is expected, are errors.  The result is freed
 * with policy_raw_free().
 */
enum status
policy_raw_load(struct str text, const struct policy_lines *lines,
    struct raw_section **section)
{
	struct collector collector = {0};
	cyaml_config_t config = make_config(&collector);
	cyaml_err_t err;

	pthread_once(&refusal_fields_once, fill_refusal_fields);
	*section = NULL;
	err = cyaml_load_data((const uint8_t *)text.data, text.len, &config,
	    &section_schema, (cyaml_data_t **)section, NULL);
	if (err != CYAML_OK)
		return set_schema_error(
		    &collector, lines, policy_raw_find_name(text), err);
	if (*section == NULL)
		return status_set(
		    STATUS_INVALID, "line 1: the section is empty");
	return STATUS_OK;
}

/*
 * Frees the result of policy_raw_load(); NULL is allowed.
 */
void
policy_raw_free(struct raw_section *section)
{
	cyaml_config_t config = make_config(NULL);

	if (section != NULL)
		cyaml_free(&config, &section_schema, section, 0);
}
