/*
 * One target as known to one entry: its announcement, and statistics that any
 * thread updates with atomics.  Internal to src/balance.
 */
#ifndef BALANCE_TARGET_H
#define BALANCE_TARGET_H

#include <stdatomic.h>

#include "balance/balance_defs.h"
#include "balance/straggler.h"
#include "balance/trust.h"
#include "base/refcount.h"

enum {
	/* Limit of the outstanding attempts per target whose start is kept. */
	TARGET_START_TIMES = 24,
	TARGET_START_INDEX_NONE = 255
};

struct target {
	struct refcount refs;
	struct str id;
	struct str address;
	struct str failure_domain;
	uint64_t hash; /* of the id */
	_Atomic uint32_t slots;
	_Atomic uint32_t connections;
	_Atomic uint32_t state; /* enum balance_state */
	_Atomic uint64_t incarnation;
	_Atomic uint64_t announced_us; /* start of the cold start */
	_Atomic bool draining; /* according to its own report */
	_Atomic uint64_t backoff_until_us; /* as it asked; 0: never */

	_Atomic int32_t in_flight; /* of this entry */
	_Atomic uint64_t start_times[TARGET_START_TIMES]; /* 0: free */

	_Atomic double latency_us; /* peak-sensitive average */
	_Atomic uint64_t answered_us; /* when last answered */
	_Atomic uint64_t answers;
	_Atomic double error_rate; /* 0 to 1, over recent attempts */
	_Atomic uint32_t consecutive_errors; /* errors since the last answer */
	_Atomic uint64_t ejected_until_us;
	_Atomic uint32_t ejections; /* consecutive; lengthens the next */

	_Atomic uint32_t reported; /* calls in flight by its last report */
	_Atomic uint32_t reported_other_calls; /* of other entries */
	_Atomic uint64_t reported_us; /* time of the report; 0: never */
	_Atomic uint64_t probed_us;
	_Atomic double other_calls; /* average of reported_other_calls */
	_Atomic double floor_us; /* lowest latency: transit and fixed work */
	struct straggler straggler;
	struct trust trust;
};

struct target *target_new(const struct balance_target_info *info,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void target_put(struct target *target) ATTR_NONNULL_ALL;
void target_update(struct target *target,
    const struct balance_target_info *info, uint64_t now_us) ATTR_NONNULL_ALL;
/* Sets the end of a backoff, unless a later one is set. */
void
target_set_backoff(struct target *target, uint64_t until_us) ATTR_NONNULL_ALL;
/*
 * Counts an attempt as in flight.  Returns the index of its start time, to be
 * passed to target_end().
 */
unsigned target_begin(struct target *target, uint64_t now_us) ATTR_NONNULL_ALL;
void target_end(struct target *target, unsigned start_index) ATTR_NONNULL_ALL;
/*
 * Returns how many outstanding attempts had certainly reached the target when
 * it sent an answer.
 */
uint32_t target_arrived_calls(
    const struct target *target, uint64_t now_us) ATTR_NONNULL_ALL;
uint64_t target_oldest_age(
    const struct target *target, uint64_t now_us) ATTR_NONNULL_ALL;
/* Updates the averages with the latency of an answer. */
void target_observe(struct target *target, uint64_t latency_us,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* Records a report and updates the trust in the target's reports. */
void target_record_report(struct target *target,
    const struct balance_report *report, uint64_t now_us) ATTR_NONNULL_ALL;

static inline int32_t
target_in_flight(const struct target *target)
{
	return atomic_load_explicit(&target->in_flight, memory_order_relaxed);
}

static inline uint32_t
target_slots(const struct target *target)
{
	uint32_t slots =
	    atomic_load_explicit(&target->slots, memory_order_relaxed);

	return slots > 0 ? slots : 1;
}

/* Returns whether the target is draining, by its announcement or report. */
static inline bool
target_is_draining(const struct target *target)
{
	return atomic_load(&target->state) == BALANCE_DRAINING ||
	    atomic_load(&target->draining);
}

/* Returns whether the target asked this entry to back off until later. */
static inline bool
target_is_in_backoff(const struct target *target, uint64_t now_us)
{
	return atomic_load_explicit(
		   &target->backoff_until_us, memory_order_relaxed) > now_us;
}

/* Returns whether the target is currently ejected for its errors. */
static inline bool
target_is_ejected(const struct target *target, uint64_t now_us)
{
	return atomic_load(&target->ejected_until_us) > now_us;
}

#endif
