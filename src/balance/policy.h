/*
 * The balancing policies: each names one of the eligible targets.  Pure but
 * for the targets' figures that they read.  Internal to src/balance.
 */
#ifndef BALANCE_POLICY_H
#define BALANCE_POLICY_H

#include "balance/balance_defs.h"
#include "balance/latency.h"
#include "balance/target.h"

enum {
	/* Targets examined for one choice, however many there are. */
	POLICY_CANDIDATES = 32
};

/* What one entry knows of the service as a whole. */
struct service_view {
	uint64_t now_us;
	uint64_t draw; /* 64 uniform bits */
	uint64_t cold_start_us;
	struct latency_view latency;
	double other_calls; /* average of other entries' calls on a target */
	double floor_us; /* average lowest latency */
	uint64_t pick_number; /* calls so far */
};

/* Returns the index of the chosen candidate; count is at least 1. */
size_t
policy_choose(enum balance_policy policy, const struct service_view *view,
    struct target *const *candidates, size_t count) ATTR_NONNULL_ALL;
/* The chosen policy's cost of one more call on a target, microseconds. */
double policy_expected_delay_cost(const struct service_view *view,
    const struct target *target) ATTR_NONNULL_ALL;
/* The age at which an attempt on the target is worth a hedge. */
double policy_hedge_age(const struct service_view *view,
    const struct target *target) ATTR_NONNULL_ALL;

#endif
