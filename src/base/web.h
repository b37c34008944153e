/*
 * An HTTP server based on CivetWeb: keep-alive connections, TCP_NODELAY, no
 * file serving, no CGI, a fixed number of threads.  CivetWeb uses a thread for
 * each connection, so the number of threads limits the connections.  While
 * others wait for a thread, callers that read nothing or send no whole request
 * are disconnected (base/connection_guard).
 */
#ifndef BASE_WEB_H
#define BASE_WEB_H

#include <signal.h>

#include <civetweb.h>

#include "base/status.h"
#include "base/str.h"

struct web_settings {
	const char *instance; /* in log lines; NULL: none */
	const char *what; /* the server, in log lines and counters */
	const char *address; /* IP:PORT; port 0 picks a free one */
	unsigned threads; /* connections served at once */
	unsigned address_max; /* connections of one address; 0: the default */
	unsigned backlog; /* connections waiting for a thread */
	uint64_t request_timeout_ms; /* read or write without progress */
	uint64_t keep_alive_ms; /* until an idle connection is closed */
	void *ctx;
	/* Serves one request and returns the HTTP status it answered with. */
	int (*serve)(void *ctx, struct mg_connection *conn);
	/* Called by each server thread at its start and end; may be NULL. */
	void (*thread_start)(void *ctx);
	void (*thread_end)(void *ctx);
	/* Answers a request that could not be parsed; may be NULL. */
	void (*malformed)(void *ctx, struct mg_connection *conn, int status);
};

struct web_server;

struct web_reply {
	int status;
	const char *content_type;
	const char *headers; /* header lines, each ending in CR LF; or NULL */
	struct str body;
	bool close;
};

enum status web_start(const struct web_settings *settings,
    struct web_server **server) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Stops listening and waits for the requests being served. */
void web_stop(struct web_server *server) ATTR_NONNULL_ALL;
/*
 * After web_stop(), waits until the callers have their last answers, for max_us
 * microseconds at most.  Returns false on SIGTERM or SIGINT of the set.
 */
bool web_wait_for_callers(const struct web_server *server, const sigset_t *set,
    uint64_t max_us) ATTR_NONNULL_ALL;
/* Stops the server and frees it; cuts off what still lingers. */
void web_free(struct web_server *server);
uint16_t web_port(const struct web_server *server) ATTR_NONNULL_ALL;
/* Sends a complete response; returns its HTTP status. */
int web_answer(
    struct mg_connection *conn, const struct web_reply *reply) ATTR_NONNULL_ALL;
/* The value of a request header, empty when it is missing. */
struct str
web_header(const struct mg_connection *conn, const char *name) ATTR_NONNULL_ALL;
/* Reads a body of at most max bytes; STATUS_FULL if it is longer. */
enum status web_read_body(struct mg_connection *conn, size_t max,
    struct str_buf *out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
const char *web_reason(int status);
/* Whether the caller closed its connection, as far as can be detected. */
bool web_caller_disconnected(struct mg_connection *conn) ATTR_NONNULL_ALL;

#endif
