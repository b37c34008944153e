#include "placement/placement.h"

#include <math.h>
#include <string.h>

#include "base/memory.h"
#include "base/str.h"
#include "placement/placement_defs.h"

/*
 * Shares of the repeat budget for retries and for hedged sends.  The rest is
 * reserved for entries that lose contact with the scheduler and place on their
 * own.
 */
static const double retry_budget_share = 0.85;
static const double hedge_budget_share = 0.6;
/* Weight of one report in the service's mean slowness. */
static const double mean_slowness_weight = 0.01;
/* Reported slowness must change by this factor to count as a speed change. */
static const double speed_change_ratio = 1.3;
/*
 * Remaining work assumed for an overdue request, as a part of its usual work.
 */
static const double overrun_remaining_share = 0.3;
/* Part of its slack that a newly arrived request may spend waiting. */
static const double admission_wait_share = 0.4;
/*
 * Jitter of Retry-After as a part of its value, so that rejected callers do not
 * all return at once.
 */
static const double retry_after_jitter = 0.6;

static void
target_free(void *value)
{
	struct target *t = value;

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
	t->warmup_end_us = warmup_end_us;
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
	p->probe_failing_count -= t->probe_failing ? 1 : 0;
	g_ptr_array_remove(p->order, t);
	g_hash_table_remove(p->targets, id);
}

/*
 * Applies the minimum and the jitter to a Retry-After time in microseconds.
 */
static uint64_t
jitter_retry_after(struct placement *p, double retry_us)
{
	if (retry_us < RETRY_AFTER_MIN_US)
		retry_us = RETRY_AFTER_MIN_US;
	return (uint64_t)(retry_us *
	    (1 + retry_after_jitter * (random_unit(&p->random) - 0.5)));
}

/*
 * Returns how many requests with this much work a target completes per
 * microsecond with as many as it is given at most.
 */
static double
full_target_rate(const struct placement *p, const struct target *t,
    double work_us, uint64_t now_us)
{
	unsigned slots = target_useful_slots(p, t);
	double speed = occupancy_curve_speed(&p->occupancy, slots, t->slots);

	return slots / target_likely_time(p, t, work_us / speed, now_us);
}

/*
 * Returns how many requests with this much work the usable targets complete per
 * microsecond.
 */
static double
completion_rate(const struct placement *p, double work_us, uint64_t now_us)
{
	double sum = 0;

	for (guint i = 0; i < p->order->len; i++) {
		const struct target *t = p->order->pdata[i];

		if (target_is_usable(p, t, now_us))
			sum += full_target_rate(p, t, work_us, now_us);
	}
	return sum;
}

/*
 * Returns the expected wait for a slot in microseconds, behind the waiting
 * calls of the same or a higher rank; INFINITY if no target is usable.
 */
static double
expected_wait(
    const struct placement *p, const struct call *call, uint64_t now_us)
{
	double work = 0;
	double rate;
	unsigned ahead = 1;

	for (guint i = 0; i < p->waiting->len; i++) {
		const struct call *other = p->waiting->pdata[i];

		if (other == call || other->request.rank > call->request.rank)
			continue;
		work += service_time_estimate(&p->work, other->request.route);
		ahead++;
	}
	work = (work + service_time_estimate(&p->work, call->request.route)) /
	    ahead;
	rate = completion_rate(p, work, now_us);
	return rate > 0 ? ahead / rate : INFINITY;
}

static void
dequeue(struct placement *p, struct call *call)
{
	if (!call->waiting)
		return;
	call->waiting = false;
	g_ptr_array_remove(p->waiting, call);
}

/*
 * Decrements the in-flight count of a target.
 */
static void
release_slot(const struct placement *p, struct target *t, uint64_t now_us)
{

	target_advance(p, t, target_slowness(p, t, now_us), now_us);
	if (t->in_flight > 0)
		t->in_flight--;
}

/*
 * Removes a call and decrements the in-flight counts of its targets.
 */
