#include "model_target.h"

#include "model_fault.h"

enum {
	FROZEN_FROM_US = 1000000
};

/*
 * Fills the history up to now with the current number of calls in flight.
 */
void
model_target_record_history(struct model_target *target, uint64_t now_us)
{
	uint64_t step = now_us / TARGET_HISTORY_US;

	if (step > target->history_step + TARGET_HISTORY)
		target->history_step = step - TARGET_HISTORY;
	for (; target->history_step <= step; target->history_step++)
		target->history[target->history_step % TARGET_HISTORY] =
		    target->serving + target->queued;
}

static uint32_t
in_flight_at(struct model_target *target, uint64_t at_us, uint64_t now_us)
{
	uint64_t step = at_us / TARGET_HISTORY_US;

	if (at_us >= now_us)
		return target->serving + target->queued;
	model_target_record_history(target, now_us);
	if (target->history_step > step + TARGET_HISTORY)
		step = target->history_step - TARGET_HISTORY;
	return target->history[step % TARGET_HISTORY];
}

/*
 * Returns the target's report, as modified by its faults.
 */
struct balance_report
model_target_report(struct model_target *target,
    const struct model_config *config, uint64_t now_us)
{
	bool is_false_reporter = target->number % 4 == 1;
	uint64_t at = now_us;
	uint32_t in_flight;

	if (config->faults & FAULT_LATE_REPORT)
		at = now_us > config->report_delay_us
		    ? now_us - config->report_delay_us
		    : 0;
	in_flight = in_flight_at(target, at, now_us);
	if (is_false_reporter && (config->faults & FAULT_FROZEN_REPORT) &&
	    now_us > FROZEN_FROM_US)
		in_flight = target->number % 3;
	if (is_false_reporter && (config->faults & FAULT_IDLE_REPORT))
		in_flight = 0;
	return (struct balance_report){
	    .in_flight = in_flight,
	    .slots = config->slots,
	    .draining = fault_is_drained(config, target->number, now_us),
	};
}
