#include "balance/straggler.h"

#include <math.h>

#include "base/clock.h"

/* How many times slower a straggler is taken to be. */
#define STRAGGLER_SLOWDOWN 10.0
/* Share of time in which a target is a straggler. */
#define STRAGGLER_PRIOR 0.02
/*
 * Time in which what was seen loses its weight to 1/e, in mean latencies
 * and within bounds: false alarms come by the call, so a fast service must
 * leave them behind sooner.
 */
#define TIME_CONSTANT_MEANS 200.0
#define TIME_CONSTANT_MIN_US (1.0 * US_PER_S)
#define TIME_CONSTANT_MAX_US (10.0 * US_PER_S)
/* Bounds of the log odds, so that either state can be left again. */
#define LOG_ODDS_MAX 8.0
#define LOG_ODDS_MIN (-12.0)

/*
 * Returns the time in which what was seen loses its weight to 1/e, in
 * microseconds.
 */
static double
time_constant_us(double mean_us)
{
	return fmin(fmax(mean_us * TIME_CONSTANT_MEANS, TIME_CONSTANT_MIN_US),
	    TIME_CONSTANT_MAX_US);
}

/*
 * Returns the log odds now.  With time the state is forgotten towards the
 * prior.
 */
double
straggler_log_odds(
    const struct straggler *straggler, double mean_us, uint64_t now_us)
{
	uint64_t updated_us = atomic_load(&straggler->updated_us);
	double passed =
	    now_us > updated_us ? (double)(now_us - updated_us) : 0.0;
	double p = STRAGGLER_PRIOR;

	if (updated_us != 0) {
		p = 1.0 / (1.0 + exp(-atomic_load(&straggler->log_odds)));
		p = STRAGGLER_PRIOR +
		    (p - STRAGGLER_PRIOR) *
			exp(-passed / time_constant_us(mean_us));
	}
	return log(p / (1.0 - p));
}

/*
 * An outstanding attempt of surprise z has the likelihood exp(-z) on a
 * healthy target and exp(-z / SLOWNESS) on a straggler.
 */
double
straggler_add_outstanding(double log_odds, double surprisal)
{
	return log_odds + surprisal * (1.0 - 1.0 / STRAGGLER_SLOWDOWN);
}

/*
 * Returns the surprise at which the odds reach the wanted ones.
 */
double
straggler_surprisal_for_odds(double log_odds, double wanted_log_odds)
{
	double missing = wanted_log_odds - log_odds;

	return missing > 0.0 ? missing / (1.0 - 1.0 / STRAGGLER_SLOWDOWN) : 0.0;
}

/*
 * Takes in an attempt's end.  An answer is 1 / SLOWNESS as dense on a
 * straggler; an attempt given up only says that it took longer.
 */
void
straggler_observe(struct straggler *straggler, double mean_us, double surprisal,
    bool answered, uint64_t now_us)
{
	double odds = straggler_log_odds(straggler, mean_us, now_us);

	odds = straggler_add_outstanding(odds, surprisal);
	if (answered)
		odds -= log(STRAGGLER_SLOWDOWN);
	odds = fmin(fmax(odds, LOG_ODDS_MIN), LOG_ODDS_MAX);
	atomic_store(&straggler->log_odds, odds);
	atomic_store(&straggler->updated_us, now_us > 0 ? now_us : 1);
}
