/*
 * Speed of one request by the occupancy of its target, learnt for a service
 * from its answers.  Answers the load pattern of a service near or above its
 * capacity whose targets slow down as their slots fill: there the last slots
 * can lower the number of requests that a target completes.
 *
 * A target's fill is divided into OCCUPANCY_LEVELS equal levels.  A request
 * that spent exposure[i] at level i has done the work sum(exposure[i] *
 * speed[i]); in the mean over the answers this is the usual work of its route,
 * at whatever levels they ran.  The speeds are the solution of that equation
 * for the answers weighted by their share of time at each level, so that the
 * spread of the work itself does not count as slow-down.  A level without
 * answers is as fast as the one below it; answers lose weight by number, so
 * that an avoided level is tried again.  Performs no I/O.
 */
#ifndef PLACEMENT_OCCUPANCY_CURVE_H
#define PLACEMENT_OCCUPANCY_CURVE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	OCCUPANCY_LEVELS = 8,
	/* Steps of the slow-down that answers would have stood, from 1 up. */
	HEADROOM_STEPS = 16
};

struct occupancy_curve {
	double speed[OCCUPANCY_LEVELS]; /* 1: that of a target almost idle */
	/* weight of the answers by level */
	double samples[OCCUPANCY_LEVELS];
	/* their time at each level in units of the usual work, by level */
	double time[OCCUPANCY_LEVELS][OCCUPANCY_LEVELS];
	/*
	 * Weight of the answers by the slow-down with which they would still
	 * have been in time, and of all answers.
	 */
	double headroom[HEADROOM_STEPS];
	double headroom_sum;
	/* in-time answers per request and time, by level; up to a factor */
	double goodput[OCCUPANCY_LEVELS];
	unsigned unsolved; /* answers since the speeds were computed */
};

/*
 * Time that a request has spent at each level, in microseconds at slowness 1.
 */
struct occupancy_exposure {
	double us[OCCUPANCY_LEVELS];
};

void occupancy_curve_init(struct occupancy_curve *curve) ATTR_NONNULL_ALL;
/* Level of a target with this many requests; occupied is at least 1. */
unsigned occupancy_level(unsigned occupied, unsigned slots);
/* Speed of each of that many requests on a target, 0 to 1. */
double occupancy_curve_speed(const struct occupancy_curve *curve,
    unsigned occupied, unsigned slots) ATTR_NONNULL_ALL;
/* Number of requests with which a target completes the most of them in time. */
unsigned occupancy_curve_useful_slots(
    const struct occupancy_curve *curve, unsigned slots) ATTR_NONNULL_ALL;
/* The same, or less for a target whose turn it is to show a lower level. */
unsigned occupancy_curve_limit(const struct occupancy_curve *curve,
    unsigned slots, unsigned turn) ATTR_NONNULL_ALL;
/* Work in microseconds that an exposure amounts to. */
double occupancy_curve_work(const struct occupancy_curve *curve,
    const struct occupancy_exposure *exposure) ATTR_NONNULL_ALL;
/* Speeds in percent for another instance; 0: unknown. */
void occupancy_curve_export(const struct occupancy_curve *curve,
    uint8_t speed[OCCUPANCY_LEVELS]) ATTR_NONNULL_ALL;
/* Starts from the speeds that another instance has learnt. */
void occupancy_curve_adopt(struct occupancy_curve *curve,
    const uint8_t speed[OCCUPANCY_LEVELS]) ATTR_NONNULL_ALL;
/* Whether nothing was learnt or adopted yet. */
bool
occupancy_curve_is_empty(const struct occupancy_curve *curve) ATTR_NONNULL_ALL;
/*
 * Learns from one answer; usual_us is the usual work of its route.  headroom is
 * the time it had until its objective, in units of what it would have taken at
 * full speed.
 */
void occupancy_curve_record(struct occupancy_curve *curve,
    const struct occupancy_exposure *exposure, double usual_us,
    double headroom) ATTR_NONNULL_ALL;

#endif
