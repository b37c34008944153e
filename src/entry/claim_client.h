/*
 * An entry's side of the claims of non-idempotent calls.  A claim is opened
 * durably on control before any byte is sent to a target, and ended with the
 * call's outcome.
 */
#ifndef ENTRY_CLAIM_CLIENT_H
#define ENTRY_CLAIM_CLIENT_H

#include "base/status.h"
#include "base/str.h"
#include "claim/attempt.h"
#include "link/link.h"
#include "refusal/refusal_defs.h"

struct claim_client;

struct claim_client_call {
	struct claim_key key;
	struct str route;
	const uint8_t *digest; /* CLAIM_DIGEST_BYTES */
	uint64_t retention_s;
	uint64_t claims_max;
	uint64_t deadline_us;
};

enum claim_decision {
	CLAIM_DECISION_RUN, /* granted: run the call, then end the claim */
	CLAIM_DECISION_REPLAY, /* send the stored answer of an earlier call */
	CLAIM_DECISION_WAIT, /* another attempt is running: wait, retry */
	CLAIM_DECISION_UNANSWERED, /* by control yet: retry */
	CLAIM_DECISION_REFUSE
};

/* One submission of a non-idempotent call by a caller. */
struct claim_submission {
	struct claim_client_call call;
	struct claim_attempt attempt;
	uint64_t number; /* identifies the attempt in proposals */
	struct claim_step step; /* the next one */
	Wire__Result *replay; /* for CLAIM_DECISION_REPLAY */
};

struct claim_client *claim_client_new(const char *entry, uint64_t incarnation);
void claim_client_free(struct claim_client *client);
void claim_client_set_link(
    struct claim_client *client, struct link *link) ATTR_NONNULL_ALL;
/*
 * Takes a token from the rate limit of claim queries for calls that were not
 * admitted; false when none is left.
 */
bool
claim_client_take_query_token(struct claim_client *client) ATTR_NONNULL_ALL;
/* Begins a submission; the caller has filled in submission->call. */
void claim_client_begin(struct claim_client *client,
    struct claim_submission *submission) ATTR_NONNULL_ALL;
/*
 * Opens the claim and returns the decision.  For CLAIM_DECISION_REFUSE,
 * submission->step has the answer to the caller.
 */
enum claim_decision claim_client_open(struct claim_client *client,
    struct claim_submission *submission) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Waits for the running attempt; call claim_client_open() again afterwards. */
void claim_client_wait(struct claim_client *client,
    struct claim_submission *submission) ATTR_NONNULL_ALL;
/*
 * Ends the claim if the submission's step requires it.  answer is the target's
 * answer, or NULL.  An end that cannot be made durable now is queued.
 */
void claim_client_end(struct claim_client *client,
    struct claim_submission *submission, const struct claim_answer *answer)
    ATTR_NONNULL(1, 2);
/* Wakes the calls that wait for a claim that has ended at any entry. */
void claim_client_on_ended(struct claim_client *client, struct str tenant,
    struct str service, struct str key) ATTR_NONNULL_ALL;
/* Proposes the pending ends that are due; returns how many remain. */
unsigned claim_client_flush(
    struct claim_client *client, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
