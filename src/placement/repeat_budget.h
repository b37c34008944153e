/*
 * The arrivals beyond the first of each request that a service may get in
 * any window: a ratio of the requests and a slack.  Counted in slices, so
 * that the window slides.
 */
#ifndef PLACEMENT_REPEAT_BUDGET_H
#define PLACEMENT_REPEAT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	REPEAT_SLICES = 50 /* an edge of 2 % of the window is counted twice */
};

struct repeat_limits {
	uint64_t window_us;
	double ratio; /* of the requests in the window */
	double slack; /* arrivals on top */
};

struct repeat_budget {
	struct repeat_limits limits;
	uint64_t requests[REPEAT_SLICES];
	uint64_t repeats[REPEAT_SLICES];
	uint64_t slice; /* number of the newest slice since the clock's start */
	uint64_t request_sum;
	uint64_t repeat_sum;
	uint64_t taken_over_us; /* when it began to follow another */
};

void repeat_budget_init(struct repeat_budget *budget,
    const struct repeat_limits *limits, uint64_t now_us) ATTR_NONNULL_ALL;
/* From now on it follows another that has spent an unknown part. */
void repeat_budget_take_over(
    struct repeat_budget *budget, uint64_t now_us) ATTR_NONNULL_ALL;
void repeat_budget_request(
    struct repeat_budget *budget, uint64_t now_us) ATTR_NONNULL_ALL;
void repeat_budget_repeat(
    struct repeat_budget *budget, uint64_t now_us) ATTR_NONNULL_ALL;
/* Whether one more repeat keeps within a share, 0 to 1, of the limits. */
bool repeat_budget_allows(struct repeat_budget *budget, double share,
    uint64_t now_us) ATTR_NONNULL_ALL;

#endif
