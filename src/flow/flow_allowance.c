/*
 * Allowances of client accounts: a request of an account with a limit draws a
 * token from a voter of the control group while it asks for a target, and is
 * sent when it has both.
 */
#include <inttypes.h>
#include <string.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_allowance.h"

enum {
	/* Half of a second: voters may be without a leader for that long. */
	UNKNOWN_RETRY_MS = 500,
	TICK_MS = 50, /* a tenth of a token's life */
	/*
	 * A timer that is this late says nothing about the voter: this loop was
	 * busy, and has not read the answers yet.
	 */
	LATE_MS = 10
};

static void on_timer(uv_timer_t *timer);

/*
 * Returns the control instance that is a voter, NULL if it is not connected.
 */
static const struct control *
connected_voter(const struct flow *flow, unsigned voter)
{
	const char *address =
	    allowance_draws_voter(flow->allowance->draws, voter);
	const struct control *control = address != NULL
	    ? g_hash_table_lookup(flow->controls, address)
	    : NULL;

	return control != NULL && channel_is_open(control->channel) ? control
								    : NULL;
}

static uint32_t
connected_voters(const struct flow *flow)
{
	uint32_t open = 0;

	for (unsigned i = 0; i < ALLOWANCE_VOTERS_MAX; i++)
		if (connected_voter(flow, i) != NULL)
			open |= UINT32_C(1) << i;
	return open;
}

static void
update_counters(const struct flow_allowance *a)
{
	struct allowance_counts counts = allowance_draws_counts(a->draws);

	counter_set(a->drawn, (int64_t)counts.drawn);
	counter_set(a->unavailable, (int64_t)counts.unavailable);
	counter_set(a->returned, (int64_t)counts.returned);
	counter_set(a->dropped, (int64_t)counts.dropped);
	counter_set(a->paced, (int64_t)counts.paced);
}

/*
 * Starts the timer for whatever comes next.
 */
void
allowance_start_timer(struct flow_allowance *a, uint64_t now_us)
{
	const struct exchange_allowance *first = g_queue_peek_head(&a->asking);
	uint64_t due = MIN(a->tick_due_us, allowance_wait_due_us(a));

	if (first != NULL && first->due_us < due)
		due = first->due_us;
	uv_timer_start(&a->timer, on_timer,
	    due > now_us ? (due - now_us) / US_PER_MS + 1 : 0, 0);
}

static void
stop_asking(struct flow_allowance *a, struct exchange_allowance *own)
{
	if (own->link.data == NULL)
		return;
	g_queue_unlink(&a->asking, &own->link);
	own->link.data = NULL;
}

static void
send_draw(struct flow *flow, const struct allowance_step *step)
{
	const struct control *control = connected_voter(flow, step->voter);
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Draw draw = FLEET__DRAW__INIT;

	if (control == NULL)
		return;
	draw.request = step->request;
	draw.account = (char *)step->account;
	draw.document_index = step->limit.document_index;
	draw.rate = MIN(step->limit.rate_per_s, FLEET_ALLOWANCE_MAX);
	draw.burst = MIN(step->limit.burst, FLEET_ALLOWANCE_MAX);
	draw.want = step->want;
	frame.body_case = FLEET__FRAME__BODY_DRAW;
	frame.draw = &draw;
	channel_send(control->channel, &frame);
}

/*
 * Ends a request without a token: 429 if the voters have none, 503 if none of
 * them can say.  It was not sent.
 */
static void
refuse(struct exchange *x, const struct allowance_step *step)
{
	struct flow *flow = x->flow;
	bool empty = step->kind == ALLOWANCE_REFUSED;
	const char *why = step->paced ? "paced"
	    : empty                   ? "used_up"
				      : "no_voter";
	uint64_t retry_ms = empty
	    ? MAX((step->retry_us + US_PER_MS - 1) / US_PER_MS, 1)
	    : UNKNOWN_RETRY_MS;

	if (empty)
		counter_add(flow->allowance->refused, 1);
	if (flow_may_log(flow))
		log_info("allowance_refused",
		    "instance=%s request=%" PRIu64 " attempt=%s account=%s "
		    "asked=%u retry_after_ms=%" PRIu64 " why=%s",
		    flow->settings.instance, x->id, x->attempt_id,
		    step->account, step->call->asked_count, retry_ms, why);
	exchange_refuse(x, empty ? 429 : 503, retry_ms * US_PER_MS,
	    empty ? "the allowance of the account is used up"
		  : "the allowance of the account is unknown");
}

