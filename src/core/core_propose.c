#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "core/core_internal.h"

enum {
	/* Callers time out after 1 s and then try another instance. */
	PENDING_TIMEOUT_MS = 900
};

static void
pending_request_free(void *value)
{
	mem_free(value);
}

/*
 * Creates the table of pending requests.
 */
void
core_propose_open(struct core *core)
{
	core->pending_requests = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, pending_request_free);
	proposal_list_init(&core->proposals);
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

/*
 * Sends the result of a forwarded command or a read to another instance.
 */
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
 * Removes a pending request and reports its outcome.
 */
static void
complete_request(struct core *core, struct core_pending_request *pending,
    enum core_outcome outcome)
{
	struct core_pending_request w = *pending;

	g_hash_table_remove(core->pending_requests, &pending->request);
	if (w.peer != NULL)
		send_result(w.peer, w.peer_request, outcome, w.index);
	else if (w.done != NULL)
		w.done(w.ctx, outcome);
	else if (w.read_done != NULL)
		w.read_done(w.ctx, outcome, str_buf_view(&core->state.text));
}

/*
 * Adds a request that times out after PENDING_TIMEOUT_MS.
 */
static struct core_pending_request *
add_pending_request(struct core *core)
{
	struct core_pending_request *pending = mem_calloc(1, sizeof(*pending));

	pending->request = ++core->last_request;
	pending->deadline_us = clock_boot_us() + PENDING_TIMEOUT_MS * US_PER_MS;
	g_hash_table_insert(core->pending_requests, &pending->request, pending);
	return pending;
}

/*
 * Returns the channel to the leader; NULL when there is none or this
 * instance is the leader.
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
 * Returns whether a command needs no entry in the log, since its outcome is
 * known.  The state says for sure that an order changes nothing while no other
 * instance can lead and none on the same failure domain waits.
 */
static bool
is_decided(const struct core *core, const Fleet__Command *command,
    const struct proposal *last, enum core_outcome *outcome)
{
	const Fleet__Evacuation *order = command->evacuation;

	if (core->replica == NULL)
		return false;
	if (core_state_is_decided(&core->state, command, outcome))
		return true;
	if (command->body_case != FLEET__COMMAND__BODY_EVACUATION ||
	    last != NULL || !core_has_lease(core, clock_boot_us()) ||
	    !evacuation_name_is_valid(order->failure_domain) ||
	    evacuation_set_has(&core->state.evacuations,
		order->failure_domain) != (bool)order->active)
		return false;
	*outcome = CORE_ACCEPTED;
	return true;
}

/*
 * Appends a command to the local replica, unless its outcome is known or an
 * equal one waits there; completes the request if that fails.
 */
static void
append_command(struct core *core, struct core_pending_request *pending,
    const Fleet__Command *command, struct str bytes)
{
	const struct proposal *last = core->info.role == REPLICA_LEADER
	    ? proposal_list_find(&core->proposals, command, core->info.term)
	    : NULL;
	enum core_outcome outcome;

	if (is_decided(core, command, last, &outcome)) {
		complete_request(core, pending, outcome);
	} else if (last != NULL && proposal_is_same(last, command)) {
		pending->index = last->index;
		pending->term = last->term;
	} else if (core->replica == NULL ||
	    replica_propose(core->replica, bytes, &pending->index,
		&pending->term) != STATUS_OK) {
		complete_request(core, pending, CORE_UNAVAILABLE);
	} else {
		proposal_list_add(
		    &core->proposals, command, pending->index, pending->term);
	}
}

/*
 * Proposes a command locally, or forwards it to the leader.
 */
void
core_submit_command(
    struct core *core, Fleet__Command *command, core_done *done, void *ctx)
{
	struct core_pending_request *pending = add_pending_request(core);
	struct channel *leader = leader_channel(core);
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Propose message = FLEET__PROPOSE__INIT;
	size_t len;

