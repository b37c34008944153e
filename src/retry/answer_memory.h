/*
 * The latest answers to requests, by content and caller: a request that was
 * answered a moment ago is not what ends targets.  Others with the same slot
 * replace it.  Performs no I/O; the time is an argument.
 */
#ifndef RETRY_ANSWER_MEMORY_H
#define RETRY_ANSWER_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	ANSWER_MEMORY_SLOTS = 1024
};

struct answer_memory {
	struct {
		uint64_t content;
		uint64_t answered_us;
		uint32_t caller;
	} slots[ANSWER_MEMORY_SLOTS];
};

void answer_memory_note(struct answer_memory *memory, uint64_t content,
    uint32_t caller, uint64_t now_us) ATTR_NONNULL_ALL;
/* Returns whether the request was answered within the last 10 s. */
bool answer_memory_is_fresh(const struct answer_memory *memory,
    uint64_t content, uint32_t caller, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
