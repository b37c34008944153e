/*
 * The order of the queue while requests have client accounts: within a rank,
 * the account with the least slot time in the last 2 s goes first.  Answers an
 * account that sends several times its usual load to a service short of slots.
 */
#include <math.h>

#include "placement/placement_defs.h"

/*
 * Compares by rank and objective; calls of equal objective keep their order.
 */
static int
compare_urgency(const struct call *a, const struct call *b)
{
	if (a->request.rank != b->request.rank)
		return a->request.rank < b->request.rank ? -1 : 1;
	if (a->request.objective_us != b->request.objective_us)
		return a->request.objective_us < b->request.objective_us ? -1
									 : 1;
	return (a->position > b->position) - (a->position < b->position);
}

static gint
by_urgency(gconstpointer a, gconstpointer b)
{
	return compare_urgency(
	    *(const struct call *const *)a, *(const struct call *const *)b);
}

static gint
by_share(gconstpointer a, gconstpointer b)
{
	const struct call *x = *(const struct call *const *)a;
	const struct call *y = *(const struct call *const *)b;

	if (x->request.rank == y->request.rank &&
	    x->share_start_us != y->share_start_us)
		return x->share_start_us < y->share_start_us ? -1 : 1;
	return compare_urgency(x, y);
}

/*
 * Orders the waiting calls by the slot time that their accounts will have used
 * when each of them begins.  The waiting calls of an account before it count as
 * used, so that the order holds for all grants of one dispatch.
 */
void
placement_order_by_share(struct placement *p, uint64_t now_us)
{
	for (guint i = 0; i < p->waiting->len; i++)
		((struct call *)p->waiting->pdata[i])->position = i;
	g_ptr_array_sort(p->waiting, by_urgency);
	for (guint i = 0; i < p->waiting->len; i++) {
		struct call *call = p->waiting->pdata[i];

		call->position = i;
		call->share_start_us =
		    account_share_start(&p->shares, call->request.account,
			service_time_estimate(&p->work, call->request.route),
			p->round, now_us);
	}
	g_ptr_array_sort(p->waiting, by_share);
	p->visits += p->waiting->len;
}

/*
 * Returns whether a call precedes another in the queue by rank and share.
 */
bool
placement_share_precedes(const struct call *a, const struct call *b)
{
	return by_share(&a, &b) < 0;
}

/*
 * Returns the work of the calls in front of one in the queue, and its own, in
 * microseconds at slowness 1.  Within a dispatch the sum goes on from the call
 * considered before, as the calls are considered in order.
 */
double
placement_work_before(struct placement *p, const struct call *call)
{
	struct dispatch_cache *cache = &p->cache;
	double work = 0;
	guint i = 0;

	if (cache->usable && call->waiting) {
		i = cache->summed;
		work = cache->summed_work_us;
	}
	for (; i < p->waiting->len; i++) {
		const struct call *other = p->waiting->pdata[i];

		if (other == call || other->request.rank > call->request.rank)
			break;
		work += service_time_estimate(&p->work, other->request.route);
		p->visits++;
	}
	if (cache->usable && call->waiting) {
		cache->summed = i;
		cache->summed_work_us = work;
	}
	return work + service_time_estimate(&p->work, call->request.route);
}

/*
 * Charges a new send to its account with the usual work of its route, so that
 * grants in quick succession count before the first of them ends.
 */
void
placement_charge_send(struct placement *p, const struct call *call,
    struct send *send, uint64_t now_us)
{
	if (!account_share_is_active(&p->shares))
		return;
	send->charged_us = service_time_estimate(&p->work, call->request.route);
	account_share_charge(
	    &p->shares, call->request.account, send->charged_us, now_us);
}

/*
 * Replaces the charge of a send that ends by the time it had a slot.
 */
void
placement_settle_send(struct placement *p, const struct call *call,
    struct send *send, uint64_t now_us)
{
	if (send->charged_us <= 0)
		return;
	account_share_charge(&p->shares, call->request.account,
	    (double)(now_us - send->granted_us) - send->charged_us, now_us);
	send->charged_us = 0;
}
