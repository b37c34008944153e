/*
 * Calls that stop waiting without being started: refused, expired or withdrawn.
 */
#include "base/memory.h"
#include "limit/admission_defs.h"

/*
 * Removes a waiting ticket from all queues.
 */
void
admission_dequeue(struct admission *admission, struct admission_ticket *ticket)
{
	struct admission_flow *flow = ticket->flow;

	cds_list_del(&ticket->node);
	heap_remove(&admission->expiry, &ticket->expiry);
	flow->waiting--;
	admission->waiting--;
	admission_flow_update_backlog(admission, flow);
	admission_flow_update_order(admission, flow);
}

/*
 * Refuses a waiting call and frees its ticket.
 */
void
admission_refuse_ticket(struct admission *admission,
    struct admission_ticket *ticket, enum refusal_reason reason)
{
	struct admission_tenant *tenant = ticket->flow->tenant;
	void *waiter = ticket->waiter;

	if (admission_tenant_is_capped(tenant))
		reason = REFUSAL_SHARE_EXCEEDED;
	admission_dequeue(admission, ticket);
	mem_free(ticket);
	admission_tenant_update_idle(admission, tenant);
	admission->params.wake(admission->params.ctx, waiter, false, reason);
}

/*
 * Removes a waiting call without waking it and frees its ticket.
 */
void
admission_abandon(struct admission *admission, struct admission_ticket *ticket,
    uint64_t now_us)
{
	struct admission_tenant *tenant = ticket->flow->tenant;

	admission_dequeue(admission, ticket);
	mem_free(ticket);
	admission_tenant_update_idle(admission, tenant);
	admission_expire(admission, now_us);
}

/*
 * Refuses all waiting calls that have expired.
 */
void
admission_expire(struct admission *admission, uint64_t now_us)
{
	struct heap_node *first;

	while ((first = heap_first(&admission->expiry)) != NULL &&
	    first->key <= (double)now_us)
		admission_refuse_ticket(admission,
		    caa_container_of(first, struct admission_ticket, expiry),
		    REFUSAL_QUEUE_TIMEOUT);
}

/*
 * Refuses all waiting calls.
 */
void
admission_refuse_waiting(
    struct admission *admission, enum refusal_reason reason)
{
	struct heap_node *first;

	while ((first = heap_first(&admission->expiry)) != NULL)
		admission_refuse_ticket(admission,
		    caa_container_of(first, struct admission_ticket, expiry),
		    reason);
}

/*
 * Returns when the next waiting call expires, in microseconds, or UINT64_MAX
 * if none is waiting.
 */
uint64_t
admission_next_expiry_us(const struct admission *admission)
{
	const struct heap_node *first = heap_first(&admission->expiry);

	return first != NULL ? (uint64_t)first->key : UINT64_MAX;
}
