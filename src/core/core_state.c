#include "core/core_state.h"

#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/memory.h"

enum {
	/* Resends are recognized for a month at hundreds of edits a day. */
	ACCEPTED_MAX = 65536,
	/* Far more than the lateness of any report, which is seconds. */
	DEPARTURE_RETENTION_MS = 30 * 60 * 1000,
	/* Kept whatever the time, which a step of a leader's clock changes. */
	DEPARTURES_KEPT = 256
};

/*
 * Initializes the state before the first command.
 */
void
core_state_init(struct core_state *state, struct roster *roster)
{
	*state = (struct core_state){
	    .accepted = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	    .roster = roster,
	};
	evacuation_set_init(&state->evacuations);
}

/*
 * Frees the state; the roster belongs to the caller.
 */
void
core_state_destroy(struct core_state *state)
{
	if (state->accepted != NULL)
		g_array_free(state->accepted, TRUE);
	str_buf_free(&state->text);
	evacuation_set_destroy(&state->evacuations);
	*state = (struct core_state){0};
}

/*
 * Returns a digest that identifies an edit by its base version and text.
 */
static uint64_t
edit_digest(const Fleet__Edit *edit)
{
	return XXH3_64bits_withSeed(
	    edit->text.data, edit->text.len, edit->base_version);
}

/*
 * Returns whether an edit with this digest was accepted before, newest
 * first.
 */
static bool
was_accepted(const struct core_state *state, uint64_t digest)
{
	for (guint i = state->accepted->len; i > 0; i--) {
		if (g_array_index(state->accepted, uint64_t, i - 1) == digest)
			return true;
	}
	return false;
}

/*
 * Returns whether the outcome of a command is known already: an edit that was
 * accepted stays so, and one of an older version can't be accepted any more.
 */
bool
core_state_is_decided(const struct core_state *state,
    const Fleet__Command *command, enum core_outcome *outcome)
{
	const Fleet__Edit *edit = command->edit;

	if (command->body_case != FLEET__COMMAND__BODY_EDIT)
		return false;
	if (was_accepted(state, edit_digest(edit)))
		*outcome = CORE_ACCEPTED;
	else if (edit->base_version < state->version)
		*outcome = CORE_CONFLICT;
	else
		return false;
	return true;
}

static void
set_document(struct core_state *state, uint64_t index, uint64_t version,
    const ProtobufCBinaryData *text)
{
	state->document_index = index;
	state->version = version;
	str_buf_clear(&state->text);
	str_buf_append(
	    &state->text, str_of((const char *)text->data, text->len));
}

/*
 * Compares and sets the document.  A resent edit that was accepted before is
 * accepted again without effect, whatever edits have followed it.
 */
static void
apply_edit(struct core_state *state, uint64_t index, const Fleet__Edit *edit,
    struct core_effect *effect)
{
	uint64_t digest = edit_digest(edit);

	if (was_accepted(state, digest))
		return;
	if (edit->base_version != state->version) {
		effect->outcome = CORE_CONFLICT;
		return;
	}
	if (edit->version <= state->version) {
		effect->outcome = CORE_STALE;
		return;
	}
	if (state->accepted->len >= ACCEPTED_MAX)
		g_array_remove_range(state->accepted, 0, ACCEPTED_MAX / 2);
	g_array_append_val(state->accepted, digest);
	set_document(state, index, edit->version, &edit->text);
	effect->document_changed = true;
}

/*
 * Returns when the start of a departure was born; departures of an older
 * program name one time.
 */
static uint64_t
born_ms(const Fleet__Departure *departure)
{
	return departure->born_ms != 0 ? departure->born_ms
				       : departure->started_ms;
}

/*
 * Records a departure and removes expired ones, if there are many.
 */
static void
apply_departure(struct core_state *state, const Fleet__Departure *departure,
    uint64_t time_ms, struct core_effect *effect)
{
	effect->departed = (struct roster_departure){
	    .id = departure->id,
	    .started_ms = departure->started_ms,
	    .born_ms = born_ms(departure),
	    .recorded_ms = time_ms,
	    .known_us = clock_boot_us(),
	};
	effect->has_departed = roster_depart(state->roster, &effect->departed);
	if (time_ms > DEPARTURE_RETENTION_MS &&
	    roster_departure_count(state->roster) > DEPARTURES_KEPT)
		roster_prune_departures(
		    state->roster, time_ms - DEPARTURE_RETENTION_MS);
}

/*
 * Starts or ends an evacuation.  An order that changes nothing is accepted, since
 * it may be a resent one.
 */
static void
apply_evacuation(struct core_state *state, uint64_t index,
    const Fleet__Evacuation *evacuation, struct core_effect *effect)
{
	switch (evacuation_set_apply(&state->evacuations, index,
	    evacuation->failure_domain, evacuation->active)) {
	case EVACUATION_CHANGED:
		effect->evacuations_changed = true;
		break;
	case EVACUATION_FULL:
		effect->outcome = CORE_CONFLICT;
		break;
	case EVACUATION_INVALID:
		effect->outcome = CORE_STALE;
		break;
	case EVACUATION_UNCHANGED:
		break;
	}
}

