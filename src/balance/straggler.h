/*
 * Probability that a target is a straggler: a filter over a hidden state,
 * healthy or ten times slower.  Internal to src/balance.
 */
#ifndef BALANCE_STRAGGLER_H
#define BALANCE_STRAGGLER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct straggler {
	_Atomic double log_odds;
	_Atomic uint64_t updated_us; /* time of log_odds; 0: never observed */
};

/*
 * Returns the current log odds, without the evidence of outstanding attempts.
 * mean_us is the service's mean latency in excess of the floor.
 */
double straggler_log_odds(const struct straggler *straggler, double mean_us,
    uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Adds the evidence of an answer, or of an attempt given up (answered is
 * false).
 */
void straggler_observe(struct straggler *straggler, double mean_us,
    double surprisal, bool answered, uint64_t now_us) ATTR_NONNULL_ALL;
/* Returns the log odds including an attempt outstanding at that surprisal. */
double straggler_add_outstanding(double log_odds, double surprisal);
/* Returns the surprisal at which an outstanding attempt reaches those odds. */
double straggler_surprisal_for_odds(double log_odds, double wanted_log_odds);

#endif
