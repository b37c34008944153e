#include "limit/memory_budget.h"

enum {
	/* Connections, tables and the allocator need the rest. */
	BUDGET_PERCENT = 60,
	BODY_FRACTION = 4, /* of the memory: a single body */
	RESERVE_FRACTION = 8, /* of the budget: not for large bodies */
	TIGHT_FRACTION = 16,
	ANSWERS_FRACTION = 4,
	LARGE_BODY_BYTES = 64 << 10
};

const char *const memory_use_names[MEMORY_USES] = {
    [MEMORY_BODIES] = "bodies",
    [MEMORY_REQUEST_HEADS] = "request_heads",
    [MEMORY_RESPONSES] = "responses",
    [MEMORY_ANSWERS] = "answers",
    [MEMORY_INPUT] = "input",
    [MEMORY_IDLE] = "idle",
};

/*
 * Sets the budget of a process that may use memory_bytes in all.
 */
void
memory_budget_open(struct memory_budget *budget, uint64_t memory_bytes)
{
	*budget = (struct memory_budget){
	    .limit_bytes = memory_bytes / 100 * BUDGET_PERCENT,
	    .body_max_bytes = memory_bytes / BODY_FRACTION,
	};
}

/*
 * Records that a buffer of a use has grown or shrunk from before to after
 * bytes.
 */
void
memory_budget_change(struct memory_budget *budget, enum memory_use use,
    size_t before, size_t after)
{
	budget->used[use] = budget->used[use] - before + after;
	if (use != MEMORY_IDLE)
		budget->total = budget->total - before + after;
}

/*
 * Returns how many bytes beyond the budget are used, idle ones included.
 */
uint64_t
memory_budget_excess(const struct memory_budget *budget)
{
	uint64_t all = budget->total + budget->used[MEMORY_IDLE];

	return all > budget->limit_bytes ? all - budget->limit_bytes : 0;
}

/*
 * Returns whether bytes more fit into the budget.
 */
bool
memory_budget_has_room(const struct memory_budget *budget, uint64_t bytes)
{
	return budget->total <= budget->limit_bytes &&
	    bytes <= budget->limit_bytes - budget->total;
}

/*
 * Returns whether a body of this size is among those that wait for each other.
 */
bool
memory_budget_is_large(uint64_t body_bytes)
{
	return body_bytes > LARGE_BODY_BYTES;
}

/*
 * Returns whether a body that will have body_bytes may take more_bytes.
 */
bool
memory_budget_has_body_room(const struct memory_budget *budget,
    uint64_t body_bytes, uint64_t more_bytes)
{
	uint64_t kept = memory_budget_is_large(body_bytes)
	    ? budget->limit_bytes / RESERVE_FRACTION
	    : 0;

	return memory_budget_has_room(budget, more_bytes + kept);
}

/*
 * Returns whether the body that waits longest could be read if the other
 * waiting ones were given up: it needs capacity bytes and has held_bytes; all
 * that wait hold waiting_bytes, and no other body holds any.
 */
bool
memory_budget_is_deadlocked(const struct memory_budget *budget,
    uint64_t capacity, uint64_t held_bytes, uint64_t waiting_bytes)
{
	struct memory_budget without = *budget;
	uint64_t more = capacity > held_bytes ? capacity - held_bytes : 0;

	if (waiting_bytes != budget->used[MEMORY_BODIES] ||
	    waiting_bytes <= held_bytes)
		return false;
	without.total -= waiting_bytes - held_bytes;
	return !memory_budget_has_body_room(budget, capacity, more) &&
	    memory_budget_has_body_room(&without, capacity, more);
}

/*
 * Returns whether answers should be passed on in smaller pieces.
 */
bool
memory_budget_is_tight(const struct memory_budget *budget)
{
	return !memory_budget_has_room(
	    budget, budget->limit_bytes / TIGHT_FRACTION);
}

/*
 * Returns whether answers take so much that those of targets that can't be
 * passed on yet should wait in the targets.
 */
bool
memory_budget_holds_many_answers(const struct memory_budget *budget)
{
	return budget->used[MEMORY_RESPONSES] + budget->used[MEMORY_ANSWERS] >
	    budget->limit_bytes / ANSWERS_FRACTION;
}
