#include "model_fault.h"

#define STRAGGLER_SLOWNESS 10.0
#define COLD_SLOWNESS 3.0

enum {
	STRAGGLER_TARGET = 3, /* the straggling target */
	FAILING_TARGET = 5, /* the target that fails fast */
	LOST_DOMAIN = 2,
	LOST_ENTRIES = 5,
	FAIL_FAST_PERIOD_US = 3000000,
	FAIL_FAST_DURATION_US = 2000000
};

static uint64_t
straggler_period(const struct model_config *config)
{
	return config->straggler_slow_us + config->straggler_slow_us / 2;
}

static bool
is_straggling(
    const struct model_config *config, uint32_t target, uint64_t now_us)
{
	return (config->faults & FAULT_STRAGGLER) &&
	    target == STRAGGLER_TARGET &&
	    now_us % straggler_period(config) >= config->straggler_slow_us / 2;
}

/* Returns the target that restarts in the current period; each does in turn. */
static uint32_t
restarted_target(const struct model_config *config, uint64_t now_us)
{
	return (uint32_t)(now_us / FAULT_COLD_PERIOD_US + 7) % config->targets;
}

static bool
is_cold(const struct model_config *config, uint32_t target, uint64_t now_us)
{
	uint64_t phase = now_us % FAULT_COLD_PERIOD_US;

	return (config->faults & FAULT_COLD_START) &&
	    target == restarted_target(config, now_us) &&
	    phase >= FAULT_COLD_OFFSET_US &&
	    phase < FAULT_COLD_OFFSET_US + FAULT_COLD_US;
}

/*
 * Returns by what factor work is now slower than on a healthy target.
 */
double
fault_slowness(
    const struct model_config *config, uint32_t target, uint64_t now_us)
{
	if (is_straggling(config, target, now_us))
		return STRAGGLER_SLOWNESS;
	if (is_cold(config, target, now_us))
		return COLD_SLOWNESS;
	return 1.0;
}

static uint64_t
next_phase_start(uint64_t now_us, uint64_t period, uint64_t phase)
{
	uint64_t edge = now_us - now_us % period + phase;

	return edge > now_us ? edge : edge + period;
}

static uint64_t
min_us(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * Returns the next time at which the slowness of the target may change.
 */
uint64_t
fault_next_change(
    const struct model_config *config, uint32_t target, uint64_t now_us)
{
	uint64_t next = UINT64_MAX;

	if ((config->faults & FAULT_STRAGGLER) && target == STRAGGLER_TARGET) {
		uint64_t period = straggler_period(config);

		next = next_phase_start(now_us, period, 0);
		next = min_us(next,
		    next_phase_start(
			now_us, period, config->straggler_slow_us / 2));
	}
	if (config->faults & FAULT_COLD_START) {
		next = min_us(next,
		    next_phase_start(
			now_us, FAULT_COLD_PERIOD_US, FAULT_COLD_OFFSET_US));
		next = min_us(next,
		    next_phase_start(now_us, FAULT_COLD_PERIOD_US,
			FAULT_COLD_OFFSET_US + FAULT_COLD_US));
	}
	return next;
}

/*
 * Returns when work started now ends, taking into account every change of
 * slowness.
 */
uint64_t
fault_finish_time(const struct model_config *config, uint32_t target,
    uint64_t now_us, uint64_t work_us)
{
	double remaining_us = (double)work_us;

	for (;;) {
		double slowness = fault_slowness(config, target, now_us);
		uint64_t change = fault_next_change(config, target, now_us);
		double needed = remaining_us * slowness;

		if (change == UINT64_MAX || needed <= (double)(change - now_us))
			return now_us + (uint64_t)needed;
		remaining_us -= (double)(change - now_us) / slowness;
		now_us = change;
	}
}

/*
 * Returns whether the target is draining or gone, which includes a restart.
 */
bool
fault_is_drained(
    const struct model_config *config, uint32_t target, uint64_t now_us)
{
	uint64_t period = now_us / FAULT_DRAIN_PERIOD_US;

	if ((config->faults & FAULT_COLD_START) &&
	    target == restarted_target(config, now_us) &&
	    now_us % FAULT_COLD_PERIOD_US < FAULT_COLD_OFFSET_US)
		return true;
	return (config->faults & FAULT_DRAIN) &&
	    period % config->targets == target &&
	    now_us % FAULT_DRAIN_PERIOD_US < FAULT_DRAIN_US;
}

/*
 * Returns whether the target is permanently unreachable.
 */
bool
fault_is_lost(
    const struct model_config *config, uint32_t target, uint64_t now_us)
{
	return (config->faults & FAULT_DOMAIN_LOSS) &&
	    target % MODEL_DOMAINS == LOST_DOMAIN && now_us >= FAULT_LOSS_US;
}

/*
 * Returns whether the target answers at once with errors.
 */
bool
fault_fails_fast(
    const struct model_config *config, uint32_t target, uint64_t now_us)
{
	return (config->faults & FAULT_FAIL_FAST) && target == FAILING_TARGET &&
	    now_us % FAIL_FAST_PERIOD_US >=
	    FAIL_FAST_PERIOD_US - FAIL_FAST_DURATION_US;
}

/*
 * Returns whether the entry has failed.
 */
bool
fault_entry_is_lost(
    const struct model_config *config, uint32_t entry, uint64_t now_us)
{
	if (now_us < FAULT_LOSS_US)
		return false;
	if ((config->faults & FAULT_ENTRY_LOSS) && entry < LOST_ENTRIES)
		return true;
	return (config->faults & FAULT_DOMAIN_LOSS) &&
	    entry % MODEL_DOMAINS == LOST_DOMAIN;
}

/*
 * Returns the time since the target's last recovery, start or return from a
 * drain, or UINT64_MAX if it has not recovered since its last fault.
 */
uint64_t
fault_since_recovery(
    const struct model_config *config, uint32_t target, uint64_t now_us)
{
	uint64_t phase;

	if ((config->faults & FAULT_STRAGGLER) && target == STRAGGLER_TARGET) {
		phase = now_us % straggler_period(config);
		if (now_us >= straggler_period(config) &&
		    phase < config->straggler_slow_us / 2)
			return phase;
	}
	if ((config->faults & FAULT_COLD_START) &&
	    target == restarted_target(config, now_us)) {
		phase = now_us % FAULT_COLD_PERIOD_US;
		if (phase >= FAULT_COLD_OFFSET_US)
			return phase - FAULT_COLD_OFFSET_US;
	}
	if ((config->faults & FAULT_DRAIN) &&
	    now_us / FAULT_DRAIN_PERIOD_US % config->targets == target) {
		phase = now_us % FAULT_DRAIN_PERIOD_US;
		if (phase >= FAULT_DRAIN_US)
			return phase - FAULT_DRAIN_US;
	}
	return UINT64_MAX;
}
