/*
 * Channels and their bounds, shared by the files of the channel.
 */
#ifndef NET_CHANNEL_INTERNAL_H
#define NET_CHANNEL_INTERNAL_H

#include "base/connection_budget.h"
#include "base/connection_share.h"
#include "base/refcount.h"
#include "net/address.h"
#include "net/channel.h"

struct channel {
	uv_loop_t *loop;
	struct channel_callbacks callbacks;
	char address[ADDRESS_BYTES]; /* empty for an accepted channel */
	uv_tcp_t *tcp; /* NULL between connection attempts */
	uv_timer_t timer; /* ping and peer time-out, or the next attempt */
	bool open;
	bool closing;
	bool has_more_input; /* the last read has filled its buffer */
	uint64_t queued; /* bytes passed to this connection */
	bool paused; /* not read: the peer does not read */
	uint64_t last_received_ms;
	uint64_t last_sent_ms;
	unsigned reconnect_delay_ms;
	unsigned connect_timeouts; /* successive attempts that timed out */
	uint8_t *in;
	size_t in_len;
	size_t in_capacity;
	void *user;
	/* Of an accepted channel. */
	struct channel *previous;
	struct channel *next;
	bool counted; /* in the list of accepted channels */
	bool served; /* a whole frame has arrived */
	struct sockaddr_in peer;
	uint64_t opened_ms;
	size_t input_charged;
	size_t checked_output; /* waiting when last checked */
	struct connection_use use;
};

struct packed_frame {
	struct refcount ref;
	size_t len;
	uint8_t bytes[];
};

/* channel.c */
/* Closes the connection and reports the reason to the owner. */
void channel_disconnect(
    struct channel *channel, const char *reason) ATTR_NONNULL_ALL;

/* channel_limit.c: bounds shared by all accepted channels of the process. */
void channel_limit_set_socket(uv_tcp_t *listener) ATTR_NONNULL_ALL;
/* Returns false if there are too many channels to accept another one. */
bool channel_limit_add(struct channel *channel) ATTR_NONNULL_ALL;
void channel_limit_remove(struct channel *channel) ATTR_NONNULL_ALL;
/* The input buffer was allocated, grown or freed. */
void channel_limit_input(struct channel *channel) ATTR_NONNULL_ALL;
/* A frame for output was allocated or freed. */
void channel_limit_packed(size_t len, bool freed);
/* Closes channels while output and input are above the bound. */
void channel_limit_enforce(const struct channel *channel) ATTR_NONNULL_ALL;
/* Whether so much output waits for the peer that it is not read on. */
bool channel_limit_must_pause(const struct channel *channel) ATTR_NONNULL_ALL;
bool channel_limit_may_resume(const struct channel *channel) ATTR_NONNULL_ALL;

#endif
