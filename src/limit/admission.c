#include "limit/admission.h"

#include <math.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "base/memory.h"
#include "limit/admission_defs.h"

enum {
	INITIAL_MEAN_US = 10000, /* assumed slot time before the first call */
	RETRY_AFTER_MIN_US = 100000,
	RESERVE_DIVISOR = 2, /* part reserved for low-use tenants */
	SOLE_TENANT_US =
	    10000000 /* without other tenants for this long, no reserve */
};

/*
 * Returns an admission control without calls; free it with admission_free().
 */
struct admission *
admission_new(const struct admission_params *params)
{
	struct admission *admission = mem_calloc(1, sizeof(*admission));

	admission->params = *params;
	for (unsigned i = 0; i < ADMISSION_CLASSES; i++)
		admission->mean_us[i] = INITIAL_MEAN_US;
	admission_tenants_init(admission);
	return admission;
}

/*
 * Frees everything including waiting tickets, whose waiters are not woken.
 * Tickets of running calls are not freed.
 */
void
admission_free(struct admission *admission)
{
	if (admission == NULL)
		return;
	admission_tenants_free(admission);
	for (unsigned i = 0; i < ADMISSION_CLASSES; i++)
		for (unsigned j = 0; j < ADMISSION_RESERVE_CLASSES; j++)
			heap_free(&admission->order[i][j]);
	heap_free(&admission->backlog);
	heap_free(&admission->expiry);
	mem_free(admission);
}

/*
 * Starts a call: virtual time advances to its start tag, and its flow is
 * charged the average slot time of its calls.
 */
static void
start_call(struct admission *admission, struct admission_ticket *ticket,
    uint64_t now_us)
{
	struct admission_flow *flow = ticket->flow;

	flow->finish_tag = admission_flow_start_tag(admission, flow);
	admission->virtual_time =
	    fmax(admission->virtual_time, flow->finish_tag);
	ticket->started_us = now_us;
	ticket->charged_us = (uint64_t)flow->mean_us;
	admission_flow_charge(admission, flow, (double)ticket->charged_us);
	flow->charged_us += (double)ticket->charged_us;
	flow->started_sum_us += (double)now_us;
	flow->running++;
	flow->tenant->running++;
	admission->running_class[flow->class]++;
	admission->running++;
	admission_tenant_update_order(admission, flow->tenant);
}

/*
 * Returns how many of the running_max calls are reserved for tenants that run
 * nothing, so that a call of a low-use tenant finds a slot although another
 * tenant has calls waiting (trunk reservation, Akinpelu 1984).  Without other
 * tenants for SOLE_TENANT_US there is no reserve.
 */
static uint32_t
reserved_slots(const struct admission *admission, uint64_t now_us)
{
	if (now_us > admission->tenant_switched_us + SOLE_TENANT_US)
		return 0;
	return admission->params.running_max / RESERVE_DIVISOR;
}

/*
 * Returns whether a call of the class may run now, given whether its flow may
 * use the reserve.
 */
static bool
has_free_slot(const struct admission *admission, enum admission_class class,
    enum admission_reserve_class reserve_class, uint64_t now_us)
{
	uint32_t limit = admission->params.running_max;

	if (reserve_class == ADMISSION_RESERVE_EXCLUDED)
		limit -= reserved_slots(admission, now_us);
	if (admission->running >= limit)
		return false;
	return class != ADMISSION_BULK ||
	    admission->running_class[class] < admission->params.bulk_max;
}

/*
 * Moves waiting interactive flows that virtual time has passed to the heap of
 * those that may use the reserve.
 */
static void
requeue_eligible_flows(struct admission *admission)
{
	struct heap *busy =
	    &admission
		 ->order[ADMISSION_INTERACTIVE][ADMISSION_RESERVE_EXCLUDED];
	struct heap_node *first;

	while ((first = heap_first(busy)) != NULL) {
		struct admission_flow *flow =
		    caa_container_of(first, struct admission_flow, order);

		if (admission_flow_reserve_class(admission, flow) ==
		    ADMISSION_RESERVE_EXCLUDED)
			return;
		admission_flow_update_order(admission, flow);
	}
}

/*
 * Returns the flow with the smallest start tag that may run, or NULL.
 */
static struct admission_flow *
next_flow(struct admission *admission, uint64_t now_us)
{
	struct heap_node *best = NULL;

	requeue_eligible_flows(admission);
	for (unsigned i = 0; i < ADMISSION_CLASSES * ADMISSION_RESERVE_CLASSES;
	     i++) {
		unsigned class = i / ADMISSION_RESERVE_CLASSES;
		unsigned reserve_class = i % ADMISSION_RESERVE_CLASSES;
		struct heap_node *first =
		    heap_first(&admission->order[class][reserve_class]);

		if (first == NULL || (best != NULL && best->key <= first->key))
			continue;
		if (has_free_slot(admission, (enum admission_class) class,
			(enum admission_reserve_class)reserve_class, now_us))
			best = first;
	}
	if (best == NULL)
		return NULL;
	return caa_container_of(best, struct admission_flow, order);
}

