#include "placement/placement.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/str.h"
#include "placement/placement_defs.h"
#include "wire/fleet_bounds.h"

/*
 * Share of the repeat budget for retries.  The rest is reserved for entries
 * that lose contact with the scheduler and place on their own.
 */
static const double retry_budget_share = 0.85;

static void
target_free(void *value)
{
	struct target *t = value;

	if (t->away != NULL)
		g_hash_table_destroy(t->away);
	g_hash_table_destroy(t->entry_last_used);
	mem_free(t->id);
	mem_free(t);
}

/*
 * Returns a new placement without targets.
 */
struct placement *
placement_new(const struct placement_callbacks *callbacks,
    const struct repeat_limits *limits, uint64_t seed, uint64_t now_us)
{
	struct placement *p = mem_calloc(1, sizeof(*p));

	p->callbacks = *callbacks;
	repeat_budget_init(&p->budget, limits, now_us);
	account_share_init(&p->shares);
	random_seed(&p->random, seed);
	p->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
	p->order = g_ptr_array_new();
	p->calls = g_hash_table_new_full(NULL, NULL, NULL, mem_free);
	g_queue_init(&p->call_order);
	p->waiting = g_ptr_array_new();
	p->mean_slowness = 1;
	occupancy_curve_init(&p->occupancy);
	return p;
}

/*
 * Changes the ratio and the slack of the repeat budget; the window is kept.
 */
void
placement_set_limits(struct placement *p, const struct repeat_limits *limits)
{
	p->budget.limits.ratio = limits->ratio;
	p->budget.limits.slack = limits->slack;
}

/*
 * Marks this placement as the successor of another instance's.  The repeats
 * that the predecessor has spent are unknown, so the budget is reduced for one
 * window.
 */
void
placement_take_over(struct placement *p, uint64_t now_us)
{
	repeat_budget_take_over(&p->budget, now_us);
}

/*
 * Frees a placement.  No callback is called for waiting requests.
 */
void
placement_free(struct placement *p)
{
	if (p == NULL)
		return;
	g_ptr_array_free(p->waiting, TRUE);
	account_share_clear(&p->shares);
	g_hash_table_destroy(p->calls);
	g_ptr_array_free(p->order, TRUE);
	g_hash_table_destroy(p->targets);
	mem_free(p);
}

/*
 * Inserts a target at a random position.  Entries that place on their own view
 * learn the same targets in the same order; without this all of them would
 * start with the first one.
 */
static void
insert_at_random(struct placement *p, struct target *t)
{
	guint at = (guint)random_below(&p->random, p->order->len + 1);

	g_ptr_array_add(p->order, t);
	p->order->pdata[p->order->len - 1] = p->order->pdata[at];
	p->order->pdata[at] = t;
}

/*
 * Adds a target, or updates the failure domain, slots and warm-up end of a
 * known one.
 */
void
placement_add_target(struct placement *p, const char *id,
    uint32_t failure_domain, uint32_t slots, uint64_t warmup_end_us,
    uint64_t now_us)
{
	struct target *t = g_hash_table_lookup(p->targets, id);

	if (t == NULL) {
		t = mem_calloc(1, sizeof(*t));
		t->id = str_dup(str_from(id));
		t->hash = (uint32_t)str_hash(str_from(id));
		t->entry_last_used = g_hash_table_new(NULL, NULL);
		t->exposed_us = now_us;
		g_hash_table_insert(p->targets, t->id, t);
		insert_at_random(p, t);
	}
	t->failure_domain = failure_domain;
	t->slots = slots;
	target_set_warmup_end(t, warmup_end_us, now_us);
	t->failure_rate_us = now_us;
}

/*
 * Marks the sends at a target as ended, before it is removed.
 */
static void
detach_sends(struct placement *p, const struct target *t)
{

	for (GList *l = p->call_order.head; l != NULL; l = l->next) {
		struct call *call = l->data;

		for (unsigned i = 0; i < call->send_count; i++) {
			if (call->sends[i].target == t)
				call->sends[i].target = NULL;
		}
	}
}

/*
 * Removes a target.  Requests that run on it continue.
 */
void
placement_remove_target(struct placement *p, const char *id)
{
	struct target *t = g_hash_table_lookup(p->targets, id);

	if (t == NULL)
		return;
	detach_sends(p, t);
	p->limited_count -= t->limited ? 1 : 0;
	p->probe_failing_count -= t->probe_failing ? 1 : 0;
	g_ptr_array_remove(p->order, t);
	g_hash_table_remove(p->targets, id);
}

/*
 * Decrements the in-flight count of a target.
 */
void
placement_release_slot(
    const struct placement *p, struct target *t, uint64_t now_us)
{

	target_advance(p, t, target_slowness(p, t, now_us), now_us);
	if (t->in_flight > 0)
		t->in_flight--;
}

/*
 * Removes a call and decrements the in-flight counts of its targets.
 */
