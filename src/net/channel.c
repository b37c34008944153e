#include "net/channel.h"

#include <stdio.h>
#include <string.h>

#include <zlib.h>

#include "base/logger.h"
#include "base/memory.h"
#include "net/channel_internal.h"
#include "wire/codec.h"

#define HEADER_BYTES ((size_t)4)

enum {
	/* In the first length byte: the body is a deflated batch of frames. */
	DEFLATED_BIT = 0x80,
	DEFLATE_MIN_BYTES = 1024, /* smaller batches cost more than they save */
	DEFLATE_LEVEL = 1, /* shrinks documents tenfold, at 100 MB/s */
	FRAME_MAX_BYTES = 16 << 20, /* fits a snapshot chunk or a document */
	QUEUE_MAX_BYTES = 32 << 20, /* a slower peer is disconnected */
	READ_BYTES = 64 << 10,
	PING_MS = 400, /* a third of the peer time-out */
	/* Less than half of the shortest stable window, 3 s. */
	PEER_TIMEOUT_MS = 1400,
	/*
	 * Ten round trips within a region.  Between two regions the second
	 * attempt succeeds.
	 */
	CONNECT_TIMEOUT_MIN_MS = 50,
	CONNECT_SHORT_ATTEMPTS = 14, /* about a second */
	/* Callers wait no longer than this for a new connection. */
	CONNECT_TIMEOUT_MAX_MS = 1000,
	/* A local process restarts within tens of milliseconds. */
	RECONNECT_DELAY_MIN_MS = 40,
	RECONNECT_AFTER_TIMEOUT_MS = 5,
	/* Short, since callers wait for it when all instances restart. */
	RECONNECT_DELAY_MAX_MS = 150
};

struct channel_listener {
	uv_tcp_t tcp;
	uv_loop_t *loop;
	struct channel_callbacks callbacks;
};

struct write {
	uv_write_t request;
	struct packed_frame *packed;
};

static uint64_t deflates;

static void on_timer(uv_timer_t *timer);
static void dial(struct channel *channel);

static void
on_tcp_closed(uv_handle_t *handle)
{
	mem_free(handle);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	struct channel *channel = handle->data;

	mem_free(channel->in);
	mem_free(channel);
}

/*
 * Detaches the socket from the channel and closes it, so that later callbacks
 * on the socket find no channel.
 */
static void
close_socket(struct channel *channel)
{
	uv_tcp_t *tcp = channel->tcp;

	channel->tcp = NULL;
	channel->open = false;
	channel->in_len = 0;
	channel->paused = false;
	channel_limit_remove(channel);
	if (tcp == NULL)
		return;
	tcp->data = NULL;
	uv_close((uv_handle_t *)tcp, on_tcp_closed);
}

/*
 * Closes the connection and reports the reason to the owner.  A dialled
 * channel schedules a reconnect, an accepted one is closed.
 */
void
channel_disconnect(struct channel *channel, const char *reason)
{
	bool was_open = channel->open;

	close_socket(channel);
	if (was_open && channel->callbacks.closed != NULL)
		channel->callbacks.closed(
		    channel->callbacks.ctx, channel, reason);
	if (channel->closing)
		return;
	if (channel->address[0] == '\0') {
		channel_close(channel);
		return;
	}
	channel->reconnect_delay_ms =
	    was_open ? RECONNECT_DELAY_MIN_MS : channel->reconnect_delay_ms * 2;
	if (channel->reconnect_delay_ms > RECONNECT_DELAY_MAX_MS)
		channel->reconnect_delay_ms = RECONNECT_DELAY_MAX_MS;
	/* The attempt that timed out has already served as the delay. */
	uv_timer_start(&channel->timer, on_timer,
	    channel->connect_timeouts > 0 ? RECONNECT_AFTER_TIMEOUT_MS
					  : channel->reconnect_delay_ms,
	    0);
}

static bool process_batch(struct channel *channel, const uint8_t *data,
    size_t len, bool inflated, size_t *used);

/*
 * Decodes one frame and passes it to the owner, except for pings.  Returns
 * false when the connection was closed.
 */
static bool
process_frame(struct channel *channel, const uint8_t *data, size_t len)
{
	Fleet__Frame *frame =
	    (Fleet__Frame *)codec_unpack(&fleet__frame__descriptor, len, data);
	const uv_tcp_t *tcp = channel->tcp;

	if (frame == NULL) {
		channel_disconnect(channel, "frame unreadable");
		return false;
	}
	if (frame->body_case != FLEET__FRAME__BODY_PING)
		channel->callbacks.message(
		    channel->callbacks.ctx, channel, frame);
	fleet__frame__free_unpacked(frame, NULL);
	return tcp->data != NULL;
}

