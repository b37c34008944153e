/*
 * The plan of an open-loop load: start time, route, nonce and key of each call
 * are fixed before the first call is sent.  Latency is measured from the
 * intended start, so that a slow system cannot reduce the load (coordinated
 * omission).
 */
#ifndef LOAD_LOAD_PLAN_H
#define LOAD_LOAD_PLAN_H

#include "load/load_mix.h"

enum {
	LOAD_PHASES_MAX = 16
};

struct load_phase {
	uint64_t rate; /* calls a second */
	uint64_t seconds;
};

enum load_outcome {
	LOAD_NOT_SENT,
	LOAD_COMPLETE, /* the complete answer to this request */
	LOAD_NOT_RUN, /* refused with outcome "not-run" */
	LOAD_UNKNOWN, /* refused with outcome "unknown" */
	LOAD_WRONG_ANSWER, /* another request's answer */
	LOAD_TRUNCATED, /* truncated answer without a transfer error */
	LOAD_DISCONNECTED, /* the connection was closed within the answer */
	LOAD_ERROR, /* an error response of the target */
	LOAD_ABANDONED, /* abandoned as planned */
	LOAD_UNREACHABLE, /* no response */
	LOAD_OUTCOME_COUNT
};

/* One planned call and its result. */
struct load_record {
	uint64_t intended_us; /* from the start of the load */
	uint64_t nonce;
	uint32_t route;
	uint32_t phase;
	bool abandon;
	bool duplicate; /* second call with the same nonce */
	bool replayed; /* the answer is a replay of an earlier one */
	enum load_outcome outcome;
	uint32_t http_status;
	uint32_t reason; /* index into the reasons, 0: none */
	uint64_t latency_us; /* from the intended start */
	uint64_t target_us; /* service time; UINT64_MAX: not reported */
	uint64_t late_us; /* delay of the start after the intended one */
};

struct load_plan {
	struct load_record *records;
	uint32_t count;
	struct load_phase phases[LOAD_PHASES_MAX];
	unsigned phase_count;
};

/* text: RATE:SECONDS,RATE:SECONDS,... */
enum status load_plan_make(struct load_plan *plan, const char *text,
    const struct load_mix *mix,
    uint64_t seed) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void load_plan_free(struct load_plan *plan) ATTR_NONNULL_ALL;
const char *load_outcome_name(enum load_outcome outcome);

#endif
