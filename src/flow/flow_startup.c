/*
 * Requests that arrive before their entry is ready.  After a simultaneous start
 * of the fleet callers return at once, to entries that have no data yet.
 */
#include "flow/flow_internal.h"

enum {
	RETRY_US = 300 * 1000, /* a fifth of a heartbeat interval */
	/* A caller that returns after this time finds its entry ready. */
	STARTUP_US = 1000 * 1000,
	/* an entry that is not ready by then parks no more requests */
	PARK_WINDOW_US = 2 * STARTUP_US,
	/* A request may wait for a fifth of its caller's timeout. */
	PARK_TIMEOUT_DIVISOR = 5
};

/*
 * Returns the time until an entry that has just started is likely ready, in
 * microseconds.
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
 * Parks a request during the startup.  If it were rejected at once, the
 * caller's only remaining try would probably fall into the same startup.
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
 * Removes a request from the parked ones.
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
 * The entry is ready: starts the parked requests in order of arrival.
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
