#include "core/core_cache.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "base/memory.h"

enum {
	PATH_BYTES = 512,
	DIGEST_BYTES = 8,
	CACHE_MAX_BYTES = 16 << 20 /* a document and thousands of targets */
};

static void
cache_path(const char *folder, const char *suffix, char out[PATH_BYTES])
{
	snprintf(out, PATH_BYTES, "%s/cache%s", folder, suffix);
}

void
core_cache_encode(const Fleet__Cache *cache, struct str_buf *out)
{
	size_t len = fleet__cache__get_packed_size(cache);
	uint8_t *bytes = mem_alloc(len);
	uint64_t digest;

	fleet__cache__pack(cache, bytes);
	digest = XXH3_64bits(bytes, len);
	str_buf_append(out, str_of((const char *)&digest, DIGEST_BYTES));
	str_buf_append(out, str_of((const char *)bytes, len));
	mem_free(bytes);
}

/*
 * Writes a new file, syncs it and renames it over the old one.  The folder
 * is not synced, since after a power loss the old cache is as useful.
 */
enum status
core_cache_write(const char *folder, struct str bytes)
{
	char temporary[PATH_BYTES], final[PATH_BYTES];
	bool good;
	int fd;

	cache_path(folder, ".new", temporary);
	cache_path(folder, "", final);
	fd = open(temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
	good = fd >= 0 &&
	    write(fd, bytes.data, bytes.len) == (ssize_t)bytes.len &&
	    fsync(fd) == 0;
	if (fd >= 0)
		(void)close(fd);
	if (!good || rename(temporary, final) != 0)
		return status_set_errno(STATUS_IO, temporary);
	return STATUS_OK;
}

/*
 * Reads the cache, which the caller frees.
 */
Fleet__Cache *
core_cache_read(const char *folder)
{
	char path[PATH_BYTES];
	uint8_t *bytes;
	size_t len = 0;
	ssize_t n;
	uint64_t digest = 0;
	Fleet__Cache *cache = NULL;
	int fd;

	cache_path(folder, "", path);
	fd = open(path, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return NULL;
	bytes = mem_alloc(CACHE_MAX_BYTES);
	while ((n = read(fd, bytes + len, CACHE_MAX_BYTES - len)) > 0)
		len += (size_t)n;
	(void)close(fd);
	if (len > DIGEST_BYTES)
		memcpy(&digest, bytes, DIGEST_BYTES);
	if (len > DIGEST_BYTES &&
	    digest == XXH3_64bits(bytes + DIGEST_BYTES, len - DIGEST_BYTES))
		cache = fleet__cache__unpack(
		    NULL, len - DIGEST_BYTES, bytes + DIGEST_BYTES);
	mem_free(bytes);
	return cache;
}
