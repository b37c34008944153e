#include "balance/trust.h"

#include <math.h>

/* Weight of one report in the averages. */
#define MEAN_WEIGHT 0.05
/* Avoids division by zero for constant reports. */
#define VARIANCE_MIN 0.1
#define VARIANCE_START 2.0
/* Limits of the score, so that trust can be lost and regained. */
#define SCORE_MAX 8.0
#define SCORE_MIN (-8.0)
/* Limit of the evidence from one report. */
#define EVIDENCE_MAX 2.0
/* Penalty for a report below the own calls, which contradicts them. */
#define CONTRADICTION_PENALTY 1.0

/*
 * Returns whether the reports are trusted.
 */
bool
trust_is_sufficient(const struct trust *trust)
{
	return atomic_load(&trust->score) >= 0.0;
}

/*
 * Returns the log likelihood ratio that a report is true, within limits, minus
 * a penalty if it is below the own calls.
 */
static double
report_log_likelihood_ratio(
    const struct trust *trust, double reported, double own)
{
	double variance = fmax(trust->variance, VARIANCE_MIN);
	double residual_independent = reported - trust->mean;
	double residual_dependent = reported - own - trust->mean_other_calls;
	double evidence = (residual_independent * residual_independent -
			      residual_dependent * residual_dependent) /
	    (2.0 * variance);

	evidence = fmin(fmax(evidence, -EVIDENCE_MAX), EVIDENCE_MAX);
	if (reported < own)
		evidence -= CONTRADICTION_PENALTY;
	return evidence;
}

/*
 * Compares two hypotheses for a report by their likelihood, both normal with
 * the same variance: that it is the own calls plus the average of the others,
 * or that it is unrelated to the own calls.
 */
void
trust_observe(struct trust *trust, double reported, double own)
{
	double evidence = 0.0;
	double deviation;

	if (!atomic_exchange(&trust->started, true)) {
		atomic_store(&trust->mean, reported);
		atomic_store(&trust->mean_other_calls, reported - own);
		atomic_store(&trust->variance, VARIANCE_START);
	} else {
		evidence = report_log_likelihood_ratio(trust, reported, own);
	}
	deviation = reported - trust->mean;
	atomic_store(&trust->mean, trust->mean + MEAN_WEIGHT * deviation);
	atomic_store(&trust->mean_other_calls,
	    trust->mean_other_calls +
		MEAN_WEIGHT * (reported - own - trust->mean_other_calls));
	atomic_store(&trust->variance,
	    trust->variance +
		MEAN_WEIGHT * (deviation * deviation - trust->variance));
	evidence += atomic_load(&trust->score);
	atomic_store(&trust->score, fmin(fmax(evidence, SCORE_MIN), SCORE_MAX));
}
