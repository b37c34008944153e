/*
 * Tests of channels between processes: plain and deflated frames arrive
 * complete and in order, and malformed input closes the connection.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <zlib.h>

#include "base/memory.h"
#include "net/address.h"
#include "net/channel.h"

enum {
	TEXT_BYTES = 200000,
	LITTLE_MEMORY_BYTES = 1 << 20, /* a quarter of it for all channels */
	INPUT_BYTES = 1 << 20,
	PIECE_BYTES = 16 << 10,
	WATCHDOG_MS = 20000 /* stops a hung test */
};

struct fixture {
	uv_loop_t loop;
	uv_timer_t watchdog;
	struct channel_listener *listener;
	struct channel *client;
	struct channel *accepted;
	char address[ADDRESS_BYTES];
	unsigned messages;
	size_t text_bytes;
	bool closed;
	bool timed_out;
};

static void
on_watchdog(uv_timer_t *timer)
{
	struct fixture *fixture = timer->data;

	fixture->timed_out = true;
	uv_stop(&fixture->loop);
}

static void
on_accepted(void *ctx, struct channel *channel)
{
	struct fixture *fixture = ctx;

	fixture->accepted = channel;
}

static void
on_message(
    void *ctx, struct channel *channel ATTR_UNUSED, const Fleet__Frame *frame)
{
	struct fixture *fixture = ctx;

	fixture->messages++;
	if (frame->body_case == FLEET__FRAME__BODY_DOCUMENT) {
		fixture->text_bytes = frame->document->text.len;
		for (size_t i = 0; i < fixture->text_bytes; i++)
			assert_int_equal(
			    frame->document->text.data[i], (uint8_t)(i / 7));
	}
	if (frame->body_case == FLEET__FRAME__BODY_SYNCED)
		uv_stop(&fixture->loop);
}

static void
on_closed(void *ctx, struct channel *channel ATTR_UNUSED,
    const char *reason ATTR_UNUSED)
{
	struct fixture *fixture = ctx;

	fixture->closed = true;
	fixture->accepted = NULL;
	uv_stop(&fixture->loop);
}

static void
send_frames(void *ctx ATTR_UNUSED, struct channel *channel)
{
	static uint8_t text[TEXT_BYTES];
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Document document = FLEET__DOCUMENT__INIT;
	Fleet__Synced synced = FLEET__SYNCED__INIT;
	struct str_buf batch = {0};
	struct packed_frame *packed;

	for (size_t i = 0; i < sizeof(text); i++)
		text[i] = (uint8_t)(i / 7);
	frame.body_case = FLEET__FRAME__BODY_DOCUMENT;
	frame.document = &document;
	channel_send(channel, &frame);
	document.text.data = text;
	document.text.len = sizeof(text);
	channel_send(channel, &frame);
	channel_batch_append(&batch, &frame);
	channel_batch_append(&batch, &frame);
	packed = channel_pack_batch(&batch);
	channel_send_packed(channel, packed);
	packed_frame_put(packed);
	str_buf_free(&batch);
	frame.body_case = FLEET__FRAME__BODY_SYNCED;
	frame.synced = &synced;
	channel_send(channel, &frame);
}

static void
fixture_open(struct fixture *fixture)
{
	const struct channel_callbacks callbacks = {
	    .ctx = fixture,
	    .opened = on_accepted,
	    .message = on_message,
	    .closed = on_closed,
	};

	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	uv_timer_init(&fixture->loop, &fixture->watchdog);
	fixture->watchdog.data = fixture;
	uv_timer_start(&fixture->watchdog, on_watchdog, WATCHDOG_MS, 0);
	for (unsigned port = 21000; fixture->listener == NULL && port < 21400;
	     port++) {
		snprintf(fixture->address, sizeof(fixture->address),
		    "127.0.7.250:%u", port);
		fixture->listener = channel_listen(
		    &fixture->loop, fixture->address, &callbacks);
	}
	assert_non_null(fixture->listener);
}

static void
fixture_close(struct fixture *fixture)
{
	channel_listener_close(fixture->listener);
	channel_close(fixture->client);
	channel_close(fixture->accepted);
	uv_close((uv_handle_t *)&fixture->watchdog, NULL);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&fixture->loop), 0);
}

static void
frames_arrive_complete_and_in_order(void **state ATTR_UNUSED)
{
	struct fixture fixture;
	const struct channel_callbacks callbacks = {
	    .opened = send_frames, .message = on_message};

	fixture_open(&fixture);
	fixture.client =
	    channel_dial(&fixture.loop, fixture.address, &callbacks);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	assert_false(fixture.timed_out);
	assert_int_equal(fixture.messages, 5);
	assert_int_equal(fixture.text_bytes, TEXT_BYTES);
	fixture_close(&fixture);
}

static void
assert_disconnects(const char *bytes, size_t len)
{
	struct fixture fixture;
	struct sockaddr_in to;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	fixture_open(&fixture);
	assert_true(address_parse(fixture.address, &to));
	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	assert_int_equal(write(fd, bytes, len), (ssize_t)len);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	assert_false(fixture.timed_out);
	assert_true(fixture.closed);
	assert_int_equal(fixture.messages, 0);
	(void)close(fd);
	fixture_close(&fixture);
}

static void
malformed_frames_close_the_connection(void **state ATTR_UNUSED)
{
	static const char too_long[] = {0x7f, 0, 0, 0, 1};
	static const char unreadable[] = {0, 0, 0, 2, (char)0xff, (char)0xff};
	static const char deflated[] = {
	    (char)0x80, 0, 0, 6, 0, 0, 0, 9, 'x', 'y'};
	static const char huge[] = {(char)0x80, 0, 0, 5, 0x7f, 0, 0, 0, 'x'};

	assert_disconnects(too_long, sizeof(too_long));
	assert_disconnects(unreadable, sizeof(unreadable));
	assert_disconnects(deflated, sizeof(deflated));
	assert_disconnects(huge, sizeof(huge));
}

