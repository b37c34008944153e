#include "support_allowance.h"

#include <math.h>
#include <stdlib.h>

#include "base/memory.h"
#include "support_allowance_defs.h"

static const char account[] = "acct";

/*
 * Sends a message: in order on its link, late while the link is cut, and later
 * when it is lost once.
 */
static void
send_message(struct world *w, struct message *message, bool to_voter)
{
	unsigned e = message->entry;
	unsigned v = message->voter;
	uint64_t *last = &w->last_ms[e][v][to_voter ? 1 : 0];
	uint64_t at =
	    w->now_ms + (e % 4 == v % 4 ? 1 : 8) + random_below(&w->random, 3);
	struct message *copy = mem_calloc(1, sizeof(*copy));
	struct node *to = to_voter ? &w->voters[v].node : &w->entries[e].node;

	if (w->model->faults && random_below(&w->random, 2000) == 0)
		at += RETRANSMIT_MS + random_below(&w->random, 1000);
	at = MAX(at, MAX(*last, w->cut_until_ms[e][v]));
	*last = at;
	*copy = *message;
	copy->arrives_ms = at;
	g_queue_push_tail(&to->inbox, copy);
}

static uint32_t
open_mask(const struct world *w, unsigned e)
{
	uint32_t open = 0;

	for (unsigned v = 0; v < ALLOWANCE_MODEL_VOTERS; v++)
		if (w->cut_until_ms[e][v] <= w->now_ms ||
		    w->now_ms - w->cut_since_ms[e][v] < CLOSED_MS)
			open |= UINT32_C(1) << v;
	return open;
}

/*
 * Returns whether a request counts for the share that is served soon after the
 * restart.
 */
static bool
is_soon_after_restart(const struct world *w, uint64_t sent_ms)
{
	uint64_t from = w->first_grant_ms + SOON_FROM_MS;

	return w->first_grant_ms != 0 && sent_ms >= from &&
	    sent_ms < from + SOON_MS;
}

/*
 * A caller that was refused sends again, where the model restarts processes and
 * there is room for all callers.
 */
static void
refuse(struct world *w, unsigned e, const struct request *request,
    uint64_t retry_ms)
{
	struct return_visit *visit;

	if (is_soon_after_restart(w, request->sent_ms))
		w->outcome.soon_refused++;
	if (w->model->restart == ALLOWANCE_RESTART_NONE ||
	    w->model->demand >= 1)
		return;
	visit = mem_calloc(1, sizeof(*visit));
	visit->at_ms = w->now_ms + retry_ms;
	visit->entry = e;
	g_queue_push_tail(&w->visits, visit);
}

/*
 * Does what the decision about a request says.
 */
static void
follow(struct world *w, unsigned e, const struct allowance_step *step)
{
	struct entry *entry = &w->entries[e];
	struct request *request = step->call != NULL ? step->call->user : NULL;
	struct message message = {
	    .entry = e,
	    .voter = step->voter,
	    .kind = MESSAGE_DRAW,
	    .request = step->request,
	    .count = step->want,
	};

	switch (step->kind) {
	case ALLOWANCE_NOTHING:
		return;
	case ALLOWANCE_ASK:
		w->outcome.draws++;
		request->timeout_ms = w->now_ms + ALLOWANCE_ANSWER_MS;
		send_message(w, &message, true);
		return;
	case ALLOWANCE_GRANTED:
		if (w->first_grant_ms != 0 &&
		    w->now_ms < w->first_grant_ms + FIRST_MS)
			w->outcome.first++;
		if (w->first_grant_ms != 0 &&
		    w->now_ms >= w->first_grant_ms + SOON_FROM_MS &&
		    request->sent_ms < w->first_grant_ms + SOON_FROM_MS)
			w->outcome.soon_earlier++;
		g_queue_remove(&entry->waiting, request);
		g_queue_push_tail(&entry->placed, request);
		return;
	case ALLOWANCE_REFUSED:
		w->outcome.refused++;
		refuse(w, e, request, step->retry_us / US_PER_MS + 1);
		break;
	case ALLOWANCE_UNKNOWN:
		w->outcome.unknown++;
		refuse(w, e, request, UNKNOWN_RETRY_MS);
		break;
	}
	allowance_draws_end(entry->draws, &request->call, false, now_us(w));
	g_queue_remove(&entry->waiting, request);
	mem_free(request);
}