/*
 * Inflates a batch and processes its frames.  Returns false when the
 * connection was closed.
 */
static bool
process_deflated(struct channel *channel, const uint8_t *data, size_t len)
{
	uLongf raw_len = 0;
	uint8_t *raw;
	size_t used = 0;
	bool open;

	for (size_t i = 0; i < HEADER_BYTES && i < len; i++)
		raw_len = raw_len << 8 | data[i];
	if (len < HEADER_BYTES || raw_len > FRAME_MAX_BYTES) {
		channel_disconnect(channel, "deflated batch too long");
		return false;
	}
	raw = mem_alloc(raw_len);
	if (uncompress(raw, &raw_len, data + HEADER_BYTES,
		len - HEADER_BYTES) != Z_OK) {
		mem_free(raw);
		channel_disconnect(channel, "deflated batch unreadable");
		return false;
	}
	open = process_batch(channel, raw, raw_len, true, &used);
	mem_free(raw);
	return open;
}

/*
 * Processes the complete frames of a batch and sets used to their size in
 * bytes.  Returns false when the connection was closed.  A deflated batch
 * within a deflated batch is a protocol error: with nesting, a few bytes could
 * expand to any size.
 */
static bool
process_batch(struct channel *channel, const uint8_t *data, size_t len,
    bool inflated, size_t *used)
{
	size_t at = 0;

	while (len - at >= HEADER_BYTES && !channel->paused) {
		const uint8_t *p = data + at;
		bool deflated = (p[0] & DEFLATED_BIT) != 0;
		size_t body = (size_t)(p[0] & ~DEFLATED_BIT) << 24 |
		    (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];

		if (body > FRAME_MAX_BYTES || (deflated && inflated)) {
			channel_disconnect(channel,
			    body > FRAME_MAX_BYTES ? "frame too long"
						   : "nested deflated batch");
			return false;
		}
		if (len - at - HEADER_BYTES < body)
			break;
		at += HEADER_BYTES + body;
		if (deflated
			? !process_deflated(channel, p + HEADER_BYTES, body)
			: !process_frame(channel, p + HEADER_BYTES, body))
			return false;
		channel->paused = channel_limit_must_pause(channel);
	}
	if (inflated && channel->paused && at < len) {
		channel_disconnect(channel, "peer reads too slowly");
		return false;
	}
	*used = at;
	return true;
}

/*
 * Processes the complete frames in the input buffer and keeps the incomplete
 * rest.  Returns false when the connection was closed.
 */
static bool
process_input(struct channel *channel)
{
	size_t used = 0;

	if (!process_batch(channel, channel->in, channel->in_len, false, &used))
		return false;
	channel->served = channel->served || used > 0;
	memmove(channel->in, channel->in + used, channel->in_len - used);
	channel->in_len -= used;
	if (channel->in_len == 0 && channel->in_capacity > READ_BYTES) {
		/* Of a large frame, which are rare. */
		mem_free(channel->in);
		channel->in = NULL;
		channel->in_capacity = 0;
		channel_limit_input(channel);
	}
	return true;
}

/*
 * Processes input, and stops reading if the peer does not read what it gets for
 * it.
 */
static void
process_all(struct channel *channel)
{
	if (!process_input(channel))
		return;
	if (channel->paused)
		uv_read_stop((uv_stream_t *)channel->tcp);
	channel_limit_enforce(channel);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested ATTR_UNUSED, uv_buf_t *buf)
{
	struct channel *channel = handle->data;

	if (channel == NULL) {
		*buf = uv_buf_init(NULL, 0);
		return;
	}
	if (channel->in_capacity - channel->in_len < READ_BYTES / 4) {
		channel->in_capacity = channel->in_len < READ_BYTES / 4
		    ? READ_BYTES / 2
		    : channel->in_len * 2;
		channel->in = mem_resize(channel->in, channel->in_capacity);
		channel_limit_input(channel);
	}
	*buf = uv_buf_init((char *)channel->in + channel->in_len,
	    (unsigned)(channel->in_capacity - channel->in_len));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct channel *channel = stream->data;

	if (channel == NULL)
		return;
	channel->has_more_input = n > 0 && (size_t)n == buf->len;
	if (n == 0)
		return;
	if (n < 0) {
		channel_disconnect(channel, uv_strerror((int)n));
		return;
	}
	channel->last_received_ms = uv_now(channel->loop);
	channel->in_len += (size_t)n;
	process_all(channel);
}

