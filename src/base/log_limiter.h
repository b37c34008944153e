/*
 * Limits the log lines of a process per second, since each costs CPU time that
 * requests need.  Suppressed lines are counted, and the count is logged in a
 * later second.  Not thread-safe: a limiter is used by one thread.
 */
#ifndef BASE_LOG_LIMITER_H
#define BASE_LOG_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct log_limiter {
	const char *instance;
	uint64_t second; /* in which lines were counted */
	unsigned lines; /* logged in this second */
	uint64_t suppressed; /* since the last logged count */
	uint64_t suppressed_total;
};

/*
 * Returns whether one more line may be logged at a time in milliseconds.
 * Routine lines, which report success, have a lower limit, so that most of a
 * second's lines are left for failures.
 */
bool log_limiter_allow(struct log_limiter *limiter, uint64_t now_ms,
    bool routine) ATTR_NONNULL_ALL;

#endif
