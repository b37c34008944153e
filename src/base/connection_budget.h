/*
 * Decisions: how much of a process's memory the connections of callers may
 * hold, when a connection is not read on, and which ones are closed first.  A
 * connection holds input that is not processed and answers that are not read.
 */
#ifndef BASE_CONNECTION_BUDGET_H
#define BASE_CONNECTION_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attr.h"

enum connection_limit {
	CONNECTION_LIMIT_ADDRESS, /* connections of one address */
	CONNECTION_LIMIT_COUNT, /* connections of the process */
	CONNECTION_LIMIT_MEMORY, /* bytes of the process */
	CONNECTION_LIMIT_TIME, /* an unfinished request */
	CONNECTION_LIMITS
};

struct connection_budget {
	uint64_t process_max; /* bytes held by all connections */
	size_t unread_max; /* bytes of one connection's answers */
	size_t socket_bytes; /* of a connection's socket, each direction */
	uint64_t held;
};

/* What one connection holds, and for how long. */
struct connection_use {
	uint64_t held; /* bytes */
	uint64_t taken; /* bytes of answers, in all */
	uint64_t moved_ms; /* when its caller last took an answer's bytes */
	uint64_t address_held; /* by all connections of its address */
	bool ordinary; /* runs a request within the limits */
};

extern const char *const connection_limit_names[CONNECTION_LIMITS];

/* Sets the bounds of a process that may use memory_bytes in all. */
void connection_budget_open(
    struct connection_budget *budget, uint64_t memory_bytes) ATTR_NONNULL_ALL;
/* Records that a connection now holds after bytes rather than before. */
void connection_budget_change(struct connection_budget *budget, uint64_t before,
    uint64_t after) ATTR_NONNULL_ALL;
/* Returns how many bytes above the bound of the process are held. */
uint64_t connection_budget_excess(
    const struct connection_budget *budget) ATTR_NONNULL_ALL;
/* Returns whether a connection with so many unread bytes is not read on. */
bool connection_budget_must_pause(
    const struct connection_budget *budget, uint64_t unread) ATTR_NONNULL_ALL;
/* Returns whether such a connection is read on again. */
bool connection_budget_may_resume(
    const struct connection_budget *budget, uint64_t unread) ATTR_NONNULL_ALL;
/*
 * Records that of the bytes that a connection was given to send in all, some
 * wait.  Returns whether its caller has taken any since the last time, or all.
 */
bool connection_use_update(struct connection_use *use, uint64_t given,
    uint64_t waiting, uint64_t now_ms) ATTR_NONNULL_ALL;
/* Returns whether a connection is closed before another, which may be NULL. */
bool connection_use_goes_first(const struct connection_use *use,
    const struct connection_use *other, uint64_t now_ms) ATTR_NONNULL(1);

#endif
