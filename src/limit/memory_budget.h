/*
 * Decisions: how many bytes of buffers a process may hold, and what happens
 * when they are used up.  Large bodies leave a share for everything else, so
 * that small requests and answers continue beside them.
 */
#ifndef LIMIT_MEMORY_BUDGET_H
#define LIMIT_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attr.h"

enum memory_use {
	MEMORY_BODIES, /* of requests: read, reserved, kept or being written */
	MEMORY_REQUEST_HEADS, /* written to targets */
	MEMORY_RESPONSES, /* of targets, not complete yet */
	MEMORY_ANSWERS, /* not yet taken by callers */
	MEMORY_INPUT, /* of callers, not yet parsed */
	MEMORY_IDLE, /* kept for later bodies, freed when room is needed */
	MEMORY_USES
};

struct memory_budget {
	uint64_t limit_bytes;
	uint64_t body_max_bytes; /* of one body */
	uint64_t used[MEMORY_USES];
	uint64_t total; /* without idle ones */
};

extern const char *const memory_use_names[MEMORY_USES];

void memory_budget_open(
    struct memory_budget *budget, uint64_t memory_bytes) ATTR_NONNULL_ALL;
void memory_budget_change(struct memory_budget *budget, enum memory_use use,
    size_t before, size_t after) ATTR_NONNULL_ALL;
uint64_t
memory_budget_excess(const struct memory_budget *budget) ATTR_NONNULL_ALL;
bool memory_budget_is_large(uint64_t body_bytes);
bool memory_budget_has_room(
    const struct memory_budget *budget, uint64_t bytes) ATTR_NONNULL_ALL;
bool memory_budget_has_body_room(const struct memory_budget *budget,
    uint64_t body_bytes, uint64_t more_bytes) ATTR_NONNULL_ALL;
bool memory_budget_is_deadlocked(const struct memory_budget *budget,
    uint64_t capacity, uint64_t held_bytes,
    uint64_t waiting_bytes) ATTR_NONNULL_ALL;
bool
memory_budget_is_tight(const struct memory_budget *budget) ATTR_NONNULL_ALL;
bool memory_budget_holds_many_answers(
    const struct memory_budget *budget) ATTR_NONNULL_ALL;

#endif
