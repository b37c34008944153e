/*
 * Requests that come before their entry serves.  Answers the load after a
 * start of all: callers come back at once, to entries that know nothing yet.
 */
#include "flow/flow_internal.h"

enum {
	RETRY_US = 300 * 1000, /* a fifth of a heartbeat */
	/* After this long a caller that comes back finds its entry ready. */
	START_US = 1000 * 1000,
	PARK_UNTIL_US =
	    2 * START_US, /* an entry that is still not ready then */
	/* Part of its time for which a request may wait for the entry's start. */
	PARK_PART = 5
};

/*
 * Returns when an entry that has just started will likely serve.
 */
uint64_t
start_left_us(const struct flow *flow)
{
	uint64_t up = flow_now_us(flow) - flow->opened_us;

	return up + RETRY_US < START_US ? START_US - up : RETRY_US;
}

static void
on_parked_too_long(uv_timer_t *timer)
{
	struct exchange *x = timer->data;

	exchange_refuse(x, 503, start_left_us(x->flow), "not ready yet");
}

/*
 * Lets a request wait for an entry that has just started: its caller has one
 * more try at most, and would lose it to the same start.
 */
bool
start_park(struct exchange *x)
{
	struct flow *flow = x->flow;
	uint64_t wait_ms = exchange_wait_ms(x) / PARK_PART;

	if (flow->ready || flow->stopping || x->parked_before ||
	    flow_now_us(flow) - flow->opened_us > PARK_UNTIL_US)
		return false;
	if (wait_ms > START_US / US_PER_MS)
		wait_ms = START_US / US_PER_MS;
	x->parked_before = true;
	x->parked.data = x;
	g_queue_push_tail_link(&flow->parked, &x->parked);
	uv_timer_start(&x->timer, on_parked_too_long, wait_ms, 0);
	return true;
}

/*
 * Takes a request out of the wait for a start.
 */
void
start_unpark(struct exchange *x)
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
start_begin_parked(struct flow *flow)
{
	GList *first;

	while ((first = g_queue_peek_head_link(&flow->parked)) != NULL) {
		struct exchange *x = first->data;

		start_unpark(x);
		exchange_begin(x);
	}
}
