/*
 * Whether a process is short of processor time, by how late its own timer
 * comes.  Answers load that gathers on few instances: callers are then sent
 * to more of them.  No input or output; time is an argument.
 */
#ifndef FLOW_STRAIN_H
#define FLOW_STRAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct loop_lag {
	uint64_t last_turn_us; /* the timer's last turn; 0: none yet */
	uint64_t calm_since_us;
	double mean_lag_us; /* mean lateness of late turns */
	bool busy;
};

/* Notes a turn of a timer; true when busy has changed. */
bool loop_lag_record(struct loop_lag *loop_lag, uint64_t now_us,
    uint64_t interval_us) ATTR_NONNULL_ALL;

#endif
