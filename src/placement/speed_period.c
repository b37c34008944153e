#include "placement/speed_period.h"

#include <math.h>

enum {
	PERIOD_MIN_US = 150 * 1000, /* three probes: shorter can't be told */
	PERIOD_MAX_US = 2000 * 1000,
	PERIOD_STEP_US = 10 * 1000,
	/* A gap is known to one interval of probes at either end. */
	GAP_ERROR_US = 40 * 1000,
	/* Reports further apart say too little of when a change was ... */
	CHANGE_MAX_US = 250 * 1000,
	/* ... or of how long it is since the one before. */
	GAP_CHANGE_MAX_US = 60 * 1000,
	GAPS_MIN = 24, /* chance agrees once in a thousand at that number */
	GAPS_STEP = 16, /* new ones before the period is looked for again */
	REFINE_ROUNDS = 2,
	WINDOW_FINE_US =
	    12 * 1000 /* a fortieth of the period, as good as exact */
};

/* Agreement beyond chance that a period needs, and to beat a longer one. */
static const double agreement_min = 0.6;
static const double agreement_equal = 0.9;
/* Error of the period, as a share, by which phases drift. */
static const double period_error = 0.004;

static unsigned
gaps_kept(const struct speed_period *speed_period)
{
	return speed_period->gap_count < SPEED_PERIOD_GAPS
	    ? speed_period->gap_count
	    : SPEED_PERIOD_GAPS;
}

/*
 * Returns by how much more gaps agree with a period than chance would have
 * it: 1 all, 0 as chance.
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
 * Returns the period that fits all gaps that agree with one best: the least
 * squares of gaps that are whole numbers of it.
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
 * Looks for the longest period with which the gaps agree: each whole part of
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
note_gap(struct speed_period *speed_period, double gap_us)
{
	speed_period->gaps_us[speed_period->gap_count++ % SPEED_PERIOD_GAPS] =
	    gap_us;
	if (speed_period->gap_count >= GAPS_MIN &&
	    speed_period->gap_count % GAPS_STEP == 0)
		find_period(speed_period);
}

/*
 * Narrows the window of a change by one that was seen before, moved on by
 * whole periods; what does not fit any more starts anew.
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
 * Takes a change of a target's speed that was seen between two reports.
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
			note_gap(speed_period, gap);
	}
	if (speed_phase->to_us != 0 && speed_period->period_us > 0) {
		narrow_window(speed_period, speed_phase, before_us, after_us);
		return;
	}
	speed_phase->from_us = before_us;
	speed_phase->to_us = after_us;
	speed_phase->seen = 0;
}

/* The last change at or before now, and the next one. */
struct window {
	double from_us;
	double to_us;
	double next_us; /* the next change, at the earliest */
};

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
 * Returns when a report will tell most next, 0 when that is not known.
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
 * Tells what is known of a target's speed now: whether its report still
 * holds, and how long until the speed may change.
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
