/*
 * Bounds for the channels that a process accepts: their number, input that is
 * not a whole frame, and frames that peers do not read.
 */
#include "base/counter.h"
#include "base/log_limiter.h"
#include "base/logger.h"
#include "base/memory.h"
#include "net/channel_internal.h"

enum {
	DEFAULT_MEMORY_BYTES = 256 << 20,
	DEFAULT_CHANNELS = 4096,
	/* A channel that has sent no whole frame may be replaced. */
	SILENT_MS = 1000,
	/*
	 * Unread output above which a channel is not read on: more than any
	 * peer has pending, unless documents are larger.
	 */
	UNREAD_DIVISOR = 32, /* part of the memory */
	UNREAD_MIN_BYTES = 1 << 20,
	/* Each direction of a channel that is not closed for its memory. */
	ORDINARY_BYTES = 32 << 10
};

static struct {
	bool open;
	struct connection_budget budget; /* frames are counted once */
	uint64_t unread_max;
	unsigned channels_max;
	unsigned channels;
	struct channel *first;
	uint64_t evicted; /* output of channels closed in this iteration */
	uint64_t evicted_ms;
	struct counter *limited[CONNECTION_LIMITS];
	struct counter *pauses;
	struct log_limiter log;
} limits;

/*
 * Sets the bounds of the process.
 */
void
channel_set_limits(
    const char *instance, uint64_t memory_bytes, unsigned channels_max)
{
	uint64_t held = limits.budget.held;

	limits.log.instance = instance;
	limits.channels_max = channels_max;
	connection_budget_open(&limits.budget, memory_bytes);
	limits.budget.held = held;
	limits.unread_max = memory_bytes / UNREAD_DIVISOR;
	if (limits.unread_max < UNREAD_MIN_BYTES)
		limits.unread_max = UNREAD_MIN_BYTES;
	if (limits.open)
		return;
	limits.open = true;
	for (size_t i = 0; i < CONNECTION_LIMITS; i++)
		limits.limited[i] = counter_register(COUNTER_TOTAL,
		    "gypsummill_link_limited_connections_total",
		    "Connections of instances closed at a limit (count)",
		    "limit=\"%s\"", connection_limit_names[i]);
	limits.pauses = counter_register(COUNTER_TOTAL,
	    "gypsummill_link_input_pauses_total",
	    "Times that an instance was not read on since it did not read "
	    "(count)",
	    NULL);
}

static void
open_limits(void)
{
	if (!limits.open)
		channel_set_limits("-", DEFAULT_MEMORY_BYTES, DEFAULT_CHANNELS);
}

/*
 * Sets the receive buffer of a listener's socket, which channels inherit.  The
 * send buffer is left to the kernel: a document is sent to many at once.
 */
void
channel_limit_set_socket(uv_tcp_t *listener)
{
	int receive;

	open_limits();
	receive = (int)limits.budget.socket_bytes;
	(void)uv_recv_buffer_size((uv_handle_t *)listener, &receive);
}

/*
 * Logs and counts a channel that is closed at a limit, and closes it.  Its
 * input is not being processed: limits apply between callbacks of channels.
 */
static void
close_at_limit(struct channel *channel, enum connection_limit limit)
{
	char ip[ADDRESS_BYTES] = "";

	counter_add(limits.limited[limit], 1);
	if (log_limiter_allow(&limits.log, uv_now(channel->loop), false)) {
		(void)uv_ip4_name(&channel->peer, ip, sizeof(ip));
		log_warn("connection_limited",
		    "instance=%s what=link address=%s reason=%s "
		    "unread_bytes=%zu input_bytes=%zu",
		    limits.log.instance, ip, connection_limit_names[limit],
		    channel->checked_output, channel->in_capacity);
	}
	channel_disconnect(channel, "closed at a limit");
	/* At once, rather than when the loop has closed the channel. */
	mem_free(channel->in);
	channel->in = NULL;
	channel->in_capacity = 0;
}

static size_t
output_bytes(const struct channel *channel)
{
	return channel->tcp == NULL
	    ? 0
	    : uv_stream_get_write_queue_size((uv_stream_t *)channel->tcp);
}

/*
 * Adds an accepted channel.  If there are too many, one that has sent no whole
 * frame is closed for it; returns false if there is none.
 */
