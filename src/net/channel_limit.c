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
	struct connection_share share; /* of the addresses */
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
channel_set_limits(const char *instance, uint64_t memory_bytes,
    unsigned channels_max, unsigned address_max)
{
	uint64_t held = limits.budget.held;

	limits.log.instance = instance;
	limits.channels_max = channels_max;
	connection_budget_open(&limits.budget, memory_bytes);
	limits.budget.held = held;
	limits.unread_max = memory_bytes / UNREAD_DIVISOR;
	if (limits.unread_max < UNREAD_MIN_BYTES)
		limits.unread_max = UNREAD_MIN_BYTES;
	if (limits.open) {
		connection_share_set(&limits.share, channels_max, address_max);
		return;
	}
	limits.open = true;
	connection_share_open(&limits.share, channels_max, address_max);
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
		channel_set_limits(
		    "-", DEFAULT_MEMORY_BYTES, DEFAULT_CHANNELS, 0);
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

static uint64_t
address_key(const struct channel *channel)
{
	return connection_share_key((const struct sockaddr *)&channel->peer);
}

/*
 * Returns whether a channel has sent no whole frame, and nothing that is not
 * read yet: after a pause of the process all of them have been open for long.
 */
static bool
is_silent(const struct channel *channel)
{
	return !channel->served &&
	    uv_now(channel->loop) - channel->opened_ms > SILENT_MS &&
	    (channel->tcp == NULL || !tcp_has_unread_input(channel->tcp));
}

/*
 * Returns whether one silent channel is closed before another: those of an
 * address above its share first, then the oldest.
 */
static bool
silent_goes_first(const struct channel *c, const struct channel *other)
{
	bool above = connection_share_excess(&limits.share, address_key(c)) > 0;

	if (above !=
	    (connection_share_excess(&limits.share, address_key(other)) > 0))
		return above;
	return c->opened_ms < other->opened_ms;
}

/*
 * Closes a channel that has sent no whole frame in favour of a new one, of its
 * address only if same_address, else the new one.  Returns whether the new one
 * stays.
 */
static bool
make_room(
    struct channel *channel, bool same_address, enum connection_limit limit)
{
	struct channel *first = NULL;

	for (struct channel *c = limits.first; c != NULL; c = c->next) {
		if (same_address && address_key(c) != address_key(channel))
			continue;
		if (is_silent(c) &&
		    (first == NULL || silent_goes_first(c, first)))
			first = c;
	}
	close_at_limit(first != NULL ? first : channel, limit);
	return first != NULL;
}

/*
 * Returns whether there is room for an accepted channel, if necessary in place
 * of another one; closes it if there is none.
 */
static bool
admit(struct channel *channel)
{
	if (connection_share_excess(&limits.share, address_key(channel)) > 0 &&
	    !make_room(channel, true, CONNECTION_LIMIT_ADDRESS))
		return false;
	return limits.channels < limits.channels_max ||
	    make_room(channel, false, CONNECTION_LIMIT_COUNT);
}

/*
 * Adds an accepted channel.  If there are too many, one that has sent no whole
 * frame is closed for it; returns false if there is none.
 */
bool
channel_limit_add(struct channel *channel)
{
	uint64_t now = uv_now(channel->loop);

	open_limits();
	connection_share_add(&limits.share, address_key(channel));
	if (!admit(channel)) {
		connection_share_remove(&limits.share, address_key(channel));
		return false;
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
	connection_share_remove(&limits.share, address_key(channel));
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
		(void)connection_use_update(&c->use, c->queued, queued, now_ms);
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

/*
 * Only records: libuv does not allow that a handle is closed while it allocates
 * its input, and the owner of a channel that is closed here may close others.
 */
void
channel_limit_input(struct channel *channel)
{
	if (!channel->counted)
		return;
	connection_budget_change(
	    &limits.budget, channel->input_charged, channel->in_capacity);
	channel->input_charged = channel->in_capacity;
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