	pending->done = done;
	pending->ctx = ctx;
	command->time_ms = clock_wall_us() / 1000;
	len = fleet__command__get_packed_size(command);
	message.command.data = mem_alloc(len);
	message.command.len =
	    fleet__command__pack(command, message.command.data);
	if (leader == NULL) {
		append_command(core, pending, command,
		    str_of((const char *)message.command.data, len));
	} else {
		message.request = pending->request;
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
	const struct roster_target *known = roster_find(core->roster, id);

	if (roster_has_departed(core->roster, id, started_ms)) {
		done(ctx, CORE_ACCEPTED);
		return;
	}
	departure.id = (char *)id;
	departure.started_ms = started_ms;
	departure.born_ms = known != NULL && known->started_ms == started_ms
	    ? known->born_ms
	    : started_ms;
	command.body_case = FLEET__COMMAND__BODY_DEPARTURE;
	command.departure = &departure;
	core_submit_command(core, &command, done, ctx);
}

/*
 * Replaces the document if the edit is based on the current version.
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
	core_submit_command(core, &command, done, ctx);
}

/*
 * Returns the index of the last change of the document or the evacuations that
 * this instance has applied.  Without a log the two come separately, and reads
 * wait for the document.
 */
static uint64_t
applied_index(const struct core *core)
{
	return core->settings.data != NULL
	    ? MAX(core->state.document_index, core->state.evacuations.index)
	    : core->state.document_index;
}

/*
 * Reads the newest document: at once under the leader's lease, otherwise
 * when this replica has applied all that the leader had at the time it was
 * asked.
 */
void
core_read(struct core *core, core_read_done *done, void *ctx)
{
	struct core_pending_request *pending;
	struct channel *leader;
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Read message = FLEET__READ__INIT;

	if (core_has_lease(core, clock_boot_us())) {
		done(ctx, CORE_ACCEPTED, str_buf_view(&core->state.text));
		return;
	}
	leader = leader_channel(core);
	if (leader == NULL) {
		done(ctx, CORE_UNAVAILABLE, str_of("", 0));
		return;
	}
	pending = add_pending_request(core);
	pending->read_done = done;
	pending->ctx = ctx;
	message.request = pending->request;
	frame.body_case = FLEET__FRAME__BODY_READ;
	frame.read = &message;
	channel_send(leader, &frame);
}

/*
 * Appends a command that another instance forwards.
 */
void
core_on_propose(
    struct core *core, struct channel *from, const Fleet__Propose *propose)
{
	struct core_pending_request *pending = add_pending_request(core);
	Fleet__Command *command = fleet__command__unpack(
	    NULL, propose->command.len, propose->command.data);

	pending->peer = from;
	pending->peer_request = propose->request;
	if (command == NULL) {
		log_error(
		    "command_unreadable", "bytes=%zu", propose->command.len);
		complete_request(core, pending, CORE_STALE);
		return;
	}
	append_command(core, pending, command,
	    str_of((const char *)propose->command.data, propose->command.len));
	fleet__command__free_unpacked(command, NULL);
}

/*
 * Replies with the log index that another instance must have applied before
 * it can return the newest document.
 */
void
core_on_read(struct core *core, struct channel *from, const Fleet__Read *read)
{
	bool leads = core_has_lease(core, clock_boot_us());
	const struct core_peer *peer = channel_user(from);
	bool has_log = peer != NULL && peer->replica != 0;

	send_result(from, read->request,
	    leads ? CORE_ACCEPTED : CORE_UNAVAILABLE,
	    has_log ? applied_index(core) : core->state.document_index);
}

/*
 * Handles the leader's result of a forwarded command or a read.
 */
void
core_on_result(struct core *core, const Fleet__Result *result)
{
	struct core_pending_request *pending =
	    g_hash_table_lookup(core->pending_requests, &result->request);
	enum core_outcome outcome = from_wire(result->outcome);

	if (pending == NULL)
		return;
	if (pending->read_done != NULL && outcome == CORE_ACCEPTED &&
	    applied_index(core) < result->index) {
		pending->index = result->index;
		return;
	}
	complete_request(core, pending, outcome);
}

/*
 * Completes the requests that wait for an applied index: reads, and the
 * command itself.  A command that was overwritten by one of another term, or
 * that a snapshot has skipped, completes as unavailable.
 */
void
core_on_applied(
    struct core *core, uint64_t index, uint64_t term, enum core_outcome outcome)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *due = g_ptr_array_new();

	proposal_list_applied(&core->proposals, index);
	g_hash_table_iter_init(&iter, core->pending_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct core_pending_request *pending = value;

		if (pending->index != 0 && pending->index <= index)
			g_ptr_array_add(due, value);
	}
	for (guint i = 0; i < due->len; i++) {
		struct core_pending_request *pending = due->pdata[i];

		if (pending->read_done != NULL)
			complete_request(core, pending, CORE_ACCEPTED);
		else if (pending->index == index && pending->term == term)
			complete_request(core, pending, outcome);
		else
			complete_request(core, pending, CORE_UNAVAILABLE);
	}
	g_ptr_array_free(due, TRUE);
}

/*
 * Completes requests that have timed out; their commands may have been
 * accepted.
 */
void
core_propose_tick(struct core *core, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *due = g_ptr_array_new();

	g_hash_table_iter_init(&iter, core->pending_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct core_pending_request *)value)->deadline_us <=
		    now_us)
			g_ptr_array_add(due, value);
	}
	for (guint i = 0; i < due->len; i++)
		complete_request(core, due->pdata[i], CORE_UNAVAILABLE);
	g_ptr_array_free(due, TRUE);
}

/*
 * Drops the requests of a closed channel.
 */
void
core_drop_channel_requests(struct core *core, const struct channel *channel)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->pending_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct core_pending_request *)value)->peer == channel)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Completes all pending requests as unavailable.
 */
void
core_propose_close(struct core *core)
{
	if (core->pending_requests == NULL)
		return;
	core_propose_tick(core, UINT64_MAX);
	g_hash_table_destroy(core->pending_requests);
	core->pending_requests = NULL;
	proposal_list_destroy(&core->proposals);
}
