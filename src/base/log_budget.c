#include "base/log_budget.h"

#include <inttypes.h>

#include "base/logger.h"

enum {
	/* 40 lines of 300 bytes are 0.1 % of a small instance's processor. */
	LINES_PER_SECOND = 40,
	ROUTINE_LINES_PER_SECOND = 8
};

/*
 * Returns whether one more line may be logged, and says how many were left
 * out once there is room again.
 */
bool
log_budget_take(struct log_budget *budget, uint64_t now_ms, bool routine)
{
	uint64_t second = now_ms / 1000;

	if (second != budget->second) {
		budget->second = second;
		budget->lines = 0;
		if (budget->left_out > 0)
			log_info("lines_left_out", "instance=%s lines=%" PRIu64,
			    budget->instance, budget->left_out);
		budget->left_out = 0;
	}
	if (budget->lines >= LINES_PER_SECOND ||
	    (routine && budget->lines >= ROUTINE_LINES_PER_SECOND)) {
		budget->left_out++;
		budget->left_out_ever++;
		return false;
	}
	budget->lines++;
	return true;
}
