/*
 * Fuzz target for the requests of callers that are sent ahead and whose answers
 * are not read.  Guards against input or answers beyond the bounds of a
 * connection, and against memory that stays counted when it has closed.
 */
#include "mutate.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	MEMORY_BYTES = 8 << 20,
	INPUT_MAX_BYTES = 16 << 10,
	SENT_BYTES = 64 << 10, /* the input over and over */
	PIECE_BYTES = 4 << 10,
	HEADER_MAX_BYTES = 4 << 10,
	BODY_MAX_BYTES = 32 << 10,
	SEND_BUFFER_BYTES = 4 << 10,
	ANSWER_MAX_BYTES = 1 << 10, /* those that the entry makes itself */
	/* Iterations of the loop, of 16 requests each, between two pieces. */
	TURNS = 16
};

#define FIELDS "Host: h\r\nAttempt: a\r\nDeadline: 3000\r\n"

static const char *const seed_texts[] = {
    "GET /none HTTP/1.1\r\n" FIELDS "\r\n",
    "GET /ready HTTP/1.1\r\nHost: h\r\n\r\nGET /x HTTP/1.1\r\n" FIELDS "\r\n",
    "POST /x HTTP/1.1\r\n" FIELDS "Content-Length: 5\r\n\r\nhello",
    "PUT /none HTTP/1.1\r\n" FIELDS
    "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nNote: 1\r\n\r\n",
    "GET /none HTTP/1.0\r\n" FIELDS "Connection: keep-alive\r\n\r\n",
};

static const char ahead[] = "GET /none HTTP/1.1\r\n" FIELDS "\r\n";

static uv_loop_t loop;
static struct flow *flow;

static bool
read_load(struct str value ATTR_UNUSED, struct target_load *load ATTR_UNUSED)
{
	return false;
}

static enum status
read_document(struct str text ATTR_UNUSED, struct routes **routes)
{
	*routes = routes_new(1);
	return STATUS_OK;
}

/*
 * Opens an entry that knows a route, but no target.
 */
static void
open_flow(void)
{
	static const struct flow_dialect dialect = {
	    .attempt_header = "Attempt",
	    .deadline_header = "Deadline",
	    .expect_header = "Expect-Target",
	    .identity_header = "Target",
	    .proof_header = "Proof",
	    .not_run_header = "Not-Run",
	    .load_header = "Load",
	    .leaving_header = "Leaving",
	    .key_header = "Authorization",
	    .key_scheme = "Bearer",
	    .account_header = "Account",
	    .account_header_alias = "Account_",
	    .read_load = read_load,
	    .read_document = read_document,
	};
	const struct flow_settings settings = {
	    .instance = "fuzz",
	    .failure_domain = "a",
	    .caller_address = "127.0.0.1:0",
	    .datagram_address = "127.0.0.1:0",
	    .memory_bytes = MEMORY_BYTES,
	    .descriptors = 1024,
	    .repeats = {.window_us = 10 * US_PER_S, .ratio = 0.2, .slack = 9},
	    .target_kept_ms = 60000,
	};
	const struct route from = {
	    .name = (char *)"r",
	    .host = (char *)"h",
	    .prefix = STR_LITERAL("/x"),
	    .max_attempts = 1,
	    .timeout_ms = 5000,
	    .objective_ms = 5000,
	};
	struct route *route;

	(void)signal(SIGPIPE, SIG_IGN); /* as the programs do */
	uv_loop_init(&loop);
	INVARIANT(flow_open(&loop, &settings, &dialect, &flow) == STATUS_OK,
	    "the entry opens");
	flow->routes = routes_new(1);
	INVARIANT(routes_add_service(flow->routes, "svc", "/health", 100) ==
		    STATUS_OK &&
		routes_add(flow->routes, &from, &route) == STATUS_OK &&
		routes_add_destination(flow->routes, route, "svc", 1) ==
		    STATUS_OK,
	    "the document is valid");
	flow->routes->limits = (struct request_limits){
	    .max_header_bytes = HEADER_MAX_BYTES,
	    .max_body_bytes = BODY_MAX_BYTES,
	    .header_timeout_ms = 60000,
	    .idle_timeout_ms = 60000,
	};
	flow->ready = true;
}

/*
 * Adds a caller that does not read; its end of the connection is *peer.
 */
