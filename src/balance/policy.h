/*
 * The balancing policies: each selects one of the eligible targets, without
 * side effects; they read the targets' statistics.  Internal to src/balance.
 */
#ifndef BALANCE_POLICY_H
#define BALANCE_POLICY_H

#include "balance/balance_defs.h"
#include "balance/latency.h"
#include "balance/target.h"

enum {
	/* Limit of targets examined for one choice. */
	POLICY_CANDIDATES = 32
};

/* State of the service as known to one entry. */
struct service_view {
	uint64_t now_us;
	uint64_t draw; /* 64 uniform bits */
	uint64_t cold_start_us;
	struct latency_view latency;
	double other_calls; /* average calls of other entries on a target */
	double floor_us; /* average of the lowest latencies */
	uint64_t pick_number; /* number of picks so far */
};

/* Returns the index of the chosen candidate; count is at least 1. */
size_t
policy_choose(enum balance_policy policy, const struct service_view *view,
    struct target *const *candidates, size_t count) ATTR_NONNULL_ALL;
/*
 * Returns the cost of one more call on a target under the expected-delay
 * policy, in microseconds.
 */
double policy_expected_delay_cost(const struct service_view *view,
    const struct target *target) ATTR_NONNULL_ALL;
/*
 * Returns the age in microseconds from which an attempt on the target is worth
 * a hedge.
 */
double policy_hedge_age(const struct service_view *view,
    const struct target *target) ATTR_NONNULL_ALL;

#endif
