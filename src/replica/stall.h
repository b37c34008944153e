/*
 * How long a replica's process waits for its disk.  Meanwhile it asks and hears
 * nobody, and its timers fire late; peers with such a disk answer as late.
 * Performs no I/O.
 */
#ifndef REPLICA_STALL_H
#define REPLICA_STALL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct stall {
	uint64_t took_us; /* the last one that counts */
	uint64_t ended_us; /* time of its end */
};

/* Records a wait.  Returns whether it counts: shorter ones delay nothing. */
bool stall_record(
    struct stall *stall, uint64_t took_us, uint64_t now_us) ATTR_NONNULL_ALL;
/* Returns the length of the last wait in microseconds, 0 if that is long ago. */
uint64_t
stall_recent_us(const struct stall *stall, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
