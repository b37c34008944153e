/*
 * How many lines a process may log in a second: each costs processor time
 * that requests need.  What is left out is counted and said in the next
 * second.  Owned by one thread.
 */
#ifndef BASE_LOG_BUDGET_H
#define BASE_LOG_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct log_limiter {
	const char *instance;
	uint64_t second;
	unsigned lines;
	uint64_t suppressed;
	uint64_t suppressed_total;
};

/*
 * Whether one more line may be logged at a time in milliseconds.  Routine
 * lines, on what went well, leave most of the second's to others.
 */
bool log_limiter_allow(struct log_limiter *limiter, uint64_t now_ms,
    bool routine) ATTR_NONNULL_ALL;

#endif
