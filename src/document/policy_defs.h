/*
 * Typed values of the accepted document.  A policy is immutable once built and
 * shared by reference count; its strings live in memory of its own.
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

/*
 * What an entry does with calls to a service once its document lease has
 * expired.
 */
enum policy_cut_off {
	POLICY_CUT_OFF_REFUSE,
	POLICY_CUT_OFF_SERVE
};

struct policy_team {
	struct str name;
	uint8_t token_digest[POLICY_DIGEST_BYTES];
};

/* Section of kind "fleet": settings of the whole installation. */
struct policy_fleet {
	uint64_t lease_ms; /* document lease of an entry */
	uint64_t target_lease_ms; /* lifetime of an announcement */
	uint64_t lookup_cache_ms; /* how long callers cache a lookup */
	uint64_t entries_max; /* divisor of the safe share */
	uint64_t measuring_messages_per_s; /* total of all entries */
	uint64_t measuring_bytes_per_s; /* total of all entries */
	uint64_t measuring_per_1000_calls; /* probe messages per 1,000 calls */
	uint32_t depth_max; /* hops of a nested call */
	struct policy_team *teams;
	uint32_t team_count;
};

struct policy_tenant {
	struct str name;
	uint8_t token_digest[POLICY_DIGEST_BYTES];
	uint32_t weight; /* weight in fair queueing */
};

struct policy_limit {
	struct str tenant; /* name or pattern with one '*' */
	uint64_t calls_per_s; /* total of all entries; 0: no limit */
	uint64_t burst; /* calls */
	uint32_t slots_percent; /* of the service's slots; 0: no limit */
};

struct policy_route {
	struct str name;
	struct str method; /* "*" for any */
	struct str path; /* prefix */
	enum policy_class class;
	bool repeatable; /* false: needs a claim, runs at most once */
	uint64_t deadline_ms; /* default and upper bound of a call's deadline */
	uint64_t body_max_bytes;
	struct str *tenants; /* allowed tenants, names or patterns */
	uint32_t tenant_count;
};

struct policy_objective {
	struct str name;
	struct str route; /* route name, or "*" */
	uint32_t success_permyriad; /* 9950 means 99.50 % */
	uint64_t latency_ms; /* slower answers are bad events; 0: no bound */
	uint64_t window_s;
};

struct policy_refusal_text {
	enum refusal_reason reason;
	struct str text;
};

/* Section of kind "service". */
struct policy_service {
	struct str name;
	struct str *hosts;
	uint32_t host_count;
	struct policy_route *routes; /* the longest matching path wins */
	uint32_t route_count;
	struct policy_limit *limits;
	uint32_t limit_count;
	struct policy_objective *objectives;
	uint32_t objective_count;
	struct policy_refusal_text *texts;
	uint32_t text_count;
	uint32_t target_slots;
	uint32_t target_connections; /* total of all entries */
	uint64_t cold_start_ms;
	uint64_t queue_wait_ms; /* maximum wait in an entry's queue */
	uint32_t queue_calls; /* maximum queue length of one entry */
	uint32_t bulk_slots_percent; /* share of slots for bulk calls */
	uint32_t retry_percent; /* retries per 100 calls */
	uint32_t retry_attempts; /* maximum attempts per call, first included */
	uint32_t hedge_percent; /* hedges per 100 calls; 0: off */
	uint32_t eject_percent; /* maximum share of targets ejected at once */
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

/* A section: its text as accepted and the values parsed from it. */
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
	void *memory; /* arena that owns the section's memory */
};

struct policy_index;

/* The set of sections currently in force. */
struct policy {
	struct refcount ref;
	uint64_t revision; /* highest section revision */
	struct policy_section **sections; /* sorted by name */
	uint32_t section_count;
	const struct policy_fleet *fleet; /* NULL when there is none */
	struct policy_index *index; /* lookup by host, service and tenant */
};

#endif
