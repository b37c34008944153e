/*
 * Detects a shortage of processor time from the lateness of the process's own
 * timer, when load concentrates on few instances; callers are then directed to
 * more of them.  Performs no I/O; the time is an argument.
 */
#ifndef FLOW_LOOP_LAG_H
#define FLOW_LOOP_LAG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct loop_lag {
	uint64_t last_turn_us; /* last run of the timer; 0: none yet */
	uint64_t calm_since_us;
	double mean_lag_us; /* moving average */
	bool busy;
};

/* Records a run of a timer; returns true if busy has changed. */
bool loop_lag_record(struct loop_lag *loop_lag, uint64_t now_us,
    uint64_t interval_us) ATTR_NONNULL_ALL;

#endif
