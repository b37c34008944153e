/*
 * Types shared by the balancing policies.
 */
#ifndef BALANCE_BALANCE_DEFS_H
#define BALANCE_BALANCE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

enum balance_policy {
	BALANCE_RANDOM,
	BALANCE_ROUND_ROBIN,
	BALANCE_LEAST_IN_FLIGHT, /* calls of this entry only */
	BALANCE_POWER_OF_TWO, /* by the targets' load reports */
	BALANCE_PEAK_LATENCY, /* peak latency times calls in flight */
	BALANCE_EXPECTED_DELAY, /* used in production; docs/DESIGN.md */
	BALANCE_POLICY_COUNT
};

enum balance_state {
	BALANCE_READY,
	BALANCE_COLD,
	BALANCE_DRAINING
};

struct balance_params {
	enum balance_policy policy;
	uint64_t cold_start_us; /* ramp-up after the announcement */
	uint32_t eject_percent; /* limit of targets ejected at once */
	uint32_t entries; /* entries sharing the targets */
	struct str failure_domain; /* of this entry */
	uint64_t seed;
};

struct balance_target_info {
	struct str id;
	struct str address;
	struct str failure_domain;
	uint32_t slots;
	uint32_t connections; /* this entry's share */
	enum balance_state state;
	uint64_t incarnation;
	uint64_t backoff_until_us; /* as the target asked; 0: none */
};

/* A target's load report, sent with its answers or in reply to a probe. */
struct balance_report {
	uint32_t in_flight; /* calls running or queued on the target */
	uint32_t slots;
	bool draining;
	uint64_t age_us; /* age of the report; 0: current */
};

enum balance_outcome {
	BALANCE_ANSWERED, /* a complete answer, not an error */
	BALANCE_ERROR, /* a 5xx answer */
	BALANCE_SHED, /* refused by the target before starting */
	BALANCE_UNREACHABLE, /* no connection */
	BALANCE_BROKEN, /* connection lost, or timed out */
	BALANCE_CANCELLED /* given up by the caller, or a hedge was faster */
};

/* One attempt on one target, passed by value and not to be modified. */
struct balance_ticket {
	void *target; /* holds a reference */
	uint64_t start_us;
	uint32_t flags;
};

enum balance_verdict {
	BALANCE_PICKED,
	BALANCE_WAIT, /* all at their limits; retry after *wait_us */
	BALANCE_BACKOFF, /* all asked to back off, the first for *wait_us */
	BALANCE_NONE /* no eligible target */
};

struct balance_call {
	const struct balance_ticket *avoid; /* targets already tried */
	unsigned avoid_count;
	bool bulk;
};

#endif
