/*
 * What nine in ten requests of a service take, by the occupancy of the target
 * when they are sent.  Times are parts of the route's usual time, so that
 * routes of different length share one estimate.
 */
#ifndef PLACEMENT_LATENCY_QUANTILE_H
#define PLACEMENT_LATENCY_QUANTILE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "placement/occupancy_curve.h"

enum {
	/* Ten samples above the quantile. */
	LATENCY_SAMPLES_MIN = 100
};

struct latency_quantile {
	struct {
		uint32_t samples;
		uint32_t above; /* of them */
		double quantile;
		double
		    excess; /* mean time beyond the quantile of those above */
	} levels[OCCUPANCY_LEVELS];
};

void latency_quantile_record(struct latency_quantile *latency, unsigned level,
    double ratio) ATTR_NONNULL_ALL;
/* A request that was cancelled after this time: it would have taken longer. */
void latency_quantile_record_cancelled(struct latency_quantile *latency,
    unsigned level, double ratio) ATTR_NONNULL_ALL;
/*
 * Whether a time is beyond the quantile; left is then the time that such a
 * request is expected to take still.  False while there are too few samples.
 */
bool latency_quantile_exceeds(const struct latency_quantile *latency,
    unsigned level, double ratio, double *left) ATTR_NONNULL_ALL;

#endif
