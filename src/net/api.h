/*
 * A small HTTP server on an event loop for short exchanges with JSON or text
 * bodies: control's interface, lookups, readiness, metrics.  A call may be
 * answered later; one whose connection is gone is answered into the void.
 */
#ifndef NET_API_H
#define NET_API_H

#include <uv.h>

#include "base/status.h"
#include "base/str.h"

struct api_call {
	struct str method;
	struct str path; /* without the query */
	struct str query;
	struct str if_match; /* empty when absent */
	struct str body;
};

/*
 * Handles a call.  Its texts hold until api_reply(), which must follow
 * exactly once, now or later.
 */
typedef void api_handler(void *ctx, struct api_call *call);

struct api_server;

struct api_server *
api_listen(uv_loop_t *loop, const char *address, size_t body_max_bytes,
    api_handler *handler, void *ctx) ATTR_NONNULL(1, 2, 4) ATTR_UNUSED_RESULT;
void api_reply(struct api_call *call, int status, const char *content_type,
    struct str body) ATTR_NONNULL_ALL;
/* Stops listening and closes idle connections. */
void api_close(struct api_server *server);

#endif
