/*
 * Distribution of a service's latencies in excess of each target's floor, as
 * three tracked quantiles.  Internal to src/balance.
 */
#ifndef BALANCE_LATENCY_H
#define BALANCE_LATENCY_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	LATENCY_QUANTILES = 3 /* levels 0.5, 0.9 and 0.99 */
};

struct latency_profile {
	_Atomic uint64_t observed;
	_Atomic double mean_us;
	_Atomic double quantiles_us[LATENCY_QUANTILES];
};

/* A copy that stays unchanged during one decision. */
struct latency_view {
	bool known; /* enough latencies observed */
	double mean_us;
	double quantiles_us[LATENCY_QUANTILES];
};

void latency_profile_observe(
    struct latency_profile *profile, double latency_us) ATTR_NONNULL_ALL;
struct latency_view
latency_profile_view(const struct latency_profile *profile) ATTR_NONNULL_ALL;
/*
 * Returns the surprisal of a latency: minus the natural logarithm of the share
 * of latencies above it.
 */
double latency_surprisal(
    const struct latency_view *view, double latency_us) ATTR_NONNULL_ALL;
/* Returns the latency with a given surprisal: the inverse. */
double latency_at_surprisal(
    const struct latency_view *view, double surprisal) ATTR_NONNULL_ALL;

#endif
