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

/*
 * The draws of an account that is empty, and the granted ones by which they are
 * limited.
 */
struct draw_pace {
	bool small; /* the account's buckets never have spare tokens */
	bool on; /* a voter has refused a draw since the account had room */
	uint64_t refused_us; /* time of the last refusal; 0: none */
	uint64_t retry_us; /* named then */
	double granted_per_s; /* draws, at granted_us */
	uint64_t granted_us;
	uint64_t since_us; /* granted draws are counted */
	double credit; /* draws that may be sent, at credit_us */
	uint64_t credit_us;
};

struct allowance_account {
	char *name;
	struct allowance_limit limit;
	uint64_t used_us;
	double rate_per_s; /* of the own requests, at used_us */
	unsigned spare_due; /* asked for in draws without an answer */
	unsigned users; /* calls and draws */
	uint64_t empty_until_us[ALLOWANCE_VOTERS_MAX];
	/* When a voter has its next token, as far as known. */
	uint64_t ready_us[ALLOWANCE_VOTERS_MAX];
	struct draw_pace pace;
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

/* allowance_draw_pace.c: draws for accounts that are empty */
void
allowance_pace_start(struct draw_pace *pace, double burst, uint64_t now_us);
void allowance_pace_resume(struct draw_pace *pace, uint64_t now_us);
bool allowance_pace_allows(struct draw_pace *pace, uint64_t now_us);
void allowance_pace_on_sent(struct draw_pace *pace);
void allowance_pace_on_unknown(struct draw_pace *pace);
void
allowance_pace_on_granted(struct draw_pace *pace, bool spare, uint64_t now_us);
void allowance_pace_on_refused(
    struct draw_pace *pace, uint64_t retry_us, uint64_t now_us);

/* allowance_draw_tokens.c: tokens that no request has used */
/* Takes the oldest one that is kept; false if there is none. */
bool allowance_take_token(struct allowance_draws *draws,
    struct allowance_account *account, uint64_t now_us,
    struct allowance_token *token);
void allowance_keep_token(
    struct allowance_account *account, const struct allowance_token *token);
void allowance_forget_draw(struct allowance_draws *draws, struct draw *draw);

#endif
