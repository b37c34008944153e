#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"
#include "replica/storage_folder_defs.h"

#define SEGMENT_PREFIX "log-"

/* Files found in the folder. */
struct listing {
	uint64_t *first_indexes;
	size_t count;
	bool has_data; /* state, group, snapshot or log */
	bool state;
	bool snapshot;
};

/*
 * Records one file name of the folder; names that the storage does not use
 * are ignored.
 */
static void
record_name(void *ctx, const char *name)
{
	struct listing *listing = ctx;
	size_t prefix = sizeof(SEGMENT_PREFIX) - 1;
	uint64_t first;

	if (strcmp(name, "state") == 0)
		listing->state = true;
	if (strcmp(name, "snapshot") == 0)
		listing->snapshot = true;
	if (listing->state || listing->snapshot || strcmp(name, "group") == 0)
		listing->has_data = true;
	if (strncmp(name, SEGMENT_PREFIX, prefix) != 0 ||
	    !str_to_u64(str_from(name + prefix), &first))
		return;
	listing->has_data = true;
	listing->first_indexes = mem_resize(listing->first_indexes,
	    (listing->count + 1) * sizeof(*listing->first_indexes));
	listing->first_indexes[listing->count++] = first;
}

/*
 * Compares two numbers for qsort(), smallest first.
 */
static int
ascending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y ? 1 : 0;
}

/*
 * Lists the folder, with the segments in index order.
 */
static enum status
list_folder(const struct folder *f, struct listing *listing)
{
	const struct storage_calls *calls = f->location.calls;

	*listing = (struct listing){0};
	if (calls->list(calls->ctx, f->location.path, record_name, listing) !=
	    0)
		return storage_errno_status("listing", f->location.path);
	if (listing->count > 0)
		qsort(listing->first_indexes, listing->count,
		    sizeof(*listing->first_indexes), ascending);
	return STATUS_OK;
}

/*
 * Loads term and vote.
 */
static enum status
load_state(struct folder *f, const struct storage_loader *loader)
{
	struct str_buf bytes = {0};
	struct record record;
	enum status status =
	    file_load(&f->location, "state", RECORD_STATE, &bytes, &record);

	if (status == STATUS_OK)
		loader->state(loader->ctx, record.first, record.second);
	str_buf_free(&bytes);
	return status == STATUS_NOT_FOUND ? STATUS_OK : status;
}

/*
 * Loads the bootstrap members.
 */
static enum status
load_group(struct folder *f, const struct storage_loader *loader)
{
	struct str_buf bytes = {0};
	struct record record;
	enum status status =
	    file_load(&f->location, "group", RECORD_GROUP, &bytes, &record);

	if (status == STATUS_OK)
		loader->group(loader->ctx, record.data);
	str_buf_free(&bytes);
	return status == STATUS_NOT_FOUND ? STATUS_OK : status;
}

/*
 * Loads the snapshot.
 */
static enum status
load_snapshot(struct folder *f, const struct storage_loader *loader)
{
	struct str_buf bytes = {0};
	struct record record;
	enum status status = file_load(
	    &f->location, "snapshot", RECORD_SNAPSHOT, &bytes, &record);

	if (status == STATUS_OK) {
		f->snapshot_index = record.first;
		f->snapshot_term = record.second;
		loader->snapshot(
		    loader->ctx, record.first, record.second, record.data);
	}
	str_buf_free(&bytes);
	return status == STATUS_NOT_FOUND ? STATUS_OK : status;
}

/*
 * Passes a segment's entries after the snapshot to the loader.
 */
static void
load_entries(const struct folder *f, const struct segment *segment,
    struct str bytes, const struct storage_loader *loader)
{
	for (uint64_t i = 0; i < segment->count; i++) {
		uint64_t offset = segment->positions[i].offset;
		struct record record;
		struct storage_entry entry;
		size_t size;

		if (segment->first + i <= f->snapshot_index ||
		    record_read(str_of(bytes.data + offset, bytes.len - offset),
			&record, &size) != RECORD_VALID)
			continue;
		entry = (struct storage_entry){.index = record.first,
		    .term = record.second,
		    .kind = record.kind,
		    .data = record.data};
		loader->entry(loader->ctx, &entry);
	}
}

/*
 * Opens and checks all segments; contents receives the bytes of each.
 */
