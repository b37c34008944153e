/*
 * The entry's side of a claim: one tap of an unrepeatable call, from the
 * claim's open to its end.  Pure: each event returns the step to take, in
 * the order of struct claim_step.
 *
 *   opening -> granted -> sent -> ending -> closed
 *   opening -> waiting -> opening           another attempt holds the key
 *   sent -> granted                         the target did not start it
 *   ending -> lingering -> closed           after "not run"
 *
 * What makes it safe: a byte is sent only after claim_attempt_begin_send() has
 * returned true, which it does only in "granted" and before the deadline;
 * "not run" is proposed only when no target can have started the call, and
 * after it nothing is sent any more; the caller is told before the end is
 * proposed, so that "not run" is said before another attempt can be granted;
 * and an attempt lives on until control has answered its end.
 */
#ifndef CLAIM_ATTEMPT_H
#define CLAIM_ATTEMPT_H

#include "claim/ledger.h"
#include "refusal/refusal_defs.h"
#include "retry/retry.h"

enum claim_attempt_state {
	CLAIM_ATTEMPT_OPENING, /* the open's result is awaited */
	CLAIM_ATTEMPT_WAITING, /* another attempt holds the key */
	CLAIM_ATTEMPT_GRANTED, /* may be sent; nothing is at a target */
	CLAIM_ATTEMPT_SENT, /* a target may have started it */
	CLAIM_ATTEMPT_ENDING, /* the end's result is awaited */
	CLAIM_ATTEMPT_LINGERING, /* not run; ends a grant that comes late */
	CLAIM_ATTEMPT_CLOSED /* may be released */
};

enum claim_reply {
	CLAIM_REPLY_NONE,
	CLAIM_REPLY_ANSWER, /* the target's, just received */
	CLAIM_REPLY_STORED, /* the answer that came with the verdict */
	CLAIM_REPLY_REFUSAL /* reason and outcome */
};

/* What to do now: tell the caller first, then propose, then send. */
struct claim_step {
	enum claim_reply reply;
	enum refusal_reason reason;
	enum refusal_outcome outcome;
	bool propose_open;
	bool propose_end; /* with attempt->ending */
	bool send; /* to a target, through claim_attempt_begin_send() */
};

struct claim_attempt_params {
	uint64_t deadline_us; /* absolute; of the whole call */
	uint64_t resend_us; /* first pause before a proposal is resent */
	uint64_t poll_us; /* between opens while another holds the key */
};

struct claim_attempt {
	struct claim_attempt_params params;
	enum claim_attempt_state state;
	enum claim_ending ending;
	bool replied; /* the caller has its answer, or is gone */
	unsigned opens; /* proposals made */
	uint64_t backoff_us; /* grows with each resend */
	uint64_t next_us; /* when claim_attempt_on_timer() is due */
};

struct claim_step claim_attempt_start(struct claim_attempt *attempt,
    const struct claim_attempt_params *params,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* The result of an open, also of one resent or long given up. */
struct claim_step claim_attempt_on_open_result(struct claim_attempt *attempt,
    enum claim_verdict verdict,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Control says that the claim another attempt held has ended. */
struct claim_step claim_attempt_on_key_released(struct claim_attempt *attempt,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Asked immediately before the first byte of each sending goes out.  False:
 * send nothing; take *step.
 */
bool claim_attempt_begin_send(struct claim_attempt *attempt, uint64_t now_us,
    struct claim_step *step) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* A sending failed as RETRY_NOT_SENT or RETRY_SHED and is made again. */
void
claim_attempt_send_not_started(struct claim_attempt *attempt) ATTR_NONNULL_ALL;
/* The target's whole answer is there. */
struct claim_step claim_attempt_on_answer(struct claim_attempt *attempt,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * The last sending failed, or none can be made (RETRY_NOT_SENT); reason is
 * what the caller is told.
 */
struct claim_step claim_attempt_on_failure(struct claim_attempt *attempt,
    enum retry_failure failure, enum refusal_reason reason,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* The caller's connection is gone; what was sent runs on. */
struct claim_step
claim_attempt_on_caller_disconnect(struct claim_attempt *attempt,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Control has answered the end, whether the attempt still held the claim. */
void claim_attempt_on_end_result(
    struct claim_attempt *attempt, uint64_t now_us) ATTR_NONNULL_ALL;
/* Due at attempt->next_us. */
struct claim_step claim_attempt_on_timer(struct claim_attempt *attempt,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
