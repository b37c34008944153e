#include "limit/allowance_draw.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/str.h"

enum {
	SILENT_MS = 1000, /* a silent voter is asked last for this long */
	VOTER_KEPT_MS = 10 * 1000, /* ten lists of members */
	ACCOUNT_KEPT_MS = 60 * 1000,
	/*
	 * Longest time that a voter counts as empty without being asked: others
	 * may have returned tokens.
	 */
	EMPTY_MAX_MS = 250,
	EXPECTED_MS = 200, /* time for whose requests spare tokens are drawn */
	RATE_MS = 1000, /* over which the own rate is averaged */
	/* Weight of the newest round trip in the mean: one in this many. */
	ROUND_TRIP_WEIGHT = 8
};

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

static void
account_free(void *value)
{
	struct allowance_account *account = value;

	g_queue_clear_full(&account->tokens, mem_free);
	mem_free(account->name);
	mem_free(account);
}

/*
 * Creates the state of an entry that knows no voter.
 */
struct allowance_draws *
allowance_draws_new(uint64_t window_us, uint64_t first_request)
{
	struct allowance_draws *draws = mem_calloc(1, sizeof(*draws));

	draws->accounts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, account_free);
	draws->pending =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, mem_free);
	g_queue_init(&draws->pending_order);
	draws->token_us = allowance_token_us(window_us);
	draws->last_request = first_request;
	return draws;
}

/*
 * Frees the state; calls must have ended.  NULL is allowed.
 */
void
allowance_draws_free(struct allowance_draws *draws)
{
	if (draws == NULL)
		return;
	g_queue_clear(&draws->pending_order);
	g_hash_table_destroy(draws->pending);
	g_hash_table_destroy(draws->accounts);
	mem_free(draws);
}

/*
 * Records that an address is a voter's.
 */
unsigned
allowance_draws_name_voter(
    struct allowance_draws *draws, const char *address, uint64_t now_us)
{
	unsigned unused = ALLOWANCE_VOTERS_MAX;
	struct voter *voter;

	for (unsigned i = 0; i < ALLOWANCE_VOTERS_MAX; i++) {
		voter = &draws->voters[i];
		if (strcmp(voter->address, address) == 0) {
			voter->named_us = now_us;
			return i;
		}
		if (voter->address[0] == '\0' && unused == ALLOWANCE_VOTERS_MAX)
			unused = i;
	}
	if (unused == ALLOWANCE_VOTERS_MAX)
		return unused;
	voter = &draws->voters[unused];
	*voter = (struct voter){.named_us = now_us};
	snprintf(voter->address, sizeof(voter->address), "%s", address);
	return unused;
}

/*
 * Forgets voters that are no longer named.  Called when a list of members has
 * arrived, so that a pause of this process forgets none.
 */
void
allowance_draws_expire_voters(struct allowance_draws *draws, uint64_t now_us)
{
	for (unsigned i = 0; i < ALLOWANCE_VOTERS_MAX; i++) {
		struct voter *voter = &draws->voters[i];

		if (now_us - voter->named_us > VOTER_KEPT_MS * US_PER_MS)
			voter->address[0] = '\0';
	}
}

/*
 * Returns the address of a voter by its number, NULL if there is none.
 */
const char *
allowance_draws_voter(const struct allowance_draws *draws, unsigned voter)
{
	return voter < ALLOWANCE_VOTERS_MAX &&
		draws->voters[voter].address[0] != '\0'
	    ? draws->voters[voter].address
	    : NULL;
}

/*
 * Returns an account's state, with its limit of the newest document and its
 * rate including the request that is about to draw.
 */
