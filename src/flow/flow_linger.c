/*
 * The end of a caller's connection after its last answer.
 */
#include "base/memory.h"
#include "flow/flow_internal.h"

static void
on_shutdown(uv_shutdown_t *request, int status ATTR_UNUSED)
{
	struct caller *caller = request->handle->data;

	caller->write_shut = true;
	mem_free(request);
}

/*
 * Closes a connection after its last answer, the sending side first: data that
 * the caller still sends must not cause a reset that discards the answer, so it
 * is read and dropped.
 */
void
caller_linger(struct caller *caller)
{
	uv_shutdown_t *request;

	if (caller->lingering)
		return;
	caller->lingering = true;
	limit_forget(caller);
	linger_start(&caller->linger_wait, uv_now(caller->flow->loop));
	if (caller->paused)
		caller_read(caller);
	request = mem_calloc(1, sizeof(*request));
	if (uv_shutdown(request, (uv_stream_t *)&caller->tcp, on_shutdown) !=
	    0) {
		mem_free(request);
		caller_close(caller);
	}
}

/*
 * Returns how many bytes of the answers have not reached the caller's host.
 */
static unsigned
undelivered_bytes(const struct caller *caller)
{
	unsigned queued = (unsigned)uv_stream_get_write_queue_size(
	    (const uv_stream_t *)&caller->tcp);

	/* The end of stream counts as one byte. */
	if (caller->lingering && !caller->write_shut)
		queued++;
	return queued + tcp_unacknowledged_bytes(&caller->tcp);
}

/*
 * Returns whether a part of the answers is on its way.
 */
bool
caller_is_undelivered(const struct caller *caller)
{
	return undelivered_bytes(caller) > 0;
}

/*
 * Returns whether answers on their way have made no progress for too long.
 */
bool
caller_has_stalled(struct caller *caller, uint64_t now_ms)
{
	/* Before the last answer each read or write is a sign of life. */
	if (caller->linger_wait.progress_ms < caller->active_ms)
		caller->linger_wait.progress_ms = caller->active_ms;
	return linger_has_stalled(
	    &caller->linger_wait, undelivered_bytes(caller), now_ms);
}

/*
 * Checks a connection after its last answer.
 */
void
caller_sweep_lingering(struct caller *caller, uint64_t now_ms)
{
	unsigned bytes = undelivered_bytes(caller);

	if (caller->input_ended && tcp_is_closed(&caller->tcp)) {
		/* The end of input was the caller's close. */
		caller_close(caller);
		return;
	}
	if (!linger_is_over(&caller->linger_wait, bytes, now_ms) &&
	    (bytes > 0 || !caller->input_ended))
		return;
	if (bytes > 0)
		caller_log_cut(caller, "connection_cut", "no progress");
	caller_close(caller);
}

/*
 * Closes the connection whose caller has had its last answer for longest.
 * Returns false if there is none.
 */
bool
callers_yield_lingering(struct flow *flow)
{
	struct caller *first = NULL;

	for (GList *l = flow->callers.head; l != NULL; l = l->next) {
		struct caller *caller = l->data;

		if (caller->lingering && caller->linger_wait.delivered_ms == 0)
			linger_is_delivered(&caller->linger_wait,
			    undelivered_bytes(caller), uv_now(flow->loop));
		if (linger_can_yield(&caller->linger_wait,
			first == NULL ? NULL : &first->linger_wait))
			first = caller;
	}
	if (first != NULL)
		caller_close(first);
	return first != NULL;
}

/*
 * Returns whether the last answer to a caller was sent so recently that its
 * acknowledgement may be delayed.
 */
bool
callers_may_yield_soon(const struct flow *flow)
{
	uint64_t now = uv_now(flow->loop);

	for (const GList *l = flow->callers.head; l != NULL; l = l->next) {
		const struct caller *caller = l->data;

		if (caller->lingering &&
		    linger_may_yield_soon(&caller->linger_wait, now))
			return true;
	}
	return false;
}
