/*
 * Decisions of an entry on the allowances of client accounts: which voter of
 * the control group is asked for a token, what its answer or silence means, and
 * what becomes of tokens that no request has used.  All times are those of the
 * boot-time clock, since tokens must not outlive a suspension.
 */
#ifndef LIMIT_ALLOWANCE_DRAW_H
#define LIMIT_ALLOWANCE_DRAW_H

#include <stdbool.h>
#include <stdint.h>

#include "limit/allowance_bucket.h"

enum {
	ALLOWANCE_VOTERS_MAX = 16,
	ALLOWANCE_WANT_MAX = 64, /* tokens of one draw */
	/* Several round trips; then the next voter is asked. */
	ALLOWANCE_ANSWER_MS = 25
};

enum allowance_step_kind {
	ALLOWANCE_GRANTED, /* the request has its token */
	ALLOWANCE_ASK, /* send a draw to step.voter */
	ALLOWANCE_REFUSED, /* beyond the allowance */
	ALLOWANCE_UNKNOWN, /* no voter can say whether there is room */
	ALLOWANCE_NOTHING /* an answer that no request waits for */
};

struct allowance_account;

/* A token, or its origin. */
struct allowance_token {
	unsigned voter;
	uint64_t request; /* of its draw */
	uint64_t asked_us; /* when the draw was sent */
	bool spare; /* drawn for later requests */
};

/* The draws of one request of a caller. */
struct allowance_call {
	void *user;
	struct allowance_account *account; /* NULL: not begun or ended */
	uint32_t asked; /* bit per voter */
	unsigned asked_count;
	uint64_t retry_us; /* shortest time named; UINT64_MAX: none */
	uint64_t request; /* of the draw that it waits for; 0: none */
	bool has_token;
	struct allowance_token token;
};

struct allowance_step {
	enum allowance_step_kind kind;
	struct allowance_call *call;
	unsigned voter;
	uint64_t request;
	unsigned want;
	uint64_t retry_us; /* of ALLOWANCE_REFUSED */
	bool
	    paced; /* refused without a message, though a voter may have room */
	const char *account;
	struct allowance_limit limit;
};

struct allowance_counts {
	uint64_t drawn; /* tokens */
	uint64_t unavailable; /* answers, and voters that gave none */
	uint64_t returned; /* tokens */
	uint64_t dropped; /* tokens that became too old */
	uint64_t paced; /* requests that were refused at once */
};

struct allowance_draws;

/* first_request: number of the first draw, above those before a restart. */
struct allowance_draws *
allowance_draws_new(uint64_t window_us, uint64_t first_request);
void allowance_draws_free(struct allowance_draws *draws);
/*
 * A voter is named by its address.  Returns its number, below
 * ALLOWANCE_VOTERS_MAX, or ALLOWANCE_VOTERS_MAX if there are too many or
 * the address is empty or has 64 bytes or more.
 */
unsigned allowance_draws_name_voter(struct allowance_draws *draws,
    const char *address, uint64_t now_us) ATTR_NONNULL_ALL;
/* Forgets voters that were not named for 10 s. */
void allowance_draws_expire_voters(
    struct allowance_draws *draws, uint64_t now_us) ATTR_NONNULL_ALL;
/* The address of a voter; NULL if there is none of that number. */
const char *allowance_draws_voter(
    const struct allowance_draws *draws, unsigned voter) ATTR_NONNULL_ALL;
/*
 * Begins to draw a token.  open: bit per voter that is connected.
 */
struct allowance_step allowance_draws_begin(struct allowance_draws *draws,
    struct allowance_call *call, const char *account,
    const struct allowance_limit *limit, uint32_t open,
    uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Draws again for a call that no voter could answer (ALLOWANCE_UNKNOWN).
 * Answers to its earlier draws that are still to come are for others.
 */
struct allowance_step allowance_draws_retry(struct allowance_draws *draws,
    struct allowance_call *call, uint32_t open,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* A voter has answered. */
struct allowance_step allowance_draws_on_result(struct allowance_draws *draws,
    uint64_t request, const struct allowance_result *result, uint32_t open,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* The voter that a call waits for has not answered in time. */
struct allowance_step allowance_draws_on_silence(struct allowance_draws *draws,
    struct allowance_call *call, uint32_t open,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* Ends a call.  Its token is kept for another request if it was not used. */
void allowance_draws_end(struct allowance_draws *draws,
    struct allowance_call *call, bool used, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Returns tokens that wait for a request in vain, through give_back, drops old
 * ones, and forgets unused accounts.  False if there is nothing left to do.
 */
bool allowance_draws_tick(struct allowance_draws *draws, uint64_t now_us,
    void (*give_back)(
	void *ctx, const char *account, const struct allowance_token *token),
    void *ctx) ATTR_NONNULL(1, 3);
struct allowance_counts
allowance_draws_counts(const struct allowance_draws *draws) ATTR_NONNULL_ALL;

#endif
