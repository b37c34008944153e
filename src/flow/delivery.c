#include "flow/delivery.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

enum {
	SPAN_US = 1000 * 1000,
	/* What a host takes for a caller that does not read. */
	HOST_BUFFER_BYTES = 256 << 10,
	/* Pending for a caller whose rate is unknown: 16 answers of 32 KiB. */
	UNKNOWN_PENDING_BYTES = 512 << 10,
	UNKNOWN_ANSWER_BYTES = 16 << 10,
	/* bytes per second: of a caller that will read on, and of a fast one */
	RATE_MIN = 4 << 10,
	RATE_FAST = 512 << 10,
	BUSY_DIVISOR = 8, /* part of what may be pending */
	LARGE_DIVISOR = 8, /* one answer in so many is larger than expected */
	LARGE_UPDATE_SAMPLES = 8 /* samples between two updates */
};

/*
 * Records output that is handed to the connection.
 */
void
delivery_write(struct delivery *delivery, size_t bytes)
{
	delivery->written += bytes;
}

/*
 * Returns how many bytes may not be delivered yet: at most as many as when last
 * observed, and all that was written since.
 */
uint64_t
delivery_pending(const struct delivery *delivery)
{
	return delivery->written - delivery->delivered;
}

/*
 * Returns the bytes that may be pending in order to be delivered within max_us.
 */
static uint64_t
pending_max(const struct delivery *delivery, uint64_t max_us)
{
	uint64_t bytes = delivery->rate * (max_us / US_PER_MS) / 1000;

	return !delivery->limited && bytes < UNKNOWN_PENDING_BYTES
	    ? UNKNOWN_PENDING_BYTES
	    : bytes;
}

/*
 * Starts the next span.  After one in which output has waited for the caller,
 * the buffer of its host is full.
 */
static void
start_span(struct delivery *delivery, bool unsent, uint64_t now_us)
{
	delivery->span_buffer = delivery->span_limited ? 0 : HOST_BUFFER_BYTES;
	delivery->span_start_us = now_us;
	delivery->span_bytes = delivery->delivered;
	delivery->span_limited = unsent;
}

/*
 * Evaluates a complete span.  A caller that has kept up with all output of a
 * span may be faster than measured before: a low rate is raised step by step,
 * until it does not count any more.
 */
static void
end_span(struct delivery *delivery, uint64_t rate)
{
	if (delivery->span_limited) {
		delivery->limited = true;
		delivery->rate = rate > RATE_MIN ? rate : RATE_MIN;
	} else if (delivery->limited &&
	    delivery->delivered > delivery->span_bytes &&
	    delivery->rate < RATE_FAST) {
		delivery->rate *= 2;
		delivery->limited = delivery->rate < RATE_FAST;
	}
}

/*
 * Records how much of the output is delivered.
 */
void
delivery_observe(
    struct delivery *delivery, uint64_t pending, bool unsent, uint64_t now_us)
{
	uint64_t took_us;
	uint64_t bytes;
	uint64_t rate;

	if (pending > delivery_pending(delivery))
		pending = delivery_pending(delivery);
	delivery->delivered = delivery->written - pending;
	if (delivery->span_start_us == 0) {
		start_span(delivery, unsent, now_us);
		return;
	}
	took_us = now_us - delivery->span_start_us;
	bytes = delivery->delivered - delivery->span_bytes;
	bytes =
	    bytes > delivery->span_buffer ? bytes - delivery->span_buffer : 0;
	/* The buffer makes the rate of a shorter time meaningless. */
	rate = bytes * 1000 /
	    ((took_us > SPAN_US ? took_us : SPAN_US) / US_PER_MS);
	if (!unsent)
		delivery->span_limited = false;
	if (rate > delivery->rate)
		delivery->rate = rate;
	if (took_us < SPAN_US)
		return;
	end_span(delivery, rate);
	start_span(delivery, unsent, now_us);
}

/*
 * Returns whether an answer can be delivered soon.  One that is too large for
 * that waits for most of the answers before it, but not for all: the connection
 * should not be idle while its target works.
 */
bool
delivery_is_soon(const struct delivery *delivery, uint64_t ahead,
    uint64_t answer, uint64_t max_us)
{
	uint64_t max = pending_max(delivery, max_us);

	return ahead <= max / BUSY_DIVISOR || ahead + answer <= max;
}

static int
largest_first(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x < y) - (x > y);
}

/*
 * Records the size of an answer.  The first ones count at once: the requests
 * behind them may be waiting.
 */
void
answer_sizes_record(struct answer_sizes *sizes, uint64_t bytes)
{
	uint32_t sorted[ANSWER_SAMPLES];
	unsigned kept;

	sizes->bytes[sizes->count++ % ANSWER_SAMPLES] =
	    bytes < UINT32_MAX ? (uint32_t)bytes : UINT32_MAX;
	if (sizes->count > LARGE_UPDATE_SAMPLES &&
	    sizes->count % LARGE_UPDATE_SAMPLES != 0)
		return;
	kept = sizes->count < ANSWER_SAMPLES ? sizes->count : ANSWER_SAMPLES;
	memcpy(sorted, sizes->bytes, kept * sizeof(*sorted));
	qsort(sorted, kept, sizeof(*sorted), largest_first);
	sizes->large = sorted[kept / LARGE_DIVISOR];
}

/*
 * Returns the size to expect of an answer in bytes.
 */
uint64_t
answer_sizes_expected(const struct answer_sizes *sizes)
{
	return sizes != NULL && sizes->count > 0 ? sizes->large
						 : UNKNOWN_ANSWER_BYTES;
}
