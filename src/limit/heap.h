/*
 * A binary heap of nodes that live inside other objects and know their
 * place, so that any of them can be moved or taken out in O(log n).
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

/* The node with the smallest key is the first. */
struct heap {
	struct heap_slot *slots;
	size_t count;
	size_t capacity;
};

void heap_free(struct heap *heap) ATTR_NONNULL_ALL;
/* Puts the node in under a key, or moves it there. */
void heap_set(
    struct heap *heap, struct heap_node *node, double key) ATTR_NONNULL_ALL;
/* Takes the node out; nothing when it is not in. */
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
