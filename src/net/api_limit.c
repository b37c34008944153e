/*
 * Bounds for the connections of all HTTP servers of the process: bytes of
 * answers that are not read, of input that waits and of bodies; the number of
 * connections; and which are closed when a bound is reached.
 */
#include <stdio.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log_limiter.h"
#include "base/logger.h"
#include "net/api_internal.h"

enum {
	DEFAULT_MEMORY_BYTES = 256 << 20,
	DEFAULT_CONNECTIONS = 1024, /* a quarter of 4,100 file descriptors */
	/* A connection that has sent no whole request may be replaced. */
	SILENT_MS = 1000,
	/*
	 * Buffers of closed connections are freed in the next loop iteration;
	 * until then they may add half of the bound.
	 */
	CLOSING_DIVISOR = 2
};

static struct {
	bool open;
	struct connection_budget budget;
	uint64_t allocated; /* held, also by connections that are closing */
	unsigned connections_max;
	unsigned connections;
	struct connection_share share; /* of the addresses */
	struct api_server *servers;
	struct counter *limited[CONNECTION_LIMITS];
	struct counter *refused_replies;
	struct log_limiter log;
} limits;

/*
 * Sets the bounds of the process.
 */
void
api_set_limits(const char *instance, uint64_t memory_bytes,
    unsigned connections_max, unsigned address_max)
{
	limits.log.instance = instance;
	limits.connections_max = connections_max;
	connection_budget_open(&limits.budget, memory_bytes);
	if (limits.open) {
		connection_share_set(
		    &limits.share, connections_max, address_max);
		return;
	}
	limits.open = true;
	connection_share_open(&limits.share, connections_max, address_max);
	for (size_t i = 0; i < CONNECTION_LIMITS; i++)
		limits.limited[i] = counter_register(COUNTER_TOTAL,
		    "gypsummill_api_limited_connections_total",
		    "Connections to the small HTTP servers closed at a limit "
		    "(count)",
		    "limit=\"%s\"", connection_limit_names[i]);
	limits.refused_replies = counter_register(COUNTER_TOTAL,
	    "gypsummill_api_refused_replies_total",
	    "Large replies not sent for lack of memory (count)", NULL);
}

/*
 * Adds a server to those that share the bounds.
 */
void
api_limit_add_server(struct api_server *server)
{
	if (!limits.open)
		api_set_limits(
		    "-", DEFAULT_MEMORY_BYTES, DEFAULT_CONNECTIONS, 0);
	server->next = limits.servers;
	limits.servers = server;
}

/*
 * Takes out a server that is freed.
 */
void
api_limit_remove_server(const struct api_server *server)
{
	struct api_server **at = &limits.servers;

	while (*at != NULL && *at != server)
		at = &(*at)->next;
	if (*at != NULL)
		*at = server->next;
}

/*
 * Sets the buffers of a listener's socket, which connections inherit.
 */
void
api_limit_set_socket(uv_tcp_t *listener)
{
	int send = (int)limits.budget.socket_bytes;
	int receive = (int)limits.budget.socket_bytes;

	(void)uv_send_buffer_size((uv_handle_t *)listener, &send);
	(void)uv_recv_buffer_size((uv_handle_t *)listener, &receive);
}

/*
 * Logs and counts a connection that is closed at a limit, and closes it.
 */
void
api_limit_close(struct connection *c, enum connection_limit limit)
{
	char ip[ADDRESS_BYTES] = "";

	counter_add(limits.limited[limit], 1);
	if (log_limiter_allow(&limits.log, uv_now(c->server->loop), false)) {
		(void)uv_ip4_name(&c->peer, ip, sizeof(ip));
		log_warn("connection_limited",
		    "instance=%s what=api address=%s reason=%s "
		    "unread_bytes=%zu input_bytes=%zu",
		    limits.log.instance, ip, connection_limit_names[limit],
		    c->unread, c->pipelined_len);
	}
	api_connection_close(c);
}

/*
 * Returns what a connection holds.
 */
static uint64_t
held_bytes(const struct connection *c)
{
	uint64_t bytes = c->unread + c->pipelined_len;

	if (c->exchange != NULL)
		bytes +=
		    c->exchange->body.capacity + c->exchange->target.capacity;
	return bytes;
}

/*
 * Updates when a caller last took a part of its answers.
 */
static void
update_use(struct connection *c, uint64_t now_ms)
{
	(void)connection_use_update(&c->use, c->given,
	    uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp), now_ms);
	c->use.ordinary = c->paused &&
	    !connection_budget_must_pause(&limits.budget, c->unread);
}

static uint64_t
address_key(const struct connection *c)
{
	return connection_share_key((const struct sockaddr *)&c->peer);
}

static uint64_t
address_held(uint32_t address)
{
	uint64_t held = 0;

	for (const struct api_server *s = limits.servers; s != NULL;
	     s = s->next) {
		for (const struct connection *c = s->first; c != NULL;
		     c = c->next) {
			if (!c->closing && c->peer.sin_addr.s_addr == address)
				held += c->use.held;
		}
	}
	return held;
}

/*
 * Returns the connection that is closed first, other than self, or NULL.
 */
