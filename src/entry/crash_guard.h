/*
 * Requests under which targets end, as seen by this entry: the same request of
 * the same caller is refused for a time once three targets have ended under it
 * (retry/crash_ledger.h).  A target that breaks off a call has ended if it
 * refuses a new connection.  Thread-safe.
 */
#ifndef ENTRY_CRASH_GUARD_H
#define ENTRY_CRASH_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "base/str.h"

struct crash_guard;

/* What makes two requests the same. */
struct crash_identity {
	uint64_t content;
	uint32_t caller;
};

struct crash_guard *crash_guard_new(void) ATTR_UNUSED_RESULT;
void crash_guard_free(struct crash_guard *guard);
/* The caller's address and the hash of the request's content. */
struct crash_identity
crash_identity_of(uint64_t content, const char *address) ATTR_NONNULL_ALL;
/* How long a request is still refused, in microseconds; 0: it is not. */
uint64_t crash_guard_left_us(struct crash_guard *guard,
    const struct crash_identity *identity) ATTR_NONNULL_ALL;
/*
 * The target, of that incarnation, has broken off a call.  Looks whether it has
 * ended, which takes up to 200 ms, and returns that.
 */
bool crash_guard_on_broken(struct crash_guard *guard,
    const struct crash_identity *identity, struct str target,
    uint64_t incarnation, struct str address) ATTR_NONNULL(1, 2);
/* A target has answered the request. */
void crash_guard_on_answered(struct crash_guard *guard,
    const struct crash_identity *identity) ATTR_NONNULL_ALL;

#endif
