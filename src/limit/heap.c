#include "limit/heap.h"

#include "base/memory.h"

enum {
	CAPACITY_MIN = 16
};

/*
 * Frees the memory of the heap and leaves it empty.  The nodes are not
 * changed: those that were in the heap must not be used with a heap again.
 */
void
heap_free(struct heap *heap)
{
	mem_free(heap->slots);
	*heap = (struct heap){0};
}

/*
 * Puts a node into a slot and stores its index in it.
 */
static void
set_slot(struct heap *heap, struct heap_node *node, size_t index)
{
	heap->slots[index].node = node;
	node->index = index;
}

/*
 * Moves a node towards the root until its parent's key is no larger.
 */
static void
sift_up(struct heap *heap, struct heap_node *node)
{
	size_t index = node->index;

	while (index > 0) {
		struct heap_node *parent = heap->slots[(index - 1) / 2].node;

		if (parent->key <= node->key)
			break;
		set_slot(heap, parent, index);
		index = (index - 1) / 2;
	}
	set_slot(heap, node, index);
}

/*
 * Moves a node away from the root until no child's key is smaller.
 */
static void
sift_down(struct heap *heap, struct heap_node *node)
{
	size_t index = node->index;

	for (;;) {
		size_t child = 2 * index + 1;

		if (child >= heap->count)
			break;
		if (child + 1 < heap->count &&
		    heap->slots[child + 1].node->key <
			heap->slots[child].node->key)
			child++;
		if (node->key <= heap->slots[child].node->key)
			break;
		set_slot(heap, heap->slots[child].node, index);
		index = child;
	}
	set_slot(heap, node, index);
}

/*
 * Appends a node, growing the heap if needed.  The caller sifts it by its key.
 */
static void
append(struct heap *heap, struct heap_node *node)
{
	if (heap->count == heap->capacity) {
		heap->capacity =
		    heap->capacity > 0 ? heap->capacity * 2 : CAPACITY_MIN;
		heap->slots = mem_resize(
		    heap->slots, heap->capacity * sizeof(*heap->slots));
	}
	set_slot(heap, node, heap->count++);
}

/*
 * Inserts a node, or moves one that is in the heap, in O(log n).
 */
void
heap_set(struct heap *heap, struct heap_node *node, double key)
{
	if (!heap_contains(node))
		append(heap, node);
	node->key = key;
	sift_up(heap, node);
	sift_down(heap, node);
}

/*
 * Removes a node in O(log n); the last node takes its slot.
 */
void
heap_remove(struct heap *heap, struct heap_node *node)
{
	struct heap_node *last;
	size_t index = node->index;

	if (!heap_contains(node))
		return;
	last = heap->slots[--heap->count].node;
	node->index = HEAP_INDEX_NONE;
	if (last == node)
		return;
	set_slot(heap, last, index);
	sift_up(heap, last);
	sift_down(heap, last);
}

/*
 * Returns the node with the smallest key, or NULL.
 */
struct heap_node *
heap_first(const struct heap *heap)
{
	return heap->count > 0 ? heap->slots[0].node : NULL;
}