static void
on_written(uv_write_t *request, int status ATTR_UNUSED)
{
	struct write *write = (struct write *)request;
	struct channel *channel = request->handle->data;

	packed_frame_put(write->packed);
	mem_free(write);
	if (channel == NULL || !channel->paused ||
	    !channel_limit_may_resume(channel))
		return;
	channel->paused = false;
	channel->last_received_ms = uv_now(channel->loop);
	uv_read_start((uv_stream_t *)channel->tcp, on_alloc, on_read);
	process_all(channel);
}

/*
 * Starts reading and the ping timer on a connected socket.
 */
static void
open_channel(struct channel *channel)
{
	tcp_set_options(channel->tcp, PEER_TIMEOUT_MS);
	channel->open = true;
	channel->has_more_input = false;
	channel->queued = 0;
	channel->last_received_ms = channel->last_sent_ms =
	    uv_now(channel->loop);
	uv_read_start((uv_stream_t *)channel->tcp, on_alloc, on_read);
	uv_timer_start(&channel->timer, on_timer, PING_MS, PING_MS);
	if (channel->callbacks.opened != NULL)
		channel->callbacks.opened(channel->callbacks.ctx, channel);
}

static void
on_connected(uv_connect_t *request, int status)
{
	struct channel *channel = request->handle->data;

	mem_free(request);
	if (channel == NULL)
		return;
	/* A refused connection also shows that the host is up. */
	channel->connect_timeouts = 0;
	if (status != 0)
		channel_disconnect(channel, uv_strerror(status));
	else
		open_channel(channel);
}

/*
 * Returns the time-out of a connection attempt (ms) after a number of
 * successive attempts that timed out.  A host without power does not answer
 * SYNs.  Once it is back, only a new or retransmitted SYN reaches it, so the
 * time-outs stay short for about as long as a host takes to start; every second
 * one is long enough for another region.
 */
unsigned
channel_connect_timeout_ms(unsigned connect_timeouts)
{
	unsigned ms = CONNECT_TIMEOUT_MIN_MS;

	if (connect_timeouts < CONNECT_SHORT_ATTEMPTS)
		return connect_timeouts % 2 == 0 ? ms : 2 * ms;
	connect_timeouts -= CONNECT_SHORT_ATTEMPTS;
	while (connect_timeouts-- > 0 && ms < CONNECT_TIMEOUT_MAX_MS)
		ms *= 2;
	return ms < CONNECT_TIMEOUT_MAX_MS ? ms : CONNECT_TIMEOUT_MAX_MS;
}

/*
 * Starts a connection attempt.
 */
static void
dial(struct channel *channel)
{
	struct sockaddr_in to;
	uv_connect_t *request;

	uv_timer_start(&channel->timer, on_timer,
	    channel_connect_timeout_ms(channel->connect_timeouts), 0);
	if (!address_parse(channel->address, &to))
		return;
	channel->tcp = mem_calloc(1, sizeof(*channel->tcp));
	uv_tcp_init(channel->loop, channel->tcp);
	channel->tcp->data = channel;
	request = mem_calloc(1, sizeof(*request));
	if (uv_tcp_connect(request, channel->tcp, (struct sockaddr *)&to,
		on_connected) != 0) {
		mem_free(request);
		channel_disconnect(channel, "connect failed");
	}
}

/*
 * Sends pings and enforces the peer time-out while open, enforces the
 * connect time-out during an attempt, or starts the next attempt.
 */
static void
on_timer(uv_timer_t *timer)
{
	struct channel *channel = timer->data;
	uint64_t now = uv_now(channel->loop);
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Ping ping = FLEET__PING__INIT;

	if (channel->tcp == NULL) {
		dial(channel);
		return;
	}
	if (!channel->open) {
		channel->connect_timeouts++;
		channel_disconnect(channel, "connect timed out");
		return;
	}
	/* One that is not read on may be slow; its host has to take output. */
	if (!channel->paused &&
	    now - channel->last_received_ms >= PEER_TIMEOUT_MS) {
		channel_disconnect(channel, "peer is silent");
		return;
	}
	channel_limit_enforce(channel);
	if (now - channel->last_sent_ms < PING_MS / 2)
		return;
	frame.body_case = FLEET__FRAME__BODY_PING;
	frame.ping = &ping;
	channel_send(channel, &frame);
}

