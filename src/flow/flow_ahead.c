/*
 * Requests that a caller sends ahead.  One whose answer could not be delivered
 * soon waits on its connection, before it has a target: a stop does not send it
 * any more, and no answer is kept for a caller that reads slowly.  Its deadline
 * runs meanwhile.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

enum {
	TICK_MS = 20, /* while requests wait */
	/* Part of the grace time; the rest is for the targets' work. */
	GRACE_DIVISOR = 2
};

/*
 * Returns within which time an answer has to be deliverable, so that a stop
 * that begins now does not cut it.
 */
static uint64_t
delivery_max_us(const struct flow *flow)
{
	return flow->settings.grace_ms * US_PER_MS / GRACE_DIVISOR;
}

/*
 * Returns the size to expect of a request's answer.
 */
static uint64_t
expected_bytes(const struct exchange *x)
{
	if (x->method == HTTP_HEAD)
		return 0;
	return answer_sizes_expected(x->route == NULL
		? NULL
		: g_hash_table_lookup(x->flow->route_answer_sizes,
		      GUINT_TO_POINTER(x->route->id)));
}

/*
 * Returns how many bytes of an answer are still to be written.
 */
static uint64_t
unwritten_bytes(const struct exchange *x)
{
	uint64_t expected;

	if (x->ended)
		return x->out.len;
	for (unsigned i = 0; i < x->attempt_count && x->streaming; i++) {
		const struct upstream *up = x->attempts[i].upstream;

		if (up != NULL && (up->parser.flags & F_CHUNKED) == 0 &&
		    up->parser.content_length != UINT64_MAX)
			return x->out.len + up->parser.content_length;
	}
	expected = expected_bytes(x);
	return x->out.len +
	    (expected > x->streamed_bytes ? expected - x->streamed_bytes : 0);
}

/*
 * Bytes that are sent and not acknowledged may just be on their way; bytes that
 * are not sent wait for the caller's host.
 */
static void
observe(struct caller *caller)
{
	size_t queued =
	    uv_stream_get_write_queue_size((const uv_stream_t *)&caller->tcp);
	uint64_t pending = queued + tcp_unacknowledged_bytes(&caller->tcp);
	bool unsent =
	    queued > 0 || (pending > 0 && tcp_unsent_bytes(&caller->tcp) > 0);

	delivery_observe(
	    &caller->delivery, pending, unsent, flow_now_us(caller->flow));
}

/*
 * Returns whether the answer to a request can be delivered soon, behind those
 * to the requests before it.
 */
static bool
is_soon(struct exchange *x)
{
	struct caller *caller = x->caller;
	struct delivery *delivery = &caller->delivery;
	uint64_t max_us = delivery_max_us(x->flow);
	uint64_t answer = expected_bytes(x);
	uint64_t ahead = 0;

	for (const GList *l = caller->exchanges.head; l->data != x; l = l->next)
		ahead += unwritten_bytes(l->data);
	if (delivery_is_soon(
		delivery, ahead + delivery_pending(delivery), answer, max_us))
		return true;
	observe(caller);
	return delivery_is_soon(
	    delivery, ahead + delivery_pending(delivery), answer, max_us);
}

/*
 * Returns the first request of a connection that waits, or NULL.
 */
static struct exchange *
first_waiting(const struct caller *caller)
{
	for (const GList *l = caller->exchanges.head; l != NULL; l = l->next) {
		struct exchange *x = l->data;

		if (x->awaits_delivery && !x->ended)
			return x;
	}
	return NULL;
}

static void on_tick(uv_timer_t *timer);

/*
 * Lets a request wait if its answer could not be delivered soon, and behind one
 * that waits.  Returns false if it need not wait.
 */
bool
ahead_hold(struct exchange *x)
{
	struct caller *caller = x->caller;
	struct flow *flow = x->flow;

	if (caller == NULL)
		return false;
	if (g_queue_peek_head(&caller->exchanges) != x)
		caller->sends_ahead = true;
	if (first_waiting(caller) == NULL && is_soon(x))
		return false;
	caller->sends_ahead = true;
	x->awaits_delivery = true;
	x->awaits_since_us = flow_now_us(flow);
	counter_add(flow->delivery_waits, 1);
	if (flow->stopping) {
		(void)ahead_drop(caller);
		return true;
	}
	if (caller->ahead_link.data == NULL) {
		caller->ahead_link.data = caller;
		g_queue_push_tail_link(
		    &flow->ahead_waiters, &caller->ahead_link);
	}
	if (!uv_is_active((uv_handle_t *)&flow->ahead_timer))
		uv_timer_start(&flow->ahead_timer, on_tick, TICK_MS, TICK_MS);
	return true;
}

