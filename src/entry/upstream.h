/*
 * HTTP calls to targets over pooled connections (libcurl, one easy handle per
 * connection).  A request is sent at most once per attempt, and a connection
 * whose call did not end cleanly is closed, never pooled.  A connection serves
 * the incarnation of the target that it was opened to.
 */
#ifndef ENTRY_UPSTREAM_H
#define ENTRY_UPSTREAM_H

#include <stdbool.h>

#include <curl/curl.h>

#include "base/status.h"
#include "base/str.h"

struct upstream;

/* A request and the callbacks for its body and response. */
struct upstream_call {
	struct str address; /* IP:PORT */
	uint64_t incarnation; /* of the target there */
	const char *method;
	struct str request_target; /* path and query as received */
	struct curl_slist *headers;
	bool has_body;
	int64_t body_length; /* -1: chunked */
	bool new_connection; /* don't reuse a pooled connection */
	uint64_t deadline_us;
	void *ctx;
	/* Supplies the body; returns its bytes, 0 at the end, -1 to abort. */
	int64_t (*read)(void *ctx, char *out, size_t size);
	/* Handles a line of the response head; false aborts. */
	bool (*header)(void *ctx, struct str line, long status);
	/* Handles a part of the response body; false aborts. */
	bool (*write)(void *ctx, struct str data);
	/*
	 * Called once there is a connection, just before the request is sent;
	 * true stops that.  May be NULL.
	 */
	bool (*withdrawn)(void *ctx);
	/* Called at intervals; true aborts.  May be NULL. */
	bool (*cancelled)(void *ctx);
};

struct upstream_result {
	bool sent; /* bytes of the request may have been sent */
	bool complete; /* the whole response was received */
	bool timed_out;
	bool withdrawn; /* stopped before it was sent */
	bool reused; /* a pooled connection was used */
	long http_status;
};

struct upstream *upstream_new(void);
void upstream_free(struct upstream *upstream);
void
upstream_perform(struct upstream *upstream, const struct upstream_call *call,
    struct upstream_result *result) ATTR_NONNULL_ALL;
/* Closes the idle connections to an address. */
void upstream_close_idle(struct upstream *upstream, struct str address)
    ATTR_NONNULL(1);

#endif
