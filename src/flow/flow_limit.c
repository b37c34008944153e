/*
 * Bounds for callers' connections: what is read and not processed, answers that
 * are not read, and which connections are closed when the process is at its
 * bound.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/* for files, targets and other connections */
	RESERVED_DESCRIPTORS = 700,
	/* Requests freed in this loop iteration, whose timers are closing. */
	CLOSING_EXCHANGES_MAX = 1024,
	/* A connection that has sent nothing for so long may be replaced. */
	SILENT_MS = 1000,
	/* A caller that has taken nothing for so long and so many checks */
	STILL_MS = 1000,
	STILL_CHECKS = 3,
	CHECK_MS = 20 /* while all hold too much */
};

static void on_turn(uv_idle_t *idle);
static void on_check(uv_timer_t *timer);

/*
 * Opens the bounds and their counters.
 */
void
limits_open(struct flow *flow)
{
	unsigned descriptors = flow->settings.descriptors;

	connection_budget_open(&flow->connections, flow->settings.memory_bytes);
	connection_share_open(&flow->share,
	    descriptors > RESERVED_DESCRIPTORS
		? descriptors - RESERVED_DESCRIPTORS
		: 1,
	    flow->settings.connections_per_address);
	g_queue_init(&flow->turns);
	uv_idle_init(flow->loop, &flow->turn);
	flow->turn.data = flow;
	uv_timer_init(flow->loop, &flow->limit_timer);
	flow->limit_timer.data = flow;
	for (size_t i = 0; i < CONNECTION_LIMITS; i++)
		flow->limited[i] = counter_register(COUNTER_TOTAL,
		    "gypsummill_flow_limited_connections_total",
		    "Connections of callers closed at a limit (count)",
		    "limit=\"%s\"", connection_limit_names[i]);
	flow->input_pauses = counter_register(COUNTER_TOTAL,
	    "gypsummill_flow_input_pauses_total",
	    "Times that reading stopped at a limit of a connection (count)",
	    NULL);
}

/*
 * Closes the handle.
 */
void
limits_close(struct flow *flow)
{
	uv_close((uv_handle_t *)&flow->turn, NULL);
	uv_close((uv_handle_t *)&flow->limit_timer, NULL);
	connection_share_close(&flow->share);
}

/*
 * Sets the receive buffer of the listener's socket, which connections inherit.
 * The send buffer is left to the kernel: what it does not take is held here,
 * and 120 slow readers of 512 KB then took 60 MB rather than 20.
 */
void
limits_set_socket(const struct flow *flow, uv_tcp_t *listener)
{
	int receive = (int)flow->connections.socket_bytes;

	(void)uv_recv_buffer_size((uv_handle_t *)listener, &receive);
}

/*
 * Returns how many requests of a connection may be pending before it is not
 * read on.  One that sends more ahead than the limit has one at a time: many
 * such connections would otherwise fill the queue of a service.
 */
unsigned
limit_ahead_max(const struct caller *caller)
{
	return caller->beyond_pipeline ? 1 : memory_pipeline_max(caller->flow);
}

/*
 * Returns whether the next request of a connection has to wait before it is
 * parsed.
 */
bool
limit_must_hold(const struct caller *caller)
{
	const struct flow *flow = caller->flow;

	return caller->exchanges.length >= limit_ahead_max(caller) ||
	    caller->turn_requests >= PIPELINE_MAX ||
	    flow->closing_exchanges >= CLOSING_EXCHANGES_MAX ||
	    connection_budget_must_pause(&flow->connections, caller->unread);
}

/*
 * Keeps input that is not parsed yet, and stops reading.
 */
void
limit_hold(struct caller *caller, struct str input)
{
	str_buf_append(&caller->held, input);
	if (caller->exchanges.length >= PIPELINE_MAX)
		caller->beyond_pipeline = true;
	memory_track(caller->flow, MEMORY_INPUT, &caller->held_charged,
	    caller->held.capacity);
	caller->paused = true;
	uv_read_stop((uv_stream_t *)&caller->tcp);
	counter_add(caller->flow->input_pauses, 1);
}

/*
 * Drops the input and the turn of a connection that takes no more requests.
 */
void
limit_forget(struct caller *caller)
{
	struct flow *flow = caller->flow;

	str_buf_free(&caller->held);
	memory_track(flow, MEMORY_INPUT, &caller->held_charged, 0);
	if (caller->turn_link.data == NULL)
		return;
	caller->turn_link.data = NULL;
	g_queue_unlink(&flow->turns, &caller->turn_link);
}

/*
 * Lets a connection go on in the next loop iteration, when the memory of the
 * requests that it had in this one is released.  Returns false if it may read
 * on at once.
 */
