#include "placement/speed_period.h"

#include <math.h>

enum {
	/* three probe intervals; the limit of resolution */
	PERIOD_MIN_US = 150 * 1000,
	PERIOD_MAX_US = 2000 * 1000,
	PERIOD_STEP_US = 10 * 1000,
	/* Each end of a gap is known to one probe interval. */
	GAP_ERROR_US = 40 * 1000,
	/* Reports further apart locate a change too imprecisely ... */
	CHANGE_MAX_US = 250 * 1000,
	/* ... or its distance from the previous one. */
	GAP_CHANGE_MAX_US = 60 * 1000,
	GAPS_MIN = 24, /* 1 in 1000 random sequences agree */
	GAPS_STEP = 16, /* new gaps before the next search for a period */
	REFINE_ROUNDS = 2,
	/* a fortieth of the period; precise enough */
	WINDOW_FINE_US = 12 * 1000
};

/*
 * Minimum agreement above chance for a period, and the ratio to the best one at
 * which a longer period is preferred.
 */
static const double agreement_min = 0.6;
static const double agreement_equal = 0.9;
/* Relative error of the period, which makes phases drift. */
static const double period_error = 0.004;

static unsigned
gaps_kept(const struct speed_period *speed_period)
{
	return speed_period->gap_count < SPEED_PERIOD_GAPS
	    ? speed_period->gap_count
	    : SPEED_PERIOD_GAPS;
}

/*
 * Returns how much better than chance the gaps agree with a period: 1 if all
 * do, 0 if no more than by chance.
 */
static double
agreement(const struct speed_period *speed_period, double period_us)
{
	unsigned kept = gaps_kept(speed_period);
	unsigned hits = 0;
	double chance = 2 * GAP_ERROR_US / period_us;

	for (unsigned i = 0; i < kept; i++) {
		double gap = speed_period->gaps_us[i];
		double times = round(gap / period_us);

		if (times >= 1 && fabs(gap - times * period_us) <= GAP_ERROR_US)
			hits++;
	}
	return ((double)hits / kept - chance) / (1 - chance);
}

/*
 * Refines a period by least squares over the gaps that are about whole
 * multiples of it.
 */
static double
refine(const struct speed_period *speed_period, double period_us)
{
	double products = 0;
	double squares = 0;

	for (unsigned i = 0; i < gaps_kept(speed_period); i++) {
		double gap = speed_period->gaps_us[i];
		double times = round(gap / period_us);

		if (times < 1 || fabs(gap - times * period_us) > GAP_ERROR_US)
			continue;
		products += gap * times;
		squares += times * times;
	}
	return squares > 0 ? products / squares : period_us;
}

/*
 * Finds the longest period with which the gaps agree; every integer fraction of
 * a period agrees as well.
 */
static void
find_period(struct speed_period *speed_period)
{
	double best = 0;
	double found = 0;

	for (int p = PERIOD_MIN_US; p <= PERIOD_MAX_US; p += PERIOD_STEP_US)
		best = fmax(best, agreement(speed_period, p));
	speed_period->period_us = 0;
	if (best < agreement_min)
		return;
	for (int p = PERIOD_MIN_US; p <= PERIOD_MAX_US; p += PERIOD_STEP_US)
		if (agreement(speed_period, p) >= agreement_equal * best)
			found = p;
	for (int i = 0; i < REFINE_ROUNDS; i++)
		found = refine(speed_period, found);
	speed_period->period_us = found;
}

static void
record_gap(struct speed_period *speed_period, double gap_us)
{
	speed_period->gaps_us[speed_period->gap_count++ % SPEED_PERIOD_GAPS] =
	    gap_us;
	if (speed_period->gap_count >= GAPS_MIN &&
	    speed_period->gap_count % GAPS_STEP == 0)
		find_period(speed_period);
}

/*
 * Intersects the window of a change with the last known window, shifted by
 * whole periods.  If they do not overlap, the phase is reset to the window
 * of this change.
 */
