/*
 * IP:PORT texts for libuv.
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

bool address_parse(const char *text,
    struct sockaddr_in *out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* TCP options of every connection between processes and to targets. */
void tcp_set_options(uv_tcp_t *tcp, unsigned silence_ms) ATTR_NONNULL_ALL;

/*
 * Whether a connection that libuv reports as ended was reset: it says end of
 * stream for a hang-up, also when an error stands behind the last bytes.
 */
bool tcp_was_reset(const uv_tcp_t *tcp) ATTR_NONNULL_ALL;

/* Whether bytes wait on a connection that the loop has not read yet. */
bool tcp_has_unread_input(const uv_tcp_t *tcp) ATTR_NONNULL_ALL;

#endif
