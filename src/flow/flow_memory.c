/*
 * Buffers of an entry and the budget for them: bodies of requests, and callers
 * whose body waits for room.
 */
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/* Callers give up a body that is not read within a second. */
	WAIT_MAX_MS = 500,
	WAIT_FRACTION = 4, /* of the caller's timeout */
	RETRY_AFTER_US = 300 * 1000,
	WAITING_READ_BYTES = 8 << 10,
	HEAD_READ_BYTES = 16 << 10, /* several heads; the rest is kept */
	OUTPUT_MAX_BYTES = 512 << 10, /* not yet read by the caller */
	TIGHT_OUTPUT_MAX_BYTES = 64 << 10, /* if memory is short */
};

static const char no_room_reason[] = "no memory for the body";

/*
 * Opens the budget and its gauges.
 */
void
memory_open(struct flow *flow)
{
	memory_budget_open(&flow->memory, flow->settings.memory_bytes);
	g_queue_init(&flow->memory_waiters);
	bodies_open(flow);
	for (size_t i = 0; i < MEMORY_USES; i++)
		flow->memory_bytes[i] = counter_register(COUNTER_GAUGE,
		    "gypsummill_flow_memory_bytes",
		    "Buffers by use, reserved ones included (bytes)",
		    "use=\"%s\"", memory_use_names[i]);
	flow->memory_refused = counter_register(COUNTER_TOTAL,
	    "gypsummill_flow_memory_refused_total",
	    "Requests rejected since the memory is used up (count)", NULL);
	flow->memory_waits = counter_register(COUNTER_TOTAL,
	    "gypsummill_flow_memory_waits_total",
	    "Bodies that had to wait for memory (count)", NULL);
}

/*
 * Charges a buffer that now has bytes; charged is what it was charged before.
 */
void
memory_track(
    struct flow *flow, enum memory_use use, size_t *charged, size_t bytes)
{
	size_t before = *charged;

	if (bytes == before)
		return;
	*charged = bytes;
	memory_budget_change(&flow->memory, use, before, bytes);
	counter_set(flow->memory_bytes[use], (int64_t)flow->memory.used[use]);
	if (use == MEMORY_IDLE)
		return;
	if (bytes < before)
		memory_admit(flow);
	else
		bodies_make_room(flow);
}

/*
 * Charges the answer of a request that is kept for its caller.
 */
void
memory_track_answer(struct exchange *x)
{
	memory_track(x->flow, MEMORY_ANSWERS, &x->answer_charged,
	    x->out.capacity + x->fallback.capacity);
}

/*
 * Charges a request and its head, which is kept until its answer is known.
 */
void
memory_track_head(struct exchange *x)
{
	memory_track(x->flow, MEMORY_REQUEST_HEADS, &x->head_charged,
	    sizeof(*x) + x->head.text.capacity + x->target.capacity);
}

/*
 * Returns how many requests of a connection may be pending before it is not
 * read on.
 */
unsigned
memory_pipeline_max(const struct flow *flow)
{
	return memory_budget_is_tight(&flow->memory) ? 1 : PIPELINE_MAX;
}

/*
 * Returns how many bytes to read at once from a caller.  While bodies wait for
 * memory, little should be read of a body before it has to wait as well.
 */
size_t
memory_read_bytes(const struct caller *caller)
{
	if (caller->in_body)
		return READ_BYTES;
	return caller->flow->memory_waiters.length > 0 ? WAITING_READ_BYTES
						       : HEAD_READ_BYTES;
}

/*
 * Returns how many bytes may be pending for a caller before its target's answer
 * is not read on.
 */
size_t
memory_output_max(const struct flow *flow)
{
	return memory_budget_is_tight(&flow->memory) ? TIGHT_OUTPUT_MAX_BYTES
						     : OUTPUT_MAX_BYTES;
}

/*
 * Drops the body of a request that is not sent again.
 */
void
exchange_drop_body(struct exchange *x)
{
	struct request_body *body = x->body;

	x->body = NULL;
	body_put(body);
}

/*
 * Drops head and body of a request that has its answer, which may have to wait
 * for those before it.
 */
void
exchange_drop_request(struct exchange *x)
{
	exchange_drop_body(x);
	str_buf_free(&x->target);
	head_free(&x->head);
	head_clear(&x->head);
	memory_track_head(x);
}

static struct request_body *
get_body(struct exchange *x)
{
	if (x->body == NULL)
		x->body = body_new(x->flow);
	return x->body;
}

/*
 * Adds a caller to those that wait, by the age of their requests: the oldest
 * one always gets on, and its body is not given up for a newer one's.
 */
static void
enter_waiters(struct caller *caller)
{
	GQueue *waiters = &caller->flow->memory_waiters;
	GList *before = waiters->tail;

	while (before != NULL &&
	    ((struct caller *)before->data)->reading->id > caller->reading->id)
		before = before->prev;
	caller->memory_link.data = caller;
	g_queue_insert_after_link(waiters, before, &caller->memory_link);
}

/*
 * Stops reading the body of a caller until capacity bytes can be had for it.
 */
static void
wait_for_room(struct caller *caller, size_t capacity)
{
	caller->body_capacity = capacity;
	if (caller->awaits_memory)
		return;
	caller->awaits_memory = true;
	caller->awaits_since_ms = uv_now(caller->flow->loop);
	enter_waiters(caller);
	counter_add(caller->flow->memory_waits, 1);
	caller->paused = true;
	uv_read_stop((uv_stream_t *)&caller->tcp);
}

