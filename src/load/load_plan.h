/*
 * The calls of a load, all fixed before the first is sent: when each is
 * meant to start, its route, nonce and key.  Latency counts from the
 * intended start, so a slow system cannot slow the load down.
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
	LOAD_COMPLETE, /* the whole answer to this very request */
	LOAD_NOT_RUN, /* "not-run" */
	LOAD_UNKNOWN, /* refused with outcome "unknown" */
	LOAD_WRONG_ANSWER, /* another request's answer */
	LOAD_TRUNCATED, /* an answer that is not whole but looks so */
	LOAD_DISCONNECTED, /* the connection broke off in the answer */
	LOAD_ERROR, /* an error of the target's own */
	LOAD_ABANDONED, /* given up on purpose */
	LOAD_UNREACHABLE, /* no answer at all */
	LOAD_OUTCOME_COUNT
};

/* One call, planned and as it went. */
struct load_record {
	uint64_t intended_us; /* from the start of the load */
	uint64_t nonce;
	uint32_t route;
	uint32_t phase;
	bool abandon;
	bool duplicate; /* the second tap of the record's nonce */
	bool replayed; /* an earlier tap's answer */
	enum load_outcome outcome;
	uint32_t http_status;
	uint32_t reason; /* index into the reasons, 0: none */
	uint64_t latency_us; /* from the intended start */
	uint64_t target_us; /* the target's own share; UINT64_MAX: untold */
	uint64_t late_us; /* start after the intended one */
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
