#include "base/web.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/connection_guard.h"
#include "base/linger.h"
#include "base/linger_pool.h"
#include "base/memory.h"
#include "base/signals.h"

enum {
	THREAD_STACK_BYTES = 256 * 1024,
	NUMBER_BYTES = 24,
	READ_BYTES = 8192,
	DESCRIPTORS_MAX = 65536,
	SEARCH_AHEAD = 16, /* descriptors */
	HTTP_UNAVAILABLE = 503
};

/*
 * A caller may read its last answer until then.
 */
static const uint64_t settled_us = LINGER_CLOSE_MAX_MS * US_PER_MS;

static const uint64_t linger_poll_us = 100 * US_PER_MS;

struct web_server {
	struct web_settings settings;
	struct mg_context *context;
	struct linger_pool *lingering;
	struct connection_guard *guard;
	uint16_t port;
};

/*
 * The connection that this thread serves: its descriptor, -1 until
 * served_descriptor() has found it, whether it was shut down before its first
 * request, and the time of the last answer.
 */
static _Thread_local int served_fd = -1;
static _Thread_local bool served_shut;
static _Thread_local uint64_t answered_us;

/*
 * Returns the server of a connection.
 */
static struct web_server *
get_server(const struct mg_connection *conn)
{
	return mg_get_user_data(mg_get_context(conn));
}

/*
 * Returns the port of a socket's address, 0 for other families.
 */
static int
address_port(const struct sockaddr_storage *address)
{
	if (address->ss_family == AF_INET)
		return ntohs(((const struct sockaddr_in *)address)->sin_port);
	if (address->ss_family == AF_INET6)
		return ntohs(((const struct sockaddr_in6 *)address)->sin6_port);
	return 0;
}

/*
 * Returns whether an address has this IP as text.
 */
static bool
address_has_ip(const struct sockaddr_storage *address, const char *ip)
{
	const void *bytes = address->ss_family == AF_INET
	    ? (const void *)&((const struct sockaddr_in *)address)->sin_addr
	    : &((const struct sockaddr_in6 *)address)->sin6_addr;
	char text[INET6_ADDRSTRLEN] = "";

	inet_ntop(address->ss_family, bytes, text, sizeof(text));
	return strcmp(text, ip) == 0;
}

/*
 * Returns whether fd is the connection of a request: a socket on the server's
 * port whose peer is the caller.
 */
static bool
is_connection(int fd, const struct mg_request_info *info)
{
	struct sockaddr_storage address = {0};
	socklen_t len = sizeof(address);

	if (getpeername(fd, (struct sockaddr *)&address, &len) != 0 ||
	    address_port(&address) != info->remote_port ||
	    !address_has_ip(&address, info->remote_addr))
		return false;
	len = sizeof(address);
	return getsockname(fd, (struct sockaddr *)&address, &len) == 0 &&
	    address_port(&address) == info->server_port;
}

/*
 * Returns the descriptor of a request's connection; -1 if there is none.
 * CivetWeb does not expose it, so this searches all descriptors, once for each
 * connection.  A new descriptor is the lowest free one, so the search starts
 * near the last one that was found.
 */
