/*
 * Bounds of the numbers in messages between instances, applied where a message
 * is decoded.  A message with a field out of its bounds is not processed.
 */
#ifndef WIRE_FLEET_BOUNDS_H
#define WIRE_FLEET_BOUNDS_H

#include <stdint.h>

#include "base/attr.h"
#include "wire/fleet.pb-c.h"

enum {
	/* Requests at a target, or its slots. */
	FLEET_LOAD_REQUESTS_MAX = UINT16_MAX,
	/* Time of a target in percent: a thousand times the usual. */
	FLEET_LOAD_SLOWNESS_MAX = 1000 * 100,
	/* An hour; a route's timeout is at most ten minutes. */
	FLEET_DURATION_MAX_MS = 3600 * 1000,
	FLEET_SENDS_MAX = 64, /* of one request */
	FLEET_EXCLUDED_MAX = 6, /* targets in one ask */
	FLEET_ENDED_MAX = 8, /* earlier asks in one ask */
	FLEET_PARTS_MAX = 64, /* of a service */
	FLEET_OUTCOME_MAX = 5, /* enum placement_outcome */
	FLEET_REASON_MIN = 1, /* enum placement_reason */
	FLEET_REASON_MAX = 3,
	FLEET_SPEED_LEVELS = 8, /* of a target's occupancy */
	FLEET_SPEED_MAX = 100, /* percent */
	FLEET_ROUTES_MAX = 64, /* in one estimate */
	/* A service's name, and the numbers of a part. */
	FLEET_SERVICE_BYTES = 216,
	FLEET_MILLIS_MAX = 1024 * 1000, /* 1,024 cores, in thousandths */
	FLEET_LINK_MAX_KBPS = 1000 * 1000 * 1000, /* 1 Tbit/s */
	FLEET_ENTRIES_MAX = 1 << 16,
	FLEET_CONTROLS_MAX = 64,
	FLEET_TARGETS_MAX = 1 << 16, /* in one list */
	FLEET_NAME_BYTES = 128, /* of a client account or a failure domain */
	FLEET_EVACUATIONS_MAX = 256, /* failure domains */
	FLEET_TOKENS_MAX = 64, /* of one draw or return */
	/* Of a service or a part of it, in hundredths of its useful slots. */
	FLEET_LOAD_MAX = 1000
};

/* Work of a request: an hour, in microseconds. */
#define FLEET_WORK_MAX_US (UINT32_C(3600) * 1000 * 1000)
/* The last millisecond of the year 9999. */
#define FLEET_TIME_MAX_MS UINT64_C(253402300799999)

/* Rate that a target names, in millionths of a request per second. */
#define FLEET_RATE_MAX_MICROS UINT64_C(1000000000000)

/* Requests per second, or requests, of one client account. */
#define FLEET_ALLOWANCE_MAX 1e9

/* Returns the smaller number: the value that a sender writes into a field. */
static inline uint32_t
fleet_clamp(uint64_t value, uint32_t max)
{
	return value < max ? (uint32_t)value : max;
}

/* The name of a field out of its bounds; NULL if there is none. */
const char *fleet_datagram_fault(
    const Fleet__Datagram *datagram) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
const char *fleet_frame_fault(
    const Fleet__Frame *frame) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
const char *fleet_estimate_fault(
    const Fleet__Estimate *estimate) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
const char *fleet_quarantine_fault(
    const Fleet__Quarantine *quarantine) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