static struct allowance_account *
record_request(struct allowance_draws *draws, const char *name,
    const struct allowance_limit *limit, uint64_t now_us)
{
	struct allowance_account *account =
	    g_hash_table_lookup(draws->accounts, name);
	double elapsed;

	if (account == NULL) {
		account = mem_calloc(1, sizeof(*account));
		account->name = str_dup(str_from(name));
		account->limit = *limit;
		account->used_us = now_us;
		g_queue_init(&account->tokens);
		g_hash_table_insert(draws->accounts, account->name, account);
	}
	if (limit->document_index > account->limit.document_index) {
		account->limit = *limit;
		memset(account->empty_until_us, 0,
		    sizeof(account->empty_until_us));
	}
	elapsed = (double)(now_us - account->used_us) / (RATE_MS * US_PER_MS);
	account->rate_per_s = account->rate_per_s * exp(-elapsed) +
	    (double)US_PER_S / (RATE_MS * US_PER_MS);
	account->used_us = now_us;
	return account;
}

/*
 * Takes the oldest token that is kept; false if there is none.
 */
static bool
take_token(struct allowance_draws *draws, struct allowance_account *account,
    uint64_t now_us, struct allowance_token *token)
{
	struct allowance_token *kept;

	while ((kept = g_queue_pop_head(&account->tokens)) != NULL) {
		bool live = now_us - kept->asked_us < draws->token_us;

		*token = *kept;
		mem_free(kept);
		if (live)
			return true;
		draws->counts.dropped++;
	}
	return false;
}

static void
keep_token(
    struct allowance_account *account, const struct allowance_token *token)
{
	struct allowance_token *kept = mem_calloc(1, sizeof(*kept));

	*kept = *token;
	g_queue_push_tail(&account->tokens, kept);
}

static void
give_token(struct allowance_call *call, const struct allowance_token *token)
{
	call->has_token = true;
	call->token = *token;
	call->request = 0;
}

/*
 * Returns the voter to be asked next, ALLOWANCE_VOTERS_MAX if there is none:
 * the nearest one that may have room, silent ones last.  What empty ones have
 * said counts as an answer to this call.
 */
static unsigned
next_voter(const struct allowance_draws *draws, struct allowance_call *call,
    uint32_t open, uint64_t now_us)
{
	unsigned best = ALLOWANCE_VOTERS_MAX;
	bool best_silent = true;

	for (unsigned i = 0; i < ALLOWANCE_VOTERS_MAX; i++) {
		const struct voter *voter = &draws->voters[i];
		uint64_t empty_until = call->account->empty_until_us[i];
		bool silent = now_us < voter->silent_until_us;

		if (voter->address[0] == '\0' || (open >> i & 1) == 0 ||
		    (call->asked >> i & 1) != 0)
			continue;
		if (now_us < empty_until) {
			call->retry_us =
			    MIN(call->retry_us, empty_until - now_us);
			continue;
		}
		if (best == ALLOWANCE_VOTERS_MAX || (best_silent && !silent) ||
		    (best_silent == silent &&
			voter->round_trip_us <
			    draws->voters[best].round_trip_us)) {
			best = i;
			best_silent = silent;
		}
	}
	return best;
}

/*
 * Returns how many tokens to ask for: one for the request, and what is expected
 * to be needed in EXPECTED_MS beyond what is kept or was asked for.
 */
static unsigned
wanted_tokens(const struct allowance_account *account)
{
	double expected = account->rate_per_s * EXPECTED_MS / 1000.0 -
	    account->tokens.length - account->spare_due;

	if (expected < 1)
		return 1;
	return expected < ALLOWANCE_WANT_MAX - 1 ? 1 + (unsigned)expected
						 : ALLOWANCE_WANT_MAX;
}

/*
 * Asks the next voter on behalf of a call, or ends the call's draws.
 */
static struct allowance_step
ask_next(struct allowance_draws *draws, struct allowance_call *call,
    uint32_t open, uint64_t now_us)
{
	struct allowance_account *account = call->account;
	struct allowance_step step = {
	    .call = call,
	    .account = account->name,
	    .limit = account->limit,
	    .voter = next_voter(draws, call, open, now_us),
	};
	struct draw *draw;

	call->request = 0;
	if (step.voter == ALLOWANCE_VOTERS_MAX) {
		step.kind = call->retry_us != UINT64_MAX ? ALLOWANCE_REFUSED
							 : ALLOWANCE_UNKNOWN;
		step.retry_us = call->retry_us;
		return step;
	}
	step.kind = ALLOWANCE_ASK;
	step.want = wanted_tokens(account);
	step.request = ++draws->last_request;
	call->asked |= UINT32_C(1) << step.voter;
	call->asked_count++;
	call->request = step.request;
	draw = mem_calloc(1, sizeof(*draw));
	*draw = (struct draw){
	    .request = step.request,
	    .account = account,
	    .call = call,
	    .voter = step.voter,
	    .want = step.want,
	    .asked_us = now_us,
	};
	account->spare_due += step.want - 1;
	account->users++;
	g_hash_table_insert(draws->pending, &draw->request, draw);
	g_queue_push_tail(&draws->pending_order, draw);
	return step;
}

