#include "placement/warmup_budget.h"

/*
 * Discards all tokens.
 */
void
warmup_budget_empty(struct warmup_budget *budget, uint64_t now_us)
{
	budget->tokens = 0;
	budget->updated_us = now_us;
}

/*
 * Returns the tokens at a time.
 */
static double
tokens_at(const struct warmup_budget *budget, double per_s, uint64_t now_us)
{
	double tokens = budget->tokens;

	if (now_us > budget->updated_us)
		tokens += per_s * (double)(now_us - budget->updated_us) / 1e6;
	return tokens < WARMUP_CAPACITY ? tokens : WARMUP_CAPACITY;
}

/*
 * Returns whether there is a token for one more request.
 */
bool
warmup_budget_allows(
    const struct warmup_budget *budget, double per_s, uint64_t now_us)
{
	return tokens_at(budget, per_s, now_us) >= 1;
}

/*
 * Takes one token.
 */
void
warmup_budget_take(struct warmup_budget *budget, double per_s, uint64_t now_us)
{
	budget->tokens = tokens_at(budget, per_s, now_us) - 1;
	if (budget->tokens < 0)
		budget->tokens = 0;
	if (now_us > budget->updated_us)
		budget->updated_us = now_us;
}
