/*
 * A section as loaded by libcyaml: the structure is validated, the values are
 * still text.  NULL marks a field that was not given.
 */
#ifndef DOCUMENT_POLICY_RAW_H
#define DOCUMENT_POLICY_RAW_H

#include "base/status.h"
#include "base/str.h"
#include "document/policy_lines.h"
#include "refusal/refusal_defs.h"

struct raw_team {
	char *name;
	char *token_sha256;
};

struct raw_fleet {
	char *lease;
	char *target_lease;
	char *answer_keep;
	char *entries_max;
	char *measuring_messages;
	char *measuring_bytes;
	char *measuring_per_1000_calls;
	char *depth_max;
	struct raw_team *teams;
	uint32_t team_count;
};

struct raw_tenant {
	char *name;
	char *token_sha256;
	char *weight;
};

struct raw_limit {
	char *tenant;
	char *calls_per_second;
	char *burst;
	char *slots;
};

struct raw_route {
	char *name;
	char *method;
	char *path;
	char *class;
	char *repeatable;
	char *deadline;
	char *body_max;
	char **tenants;
	uint32_t tenant_count;
};

struct raw_objective {
	char *name;
	char *route;
	char *success;
	char *latency;
	char *window;
};

struct raw_refusals {
	char *text[REFUSAL_REASON_COUNT];
};

struct raw_service {
	char *name;
	char **hosts;
	uint32_t host_count;
	struct raw_route *routes;
	uint32_t route_count;
	struct raw_limit *limits;
	uint32_t limit_count;
	struct raw_objective *objectives;
	uint32_t objective_count;
	struct raw_refusals *refusals;
	char *target_slots;
	char *target_connections;
	char *cold_start;
	char *queue_wait;
	char *queue_calls;
	char *bulk_slots;
	char *retries;
	char *retry_attempts;
	char *hedges;
	char *ejected;
	char *claim_retention;
	char *claim_answer_max;
	char *claims_max;
	char *cut_off;
};

struct raw_section {
	char *section;
	char *team;
	struct raw_fleet *fleet;
	struct raw_tenant *tenants;
	uint32_t tenant_count;
	struct raw_service *service;
};

enum {
	RAW_TEAMS_MAX = 1000,
	RAW_TENANTS_MAX = 20000,
	RAW_ROUTES_MAX = 256,
	RAW_LIMITS_MAX = 1000,
	RAW_OBJECTIVES_MAX = 64,
	RAW_NAMES_MAX = 1000
};

/*
 * Loads a section.  STATUS_INVALID names the line, the field and how the
 * structure is wrong.
 */
enum status policy_raw_load(struct str text, const struct policy_lines *lines,
    struct raw_section **section) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Returns the name in the line "section: NAME"; empty when there is none. */
struct str policy_raw_find_name(struct str text);
void policy_raw_free(struct raw_section *section);

#endif