/*
 * Ends a request that has waited in vain for a voter.
 */
void
allowance_refuse_unknown(struct exchange_allowance *own)
{
	const struct allowance_step step = {
	    .kind = ALLOWANCE_UNKNOWN,
	    .call = &own->call,
	    .account = own->exchange->account->name,
	};

	refuse(own->exchange, &step);
}

/*
 * Uses a token: asks for a target if the request has waited, or sends it to the
 * one that was granted.
 */
static void
on_token(struct exchange_allowance *own, uint64_t now_us)
{
	struct exchange *x = own->exchange;
	char *target = own->target;

	if (own->wait_since_us != 0) {
		allowance_wait_served(own, now_us);
		schedule_ask(x, x->ask_repeat);
		return;
	}
	own->target = NULL;
	if (target != NULL)
		exchange_on_grant(x, target, own->remote, own->expected_us);
	mem_free(target);
}

/*
 * Does what the decision about a request says.  Returns false if the request
 * asks for no target now: it waits for a voter, or has ended, which may have
 * freed it.
 */
static bool
follow(struct flow *flow, const struct allowance_step *step, uint64_t now_us)
{
	struct flow_allowance *a = flow->allowance;
	struct exchange_allowance *own;

	if (step->kind == ALLOWANCE_NOTHING)
		return true;
	own = step->call->user;
	stop_asking(a, own);
	allowance_wait_stop(own);
	if (step->kind == ALLOWANCE_ASK) {
		own->due_us = now_us + ALLOWANCE_ANSWER_MS * US_PER_MS;
		own->link.data = own;
		g_queue_push_tail_link(&a->asking, &own->link);
		send_draw(flow, step);
		allowance_start_timer(a, now_us);
		return true;
	}
	if (step->kind == ALLOWANCE_GRANTED) {
		on_token(own, now_us);
		return true;
	}
	if (step->kind != ALLOWANCE_UNKNOWN ||
	    !allowance_wait_begin(own, now_us))
		refuse(own->exchange, step);
	return false;
}

/*
 * Draws again for a request that has waited.
 */
void
allowance_redraw(struct exchange_allowance *own, uint64_t now_us)
{
	struct flow *flow = own->exchange->flow;
	struct allowance_step step = allowance_draws_retry(
	    flow->allowance->draws, &own->call, connected_voters(flow), now_us);

	(void)follow(flow, &step, now_us);
}

/*
 * Begins to draw a token for a request that is about to ask for a target, once
 * in its life.  Returns false if the request asks for no target now: it waits
 * for a voter, or was refused, which may have freed it.
 */
bool
allowance_begin(struct exchange *x)
{
	struct flow *flow = x->flow;
	struct exchange_allowance *own;
	struct allowance_limit limit;
	struct allowance_step step;
	uint64_t now;

	if (x->account == NULL || x->account->rate_per_s <= 0 ||
	    x->allowance != NULL)
		return true;
	own = x->allowance = mem_calloc(1, sizeof(*own));
	own->exchange = x;
	own->call.user = own;
	limit = (struct allowance_limit){
	    .rate_per_s = x->account->rate_per_s,
	    .burst = x->account->burst,
	    /* An earlier document's limit gives way to any known one. */
	    .document_index =
		x->routes == flow->routes ? flow->document_index : 0,
	};
	now = clock_boot_us();
	step = allowance_draws_begin(flow->allowance->draws, &own->call,
	    x->account->name, &limit, connected_voters(flow), now);
	if (!uv_is_active((uv_handle_t *)&flow->allowance->timer)) {
		flow->allowance->tick_due_us = now + TICK_MS * US_PER_MS;
		allowance_start_timer(flow->allowance, now);
	}
	return follow(flow, &step, now);
}