/*
 * Starts waiting calls while slots are free.
 */
static void
dispatch(struct admission *admission, uint64_t now_us)
{
	struct admission_flow *flow;

	while ((flow = next_flow(admission, now_us)) != NULL) {
		struct admission_ticket *ticket;

		if (admission_flow_charge_overrun(admission, flow, now_us)) {
			admission_flow_update_order(admission, flow);
			continue;
		}
		ticket = cds_list_first_entry(
		    &flow->queue, struct admission_ticket, node);
		if (ticket->expiry.key <= (double)now_us) {
			admission_refuse_ticket(
			    admission, ticket, REFUSAL_QUEUE_TIMEOUT);
			continue;
		}
		admission_dequeue(admission, ticket);
		start_call(admission, ticket, now_us);
		admission_tenant_update_idle(admission, flow->tenant);
		admission->params.wake(admission->params.ctx, ticket->waiter,
		    true, REFUSAL_REASON_COUNT);
	}
}

/*
 * Applies new limits.  Running calls beyond them continue, waiting ones stay.
 */
void
admission_configure(struct admission *admission,
    const struct admission_params *params, uint64_t now_us)
{
	admission->params = *params;
	dispatch(admission, now_us);
}

/*
 * Returns when a call refused for a full queue may be worth retrying: the time
 * to serve the calls waiting now, in microseconds.
 */
static uint64_t
drain_time_us(const struct admission *admission, enum admission_class class)
{
	double slots = admission->params.running_max > 0
	    ? admission->params.running_max
	    : 1;
	double wait_us =
	    admission->mean_us[class] * (admission->waiting + 1) / slots;

	if (wait_us > (double)admission->params.queue_wait_us)
		wait_us = (double)admission->params.queue_wait_us;
	return wait_us > RETRY_AFTER_MIN_US ? (uint64_t)wait_us
					    : RETRY_AFTER_MIN_US;
}

/*
 * Takes a token for one call from the tenant's bucket.  If it is empty,
 * returns false with the time until there is a token, in microseconds.
 */
static bool
take_token(struct admission_tenant *tenant, uint64_t *retry_after_us)
{
	double rate = tenant->limits.calls_per_s;

	if (rate <= 0.0)
		return true;
	if (tenant->tokens < 1.0) {
		*retry_after_us = (uint64_t)ceil(
		    (1.0 - tenant->tokens) / rate * (double)US_PER_S);
		return false;
	}
	tenant->tokens -= 1.0;
	return true;
}

/*
 * Returns the token of a call that was not admitted, so that only admitted
 * calls count towards the rate.
 */
static void
return_token(struct admission_tenant *tenant)
{
	if (tenant->limits.calls_per_s > 0.0)
		tenant->tokens += 1.0;
}

/*
 * Makes room in a full queue: the flow with the longest weighted queue loses
 * its latest call.  Returns false if that would be the new call.
 */
static bool
make_queue_room(struct admission *admission, const struct admission_flow *flow)
{
	struct heap_node *first = heap_first(&admission->backlog);
	struct admission_flow *longest;
	struct admission_ticket *latest;

	if (admission->waiting < admission->params.queue_max)
		return true;
	if (first == NULL)
		return false;
	longest = caa_container_of(first, struct admission_flow, backlog);
	if (admission_flow_weighted_length(longest, longest->waiting) <=
	    admission_flow_weighted_length(flow, flow->waiting + 1))
		return false;
	latest =
	    cds_list_entry(longest->queue.prev, struct admission_ticket, node);
	admission_refuse_ticket(admission, latest, REFUSAL_QUEUE_FULL);
	return true;
}

/*
 * Returns a ticket that neither waits nor runs yet; leaving, abandoning or
 * refusing its call frees it.
 */
static struct admission_ticket *
ticket_new(struct admission_flow *flow, void *waiter)
{
	struct admission_ticket *ticket = mem_calloc(1, sizeof(*ticket));

	ticket->flow = flow;
	ticket->waiter = waiter;
	heap_node_init(&ticket->expiry);
	return ticket;
}

/*
 * Puts a call at the end of its flow's queue, until its deadline or the
 * longest wait, whichever is earlier.
 */