/*
 * Ends the wait of a caller for memory, if it waits; it does not read on yet.
 */
void
memory_stop_waiting(struct caller *caller)
{
	if (!caller->awaits_memory)
		return;
	caller->awaits_memory = false;
	g_queue_unlink(&caller->flow->memory_waiters, &caller->memory_link);
}

/*
 * Reserves room for a body of a known length, or makes its caller wait for it.
 * Returns whether the body may be read.
 */
bool
memory_begin_body(struct caller *caller, size_t len)
{
	struct flow *flow = caller->flow;

	if (len == 0)
		return true;
	if (memory_budget_has_body_room(&flow->memory, len, len) &&
	    (flow->memory_waiters.length == 0 ||
		!memory_budget_is_large(len))) {
		body_reserve(get_body(caller->reading), len);
		return true;
	}
	wait_for_room(caller, len);
	return false;
}

static size_t
charged_bytes(const struct caller *caller)
{
	const struct request_body *body = caller->reading->body;

	return body != NULL ? body->charged : 0;
}

/*
 * Rejects the request whose body a caller is sending, since there is no room
 * for it; nothing of it was sent to a target.  Returns the parser's error code.
 */
int
memory_refuse_body(struct caller *caller)
{
	struct exchange *x = caller->reading;

	counter_add(caller->flow->requests, 1);
	counter_add(caller->flow->rejected, 1);
	counter_add(caller->flow->memory_refused, 1);
	exchange_log_end(x, "rejected", 503, no_room_reason);
	return caller_end(caller, 503, RETRY_AFTER_US, no_room_reason);
}

static void
refuse_waiter(struct caller *caller)
{
	(void)memory_refuse_body(caller);
	caller_flush(caller);
}

/*
 * Returns the newest request that waits behind the oldest one and holds a part
 * of a body, if waiting bodies alone keep the oldest one waiting; otherwise
 * NULL.
 */
static struct caller *
find_blocking(const struct flow *flow)
{
	const GList *head = flow->memory_waiters.head;
	const struct caller *first = head != NULL ? head->data : NULL;
	struct caller *newest = NULL;
	uint64_t held = 0;

	for (const GList *l = head; l != NULL; l = l->next) {
		held += charged_bytes(l->data);
		if (l != head && charged_bytes(l->data) > 0)
			newest = l->data;
	}
	return first != NULL &&
		memory_budget_is_deadlocked(&flow->memory, first->body_capacity,
		    charged_bytes(first), held)
	    ? newest
	    : NULL;
}

/*
 * Rejects requests whose bodies keep each other waiting, the newest first.
 * Returns false if the one of this caller, which may be NULL, is the next.
 */
static bool
end_deadlock(struct flow *flow, const struct caller *self)
{
	struct caller *caller;

	while ((caller = find_blocking(flow)) != NULL) {
		if (caller == self)
			return false;
		refuse_waiter(caller);
	}
	return true;
}

/*
 * Appends a piece of a body.  Returns false if there is no room for it.  What
 * was read before the caller had to wait is kept, as far as it fits.
 */
bool
memory_append_body(struct caller *caller, struct str piece)
{
	struct flow *flow = caller->flow;
	struct request_body *body = get_body(caller->reading);
	size_t bytes = body_bytes_after(body, piece.len);

	if (bytes > body->charged && !caller->awaits_memory &&
	    !memory_budget_has_body_room(
		&flow->memory, bytes, bytes - body->charged)) {
		wait_for_room(caller, bytes);
		if (!end_deadlock(flow, caller))
			return false;
	}
	if (bytes > body->charged &&
	    !memory_budget_has_room(&flow->memory, bytes - body->charged))
		return false;
	body_append(body, piece);
	return true;
}

/*
 * Lets callers read on whose bodies have room now, the oldest request first.
 */
void
memory_admit(struct flow *flow)
{
	struct caller *caller;

	while ((caller = g_queue_peek_head(&flow->memory_waiters)) != NULL) {
		struct request_body *body = get_body(caller->reading);

		if (!memory_budget_has_body_room(&flow->memory,
			caller->body_capacity,
			caller->body_capacity > body->charged
			    ? caller->body_capacity - body->charged
			    : 0))
			return;
		body_reserve(body, caller->body_capacity);
		memory_stop_waiting(caller);
		caller->active_ms = uv_now(flow->loop);
		caller_continue(caller);
		caller_resume_reading(caller);
	}
}

static uint64_t
wait_max_ms(const struct caller *caller)
{
	uint64_t ms =
	    exchange_caller_timeout_ms(caller->reading) / WAIT_FRACTION;

	return ms < WAIT_MAX_MS ? ms : WAIT_MAX_MS;
}

/*
 * Rejects requests whose bodies have waited too long, and those that keep each
 * other waiting.
 */
void
memory_sweep(struct flow *flow)
{
	uint64_t now = uv_now(flow->loop);
	struct caller *caller;
	GList *next;

	for (GList *l = flow->memory_waiters.head; l != NULL; l = next) {
		caller = l->data;
		next = l->next;
		if (now - caller->awaits_since_ms < wait_max_ms(caller))
			continue;
		refuse_waiter(caller);
		/* The room it held may have ended the waits of others. */
		next = flow->memory_waiters.head;
	}
	(void)end_deadlock(flow, NULL);
	bodies_sweep(flow);
}
