#include "retry/retry.h"

#include <stdatomic.h>

#include "base/memory.h"

enum {
	MILLITOKENS_PER_ATTEMPT = 1000, /* thousandths of a token per attempt */
	MILLITOKENS_PER_PERCENT = 10,
	TOKEN_BURST_MAX = 10, /* limit of accumulated tokens */
	RETRY_DEPTH = 0
};

struct retry_budget {
	_Atomic uint32_t retry_percent;
	_Atomic uint32_t hedge_percent;
	_Atomic uint32_t attempts_max;
	_Atomic int64_t retry_millitokens; /* thousandths of a token */
	_Atomic int64_t hedge_millitokens; /* thousandths of a token */
};

/*
 * Returns a budget without tokens, so that from the first call on the attempts
 * exceed the calls by no more than the configured percentage.
 */
struct retry_budget *
retry_budget_new(const struct retry_params *params)
{
	struct retry_budget *budget = mem_calloc(1, sizeof(*budget));

	retry_budget_configure(budget, params);
	return budget;
}

/*
 * Frees a budget that is no longer in use; NULL is allowed.
 */
void
retry_budget_free(struct retry_budget *budget)
{
	mem_free(budget);
}

/*
 * Sets new percentages and limits; accumulated tokens are kept.
 */
void
retry_budget_configure(
    struct retry_budget *budget, const struct retry_params *params)
{
	atomic_store(&budget->retry_percent, params->retry_percent);
	atomic_store(&budget->hedge_percent, params->hedge_percent);
	atomic_store(&budget->attempts_max, params->attempts_max);
}

/*
 * Adds thousandths of a token, up to TOKEN_BURST_MAX tokens.
 */
static void
add_tokens(_Atomic int64_t *tokens, int64_t millitokens)
{
	int64_t current = atomic_load_explicit(tokens, memory_order_relaxed);
	int64_t next;

	if (millitokens == 0)
		return;
	do {
		next = current + millitokens;
		if (next > (int64_t)TOKEN_BURST_MAX * MILLITOKENS_PER_ATTEMPT)
			next =
			    (int64_t)TOKEN_BURST_MAX * MILLITOKENS_PER_ATTEMPT;
		if (next <= current)
			return;
	} while (!atomic_compare_exchange_weak_explicit(tokens, &current, next,
	    memory_order_relaxed, memory_order_relaxed));
}

/*
 * Takes one whole token; returns false if there is none.
 */
static bool
take_token(_Atomic int64_t *tokens)
{
	int64_t current = atomic_load_explicit(tokens, memory_order_relaxed);

	do {
		if (current < MILLITOKENS_PER_ATTEMPT)
			return false;
	} while (!atomic_compare_exchange_weak_explicit(tokens, &current,
	    current - MILLITOKENS_PER_ATTEMPT, memory_order_relaxed,
	    memory_order_relaxed));
	return true;
}

/*
 * Counts the first attempt of a call, which adds its share of a retry and of a
 * hedge.
 */
void
retry_budget_count_call(struct retry_budget *budget)
{
	add_tokens(&budget->retry_millitokens,
	    (int64_t)atomic_load_explicit(
		&budget->retry_percent, memory_order_relaxed) *
		MILLITOKENS_PER_PERCENT);
	add_tokens(&budget->hedge_millitokens,
	    (int64_t)atomic_load_explicit(
		&budget->hedge_percent, memory_order_relaxed) *
		MILLITOKENS_PER_PERCENT);
}

/*
 * Returns whether an attempt started now would usually end before the
 * deadline.
 */
static bool
has_time(const struct retry_call *call, uint64_t now_us)
{
	if (call->deadline_us <= now_us)
		return false;
	return call->deadline_us - now_us > call->expected_us;
}

/*
 * Returns whether running the call again cannot double its effect.
 */
static bool
is_safe_to_retry(const struct retry_call *call, enum retry_failure failure)
{
	if (failure == RETRY_ANSWER_STARTED)
		return false;
	if (failure == RETRY_NOT_SENT || failure == RETRY_SHED)
		return true;
	return call->repeatable;
}

/*
 * Decides whether a failed attempt is retried on another target: only if that
 * is safe, at one hop of nested calls, and while time, attempts and budget
 * remain.  RETRY_AGAIN takes one retry from the budget.  (Token-ratio budgets:
 * Google, "Site Reliability Engineering", 2016, chapter 21.)
 */
enum retry_verdict
retry_decide(struct retry_budget *budget, const struct retry_call *call,
    enum retry_failure failure, uint64_t now_us)
{
	if (!is_safe_to_retry(call, failure))
		return RETRY_NOT_ALLOWED;
	if (call->depth != RETRY_DEPTH || call->retried_downstream)
		return RETRY_AT_OTHER_HOP;
	if (call->attempts >=
	    atomic_load_explicit(&budget->attempts_max, memory_order_relaxed))
		return RETRY_ATTEMPTS_EXHAUSTED;
	if (!has_time(call, now_us))
		return RETRY_NO_TIME;
	if (!take_token(&budget->retry_millitokens))
		return RETRY_NO_BUDGET;
	return RETRY_AGAIN;
}

/*
 * Decides whether a slow attempt may be hedged: only if the call is
 * repeatable, and under the same limits as a retry.  Returning true takes one
 * hedge from the budget.
 */
bool
retry_decide_hedge(
    struct retry_budget *budget, const struct retry_call *call, uint64_t now_us)
{
	if (!call->repeatable)
		return false;
	if (call->depth != RETRY_DEPTH || call->retried_downstream)
		return false;
	if (call->attempts >=
	    atomic_load_explicit(&budget->attempts_max, memory_order_relaxed))
		return false;
	if (!has_time(call, now_us))
		return false;
	return take_token(&budget->hedge_millitokens);
}

/*
 * Returns what the caller may conclude if the last attempt failed this way.
 */
enum refusal_outcome
retry_outcome(enum retry_failure failure)
{
	if (failure == RETRY_NOT_SENT || failure == RETRY_SHED)
		return REFUSAL_NOT_RUN;
	return REFUSAL_UNKNOWN;
}
