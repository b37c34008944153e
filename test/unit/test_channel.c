/*
 * Channels between processes on a loop: frames small and deflated arrive
 * whole and in order, and bytes that are none end the connection.
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
	GUARD_MS = 20000 /* only against a hang */
};

struct bed {
	uv_loop_t loop;
	uv_timer_t guard;
	struct channel_listener *listener;
	struct channel *client;
	struct channel *accepted;
	char address[ADDRESS_BYTES];
	unsigned messages;
	size_t text_bytes;
	bool closed;
	bool hung;
};

static void
on_guard(uv_timer_t *timer)
{
	struct bed *bed = timer->data;

	bed->hung = true;
	uv_stop(&bed->loop);
}

static void
on_accepted(void *ctx, struct channel *channel)
{
	struct bed *bed = ctx;

	bed->accepted = channel;
}

static void
on_message(
    void *ctx, struct channel *channel ATTR_UNUSED, const Fleet__Frame *frame)
{
	struct bed *bed = ctx;

	bed->messages++;
	if (frame->body_case == FLEET__FRAME__BODY_DOCUMENT) {
		bed->text_bytes = frame->document->text.len;
		for (size_t i = 0; i < bed->text_bytes; i++)
			assert_int_equal(
			    frame->document->text.data[i], (uint8_t)(i / 7));
	}
	if (frame->body_case == FLEET__FRAME__BODY_SYNCED)
		uv_stop(&bed->loop);
}

static void
on_closed(void *ctx, struct channel *channel ATTR_UNUSED,
    const char *reason ATTR_UNUSED)
{
	struct bed *bed = ctx;

	bed->closed = true;
	bed->accepted = NULL;
	uv_stop(&bed->loop);
}

static void
send_all(void *ctx ATTR_UNUSED, struct channel *channel)
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
open_bed(struct bed *bed)
{
	const struct channel_callbacks callbacks = {
	    .ctx = bed,
	    .opened = on_accepted,
	    .message = on_message,
	    .closed = on_closed,
	};

	memset(bed, 0, sizeof(*bed));
	uv_loop_init(&bed->loop);
	uv_timer_init(&bed->loop, &bed->guard);
	bed->guard.data = bed;
	uv_timer_start(&bed->guard, on_guard, GUARD_MS, 0);
	for (unsigned port = 21000; bed->listener == NULL && port < 21400;
	     port++) {
		snprintf(
		    bed->address, sizeof(bed->address), "127.0.7.250:%u", port);
		bed->listener =
		    channel_listen(&bed->loop, bed->address, &callbacks);
	}
	assert_non_null(bed->listener);
}

static void
close_bed(struct bed *bed)
{
	channel_listener_close(bed->listener);
	channel_close(bed->client);
	channel_close(bed->accepted);
	uv_close((uv_handle_t *)&bed->guard, NULL);
	uv_run(&bed->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&bed->loop), 0);
}

static void
frames_arrive_whole_and_in_order(void **state ATTR_UNUSED)
{
	struct bed bed;
	const struct channel_callbacks callbacks = {
	    .opened = send_all, .message = on_message};

	open_bed(&bed);
	bed.client = channel_dial(&bed.loop, bed.address, &callbacks);
	uv_run(&bed.loop, UV_RUN_DEFAULT);
	assert_false(bed.hung);
	assert_int_equal(bed.messages, 5);
	assert_int_equal(bed.text_bytes, TEXT_BYTES);
	close_bed(&bed);
}

static void
assert_refused(const char *bytes, size_t len)
{
	struct bed bed;
	struct sockaddr_in to;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	open_bed(&bed);
	assert_true(address_parse(bed.address, &to));
	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	assert_int_equal(write(fd, bytes, len), (ssize_t)len);
	uv_run(&bed.loop, UV_RUN_DEFAULT);
	assert_false(bed.hung);
	assert_true(bed.closed);
	assert_int_equal(bed.messages, 0);
	(void)close(fd);
	close_bed(&bed);
}

static void
bytes_that_are_no_frame_end_the_connection(void **state ATTR_UNUSED)
{
	static const char too_long[] = {0x7f, 0, 0, 0, 1};
	static const char unreadable[] = {0, 0, 0, 2, (char)0xff, (char)0xff};
	static const char deflated[] = {
	    (char)0x80, 0, 0, 6, 0, 0, 0, 9, 'x', 'y'};
	static const char huge[] = {(char)0x80, 0, 0, 5, 0x7f, 0, 0, 0, 'x'};

	assert_refused(too_long, sizeof(too_long));
	assert_refused(unreadable, sizeof(unreadable));
	assert_refused(deflated, sizeof(deflated));
	assert_refused(huge, sizeof(huge));
}

/*
 * Deflates a run of frames into one frame; returns its bytes.
 */
static size_t
deflate_run(const uint8_t *run, size_t len, uint8_t *out, size_t max)
{
	uLongf deflated = (uLongf)(max - 8);
	size_t body;

	assert_int_equal(compress(out + 8, &deflated, run, len), Z_OK);
	body = 4 + deflated;
	for (int i = 0; i < 4; i++) {
		out[i] = (uint8_t)(body >> (24 - 8 * i));
		out[4 + i] = (uint8_t)(len >> (24 - 8 * i));
	}
	out[0] |= 0x80;
	return 4 + body;
}

static void
a_run_within_a_run_ends_the_connection(void **state ATTR_UNUSED)
{
	/* Taken as deep as it went before: a few hundred kilobytes of it. */
	static uint8_t run[2][4096];
	size_t len = 4;

	memset(run[0], 0, 4);
	for (int depth = 0; depth < 2; depth++)
		len = deflate_run(
		    run[depth % 2], len, run[(depth + 1) % 2], sizeof(run[0]));
	assert_refused((const char *)run[0], len);
}

static void
a_dial_without_an_answer_is_tried_anew_soon(void **state ATTR_UNUSED)
{
	/*
	 * All instances lose power and come back within a second of each
	 * other: who was first dialled hosts that were still dark, and waited
	 * a second for each.
	 */
	unsigned sum = 0;

	for (unsigned i = 0; i < 3; i++)
		sum += channel_connect_timeout_ms(i);
	assert_true(sum > 0 && sum <= 600);
	/* A path between regions, 35 ms one way, is answered in time. */
	assert_true(channel_connect_timeout_ms(1) > 2 * 35);
	assert_int_equal(channel_connect_timeout_ms(1000), 1000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(frames_arrive_whole_and_in_order),
	    cmocka_unit_test(bytes_that_are_no_frame_end_the_connection),
	    cmocka_unit_test(a_run_within_a_run_ends_the_connection),
	    cmocka_unit_test(a_dial_without_an_answer_is_tried_anew_soon),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
