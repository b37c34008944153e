/*
 * Connections that are shut down while others wait for a thread.  Guards
 * against a server whose threads are all held by callers that read nothing or
 * send nothing, and against shutting down a request that runs.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/connection_guard.h"

enum {
	THREADS = 2,
	PAIRS = 3,
	WAIT_MS = 20 * 1000, /* only guards against a hang */
	QUIET_MS = 3000 /* silent connections are shut down after 1 s */
};

/* A server that serves THREADS of its connections. */
struct server {
	struct connection_guard *guard;
	struct sockaddr_in address;
	int listener;
	int accepted[PAIRS];
	int callers[PAIRS];
};

static void
open_server(struct server *server)
{
	socklen_t len = sizeof(server->address);

	*server = (struct server){
	    .guard = connection_guard_new(&(struct connection_guard_settings){
		.instance = "i-1",
		.what = "test",
		.threads = THREADS,
	    }),
	    .address = {.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK)},
	    .listener = socket(AF_INET, SOCK_STREAM, 0),
	};
	assert_int_equal(
	    bind(server->listener, (struct sockaddr *)&server->address, len),
	    0);
	assert_int_equal(listen(server->listener, PAIRS), 0);
	assert_int_equal(getsockname(server->listener,
			     (struct sockaddr *)&server->address, &len),
	    0);
}

/*
 * Connects and accepts another caller, from an address in host order.
 */
static void
connect_caller_from(struct server *server, unsigned i, uint32_t ip)
{
	const struct sockaddr_in from = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(ip)};

	server->callers[i] = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(server->callers[i],
			     (const struct sockaddr *)&from, sizeof(from)),
	    0);
	assert_int_equal(
	    connect(server->callers[i], (struct sockaddr *)&server->address,
		sizeof(server->address)),
	    0);
	server->accepted[i] = accept(server->listener, NULL, NULL);
	assert_true(server->accepted[i] >= 0);
}

static void
connect_caller(struct server *server, unsigned i)
{
	connect_caller_from(server, i, INADDR_LOOPBACK);
}

static void
start_guard(struct server *server)
{
	connection_guard_serve(server->guard, THREADS);
	connection_guard_start(server->guard, ntohs(server->address.sin_port));
}

static void
close_server(struct server *server)
{
	connection_guard_free(server->guard);
	for (unsigned i = 0; i < PAIRS; i++) {
		close(server->accepted[i]);
		close(server->callers[i]);
	}
	close(server->listener);
}

/*
 * Returns whether the thread that serves a connection would see its end within
 * wait_ms milliseconds.
 */
static bool
is_shut(const struct server *server, unsigned i, int wait_ms)
{
	struct pollfd poll_fd = {
	    .fd = server->accepted[i], .events = POLLRDHUP};

	return poll(&poll_fd, 1, wait_ms) == 1;
}

/*
 * Fills a connection with output that its caller does not read.
 */
