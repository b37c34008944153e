#include "ctl/ctl.h"

#include <errno.h>

enum {
	CHUNK_BYTES = 65536
};

/*
 * Maps a status to the exit code of the process.
 */
int
ctl_exit_code(enum status status)
{
	switch (status) {
	case STATUS_OK:
		return CTL_EXIT_OK;
	case STATUS_CONFLICT:
	case STATUS_NOT_FOUND:
		return CTL_EXIT_DIFFERS;
	case STATUS_INVALID:
	case STATUS_FULL:
		return CTL_EXIT_INVALID;
	case STATUS_DENIED:
		return CTL_EXIT_DENIED;
	case STATUS_IO:
		return CTL_EXIT_NO_INPUT;
	default:
		return CTL_EXIT_UNAVAILABLE;
	}
}

/*
 * Prints this thread's last status message to standard error and returns the
 * exit code of status.
 */
int
ctl_print_error(enum status status)
{
	fprintf(stderr, "gypsummillctl: %s\n", status_message());
	return ctl_exit_code(status);
}

/*
 * Appends the content of a file to out; "-" reads standard input.  STATUS_IO
 * if the file can't be opened or read to its end.
 */
enum status
ctl_read_file(const char *path, struct str_buf *out)
{
	bool standard_input = path[0] == '-' && path[1] == '\0';
	FILE *file = standard_input ? stdin : fopen(path, "rb");
	char chunk[CHUNK_BYTES];
	size_t chunk_len;
	int read_error;

	if (file == NULL)
		return status_set_errno(STATUS_IO, path);
	while ((chunk_len = fread(chunk, 1, sizeof(chunk), file)) > 0)
		str_buf_append(out, str_of(chunk, chunk_len));
	read_error = ferror(file);
	if (!standard_input)
		fclose(file);
	if (read_error)
		return status_set(STATUS_IO, "%s: read error", path);
	return STATUS_OK;
}
