/*
 * An HTTP server over CivetWeb with defaults that suit a service: kept-alive
 * connections, no delay of small writes, no files, no CGI, bounded threads.
 * CivetWeb gives each connection a thread, so threads bound connections.
 */
#ifndef BASE_WEB_H
#define BASE_WEB_H

#include <civetweb.h>

#include "base/status.h"
#include "base/str.h"

struct web_settings {
	const char *address; /* IP:PORT; port 0 picks a free one */
	unsigned threads; /* connections served at once */
	unsigned backlog; /* connections waiting for a thread */
	uint64_t
	    request_timeout_ms; /* a read or write that makes no progress */
	uint64_t keep_alive_ms; /* an idle connection's life */
	void *ctx;
	/* Serves one request and returns the HTTP status it answered with. */
	int (*serve)(void *ctx, struct mg_connection *conn);
	/* Each server thread runs these at its start and its end; may be NULL. */
	void (*thread_start)(void *ctx);
	void (*thread_end)(void *ctx);
	/* A request that could not be read; may be NULL. */
	void (*malformed)(void *ctx, struct mg_connection *conn, int status);
};

struct web_server;

struct web_reply {
	int status;
	const char *content_type;
	const char *headers; /* whole lines, each ended by CR LF; or NULL */
	struct str body;
	bool close;
};

enum status web_start(const struct web_settings *settings,
    struct web_server **server) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Stops listening, waits for the requests that are being served. */
void web_stop(struct web_server *server);
uint16_t web_port(const struct web_server *server) ATTR_NONNULL_ALL;
/* Writes a whole answer in one piece; returns its status. */
int web_answer(
    struct mg_connection *conn, const struct web_reply *reply) ATTR_NONNULL_ALL;
/* A header's value, empty when there is none. */
struct str
web_header(const struct mg_connection *conn, const char *name) ATTR_NONNULL_ALL;
/* Reads a body of at most max bytes; STATUS_FULL when it is longer. */
enum status web_read_body(struct mg_connection *conn, size_t max,
    struct str_buf *out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
const char *web_reason(int status);
/* True when the caller has closed its connection, as far as can be seen. */
bool web_caller_disconnected(struct mg_connection *conn) ATTR_NONNULL_ALL;

#endif
