#include "replica/storage_calls.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <sys/file.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/invariant.h"

/*
 * Creates a folder accessible to its owner only; succeeds if it exists
 * already.
 */
static int
system_make_folder(void *ctx ATTR_UNUSED, const char *path)
{
	if (mkdir(path, 0700) == 0 || errno == EEXIST)
		return 0;
	return -1;
}

/*
 * Opens, creating it if missing, and locks a file.  Returns its descriptor,
 * which holds the lock until it is closed.  EBUSY when another process holds
 * the lock.
 */
static int
system_lock(void *ctx ATTR_UNUSED, const char *path)
{
	int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);

	if (fd < 0)
		return -1;
	if (flock(fd, LOCK_EX | LOCK_NB) == 0)
		return fd;
	close(fd);
	errno = EBUSY;
	return -1;
}

/*
 * Opens a file for reading and writing and returns its descriptor.  With
 * create it is created if missing and truncated.
 */
static int
system_open(void *ctx ATTR_UNUSED, const char *path, bool create)
{
	return open(
	    path, O_RDWR | O_CLOEXEC | (create ? O_CREAT | O_TRUNC : 0), 0600);
}

static int
system_close(void *ctx ATTR_UNUSED, int fd)
{
	return close(fd);
}

/*
 * Reads up to len bytes from an offset and returns the number read, less at
 * the end of the file.
 */
static ssize_t
system_read(
    void *ctx ATTR_UNUSED, int fd, void *data, size_t len, uint64_t offset)
{
	return pread(fd, data, len, (off_t)offset);
}

/*
 * Writes up to len bytes at an offset and returns the number written, which
 * may be less.
 */
static ssize_t
system_write(void *ctx ATTR_UNUSED, int fd, const void *data, size_t len,
    uint64_t offset)
{
	return pwrite(fd, data, len, (off_t)offset);
}

/*
 * Makes a file's contents and length durable.
 */
static int
system_sync(void *ctx ATTR_UNUSED, int fd)
{
	return fsync(fd);
}

/*
 * Truncates a file to a size in bytes.
 */
static int
system_truncate(void *ctx ATTR_UNUSED, int fd, uint64_t size)
{
	return ftruncate(fd, (off_t)size);
}

/*
 * Renames a file atomically, replacing an existing one; durable only after
 * sync_folder.
 */
static int
system_rename(void *ctx ATTR_UNUSED, const char *from, const char *to)
{
	return rename(from, to);
}

/*
 * Removes a file's name; durable only after sync_folder.
 */
static int
system_unlink(void *ctx ATTR_UNUSED, const char *path)
{
	return unlink(path);
}

/*
 * Makes the directory entries of a folder durable.
 */
static int
system_sync_folder(void *ctx ATTR_UNUSED, const char *path)
{
	int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	int rc, saved;

	if (fd < 0)
		return -1;
	rc = fsync(fd);
	saved = errno;
	close(fd);
	errno = saved;
	return rc;
}

/*
 * Calls visit for each name in a folder, "." and ".." included, in no
 * particular order.  Also fails when reading stops with an error after some
 * names.
 */
static int
system_list(void *ctx ATTR_UNUSED, const char *path,
    storage_name_visitor *visit, void *visit_ctx)
{
	DIR *folder = opendir(path);
	const struct dirent *entry;
	int saved;

	if (folder == NULL)
		return -1;
	while (errno = 0, (entry = readdir(folder)) != NULL)
		visit(visit_ctx, entry->d_name);
	saved = errno;
	closedir(folder);
	errno = saved;
	return saved == 0 ? 0 : -1;
}

/*
 * Returns a random number from the kernel, never 0; aborts when none is
 * available.
 */
static uint64_t
system_random(void *ctx ATTR_UNUSED)
{
	uint64_t value = 0;

	while (value == 0) {
		ssize_t got = getrandom(&value, sizeof(value), 0);

		INVARIANT(got == (ssize_t)sizeof(value) || errno == EINTR,
		    "getrandom failed");
	}
	return value;
}

/*
 * Returns the table of the operating system's calls.
 */
const struct storage_calls *
storage_calls_system(void)
{
	static const struct storage_calls calls = {
	    .make_folder = system_make_folder,
	    .lock = system_lock,
	    .open = system_open,
	    .close = system_close,
	    .read = system_read,
	    .write = system_write,
	    .sync = system_sync,
	    .truncate = system_truncate,
	    .rename = system_rename,
	    .unlink = system_unlink,
	    .sync_folder = system_sync_folder,
	    .list = system_list,
	    .random = system_random,
	};

	return &calls;
}

static int
keep_name(void *ctx ATTR_UNUSED, const char *path ATTR_UNUSED)
{
	return 0;
}

/*
 * Locks a file against a process that writes; a folder without one was never
 * in use.
 */
static int
shared_lock(void *ctx ATTR_UNUSED, const char *path)
{
	int fd = open(path, O_RDONLY | O_CLOEXEC);

	if (fd < 0 && errno == ENOENT)
		return open("/dev/null", O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return -1;
	if (flock(fd, LOCK_SH | LOCK_NB) == 0)
		return fd;
	close(fd);
	errno = EBUSY;
	return -1;
}

static int
open_to_read(void *ctx ATTR_UNUSED, const char *path, bool create)
{
	if (create) {
		errno = EROFS;
		return -1;
	}
	return open(path, O_RDONLY | O_CLOEXEC);
}

static ssize_t
refuse_write(void *ctx ATTR_UNUSED, int fd ATTR_UNUSED,
    const void *data ATTR_UNUSED, size_t len ATTR_UNUSED,
    uint64_t offset ATTR_UNUSED)
{
	errno = EROFS;
	return -1;
}

static int
keep_file(void *ctx ATTR_UNUSED, int fd ATTR_UNUSED)
{
	return 0;
}

static int
keep_size(void *ctx ATTR_UNUSED, int fd ATTR_UNUSED, uint64_t size ATTR_UNUSED)
{
	return 0;
}

static int
refuse_rename(void *ctx ATTR_UNUSED, const char *from ATTR_UNUSED,
    const char *to ATTR_UNUSED)
{
	errno = EROFS;
	return -1;
}

/*
 * Returns the table of calls that change nothing.
 */
const struct storage_calls *
storage_calls_read_only(void)
{
	static const struct storage_calls calls = {
	    .make_folder = keep_name,
	    .lock = shared_lock,
	    .open = open_to_read,
	    .close = system_close,
	    .read = system_read,
	    .write = refuse_write,
	    .sync = keep_file,
	    .truncate = keep_size,
	    .rename = refuse_rename,
	    .unlink = keep_name,
	    .sync_folder = keep_name,
	    .list = system_list,
	    .random = system_random,
	};

	return &calls;
}

/*
 * Opens a data folder, or creates one for this id.
 */
enum status
storage_folder_open(
    const char *path, uint64_t id, struct replica_storage *storage)
{
	return storage_folder_open_with(
	    path, id, storage_calls_system(), storage);
}
