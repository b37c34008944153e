/*
 * Admission control for one service on one entry: rate limits per tenant,
 * shares of slots, two classes, and a fair queue among tenants by slot time
 * (start-time fair queueing, Goyal 1996).  Time is an argument, the caller
 * serialises calls, and wake() reports which waiting call may run.
 */
#ifndef LIMIT_ADMISSION_H
#define LIMIT_ADMISSION_H

#include "base/status.h"
#include "base/str.h"
#include "refusal/refusal_defs.h"

enum admission_class {
	ADMISSION_INTERACTIVE,
	ADMISSION_BULK
};

struct admission_params {
	/*
	 * Calls this entry may run at once: twice its equal share of the
	 * slots, since half of it is reserved for tenants that run nothing
	 * here (unless only one tenant is active).
	 */
	uint32_t running_max;
	uint32_t bulk_max; /* limit of bulk calls; a part of the equal share */
	uint32_t queue_max; /* limit of waiting calls */
	uint64_t queue_wait_us; /* longest wait of a call */
	/* Wakes a waiter whose call is admitted, or refused with the reason. */
	void (*wake)(
	    void *ctx, void *waiter, bool admitted, enum refusal_reason reason);
	void *ctx;
};

/* A tenant's limits on this entry: the entry's share of the fleet-wide ones. */
struct admission_tenant_params {
	uint32_t weight;
	double calls_per_s; /* 0: no limit */
	double burst;
	uint32_t running_max; /* 0: no limit */
};

struct admission_call {
	struct str tenant;
	struct admission_tenant_params limits;
	enum admission_class class;
	uint64_t deadline_us; /* absolute */
	void *waiter; /* passed to wake() */
};

enum admission_verdict {
	ADMISSION_RUN,
	ADMISSION_WAIT,
	ADMISSION_REFUSED
};

/*
 * An admitted or waiting call.  It is freed by admission_leave(), by
 * admission_abandon(), and when wake() reports a refusal.  wake() must not
 * call admission functions.
 */
struct admission_ticket;

struct admission;

struct admission *
admission_new(const struct admission_params *params) ATTR_NONNULL_ALL;
void admission_free(struct admission *admission);
void admission_configure(struct admission *admission,
    const struct admission_params *params, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * On REFUSED *reason is the reason and *retry_after_us the time after which a
 * retry is worthwhile.  On RUN and WAIT *ticket is set.
 */
enum admission_verdict admission_enter(struct admission *admission,
    const struct admission_call *call, uint64_t now_us,
    struct admission_ticket **ticket, enum refusal_reason *reason,
    uint64_t *retry_after_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Ends a running call, frees its ticket and wakes waiters. */
void admission_leave(struct admission *admission,
    struct admission_ticket *ticket, uint64_t now_us) ATTR_NONNULL_ALL;
/* Withdraws a waiting call without waking it; frees its ticket. */
void admission_abandon(struct admission *admission,
    struct admission_ticket *ticket, uint64_t now_us) ATTR_NONNULL_ALL;
/* Refuses waiting calls whose deadline or longest wait has passed. */
void
admission_expire(struct admission *admission, uint64_t now_us) ATTR_NONNULL_ALL;
/* Refuses all waiting calls. */
void admission_refuse_waiting(
    struct admission *admission, enum refusal_reason reason) ATTR_NONNULL_ALL;
void admission_totals(const struct admission *admission, uint32_t *running,
    uint32_t *waiting) ATTR_NONNULL_ALL;
uint64_t
admission_next_expiry_us(const struct admission *admission) ATTR_NONNULL_ALL;
uint32_t
admission_tenant_count(const struct admission *admission) ATTR_NONNULL_ALL;

#endif
