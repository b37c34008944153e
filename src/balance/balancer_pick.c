#include <math.h>

#include "balance/balancer_defs.h"
#include "balance/draw.h"
#include "balance/policy.h"
#include "base/clock.h"

/* Shortest wait before a pick is retried when all targets are full. */
#define WAIT_MIN_US (1 * US_PER_MS)

/*
 * Returns whether this entry has as many calls on a target as it may have
 * connections; 0 connections mean no limit.
 */
static bool
is_full(const struct target *target)
{
	uint32_t connections = atomic_load(&target->connections);

	return connections > 0 &&
	    (uint32_t)target_in_flight(target) >= connections;
}

/*
 * Returns whether the call has already been tried on a target.
 */
static bool
is_avoided(const struct target *target, const struct balance_call *call)
{
	for (unsigned i = 0; i < call->avoid_count; i++) {
		if (call->avoid[i].target == target)
			return true;
	}
	return false;
}

struct candidates {
	struct target *targets[POLICY_CANDIDATES];
	size_t count;
	bool full; /* some were left out at their connection limit */
	uint64_t backoff_until_us; /* first end of a backoff; 0: none */
};

/*
 * Records the end of the backoff of a target that was left out for it.
 */
static void
note_backoff(const struct target *target, struct candidates *candidates)
{
	uint64_t until_us = atomic_load(&target->backoff_until_us);

	if (candidates->backoff_until_us == 0 ||
	    until_us < candidates->backoff_until_us)
		candidates->backoff_until_us = until_us;
}

/*
 * Collects up to POLICY_CANDIDATES eligible targets, from a random start if
 * the service has more.
 */
static void
collect_candidates(const struct target_set *set,
    const struct balance_call *call, uint64_t now_us, uint64_t draw,
    bool with_ejected, struct candidates *candidates,
    uint64_t *targets_examined)
{
	size_t start = 0;

	candidates->count = 0;
	candidates->full = false;
	candidates->backoff_until_us = 0;
	if (set->count > POLICY_CANDIDATES)
		start = draw_below(draw, set->count);
	for (size_t n = 0; n < set->count; n++) {
		size_t i =
		    start + n < set->count ? start + n : start + n - set->count;
		struct target *target = set->targets[i];

		++*targets_examined;
		if (target_is_draining(target) || is_avoided(target, call) ||
		    (!with_ejected && target_is_ejected(target, now_us)))
			continue;
		if (target_is_in_backoff(target, now_us)) {
			note_backoff(target, candidates);
			continue;
		}
		if (is_full(target)) {
			candidates->full = true;
			continue;
		}
		candidates->targets[candidates->count++] = target;
		if (candidates->count == POLICY_CANDIDATES)
			return;
	}
}

/*
 * Returns the state of the service for one choice.  The random draw depends
 * only on the seed and the pick's number, so that a run can be repeated.
 */
static struct service_view
make_service_view(
    const struct balancer *balancer, uint64_t pick_number, uint64_t now_us)
{
	return (struct service_view){
	    .now_us = now_us,
	    .draw = draw_mix(balancer->seed +
		(pick_number + 1) * UINT64_C(0x9e3779b97f4a7c15)),
	    .cold_start_us = balancer->cold_start_us,
	    .latency = latency_profile_view(&balancer->latency),
	    .other_calls = balancer->other_calls,
	    .floor_us = balancer->floor_us,
	    .pick_number = pick_number,
	};
}

/*
 * Starts an attempt on a target: counts it as in flight and gives the ticket a
 * reference, which balancer_finish() releases.
 */
static void
start_attempt(
    struct target *target, uint64_t now_us, struct balance_ticket *ticket)
{
	refcount_get(&target->refs);
	ticket->target = target;
	ticket->start_us = now_us;
	ticket->flags = target_begin(target, now_us);
}

/*
 * Picks a target for one attempt.  Draining and avoided targets and those that
 * asked to back off are never picked, ejected ones only if no other is left.
 */
enum balance_verdict
balancer_pick(struct balancer *balancer, const struct balance_call *call,
    uint64_t now_us, struct balance_ticket *ticket, uint64_t *wait_us)
{
	uint64_t pick_number = atomic_fetch_add_explicit(
	    &balancer->pick_number, 1, memory_order_relaxed);
	struct service_view view =
	    make_service_view(balancer, pick_number, now_us);
	enum balance_verdict verdict = BALANCE_NONE;
	const struct target_set *set;
	struct candidates candidates;
	uint64_t targets_examined = 0;

	*wait_us = 0;
	rcu_read_lock();
	set = rcu_dereference(balancer->set);
	collect_candidates(set, call, now_us, view.draw, false, &candidates,
	    &targets_examined);
	if (candidates.count == 0 && !candidates.full)
		collect_candidates(set, call, now_us, view.draw, true,
		    &candidates, &targets_examined);
	if (candidates.count > 0) {
		size_t i = policy_choose(balancer->policy, &view,
		    candidates.targets, candidates.count);

		start_attempt(candidates.targets[i], now_us, ticket);
		verdict = BALANCE_PICKED;
	} else if (candidates.full) {
		*wait_us = (uint64_t)view.latency.mean_us;
		if (*wait_us < WAIT_MIN_US)
			*wait_us = WAIT_MIN_US;
		verdict = BALANCE_WAIT;
	} else if (candidates.backoff_until_us > now_us) {
		*wait_us = candidates.backoff_until_us - now_us;
		verdict = BALANCE_BACKOFF;
	}
	rcu_read_unlock();
	atomic_fetch_add_explicit(&balancer->targets_examined, targets_examined,
	    memory_order_relaxed);
	return verdict;
}

/*
 * Returns from when a hedge is worthwhile: once the attempt is more likely to
 * be on a straggler than just long.  Returns false before the latencies are
 * known.
 */
bool
balancer_hedge_due(struct balancer *balancer,
    const struct balance_ticket *ticket, uint64_t now_us, uint64_t *at_us)
{
	struct service_view view = make_service_view(balancer, 0, now_us);

	if (!view.latency.known)
		return false;
	*at_us = ticket->start_us +
	    (uint64_t)ceil(policy_hedge_age(&view, ticket->target));
	return true;
}
