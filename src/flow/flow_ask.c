/*
 * Our questions to the schedulers of services, and what they answer.
 */
#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/* Five round trips between failure domains; work takes 70 ms or more. */
	ANSWER_MS = 20,
	HELD_MS =
	    60, /* a held request is asked for again, if a word was lost */
	SUSPECT_TIMEOUTS = 3 /* in a row, each of two questions */
};

static void on_answer_timeout(uv_timer_t *timer);

static uint32_t
ms_left(const struct flow *flow, uint64_t until_us)
{
	uint64_t now = flow_now_us(flow);

	return until_us > now ? (uint32_t)((until_us - now) / US_PER_MS) : 0;
}

/*
 * Fills a placement's request for one of our exchanges.
 */
static struct placement_request
request_of(struct exchange *x, bool repeat)
{
	struct placement_request request = {
	    .route = x->route->id,
	    .rank = x->route->rank,
	    .large = x->route->repeat == REPEAT_ALLOWED_LARGE,
	    .repeat = repeat,
	    .idempotent = route_is_idempotent(x->route),
	    .objective_us = x->objective_us,
	    .deadline_us = x->deadline_us,
	    .failure_domain = x->flow->failure_domain,
	    .asker = 1, /* other entries' are hashes of their addresses */
	    .user = &x->asker,
	};
	unsigned used = x->attempt_count + 1;

	request.sends_left =
	    x->route->max_attempts > used ? x->route->max_attempts - used : 0;
	for (unsigned i = 0; i < x->excluded_count; i++)
		request.excluded[request.excluded_count++] = x->excluded[i];
	for (unsigned i = 0; i < x->attempt_count; i++) {
		if (request.excluded_count < PLACEMENT_EXCLUDED_MAX)
			request.excluded[request.excluded_count++] =
			    x->attempts[i].target_hash;
	}
	return request;
}

static void
ask_here(struct exchange *x, bool repeat)
{
	struct placement_request request = request_of(x, repeat);

	x->ask_is_local = true;
	(void)schedule_place(x->service, &request);
}

static void
send_ask(struct exchange *x, bool repeat)
{
	struct placement_request r = request_of(x, repeat);
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Ask ask = FLEET__ASK__INIT;

	x->asked_boot_us = clock_boot_us();
	ask.request = x->ask;
	ask.service = x->service->name;
	ask.route = r.route;
	ask.rank = r.rank;
	ask.objective_left_ms = ms_left(x->flow, r.objective_us);
	ask.deadline_left_ms = ms_left(x->flow, r.deadline_us);
	ask.failure_domain = r.failure_domain;
	ask.large = r.large;
	ask.repeat = repeat;
	ask.idempotent = r.idempotent;
	ask.sends_left = r.sends_left;
	ask.n_excluded = r.excluded_count;
	ask.excluded = r.excluded;
	datagram.body_case = FLEET__DATAGRAM__BODY_ASK;
	datagram.ask = &ask;
	datagram_send(x->flow, &x->asked, &datagram);
}

static void
send_cancel(struct exchange *x)
{
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Cancel cancel = FLEET__CANCEL__INIT;

	cancel.request = x->ask;
	datagram.body_case = FLEET__DATAGRAM__BODY_CANCEL;
	datagram.cancel = &cancel;
	datagram_send(x->flow, &x->asked, &datagram);
}

/*
 * Asks the service's scheduler for a target; repeat when the request went to
 * one before.  The answer comes by exchange_on_grant() or _reject().
 */
void
schedule_ask(struct exchange *x, bool repeat)
{
	struct flow *flow = x->flow;
	struct fellow *scheduler = fleet_scheduler(flow, x->service);

	schedule_forget(x);
	x->held = false;
	x->ask_repeat = repeat;
	x->ask_tries = 0;
	if (scheduler == NULL) {
		ask_here(x, repeat);
		return;
	}
	x->ask = ++flow->next_ask;
	x->ask_is_local = false;
	x->asked = scheduler->datagram;
	x->asked_of = g_intern_string(scheduler->address);
	g_hash_table_insert(flow->asks, &x->ask, x);
	send_ask(x, repeat);
	uv_timer_start(&x->ask_timer, on_answer_timeout, ANSWER_MS, 0);
}

/*
 * Returns whether the process was paused since a question was sent: what was
 * granted then may not hold any more.
 */
