#include <math.h>

#include "limit/admission_defs.h"

enum {
	MEAN_WEIGHT_DIVISOR = 8, /* weight of a new sample is 1/8 */
	LOW_USE_DIVISOR = 4, /* low use: below this part of running_max */
};

/*
 * Returns the start tag of the flow's next call, which lags behind virtual
 * time by the credit at most.
 */
double
admission_flow_start_tag(
    const struct admission *admission, const struct admission_flow *flow)
{
	return fmax(
	    admission->virtual_time - ADMISSION_CREDIT_US, flow->finish_tag);
}

/*
 * Returns whether a flow may use the reserve: only interactive calls of a
 * tenant that runs nothing, or that has low use and is below its share.
 */
enum admission_reserve_class
admission_flow_reserve_class(
    const struct admission *admission, const struct admission_flow *flow)
{
	uint32_t running = flow->tenant->running;

	if (flow->class == ADMISSION_BULK)
		return ADMISSION_RESERVE_EXCLUDED;
	if (running == 0)
		return ADMISSION_RESERVE_ELIGIBLE;
	if (flow->finish_tag < admission->virtual_time &&
	    running < admission->params.running_max / LOW_USE_DIVISOR)
		return ADMISSION_RESERVE_ELIGIBLE;
	return ADMISSION_RESERVE_EXCLUDED;
}

/*
 * Puts a flow with waiting calls into the heap of its class and reserve class,
 * or removes it while its tenant has reached its limit of running calls.
 */
void
admission_flow_update_order(
    struct admission *admission, struct admission_flow *flow)
{
	enum admission_reserve_class reserve_class =
	    admission_flow_reserve_class(admission, flow);
	struct heap *order = &admission->order[flow->class][reserve_class];

	if (flow->waiting == 0 || admission_tenant_is_capped(flow->tenant))
		order = NULL;
	if (flow->order_heap != NULL && flow->order_heap != order)
		heap_remove(flow->order_heap, &flow->order);
	if (order != NULL)
		heap_set(order, &flow->order,
		    admission_flow_start_tag(admission, flow));
	flow->order_heap = order;
}

/*
 * Updates the order of a tenant's flows after its number of running calls has
 * changed.
 */
void
admission_tenant_update_order(
    struct admission *admission, struct admission_tenant *tenant)
{
	for (unsigned i = 0; i < ADMISSION_CLASSES; i++)
		admission_flow_update_order(admission, &tenant->flows[i]);
}

/*
 * Returns the length of a queue divided by the flow's weight.
 */
double
admission_flow_weighted_length(
    const struct admission_flow *flow, uint32_t waiting)
{
	return waiting / admission_flow_weight(flow);
}

/*
 * Updates the flow's position among the longest queues.
 */
void
admission_flow_update_backlog(
    struct admission *admission, struct admission_flow *flow)
{
	if (flow->waiting == 0)
		heap_remove(&admission->backlog, &flow->backlog);
	else
		heap_set(&admission->backlog, &flow->backlog,
		    -admission_flow_weighted_length(flow, flow->waiting));
}

/*
 * Charges slot time in microseconds; a negative time is a refund.
 */
void
admission_flow_charge(
    struct admission *admission, struct admission_flow *flow, double us)
{
	flow->finish_tag += us / admission_flow_weight(flow);
	if (flow->finish_tag > admission->finish_tag_max)
		admission->finish_tag_max = flow->finish_tag;
}

/*
 * Charges the time that the running calls have taken in excess of their charge
 * so far, so that a tenant's long calls count before they end.  Returns true
 * if the flow's tag has changed.
 */
bool
admission_flow_charge_overrun(
    struct admission *admission, struct admission_flow *flow, uint64_t now_us)
{
	double taken_us =
	    (double)flow->running * (double)now_us - flow->started_sum_us;
	double overrun_us = fmax(0.0, taken_us - flow->charged_us);
	double change_us = overrun_us - flow->overrun_us;

	if (fabs(change_us) < 1.0)
		return false;
	flow->overrun_us = overrun_us;
	admission_flow_charge(admission, flow, change_us);
	return true;
}

/*
 * Adds a call's slot time to a moving average, both in microseconds.  The
 * average is at least 1.
 */
static void
update_mean(double *mean_us, double taken_us)
{
	*mean_us += (taken_us - *mean_us) / MEAN_WEIGHT_DIVISOR;
	if (*mean_us < 1.0)
		*mean_us = 1.0;
}

/*
 * Adjusts the flow's charge to the actual slot time of a call that has ended.
 */
void
admission_flow_settle_charge(struct admission *admission,
    const struct admission_ticket *ticket, uint64_t now_us)
{
	struct admission_flow *flow = ticket->flow;
	double taken_us = now_us > ticket->started_us
	    ? (double)(now_us - ticket->started_us)
	    : 0.0;

	admission_flow_charge(
	    admission, flow, taken_us - (double)ticket->charged_us);
	flow->charged_us -= (double)ticket->charged_us;
	flow->started_sum_us -= (double)ticket->started_us;
	flow->running--;
	if (flow->running == 0) {
		flow->charged_us = 0.0;
		flow->started_sum_us = 0.0;
	}
	(void)admission_flow_charge_overrun(admission, flow, now_us);
	update_mean(&flow->mean_us, taken_us);
	update_mean(&admission->mean_us[flow->class], taken_us);
}
