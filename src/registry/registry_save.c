/*
 * Saves the registry in a snapshot and loads it.
 */
#include "base/memory.h"
#include "registry/registry_state.h"
#include "wire/state.pb-c.h"
#include "wire/state_frame.h"

enum {
	SAVE_VERSION = 1
};

static const char save_kind[] = "GREG";

/*
 * Fills the message of one target.  Copies of its five strings are stored in
 * strings; the caller frees them after packing the message.
 */
static void
fill_saved(State__SavedTarget *saved, const struct registry_target *target,
    char *strings[])
{
	state__saved_target__init(saved);
	saved->id = strings[0] = str_dup(target->id);
	saved->service = strings[1] = str_dup(target->service);
	saved->address = strings[2] = str_dup(target->address);
	saved->failure_domain = strings[3] = str_dup(target->failure_domain);
	saved->holder = strings[4] = str_dup(target->holder);
	saved->slots = target->slots;
	saved->connections = target->connections;
	saved->state = target->state;
	saved->incarnation = target->incarnation;
	saved->sequence = target->sequence;
}

/* Visitor that adds a record to the message; free_drained() frees it. */
static void
fill_drained(void *ctx, struct str id, uint64_t incarnation)
{
	State__SavedRegistry *saved = ctx;
	State__SavedDrained *item = mem_alloc(sizeof(*item));

	state__saved_drained__init(item);
	item->id = str_dup(id);
	item->incarnation = incarnation;
	saved->drained[saved->n_drained++] = item;
}

/* Adds all drained records to the message, oldest first. */
static void
save_drained(const struct registry *registry, State__SavedRegistry *saved)
{
	saved->drained = mem_calloc(registry_drained_count(registry->drained),
	    sizeof(State__SavedDrained *));
	registry_drained_for_each(registry->drained, fill_drained, saved);
}

/* Frees what save_drained() added. */
static void
free_drained(State__SavedRegistry *saved)
{
	for (size_t i = 0; i < saved->n_drained; i++) {
		mem_free(saved->drained[i]->id);
		mem_free(saved->drained[i]);
	}
	mem_free(saved->drained);
}

/*
 * Appends the state of the registry.  Equal registries give equal bytes.
 */
void
registry_save(const struct registry *registry, struct str_buf *out)
{
	enum {
		STRINGS = 5
	};
	State__SavedRegistry saved = STATE__SAVED_REGISTRY__INIT;
	State__SavedTarget *targets =
	    mem_calloc(registry->count, sizeof(*targets));
	char **strings =
	    mem_calloc((size_t)STRINGS * registry->count, sizeof(*strings));

	saved.n_targets = registry->count;
	saved.targets =
	    mem_calloc(registry->count, sizeof(State__SavedTarget *));
	for (uint32_t i = 0; i < registry->count; i++) {
		saved.targets[i] = &targets[i];
		fill_saved(&targets[i], registry->targets[i],
		    &strings[(size_t)STRINGS * i]);
	}
	save_drained(registry, &saved);
	state_frame_append(save_kind, SAVE_VERSION, &saved.base, out);
	free_drained(&saved);
	for (size_t i = 0; i < (size_t)STRINGS * registry->count; i++)
		mem_free(strings[i]);
	mem_free(strings);
	mem_free(saved.targets);
	mem_free(targets);
}

/*
 * Restores a saved target.  Returns STATUS_CORRUPT if the registry rejects it.
 */
static enum status
load_target(struct registry *registry, const State__SavedTarget *saved)
{
	struct registry_target target = {
	    .id = str_from(saved->id),
	    .service = str_from(saved->service),
	    .address = str_from(saved->address),
	    .failure_domain = str_from(saved->failure_domain),
	    .holder = str_from(saved->holder),
	    .slots = saved->slots,
	    .connections = saved->connections,
	    .state = (enum registry_state)saved->state,
	    .incarnation = saved->incarnation,
	    .sequence = saved->sequence,
	};

	if (registry_upsert(registry, &target) != STATUS_OK)
		return status_set(STATUS_CORRUPT,
		    "saved registry: target %s can't be restored", saved->id);
	return STATUS_OK;
}

/*
 * Replaces the content of the registry with what registry_save() wrote.  On
 * STATUS_CORRUPT the registry is unchanged, empty or partly filled.
 */
enum status
registry_load(struct registry *registry, struct str data)
{
	State__SavedRegistry *saved;
	struct str payload;
	enum status status =
	    state_frame_parse(save_kind, SAVE_VERSION, data, &payload);

	if (status != STATUS_OK)
		return status;
	saved = state__saved_registry__unpack(
	    NULL, payload.len, (const uint8_t *)payload.data);
	if (saved == NULL)
		return status_set(
		    STATUS_CORRUPT, "saved registry: not readable");
	registry_clear(registry);
	for (size_t i = 0; i < saved->n_targets && status == STATUS_OK; i++)
		status = load_target(registry, saved->targets[i]);
	for (size_t i = 0; i < saved->n_drained; i++)
		registry_drained_add(registry->drained,
		    str_from(saved->drained[i]->id),
		    saved->drained[i]->incarnation);
	state__saved_registry__free_unpacked(saved, NULL);
	return status;
}
