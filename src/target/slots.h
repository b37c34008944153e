/*
 * The slots of a mock target, which limit the calls executed at once, and the
 * FIFO queue of calls that wait for a slot.
 */
#ifndef TARGET_SLOTS_H
#define TARGET_SLOTS_H

#include <stdint.h>

#include "base/attr.h"

enum slots_result {
	SLOTS_ACQUIRED,
	SLOTS_QUEUE_FULL, /* rejected: the queue is at its limit */
	SLOTS_DEADLINE_EXCEEDED /* the deadline passed in the queue */
};

struct slots;

struct slots *slots_new(uint32_t count, uint32_t queue_max);
void slots_free(struct slots *slots);
enum slots_result
slots_acquire(struct slots *slots, uint64_t deadline_us) ATTR_NONNULL_ALL;
void slots_release(struct slots *slots) ATTR_NONNULL_ALL;
/* Calls that have a slot or are queued. */
uint32_t slots_in_flight(struct slots *slots) ATTR_NONNULL_ALL;
uint32_t slots_count(const struct slots *slots) ATTR_NONNULL_ALL;
void
slots_set_queue_max(struct slots *slots, uint32_t queue_max) ATTR_NONNULL_ALL;

#endif
