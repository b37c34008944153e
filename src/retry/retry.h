/*
 * Decides whether a failed attempt is retried and whether a slow one is
 * hedged: within a budget, a deadline, and at one hop of nested calls only.
 */
#ifndef RETRY_RETRY_H
#define RETRY_RETRY_H

#include "base/str.h"
#include "refusal/refusal_defs.h"

struct retry_params {
	uint32_t retry_percent; /* retries per 100 calls */
	uint32_t hedge_percent; /* hedges per 100 calls */
	uint32_t attempts_max; /* per call, including the first */
};

/* The retry and hedge budgets of one service on one entry.  Thread-safe. */
struct retry_budget;

/* What is known about an attempt that did not end in an answer. */
enum retry_failure {
	RETRY_NOT_SENT, /* no byte of the request went out */
	RETRY_SHED, /* the target replied that it did not start */
	RETRY_BROKEN, /* bytes went out; no complete answer came */
	RETRY_ANSWER_STARTED /* part of the answer reached the caller */
};

struct retry_call {
	bool repeatable;
	bool retried_downstream; /* a deeper hop already retried */
	uint32_t depth; /* hops above this one; only hop 0 retries */
	uint32_t attempts; /* made so far, including the failed one */
	uint64_t deadline_us; /* absolute */
	uint64_t expected_us; /* usual duration of an attempt */
};

enum retry_verdict {
	RETRY_AGAIN,
	RETRY_NOT_ALLOWED, /* not idempotent, or the answer has started */
	RETRY_NO_TIME,
	RETRY_NO_BUDGET,
	RETRY_ATTEMPTS_EXHAUSTED,
	RETRY_AT_OTHER_HOP /* retries are made at another hop */
};

struct retry_budget *
retry_budget_new(const struct retry_params *params) ATTR_NONNULL_ALL;
void retry_budget_free(struct retry_budget *budget);
void retry_budget_configure(struct retry_budget *budget,
    const struct retry_params *params) ATTR_NONNULL_ALL;
/* Counts a first attempt, which adds its share of a retry and of a hedge. */
void retry_budget_count_call(struct retry_budget *budget) ATTR_NONNULL_ALL;
/* RETRY_AGAIN takes one retry from the budget. */
enum retry_verdict retry_decide(struct retry_budget *budget,
    const struct retry_call *call, enum retry_failure failure,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Returning true takes one hedge from the budget. */
bool
retry_decide_hedge(struct retry_budget *budget, const struct retry_call *call,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Returns the outcome reported to the caller after the last attempt. */
enum refusal_outcome retry_outcome(enum retry_failure failure);

#endif
