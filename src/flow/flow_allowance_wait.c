/*
 * Requests that no voter has answered, while one is expected soon: after a
 * start of all processes, and in an election.  They hold no target meanwhile.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_allowance.h"

enum {
	/*
	 * An entry to which no voter has granted for this long is cut off: an
	 * election takes 0.7 s after a start of all processes.
	 */
	VOTER_MS = 1500,
	/* As at the startup (flow_startup.c). */
	WAIT_TIMEOUT_DIVISOR = 5,
	WAIT_MAX_MS = 1000,
	REDRAW_MS = 100,
	/*
	 * Between the draws of two requests: with 141 entries and five voters,
	 * each voter gets at most 5,640 draws a second.
	 */
	REDRAW_GAP_MS = 25,
	/* Each holds some KB, besides a body that the memory budget counts. */
	WAITING_MAX = 1000
};

/*
 * Initializes the state; the start counts as a grant.
 */
void
allowance_wait_open(struct flow_allowance *a)
{
	a->voter_us = clock_boot_us();
	a->wake_due_us = UINT64_MAX;
	g_queue_init(&a->waiting);
}

/*
 * Returns when the wait of a request ends: no voter has granted for VOTER_MS,
 * or it has waited for its own time.
 */
static uint64_t
end_us(const struct flow_allowance *a, const struct exchange_allowance *own)
{
	return MIN(own->wait_end_us, a->voter_us + VOTER_MS * US_PER_MS);
}

/*
 * Returns whether the wait of a request has ended; false if it has not waited.
 */
bool
allowance_wait_is_over(const struct exchange_allowance *own, uint64_t now_us)
{
	return own->wait_since_us != 0 &&
	    now_us >= end_us(own->exchange->flow->allowance, own);
}

/*
 * Returns until when a request may wait, by the boot-time clock.  The time
 * before, also that of the startup, counts.
 */
static uint64_t
own_end_us(const struct exchange_allowance *own, uint64_t now_us)
{
	const struct exchange *x = own->exchange;
	uint64_t now = flow_now_us(x->flow);
	uint64_t wait_ms = exchange_caller_timeout_ms(x) / WAIT_TIMEOUT_DIVISOR;
	uint64_t end = x->arrival_us + MIN(wait_ms, WAIT_MAX_MS) * US_PER_MS;
	uint64_t expected_us =
	    own->target != NULL ? own->expected_us : part_work_us(x);

	/* What the granted target, or any one, takes comes after the wait. */
	end = MIN(end, x->objective_us - MIN(x->objective_us, expected_us));
	return end > now ? now_us + end - now : now_us;
}

/*
 * Enqueues a request by the time of its next draw.  Most go to the tail.
 */
static void
enqueue(struct flow_allowance *a, struct exchange_allowance *own)
{
	GList *before = a->waiting.tail;

	while (before != NULL &&
	    ((const struct exchange_allowance *)before->data)->redraw_us >
		own->redraw_us)
		before = before->prev;
	own->wait_link.data = own;
	if (before == NULL)
		g_queue_push_head_link(&a->waiting, &own->wait_link);
	else
		g_queue_insert_after_link(&a->waiting, before, &own->wait_link);
	counter_set(a->waiting_now, a->waiting.length);
}

static void
on_begin(struct exchange_allowance *own, uint64_t now_us)
{
	const struct exchange *x = own->exchange;

	own->wait_since_us = now_us;
	if (flow_may_log_routine(x->flow))
		log_info("allowance_waits",
		    "instance=%s request=%" PRIu64 " attempt=%s account=%s "
		    "most_ms=%" PRIu64 " waiting=%u",
		    x->flow->settings.instance, x->id, x->attempt_id,
		    x->account->name,
		    (end_us(x->flow->allowance, own) - now_us) / US_PER_MS,
		    x->flow->allowance->waiting.length);
}

/*
 * Lets a request wait.  It gives back its target and its place at the
 * scheduler, and asks again when it has a token.
 */
bool
allowance_wait_begin(struct exchange_allowance *own, uint64_t now_us)
{
	struct exchange *x = own->exchange;
	struct flow *flow = x->flow;
	struct flow_allowance *a = flow->allowance;
	char *target = own->target;

	if (own->wait_since_us == 0)
		own->wait_end_us = own_end_us(own, now_us);
	if (flow->stopping || end_us(a, own) <= now_us ||
	    a->waiting.length >= WAITING_MAX ||
	    memory_budget_is_tight(&flow->memory))
		return false;
	if (own->wait_since_us == 0)
		on_begin(own, now_us);
	own->target = NULL;
	if (target != NULL)
		exchange_return_grant(x, target, own->remote);
	mem_free(target);
	schedule_cancel(x);
	if (a->waiting.length == 0)
		a->last_redraw_us = 0;
	a->last_redraw_us = MAX(now_us + REDRAW_MS * US_PER_MS,
	    a->last_redraw_us + REDRAW_GAP_MS * US_PER_MS);
	own->redraw_us = MIN(a->last_redraw_us, end_us(a, own));
	enqueue(a, own);
	allowance_start_timer(a, now_us);
	return true;
}