/*
 * Applies the command at a log index.
 */
void
core_state_apply(struct core_state *state, uint64_t index,
    const Fleet__Command *command, struct core_effect *effect)
{
	*effect = (struct core_effect){.outcome = CORE_ACCEPTED};
	switch (command->body_case) {
	case FLEET__COMMAND__BODY_EDIT:
		apply_edit(state, index, command->edit, effect);
		break;
	case FLEET__COMMAND__BODY_DEPARTURE:
		apply_departure(
		    state, command->departure, command->time_ms, effect);
		break;
	case FLEET__COMMAND__BODY_EVACUATION:
		apply_evacuation(state, index, command->evacuation, effect);
		break;
	case FLEET__COMMAND__BODY__NOT_SET:
	case _FLEET__COMMAND__BODY__CASE_IS_INT_SIZE:
		break;
	}
}

static void
collect_departure(void *ctx, const struct roster_departure *departure)
{
	g_ptr_array_add(ctx, (void *)departure);
}

static int
compare_ids(const void *a, const void *b)
{
	const struct roster_departure *const *x = a;
	const struct roster_departure *const *y = b;

	return strcmp((*x)->id, (*y)->id);
}

/*
 * Appends the state to a snapshot; the bytes are the same on every replica.
 */
void
core_state_save(const struct core_state *state, struct str_buf *out)
{
	Fleet__State message = FLEET__STATE__INIT;
	Fleet__Document document = FLEET__DOCUMENT__INIT;
	Fleet__Evacuations evacuations =
	    evacuation_set_message(&state->evacuations);
	GPtrArray *list = g_ptr_array_new();
	Fleet__Departure *space;
	Fleet__Departure **pointers;
	uint8_t *bytes;
	size_t len;

	document.index = state->document_index;
	document.version = state->version;
	document.text.data = (uint8_t *)state->text.data;
	document.text.len = state->text.len;
	message.document = &document;
	/* Snapshots of groups without evacuations stay as they were. */
	if (evacuations.index != 0)
		message.evacuations = &evacuations;
	message.n_accepted = state->accepted->len;
	message.accepted = (uint64_t *)(void *)state->accepted->data;
	roster_for_each_departure(state->roster, collect_departure, list);
	if (list->len > 0)
		qsort(
		    list->pdata, list->len, sizeof(*list->pdata), compare_ids);
	space = mem_calloc(list->len, sizeof(*space));
	pointers = mem_calloc(list->len, sizeof(*pointers));
	for (guint i = 0; i < list->len; i++) {
		const struct roster_departure *from = list->pdata[i];

		fleet__departure__init(&space[i]);
		space[i].id = from->id;
		space[i].started_ms = from->started_ms;
		if (from->born_ms != from->started_ms)
			space[i].born_ms = from->born_ms;
		space[i].recorded_ms = from->recorded_ms;
		pointers[i] = &space[i];
	}
	message.n_departure = list->len;
	message.departure = pointers;
	len = fleet__state__get_packed_size(&message);
	bytes = mem_alloc(len);
	fleet__state__pack(&message, bytes);
	str_buf_append(out, str_of((const char *)bytes, len));
	mem_free(bytes);
	mem_free(pointers);
	mem_free(space);
	g_ptr_array_free(list, TRUE);
}

/*
 * Replaces the state by a snapshot's.  STATUS_CORRUPT for bytes that can't
 * be decoded.
 */
enum status
core_state_load(struct core_state *state, struct str data)
{
	Fleet__State *message =
	    fleet__state__unpack(NULL, data.len, (const uint8_t *)data.data);

	if (message == NULL || message->document == NULL) {
		if (message != NULL)
			fleet__state__free_unpacked(message, NULL);
		return status_set(STATUS_CORRUPT,
		    "the state in the snapshot can't be decoded");
	}
	g_array_set_size(state->accepted, 0);
	g_array_append_vals(
	    state->accepted, message->accepted, (guint)message->n_accepted);
	set_document(state, message->document->index,
	    message->document->version, &message->document->text);
	evacuation_set_load(&state->evacuations, message->evacuations);
	roster_clear_departures(state->roster);
	for (size_t i = 0; i < message->n_departure; i++) {
		const struct roster_departure from = {
		    .id = message->departure[i]->id,
		    .started_ms = message->departure[i]->started_ms,
		    .born_ms = born_ms(message->departure[i]),
		    .known_us = clock_boot_us(),
		    .recorded_ms = message->departure[i]->recorded_ms,
		};

		(void)roster_depart(state->roster, &from);
	}
	fleet__state__free_unpacked(message, NULL);
	return STATUS_OK;
}