static struct caller *
open_caller(int *peer)
{
	struct caller *caller = mem_calloc(1, sizeof(*caller));
	int send_bytes = SEND_BUFFER_BYTES;
	int pair[2];

	INVARIANT(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair) == 0,
	    "there is a pair of sockets");
	setsockopt(
	    pair[0], SOL_SOCKET, SO_SNDBUF, &send_bytes, sizeof(send_bytes));
	*peer = pair[1];
	caller->flow = flow;
	uv_tcp_init(&loop, &caller->tcp);
	caller->tcp.data = caller;
	caller->link.data = caller;
	caller->active_ms = caller->opened_ms = uv_now(&loop);
	http_parser_init(&caller->parser, HTTP_REQUEST);
	caller->parser.data = caller;
	g_queue_init(&caller->exchanges);
	g_queue_push_tail_link(&flow->callers, &caller->link);
	INVARIANT(uv_tcp_open(&caller->tcp, pair[0]) == 0, "the socket opens");
	INVARIANT(limit_admit(caller), "there is room for a caller");
	return caller;
}

static bool
is_open(void)
{
	return flow->callers.length > 0;
}

static void
run_loop(void)
{
	for (int i = 0; i < TURNS; i++)
		(void)uv_run(&loop, UV_RUN_NOWAIT);
}

static void
check_bounds(const struct caller *caller)
{
	INVARIANT(caller->exchanges.length <= PIPELINE_MAX &&
		caller->turn_requests <= PIPELINE_MAX,
	    "the requests sent ahead are bounded");
	INVARIANT(caller->unread <= flow->connections.unread_max +
		    (size_t)PIPELINE_MAX * ANSWER_MAX_BYTES,
	    "the unread answers are bounded");
	INVARIANT(caller->held.len <= PIECE_BYTES,
	    "no more input is held than was read at once");
}

/*
 * Passes on what was read, as the callback of the connection does.
 */
static void
feed(struct caller *caller, const char *data, size_t len)
{
	caller->turn_requests = 0;
	caller_parse(caller, data, len);
	if (caller->closing)
		return;
	if (caller->exchanges.length >= limit_ahead_max(caller))
		caller->paused = true;
	caller_flush(caller);
}

/*
 * Returns requests that are answered at once, as many as the first byte of the
 * input says, and the input over and over.
 */
static struct str_buf
make_sent(const uint8_t *data, size_t len)
{
	struct str_buf sent = {0};

	for (unsigned i = 0; i < data[0]; i++)
		str_buf_append_c(&sent, ahead);
	while (sent.len < SENT_BYTES)
		str_buf_append(&sent, str_of((const char *)data, len));
	return sent;
}

/*
 * Reads the answers that there are.
 */
static void
read_answers(int peer)
{
	char bytes[PIECE_BYTES];

	while (recv(peer, bytes, sizeof(bytes), 0) > 0)
		run_loop();
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct str_buf sent;
	struct caller *caller;
	size_t at = 0;
	int peer;

	if (len == 0 || len > INPUT_MAX_BYTES)
		return 0;
	if (flow == NULL)
		open_flow();
	sent = make_sent(data, len);
	caller = open_caller(&peer);
	while (at < sent.len && is_open() && !caller->paused &&
	    !caller->no_more_requests) {
		size_t n =
		    sent.len - at < PIECE_BYTES ? sent.len - at : PIECE_BYTES;

		feed(caller, sent.data + at, n);
		at += n;
		if (is_open())
			check_bounds(caller);
		/* Every other caller reads nothing. */
		if ((data[len - 1] & 1) != 0)
			read_answers(peer);
		run_loop();
		if (is_open())
			check_bounds(caller);
	}
	if (is_open())
		caller_close(caller);
	close(peer);
	for (unsigned i = 0; i < TURNS || flow->closing_exchanges > 0; i++)
		(void)uv_run(&loop, UV_RUN_NOWAIT);
	INVARIANT(flow->connections.held == 0 && flow->turns.length == 0,
	    "a closed connection holds nothing");
	INVARIANT(flow->memory.used[MEMORY_INPUT] == 0,
	    "the input of a closed connection is not counted");
	INVARIANT(g_hash_table_size(flow->share.counts) == 0,
	    "a closed connection has no share");
	str_buf_free(&sent);
	return 0;
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	size_t count = sizeof(seed_texts) / sizeof(seed_texts[0]);

	for (size_t i = 0; i < count && i < max; i++)
		seeds[i] = (struct fuzz_seed){
		    (const uint8_t *)seed_texts[i], strlen(seed_texts[i])};
	return count < max ? count : max;
}
