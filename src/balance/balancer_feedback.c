#include <math.h>

#include "balance/balancer_defs.h"
#include "base/clock.h"

/* Errors one after another that eject a target. */
#define EJECT_CONSECUTIVE_ERRORS 3
/* Share of errors among recent attempts that ejects a target. */
#define EJECT_ERROR_RATE 0.5
/* Weight of one attempt in a target's share of errors. */
#define ERROR_RATE_WEIGHT 0.1
/* The first ejection's length, doubled for each in a row, and its bound. */
#define EJECT_BASE_US (500 * US_PER_MS)
#define EJECT_MAX_US (30 * US_PER_S)
/* Weight of one answer in the service's averages. */
#define SERVICE_AVERAGE_WEIGHT 0.02
/* Above these odds of a straggler its latencies are left out. */
#define PROFILE_MAX_LOG_ODDS 4.0

enum {
	TICKET_START_INDEX_MASK = 0xff
};

/*
 * Whether one more target may be ejected: the cap holds over the targets
 * now in the set.
 */
static bool
may_eject(struct balancer *balancer, uint64_t now_us)
{
	const struct target_set *set = rcu_dereference(balancer->set);
	size_t ejected = 0;

	for (size_t i = 0; i < set->count; i++)
		ejected += target_is_ejected(set->targets[i], now_us);
	return (ejected + 1) * 100 <=
	    set->count * (size_t)balancer->eject_percent;
}

/*
 * Ejects a target that keeps failing, for longer each time in a row.
 */
static void
eject(struct balancer *balancer, struct target *target, uint64_t now_us)
{
	uint64_t duration_us = EJECT_BASE_US;
	uint32_t consecutive;

	pthread_mutex_lock(&balancer->write_lock);
	if (!target_is_ejected(target, now_us) && may_eject(balancer, now_us)) {
		consecutive = atomic_fetch_add(&target->ejections, 1);
		duration_us <<= consecutive < 10 ? consecutive : 10;
		if (duration_us > EJECT_MAX_US)
			duration_us = EJECT_MAX_US;
		atomic_store(&target->ejected_until_us, now_us + duration_us);
	}
	pthread_mutex_unlock(&balancer->write_lock);
}

/*
 * Counts an error and ejects the target after EJECT_CONSECUTIVE_ERRORS in a row, or when
 * they are too large a share of recent attempts.
 */
static void
record_failure(
    struct balancer *balancer, struct target *target, uint64_t now_us)
{
	uint32_t consecutive =
	    atomic_fetch_add(&target->consecutive_errors, 1) + 1;
	double share = target->error_rate;

	share += ERROR_RATE_WEIGHT * (1.0 - share);
	target->error_rate = share;
	if (consecutive >= EJECT_CONSECUTIVE_ERRORS ||
	    share >= EJECT_ERROR_RATE)
		eject(balancer, target, now_us);
}

/*
 * Weighs a latency, or the age at which an attempt was given up, as a sign
 * of a straggler.  Latencies of a likely straggler don't shape the
 * service's profile.
 */
static void
record_latency(struct balancer *balancer, struct target *target,
    uint64_t latency_us, bool answered, uint64_t now_us)
{
	struct latency_view view = latency_profile_view(&balancer->latency);
	double floor = target->floor_us;
	double above_floor = fmax((double)latency_us - floor, 0.0);

	if (view.known)
		straggler_observe(&target->straggler, view.mean_us,
		    latency_surprisal(&view, above_floor), answered, now_us);
	if (!answered ||
	    straggler_log_odds(&target->straggler, view.mean_us, now_us) >
		PROFILE_MAX_LOG_ODDS)
		return;
	latency_profile_observe(&balancer->latency, above_floor);
	balancer->floor_us = balancer->floor_us +
	    SERVICE_AVERAGE_WEIGHT * (floor - balancer->floor_us);
}

/*
 * Learns from a whole answer: it ends a row of errors, and once errors are
 * rare again the next ejection starts short.
 */
static void
record_answer(struct balancer *balancer, struct target *target,
    uint64_t latency_us, uint64_t now_us)
{
	atomic_store(&target->consecutive_errors, 0);
	target->error_rate = target->error_rate * (1.0 - ERROR_RATE_WEIGHT);
	if (target->error_rate < ERROR_RATE_WEIGHT)
		atomic_store(&target->ejections, 0);
	target_observe(target, latency_us, now_us);
	record_latency(balancer, target, latency_us, true, now_us);
}

/*
 * Takes over a target's report and folds the other entries' calls there into
 * the service's average.
 */
static void
record_report(struct balancer *balancer, struct target *target,
    const struct balance_report *report, uint64_t now_us)
{
	double other_calls = balancer->other_calls;

	target_record_report(target, report, now_us);
	balancer->other_calls = other_calls +
	    SERVICE_AVERAGE_WEIGHT *
		(target->reported_other_calls - other_calls);
}

/*
 * Ends an attempt and learns from its outcome.  An unstarted or cancelled
 * attempt says nothing of the latency.  The ticket may still be named among
 * those to avoid, but not be asked for its id.
 */
void
balancer_finish(struct balancer *balancer, struct balance_ticket *ticket,
    enum balance_outcome outcome, uint64_t now_us,
    const struct balance_report *report)
{
	struct target *target = ticket->target;
	uint64_t latency =
	    now_us > ticket->start_us ? now_us - ticket->start_us : 0;

	rcu_read_lock();
	target_end(target, ticket->flags & TICKET_START_INDEX_MASK);
	if (report != NULL)
		record_report(balancer, target, report, now_us);
	switch (outcome) {
	case BALANCE_ANSWERED:
		record_answer(balancer, target, latency, now_us);
		break;
	case BALANCE_ERROR:
	case BALANCE_UNREACHABLE:
	case BALANCE_BROKEN:
		record_failure(balancer, target, now_us);
		break;
	case BALANCE_SHED:
		break;
	case BALANCE_CANCELLED:
		record_latency(balancer, target, latency, false, now_us);
		break;
	default:
		break;
	}
	rcu_read_unlock();
	target_put(target);
}

/*
 * Takes over a report that came by a probe.
 */
void
balancer_report(struct balancer *balancer, struct str id,
    const struct balance_report *report, uint64_t now_us)
{
	const struct target_set *set;
	size_t i;

	rcu_read_lock();
	set = rcu_dereference(balancer->set);
	i = target_set_find(set, id);
	if (i < set->count)
		record_report(balancer, set->targets[i], report, now_us);
	rcu_read_unlock();
}
