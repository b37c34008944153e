/*
 * How often an entry draws for an account that the voters have refused: often
 * enough for its part of what accrues, but not for each request.
 */
#include <math.h>

#include "base/clock.h"
#include "limit/allowance_draw_defs.h"

enum {
	/* A grant that follows no refusal within this time ends the pacing. */
	REFUSED_MS = 500,
	/* Over which granted draws are averaged. */
	GRANTED_MS = 1000,
	/* A shorter time says little: one grant in it is no rate. */
	GRANTED_MIN_MS = 300,
	/* Below this burst no bucket of five is large enough for spare tokens. */
	SMALL_BURST = 25,
	/* Draws that were not made may be made later within this time. */
	CREDIT_MS = 500,
	/*
	 * Or this many at any time: one at each of five voters, so that an
	 * entry with few requests refuses none that a voter has a token for.
	 */
	CREDIT_MIN = 5
};

/*
 * Draws a second for each granted one, since the rate must be able to rise, and
 * the least.
 */
struct pace_limit {
	double per_granted;
	double min_per_s;
};

static const struct pace_limit usual_limit = {2, 2};
/*
 * Small buckets never show by spare tokens that they have room, and are full
 * again soon.  With the usual limit five entries used 0.94 of the rate of an
 * account without a burst, and after a restart 0.90 of its callers below the
 * rate were served in time; with 4 a second 0.925 in one of 40 seeds.
 */
static const struct pace_limit small_limit = {3, 6};

static double
elapsed(uint64_t since_us, uint64_t now_us, unsigned unit_ms)
{
	return (double)(now_us - since_us) / (unit_ms * US_PER_MS);
}

/*
 * Returns the granted draws a second, averaged over GRANTED_MS or since the
 * measurement began.
 */
static double
granted_per_s(const struct draw_pace *pace, uint64_t now_us)
{
	double measured = fmax(elapsed(pace->since_us, now_us, GRANTED_MS),
	    (double)GRANTED_MIN_MS / GRANTED_MS);

	return pace->granted_per_s *
	    exp(-elapsed(pace->granted_us, now_us, GRANTED_MS)) /
	    (1 - exp(-measured));
}

/*
 * Adds the draws that have become possible since the last call.
 */
static void
add_credit(struct draw_pace *pace, uint64_t now_us)
{
	const struct pace_limit *limit =
	    pace->small ? &small_limit : &usual_limit;
	double rate = fmax(
	    limit->per_granted * granted_per_s(pace, now_us), limit->min_per_s);

	pace->credit =
	    fmin(pace->credit + rate * elapsed(pace->credit_us, now_us, 1000),
		fmax(rate * CREDIT_MS / 1000, CREDIT_MIN));
	pace->credit_us = now_us;
}

/*
 * The requests of an account begin again: what was granted long before says
 * nothing about the rate.
 */
void
allowance_pace_resume(struct draw_pace *pace, uint64_t now_us)
{
	add_credit(pace, now_us);
	pace->granted_per_s = 0;
	pace->granted_us = pace->since_us = now_us;
}

/*
 * Starts the measurement of an account.
 */
void
allowance_pace_start(struct draw_pace *pace, double burst, uint64_t now_us)
{
	*pace = (struct draw_pace){
	    .small = burst < SMALL_BURST,
	    .granted_us = now_us,
	    .since_us = now_us,
	    .credit = CREDIT_MIN,
	    .credit_us = now_us,
	};
}

/*
 * Returns whether a draw may be sent now.
 */
bool
allowance_pace_allows(struct draw_pace *pace, uint64_t now_us)
{
	add_credit(pace, now_us);
	if (now_us - pace->refused_us >= REFUSED_MS * US_PER_MS)
		pace->on = false;
	return !pace->on || pace->credit >= 1;
}

/*
 * Counts a draw that is sent.  Those sent while draws are not paced count, too,
 * so that the pacing does not begin with all of the credit.
 */
void
allowance_pace_on_sent(struct draw_pace *pace)
{
	pace->credit = fmax(pace->credit - 1, 0);
}

/*
 * A draw was not answered, or by a voter that may not grant: the one that is
 * sent in its place is not counted.
 */
void
allowance_pace_on_unknown(struct draw_pace *pace)
{
	pace->credit += 1;
}

/*
 * A draw brought tokens.  If there are spare ones, or no voter has refused one
 * for a while, the account is not empty.
 */
void
allowance_pace_on_granted(struct draw_pace *pace, bool spare, uint64_t now_us)
{
	pace->granted_per_s = pace->granted_per_s *
		exp(-elapsed(pace->granted_us, now_us, GRANTED_MS)) +
	    1000.0 / GRANTED_MS;
	pace->granted_us = now_us;
	if (spare || now_us - pace->refused_us >= REFUSED_MS * US_PER_MS)
		pace->on = false;
}

/*
 * A voter has refused a draw.  retry_us: the shortest time that was named.
 */
void
allowance_pace_on_refused(
    struct draw_pace *pace, uint64_t retry_us, uint64_t now_us)
{
	pace->on = true;
	pace->refused_us = now_us;
	pace->retry_us = retry_us;
}
