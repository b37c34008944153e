/*
 * Event queue of the simulation, ordered by time and then by insertion.
 */
#ifndef MODEL_HEAP_H
#define MODEL_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct model_event {
	uint64_t at_us;
	uint64_t order;
	uint32_t kind;
	uint32_t subject; /* target or entry */
	void *object;
	uint64_t epoch; /* of the object when the event was created */
};

struct model_heap {
	struct model_event *events;
	size_t count;
	size_t capacity;
	uint64_t order;
};

void model_heap_push(struct model_heap *heap, struct model_event event);
bool model_heap_pop(struct model_heap *heap, struct model_event *event);
void model_heap_free(struct model_heap *heap);

#endif
