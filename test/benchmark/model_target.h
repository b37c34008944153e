/*
 * A simulated target: slots, a FIFO queue, and true or false reports.
 */
#ifndef MODEL_TARGET_H
#define MODEL_TARGET_H

#include "model.h"

enum {
	TARGET_QUEUE_PER_SLOT = 4, /* calls beyond this are shed */
	TARGET_HISTORY = 1024, /* steps; older reports are not available */
	TARGET_HISTORY_US = 5000
};

struct model_attempt;

struct model_target {
	uint32_t number;
	uint32_t serving;
	uint32_t queued;
	struct model_attempt *head;
	struct model_attempt **tail;
	uint64_t incarnation;
	bool announced_drained;
	bool removed;
	uint32_t history[TARGET_HISTORY]; /* calls in flight by time step */
	uint64_t history_step;
};

struct balance_report model_target_report(struct model_target *target,
    const struct model_config *config, uint64_t now_us);
/* Records the number of calls in flight; call it before each change. */
void model_target_record_history(struct model_target *target, uint64_t now_us);

#endif
