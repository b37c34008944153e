#include "flow/patience.h"

#include <stdlib.h>
#include <string.h>

enum {
	SAMPLES_MIN = 16,
	SAMPLES_STEP = 8, /* new ones before the usual is looked for again */
	/* Lookup, connection and first bytes take so long at most. */
	SPREAD_MS = 30,
	USUAL_SHARE = 5 /* one of so many requests */
};

static int
longest_first(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x < y) - (x > y);
}

/*
 * Looks for times that many callers have left when they come: those who come
 * for the first time have the same within a few milliseconds, those who come
 * back have any.
 */
static void
find_usual(struct patience *p)
{
	uint32_t sorted[PATIENCE_SAMPLES];
	unsigned kept =
	    p->count < PATIENCE_SAMPLES ? p->count : PATIENCE_SAMPLES;
	unsigned next;

	memcpy(sorted, p->left_ms, kept * sizeof(*sorted));
	qsort(sorted, kept, sizeof(*sorted), longest_first);
	p->usual_count = 0;
	for (unsigned i = 0; i < kept && p->usual_count < PATIENCE_USUAL_MAX;
	     i = next) {
		next = i + 1;
		while (next < kept && sorted[next] + SPREAD_MS >= sorted[i])
			next++;
		if ((next - i) * USUAL_SHARE >= kept)
			p->usual_ms[p->usual_count++] = sorted[i];
		else
			next = i + 1;
	}
}

/*
 * Notes what one caller has left.
 */
void
patience_note(struct patience *p, uint64_t left_ms)
{
	p->left_ms[p->count++ % PATIENCE_SAMPLES] =
	    left_ms < UINT32_MAX ? (uint32_t)left_ms : UINT32_MAX;
	if (p->count >= SAMPLES_MIN && p->count % SAMPLES_STEP == 0)
		find_usual(p);
}

/*
 * Returns for how long a caller has been trying: what it lacks to the next
 * usual time.
 */
uint64_t
patience_spent_ms(const struct patience *p, uint64_t left_ms)
{
	uint64_t spent = 0;

	for (unsigned i = 0; i < p->usual_count; i++) {
		if (p->usual_ms[i] < left_ms)
			break;
		spent = p->usual_ms[i] - left_ms;
	}
	return spent > SPREAD_MS ? spent : 0;
}
