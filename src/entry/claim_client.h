/*
 * Claims of unrepeatable calls, as an entry makes them: opened durably on
 * control before a byte goes to a target, and ended with what came of it.
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
	CLAIM_DECISION_RUN, /* granted: run it, then end the claim */
	CLAIM_DECISION_REPLAY, /* the first answer, kept */
	CLAIM_DECISION_WAIT, /* another attempt runs: wait, then go on */
	CLAIM_DECISION_REFUSE
};

/* One tap of an unrepeatable call. */
struct claim_submission {
	struct claim_client_call call;
	struct claim_attempt attempt;
	uint64_t number; /* of the attempt, in the proposals */
	struct claim_step step; /* to be taken */
	Wire__Result *replay; /* for CLAIM_DECISION_REPLAY */
};

struct claim_client *claim_client_new(const char *entry, uint64_t incarnation);
void claim_client_free(struct claim_client *claim_client);
void claim_client_set_link(
    struct claim_client *claim_client, struct link *link) ATTR_NONNULL_ALL;
/* True when a call that is turned away may still ask its claim. */
bool claim_client_take_query_token(
    struct claim_client *claim_client) ATTR_NONNULL_ALL;
/* Begins a tap; tap->call is filled in. */
void claim_client_begin(struct claim_client *claim_client,
    struct claim_submission *submission) ATTR_NONNULL_ALL;
/*
 * Goes on until there is something to do; on REFUSED tap->step says what
 * the caller is told.
 */
enum claim_decision claim_client_open(struct claim_client *claim_client,
    struct claim_submission *submission) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Waits for the attempt that runs, then goes on with claim_client_open(). */
void claim_client_wait(struct claim_client *claim_client,
    struct claim_submission *submission) ATTR_NONNULL_ALL;
/*
 * Ends the claim if the tap's step asks for it; answer is what the target
 * answered, or NULL.  An end that cannot be made durable now is kept.
 */
void claim_client_end(struct claim_client *claim_client,
    struct claim_submission *submission, const struct claim_answer *answer)
    ATTR_NONNULL(1, 2);
/* A claim has ended somewhere: wakes those that wait for it. */
void claim_client_on_ended(struct claim_client *claim_client, struct str tenant,
    struct str service, struct str key) ATTR_NONNULL_ALL;
/* Proposes the kept ends that are due; returns how many are left. */
unsigned claim_client_flush(
    struct claim_client *claim_client, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
