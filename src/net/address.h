/*
 * IP:PORT parsing and TCP socket helpers for libuv.
 */
#ifndef NET_ADDRESS_H
#define NET_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/attr.h"

enum {
	ADDRESS_BYTES = 64
};

/* Parses IP:PORT; false for anything else. */
bool address_parse(const char *text,
    struct sockaddr_in *out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Sets the TCP options used between processes and to targets. */
void tcp_set_options(uv_tcp_t *tcp, unsigned user_timeout_ms) ATTR_NONNULL_ALL;

/*
 * Returns whether a connection that libuv reports as ended was reset.  libuv
 * reports end of stream on a hang-up even if a socket error follows the last
 * bytes.
 */
bool tcp_was_reset(const uv_tcp_t *tcp) ATTR_NONNULL_ALL;

/* Returns whether the socket has input that the event loop has not read yet. */
bool tcp_has_unread_input(const uv_tcp_t *tcp) ATTR_NONNULL_ALL;

/*
 * Returns whether the peer has ended or reset the connection, even behind input
 * that has not been read; false where the system can't tell.
 */
bool tcp_peer_has_ended(const uv_tcp_t *tcp) ATTR_NONNULL_ALL;
/*
 * Returns whether the connection no longer exists in the kernel.  Behind the
 * end of the peer's stream, reads don't report a reset.
 */
bool tcp_is_closed(const uv_tcp_t *tcp) ATTR_NONNULL_ALL;

/* The result of socket_unacknowledged_bytes(); 0 without a descriptor. */
unsigned tcp_unacknowledged_bytes(const uv_tcp_t *tcp) ATTR_NONNULL_ALL;

/*
 * Returns how many bytes taken by a TCP socket are not sent yet, for lack of
 * room at the peer's host or on the way; 0 if that is unknown.
 */
unsigned tcp_unsent_bytes(const uv_tcp_t *tcp) ATTR_NONNULL_ALL;
/* Whether a connection was opened without a second try of its handshake. */
bool tcp_opened_at_once(const uv_tcp_t *tcp) ATTR_NONNULL_ALL;

/*
 * Returns whether an idle connection is open and has no input that the event
 * loop has not read yet: no bytes, no end and no error.
 */
bool tcp_is_quiet(const uv_tcp_t *tcp) ATTR_NONNULL_ALL;

#endif