static void
fill(const struct server *server, unsigned i)
{
	static const char bytes[64 << 10];

	while (
	    send(server->accepted[i], bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
		;
}

/*
 * A burst of requests on connections of one address: the second one does not
 * run.  It may have another when the first is closed.
 */
static void
request_above_the_share_does_not_run(void **state ATTR_UNUSED)
{
	struct server server;

	open_server(&server);
	connect_caller(&server, 0);
	connect_caller_from(&server, 1, INADDR_LOOPBACK + 8);
	connect_caller_from(&server, 2, INADDR_LOOPBACK + 8);
	for (unsigned i = 0; i < PAIRS; i++)
		assert_int_equal(connection_guard_requested(
				     server.guard, server.accepted[i]),
		    i < 2);
	assert_true(is_shut(&server, 2, 0));
	assert_true(connection_guard_closing(server.guard, server.accepted[2]));
	close(server.accepted[2]);
	assert_false(
	    connection_guard_closing(server.guard, server.accepted[1]));
	close(server.callers[2]);
	connect_caller_from(&server, 2, INADDR_LOOPBACK + 8);
	assert_true(
	    connection_guard_requested(server.guard, server.accepted[2]));
	close_server(&server);
}

static void
oldest_silent_one_is_shut_for_one_that_waits(void **state ATTR_UNUSED)
{
	struct server server;

	open_server(&server);
	for (unsigned i = 0; i < PAIRS; i++)
		connect_caller(&server, i);
	/* A request that runs, with nothing to read or write. */
	connection_guard_requested(server.guard, server.accepted[0]);
	start_guard(&server);
	assert_true(is_shut(&server, 1, WAIT_MS));
	assert_false(is_shut(&server, 0, 0));
	assert_false(is_shut(&server, 2, 0));
	assert_true(connection_guard_closing(server.guard, server.accepted[1]));
	assert_false(
	    connection_guard_closing(server.guard, server.accepted[0]));
	close_server(&server);
}

/*
 * Guards against a connection that closes, of which the pool of lingering ones
 * has a duplicate, and that counts as one that waits for a thread.
 */
static void
duplicate_of_a_closing_one_does_not_wait(void **state ATTR_UNUSED)
{
	struct server server;
	int same;

	open_server(&server);
	for (unsigned i = 0; i < PAIRS; i++)
		connect_caller(&server, i);
	assert_false(
	    connection_guard_closing(server.guard, server.accepted[0]));
	same = dup(server.accepted[0]);
	assert_true(same >= 0);
	start_guard(&server);
	assert_false(is_shut(&server, 1, QUIET_MS));
	assert_false(is_shut(&server, 2, 0));
	close(same);
	close_server(&server);
}

static void
caller_that_reads_nothing_is_shut(void **state ATTR_UNUSED)
{
	struct server server;

	open_server(&server);
	for (unsigned i = 0; i < PAIRS; i++)
		connect_caller(&server, i);
	connection_guard_requested(server.guard, server.accepted[0]);
	assert_int_equal(send(server.callers[1], "GET", 3, 0), 3);
	connection_guard_requested(server.guard, server.accepted[2]);
	fill(&server, 2);
	start_guard(&server);
	assert_true(is_shut(&server, 2, WAIT_MS));
	assert_false(is_shut(&server, 0, 0));
	assert_false(is_shut(&server, 1, 0));
	close_server(&server);
}

/*
 * Connections that the server has not accepted wait, too; a request that waits
 * in the socket is not a silent caller.
 */
static void
waiting_at_the_listener_counts(void **state ATTR_UNUSED)
{
	struct server server;

	open_server(&server);
	connect_caller(&server, 0);
	connect_caller(&server, 1);
	assert_int_equal(send(server.callers[0], "GET", 3, 0), 3);
	server.accepted[2] = -1;
	server.callers[2] = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(
	    connect(server.callers[2], (struct sockaddr *)&server.address,
		sizeof(server.address)),
	    0);
	start_guard(&server);
	assert_true(is_shut(&server, 1, WAIT_MS));
	assert_false(is_shut(&server, 0, 0));
	close_server(&server);
}

/*
 * A descriptor that was closed and given to another socket: what was known of
 * the first one does not apply to the second.
 */
static void
descriptor_of_another_socket_is_not_shut(void **state ATTR_UNUSED)
{
	struct server server;
	int old;

	open_server(&server);
	for (unsigned i = 0; i < PAIRS; i++)
		connect_caller(&server, i);
	connection_guard_requested(server.guard, server.accepted[1]);
	connection_guard_requested(server.guard, server.accepted[2]);
	old = server.accepted[0];
	assert_false(connection_guard_closing(server.guard, old));
	close(old);
	close(server.callers[0]);
	connect_caller(&server, 0);
	assert_int_equal(server.accepted[0], old);
	start_guard(&server);
	/* It is a new one: neither closing nor with a request. */
	assert_true(is_shut(&server, 0, WAIT_MS));
	assert_false(is_shut(&server, 1, 0));
	close_server(&server);
}

/*
 * Two of 127.0.0.9 are above its share of one while another address is
 * connected.  Neither has sent a request that runs: the newer one is refused,
 * before it may.
 */
static void
address_above_its_share_is_refused(void **state ATTR_UNUSED)
{
	struct server server;

	open_server(&server);
	connect_caller(&server, 0);
	connect_caller_from(&server, 1, INADDR_LOOPBACK + 8);
	connect_caller_from(&server, 2, INADDR_LOOPBACK + 8);
	for (unsigned i = 1; i < PAIRS; i++)
		assert_int_equal(send(server.callers[i], "GET", 3, 0), 3);
	connection_guard_requested(server.guard, server.accepted[0]);
	start_guard(&server);
	assert_true(is_shut(&server, 2, WAIT_MS));
	assert_false(is_shut(&server, 0, 0));
	assert_false(is_shut(&server, 1, 0));
	assert_false(
	    connection_guard_requested(server.guard, server.accepted[2]));
	assert_true(
	    connection_guard_requested(server.guard, server.accepted[1]));
	close_server(&server);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(oldest_silent_one_is_shut_for_one_that_waits),
	    cmocka_unit_test(duplicate_of_a_closing_one_does_not_wait),
	    cmocka_unit_test(caller_that_reads_nothing_is_shut),
	    cmocka_unit_test(waiting_at_the_listener_counts),
	    cmocka_unit_test(descriptor_of_another_socket_is_not_shut),
	    cmocka_unit_test(address_above_its_share_is_refused),
	    cmocka_unit_test(request_above_the_share_does_not_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