static void
enqueue(struct admission *admission, struct admission_ticket *ticket,
    uint64_t deadline_us, uint64_t now_us)
{
	struct admission_flow *flow = ticket->flow;
	uint64_t expiry_us = now_us + admission->params.queue_wait_us;

	if (expiry_us > deadline_us)
		expiry_us = deadline_us;
	cds_list_add_tail(&ticket->node, &flow->queue);
	heap_set(&admission->expiry, &ticket->expiry, (double)expiry_us);
	flow->waiting++;
	admission->waiting++;
	admission_flow_update_backlog(admission, flow);
	if (!heap_contains(&flow->order))
		admission_flow_update_order(admission, flow);
}

/*
 * Runs a call that has its token, queues it, or refuses it if the queue is
 * full.
 */
static enum admission_verdict
admit_or_queue(struct admission *admission, struct admission_flow *flow,
    const struct admission_call *call, uint64_t now_us,
    struct admission_ticket **ticket)
{
	bool capped = admission_tenant_is_capped(flow->tenant);
	enum admission_reserve_class reserve_class =
	    admission_flow_reserve_class(admission, flow);

	if (has_free_slot(admission, call->class, reserve_class, now_us) &&
	    !capped && flow->waiting == 0) {
		*ticket = ticket_new(flow, call->waiter);
		(void)admission_flow_charge_overrun(admission, flow, now_us);
		start_call(admission, *ticket, now_us);
		return ADMISSION_RUN;
	}
	if (!make_queue_room(admission, flow))
		return ADMISSION_REFUSED;
	*ticket = ticket_new(flow, call->waiter);
	enqueue(admission, *ticket, call->deadline_us, now_us);
	return ADMISSION_WAIT;
}

/*
 * Records when the calling tenant changed, which shows whether more than one
 * uses the service.
 */
static void
record_tenant_switch(
    struct admission *admission, struct str name, uint64_t now_us)
{
	uint64_t hash = str_hash(name);

	if (hash != admission->last_tenant_hash)
		admission->tenant_switched_us = now_us;
	admission->last_tenant_hash = hash;
}

/*
 * Runs a call, queues it, or refuses it.
 */
enum admission_verdict
admission_enter(struct admission *admission, const struct admission_call *call,
    uint64_t now_us, struct admission_ticket **ticket,
    enum refusal_reason *reason, uint64_t *retry_after_us)
{
	enum admission_verdict verdict = ADMISSION_REFUSED;
	struct admission_tenant *tenant;

	*ticket = NULL;
	*retry_after_us = 0;
	*reason = REFUSAL_DEADLINE_TOO_SHORT;
	if (call->deadline_us <= now_us)
		return ADMISSION_REFUSED;
	admission_expire(admission, now_us);
	tenant = admission_tenant_find_or_add(
	    admission, call->tenant, &call->limits, now_us);
	record_tenant_switch(admission, call->tenant, now_us);
	if (!take_token(tenant, retry_after_us)) {
		*reason = REFUSAL_RATE_LIMITED;
	} else {
		verdict = admit_or_queue(admission, &tenant->flows[call->class],
		    call, now_us, ticket);
		if (verdict == ADMISSION_REFUSED) {
			return_token(tenant);
			*reason = admission_tenant_is_capped(tenant)
			    ? REFUSAL_SHARE_EXCEEDED
			    : REFUSAL_QUEUE_FULL;
			*retry_after_us = drain_time_us(admission, call->class);
		}
	}
	admission_tenant_update_idle(admission, tenant);
	return verdict;
}

/*
 * Ends a running call, frees its ticket and starts waiting calls.
 */
void
admission_leave(struct admission *admission, struct admission_ticket *ticket,
    uint64_t now_us)
{
	struct admission_flow *flow = ticket->flow;

	INVARIANT(flow->running > 0,
	    "admission_leave() of a call that is not running");
	admission_flow_settle_charge(admission, ticket, now_us);
	flow->tenant->running--;
	admission->running_class[flow->class]--;
	admission->running--;
	admission_tenant_update_order(admission, flow->tenant);
	admission_tenant_update_idle(admission, flow->tenant);
	mem_free(ticket);
	dispatch(admission, now_us);
	if (admission->running == 0 && admission->waiting == 0)
		admission->virtual_time = fmax(admission->virtual_time,
		    admission->finish_tag_max + ADMISSION_CREDIT_US);
}

/*
 * Returns the numbers of running and waiting calls over all tenants and
 * classes.
 */
void
admission_totals(
    const struct admission *admission, uint32_t *running, uint32_t *waiting)
{
	*running = admission->running;
	*waiting = admission->waiting;
}

/*
 * Returns the number of tenants in the table.
 */
uint32_t
admission_tenant_count(const struct admission *admission)
{
	return g_hash_table_size(admission->tenants);
}
