#include "model_heap.h"

#include "base/memory.h"

static bool
is_before(const struct model_event *a, const struct model_event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

/*
 * Adds an event.
 */
void
model_heap_push(struct model_heap *heap, struct model_event event)
{
	size_t i = heap->count++;

	if (heap->count > heap->capacity) {
		heap->capacity = heap->capacity > 0 ? heap->capacity * 2 : 256;
		heap->events =
		    mem_resize(heap->events, heap->capacity * sizeof(event));
	}
	event.order = heap->order++;
	while (i > 0 && is_before(&event, &heap->events[(i - 1) / 2])) {
		heap->events[i] = heap->events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	heap->events[i] = event;
}

/*
 * Removes the earliest event and returns it, or returns false if there is
 * none.
 */
bool
model_heap_pop(struct model_heap *heap, struct model_event *event)
{
	struct model_event last;
	size_t i = 0;

	if (heap->count == 0)
		return false;
	*event = heap->events[0];
	last = heap->events[--heap->count];
	for (size_t child = 1; child < heap->count; child = 2 * i + 1) {
		if (child + 1 < heap->count &&
		    is_before(&heap->events[child + 1], &heap->events[child]))
			child++;
		if (!is_before(&heap->events[child], &last))
			break;
		heap->events[i] = heap->events[child];
		i = child;
	}
	heap->events[i] = last;
	return true;
}

/*
 * Frees the heap's memory.
 */
void
model_heap_free(struct model_heap *heap)
{
	mem_free(heap->events);
}