static int
find_descriptor(const struct mg_request_info *info)
{
	static atomic_int last_found = 3;
	struct rlimit limit = {0};
	int start = atomic_load(&last_found) + SEARCH_AHEAD;
	int fd;

	if (info == NULL || getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return -1;
	for (fd = start; fd >= 3 && !is_connection(fd, info); fd--)
		;
	if (fd < 3)
		for (fd = start + 1; !is_connection(fd, info); fd++) {
			if ((rlim_t)fd >= limit.rlim_cur ||
			    fd >= DESCRIPTORS_MAX)
				return -1;
		}
	atomic_store(&last_found, fd);
	return fd;
}

/*
 * Returns the descriptor of the connection that this thread serves; -1 if it
 * cannot be found, since the connection was reset before.
 */
static int
served_descriptor(const struct mg_connection *conn)
{
	if (served_fd < 0) {
		served_fd = find_descriptor(mg_get_request_info(conn));
		served_shut = !connection_guard_requested(
		    get_server(conn)->guard, served_fd);
	}
	return served_fd;
}

/*
 * Remembers that the connection was answered.
 */
static void
record_answer(const struct mg_connection *conn)
{
	(void)served_descriptor(conn);
	answered_us = clock_monotonic_us();
}

/*
 * Returns whether a connection has to stay open after its end: its caller may
 * not have the last answer yet, or may still send.  Once a caller has closed,
 * no input can cause a reset.
 */
static bool
must_linger(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
		return false;
	return n > 0 || socket_unacknowledged_bytes(fd) > 0 ||
	    clock_monotonic_us() - answered_us < settled_us;
}

/*
 * CivetWeb callback, on the serving thread, when it begins to serve a
 * connection.
 */
static int
init_connection(const struct mg_connection *conn, void **data ATTR_UNUSED)
{
	served_fd = -1;
	served_shut = false;
	connection_guard_serve(get_server(conn)->guard, 1);
	return 0;
}

/*
 * CivetWeb callback, on the serving thread, before it shuts down and closes a
 * connection.  If the pool is full, the connection is closed at once.
 */
static void
connection_close(const struct mg_connection *conn)
{
	struct web_server *server = get_server(conn);

	connection_guard_serve(server->guard, -1);
	if (!connection_guard_closing(server->guard, served_fd) &&
	    served_fd >= 0 && must_linger(served_fd))
		(void)linger_pool_add(server->lingering, served_fd);
	served_fd = -1;
}

/*
 * CivetWeb callback for each request: calls serve() of the settings.  A result
 * above 0, the HTTP status, indicates to CivetWeb that the request was
 * answered.
 */
static int
begin_request(struct mg_connection *conn)
{
	struct web_server *server = get_server(conn);
	int status;

	/* Before it runs: a request that runs long is not a silent caller. */
	(void)served_descriptor(conn);
	if (served_shut) {
		mg_disable_connection_keep_alive(conn);
		return HTTP_UNAVAILABLE;
	}
	status = server->settings.serve(server->settings.ctx, conn);
	record_answer(conn);
	return status;
}

/*
 * CivetWeb callback for a request it cannot parse: calls malformed() of the
 * settings and closes the connection.  Without malformed() returns 1, which
 * leaves the answer to CivetWeb.
 */
static int
http_error(
    struct mg_connection *conn, int status, const char *message ATTR_UNUSED)
{
	struct web_server *server = get_server(conn);

	if (server->settings.malformed == NULL)
		return 1;
	mg_disable_connection_keep_alive(conn);
	server->settings.malformed(server->settings.ctx, conn, status);
	record_answer(conn);
	return 0;
}

/*
 * CivetWeb callback at the start of each of its threads.
 */
static void *
init_thread(const struct mg_context *context, int type ATTR_UNUSED)
{
	struct web_server *server = mg_get_user_data(context);

	if (server->settings.thread_start != NULL)
		server->settings.thread_start(server->settings.ctx);
	return server;
}

/*
 * CivetWeb callback at the end of each of its threads.
 */
static void
exit_thread(const struct mg_context *context, int type ATTR_UNUSED,
    void *thread ATTR_UNUSED)
{
	struct web_server *server = mg_get_user_data(context);

	if (server->settings.thread_end != NULL)
		server->settings.thread_end(server->settings.ctx);
}

/*
 * CivetWeb callback for log messages: suppresses them, since CivetWeb would log
 * a line for each call.
 */
static int
log_message(const struct mg_connection *conn ATTR_UNUSED,
    const char *message ATTR_UNUSED)
{
	return 1;
}

/*
 * Sets a small default stack size for threads created from now on, since
 * CivetWeb creates many threads without setting their stack size.
 */
static void
set_default_stack_size(void)
{
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	pthread_setattr_default_np(&attr);
	pthread_attr_destroy(&attr);
}

/*
 * Starts a server.  Returns STATUS_IO when it cannot listen on the address.
 */
enum status
web_start(const struct web_settings *settings, struct web_server **server)
{
	struct web_server *new_server = mem_calloc(1, sizeof(*new_server));
	struct mg_callbacks callbacks = {
	    .begin_request = begin_request,
	    .http_error = http_error,
	    .init_connection = init_connection,
	    .connection_close = connection_close,
	    .init_thread = init_thread,
	    .exit_thread = exit_thread,
	    .log_message = log_message,
	};
	char threads[NUMBER_BYTES];
	char backlog[NUMBER_BYTES];
	char timeout[NUMBER_BYTES];
	char keep_alive[NUMBER_BYTES];
	const char *options[] = {"listening_ports", settings->address,
	    "num_threads", threads, "connection_queue", backlog,
	    "listen_backlog", backlog, "request_timeout_ms", timeout,
	    "keep_alive_timeout_ms", keep_alive, "enable_keep_alive", "yes",
	    "tcp_nodelay", "1", "enable_directory_listing", "no", "decode_url",
	    "no", NULL};
	struct mg_server_port ports[1];

	snprintf(threads, sizeof(threads), "%u", settings->threads);
	snprintf(backlog, sizeof(backlog), "%u", settings->backlog);
	snprintf(timeout, sizeof(timeout), "%llu",
	    (unsigned long long)settings->request_timeout_ms);
	snprintf(keep_alive, sizeof(keep_alive), "%llu",
	    (unsigned long long)settings->keep_alive_ms);
	set_default_stack_size();
	mg_init_library(0);
	new_server->settings = *settings;
	new_server->lingering = linger_pool_new(settings->threads);
	new_server->guard = connection_guard_new(&(
	    struct connection_guard_settings){
	    .instance = settings->instance != NULL ? settings->instance : "-",
	    .what = settings->what,
	    .threads = settings->threads,
	    .address_max = settings->address_max,
	});
	new_server->context = mg_start(&callbacks, new_server, options);
	if (new_server->context == NULL ||
	    mg_get_server_ports(new_server->context, 1, ports) != 1) {
		connection_guard_free(new_server->guard);
		linger_pool_free(new_server->lingering);
		mem_free(new_server);
		return status_set(STATUS_IO,
		    "cannot listen on %s with %u "
		    "threads",
		    settings->address, settings->threads);
	}
	new_server->port = (uint16_t)ports[0].port;
	connection_guard_start(new_server->guard, new_server->port);
	*server = new_server;
	return STATUS_OK;
}

/*
 * Stops the server and waits for its threads; connections may still linger.
 */
void
web_stop(struct web_server *server)
{
	mg_stop(server->context);
	server->context = NULL;
}

/*
 * Waits after web_stop() until the callers have their last answers, for max_us
 * at most.  Returns false on SIGTERM, which must be blocked.
 */
bool
web_wait_for_callers(
    const struct web_server *server, const sigset_t *set, uint64_t max_us)
{
	uint64_t until_us = clock_monotonic_us() + max_us;

	while (linger_pool_count(server->lingering) > 0 &&
	    clock_monotonic_us() < until_us) {
		if (signals_wait(set, linger_poll_us))
			return false;
	}
	return true;
}

/*
 * Stops a server that is not stopped yet and frees it; NULL is allowed.
 */
void
web_free(struct web_server *server)
{
	if (server == NULL)
		return;
	if (server->context != NULL)
		web_stop(server);
	connection_guard_free(server->guard);
	linger_pool_free(server->lingering);
	mem_free(server);
}

/*
 * Returns the port that the server listens on.
 */
uint16_t
web_port(const struct web_server *server)
{
	return server->port;
}

/*
 * Returns the reason phrase of an HTTP status, from CivetWeb's table.
 */
const char *
web_reason(int status)
{
	return mg_get_response_code_text(NULL, status);
}

/*
 * Returns whether a request has the method HEAD.  A request that could not be
 * parsed has no method.
 */
static bool
is_head_request(struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);

	return info != NULL && info->request_method != NULL &&
	    strcmp(info->request_method, "HEAD") == 0;
}

