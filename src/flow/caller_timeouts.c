#include "flow/caller_timeouts.h"

#include <stdlib.h>
#include <string.h>

enum {
	SAMPLES_MIN = 16,
	MODES_UPDATE_SAMPLES = 8, /* samples between two updates of the modes */
	/* Upper bound of the time for lookup, connect and the first bytes. */
	TIMEOUT_TOLERANCE_MS = 30,
	MODE_SHARE_DIVISOR = 5 /* a fifth of the requests */
};

static int
longest_first(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x < y) - (x > y);
}

/*
 * Finds the remaining times that are common among the samples.  First tries of
 * callers with the same timeout differ by a few milliseconds; retries have any
 * remaining time.
 */
static void
find_modes(struct caller_timeouts *timeouts)
{
	uint32_t sorted[CALLER_TIMEOUT_SAMPLES];
	unsigned kept = timeouts->count < CALLER_TIMEOUT_SAMPLES
	    ? timeouts->count
	    : CALLER_TIMEOUT_SAMPLES;
	unsigned next;

	memcpy(sorted, timeouts->left_ms, kept * sizeof(*sorted));
	qsort(sorted, kept, sizeof(*sorted), longest_first);
	timeouts->mode_count = 0;
	for (unsigned i = 0;
	     i < kept && timeouts->mode_count < CALLER_TIMEOUT_MODES_MAX;
	     i = next) {
		next = i + 1;
		while (next < kept &&
		    sorted[next] + TIMEOUT_TOLERANCE_MS >= sorted[i])
			next++;
		if ((next - i) * MODE_SHARE_DIVISOR >= kept)
			timeouts->modes_ms[timeouts->mode_count++] = sorted[i];
		else
			next = i + 1;
	}
}

/*
 * Records the remaining time of a request's caller.
 */
void
caller_timeouts_record(struct caller_timeouts *timeouts, uint64_t left_ms)
{
	timeouts->left_ms[timeouts->count++ % CALLER_TIMEOUT_SAMPLES] =
	    left_ms < UINT32_MAX ? (uint32_t)left_ms : UINT32_MAX;
	if (timeouts->count >= SAMPLES_MIN &&
	    timeouts->count % MODES_UPDATE_SAMPLES == 0)
		find_modes(timeouts);
}

/*
 * Returns how long a caller has been trying, in milliseconds: the difference of
 * its remaining time to the next larger usual timeout.
 */
uint64_t
caller_timeouts_elapsed_ms(
    const struct caller_timeouts *timeouts, uint64_t left_ms)
{
	uint64_t spent = 0;

	for (unsigned i = 0; i < timeouts->mode_count; i++) {
		if (timeouts->modes_ms[i] < left_ms)
			break;
		spent = timeouts->modes_ms[i] - left_ms;
	}
	return spent > TIMEOUT_TOLERANCE_MS ? spent : 0;
}
