#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "core/core_internal.h"

enum {
	/* Callers allow a second for an answer and then ask another. */
	ANSWER_MS = 900
};

static void
waiter_free(void *value)
{
	mem_free(value);
}

/*
 * Sets up the table of those who wait.
 */
void
core_propose_open(struct core *core)
{
	core->waiters = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, waiter_free);
}

static Fleet__Outcome
to_wire(enum core_outcome outcome)
{
	switch (outcome) {
	case CORE_ACCEPTED:
		return FLEET__OUTCOME__OUTCOME_ACCEPTED;
	case CORE_CONFLICT:
		return FLEET__OUTCOME__OUTCOME_CONFLICT;
	case CORE_STALE:
		return FLEET__OUTCOME__OUTCOME_STALE;
	case CORE_UNAVAILABLE:
		break;
	}
	return FLEET__OUTCOME__OUTCOME_UNAVAILABLE;
}

static enum core_outcome
from_wire(Fleet__Outcome outcome)
{
	if (outcome == FLEET__OUTCOME__OUTCOME_ACCEPTED)
		return CORE_ACCEPTED;
	if (outcome == FLEET__OUTCOME__OUTCOME_CONFLICT)
		return CORE_CONFLICT;
	if (outcome == FLEET__OUTCOME__OUTCOME_STALE)
		return CORE_STALE;
	return CORE_UNAVAILABLE;
}

static void
send_result(struct channel *to, uint64_t request, enum core_outcome outcome,
    uint64_t index)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Result result = FLEET__RESULT__INIT;

	result.request = request;
	result.outcome = to_wire(outcome);
	result.index = index;
	frame.body_case = FLEET__FRAME__BODY_RESULT;
	frame.result = &result;
	channel_send(to, &frame);
}

/*
 * Tells a waiter the outcome and forgets it.
 */
static void
settle(struct core *core, struct core_waiter *waiter, enum core_outcome outcome)
{
	struct core_waiter w = *waiter;

	g_hash_table_remove(core->waiters, &waiter->request);
	if (w.peer != NULL)
		send_result(w.peer, w.peer_request, outcome, w.index);
	else if (w.done != NULL)
		w.done(w.ctx, outcome);
	else if (w.read_done != NULL)
		w.read_done(w.ctx, outcome, str_buf_view(&core->state.text));
}

static struct core_waiter *
new_waiter(struct core *core)
{
	struct core_waiter *waiter = mem_calloc(1, sizeof(*waiter));

	waiter->request = ++core->last_request;
	waiter->deadline_us = clock_boot_us() + ANSWER_MS * US_PER_MS;
	g_hash_table_insert(core->waiters, &waiter->request, waiter);
	return waiter;
}

/*
 * Returns the channel to the leader, NULL when there is none or it is here.
 */
static struct channel *
leader_channel(struct core *core)
{
	const char *address = core_leader_address(core);
	const struct core_neighbour *neighbour;

	if (address[0] == '\0' ||
	    strcmp(address, core->settings.link_address) == 0)
		return NULL;
	neighbour = core_neighbour(core, address);
	if (neighbour == NULL || !channel_is_open(neighbour->channel))
		return NULL;
	return neighbour->channel;
}

/*
 * Appends a command on the leader, or settles the waiter.
 */
static void
append_here(struct core *core, struct core_waiter *waiter, struct str command)
{
	if (core->replica == NULL ||
	    replica_propose(core->replica, command, &waiter->index,
		&waiter->term) != STATUS_OK)
		settle(core, waiter, CORE_UNAVAILABLE);
}

/*
 * Proposes a command here or hands it to the leader.
 */
static void
hand_in(struct core *core, Fleet__Command *command, core_done *done, void *ctx)
{
	struct core_waiter *waiter = new_waiter(core);
	struct channel *leader = leader_channel(core);
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Propose message = FLEET__PROPOSE__INIT;
	size_t len;

	waiter->done = done;
	waiter->ctx = ctx;
	command->time_ms = clock_wall_us() / 1000;
	len = fleet__command__get_packed_size(command);
	message.command.data = mem_alloc(len);
	message.command.len =
	    fleet__command__pack(command, message.command.data);
	if (leader == NULL) {
		append_here(core, waiter,
		    str_of((const char *)message.command.data, len));
	} else {
		message.request = waiter->request;
		frame.body_case = FLEET__FRAME__BODY_PROPOSE;
		frame.propose = &message;
		channel_send(leader, &frame);
	}
	mem_free(message.command.data);
}

/*
 * Records that an incarnation of a target leaves.
 */
void
core_depart(struct core *core, const char *id, uint64_t started_ms,
    core_done *done, void *ctx)
{
	Fleet__Command command = FLEET__COMMAND__INIT;
	Fleet__Departure departure = FLEET__DEPARTURE__INIT;

	if (roster_has_departed(core->roster, id, started_ms)) {
		done(ctx, CORE_ACCEPTED);
		return;
	}
	departure.id = (char *)id;
	departure.started_ms = started_ms;
	command.body_case = FLEET__COMMAND__BODY_DEPARTURE;
	command.departure = &departure;
	hand_in(core, &command, done, ctx);
}

