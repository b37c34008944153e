/*
 * The targets of a service, published to readers through RCU.  Internal to
 * src/balance.
 */
#ifndef BALANCE_TARGET_SET_H
#define BALANCE_TARGET_SET_H

#include <urcu.h>

#include "balance/target.h"

struct target_set {
	struct rcu_head rcu;
	size_t count;
	struct target *targets[]; /* one reference each */
};

struct target_set *target_set_new(size_t count) ATTR_UNUSED_RESULT;
/*
 * Copies a set, without the target at index skip (SIZE_MAX: none) and with add
 * unless it is NULL.
 */
struct target_set *target_set_copy(const struct target_set *set, size_t skip,
    struct target *add) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;
/* Frees the set once no reader can see it. */
void target_set_retire(struct target_set *set) ATTR_NONNULL_ALL;
size_t
target_set_find(const struct target_set *set, struct str id) ATTR_NONNULL_ALL;

#endif
