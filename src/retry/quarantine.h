/*
 * Requests that are refused for a time since targets end under them, by content
 * and caller.  Performs no I/O; the time is an argument.
 */
#ifndef RETRY_QUARANTINE_H
#define RETRY_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "wire/fleet.pb-c.h"

enum {
	QUARANTINE_MS = 10 * 60 * 1000
};

struct quarantine;

struct quarantine *quarantine_new(void) ATTR_UNUSED_RESULT;
void quarantine_free(struct quarantine *quarantine);
/*
 * Refuses a caller's requests, or all callers' (CRASH_ANY_CALLER), until a time.
 * Returns false if that was known.
 */
bool quarantine_add(struct quarantine *quarantine, uint64_t content,
    uint32_t caller, uint64_t until_us) ATTR_NONNULL_ALL;
/* Returns false if it was not there. */
bool quarantine_remove(struct quarantine *quarantine, uint64_t content,
    uint32_t caller) ATTR_NONNULL_ALL;
/* How long a request is still refused, in microseconds; 0: it is not. */
uint64_t quarantine_left_us(const struct quarantine *quarantine,
    uint64_t content, uint32_t caller, uint64_t now_us) ATTR_NONNULL_ALL;
void quarantine_for_each(const struct quarantine *quarantine, uint64_t now_us,
    void (*callback)(
	void *ctx, uint64_t content, uint32_t caller, uint64_t left_us),
    void *ctx) ATTR_NONNULL(1, 3);
/* A message to other instances; left_us 0: it is not refused any more. */
Fleet__Quarantine
quarantine_message(uint64_t content, uint32_t caller, uint64_t left_us);
/* Forgets what is over; returns how many are left. */
unsigned quarantine_expire(
    struct quarantine *quarantine, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
