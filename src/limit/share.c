#include "limit/share.h"

#include <math.h>

/* Tolerance of sums of shares. */
#define SHARE_EPSILON 1e-9
/*
 * A grant below this ratio of the equal share is withheld until more is
 * available.
 */
#define GRANT_MIN_RATIO 0.25

/*
 * Initializes a table without members.
 */
void
share_table_init(struct share_table *table, const struct share_params *params,
    bool first_leader, uint64_t now_us)
{
	*table = (struct share_table){.params = *params};
	if (table->params.entries_max == 0)
		table->params.entries_max = 1;
	if (first_leader)
		return;
	table->growth_from_us = now_us + params->lease_us;
	table->unknown_until_us = table->growth_from_us + params->safe_us;
}

/*
 * Returns the share that a divisor stands for, 0.0 for divisor 0.
 */
static double
share_of_divisor(uint32_t divisor)
{
	return divisor > 0 ? 1.0 / divisor : 0.0;
}

/*
 * Returns the share of the limit that an entry may use, 0.0 to 1.0.
 */
double
share_current(const struct share_params *params, uint32_t divisor,
    uint64_t lease_until_us, uint64_t now_us)
{
	double share = share_of_divisor(divisor);
	double safe_share = share_of_divisor(params->entries_max);

	if (now_us < lease_until_us)
		return share;
	if (now_us >= lease_until_us + params->safe_us)
		return 0.0;
	return share < safe_share ? share : safe_share;
}

/*
 * Returns the largest share that a member may be using.
 */
static double
reserved_share(const struct share_table *table,
    const struct share_member *member, uint64_t now_us)
{
	if (!member->known || member->divisor == 0)
		return 0.0;
	if (member->reserved_until_us > now_us)
		return member->reserved;
	return share_current(
	    &table->params, member->divisor, member->lease_until_us, now_us);
}

/*
 * Returns the share reserved for entries that a new leader doesn't know: the
 * safe share for each of them, until unknown_until_us.
 */
static double
unknown_share(const struct share_table *table, uint64_t now_us)
{
	unsigned known = 0;

	if (now_us >= table->unknown_until_us)
		return 0.0;
	for (unsigned i = 0; i < SHARE_MEMBERS_MAX; i++)
		known += table->members[i].known;
	if (known >= table->params.entries_max)
		return 0.0;
	return (double)(table->params.entries_max - known) /
	    table->params.entries_max;
}

/*
 * Returns the sum over the known members, without the reserve for unknown
 * ones.
 */
double
share_reserved_sum(const struct share_table *table, uint64_t now_us)
{
	double sum = 0.0;

	for (unsigned i = 0; i < SHARE_MEMBERS_MAX; i++)
		sum += reserved_share(table, &table->members[i], now_us);
	return sum;
}

/*
 * Returns an equal share of what the members without a valid lease leave.
 */
static double
equal_share(const struct share_table *table, uint64_t now_us)
{
	uint64_t lease_us = table->params.lease_us;
	double available = 1.0 - unknown_share(table, now_us);
	unsigned live = 0;

	for (unsigned i = 0; i < SHARE_MEMBERS_MAX; i++) {
		const struct share_member *member = &table->members[i];

		if (!member->known)
			continue;
		if (member->last_request_us + lease_us > now_us ||
		    member->lease_until_us > now_us)
			live++;
		else
			available -= reserved_share(table, member, now_us);
	}
	return live > 0 && available > 0.0 ? available / live : 0.0;
}

/*
 * Returns the smallest divisor whose share does not exceed the given one,
 * apart from rounding errors.
 */
static uint32_t
divisor_of_share(double share)
{
	return (uint32_t)ceil(1.0 / share - SHARE_EPSILON);
}

/*
 * Records a lease.  If its share is smaller than the previous one, the larger
 * share stays reserved until the lease that granted it expires.
 */
static void
record_lease(struct share_member *member, uint32_t divisor, uint64_t now_us,
    uint64_t lease_until_us)
{
	double share = share_of_divisor(divisor);
	double previous = share_of_divisor(member->divisor);

	if (member->reserved_until_us <= now_us)
		member->reserved = 0.0;
	if (member->lease_until_us > now_us && previous > share) {
		if (previous > member->reserved)
			member->reserved = previous;
		if (member->lease_until_us > member->reserved_until_us)
			member->reserved_until_us = member->lease_until_us;
	}
	if (share >= member->reserved)
		member->reserved_until_us = 0;
	member->divisor = divisor;
	member->lease_until_us = lease_until_us;
}

/*
 * Grants an equal share, or as much of it as is available; nothing if that is
 * less than GRANT_MIN_RATIO of it.  Before growth_from_us a member gets no
 * more than it may be using already.
 */
uint32_t
share_grant(struct share_table *table, unsigned member_index, uint64_t now_us)
{
	struct share_member *member = &table->members[member_index];
	double own_share = reserved_share(table, member, now_us);
	double wanted;
	double available;
	uint32_t divisor;

	member->known = true;
	member->last_request_us = now_us;
	wanted = equal_share(table, now_us);
	available = now_us < table->growth_from_us
	    ? own_share
	    : 1.0 - unknown_share(table, now_us) -
		(share_reserved_sum(table, now_us) - own_share);
	if (available > wanted)
		available = wanted;
	if (available <= 0.0 || available < wanted * GRANT_MIN_RATIO)
		return 0;
	divisor = divisor_of_share(available);
	record_lease(member, divisor, now_us, now_us + table->params.lease_us);
	return divisor;
}

/*
 * Records the divisor that an entry uses.  A lease of an earlier leader counts
 * until growth_from_us, or from now on as expired if it is no longer valid; a
 * confirmed lease of this leader ends the reservation of a larger share before
 * it.
 */
void
share_confirm(struct share_table *table, unsigned member_index,
    uint32_t divisor, bool lease_live, uint64_t now_us)
{
	struct share_member *member = &table->members[member_index];

	if (divisor == 0)
		return;
	if (member->divisor == 0) {
		/* A lease from an earlier leader. */
		if (now_us >= table->unknown_until_us)
			return;
		member->known = true;
		member->divisor = divisor;
		member->lease_until_us = table->growth_from_us;
		if (!lease_live && now_us < table->growth_from_us)
			member->lease_until_us = now_us;
		return;
	}
	if (divisor == member->divisor)
		member->reserved_until_us = 0;
}

/*
 * Releases a member's share at once; its index may be reused.
 */
void
share_remove_member(struct share_table *table, unsigned member_index)
{
	table->members[member_index] = (struct share_member){0};
}
