#include "burn/burn_window.h"

#include <string.h>

enum {
	RING_BUCKETS = BURN_WINDOW_BUCKETS + 1
};

/*
 * Initializes an empty window.
 */
void
burn_window_init(struct burn_window *window, uint64_t window_us)
{
	memset(window, 0, sizeof(*window));
	window->width_us = window_us / BURN_WINDOW_BUCKETS;
	if (window->width_us == 0)
		window->width_us = 1;
}

/*
 * Advances to a bucket and clears those skipped.
 */
static void
advance_to(struct burn_window *window, uint64_t bucket)
{
	uint64_t passed = bucket - window->current;

	if (bucket <= window->current)
		return;
	if (passed > RING_BUCKETS)
		passed = RING_BUCKETS;
	for (uint64_t i = 0; i < passed; i++)
		window->buckets[(bucket - i) % RING_BUCKETS] =
		    (struct burn_bucket){0};
	window->current = bucket;
}

/*
 * Counts events at a time; events older than the newest bucket count in it.
 */
void
burn_window_add(
    struct burn_window *window, uint64_t good, uint64_t bad, uint64_t now_us)
{
	struct burn_bucket *bucket;

	advance_to(window, now_us / window->width_us);
	bucket = &window->buckets[window->current % RING_BUCKETS];
	bucket->good += good;
	bucket->bad += bad;
}

/*
 * Returns the events of the last window and up to one additional bucket.
 */
struct burn_bucket
burn_window_sum(const struct burn_window *window, uint64_t now_us)
{
	struct burn_bucket sum = {0};
	uint64_t now = now_us / window->width_us;

	for (uint64_t i = 0; i < RING_BUCKETS && i <= window->current; i++) {
		uint64_t index = window->current - i;

		if (now > index && now - index > BURN_WINDOW_BUCKETS)
			break;
		sum.good += window->buckets[index % RING_BUCKETS].good;
		sum.bad += window->buckets[index % RING_BUCKETS].bad;
	}
	return sum;
}
