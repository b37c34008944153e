/*
 * The claim ledger records which non-idempotent calls were granted and how
 * each ended.  It is part of the replicated state and therefore reads no
 * clock: time comes with the commands.  A claim is never removed within its
 * retention, which counts from its end; a full ledger refuses new claims.  A
 * claim that has been open for an hour becomes unknown.
 */
#ifndef CLAIM_LEDGER_H
#define CLAIM_LEDGER_H

#include "base/status.h"
#include "base/str.h"

enum {
	CLAIM_DIGEST_BYTES = 32
};

enum claim_verdict {
	CLAIM_VERDICT_GRANTED, /* this attempt alone may run the call */
	CLAIM_VERDICT_IN_PROGRESS, /* another attempt is running; wait for it */
	CLAIM_VERDICT_DONE, /* the stored answer of the first run */
	CLAIM_VERDICT_DONE_NOT_KEPT, /* answered; too large or evicted */
	CLAIM_VERDICT_UNKNOWN, /* an attempt ended with unknown outcome */
	CLAIM_VERDICT_KEY_REUSED, /* same key with another request digest */
	CLAIM_VERDICT_FULL
};

enum claim_ending {
	CLAIM_ENDED_ANSWERED,
	CLAIM_ENDED_NOT_RUN,
	CLAIM_ENDED_UNKNOWN
};

/* The call that is claimed; key is the caller's Idempotency-Key. */
struct claim_key {
	struct str tenant;
	struct str service;
	struct str key;
};

/* The attempt that runs it: an entry's incarnation and attempt number. */
struct claim_holder {
	struct str entry;
	uint64_t incarnation;
	uint64_t attempt;
};

struct claim_open {
	struct claim_key key;
	struct claim_holder holder;
	uint8_t digest[CLAIM_DIGEST_BYTES];
	uint64_t retention_us;
	uint64_t claims_max; /* limit of the service */
	uint64_t time_us;
};

struct claim_answer {
	uint32_t http_status;
	struct str content_type;
	struct str body;
	bool kept; /* body holds the complete answer */
};

struct claim_end {
	struct claim_key key;
	struct claim_holder holder;
	enum claim_ending ending;
	struct claim_answer answer;
	uint64_t time_us;
};

struct claim_ledger;

struct claim_ledger *claim_ledger_new(void);
void claim_ledger_free(struct claim_ledger *ledger);
/* answer is set for DONE; its strings are valid until the ledger changes. */
enum claim_verdict
claim_ledger_open(struct claim_ledger *ledger, const struct claim_open *open,
    struct claim_answer *answer) ATTR_NONNULL_ALL;
/*
 * Returns false if the holder does not, or no longer, hold the claim.  NOT_RUN
 * for a key that nobody holds returns true: the attempt is fenced, and a late
 * open by it gets CLAIM_VERDICT_UNKNOWN.
 */
bool claim_ledger_end(
    struct claim_ledger *ledger, const struct claim_end *end) ATTR_NONNULL_ALL;
/*
 * Ends all open claims of an entry's incarnations up to the given one as
 * unknown and calls ended() for each.  Returns their number.
 */
uint64_t claim_ledger_end_entry_claims(struct claim_ledger *ledger,
    struct str entry, uint64_t incarnation, uint64_t time_us,
    void (*ended)(void *ctx, const struct claim_key *key), void *ctx)
    ATTR_NONNULL(1);
/*
 * Calls visit() for each entry with open claims, with the lowest incarnation
 * among them.  The leader uses it periodically to find entries that are not
 * alive, because an open that arrives after its entry was declared lost is
 * still granted.
 */
typedef void claim_holder_visitor(
    void *ctx, struct str entry, uint64_t incarnation, uint64_t open);
void claim_ledger_for_each_holder(const struct claim_ledger *ledger,
    claim_holder_visitor *visit, void *ctx) ATTR_NONNULL(1, 2);
uint64_t claim_ledger_count(const struct claim_ledger *ledger) ATTR_NONNULL_ALL;
uint64_t claim_ledger_bytes(const struct claim_ledger *ledger) ATTR_NONNULL_ALL;
void claim_ledger_save(
    const struct claim_ledger *ledger, struct str_buf *out) ATTR_NONNULL_ALL;
enum status claim_ledger_load(struct claim_ledger *ledger,
    struct str data) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
