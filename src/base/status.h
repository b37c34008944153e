/*
 * Error codes.  A function that can fail returns an enum status and sets a
 * human-readable message in a per-thread buffer.
 */
#ifndef BASE_STATUS_H
#define BASE_STATUS_H

#include "base/attr.h"

enum status {
	STATUS_OK = 0,
	STATUS_INVALID, /* input is malformed or violates a rule */
	STATUS_NOT_FOUND, /* the named object does not exist */
	STATUS_CONFLICT, /* based on an older revision */
	STATUS_DENIED, /* the identity lacks permission */
	STATUS_FULL, /* a limit on memory, disk or count is reached */
	STATUS_BUSY, /* try again later */
	STATUS_TIMEOUT, /* the deadline passed */
	STATUS_UNAVAILABLE, /* no leader, no lease, no peer */
	STATUS_IO, /* a system call failed */
	STATUS_CORRUPT, /* stored or received data fails its checksum or format check */
	STATUS_CLOSED, /* the peer or the module has shut down */
	STATUS_COUNT
};

const char *status_name(enum status status);
enum status status_set(enum status status, const char *fmt, ...)
    ATTR_PRINTF(2, 3) ATTR_NONNULL(2);
enum status
status_set_errno(enum status status, const char *what) ATTR_NONNULL_ALL;
const char *status_message(void);
void status_clear(void);

#endif
