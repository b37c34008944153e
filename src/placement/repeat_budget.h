/*
 * Budget for repeats (all sends of a request after its first): in any window a
 * service may get a ratio of its requests, plus a fixed slack.  A sliding
 * window, counted in slices.
 */
#ifndef PLACEMENT_REPEAT_BUDGET_H
#define PLACEMENT_REPEAT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	REPEAT_SLICES = 50 /* up to 2 % of the window is counted twice */
};

struct repeat_limits {
	uint64_t window_us;
	double ratio; /* of repeats to requests in the window */
	double slack; /* additional repeats */
};

struct repeat_budget {
	struct repeat_limits limits;
	uint64_t requests[REPEAT_SLICES];
	uint64_t repeats[REPEAT_SLICES];
	uint64_t slice; /* number of the current slice */
	uint64_t request_sum;
	uint64_t repeat_sum;
	uint64_t taken_over_us; /* when it took over from another budget */
};

void repeat_budget_init(struct repeat_budget *budget,
    const struct repeat_limits *limits, uint64_t now_us) ATTR_NONNULL_ALL;
/* Takes over from a budget that has spent an unknown number of repeats. */
void repeat_budget_take_over(
    struct repeat_budget *budget, uint64_t now_us) ATTR_NONNULL_ALL;
void repeat_budget_request(
    struct repeat_budget *budget, uint64_t now_us) ATTR_NONNULL_ALL;
void repeat_budget_repeat(
    struct repeat_budget *budget, uint64_t now_us) ATTR_NONNULL_ALL;
/* Whether one more repeat stays within a share, 0 to 1, of the limits. */
bool repeat_budget_allows(struct repeat_budget *budget, double share,
    uint64_t now_us) ATTR_NONNULL_ALL;

#endif
