/*
 * Connections of the HTTP server, shared by its parts.
 */
#ifndef NET_API_INTERNAL_H
#define NET_API_INTERNAL_H

#include <http_parser.h>

#include "base/connection_budget.h"
#include "base/connection_share.h"
#include "base/linger.h"
#include "net/address.h"
#include "net/api.h"

enum {
	API_READ_BYTES = 16 << 10
};

struct api_server {
	uv_tcp_t tcp;
	uv_check_t check;
	uint64_t polled_us; /* when the last poll for connections had ended */
	uv_loop_t *loop;
	size_t body_max_bytes;
	api_handler *handler;
	void *ctx;
	struct connection *first;
	struct api_server *next; /* that shares the bounds */
	bool closing;
	char input[API_READ_BYTES]; /* of the connection that is read */
};

struct connection {
	uv_tcp_t tcp;
	uv_timer_t timer; /* idle, then linger */
	struct connection *previous;
	struct connection *next;
	unsigned open_handles;
	struct api_server *server;
	http_parser parser;
	struct exchange *exchange; /* being received or answered */
	bool paused; /* a request is being processed */
	bool parsing; /* parse() is on the stack */
	bool closing;
	/* The last answer is being sent; input is read and dropped. */
	bool lingering;
	bool write_shut; /* the last answer is in the socket */
	struct linger_wait linger_wait;
	uv_shutdown_t shutdown;
	char *pipelined; /* input received after the current request */
	size_t pipelined_len;
	bool blocked; /* the next request waits until answers are read */
	bool served; /* a whole request has arrived */
	struct sockaddr_in peer;
	uint64_t opened_ms;
	uint64_t since_us; /* as of api_call */
	struct api_speaker speaker;
	uint64_t request_ms; /* start of the request being received */
	size_t unread; /* bytes of buffers for its answers */
	uint64_t given; /* bytes of answers, in all */
	struct connection_use use;
	bool counted; /* in the share of its address */
};

struct exchange {
	struct api_call call; /* first member: api_reply() casts back */
	struct connection *connection; /* NULL once closed */
	struct str_buf target;
	struct str_buf body;
	struct str_buf if_match;
	char field[64];
	size_t field_len;
	size_t header_bytes;
	bool in_value;
	bool keep_alive;
};

/* api.c: connections. */
/*
 * Closes a connection at once.  A request that is being processed stays
 * allocated until api_reply().
 */
void api_connection_close(struct connection *connection) ATTR_NONNULL_ALL;
/*
 * Closes a connection after its last answer, the sending side first.  Nothing
 * is processed any more.
 */
void api_connection_linger(struct connection *connection) ATTR_NONNULL_ALL;

/* Starts or resumes reading. */
void api_connection_read(struct connection *connection) ATTR_NONNULL_ALL;

/*
 * Closes the connection whose caller has had the last answer for longest; false
 * if there is none.
 */
bool api_yield_connection(struct api_server *server) ATTR_NONNULL_ALL;

/* api_limit.c: bounds shared by all servers of the process. */
void api_limit_add_server(struct api_server *server) ATTR_NONNULL_ALL;
void api_limit_remove_server(const struct api_server *server) ATTR_NONNULL_ALL;
void api_limit_set_socket(uv_tcp_t *listener) ATTR_NONNULL_ALL;
/* Returns false, with the limit, if the connection has to be closed. */
bool api_limit_add_connection(struct connection *connection,
    enum connection_limit *limit) ATTR_NONNULL_ALL;
void
api_limit_remove_connection(struct connection *connection) ATTR_NONNULL_ALL;
/* Logs and counts a connection that is closed at a limit, and closes it. */
void api_limit_close(struct connection *connection,
    enum connection_limit limit) ATTR_NONNULL_ALL;
/* Records what a connection holds now; this may close it or others. */
void api_limit_update(struct connection *connection) ATTR_NONNULL_ALL;
/* A buffer for answers was allocated or freed. */
void api_limit_allocate(
    struct connection *connection, size_t bytes) ATTR_NONNULL_ALL;
void
api_limit_free(struct connection *connection, size_t bytes) ATTR_NONNULL_ALL;
bool api_limit_has_room(
    struct connection *connection, size_t bytes) ATTR_NONNULL_ALL;
/* Whether the next request waits until answers are read. */
bool api_limit_must_wait(const struct connection *connection) ATTR_NONNULL_ALL;
bool api_limit_may_resume(const struct connection *connection) ATTR_NONNULL_ALL;

/* api_parse.c: requests. */
/*
 * Parses input and dispatches its requests.  The input after a request that is
 * not answered at once is saved until the reply has been sent.
 */
void api_parse_input(struct connection *connection, const char *data,
    size_t len) ATTR_NONNULL_ALL;
/* Resumes parsing with the input saved during the last request. */
void api_resume(struct connection *connection) ATTR_NONNULL_ALL;
/* Does so if only unread answers have kept the next request waiting. */
void api_unblock(struct connection *connection) ATTR_NONNULL_ALL;
void api_exchange_free(struct exchange *exchange) ATTR_NONNULL_ALL;

#endif
