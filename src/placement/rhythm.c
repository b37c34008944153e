#include "placement/rhythm.h"

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
gaps_kept(const struct rhythm *rhythm)
{
	return rhythm->gap_count < RHYTHM_GAPS ? rhythm->gap_count
					       : RHYTHM_GAPS;
}

/*
 * Returns by how much more gaps agree with a period than chance would have
 * it: 1 all, 0 as chance.
 */
static double
agreement(const struct rhythm *rhythm, double period_us)
{
	unsigned kept = gaps_kept(rhythm);
	unsigned hits = 0;
	double chance = 2 * GAP_ERROR_US / period_us;

	for (unsigned i = 0; i < kept; i++) {
		double gap = rhythm->gaps_us[i];
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
refine(const struct rhythm *rhythm, double period_us)
{
	double products = 0;
	double squares = 0;

	for (unsigned i = 0; i < gaps_kept(rhythm); i++) {
		double gap = rhythm->gaps_us[i];
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
find_period(struct rhythm *rhythm)
{
	double best = 0;
	double found = 0;

	for (int p = PERIOD_MIN_US; p <= PERIOD_MAX_US; p += PERIOD_STEP_US)
		best = fmax(best, agreement(rhythm, p));
	rhythm->period_us = 0;
	if (best < agreement_min)
		return;
	for (int p = PERIOD_MIN_US; p <= PERIOD_MAX_US; p += PERIOD_STEP_US)
		if (agreement(rhythm, p) >= agreement_equal * best)
			found = p;
	for (int i = 0; i < REFINE_ROUNDS; i++)
		found = refine(rhythm, found);
	rhythm->period_us = found;
}

static void
note_gap(struct rhythm *rhythm, double gap_us)
{
	rhythm->gaps_us[rhythm->gap_count++ % RHYTHM_GAPS] = gap_us;
	if (rhythm->gap_count >= GAPS_MIN && rhythm->gap_count % GAPS_STEP == 0)
		find_period(rhythm);
}

/*
 * Narrows the window of a change by one that was seen before, moved on by
 * whole periods; what does not fit any more starts anew.
 */
static void
narrow(const struct rhythm *rhythm, struct pulse *pulse, uint64_t from_us,
    uint64_t to_us)
{
	double middle = ((double)from_us + (double)to_us) / 2;
	double before = ((double)pulse->from_us + (double)pulse->to_us) / 2;
	double times = round((middle - before) / rhythm->period_us);
	double moved = times * rhythm->period_us;
	double drift = moved * period_error;
	double from = (double)pulse->from_us + moved - drift;
	double to = (double)pulse->to_us + moved + drift;

	pulse->seen = from <= (double)to_us && to >= (double)from_us
	    ? pulse->seen + 1
	    : 0;
	if (pulse->seen == 0 || from < (double)from_us)
		from = (double)from_us;
	if (pulse->seen == 0 || to > (double)to_us)
		to = (double)to_us;
	pulse->from_us = (uint64_t)from;
	pulse->to_us = (uint64_t)to;
}

/*
 * Takes a change of a target's speed that was seen between two reports.
 */
void
rhythm_note_change(struct rhythm *rhythm, struct pulse *pulse,
    uint64_t before_us, uint64_t after_us)
{
	if (after_us - before_us > CHANGE_MAX_US)
		return;
	if (pulse->to_us != 0) {
		double gap = ((double)before_us + (double)after_us) / 2 -
		    ((double)pulse->from_us + (double)pulse->to_us) / 2;

		if (after_us - before_us <= GAP_CHANGE_MAX_US &&
		    pulse->to_us - pulse->from_us <= GAP_CHANGE_MAX_US &&
		    gap > PERIOD_MIN_US / 2.0 && gap <= 4.0 * PERIOD_MAX_US)
			note_gap(rhythm, gap);
	}
	if (pulse->to_us != 0 && rhythm->period_us > 0) {
		narrow(rhythm, pulse, before_us, after_us);
		return;
	}
	pulse->from_us = before_us;
	pulse->to_us = after_us;
	pulse->seen = 0;
}

/* The last change at or before now, and the next one. */
struct window {
	double from_us;
	double to_us;
	double next_us; /* the next change, at the earliest */
};

static bool
last_window(const struct rhythm *rhythm, const struct pulse *pulse,
    uint64_t now_us, struct window *window)
{
	double moved, drift;

	if (rhythm->period_us <= 0 || pulse->seen == 0 ||
	    now_us < pulse->from_us)
		return false;
	moved = floor((double)(now_us - pulse->from_us) / rhythm->period_us) *
	    rhythm->period_us;
	drift = moved * period_error;
	window->from_us = (double)pulse->from_us + moved - drift;
	window->to_us = (double)pulse->to_us + moved + drift;
	window->next_us = window->from_us + rhythm->period_us;
	return true;
}

/*
 * Returns when a report will tell most next, 0 when that is not known.
 */
uint64_t
pulse_next_report(const struct rhythm *rhythm, const struct pulse *pulse,
    uint64_t reported_us, uint64_t now_us)
{
	struct window w;
	double width, middle;

	if (!last_window(rhythm, pulse, now_us, &w))
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
struct pulse_view
pulse_look(const struct rhythm *rhythm, const struct pulse *pulse,
    uint64_t reported_us, uint64_t now_us)
{
	struct window w;

	if (!last_window(rhythm, pulse, now_us, &w))
		return (struct pulse_view){0};
	return (struct pulse_view){
	    .known = true,
	    .current = (double)reported_us >= w.to_us,
	    .left_us = w.next_us > (double)now_us
		? (uint64_t)(w.next_us - (double)now_us)
		: 0,
	};
}
