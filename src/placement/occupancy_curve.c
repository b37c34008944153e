#include "placement/occupancy_curve.h"

#include <math.h>
#include <string.h>

enum {
	SOLVE_ANSWERS = 8, /* between two computations of the speeds */
	EXPLORER_DIVISOR = 16 /* one target in so many tries a lower level */
};

/*
 * Part of its weight that an answer keeps when another one is recorded at the
 * same level, or at any level: what is known of an avoided level fades slowly.
 */
static const double sample_kept = 0.998;
static const double sample_kept_other = 0.9999;
/*
 * Relative spread of the work of an answer: a level with few answers may be
 * this much faster than it looks, divided by the root of their number.
 */
static const double optimism = 0.5;
/* Weight of the answers with which a level counts as known. */
static const double samples_known = 30;
/* Weight, in answers, of a level's being as fast as the one below it. */
static const double smoothing = 4;
/* Work of one answer, in units of the usual work, that still counts in full. */
static const double work_ratio_max = 3;
static const double speed_min = 0.02;
/* Ratio of two steps of the headroom. */
static const double headroom_ratio = 1.15;
/* What a late answer counts, in answers in time. */
static const double late_value = 0.5;

/*
 * Initializes a curve: full speed at each level.
 */
void
occupancy_curve_init(struct occupancy_curve *curve)
{
	memset(curve, 0, sizeof(*curve));
	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++)
		curve->speed[i] = curve->goodput[i] = 1;
}

/*
 * Returns the level of a target with this many requests, 0 to
 * OCCUPANCY_LEVELS - 1.
 */
unsigned
occupancy_level(unsigned occupied, unsigned slots)
{
	if (occupied >= slots)
		return OCCUPANCY_LEVELS - 1;
	if (occupied == 0)
		return 0;
	return (unsigned)(((uint64_t)occupied * OCCUPANCY_LEVELS - 1) / slots);
}

/*
 * Returns the speed of each request on a target with this many requests.
 */
double
occupancy_curve_speed(
    const struct occupancy_curve *curve, unsigned occupied, unsigned slots)
{
	return curve->speed[occupancy_level(occupied, slots)];
}

/*
 * Returns the largest number of requests below slots at a level.
 */
static unsigned
level_end(unsigned level, unsigned slots)
{
	uint64_t end = ((uint64_t)level + 1) * slots / OCCUPANCY_LEVELS;

	return end < slots || slots == 0 ? (unsigned)end : slots - 1;
}

/*
 * Returns the number of requests with which a target completes the most of
 * them in time, 1 to slots; the larger one of two equal numbers.  Within a
 * level the largest number is best, so a target's slots cost no time.
 */
unsigned
occupancy_curve_useful_slots(
    const struct occupancy_curve *curve, unsigned slots)
{
	unsigned best = slots;
	double most = slots * curve->goodput[OCCUPANCY_LEVELS - 1];

	for (unsigned level = OCCUPANCY_LEVELS; level-- > 0;) {
		unsigned n = level_end(level, slots);
		double rate =
		    n > 0 ? n * curve->goodput[occupancy_level(n, slots)] : 0;

		if (rate <= most)
			continue;
		best = n;
		most = rate;
	}
	return best;
}

/*
 * Returns how many requests a target is given at most.  Without answers from
 * targets that are less full, a slow-down of full ones can't be told from work
 * that takes long, so a part of the targets, chosen by turn, is kept at a lower
 * level until that level is known.
 */
unsigned
occupancy_curve_limit(
    const struct occupancy_curve *curve, unsigned slots, unsigned turn)
{
	unsigned useful = occupancy_curve_useful_slots(curve, slots);
	unsigned lower = useful;

	if (curve->samples[occupancy_level(useful, slots)] < samples_known)
		return useful;
	if (turn % EXPLORER_DIVISOR == 0)
		lower = useful - 1;
	else if (turn % EXPLORER_DIVISOR == 1)
		lower = useful > 2 ? (useful + 1) / 2 : useful;
	if (lower == 0 ||
	    curve->samples[occupancy_level(lower, slots)] >= samples_known)
		return useful;
	return lower;
}

/*
 * Returns the work in microseconds that an exposure amounts to.
 */
double
occupancy_curve_work(const struct occupancy_curve *curve,
    const struct occupancy_exposure *exposure)
{
	double work = 0;

	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++)
		work += exposure->us[i] * curve->speed[i];
	return work;
}

/*
 * Solves a system of linear equations by elimination with pivoting; the last
 * column is the right side, and the result on return.
 */
static void
solve_linear(double rows[OCCUPANCY_LEVELS][OCCUPANCY_LEVELS + 1])
{
	const unsigned n = OCCUPANCY_LEVELS;

	for (unsigned c = 0; c < n; c++) {
		unsigned pivot = c;

		for (unsigned r = c + 1; r < n; r++) {
			if (fabs(rows[r][c]) > fabs(rows[pivot][c]))
				pivot = r;
		}
		for (unsigned k = c; k <= n; k++) {
			double swapped = rows[c][k];

			rows[c][k] = rows[pivot][k];
			rows[pivot][k] = swapped;
		}
		for (unsigned r = 0; r < n; r++) {
			double factor = rows[r][c] / rows[c][c];

			for (unsigned k = c; r != c && k <= n; k++)
				rows[r][k] -= factor * rows[c][k];
		}
	}
	for (unsigned r = 0; r < n; r++)
		rows[r][n] /= rows[r][r];
}

