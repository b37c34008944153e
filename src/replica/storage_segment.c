#include "replica/storage_segment.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/memory.h"

enum {
	WRITE_BUFFER_MAX_BYTES = 1 << 20
};

/*
 * Initializes a segment.  Its name holds the first index, zero-padded so
 * that names sort by index.
 */
static void
init_segment(struct segment *segment, uint64_t first)
{
	*segment = (struct segment){.first = first, .fd = -1};
	snprintf(
	    segment->name, sizeof(segment->name), "log-%020" PRIu64, first);
}

/*
 * Opens the segment's file.
 */
static enum status
open_file(const struct storage_location *location, struct segment *segment,
    bool create)
{
	char path[STORAGE_PATH_MAX_BYTES];
	enum status status =
	    file_path(location, segment->name, path, sizeof(path));

	if (status != STATUS_OK)
		return status;
	segment->fd = location->calls->open(location->calls->ctx, path, create);
	if (segment->fd < 0)
		return storage_errno_status(
		    create ? "creation" : "open", segment->name);
	return STATUS_OK;
}

/*
 * Creates an empty segment whose directory entry is durable.
 */
enum status
segment_create(const struct storage_location *location, uint64_t first,
    struct segment *segment)
{
	enum status status;

	init_segment(segment, first);
	status = open_file(location, segment, true);
	if (status != STATUS_OK)
		return status;
	return file_sync_folder(location);
}

/*
 * Records the position of the next entry.
 */
static void
add_position(struct segment *segment, uint64_t term, uint64_t offset)
{
	if (segment->count == segment->capacity) {
		segment->capacity =
		    segment->capacity > 0 ? segment->capacity * 2 : 64;
		segment->positions = mem_resize(segment->positions,
		    segment->capacity * sizeof(*segment->positions));
	}
	segment->positions[segment->count++] =
	    (struct segment_position){.term = term, .offset = offset};
}

/*
 * Returns whether all bytes are zero, as when a crash left a file extended
 * before its data was written.
 */
static bool
all_zero(struct str bytes)
{
	for (size_t i = 0; i < bytes.len; i++) {
		if (bytes.data[i] != 0)
			return false;
	}
	return true;
}

/*
 * Indexes the records of a file.  Returns STATUS_CORRUPT for a corrupt
 * record; an incomplete one at the end of the last file was never synced and
 * is ignored.
 */
static enum status
scan_records(struct segment *segment, struct str bytes, bool last)
{
	size_t offset = 0;

	while (offset < bytes.len) {
		struct str rest =
		    str_of(bytes.data + offset, bytes.len - offset);
		struct record record;
		size_t size = 0;
		enum record_status outcome = record_read(rest, &record, &size);

		if (outcome != RECORD_VALID && last &&
		    (outcome == RECORD_TRUNCATED || all_zero(rest)))
			break;
		if (outcome != RECORD_VALID ||
		    record.kind > RECORD_ENTRY_LAST ||
		    record.first != segment->first + segment->count)
			return status_set(STATUS_CORRUPT,
			    "%s is damaged at byte %zu of %zu; this replica "
			    "must be replaced under a new id",
			    segment->name, offset, bytes.len);
		add_position(segment, record.second, offset);
		offset += size;
	}
	segment->size = offset;
	return STATUS_OK;
}

/*
 * Truncates the file to the segment's size, durably.
 */
static enum status
truncate_file(const struct storage_location *location, struct segment *segment)
{
	const struct storage_calls *calls = location->calls;

	if (calls->truncate(calls->ctx, segment->fd, segment->size) != 0)
		return storage_errno_status("truncation", segment->name);
	if (calls->sync(calls->ctx, segment->fd) != 0)
		return storage_errno_status("fsync", segment->name);
	return STATUS_OK;
}

/*
 * Opens a segment and checks each record. bytes receives its contents, which
 * are durable then: the process that wrote them may have been killed before it
 * had synced them.
 */
enum status
segment_open(const struct storage_location *location, uint64_t first, bool last,
    struct str_buf *bytes, struct segment *segment)
{
	enum status status;

	init_segment(segment, first);
	status = open_file(location, segment, false);
	if (status == STATUS_OK)
		status = file_read_all(
		    location->calls, segment->fd, segment->name, bytes);
	if (status == STATUS_OK)
		status = scan_records(segment, str_buf_view(bytes), last);
	if (status == STATUS_OK && segment->size < bytes->len)
		return truncate_file(location, segment);
	if (status == STATUS_OK &&
	    location->calls->sync(location->calls->ctx, segment->fd) != 0)
		return storage_errno_status("fsync", segment->name);
	return status;
}

/*
 * Writes the buffered entries, without a sync.
 */
static enum status
write_buffered(const struct storage_location *location, struct segment *segment)
{
	struct str bytes = str_buf_view(&segment->write_buffer);
	enum status status;

	if (bytes.len == 0)
		return STATUS_OK;
	status = file_write(location->calls, segment->fd, segment->name, bytes,
	    segment->size - bytes.len);
	str_buf_clear(&segment->write_buffer);
	return status;
}

/*
 * Appends an entry; durable only after segment_sync().
 */
enum status
segment_append(const struct storage_location *location, struct segment *segment,
    const struct storage_entry *entry)
{
	const struct record record = {.kind = entry->kind,
	    .first = entry->index,
	    .second = entry->term,
	    .data = entry->data};
	size_t before = segment->write_buffer.len;

	add_position(segment, entry->term, segment->size);
	record_append(&segment->write_buffer, &record);
	segment->size += segment->write_buffer.len - before;
	segment->unsynced = true;
	if (segment->write_buffer.len < WRITE_BUFFER_MAX_BYTES)
		return STATUS_OK;
	return write_buffered(location, segment);
}

/*
 * Makes all entries durable.
 */
enum status
segment_sync(const struct storage_location *location, struct segment *segment)
{
	enum status status;

	if (!segment->unsynced)
		return STATUS_OK;
	status = write_buffered(location, segment);
	if (status != STATUS_OK)
		return status;
	if (location->calls->sync(location->calls->ctx, segment->fd) != 0)
		return storage_errno_status("fsync", segment->name);
	segment->unsynced = false;
	return STATUS_OK;
}

/*
 * Removes the entries after an index, durably, so that later appends never
 * mix with the old bytes.
 */
enum status
segment_truncate_after(const struct storage_location *location,
    struct segment *segment, uint64_t index)
{
	uint64_t keep = index + 1 - segment->first;
	enum status status;

	if (keep >= segment->count)
		return STATUS_OK;
	status = write_buffered(location, segment);
	if (status != STATUS_OK)
		return status;
	segment->size = segment->positions[keep].offset;
	segment->count = keep;
	segment->unsynced = false;
	return truncate_file(location, segment);
}

/*
 * Closes the file and frees the memory.
 */
void
segment_close(const struct storage_location *location, struct segment *segment)
{
	if (segment->fd >= 0)
		location->calls->close(location->calls->ctx, segment->fd);
	mem_free(segment->positions);
	str_buf_free(&segment->write_buffer);
	*segment = (struct segment){.fd = -1};
}