/*
 * Keeps the grant of a target for a request that has no token yet.  Returns
 * false if it needs none or has one.  A second grant is returned.
 */
bool
allowance_keep_grant(
    struct exchange *x, const char *target, bool remote, uint64_t expected_us)
{
	struct exchange_allowance *own = x->allowance;

	if (own == NULL || own->call.has_token)
		return false;
	if (own->target != NULL) {
		if (strcmp(own->target, target) != 0)
			exchange_return_grant(x, target, remote);
		return true;
	}
	own->target = str_dup(str_from(target));
	own->remote = remote;
	own->expected_us = expected_us;
	return true;
}

/*
 * Returns whether a grant is kept for a token.
 */
bool
allowance_has_grant(const struct exchange *x)
{
	return x->allowance != NULL && x->allowance->target != NULL;
}

/*
 * Ends a request's part in the allowance.  A token is spent if the request was
 * sent, otherwise it is kept for another one or returned; a kept grant is
 * returned to its scheduler.
 */
void
allowance_end(struct exchange *x)
{
	struct exchange_allowance *own = x->allowance;
	bool sent = false;

	if (own == NULL)
		return;
	for (unsigned i = 0; i < x->attempt_count; i++)
		sent = sent || x->attempts[i].sent;
	if (own->target != NULL)
		exchange_return_grant(x, own->target, own->remote);
	stop_asking(x->flow->allowance, own);
	allowance_wait_stop(own);
	if (own->wait_since_us != 0 && !own->call.has_token)
		allowance_wait_in_vain(own);
	allowance_draws_end(
	    x->flow->allowance->draws, &own->call, sent, clock_boot_us());
	mem_free(own->target);
	mem_free(own);
	x->allowance = NULL;
}

/*
 * A voter has answered.
 */
void
allowance_on_result(struct flow *flow, const Fleet__DrawResult *message)
{
	uint64_t now = clock_boot_us();
	const struct allowance_result result = {
	    .granted = message->granted,
	    .retry_us = message->retry_after_ms * US_PER_MS,
	    .unavailable = message->unavailable,
	};
	struct allowance_step step =
	    allowance_draws_on_result(flow->allowance->draws, message->request,
		&result, connected_voters(flow), now);

	update_counters(flow->allowance);
	(void)follow(flow, &step, now);
	if (result.granted > 0)
		flow->allowance->voter_us = now;
	if (!result.unavailable)
		allowance_wake(flow, now);
}

/*
 * A control instance is connected, which may be a voter.
 */
void
allowance_on_connected(struct flow *flow)
{
	allowance_wake(flow, clock_boot_us());
}

/*
 * Another document is in force: keys may have been withdrawn.
 */
void
allowance_on_document(struct flow *flow)
{
	allowance_wake(flow, clock_boot_us());
}

/*
 * A control instance names the voters.  One that keeps no log knows none.
 */
void
allowance_on_members(struct flow *flow, const Fleet__Members *m)
{
	struct allowance_draws *draws = flow->allowance->draws;
	uint64_t now = clock_boot_us();

	if (m->relay || m->n_voter == 0 || m->n_voter != m->n_address)
		return;
	for (size_t i = 0; i < m->n_address; i++)
		if (m->voter[i])
			(void)allowance_draws_name_voter(
			    draws, m->address[i], now);
	allowance_draws_expire_voters(draws, now);
	allowance_wake(flow, now);
}

static void
give_back(void *ctx, const char *account, const struct allowance_token *token)
{
	struct flow *flow = ctx;
	const struct control *control = connected_voter(flow, token->voter);
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__DrawReturn message = FLEET__DRAW_RETURN__INIT;

	if (control == NULL)
		return;
	message.account = (char *)account;
	message.count = 1;
	message.request = token->request;
	frame.body_case = FLEET__FRAME__BODY_DRAW_RETURN;
	frame.draw_return = &message;
	channel_send(control->channel, &frame);
}

