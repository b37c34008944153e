#include "placement/hedge_budget.h"

/*
 * Discards the credit of the time before a scheduler began or was replaced.
 */
void
hedge_budget_empty(struct hedge_budget *budget)
{
	budget->credit = 0;
}

/*
 * Adds the share of one answered request.
 */
void
hedge_budget_answered(struct hedge_budget *budget)
{
	budget->credit += budget->share;
	if (budget->credit > HEDGE_CREDIT_MAX)
		budget->credit = HEDGE_CREDIT_MAX;
}

/*
 * Returns whether there is credit for one second send.
 */
bool
hedge_budget_allows(const struct hedge_budget *budget)
{
	return budget->share > 0 && budget->credit >= 1;
}

/*
 * Takes the credit of one second send.
 */
void
hedge_budget_take(struct hedge_budget *budget)
{
	budget->credit -= 1;
}