/*
 * Returns the share of answers that would be in time at a speed.
 */
static double
share_in_time(const struct occupancy_curve *curve, double speed)
{
	double from = -log(speed) / log(headroom_ratio);
	double sum = 0;

	if (curve->headroom_sum <= 0)
		return 1;
	for (unsigned i = 0; i < HEADROOM_STEPS; i++)
		sum += curve->headroom[i] * fmax(0, fmin(1, i + 1 - from));
	return sum / curve->headroom_sum;
}

/*
 * Computes the speeds: for each level, the answers weighted by their share of
 * time there amount to the usual work.
 */
static void
solve(struct occupancy_curve *curve)
{
	double rows[OCCUPANCY_LEVELS][OCCUPANCY_LEVELS + 1];
	unsigned reference;
	double full;

	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++) {
		memcpy(rows[i], curve->time[i], sizeof(curve->time[i]));
		rows[i][OCCUPANCY_LEVELS] = curve->samples[i];
		rows[i][i] += smoothing;
		if (i > 0)
			rows[i][i - 1] -= smoothing;
		else
			rows[i][OCCUPANCY_LEVELS] += smoothing;
	}
	solve_linear(rows);
	for (reference = 0; reference < OCCUPANCY_LEVELS - 1; reference++) {
		if (curve->samples[reference] >= smoothing)
			break;
	}
	full = fmax(rows[reference][OCCUPANCY_LEVELS], speed_min);
	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++) {
		double most = i > 0 ? curve->speed[i - 1] : 1;
		double speed =
		    i > reference ? rows[i][OCCUPANCY_LEVELS] / full : 1;

		curve->speed[i] = fmax(speed_min, fmin(speed, most));
		speed = curve->speed[i] *
		    (1 + optimism / sqrt(1 + curve->samples[i]));
		curve->goodput[i] = speed *
		    (late_value +
			(1 - late_value) *
			    share_in_time(curve, fmin(1, speed)));
	}
}

static void
record_headroom(struct occupancy_curve *curve, double headroom)
{
	double step = headroom >= 1 ? log(headroom) / log(headroom_ratio) : -1;

	for (unsigned i = 0; i < HEADROOM_STEPS; i++)
		curve->headroom[i] *= sample_kept;
	curve->headroom_sum = sample_kept * curve->headroom_sum + 1;
	if (step >= 0)
		curve->headroom[(unsigned)fmin(step, HEADROOM_STEPS - 1)] += 1;
}

/*
 * Learns from one answered request.  usual_us is the usual work of its route in
 * microseconds.
 */
void
occupancy_curve_record(struct occupancy_curve *curve,
    const struct occupancy_exposure *exposure, double usual_us, double headroom)
{
	double unit = usual_us;
	double sum = 0;

	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++)
		sum += exposure->us[i];
	if (sum <= 0 || usual_us <= 0)
		return;
	if (sum > work_ratio_max * unit)
		unit = sum / work_ratio_max;
	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++) {
		double share = exposure->us[i] / sum;

		double kept =
		    sample_kept_other * (1 - share * (1 - sample_kept));

		curve->samples[i] = kept * curve->samples[i] + share;
		for (unsigned k = 0; k < OCCUPANCY_LEVELS; k++)
			curve->time[i][k] = kept * curve->time[i][k] +
			    share * exposure->us[k] / unit;
	}
	record_headroom(curve, headroom);
	if (++curve->unsolved < SOLVE_ANSWERS)
		return;
	curve->unsolved = 0;
	solve(curve);
}

/*
 * Writes the speeds in percent of full speed; 0 for levels that are not known.
 */
void
occupancy_curve_export(
    const struct occupancy_curve *curve, uint8_t speed[OCCUPANCY_LEVELS])
{
	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++)
		speed[i] = curve->samples[i] >= samples_known
		    ? (uint8_t)ceil(100 * curve->speed[i])
		    : 0;
}

/*
 * Replaces what was learnt by the speeds of another instance, with the weight
 * of a level that is just known.
 */
void
occupancy_curve_adopt(
    struct occupancy_curve *curve, const uint8_t speed[OCCUPANCY_LEVELS])
{
	memset(curve->time, 0, sizeof(curve->time));
	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++) {
		curve->samples[i] = speed[i] > 0 ? samples_known : 0;
		if (speed[i] > 0)
			curve->time[i][i] =
			    samples_known * 100 / fmin(speed[i], 100);
	}
	solve(curve);
}

/*
 * Returns whether nothing was learnt or adopted yet.
 */
bool
occupancy_curve_is_empty(const struct occupancy_curve *curve)
{
	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++) {
		if (curve->samples[i] > 0)
			return false;
	}
	return true;
}
