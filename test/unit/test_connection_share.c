/*
 * The share of one address in the connections of a listener, at the decision
 * and at the own link.  Guards against one address that takes them all from
 * others, and against a limit for callers behind one address in ordinary use.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/connection_share.h"
#include "net/channel_internal.h"

enum {
	CONNECTIONS = 9,
	LONG_MS = 1500 /* after which a silent channel may be replaced */
};

static void
add(struct connection_share *share, uint64_t key, unsigned count)
{
	for (unsigned i = 0; i < count; i++)
		connection_share_add(share, key);
}

static void
one_address_alone_may_have_all(void **state ATTR_UNUSED)
{
	struct connection_share share;

	connection_share_open(&share, CONNECTIONS, 0);
	add(&share, 1, CONNECTIONS);
	assert_int_equal(connection_share_max(&share), CONNECTIONS);
	assert_int_equal(connection_share_excess(&share, 1), 0);
	/* More than all of them is the listener's own rule. */
	add(&share, 1, 1);
	assert_int_equal(connection_share_excess(&share, 1), 0);
	connection_share_close(&share);
}

static void
half_while_another_address_is_connected(void **state ATTR_UNUSED)
{
	struct connection_share share;

	connection_share_open(&share, CONNECTIONS, 0);
	add(&share, 1, CONNECTIONS - 1);
	add(&share, 2, 1);
	assert_int_equal(connection_share_max(&share), CONNECTIONS / 2);
	assert_int_equal(connection_share_excess(&share, 1), 4);
	assert_int_equal(connection_share_excess(&share, 2), 0);
	connection_share_remove(&share, 2);
	assert_int_equal(connection_share_excess(&share, 1), 0);
	/* One that was not counted changes nothing. */
	connection_share_remove(&share, 3);
	assert_int_equal(connection_share_max(&share), CONNECTIONS);
	connection_share_close(&share);
}

static void
setting_applies_to_an_address_alone(void **state ATTR_UNUSED)
{
	struct connection_share share;

	connection_share_open(&share, CONNECTIONS, 2);
	add(&share, 1, 3);
	assert_int_equal(connection_share_excess(&share, 1), 1);
	connection_share_set(&share, CONNECTIONS, 2 * CONNECTIONS);
	assert_int_equal(connection_share_max(&share), CONNECTIONS);
	connection_share_set(&share, 1, 0);
	add(&share, 2, 1);
	assert_int_equal(connection_share_max(&share), 1);
	connection_share_close(&share);
}

static uint64_t
key_of(const char *text)
{
	struct sockaddr_in6 six = {.sin6_family = AF_INET6};
	struct sockaddr_in four = {.sin_family = AF_INET};

	if (inet_pton(AF_INET, text, &four.sin_addr) == 1)
		return connection_share_key((struct sockaddr *)&four);
	assert_int_equal(inet_pton(AF_INET6, text, &six.sin6_addr), 1);
	return connection_share_key((struct sockaddr *)&six);
}

static void
network_of_an_ipv6_address_is_one(void **state ATTR_UNUSED)
{
	assert_int_equal(key_of("10.0.0.1"), key_of("::ffff:10.0.0.1"));
	assert_int_not_equal(key_of("10.0.0.1"), key_of("10.0.0.2"));
	assert_int_equal(key_of("2001:db8::1"), key_of("2001:db8::ffff:2"));
	assert_int_not_equal(key_of("2001:db8::1"), key_of("2001:db8:0:1::1"));
	/* Both begin with the same four bytes. */
	assert_int_not_equal(key_of("2001:db8::1"), key_of("32.1.13.184"));
}

/* Accepted channels that have no socket. */
struct channels {
	uv_loop_t loop;
	struct channel of[CONNECTIONS + 1];
};

/*
 * Adds a channel from 10.0.0.<last>; returns whether it was accepted.
 */
static bool
add_channel(struct channels *channels, unsigned i, uint8_t last, bool served)
{
	struct channel *channel = &channels->of[i];

	channel->loop = &channels->loop;
	channel->closing = true; /* its memory is the test's */
	channel->peer.sin_family = AF_INET;
	channel->peer.sin_addr.s_addr = htonl(0x0a000000U + last);
	channel->served = served;
	return channel_limit_add(channel);
}

static void
peers_of_one_address_leave_room_on_the_link(void **state ATTR_UNUSED)
{
	struct channels channels = {0};

	uv_loop_init(&channels.loop);
	channel_set_limits("i-1", 32 << 20, CONNECTIONS, 0);
	assert_true(add_channel(&channels, 0, 2, true));
	for (unsigned i = 1; i <= CONNECTIONS / 2; i++)
		assert_true(add_channel(&channels, i, 1, i > 2));
	/* Nobody is silent for long, and nobody else is displaced. */
	assert_false(add_channel(&channels, CONNECTIONS - 1, 1, true));
	assert_true(add_channel(&channels, 5, 3, true));
	/* The oldest silent one of this address goes. */
	channels.of[1].opened_ms -= LONG_MS;
	channels.of[2].opened_ms -= LONG_MS - 1;
	assert_true(add_channel(&channels, CONNECTIONS, 1, true));
	assert_false(channels.of[1].counted);
	assert_true(channels.of[2].counted);
	for (unsigned i = 0; i <= CONNECTIONS; i++)
		channel_limit_remove(&channels.of[i]);
	uv_loop_close(&channels.loop);
}

/*
 * After a pause of the process all new channels seem to be silent for long,
 * although their frames wait in the socket.
 */
static void
peer_whose_frame_is_not_read_yet_is_not_silent(void **state ATTR_UNUSED)
{
	struct channels channels = {0};
	uv_tcp_t tcp;
	int pair[2];

	uv_loop_init(&channels.loop);
	uv_tcp_init(&channels.loop, &tcp);
	assert_int_equal(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), 0);
	assert_int_equal(uv_tcp_open(&tcp, pair[0]), 0);
	channel_set_limits("i-1", 32 << 20, 1, 0);
	assert_true(add_channel(&channels, 0, 1, false));
	channels.of[0].tcp = &tcp;
	channels.of[0].opened_ms -= LONG_MS;
	assert_int_equal(write(pair[1], "x", 1), 1);
	assert_false(add_channel(&channels, 1, 2, false));
	assert_true(channels.of[0].counted);
	channels.of[0].tcp = NULL;
	channel_limit_remove(&channels.of[0]);
	uv_close((uv_handle_t *)&tcp, NULL);
	close(pair[1]);
	(void)uv_run(&channels.loop, UV_RUN_DEFAULT);
	uv_loop_close(&channels.loop);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(one_address_alone_may_have_all),
	    cmocka_unit_test(half_while_another_address_is_connected),
	    cmocka_unit_test(setting_applies_to_an_address_alone),
	    cmocka_unit_test(network_of_an_ipv6_address_is_one),
	    cmocka_unit_test(peers_of_one_address_leave_room_on_the_link),
	    cmocka_unit_test(peer_whose_frame_is_not_read_yet_is_not_silent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
