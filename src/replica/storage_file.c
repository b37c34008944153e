#include "replica/storage_file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

enum {
	READ_CHUNK_BYTES = 64 << 10
};

/*
 * Sets the status for errno: STATUS_FULL on a full disk or quota, else
 * STATUS_IO.
 */
enum status
storage_errno_status(const char *what, const char *name)
{
	char text[128];
	int saved = errno;
	enum status status =
	    saved == ENOSPC || saved == EDQUOT ? STATUS_FULL : STATUS_IO;

	return status_set(status, "%s of %s failed: %s", what, name,
	    strerror_r(saved, text, sizeof(text)));
}

/*
 * Joins the folder's path and a file name.
 */
enum status
file_path(const struct storage_location *location, const char *name, char *path,
    size_t size)
{
	int len = snprintf(path, size, "%s/%s", location->path, name);

	if (len < 0 || (size_t)len >= size)
		return status_set(STATUS_INVALID,
		    "the path of a file in the data folder is too long");
	return STATUS_OK;
}

/*
 * Writes all of data at an offset, continuing after short writes.
 */
enum status
file_write(const struct storage_calls *calls, int fd, const char *name,
    struct str data, uint64_t offset)
{
	size_t done = 0;

	while (done < data.len) {
		ssize_t n = calls->write(calls->ctx, fd, data.data + done,
		    data.len - done, offset + done);

		if (n < 0 && errno == EINTR)
			continue;
		if (n == 0)
			errno = ENOSPC;
		if (n <= 0)
			return storage_errno_status("write", name);
		done += (size_t)n;
	}
	return STATUS_OK;
}

/*
 * Appends a file's whole contents to out.
 */
enum status
file_read_all(const struct storage_calls *calls, int fd, const char *name,
    struct str_buf *out)
{
	char chunk[READ_CHUNK_BYTES];
	uint64_t offset = 0;

	for (;;) {
		ssize_t n =
		    calls->read(calls->ctx, fd, chunk, sizeof(chunk), offset);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return storage_errno_status("read", name);
		if (n == 0)
			return STATUS_OK;
		str_buf_append(out, str_of(chunk, (size_t)n));
		offset += (uint64_t)n;
	}
}

/*
 * Makes the folder's directory entries durable.
 */
enum status
file_sync_folder(const struct storage_location *location)
{
	if (location->calls->sync_folder(
		location->calls->ctx, location->path) != 0)
		return storage_errno_status("fsync", location->path);
	return STATUS_OK;
}

/*
 * Writes and syncs a file of one record, replacing a leftover of the same
 * name.
 */
static enum status
write_temporary(const struct storage_location *location, const char *name,
    const struct record *record)
{
	const struct storage_calls *calls = location->calls;
	char path[STORAGE_PATH_MAX_BYTES];
	struct str_buf bytes = {0};
	enum status status = file_path(location, name, path, sizeof(path));
	int fd;

	if (status != STATUS_OK)
		return status;
	fd = calls->open(calls->ctx, path, true);
	if (fd < 0)
		return storage_errno_status("creation", name);
	record_append(&bytes, record);
	status = file_write(calls, fd, name, str_buf_view(&bytes), 0);
	str_buf_free(&bytes);
	if (status == STATUS_OK && calls->sync(calls->ctx, fd) != 0)
		status = storage_errno_status("fsync", name);
	if (calls->close(calls->ctx, fd) != 0 && status == STATUS_OK)
		status = storage_errno_status("close", name);
	return status;
}

/*
 * Replaces a file by one record, atomically and durably.
 */
enum status
file_replace(const struct storage_location *location, const char *name,
    const struct record *record)
{
	char temporary[64];
	char from[STORAGE_PATH_MAX_BYTES], to[STORAGE_PATH_MAX_BYTES];
	enum status status;

	snprintf(temporary, sizeof(temporary), "%s.new", name);
	status = write_temporary(location, temporary, record);
	if (status == STATUS_OK)
		status = file_path(location, temporary, from, sizeof(from));
	if (status == STATUS_OK)
		status = file_path(location, name, to, sizeof(to));
	if (status != STATUS_OK)
		return status;
	if (location->calls->rename(location->calls->ctx, from, to) != 0)
		return storage_errno_status("rename", name);
	return file_sync_folder(location);
}

/*
 * Reads a file of one record.  Such files are replaced atomically, so a
 * truncated or corrupt one is STATUS_CORRUPT.
 */
enum status
file_load(const struct storage_location *location, const char *name,
    uint32_t kind, struct str_buf *bytes, struct record *record)
{
	const struct storage_calls *calls = location->calls;
	char path[STORAGE_PATH_MAX_BYTES];
	enum status status = file_path(location, name, path, sizeof(path));
	size_t size;
	int fd;

	if (status != STATUS_OK)
		return status;
	fd = calls->open(calls->ctx, path, false);
	if (fd < 0 && errno == ENOENT)
		return STATUS_NOT_FOUND;
	if (fd < 0)
		return storage_errno_status("open", name);
	status = file_read_all(calls, fd, name, bytes);
	calls->close(calls->ctx, fd);
	if (status != STATUS_OK)
		return status;
	if (record_read(str_buf_view(bytes), record, &size) != RECORD_VALID ||
	    size != bytes->len || record->kind != kind)
		return status_set(STATUS_CORRUPT,
		    "%s in %s is damaged; this replica must be replaced "
		    "under a new id",
		    name, location->path);
	return STATUS_OK;
}

/*
 * Removes a file if it exists; durable only after a sync of the folder.
 */
enum status
file_unlink(const struct storage_location *location, const char *name)
{
	char path[STORAGE_PATH_MAX_BYTES];
	enum status status = file_path(location, name, path, sizeof(path));

	if (status != STATUS_OK)
		return status;
	if (location->calls->unlink(location->calls->ctx, path) != 0 &&
	    errno != ENOENT)
		return storage_errno_status("removal", name);
	return STATUS_OK;
}
