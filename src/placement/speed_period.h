/*
 * Prediction of the times at which targets change their speed, for targets that
 * become slow and fast at a common period, each with its own phase.  A request
 * that ends before its target's next change runs at a known speed, and a target
 * that has just become fast stays fast for the longest time.
 *
 * The period is estimated from the gaps between two changes of one target, the
 * phase of each target from its own changes; a change is detected between two
 * reports.  If the changes have no common period, the period stays unknown.
 * Performs no I/O; the time is an argument.
 */
#ifndef PLACEMENT_SPEED_PERIOD_H
#define PLACEMENT_SPEED_PERIOD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	SPEED_PERIOD_GAPS = 256 /* the latest: 30 s with 16 targets */
};

/* Common period of the speed changes of a service's targets. */
struct speed_period {
	/* between two changes of one target */
	double gaps_us[SPEED_PERIOD_GAPS];
	unsigned gap_count; /* total */
	double period_us; /* 0: unknown */
};

/* Phase of one target's speed changes. */
struct speed_phase {
	uint64_t from_us; /* a change happened after this ... */
	uint64_t to_us; /* ... and no later than this; 0: none detected */
	unsigned seen; /* consecutive changes that agree on the phase */
};

/* Forecast of a target's speed at some time. */
struct speed_forecast {
	bool known; /* the phase is known */
	bool current; /* the reported speed still holds */
	uint64_t left_us; /* until the earliest next change */
};

/* Records a change of speed between two reports. */
void speed_period_record_change(struct speed_period *speed_period,
    struct speed_phase *speed_phase, uint64_t before_us,
    uint64_t after_us) ATTR_NONNULL_ALL;
/*
 * Time in microseconds at which the next probe is most informative: as soon as
 * a change must have happened, or in the middle of the window in which it may
 * happen, if that is long.  0 if the phase is unknown.
 */
uint64_t speed_phase_next_probe(const struct speed_period *speed_period,
    const struct speed_phase *speed_phase, uint64_t reported_us,
    uint64_t now_us) ATTR_NONNULL_ALL;
struct speed_forecast
speed_phase_forecast(const struct speed_period *speed_period,
    const struct speed_phase *speed_phase, uint64_t reported_us,
    uint64_t now_us) ATTR_NONNULL_ALL;

#endif