/*
 * Asks other voters where one was silent, and returns unused tokens.
 */
static void
on_timer(uv_timer_t *timer)
{
	struct flow *flow = timer->data;
	struct flow_allowance *a = flow->allowance;
	uint64_t now = clock_boot_us();
	struct exchange_allowance *own = g_queue_peek_head(&a->asking);
	bool active = true;

	if (own != NULL && !a->was_late &&
	    now > own->due_us + LATE_MS * US_PER_MS) {
		a->was_late = true;
		uv_timer_start(timer, on_timer, 1, 0);
		return;
	}
	a->was_late = false;
	while ((own = g_queue_peek_head(&a->asking)) != NULL &&
	    own->due_us <= now) {
		/* After its wait a request asks no further voter. */
		uint32_t open = allowance_wait_is_over(own, now)
		    ? 0
		    : connected_voters(flow);
		struct allowance_step step =
		    allowance_draws_on_silence(a->draws, &own->call, open, now);

		(void)follow(flow, &step, now);
	}
	allowance_wait_tick(a, now);
	if (now >= a->tick_due_us) {
		active = allowance_draws_tick(a->draws, now, give_back, flow);
		a->tick_due_us = now + TICK_MS * US_PER_MS;
		update_counters(a);
	}
	if (active)
		allowance_start_timer(a, now);
}

/*
 * Creates the state and the metrics of allowances.
 */
void
allowance_open(struct flow *flow)
{
	struct flow_allowance *a = mem_calloc(1, sizeof(*a));
	uint64_t window_ms = flow->settings.quota_window_ms > 0
	    ? flow->settings.quota_window_ms
	    : ALLOWANCE_WINDOW_MS;
	const struct {
		struct counter **counter;
		const char *name;
		const char *help;
	} list[] = {
	    {&a->drawn, "gypsummill_flow_allowance_drawn_total",
		"Tokens of accounts' allowances drawn from control (count)"},
	    {&a->refused, "gypsummill_flow_allowance_refused_total",
		"Requests refused beyond their account's allowance (count)"},
	    {&a->unavailable, "gypsummill_flow_allowance_unavailable_total",
		"Draws that a voter could not or did not answer (count)"},
	    {&a->returned, "gypsummill_flow_allowance_returned_total",
		"Tokens returned since no request used them (count)"},
	    {&a->dropped, "gypsummill_flow_allowance_dropped_total",
		"Tokens dropped since they were too old (count)"},
	    {&a->paced, "gypsummill_flow_allowance_paced_total",
		"Requests refused without a draw, as the account is empty "
		"(count)"},
	    {&a->served_late, "gypsummill_flow_allowance_served_late_total",
		"Requests that waited for a voter and got a token (count)"},
	    {&a->in_vain, "gypsummill_flow_allowance_in_vain_total",
		"Requests that waited for a voter and got no token (count)"},
	};

	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]); i++)
		*list[i].counter = counter_register(
		    COUNTER_TOTAL, list[i].name, list[i].help, NULL);
	a->waiting_now =
	    counter_register(COUNTER_GAUGE, "gypsummill_flow_allowance_waiting",
		"Requests that wait for a voter (count)", NULL);
	allowance_wait_open(a);
	a->draws =
	    allowance_draws_new(window_ms * US_PER_MS, flow->started_ms << 20);
	uv_timer_init(flow->loop, &a->timer);
	a->timer.data = flow;
	flow->allowance = a;
}

static void
on_timer_closed(uv_handle_t *handle)
{
	struct flow *flow = handle->data;

	allowance_draws_free(flow->allowance->draws);
	mem_free(flow->allowance);
	flow->allowance = NULL;
}

/*
 * Closes the timer; the state is freed after it.
 */
void
allowance_close(struct flow *flow)
{
	uv_close((uv_handle_t *)&flow->allowance->timer, on_timer_closed);
}
