/*
 * A connection between two of our processes: Fleet frames with a length
 * before each, over TCP on an event loop.  Both sides send a ping when they
 * have nothing else to say, and close a connection that has gone silent.
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

struct channel_callbacks {
	void *ctx;
	void (*opened)(void *ctx, struct channel *channel);
	void (*message)(
	    void *ctx, struct channel *channel, const Fleet__Frame *frame);
	/* A dialled channel dials again by itself; an accepted one is freed. */
	void (*closed)(void *ctx, struct channel *channel, const char *reason);
};

/* Dials an address for as long as the channel lives. */
struct channel *channel_dial(uv_loop_t *loop, const char *address,
    const struct channel_callbacks *callbacks)
    ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Time for an attempt after so many that were not answered, in ms. */
unsigned channel_connect_timeout_ms(unsigned connect_timeouts);
struct channel_listener;
/* NULL, with a message, when the address can't be bound. */
struct channel_listener *channel_listen(uv_loop_t *loop, const char *address,
    const struct channel_callbacks *callbacks)
    ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void channel_listener_close(struct channel_listener *listener);
/* Drops the frame when the channel is not open. */
void channel_send(
    struct channel *channel, const Fleet__Frame *frame) ATTR_NONNULL_ALL;
/* A frame made ready once for several channels. */
struct packed_frame;
struct packed_frame *
channel_pack(const Fleet__Frame *frame) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void packed_frame_put(struct packed_frame *packed);
void channel_send_packed(
    struct channel *channel, struct packed_frame *packed) ATTR_NONNULL_ALL;
/* Appends a frame to a batch, and packs a batch as a whole. */
void channel_batch_append(
    struct str_buf *batch, const Fleet__Frame *frame) ATTR_NONNULL_ALL;
struct packed_frame *channel_pack_batch(
    const struct str_buf *batch) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Runs of frames that this process has deflated. */
uint64_t channel_deflate_count(void);
bool channel_is_open(const struct channel *channel) ATTR_NONNULL_ALL;
const char *channel_address(const struct channel *channel) ATTR_NONNULL_ALL;
/* Ends it for good, without a call to closed(). */
void channel_close(struct channel *channel);
void *channel_user(const struct channel *channel) ATTR_NONNULL_ALL;
void channel_set_user(struct channel *channel, void *user) ATTR_NONNULL(1);

#endif
