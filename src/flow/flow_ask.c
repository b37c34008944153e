/*
 * Asks sent to the schedulers of services, and their answers.
 */
#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/*
	 * Five round trips between failure domains; requests take 70 ms or
	 * more.
	 */
	ANSWER_TIMEOUT_MS = 20,
	/* Then a held request is asked for again: a message may be lost. */
	HELD_TIMEOUT_MS = 60,
	/*
	 * Within this time a scheduler hears of an evacuation from control; it
	 * does not grant the target to this entry meanwhile.
	 */
	EVACUATED_AWAY_MS = 1000,
	/*
	 * Entries hear of a new start within a few ticks of each other, and a
	 * connection is free when a request has ended.
	 */
	UNUSABLE_AWAY_MS = 100,
	SUSPECT_TIMEOUTS = 3, /* consecutive, of two asks each */
	/*
	 * Longer than an entry counts as silent in error.  Others may believe
	 * in a scheduler that was asked within this time.
	 */
	ASKED_MS = 10 * 1000
};

static void on_answer_timeout(uv_timer_t *timer);

/*
 * Returns the time until until_us in milliseconds, at least 0.
 */
static uint32_t
ms_left(const struct flow *flow, uint64_t until_us)
{
	uint64_t now = flow_now_us(flow);

	return until_us > now
	    ? fleet_clamp((until_us - now) / US_PER_MS, FLEET_DURATION_MAX_MS)
	    : 0;
}

/*
 * Builds the placement request of an exchange.
 */
static struct placement_request
build_placement_request(struct exchange *x, bool repeat)
{
	struct placement_request request = {
	    .route = x->route->id,
	    .rank = account_rank(x),
	    .account = x->account != NULL ? x->account->id : 0,
	    .large = x->route->repeat == REPEAT_ALLOWED_LARGE,
	    .repeat = repeat,
	    .idempotent = route_is_idempotent(x->route),
	    .objective_us = x->objective_us,
	    .deadline_us = x->deadline_us,
	    .failure_domain = x->flow->failure_domain,
	    .requester = FLOW_OWN_REQUESTER,
	    .user = &x->requester,
	};
	unsigned used = x->attempt_count + 1;

	request.sends_left =
	    x->route->max_attempts > used ? x->route->max_attempts - used : 0;
	/* A target that has had the request might repeat its rejection. */
	for (unsigned i = 0; i < x->attempt_count; i++)
		request.excluded[request.excluded_count++] =
		    x->attempts[i].target_hash;
	for (unsigned i = 0; i < x->excluded_count &&
	     request.excluded_count < PLACEMENT_EXCLUDED_MAX;
	     i++)
		request.excluded[request.excluded_count++] = x->excluded[i];
	return request;
}

/*
 * Submits a request to the local placement instead of a remote scheduler.
 */
static void
place_locally(struct exchange *x, bool repeat)
{
	struct placement_request request = build_placement_request(x, repeat);

	x->placed_locally = true;
	if (!schedule_submit(x->service, &request) || !x->service->owner)
		return;
	part_on_load(x->service, part_load(x->service));
	(void)part_move(x);
}

/*
 * Ends an open ask and places the request on this entry's own view.
 */
void
schedule_locally(struct exchange *x, bool repeat)
{
	counter_add(x->flow->local_placements, 1);
	schedule_cancel(x);
	place_locally(x, repeat);
}

static void
send_ask(struct exchange *x, bool repeat)
{
	struct placement_request r = build_placement_request(x, repeat);
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Ask ask = FLEET__ASK__INIT;
	struct peer_entry *scheduler =
	    g_hash_table_lookup(x->flow->peer_entries, x->scheduler_address);
	uint64_t ended[FLEET_ENDED_MAX];

	x->ask_sent_boot_us = clock_boot_us();
	ask.request = x->ask_id;
	ask.service = x->service->name;
	ask.route = r.route;
	ask.rank = r.rank;
	ask.account = r.account;
	ask.objective_left_ms = ms_left(x->flow, r.objective_us);
	ask.deadline_left_ms = ms_left(x->flow, r.deadline_us);
	ask.failure_domain = r.failure_domain;
	ask.large = r.large;
	ask.repeat = repeat;
	ask.idempotent = r.idempotent;
	ask.sends_left = fleet_clamp(r.sends_left, FLEET_SENDS_MAX);
	ask.n_excluded = r.excluded_count;
	ask.excluded = r.excluded;
	ask.ended = ended;
	if (scheduler != NULL)
		ask.n_ended = ended_asks_name(
		    &scheduler->ended_asks, ended, flow_now_us(x->flow));
	datagram.body_case = FLEET__DATAGRAM__BODY_ASK;
	datagram.ask = &ask;
	datagram_send(x->flow, &x->scheduler_sockaddr, &datagram);
}

static void
send_cancel(struct exchange *x)
{
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Cancel cancel = FLEET__CANCEL__INIT;

	cancel.request = x->ask_id;
	datagram.body_case = FLEET__DATAGRAM__BODY_CANCEL;
	datagram.cancel = &cancel;
	datagram_send(x->flow, &x->scheduler_sockaddr, &datagram);
}

