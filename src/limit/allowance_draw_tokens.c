#include "base/clock.h"
#include "base/memory.h"
#include "limit/allowance_draw_defs.h"

enum {
	ACCOUNT_KEPT_MS = 60 * 1000
};

/*
 * Takes the oldest token that is kept; false if there is none.
 */
bool
allowance_take_token(struct allowance_draws *draws,
    struct allowance_account *account, uint64_t now_us,
    struct allowance_token *token)
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

/*
 * Keeps a token for a later request.
 */
void
allowance_keep_token(
    struct allowance_account *account, const struct allowance_token *token)
{
	struct allowance_token *kept = mem_calloc(1, sizeof(*kept));

	*kept = *token;
	g_queue_push_tail(&account->tokens, kept);
}

/*
 * Forgets a draw that was answered or is too old.
 */
void
allowance_forget_draw(struct allowance_draws *draws, struct draw *draw)
{
	draw->account->spare_due -= draw->want - 1;
	draw->account->users--;
	g_queue_remove(&draws->pending_order, draw);
	g_hash_table_remove(draws->pending, &draw->request);
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
		allowance_forget_draw(draws, draw);
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
