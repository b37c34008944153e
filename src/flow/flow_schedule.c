/*
 * Placements of services on this entry, for its own exchanges and for other
 * entries that ask for targets.
 */
#include <inttypes.h>
#include <stdio.h>

#include "base/logger.h"
#include "base/memory.h"
#include "base/retry_after.h"
#include "flow/flow_internal.h"

_Static_assert((int)FLEET_OUTCOME_MAX == (int)OUTCOME_ABANDONED &&
	(int)FLEET_REASON_MIN == (int)REJECT_NO_TARGET &&
	(int)FLEET_REASON_MAX == (int)REJECT_NO_BUDGET &&
	(int)FLEET_SPEED_LEVELS == (int)OCCUPANCY_LEVELS &&
	(int)FLEET_ROUTES_MAX == (int)PLACEMENT_MODEL_ROUTES_MAX &&
	(int)FLEET_EXCLUDED_MAX == (int)PLACEMENT_EXCLUDED_MAX,
    "the bounds of messages are those of a placement");

enum {
	PLACE_TICK_MS = 10, /* a seventh of the shortest request */
	UNKNOWN_RETRY_MS = 300, /* a fifth of a heartbeat interval */
	/* Calls freed in a second from which on a line is written. */
	FREED_CALLS_LOGGED = 11,
	LOG_INTERVAL_US =
	    1000 * 1000 /* of the state of a service's placement */
};

/*
 * Passes the result of a probe to the placement.  load is NULL if the target
 * did not answer, and has no slots if it reported no load.
 */
void
schedule_on_probe(struct pool *pool, const struct target_load *load)
{
	uint64_t now = flow_now_us(pool->flow);

	if (load == NULL)
		pool->probe_failures++;
	else
		pool->probe_failures = 0;
	placement_on_probe(pool->service_part->placement, pool->id, load, now);
}

static void
remote_free(void *value)
{
	struct remote_call *call = value;

	mem_free(call->granted);
	mem_free(call);
}

/*
 * Returns the key of a remote call, to be freed with g_free().
 */
static char *
remote_key(const struct sockaddr_in *from, uint64_t request)
{
	return g_strdup_printf(
	    "%x:%u:%" PRIu64, from->sin_addr.s_addr, from->sin_port, request);
}

static void
send_grant(
    struct flow *flow, const struct remote_call *call, uint64_t expected_us)
{
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Grant grant = FLEET__GRANT__INIT;
	struct placement_model model;

	grant.request = call->request;
	grant.target = call->granted;
	grant.expected_ms =
	    fleet_clamp(expected_us / US_PER_MS, FLEET_DURATION_MAX_MS);
	grant.parts = fleet_parts(flow, call->service);
	placement_get_model(call->service->placement, &call->route, &model);
	if (model.route_count > 0)
		grant.work_us = model.work_us[0];
	grant.speed.data = model.speed;
	grant.speed.len = sizeof(model.speed);
	grant.resets =
	    placement_has_resets(call->service->placement, flow_now_us(flow));
	grant.load = part_load(call->service);
	datagram.body_case = FLEET__DATAGRAM__BODY_GRANT;
	datagram.grant = &grant;
	datagram_send(flow, &call->from, &datagram);
}

/*
 * Placement callback: grants a target to an own exchange or to another entry.
 */
static void
on_grant(void *ctx, void *user, const char *target, uint64_t expected_us)
{
	struct service *service = ctx;
	struct remote_call *call = user;

	if (!call->requester.remote) {
		exchange_on_grant(user, target, false, expected_us);
		return;
	}
	mem_free(call->granted);
	call->granted = str_dup(str_from(target));
	send_grant(service->flow, call, expected_us);
}

static void
remove_remote_call(struct flow *flow, const struct remote_call *call)
{
	char *key = remote_key(&call->from, call->request);

	g_hash_table_remove(flow->remote_calls, key);
	g_free(key);
}

/*
 * Logs a rejection with the current counts of the placement.
 */
static void
log_reject(struct service *service, const struct remote_call *call,
    uint64_t retry_after_us, enum placement_reason reason)
{
	struct flow *flow = service->flow;
	struct placement_stats f;

	if (!flow_may_log(flow))
		return;
	placement_get_stats(service->placement, flow_now_us(flow), &f);
	log_info("placement_rejected",
	    "instance=%s service=%s request=%" PRIu64 " remote=%d reason=%d "
	    "scheduler=%d targets=%u usable=%u limited=%u slots=%u "
	    "in_flight=%u "
	    "waiting=%u repeats=%" PRIu64 " requests=%" PRIu64
	    " retry_after_ms=%" PRIu64,
	    flow->settings.instance, service->name,
	    call->requester.remote
		? call->request
		: ((const struct exchange *)(const void *)call)->id,
	    call->requester.remote, reason, service->owner, f.targets, f.usable,
	    f.limited, f.slots, f.in_flight, f.waiting, f.repeats, f.requests,
	    retry_after_us / US_PER_MS);
}

