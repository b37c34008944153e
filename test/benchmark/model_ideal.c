#include <string.h>

#include "base/memory.h"
#include "model.h"
#include "model_fault.h"
#include "model_heap.h"

enum {
	IDEAL_QUEUE_MAX = 4096
};

enum {
	IDEAL_ARRIVAL,
	IDEAL_FINISH,
	IDEAL_CHANGE
};

struct ideal {
	const struct model_config *config;
	struct model_result *result;
	struct model_heap heap;
	uint32_t busy[MODEL_TARGETS_MAX];
	struct model_arrival queue[IDEAL_QUEUE_MAX];
	uint32_t head;
	uint32_t queued;
	uint64_t now_us;
};

static bool
is_healthy(const struct ideal *ideal, uint32_t target)
{
	const struct model_config *config = ideal->config;
	uint64_t now = ideal->now_us;

	return fault_slowness(config, target, now) <= 1.0 &&
	    !fault_is_drained(config, target, now) &&
	    !fault_is_lost(config, target, now) &&
	    !fault_fails_fast(config, target, now);
}

/*
 * Returns a healthy target with a free slot, or the number of targets if there
 * is none.
 */
static uint32_t
free_target(const struct ideal *ideal)
{
	uint32_t i;

	for (i = 0; i < ideal->config->targets; i++) {
		if (ideal->busy[i] < ideal->config->slots &&
		    is_healthy(ideal, i))
			break;
	}
	return i;
}

static void
start(struct ideal *ideal, uint32_t target, const struct model_arrival *call)
{
	uint64_t end = ideal->now_us + call->work_us;

	ideal->busy[target]++;
	if (call->at_us >= MODEL_WARMUP_US)
		model_result_record(ideal->result, end - call->at_us);
	model_heap_push(&ideal->heap,
	    (struct model_event){
		.at_us = end, .kind = IDEAL_FINISH, .subject = target});
}

static void
serve(struct ideal *ideal)
{
	while (ideal->queued > 0) {
		uint32_t target = free_target(ideal);

		if (target == ideal->config->targets)
			return;
		start(ideal, target, &ideal->queue[ideal->head]);
		ideal->head = (ideal->head + 1) % IDEAL_QUEUE_MAX;
		ideal->queued--;
	}
}

static void
enqueue(struct ideal *ideal, const struct model_arrival *call)
{
	uint32_t queue_limit =
	    ideal->config->targets * ideal->config->slots * 4;

	ideal->result->calls++;
	if (ideal->queued >= queue_limit || ideal->queued >= IDEAL_QUEUE_MAX) {
		ideal->result->refused++;
		return;
	}
	ideal->queue[(ideal->head + ideal->queued++) % IDEAL_QUEUE_MAX] = *call;
}

static uint64_t
next_change(const struct ideal *ideal)
{
	uint64_t next = ideal->now_us + US_PER_S / 20;

	for (uint32_t i = 0; i < ideal->config->targets; i++) {
		uint64_t change =
		    fault_next_change(ideal->config, i, ideal->now_us);

		if (change < next)
			next = change;
	}
	return next;
}

/*
 * Runs the reference over the same arrivals.  Calls in a slot when its target
 * becomes slow still finish at full speed.
 */
void
model_ideal(const struct model_config *config, struct model_result *result)
{
	struct ideal *ideal = mem_calloc(1, sizeof(*ideal));
	struct model_arrivals arrivals;
	struct model_arrival call;
	struct model_event event;
	uint32_t remaining = config->calls;

	memset(result, 0, sizeof(*result));
	ideal->config = config;
	ideal->result = result;
	model_arrivals_start(&arrivals, config);
	call = model_arrivals_next(&arrivals);
	model_heap_push(&ideal->heap,
	    (struct model_event){.at_us = call.at_us, .kind = IDEAL_ARRIVAL});
	model_heap_push(&ideal->heap,
	    (struct model_event){.at_us = 0, .kind = IDEAL_CHANGE});
	while (model_heap_pop(&ideal->heap, &event)) {
		ideal->now_us = event.at_us;
		if (event.kind == IDEAL_FINISH) {
			ideal->busy[event.subject]--;
		} else if (event.kind == IDEAL_CHANGE) {
			if (remaining == 0 && ideal->queued == 0)
				continue;
			model_heap_push(&ideal->heap,
			    (struct model_event){.at_us = next_change(ideal),
				.kind = IDEAL_CHANGE});
		} else {
			enqueue(ideal, &call);
			if (--remaining > 0) {
				call = model_arrivals_next(&arrivals);
				model_heap_push(&ideal->heap,
				    (struct model_event){.at_us = call.at_us,
					.kind = IDEAL_ARRIVAL});
			}
		}
		serve(ideal);
	}
	model_heap_free(&ideal->heap);
	mem_free(ideal);
}
