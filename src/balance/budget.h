/*
 * The measuring budget of one entry: a hard bound on the messages and bytes
 * spent on asking targets for their load.  Its rate is the document's,
 * divided over the entries; spending never runs ahead of it.
 */
#ifndef BALANCE_BUDGET_H
#define BALANCE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct measuring_budget {
	uint64_t messages_per_s; /* of this entry */
	uint64_t bytes_per_s;
	uint64_t per_1000_calls;
	double messages; /* tokens */
	double bytes;
	double calls;
	uint64_t refilled_us;
	/* A larger share waits until every entry knows of the change. */
	uint64_t next_messages_per_s;
	uint64_t next_bytes_per_s;
	uint64_t grow_us; /* when the next share starts; 0: none waits */
};

/*
 * Every entry is taken to learn of a change of the entries within this
 * time.  A smaller share starts at once, a larger or a first one after it,
 * so that the shares never add up to more than the whole.
 */
#define MEASURING_BUDGET_GROW_DELAY_US UINT64_C(10000000)

/*
 * Zero-initialise before the first call.  Not safe from several threads.
 * divisor: the entries that share the fleet's budget, at least 1.
 */
void measuring_budget_set(struct measuring_budget *budget,
    uint64_t messages_per_s, uint64_t bytes_per_s, uint64_t per_1000_calls,
    uint32_t divisor, uint64_t now_us) ATTR_NONNULL_ALL;
void measuring_budget_earn(
    struct measuring_budget *budget, uint64_t calls) ATTR_NONNULL_ALL;
/* Takes one message of that many bytes, or returns false. */
bool measuring_budget_spend(struct measuring_budget *budget, uint64_t bytes,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
