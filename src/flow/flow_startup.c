/*
 * Requests that come before their entry serves.  Answers the load after a
 * start of all: callers come back at once, to entries that know nothing yet.
 */
#include "flow/flow_internal.h"

enum {
	RETRY_US = 300 * 1000, /* a fifth of a heartbeat */
	/* After this long a caller that comes back finds its entry ready. */
	STARTUP_US = 1000 * 1000,
	PARK_WINDOW_US =
	    2 * STARTUP_US, /* an entry that is still not ready then */
	/* Part of its time for which a request may wait for the entry's start. */
	PARK_TIMEOUT_DIVISOR = 5
};

/*
 * Returns when an entry that has just started will likely serve.
 */
uint64_t
startup_remaining_us(const struct flow *flow)
{
	uint64_t up = flow_now_us(flow) - flow->opened_us;

	return up + RETRY_US < STARTUP_US ? STARTUP_US - up : RETRY_US;
}

static void
on_parked_too_long(uv_timer_t *timer)
{
	struct exchange *x = timer->data;

	exchange_refuse(x, 503, startup_remaining_us(x->flow), "not ready yet");
}

/*
 * Lets a request wait for an entry that has just started: its caller has one
 * more try at most, and would lose it to the same start.
 */
bool
startup_park(struct exchange *x)
{
	struct flow *flow = x->flow;
	uint64_t wait_ms = exchange_caller_timeout_ms(x) / PARK_TIMEOUT_DIVISOR;

	if (flow->ready || flow->stopping || x->was_parked ||
	    flow_now_us(flow) - flow->opened_us > PARK_WINDOW_US)
		return false;
	if (wait_ms > STARTUP_US / US_PER_MS)
		wait_ms = STARTUP_US / US_PER_MS;
	x->was_parked = true;
	x->parked.data = x;
	g_queue_push_tail_link(&flow->parked, &x->parked);
	uv_timer_start(&x->timer, on_parked_too_long, wait_ms, 0);
	return true;
}

/*
 * Takes a request out of the wait for a start.
 */
void
startup_unpark(struct exchange *x)
{
	if (x->parked.data == NULL)
		return;
	x->parked.data = NULL;
	g_queue_unlink(&x->flow->parked, &x->parked);
	uv_timer_stop(&x->timer);
}

/*
 * The entry is ready: takes up what has waited for that, as it came.
 */
void
startup_resume_parked(struct flow *flow)
{
	GList *first;

	while ((first = g_queue_peek_head_link(&flow->parked)) != NULL) {
		struct exchange *x = first->data;

		startup_unpark(x);
		exchange_begin(x);
	}
}
