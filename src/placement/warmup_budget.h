/*
 * Token bucket of a cold target, which crashes above a rate of requests.  Its
 * capacity is small and it starts empty, so that two schedulers of one target
 * together stay below the rate at which it crashes.  Performs no I/O; the time
 * is an argument.
 */
#ifndef PLACEMENT_WARMUP_BUDGET_H
#define PLACEMENT_WARMUP_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	/* A target must not get more than this many requests at once. */
	WARMUP_CAPACITY = 2
};

struct warmup_budget {
	double tokens;
	uint64_t updated_us;
};

/* Discards all tokens: the sends of the time before are unknown. */
void warmup_budget_empty(
    struct warmup_budget *budget, uint64_t now_us) ATTR_NONNULL_ALL;
/* Whether one more request stays within a rate. */
bool warmup_budget_allows(const struct warmup_budget *budget, double per_s,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* Takes the token of one request. */
void warmup_budget_take(struct warmup_budget *budget, double per_s,
    uint64_t now_us) ATTR_NONNULL_ALL;

#endif