static struct channel *
new_channel(uv_loop_t *loop, const char *address,
    const struct channel_callbacks *callbacks)
{
	struct channel *channel = mem_calloc(1, sizeof(*channel));

	channel->loop = loop;
	channel->callbacks = *callbacks;
	channel->reconnect_delay_ms = RECONNECT_DELAY_MIN_MS / 2;
	snprintf(channel->address, sizeof(channel->address), "%s", address);
	uv_timer_init(loop, &channel->timer);
	channel->timer.data = channel;
	return channel;
}

/*
 * Returns a channel that connects to address, and reconnects after failures,
 * until channel_close().
 */
struct channel *
channel_dial(uv_loop_t *loop, const char *address,
    const struct channel_callbacks *callbacks)
{
	struct channel *channel = new_channel(loop, address, callbacks);

	uv_timer_start(&channel->timer, on_timer, 0, 0);
	return channel;
}

static void
on_connection(uv_stream_t *server, int status)
{
	struct channel_listener *listener = server->data;
	struct channel *channel;
	int peer_len = sizeof(channel->peer);

	if (status != 0) {
		log_warn("accept_failed", "what=channel reason=\"%s\"",
		    uv_strerror(status));
		return;
	}
	channel = new_channel(listener->loop, "", &listener->callbacks);
	channel->tcp = mem_calloc(1, sizeof(*channel->tcp));
	uv_tcp_init(listener->loop, channel->tcp);
	channel->tcp->data = channel;
	if (uv_accept(server, (uv_stream_t *)channel->tcp) != 0) {
		channel_close(channel);
		return;
	}
	(void)uv_tcp_getpeername(
	    channel->tcp, (struct sockaddr *)&channel->peer, &peer_len);
	if (!channel_limit_add(channel))
		return;
	open_channel(channel);
}

/*
 * Accepts channels from other processes on IP:PORT.  Returns NULL, with
 * STATUS_IO and a message set, when the address is invalid or can't be bound.
 */
struct channel_listener *
channel_listen(uv_loop_t *loop, const char *address,
    const struct channel_callbacks *callbacks)
{
	struct channel_listener *listener = mem_calloc(1, sizeof(*listener));
	struct sockaddr_in at;
	int error = UV_EINVAL;

	listener->loop = loop;
	listener->callbacks = *callbacks;
	uv_tcp_init(loop, &listener->tcp);
	listener->tcp.data = listener;
	if (address_parse(address, &at))
		error = uv_tcp_bind(
		    &listener->tcp, (const struct sockaddr *)&at, 0);
	if (error == 0)
		channel_limit_set_socket(&listener->tcp);
	if (error == 0)
		error = uv_listen(
		    (uv_stream_t *)&listener->tcp, SOMAXCONN, on_connection);
	if (error != 0) {
		(void)status_set(
		    STATUS_IO, "%s: %s", address, uv_strerror(error));
		channel_listener_close(listener);
		return NULL;
	}
	return listener;
}

/*
 * Stops listening; open channels are kept.
 */
void
channel_listener_close(struct channel_listener *listener)
{
	if (listener != NULL && !uv_is_closing((uv_handle_t *)&listener->tcp))
		uv_close((uv_handle_t *)&listener->tcp, on_tcp_closed);
}

/*
 * Writes a frame header: the length as 32 bits, big-endian.
 */
static void
write_length(uint8_t *at, size_t len)
{
	for (unsigned i = 0; i < HEADER_BYTES; i++)
		at[i] = (uint8_t)(len >> (24 - 8 * i));
}

/*
 * Returns a batch in wire format, deflated if that is shorter, with one
 * reference.
 */
static struct packed_frame *
pack_batch(const uint8_t *batch, size_t len)
{
	uLongf bound = compressBound(len);
	struct packed_frame *packed =
	    mem_alloc(sizeof(*packed) + 2 * HEADER_BYTES + bound);

	refcount_init(&packed->ref);
	deflates += len >= DEFLATE_MIN_BYTES ? 1 : 0;
	if (len >= DEFLATE_MIN_BYTES &&
	    compress2(packed->bytes + 2 * HEADER_BYTES, &bound, batch, len,
		DEFLATE_LEVEL) == Z_OK &&
	    bound + HEADER_BYTES < len) {
		write_length(packed->bytes, HEADER_BYTES + bound);
		packed->bytes[0] |= DEFLATED_BIT;
		write_length(packed->bytes + HEADER_BYTES, len);
		packed->len = 2 * HEADER_BYTES + bound;
	} else {
		memcpy(packed->bytes, batch, len);
		packed->len = len;
	}
	channel_limit_packed(packed->len, false);
	return mem_resize(packed, sizeof(*packed) + packed->len);
}

