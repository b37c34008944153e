/*
 * Watches the connections of a server that needs a thread for each of them.  A
 * caller that reads nothing, or sends no whole request, holds a thread until
 * the timeout of the server's library.  While others wait for a thread, such
 * connections are shut down.  So are those of an address above its share
 * (base/connection_share).  Thread-safe.
 */
#ifndef BASE_CONNECTION_GUARD_H
#define BASE_CONNECTION_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct connection_guard_settings {
	const char *instance; /* in log lines */
	const char *what; /* the server, in log lines and counters */
	unsigned threads; /* connections that are served at once */
	unsigned address_max; /* of one address; 0: the default rule */
};

struct connection_guard;

/* Returns a guard that does not watch yet. */
struct connection_guard *
connection_guard_new(const struct connection_guard_settings *settings)
    ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Starts the thread that watches the connections of a port. */
void connection_guard_start(
    struct connection_guard *guard, uint16_t port) ATTR_NONNULL_ALL;
/* Records that a thread begins or ends to serve a connection. */
void connection_guard_serve(
    struct connection_guard *guard, int change) ATTR_NONNULL_ALL;
/*
 * Records that a connection has sent a whole request; fd may be -1.  Returns
 * false if it has been shut down, so that the request must not run.
 */
bool connection_guard_requested(
    struct connection_guard *guard, int fd) ATTR_NONNULL_ALL;
/*
 * Before the owner closes a connection: it is not shut down from now on.  Must
 * be called for each one with a request.  fd may be -1.  Returns whether the
 * guard has shut it down.
 */
bool connection_guard_closing(
    struct connection_guard *guard, int fd) ATTR_NONNULL_ALL;
/* Ends the thread; NULL is allowed. */
void connection_guard_free(struct connection_guard *guard);

#endif
