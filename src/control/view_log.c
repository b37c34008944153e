#include "control/view_log.h"

#include <string.h>

#include "base/memory.h"
#include "document/policy.h"

/* Changes retained; an entry further behind gets the whole view. */
enum {
	CHANGES_MAX = 4096
};

struct view_log {
	Wire__Change *ring[CHANGES_MAX];
	uint64_t first; /* number of the oldest change retained */
	uint64_t next; /* number of the next change */
	uint64_t dropped_index; /* index of the newest change dropped */
	uint64_t last_index;
};

/*
 * Returns an empty log at index 0, to be freed with view_log_free().
 */
struct view_log *
view_log_new(void)
{
	return mem_calloc(1, sizeof(struct view_log));
}

/*
 * Returns the ring slot of a change by its number.
 */
static Wire__Change **
ring_slot(struct view_log *log, uint64_t number)
{
	return &log->ring[number % CHANGES_MAX];
}

/*
 * Frees the oldest change; a reader at an earlier index then needs the whole
 * view.
 */
static void
drop_oldest(struct view_log *log)
{
	Wire__Change **oldest = ring_slot(log, log->first);

	log->dropped_index = (*oldest)->index;
	wire__change__free_unpacked(*oldest, NULL);
	*oldest = NULL;
	log->first++;
}

/*
 * Frees the log and its changes; NULL is allowed.
 */
void
view_log_free(struct view_log *log)
{
	if (log == NULL)
		return;
	while (log->first < log->next)
		drop_oldest(log);
	mem_free(log);
}

/*
 * Returns the log index of the newest change; 0 if there was none.
 */
uint64_t
view_log_last_index(const struct view_log *log)
{
	return log->last_index;
}

/* Appends a deep copy of a change, made by packing and unpacking it. */
static void
add(struct view_log *log, const Wire__Change *change)
{
	size_t len = wire__change__get_packed_size(change);
	uint8_t *bytes = mem_alloc(len);

	wire__change__pack(change, bytes);
	if (log->next - log->first == CHANGES_MAX)
		drop_oldest(log);
	*ring_slot(log, log->next) = wire__change__unpack(NULL, len, bytes);
	log->next++;
	log->last_index = change->index;
	mem_free(bytes);
}

/*
 * Appends a section's new text, or its removal, at a log index.
 */
void
view_log_add_section(struct view_log *log, uint64_t index, struct str name,
    uint64_t revision, struct str text, bool removed)
{
	Wire__Section section = WIRE__SECTION__INIT;
	Wire__Change change = WIRE__CHANGE__INIT;
	uint8_t digest[POLICY_DIGEST_BYTES];
	char *copy = str_dup(name);

	policy_digest(text, digest);
	section.name = copy;
	section.revision = revision;
	section.text.data = (uint8_t *)text.data;
	section.text.len = text.len;
	section.digest.data = digest;
	section.digest.len = sizeof(digest);
	section.removed = removed;
	change.index = index;
	change.body_case = WIRE__CHANGE__BODY_SECTION;
	change.section = &section;
	add(log, &change);
	mem_free(copy);
}

/*
 * Appends a target that was added or changed.
 */
void
view_log_add_target(
    struct view_log *log, uint64_t index, const Wire__Target *target)
{
	Wire__Change change = WIRE__CHANGE__INIT;

	change.index = index;
	change.body_case = WIRE__CHANGE__BODY_TARGET;
	change.target = (Wire__Target *)target;
	add(log, &change);
}

/*
 * Appends the removal of a target.
 */
void
view_log_add_target_removal(struct view_log *log, uint64_t index, struct str id)
{
	Wire__Change change = WIRE__CHANGE__INIT;
	char *copy = str_dup(id);

	change.index = index;
	change.body_case = WIRE__CHANGE__BODY_TARGET_REMOVED;
	change.target_removed = copy;
	add(log, &change);
	mem_free(copy);
}

/*
 * Fills batch with the changes after an index, borrowed until the log next
 * changes; view_log_batch_free() frees the array.  Returns false if they are
 * not all retained, or the index is ahead of the log.
 */
bool
view_log_changes_since(
    const struct view_log *log, uint64_t index, Wire__Changes *batch)
{
	uint64_t from = log->next;

	if (index < log->dropped_index || index > log->last_index)
		return false;
	while (from > log->first &&
	    log->ring[(from - 1) % CHANGES_MAX]->index > index)
		from--;
	batch->from_index = index;
	batch->to_index = log->last_index;
	batch->n_changes = (size_t)(log->next - from);
	batch->changes = mem_calloc(batch->n_changes, sizeof(*batch->changes));
	for (size_t i = 0; i < batch->n_changes; i++)
		batch->changes[i] = log->ring[(from + i) % CHANGES_MAX];
	return true;
}

/*
 * Frees the batch's array; the log owns the changes in it.
 */
void
view_log_batch_free(Wire__Changes *batch)
{
	mem_free(batch->changes);
	batch->changes = NULL;
	batch->n_changes = 0;
}

/*
 * Removes all changes, as after loading a snapshot; the view is then at index.
 */
void
view_log_reset(struct view_log *log, uint64_t index)
{
	while (log->first < log->next)
		drop_oldest(log);
	log->dropped_index = index;
	log->last_index = index;
}
