/*
 * When targets change their speed.  Answers load whose targets turn slow and
 * quick again at regular times, each at its own: work that ends before its
 * target's next change goes on at a speed that is known, and a target that
 * has just turned quick stays so for longest.
 *
 * The period is learnt from the times between two changes of one target, the
 * phase of each target from its changes; a change is seen between two
 * reports.  Changes without a common period leave the period unknown.  No
 * input or output; time is an argument.
 */
#ifndef PLACEMENT_RHYTHM_H
#define PLACEMENT_RHYTHM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	SPEED_PERIOD_GAPS = 256 /* the newest: half a minute of 16 targets */
};

/* What the changes of a service's targets have in common. */
struct speed_period {
	double
	    gaps_us[SPEED_PERIOD_GAPS]; /* between two changes of one target */
	unsigned gap_count; /* ever */
	double period_us; /* 0: none is known */
};

/* The changes of one target. */
struct speed_phase {
	uint64_t from_us; /* one change happened after this ... */
	uint64_t to_us; /* ... and by this; 0: none was seen */
	unsigned seen; /* changes that agree on the phase */
};

/* What is known of a target's speed at some time. */
struct speed_forecast {
	bool known; /* its phase is */
	bool current; /* no change since the report */
	uint64_t left_us; /* until the next change at the earliest */
};

/* A change of speed between two reports. */
void speed_period_record_change(struct speed_period *speed_period,
    struct speed_phase *speed_phase, uint64_t before_us,
    uint64_t after_us) ATTR_NONNULL_ALL;
/*
 * When a report will tell most next: as soon as a change must have happened,
 * and within the time in which it may have, while that is long.  0: the
 * phase is not known.
 */
uint64_t speed_phase_next_probe(const struct speed_period *speed_period,
    const struct speed_phase *speed_phase, uint64_t reported_us,
    uint64_t now_us) ATTR_NONNULL_ALL;
struct speed_forecast
speed_phase_forecast(const struct speed_period *speed_period,
    const struct speed_phase *speed_phase, uint64_t reported_us,
    uint64_t now_us) ATTR_NONNULL_ALL;

#endif
