#include "balance/target_set.h"

#include "base/memory.h"

/*
 * Returns a set with room for count targets.
 */
struct target_set *
target_set_new(size_t count)
{
	struct target_set *set =
	    mem_calloc(1, sizeof(*set) + count * sizeof(void *));

	set->count = count;
	return set;
}

/*
 * Copies a set, leaving out one target and appending another.  The caller's
 * reference on the appended target passes to the copy.
 */
struct target_set *
target_set_copy(const struct target_set *set, size_t skip, struct target *add)
{
	size_t count = set->count - (skip < set->count) + (add != NULL);
	struct target_set *copy = target_set_new(count);
	size_t n = 0;

	for (size_t i = 0; i < set->count; i++) {
		if (i == skip)
			continue;
		refcount_get(&set->targets[i]->refs);
		copy->targets[n++] = set->targets[i];
	}
	if (add != NULL)
		copy->targets[n++] = add;
	return copy;
}

/*
 * Frees a set after its grace period and releases its references.
 */
static void
set_free(struct rcu_head *rcu)
{
	struct target_set *set = caa_container_of(rcu, struct target_set, rcu);

	for (size_t i = 0; i < set->count; i++)
		target_put(set->targets[i]);
	mem_free(set);
}

/*
 * Frees an unpublished set after a grace period.
 */
void
target_set_retire(struct target_set *set)
{
	call_rcu(&set->rcu, set_free);
}

/*
 * Returns the index of a target, or the set's count if there is none.
 */
size_t
target_set_find(const struct target_set *set, struct str id)
{
	uint64_t hash = str_hash(id);

	for (size_t i = 0; i < set->count; i++) {
		const struct target *target = set->targets[i];

		if (target->hash == hash && str_equal(target->id, id))
			return i;
	}
	return set->count;
}
