#include "balance/latency.h"

/* Weight of one latency in the mean. */
#define MEAN_WEIGHT 0.02

/* Number of latencies from which the profile is used. */
#define KNOWN_MIN_LATENCIES 32

/* Levels of the tracked quantiles, and -log(1 - level) of each. */
static const double quantile_levels[LATENCY_QUANTILES] = {0.5, 0.9, 0.99};
static const double quantile_surprisals[LATENCY_QUANTILES] = {
    0.693, 2.303, 4.605};
/* Step size of each quantile per latency, in mean latencies. */
static const double quantile_steps[LATENCY_QUANTILES] = {0.05, 0.1, 0.3};

/* Averages the first latencies and sets the quantiles from the mean. */
static void
initialize_profile(
    struct latency_profile *profile, uint64_t observed, double latency_us)
{
	double mean = atomic_load(&profile->mean_us);

	mean += (latency_us - mean) / (double)(observed + 1);
	mean = mean > 1.0 ? mean : 1.0;
	atomic_store(&profile->mean_us, mean);
	for (int i = 0; i < LATENCY_QUANTILES; i++)
		atomic_store(
		    &profile->quantiles_us[i], mean * quantile_surprisals[i]);
}

/*
 * Adds a latency in excess of the floor, in microseconds.  The quantiles are
 * tracked by stochastic approximation (Robbins and Monro 1951); concurrent
 * updates may lose a step.
 */
void
latency_profile_observe(struct latency_profile *profile, double latency_us)
{
	double mean = atomic_load(&profile->mean_us);
	double below = 1.0;
	uint64_t observed = atomic_fetch_add(&profile->observed, 1);

	if (observed < KNOWN_MIN_LATENCIES) {
		initialize_profile(profile, observed, latency_us);
		return;
	}
	mean += MEAN_WEIGHT * (latency_us - mean);
	atomic_store(&profile->mean_us, mean > 1.0 ? mean : 1.0);
	for (int i = 0; i < LATENCY_QUANTILES; i++) {
		double q = atomic_load(&profile->quantiles_us[i]);
		double toward = latency_us > q ? quantile_levels[i]
					       : quantile_levels[i] - 1.0;

		q += quantile_steps[i] * mean * toward;
		if (q < below)
			q = below;
		atomic_store(&profile->quantiles_us[i], q);
		below = q + 1.0;
	}
}

/*
 * Returns a copy of the profile.
 */
struct latency_view
latency_profile_view(const struct latency_profile *profile)
{
	struct latency_view view = {
	    .known = atomic_load(&profile->observed) >= KNOWN_MIN_LATENCIES,
	    .mean_us = profile->mean_us,
	};

	for (int i = 0; i < LATENCY_QUANTILES; i++)
		view.quantiles_us[i] = profile->quantiles_us[i];
	return view;
}

/*
 * Interpolates linearly between two points; returns y0 if x1 <= x0.
 */
static double
interpolate(double x, double x0, double x1, double y0, double y1)
{
	if (x1 <= x0)
		return y0;
	return y0 + (y1 - y0) * (x - x0) / (x1 - x0);
}

/*
 * Returns the surprisal of a latency, 0 before the profile is known: 0.7 at
 * the median, 4.6 at the 99th percentile, linear in between and beyond, which
 * is exact for an exponential distribution.
 */
double
latency_surprisal(const struct latency_view *view, double latency_us)
{
	const double *q = view->quantiles_us;

	if (!view->known || latency_us <= 0.0)
		return 0.0;
	if (latency_us < q[0])
		return interpolate(
		    latency_us, 0.0, q[0], 0.0, quantile_surprisals[0]);
	if (latency_us < q[1])
		return interpolate(latency_us, q[0], q[1],
		    quantile_surprisals[0], quantile_surprisals[1]);
	if (latency_us < q[2])
		return interpolate(latency_us, q[1], q[2],
		    quantile_surprisals[1], quantile_surprisals[2]);
	return quantile_surprisals[2] * latency_us / q[2];
}

/*
 * Returns the latency with a given surprisal.
 */
double
latency_at_surprisal(const struct latency_view *view, double surprisal)
{
	const double *q = view->quantiles_us;

	if (surprisal < quantile_surprisals[0])
		return interpolate(
		    surprisal, 0.0, quantile_surprisals[0], 0.0, q[0]);
	if (surprisal < quantile_surprisals[1])
		return interpolate(surprisal, quantile_surprisals[0],
		    quantile_surprisals[1], q[0], q[1]);
	if (surprisal < quantile_surprisals[2])
		return interpolate(surprisal, quantile_surprisals[1],
		    quantile_surprisals[2], q[1], q[2]);
	return q[2] * surprisal / quantile_surprisals[2];
}
