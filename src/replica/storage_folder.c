#include <errno.h>
#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"
#include "replica/storage_folder_defs.h"

enum {
	SEGMENT_MAX_BYTES = 4 << 20
};

/*
 * Marks the folder as failed, permanently, if status is an error.  Returns
 * status.
 */
enum status
folder_record_failure(struct folder *f, enum status status)
{
	if (status != STATUS_OK)
		f->failed = true;
	return status;
}

/*
 * Returns STATUS_OK unless the folder has failed, else STATUS_CLOSED.
 */
enum status
folder_check_usable(const struct folder *f)
{
	if (f->failed)
		return status_set(STATUS_CLOSED,
		    "the data folder is unusable after an earlier error");
	return STATUS_OK;
}

/*
 * Returns the segment that is appended to, or NULL; valid until a segment is
 * added.
 */
static struct segment *
last_segment(struct folder *f)
{
	return f->count > 0 ? &f->segments[f->count - 1] : NULL;
}

/*
 * Adds an empty segment at the end.
 */
struct segment *
folder_push_segment(struct folder *f)
{
	if (f->segments == NULL || f->count == f->capacity) {
		f->capacity = f->capacity > 0 ? f->capacity * 2 : 8;
		f->segments =
		    mem_resize(f->segments, f->capacity * sizeof(*f->segments));
	}
	f->segments[f->count] = (struct segment){.fd = -1};
	return &f->segments[f->count++];
}

/*
 * Closes and removes the newest segment, durably: a prefix of the log remains
 * after a crash.
 */
static enum status
remove_last_segment(struct folder *f)
{
	struct segment *segment = last_segment(f);
	enum status status = file_unlink(&f->location, segment->name);

	if (status == STATUS_OK)
		status = file_sync_folder(&f->location);
	segment_close(&f->location, segment);
	f->count--;
	return status;
}

/*
 * Removes the segments that end at or before an index, oldest first and each
 * durably, so that a suffix of the log remains after a crash: of removals that
 * are not synced, a later one may be kept without an earlier one.
 */
static enum status
remove_segments_up_to(struct folder *f, uint64_t index)
{
	enum status status = STATUS_OK;
	size_t removed = 0;

	while (removed < f->count && status == STATUS_OK) {
		struct segment *segment = &f->segments[removed];

		if (segment->first + segment->count > index + 1)
			break;
		status = file_unlink(&f->location, segment->name);
		if (status == STATUS_OK)
			status = file_sync_folder(&f->location);
		segment_close(&f->location, segment);
		removed++;
	}
	if (removed == 0)
		return status;
	memmove(f->segments, f->segments + removed,
	    (f->count - removed) * sizeof(*f->segments));
	f->count -= removed;
	return status;
}

/*
 * Removes the whole log, newest segment first, so that a crash leaves a
 * prefix that still shows the conflict with the snapshot.
 */
static enum status
remove_all_segments(struct folder *f)
{
	enum status status = STATUS_OK;

	while (f->count > 0 && status == STATUS_OK)
		status = remove_last_segment(f);
	return status;
}

/*
 * Stores the term of an entry; false when the log does not contain it.
 */
static bool
find_term(const struct folder *f, uint64_t index, uint64_t *term)
{
	for (size_t i = 0; i < f->count; i++) {
		const struct segment *segment = &f->segments[i];

		if (index < segment->first ||
		    index >= segment->first + segment->count)
			continue;
		*term = segment->positions[index - segment->first].term;
		return true;
	}
	return false;
}

/*
 * Removes the part of the log that the snapshot replaces: all of it unless
 * the log contains the snapshot's last entry.
 */
enum status
folder_compact(struct folder *f)
{
	uint64_t term;

	if (f->count == 0)
		return STATUS_OK;
	if (f->segments[0].first == f->snapshot_index + 1)
		return STATUS_OK;
	if (!find_term(f, f->snapshot_index, &term) || term != f->snapshot_term)
		return remove_all_segments(f);
	return remove_segments_up_to(f, f->snapshot_index);
}

/*
 * Replaces term and vote durably.
 */
static enum status
folder_save_state(void *ctx, uint64_t term, uint64_t vote)
{
	struct folder *f = ctx;
	const struct record record = {
	    .kind = RECORD_STATE, .first = term, .second = vote};
	enum status status = folder_check_usable(f);

	if (status != STATUS_OK)
		return status;
	return folder_record_failure(
	    f, file_replace(&f->location, "state", &record));
}

/*
 * Replaces the bootstrap members durably.
 */
static enum status
folder_save_group(void *ctx, struct str data)
{
	struct folder *f = ctx;
	const struct record record = {.kind = RECORD_GROUP, .data = data};
	enum status status = folder_check_usable(f);

	if (status != STATUS_OK)
		return status;
	return folder_record_failure(
	    f, file_replace(&f->location, "group", &record));
}

/*
 * Appends one entry and starts a new segment when the last one is full.  The
 * full one is synced first, so that only the last segment can have a torn
 * tail.
 */