static void
narrow_window(const struct speed_period *speed_period,
    struct speed_phase *speed_phase, uint64_t from_us, uint64_t to_us)
{
	double middle = ((double)from_us + (double)to_us) / 2;
	double before =
	    ((double)speed_phase->from_us + (double)speed_phase->to_us) / 2;
	double times = round((middle - before) / speed_period->period_us);
	double moved = times * speed_period->period_us;
	double drift = moved * period_error;
	double from = (double)speed_phase->from_us + moved - drift;
	double to = (double)speed_phase->to_us + moved + drift;

	speed_phase->seen = from <= (double)to_us && to >= (double)from_us
	    ? speed_phase->seen + 1
	    : 0;
	if (speed_phase->seen == 0 || from < (double)from_us)
		from = (double)from_us;
	if (speed_phase->seen == 0 || to > (double)to_us)
		to = (double)to_us;
	speed_phase->from_us = (uint64_t)from;
	speed_phase->to_us = (uint64_t)to;
}

/*
 * Records a change of a target's speed between two reports.
 */
void
speed_period_record_change(struct speed_period *speed_period,
    struct speed_phase *speed_phase, uint64_t before_us, uint64_t after_us)
{
	if (after_us - before_us > CHANGE_MAX_US)
		return;
	if (speed_phase->to_us != 0) {
		double gap = ((double)before_us + (double)after_us) / 2 -
		    ((double)speed_phase->from_us +
			(double)speed_phase->to_us) /
			2;

		if (after_us - before_us <= GAP_CHANGE_MAX_US &&
		    speed_phase->to_us - speed_phase->from_us <=
			GAP_CHANGE_MAX_US &&
		    gap > PERIOD_MIN_US / 2.0 && gap <= 4.0 * PERIOD_MAX_US)
			record_gap(speed_period, gap);
	}
	if (speed_phase->to_us != 0 && speed_period->period_us > 0) {
		narrow_window(speed_period, speed_phase, before_us, after_us);
		return;
	}
	speed_phase->from_us = before_us;
	speed_phase->to_us = after_us;
	speed_phase->seen = 0;
}

/* Window of the last change at or before a time, and the next change. */
struct window {
	double from_us;
	double to_us;
	double next_us; /* earliest time of the next change */
};

/*
 * Finds the window of the last change before now_us; returns false if the
 * period or the phase is unknown.
 */
static bool
last_window(const struct speed_period *speed_period,
    const struct speed_phase *speed_phase, uint64_t now_us,
    struct window *window)
{
	double moved, drift;

	if (speed_period->period_us <= 0 || speed_phase->seen == 0 ||
	    now_us < speed_phase->from_us)
		return false;
	moved = floor((double)(now_us - speed_phase->from_us) /
		    speed_period->period_us) *
	    speed_period->period_us;
	drift = moved * period_error;
	window->from_us = (double)speed_phase->from_us + moved - drift;
	window->to_us = (double)speed_phase->to_us + moved + drift;
	window->next_us = window->from_us + speed_period->period_us;
	return true;
}

/*
 * Returns when the next probe is most informative; 0 if the phase is unknown.
 */
uint64_t
speed_phase_next_probe(const struct speed_period *speed_period,
    const struct speed_phase *speed_phase, uint64_t reported_us,
    uint64_t now_us)
{
	struct window w;
	double width, middle;

	if (!last_window(speed_period, speed_phase, now_us, &w))
		return 0;
	width = w.to_us - w.from_us;
	for (int i = 0; i < 2; i++) {
		middle = w.from_us + width / 2;
		if (width > WINDOW_FINE_US && (double)reported_us < middle)
			return (uint64_t)middle;
		if ((double)reported_us < w.to_us)
			return (uint64_t)w.to_us + 1;
		w.from_us = w.next_us;
		w.to_us = w.from_us + width;
	}
	return (uint64_t)w.to_us + 1;
}

/*
 * Returns whether a target's reported speed still holds, and for how long.
 */
struct speed_forecast
speed_phase_forecast(const struct speed_period *speed_period,
    const struct speed_phase *speed_phase, uint64_t reported_us,
    uint64_t now_us)
{
	struct window w;

	if (!last_window(speed_period, speed_phase, now_us, &w))
		return (struct speed_forecast){0};
	return (struct speed_forecast){
	    .known = true,
	    .current = (double)reported_us >= w.to_us,
	    .left_us = w.next_us > (double)now_us
		? (uint64_t)(w.next_us - (double)now_us)
		: 0,
	};
}
