/*
 * Random draws derived from a number: equal numbers give equal draws, so that
 * a run can be repeated.  Not for cryptography.
 */
#ifndef BALANCE_DRAW_H
#define BALANCE_DRAW_H

#include <stddef.h>
#include <stdint.h>

/*
 * Mixes the bits of a number (the finaliser of splitmix64).
 */
static inline uint64_t
draw_mix(uint64_t x)
{
	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

/* Maps 64 uniform bits to a number below count. */
static inline size_t
draw_below(uint64_t draw, size_t count)
{
	return (size_t)(((unsigned __int128)draw * count) >> 64);
}

#endif
