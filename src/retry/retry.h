/*
 * When a failed attempt may be made again, and when a slow one may be
 * hedged: within a budget, a deadline and one layer of nested calls.
 */
#ifndef RETRY_RETRY_H
#define RETRY_RETRY_H

#include "base/str.h"
#include "refusal/refusal_defs.h"

struct retry_params {
	uint32_t retry_percent; /* retries per 100 calls */
	uint32_t hedge_percent; /* hedges per 100 calls */
	uint32_t attempts_max; /* of one call, the first included */
};

/* One service's budgets on one entry.  Safe from any thread. */
struct retry_budget;

/* What is known of an attempt that did not end in an answer. */
enum retry_failure {
	RETRY_NOT_SENT, /* no byte of the request went out */
	RETRY_SHED, /* the target said it did not start */
	RETRY_BROKEN, /* bytes went out; no whole answer came */
	RETRY_ANSWER_STARTED /* part of the answer reached the caller */
};

struct retry_call {
	bool repeatable;
	bool retried_downstream; /* a deeper hop already retried */
	uint32_t depth; /* hops above this one; only hop 0 retries */
	uint32_t attempts; /* made so far */
	uint64_t deadline_us; /* absolute */
	uint64_t expected_us; /* time an attempt usually takes */
};

enum retry_verdict {
	RETRY_AGAIN,
	RETRY_NOT_ALLOWED, /* unrepeatable, or the answer has started */
	RETRY_NO_TIME,
	RETRY_NO_BUDGET,
	RETRY_ATTEMPTS_EXHAUSTED,
	RETRY_AT_OTHER_HOP /* another hop does the retrying */
};

struct retry_budget *
retry_budget_new(const struct retry_params *params) ATTR_NONNULL_ALL;
void retry_budget_free(struct retry_budget *budget);
void retry_budget_configure(struct retry_budget *budget,
    const struct retry_params *params) ATTR_NONNULL_ALL;
/* Counts a first attempt; earns its share of retries and hedges. */
void retry_budget_earn(struct retry_budget *budget) ATTR_NONNULL_ALL;
/* AGAIN spends one retry. */
enum retry_verdict retry_decide(struct retry_budget *budget,
    const struct retry_call *call, enum retry_failure failure,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* True spends one hedge. */
bool retry_hedge(struct retry_budget *budget, const struct retry_call *call,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* What a caller is told after the last attempt. */
enum refusal_outcome retry_outcome(enum retry_failure failure);

#endif
