#include "base/status.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum {
	MESSAGE_BYTES = 512
};

static _Thread_local char last_message[MESSAGE_BYTES];

static const char *const names[STATUS_COUNT] = {
    [STATUS_OK] = "ok",
    [STATUS_INVALID] = "invalid",
    [STATUS_NOT_FOUND] = "not-found",
    [STATUS_CONFLICT] = "conflict",
    [STATUS_DENIED] = "denied",
    [STATUS_FULL] = "full",
    [STATUS_BUSY] = "busy",
    [STATUS_TIMEOUT] = "timeout",
    [STATUS_UNAVAILABLE] = "unavailable",
    [STATUS_IO] = "io",
    [STATUS_CORRUPT] = "corrupt",
    [STATUS_CLOSED] = "closed",
};

/*
 * Returns the name of a status for logs and JSON, a constant string.
 */
const char *
status_name(enum status status)
{
	if ((unsigned)status >= STATUS_COUNT)
		return "unknown";
	return names[status];
}

/*
 * Sets this thread's error message and returns status, so that a caller can
 * write "return status_set(...)".  Messages over 511 bytes are truncated.
 */
enum status
status_set(enum status status, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(last_message, sizeof(last_message), fmt, ap);
	va_end(ap);
	return status;
}

/*
 * Like status_set(), with "what: " and the description of errno as the
 * message.
 */
enum status
status_set_errno(enum status status, const char *what)
{
	char text[128];
	int saved = errno;

	return status_set(
	    status, "%s: %s", what, strerror_r(saved, text, sizeof(text)));
}

/*
 * Returns this thread's last error message; empty when none was set.
 */
const char *
status_message(void)
{
	return last_message;
}

/*
 * Clears this thread's error message.
 */
void
status_clear(void)
{
	last_message[0] = '\0';
}
