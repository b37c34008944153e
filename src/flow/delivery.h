/*
 * How much may be pending for a caller that sends requests ahead, from how fast
 * its host acknowledges answers.  A target that answers a request whose answer
 * the caller can't be given in time has worked for nothing, and until then the
 * answer takes memory.  Performs no I/O.
 *
 * An acknowledgement shows what a caller takes only while output waits for it;
 * otherwise the rate is a lower bound, and it counts bytes beyond those that
 * the caller's host may have buffered.
 */
#ifndef FLOW_DELIVERY_H
#define FLOW_DELIVERY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	ANSWER_SAMPLES = 32
};

/* Output of a connection. */
struct delivery {
	uint64_t written; /* bytes, in all */
	uint64_t delivered; /* of these, acknowledged when last observed */
	uint64_t rate; /* bytes per second: at least, or about if limited */
	bool limited; /* the caller was seen to take no more */
	/* The span of time over which the rate is measured. */
	uint64_t span_start_us;
	uint64_t span_bytes; /* delivered at its start */
	uint64_t
	    span_buffer; /* bytes that the caller's host may buffer in it */
	bool span_limited; /* output has waited for the caller all along */
};

/* Sizes of the answers of a route. */
struct answer_sizes {
	uint32_t bytes[ANSWER_SAMPLES]; /* of the latest answers */
	unsigned count; /* in all */
	uint32_t large; /* size that most of them do not exceed */
};

void delivery_write(struct delivery *delivery, size_t bytes) ATTR_NONNULL_ALL;
/* How many bytes of the output may not be delivered yet. */
uint64_t delivery_pending(const struct delivery *delivery) ATTR_NONNULL_ALL;

/*
 * Records that pending bytes of the output are not acknowledged; unsent is true
 * if a part of them waits for the caller's host.
 */
void delivery_observe(struct delivery *delivery, uint64_t pending, bool unsent,
    uint64_t now_us) ATTR_NONNULL_ALL;

/*
 * Returns whether an answer of answer bytes, behind ahead bytes that are not
 * delivered yet, can be delivered within max_us, or has next to nothing before
 * it.
 */
bool delivery_is_soon(const struct delivery *delivery, uint64_t ahead,
    uint64_t answer, uint64_t max_us) ATTR_NONNULL_ALL;

void answer_sizes_record(
    struct answer_sizes *sizes, uint64_t bytes) ATTR_NONNULL_ALL;
/* The size to expect of an answer; sizes may be NULL. */
uint64_t answer_sizes_expected(const struct answer_sizes *sizes);

#endif
