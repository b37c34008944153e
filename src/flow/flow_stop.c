/*
 * The stop of an entry: what happens to callers' connections and to requests
 * that are pending at its end.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

enum {
	/*
	 * Time before the process is killed in which answers are still written,
	 * at most this part of the grace time, and the part of it that is left
	 * for the end of the process.
	 */
	ANSWER_MARGIN_MS = 500,
	ANSWER_MARGIN_DIVISOR = 6,
	EXIT_MARGIN_DIVISOR = 2,
	/*
	 * Callers stop using an address after three times the lifetime of a
	 * lookup.
	 */
	CLOSE_LISTENER_MS = 3500,
	/* More than a link has in transit for a caller that reads. */
	UNDELIVERED_BYTES = 64 << 10
};

/*
 * Returns the time since the stop began in milliseconds, or 0 if there is none.
 */
uint64_t
stop_age_ms(const struct flow *flow)
{
	return flow->stopping ? uv_now(flow->loop) - flow->stopping_ms : 0;
}

static uint64_t
answer_margin_ms(const struct flow *flow)
{
	uint64_t margin = flow->settings.grace_ms / ANSWER_MARGIN_DIVISOR;

	return margin < ANSWER_MARGIN_MS ? margin : ANSWER_MARGIN_MS;
}

/*
 * Returns when a stop ends the requests that are not answered yet, by the
 * loop's time in milliseconds.
 */
uint64_t
stop_end_ms(const struct flow *flow)
{
	return flow->stopping_ms + flow->settings.grace_ms -
	    answer_margin_ms(flow);
}

/*
 * Starts to close callers' connections, each after its next answer.  One whose
 * caller is far behind with the last answer takes no further request, whose
 * answer could not arrive before the end.
 */
void
stop_callers(struct flow *flow)
{
	GList *next;

	for (GList *l = flow->callers.head; l != NULL; l = next) {
		struct caller *caller = l->data;
		struct exchange *last;

		next = l->next;
		if (ahead_drop(caller))
			continue;
		last = g_queue_peek_tail(&caller->exchanges);
		/*
		 * A partly read request is read to its end; its connection
		 * closes after it.
		 */
		if (caller->reading != NULL)
			continue;
		if (last == NULL &&
		    tcp_unacknowledged_bytes(&caller->tcp) >
			UNDELIVERED_BYTES) {
			caller->no_more_requests = true;
			caller_flush(caller);
		}
		if (last == NULL)
			continue;
		answer_close_after(last);
		caller->no_more_requests = true;
	}
}

/*
 * Logs a request that the end of the process cuts, with its position among the
 * pending requests of its connection and the bytes of its answer that are held
 * for those before it.
 */
static void
log_cut_request(const struct exchange *x, unsigned position)
{
	struct flow *flow = x->flow;

	counter_add(flow->cut_requests, 1);
	if (!flow_may_log(flow))
		return;
	log_warn("request_cut",
	    "instance=%s request=%" PRIu64 " attempt=%s stopping_ms=%" PRIu64
	    " position=%u complete=%d streaming=%d held_bytes=%zu sends=%u "
	    "ran=%d ms=%" PRIu64 " deadline_left_ms=%" PRId64,
	    flow->settings.instance, x->id, x->attempt_id, stop_age_ms(flow),
	    position, x->ended, x->streaming, x->out.len, x->attempt_count,
	    exchange_may_have_run(x),
	    (flow_now_us(flow) - x->arrival_us) / US_PER_MS,
	    ((int64_t)x->deadline_us - (int64_t)flow_now_us(flow)) /
		(int64_t)US_PER_MS);
}

/*
 * Logs what the end of the process cuts.
 */
static void
log_end(struct flow *flow)
{
	unsigned cut = 0;

	for (GList *l = flow->callers.head; l != NULL; l = l->next) {
		struct caller *caller = l->data;
		unsigned position = 0;

		for (const GList *e = caller->exchanges.head; e != NULL;
		     e = e->next)
			log_cut_request(e->data, position++);
		cut += position;
		caller_log_cut(caller, "connection_cut", "the stop has ended");
	}
	log_info("stop_ended",
	    "instance=%s stopping_ms=%" PRIu64
	    " connections=%u requests_cut=%u",
	    flow->settings.instance, stop_age_ms(flow), flow->callers.length,
	    cut);
}

/*
 * Returns the last request of a connection that the end of the stop ends.
 */
static struct exchange *
last_open_request(const struct caller *caller)
{
	for (GList *l = caller->exchanges.tail; l != NULL; l = l->prev) {
		struct exchange *x = l->data;

		if (!x->ended && !x->streaming)
			return x;
	}
	return NULL;
}

/*
 * Ends the pending requests of a connection, so that complete answers behind
 * them can be sent.  The end of a request may free others of the connection:
 * it may grant its slot to an earlier one, which may fail at once.
 */
static void
end_requests(struct caller *caller)
{
	struct exchange *x;

	/* From the last one, since the end of the first frees it. */
	while ((x = last_open_request(caller)) != NULL)
		exchange_end_by_stop(x);
}

/*
 * Proceeds with a stop: closes the listener, ends what is not answered when the
 * grace time is nearly over, and the process once all connections are closed or
 * it would be killed.
 */
void
stop_tick(struct flow *flow)
{
	uint64_t now = uv_now(flow->loop);
	GList *next;
	bool ending;

	if (!flow->stopping || flow->stopped == NULL)
		return;
	ending = now > stop_end_ms(flow);
	if (flow->listening &&
	    (ending || now - flow->stopping_ms >= CLOSE_LISTENER_MS)) {
		flow->listening = false;
		uv_close((uv_handle_t *)&flow->listener, NULL);
	}
	for (GList *l = flow->callers.head; l != NULL && ending; l = next) {
		next = l->next;
		end_requests(l->data);
	}
	if (!flow->listening &&
	    (flow->callers.length == 0 ||
		now > stop_end_ms(flow) +
			answer_margin_ms(flow) / EXIT_MARGIN_DIVISOR)) {
		log_end(flow);
		flow->stopped(flow->on_stopped_ctx);
		flow->stopped = NULL;
	}
}
