/*
 * Requests that may not be repeated and would be cut off at their route's
 * timeout.  Answers targets that turn slow: such a request can't be moved to
 * another target, and holds its slot until the timeout.
 */
#include <math.h>

#include "placement/placement_defs.h"

/*
 * Work for which the time has to suffice, as a factor of the usual work.  With
 * 1.5 as many requests were cut off as without the rule; with 2.5 a fifth of
 * them was rejected at a load of 0.7.
 */
static const double work_margin = 2;
/*
 * Part of the time that the request had on arrival which the margin may use: a
 * route whose timeout is short for its work is not rejected on an idle service.
 */
static const double margin_time_share = 0.5;

void
placement_set_check_timeout(struct placement *p, bool check)
{
	p->check_timeout = check;
}

/*
 * Returns whether the time of a request is shorter than the work that is assumed
 * for its route, of which there are no samples.  It would never get one if that
 * assumption counted.
 */
bool
placement_is_untried(const struct placement *p, const struct call *call)
{
	const struct placement_request *r = &call->request;

	return !service_time_is_known(&p->work, r->route) &&
	    (double)r->deadline_us - (double)call->submitted_us <
	    service_time_estimate(&p->work, r->route);
}

/*
 * Returns whether a request that may not be repeated would probably be cut off
 * at a target by its deadline.
 */
bool
placement_is_cut_off(const struct placement *p, const struct call *call,
    const struct target *t, uint64_t now_us)
{
	const struct placement_request *r = &call->request;
	double work, time;

	if (!p->check_timeout || r->idempotent || placement_is_untried(p, call))
		return false;
	work = service_time_estimate(&p->work, r->route);
	time = margin_time_share *
	    ((double)r->deadline_us - (double)call->submitted_us);
	work = fmin(work_margin * work, fmax(work, time));
	return now_us + (uint64_t)target_mean_time(p, t, work, now_us) >
	    r->deadline_us;
}