static void
begin_request(struct world *w, unsigned e, uint64_t sent_ms)
{
	struct entry *entry = &w->entries[e];
	struct request *request = mem_calloc(1, sizeof(*request));
	struct allowance_step step;

	request->call.user = request;
	request->sent_ms = sent_ms;
	if (is_soon_after_restart(w, sent_ms))
		w->outcome.soon_sent++;
	request->rejected = random_unit(&w->random) < w->model->rejected;
	/* Most get a target at once; some wait in a scheduler's queue. */
	request->target_ms = w->now_ms + random_below(&w->random, 20) +
	    (random_below(&w->random, 20) == 0 ? random_below(&w->random, 3000)
					       : 0);
	g_queue_push_tail(&entry->waiting, request);
	step = allowance_draws_begin(entry->draws, &request->call, account,
	    &w->limit, open_mask(w, e), now_us(w));
	follow(w, e, &step);
}

static void
on_voter_message(struct world *w, const struct message *m)
{
	struct voter *voter = &w->voters[m->voter];
	struct message answer = {
	    .entry = m->entry,
	    .voter = m->voter,
	    .kind = MESSAGE_RESULT,
	    .request = m->request,
	    .unavailable = w->now_ms < voter->grants_from_ms ||
		w->now_ms >= voter->grants_until_ms,
	};

	if (m->kind == MESSAGE_RETURN) {
		(void)allowance_table_return(voter->table, account, m->entry,
		    m->request, m->count, now_us(w));
		return;
	}
	if (!answer.unavailable) {
		struct allowance_result result =
		    allowance_table_draw(voter->table, account, &w->limit,
			m->entry, m->request, m->count, now_us(w));

		if (w->first_grant_ms == 0 &&
		    w->now_ms >= w->model->seconds * UINT64_C(500) &&
		    w->model->restart != ALLOWANCE_RESTART_NONE)
			w->first_grant_ms = w->now_ms;
		answer.count = result.granted;
		answer.retry_us = result.retry_us;
	}
	send_message(w, &answer, false);
}

static void
on_entry_message(struct world *w, const struct message *m)
{
	const struct allowance_result result = {
	    .granted = m->count,
	    .retry_us = m->retry_us,
	    .unavailable = m->unavailable,
	};
	struct allowance_step step =
	    allowance_draws_on_result(w->entries[m->entry].draws, m->request,
		&result, open_mask(w, m->entry), now_us(w));

	follow(w, m->entry, &step);
}

static void
read_inbox(struct world *w, struct node *node,
    void (*on_message)(struct world *w, const struct message *m))
{
	GList *next;

	for (GList *l = node->inbox.head; l != NULL; l = next) {
		struct message *m = l->data;

		next = l->next;
		if (m->arrives_ms > w->now_ms)
			continue;
		g_queue_delete_link(&node->inbox, l);
		on_message(w, m);
		mem_free(m);
	}
}

struct return_ctx {
	struct world *w;
	unsigned e;
};

static void
give_back(void *ctx, const char *name ATTR_UNUSED,
    const struct allowance_token *token)
{
	const struct return_ctx *r = ctx;
	struct message message = {
	    .entry = r->e,
	    .voter = token->voter,
	    .kind = MESSAGE_RETURN,
	    .request = token->request,
	    .count = 1,
	};

	send_message(r->w, &message, true);
}

/*
 * One millisecond of an entry.
 */
