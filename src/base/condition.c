#include "base/condition.h"

#include <time.h>

#include "base/clock.h"

/*
 * Initialises a condition variable for condition_wait();
 * pthread_cond_destroy() releases it.
 */
void
condition_init(pthread_cond_t *condition)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(condition, &attr);
	pthread_condattr_destroy(&attr);
}

/*
 * Waits, with lock held, until the condition is signalled (returns true) or
 * the deadline, in microseconds of clock_monotonic_us(), has passed (returns
 * false).  Wake-ups may be spurious, so the caller must check its condition
 * again.
 */
bool
condition_wait(
    pthread_cond_t *condition, pthread_mutex_t *lock, uint64_t deadline_us)
{
	struct timespec until = {
	    .tv_sec = (time_t)(deadline_us / US_PER_S),
	    .tv_nsec = (long)((deadline_us % US_PER_S) * NS_PER_US),
	};

	return pthread_cond_timedwait(condition, lock, &until) == 0;
}
