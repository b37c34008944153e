#include "entry/service.h"

#include <errno.h>
#include <time.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/memory.h"

enum {
	OVERCOMMIT_FACTOR = 2, /* running calls per slot of the even share */
	PERCENT = 100,
	SPARE_EIGHTHS = 8,
	SMOOTHING_SHIFT = 4, /* a new attempt has weight 1/16 */
	SLOT_PERCENT_MAX = 100
};

/*
 * Longest sleep between two attempts to pick a target.  A backoff that ends
 * within it is no reason to send a caller away, for a second at least.
 */
static const uint64_t pick_poll_interval_us = 5 * US_PER_MS;
/* How long after a backoff the limits are still recomputed. */
static const uint64_t backoff_end_us = US_PER_S;

struct waiter {
	pthread_cond_t cond;
	bool done;
	bool admitted;
	enum refusal_reason reason;
};

/* Admission callback; called with the service's lock held. */
static void
on_admission_decided(
    void *ctx ATTR_UNUSED, void *arg, bool admitted, enum refusal_reason reason)
{
	struct waiter *waiter = arg;

	waiter->done = true;
	waiter->admitted = admitted;
	waiter->reason = reason;
	pthread_cond_signal(&waiter->cond);
}

/* Registers a counter with a service label. */
static struct counter *
service_counter(const char *name, const char *help, struct str service)
{
	return counter_register(
	    COUNTER_TOTAL, name, help, "service=\"%.*s\"", STR_ARG(service));
}

/*
 * Returns a service without targets, with one reference.
 */
struct service *
service_new(struct str name, struct str failure_domain, uint64_t seed)
{
	struct service *s = mem_calloc(1, sizeof(*s));

	refcount_init(&s->ref);
	s->name = str_dup(name);
	s->failure_domain = failure_domain;
	s->seed = seed ^ str_hash(name);
	pthread_mutex_init(&s->lock, NULL);
	s->balancer = balancer_new(&(struct balance_params){
	    .policy = BALANCE_EXPECTED_DELAY,
	    .entries = 1,
	    .eject_percent = 50,
	    .failure_domain = failure_domain,
	    .seed = s->seed,
	});
	s->retries =
	    retry_budget_new(&(struct retry_params){.attempts_max = 1});
	s->params = (struct admission_params){.running_max = 1,
	    .bulk_max = 1,
	    .wake = on_admission_decided,
	    .ctx = s};
	s->admission = admission_new(&s->params);
	s->shares = (struct service_shares){.entries = 1, .divisor = 1};
	s->calls = service_counter(
	    "gypsummill_entry_calls_total", "Calls received (count)", name);
	s->answered = service_counter("gypsummill_entry_answered_total",
	    "Complete answers passed on (count)", name);
	s->retried = service_counter("gypsummill_entry_retries_total",
	    "Attempts after the first (count)", name);
	return s;
}

/*
 * Takes a reference.
 */
struct service *
service_get(struct service *service)
{
	refcount_get(&service->ref);
	return service;
}

/*
 * Drops a reference; the last one frees the service.  NULL is allowed.
 */
void
service_put(struct service *service)
{
	if (service == NULL || !refcount_put(&service->ref))
		return;
	admission_free(service->admission);
	balancer_free(service->balancer);
	retry_budget_free(service->retries);
	pthread_mutex_destroy(&service->lock);
	mem_free(service->name);
	mem_free(service);
}

/* Returns max(value, 1); value must fit into 32 bits. */
static uint32_t
at_least_one(uint64_t value)
{
	return value > 0 ? (uint32_t)value : 1;
}

/*
 * Returns this entry's even share of all targets' slots, rounded up, at least
 * one.
 */
static uint32_t
even_share(const struct service *s)
{
	uint32_t targets;
	uint32_t slots;
	uint32_t in_flight;

	balancer_totals(
	    s->balancer, clock_monotonic_us(), &targets, &slots, &in_flight);
	return at_least_one(
	    ((uint64_t)slots + s->shares.entries - 1) / s->shares.entries);
}

/*
 * Recomputes the limits that depend on the slots.  The entry may run more than
 * its even share because other entries may use less of theirs, and because
 * admission reserves half of the limit for quiet tenants (limit/admission.h).  The
 * document's percentages refer to the even share.  Called with the lock held.
 */
static void
update_limits(struct service *s, const struct policy_service *policy)
{
	s->even_share = even_share(s);
	s->params.running_max = s->even_share * OVERCOMMIT_FACTOR;
	s->params.bulk_max = at_least_one(
	    (uint64_t)s->even_share * policy->bulk_slots_percent / PERCENT);
	s->params.queue_max = policy->queue_calls;
	s->params.queue_wait_us = policy->queue_wait_ms * US_PER_MS;
	atomic_store(&s->running_max, s->params.running_max);
	admission_configure(s->admission, &s->params, clock_monotonic_us());
}