/*
 * Remembers an ask that ends now, for the next asks to its scheduler.
 */
static void
remember_ended(struct exchange *x)
{
	struct peer_entry *scheduler =
	    g_hash_table_lookup(x->flow->peer_entries, x->scheduler_address);

	if (scheduler != NULL)
		ended_asks_add(
		    &scheduler->ended_asks, x->ask_id, flow_now_us(x->flow));
}

/*
 * Asks the service's scheduler for a target; repeat is true if the request was
 * sent before.  The answer arrives at exchange_on_grant() or
 * exchange_on_reject().
 */
void
schedule_ask(struct exchange *x, bool repeat)
{
	struct flow *flow = x->flow;
	struct peer_entry *scheduler;
	uint64_t away_us;

	schedule_cancel(x);
	if (!allowance_begin(x))
		return;
	part_update(x);
	scheduler = fleet_scheduler(flow, x->service);
	away_us = away_service_left_us(x->service);
	x->held = false;
	x->ask_repeat = repeat;
	x->ask_tries = 0;
	if (away_us > 0) {
		exchange_on_reject(x, away_us, REJECT_NO_TARGET);
		return;
	}
	if (scheduler == NULL) {
		place_locally(x, repeat);
		return;
	}
	x->ask_id = ++flow->next_ask;
	x->placed_locally = false;
	scheduler->asked_us = flow_now_us(flow);
	x->scheduler_sockaddr = scheduler->datagram;
	x->scheduler_address = g_intern_string(scheduler->address);
	g_hash_table_insert(flow->pending_asks, &x->ask_id, x);
	send_ask(x, repeat);
	uv_timer_start(&x->ask_timer, on_answer_timeout, ANSWER_TIMEOUT_MS, 0);
}

/*
 * Returns whether the process was paused after the ask was sent: a grant for it
 * may no longer be valid.
 */
bool
schedule_is_stale(const struct exchange *x)
{
	return x->ask_id != 0 && x->ask_sent_boot_us < x->flow->resumed_boot_us;
}

/*
 * Cancels an open ask, or releases its place in the in-flight counts.
 */
void
schedule_cancel(struct exchange *x)
{
	if (x->placed_locally && x->service != NULL)
		placement_cancel(
		    x->service->placement, &x->requester, flow_now_us(x->flow));
	x->placed_locally = false;
	if (x->ask_id == 0)
		return;
	uv_timer_stop(&x->ask_timer);
	if (!x->scheduler_done)
		send_cancel(x);
	if (!x->ask_rejected)
		remember_ended(x);
	g_hash_table_remove(x->flow->pending_asks, &x->ask_id);
	x->ask_id = 0;
	x->scheduler_done = false;
	x->ask_rejected = false;
	x->ask_repeated = false;
}

/*
 * The scheduler has not answered.  Asks once more, since a datagram may be
 * lost, then places the request on local data.
 */
static void
on_answer_timeout(uv_timer_t *timer)
{
	struct exchange *x = timer->data;
	struct flow *flow = x->flow;
	struct peer_entry *peer_entry;

	if (x->ask_tries++ < 1) {
		x->ask_repeated = true;
		send_ask(x, x->ask_repeat);
		uv_timer_start(timer, on_answer_timeout, ANSWER_TIMEOUT_MS, 0);
		return;
	}
	peer_entry =
	    g_hash_table_lookup(flow->peer_entries, x->scheduler_address);
	if (peer_entry != NULL && ++peer_entry->timeouts >= SUSPECT_TIMEOUTS) {
		fleet_mark_suspect(flow, peer_entry);
	}
	schedule_locally(x, x->ask_repeat);
}

/*
 * Returns whether a send went to another start of a target than the known one.
 * Its outcome and load say nothing of that.
 */
bool
schedule_is_other_start(const struct pool *pool, uint64_t started_ms)
{
	return pool != NULL && started_ms != 0 &&
	    pool->started_ms != started_ms;
}

/*
 * Returns for how long this entry should not be granted a target, in
 * microseconds.
 */
static uint64_t
unusable_us(const struct attempt *attempt)
{
	uint64_t us = away_left_us(attempt->exchange->flow, attempt->target);

	return attempt->unusable_here ? MAX(us, UNUSABLE_AWAY_MS * US_PER_MS)
				      : us;
}

/*
 * Reports the end of a send to the placement that granted it.  A remote
 * scheduler also gets the load that the target reported.
 */