bool
limit_queue_turn(struct caller *caller)
{
	struct flow *flow = caller->flow;

	if (caller->held.len == 0 && caller->turn_requests < PIPELINE_MAX)
		return false;
	if (caller->turn_link.data != NULL)
		return true;
	caller->turn_link.data = caller;
	g_queue_push_tail_link(&flow->turns, &caller->turn_link);
	if (!uv_is_active((uv_handle_t *)&flow->turn))
		uv_idle_start(&flow->turn, on_turn);
	return true;
}

/*
 * Parses the input that a connection holds.
 */
static void
run_turn(struct caller *caller)
{
	struct str_buf held = caller->held;
	size_t charged = caller->held_charged;

	caller->held = (struct str_buf){0};
	caller->held_charged = 0;
	caller->turn_requests = 0;
	caller_parse(caller, held.data, held.len);
	if (caller->held.len == 0)
		caller->beyond_pipeline = false;
	str_buf_free(&held);
	memory_track(caller->flow, MEMORY_INPUT, &charged, 0);
	caller_flush(caller);
}

static void
on_turn(uv_idle_t *idle)
{
	struct flow *flow = idle->data;

	for (unsigned n = flow->turns.length; n > 0 && flow->turns.length > 0;
	     n--) {
		GList *link = g_queue_pop_head_link(&flow->turns);
		struct caller *caller = link->data;

		caller->turn_link.data = NULL;
		run_turn(caller);
	}
	if (flow->turns.length == 0)
		uv_idle_stop(idle);
}

/*
 * Logs and counts a connection that is closed at a limit, and closes it.
 */
static void
close_at_limit(struct caller *caller, enum connection_limit limit)
{
	struct flow *flow = caller->flow;
	char ip[ADDRESS_BYTES] = "";

	counter_add(flow->limited[limit], 1);
	if (flow_may_log(flow)) {
		(void)uv_ip4_name(&caller->peer, ip, sizeof(ip));
		log_warn("connection_limited",
		    "instance=%s address=%s reason=%s unread_bytes=%zu "
		    "input_bytes=%zu pending=%u idle_ms=%" PRIu64,
		    flow->settings.instance, ip, connection_limit_names[limit],
		    caller->unread, caller->held.len, caller->exchanges.length,
		    uv_now(flow->loop) - caller->active_ms);
	}
	caller_close(caller);
}

/*
 * Returns the bytes that a connection holds for its caller to read, and of
 * input that waits for that.
 */
static uint64_t
held_bytes(const struct caller *caller)
{
	uint64_t bytes = caller->unread + caller->held.capacity;

	for (const GList *l = caller->exchanges.head; l != NULL; l = l->next)
		bytes += ((const struct exchange *)l->data)->out.capacity;
	return bytes;
}

/*
 * Updates what a connection holds and when its caller last took something.
 */
static void
update_use(struct caller *caller, uint64_t now_ms)
{
	struct flow *flow = caller->flow;
	uint64_t held = held_bytes(caller);
	size_t queued =
	    uv_stream_get_write_queue_size((uv_stream_t *)&caller->tcp);

	if (connection_use_update(&caller->use, caller->given, queued, now_ms))
		caller->still_checks = 0;
	else
		caller->still_checks++;
	/* After a pause of this process a caller has had no chance to move. */
	caller->use.ordinary = now_ms - caller->use.moved_ms < STILL_MS ||
	    caller->still_checks < STILL_CHECKS;
	connection_budget_change(&flow->connections, caller->use.held, held);
	caller->use.held = held;
}

/*
 * Returns the bytes that all connections of an address hold.
 */
static uint64_t
address_held(GHashTable *addresses, const struct caller *caller)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(
	    addresses, GUINT_TO_POINTER(caller->peer.sin_addr.s_addr)));
}

static GHashTable *
sum_addresses(const struct flow *flow)
{
	GHashTable *addresses = g_hash_table_new(NULL, NULL);

	for (const GList *l = flow->callers.head; l != NULL; l = l->next) {
		const struct caller *caller = l->data;

		g_hash_table_insert(addresses,
		    GUINT_TO_POINTER(caller->peer.sin_addr.s_addr),
		    GSIZE_TO_POINTER(
			address_held(addresses, caller) + caller->use.held));
	}
	return addresses;
}

static struct caller *
find_first(const struct flow *flow, GHashTable *addresses, uint64_t now_ms)
{
	struct caller *first = NULL;

	for (const GList *l = flow->callers.head; l != NULL; l = l->next) {
		struct caller *caller = l->data;

		caller->use.address_held = address_held(addresses, caller);
		if (connection_use_goes_first(&caller->use,
			first == NULL ? NULL : &first->use, now_ms))
			first = caller;
	}
	return first;
}

