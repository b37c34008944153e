#include "base/histogram.h"

/*
 * Returns the bucket of a value.  Each value below HISTOGRAM_SUB_BUCKETS has a
 * bucket of its own; each power of two above is divided into
 * HISTOGRAM_SUB_BUCKETS equal buckets.  The last bucket also holds all larger
 * values.
 */
static unsigned
bucket_index(uint64_t value)
{
	unsigned power;
	unsigned bucket;

	if (value < HISTOGRAM_SUB_BUCKETS)
		return (unsigned)value;
	power = 63u - (unsigned)__builtin_clzll(value) - HISTOGRAM_SUB_BITS;
	bucket = (power + 1) * HISTOGRAM_SUB_BUCKETS +
	    (unsigned)((value >> power) - HISTOGRAM_SUB_BUCKETS);
	if (bucket >= HISTOGRAM_BUCKETS)
		return HISTOGRAM_BUCKETS - 1;
	return bucket;
}

/*
 * Returns the largest value that falls into the bucket.
 */
static uint64_t
bucket_max_value(unsigned bucket)
{
	unsigned power;

	if (bucket < HISTOGRAM_SUB_BUCKETS)
		return bucket;
	power = bucket / HISTOGRAM_SUB_BUCKETS - 1;
	return (((uint64_t)(bucket % HISTOGRAM_SUB_BUCKETS) +
		    HISTOGRAM_SUB_BUCKETS + 1)
		   << power) -
	    1;
}

/*
 * Records one value, of any unit.  May be called by any thread.
 */
void
histogram_record(struct histogram *histogram, uint64_t value)
{
	uint64_t max =
	    atomic_load_explicit(&histogram->max, memory_order_relaxed);

	atomic_fetch_add_explicit(
	    &histogram->buckets[bucket_index(value)], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->count, 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->sum, value, memory_order_relaxed);
	while (value > max &&
	    !atomic_compare_exchange_weak(&histogram->max, &max, value))
		continue;
}

/*
 * Returns the value at a quantile in [0, 1], at most 1/32 too high; 0 when
 * the histogram is empty.
 */
uint64_t
histogram_quantile(const struct histogram *histogram, double quantile)
{
	uint64_t count = atomic_load(&histogram->count);
	uint64_t max = atomic_load(&histogram->max);
	uint64_t rank = (uint64_t)(quantile * (double)count);
	uint64_t seen = 0;

	if (count == 0)
		return 0;
	if (rank >= count)
		rank = count - 1;
	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += atomic_load_explicit(
		    &histogram->buckets[i], memory_order_relaxed);
		if (seen > rank)
			return bucket_max_value(i) < max ? bucket_max_value(i)
							 : max;
	}
	return max;
}

/*
 * Returns the number of recorded values in buckets above that of value.
 */
uint64_t
histogram_count_above(const struct histogram *histogram, uint64_t value)
{
	uint64_t above = 0;

	for (unsigned i = bucket_index(value) + 1; i < HISTOGRAM_BUCKETS; i++)
		above += atomic_load_explicit(
		    &histogram->buckets[i], memory_order_relaxed);
	return above;
}

/*
 * Adds the counts of one histogram to another.  No other thread may record into
 * the destination, since its maximum is not updated atomically.
 */
void
histogram_merge(struct histogram *into, const struct histogram *from)
{
	uint64_t max = atomic_load(&from->max);

	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
		into->buckets[i] += atomic_load_explicit(
		    &from->buckets[i], memory_order_relaxed);
	into->count += atomic_load(&from->count);
	into->sum += atomic_load(&from->sum);
	if (max > into->max)
		into->max = max;
}

/*
 * Clears the histogram.  No other thread may be recording.
 */
void
histogram_clear(struct histogram *histogram)
{
	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
		atomic_store(&histogram->buckets[i], 0);
	atomic_store(&histogram->count, 0);
	atomic_store(&histogram->sum, 0);
	atomic_store(&histogram->max, 0);
}
