/*
 * Limits log lines to one a minute for each sender of wrong input, of a bounded
 * number of senders.  Not thread-safe: used by one thread.
 */
#ifndef BASE_MINUTE_LOG_H
#define BASE_MINUTE_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/attr.h"

struct minute_log {
	GHashTable *senders; /* logged in this minute; NULL: none yet */
	uint64_t minute;
};

/* Returns whether a sender's line may be logged at a time in microseconds. */
bool minute_log_allow(struct minute_log *log, const char *sender,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void minute_log_free(struct minute_log *log) ATTR_NONNULL_ALL;

#endif
