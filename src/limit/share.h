/*
 * Division of fleet-wide bounds (rates, connections, measuring) among the
 * entries: each lease carries a divisor, and the entry's part is the bound
 * divided by it.  The parts that may be in force never add up to more than
 * the whole, while entries come and go and messages are lost:
 *
 * - a part that was made smaller counts in full until the entry confirms,
 *   or until the last lease that granted the larger one has run out;
 * - a part is made larger only out of what no other may be using;
 * - an entry whose lease has run out keeps a safe part, the bound divided
 *   by entries_max or its own if that is smaller, for safe_us and nothing
 *   after; that is reserved, for as long or until the entry is known to be
 *   gone, and by a new leader for all entries that it doesn't know.
 *
 * Pure: time is an argument, and the caller serialises calls.
 */
#ifndef LIMIT_SHARE_H
#define LIMIT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	SHARE_MEMBERS_MAX = 256
};

struct share_member {
	bool known;
	uint32_t divisor; /* of the last lease; 0: none yet */
	uint64_t lease_until_us; /* end of the last lease */
	double reserved; /* largest part that may be in force */
	uint64_t reserved_until_us; /* when held falls to 1 / divisor */
	uint64_t last_request_us; /* last asked for a lease */
};

struct share_params {
	uint32_t entries_max; /* divisor of the safe part */
	uint64_t lease_us; /* longest that an entry can make of a lease */
	uint64_t safe_us; /* how long the safe part lasts after it */
};

struct share_table {
	struct share_params params;
	uint64_t growth_from_us; /* before it, parts only shrink */
	uint64_t
	    unknown_until_us; /* before it, unknown entries may have parts */
	struct share_member members[SHARE_MEMBERS_MAX];
};

/* first: no other leader has ever granted a lease. */
void
share_table_init(struct share_table *table, const struct share_params *params,
    bool first_leader, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Returns the divisor of a lease that starts now, or 0 when nothing is free
 * for that member yet.
 */
uint32_t share_grant(struct share_table *table, unsigned member_index,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * The entry says by which divisor it goes (0: none), and whether its lease
 * runs; with each heartbeat, before the grant.
 */
void share_confirm(struct share_table *table, unsigned member_index,
    uint32_t divisor, bool lease_live, uint64_t now_us) ATTR_NONNULL_ALL;
/* The process is gone for certain: another incarnation took its place. */
void share_remove_member(
    struct share_table *table, unsigned member_index) ATTR_NONNULL_ALL;
/* The sum of all parts that may be in force, at most 1.0. */
double share_reserved_sum(
    const struct share_table *table, uint64_t now_us) ATTR_NONNULL_ALL;
/* An entry's own part, by the last lease it got (divisor 0: none). */
double share_current(const struct share_params *params, uint32_t divisor,
    uint64_t lease_until_us, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
