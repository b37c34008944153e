#include "replica/replica_log.h"

#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"

enum {
	CAPACITY_MIN = 64
};

/*
 * Frees all entries and the array.
 */
void
log_free(struct replica_log *log)
{
	log_reset(log, 0, 0);
	mem_free(log->entries);
	*log = (struct replica_log){0};
}

/*
 * Returns the index of the last entry, or the base index when the log is
 * empty.
 */
uint64_t
log_last_index(const struct replica_log *log)
{
	return log->base_index + log->count;
}

/*
 * Returns the term of the last entry, or the base term when the log is
 * empty.
 */
uint64_t
log_last_term(const struct replica_log *log)
{
	if (log->count == 0)
		return log->base_term;
	return log->entries[log->head + log->count - 1].term;
}

/*
 * Returns the entry at an index, NULL when it is not in memory.
 */
struct storage_entry *
log_at(const struct replica_log *log, uint64_t index)
{
	if (index <= log->base_index || index > log_last_index(log))
		return NULL;
	return &log->entries[log->head + (index - log->base_index - 1)];
}

/*
 * Stores the term at an index; false unless the entry is in memory or is the
 * base.
 */
bool
log_term_at(const struct replica_log *log, uint64_t index, uint64_t *term)
{
	const struct storage_entry *entry = log_at(log, index);

	if (entry == NULL && index != log->base_index)
		return false;
	*term = entry != NULL ? entry->term : log->base_term;
	return true;
}

/*
 * Ensures capacity for one more entry at the end.
 */
static void
make_room(struct replica_log *log)
{
	if (log->head + log->count < log->capacity)
		return;
	if (log->head > log->capacity / 2) {
		memmove(log->entries, log->entries + log->head,
		    log->count * sizeof(*log->entries));
		log->head = 0;
		return;
	}
	log->capacity =
	    log->capacity > 0 ? log->capacity * 2 : (size_t)CAPACITY_MIN;
	log->entries =
	    mem_resize(log->entries, log->capacity * sizeof(*log->entries));
}

/*
 * Appends a copy of an entry, whose index must follow the last one.
 */
void
log_append(struct replica_log *log, const struct storage_entry *entry)
{
	struct storage_entry *slot;

	INVARIANT(entry->index == log_last_index(log) + 1, "gap in the log");
	make_room(log);
	slot = &log->entries[log->head + log->count++];
	*slot = *entry;
	slot->data.data = str_dup(entry->data);
	log->bytes += entry->data.len;
}

/*
 * Frees the data of one entry.
 */
static void
release_entry(struct replica_log *log, struct storage_entry *entry)
{
	log->bytes -= entry->data.len;
	mem_free((char *)entry->data.data);
}

/*
 * Removes the entries after an index, which may be no lower than the base.
 */
void
log_truncate_after(struct replica_log *log, uint64_t index)
{
	INVARIANT(index >= log->base_index, "truncation below the base");
	while (log_last_index(log) > index) {
		release_entry(log, &log->entries[log->head + log->count - 1]);
		log->count--;
	}
}

/*
 * Discards the entries up to an index, which becomes the base.
 */
void
log_discard_to(struct replica_log *log, uint64_t index)
{
	while (log->base_index < index && log->count > 0) {
		struct storage_entry *entry = &log->entries[log->head];

		log->base_index = entry->index;
		log->base_term = entry->term;
		release_entry(log, entry);
		log->head++;
		log->count--;
	}
}

/*
 * Removes all entries and sets the base.
 */
void
log_reset(struct replica_log *log, uint64_t index, uint64_t term)
{
	for (size_t i = 0; i < log->count; i++)
		release_entry(log, &log->entries[log->head + i]);
	log->head = 0;
	log->count = 0;
	log->base_index = index;
	log->base_term = term;
}
