/*
 * A binary heap of nodes that are embedded in other objects and store their
 * index, so that any node can be moved or removed in O(log n).
 */
#ifndef LIMIT_HEAP_H
#define LIMIT_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attr.h"

#define HEAP_INDEX_NONE SIZE_MAX

struct heap_node {
	double key;
	size_t index; /* HEAP_INDEX_NONE outside the heap */
};

struct heap_slot {
	struct heap_node *node;
};

/* A min-heap: the node with the smallest key is first. */
struct heap {
	struct heap_slot *slots;
	size_t count;
	size_t capacity;
};

void heap_free(struct heap *heap) ATTR_NONNULL_ALL;
/* Inserts the node with a key, or moves it if it is in the heap. */
void heap_set(
    struct heap *heap, struct heap_node *node, double key) ATTR_NONNULL_ALL;
/* Removes the node; does nothing if it is not in the heap. */
void heap_remove(struct heap *heap, struct heap_node *node) ATTR_NONNULL_ALL;
struct heap_node *heap_first(const struct heap *heap) ATTR_NONNULL_ALL;

static inline void
heap_node_init(struct heap_node *node)
{
	node->key = 0.0;
	node->index = HEAP_INDEX_NONE;
}

static inline bool
heap_contains(const struct heap_node *node)
{
	return node->index != HEAP_INDEX_NONE;
}

#endif