static void
field_zero_closes_the_connection(void **state ATTR_UNUSED)
{
	/* Guards against a hello that can't be copied for other instances. */
	static const char in_frame[] = {0, 0, 0, 3, (char)0x80, 0, 0x0a};
	static const char in_hello[] = {
	    0, 0, 0, 5, 0x12, 3, (char)0x80, 0, 0x0a};

	assert_disconnects(in_frame, sizeof(in_frame));
	assert_disconnects(in_hello, sizeof(in_hello));
}

/*
 * Deflates a batch of frames into one frame; returns its size in bytes.
 */
static size_t
deflate_batch(const uint8_t *batch, size_t len, uint8_t *out, size_t max)
{
	uLongf deflated = (uLongf)(max - 8);
	size_t body;

	assert_int_equal(compress(out + 8, &deflated, batch, len), Z_OK);
	body = 4 + deflated;
	for (int i = 0; i < 4; i++) {
		out[i] = (uint8_t)(body >> (24 - 8 * i));
		out[4 + i] = (uint8_t)(len >> (24 - 8 * i));
	}
	out[0] |= 0x80;
	return 4 + body;
}

static void
nested_deflated_batch_closes_the_connection(void **state ATTR_UNUSED)
{
	/*
	 * Guards against inflating nested batches to any depth, which expands a
	 * few hundred kilobytes of input without limit.
	 */
	static uint8_t batch[2][4096];
	size_t len = 4;

	memset(batch[0], 0, 4);
	for (int depth = 0; depth < 2; depth++)
		len = deflate_batch(batch[depth % 2], len,
		    batch[(depth + 1) % 2], sizeof(batch[0]));
	assert_disconnects((const char *)batch[0], len);
}

static void
connect_timeouts_start_short_and_back_off(void **state ATTR_UNUSED)
{
	/*
	 * Guards against slow recovery after a power loss of all instances.
	 * They come back within a second of each other, and the first ones
	 * connected to hosts that were still down and waited 1 s for each.
	 */
	unsigned sum = 0;

	for (unsigned i = 0; i < 3; i++)
		sum += channel_connect_timeout_ms(i);
	assert_true(sum > 0 && sum <= 600);
	/* The second attempt reaches another region, 35 ms one way. */
	assert_true(channel_connect_timeout_ms(1) > 2 * 35);
	assert_int_equal(channel_connect_timeout_ms(1000), 1000);
}

/* Two accepted channels of one owner, which closes them together. */
struct pair {
	uv_loop_t loop;
	struct channel *channels[2];
	unsigned opened;
	unsigned closed;
};

static void
on_pair_opened(void *ctx, struct channel *channel)
{
	struct pair *pair = ctx;

	pair->channels[pair->opened++] = channel;
}

static void
on_pair_closed(
    void *ctx, struct channel *channel, const char *reason ATTR_UNUSED)
{
	struct pair *pair = ctx;

	pair->closed++;
	for (int i = 0; i < 2; i++) {
		struct channel *one = pair->channels[i];

		pair->channels[i] = NULL;
		if (one != channel)
			channel_close(one);
	}
}

static int
connect_raw(const char *address)
{
	struct sockaddr_in at;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(address_parse(address, &at));
	assert_int_equal(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	return fd;
}

/*
 * The input of one channel displaces another one, whose owner then closes the
 * first: not while libuv is about to read it.
 */
static void
channel_may_be_closed_while_it_makes_room(void **state ATTR_UNUSED)
{
	static const uint8_t bytes[INPUT_BYTES] = {0, 0xff, 0xff, 0xff};
	struct pair pair = {0};
	const struct channel_callbacks callbacks = {
	    .ctx = &pair, .opened = on_pair_opened, .closed = on_pair_closed};
	struct channel_listener *listener = NULL;
	char address[ADDRESS_BYTES];
	int peers[2];

	uv_loop_init(&pair.loop);
	channel_set_limits("-", LITTLE_MEMORY_BYTES, 2, 0);
	for (unsigned port = 21400; listener == NULL && port < 21800; port++) {
		snprintf(address, sizeof(address), "127.0.0.1:%u", port);
		listener = channel_listen(&pair.loop, address, &callbacks);
	}
	assert_non_null(listener);
	for (int i = 0; i < 2; i++)
		peers[i] = connect_raw(address);
	while (pair.opened < 2)
		(void)uv_run(&pair.loop, UV_RUN_ONCE);
	for (size_t at = 0; pair.closed == 0; at += PIECE_BYTES) {
		assert_true(at < sizeof(bytes));
		for (int i = 0; i < 2; i++)
			(void)send(peers[i], bytes + at, PIECE_BYTES,
			    MSG_DONTWAIT | MSG_NOSIGNAL);
		(void)uv_run(&pair.loop, UV_RUN_NOWAIT);
	}
	assert_int_equal(pair.closed, 1);
	channel_listener_close(listener);
	(void)uv_run(&pair.loop, UV_RUN_DEFAULT);
	for (int i = 0; i < 2; i++)
		close(peers[i]);
	assert_int_equal(uv_loop_close(&pair.loop), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(frames_arrive_complete_and_in_order),
	    cmocka_unit_test(malformed_frames_close_the_connection),
	    cmocka_unit_test(field_zero_closes_the_connection),
	    cmocka_unit_test(nested_deflated_batch_closes_the_connection),
	    cmocka_unit_test(connect_timeouts_start_short_and_back_off),
	    cmocka_unit_test(channel_may_be_closed_while_it_makes_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