static void
remove_call(struct placement *p, struct call *call, uint64_t now_us)
{
	dequeue(p, call);
	for (unsigned i = 0; i < call->send_count; i++) {
		if (call->sends[i].target != NULL)
			release_slot(p, call->sends[i].target, now_us);
	}
	g_queue_unlink(&p->call_order, &call->link);
	g_hash_table_remove(p->calls, call->request.user);
}

/*
 * Removes a call and rejects it with the expected wait as Retry-After.
 */
static void
reject(struct placement *p, struct call *call, enum placement_reason reason,
    uint64_t now_us)
{
	void *user = call->request.user;
	double wait = expected_wait(p, call, now_us);

	if (!isfinite(wait))
		wait = DOWN_INITIAL_US;
	remove_call(p, call, now_us);
	p->callbacks.reject(
	    p->callbacks.ctx, user, jitter_retry_after(p, wait), reason);
}

/*
 * Records a send at a target and calls the grant callback.  Every send after
 * the first one of a request counts as a repeat.
 */
static void
grant(struct placement *p, struct call *call, struct target *t,
    double finish_us, uint64_t now_us)
{
	if (call->request.repeat || call->send_count > 0)
		repeat_budget_repeat(&p->budget, now_us);
	dequeue(p, call);
	target_advance(p, t, target_slowness(p, t, now_us), now_us);
	call->sends[call->send_count++] = (struct send){
	    .target = t,
	    .granted_us = now_us,
	    .exposure = t->exposure,
	};
	t->in_flight++;
	target_record_use(t, call->request.requester, now_us);
	p->callbacks.grant(
	    p->callbacks.ctx, call->request.user, t->id, (uint64_t)finish_us);
}

static bool
has_usable_target(const struct placement *p, uint64_t now_us)
{
	for (guint i = 0; i < p->order->len; i++) {
		if (target_is_usable(p, p->order->pdata[i], now_us))
			return true;
	}
	return false;
}

/*
 * Returns whether a call may wait for a slot and still be answered within its
 * objective.  A call that was not admitted yet may use only a part of its
 * slack: with a queue of the maximum length every call would be answered just
 * at its limit, and many would be rejected after waiting.
 */
static bool
may_wait(const struct placement *p, const struct call *call, uint64_t now_us)
{
	double work = service_time_estimate(&p->work, call->request.route);
	double slack =
	    (double)call->request.objective_us - (double)now_us - work;
	double wait;

	if (slack <= 0)
		return false;
	wait = expected_wait(p, call, now_us);
	return wait <= (call->admitted ? slack : admission_wait_share * slack);
}

/*
 * Grants a call, leaves it queued, or rejects it.  A call waits for a faster
 * slot only while that slot could still meet its objective.  A call that can't
 * meet it takes a free slot now or is rejected.
 */
static void
grant_or_queue(struct placement *p, struct call *call, uint64_t now_us)
{
	const struct placement_request *r = &call->request;
	double finish;
	struct target *best = placement_best_target(p, call, now_us, &finish);
	if (best != NULL && now_us + (uint64_t)finish <= r->objective_us) {
		grant(p, call, best, finish, now_us);
		return;
	}
	if (!has_usable_target(p, now_us)) {
		reject(p, call, REJECT_NO_TARGET, now_us);
		return;
	}
	if (may_wait(p, call, now_us)) {
		call->admitted = true;
		return;
	}
	best = placement_slowest_target(p, call, now_us, &finish);
	if (best != NULL) {
		grant(p, call, best, finish, now_us);
		return;
	}
	reject(p, call, REJECT_NO_ROOM, now_us);
}

/*
 * Tries to place all queued calls, the most urgent first.
 */
static void
dispatch(struct placement *p, uint64_t now_us)
{
	GPtrArray *round;

	if (p->dispatching || p->waiting->len == 0)
		return;
	p->dispatching = true;
	round = g_ptr_array_copy(p->waiting, NULL, NULL);
	for (guint i = 0; i < round->len; i++) {
		struct call *call = round->pdata[i];

		/* A callback may have cancelled the call. */
		if (g_ptr_array_find(p->waiting, call, NULL))
			grant_or_queue(p, call, now_us);
	}
	g_ptr_array_free(round, TRUE);
	p->dispatching = false;
}

