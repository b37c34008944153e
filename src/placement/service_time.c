#include "placement/service_time.h"

#include <math.h>
#include <stddef.h>

/* Lower bound of the weight of one sample in the moving average. */
static const double sample_weight_min = 0.05;
/*
 * The same of the long-run average, against which a slow-down is measured: it
 * must change more slowly than the slow-down that it would absorb.
 */
static const double full_speed_weight_min = 0.005;

/*
 * Returns the index of a route, or -1.
 */
static int
route_index(const struct service_time_table *table, uint32_t route)
{
	for (unsigned i = 0; i < table->count; i++) {
		if (table->routes[i].route == route)
			return (int)i;
	}
	return -1;
}

/*
 * Returns the mean of the routes' usual service times in microseconds.
 */
double
service_time_mean(const struct service_time_table *table)
{
	double sum = 0;

	for (unsigned i = 0; i < table->count; i++)
		sum += table->routes[i].work_us;
	return table->count > 0 ? sum / table->count : ESTIMATE_DEFAULT_WORK_US;
}

/*
 * Returns the usual service time of a route in microseconds.  For a route
 * without samples this is the mean of the other routes.
 */
double
service_time_estimate(const struct service_time_table *table, uint32_t route)
{
	int at = route_index(table, route);

	return at >= 0 ? table->routes[at].work_us : service_time_mean(table);
}

bool
service_time_is_known(const struct service_time_table *table, uint32_t route)
{
	return route_index(table, route) >= 0;
}

/*
 * Returns the long-run time of a route at full speed in microseconds, or 0 while
 * it has few samples: the first answers are those of short requests.
 */
double
service_time_full_speed(const struct service_time_table *table, uint32_t route)
{
	int at = route_index(table, route);

	return at >= 0 &&
		(double)table->routes[at].samples * sample_weight_min >= 1
	    ? table->routes[at].full_speed_us
	    : 0;
}

/*
 * Returns the index of a route, which is added if there is room; or -1.
 */
static int
add_route(struct service_time_table *table, uint32_t route, double work_us)
{
	int at = route_index(table, route);

	if (at >= 0 || table->count == ESTIMATE_ROUTES_MAX)
		return at;
	at = (int)table->count++;
	table->routes[at].route = route;
	table->routes[at].samples = 0;
	table->routes[at].work_us = work_us;
	table->routes[at].full_speed_us = work_us;
	return at;
}

/*
 * Adds one sample to a route's averages, in microseconds; spent_us is the
 * measured time divided by the target's slowness, full_speed_us the part of it
 * that the request would have taken on a target almost idle.  Routes beyond
 * ESTIMATE_ROUTES_MAX are ignored.
 */
void
service_time_record(struct service_time_table *table, uint32_t route,
    double spent_us, double full_speed_us)
{
	int at = add_route(table, route, spent_us);
	double share;

	if (at < 0)
		return;
	share = 1.0 / (double)++table->routes[at].samples;
	table->routes[at].work_us += fmax(share, sample_weight_min) *
	    (spent_us - table->routes[at].work_us);
	table->routes[at].full_speed_us += fmax(share, full_speed_weight_min) *
	    (full_speed_us - table->routes[at].full_speed_us);
}

/*
 * Replaces the average of a route by that of another instance, with the weight
 * of the samples that a full average has.
 */
void
service_time_adopt(
    struct service_time_table *table, uint32_t route, double work_us)
{
	int at = add_route(table, route, work_us);

	if (at < 0)
		return;
	table->routes[at].work_us = work_us;
	table->routes[at].full_speed_us = work_us;
	table->routes[at].samples = (uint64_t)(1 / sample_weight_min);
}

/*
 * Returns the expected slowness: the report decays exponentially towards the
 * mean, since the target's speed may have changed after it.
 */
double
slowness_decayed(double reported, uint64_t age_us, double mean)
{
	double kept = exp(-(double)age_us / SPEED_CHANGE_US);

	return reported * kept + mean * (1 - kept);
}

/*
 * Returns the time for work in microseconds.
 */
double
work_duration(double work_us, double slowness, double mean)
{
	if (slowness <= mean)
		return work_us * slowness;
	return work_duration_until_change(
	    work_us, slowness, SPEED_CHANGE_US, mean);
}

/*
 * Returns the time for work in microseconds.
 */
double
work_duration_until_change(
    double work_us, double slowness, double left_us, double mean)
{
	double total_us = work_us * slowness;

	return total_us <= left_us
	    ? total_us
	    : left_us + (work_us - left_us / slowness) * mean;
}
