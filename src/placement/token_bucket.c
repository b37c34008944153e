#include "placement/token_bucket.h"

#include <math.h>

/*
 * Discards all tokens.
 */
void
token_bucket_empty(struct token_bucket *bucket, uint64_t now_us)
{
	bucket->tokens = 0;
	bucket->updated_us = now_us;
}

/*
 * Returns the tokens at a time.
 */
static double
tokens_at(
    const struct token_bucket *bucket, struct token_rate rate, uint64_t now_us)
{
	double tokens = bucket->tokens;

	if (now_us > bucket->updated_us)
		tokens +=
		    rate.per_s * (double)(now_us - bucket->updated_us) / 1e6;
	return fmin(tokens, rate.capacity);
}

/*
 * Returns whether there is a token for one more request.
 */
bool
token_bucket_allows(
    const struct token_bucket *bucket, struct token_rate rate, uint64_t now_us)
{
	return tokens_at(bucket, rate, now_us) >= 1;
}

/*
 * Takes one token.
 */
void
token_bucket_take(
    struct token_bucket *bucket, struct token_rate rate, uint64_t now_us)
{
	bucket->tokens = fmax(tokens_at(bucket, rate, now_us) - 1, 0);
	if (now_us > bucket->updated_us)
		bucket->updated_us = now_us;
}
