/*
 * The wait between a connection's last answer and its close.  A close while the
 * peer still sends makes the kernel answer with a reset, which discards what
 * the peer has not got yet, and fails what it sends next.  So the sending side
 * is shut down first, input is read and dropped, and the connection is closed
 * once the peer has closed it.  An acknowledgement comes from the peer's host:
 * the peer itself may be late to read.
 */
#ifndef BASE_LINGER_H
#define BASE_LINGER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	/* Callers wait as long for an answer. */
	LINGER_CLOSE_MAX_MS = 10 * 1000
};

struct linger_wait {
	uint64_t started_ms;
	uint64_t progress_ms; /* of the last answer */
	uint64_t delivered_ms; /* all is acknowledged since then; 0: not yet */
	unsigned unacknowledged; /* bytes */
};

void linger_start(struct linger_wait *wait, uint64_t now_ms) ATTR_NONNULL_ALL;
/*
 * Returns whether output has made no progress for so long that the peer gets no
 * more of it.  unacknowledged includes what the socket has not taken yet.
 */
bool linger_has_stalled(struct linger_wait *wait, unsigned unacknowledged,
    uint64_t now_ms) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Returns whether the connection can be closed although the peer has not closed
 * it.
 */
bool linger_is_over(struct linger_wait *wait, unsigned unacknowledged,
    uint64_t now_ms) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Returns whether the peer's host has all. */
bool linger_is_delivered(struct linger_wait *wait, unsigned unacknowledged,
    uint64_t now_ms) ATTR_NONNULL_ALL;
/*
 * Returns whether the connection can be closed early in favour of a new one,
 * rather than other, which may be NULL.
 */
bool linger_can_yield(const struct linger_wait *wait,
    const struct linger_wait *other) ATTR_UNUSED_RESULT;

/*
 * Returns whether the acknowledgement of the last answer is probably only
 * delayed by the peer's host, so that the connection can be closed soon.
 */
bool linger_may_yield_soon(const struct linger_wait *wait,
    uint64_t now_ms) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

/*
 * Returns how many bytes taken by a TCP socket the peer's host has not
 * acknowledged, counting the end of stream as one; 0 if that is unknown.
 */
unsigned socket_unacknowledged_bytes(int fd);

#endif
