/*
 * How long callers of a route wait in all, by the time that they have left
 * when a request comes.  A caller that comes back after a failure has less
 * left than one that comes for the first time: the difference is how long it
 * has been trying, and what it counts as late is measured from its first try.
 * Answers bursts and failures whose returns would otherwise take the quick
 * places of requests that can still be in time.
 *
 * A route may have callers of several patiences: each that a fifth of the
 * requests has counts.  No input or output.
 */
#ifndef FLOW_PATIENCE_H
#define FLOW_PATIENCE_H

#include <stdint.h>

#include "base/attr.h"

enum {
	CALLER_TIMEOUT_SAMPLES = 64,
	CALLER_TIMEOUT_MODES_MAX = 4
};

struct caller_timeouts {
	uint32_t left_ms[CALLER_TIMEOUT_SAMPLES]; /* of the newest requests */
	unsigned count; /* ever */
	uint32_t modes_ms[CALLER_TIMEOUT_MODES_MAX]; /* the longest first */
	unsigned mode_count;
};

/* Takes what a request's caller has left, in milliseconds. */
void caller_timeouts_record(
    struct caller_timeouts *caller_timeouts, uint64_t left_ms) ATTR_NONNULL_ALL;
/* How long such a caller has been trying, in ms; 0: it is new, or unknown. */
uint64_t
caller_timeouts_elapsed_ms(const struct caller_timeouts *caller_timeouts,
    uint64_t left_ms) ATTR_NONNULL_ALL;

#endif
