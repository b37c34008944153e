#include "refusal/refusal_defs.h"

#include "base/attr.h"

struct reason {
	const char *name;
	int http_status;
	const char *text;
};

static const struct reason reasons[REFUSAL_REASON_COUNT] = {
    [REFUSAL_MALFORMED_REQUEST] = {"malformed-request", 400,
	"The request could not be read."},
    [REFUSAL_UNKNOWN_SERVICE] = {"unknown-service", 404,
	"No service answers under this host and path."},
    [REFUSAL_UNKNOWN_ROUTE] = {"unknown-route", 404,
	"The service does not offer this method and path."},
    [REFUSAL_NO_TENANT] = {"no-tenant", 401,
	"The request carries no identity known to the service."},
    [REFUSAL_TENANT_NOT_ALLOWED] = {"tenant-not-allowed", 403,
	"Your organisation may not send this kind of request."},
    [REFUSAL_BODY_TOO_LARGE] = {"body-too-large", 413,
	"The request is larger than the policy allows."},
    [REFUSAL_RATE_LIMITED] = {"rate-limited", 429,
	"Your organisation has sent more requests than its limit."},
    [REFUSAL_SHARE_EXCEEDED] = {"share-exceeded", 429,
	"Your organisation already uses its whole share."},
    [REFUSAL_QUEUE_FULL] = {"queue-full", 503,
	"Too many requests are waiting for this service."},
    [REFUSAL_QUEUE_TIMEOUT] = {"queue-timeout", 503,
	"The request waited as long as it may without being started."},
    [REFUSAL_DEADLINE_TOO_SHORT] = {"deadline-too-short", 504,
	"The request's deadline had passed before it could be started."},
    [REFUSAL_DEPTH_EXCEEDED] = {"depth-exceeded", 508,
	"The request is nested more deeply than allowed."},
    [REFUSAL_NO_TARGET] = {"no-target", 503,
	"No server of this service is ready."},
    [REFUSAL_TARGETS_SHEDDING] = {"targets-shedding", 503,
	"The servers of this service are all fully occupied."},
    [REFUSAL_RETRY_BUDGET_SPENT] = {"retry-budget-spent", 503,
	"The request could not be started and may not be tried again now."},
    [REFUSAL_ENTRY_CUT_OFF] = {"entry-cut-off", 503,
	"This entry cannot confirm that its policy is current."},
    [REFUSAL_ENTRY_LEAVING] = {"entry-leaving", 503,
	"This entry is shutting down; use another."},
    [REFUSAL_NO_DOCUMENT] = {"no-document", 503,
	"No policy has been accepted yet."},
    [REFUSAL_KEY_MISSING] = {"key-missing", 400,
	"This request may run only once and needs an Idempotency-Key."},
    [REFUSAL_KEY_REUSED] = {"key-reused", 422,
	"The Idempotency-Key was already used with another request."},
    [REFUSAL_CLAIM_UNAVAILABLE] = {"claim-unavailable", 503,
	"It could not be made certain that the request runs only once."},
    [REFUSAL_CLAIM_LEDGER_FULL] = {"claim-ledger-full", 503,
	"No further once-only requests can be accepted at present."},
    [REFUSAL_CLAIM_IN_PROGRESS] = {"claim-in-progress", 409,
	"The same request is still being worked on."},
    [REFUSAL_CLAIM_OUTCOME_UNKNOWN] = {"claim-outcome-unknown", 409,
	"It is not known whether the first attempt was carried out."},
    [REFUSAL_TARGET_FAILED] = {"target-failed", 502,
	"The server broke off before its answer was complete."},
    [REFUSAL_TARGET_TIMEOUT] = {"target-timeout", 504,
	"The server gave no answer before the deadline."},
    [REFUSAL_CLAIM_ANSWER_NOT_KEPT] = {"claim-answer-not-kept", 409,
	"The request was carried out; its answer can't be repeated."},
    [REFUSAL_TARGETS_BACKOFF] = {"targets-backoff", 503,
	"The servers of this service have asked for a pause."},
    [REFUSAL_ENDS_TARGETS] = {"request-ends-targets", 503,
	"Servers have ended while they ran this request; it is not sent now."},
};

/*
 * Returns the name of a reason, which is the "code" sent to callers and the
 * key of its text in the document.
 */
const char *
refusal_reason_name(enum refusal_reason reason)
{
	return reasons[reason].name;
}

/*
 * Looks up a reason by its name; returns false if there is none.
 */
bool
refusal_reason_from_name(struct str name, enum refusal_reason *reason)
{
	for (unsigned i = 0; i < REFUSAL_REASON_COUNT; i++) {
		if (str_equal_c(name, reasons[i].name)) {
			*reason = (enum refusal_reason)i;
			return true;
		}
	}
	return false;
}

/*
 * Returns the HTTP status of a reason.
 */
int
refusal_http_status(enum refusal_reason reason)
{
	return reasons[reason].http_status;
}

/*
 * Returns the text for callers that is used if the document has none.
 */
const char *
refusal_default_text(enum refusal_reason reason)
{
	return reasons[reason].text;
}

/*
 * Returns "not-run", "unknown" or "run".
 */
const char *
refusal_outcome_name(enum refusal_outcome outcome)
{
	switch (outcome) {
	case REFUSAL_NOT_RUN:
		return "not-run";
	case REFUSAL_RUN:
		return "run";
	case REFUSAL_UNKNOWN:
		break;
	}
	return "unknown";
}
