/*
 * Atomic reference counts.  The owner of the object frees it when
 * refcount_put() drops the last reference.
 */
#ifndef BASE_REFCOUNT_H
#define BASE_REFCOUNT_H

#include <stdatomic.h>
#include <stdbool.h>

#include "base/invariant.h"

struct refcount {
	atomic_uint count;
};

static inline void
refcount_init(struct refcount *ref)
{
	atomic_init(&ref->count, 1);
}

static inline void
refcount_get(struct refcount *ref)
{
	unsigned before =
	    atomic_fetch_add_explicit(&ref->count, 1, memory_order_relaxed);

	INVARIANT(before > 0, "reference to a freed object taken");
}

/*
 * Drops a reference; returns true when it was the last one.
 */
static inline bool
refcount_put(struct refcount *ref)
{
	unsigned before =
	    atomic_fetch_sub_explicit(&ref->count, 1, memory_order_acq_rel);

	INVARIANT(before > 0, "reference dropped twice");
	return before == 1;
}

#endif
