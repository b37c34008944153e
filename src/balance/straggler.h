/*
 * How likely a target is a straggler: a filter over a hidden state that
 * is either healthy or ten times slower.  Internal to src/balance.
 */
#ifndef BALANCE_STRAGGLER_H
#define BALANCE_STRAGGLER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct straggler {
	_Atomic double log_odds;
	_Atomic uint64_t updated_us; /* when they held; 0: never observed */
};

/*
 * The log odds now, before the evidence of outstanding attempts.  mean_us
 * is the service's mean latency above the floor.
 */
double straggler_log_odds(const struct straggler *straggler, double mean_us,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* Evidence of an answer, or of an attempt given up (answered false). */
void straggler_observe(struct straggler *straggler, double mean_us,
    double surprisal, bool answered, uint64_t now_us) ATTR_NONNULL_ALL;
/* Log odds with an attempt still out at that surprise added. */
double straggler_add_outstanding(double log_odds, double surprisal);
/* The surprise at which an outstanding attempt reaches those odds. */
double straggler_surprisal_for_odds(double log_odds, double wanted_log_odds);

#endif
