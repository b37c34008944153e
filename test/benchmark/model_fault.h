/*
 * Faults of the targets and entries: pure functions of configuration and time.
 */
#ifndef MODEL_FAULT_H
#define MODEL_FAULT_H

#include "model.h"

enum {
	FAULT_COLD_PERIOD_US = 3000000,
	FAULT_COLD_OFFSET_US = 1000000,
	FAULT_COLD_US = 500000,
	FAULT_DRAIN_PERIOD_US = 1000000,
	FAULT_DRAIN_US = 500000,
	FAULT_LOSS_US = 2000000,
	FAULT_LEASE_US = 3000000, /* until a lost target is removed */
	FAULT_UNREACHABLE_US = 20000 /* until a connection attempt fails */
};

/*
 * Return the next time after now at which a target's speed changes, and its
 * current slowness.
 */
uint64_t fault_next_change(
    const struct model_config *config, uint32_t target, uint64_t now_us);
double fault_slowness(
    const struct model_config *config, uint32_t target, uint64_t now_us);
/* Returns when work started now ends on the target. */
uint64_t fault_finish_time(const struct model_config *config, uint32_t target,
    uint64_t now_us, uint64_t work_us);
bool fault_is_drained(
    const struct model_config *config, uint32_t target, uint64_t now_us);
bool fault_is_lost(
    const struct model_config *config, uint32_t target, uint64_t now_us);
bool fault_fails_fast(
    const struct model_config *config, uint32_t target, uint64_t now_us);
bool fault_entry_is_lost(
    const struct model_config *config, uint32_t entry, uint64_t now_us);
/*
 * Returns the time since a straggler recovered or a target returned, or
 * UINT64_MAX.
 */
uint64_t fault_since_recovery(
    const struct model_config *config, uint32_t target, uint64_t now_us);

#endif
