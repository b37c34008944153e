/*
 * The reason of a refusal, and what is known about the call's execution.
 */
#ifndef REFUSAL_REFUSAL_DEFS_H
#define REFUSAL_REFUSAL_DEFS_H

#include <stdint.h>

#include "base/str.h"

/* What the caller of a refused call may conclude. */
enum refusal_outcome {
	REFUSAL_NOT_RUN, /* no target started the call */
	REFUSAL_UNKNOWN, /* a target may have run it, completely or partly */
	REFUSAL_RUN /* it was run, but its answer is unavailable */
};

enum refusal_reason {
	REFUSAL_MALFORMED_REQUEST,
	REFUSAL_UNKNOWN_SERVICE, /* no service has this host and path */
	REFUSAL_UNKNOWN_ROUTE, /* the service has no such route */
	REFUSAL_NO_TENANT, /* no valid identity was presented */
	REFUSAL_TENANT_NOT_ALLOWED, /* the route does not admit the tenant */
	REFUSAL_BODY_TOO_LARGE,
	REFUSAL_RATE_LIMITED, /* the tenant's rate is used up */
	REFUSAL_SHARE_EXCEEDED, /* the tenant's share of slots is used up */
	REFUSAL_QUEUE_FULL,
	REFUSAL_QUEUE_TIMEOUT, /* no slot within deadline or longest wait */
	REFUSAL_DEADLINE_TOO_SHORT, /* the deadline had passed on arrival */
	REFUSAL_DEPTH_EXCEEDED, /* too many nested hops */
	REFUSAL_NO_TARGET, /* no target is announced and ready */
	REFUSAL_TARGETS_SHEDDING, /* every target tried shed the call */
	REFUSAL_RETRY_BUDGET_SPENT,
	REFUSAL_ENTRY_CUT_OFF, /* the entry's document lease expired */
	REFUSAL_ENTRY_LEAVING,
	REFUSAL_NO_DOCUMENT, /* no document was accepted yet */
	REFUSAL_KEY_MISSING, /* non-idempotent call without its key */
	REFUSAL_KEY_REUSED, /* the same key with another body */
	REFUSAL_CLAIM_UNAVAILABLE, /* no durable claim could be made */
	REFUSAL_CLAIM_LEDGER_FULL,
	REFUSAL_CLAIM_IN_PROGRESS, /* first submission still running */
	REFUSAL_CLAIM_OUTCOME_UNKNOWN, /* earlier one ended as unknown */
	REFUSAL_TARGET_FAILED, /* the target's answer broke off */
	REFUSAL_TARGET_TIMEOUT, /* no answer before the deadline */
	REFUSAL_CLAIM_ANSWER_NOT_KEPT, /* run before; answer not stored */
	REFUSAL_TARGETS_BACKOFF, /* every target asked to back off */
	REFUSAL_ENDS_TARGETS, /* targets have ended under this request */
	REFUSAL_REASON_COUNT
};

const char *refusal_reason_name(enum refusal_reason reason);
bool refusal_reason_from_name(
    struct str name, enum refusal_reason *reason) ATTR_NONNULL_ALL;
int refusal_http_status(enum refusal_reason reason);
const char *refusal_default_text(enum refusal_reason reason);
const char *refusal_outcome_name(enum refusal_outcome outcome);

#endif
