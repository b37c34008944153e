/*
 * Targets that asked this entry to send nothing for a time.  They are used
 * again at its end; other entries decide for themselves.
 */
#include "balance/balancer_defs.h"

/*
 * Records the end of a backoff, so that the others are looked at only while
 * there may be one.
 */
void
balancer_note_backoff(struct balancer *balancer, uint64_t until_us)
{
	uint64_t known = atomic_load(&balancer->last_backoff_us);

	while (known < until_us &&
	    !atomic_compare_exchange_weak(
		&balancer->last_backoff_us, &known, until_us))
		;
}

/*
 * Sets until when an incarnation of a target is not to be used; another
 * incarnation is left alone.
 */
void
balancer_set_backoff(struct balancer *balancer, struct str id,
    uint64_t incarnation, uint64_t until_us)
{
	const struct target_set *set;
	size_t i;

	rcu_read_lock();
	set = rcu_dereference(balancer->set);
	i = target_set_find(set, id);
	if (i < set->count &&
	    atomic_load(&set->targets[i]->incarnation) == incarnation) {
		target_set_backoff(set->targets[i], until_us);
		balancer_note_backoff(balancer, until_us);
	}
	rcu_read_unlock();
}

/*
 * Returns the shortest time left if all targets that are not draining asked to
 * back off; 0 if there is none, or one that did not.
 */
uint64_t
balancer_backoff_left_us(const struct balancer *balancer, uint64_t now_us)
{
	const struct target_set *set;
	uint64_t first_us = UINT64_MAX;

	if (atomic_load_explicit(
		&balancer->last_backoff_us, memory_order_relaxed) <= now_us)
		return 0;
	rcu_read_lock();
	set = rcu_dereference(balancer->set);
	for (size_t i = 0; i < set->count; i++) {
		const struct target *target = set->targets[i];
		uint64_t until_us = atomic_load(&target->backoff_until_us);

		if (!target_is_draining(target) && until_us < first_us)
			first_us = until_us;
	}
	rcu_read_unlock();
	return first_us != UINT64_MAX && first_us > now_us ? first_us - now_us
							   : 0;
}

/*
 * Returns how many targets that are not draining asked to back off until later.
 */
uint32_t
balancer_backoff_count(const struct balancer *balancer, uint64_t now_us)
{
	const struct target_set *set;
	uint32_t count = 0;

	rcu_read_lock();
	set = rcu_dereference(balancer->set);
	for (size_t i = 0; i < set->count; i++)
		count += !target_is_draining(set->targets[i]) &&
		    target_is_in_backoff(set->targets[i], now_us);
	rcu_read_unlock();
	return count;
}

/*
 * Returns the latest end of all backoffs so far, which may be over.
 */
uint64_t
balancer_last_backoff_us(const struct balancer *balancer)
{
	return atomic_load(&balancer->last_backoff_us);
}

/*
 * Returns the incarnation of a ticket's target.
 */
uint64_t
balancer_ticket_incarnation(const struct balance_ticket *ticket)
{
	const struct target *target = ticket->target;

	return atomic_load(&target->incarnation);
}

/*
 * Returns whether nothing may be sent to a ticket's target any more.
 */
bool
balancer_ticket_is_withdrawn(
    const struct balance_ticket *ticket, uint64_t now_us)
{
	const struct target *target = ticket->target;

	return target_is_draining(target) ||
	    target_is_in_backoff(target, now_us);
}
