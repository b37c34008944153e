/*
 * What the parts of the balancer share: the targets and their making
 * (balancer.c), the choice (balancer_pick.c) and what is learnt from an
 * attempt's end (balancer_learn.c).
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
	_Atomic uint64_t targets_examined; /* targets looked at by all picks */
	struct latency_profile latency; /* above the targets' floors */
	_Atomic double other_calls;
	_Atomic double floor_us;
};

#endif
