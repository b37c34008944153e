/*
 * What answers, failures and load reports teach about a target and its service.
 * Answers targets that slow down, fail, or whose completion messages are lost.
 */
#include <math.h>

#include "placement/placement_defs.h"

/* Weight of one report in the service's mean slowness. */
static const double mean_slowness_weight = 0.01;
/*
 * Slowness that a report counts in the mean at most.  One target that reports
 * wrong numbers must not make all others look too slow to be given a request.
 */
static const double mean_slowness_report_max = 10;
/* Reported slowness must change by this factor to count as a speed change. */
static const double speed_change_ratio = 1.3;

/*
 * Applies a target's load report: its slots, its slowness, the service's mean
 * slowness and, if the slowness differs enough from the last report, a change
 * of speed.
 */
void
placement_update_load(struct placement *p, struct target *t,
    const struct target_load *load, uint64_t now_us)
{
	double slowness = load->slowness > 0 ? load->slowness / 100.0 : 1;
	double before = target_slowness(p, t, now_us);

	if (load->slots > 0)
		t->slots = load->slots;
	t->reported_requests = load->running + load->waiting;
	if (load->waiting > t->most_waiting)
		t->most_waiting = load->waiting;
	if (t->reported_us != 0 &&
	    (slowness > t->slowness * speed_change_ratio ||
		slowness * speed_change_ratio < t->slowness))
		speed_period_record_change(
		    &p->speed_period, &t->speed_phase, t->reported_us, now_us);
	t->slowness = slowness;
	t->reported_us = now_us;
	target_advance(p, t, before, now_us);
	p->mean_slowness += mean_slowness_weight *
	    (fmin(t->slowness, mean_slowness_report_max) - p->mean_slowness);
}

/*
 * Drops the oldest send at a target, whose completion message was lost.
 */
static void
drop_oldest_send(struct placement *p, struct target *t, uint64_t now_us)
{
	struct send *oldest = NULL;

	for (GList *l = p->call_order.head; l != NULL; l = l->next) {
		struct call *call = l->data;

		for (unsigned i = 0; i < call->send_count; i++) {
			struct send *send = &call->sends[i];

			if (send->target == t &&
			    (oldest == NULL ||
				send->granted_us < oldest->granted_us))
				oldest = send;
		}
	}
	if (oldest != NULL)
		oldest->target = NULL;
	placement_release_slot(p, t, now_us);
}

/*
 * Compares the number of requests that a target reports with the number that
 * this placement counts.  Only probe results are compared: the count in a
 * response may include the request that it answers.
 */
void
placement_reconcile(
    struct placement *p, struct target *t, unsigned occupied, uint64_t now_us)
{
	target_advance(p, t, target_slowness(p, t, now_us), now_us);
	t->others_in_flight =
	    occupied > t->in_flight ? occupied - t->in_flight : 0;
	if (occupied >= t->in_flight) {
		t->low_count_probes = 0;
		return;
	}
	if (t->low_count_probes++ == 0)
		t->low_count_since_us = now_us;
	if (t->low_count_probes < LOW_COUNT_PROBES_MIN ||
	    now_us - t->low_count_since_us < LOW_COUNT_MIN_US)
		return;
	t->low_count_probes = 0;
	drop_oldest_send(p, t, now_us);
}

/*
 * Returns the time from a moment to a later one in microseconds, or 0.
 */
static double
time_until(uint64_t until_us, uint64_t from_us)
{
	return until_us > from_us ? (double)(until_us - from_us) : 0;
}

/*
 * Learns the usual work of the route and the occupancy curve from an answered
 * send.  One that ended after its deadline was held up by a pause of the entry:
 * some of 7 s would raise the usual work above the timeout of the route, which
 * then gets no further send, and so no further sample.
 */
void
placement_record_service_time(struct placement *p, const struct call *call,
    const struct send *send, uint64_t took_us, uint64_t now_us)
{
	struct target *t = send->target;
	struct occupancy_exposure exposure;
	uint64_t since_grant = now_us - send->granted_us;
	double spent;
	double work;

	target_advance(p, t, target_slowness(p, t, now_us), now_us);
	if (send->granted_us + took_us > call->request.deadline_us)
		return;
	exposure = target_exposure_since(t, send);
	/* The grant and the completion message take time, too. */
	for (unsigned i = 0; i < OCCUPANCY_LEVELS && took_us < since_grant; i++)
		exposure.us[i] *= (double)took_us / (double)since_grant;
	spent = exposure_sum(&exposure);
	if (spent <= 0) {
		spent = (double)took_us / target_slowness(p, t, now_us);
		service_time_record(
		    &p->work, call->request.route, spent, spent);
		return;
	}
	work = occupancy_curve_work(&p->occupancy, &exposure);
	if (took_us > 0 && now_us >= t->warmup_end_us)
		occupancy_curve_record(&p->occupancy, &exposure,
		    service_time_full_speed(&p->work, call->request.route),
		    time_until(call->request.objective_us, send->granted_us) /
			((double)took_us * work / spent));
	service_time_record(&p->work, call->request.route, spent, work);
}

/*
 * Updates the failure rate and the availability of a target from the outcome of
 * one send.
 */
void
placement_record_outcome(
    struct target *t, enum placement_outcome outcome, uint64_t now_us)
{
	switch (outcome) {
	case OUTCOME_ANSWERED:
		target_record_outcome(t, 0, now_us);
		t->down_period_us = 0;
		break;
	case OUTCOME_FAILED:
		target_record_outcome(t, 1, now_us);
		break;
	case OUTCOME_SHED:
		target_record_outcome(t, 0.5, now_us);
		t->shed_until_us = now_us + SHED_PAUSE_US;
		break;
	case OUTCOME_RESET_FULL:
		t->shed_until_us = now_us + SHED_PAUSE_US;
		break;
	case OUTCOME_UNREACHABLE:
		target_record_outcome(t, 1, now_us);
		target_mark_down(t, now_us);
		break;
	case OUTCOME_TIMED_OUT:
		target_record_outcome(t, 1, now_us);
		break;
	case OUTCOME_ABANDONED:
		break;
	}
}
