/*
 * A latency histogram with bounded relative error: each power of two is
 * divided into HISTOGRAM_SUB_BUCKETS equal buckets (the layout of HdrHistogram).
 * Recording is wait-free; reading while others record is approximate.
 */
#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	HISTOGRAM_SUB_BITS = 5,
	HISTOGRAM_SUB_BUCKETS = 1 << HISTOGRAM_SUB_BITS,
	HISTOGRAM_POWERS = 36,
	HISTOGRAM_BUCKETS = HISTOGRAM_SUB_BUCKETS * (HISTOGRAM_POWERS + 1)
};

struct histogram {
	_Atomic uint64_t buckets[HISTOGRAM_BUCKETS];
	_Atomic uint64_t count;
	_Atomic uint64_t sum;
	_Atomic uint64_t max;
};

void
histogram_record(struct histogram *histogram, uint64_t value) ATTR_NONNULL_ALL;
uint64_t histogram_quantile(
    const struct histogram *histogram, double quantile) ATTR_NONNULL_ALL;
uint64_t histogram_count_above(
    const struct histogram *histogram, uint64_t value) ATTR_NONNULL_ALL;
void histogram_merge(
    struct histogram *into, const struct histogram *from) ATTR_NONNULL_ALL;
void histogram_clear(struct histogram *histogram) ATTR_NONNULL_ALL;

#endif
