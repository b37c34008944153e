#include "base/log_limiter.h"

#include <inttypes.h>

#include "base/logger.h"

enum {
	/* 40 lines of 300 bytes take 0.1 % of a small instance's CPU. */
	LINES_PER_SECOND = 40,
	ROUTINE_LINES_PER_SECOND = 8
};

/*
 * Returns whether one more line may be logged.  The first call in a later
 * second logs how many lines were suppressed.
 */
bool
log_limiter_allow(struct log_limiter *limiter, uint64_t now_ms, bool routine)
{
	uint64_t second = now_ms / 1000;

	if (second != limiter->second) {
		limiter->second = second;
		limiter->lines = 0;
		if (limiter->suppressed > 0)
			log_info("lines_left_out", "instance=%s lines=%" PRIu64,
			    limiter->instance, limiter->suppressed);
		limiter->suppressed = 0;
	}
	if (limiter->lines >= LINES_PER_SECOND ||
	    (routine && limiter->lines >= ROUTINE_LINES_PER_SECOND)) {
		limiter->suppressed++;
		limiter->suppressed_total++;
		return false;
	}
	limiter->lines++;
	return true;
}
