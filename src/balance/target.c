#include "balance/target.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"

/* Time constant with which a peak of the latency average decays. */
#define PEAK_DECAY_US (1000.0 * US_PER_MS)
/* Weight of a latency above the floor in the floor, so that it can rise. */
#define FLOOR_WEIGHT 0.002
/* Weight of one report in the average of other entries' calls. */
#define OTHERS_WEIGHT 0.1

/*
 * Returns a target with one reference.
 */
struct target *
target_new(const struct balance_target_info *info, uint64_t now_us)
{
	struct target *target = mem_calloc(1, sizeof(*target));

	refcount_init(&target->refs);
	target->id = str_of(str_dup(info->id), info->id.len);
	target->address = str_of(str_dup(info->address), info->address.len);
	target->failure_domain =
	    str_of(str_dup(info->failure_domain), info->failure_domain.len);
	target->hash = str_hash(info->id);
	target->announced_us = now_us;
	target_update(target, info, now_us);
	return target;
}

/*
 * Releases a reference; the last one frees the target.
 */
void
target_put(struct target *target)
{
	if (!refcount_put(&target->refs))
		return;
	INVARIANT(target_in_flight(target) == 0, "target freed while in use");
	mem_free((void *)target->id.data);
	mem_free((void *)target->address.data);
	mem_free((void *)target->failure_domain.data);
	mem_free(target);
}

/*
 * Updates a target from an announcement.  A target that becomes cold starts
 * its ramp-up again.
 */
void
target_update(struct target *target, const struct balance_target_info *info,
    uint64_t now_us)
{
	uint32_t before = atomic_exchange(&target->state, info->state);

	if (info->state == BALANCE_COLD && before != BALANCE_COLD)
		atomic_store(&target->announced_us, now_us);
	if (info->state != BALANCE_DRAINING && before == BALANCE_DRAINING)
		atomic_store(&target->draining, false);
	atomic_store(&target->slots, info->slots);
	atomic_store(&target->connections, info->connections);
	atomic_store(&target->incarnation, info->incarnation);
	target_set_backoff(target, info->backoff_until_us);
}

/*
 * Sets the end of a backoff, unless a later one is set.
 */
void
target_set_backoff(struct target *target, uint64_t until_us)
{
	uint64_t known = atomic_load(&target->backoff_until_us);

	while (known < until_us &&
	    !atomic_compare_exchange_weak(
		&target->backoff_until_us, &known, until_us))
		;
}

/*
 * Counts an attempt as in flight and keeps its start time if there is room.
 */
unsigned
target_begin(struct target *target, uint64_t now_us)
{
	uint64_t start = now_us > 0 ? now_us : 1;

	atomic_fetch_add_explicit(&target->in_flight, 1, memory_order_relaxed);
	for (unsigned i = 0; i < TARGET_START_TIMES; i++) {
		uint64_t expected = 0;

		if (atomic_load_explicit(
			&target->start_times[i], memory_order_relaxed) != 0)
			continue;
		if (atomic_compare_exchange_strong(
			&target->start_times[i], &expected, start))
			return i;
	}
	return TARGET_START_INDEX_NONE;
}

/*
 * Ends an attempt begun with target_begin().
 */
void
target_end(struct target *target, unsigned start_index)
{
	int32_t before = atomic_fetch_sub_explicit(
	    &target->in_flight, 1, memory_order_relaxed);

	INVARIANT(before > 0, "attempt ended twice");
	if (start_index < TARGET_START_TIMES)
		atomic_store_explicit(
		    &target->start_times[start_index], 0, memory_order_release);
}

/*
 * Returns the age of the oldest outstanding attempt in microseconds, or 0 if
 * there is none.
 */
uint64_t
target_oldest_age(const struct target *target, uint64_t now_us)
{
	uint64_t oldest = UINT64_MAX;
	int32_t remaining = target_in_flight(target);

	for (unsigned i = 0; i < TARGET_START_TIMES && remaining > 0; i++) {
		uint64_t start = atomic_load_explicit(
		    &target->start_times[i], memory_order_relaxed);

		if (start == 0)
			continue;
		remaining--;
		if (start < oldest)
			oldest = start;
	}
	return oldest < now_us ? now_us - oldest : 0;
}

/*
 * Returns how many outstanding attempts had reached the target when it sent an
 * answer that arrives now: those started at least a round trip ago.
 */
uint32_t
target_arrived_calls(const struct target *target, uint64_t now_us)
{
	uint64_t transit = (uint64_t)atomic_load(&target->floor_us);
	uint32_t arrived = 0;
	int32_t remaining = target_in_flight(target);

	for (unsigned i = 0; i < TARGET_START_TIMES && remaining > 0; i++) {
		uint64_t start = atomic_load_explicit(
		    &target->start_times[i], memory_order_relaxed);

		if (start == 0)
			continue;
		remaining--;
		arrived += start + transit <= now_us;
	}
	return arrived;
}

/*
 * Tracks the lowest latency: falls to a lower one at once, and rises slowly,
 * since a path or its load may change permanently.
 */
static void
update_floor(struct target *target, double latency_us)
{
	double floor = atomic_load(&target->floor_us);

	if (floor <= 0.0 || latency_us < floor)
		floor = latency_us;
	else
		floor += FLOOR_WEIGHT * (latency_us - floor);
	atomic_store(&target->floor_us, floor);
}

/*
 * Updates the averages with an answer's latency.  The peak-sensitive average
 * rises to a higher sample at once and decays slowly towards lower ones (as
 * Finagle's peak EWMA).  Concurrent updates may lose a sample.
 */
void
target_observe(struct target *target, uint64_t latency_us, uint64_t now_us)
{
	double sample = (double)latency_us;
	double peak = atomic_load(&target->latency_us);
	uint64_t last = atomic_exchange(&target->answered_us, now_us);
	double passed = now_us > last ? (double)(now_us - last) : 0.0;
	double decay = exp(-passed / PEAK_DECAY_US);

	if (last == 0 || sample > peak)
		peak = sample;
	else
		peak = peak * decay + sample * (1.0 - decay);
	atomic_store(&target->latency_us, peak);
	update_floor(target, sample);
	atomic_fetch_add_explicit(&target->answers, 1, memory_order_relaxed);
}

/*
 * Records a report, unless a later one is known, and updates the trust in the
 * target's reports.
 */
void
target_record_report(
    struct target *target, const struct balance_report *report, uint64_t now_us)
{
	uint64_t reported_us =
	    now_us > report->age_us ? now_us - report->age_us : 1;
	uint32_t own_calls = target_arrived_calls(target, reported_us);
	uint32_t other_calls =
	    report->in_flight > own_calls ? report->in_flight - own_calls : 0;
	double average = atomic_load(&target->other_calls);

	if (report->draining)
		atomic_store(&target->draining, true);
	if (reported_us < atomic_load(&target->reported_us))
		return;
	if (atomic_load(&target->reported_us) == 0)
		average = other_calls;
	atomic_store(&target->reported, report->in_flight);
	atomic_store(&target->reported_other_calls, other_calls);
	atomic_store(&target->other_calls,
	    average + OTHERS_WEIGHT * ((double)other_calls - average));
	atomic_store(&target->reported_us, reported_us > 0 ? reported_us : 1);
	trust_observe(
	    &target->trust, (double)report->in_flight, (double)own_calls);
}
