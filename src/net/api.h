/*
 * A small HTTP server on an event loop for short requests with JSON or text
 * bodies: the control API, lookups, readiness, metrics.  A request may be
 * answered asynchronously; the reply is discarded if its connection has closed.
 */
#ifndef NET_API_H
#define NET_API_H

#include <uv.h>

#include "base/status.h"
#include "base/str.h"

enum {
	API_SPEAKER_BYTES = 128
};

/* For whom a connection's calls have spoken; kept with the connection. */
struct api_speaker {
	char name[API_SPEAKER_BYTES]; /* empty: nobody yet */
	uint64_t number;
};

struct api_call {
	struct str method;
	struct str path; /* without the query */
	struct str query;
	struct str if_match; /* empty when absent */
	struct str body;
	/*
	 * clock_boot_us(): the caller lived after this time, when it opened the
	 * connection.  0: not known, since the connection took several tries.
	 */
	uint64_t since_us;
	struct api_speaker *speaker; /* until the handler returns */
	bool last; /* set by the handler: close the connection with the reply */
};

/*
 * Handles a request.  Its strings are valid until api_reply(), which must be
 * called exactly once, from the handler or later.
 */
typedef void api_handler(void *ctx, struct api_call *call);

struct api_server;

/* Listens on IP:PORT; NULL, with the status message set, on failure. */
struct api_server *
api_listen(uv_loop_t *loop, const char *address, size_t body_max_bytes,
    api_handler *handler, void *ctx) ATTR_NONNULL(1, 2, 4) ATTR_UNUSED_RESULT;
/*
 * Sets the bounds that all servers of the process share: the process may use
 * memory_bytes in all, and its servers accept connections_max connections,
 * address_max of one address (0: the default rule).  instance is kept.
 */
void api_set_limits(const char *instance, uint64_t memory_bytes,
    unsigned connections_max, unsigned address_max) ATTR_NONNULL_ALL;
/* Sends the reply and frees the call. */
void api_reply(struct api_call *call, int status, const char *content_type,
    struct str body) ATTR_NONNULL_ALL;
/* Stops listening; later replies close their connections. */
void api_close(struct api_server *server);
/* Returns whether callers still wait for answers or parts of them. */
bool api_is_busy(const struct api_server *server);

#endif