static void
run_entry(struct world *w, unsigned e)
{
	struct entry *entry = &w->entries[e];
	struct return_ctx ctx = {w, e};
	GList *next;

	if (entry->node.frozen_until_ms > w->now_ms)
		return;
	read_inbox(w, &entry->node, on_entry_message);
	while (!g_queue_is_empty(&entry->arrivals))
		begin_request(
		    w, e, GPOINTER_TO_SIZE(g_queue_pop_head(&entry->arrivals)));
	for (GList *l = entry->waiting.head; l != NULL; l = next) {
		struct request *request = l->data;
		struct allowance_step step;

		next = l->next;
		if (request->timeout_ms > w->now_ms)
			continue;
		step = allowance_draws_on_silence(
		    entry->draws, &request->call, open_mask(w, e), now_us(w));
		follow(w, e, &step);
	}
	for (GList *l = entry->placed.head; l != NULL; l = next) {
		struct request *request = l->data;
		struct run_time run = {request->sent_ms, w->now_ms};

		next = l->next;
		if (request->target_ms > w->now_ms)
			continue;
		allowance_draws_end(entry->draws, &request->call,
		    !request->rejected, now_us(w));
		if (!request->rejected)
			g_array_append_val(w->runs, run);
		g_queue_delete_link(&entry->placed, l);
		mem_free(request);
	}
	if (w->now_ms % 50 == e % 50)
		(void)allowance_draws_tick(
		    entry->draws, now_us(w), give_back, &ctx);
}

static void
free_inbox(struct node *node)
{
	g_queue_clear_full(&node->inbox, mem_free);
}

/*
 * Ends the requests of a queue.
 */
void
allowance_model_end_requests(
    struct world *w, struct entry *entry, GQueue *queue)
{
	struct request *request;

	while ((request = g_queue_pop_head(queue)) != NULL) {
		allowance_draws_end(
		    entry->draws, &request->call, true, now_us(w));
		mem_free(request);
	}
}

static void
open_world(struct world *w, const struct allowance_model *model, uint64_t seed)
{
	unsigned shares = model->planted_shares > 0 ? model->planted_shares
						    : ALLOWANCE_MODEL_SHARES;

	w->model = model;
	random_seed(&w->random, seed);
	random_seed(&w->disk_random, seed + 1000);
	w->limit = (struct allowance_limit){model->rate_per_s, model->burst, 1};
	w->runs = g_array_new(FALSE, FALSE, sizeof(struct run_time));
	for (unsigned e = 0; e < ALLOWANCE_MODEL_ENTRIES; e++)
		w->entries[e].draws = allowance_model_new_draws(w);
	for (unsigned v = 0; v < ALLOWANCE_MODEL_VOTERS; v++) {
		struct voter *voter = &w->voters[v];

		voter->table = allowance_table_new(
		    shares, model->window_ms * US_PER_MS, 0);
		voter->grants_until_ms = UINT64_MAX;
		if (v < model->lost_voters)
			voter->grants_until_ms = 0;
		if (v == ALLOWANCE_MODEL_SHARES)
			voter->grants_from_ms = UINT64_MAX;
	}
	if (model->faults) {
		uint64_t at = model->seconds * 300;

		w->voters[2].grants_until_ms = at + LEASE_MS;
		w->voters[ALLOWANCE_MODEL_SHARES].grants_from_ms =
		    at + SUCCESSOR_MS;
	}
}

static void
close_world(struct world *w)
{
	for (unsigned e = 0; e < ALLOWANCE_MODEL_ENTRIES; e++) {
		struct entry *entry = &w->entries[e];

		allowance_model_end_requests(w, entry, &entry->waiting);
		allowance_model_end_requests(w, entry, &entry->placed);
		g_queue_clear(&entry->arrivals);
		free_inbox(&entry->node);
		allowance_draws_free(entry->draws);
	}
	for (unsigned v = 0; v < ALLOWANCE_MODEL_VOTERS; v++) {
		free_inbox(&w->voters[v].node);
		allowance_table_free(w->voters[v].table);
		str_buf_free(&w->voters[v].disk.file);
		str_buf_free(&w->voters[v].disk.next);
	}
	g_queue_clear_full(&w->visits, mem_free);
	g_array_free(w->runs, TRUE);
	mem_free(w);
}

static int
by_sent(const void *a, const void *b)
{
	const struct run_time *left = a;
	const struct run_time *right = b;

	return (left->sent_ms > right->sent_ms) -
	    (left->sent_ms < right->sent_ms);
}

/*
 * Counts the requests of each window that begins with one: sent and run within
 * it.  Any other window holds no more than one of these.
 */
