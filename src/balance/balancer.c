#include "balance/balancer_defs.h"
#include "base/clock.h"
#include "base/memory.h"

/* Age of a target's last report or probe from which it is probed. */
#define PROBE_MIN_AGE_US (1 * US_PER_S)

static const char *const policy_names[BALANCE_POLICY_COUNT] = {
    [BALANCE_RANDOM] = "random",
    [BALANCE_ROUND_ROBIN] = "round robin",
    [BALANCE_LEAST_IN_FLIGHT] = "least in flight",
    [BALANCE_POWER_OF_TWO] = "power of two",
    [BALANCE_PEAK_LATENCY] = "peak latency",
    [BALANCE_EXPECTED_DELAY] = "chosen",
};

/*
 * Returns the name of a policy for output.
 */
const char *
balance_policy_name(enum balance_policy policy)
{
	return policy < BALANCE_POLICY_COUNT ? policy_names[policy] : "unknown";
}

/*
 * Returns a balancer without targets; free it with balancer_free().
 */
struct balancer *
balancer_new(const struct balance_params *params)
{
	struct balancer *balancer = mem_calloc(1, sizeof(*balancer));

	pthread_mutex_init(&balancer->write_lock, NULL);
	balancer->set = target_set_new(0);
	balancer->seed = params->seed;
	balancer_configure(balancer, params);
	return balancer;
}

/*
 * Frees a balancer.  No thread may be using it; tickets not yet finished keep
 * a reference to their targets only.
 */
void
balancer_free(struct balancer *balancer)
{
	if (balancer == NULL)
		return;
	target_set_retire(balancer->set);
	pthread_mutex_destroy(&balancer->write_lock);
	mem_free(balancer);
}

/*
 * Updates the parameters at run time, except the seed.
 */
void
balancer_configure(
    struct balancer *balancer, const struct balance_params *params)
{
	pthread_mutex_lock(&balancer->write_lock);
	balancer->policy = params->policy;
	balancer->cold_start_us = params->cold_start_us;
	balancer->eject_percent = params->eject_percent;
	pthread_mutex_unlock(&balancer->write_lock);
}

/*
 * Publishes a new set; the current one is freed after a grace period.  The
 * caller holds write_lock.
 */
static void
publish(struct balancer *balancer, struct target_set *set)
{
	struct target_set *old = balancer->set;

	rcu_assign_pointer(balancer->set, set);
	target_set_retire(old);
}

/*
 * Returns whether an announcement is from the same process as the target, so
 * that its statistics remain valid.
 */
static bool
is_same_process(
    const struct target *target, const struct balance_target_info *info)
{
	return str_equal(target->address, info->address) &&
	    str_equal(target->failure_domain, info->failure_domain) &&
	    atomic_load(&target->incarnation) == info->incarnation;
}

/*
 * Adds a target or updates it from a renewed announcement.  With another
 * address, failure domain or incarnation it becomes a new target with empty
 * statistics.
 */
void
balancer_upsert(struct balancer *balancer,
    const struct balance_target_info *info, uint64_t now_us)
{
	struct target *target;
	size_t i;

	pthread_mutex_lock(&balancer->write_lock);
	balancer_note_backoff(balancer, info->backoff_until_us);
	i = target_set_find(balancer->set, info->id);
	if (i < balancer->set->count &&
	    is_same_process(balancer->set->targets[i], info)) {
		target_update(balancer->set->targets[i], info, now_us);
	} else {
		target = target_new(info, now_us);
		publish(balancer, target_set_copy(balancer->set, i, target));
	}
	pthread_mutex_unlock(&balancer->write_lock);
}

/*
 * Removes a target; calls in flight on it finish as usual.
 */
void
balancer_remove(struct balancer *balancer, struct str id)
{
	size_t i;

	pthread_mutex_lock(&balancer->write_lock);
	i = target_set_find(balancer->set, id);
	if (i < balancer->set->count)
		publish(balancer, target_set_copy(balancer->set, i, NULL));
	pthread_mutex_unlock(&balancer->write_lock);
}

/*
 * Returns the id of a ticket's target.
 */
struct str
balancer_ticket_id(const struct balance_ticket *ticket)
{
	const struct target *target = ticket->target;

	return target->id;
}

/*
 * Returns the address of a ticket's target.
 */
struct str
balancer_ticket_address(const struct balance_ticket *ticket)
{
	const struct target *target = ticket->target;

	return target->address;
}

/*
 * Returns when a target last reported or was last probed, whichever is later,
 * in microseconds; 0 for never.
 */
static uint64_t
last_report_or_probe_us(const struct target *target)
{
	uint64_t last_us = atomic_load(&target->reported_us);
	uint64_t probed = atomic_load(&target->probed_us);

	return last_us > probed ? last_us : probed;
}

/*
 * Returns the target without a report or probe for longest, if that is
 * PROBE_MIN_AGE_US or more, and records it as probed.  Targets that leave or
 * asked to back off are not probed.  Call it inside an RCU read-side critical
 * section: id and address are valid until its end.
 */
bool
balancer_probe_due(struct balancer *balancer, uint64_t now_us,
    struct balance_target_info *info)
{
	const struct target_set *set;
	struct target *stalest = NULL;
	uint64_t last_us = UINT64_MAX;

	rcu_read_lock();
	set = rcu_dereference(balancer->set);
	for (size_t i = 0; i < set->count; i++) {
		if (last_report_or_probe_us(set->targets[i]) >= last_us ||
		    target_is_draining(set->targets[i]) ||
		    target_is_in_backoff(set->targets[i], now_us))
			continue;
		stalest = set->targets[i];
		last_us = last_report_or_probe_us(stalest);
	}
	if (stalest != NULL && last_us + PROBE_MIN_AGE_US <= now_us) {
		atomic_store(&stalest->probed_us, now_us);
		info->id = stalest->id;
		info->address = stalest->address;
		info->incarnation = atomic_load(&stalest->incarnation);
	} else {
		stalest = NULL;
	}
	rcu_read_unlock();
	return stalest != NULL;
}

/*
 * Returns the number of targets examined by all picks so far.
 */
uint64_t
balancer_targets_examined(const struct balancer *balancer)
{
	return atomic_load(&balancer->targets_examined);
}

/*
 * Counts the targets that are not draining, the slots of those that are not in
 * a backoff, and the calls of this entry in flight on all targets.
 */
void
balancer_totals(const struct balancer *balancer, uint64_t now_us,
    uint32_t *targets, uint32_t *slots, uint32_t *in_flight)
{
	const struct target_set *set;

	*targets = 0;
	*slots = 0;
	*in_flight = 0;
	rcu_read_lock();
	set = rcu_dereference(balancer->set);
	for (size_t i = 0; i < set->count; i++) {
		const struct target *target = set->targets[i];

		*in_flight += (uint32_t)target_in_flight(target);
		if (target_is_draining(target))
			continue;
		++*targets;
		if (!target_is_in_backoff(target, now_us))
			*slots += target_slots(target);
	}
	rcu_read_unlock();
}