static void
send_reject(struct flow *flow, const struct sockaddr_in *to, uint64_t request,
    uint64_t retry_after_us, enum placement_reason reason, uint32_t load)
{
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Reject reject = FLEET__REJECT__INIT;

	reject.request = request;
	reject.retry_after_ms =
	    fleet_clamp(retry_after_us / US_PER_MS, FLEET_DURATION_MAX_MS);
	reject.reason = reason;
	reject.load = load;
	datagram.body_case = FLEET__DATAGRAM__BODY_REJECT;
	datagram.reject = &reject;
	datagram_send(flow, to, &datagram);
}

/*
 * Rejects an ask for a service that has no targets here.
 */
static void
reject_unknown_service(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Ask *ask)
{
	if (flow_may_log(flow))
		log_info("placement_rejected",
		    "instance=%s service=%.64s request=%" PRIu64
		    " remote=1 reason=%d targets=0 retry_after_ms=%d",
		    flow->settings.instance, ask->service, ask->request,
		    REJECT_NO_TARGET, UNKNOWN_RETRY_MS);
	send_reject(flow, from, ask->request, UNKNOWN_RETRY_MS * US_PER_MS,
	    REJECT_NO_TARGET, 0);
}

static void
on_reject(void *ctx, void *user, uint64_t retry_after_us,
    enum placement_reason reason)
{
	struct service *service = ctx;
	struct remote_call *call = user;

	if (!call->requester.remote && service->owner &&
	    reason == REJECT_NO_ROOM) {
		part_on_load(service, part_load(service));
		if (part_move(user))
			return;
	}
	log_reject(service, call, retry_after_us, reason);
	if (!call->requester.remote) {
		exchange_on_reject(user, retry_after_us, reason);
		return;
	}
	send_reject(service->flow, &call->from, call->request, retry_after_us,
	    reason, part_load(service));
	remove_remote_call(service->flow, call);
}

/*
 * Creates the placement of a service.
 */
struct placement *
schedule_placement(struct service *service)
{
	struct flow *flow = service->flow;
	const struct placement_callbacks callbacks = {
	    .ctx = service,
	    .grant = on_grant,
	    .reject = on_reject,
	    .hedge = hedge_on_event,
	};

	return placement_new(&callbacks, &flow->settings.repeats,
	    random_next(&flow->random), flow_now_us(flow));
}

static void on_place_tick(uv_timer_t *timer);

/*
 * Submits a request to a local placement; returns true if it waits.  The
 * placement's tick runs until its last call has ended.
 */
bool
schedule_submit(
    struct service *service, const struct placement_request *request)
{
	struct flow *flow = service->flow;

	if (!service->busy) {
		service->busy = true;
		g_ptr_array_add(flow->busy_services, service);
	}
	if (!uv_is_active((uv_handle_t *)&flow->place_timer))
		uv_timer_start(&flow->place_timer, on_place_tick, PLACE_TICK_MS,
		    PLACE_TICK_MS);
	return placement_submit(service->placement, request, flow_now_us(flow));
}

/*
 * Returns the hash by which placements know another entry.
 */
static uint32_t
requester_hash(const struct sockaddr_in *from)
{
	return from->sin_addr.s_addr ^ from->sin_port;
}

/*
 * Returns a time that another entry has sent, in microseconds.
 */
static uint64_t
bounded_away_us(uint32_t ms)
{
	return (ms < RETRY_AFTER_MAX_MS ? ms : RETRY_AFTER_MAX_MS) * US_PER_MS;
}

/*
 * Another entry cancels an ask, or releases its place in the in-flight counts.
 * Returns whether there was a call.
 */
bool
schedule_on_cancel(
    struct flow *flow, const struct sockaddr_in *from, uint64_t request)
{
	char *key = remote_key(from, request);
	struct remote_call *call = g_hash_table_lookup(flow->remote_calls, key);

	if (call != NULL) {
		placement_cancel(
		    call->service->placement, call, flow_now_us(flow));
		g_hash_table_remove(flow->remote_calls, key);
	}
	g_free(key);
	return call != NULL;
}

/*
 * Counts a call that was freed late, and logs if there are many in a second.
 */
