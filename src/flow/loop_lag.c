#include "flow/loop_lag.h"

enum {
	BUSY_MIN_LAG_US = 10 * 1000, /* a tenth of the shortest request */
	CALM_MAX_LAG_US = 3 * 1000,
	/* longer than callers cache a lookup */
	CALM_PERIOD_US = 3 * 1000 * 1000,
	/*
	 * A single longer pause means that the process was frozen, not short of
	 * processor time.
	 */
	FREEZE_MIN_US = 1000 * 1000
};

/* Time constant of the average. */
static const double averaging_us = 1e6;

/*
 * Records how late a timer runs.  Sets busy at a mean lag of BUSY_MIN_LAG_US,
 * and clears it after the lag has been below CALM_MAX_LAG_US for
 * CALM_PERIOD_US.
 */
bool
loop_lag_record(struct loop_lag *s, uint64_t now_us, uint64_t interval_us)
{
	uint64_t took = now_us - s->last_turn_us;
	bool first = s->last_turn_us == 0;
	bool before = s->busy;

	s->last_turn_us = now_us;
	if (first || took > FREEZE_MIN_US)
		return false;
	s->mean_lag_us += (double)interval_us / averaging_us *
	    ((took > interval_us ? (double)(took - interval_us) : 0) -
		s->mean_lag_us);
	if (s->mean_lag_us > CALM_MAX_LAG_US)
		s->calm_since_us = now_us;
	if (s->mean_lag_us > BUSY_MIN_LAG_US)
		s->busy = true;
	else if (now_us - s->calm_since_us > CALM_PERIOD_US)
		s->busy = false;
	return s->busy != before;
}
