#include "balance/straggler.h"

#include <math.h>

#include "base/clock.h"

/* Assumed slowdown of a straggler. */
#define STRAGGLER_SLOWDOWN 10.0
/* Prior probability that a target is a straggler. */
#define STRAGGLER_PRIOR 0.02
/*
 * Time constant with which evidence decays, in mean latencies and with limits.
 * False alarms occur per call, so they must decay sooner in a fast service.
 */
#define TIME_CONSTANT_MEANS 200.0
#define TIME_CONSTANT_MIN_US (1.0 * US_PER_S)
#define TIME_CONSTANT_MAX_US (10.0 * US_PER_S)
/* Limits of the log odds, so that either state can be left again. */
#define LOG_ODDS_MAX 8.0
#define LOG_ODDS_MIN (-12.0)

/*
 * Returns the time constant with which evidence decays, in microseconds.
 */
static double
time_constant_us(double mean_us)
{
	return fmin(fmax(mean_us * TIME_CONSTANT_MEANS, TIME_CONSTANT_MIN_US),
	    TIME_CONSTANT_MAX_US);
}

/*
 * Returns the current log odds, which decay towards the prior.
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
 * Adds an outstanding attempt: with surprisal z its likelihood is exp(-z) on a
 * healthy target and exp(-z / STRAGGLER_SLOWDOWN) on a straggler.
 */
double
straggler_add_outstanding(double log_odds, double surprisal)
{
	return log_odds + surprisal * (1.0 - 1.0 / STRAGGLER_SLOWDOWN);
}

/*
 * Returns the surprisal at which the log odds reach the wanted ones.
 */
double
straggler_surprisal_for_odds(double log_odds, double wanted_log_odds)
{
	double missing = wanted_log_odds - log_odds;

	return missing > 0.0 ? missing / (1.0 - 1.0 / STRAGGLER_SLOWDOWN) : 0.0;
}

/*
 * Updates the log odds with the end of an attempt.  The probability density of
 * an answer is 1 / STRAGGLER_SLOWDOWN on a straggler; an attempt given up only
 * shows that it took longer.
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
