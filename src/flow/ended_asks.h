/*
 * The asks of this entry at one scheduler that have ended lately.  Their ends
 * were reported by one datagram each, which may be lost; the next asks name
 * them again, so that their slots become free.
 *
 * Performs no I/O; the time is an argument.
 */
#ifndef FLOW_ENDED_ASKS_H
#define FLOW_ENDED_ASKS_H

#include <stdint.h>

#include "base/attr.h"
#include "wire/fleet_bounds.h"

struct ended_ask {
	uint64_t id;
	uint64_t ended_us;
	unsigned named; /* in this many datagrams */
};

struct ended_asks {
	struct ended_ask list[FLEET_ENDED_MAX]; /* newest first */
	unsigned count;
};

/* Records that an ask has ended; the oldest one gives way. */
void ended_asks_add(
    struct ended_asks *asks, uint64_t id, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Writes the ids for one more datagram, newest first, and returns their number.
 */
unsigned ended_asks_name(struct ended_asks *asks, uint64_t ids[FLEET_ENDED_MAX],
    uint64_t now_us) ATTR_NONNULL_ALL;

#endif