/*
 * Ends the wait for a caller's requests.
 */
void
ahead_forget(struct caller *caller)
{
	if (caller->ahead_link.data == NULL)
		return;
	caller->ahead_link.data = NULL;
	g_queue_unlink(&caller->flow->ahead_waiters, &caller->ahead_link);
}

/*
 * Sends a request that has waited.
 */
static void
release(struct exchange *x)
{
	struct flow *flow = x->flow;

	x->awaits_delivery = false;
	if (flow_may_log_routine(flow))
		log_info("delivery_wait",
		    "instance=%s request=%" PRIu64
		    " attempt=%s waited_ms=%" PRIu64 " bytes_per_s=%" PRIu64
		    " limited=%d",
		    flow->settings.instance, x->id, x->attempt_id,
		    (flow_now_us(flow) - x->awaits_since_us) / US_PER_MS,
		    x->caller->delivery.rate, x->caller->delivery.limited);
	schedule_ask(x, false);
}

/*
 * Sends the requests of a caller that need not wait any longer.  The end of one
 * may end the connection.
 */
static void
release_waiting(struct caller *caller)
{
	struct exchange *x;

	while (!caller->closing && (x = first_waiting(caller)) != NULL) {
		if (!is_soon(x))
			return;
		release(x);
	}
	ahead_forget(caller);
}

/*
 * Looks after the callers with requests that wait.  Any of them may leave the
 * queue meanwhile.
 */
static void
on_tick(uv_timer_t *timer)
{
	struct flow *flow = timer->data;

	flow_count_scanned(flow, flow->ahead_waiters.length);
	for (unsigned n = flow->ahead_waiters.length;
	     n > 0 && flow->ahead_waiters.length > 0; n--) {
		GList *link = g_queue_pop_head_link(&flow->ahead_waiters);

		g_queue_push_tail_link(&flow->ahead_waiters, link);
		release_waiting(link->data);
	}
	if (flow->ahead_waiters.length == 0)
		uv_timer_stop(timer);
}

/*
 * Ends the requests of a connection that wait, and all behind them, which are
 * read and not sent: it closes after the answers before them.  Returns false if
 * none waits.
 */
bool
ahead_drop(struct caller *caller)
{
	struct exchange *first = first_waiting(caller);
	struct exchange *x;

	if (first == NULL)
		return false;
	ahead_forget(caller);
	caller_drop_partial_request(caller);
	caller->no_more_requests = true;
	do {
		x = g_queue_pop_tail(&caller->exchanges);
		counter_add(caller->flow->unsent_requests, 1);
		exchange_log_end(x, "not_sent", 0, "the caller reads slowly");
		x->caller = NULL;
		exchange_free(x);
	} while (x != first);
	x = g_queue_peek_tail(&caller->exchanges);
	if (x != NULL)
		answer_close_after(x);
	caller_flush(caller);
	return true;
}

/*
 * Observes the output of a caller that sends requests ahead, as long as there
 * is any.
 */
void
ahead_sweep(struct caller *caller)
{
	if (caller->sends_ahead && delivery_pending(&caller->delivery) > 0)
		observe(caller);
}

/*
 * Records the size of a successful answer.
 */
void
ahead_record_answer(const struct exchange *x, uint64_t bytes)
{
	GHashTable *routes = x->flow->route_answer_sizes;
	gpointer route = GUINT_TO_POINTER(x->route->id);
	struct answer_sizes *sizes = g_hash_table_lookup(routes, route);

	if (x->method == HTTP_HEAD)
		return;
	if (sizes == NULL) {
		sizes = g_new0(struct answer_sizes, 1);
		g_hash_table_insert(routes, route, sizes);
	}
	answer_sizes_record(sizes, bytes);
}

/*
 * Creates the timer and the tables.
 */
void
ahead_open(struct flow *flow)
{
	g_queue_init(&flow->ahead_waiters);
	flow->route_answer_sizes =
	    g_hash_table_new_full(NULL, NULL, NULL, g_free);
	uv_timer_init(flow->loop, &flow->ahead_timer);
	flow->ahead_timer.data = flow;
}

/*
 * Frees them.
 */
void
ahead_close(struct flow *flow)
{
	uv_close((uv_handle_t *)&flow->ahead_timer, NULL);
	g_hash_table_destroy(flow->route_answer_sizes);
}
