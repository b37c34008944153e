#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/logger.h"
#include "core/core_internal.h"

const char core_log_folder[] = "log";

static const char id_file[] = "replica-id";

/*
 * Writes the path of a file in the data folder.
 */
void
core_path(const struct core *core, const char *name, char out[CORE_PATH_BYTES])
{
	snprintf(out, CORE_PATH_BYTES, "%s/%s", core->settings.data, name);
}

/*
 * Reads the id of the replica in the folder; 0 when there is none.  STATUS_IO
 * when it can't be read: the folder may hold a log then.
 */
enum status
core_read_id(const struct core *core, uint64_t *id)
{
	char path[CORE_PATH_BYTES];
	char text[32] = "";
	bool failed;
	FILE *file;

	*id = 0;
	core_path(core, id_file, path);
	file = fopen(path, "re");
	if (file == NULL)
		return errno == ENOENT ? STATUS_OK
				       : status_set_errno(STATUS_IO, path);
	if (fgets(text, sizeof(text), file) != NULL &&
	    !str_to_u64(str_trim(str_from(text)), id))
		*id = 0;
	failed = ferror(file) != 0;
	(void)fclose(file);
	return failed ? status_set_errno(STATUS_IO, path) : STATUS_OK;
}

/*
 * Makes the directory entries of a folder durable.
 */
enum status
core_sync_folder(const char *path)
{
	int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	int error;

	if (fd < 0)
		return status_set_errno(STATUS_IO, path);
	error = fsync(fd);
	(void)close(fd);
	return error == 0 ? STATUS_OK : status_set_errno(STATUS_IO, path);
}

/*
 * Replaces a file in a folder durably, or not at all; may run on another
 * thread.  After a failure the folder may hold either file.
 */
bool
core_replace_file(const char *folder, const char *name, struct str text)
{
	char temporary[CORE_PATH_BYTES + 16];
	char final[CORE_PATH_BYTES + 16];
	bool good;
	int fd;

	snprintf(temporary, sizeof(temporary), "%s/%s.new", folder, name);
	snprintf(final, sizeof(final), "%s/%s", folder, name);
	fd = open(temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
	good = fd >= 0;
	while (good && text.len > 0) {
		ssize_t n = write(fd, text.data, text.len);

		good = n > 0;
		if (good)
			text = str_of(text.data + n, text.len - (size_t)n);
	}
	good = good && fsync(fd) == 0;
	if (fd >= 0)
		(void)close(fd);
	if (!good)
		(void)unlink(temporary);
	return good && rename(temporary, final) == 0 &&
	    core_sync_folder(folder) == STATUS_OK;
}

/*
 * Writes the id durably and whole, before the replica is used: a part of it
 * would be another replica's.
 */
enum status
core_write_id(const struct core *core, uint64_t id)
{
	char text[32];
	int len = snprintf(text, sizeof(text), "%" PRIu64 "\n", id);

	if (!core_replace_file(
		core->settings.data, id_file, str_of(text, (size_t)len)))
		return status_set_errno(STATUS_IO, id_file);
	return STATUS_OK;
}

/*
 * Removes the files in a folder, but no subfolders.
 */
void
core_remove_files(const char *path)
{
	DIR *dir = opendir(path);
	const struct dirent *entry;

	if (dir == NULL)
		return;
	while ((entry = readdir(dir)) != NULL) {
		char name[CORE_PATH_BYTES + 256];

		if (entry->d_name[0] == '.')
			continue;
		snprintf(name, sizeof(name), "%s/%s", path, entry->d_name);
		if (unlink(name) != 0 && errno != EISDIR && errno != EPERM)
			log_warn(
			    "unlink_failed", "file=%s errno=%d", name, errno);
	}
	(void)closedir(dir);
}

/*
 * Removes the replica from the folder.  The id is removed first, so that a
 * partly emptied folder is never used under it again.
 */
void
core_discard_replica(const struct core *core)
{
	char path[CORE_PATH_BYTES];

	core_path(core, id_file, path);
	(void)unlink(path);
	(void)core_sync_folder(core->settings.data);
	core_path(core, core_log_folder, path);
	core_remove_files(path);
	(void)core_sync_folder(path);
}
