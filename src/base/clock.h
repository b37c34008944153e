/*
 * Clocks, in microseconds.  Modules that decide things take the time as an
 * argument; only programs read it here.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

#define US_PER_MS UINT64_C(1000)
#define US_PER_S UINT64_C(1000000)
#define NS_PER_US UINT64_C(1000)

uint64_t clock_monotonic_us(void);
uint64_t clock_monotonic_ns(void);
/* Includes the time that the machine was suspended. */
uint64_t clock_boot_us(void);
uint64_t clock_wall_us(void);
void clock_sleep_us(uint64_t us);

#endif
