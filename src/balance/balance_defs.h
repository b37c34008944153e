/*
 * Types that the balancing policies share.
 */
#ifndef BALANCE_BALANCE_DEFS_H
#define BALANCE_BALANCE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

enum balance_policy {
	BALANCE_RANDOM,
	BALANCE_ROUND_ROBIN,
	BALANCE_LEAST_IN_FLIGHT, /* as this entry sees it */
	BALANCE_POWER_OF_TWO, /* on the targets' reports */
	BALANCE_PEAK_LATENCY, /* peak latency times in-flight */
	BALANCE_EXPECTED_DELAY, /* what the product uses; docs/DESIGN.md */
	BALANCE_POLICY_COUNT
};

enum balance_state {
	BALANCE_READY,
	BALANCE_COLD,
	BALANCE_DRAINING
};

struct balance_params {
	enum balance_policy policy;
	uint64_t cold_start_us; /* ramp after announcement */
	uint32_t eject_percent; /* targets ejected at once at most */
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
};

/* A target's report, as it rides on its answers or comes from a probe. */
struct balance_report {
	uint32_t in_flight; /* calls in the target's slots and queue */
	uint32_t slots;
	bool draining;
	uint64_t age_us; /* when known; 0: as of now */
};

enum balance_outcome {
	BALANCE_ANSWERED, /* a whole answer, not an error */
	BALANCE_ERROR, /* a 5xx answer */
	BALANCE_SHED, /* refused by the target before starting */
	BALANCE_UNREACHABLE, /* no connection */
	BALANCE_BROKEN, /* broke off or timed out */
	BALANCE_CANCELLED /* given up by the caller or a hedge */
};

/* One attempt on one target.  Plain value; pass it back unchanged. */
struct balance_ticket {
	void *target; /* holds a reference */
	uint64_t start_us;
	uint32_t flags;
};

enum balance_verdict {
	BALANCE_PICKED,
	BALANCE_WAIT, /* all at their limits; *wait_us says how long */
	BALANCE_NONE /* no eligible target at all */
};

struct balance_call {
	const struct balance_ticket *avoid; /* targets already tried */
	unsigned avoid_count;
	bool bulk;
};

#endif