/*
 * Sends a complete response in one write; returns its HTTP status.  The body is
 * left out for HEAD.
 */
int
web_answer(struct mg_connection *conn, const struct web_reply *reply)
{
	struct str_buf out = {0};

	if (reply->close)
		mg_disable_connection_keep_alive(conn);
	str_buf_printf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n",
	    reply->status, web_reason(reply->status), reply->body.len);
	if (reply->content_type != NULL)
		str_buf_printf(
		    &out, "Content-Type: %s\r\n", reply->content_type);
	if (reply->close)
		str_buf_append_c(&out, "Connection: close\r\n");
	if (reply->headers != NULL)
		str_buf_append_c(&out, reply->headers);
	str_buf_append_c(&out, "\r\n");
	if (!is_head_request(conn))
		str_buf_append(&out, reply->body);
	mg_write(conn, out.data, out.len);
	str_buf_free(&out);
	return reply->status;
}

/*
 * Returns the value of a request header; empty when it is missing.  The name is
 * case-insensitive.
 */
struct str
web_header(const struct mg_connection *conn, const char *name)
{
	const char *value = mg_get_header(conn, name);

	return value != NULL ? str_from(value) : (struct str){0};
}

/*
 * Reads the whole body of a request.  Returns STATUS_FULL when it is over max
 * bytes and STATUS_IO when the caller closed the connection early.
 */
enum status
web_read_body(struct mg_connection *conn, size_t max, struct str_buf *out)
{
	long long length = mg_get_request_info(conn)->content_length;
	char chunk[READ_BYTES];
	int got;

	if (length > 0 && (unsigned long long)length > max)
		return status_set(
		    STATUS_FULL, "body of %lld bytes is over %zu", length, max);
	while ((got = mg_read(conn, chunk, sizeof(chunk))) > 0) {
		if (out->len + (size_t)got > max)
			return status_set(
			    STATUS_FULL, "body is over %zu bytes", max);
		str_buf_append(out, str_of(chunk, (size_t)got));
	}
	if (got < 0 || (length > 0 && out->len < (size_t)length))
		return status_set(STATUS_IO, "the body broke off");
	return STATUS_OK;
}

/*
 * Returns whether the caller has closed its connection.  A half-closed
 * connection counts as closed, as in most HTTP implementations.
 */
bool
web_caller_disconnected(struct mg_connection *conn)
{
	struct pollfd poll_fd = {
	    .fd = served_descriptor(conn),
	    .events = POLLRDHUP,
	};

	return poll_fd.fd >= 0 && poll(&poll_fd, 1, 0) == 1 &&
	    (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
