/*
 * Estimates the usual timeouts of a route's callers from the remaining time
 * given in their requests.  A retry has less time left than a first try; the
 * difference is how long its caller has been trying, and the objective is
 * measured from the first try.  Otherwise, after bursts and failures, retries
 * would take the fast slots of requests that can still be on time.
 *
 * A route may have callers with several timeouts; each used by at least a fifth
 * of the requests is recognized.  Performs no I/O.
 */
#ifndef FLOW_CALLER_TIMEOUTS_H
#define FLOW_CALLER_TIMEOUTS_H

#include <stdint.h>

#include "base/attr.h"

enum {
	CALLER_TIMEOUT_SAMPLES = 64,
	CALLER_TIMEOUT_MODES_MAX = 4
};

struct caller_timeouts {
	uint32_t left_ms[CALLER_TIMEOUT_SAMPLES]; /* of the latest requests */
	unsigned count; /* total */
	/* usual timeouts, longest first */
	uint32_t modes_ms[CALLER_TIMEOUT_MODES_MAX];
	unsigned mode_count;
};

/* Records the remaining time of a request's caller, in milliseconds. */
void caller_timeouts_record(
    struct caller_timeouts *timeouts, uint64_t left_ms) ATTR_NONNULL_ALL;
/*
 * How long a caller with this remaining time has been trying, in milliseconds;
 * 0 for a first try, or if unknown.
 */
uint64_t caller_timeouts_elapsed_ms(
    const struct caller_timeouts *timeouts, uint64_t left_ms) ATTR_NONNULL_ALL;

#endif
