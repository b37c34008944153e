#include "base/random.h"

#include <math.h>

/*
 * Rotates x left by k bits, 1 to 63.
 */
static uint64_t
rotate_left(uint64_t x, int k)
{
	return (x << k) | (x >> (64 - k));
}

/*
 * Seeds the generator; equal seeds give equal sequences.
 */
void
random_seed(struct random *random, uint64_t seed)
{
	for (int i = 0; i < 4; i++) {
		uint64_t z = (seed += UINT64_C(0x9e3779b97f4a7c15));

		z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
		z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
		random->state[i] = z ^ (z >> 31);
	}
}

/*
 * Returns a uniformly distributed 64-bit number.
 */
uint64_t
random_next(struct random *random)
{
	uint64_t *s = random->state;
	uint64_t result = rotate_left(s[1] * 5, 7) * 9;
	uint64_t t = s[1] << 17;

	s[2] ^= s[0];
	s[3] ^= s[1];
	s[1] ^= s[2];
	s[0] ^= s[3];
	s[2] ^= t;
	s[3] = rotate_left(s[3], 45);
	return result;
}

/*
 * Returns a uniformly distributed number from 0 to bound - 1; 0 when bound is
 * 0.
 */
uint64_t
random_below(struct random *random, uint64_t bound)
{
	if (bound == 0)
		return 0;
	return (
	    uint64_t)(((unsigned __int128)random_next(random) * bound) >> 64);
}

/*
 * Returns a uniformly distributed number in [0, 1).
 */
double
random_unit(struct random *random)
{
	return (double)(random_next(random) >> 11) * 0x1.0p-53;
}

/*
 * Returns an exponentially distributed number with the given mean.
 */
double
random_exponential(struct random *random, double mean)
{
	return -mean * log1p(-random_unit(random));
}
