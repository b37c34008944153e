#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"
#include "wire/fleet.pb-c.h"

enum {
	/* Five round trips between failure domains; work takes 70 ms or more. */
	ANSWER_MS = 20,
	HELD_MS =
	    60, /* a held request is asked for again, if a word was lost */
	SUSPECT_TIMEOUTS = 3, /* in a row, each of two questions */
	PLACE_TICK_MS = 10, /* a seventh of the shortest work */
	DATAGRAM_BYTES = 1400
};

static void on_answer_timeout(uv_timer_t *timer);

static uint32_t
ms_left(const struct flow *flow, uint64_t until_us)
{
	uint64_t now = flow_now_us(flow);

	return until_us > now ? (uint32_t)((until_us - now) / US_PER_MS) : 0;
}

static void
send_datagram(struct flow *flow, const struct sockaddr_in *to,
    const Fleet__Datagram *datagram)
{
	uint8_t bytes[DATAGRAM_BYTES];
	size_t len = fleet__datagram__get_packed_size(datagram);
	uv_buf_t buf;

	if (len > sizeof(bytes))
		return;
	fleet__datagram__pack(datagram, bytes);
	buf = uv_buf_init((char *)bytes, (unsigned)len);
	/* A lost datagram is asked for again; so is one that can't be sent. */
	(void)uv_udp_try_send(&flow->udp, &buf, 1, (const struct sockaddr *)to);
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
	(void)placement_ask(
	    x->service->placement, &request, flow_now_us(x->flow));
}

static void
send_ask(struct exchange *x, bool repeat)
{
	struct placement_request r = request_of(x, repeat);
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Ask ask = FLEET__ASK__INIT;

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
	send_datagram(x->flow, &x->asked, &datagram);
}

static void
send_cancel(struct exchange *x)
{
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Cancel cancel = FLEET__CANCEL__INIT;

	cancel.request = x->ask;
	datagram.body_case = FLEET__DATAGRAM__BODY_CANCEL;
	datagram.cancel = &cancel;
	send_datagram(x->flow, &x->asked, &datagram);
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
	x->asked_us = flow_now_us(flow);
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
	send_datagram(x->flow, &x->asked, &datagram);
	if (outcome == OUTCOME_ANSWERED)
		x->ask_done = true;
}

/*
 * Takes a probe's finding; load NULL when the target did not answer, and of
 * no slots when it told no load.
 */
void
schedule_report(struct pool *pool, const struct target_load *load)
{
	uint64_t now = flow_now_us(pool->flow);

	if (load == NULL)
		pool->probe_failures++;
	else
		pool->probe_failures = 0;
	placement_report(pool->of->placement, pool->id, load, now);
}

static void
remote_free(void *value)
{
	struct remote_call *call = value;

	mem_free(call->granted);
	mem_free(call);
}

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

	grant.request = call->request;
	grant.target = call->granted;
	grant.expected_ms = (uint32_t)(expected_us / US_PER_MS);
	grant.parts = fleet_parts(flow, call->service);
	datagram.body_case = FLEET__DATAGRAM__BODY_GRANT;
	datagram.grant = &grant;
	send_datagram(flow, &call->from, &datagram);
}

/*
 * Our placement grants a target, to an exchange of ours or another entry's.
 */
static void
on_grant(void *ctx, void *user, const char *target, uint64_t expected_us)
{
	struct service *service = ctx;
	struct remote_call *call = user;

	if (!call->asker.remote) {
		exchange_on_grant(user, target, false, expected_us);
		return;
	}
	mem_free(call->granted);
	call->granted = str_dup(str_from(target));
	send_grant(service->flow, call, expected_us);
}

static void
forget_remote(struct flow *flow, const struct remote_call *call)
{
	char *key = remote_key(&call->from, call->request);

	g_hash_table_remove(flow->remote_calls, key);
	g_free(key);
}

/*
 * Logs what a rejection rests on: the counts of this moment.
 */
static void
log_reject(struct service *service, const struct remote_call *call,
    uint64_t retry_after_us, enum placement_reason reason)
{
	struct flow *flow = service->flow;
	struct placement_figures f;

	if (!flow_may_log(flow))
		return;
	placement_describe(service->placement, flow_now_us(flow), &f);
	log_info("placement_rejected",
	    "instance=%s service=%s request=%" PRIu64 " remote=%d reason=%d "
	    "scheduler=%d targets=%u usable=%u slots=%u in_flight=%u "
	    "waiting=%u repeats=%" PRIu64 " requests=%" PRIu64
	    " retry_after_ms=%" PRIu64,
	    flow->settings.instance, service->name,
	    call->asker.remote
		? call->request
		: ((const struct exchange *)(const void *)call)->id,
	    call->asker.remote, reason, service->owner, f.targets, f.usable,
	    f.slots, f.in_flight, f.waiting, f.repeats, f.requests,
	    retry_after_us / US_PER_MS);
}

static void
on_reject(void *ctx, void *user, uint64_t retry_after_us,
    enum placement_reason reason)
{
	struct service *service = ctx;
	struct remote_call *call = user;
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Reject reject = FLEET__REJECT__INIT;