static enum status
open_segments(
    struct folder *f, const struct listing *listing, struct str_buf *contents)
{
	for (size_t i = 0; i < listing->count; i++) {
		struct segment *segment = folder_push_segment(f);
		bool last = i + 1 == listing->count;
		enum status status = segment_open(&f->location,
		    listing->first_indexes[i], last, &contents[i], segment);

		if (status != STATUS_OK)
			return status;
		if (!last &&
		    segment->first + segment->count !=
			listing->first_indexes[i + 1])
			return status_set(STATUS_CORRUPT,
			    "entries are missing between %s and the next "
			    "file; this replica must be replaced under a new "
			    "id",
			    segment->name);
	}
	if (f->count > 0 && f->segments[0].first > f->snapshot_index + 1)
		return status_set(STATUS_CORRUPT,
		    "entries are missing before %s; this replica must be "
		    "replaced under a new id",
		    f->segments[0].name);
	return STATUS_OK;
}

/*
 * Loads the log after the snapshot.  Segments are passed on only after
 * compaction and matched by their first index, since compaction may have
 * removed some.
 */
static enum status
load_log(struct folder *f, const struct listing *listing,
    const struct storage_loader *loader)
{
	struct str_buf *contents =
	    mem_calloc(listing->count, sizeof(*contents));
	enum status status = open_segments(f, listing, contents);

	if (status == STATUS_OK && f->snapshot_index > 0)
		status = folder_compact(f);
	for (size_t i = 0, at = 0; i < listing->count; i++) {
		if (status == STATUS_OK && at < f->count &&
		    f->segments[at].first == listing->first_indexes[i]) {
			load_entries(f, &f->segments[at],
			    str_buf_view(&contents[i]), loader);
			at++;
		}
		str_buf_free(&contents[i]);
	}
	mem_free(contents);
	return status;
}

/*
 * Loads all stored state.  Called once, after storage_folder_open().
 */
enum status
folder_load(void *ctx, const struct storage_loader *loader)
{
	struct folder *f = ctx;
	struct listing listing;
	enum status status = folder_check_usable(f);

	if (status != STATUS_OK)
		return status;
	INVARIANT(!f->loaded, "a folder is loaded once");
	f->loaded = true;
	status = list_folder(f, &listing);
	if (status == STATUS_OK && !listing.state &&
	    (listing.count > 0 || listing.snapshot))
		status = status_set(STATUS_CORRUPT,
		    "term and vote are missing from %s; this replica must be "
		    "replaced under a new id",
		    f->location.path);
	if (status == STATUS_OK)
		status = load_group(f, loader);
	if (status == STATUS_OK)
		status = load_state(f, loader);
	if (status == STATUS_OK)
		status = load_snapshot(f, loader);
	if (status == STATUS_OK)
		status = load_log(f, &listing, loader);
	mem_free(listing.first_indexes);
	return folder_record_failure(f, status);
}

/*
 * Reads the folder's identity, or assigns one to an empty folder.  A folder
 * with data but no identity is corrupt.
 */
enum status
folder_identify(struct folder *f, uint64_t id, uint64_t *disk)
{
	const struct storage_calls *calls = f->location.calls;
	struct record record = {.kind = RECORD_IDENTITY, .first = id};
	struct str_buf bytes = {0};
	struct listing listing = {0};
	enum status status = file_load(
	    &f->location, "identity", RECORD_IDENTITY, &bytes, &record);

	str_buf_free(&bytes);
	if (status == STATUS_OK) {
		*disk = record.second;
		if (record.first != id)
			return status_set(STATUS_CONFLICT,
			    "%s belongs to replica %" PRIu64 ", not %" PRIu64,
			    f->location.path, record.first, id);
		return STATUS_OK;
	}
	if (status != STATUS_NOT_FOUND)
		return status;
	status = list_folder(f, &listing);
	mem_free(listing.first_indexes);
	if (status == STATUS_OK && listing.has_data)
		return status_set(STATUS_CORRUPT,
		    "the identity is missing from %s; this replica must be "
		    "replaced under a new id",
		    f->location.path);
	record = (struct record){.kind = RECORD_IDENTITY,
	    .first = id,
	    .second = calls->random(calls->ctx)};
	*disk = record.second;
	if (status != STATUS_OK)
		return status;
	return file_replace(&f->location, "identity", &record);
}