/*
 * Begins to draw a token for a request: one that is kept, or one of a voter.
 */
struct allowance_step
allowance_draws_begin(struct allowance_draws *draws,
    struct allowance_call *call, const char *account,
    const struct allowance_limit *limit, uint32_t open, uint64_t now_us)
{
	struct allowance_token token;

	call->account = record_request(draws, account, limit, now_us);
	call->account->users++;
	call->asked = 0;
	call->asked_count = 0;
	call->retry_us = UINT64_MAX;
	call->request = 0;
	call->has_token = false;
	if (take_token(draws, call->account, now_us, &token)) {
		give_token(call, &token);
		return (struct allowance_step){
		    .kind = ALLOWANCE_GRANTED,
		    .call = call,
		    .account = call->account->name,
		};
	}
	return ask_next(draws, call, open, now_us);
}

/*
 * Forgets a draw.  Its place in the order must be the caller's, or is searched
 * for from the oldest on.
 */
static void
forget(struct allowance_draws *draws, struct draw *draw)
{
	draw->account->spare_due -= draw->want - 1;
	draw->account->users--;
	g_queue_remove(&draws->pending_order, draw);
	g_hash_table_remove(draws->pending, &draw->request);
}

/*
 * Detaches a call from its draws, whose answers may still come.
 */
static void
detach(struct allowance_draws *draws, const struct allowance_call *call)
{
	unsigned left = call->asked_count;

	for (GList *node = draws->pending_order.tail; node != NULL && left > 0;
	     node = node->prev) {
		struct draw *draw = node->data;

		if (draw->call != call)
			continue;
		draw->call = NULL;
		left--;
	}
}

/*
 * Gives the tokens of an answer to the call that waits for it; the rest is
 * kept.
 */
static struct allowance_step
on_granted(
    struct allowance_draws *draws, const struct draw *draw, unsigned granted)
{
	struct allowance_step step = {.kind = ALLOWANCE_NOTHING};
	struct allowance_call *call = draw->call;
	struct allowance_token token = {
	    .voter = draw->voter,
	    .request = draw->request,
	    .asked_us = draw->asked_us,
	};

	draws->counts.drawn += granted;
	if (call != NULL) {
		detach(draws, call);
		give_token(call, &token);
		step.kind = ALLOWANCE_GRANTED;
		step.call = call;
		step.account = call->account->name;
	} else {
		keep_token(draw->account, &token);
	}
	token.spare = true;
	for (unsigned i = 1; i < granted; i++)
		keep_token(draw->account, &token);
	return step;
}

/*
 * Processes the answer of a voter.  A late one that brings tokens is as good as
 * any; a late refusal says nothing, since the next voter was asked.  Answers
 * older than the life of a token were forgotten with their draw, or are ignored
 * here: this process was paused.
 */