/*
 * Returns whether a call precedes another in the queue: by rank, then by
 * objective.
 */
static bool
is_more_urgent(const struct call *a, const struct call *b)
{
	if (a->request.rank != b->request.rank)
		return a->request.rank < b->request.rank;
	return a->request.objective_us < b->request.objective_us;
}

static void
enqueue(struct placement *p, struct call *call)
{
	guint at = 0;

	while (
	    at < p->waiting->len && is_more_urgent(p->waiting->pdata[at], call))
		at++;
	g_ptr_array_insert(p->waiting, (gint)at, call);
	call->waiting = true;
}

/*
 * Submits a request.  A repeat is rejected at once if the budget is exhausted.
 * Returns true if the request waits.
 */
bool
placement_submit(struct placement *p, const struct placement_request *request,
    uint64_t now_us)
{
	struct call *call = g_hash_table_lookup(p->calls, request->user);

	if (call != NULL)
		remove_call(p, call, now_us);
	call = mem_calloc(1, sizeof(*call));
	call->request = *request;
	g_hash_table_insert(p->calls, request->user, call);
	call->link.data = call;
	g_queue_push_tail_link(&p->call_order, &call->link);
	if (!request->repeat)
		repeat_budget_request(&p->budget, now_us);
	if (request->repeat &&
	    !repeat_budget_allows(&p->budget, retry_budget_share, now_us)) {
		reject(p, call, REJECT_NO_BUDGET, now_us);
		return false;
	}
	enqueue(p, call);
	if (p->waiting->pdata[0] == call)
		grant_or_queue(p, call, now_us);
	else
		dispatch(p, now_us);
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
		remove_call(p, call, now_us);
}

/*
 * Applies a target's load report: its slots, its slowness, the service's mean
 * slowness and, if the slowness differs enough from the last report, a change
 * of speed.
 */
static void
update_load(struct placement *p, struct target *t,
    const struct target_load *load, uint64_t now_us)
{
	double slowness = load->slowness > 0 ? load->slowness / 100.0 : 1;
	double before = target_slowness(p, t, now_us);

	if (load->slots > 0)
		t->slots = load->slots;
	if (t->reported_us != 0 &&
	    (slowness > t->slowness * speed_change_ratio ||
		slowness * speed_change_ratio < t->slowness))
		speed_period_record_change(
		    &p->speed_period, &t->speed_phase, t->reported_us, now_us);
	t->slowness = slowness;
	t->reported_us = now_us;
	target_advance(p, t, before, now_us);
	p->mean_slowness +=
	    mean_slowness_weight * (t->slowness - p->mean_slowness);
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
	release_slot(p, t, now_us);
}

/*
 * Compares the number of requests that a target reports with the number that
 * this placement counts.  Only probe results are compared: the count in a
 * response may include the request that it answers.
 */