bool
channel_limit_add(struct channel *channel)
{
	uint64_t now = uv_now(channel->loop);
	struct channel *oldest = NULL;

	open_limits();
	if (limits.channels >= limits.channels_max) {
		for (struct channel *c = limits.first; c != NULL; c = c->next) {
			if (!c->served && now - c->opened_ms > SILENT_MS &&
			    (oldest == NULL ||
				c->opened_ms < oldest->opened_ms))
				oldest = c;
		}
		if (oldest == NULL) {
			close_at_limit(channel, CONNECTION_LIMIT_COUNT);
			return false;
		}
		close_at_limit(oldest, CONNECTION_LIMIT_COUNT);
	}
	channel->opened_ms = channel->use.moved_ms = now;
	channel->counted = true;
	channel->next = limits.first;
	if (channel->next != NULL)
		channel->next->previous = channel;
	limits.first = channel;
	limits.channels++;
	return true;
}

/*
 * Takes out an accepted channel that closes.
 */
void
channel_limit_remove(struct channel *channel)
{
	if (!channel->counted)
		return;
	channel->counted = false;
	if (channel->previous != NULL)
		channel->previous->next = channel->next;
	else
		limits.first = channel->next;
	if (channel->next != NULL)
		channel->next->previous = channel->previous;
	channel->previous = channel->next = NULL;
	limits.channels--;
	connection_budget_change(&limits.budget, channel->input_charged, 0);
	channel->input_charged = 0;
}

static uint64_t
address_held(uint32_t address)
{
	uint64_t held = 0;

	for (const struct channel *c = limits.first; c != NULL; c = c->next) {
		if (c->peer.sin_addr.s_addr == address)
			held += c->in_capacity + output_bytes(c);
	}
	return held;
}

/*
 * Returns the channel that is closed first, other than self, or NULL.
 */
static struct channel *
find_first(const struct channel *self, uint64_t now_ms)
{
	struct channel *first = NULL;
	uint32_t address = 0;
	uint64_t held = 0;

	for (struct channel *c = limits.first; c != NULL; c = c->next) {
		size_t queued = output_bytes(c);

		if (c == self)
			continue;
		if (queued < c->checked_output)
			c->use.moved_ms = now_ms;
		c->checked_output = queued;
		c->use.held = c->in_capacity + queued;
		c->use.ordinary = c->in_capacity <= ORDINARY_BYTES &&
		    queued <= ORDINARY_BYTES;
		if (held == 0 || c->peer.sin_addr.s_addr != address)
			held = address_held(c->peer.sin_addr.s_addr);
		address = c->peer.sin_addr.s_addr;
		c->use.address_held = held;
		if (connection_use_goes_first(
			&c->use, first == NULL ? NULL : &first->use, now_ms))
			first = c;
	}
	return first;
}

/*
 * Closes channels while all together hold more than the bound.  The output of a
 * closed one is freed in the next iteration of the loop and counts as freed
 * before.
 */
void
channel_limit_enforce(const struct channel *channel)
{
	uint64_t now = uv_now(channel->loop);
	struct channel *first;

	if (!channel->counted)
		return;
	if (now != limits.evicted_ms)
		limits.evicted = 0;
	limits.evicted_ms = now;
	while (connection_budget_excess(&limits.budget) > limits.evicted &&
	    (first = find_first(channel, now)) != NULL) {
		limits.evicted += first->checked_output;
		close_at_limit(first, CONNECTION_LIMIT_MEMORY);
	}
}

void
channel_limit_input(struct channel *channel)
{
	if (!channel->counted)
		return;
	connection_budget_change(
	    &limits.budget, channel->input_charged, channel->in_capacity);
	channel->input_charged = channel->in_capacity;
	channel_limit_enforce(channel);
}

void
channel_limit_packed(size_t len, bool freed)
{
	connection_budget_change(
	    &limits.budget, freed ? len : 0, freed ? 0 : len);
}

bool
channel_limit_must_pause(const struct channel *channel)
{
	if (channel->paused)
		return true;
	if (!channel->counted || output_bytes(channel) <= limits.unread_max)
		return false;
	counter_add(limits.pauses, 1);
	return true;
}

bool
channel_limit_may_resume(const struct channel *channel)
{
	return output_bytes(channel) <= limits.unread_max / 2;
}
