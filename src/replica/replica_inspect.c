#include "replica/replica_inspect.h"

#include <string.h>

#include "replica/replica_defs.h"
#include "replica/storage_file.h"

struct inspection {
	const struct replica_inspector *inspector;
	struct replica_contents *contents;
	enum status status;
};

static void
load_state(void *ctx, uint64_t term, uint64_t vote ATTR_UNUSED)
{
	struct inspection *inspection = ctx;

	inspection->contents->term = term;
}

static void
set_members(struct replica_contents *contents, const struct members *members)
{
	contents->member_count = members->count;
	for (unsigned i = 0; i < members->count; i++)
		contents->members[i] = members->list[i].info;
}

static void
load_snapshot(void *ctx, uint64_t index, uint64_t term, struct str data)
{
	struct inspection *inspection = ctx;
	struct replica_contents *contents = inspection->contents;
	struct members members;
	Replica__Snapshot *image = image_decode(data, &members);

	if (image == NULL) {
		inspection->status =
		    status_set(STATUS_CORRUPT, "the snapshot can't be decoded");
		return;
	}
	set_members(contents, &members);
	contents->snapshot_index = contents->last_index = index;
	contents->last_term = term;
	inspection->status =
	    inspection->inspector->snapshot(inspection->inspector->ctx, index,
		str_of((const char *)image->data.data, image->data.len));
	replica__snapshot__free_unpacked(image, NULL);
}

static void
load_entry(void *ctx, const struct storage_entry *entry)
{
	struct inspection *inspection = ctx;
	struct replica_contents *contents = inspection->contents;
	struct members members;

	if (entry->index != contents->last_index + 1)
		inspection->status =
		    status_set(STATUS_CORRUPT, "the stored log has a gap");
	if (inspection->status != STATUS_OK)
		return;
	contents->last_index = entry->index;
	contents->last_term = entry->term;
	if (entry->kind == ENTRY_COMMAND)
		inspection->inspector->command(
		    inspection->inspector->ctx, entry->index, entry->data);
	else if (entry->kind == ENTRY_MEMBERS &&
	    members_decode(entry->data, &members))
		set_members(contents, &members);
}

/*
 * The first members, unless the log names later ones.
 */
static void
load_group(void *ctx, struct str data)
{
	struct inspection *inspection = ctx;
	Replica__Group *group =
	    replica__group__unpack(NULL, data.len, (const uint8_t *)data.data);
	struct members members;

	if (group != NULL &&
	    members_from_message(group->members, group->n_members, &members))
		set_members(inspection->contents, &members);
	if (group != NULL)
		replica__group__free_unpacked(group, NULL);
}

/*
 * Reads the id that a folder belongs to.
 */
static enum status
read_id(const char *path, uint64_t *id)
{
	struct storage_location location = {.calls = storage_calls_read_only()};
	struct record record;
	struct str_buf bytes = {0};
	enum status status;

	if (strlen(path) >= sizeof(location.path))
		return status_set(
		    STATUS_INVALID, "the path of the data folder is too long");
	memcpy(location.path, path, strlen(path) + 1);
	status =
	    file_load(&location, "identity", RECORD_IDENTITY, &bytes, &record);
	if (status == STATUS_OK)
		*id = record.first;
	if (status == STATUS_NOT_FOUND)
		status =
		    status_set(STATUS_NOT_FOUND, "%s holds no replica", path);
	str_buf_free(&bytes);
	return status;
}

/*
 * Passes on what a folder holds.
 */
enum status
replica_inspect(const char *path, const struct replica_inspector *inspector,
    struct replica_contents *contents)
{
	struct inspection inspection = {
	    .inspector = inspector, .contents = contents};
	const struct storage_loader loader = {
	    .ctx = &inspection,
	    .state = load_state,
	    .snapshot = load_snapshot,
	    .entry = load_entry,
	    .group = load_group,
	};
	struct replica_storage storage;
	enum status status;

	*contents = (struct replica_contents){0};
	status = read_id(path, &contents->id);
	if (status != STATUS_OK)
		return status;
	status = storage_folder_open_with(
	    path, contents->id, storage_calls_read_only(), &storage);
	if (status != STATUS_OK)
		return status;
	contents->disk = storage.disk;
	status = storage.load(storage.ctx, &loader);
	storage.close(storage.ctx);
	return status != STATUS_OK ? status : inspection.status;
}

/*
 * A leader has all that was committed before its term, and its log only grows:
 * the last entry's term and index order the logs of a group.
 */
bool
replica_contents_is_newer(
    const struct replica_contents *one, const struct replica_contents *other)
{
	if (one->last_term != other->last_term)
		return one->last_term > other->last_term;
	return one->last_index > other->last_index;
}