static struct connection *
find_first(const struct connection *self, uint64_t now_ms)
{
	struct connection *first = NULL;
	uint32_t address = 0;
	uint64_t held = 0;

	for (struct api_server *s = limits.servers; s != NULL; s = s->next) {
		for (struct connection *c = s->first; c != NULL; c = c->next) {
			if (c == self || c->closing || c->use.held == 0)
				continue;
			update_use(c, now_ms);
			/* Most connections of a crowd share an address. */
			if (held == 0 || c->peer.sin_addr.s_addr != address)
				held = address_held(c->peer.sin_addr.s_addr);
			address = c->peer.sin_addr.s_addr;
			c->use.address_held = held;
			if (connection_use_goes_first(&c->use,
				first == NULL ? NULL : &first->use, now_ms))
				first = c;
		}
	}
	return first;
}

/*
 * Records what a connection holds now, and closes connections while all
 * together hold more than the bound of the process.
 */
void
api_limit_update(struct connection *c)
{
	uint64_t held = c->closing ? 0 : held_bytes(c);
	struct connection *first;

	connection_budget_change(&limits.budget, c->use.held, held);
	c->use.held = held;
	if (c->closing) {
		if (c->counted)
			connection_share_remove(&limits.share, address_key(c));
		c->counted = false;
		return;
	}
	while (connection_budget_excess(&limits.budget) > 0 &&
	    (first = find_first(c, uv_now(c->server->loop))) != NULL)
		api_limit_close(first, CONNECTION_LIMIT_MEMORY);
	if (!c->closing && !c->paused &&
	    connection_budget_excess(&limits.budget) > 0)
		api_limit_close(c, CONNECTION_LIMIT_MEMORY);
}

/*
 * Records that a buffer for answers was allocated or freed.
 */
void
api_limit_allocate(struct connection *c, size_t bytes)
{
	c->unread += bytes;
	limits.allocated += bytes;
	api_limit_update(c);
}

void
api_limit_free(struct connection *c, size_t bytes)
{
	c->unread -= bytes;
	limits.allocated -= bytes;
	api_limit_update(c);
}

/*
 * Returns whether there is room for a reply.  Small ones always have it, since
 * a connection with unread answers is not read on.
 */
bool
api_limit_has_room(struct connection *c, size_t bytes)
{
	const struct connection_budget *budget = &limits.budget;
	struct connection *first;

	if (!connection_budget_must_pause(budget, bytes))
		return true;
	while (budget->held + bytes > budget->process_max &&
	    (first = find_first(c, uv_now(c->server->loop))) != NULL)
		api_limit_close(first, CONNECTION_LIMIT_MEMORY);
	if (limits.allocated + bytes <=
		budget->process_max + budget->process_max / CLOSING_DIVISOR ||
	    limits.allocated == 0)
		return true;
	counter_add(limits.refused_replies, 1);
	return false;
}

/*
 * Returns whether a connection has so many unread answers that its next request
 * waits.
 */
bool
api_limit_must_wait(const struct connection *c)
{
	return connection_budget_must_pause(&limits.budget, c->unread);
}

bool
api_limit_may_resume(const struct connection *c)
{
	return connection_budget_may_resume(&limits.budget, c->unread);
}

/*
 * Returns whether a connection has sent no whole request, and nothing lately.
 */
static bool
is_silent(const struct connection *c)
{
	return !c->closing && !c->lingering && !c->served &&
	    uv_now(c->server->loop) - c->opened_ms > SILENT_MS &&
	    !tcp_has_unread_input(&c->tcp);
}

/*
 * Returns whether one silent connection is closed before another: those of an
 * address above its share first, then the oldest.
 */
static bool
silent_goes_first(const struct connection *c, const struct connection *other)
{
	bool above = connection_share_excess(&limits.share, address_key(c)) > 0;

	if (above !=
	    (connection_share_excess(&limits.share, address_key(other)) > 0))
		return above;
	return c->opened_ms < other->opened_ms;
}

/*
 * Closes the silent connection that goes first, of the address of a connection
 * if it is not NULL.  Returns false if there is none.
 */
static bool
close_silent(const struct connection *same_address, enum connection_limit limit)
{
	struct connection *first = NULL;

	for (struct api_server *s = limits.servers; s != NULL; s = s->next) {
		for (struct connection *c = s->first; c != NULL; c = c->next) {
			if (same_address != NULL &&
			    address_key(c) != address_key(same_address))
				continue;
			if (is_silent(c) &&
			    (first == NULL || silent_goes_first(c, first)))
				first = c;
		}
	}
	if (first != NULL)
		api_limit_close(first, limit);
	return first != NULL;
}

/*
 * Counts a new connection.  Returns false, with the limit, if its address or
 * the process has too many and none can be closed for it: one whose caller has
 * its last answer, or one that has sent no whole request.
 */
bool
api_limit_add_connection(struct connection *c, enum connection_limit *limit)
{
	limits.connections++;
	connection_share_add(&limits.share, address_key(c));
	c->counted = true;
	*limit = CONNECTION_LIMIT_ADDRESS;
	/* The one that closes still counts as a connection. */
	if (connection_share_excess(&limits.share, address_key(c)) > 0)
		return close_silent(c, *limit);
	*limit = CONNECTION_LIMIT_COUNT;
	return limits.connections <= limits.connections_max ||
	    api_yield_connection(c->server) || close_silent(NULL, *limit);
}

/*
 * Takes a connection that was closed out of the count.
 */
void
api_limit_remove_connection(struct connection *c)
{
	limits.connections--;
	api_limit_update(c);
}
