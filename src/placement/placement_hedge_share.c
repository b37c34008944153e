/*
 * Second sends against the slowest answers, within a share of the service's
 * requests that the operators set.  Answers targets on which a request takes
 * longer than nine in ten do, while others are idle.
 */
#include <math.h>

#include "placement/placement_defs.h"

/* Share of the repeat budget that all second sends together may use. */
static const double hedge_budget_share = 0.6;
/* The second target has to answer within this part of the time left. */
static const double clearly_sooner = 0.7;
/*
 * Occupied part of the useful slots above which a service is short of room: the
 * next burst needs the rest.
 */
static const double room_share = 0.75;

void
placement_set_hedge_share(struct placement *p, double share)
{
	p->hedges.share = share;
	if (share <= 0)
		hedge_budget_empty(&p->hedges);
}

/*
 * Returns whether the service has slots that would stay idle.
 */
static bool
has_idle_room(const struct placement *p, uint64_t now_us)
{
	double useful = 0;
	double occupied = 0;

	if (p->waiting->len > 0)
		return false;
	for (guint i = 0; i < p->order->len; i++) {
		const struct target *t = p->order->pdata[i];

		if (!target_takes_requests(p, t, now_us))
			continue;
		useful += target_useful_slots(p, t);
		occupied += target_occupied(t, now_us);
	}
	return occupied + 1 <= room_share * useful;
}

/*
 * Returns the part of its route's usual time that a send has taken.
 */
static double
taken_ratio(const struct placement *p, const struct call *call,
    const struct send *send, uint64_t now_us)
{
	return (double)(now_us - send->granted_us) /
	    service_time_estimate(&p->work, call->request.route);
}

/*
 * Makes a second send of a call whose only send is slow, if that is expected to
 * be answered clearly sooner.
 */
void
placement_hedge_if_slow(struct placement *p, struct call *call, uint64_t now_us)
{
	const struct placement_request *r = &call->request;
	const struct send *send = &call->sends[0];
	double work = service_time_estimate(&p->work, r->route);
	struct target *best;
	double finish, left;

	/* Entries that place on their own view have no part of the share. */
	if (!p->is_scheduler || !hedge_budget_allows(&p->hedges) ||
	    !r->idempotent || call->waiting || call->send_count != 1 ||
	    r->sends_left < 1 || send->target == NULL ||
	    !latency_quantile_exceeds(&p->latency, send->level,
		taken_ratio(p, call, send, now_us), &left) ||
	    !has_idle_room(p, now_us) ||
	    refusal_window_refuses(&p->refusals, now_us) ||
	    !repeat_budget_allows(&p->budget, hedge_budget_share, now_us))
		return;
	left = fmax(
	    left * work, placement_expected_remaining(p, call, send, now_us));
	best = placement_best_target(p, call, now_us, &finish);
	if (best == NULL || best->limited || target_is_cold(p, best, now_us) ||
	    finish > clearly_sooner * left ||
	    now_us + (uint64_t)finish > r->deadline_us)
		return;
	hedge_budget_take(&p->hedges);
	p->hedge_counts[HEDGE_MADE]++;
	call->sends[1].hedge = true;
	if (p->callbacks.hedge != NULL)
		p->callbacks.hedge(
		    p->callbacks.ctx, r->user, best->id, HEDGE_MADE);
	placement_grant(p, call, best, finish, now_us);
}

/*
 * Reports the end of a second send.
 */
static void
end_hedge(struct placement *p, const struct call *call, struct send *send,
    enum hedge_outcome outcome)
{
	if (!send->hedge)
		return;
	send->hedge = false;
	p->hedge_counts[outcome]++;
	if (p->callbacks.hedge != NULL)
		p->callbacks.hedge(p->callbacks.ctx, call->request.user,
		    send->target != NULL ? send->target->id : "-", outcome);
}

/*
 * Reports the second sends of a call that is removed without an answer.
 */
void
placement_end_hedges(struct placement *p, struct call *call)
{
	for (unsigned i = 0; i < call->send_count; i++)
		end_hedge(p, call, &call->sends[i], HEDGE_FAILED);
}

/*
 * Learns from an ended send and reports the outcome of a second one.  Called
 * before the send is detached from its target.
 */
void
placement_record_hedge(struct placement *p, struct call *call,
    struct send *ended, enum placement_outcome outcome, uint64_t took_us,
    uint64_t now_us)
{
	double work = service_time_estimate(&p->work, call->request.route);
	bool won = ended->hedge;

	if (p->hedges.share <= 0 && !won)
		return;
	if (outcome != OUTCOME_ANSWERED) {
		end_hedge(p, call, ended, HEDGE_FAILED);
		return;
	}
	if (p->is_scheduler)
		hedge_budget_answered(&p->hedges);
	latency_quantile_record(
	    &p->latency, ended->level, (double)took_us / work);
	for (unsigned i = 0; i < call->send_count; i++) {
		struct send *send = &call->sends[i];

		if (send != ended && send->target != NULL)
			latency_quantile_record_cancelled(&p->latency,
			    send->level, taken_ratio(p, call, send, now_us));
		end_hedge(p, call, send, won ? HEDGE_WON : HEDGE_LOST);
	}
}
