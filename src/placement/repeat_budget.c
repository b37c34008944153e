#include "placement/repeat_budget.h"

#include <string.h>

/*
 * Part of its share that a budget may use in the first window after a
 * takeover.  Of the retry share of 0.85 this is about half of the remaining
 * 0.15, since the scheduler may change twice within a window.
 */
static const double takeover_share = 0.09;

/*
 * Initializes a budget with empty counts.
 */
void
repeat_budget_init(struct repeat_budget *budget,
    const struct repeat_limits *limits, uint64_t now_us)
{
	memset(budget, 0, sizeof(*budget));
	budget->limits = *limits;
	budget->taken_over_us = now_us;
	budget->slice = now_us / (limits->window_us / REPEAT_SLICES);
}

/*
 * Clears the slices that have left the window, and returns the index of the
 * current one.
 */
static unsigned
advance_window(struct repeat_budget *budget, uint64_t now_us)
{
	uint64_t slice = now_us / (budget->limits.window_us / REPEAT_SLICES);

	while (budget->slice < slice) {
		unsigned at = (unsigned)(++budget->slice % REPEAT_SLICES);

		budget->request_sum -= budget->requests[at];
		budget->repeat_sum -= budget->repeats[at];
		budget->requests[at] = 0;
		budget->repeats[at] = 0;
		if (budget->request_sum == 0 && budget->repeat_sum == 0)
			budget->slice = slice;
	}
	return (unsigned)(budget->slice % REPEAT_SLICES);
}

/*
 * Counts the first send of a request.
 */
void
repeat_budget_request(struct repeat_budget *budget, uint64_t now_us)
{
	budget->requests[advance_window(budget, now_us)]++;
	budget->request_sum++;
}

/*
 * Counts a further send of a request.
 */
void
repeat_budget_repeat(struct repeat_budget *budget, uint64_t now_us)
{
	budget->repeats[advance_window(budget, now_us)]++;
	budget->repeat_sum++;
}

/*
 * Marks this budget as the successor of another instance's.
 */
void
repeat_budget_take_over(struct repeat_budget *budget, uint64_t now_us)
{
	budget->taken_over_us = now_us;
}

/*
 * Returns whether one more repeat stays within the given share of the limits.
 * For one window after a takeover only a small part of it is allowed, which the
 * predecessor was not allowed to use.
 */
bool
repeat_budget_allows(
    struct repeat_budget *budget, double share, uint64_t now_us)
{
	double limit;

	(void)advance_window(budget, now_us);
	if (now_us - budget->taken_over_us < budget->limits.window_us)
		share *= takeover_share;
	limit = budget->limits.ratio * (double)budget->request_sum +
	    budget->limits.slack;
	return (double)(budget->repeat_sum + 1) <= share * limit;
}
