/*
 * Measuring budget of one entry: a hard limit on the messages and bytes spent
 * on probing targets for their load.  The rates come from the document and are
 * divided among the entries; spending never exceeds them.
 */
#ifndef BALANCE_BUDGET_H
#define BALANCE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct measuring_budget {
	uint64_t messages_per_s; /* this entry's share */
	uint64_t bytes_per_s;
	uint64_t per_1000_calls;
	double messages; /* message tokens; the next two are tokens too */
	double bytes;
	double calls;
	uint64_t refilled_us;
	/*
	 * A larger share takes effect only when all entries know of the
	 * change.
	 */
	uint64_t next_messages_per_s;
	uint64_t next_bytes_per_s;
	uint64_t grow_us; /* when next_* takes effect; 0: none pending */
};

/*
 * Time within which every entry is expected to learn of a change of the set of
 * entries.  A smaller share takes effect at once, a larger or first one after
 * this time, so that the shares never add up to more than the budget.
 */
#define MEASURING_BUDGET_GROW_DELAY_US UINT64_C(10000000)

/*
 * Zero-initialise the budget before the first call.  Not thread-safe.  divisor
 * is the number of entries sharing the fleet's budget, at least 1.
 */
void measuring_budget_set(struct measuring_budget *budget,
    uint64_t messages_per_s, uint64_t bytes_per_s, uint64_t per_1000_calls,
    uint32_t divisor, uint64_t now_us) ATTR_NONNULL_ALL;
void measuring_budget_count_calls(
    struct measuring_budget *budget, uint64_t calls) ATTR_NONNULL_ALL;
/* Spends one message of the given size, or returns false. */
bool measuring_budget_spend(struct measuring_budget *budget, uint64_t bytes,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