void
schedule_complete(struct attempt *attempt, enum placement_outcome outcome)
{
	struct exchange *x = attempt->exchange;
	uint64_t now = flow_now_us(x->flow);
	uint64_t took = now - attempt->started_us;
	uint64_t away_us = unusable_us(attempt);
	const struct pool *pool =
	    g_hash_table_lookup(x->flow->pools, attempt->target);
	bool other = schedule_is_other_start(pool, attempt->target_started_ms);
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Done done = FLEET__DONE__INIT;
	Fleet__RateLimit rate = FLEET__RATE_LIMIT__INIT;

	if (away_us > 0)
		placement_set_away(x->service->placement, attempt->target,
		    FLOW_OWN_REQUESTER, now + away_us);
	placement_complete(x->service->placement, &x->requester,
	    attempt->target, other ? OUTCOME_ABANDONED : outcome, took,
	    attempt->has_load && !other ? &attempt->load : NULL, now);
	if (!attempt->remote)
		return;
	done.request = x->ask_id;
	done.service = x->service->name;
	done.target = attempt->target;
	done.route = x->route->id;
	done.outcome = outcome == OUTCOME_RESET_FULL ? OUTCOME_SHED : outcome;
	done.reset = attempt->reset;
	done.took_ms = fleet_clamp(took / US_PER_MS, FLEET_DURATION_MAX_MS);
	done.has_load = attempt->has_load;
	done.running = attempt->load.running;
	done.waiting = attempt->load.waiting;
	done.slots = attempt->load.slots;
	done.slowness = attempt->load.slowness;
	done.target_started_ms = attempt->target_started_ms;
	if (pool != NULL && pool->evacuated)
		away_us = MAX(away_us, EVACUATED_AWAY_MS * US_PER_MS);
	done.departed =
	    leaving_is_known(x->flow, attempt->target, &done.started_ms);
	done.away_ms = (uint32_t)((away_us + US_PER_MS - 1) / US_PER_MS);
	rate.started_ms = attempt->rate.started_ms;
	rate.active = attempt->rate.active;
	rate.micros_per_s = attempt->rate.micros_per_s;
	if (attempt->rate.given)
		done.rate_limit = &rate;
	datagram.body_case = FLEET__DATAGRAM__BODY_DONE;
	datagram.done = &done;
	datagram_send(x->flow, &x->scheduler_sockaddr, &datagram);
	if (outcome == OUTCOME_ANSWERED)
		x->scheduler_done = true;
}

/*
 * Tells something of a target to schedulers.  The one that granted the request
 * may not be the one that others ask: an entry counts as silent with the
 * control instance of its host until it answers a ping.
 */
void
schedule_tell(const struct pool *pool, Fleet__Done *done)
{
	struct flow *flow = pool->flow;
	const struct peer_entry *scheduler =
	    fleet_scheduler(flow, pool->service_part);
	uint64_t now = flow_now_us(flow);
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	GHashTableIter iter;
	gpointer value;

	/* Request 0 is unknown, and nothing is counted. */
	done->service = pool->service_part->name;
	done->target = pool->id;
	done->outcome = OUTCOME_ABANDONED;
	datagram.body_case = FLEET__DATAGRAM__BODY_DONE;
	datagram.done = done;
	g_hash_table_iter_init(&iter, flow->peer_entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_entry *peer_entry = value;

		if (peer_entry == scheduler ||
		    (peer_entry->asked_us != 0 &&
			now - peer_entry->asked_us < ASKED_MS * US_PER_MS))
			datagram_send(flow, &peer_entry->datagram, &datagram);
	}
}

/*
 * Returns the exchange of an answered ask, and marks its scheduler as
 * responsive.
 */
static struct exchange *
find_asking_exchange(struct flow *flow, uint64_t request)
{
	struct exchange *x = g_hash_table_lookup(flow->pending_asks, &request);
	struct peer_entry *peer_entry;

	if (x == NULL)
		return NULL;
	peer_entry =
	    g_hash_table_lookup(flow->peer_entries, x->scheduler_address);
	if (peer_entry != NULL)
		fleet_clear_suspect(flow, peer_entry);
	uv_timer_stop(&x->ask_timer);
	return x;
}

/*
 * A remote scheduler grants a target.
 */
void
ask_on_grant(struct flow *flow, const Fleet__Grant *grant)
{
	struct exchange *x = find_asking_exchange(flow, grant->request);

	if (x == NULL)
		return;
	part_on_load(x->service, grant->load);
	fleet_adopt_scheduler_parts(flow, x->service, grant->parts);
	schedule_adopt_grant(x->service, grant, x->route->id);
	exchange_on_grant(
	    x, grant->target, true, grant->expected_ms * US_PER_MS);
}

/*
 * A remote scheduler rejects the request.
 */
void
ask_on_reject(struct flow *flow, const Fleet__Reject *reject)
{
	struct exchange *x = find_asking_exchange(flow, reject->request);

	if (x == NULL)
		return;
	/* A repetition that crosses the rejection is placed as a new call. */
	x->scheduler_done = x->ask_rejected = !x->ask_repeated;
	part_on_load(x->service, reject->load);
	if (reject->reason == REJECT_NO_ROOM && part_move(x))
		return;
	exchange_on_reject(x, reject->retry_after_ms * US_PER_MS,
	    (enum placement_reason)reject->reason);
}

/*
 * A remote scheduler has queued the request.
 */
void
ask_on_held(struct flow *flow, const Fleet__Held *held)
{
	struct exchange *x = find_asking_exchange(flow, held->request);

	if (x == NULL)
		return;
	x->held = true;
	x->ask_tries = 0;
	part_on_load(x->service, held->load);
	if (!part_move(x))
		uv_timer_start(
		    &x->ask_timer, on_answer_timeout, HELD_TIMEOUT_MS, 0);
}