void
placement_remove_call(struct placement *p, struct call *call, uint64_t now_us)
{
	placement_dequeue(p, call);
	placement_end_hedges(p, call);
	for (unsigned i = 0; i < call->send_count; i++) {
		if (call->sends[i].target == NULL)
			continue;
		placement_settle_send(p, call, &call->sends[i], now_us);
		placement_release_slot(p, call->sends[i].target, now_us);
	}
	g_queue_unlink(&p->call_order, &call->link);
	g_hash_table_remove(p->calls, call->request.user);
}

/*
 * Submits a request.  A repeat is rejected at once if the budget is exhausted,
 * or if nearly all targets refuse requests.
 * Returns true if the request waits.
 */
bool
placement_submit(struct placement *p, const struct placement_request *request,
    uint64_t now_us)
{
	struct call *call = g_hash_table_lookup(p->calls, request->user);

	if (call != NULL)
		placement_remove_call(p, call, now_us);
	placement_note_submission(p, now_us);
	call = mem_calloc(1, sizeof(*call));
	call->request = *request;
	call->submitted_us = now_us;
	g_hash_table_insert(p->calls, request->user, call);
	call->link.data = call;
	g_queue_push_tail_link(&p->call_order, &call->link);
	if (!request->repeat)
		repeat_budget_request(&p->budget, now_us);
	if (request->repeat &&
	    !repeat_budget_allows(&p->budget, retry_budget_share, now_us)) {
		placement_reject(p, call, REJECT_NO_BUDGET, now_us);
		return false;
	}
	if (request->repeat && refusal_window_refuses(&p->refusals, now_us)) {
		placement_reject(p, call, REJECT_NO_ROOM, now_us);
		return false;
	}
	account_share_note(&p->shares, request->account, now_us);
	placement_enqueue(p, call, now_us);
	/* A dispatch brings the order by shares up to date. */
	if (p->waiting->pdata[0] == call &&
	    (p->dispatching || !account_share_is_active(&p->shares)))
		placement_grant_or_queue(p, call, now_us);
	else
		placement_dispatch(p, now_us);
	call = g_hash_table_lookup(p->calls, request->user);
	return call != NULL && call->waiting;
}

/*
 * Returns whether a request is still queued.
 */
bool
placement_is_waiting(const struct placement *p, void *user)
{
	const struct call *call = g_hash_table_lookup(p->calls, user);

	return call != NULL && call->waiting;
}

/*
 * Removes a request in any state.
 */
void
placement_cancel(struct placement *p, void *user, uint64_t now_us)
{
	struct call *call = g_hash_table_lookup(p->calls, user);

	if (call != NULL)
		placement_remove_call(p, call, now_us);
}

/*
 * Ends one send of a request.  The request is removed if it was answered or has
 * no open send left; it may be submitted again after that.
 */
void
placement_complete(struct placement *p, void *user, const char *target,
    enum placement_outcome outcome, uint64_t took_us,
    const struct target_load *load, uint64_t now_us)
{
	struct target *t = g_hash_table_lookup(p->targets, target);
	struct call *call = g_hash_table_lookup(p->calls, user);
	bool open = false;

	for (unsigned i = 0; call != NULL && i < call->send_count; i++) {
		struct send *send = &call->sends[i];

		if (t == NULL || send->target != t) {
			open = open || send->target != NULL;
			continue;
		}
		if (outcome == OUTCOME_ANSWERED)
			placement_record_service_time(
			    p, call, send, took_us, now_us);
		placement_record_hedge(p, call, send, outcome, took_us, now_us);
		send->target = NULL;
		placement_settle_send(p, call, send, now_us);
		placement_release_slot(p, t, now_us);
	}
	placement_record_refusal(p, outcome, now_us);
	if (t != NULL) {
		placement_record_outcome(t, outcome, now_us);
		if (load != NULL)
			placement_update_load(p, t, load, now_us);
	}
	if (call != NULL && !call->waiting &&
	    (outcome == OUTCOME_ANSWERED || !open))
		placement_remove_call(p, call, now_us);
	placement_dispatch(p, now_us);
}

/*
 * Returns the time of a target's next probe.
 */
uint64_t
placement_probe_due(const struct placement *p, const char *target,
    uint64_t probed_us, uint64_t now_us)
{
	const struct target *t = g_hash_table_lookup(p->targets, target);
	uint64_t latest = probed_us + PROBE_INTERVAL_MAX_US;
	uint64_t best;

	if (t == NULL)
		return latest;
	best = speed_phase_next_probe(
	    &p->speed_period, &t->speed_phase, t->reported_us, now_us);
	if (best == 0)
		return probed_us + PROBE_INTERVAL_UNPREDICTED_US;
	return best < latest ? best : latest;
}

/*
 * Processes the result of a probe; load is NULL if the target did not answer.
 */
void
placement_on_probe(struct placement *p, const char *target,
    const struct target_load *load, uint64_t now_us)
{
	struct target *t = g_hash_table_lookup(p->targets, target);

	if (t == NULL)
		return;
	if (t->probe_failing != (load == NULL))
		p->probe_failing_count += load == NULL ? 1 : -1;
	t->probe_failing = load == NULL;
	if (load != NULL) {
		placement_update_load(p, t, load, now_us);
		if (load->slots > 0)
			placement_reconcile(
			    p, t, load->running + load->waiting, now_us);
		t->down_until_us = 0;
	}
	placement_reassess_sends(p, t, now_us);
	placement_dispatch(p, now_us);
}