/*
 * Closes connections while all together hold more than the bound of the
 * process.
 */
void
limits_sweep(struct flow *flow)
{
	uint64_t now = uv_now(flow->loop);
	struct caller *first;

	for (const GList *l = flow->callers.head; l != NULL; l = l->next)
		update_use(l->data, now);
	while (connection_budget_excess(&flow->connections) > 0) {
		GHashTable *addresses = sum_addresses(flow);

		first = find_first(flow, addresses, now);
		g_hash_table_destroy(addresses);
		if (first == NULL)
			return;
		close_at_limit(first, CONNECTION_LIMIT_MEMORY);
	}
}

static void
on_check(uv_timer_t *timer)
{
	struct flow *flow = timer->data;

	limits_sweep(flow);
	if (connection_budget_excess(&flow->connections) == 0)
		uv_timer_stop(timer);
}

/*
 * Has connections closed soon if all hold too much: the close of one may end
 * requests of others, which must not happen within a write.
 */
void
limit_check(struct caller *caller)
{
	struct flow *flow = caller->flow;

	update_use(caller, uv_now(flow->loop));
	if (connection_budget_excess(&flow->connections) > 0 &&
	    !uv_is_active((uv_handle_t *)&flow->limit_timer))
		uv_timer_start(
		    &flow->limit_timer, on_check, CHECK_MS, CHECK_MS);
}

static uint64_t
address_key(const struct caller *caller)
{
	return connection_share_key((const struct sockaddr *)&caller->peer);
}

/*
 * Takes a connection that closes out of the sums of the process and of its
 * address.
 */
void
limit_release(struct caller *caller)
{
	connection_budget_change(
	    &caller->flow->connections, caller->use.held, 0);
	caller->use.held = 0;
	if (caller->counted)
		connection_share_remove(
		    &caller->flow->share, address_key(caller));
	caller->counted = false;
}

/*
 * Returns whether a caller has sent no complete request, and nothing lately.
 */
static bool
is_silent(const struct caller *caller, uint64_t now_ms)
{
	return !caller->served && !caller->lingering && !caller->in_body &&
	    caller->exchanges.length == 0 &&
	    now_ms - caller->opened_ms > SILENT_MS &&
	    !tcp_has_unread_input(&caller->tcp);
}

/*
 * Returns the oldest connection that has never sent a whole request, of the
 * address of a caller if it is not NULL, else of all addresses, those above
 * their share first.  NULL if there is none.
 */
static struct caller *
find_silent(const struct flow *flow, const struct caller *same_address)
{
	uint64_t now = uv_now(flow->loop);
	struct caller *first = NULL;

	/* In the order in which they were opened. */
	for (GList *l = flow->callers.head; l != NULL; l = l->next) {
		struct caller *caller = l->data;
		uint64_t key = address_key(caller);

		if (same_address != NULL && key != address_key(same_address))
			continue;
		if (!is_silent(caller, now))
			continue;
		if (same_address != NULL ||
		    connection_share_excess(&flow->share, key) > 0)
			return caller;
		if (first == NULL)
			first = caller;
	}
	return first;
}

/*
 * Returns whether a new connection has a place, or one that may be closed for
 * it, apart from the bound for its address.
 */
bool
limit_has_place(struct flow *flow)
{
	return flow->callers.length + RESERVED_DESCRIPTORS <
	    flow->settings.descriptors ||
	    callers_yield_lingering(flow) || find_silent(flow, NULL) != NULL;
}

/*
 * Closes a connection that has never sent a whole request in favour of a new
 * one, else the new one.  Returns whether the new one stays.
 */
static bool
make_room(struct caller *new_caller, const struct caller *same_address,
    enum connection_limit limit)
{
	struct caller *silent = find_silent(new_caller->flow, same_address);

	close_at_limit(silent != NULL ? silent : new_caller, limit);
	return silent != NULL;
}

/*
 * Counts a new connection.  If its address or the process has too many, closes
 * another one or the new one; returns false if that is closed.
 */
bool
limit_admit(struct caller *caller)
{
	struct flow *flow = caller->flow;

	connection_share_add(&flow->share, address_key(caller));
	caller->counted = true;
	if (connection_share_excess(&flow->share, address_key(caller)) > 0 &&
	    !make_room(caller, caller, CONNECTION_LIMIT_ADDRESS))
		return false;
	if (flow->callers.length + RESERVED_DESCRIPTORS <=
		flow->settings.descriptors ||
	    callers_yield_lingering(flow))
		return true;
	return make_room(caller, NULL, CONNECTION_LIMIT_COUNT);
}
