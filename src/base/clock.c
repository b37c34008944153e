#include "base/clock.h"

#include <errno.h>
#include <time.h>

/*
 * Reads a system clock in nanoseconds.
 */
static uint64_t
read_ns(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * US_PER_S * NS_PER_US +
	    (uint64_t)ts.tv_nsec;
}

/*
 * Returns monotonic time in microseconds, from an unspecified start.
 */
uint64_t
clock_monotonic_us(void)
{
	return read_ns(CLOCK_MONOTONIC) / NS_PER_US;
}

/*
 * Returns monotonic time in nanoseconds, from an unspecified start.
 */
uint64_t
clock_monotonic_ns(void)
{
	return read_ns(CLOCK_MONOTONIC);
}

/*
 * Returns monotonic time in microseconds, including time spent suspended.
 * Leases need this clock, so that a lease that ended while its holder was
 * suspended has expired when the holder resumes.
 */
uint64_t
clock_boot_us(void)
{
	return read_ns(CLOCK_BOOTTIME) / NS_PER_US;
}

/*
 * Returns microseconds since 1970 UTC.  This clock may jump in both
 * directions.
 */
uint64_t
clock_wall_us(void)
{
	return read_ns(CLOCK_REALTIME) / NS_PER_US;
}

/*
 * Sleeps for at least us microseconds.
 */
void
clock_sleep_us(uint64_t us)
{
	struct timespec ts = {
	    .tv_sec = (time_t)(us / US_PER_S),
	    .tv_nsec = (long)((us % US_PER_S) * NS_PER_US),
	};

	while (clock_nanosleep(CLOCK_MONOTONIC, 0, &ts, &ts) == EINTR)
		continue;
}
