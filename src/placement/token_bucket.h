/*
 * Token bucket for the requests that a target tolerates in a time.  It starts
 * empty: what the target got before is unknown.  Performs no I/O; the time is
 * an argument.
 */
#ifndef PLACEMENT_TOKEN_BUCKET_H
#define PLACEMENT_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

/* Tokens per second, and the most that are kept. */
struct token_rate {
	double per_s;
	double capacity;
};

struct token_bucket {
	double tokens;
	uint64_t updated_us;
};

/* Discards all tokens. */
void token_bucket_empty(
    struct token_bucket *bucket, uint64_t now_us) ATTR_NONNULL_ALL;
/* Whether one more request stays within a rate. */
bool token_bucket_allows(const struct token_bucket *bucket,
    struct token_rate rate, uint64_t now_us) ATTR_NONNULL_ALL;
/* Takes the token of one request. */
void token_bucket_take(struct token_bucket *bucket, struct token_rate rate,
    uint64_t now_us) ATTR_NONNULL_ALL;

#endif