/*
 * Returns a frame in wire format, with one reference.
 */
struct packed_frame *
channel_pack(const Fleet__Frame *frame)
{
	struct str_buf batch = {0};
	struct packed_frame *packed;

	channel_batch_append(&batch, frame);
	packed = pack_batch((const uint8_t *)batch.data, batch.len);
	str_buf_free(&batch);
	return packed;
}

/*
 * Returns the size of a frame in wire format.
 */
size_t
packed_frame_len(const struct packed_frame *packed)
{
	return packed->len;
}

/*
 * Drops a reference; the last one frees the frame.
 */
void
packed_frame_put(struct packed_frame *packed)
{
	if (!refcount_put(&packed->ref))
		return;
	channel_limit_packed(packed->len, true);
	mem_free(packed);
}

/*
 * Sends a packed frame, or discards it when the channel is not open.  A peer
 * with more than QUEUE_MAX_BYTES of unsent output is disconnected.
 */
void
channel_send_packed(struct channel *channel, struct packed_frame *packed)
{
	struct write *write;
	uv_buf_t buf;

	if (!channel->open)
		return;
	if (uv_stream_get_write_queue_size((uv_stream_t *)channel->tcp) +
		packed->len >
	    QUEUE_MAX_BYTES) {
		channel_disconnect(channel, "peer reads too slowly");
		return;
	}
	write = mem_calloc(1, sizeof(*write));
	write->packed = packed;
	refcount_get(&packed->ref);
	buf = uv_buf_init((char *)packed->bytes, (unsigned)packed->len);
	channel->last_sent_ms = uv_now(channel->loop);
	channel->queued += packed->len;
	if (uv_write(&write->request, (uv_stream_t *)channel->tcp, &buf, 1,
		on_written) != 0) {
		packed_frame_put(packed);
		mem_free(write);
	}
}

/*
 * Encodes and sends a frame, or discards it when the channel is not open.
 */
void
channel_send(struct channel *channel, const Fleet__Frame *frame)
{
	struct packed_frame *packed;

	if (!channel->open)
		return;
	packed = channel_pack(frame);
	channel_send_packed(channel, packed);
	packed_frame_put(packed);
}

/*
 * Appends a frame with its length prefix to a batch.
 */
void
channel_batch_append(struct str_buf *batch, const Fleet__Frame *frame)
{
	size_t len = fleet__frame__get_packed_size(frame);
	uint8_t *bytes = mem_alloc(HEADER_BYTES + len);

	write_length(bytes, len);
	fleet__frame__pack(frame, bytes + HEADER_BYTES);
	str_buf_append(batch, str_of((const char *)bytes, HEADER_BYTES + len));
	mem_free(bytes);
}

/*
 * Returns a batch in wire format, with one reference.
 */
struct packed_frame *
channel_pack_batch(const struct str_buf *batch)
{
	return pack_batch((const uint8_t *)batch->data, batch->len);
}

/*
 * Returns the number of batches that this process has deflated.
 */
uint64_t
channel_deflate_count(void)
{
	return deflates;
}

/*
 * Returns whether the channel is connected.
 */
bool
channel_is_open(const struct channel *channel)
{
	return channel->open;
}

/*
 * Returns how many bytes were passed to the current connection.
 */
uint64_t
channel_queued(const struct channel *channel)
{
	return channel->queued;
}

/*
 * Returns how many of these bytes are in the socket.
 */
uint64_t
channel_written(const struct channel *channel)
{
	if (channel->tcp == NULL)
		return channel->queued;
	return channel->queued -
	    uv_stream_get_write_queue_size((uv_stream_t *)channel->tcp);
}

/*
 * Returns whether more input is likely to be available at once.
 */
bool
channel_has_more_input(const struct channel *channel)
{
	return channel->open && channel->has_more_input;
}

/*
 * Returns the address the channel connects to; empty for an accepted one.
 */
const char *
channel_address(const struct channel *channel)
{
	return channel->address;
}

/*
 * Closes a channel; it is freed when the loop has closed its timer.
 */
void
channel_close(struct channel *channel)
{
	if (channel == NULL || channel->closing)
		return;
	channel->closing = true;
	close_socket(channel);
	uv_close((uv_handle_t *)&channel->timer, on_timer_closed);
}

/*
 * Returns the pointer set with channel_set_user(), initially NULL.
 */
void *
channel_user(const struct channel *channel)
{
	return channel->user;
}

/*
 * Attaches an owner's pointer to the channel.
 */
void
channel_set_user(struct channel *channel, void *user)
{
	channel->user = user;
}
