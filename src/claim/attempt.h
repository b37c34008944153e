/*
 * State machine of an entry for one submission of a non-idempotent call, from
 * opening its claim to the end of the claim.  It does no I/O: each event
 * function returns a struct claim_step, whose actions the caller carries out
 * in the order of its fields.
 *
 *   opening -> granted -> sent -> ending -> closed
 *   opening -> waiting -> opening           another attempt holds the key
 *   sent -> granted                         the target did not start it
 *   ending -> lingering -> closed           after "not run"
 *
 * At most one execution is ensured as follows.  A byte is sent only after
 * claim_attempt_begin_send() has returned true, which it does only in
 * "granted" and before the deadline.  "Not run" is proposed only when no
 * target can have started the call, and nothing is sent afterwards.  The
 * caller gets its reply before the end is proposed, so that "not run" is
 * reported before another attempt can be granted.  An attempt exists until
 * control has acknowledged its end.
 */
#ifndef CLAIM_ATTEMPT_H
#define CLAIM_ATTEMPT_H

#include "claim/ledger.h"
#include "refusal/refusal_defs.h"
#include "retry/retry.h"

enum claim_attempt_state {
	CLAIM_ATTEMPT_OPENING, /* waiting for the result of the open */
	CLAIM_ATTEMPT_WAITING, /* another attempt holds the key */
	CLAIM_ATTEMPT_GRANTED, /* may be sent; no target has it */
	CLAIM_ATTEMPT_SENT, /* a target may have started it */
	CLAIM_ATTEMPT_ENDING, /* waiting for the result of the end */
	CLAIM_ATTEMPT_LINGERING, /* not run; ends any late grant */
	CLAIM_ATTEMPT_CLOSED /* may be freed */
};

enum claim_reply {
	CLAIM_REPLY_NONE,
	CLAIM_REPLY_ANSWER, /* the answer just received from the target */
	CLAIM_REPLY_STORED, /* the stored answer that came with the verdict */
	CLAIM_REPLY_REFUSAL /* reason and outcome */
};

/* Actions to take: first reply to the caller, then propose, then send. */
struct claim_step {
	enum claim_reply reply;
	enum refusal_reason reason;
	enum refusal_outcome outcome;
	bool propose_open;
	bool propose_end; /* end the claim as attempt->ending says */
	bool send; /* to a target, through claim_attempt_begin_send() */
};

struct claim_attempt_params {
	uint64_t deadline_us; /* absolute; deadline of the whole call */
	uint64_t resend_us; /* initial interval for resending a proposal */
	uint64_t poll_us; /* open interval while another holds the key */
};

struct claim_attempt {
	struct claim_attempt_params params;
	enum claim_attempt_state state;
	enum claim_ending ending;
	bool replied; /* the caller has its reply or has disconnected */
	unsigned opens; /* opens proposed so far */
	uint64_t backoff_us; /* doubles with each resend */
	uint64_t next_us; /* when claim_attempt_on_timer() is due */
};

struct claim_step claim_attempt_start(struct claim_attempt *attempt,
    const struct claim_attempt_params *params,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Handles the result of an open, even of one that was resent or given up. */
struct claim_step claim_attempt_on_open_result(struct claim_attempt *attempt,
    enum claim_verdict verdict,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Handles the notice from control that another attempt's claim has ended. */
struct claim_step claim_attempt_on_key_released(struct claim_attempt *attempt,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Must be called immediately before the first byte of each send.  On false,
 * nothing may be sent; carry out *step instead.
 */
bool claim_attempt_begin_send(struct claim_attempt *attempt, uint64_t now_us,
    struct claim_step *step) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* A send failed with RETRY_NOT_SENT or RETRY_SHED and will be repeated. */
void
claim_attempt_send_not_started(struct claim_attempt *attempt) ATTR_NONNULL_ALL;
/* Handles a complete answer from the target. */
struct claim_step claim_attempt_on_answer(struct claim_attempt *attempt,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Handles the failure of the last send, or that no send is possible
 * (RETRY_NOT_SENT).  The caller is given reason.
 */
struct claim_step claim_attempt_on_failure(struct claim_attempt *attempt,
    enum retry_failure failure, enum refusal_reason reason,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* The caller has disconnected; a call already sent continues. */
struct claim_step
claim_attempt_on_caller_disconnect(struct claim_attempt *attempt,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Handles the result of the end, whether or not the attempt still held the
 * claim.
 */
void claim_attempt_on_end_result(
    struct claim_attempt *attempt, uint64_t now_us) ATTR_NONNULL_ALL;
/* Must be called at attempt->next_us. */
struct claim_step claim_attempt_on_timer(struct claim_attempt *attempt,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
