#include "limit/share.h"

#include <math.h>

/* Tolerance of sums of parts. */
#define SHARE_EPSILON 1e-9
/* A part below this share of the wanted one is not worth granting yet. */
#define GRANT_MIN_RATIO 0.25

/*
 * Starts without members.
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
 * Returns the part of the whole that a divisor stands for; 0.0 for none.
 */
static double
share_of_divisor(uint32_t divisor)
{
	return divisor > 0 ? 1.0 / divisor : 0.0;
}

/*
 * Returns the part of the whole that an entry may use, 0.0 to 1.0.
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
 * Returns the largest part that a member may be using.
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
 * Returns what entries unknown to a new leader may be using: the safe part
 * each, once its settling time is over.
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
 * Returns the sum over the members known here, without what is reserved for
 * unknown ones.
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
 * Returns an equal part of what the members that are cut off leave.
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
 * Returns the smallest divisor whose part is no larger than the given one,
 * rounding errors apart.
 */
static uint32_t
divisor_of_share(double share)
{
	return (uint32_t)ceil(1.0 / share - SHARE_EPSILON);
}

/*
 * Notes a lease: a smaller part than before leaves the larger one counted
 * until the lease that granted it is over.
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
 * Grants an equal part, or what is free of it; nothing when that is less than
 * GRANT_MIN_RATIO of it.  Before the table has settled a member gets no more
 * than it may be using already.
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
 * Learns what an entry goes by: a lease of an earlier leader is counted until
 * this one has settled, or from now as run out; one of ours ends the count of
 * a larger part before it.
 */
void
share_confirm(struct share_table *table, unsigned member_index,
    uint32_t divisor, bool lease_live, uint64_t now_us)
{
	struct share_member *member = &table->members[member_index];

	if (divisor == 0)
		return;
	if (member->divisor == 0) {
		/* A lease of an earlier leader. */
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
 * Gives a member's part free at once; its number may be used again.
 */
void
share_remove_member(struct share_table *table, unsigned member_index)
{
	table->members[member_index] = (struct share_member){0};
}
