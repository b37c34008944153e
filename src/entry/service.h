/*
 * An entry's state for one service: balancer, admission control and retry
 * budget.  Reference-counted by views and requests.
 */
#ifndef ENTRY_SERVICE_H
#define ENTRY_SERVICE_H

#include <pthread.h>
#include <stdatomic.h>

#include "balance/balance.h"
#include "base/counter.h"
#include "base/refcount.h"
#include "document/policy.h"
#include "limit/admission.h"
#include "retry/retry.h"

/* How fleet-wide limits are divided among entries. */
struct service_shares {
	uint32_t entries; /* live ones, this one included */
	uint32_t divisor; /* for fleet-wide rates and connections */
};

struct service {
	struct refcount ref;
	char *name;
	struct str failure_domain; /* of this entry; not owned */
	uint64_t seed;
	struct balancer *balancer;
	struct retry_budget *retries;
	pthread_mutex_t lock; /* protects admission, shares and claim_waits */
	struct admission *admission;
	struct admission_params params;
	struct service_shares shares;
	uint32_t even_share; /* all slots / entries, at least 1 */
	uint32_t claim_waits; /* calls without a slot that wait for control */
	_Atomic uint64_t smoothed_attempt_us;
	_Atomic uint32_t running_max;
	struct counter *calls;
	struct counter *answered;
	struct counter *retried;
};

/* A call that requests admission. */
struct service_call {
	const struct policy_service *policy;
	const struct policy_route *route;
	const struct policy_tenant *tenant;
	uint64_t deadline_us;
};

struct service *service_new(struct str name, struct str failure_domain,
    uint64_t seed) ATTR_UNUSED_RESULT;
struct service *service_get(struct service *service) ATTR_NONNULL_ALL;
void service_put(struct service *service);
void
service_configure(struct service *service, const struct policy_service *policy,
    const struct service_shares *shares) ATTR_NONNULL_ALL;
/* Updates the limits after a change of the targets' slots. */
void service_update_slots(struct service *service,
    const struct policy_service *policy) ATTR_NONNULL_ALL;
/*
 * Applies the backoffs that targets asked for; called at intervals and after a
 * new one.
 */
void service_apply_backoffs(struct service *service,
    const struct policy_service *policy, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Waits for admission; false, with the reason, when the call is refused.
 */
bool service_admit(struct service *service, const struct service_call *call,
    struct admission_ticket **ticket, enum refusal_reason *reason,
    uint64_t *retry_after_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void service_end_call(
    struct service *service, struct admission_ticket *ticket) ATTR_NONNULL_ALL;
/* To be paired if it returns true. */
bool service_enter_claim_wait(
    struct service *service) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void service_leave_claim_wait(struct service *service) ATTR_NONNULL_ALL;
/* Waits for a target until the deadline; false, with the reason, without one. */
bool service_pick_target(struct service *service,
    const struct balance_call *call, uint64_t deadline_us,
    struct balance_ticket *ticket, enum refusal_reason *reason,
    uint64_t *retry_after_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void service_record_duration(
    struct service *service, uint64_t attempt_us) ATTR_NONNULL_ALL;
/* Number of calls waiting for admission. */
uint32_t service_queued_calls(struct service *service) ATTR_NONNULL_ALL;
/* Spare capacity in eighths, 0 to 8. */
uint32_t service_spare_eighths(struct service *service) ATTR_NONNULL_ALL;

#endif
