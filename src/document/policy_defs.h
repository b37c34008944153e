/*
 * The accepted document as typed values.  A policy is read-only once built
 * and is shared by reference count; its strings live in its own memory.
 */
#ifndef DOCUMENT_POLICY_DEFS_H
#define DOCUMENT_POLICY_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/refcount.h"
#include "base/str.h"
#include "refusal/refusal_defs.h"

enum {
	POLICY_DIGEST_BYTES = 32
}; /* SHA-256 */

enum policy_class {
	POLICY_INTERACTIVE,
	POLICY_BULK
};

/* What an entry does for a service once its document lease has run out. */
enum policy_cut_off {
	POLICY_CUT_OFF_REFUSE,
	POLICY_CUT_OFF_SERVE
};

struct policy_team {
	struct str name;
	uint8_t token_digest[POLICY_DIGEST_BYTES];
};

/* Section kind "fleet": the whole installation. */
struct policy_fleet {
	uint64_t lease_ms; /* document lease of an entry */
	uint64_t target_lease_ms; /* an announcement's life */
	uint64_t lookup_cache_ms; /* how long callers keep a lookup */
	uint64_t entries_max; /* bound for safe shares */
	uint64_t measuring_messages_per_s; /* over all entries */
	uint64_t measuring_bytes_per_s; /* over all entries */
	uint64_t measuring_per_1000_calls; /* messages a 1,000 calls */
	uint32_t depth_max; /* hops of nested calls */
	struct policy_team *teams;
	uint32_t team_count;
};

struct policy_tenant {
	struct str name;
	uint8_t token_digest[POLICY_DIGEST_BYTES];
	uint32_t weight; /* fair share among tenants */
};

struct policy_limit {
	struct str tenant; /* name or pattern with one '*' */
	uint64_t calls_per_s; /* over all entries; 0: no limit */
	uint64_t burst; /* calls */
	uint32_t slots_percent; /* of the service's slots; 0: no limit */
};

struct policy_route {
	struct str name;
	struct str method; /* "*" for any */
	struct str path; /* prefix */
	enum policy_class class;
	bool repeatable; /* false: claimed, runs at most once */
	uint64_t deadline_ms; /* bound when the caller gives none */
	uint64_t body_max_bytes;
	struct str *tenants; /* names or patterns admitted */
	uint32_t tenant_count;
};

struct policy_objective {
	struct str name;
	struct str route; /* route name, or "*" */
	uint32_t success_permyriad; /* 9950 means 99.50 % */
	uint64_t latency_ms; /* a slower answer is a bad event; 0: any */
	uint64_t window_s;
};

struct policy_refusal_text {
	enum refusal_reason reason;
	struct str text;
};

/* Section kind "service". */
struct policy_service {
	struct str name;
	struct str *hosts;
	uint32_t host_count;
	struct policy_route *routes; /* the longest matching path decides */
	uint32_t route_count;
	struct policy_limit *limits;
	uint32_t limit_count;
	struct policy_objective *objectives;
	uint32_t objective_count;
	struct policy_refusal_text *texts;
	uint32_t text_count;
	uint32_t target_slots;
	uint32_t target_connections; /* over all entries */
	uint64_t cold_start_ms;
	uint64_t queue_wait_ms; /* longest wait in an entry */
	uint32_t queue_calls; /* longest queue of one entry */
	uint32_t bulk_slots_percent; /* slots that bulk calls may fill */
	uint32_t retry_percent; /* retries per 100 calls */
	uint32_t retry_attempts; /* attempts of one call at most */
	uint32_t hedge_percent; /* hedges per 100 calls; 0: off */
	uint32_t eject_percent; /* targets ejected at once at most */
	uint64_t claim_retention_s;
	uint64_t claim_answer_max_bytes;
	uint64_t claims_max;
	enum policy_cut_off cut_off;
};

enum policy_section_kind {
	POLICY_FLEET,
	POLICY_TENANTS,
	POLICY_SERVICE
};

/* One section: the text as accepted and what it says. */
struct policy_section {
	struct refcount ref;
	struct str name;
	struct str team;
	struct str text; /* as accepted, byte for byte */
	uint64_t revision; /* log index of the accepted edit */
	uint8_t digest[POLICY_DIGEST_BYTES]; /* of text */
	enum policy_section_kind kind;
	struct policy_fleet fleet; /* kind POLICY_FLEET */
	struct policy_tenant *tenants; /* kind POLICY_TENANTS */
	uint32_t tenant_count;
	struct policy_service service; /* kind POLICY_SERVICE */
	void *memory; /* owns all of the above */
};

struct policy_index;

/* All sections that are in force together. */
struct policy {
	struct refcount ref;
	uint64_t revision; /* highest section revision */
	struct policy_section **sections; /* sorted by name */
	uint32_t section_count;
	const struct policy_fleet *fleet; /* NULL when there is none */
	struct policy_index *index; /* of hosts, services and tenants */
};

#endif
