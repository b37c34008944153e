/*
 * Good and bad events over a sliding window: a ring of buckets of equal width,
 * the current one and as many complete ones as the window has.
 */
#ifndef BURN_BURN_WINDOW_H
#define BURN_BURN_WINDOW_H

#include <stdint.h>

#include "base/attr.h"

enum {
	BURN_WINDOW_BUCKETS = 12
};

struct burn_bucket {
	uint64_t good;
	uint64_t bad;
};

struct burn_window {
	uint64_t width_us; /* of one bucket */
	uint64_t current; /* index of the newest bucket since time 0 */
	struct burn_bucket buckets[BURN_WINDOW_BUCKETS + 1];
};

void burn_window_init(
    struct burn_window *window, uint64_t window_us) ATTR_NONNULL_ALL;
void burn_window_add(struct burn_window *window, uint64_t good, uint64_t bad,
    uint64_t now_us) ATTR_NONNULL_ALL;
struct burn_bucket burn_window_sum(
    const struct burn_window *window, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
