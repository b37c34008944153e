/*
 * The claim ledger: which unrepeatable calls were granted, and how each
 * ended.  Part of the replicated state, so it reads no clock: time comes
 * with the commands.  A claim inside its retention, which counts from its
 * end, is never forgotten; a full ledger refuses new ones.  A claim that has
 * been open for an hour is unknown.
 */
#ifndef CLAIM_LEDGER_H
#define CLAIM_LEDGER_H

#include "base/status.h"
#include "base/str.h"

enum {
	CLAIM_DIGEST_BYTES = 32
};

enum claim_verdict {
	CLAIM_VERDICT_GRANTED, /* run it: no other may */
	CLAIM_VERDICT_IN_PROGRESS, /* another attempt runs; wait for it */
	CLAIM_VERDICT_DONE, /* the first answer, kept */
	CLAIM_VERDICT_DONE_NOT_KEPT, /* answered; too large to keep */
	CLAIM_VERDICT_UNKNOWN, /* an attempt ended as unknown */
	CLAIM_VERDICT_KEY_REUSED, /* same key, another digest */
	CLAIM_VERDICT_FULL
};

enum claim_ending {
	CLAIM_ENDED_ANSWERED,
	CLAIM_ENDED_NOT_RUN,
	CLAIM_ENDED_UNKNOWN
};

/* Whose call it is; the key is the caller's Idempotency-Key. */
struct claim_key {
	struct str tenant;
	struct str service;
	struct str key;
};

/* Who runs it: an entry's incarnation and its attempt number. */
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
	uint64_t claims_max; /* of the service */
	uint64_t time_us;
};

struct claim_answer {
	uint32_t http_status;
	struct str content_type;
	struct str body;
	bool kept; /* body holds the whole answer */
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
/* answer is set for DONE; its strings live until the next change. */
enum claim_verdict
claim_ledger_open(struct claim_ledger *ledger, const struct claim_open *open,
    struct claim_answer *answer) ATTR_NONNULL_ALL;
/*
 * False when the holder does not hold the claim (any more).  NOT_RUN for a
 * key that nobody holds is true: the attempt is fenced, and a late open of
 * it finds CLAIM_VERDICT_UNKNOWN.
 */
bool claim_ledger_end(
    struct claim_ledger *ledger, const struct claim_end *end) ATTR_NONNULL_ALL;
/*
 * Ends all open claims of an entry's incarnations up to the given one as
 * unknown; calls ended() for each.  Returns their count.
 */
uint64_t claim_ledger_end_entry_claims(struct claim_ledger *ledger,
    struct str entry, uint64_t incarnation, uint64_t time_us,
    void (*ended)(void *ctx, const struct claim_key *key), void *ctx)
    ATTR_NONNULL(1);
/*
 * Visits each entry that holds open claims, with the lowest incarnation
 * among them.  The leader looks here, from time to time, for entries that
 * are not alive: an open that arrives after its entry was declared lost is
 * granted to it all the same.
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