bool
schedule_is_stale(const struct exchange *x)
{
	return x->ask != 0 && x->asked_boot_us < x->flow->resumed_boot_us;
}

/*
 * Takes back a question that is open, or gives up a place in the counts.
 */
void
schedule_forget(struct exchange *x)
{
	if (x->ask_is_local && x->service != NULL)
		placement_cancel(x->service->placement, &x->asker);
	x->ask_is_local = false;
	if (x->ask == 0)
		return;
	uv_timer_stop(&x->ask_timer);
	if (!x->ask_done)
		send_cancel(x);
	g_hash_table_remove(x->flow->asks, &x->ask);
	x->ask = 0;
	x->ask_done = false;
}

/*
 * The scheduler has not answered: asks once more, since a datagram may be
 * lost, then places the request on this entry's own view.
 */
static void
on_answer_timeout(uv_timer_t *timer)
{
	struct exchange *x = timer->data;
	struct flow *flow = x->flow;
	struct fellow *fellow;

	if (x->ask_tries++ < 1) {
		send_ask(x, x->ask_repeat);
		uv_timer_start(timer, on_answer_timeout, ANSWER_MS, 0);
		return;
	}
	fellow = g_hash_table_lookup(flow->fellows, x->asked_of);
	if (fellow != NULL && ++fellow->timeouts >= SUSPECT_TIMEOUTS) {
		fleet_suspect(flow, fellow);
	}
	counter_add(flow->fallbacks, 1);
	schedule_forget(x);
	ask_here(x, x->ask_repeat);
}

/*
 * Tells whoever granted a send how it ended.  The scheduler elsewhere learns
 * what the target said of its load, too.
 */
void
schedule_done(struct attempt *attempt, enum placement_outcome outcome)
{
	struct exchange *x = attempt->exchange;
	uint64_t now = flow_now_us(x->flow);
	uint64_t took = now - attempt->started_us;
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Done done = FLEET__DONE__INIT;

	placement_done(x->service->placement, &x->asker, attempt->target,
	    outcome, took, attempt->has_load ? &attempt->load : NULL, now);
	if (!attempt->remote)
		return;
	done.request = x->ask;
	done.service = x->service->name;
	done.target = attempt->target;
	done.route = x->route->id;
	done.outcome = outcome;
	done.took_ms = (uint32_t)(took / US_PER_MS);
	done.has_load = attempt->has_load;
	done.running = attempt->load.running;
	done.waiting = attempt->load.waiting;
	done.slots = attempt->load.slots;
	done.slowness = attempt->load.slowness;
	datagram.body_case = FLEET__DATAGRAM__BODY_DONE;
	datagram.done = &done;
	datagram_send(x->flow, &x->asked, &datagram);
	if (outcome == OUTCOME_ANSWERED)
		x->ask_done = true;
}

/*
 * Finds the exchange that asked, and believes its scheduler again.
 */
static struct exchange *
answered(struct flow *flow, uint64_t request)
{
	struct exchange *x = g_hash_table_lookup(flow->asks, &request);
	struct fellow *fellow;

	if (x == NULL)
		return NULL;
	fellow = g_hash_table_lookup(flow->fellows, x->asked_of);
	if (fellow != NULL)
		fleet_trust(flow, fellow);
	uv_timer_stop(&x->ask_timer);
	return x;
}

/*
 * A scheduler elsewhere names a target.
 */
void
ask_on_grant(struct flow *flow, const Fleet__Grant *grant)
{
	struct exchange *x = answered(flow, grant->request);

	if (x == NULL)
		return;
	fleet_note_parts(flow, x->service, grant->parts);
	exchange_on_grant(
	    x, grant->target, true, grant->expected_ms * US_PER_MS);
}

/*
 * A scheduler elsewhere can't place the request.
 */
void
ask_on_reject(struct flow *flow, const Fleet__Reject *reject)
{
	struct exchange *x = answered(flow, reject->request);

	if (x == NULL)
		return;
	x->ask_done = true;
	exchange_on_reject(x, reject->retry_after_ms * US_PER_MS,
	    (enum placement_reason)reject->reason);
}

/*
 * A scheduler elsewhere lets the request wait.
 */
void
ask_on_held(struct flow *flow, const Fleet__Held *held)
{
	struct exchange *x = answered(flow, held->request);

	if (x == NULL)
		return;
	x->held = true;
	x->ask_tries = 0;
	uv_timer_start(&x->ask_timer, on_answer_timeout, HELD_MS, 0);
}