static void
check_windows(struct world *w)
{
	const struct run_time *runs = (const struct run_time *)w->runs->data;
	struct allowance_outcome *o = &w->outcome;
	uint64_t window_ms = w->model->window_ms;

	g_array_sort(w->runs, by_sent);
	for (guint i = 0; i < w->runs->len; i++) {
		uint64_t end = runs[i].sent_ms + window_ms;
		unsigned count = 0;

		for (guint j = i; j < w->runs->len && runs[j].sent_ms <= end;
		     j++)
			count += runs[j].run_ms <= end ? 1 : 0;
		o->windows++;
		o->above += count > o->bound ? 1 : 0;
		o->most = MAX(o->most, count);
	}
}

/*
 * Counts the callers that ask at the start of the measured time: those that
 * will come back, and those whose draw may still be refused.
 */
static void
count_callers(struct world *w)
{
	w->outcome.soon_asked += w->visits.length;
	for (unsigned e = 0; e < ALLOWANCE_MODEL_ENTRIES; e++)
		w->outcome.soon_asked += w->entries[e].waiting.length +
		    w->entries[e].arrivals.length;
}

/*
 * Lets callers that were refused send again when they were told to.
 */
static void
draw_return_visits(struct world *w)
{
	GList *next;

	if (w->first_grant_ms != 0 &&
	    w->now_ms == w->first_grant_ms + SOON_FROM_MS)
		count_callers(w);
	for (GList *l = w->visits.head; l != NULL; l = next) {
		struct return_visit *visit = l->data;

		next = l->next;
		if (visit->at_ms > w->now_ms)
			continue;
		g_queue_push_tail(&w->entries[visit->entry].arrivals,
		    GSIZE_TO_POINTER(w->now_ms));
		g_queue_delete_link(&w->visits, l);
		mem_free(visit);
	}
}

static void
draw_arrivals(struct world *w)
{
	const struct allowance_model *m = w->model;
	double due = m->rate_per_s * m->demand / 1000;
	uint64_t hot = m->move_ms > 0 ? w->now_ms / m->move_ms * 37 : 0;

	if (m->pause_ms > 0 && w->now_ms / m->pause_ms % 2 == 0)
		return;
	while (random_unit(&w->random) < due / (1 + due)) {
		uint64_t e = hot + random_below(&w->random, m->entries);

		w->outcome.sent++;
		if (is_soon_after_restart(w, w->now_ms))
			w->outcome.soon_asked++;
		g_queue_push_tail(
		    &w->entries[e % ALLOWANCE_MODEL_ENTRIES].arrivals,
		    GSIZE_TO_POINTER(w->now_ms));
	}
}

/*
 * Runs one seed of a model, and checks the bound.
 */
struct allowance_outcome
allowance_model_run(const struct allowance_model *model, uint64_t seed)
{
	struct world *w = mem_calloc(1, sizeof(*w));
	struct allowance_outcome outcome;
	/* Without the burst: buckets start with one token. */
	double allowance = model->rate_per_s * model->seconds;

	open_world(w, model, seed);
	w->outcome.bound =
	    (model->rate_per_s * model->window_ms / 1000.0 + model->burst) *
		1.1 +
	    20;
	for (w->now_ms = 1; w->now_ms <= model->seconds * UINT64_C(1000);
	     w->now_ms++) {
		if (model->faults && w->now_ms % 100 == 0)
			allowance_model_draw_faults(w);
		allowance_model_restart(w);
		draw_return_visits(w);
		draw_arrivals(w);
		for (unsigned v = 0; v < ALLOWANCE_MODEL_VOTERS; v++) {
			if (w->voters[v].node.frozen_until_ms > w->now_ms)
				continue;
			allowance_model_disk_tick(w, &w->voters[v]);
			read_inbox(w, &w->voters[v].node, on_voter_message);
		}
		for (unsigned e = 0; e < ALLOWANCE_MODEL_ENTRIES; e++)
			run_entry(w, e);
	}
	w->outcome.run = w->runs->len;
	w->outcome.usable = w->outcome.run / fmin(allowance, w->outcome.sent);
	if (w->outcome.soon_asked > 0)
		w->outcome.soon =
		    (w->outcome.soon_earlier + w->outcome.soon_sent -
			w->outcome.soon_refused) /
		    fmin(w->outcome.soon_asked,
			model->rate_per_s * SOON_MS / 1000.0);
	check_windows(w);
	outcome = w->outcome;
	close_world(w);
	return outcome;
}
