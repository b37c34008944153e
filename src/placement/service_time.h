/*
 * How long work will take: the usual time of each route, and what a target's
 * last report makes of it while the report ages.
 */
#ifndef PLACEMENT_ESTIMATE_H
#define PLACEMENT_ESTIMATE_H

#include <stdint.h>

#include "base/attr.h"

enum {
	ESTIMATE_ROUTES_MAX = 512,
	/* Speeds are redrawn about twice a second on the users' targets. */
	SPEED_CHANGE_US = 500 * 1000,
	ESTIMATE_DEFAULT_WORK_US = 100 * 1000 /* before the first answer */
};

/* Usual time of work on a target of usual speed, by route. */
struct service_time_table {
	struct {
		uint32_t route;
		uint64_t samples;
		double work_us;
	} routes[ESTIMATE_ROUTES_MAX];
	unsigned count;
};

double service_time_estimate(
    const struct service_time_table *table, uint32_t route) ATTR_NONNULL_ALL;
void service_time_record(struct service_time_table *table, uint32_t route,
    double work_us) ATTR_NONNULL_ALL;
/*
 * Slowness, 1 as usual, of which a report said reported age_us ago, when that
 * of the service's mean speed is mean.  Speeds are averaged, not times: work
 * goes on at each speed in turn.
 */
double slowness_decayed(double reported, uint64_t age_us, double mean);
/*
 * Time for work_us on a target that is slow by slowness now and goes back to
 * the mean after SPEED_CHANGE_US.
 */
double work_duration(double work_us, double slowness, double mean);
/* The same on a target whose speed holds for left_us and is redrawn then. */
double work_duration_until_change(
    double work_us, double slowness, double left_us, double mean);

#endif
