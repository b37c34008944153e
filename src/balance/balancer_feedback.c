#include <math.h>

#include "balance/balancer_defs.h"
#include "base/clock.h"

/* Consecutive errors that eject a target. */
#define EJECT_CONSECUTIVE_ERRORS 3
/* Error rate of recent attempts that ejects a target. */
#define EJECT_ERROR_RATE 0.5
/* Weight of one attempt in a target's error rate. */
#define ERROR_RATE_WEIGHT 0.1
/*
 * Duration of the first ejection, doubled for each consecutive one, and its
 * limit.
 */
#define EJECT_BASE_US (500 * US_PER_MS)
#define EJECT_MAX_US (30 * US_PER_S)
/* Weight of one sample in the service's averages. */
#define SERVICE_AVERAGE_WEIGHT 0.02
/*
 * Above these log odds of a straggler its latencies are left out of the
 * profile.
 */
#define PROFILE_MAX_LOG_ODDS 4.0

enum {
	TICKET_START_INDEX_MASK = 0xff
};

/*
 * Returns whether one more target may be ejected: the limit is relative to the
 * current number of targets.
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
 * Ejects a failing target, for longer with each consecutive ejection.
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
 * Counts an error and ejects the target after EJECT_CONSECUTIVE_ERRORS errors
 * without an answer between them, or at an error rate of EJECT_ERROR_RATE.
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
 * Evaluates a latency, or the age at which an attempt was given up, as
 * evidence of a straggler.  Latencies of a likely straggler are left out of
 * the service's profile.
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
 * Evaluates a complete answer: it resets the consecutive errors, and once the
 * error rate is low the duration of the next ejection.
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
 * Records a target's report and updates the service's average of other
 * entries' calls.
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
 * Ends an attempt and evaluates its outcome.  An attempt that was not started
 * says nothing about the latency, and a cancelled one only that it took
 * longer.  Afterwards the ticket may still be listed as one to avoid, but its
 * id may not be read.
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
 * Records a report received by a probe.
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