struct allowance_step
allowance_draws_on_result(struct allowance_draws *draws, uint64_t request,
    const struct allowance_result *result, uint32_t open, uint64_t now_us)
{
	struct draw *pending = g_hash_table_lookup(draws->pending, &request);
	struct allowance_step nothing = {.kind = ALLOWANCE_NOTHING};
	struct draw draw;
	struct voter *voter;
	uint64_t took;

	if (pending == NULL)
		return nothing;
	draw = *pending;
	forget(draws, pending);
	voter = &draws->voters[draw.voter];
	took = now_us - draw.asked_us;
	if (took >= draws->token_us) {
		draws->counts.dropped += result->granted;
		if (draw.call == NULL || draw.call->request != request)
			return nothing;
		return ask_next(draws, draw.call, open, now_us);
	}
	voter->round_trip_us = voter->round_trip_us == 0
	    ? took
	    : (voter->round_trip_us * (ROUND_TRIP_WEIGHT - 1) + took) /
		ROUND_TRIP_WEIGHT;
	voter->silent_until_us = 0;
	if (result->granted > 0)
		return on_granted(draws, &draw, result->granted);
	if (result->unavailable) {
		draws->counts.unavailable++;
		voter->silent_until_us = now_us + SILENT_MS * US_PER_MS;
	} else {
		draw.account->empty_until_us[draw.voter] =
		    now_us + MIN(result->retry_us, EMPTY_MAX_MS * US_PER_MS);
		if (draw.call != NULL)
			draw.call->retry_us =
			    MIN(draw.call->retry_us, result->retry_us);
	}
	if (draw.call == NULL || draw.call->request != request)
		return nothing;
	return ask_next(draws, draw.call, open, now_us);
}

/*
 * The voter has not answered: another one is asked.
 */
struct allowance_step
allowance_draws_on_silence(struct allowance_draws *draws,
    struct allowance_call *call, uint32_t open, uint64_t now_us)
{
	const struct draw *draw =
	    g_hash_table_lookup(draws->pending, &call->request);

	if (draw != NULL) {
		draws->counts.unavailable++;
		draws->voters[draw->voter].silent_until_us =
		    now_us + SILENT_MS * US_PER_MS;
	}
	return ask_next(draws, call, open, now_us);
}

/*
 * Ends a call.
 */
void
allowance_draws_end(struct allowance_draws *draws, struct allowance_call *call,
    bool used, uint64_t now_us)
{
	if (call->account == NULL)
		return;
	detach(draws, call);
	if (call->has_token && !used) {
		if (now_us - call->token.asked_us < draws->token_us)
			keep_token(call->account, &call->token);
		else
			draws->counts.dropped++;
	}
	call->account->users--;
	call->account = NULL;
	call->request = 0;
	call->has_token = false;
}

/*
 * Returns the tokens of an account that were not drawn as spare ones and have
 * waited for half of their life, and drops those that are too old.
 */
static void
sweep_tokens(struct allowance_draws *draws, struct allowance_account *account,
    uint64_t now_us,
    void (*give_back)(
	void *ctx, const char *account, const struct allowance_token *token),
    void *ctx)
{
	GList *next;

	for (GList *node = account->tokens.head; node != NULL; node = next) {
		struct allowance_token *token = node->data;
		uint64_t age = now_us - token->asked_us;

		next = node->next;
		if (age < draws->token_us / 2 ||
		    (token->spare && age < draws->token_us))
			continue;
		if (age < draws->token_us) {
			draws->counts.returned++;
			give_back(ctx, account->name, token);
		} else {
			draws->counts.dropped++;
		}
		mem_free(token);
		g_queue_delete_link(&account->tokens, node);
	}
}

/*
 * Periodic work, as long as it returns true.
 */
bool
allowance_draws_tick(struct allowance_draws *draws, uint64_t now_us,
    void (*give_back)(
	void *ctx, const char *account, const struct allowance_token *token),
    void *ctx)
{
	struct draw *draw;
	GHashTableIter iter;
	gpointer value;

	while ((draw = g_queue_peek_head(&draws->pending_order)) != NULL &&
	    draw->call == NULL && now_us - draw->asked_us >= draws->token_us)
		forget(draws, draw);
	g_hash_table_iter_init(&iter, draws->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct allowance_account *account = value;

		sweep_tokens(draws, account, now_us, give_back, ctx);
		if (account->users == 0 && account->tokens.length == 0 &&
		    now_us - account->used_us > ACCOUNT_KEPT_MS * US_PER_MS)
			g_hash_table_iter_remove(&iter);
	}
	return g_hash_table_size(draws->accounts) > 0;
}

/*
 * Returns what was counted so far.
 */
struct allowance_counts
allowance_draws_counts(const struct allowance_draws *draws)
{
	return draws->counts;
}