static void
reconcile_in_flight(
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
 * Returns the work that a send has done up to the last update of its target, in
 * microseconds.
 */
static double
send_progress(const struct placement *p, const struct send *send)
{
	const struct occupancy_exposure exposure =
	    target_exposure_since(send->target, send);

	return occupancy_curve_work(&p->occupancy, &exposure);
}

/*
 * Returns the expected time in microseconds until a send is answered; INFINITY
 * if its target is gone, down or does not answer probes.
 */
static double
expected_remaining(const struct placement *p, const struct call *call,
    const struct send *send, uint64_t now_us)
{
	double work = service_time_estimate(&p->work, call->request.route);
	const struct target *t = send->target;
	double left;

	if (t == NULL || !target_is_usable(p, t, now_us))
		return INFINITY;
	left = work - send_progress(p, send);
	if (left < overrun_remaining_share * work)
		left = overrun_remaining_share * work;
	left /= occupancy_curve_speed(
	    &p->occupancy, target_occupied(t, now_us), t->slots);
	return target_likely_time(p, t, left, now_us);
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
	for (unsigned i = 0; i < call->send_count; i++) {
		double left =
		    expected_remaining(p, call, &call->sends[i], now_us);

		if (left < 1e12 && now_us + (uint64_t)left <= r->objective_us)
			return;
	}
	best = placement_best_target(p, call, now_us, &finish);
	if (best == NULL || now_us + (uint64_t)finish > r->objective_us ||
	    !repeat_budget_allows(&p->budget, hedge_budget_share, now_us))
		return;
	grant(p, call, best, finish, now_us);
}

/*
 * Counts a send that is far overdue as one failure of its target.  Otherwise a
 * target that hangs would be noticed only when the deadline passes.
 */
static void
record_overdue(const struct placement *p, const struct call *call,
    struct send *send, uint64_t now_us)
{
	if (send->overdue ||
	    send_progress(p, send) < OVERDUE_FACTOR *
		    service_time_estimate(&p->work, call->request.route))
		return;
	send->overdue = true;
	target_record_outcome(send->target, 1, now_us);
}

/*
 * Updates the sends at a target after a probe of it, and hedges the calls that
 * need it.
 */
static void
reassess_sends(struct placement *p, struct target *t, uint64_t now_us)
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

		if (call != NULL)
			hedge_if_late(p, call, now_us);
	}
	g_ptr_array_free(list, TRUE);
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
 * send.
 */
static void
record_service_time(struct placement *p, const struct call *call,
    const struct send *send, uint64_t took_us, uint64_t now_us)
{
	struct target *t = send->target;
	struct occupancy_exposure exposure;
	uint64_t since_grant = now_us - send->granted_us;
	double sum = 0;
	double work;

	target_advance(p, t, target_slowness(p, t, now_us), now_us);
	exposure = target_exposure_since(t, send);
	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++) {
		/* The grant and the completion message take time, too. */
		if (took_us < since_grant)
			exposure.us[i] *= (double)took_us / (double)since_grant;
		sum += exposure.us[i];
	}
	work = sum > 0 ? occupancy_curve_work(&p->occupancy, &exposure)
		       : (double)took_us / target_slowness(p, t, now_us);
	if (sum > 0 && took_us > 0 && now_us >= t->warmup_end_us)
		occupancy_curve_record(&p->occupancy, &exposure,
		    service_time_long_run(&p->work, call->request.route),
		    time_until(call->request.objective_us, send->granted_us) /
			((double)took_us * work / sum));
	service_time_record(&p->work, call->request.route, work);
}

/*
 * Updates the failure rate and the availability of a target from the outcome of
 * one send.
 */
static void
record_outcome(
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
			record_service_time(p, call, send, took_us, now_us);
		send->target = NULL;
		release_slot(p, t, now_us);
	}
	if (t != NULL) {
		record_outcome(t, outcome, now_us);
		if (load != NULL)
			update_load(p, t, load, now_us);
	}
	if (call != NULL && !call->waiting &&
	    (outcome == OUTCOME_ANSWERED || !open))
		remove_call(p, call, now_us);
	dispatch(p, now_us);
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
		update_load(p, t, load, now_us);
		if (load->slots > 0)
			reconcile_in_flight(
			    p, t, load->running + load->waiting, now_us);
		t->down_until_us = 0;
	}
	reassess_sends(p, t, now_us);
	dispatch(p, now_us);
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
 * Removes calls that are past their deadline by CALL_EXPIRE_US.
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
		remove_call(p, expired->pdata[i], now_us);
	g_ptr_array_free(expired, TRUE);
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
	dispatch(p, now_us);
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
	    .waiting = p->waiting->len,
	    .repeats = p->budget.repeat_sum,
	    .requests = p->budget.request_sum,
	    .mean_slowness = p->mean_slowness,
	    .occupancy = p->occupancy,
	};
	for (guint i = 0; i < p->order->len; i++) {
		const struct target *t = p->order->pdata[i];

		figures->in_flight += t->in_flight;
		if (!target_is_usable(p, t, now_us))
			continue;
		figures->usable++;
		figures->slots += t->slots;
		figures->useful_slots += target_useful_slots(p, t);
	}
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
		model->work_us[at] = (uint32_t)p->work.routes[i].work_us;
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
