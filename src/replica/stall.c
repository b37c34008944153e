#include "replica/stall.h"

#include "base/clock.h"

enum {
	/* Later ones follow soon where a disk is slow and work is done. */
	KEPT_MS = 3000,
	COUNTED_MIN_MS = 100,
	/* Waiting longer for others would delay the election too much. */
	COUNTED_MAX_MS = 1500
};

bool
stall_record(struct stall *stall, uint64_t took_us, uint64_t now_us)
{
	if (took_us < COUNTED_MIN_MS * US_PER_MS)
		return false;
	*stall = (struct stall){.took_us = took_us, .ended_us = now_us};
	return true;
}

uint64_t
stall_recent_us(const struct stall *stall, uint64_t now_us)
{
	uint64_t max_us = COUNTED_MAX_MS * US_PER_MS;

	if (now_us - stall->ended_us > KEPT_MS * US_PER_MS)
		return 0;
	return stall->took_us < max_us ? stall->took_us : max_us;
}
