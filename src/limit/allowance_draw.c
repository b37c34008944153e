#include "limit/allowance_draw.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/str.h"
#include "limit/allowance_draw_defs.h"

enum {
	SILENT_MS = 1000, /* a silent voter is asked last for this long */
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
		allowance_pace_start(&account->pace, limit->burst, now_us);
		g_queue_init(&account->tokens);
		g_hash_table_insert(draws->accounts, account->name, account);
	}
	if (limit->document_index > account->limit.document_index) {
		account->limit = *limit;
		memset(account->empty_until_us, 0,
		    sizeof(account->empty_until_us));
		memset(account->ready_us, 0, sizeof(account->ready_us));
		allowance_pace_start(&account->pace, limit->burst, now_us);
	}
	if (now_us - account->used_us >= RATE_MS * US_PER_MS)
		allowance_pace_resume(&account->pace, now_us);
	elapsed = (double)(now_us - account->used_us) / (RATE_MS * US_PER_MS);
	account->rate_per_s = account->rate_per_s * exp(-elapsed) +
	    (double)US_PER_S / (RATE_MS * US_PER_MS);
	account->used_us = now_us;
	return account;
}

static void
give_token(struct allowance_call *call, const struct allowance_token *token)
{
	call->has_token = true;
	call->token = *token;
	call->request = 0;
}

/*
 * Returns whether to ask a voter before another one: silent ones last, then the
 * nearest one, or, while draws are paced, the one that has had the longest time
 * for a token.  The nearest one alone has only its share of the rate.
 */
static bool
is_better(const struct allowance_draws *draws,
    const struct allowance_account *account, unsigned voter, unsigned other,
    uint64_t now_us)
{
	const struct voter *a = &draws->voters[voter];
	const struct voter *b = &draws->voters[other];
	bool a_silent = now_us < a->silent_until_us;
	bool b_silent = now_us < b->silent_until_us;

	if (a_silent != b_silent)
		return b_silent;
	if (account->pace.on &&
	    account->ready_us[voter] != account->ready_us[other])
		return account->ready_us[voter] < account->ready_us[other];
	return a->round_trip_us < b->round_trip_us;
}

/*
 * Returns the voter to be asked next, ALLOWANCE_VOTERS_MAX if there is none.
 * What empty ones have said counts as an answer to this call.
 */
static unsigned
next_voter(const struct allowance_draws *draws, struct allowance_call *call,
    uint32_t open, uint64_t now_us)
{
	unsigned best = ALLOWANCE_VOTERS_MAX;

	for (unsigned i = 0; i < ALLOWANCE_VOTERS_MAX; i++) {
		const struct voter *voter = &draws->voters[i];
		uint64_t empty_until = call->account->empty_until_us[i];

		if (voter->address[0] == '\0' || (open >> i & 1) == 0 ||
		    (call->asked >> i & 1) != 0)
			continue;
		if (now_us < empty_until) {
			call->retry_us =
			    MIN(call->retry_us, empty_until - now_us);
			continue;
		}
		if (best == ALLOWANCE_VOTERS_MAX ||
		    is_better(draws, call->account, i, best, now_us))
			best = i;
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
	if (!allowance_pace_allows(&account->pace, now_us)) {
		step.kind = ALLOWANCE_REFUSED;
		step.retry_us = MIN(call->retry_us, account->pace.retry_us);
		step.paced = call->asked_count == 0;
		draws->counts.paced += step.paced ? 1 : 0;
		return step;
	}
	allowance_pace_on_sent(&account->pace);
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
 * Takes a kept token for a call, or asks the first voter.
 */
static struct allowance_step
draw_first(struct allowance_draws *draws, struct allowance_call *call,
    uint32_t open, uint64_t now_us)
{
	struct allowance_token token;

	call->asked = 0;
	call->asked_count = 0;
	call->retry_us = UINT64_MAX;
	call->request = 0;
	call->has_token = false;
	if (!allowance_take_token(draws, call->account, now_us, &token))
		return ask_next(draws, call, open, now_us);
	give_token(call, &token);
	return (struct allowance_step){
	    .kind = ALLOWANCE_GRANTED,
	    .call = call,
	    .account = call->account->name,
	};
}

/*
 * Begins to draw a token for a request: one that is kept, or one of a voter.
 */
struct allowance_step
allowance_draws_begin(struct allowance_draws *draws,
    struct allowance_call *call, const char *account,
    const struct allowance_limit *limit, uint32_t open, uint64_t now_us)
{
	call->account = record_request(draws, account, limit, now_us);
	call->account->users++;
	return draw_first(draws, call, open, now_us);
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
 * Draws again for a request.
 */
struct allowance_step
allowance_draws_retry(struct allowance_draws *draws,
    struct allowance_call *call, uint32_t open, uint64_t now_us)
{
	detach(draws, call);
	return draw_first(draws, call, open, now_us);
}

/*
 * Gives the tokens of an answer to the call that waits for it; the rest is
 * kept.
 */
static struct allowance_step
on_granted(struct allowance_draws *draws, const struct draw *draw,
    unsigned granted, uint64_t now_us)
{
	struct allowance_step step = {.kind = ALLOWANCE_NOTHING};
	struct allowance_call *call = draw->call;
	struct allowance_token token = {
	    .voter = draw->voter,
	    .request = draw->request,
	    .asked_us = draw->asked_us,
	};

	draws->counts.drawn += granted;
	draw->account->ready_us[draw->voter] = now_us;
	allowance_pace_on_granted(&draw->account->pace, granted > 1, now_us);
	if (call != NULL) {
		detach(draws, call);
		give_token(call, &token);
		step.kind = ALLOWANCE_GRANTED;
		step.call = call;
		step.account = call->account->name;
	} else {
		allowance_keep_token(draw->account, &token);
	}
	token.spare = true;
	for (unsigned i = 1; i < granted; i++)
		allowance_keep_token(draw->account, &token);
	return step;
}

/*
 * A voter has no token for the account of a draw.
 */
static void
on_refused(const struct draw *draw, uint64_t retry_us, uint64_t now_us)
{
	struct allowance_account *account = draw->account;

	account->empty_until_us[draw->voter] =
	    now_us + MIN(retry_us, EMPTY_MAX_MS * US_PER_MS);
	account->ready_us[draw->voter] = now_us + retry_us;
	if (draw->call != NULL)
		retry_us = draw->call->retry_us =
		    MIN(draw->call->retry_us, retry_us);
	allowance_pace_on_refused(&account->pace, retry_us, now_us);
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
	allowance_forget_draw(draws, pending);
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
		return on_granted(draws, &draw, result->granted, now_us);
	if (result->unavailable) {
		draws->counts.unavailable++;
		voter->silent_until_us = now_us + SILENT_MS * US_PER_MS;
		allowance_pace_on_unknown(&draw.account->pace);
	} else {
		on_refused(&draw, result->retry_us, now_us);
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
		allowance_pace_on_unknown(&draw->account->pace);
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
			allowance_keep_token(call->account, &call->token);
		else
			draws->counts.dropped++;
	}
	call->account->users--;
	call->account = NULL;
	call->request = 0;
	call->has_token = false;
}

/*
 * Returns what was counted so far.
 */
struct allowance_counts
allowance_draws_counts(const struct allowance_draws *draws)
{
	return draws->counts;
}
