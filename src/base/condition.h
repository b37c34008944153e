/*
 * Condition variables with deadlines on the monotonic clock.
 */
#ifndef BASE_CONDITION_H
#define BASE_CONDITION_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

void condition_init(pthread_cond_t *condition) ATTR_NONNULL_ALL;
/* False when the deadline, as of clock_monotonic_us(), has passed. */
bool condition_wait(pthread_cond_t *condition, pthread_mutex_t *lock,
    uint64_t deadline_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
