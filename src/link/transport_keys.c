#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <zmq.h>

#include "link/transport.h"

enum {
	PATH_BYTES = 512
};

/*
 * Writes FOLDER/NAME.SUFFIX to path; returns STATUS_INVALID when it does not
 * fit.
 */
static enum status
key_path(char path[PATH_BYTES], const char *folder, const char *name,
    const char *suffix)
{
	int n = snprintf(path, PATH_BYTES, "%s/%s.%s", folder, name, suffix);

	if (n < 0 || n >= PATH_BYTES)
		return status_set(
		    STATUS_INVALID, "path of key file is too long");
	return STATUS_OK;
}

/*
 * Creates a file with the key's text and syncs it.  Returns STATUS_IO when the
 * file exists or cannot be written.
 */
static enum status
write_key(const char *path, const char *key, mode_t mode)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
	ssize_t len = (ssize_t)strlen(key);

	if (fd < 0)
		return status_set_errno(STATUS_IO, path);
	if (write(fd, key, (size_t)len) != len || fsync(fd) != 0) {
		(void)status_set_errno(STATUS_IO, path);
		close(fd);
		return STATUS_IO;
	}
	close(fd);
	return STATUS_OK;
}

/*
 * Reads a key's Z85 text as a NUL-terminated string.  Returns STATUS_IO when
 * the file cannot be opened, STATUS_INVALID when no complete key can be read.
 */
static enum status
read_key(const char *path, char key[TRANSPORT_KEY_BYTES])
{
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	ssize_t n;

	if (fd < 0)
		return status_set_errno(STATUS_IO, path);
	n = read(fd, key, TRANSPORT_KEY_BYTES - 1);
	close(fd);
	if (n != TRANSPORT_KEY_BYTES - 1)
		return status_set(
		    STATUS_INVALID, "%s: does not hold a complete key", path);
	key[n] = '\0';
	return STATUS_OK;
}

/*
 * Creates a key pair as NAME.public and NAME.secret (mode 0600) in a folder.
 * Existing files are kept and STATUS_IO is returned.
 */
enum status
transport_keys_make(const char *folder, const char *name)
{
	struct transport_keys keys;
	char path[PATH_BYTES];
	enum status status;

	if (zmq_curve_keypair(keys.public_key, keys.secret_key) != 0)
		return status_set_errno(STATUS_IO, "zmq_curve_keypair");
	status = key_path(path, folder, name, "secret");
	if (status != STATUS_OK)
		return status;
	status = write_key(path, keys.secret_key, 0600);
	if (status != STATUS_OK)
		return status;
	status = key_path(path, folder, name, "public");
	if (status != STATUS_OK)
		return status;
	return write_key(path, keys.public_key, 0644);
}

/*
 * Reads a key pair created by transport_keys_make(); only its public key if
 * with_secret is false.
 */
enum status
transport_keys_read(const char *folder, const char *name, bool with_secret,
    struct transport_keys *keys)
{
	char path[PATH_BYTES];
	enum status status;

	*keys = (struct transport_keys){0};
	status = key_path(path, folder, name, "public");
	if (status == STATUS_OK)
		status = read_key(path, keys->public_key);
	if (status != STATUS_OK || !with_secret)
		return status;
	status = key_path(path, folder, name, "secret");
	if (status == STATUS_OK)
		status = read_key(path, keys->secret_key);
	return status;
}