/*
 * Returns whether no call is queued or in flight.
 */
bool
placement_is_idle(const struct placement *p)
{
	return p->call_order.length == 0;
}

/*
 * Removes calls that are past their deadline by CALL_EXPIRE_US, and the times
 * for which targets wanted nothing.
 */
static void
expire_calls(struct placement *p, uint64_t now_us)
{
	GPtrArray *expired = g_ptr_array_new();

	for (GList *l = p->call_order.head; l != NULL; l = l->next) {
		const struct call *call = l->data;

		if (!call->waiting &&
		    now_us > call->request.deadline_us + CALL_EXPIRE_US)
			g_ptr_array_add(expired, l->data);
	}
	for (guint i = 0; i < expired->len; i++)
		placement_remove_call(p, expired->pdata[i], now_us);
	g_ptr_array_free(expired, TRUE);
	for (guint i = 0; i < p->order->len; i++)
		target_expire_away(p->order->pdata[i], now_us);
	account_share_expire(&p->shares, now_us);
}

/*
 * Tries to place queued calls, and periodically removes expired ones.
 */
void
placement_tick(struct placement *p, uint64_t now_us)
{
	if (now_us >= p->expire_due_us) {
		p->expire_due_us = now_us + CALL_EXPIRE_US / 4;
		expire_calls(p, now_us);
	}
	placement_dispatch(p, now_us);
}

/*
 * Fills in statistics for logs and metrics.
 */
void
placement_get_stats(
    const struct placement *p, uint64_t now_us, struct placement_stats *figures)
{
	*figures = (struct placement_stats){
	    .targets = p->order->len,
	    .limited = p->limited_count,
	    .waiting = p->waiting->len,
	    .repeats = p->budget.repeat_sum,
	    .requests = p->budget.request_sum,
	    .held_back = p->held_back,
	    .hedges = {p->hedge_counts[HEDGE_MADE], p->hedge_counts[HEDGE_WON],
		p->hedge_counts[HEDGE_LOST], p->hedge_counts[HEDGE_FAILED]},
	    .mean_slowness = p->mean_slowness,
	    .occupancy = p->occupancy,
	};
	for (guint i = 0; i < p->order->len; i++) {
		const struct target *t = p->order->pdata[i];

		figures->in_flight += t->in_flight;
		figures->cold += target_is_cold(p, t, now_us) ? 1 : 0;
		if (!target_takes_requests(p, t, now_us))
			continue;
		figures->usable++;
		figures->slots += t->slots;
		figures->useful_slots += target_useful_slots(p, t);
	}
}

/*
 * Returns the load for the choice of a part.  Only usable targets count: those
 * that are down add neither slots nor requests.
 */
uint32_t
placement_get_load(const struct placement *p, uint64_t now_us)
{
	uint64_t calls = p->waiting->len;
	double work_s = service_time_mean(&p->work) / (double)US_PER_S;
	double slots = 0;

	for (guint i = 0; i < p->order->len; i++) {
		const struct target *t = p->order->pdata[i];
		double useful;

		if (!target_takes_requests(p, t, now_us))
			continue;
		calls += t->in_flight;
		useful = target_useful_slots(p, t);
		slots += t->limited
		    ? fmin(useful, target_limit_rate(p, t).per_s * work_s)
		    : useful;
	}
	if (slots <= 0)
		return FLEET_LOAD_MAX;
	return fleet_clamp(
	    MAX((uint64_t)((double)calls * 100 / slots), 1), FLEET_LOAD_MAX);
}

/*
 * Writes what was learnt of the service.
 */
void
placement_get_model(const struct placement *p, const uint32_t *only,
    struct placement_model *model)
{
	model->route_count = 0;
	for (unsigned i = 0; i < p->work.count &&
	     model->route_count < PLACEMENT_MODEL_ROUTES_MAX;
	     i++) {
		unsigned at = model->route_count;

		if (only != NULL && p->work.routes[i].route != *only)
			continue;
		model->route[at] = p->work.routes[i].route;
		model->work_us[at] = (uint32_t)fmin(
		    p->work.routes[i].work_us, FLEET_WORK_MAX_US);
		model->route_count++;
	}
	occupancy_curve_export(&p->occupancy, model->speed);
}

/*
 * Replaces what was learnt by the model of another instance.
 */
void
placement_adopt_model(struct placement *p, const struct placement_model *model)
{
	for (unsigned i = 0; i < model->route_count; i++)
		service_time_adopt(
		    &p->work, model->route[i], model->work_us[i]);
	occupancy_curve_adopt(&p->occupancy, model->speed);
}

/*
 * Returns whether nothing was learnt or adopted yet.
 */
bool
placement_knows_nothing(const struct placement *p)
{
	return p->work.count == 0 && occupancy_curve_is_empty(&p->occupancy);
}
