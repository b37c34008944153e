#include "balance/budget.h"

#include "base/clock.h"

/* Limit of the message and call tokens. */
#define MESSAGE_BURST_MAX 1.0
/* Limit of the byte tokens, in seconds of the byte rate. */
#define BYTES_BURST_S 0.25
/* Refill rate for a share of one message per second. */
#define SINGLE_MESSAGE_RATE 0.5

/*
 * Returns the smaller of two values.
 */
static double
min_double(double a, double b)
{
	return a < b ? a : b;
}

/*
 * Returns the refill rate that keeps any window of a second or longer within
 * the share, although one message token may have accumulated before it.
 */
static double
message_refill_rate(uint64_t share_per_s)
{
	if (share_per_s == 0)
		return 0.0;
	if (share_per_s == 1)
		return SINGLE_MESSAGE_RATE;
	return (double)(share_per_s - 1);
}

/*
 * Adds the tokens up to a given time at the current rates, within the limits.
 */
static void
refill_until(struct measuring_budget *budget, uint64_t now_us)
{
	double bytes_per_s = (double)budget->bytes_per_s;
	double passed_s;

	if (now_us <= budget->refilled_us)
		return;
	passed_s = (double)(now_us - budget->refilled_us) / (double)US_PER_S;
	budget->messages +=
	    passed_s * message_refill_rate(budget->messages_per_s);
	budget->messages = min_double(budget->messages, MESSAGE_BURST_MAX);
	budget->bytes += passed_s * bytes_per_s * (1.0 - BYTES_BURST_S);
	budget->bytes = min_double(budget->bytes, bytes_per_s * BYTES_BURST_S);
	budget->refilled_us = now_us;
}

/*
 * Adds the tokens up to now: at the old rates until a pending larger share
 * took effect, and at the new ones afterwards.
 */
static void
refill(struct measuring_budget *budget, uint64_t now_us)
{
	if (budget->grow_us != 0 && now_us >= budget->grow_us) {
		refill_until(budget, budget->grow_us);
		budget->messages_per_s = budget->next_messages_per_s;
		budget->bytes_per_s = budget->next_bytes_per_s;
		budget->grow_us = 0;
	}
	refill_until(budget, now_us);
}

/*
 * Sets this entry's share of the fleet's budget, rounded down to whole
 * messages and bytes per second.  A reduction takes effect at once, an
 * increase after MEASURING_BUDGET_GROW_DELAY_US.
 */
void
measuring_budget_set(struct measuring_budget *budget, uint64_t messages_per_s,
    uint64_t bytes_per_s, uint64_t per_1000_calls, uint32_t divisor,
    uint64_t now_us)
{
	uint64_t messages = messages_per_s / (divisor > 0 ? divisor : 1);
	uint64_t bytes = bytes_per_s / (divisor > 0 ? divisor : 1);
	bool pending = budget->grow_us != 0;
	bool grows;

	refill(budget, now_us);
	budget->per_1000_calls = per_1000_calls;
	if (messages < budget->messages_per_s)
		budget->messages_per_s = messages;
	if (bytes < budget->bytes_per_s)
		budget->bytes_per_s = bytes;
	budget->bytes = min_double(
	    budget->bytes, (double)budget->bytes_per_s * BYTES_BURST_S);
	grows =
	    messages > budget->messages_per_s || bytes > budget->bytes_per_s;
	if (!grows) {
		budget->grow_us = 0;
		return;
	}
	if (!pending || messages > budget->next_messages_per_s ||
	    bytes > budget->next_bytes_per_s)
		budget->grow_us = now_us + MEASURING_BUDGET_GROW_DELAY_US;
	budget->next_messages_per_s = messages;
	budget->next_bytes_per_s = bytes;
}

/*
 * Adds the call tokens for a number of calls, per_1000_calls / 1000 for each.
 */
void
measuring_budget_count_calls(struct measuring_budget *budget, uint64_t calls)
{
	budget->calls +=
	    (double)calls * (double)budget->per_1000_calls / 1000.0;
	budget->calls = min_double(budget->calls, MESSAGE_BURST_MAX);
}

/*
 * Spends one message of the given size, or returns false and spends nothing.
 * Over any half-open window of a second or longer an entry spends at most its
 * share; a message larger than a quarter of a second's bytes is always
 * refused.
 */
bool
measuring_budget_spend(
    struct measuring_budget *budget, uint64_t bytes, uint64_t now_us)
{
	refill(budget, now_us);
	if (budget->messages < 1.0 || budget->calls < 1.0 ||
	    budget->bytes < (double)bytes || budget->messages_per_s == 0)
		return false;
	budget->messages -= 1.0;
	budget->calls -= 1.0;
	budget->bytes -= (double)bytes;
	return true;
}
