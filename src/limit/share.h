/*
 * Divides fleet-wide limits (rates, connections, measuring) among the entries:
 * each lease carries a divisor, and an entry's share of a limit is the limit
 * divided by it.  The sum of all shares that may be in use never exceeds the
 * limit, although entries come and go and messages are lost:
 *
 * - a share that was reduced counts in full until the entry confirms the new
 *   one, or until the last lease that granted the larger one has expired;
 * - a share is increased only by what no other entry may be using;
 * - an entry whose lease has expired keeps a safe share, the limit divided by
 *   entries_max or its own share if that is smaller, for safe_us and nothing
 *   afterwards; it is reserved for that time or until the entry is known to be
 *   gone, and by a new leader for all entries that it doesn't know.
 *
 * Time is an argument, and the caller serialises calls.
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
	double reserved; /* largest share that may be in use */
	uint64_t reserved_until_us; /* when reserved falls to 1 / divisor */
	uint64_t last_request_us; /* last time it asked for a lease */
};

struct share_params {
	uint32_t entries_max; /* divisor of the safe share */
	uint64_t lease_us; /* longest time that an entry may use a lease */
	uint64_t safe_us; /* duration of the safe share after that */
};

struct share_table {
	struct share_params params;
	uint64_t growth_from_us; /* before it, shares only shrink */
	uint64_t
	    unknown_until_us; /* before it, unknown entries may have shares */
	struct share_member members[SHARE_MEMBERS_MAX];
};

/* first_leader: no other leader has ever granted a lease. */
void
share_table_init(struct share_table *table, const struct share_params *params,
    bool first_leader, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Returns the divisor of a lease that starts now, or 0 if nothing is available
 * for the member yet.
 */
uint32_t share_grant(struct share_table *table, unsigned member_index,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Records the divisor that the entry uses (0: none) and whether its lease is
 * valid.  Call it for each heartbeat, before the grant.
 */
void share_confirm(struct share_table *table, unsigned member_index,
    uint32_t divisor, bool lease_live, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Releases the share at once.  Only if the process is certain to be gone,
 * since another incarnation took its place.
 */
void share_remove_member(
    struct share_table *table, unsigned member_index) ATTR_NONNULL_ALL;
/* Returns the sum of all shares that may be in use, at most 1.0. */
double share_reserved_sum(
    const struct share_table *table, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Returns the share that an entry may use by its last lease (divisor 0: none).
 */
double share_current(const struct share_params *params, uint32_t divisor,
    uint64_t lease_until_us, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