	log_reject(service, call, retry_after_us, reason);
	if (!call->asker.remote) {
		exchange_on_reject(user, retry_after_us, reason);
		return;
	}
	reject.request = call->request;
	reject.retry_after_ms = (uint32_t)(retry_after_us / US_PER_MS);
	reject.reason = reason;
	datagram.body_case = FLEET__DATAGRAM__BODY_REJECT;
	datagram.reject = &reject;
	send_datagram(service->flow, &call->from, &datagram);
	forget_remote(service->flow, call);
}

/*
 * Makes the placement of a service.
 */
struct placement *
schedule_placement(struct service *service)
{
	struct flow *flow = service->flow;
	const struct placement_callbacks callbacks = {
	    .ctx = service,
	    .grant = on_grant,
	    .reject = on_reject,
	};

	return placement_new(&callbacks, &flow->settings.repeats,
	    random_next(&flow->random), flow_now_us(flow));
}

/*
 * Returns whether this entry schedules a service.  One that is only asked by
 * some, whose view differs, leaves probing to the other.
 */
bool
schedule_is_active(const struct service *service)
{
	return service->owner;
}

/*
 * Another entry asks: a question that was asked before finds its call, whose
 * answer was lost, and gets the same.
 */
static void
on_ask(struct flow *flow, const struct sockaddr_in *from, const Fleet__Ask *ask)
{
	uint64_t now = flow_now_us(flow);
	char *key = remote_key(from, ask->request);
	struct remote_call *call = g_hash_table_lookup(flow->remote_calls, key);
	struct service *service =
	    call != NULL ? call->service : fleet_asked(flow, ask->service);
	struct placement_request request = {
	    .route = ask->route,
	    .rank = ask->rank,
	    .large = ask->large,
	    .repeat = ask->repeat,
	    .idempotent = ask->idempotent,
	    .sends_left = ask->sends_left,
	    .objective_us = now + ask->objective_left_ms * US_PER_MS,
	    .deadline_us = now + ask->deadline_left_ms * US_PER_MS,
	    .failure_domain = ask->failure_domain,
	    .asker = from->sin_addr.s_addr ^ from->sin_port,
	};

	if (call == NULL) {
		call = mem_calloc(1, sizeof(*call));
		call->asker.remote = true;
		call->service = service;
		call->from = *from;
		call->request = ask->request;
		g_hash_table_insert(flow->remote_calls, key, call);
	} else {
		g_free(key);
	}
	call->deadline_us = request.deadline_us;
	for (size_t i = 0; i < ask->n_excluded && i < PLACEMENT_EXCLUDED_MAX;
	     i++)
		request.excluded[request.excluded_count++] = ask->excluded[i];
	request.user = call;
	if (call->granted != NULL) {
		send_grant(flow, call, 0);
		return;
	}
	if (placement_is_waiting(service->placement, call) ||
	    placement_ask(service->placement, &request, now)) {
		Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
		Fleet__Held held = FLEET__HELD__INIT;

		held.request = ask->request;
		datagram.body_case = FLEET__DATAGRAM__BODY_HELD;
		datagram.held = &held;
		send_datagram(flow, from, &datagram);
	}
}

static void
on_cancel(struct flow *flow, const struct sockaddr_in *from, uint64_t request)
{
	char *key = remote_key(from, request);
	struct remote_call *call = g_hash_table_lookup(flow->remote_calls, key);

	if (call != NULL) {
		placement_cancel(call->service->placement, call);
		g_hash_table_remove(flow->remote_calls, key);
	}
	g_free(key);
}

static void
on_done(
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

	if (service != NULL && done->outcome <= OUTCOME_ABANDONED)
		placement_done(service->placement, call, done->target,
		    (enum placement_outcome)done->outcome,
		    done->took_ms * US_PER_MS, done->has_load ? &load : NULL,
		    flow_now_us(flow));
	if (done->outcome == OUTCOME_ANSWERED)
		g_hash_table_remove(flow->remote_calls, key);
	g_free(key);
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
	if (fellow != NULL) {
		fellow->timeouts = 0;
		fellow->suspect = false;
	}
	uv_timer_stop(&x->ask_timer);
	return x;
}

static void
send_sign(struct flow *flow, const struct sockaddr_in *to, bool reply)
{
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Sign sign = FLEET__SIGN__INIT;

	sign.address = (char *)flow->settings.datagram_address;
	sign.reply = reply;
	datagram.body_case = FLEET__DATAGRAM__BODY_SIGN;
	datagram.sign = &sign;
	send_datagram(flow, to, &datagram);
}

/*
 * Asks a silent entry for a sign.
 */
void
schedule_ask_sign(struct flow *flow, const struct fellow *fellow)
{
	send_sign(flow, &fellow->datagram, false);
}

static void
on_sign(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Sign *sign)
{
	struct fellow *fellow =
	    g_hash_table_lookup(flow->fellows, sign->address);

	if (fellow != NULL)
		fellow->suspect = false;
	if (!sign->reply && !flow->stopping)
		send_sign(flow, from, true);
}

