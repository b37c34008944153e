/*
 * Fuzz target for the control group's replicated state: commands of the log, as
 * instances propose them, and snapshots.  What was taken must be the same after
 * it was saved and loaded.
 */
#include "mutate.h"

#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"
#include "core/core_state.h"

enum {
	SEED_BYTES = 256,
	SEED_COUNT = 4
};

/*
 * Checks that a state is the same after it was saved and loaded.
 */
static void
check_saved(const struct core_state *state)
{
	struct str_buf first = {0};
	struct str_buf second = {0};
	struct roster *roster = roster_new(NULL);
	struct core_state loaded;

	core_state_init(&loaded, roster);
	core_state_save(state, &first);
	INVARIANT(core_state_load(&loaded, str_buf_view(&first)) == STATUS_OK,
	    "a saved state can be loaded");
	core_state_save(&loaded, &second);
	INVARIANT(first.len == second.len, "a loaded state is as it was saved");
	INVARIANT(loaded.version == state->version &&
		loaded.document_index == state->document_index &&
		loaded.text.len == state->text.len,
	    "a loaded document is as it was saved");
	INVARIANT(loaded.evacuations.index == state->evacuations.index &&
		loaded.evacuations.names->len == state->evacuations.names->len,
	    "a loaded set of evacuations is as it was saved");
	core_state_destroy(&loaded);
	roster_free(roster);
	str_buf_free(&first);
	str_buf_free(&second);
}

/*
 * Applies a command to an empty state, then once more.
 */
static void
check_command(struct core_state *state, const uint8_t *data, size_t len)
{
	Fleet__Command *command = fleet__command__unpack(NULL, len, data);

	if (command == NULL)
		return;
	for (uint64_t index = 1; index <= 2; index++) {
		struct core_effect effect = {.outcome = CORE_STALE};

		core_state_apply(state, index, command, &effect);
		INVARIANT(
		    !effect.document_changed || state->document_index == index,
		    "a changed document has the index of its command");
		INVARIANT(!effect.evacuations_changed ||
			state->evacuations.index == index,
		    "a changed set has the index of its command");
	}
	check_saved(state);
	fleet__command__free_unpacked(command, NULL);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct roster *roster = roster_new(NULL);
	struct core_state state;

	core_state_init(&state, roster);
	check_command(&state, data, len);
	if (core_state_load(&state, str_of((const char *)data, len)) ==
	    STATUS_OK)
		check_saved(&state);
	core_state_destroy(&state);
	roster_free(roster);
	return 0;
}

static struct fuzz_seed
pack_seed(const ProtobufCMessage *message)
{
	static uint8_t space[SEED_COUNT][SEED_BYTES];
	static size_t used;
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *bytes;

	INVARIANT(len <= SEED_BYTES && used < SEED_COUNT,
	    "a seed fits in its buffer");
	bytes = space[used++];
	protobuf_c_message_pack(message, bytes);
	return (struct fuzz_seed){.data = bytes, .len = len};
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	Fleet__Command command = FLEET__COMMAND__INIT;
	Fleet__Edit edit = FLEET__EDIT__INIT;
	Fleet__Departure departure = FLEET__DEPARTURE__INIT;
	Fleet__Departure *departures[] = {&departure};
	Fleet__Evacuation evacuation = FLEET__EVACUATION__INIT;
	Fleet__Evacuations evacuations = FLEET__EVACUATIONS__INIT;
	char *names[] = {(char *)"z-a", (char *)"z-b"};
	Fleet__Document document = FLEET__DOCUMENT__INIT;
	Fleet__State state = FLEET__STATE__INIT;
	uint64_t accepted[] = {1, 2};
	size_t n = 0;

	INVARIANT(max >= SEED_COUNT, "all seeds fit in the array");
	command.time_ms = 1700000000000;
	command.body_case = FLEET__COMMAND__BODY_EDIT;
	command.edit = &edit;
	edit.version = 5;
	edit.text.data = (uint8_t *)(char *)"{\"version\":5}";
	edit.text.len = 13;
	seeds[n++] = pack_seed(&command.base);
	command.body_case = FLEET__COMMAND__BODY_DEPARTURE;
	command.departure = &departure;
	departure.id = (char *)"t1";
	departure.started_ms = departure.recorded_ms = 1700000000000;
	seeds[n++] = pack_seed(&command.base);
	command.body_case = FLEET__COMMAND__BODY_EVACUATION;
	command.evacuation = &evacuation;
	evacuation.failure_domain = (char *)"z-a";
	evacuation.active = true;
	seeds[n++] = pack_seed(&command.base);
	evacuations.index = 6;
	evacuations.n_failure_domain = 2;
	evacuations.failure_domain = names;
	state.evacuations = &evacuations;
	document.index = document.version = 5;
	document.text = edit.text;
	state.document = &document;
	state.n_accepted = 2;
	state.accepted = accepted;
	state.n_departure = 1;
	state.departure = departures;
	seeds[n++] = pack_seed(&state.base);
	return n;
}
