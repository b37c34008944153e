/*
 * Connections between processes of this system: length-prefixed Fleet frames
 * over TCP on an event loop.  Both sides send pings when idle and close a
 * connection on which nothing has been received for the peer time-out.
 */
#ifndef NET_CHANNEL_H
#define NET_CHANNEL_H

#include <stdbool.h>

#include <uv.h>

#include "base/attr.h"
#include "base/status.h"
#include "base/str.h"
#include "wire/fleet.pb-c.h"

struct channel;

enum {
	/*
	 * Within this time, twice the longest attempt and pause, a peer that
	 * lives has dialled again.  Below the shortest stable window, 3 s.
	 */
	CHANNEL_RETURN_MS = 2500
};

struct channel_callbacks {
	void *ctx;
	void (*opened)(void *ctx, struct channel *channel);
	void (*message)(
	    void *ctx, struct channel *channel, const Fleet__Frame *frame);
	/* A dialled channel reconnects by itself; an accepted one is freed. */
	void (*closed)(void *ctx, struct channel *channel, const char *reason);
};

/* Connects, and reconnects after failures, until channel_close(). */
struct channel *channel_dial(uv_loop_t *loop, const char *address,
    const struct channel_callbacks *callbacks)
    ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Time-out (ms) of a connection attempt after successive time-outs. */
unsigned channel_connect_timeout_ms(unsigned connect_timeouts);
struct channel_listener;
/* NULL, with the status message set, when the address can't be bound. */
struct channel_listener *channel_listen(uv_loop_t *loop, const char *address,
    const struct channel_callbacks *callbacks)
    ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Sets the bounds for accepted channels: the process may use memory_bytes in
 * all and accepts channels_max of them, address_max from one address (0: the
 * default rule).  instance is kept.
 */
void channel_set_limits(const char *instance, uint64_t memory_bytes,
    unsigned channels_max, unsigned address_max) ATTR_NONNULL_ALL;
void channel_listener_close(struct channel_listener *listener);
/* Discards the frame when the channel is not open. */
void channel_send(
    struct channel *channel, const Fleet__Frame *frame) ATTR_NONNULL_ALL;
/* Reference-counted encoded frames, shared between channels. */
struct packed_frame;
struct packed_frame *
channel_pack(const Fleet__Frame *frame) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
size_t packed_frame_len(const struct packed_frame *packed) ATTR_NONNULL_ALL;
void packed_frame_put(struct packed_frame *packed);
void channel_send_packed(
    struct channel *channel, struct packed_frame *packed) ATTR_NONNULL_ALL;
/* Appends a frame to a batch; a batch is encoded as one unit. */
void channel_batch_append(
    struct str_buf *batch, const Fleet__Frame *frame) ATTR_NONNULL_ALL;
struct packed_frame *channel_pack_batch(
    const struct str_buf *batch) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Number of batches that this process has deflated. */
uint64_t channel_deflate_count(void);
bool channel_is_open(const struct channel *channel) ATTR_NONNULL_ALL;
/* Bytes passed to the current connection, and those that left its queue. */
uint64_t channel_queued(const struct channel *channel) ATTR_NONNULL_ALL;
uint64_t channel_written(const struct channel *channel) ATTR_NONNULL_ALL;
/* Whether more input is likely to be available without waiting. */
bool channel_has_more_input(const struct channel *channel) ATTR_NONNULL_ALL;
const char *channel_address(const struct channel *channel) ATTR_NONNULL_ALL;
/* Closes and frees the channel, without a call to closed(). */
void channel_close(struct channel *channel);
void *channel_user(const struct channel *channel) ATTR_NONNULL_ALL;
void channel_set_user(struct channel *channel, void *user) ATTR_NONNULL(1);

#endif
