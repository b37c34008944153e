/*
 * Estimates of service times: an average per route, corrected by the target's
 * last reported slowness, which loses weight as it ages.
 */
#ifndef PLACEMENT_SERVICE_TIME_H
#define PLACEMENT_SERVICE_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	ESTIMATE_ROUTES_MAX = 512,
	/* A target's speed changes about twice a second. */
	SPEED_CHANGE_US = 500 * 1000,
	ESTIMATE_DEFAULT_WORK_US = 100 * 1000 /* before the first sample */
};

/* Service time per route on a target of slowness 1. */
struct service_time_table {
	struct {
		uint32_t route;
		uint64_t samples;
		/* recent average, with the usual slow-down by occupancy */
		double work_us;
		double full_speed_us; /* long-run average without it */
	} routes[ESTIMATE_ROUTES_MAX];
	unsigned count;
};

double
service_time_mean(const struct service_time_table *table) ATTR_NONNULL_ALL;
double service_time_estimate(
    const struct service_time_table *table, uint32_t route) ATTR_NONNULL_ALL;
/* Whether a route has an average of its own. */
bool service_time_is_known(
    const struct service_time_table *table, uint32_t route) ATTR_NONNULL_ALL;
/* Long-run time at full speed in microseconds; 0: too few samples. */
double service_time_full_speed(
    const struct service_time_table *table, uint32_t route) ATTR_NONNULL_ALL;
void service_time_record(struct service_time_table *table, uint32_t route,
    double spent_us, double full_speed_us) ATTR_NONNULL_ALL;
/* Starts from the usual work of a route that another instance has learnt. */
void service_time_adopt(struct service_time_table *table, uint32_t route,
    double work_us) ATTR_NONNULL_ALL;
/*
 * Expected slowness (1 is usual) of a target that reported the value age_us
 * ago; mean is the slowness that matches the service's mean speed.  Speeds are
 * averaged rather than times, since a request progresses at each speed in turn.
 */
double slowness_decayed(double reported, uint64_t age_us, double mean);
/*
 * Time in microseconds for work_us on a target of the given slowness, which
 * returns to the mean after SPEED_CHANGE_US.
 */
double work_duration(double work_us, double slowness, double mean);
/* As above, for a target whose speed changes to the mean after left_us. */
double work_duration_until_change(
    double work_us, double slowness, double left_us, double mean);

#endif
