#include "base/connection_budget.h"

enum {
	PROCESS_DIVISOR = 4, /* part of the memory for all connections */
	UNREAD_DIVISOR = 1024, /* part of the memory for one's answers */
	UNREAD_MIN_BYTES = 16 << 10,
	UNREAD_MAX_BYTES = 256 << 10,
	/*
	 * With 8 ms to callers, 256 KB in the socket allow 16 MB/s, more than
	 * the link of an instance.
	 */
	SOCKET_DIVISOR = 256,
	SOCKET_MIN_BYTES = 64 << 10,
	SOCKET_MAX_BYTES = 512 << 10,
	/* Slower callers than one that takes all it holds in so long */
	STALLED_MS = 1000
};

const char *const connection_limit_names[CONNECTION_LIMITS] = {
    [CONNECTION_LIMIT_ADDRESS] = "address",
    [CONNECTION_LIMIT_COUNT] = "connections",
    [CONNECTION_LIMIT_MEMORY] = "memory",
    [CONNECTION_LIMIT_TIME] = "time",
};

static size_t
clamp(uint64_t bytes, size_t min, size_t max)
{
	if (bytes < min)
		return min;
	return bytes > max ? max : (size_t)bytes;
}

void
connection_budget_open(struct connection_budget *budget, uint64_t memory_bytes)
{
	*budget = (struct connection_budget){
	    .process_max = memory_bytes / PROCESS_DIVISOR,
	    .unread_max = clamp(memory_bytes / UNREAD_DIVISOR, UNREAD_MIN_BYTES,
		UNREAD_MAX_BYTES),
	    .socket_bytes = clamp(memory_bytes / SOCKET_DIVISOR,
		SOCKET_MIN_BYTES, SOCKET_MAX_BYTES),
	};
}

void
connection_budget_change(
    struct connection_budget *budget, uint64_t before, uint64_t after)
{
	budget->held = budget->held - before + after;
}

uint64_t
connection_budget_excess(const struct connection_budget *budget)
{
	return budget->held > budget->process_max
	    ? budget->held - budget->process_max
	    : 0;
}

bool
connection_budget_must_pause(
    const struct connection_budget *budget, uint64_t unread)
{
	return unread > budget->unread_max;
}

/*
 * Half of the bound, so that a connection does not change state with each
 * answer.
 */
bool
connection_budget_may_resume(
    const struct connection_budget *budget, uint64_t unread)
{
	return unread <= budget->unread_max / 2;
}

/*
 * Returns the order in which connections that hold the same are closed: the
 * longer without progress, the earlier.
 */
static uint64_t
weight(const struct connection_use *use, uint64_t now_ms)
{
	uint64_t still_ms = now_ms > use->moved_ms ? now_ms - use->moved_ms : 0;

	return use->held * (1 + still_ms / STALLED_MS);
}

/*
 * The number of bytes that wait says nothing alone: it grows while a caller
 * reads, if answers come faster.
 */
bool
connection_use_update(struct connection_use *use, uint64_t given,
    uint64_t waiting, uint64_t now_ms)
{
	uint64_t taken = given - waiting;
	bool moved = waiting == 0 || taken > use->taken;

	use->taken = taken;
	if (moved)
		use->moved_ms = now_ms;
	return moved;
}

/*
 * One that runs an ordinary request is never closed.  The address that holds
 * most comes first, so that one caller with many connections displaces no
 * other.
 */
bool
connection_use_goes_first(const struct connection_use *use,
    const struct connection_use *other, uint64_t now_ms)
{
	if (use->ordinary || use->held == 0)
		return false;
	if (other == NULL)
		return true;
	if (use->address_held != other->address_held)
		return use->address_held > other->address_held;
	return weight(use, now_ms) > weight(other, now_ms);
}
