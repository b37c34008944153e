/*
 * Credit for second sends against slow answers: a share of a service's answered
 * requests.  A request is answered at one scheduler only, and a new scheduler
 * begins without credit, so that the share holds over all schedulers.
 */
#ifndef PLACEMENT_HEDGE_BUDGET_H
#define PLACEMENT_HEDGE_BUDGET_H

#include <stdbool.h>

#include "base/attr.h"

enum {
	/* Bounds the burst after a time without slow answers. */
	HEDGE_CREDIT_MAX = 10
};

struct hedge_budget {
	double share; /* of the requests; 0: off */
	double credit;
};

/* Discards the credit. */
void hedge_budget_empty(struct hedge_budget *budget) ATTR_NONNULL_ALL;
/* Counts an answered request. */
void hedge_budget_answered(struct hedge_budget *budget) ATTR_NONNULL_ALL;
/* Whether there is credit for one second send. */
bool hedge_budget_allows(const struct hedge_budget *budget) ATTR_NONNULL_ALL;
void hedge_budget_take(struct hedge_budget *budget) ATTR_NONNULL_ALL;

#endif
