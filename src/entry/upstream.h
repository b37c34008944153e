/*
 * Calls to targets over pooled connections (libcurl, one easy handle a
 * connection).  The bytes of a request go out at most once an attempt, and
 * a connection whose call did not end cleanly is closed, never pooled.
 */
#ifndef ENTRY_UPSTREAM_H
#define ENTRY_UPSTREAM_H

#include <stdbool.h>

#include <curl/curl.h>

#include "base/status.h"
#include "base/str.h"

struct upstream;

/* What an attempt asks and who takes its answer. */
struct upstream_call {
	struct str address; /* IP:PORT */
	const char *method;
	struct str request_target; /* path and query as received */
	struct curl_slist *headers;
	bool has_body;
	int64_t body_length; /* -1: chunked */
	bool new_connection; /* on a connection of its own */
	uint64_t deadline_us;
	void *ctx;
	/* Bytes of the body, 0 at its end, -1 to give up. */
	int64_t (*read)(void *ctx, char *out, size_t size);
	/* A line of the answer's head; false gives up. */
	bool (*header)(void *ctx, struct str line, long status);
	/* Part of the answer's body; false gives up. */
	bool (*write)(void *ctx, struct str data);
	/* Asked now and then while waiting; true gives up.  May be NULL. */
	bool (*cancelled)(void *ctx);
};

struct upstream_result {
	bool sent; /* bytes of the request may have gone out */
	bool complete; /* the answer came in whole */
	bool timed_out;
	bool reused; /* on a connection that was pooled */
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