static void
count_freed_call(struct flow *flow, const struct sockaddr_in *from)
{
	uint64_t second = flow_now_us(flow) / US_PER_S;
	char ip[ADDRESS_BYTES] = "";

	counter_add(flow->calls_freed, 1);
	if (second != flow->freed_second)
		flow->freed_calls = 0;
	flow->freed_second = second;
	if (++flow->freed_calls != FREED_CALLS_LOGGED || !flow_may_log(flow))
		return;
	(void)uv_ip4_name(from, ip, sizeof(ip));
	log_warn("calls_freed",
	    "instance=%s freed=%u last_from=%s "
	    "reason=reports_of_their_ends_were_lost",
	    flow->settings.instance, flow->freed_calls, ip);
}

/*
 * Frees the calls of earlier asks that an entry names as ended.  It has
 * reported each end before, so a call that is still here has lost its report.
 */
static void
free_ended_calls(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Ask *ask)
{
	for (size_t i = 0; i < ask->n_ended; i++) {
		if (schedule_on_cancel(flow, from, ask->ended[i]))
			count_freed_call(flow, from);
	}
}

/*
 * Processes an ask of another entry.  If the call exists already, its answer
 * was lost and is repeated.
 */
void
schedule_on_ask(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Ask *ask)
{
	uint64_t now = flow_now_us(flow);
	char *key = remote_key(from, ask->request);
	struct remote_call *call;
	struct service *service;
	struct placement_request request = {
	    .route = ask->route,
	    .rank = ask->rank,
	    .account = ask->account,
	    .large = ask->large,
	    .repeat = ask->repeat,
	    .idempotent = ask->idempotent,
	    .sends_left = ask->sends_left,
	    .objective_us = now + ask->objective_left_ms * US_PER_MS,
	    .deadline_us = now + ask->deadline_left_ms * US_PER_MS,
	    .failure_domain = ask->failure_domain,
	    .requester = requester_hash(from),
	};

	free_ended_calls(flow, from, ask);
	call = g_hash_table_lookup(flow->remote_calls, key);
	service = call != NULL ? call->service
			       : fleet_resolve_part(flow, ask->service);
	if (service == NULL) {
		g_free(key);
		reject_unknown_service(flow, from, ask);
		return;
	}
	if (call == NULL) {
		call = mem_calloc(1, sizeof(*call));
		call->requester.remote = true;
		call->service = service;
		call->from = *from;
		call->request = ask->request;
		g_hash_table_insert(flow->remote_calls, key, call);
	} else {
		g_free(key);
	}
	call->deadline_us = request.deadline_us;
	call->route = request.route;
	for (size_t i = 0; i < ask->n_excluded && i < PLACEMENT_EXCLUDED_MAX;
	     i++)
		request.excluded[request.excluded_count++] = ask->excluded[i];
	request.user = call;
	if (call->granted != NULL) {
		send_grant(flow, call, 0);
		return;
	}
	if (placement_is_waiting(service->placement, call) ||
	    schedule_submit(service, &request)) {
		Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
		Fleet__Held held = FLEET__HELD__INIT;

		held.request = ask->request;
		held.load = part_load(service);
		datagram.body_case = FLEET__DATAGRAM__BODY_HELD;
		datagram.held = &held;
		datagram_send(flow, from, &datagram);
	}
}

/*
 * Removes a call that its entry reports as answered.  It is cancelled in the
 * placement in any state: the report may be wrong, and the placement must not
 * keep a pointer to freed memory.
 */
static void
remove_answered_call(struct flow *flow, const char *key)
{
	struct remote_call *call = g_hash_table_lookup(flow->remote_calls, key);

	if (call == NULL)
		return;
	placement_cancel(call->service->placement, call, flow_now_us(flow));
	g_hash_table_remove(flow->remote_calls, key);
}

/*
 * Returns the outcome of a send whose target reset the connection: the entry
 * knew that the target was full, or this scheduler knows it.
 */
static enum placement_outcome
reset_outcome(const struct service *service, struct remote_call *call,
    const Fleet__Done *done)
{
	bool full = done->outcome == OUTCOME_SHED ||
	    placement_is_full(service->placement, done->target, call,
		flow_now_us(service->flow));

	if (!full)
		return (enum placement_outcome)done->outcome;
	/* The entry counts and logs what it knows itself. */
	if (done->outcome != OUTCOME_SHED) {
		counter_add(service->flow->resets_full, 1);
		if (flow_may_log(service->flow))
			log_info("reset_full",
			    "instance=%s service=%s target=%s request=%" PRIu64,
			    service->flow->settings.instance, service->name,
			    done->target, done->request);
	}
	return OUTCOME_RESET_FULL;
}

/*
 * Another entry reports the end of a send that was granted here.
 */
