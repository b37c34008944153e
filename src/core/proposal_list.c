#include "core/proposal_list.h"

#include <string.h>

#include <xxhash.h>

#include "base/memory.h"

/* Keeps the subjects of evacuations apart from the digests of commands. */
#define EVACUATION_SEED UINT64_C(0x65766163)

void
proposal_list_init(struct proposal_list *list)
{
	*list = (struct proposal_list){
	    .items = g_array_new(FALSE, FALSE, sizeof(struct proposal))};
}

void
proposal_list_destroy(struct proposal_list *list)
{
	if (list->items != NULL)
		g_array_free(list->items, TRUE);
	*list = (struct proposal_list){0};
}

/*
 * Returns a digest of all but the time of a command, which differs when it is
 * asked for again.
 */
static uint64_t
command_digest(const Fleet__Command *command)
{
	Fleet__Command timeless = *command;
	uint8_t *bytes;
	size_t len;
	uint64_t digest;

	timeless.time_ms = 0;
	bytes = mem_alloc(fleet__command__get_packed_size(&timeless));
	len = fleet__command__pack(&timeless, bytes);
	digest = XXH3_64bits(bytes, len);
	mem_free(bytes);
	return digest;
}

/*
 * Returns what a command is about.  Edits and departures keep their outcome
 * whatever follows them, so each is a subject of its own.
 */
static uint64_t
command_subject(const Fleet__Command *command)
{
	const char *name;

	if (command->body_case != FLEET__COMMAND__BODY_EVACUATION)
		return command_digest(command);
	name = command->evacuation->failure_domain;
	return XXH3_64bits_withSeed(name, strlen(name), EVACUATION_SEED);
}

/*
 * Adds a command.  Those of an earlier term are forgotten: they may have been
 * overwritten, and their indexes used again.
 */
void
proposal_list_add(struct proposal_list *list, const Fleet__Command *command,
    uint64_t index, uint64_t term)
{
	const struct proposal proposal = {.index = index,
	    .term = term,
	    .subject = command_subject(command),
	    .digest = command_digest(command)};

	if (list->items->len > 0 &&
	    g_array_index(list->items, struct proposal, 0).term != term)
		g_array_set_size(list->items, 0);
	g_array_append_val(list->items, proposal);
}

const struct proposal *
proposal_list_find(const struct proposal_list *list,
    const Fleet__Command *command, uint64_t term)
{
	uint64_t subject;

	if (list->items->len == 0)
		return NULL;
	subject = command_subject(command);
	for (guint i = list->items->len; i > 0; i--) {
		const struct proposal *proposal =
		    &g_array_index(list->items, struct proposal, i - 1);

		if (proposal->subject == subject && proposal->term == term)
			return proposal;
	}
	return NULL;
}

bool
proposal_is_same(const struct proposal *proposal, const Fleet__Command *command)
{
	return proposal->digest == command_digest(command);
}

void
proposal_list_applied(struct proposal_list *list, uint64_t index)
{
	guint count = 0;

	while (count < list->items->len &&
	    g_array_index(list->items, struct proposal, count).index <= index)
		count++;
	if (count > 0)
		g_array_remove_range(list->items, 0, count);
}
