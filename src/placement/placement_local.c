/*
 * Requests that stay in their requester's failure domain.  Addresses the load in
 * which nearly all requests of a service leave their domain, because some target
 * elsewhere is a little faster, although local ones would be in time as well.
 */
#include "placement/placement_defs.h"

/* Occupied part of the useful slots above which a service is under pressure. */
static const double calm_share = 0.7;
/*
 * The same of the targets at home, which may be fuller than all of them by
 * home_excess, up to home_share: the next requests of the domain still find a
 * slot there.  A fixed limit of 0.7 alone made more requests late at a load of 0.3,
 * an excess alone more at 0.7.
 */
static const double home_excess = 0.25;
static const double home_share = 0.75;
/*
 * Work for which the time has to suffice, as a factor of the usual work.  1.5
 * times the expected time instead let requests go to targets that are about to
 * change their speed, and more of them were late at a load of 0.5.
 */
static const double work_margin = 1.5;

/* Requests at some targets and the slots that add to what they complete. */
struct fill {
	double occupied;
	double useful;
};

/*
 * Sets whether requests stay in their failure domain if they are in time there.
 */
void
placement_set_stay_local(struct placement *p, bool stay)
{
	p->stay_local = stay;
}

/*
 * Counts the requests and slots of all targets that take requests, and of those
 * in one failure domain.
 */
static void
count_fill(const struct placement *p, uint32_t failure_domain, uint64_t now_us,
    struct fill *all, struct fill *home)
{
	for (guint i = 0; i < p->order->len; i++) {
		const struct target *t = p->order->pdata[i];
		double occupied, useful;

		if (!target_takes_requests(p, t, now_us))
			continue;
		occupied = target_occupied(t, now_us);
		useful = target_useful_slots(p, t);
		all->occupied += occupied;
		all->useful += useful;
		if (t->failure_domain != failure_domain)
			continue;
		home->occupied += occupied;
		home->useful += useful;
	}
}

/*
 * Returns whether a request that needs work_margin times the usual work still
 * ends within its objective.  cost_us is the cost of the target with the usual
 * work.
 */
static bool
is_in_time(const struct placement *p, const struct call *call,
    const struct target *t, double cost_us, uint64_t now_us)
{
	double work = service_time_estimate(&p->work, call->request.route);
	double more = target_mean_time(p, t, work_margin * work, now_us) -
	    target_mean_time(p, t, work, now_us);

	return now_us + (uint64_t)(cost_us + more) <=
	    call->request.objective_us;
}

/*
 * Returns whether a first send goes to the best target of the requester's
 * failure domain, whose cost is cost_us (in microseconds), although another one
 * costs less: no request waits, the service is not under pressure, the targets
 * at home are not the fuller ones, and the request is in time there.
 */
bool
placement_stays_local(const struct placement *p, const struct call *call,
    const struct target *t, double cost_us, uint64_t now_us)
{
	struct fill all = {0};
	struct fill home = {0};
	double all_share, share;

	if (!p->stay_local || call->send_count > 0 ||
	    p->waiting->len > (call->waiting ? 1 : 0) ||
	    !is_in_time(p, call, t, cost_us, now_us))
		return false;
	count_fill(p, call->request.failure_domain, now_us, &all, &home);
	if (home.useful <= 0)
		return false;
	all_share = all.occupied / all.useful;
	share = home.occupied / home.useful;
	if (all_share > calm_share)
		return false;
	return share <= all_share ||
	    (share <= all_share + home_excess && share <= home_share);
}