/*
 * Replaces the document, if it builds on the version in force.
 */
void
core_edit(struct core *core, uint64_t base_version, uint64_t version,
    struct str text, core_done *done, void *ctx)
{
	Fleet__Command command = FLEET__COMMAND__INIT;
	Fleet__Edit edit = FLEET__EDIT__INIT;

	edit.base_version = base_version;
	edit.version = version;
	edit.text.data = (uint8_t *)text.data;
	edit.text.len = text.len;
	command.body_case = FLEET__COMMAND__BODY_EDIT;
	command.edit = &edit;
	hand_in(core, &command, done, ctx);
}

/*
 * Reads the newest document: here under the leader's lease, else once this
 * replica has all that the leader had when it was asked.
 */
void
core_read(struct core *core, core_read_done *done, void *ctx)
{
	struct core_waiter *waiter;
	struct channel *leader;
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Read message = FLEET__READ__INIT;

	if (core_leads(core, clock_boot_us())) {
		done(ctx, CORE_ACCEPTED, str_buf_view(&core->state.text));
		return;
	}
	leader = leader_channel(core);
	if (leader == NULL) {
		done(ctx, CORE_UNAVAILABLE, str_of("", 0));
		return;
	}
	waiter = new_waiter(core);
	waiter->read_done = done;
	waiter->ctx = ctx;
	message.request = waiter->request;
	frame.body_case = FLEET__FRAME__BODY_READ;
	frame.read = &message;
	channel_send(leader, &frame);
}

/*
 * Takes a command that another instance hands over.
 */
void
core_on_propose(
    struct core *core, struct channel *from, const Fleet__Propose *propose)
{
	struct core_waiter *waiter = new_waiter(core);

	waiter->peer = from;
	waiter->peer_request = propose->request;
	append_here(core, waiter,
	    str_of((const char *)propose->command.data, propose->command.len));
}

/*
 * Tells another instance up to where it must have applied the log to know
 * the newest document.
 */
void
core_on_read(struct core *core, struct channel *from, const Fleet__Read *read)
{
	bool leads = core_leads(core, clock_boot_us());

	send_result(from, read->request,
	    leads ? CORE_ACCEPTED : CORE_UNAVAILABLE,
	    core->state.document_index);
}

/*
 * Takes the leader's word on a command or read of ours.
 */
void
core_on_result(struct core *core, const Fleet__Result *result)
{
	struct core_waiter *waiter =
	    g_hash_table_lookup(core->waiters, &result->request);
	enum core_outcome outcome = from_wire(result->outcome);

	if (waiter == NULL)
		return;
	if (waiter->read_done != NULL && outcome == CORE_ACCEPTED &&
	    core->state.document_index < result->index) {
		waiter->index = result->index;
		return;
	}
	settle(core, waiter, outcome);
}

/*
 * Settles who waited for an applied command, and reads that it catches up.
 */
void
core_on_applied(
    struct core *core, uint64_t index, uint64_t term, enum core_outcome outcome)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *due = g_ptr_array_new();

	g_hash_table_iter_init(&iter, core->waiters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct core_waiter *waiter = value;

		if (waiter->index != 0 && waiter->index <= index)
			g_ptr_array_add(due, value);
	}
	for (guint i = 0; i < due->len; i++) {
		struct core_waiter *waiter = due->pdata[i];

		if (waiter->read_done != NULL)
			settle(core, waiter, CORE_ACCEPTED);
		else if (waiter->index == index && waiter->term == term)
			settle(core, waiter, outcome);
		else
			settle(core, waiter, CORE_UNAVAILABLE);
	}
	g_ptr_array_free(due, TRUE);
}

/*
 * Ends what has waited too long: whether it was accepted is not known.
 */
void
core_propose_tick(struct core *core, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *due = g_ptr_array_new();

	g_hash_table_iter_init(&iter, core->waiters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct core_waiter *)value)->deadline_us <= now_us)
			g_ptr_array_add(due, value);
	}
	for (guint i = 0; i < due->len; i++)
		settle(core, due->pdata[i], CORE_UNAVAILABLE);
	g_ptr_array_free(due, TRUE);
}

/*
 * Forgets the waiters of a channel that is gone.
 */
void
core_forget_channel(struct core *core, const struct channel *channel)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->waiters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct core_waiter *)value)->peer == channel)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Settles all who wait.
 */
void
core_propose_close(struct core *core)
{
	if (core->waiters == NULL)
		return;
	core_propose_tick(core, UINT64_MAX);
	g_hash_table_destroy(core->waiters);
	core->waiters = NULL;
}
