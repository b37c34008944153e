#include "flow/strain.h"

enum {
	BUSY_LAG_US = 10 * 1000, /* a tenth of the shortest work */
	CALM_LAG_US = 3 * 1000,
	CALM_US = 3 * 1000 * 1000, /* longer than callers keep an answer */
	/* A single longer pause is a freeze, not a lack of processor time. */
	PAUSE_US = 1000 * 1000
};

/* Over which lateness is averaged. */
static const double memory_us = 1e6;

/*
 * Notes how late a timer comes.  Busy from a mean lateness of BUSY_LAG_US on,
 * and until it has been below CALM_LAG_US for CALM_US.
 */
bool
strain_note(struct strain *s, uint64_t now_us, uint64_t interval_us)
{
	uint64_t took = now_us - s->turned_us;
	bool first = s->turned_us == 0;
	bool before = s->busy;

	s->turned_us = now_us;
	if (first || took > PAUSE_US)
		return false;
	s->lag_us += (double)interval_us / memory_us *
	    ((took > interval_us ? (double)(took - interval_us) : 0) -
		s->lag_us);
	if (s->lag_us > CALM_LAG_US)
		s->calm_since_us = now_us;
	if (s->lag_us > BUSY_LAG_US)
		s->busy = true;
	else if (now_us - s->calm_since_us > CALM_US)
		s->busy = false;
	return s->busy != before;
}
