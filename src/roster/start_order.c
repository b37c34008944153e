#include "roster/start_order.h"

#include <string.h>

#include "base/memory.h"

enum {
	/* Far more than targets that restart with a clock that is behind. */
	CLAIMS_MAX = 1024
};

struct claim {
	uint64_t born_ms;
	uint64_t sequence;
};

struct start_claims {
	GHashTable *by_id; /* struct claim */
};

/* The starts after which a new one of the id has to come. */
struct floor {
	uint64_t started_ms;
	uint64_t known_us; /* since when this instance knows all of them */
	bool any;
};

struct start_claims *
start_claims_new(void)
{
	struct start_claims *claims = mem_calloc(1, sizeof(*claims));

	claims->by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return claims;
}

/*
 * Frees the claims; NULL is allowed.
 */
void
start_claims_free(struct start_claims *claims)
{
	if (claims == NULL)
		return;
	g_hash_table_destroy(claims->by_id);
	mem_free(claims);
}

/*
 * Records a report's claim.  Returns whether an earlier report has made it, so
 * that the start lives on: a late one of an earlier start comes alone.
 */
static bool
confirm_claim(struct start_claims *claims, const struct roster_target *from)
{
	struct claim *claim = g_hash_table_lookup(claims->by_id, from->id);

	if (claim != NULL && claim->born_ms == from->born_ms)
		return from->sequence > claim->sequence;
	if (g_hash_table_size(claims->by_id) >= CLAIMS_MAX)
		g_hash_table_remove_all(claims->by_id);
	claim = g_new(struct claim, 1);
	*claim = (struct claim){
	    .born_ms = from->born_ms, .sequence = from->sequence};
	g_hash_table_replace(claims->by_id, g_strdup(from->id), claim);
	return false;
}

static void
raise_floor(struct floor *floor, uint64_t started_ms, uint64_t known_us)
{
	floor->any = true;
	if (started_ms > floor->started_ms)
		floor->started_ms = started_ms;
	if (known_us > floor->known_us)
		floor->known_us = known_us;
}

static struct floor
find_floor(const struct roster *roster, const char *id)
{
	const struct roster_target *known = roster_find(roster, id);
	const struct roster_departure *departure =
	    roster_find_departure(roster, id);
	struct floor floor = {0};

	if (known != NULL)
		raise_floor(&floor, known->started_ms, known->known_us);
	if (departure != NULL)
		raise_floor(&floor, departure->started_ms, departure->known_us);
	return floor;
}

/*
 * Returns the target with another id that is known at a target's address, or
 * NULL.
 */
static const struct roster_target *
find_other_holder(
    const struct roster *roster, const struct roster_target *target)
{
	const struct roster_target *holder =
	    roster_find_address(roster, target->address);

	return holder != NULL && strcmp(holder->id, target->id) != 0 ? holder
								     : NULL;
}

/*
 * A start that was born later than all that are known, by its clock, is taken
 * for a later one.  One that was born earlier is so if its sender lived after
 * those were known, in two reports; it gets the next place in their order.
 * Hosts' clocks differ, so a target that is known at the same address under
 * another id comes before it only if the sender lived after that was known.
 */
enum start_order
start_order_report(struct start_claims *claims, const struct roster *roster,
    const struct roster_target *from, uint64_t since_us, uint64_t *started_ms)
{
	const struct roster_target *known = roster_find(roster, from->id);
	const struct roster_departure *departure =
	    roster_find_departure(roster, from->id);
	const struct roster_target *holder = find_other_holder(roster, from);
	struct floor floor = find_floor(roster, from->id);

	*started_ms = from->born_ms;
	if (known != NULL && known->born_ms == from->born_ms) {
		*started_ms = known->started_ms;
		return START_CURRENT;
	}
	if (departure != NULL && departure->born_ms == from->born_ms) {
		*started_ms = departure->started_ms;
		return START_DEPARTED;
	}
	if (holder != NULL && since_us <= holder->known_us)
		return START_EARLIER;
	if (holder != NULL && holder->started_ms > from->born_ms)
		raise_floor(&floor, holder->started_ms, holder->known_us);
	if (!floor.any || from->born_ms > floor.started_ms)
		return START_CURRENT;
	if (since_us <= floor.known_us)
		return START_EARLIER;
	if (!confirm_claim(claims, from))
		return START_CLAIMS;
	g_hash_table_remove(claims->by_id, from->id);
	*started_ms = floor.started_ms + 1;
	return START_CURRENT;
}

/*
 * Finds a start that is named by when it was born.
 */
static enum start_leaver
find_named(const struct roster *roster, const char *id, uint64_t born_ms,
    uint64_t *started_ms)
{
	const struct roster_target *known = roster_find(roster, id);
	const struct roster_departure *departure =
	    roster_find_departure(roster, id);

	if (known != NULL && known->born_ms == born_ms) {
		*started_ms = known->started_ms;
		return LEAVER_KNOWN;
	}
	if (departure != NULL && departure->born_ms == born_ms)
		return LEAVER_DEPARTED;
	if (born_ms <= find_floor(roster, id).started_ms)
		return LEAVER_EARLIER;
	*started_ms = born_ms;
	return LEAVER_KNOWN;
}

/*
 * A caller that names no start is the known one if it lived after that was
 * known here.  What was held up on its way from an earlier start was sent
 * before.
 */
enum start_leaver
start_find_leaver(const struct roster *roster, const char *id, uint64_t born_ms,
    uint64_t since_us, uint64_t *started_ms)
{
	const struct roster_target *known = roster_find(roster, id);

	*started_ms = 0;
	if (born_ms != 0)
		return find_named(roster, id, born_ms, started_ms);
	if (known == NULL)
		return roster_find_departure(roster, id) != NULL
		    ? LEAVER_DEPARTED
		    : LEAVER_UNKNOWN;
	if (since_us <= known->known_us)
		return LEAVER_UNKNOWN;
	*started_ms = known->started_ms;
	return LEAVER_KNOWN;
}
