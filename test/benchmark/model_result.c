#include <stdlib.h>

#include "base/memory.h"
#include "model.h"

enum {
	RECORD_START = 1024
};

/*
 * Records the latency of an answered call.
 */
void
model_result_record(struct model_result *result, uint64_t latency_us)
{
	size_t n = result->answered++;

	if (n == 0)
		result->latencies_us =
		    mem_alloc(RECORD_START * sizeof(uint32_t));
	else if (n >= RECORD_START && (n & (n - 1)) == 0)
		result->latencies_us =
		    mem_resize(result->latencies_us, 2 * n * sizeof(uint32_t));
	result->latencies_us[n] =
	    latency_us < UINT32_MAX ? (uint32_t)latency_us : UINT32_MAX;
	result->sorted = false;
}

static int
compare(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/*
 * Returns a quantile of the latencies in milliseconds; 0 if there are none.
 */
double
model_result_quantile_ms(struct model_result *result, double quantile)
{
	size_t rank = (size_t)(quantile * (double)result->answered);

	if (result->answered == 0)
		return 0.0;
	if (!result->sorted)
		qsort(result->latencies_us, result->answered, sizeof(uint32_t),
		    compare);
	result->sorted = true;
	if (rank >= result->answered)
		rank = result->answered - 1;
	return result->latencies_us[rank] / (double)US_PER_MS;
}

/*
 * Frees the latencies.
 */
void
model_result_free(struct model_result *result)
{
	mem_free(result->latencies_us);
	result->latencies_us = NULL;
	result->answered = 0;
}