static void
on_datagram_body(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Datagram *d)
{
	struct exchange *x;

	switch (d->body_case) {
	case FLEET__DATAGRAM__BODY_ASK:
		on_ask(flow, from, d->ask);
		break;
	case FLEET__DATAGRAM__BODY_GRANT:
		x = answered(flow, d->grant->request);
		if (x != NULL) {
			fleet_note_parts(flow, x->service, d->grant->parts);
			exchange_on_grant(x, d->grant->target, true,
			    d->grant->expected_ms * US_PER_MS);
		}
		break;
	case FLEET__DATAGRAM__BODY_REJECT:
		x = answered(flow, d->reject->request);
		if (x != NULL) {
			x->ask_done = true;
			exchange_on_reject(x,
			    d->reject->retry_after_ms * US_PER_MS,
			    (enum placement_reason)d->reject->reason);
		}
		break;
	case FLEET__DATAGRAM__BODY_HELD:
		x = answered(flow, d->held->request);
		if (x != NULL) {
			x->held = true;
			x->ask_tries = 0;
			uv_timer_start(
			    &x->ask_timer, on_answer_timeout, HELD_MS, 0);
		}
		break;
	case FLEET__DATAGRAM__BODY_CANCEL:
		on_cancel(flow, from, d->cancel->request);
		break;
	case FLEET__DATAGRAM__BODY_DONE:
		on_done(flow, from, d->done);
		break;
	case FLEET__DATAGRAM__BODY_SIGN:
		on_sign(flow, from, d->sign);
		break;
	case FLEET__DATAGRAM__BODY__NOT_SET:
	case _FLEET__DATAGRAM__BODY__CASE_IS_INT_SIZE:
		break;
	}
}

static void
on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned flags ATTR_UNUSED)
{
	Fleet__Datagram *datagram;

	if (n <= 0 || from == NULL)
		return;
	datagram = fleet__datagram__unpack(
	    NULL, (size_t)n, (const uint8_t *)buf->base);
	if (datagram == NULL)
		return;
	on_datagram_body(udp->data, (const struct sockaddr_in *)from, datagram);
	fleet__datagram__free_unpacked(datagram, NULL);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested ATTR_UNUSED, uv_buf_t *buf)
{
	struct flow *flow = handle->data;

	*buf = uv_buf_init(flow->datagram, sizeof(flow->datagram));
}

static gboolean
is_over(void *key ATTR_UNUSED, void *value, void *ctx)
{
	const struct remote_call *call = value;
	const uint64_t *now_us = ctx;

	if (*now_us < call->deadline_us + US_PER_S)
		return FALSE;
	placement_cancel(call->service->placement, (void *)call);
	return TRUE;
}

/*
 * Looks at what waits in our placements.
 */
static void
on_place_tick(uv_timer_t *timer)
{
	struct flow *flow = timer->data;
	uint64_t now = flow_now_us(flow);
	GHashTableIter iter;
	gpointer value;

	/* The wall's time, not the loop's: a late turn is what is looked for. */
	if (strain_note(&flow->strain, clock_monotonic_us(),
		PLACE_TICK_MS * US_PER_MS)) {
		log_info("strain", "instance=%s busy=%d lag_us=%.0f callers=%u",
		    flow->settings.instance, flow->strain.busy,
		    flow->strain.lag_us, flow->callers.length);
		fleet_greet(flow);
	}
	g_hash_table_foreach_remove(flow->remote_calls, is_over, &now);
	g_hash_table_iter_init(&iter, flow->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		placement_tick(((struct service *)value)->placement, now);
}

/*
 * Listens for datagrams of other entries.
 */
enum status
schedule_open(struct flow *flow)
{
	struct sockaddr_in at;
	int error = UV_EINVAL;

	flow->asks = g_hash_table_new(g_int64_hash, g_int64_equal);
	flow->remote_calls =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, remote_free);
	uv_udp_init(flow->loop, &flow->udp);
	flow->udp.data = flow;
	if (address_parse(flow->settings.datagram_address, &at))
		error =
		    uv_udp_bind(&flow->udp, (const struct sockaddr *)&at, 0);
	if (error == 0)
		error = uv_udp_recv_start(&flow->udp, on_alloc, on_datagram);
	if (error != 0)
		return status_set(STATUS_IO, "%s: %s",
		    flow->settings.datagram_address, uv_strerror(error));
	uv_timer_init(flow->loop, &flow->place_timer);
	flow->place_timer.data = flow;
	uv_timer_start(
	    &flow->place_timer, on_place_tick, PLACE_TICK_MS, PLACE_TICK_MS);
	return STATUS_OK;
}

/*
 * Stops listening.
 */
void
schedule_close(struct flow *flow)
{
	uv_close((uv_handle_t *)&flow->udp, NULL);
	uv_close((uv_handle_t *)&flow->place_timer, NULL);
	g_hash_table_destroy(flow->asks);
	g_hash_table_destroy(flow->remote_calls);
}