/*
 * Applies a policy and the entry's shares.
 */
void
service_configure(struct service *s, const struct policy_service *policy,
    const struct service_shares *shares)
{
	retry_budget_configure(s->retries,
	    &(struct retry_params){
		.retry_percent = policy->retry_percent,
		.hedge_percent = policy->hedge_percent,
		.attempts_max = policy->retry_attempts,
	    });
	balancer_configure(s->balancer,
	    &(struct balance_params){
		.policy = BALANCE_EXPECTED_DELAY,
		.cold_start_us = policy->cold_start_ms * US_PER_MS,
		.eject_percent = policy->eject_percent,
		.entries = shares->entries,
		.failure_domain = s->failure_domain,
		.seed = s->seed,
	    });
	pthread_mutex_lock(&s->lock);
	s->shares = *shares;
	update_limits(s, policy);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Updates the limits after a target was added, changed or removed.
 */
void
service_update_slots(struct service *s, const struct policy_service *policy)
{
	pthread_mutex_lock(&s->lock);
	update_limits(s, policy);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Returns a tenant's weight and this entry's part of its fleet-wide limits;
 * only the weight for a tenant without limits.  Called with the lock held.
 */
static struct admission_tenant_params
tenant_params(const struct service *s, const struct service_call *call)
{
	struct admission_tenant_params params = {
	    .weight = call->tenant->weight};
	const struct policy_limit *limit =
	    policy_find_limit(call->policy, call->tenant->name);
	double divisor = s->shares.divisor;

	if (limit == NULL)
		return params;
	params.calls_per_s = (double)limit->calls_per_s / divisor;
	params.burst = (double)limit->burst / divisor;
	if (params.burst < 1)
		params.burst = 1;
	if (limit->slots_percent > 0 && limit->slots_percent < SLOT_PERCENT_MAX)
		params.running_max = at_least_one(
		    (uint64_t)s->even_share * limit->slots_percent / PERCENT);
	return params;
}

/*
 * Refuses the calls that wait for admission when all targets have asked to back
 * off, and doesn't count on the slots of a target in a backoff.
 */
void
service_apply_backoffs(
    struct service *s, const struct policy_service *policy, uint64_t now_us)
{
	/* Once more after the last one, to count on all slots again. */
	if (balancer_last_backoff_us(s->balancer) + backoff_end_us <= now_us)
		return;
	pthread_mutex_lock(&s->lock);
	update_limits(s, policy);
	if (balancer_backoff_left_us(s->balancer, now_us) > 0)
		admission_refuse_waiting(s->admission, REFUSAL_TARGETS_BACKOFF);
	pthread_mutex_unlock(&s->lock);
}

/* Initialises a waiter; its condition uses the monotonic clock. */
static void
waiter_init(struct waiter *waiter)
{
	*waiter = (struct waiter){.reason = REFUSAL_QUEUE_TIMEOUT};
	condition_init(&waiter->cond);
}

/*
 * Waits until admission is decided, at most queue_wait_us or until the
 * deadline; then abandons the ticket.  Called with the lock held.
 */
static void
wait_admission(struct service *s, struct waiter *waiter,
    struct admission_ticket *ticket, uint64_t deadline_us)
{
	uint64_t until_us = clock_monotonic_us() + s->params.queue_wait_us;

	if (until_us > deadline_us)
		until_us = deadline_us;
	while (!waiter->done) {
		if (condition_wait(&waiter->cond, &s->lock, until_us))
			continue;
		if (!waiter->done)
			admission_expire(s->admission, clock_monotonic_us());
		if (!waiter->done) {
			admission_abandon(
			    s->admission, ticket, clock_monotonic_us());
			waiter->done = true;
		}
	}
}

/*
 * Requests admission and waits for it on the calling thread.  A refused call
 * has no ticket (*ticket is NULL): the one it waited with has been freed.
 */
bool
service_admit(struct service *s, const struct service_call *call,
    struct admission_ticket **ticket, enum refusal_reason *reason,
    uint64_t *retry_after_us)
{
	struct admission_call request = {
	    .tenant = call->tenant->name,
	    .class = call->route->class == POLICY_BULK ? ADMISSION_BULK
						       : ADMISSION_INTERACTIVE,
	    .deadline_us = call->deadline_us,
	};
	struct waiter waiter;
	enum admission_verdict verdict;

	*ticket = NULL;
	*retry_after_us =
	    balancer_backoff_left_us(s->balancer, clock_monotonic_us());
	if (*retry_after_us > pick_poll_interval_us) {
		*reason = REFUSAL_TARGETS_BACKOFF;
		return false;
	}
	waiter_init(&waiter);
	request.waiter = &waiter;
	pthread_mutex_lock(&s->lock);
	request.limits = tenant_params(s, call);
	verdict = admission_enter(s->admission, &request, clock_monotonic_us(),
	    ticket, reason, retry_after_us);
	if (verdict == ADMISSION_WAIT) {
		wait_admission(s, &waiter, *ticket, call->deadline_us);
		*reason = waiter.reason;
		*retry_after_us = *reason == REFUSAL_TARGETS_BACKOFF
		    ? balancer_backoff_left_us(
			  s->balancer, clock_monotonic_us())
		    : s->params.queue_wait_us;
		verdict = waiter.admitted ? ADMISSION_RUN : ADMISSION_REFUSED;
	}
	pthread_mutex_unlock(&s->lock);
	pthread_cond_destroy(&waiter.cond);
	if (verdict != ADMISSION_RUN)
		*ticket = NULL;
	return verdict == ADMISSION_RUN;
}

/*
 * Ends an admitted call and frees its ticket.
 */
void
service_end_call(struct service *s, struct admission_ticket *ticket)
{
	pthread_mutex_lock(&s->lock);
	admission_leave(s->admission, ticket, clock_monotonic_us());
	pthread_mutex_unlock(&s->lock);
}

/*
 * Returns whether one more call may wait for control without a slot, and counts
 * it.
 */
bool
service_enter_claim_wait(struct service *s)
{
	bool may;

	pthread_mutex_lock(&s->lock);
	may = s->claim_waits < s->params.queue_max;
	s->claim_waits += may ? 1 : 0;
	pthread_mutex_unlock(&s->lock);
	return may;
}

void
service_leave_claim_wait(struct service *s)
{
	pthread_mutex_lock(&s->lock);
	s->claim_waits--;
	pthread_mutex_unlock(&s->lock);
}

/*
 * Picks a target; waits while all are at their limits, until the deadline.
 * *retry_after_us is set if it is known when a target accepts calls again, else
 * 0.
 */
bool
service_pick_target(struct service *s, const struct balance_call *call,
    uint64_t deadline_us, struct balance_ticket *ticket,
    enum refusal_reason *reason, uint64_t *retry_after_us)
{
	*retry_after_us = 0;
	for (;;) {
		uint64_t now_us = clock_monotonic_us();
		uint64_t wait_us = pick_poll_interval_us;

		switch (balancer_pick(
		    s->balancer, call, now_us, ticket, &wait_us)) {
		case BALANCE_PICKED:
			return true;
		case BALANCE_BACKOFF:
			if (wait_us <= pick_poll_interval_us)
				break;
			*reason = REFUSAL_TARGETS_BACKOFF;
			*retry_after_us = wait_us;
			return false;
		case BALANCE_NONE:
			*reason = REFUSAL_NO_TARGET;
			return false;
		case BALANCE_WAIT:
			break;
		}
		if (wait_us > pick_poll_interval_us)
			wait_us = pick_poll_interval_us;
		if (now_us + wait_us >= deadline_us) {
			*reason = REFUSAL_QUEUE_TIMEOUT;
			return false;
		}
		clock_sleep_us(wait_us > 0 ? wait_us : 1);
	}
}

/*
 * Updates the smoothed duration with that of a new attempt (us).
 */
void
service_record_duration(struct service *s, uint64_t attempt_us)
{
	int64_t old = (int64_t)atomic_load_explicit(
	    &s->smoothed_attempt_us, memory_order_relaxed);
	int64_t step = ((int64_t)attempt_us - old) / (1 << SMOOTHING_SHIFT);

	atomic_store_explicit(&s->smoothed_attempt_us, (uint64_t)(old + step),
	    memory_order_relaxed);
}

/*
 * Returns the number of calls waiting for admission.
 */
uint32_t
service_queued_calls(struct service *s)
{
	uint32_t running;
	uint32_t waiting;

	pthread_mutex_lock(&s->lock);
	admission_totals(s->admission, &running, &waiting);
	pthread_mutex_unlock(&s->lock);
	return waiting;
}

/*
 * Returns the free part of the running limit in eighths; 0 while calls wait.
 */
uint32_t
service_spare_eighths(struct service *s)
{
	uint32_t bound = atomic_load(&s->running_max);
	uint32_t running;
	uint32_t waiting;

	pthread_mutex_lock(&s->lock);
	admission_totals(s->admission, &running, &waiting);
	pthread_mutex_unlock(&s->lock);
	if (waiting > 0 || running >= bound)
		return 0;
	return SPARE_EIGHTHS * (bound - running) / bound;
}
