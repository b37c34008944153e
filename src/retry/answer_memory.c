#include "retry/answer_memory.h"

#include "base/clock.h"

enum {
	FRESH_MS = 10 * 1000
};

static unsigned
slot_of(uint64_t content, uint32_t caller)
{
	return (unsigned)((content ^ caller) % ANSWER_MEMORY_SLOTS);
}

/*
 * Records an answer to a request.
 */
void
answer_memory_note(struct answer_memory *memory, uint64_t content,
    uint32_t caller, uint64_t now_us)
{
	unsigned slot = slot_of(content, caller);

	memory->slots[slot].content = content;
	memory->slots[slot].caller = caller;
	memory->slots[slot].answered_us = now_us;
}

/*
 * Returns whether the request was answered within FRESH_MS.
 */
bool
answer_memory_is_fresh(const struct answer_memory *memory, uint64_t content,
    uint32_t caller, uint64_t now_us)
{
	unsigned slot = slot_of(content, caller);

	return memory->slots[slot].content == content &&
	    memory->slots[slot].caller == caller &&
	    now_us - memory->slots[slot].answered_us < FRESH_MS * US_PER_MS;
}
