/*
 * Metrics of the process: counters and gauges with a name, a help text with
 * the unit and optional labels, rendered as Prometheus text.  Updating is one
 * relaxed atomic operation; registering takes a lock.
 */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/str.h"

enum counter_kind {
	COUNTER_TOTAL,
	COUNTER_GAUGE
};

struct counter {
	_Atomic int64_t value;
	enum counter_kind kind;
	const char *name; /* static text */
	const char *help; /* static text, ends with the unit */
	char *labels; /* key="value",... or NULL; owned */
	struct counter *next;
};

struct counter *
counter_register(enum counter_kind kind, const char *name, const char *help,
    const char *labels_fmt, ...) ATTR_PRINTF(4, 5) ATTR_NONNULL(2, 3);
void counter_render(struct str_buf *out) ATTR_NONNULL_ALL;

static inline void
counter_add(struct counter *counter, int64_t amount)
{
	atomic_fetch_add_explicit(
	    &counter->value, amount, memory_order_relaxed);
}

static inline void
counter_set(struct counter *counter, int64_t value)
{
	atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

static inline int64_t
counter_get(const struct counter *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

#endif
