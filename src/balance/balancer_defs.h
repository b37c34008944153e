/*
 * Definitions shared by the source files of the balancer: the set of targets
 * (balancer.c), the choice of a target (balancer_pick.c) and the evaluation of
 * finished attempts and of reports (balancer_feedback.c).
 */
#ifndef BALANCE_BALANCER_DEFS_H
#define BALANCE_BALANCER_DEFS_H

#include <pthread.h>

#include "balance/balance.h"
#include "balance/latency.h"
#include "balance/target_set.h"

struct balancer {
	struct target_set *set; /* published by RCU */
	pthread_mutex_t write_lock;
	uint64_t seed;
	_Atomic uint32_t policy;
	_Atomic uint64_t cold_start_us;
	_Atomic uint32_t eject_percent;
	_Atomic uint64_t pick_number;
	_Atomic uint64_t targets_examined; /* by all picks */
	struct latency_profile latency; /* in excess of the targets' floors */
	_Atomic double other_calls;
	_Atomic double floor_us;
	_Atomic uint64_t last_backoff_us; /* latest end of all backoffs */
};

/* Records the end of a backoff in last_backoff_us. */
void balancer_note_backoff(
    struct balancer *balancer, uint64_t until_us) ATTR_NONNULL_ALL;

#endif
