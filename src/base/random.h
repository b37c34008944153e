/*
 * Seeded pseudo-random numbers (xoshiro256**, Blackman and Vigna 2018,
 * seeded by splitmix64).  Not cryptographically secure.
 */
#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

#include "base/attr.h"

struct random {
	uint64_t state[4];
};

void random_seed(struct random *random, uint64_t seed) ATTR_NONNULL_ALL;
uint64_t random_next(struct random *random) ATTR_NONNULL_ALL;
uint64_t random_below(struct random *random, uint64_t bound) ATTR_NONNULL_ALL;
double random_unit(struct random *random) ATTR_NONNULL_ALL;
double random_exponential(struct random *random, double mean) ATTR_NONNULL_ALL;

#endif
