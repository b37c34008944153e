#include "placement/latency_quantile.h"

static const double quantile = 0.9;
/* Step of the estimate as a part of it; the first samples take larger ones. */
static const double step_min = 0.02;
static const double excess_weight = 0.05;

/*
 * Moves the estimate up by a step of 0.9 for a sample above it and down by 0.1
 * for one below: the steps balance where nine in ten are below.
 */
void
latency_quantile_record(
    struct latency_quantile *latency, unsigned level, double ratio)
{
	double *q = &latency->levels[level].quantile;
	double *excess = &latency->levels[level].excess;
	uint32_t n = ++latency->levels[level].samples;
	double step = n < 1 / step_min ? 1.0 / n : step_min;

	if (n == 1) {
		*q = ratio;
		return;
	}
	if (ratio > *q) {
		double weight = 1.0 / ++latency->levels[level].above;

		if (weight < excess_weight)
			weight = excess_weight;
		*excess += weight * (ratio - *q - *excess);
		*q *= 1 + step * quantile;
	} else {
		*q *= 1 - step * (1 - quantile);
	}
	if (n == UINT32_MAX) {
		latency->levels[level].samples = LATENCY_SAMPLES_MIN;
		latency->levels[level].above = LATENCY_SAMPLES_MIN;
	}
}

/*
 * Counts a cancelled request that is already above the estimate.  One below it
 * says nothing.  Without the ones above, second sends would lower the estimate
 * and so cause further second sends.
 */
void
latency_quantile_record_cancelled(
    struct latency_quantile *latency, unsigned level, double ratio)
{
	if (latency->levels[level].samples > 0 &&
	    ratio > latency->levels[level].quantile)
		latency_quantile_record(latency, level, ratio);
}

/*
 * Returns whether a time is beyond the quantile.  A request that is further
 * beyond it than most is one of the long ones, and expected to take as long
 * again.
 */
bool
latency_quantile_exceeds(const struct latency_quantile *latency, unsigned level,
    double ratio, double *left)
{
	double beyond = ratio - latency->levels[level].quantile;

	*left = latency->levels[level].excess;
	if (beyond > *left)
		*left = beyond;
	return latency->levels[level].samples >= LATENCY_SAMPLES_MIN &&
	    beyond > 0;
}