static enum status
append_entry(struct folder *f, const struct storage_entry *entry)
{
	struct segment *segment = last_segment(f);
	enum status status;

	if (segment != NULL && segment->size >= SEGMENT_MAX_BYTES) {
		status = segment_sync(&f->location, segment);
		if (status != STATUS_OK)
			return status;
		segment = NULL;
	}
	if (segment == NULL) {
		segment = folder_push_segment(f);
		status = segment_create(&f->location, entry->index, segment);
		if (status != STATUS_OK)
			return status;
	}
	INVARIANT(entry->index == segment->first + segment->count,
	    "gap in the stored log");
	return segment_append(&f->location, segment, entry);
}

/*
 * Appends entries that follow the last one; durable only after
 * folder_sync().
 */
static enum status
folder_append(void *ctx, const struct storage_entry *entries, unsigned count)
{
	struct folder *f = ctx;
	enum status status = folder_check_usable(f);

	for (unsigned i = 0; i < count && status == STATUS_OK; i++)
		status = append_entry(f, &entries[i]);
	return folder_record_failure(f, status);
}

/*
 * Removes the entries after an index, newest segment first.
 */
static enum status
folder_truncate_after(void *ctx, uint64_t index)
{
	struct folder *f = ctx;
	enum status status = folder_check_usable(f);
	while (status == STATUS_OK && f->count > 0 &&
	    last_segment(f)->first > index)
		status = remove_last_segment(f);
	if (status == STATUS_OK && f->count > 0)
		status = segment_truncate_after(
		    &f->location, last_segment(f), index);
	return folder_record_failure(f, status);
}

/*
 * Replaces the snapshot durably, then removes the part of the log that it
 * replaces.
 */
static enum status
folder_save_snapshot(void *ctx, uint64_t index, uint64_t term, struct str data)
{
	struct folder *f = ctx;
	const struct record record = {.kind = RECORD_SNAPSHOT,
	    .first = index,
	    .second = term,
	    .data = data};
	enum status status = folder_check_usable(f);

	if (status == STATUS_OK && f->count > 0)
		status = segment_sync(&f->location, last_segment(f));
	if (status == STATUS_OK)
		status = file_replace(&f->location, "snapshot", &record);
	if (status == STATUS_OK) {
		f->snapshot_index = index;
		f->snapshot_term = term;
		status = folder_compact(f);
	}
	return folder_record_failure(f, status);
}

/*
 * Makes all appended entries durable.  Only the last segment can have
 * unsynced ones: a full one is synced before the next is started.
 */
static enum status
folder_sync(void *ctx)
{
	struct folder *f = ctx;
	enum status status = folder_check_usable(f);

	if (status == STATUS_OK && f->count > 0)
		status = segment_sync(&f->location, last_segment(f));
	return folder_record_failure(f, status);
}

/*
 * Closes all files, the lock last, and frees the folder.  Nothing is synced:
 * entries appended since the last sync may be lost.
 */
static void
folder_close(void *ctx)
{
	struct folder *f = ctx;

	for (size_t i = 0; i < f->count; i++)
		segment_close(&f->location, &f->segments[i]);
	if (f->lock >= 0)
		f->location.calls->close(f->location.calls->ctx, f->lock);
	mem_free(f->segments);
	mem_free(f);
}

/*
 * Creates, locks and identifies the folder.  The names in it are durable then:
 * an earlier process may have been killed before it had synced them.
 */
static enum status
prepare_data_folder(struct folder *f, uint64_t id, uint64_t *disk)
{
	const struct storage_calls *calls = f->location.calls;
	char path[STORAGE_PATH_MAX_BYTES];
	enum status status =
	    file_path(&f->location, "lock", path, sizeof(path));

	if (status != STATUS_OK)
		return status;
	if (calls->make_folder(calls->ctx, f->location.path) != 0)
		return storage_errno_status("creation", f->location.path);
	f->lock = calls->lock(calls->ctx, path);
	if (f->lock < 0 && errno == EBUSY)
		return status_set(STATUS_CONFLICT,
		    "%s is in use by another process", f->location.path);
	if (f->lock < 0)
		return storage_errno_status("lock", f->location.path);
	status = file_sync_folder(&f->location);
	return status == STATUS_OK ? folder_identify(f, id, disk) : status;
}

/*
 * Opens a data folder, or creates one for this id.  STATUS_CONFLICT when it
 * belongs to another replica or is in use.
 */
enum status
storage_folder_open_with(const char *path, uint64_t id,
    const struct storage_calls *calls, struct replica_storage *storage)
{
	struct folder *f = mem_calloc(1, sizeof(*f));
	uint64_t disk = 0;
	enum status status;

	f->location.calls = calls;
	f->lock = -1;
	if (strlen(path) >= sizeof(f->location.path)) {
		mem_free(f);
		return status_set(
		    STATUS_INVALID, "the path of the data folder is too long");
	}
	memcpy(f->location.path, path, strlen(path) + 1);
	status = prepare_data_folder(f, id, &disk);
	if (status != STATUS_OK) {
		folder_close(f);
		return status;
	}
	*storage = (struct replica_storage){.ctx = f,
	    .disk = disk,
	    .load = folder_load,
	    .save_state = folder_save_state,
	    .append = folder_append,
	    .truncate_after = folder_truncate_after,
	    .save_snapshot = folder_save_snapshot,
	    .save_group = folder_save_group,
	    .sync = folder_sync,
	    .close = folder_close};
	return STATUS_OK;
}
