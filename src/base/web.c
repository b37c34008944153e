#include "base/web.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "base/memory.h"

enum {
	THREAD_STACK_BYTES = 256 * 1024,
	NUMBER_BYTES = 24,
	READ_BYTES = 8192,
	DESCRIPTORS_MAX = 65536
};

struct web_server {
	struct web_settings settings;
	struct mg_context *context;
	uint16_t port;
};

/*
 * Returns the server of a connection.
 */
static struct web_server *
get_server(const struct mg_connection *conn)
{
	return mg_get_user_data(mg_get_context(conn));
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

	return server->settings.serve(server->settings.ctx, conn);
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
	new_server->context = mg_start(&callbacks, new_server, options);
	if (new_server->context == NULL ||
	    mg_get_server_ports(new_server->context, 1, ports) != 1) {
		mem_free(new_server);
		return status_set(STATUS_IO,
		    "cannot listen on %s with %u "
		    "threads",
		    settings->address, settings->threads);
	}
	new_server->port = (uint16_t)ports[0].port;
	*server = new_server;
	return STATUS_OK;
}

/*
 * Stops the server, waits for its threads and frees it; NULL is allowed.
 */
void
web_stop(struct web_server *server)
{
	if (server == NULL)
		return;
	mg_stop(server->context);
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
 * Returns whether fd is a socket connected to the address and port of the
 * request's caller.
 */
static bool
peer_matches(int fd, const struct mg_request_info *info)
{
	struct sockaddr_storage peer = {0};
	socklen_t len = sizeof(peer);
	char text[INET6_ADDRSTRLEN] = "";
	uint16_t port = 0;

	if (getpeername(fd, (struct sockaddr *)&peer, &len) != 0)
		return false;
	if (peer.ss_family == AF_INET) {
		const struct sockaddr_in *in = (struct sockaddr_in *)&peer;

		port = ntohs(in->sin_port);
		inet_ntop(AF_INET, &in->sin_addr, text, sizeof(text));
	} else if (peer.ss_family == AF_INET6) {
		const struct sockaddr_in6 *in = (struct sockaddr_in6 *)&peer;

		port = ntohs(in->sin6_port);
		inet_ntop(AF_INET6, &in->sin6_addr, text, sizeof(text));
	}
	return port == info->remote_port &&
	    strcmp(text, info->remote_addr) == 0;
}

/*
 * Returns the descriptor of a request's connection, -1 when there is none.
 * CivetWeb does not expose it, so this searches for the socket whose peer is
 * the caller; done once for each connection.
 */
static int
find_descriptor(const struct mg_request_info *info)
{
	struct rlimit limit = {0};

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return -1;
	for (int fd = 3; (rlim_t)fd < limit.rlim_cur && fd < DESCRIPTORS_MAX;
	     fd++) {
		if (peer_matches(fd, info))
			return fd;
	}
	return -1;
}

/*
 * Returns whether the caller has closed its connection.  A half-closed
 * connection counts as closed, as in most HTTP implementations.
 */
bool
web_caller_disconnected(struct mg_connection *conn)
{
	/* A thread serves one connection at a time. */
	static _Thread_local int cached_fd = -1;
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct pollfd poll_fd = {.events = POLLRDHUP};

	if (cached_fd < 0 || !peer_matches(cached_fd, info))
		cached_fd = find_descriptor(info);
	if (cached_fd < 0)
		return false;
	poll_fd.fd = cached_fd;
	return poll(&poll_fd, 1, 0) == 1 &&
	    (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
