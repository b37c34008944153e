/*
 * Second sends of requests whose target has become slow or silent.  Answers
 * targets whose speed changes within the duration of one request.
 */
#include <math.h>

#include "placement/placement_defs.h"

/* Share of the repeat budget for hedged sends. */
static const double hedge_budget_share = 0.6;
/*
 * Part of the time to its objective from which on a send can be overdue: a
 * failure costs its target a part of that time, and requests for as long as it
 * is remembered.  Usual times of a millisecond are exceeded by any pause.
 */
static const double overdue_objective_share = 0.1;
/*
 * Remaining work assumed for an overdue request, as a part of its usual work.
 */
static const double overrun_remaining_share = 0.3;

/*
 * Returns the time that a send has run up to the last update of its target, in
 * microseconds at slowness 1.
 */
static double
send_progress(const struct send *send)
{
	const struct occupancy_exposure exposure =
	    target_exposure_since(send->target, send);

	return exposure_sum(&exposure);
}

/*
 * Returns the expected time in microseconds until a send is answered; INFINITY
 * if its target is gone, down or does not answer probes.
 */
double
placement_expected_remaining(const struct placement *p, const struct call *call,
    const struct send *send, uint64_t now_us)
{
	double work = service_time_estimate(&p->work, call->request.route);
	const struct target *t = send->target;
	double left;

	if (t == NULL || !target_is_usable(p, t, now_us))
		return INFINITY;
	left = work - send_progress(send);
	if (left < overrun_remaining_share * work)
		left = overrun_remaining_share * work;
	return target_likely_time(p, t, left, now_us);
}

/*
 * Returns whether a waiting request goes before a second send: one of a more
 * urgent rank, or of the same rank and an account that has used no more.
 */
static bool
is_behind_queue(
    const struct placement *p, const struct call *call, uint64_t now_us)
{
	const struct call *first;

	if (!account_share_is_active(&p->shares) || p->waiting->len == 0)
		return false;
	first = p->waiting->pdata[0];
	if (first->request.rank != call->request.rank)
		return first->request.rank < call->request.rank;
	return account_share_used(&p->shares, first->request.account, now_us) <=
	    account_share_used(&p->shares, call->request.account, now_us);
}

/*
 * Hedges a call: sends it to a second target if all its sends are expected to
 * miss the objective and the second target is expected to meet it.
 */
static void
hedge_if_late(struct placement *p, struct call *call, uint64_t now_us)
{
	const struct placement_request *r = &call->request;
	double finish;
	struct target *best;

	if (!r->idempotent || call->waiting || call->send_count == 0 ||
	    call->send_count > r->sends_left || call->send_count == SENDS_MAX)
		return;
	call->hedge_due = false;
	for (unsigned i = 0; i < call->send_count; i++) {
		double left = placement_expected_remaining(
		    p, call, &call->sends[i], now_us);

		if (left < 1e12 && now_us + (uint64_t)left <= r->objective_us)
			return;
	}
	if (is_behind_queue(p, call, now_us)) {
		call->hedge_due = true;
		return;
	}
	best = placement_best_target(p, call, now_us, &finish);
	call->hedge_due = account_share_is_active(&p->shares) &&
	    (best == NULL || now_us + (uint64_t)finish > r->objective_us);
	if (best == NULL || refusal_window_refuses(&p->refusals, now_us) ||
	    now_us + (uint64_t)finish > r->objective_us ||
	    !repeat_budget_allows(&p->budget, hedge_budget_share, now_us))
		return;
	placement_grant(p, call, best, finish, now_us);
}

/*
 * Returns whether a send has taken so long that it matters to the call.
 */
static bool
is_delayed(const struct call *call, const struct send *send, uint64_t now_us)
{
	double objective =
	    (double)call->request.objective_us - (double)call->submitted_us;

	return (double)(now_us - send->granted_us) >=
	    overdue_objective_share * objective;
}

/*
 * Counts a send that is far overdue as one failure of its target.  Otherwise a
 * target that hangs would be noticed only when the deadline passes.
 */
static void
record_overdue(const struct placement *p, const struct call *call,
    struct send *send, uint64_t now_us)
{
	if (send->overdue || !is_delayed(call, send, now_us) ||
	    send_progress(send) < OVERDUE_FACTOR *
		    service_time_estimate(&p->work, call->request.route))
		return;
	send->overdue = true;
	target_record_outcome(send->target, 1, now_us);
}

/*
 * Updates the sends at a target after a probe of it, and hedges the calls that
 * need it.
 */
void
placement_reassess_sends(struct placement *p, struct target *t, uint64_t now_us)
{
	GPtrArray *list = g_ptr_array_new();

	/* Skips the scan of all calls for a target without sends. */
	if (t->in_flight == 0) {
		g_ptr_array_free(list, TRUE);
		return;
	}
	target_advance(p, t, target_slowness(p, t, now_us), now_us);
	for (GList *l = p->call_order.head; l != NULL; l = l->next) {
		struct call *call = l->data;

		for (unsigned i = 0; i < call->send_count; i++) {
			if (call->sends[i].target != t)
				continue;
			record_overdue(p, call, &call->sends[i], now_us);
			g_ptr_array_add(list, call->request.user);
		}
	}
	/* A grant callback may end calls, so each one is looked up again. */
	for (guint i = 0; i < list->len; i++) {
		struct call *call =
		    g_hash_table_lookup(p->calls, list->pdata[i]);

		if (call == NULL)
			continue;
		hedge_if_late(p, call, now_us);
		call = p->hedges.share > 0
		    ? g_hash_table_lookup(p->calls, list->pdata[i])
		    : NULL;
		if (call != NULL)
			placement_hedge_if_slow(p, call, now_us);
	}
	g_ptr_array_free(list, TRUE);
}

/*
 * Makes the second sends that found no room when they were due, while they go
 * before the first waiting call.  Otherwise an account that fills all slots
 * would keep the others from leaving a target that becomes slow.
 */
void
placement_hedge_before_queue(struct placement *p, uint64_t now_us)
{
	GPtrArray *list = g_ptr_array_new();

	for (GList *l = p->call_order.head; l != NULL; l = l->next) {
		struct call *call = l->data;

		if (call->hedge_due && !is_behind_queue(p, call, now_us))
			g_ptr_array_add(list, call->request.user);
	}
	/* A grant callback may end calls, so each one is looked up again. */
	for (guint i = 0; i < list->len; i++) {
		struct call *call =
		    g_hash_table_lookup(p->calls, list->pdata[i]);

		if (call != NULL)
			hedge_if_late(p, call, now_us);
	}
	g_ptr_array_free(list, TRUE);
}
