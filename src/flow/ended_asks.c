#include "flow/ended_asks.h"

#include <string.h>

#include "base/clock.h"

enum {
	/* At a loss of 3 %, three more datagrams leave one in a million. */
	NAMED_MAX = 3,
	/* Later the scheduler's own sweep is due. */
	NAMED_US = 2 * 1000 * 1000
};

/*
 * Records that an ask has ended.
 */
void
ended_asks_add(struct ended_asks *asks, uint64_t id, uint64_t now_us)
{
	if (asks->count < FLEET_ENDED_MAX)
		asks->count++;
	memmove(&asks->list[1], &asks->list[0],
	    (asks->count - 1) * sizeof(asks->list[0]));
	asks->list[0] = (struct ended_ask){.id = id, .ended_us = now_us};
}

/*
 * Writes the ids for one more datagram, and forgets those that need none.
 */
unsigned
ended_asks_name(
    struct ended_asks *asks, uint64_t ids[FLEET_ENDED_MAX], uint64_t now_us)
{
	unsigned named = 0;
	unsigned kept = 0;

	for (unsigned i = 0; i < asks->count; i++) {
		struct ended_ask ask = asks->list[i];

		if (now_us - ask.ended_us > NAMED_US)
			continue;
		ids[named++] = ask.id;
		if (++ask.named < NAMED_MAX)
			asks->list[kept++] = ask;
	}
	asks->count = kept;
	return named;
}
