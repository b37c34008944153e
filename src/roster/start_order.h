/*
 * Which start of a target a call comes from.  Clocks don't tell: those of
 * targets and of control may be steps apart.  The order of events does: an id
 * has one process at a time, and so has an address, so a caller that lived after
 * this instance knew of a start is of that start or a later one.
 */
#ifndef ROSTER_START_ORDER_H
#define ROSTER_START_ORDER_H

#include "roster/roster.h"

/* Of a report, which names when its start was born. */
enum start_order {
	START_CURRENT, /* or a later one: started_ms orders it */
	START_DEPARTED, /* it has said that it leaves */
	START_EARLIER, /* another one has taken its place, for all we know */
	START_CLAIMS /* as above, but the next report will show that it lives */
};

/* Of a departure. */
enum start_leaver {
	LEAVER_KNOWN, /* started_ms */
	LEAVER_DEPARTED, /* it has departed already */
	LEAVER_EARLIER, /* another one has taken its place */
	LEAVER_UNKNOWN /* it names no start, and none or two fit */
};

/* Starts that claim to follow one that was born later, by its clock. */
struct start_claims;

struct start_claims *start_claims_new(void) ATTR_UNUSED_RESULT;
void start_claims_free(struct start_claims *claims);
/*
 * Orders a report of a target.  since_us: its sender lived after this time; 0:
 * not known.
 */
enum start_order start_order_report(struct start_claims *claims,
    const struct roster *roster, const struct roster_target *from,
    uint64_t since_us, uint64_t *started_ms) ATTR_NONNULL_ALL;
/* Finds the start that leaves; born_ms: as it was named, 0: it was not. */
enum start_leaver start_find_leaver(const struct roster *roster, const char *id,
    uint64_t born_ms, uint64_t since_us, uint64_t *started_ms) ATTR_NONNULL_ALL;

#endif
