/*
 * State of an entry's draws, shared by the files of the module.
 */
#ifndef LIMIT_ALLOWANCE_DRAW_DEFS_H
#define LIMIT_ALLOWANCE_DRAW_DEFS_H

#include <glib.h>

#include "limit/allowance_draw.h"

struct voter {
	char address[64]; /* empty: unused */
	uint64_t named_us;
	uint64_t silent_until_us;
	uint64_t round_trip_us; /* mean; 0: unknown */
};

struct allowance_account {
	char *name;
	struct allowance_limit limit;
	uint64_t used_us;
	double rate_per_s; /* of the own requests, at used_us */
	unsigned spare_due; /* asked for in draws without an answer */
	unsigned users; /* calls and draws */
	uint64_t empty_until_us[ALLOWANCE_VOTERS_MAX];
	GQueue tokens; /* struct allowance_token, unused */
};

/* A draw without an answer. */
struct draw {
	uint64_t request;
	struct allowance_account *account;
	struct allowance_call *call; /* NULL: it ended or has a token */
	unsigned voter;
	unsigned want;
	uint64_t asked_us;
};

struct allowance_draws {
	struct voter voters[ALLOWANCE_VOTERS_MAX];
	GHashTable *accounts; /* name -> struct allowance_account */
	GHashTable *pending; /* struct draw.request -> struct draw */
	GQueue pending_order; /* their requests, oldest first */
	uint64_t token_us;
	uint64_t last_request;
	struct allowance_counts counts;
};

/* allowance_draw_tokens.c: tokens that no request has used */
/* Takes the oldest one that is kept; false if there is none. */
bool allowance_take_token(struct allowance_draws *draws,
    struct allowance_account *account, uint64_t now_us,
    struct allowance_token *token);
void allowance_keep_token(
    struct allowance_account *account, const struct allowance_token *token);
void allowance_forget_draw(struct allowance_draws *draws, struct draw *draw);

#endif