/*
 * Removes a request from those that wait.
 */
void
allowance_wait_stop(struct exchange_allowance *own)
{
	struct flow_allowance *a = own->exchange->flow->allowance;

	if (own->wait_link.data == NULL)
		return;
	g_queue_unlink(&a->waiting, &own->wait_link);
	own->wait_link.data = NULL;
	counter_set(a->waiting_now, a->waiting.length);
}

static void
log_end(
    const struct exchange_allowance *own, const char *outcome, uint64_t now_us)
{
	const struct exchange *x = own->exchange;

	log_info("allowance_waited",
	    "instance=%s request=%" PRIu64 " attempt=%s outcome=%s "
	    "waited_ms=%" PRIu64 " waiting=%u",
	    x->flow->settings.instance, x->id, x->attempt_id, outcome,
	    (now_us - own->wait_since_us) / US_PER_MS,
	    x->flow->allowance->waiting.length);
}

/*
 * Counts a request that has waited and has its token.
 */
void
allowance_wait_served(struct exchange_allowance *own, uint64_t now_us)
{
	struct flow *flow = own->exchange->flow;

	counter_add(flow->allowance->served_late, 1);
	if (flow_may_log_routine(flow))
		log_end(own, "served", now_us);
}

/*
 * Counts a request that has waited and ends without a token.
 */
void
allowance_wait_in_vain(struct exchange_allowance *own)
{
	struct flow *flow = own->exchange->flow;

	counter_add(flow->allowance->in_vain, 1);
	if (flow_may_log(flow))
		log_end(own, "in_vain", clock_boot_us());
}

/*
 * Lets all requests that wait draw, at once or REDRAW_MS after the last time: a
 * voter is there, or their keys may have been withdrawn.
 */
void
allowance_wake(struct flow *flow, uint64_t now_us)
{
	struct flow_allowance *a = flow->allowance;

	if (a->waiting.length == 0 || a->wake_due_us != UINT64_MAX)
		return;
	a->wake_due_us = MAX(now_us, a->woken_us + REDRAW_MS * US_PER_MS);
	allowance_start_timer(a, now_us);
}

/*
 * Returns when the first request that waits draws; UINT64_MAX: none does.
 */
uint64_t
allowance_wait_due_us(const struct flow_allowance *a)
{
	const struct exchange_allowance *first =
	    a->waiting.head != NULL ? a->waiting.head->data : NULL;

	return first != NULL ? MIN(first->redraw_us, a->wake_due_us)
			     : UINT64_MAX;
}

/*
 * Draws for a request that waits, or ends it.
 */
static void
proceed(struct exchange_allowance *own, uint64_t now_us)
{
	struct exchange *x = own->exchange;
	const struct account *account = x->account;

	allowance_wait_stop(own);
	if (account_is_withdrawn(x)) {
		account_refuse_withdrawn(x);
	} else if (x->account != account) {
		/* It goes on as one of the account that has the key now. */
		own->wait_since_us = 0;
		allowance_end(x);
		schedule_ask(x, x->ask_repeat);
	} else if (now_us >= end_us(x->flow->allowance, own)) {
		allowance_refuse_unknown(own);
	} else {
		allowance_redraw(own, now_us);
	}
}

/*
 * Draws for the requests whose time has come, or for all of them.
 */
void
allowance_wait_tick(struct flow_allowance *a, uint64_t now_us)
{
	unsigned left = a->waiting.length;
	bool all = now_us >= a->wake_due_us;
	struct exchange_allowance *own;

	if (all) {
		a->wake_due_us = UINT64_MAX;
		a->woken_us = now_us;
		a->last_redraw_us = 0;
		/* Those that go on waiting come behind the others. */
		for (GList *l = a->waiting.head; l != NULL; l = l->next) {
			own = l->data;
			own->redraw_us = now_us;
		}
	}
	while (left-- > 0 && (own = g_queue_peek_head(&a->waiting)) != NULL &&
	    (all || own->redraw_us <= now_us))
		proceed(own, now_us);
}

/*
 * A stop ends the wait: another entry may have a voter.
 */
void
allowance_on_stop(struct flow *flow)
{
	struct exchange_allowance *own;

	while ((own = g_queue_peek_head(&flow->allowance->waiting)) != NULL) {
		allowance_wait_stop(own);
		exchange_refuse(own->exchange, 503, OTHER_ENTRY_RETRY_US,
		    exchange_stopping_reason);
	}
}