void
schedule_on_done(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Done *done)
{
	char *key = remote_key(from, done->request);
	struct remote_call *call = g_hash_table_lookup(flow->remote_calls, key);
	struct service *service = call != NULL
	    ? call->service
	    : g_hash_table_lookup(flow->services, done->service);
	const struct target_load load = {
	    .running = done->running,
	    .waiting = done->waiting,
	    .slots = done->slots,
	    .slowness = done->slowness,
	};
	enum placement_outcome outcome = (enum placement_outcome)done->outcome;
	bool other = schedule_is_other_start(
	    g_hash_table_lookup(flow->pools, done->target),
	    done->target_started_ms);

	if (service != NULL && done->reset)
		outcome = reset_outcome(service, call, done);
	if (done->departed)
		leaving_on_report(flow, done->target, done->started_ms);
	if (done->rate_limit != NULL)
		rate_on_report(flow, done->target, done->rate_limit);
	if (service != NULL && done->away_ms > 0 && !other)
		placement_set_away(service->placement, done->target,
		    requester_hash(from),
		    flow_now_us(flow) + bounded_away_us(done->away_ms));
	if (service != NULL)
		placement_complete(service->placement, call, done->target,
		    other ? OUTCOME_ABANDONED : outcome,
		    done->took_ms * US_PER_MS,
		    done->has_load && !other ? &load : NULL, flow_now_us(flow));
	if (done->outcome == OUTCOME_ANSWERED)
		remove_answered_call(flow, key);
	g_free(key);
}

static gboolean
is_expired(void *key ATTR_UNUSED, void *value, void *ctx)
{
	const struct remote_call *call = value;
	const uint64_t *now_us = ctx;

	if (*now_us < call->deadline_us + US_PER_S)
		return FALSE;
	placement_cancel(call->service->placement, (void *)call, *now_us);
	return TRUE;
}

/*
 * Removes calls of other entries that are past their deadline.
 */
void
schedule_sweep(struct flow *flow, uint64_t now_us)
{
	g_hash_table_foreach_remove(flow->remote_calls, is_expired, &now_us);
}

/*
 * Logs the state of a placement that this entry schedules, with the speed of a
 * request at each level of its target's occupancy.
 */
static void
log_placement(struct service *service, uint64_t now_us)
{
	struct flow *flow = service->flow;
	struct placement_stats f;
	char speeds[OCCUPANCY_LEVELS * 8] = "";
	size_t len = 0;

	if (!service->owner || now_us < service->log_due_us ||
	    !flow_may_log_routine(flow))
		return;
	service->log_due_us = now_us + LOG_INTERVAL_US;
	placement_get_stats(service->placement, now_us, &f);
	for (unsigned i = 0; i < OCCUPANCY_LEVELS; i++)
		len += (size_t)snprintf(speeds + len, sizeof(speeds) - len,
		    "%s%.2f", i > 0 ? "," : "", f.occupancy.speed[i]);
	log_info("placement",
	    "instance=%s service=%s targets=%u usable=%u limited=%u slots=%u "
	    "useful_slots=%u in_flight=%u waiting=%u repeats=%" PRIu64
	    " requests=%" PRIu64 " mean_slowness=%.2f occupancy_speeds=%s",
	    flow->settings.instance, service->name, f.targets, f.usable,
	    f.limited, f.slots, f.useful_slots, f.in_flight, f.waiting,
	    f.repeats, f.requests, f.mean_slowness, speeds);
}

/*
 * Runs the tick of the placements that have calls; stops the timer if none has.
 */
static void
on_place_tick(uv_timer_t *timer)
{
	struct flow *flow = timer->data;
	uint64_t now = flow_now_us(flow);

	flow_count_scanned(flow, flow->busy_services->len);
	for (guint i = flow->busy_services->len; i-- > 0;) {
		struct service *service = flow->busy_services->pdata[i];

		placement_tick(service->placement, now);
		log_placement(service, now);
		schedule_send_estimate(service, now);
		if (!placement_is_idle(service->placement))
			continue;
		service->busy = false;
		g_ptr_array_remove_index_fast(flow->busy_services, i);
	}
	if (flow->busy_services->len == 0)
		uv_timer_stop(timer);
}

/*
 * Creates the tables of calls.
 */
void
schedule_open(struct flow *flow)
{
	flow->pending_asks = g_hash_table_new(g_int64_hash, g_int64_equal);
	flow->remote_calls =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, remote_free);
	uv_timer_init(flow->loop, &flow->place_timer);
	flow->place_timer.data = flow;
	flow->busy_services = g_ptr_array_new();
}

/*
 * Frees the tables of calls.
 */
void
schedule_close(struct flow *flow)
{
	uv_close((uv_handle_t *)&flow->place_timer, NULL);
	g_hash_table_destroy(flow->pending_asks);
	g_hash_table_destroy(flow->remote_calls);
	g_ptr_array_free(flow->busy_services, TRUE);
}
