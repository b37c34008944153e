#include "base/linger.h"

#include <linux/sockios.h>
#include <stddef.h>
#include <sys/ioctl.h>

enum {
	/* without progress of the last answer, on the slowest link */
	ANSWER_MAX_MS = 60 * 1000,
	/* The longest delay of an acknowledgement on Linux; usually 40 ms. */
	DELAYED_ACK_MAX_MS = 200
};

/*
 * Starts the wait, after the last answer was handed to the socket.
 */
void
linger_start(struct linger_wait *wait, uint64_t now_ms)
{
	*wait = (struct linger_wait){
	    .started_ms = now_ms,
	    .progress_ms = now_ms,
	};
}

/*
 * Only an acknowledgement counts as progress.
 */
bool
linger_has_stalled(
    struct linger_wait *wait, unsigned unacknowledged, uint64_t now_ms)
{
	if (unacknowledged != wait->unacknowledged)
		wait->progress_ms = now_ms;
	wait->unacknowledged = unacknowledged;
	return unacknowledged > 0 && now_ms - wait->progress_ms > ANSWER_MAX_MS;
}

/*
 * Records when that was first so.
 */
bool
linger_is_delivered(
    struct linger_wait *wait, unsigned unacknowledged, uint64_t now_ms)
{
	if (wait->delivered_ms == 0 && unacknowledged == 0)
		wait->delivered_ms = now_ms;
	return wait->delivered_ms != 0;
}

/*
 * The wait for the peer's close starts when the peer's host has acknowledged
 * all: what the socket has taken may still be on its way.  Only the close shows
 * that the peer itself has read the answer.
 */
bool
linger_is_over(
    struct linger_wait *wait, unsigned unacknowledged, uint64_t now_ms)
{
	return linger_is_delivered(wait, unacknowledged, now_ms)
	    ? now_ms - wait->delivered_ms > LINGER_CLOSE_MAX_MS
	    : linger_has_stalled(wait, unacknowledged, now_ms);
}

/*
 * The peer that has had the last answer for longest is the first one.
 */
bool
linger_can_yield(
    const struct linger_wait *wait, const struct linger_wait *other)
{
	return wait->delivered_ms != 0 &&
	    (other == NULL || wait->delivered_ms < other->delivered_ms);
}

/*
 * Counts from the start of the wait, whatever progress the peer makes: a new
 * peer waits meanwhile.
 */
bool
linger_may_yield_soon(const struct linger_wait *wait, uint64_t now_ms)
{
	return wait->delivered_ms == 0 &&
	    now_ms - wait->started_ms <= DELAYED_ACK_MAX_MS;
}

/*
 * Asks the socket for the length of its send queue, which includes bytes in
 * transit.
 */
unsigned
socket_unacknowledged_bytes(int fd)
{
	int queued;

	if (ioctl(fd, SIOCOUTQ, &queued) != 0 || queued < 0)
		return 0;
	return (unsigned)queued;
}
