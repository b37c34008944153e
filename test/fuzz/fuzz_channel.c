/*
 * Fuzz target for the frames of peers on the own link that read few of the
 * answers.  Guards against output beyond the bound of a channel, against input
 * that is processed while the peer does not read, and against channels that are
 * not closed.
 */
#include "mutate.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/invariant.h"
#include "base/logger.h"
#include "base/random.h"
#include "net/channel_internal.h"

enum {
	MEMORY_BYTES = 8 << 20,
	CHANNELS_MAX = 4,
	UNREAD_MAX_BYTES = 1 << 20, /* the least that the bound can be */
	INPUT_MAX_BYTES = 16 << 10,
	SENT_BYTES = 6 << 10, /* the input over and over */
	ANSWER_BYTES = 2 << 10,
	SEND_BUFFER_BYTES = 4
	    << 10, /* of the channel; its peer receives as little */
	PORT_FIRST = 33100,
	PORT_LAST = 33900,
	TURNS = 4 /* iterations of the loop after a part of the input */
};

static const uint8_t fetch[] = {0, 0, 0, 2, 0x7a, 0}; /* frame 15, empty */
static const uint8_t hello[] = "\0\0\0\x09\x12\x07\x12\x05"
			       "crowd";
static const uint8_t long_frame[] = {0, 0, 0x40, 0, 0x12, 0x7a, 0, 1};
static const uint8_t deflated[] = {
    0x80, 0, 0, 14, 0, 0, 0, 2, 0x78, 0x9c, 0xab, 0x62, 0, 0, 0, 0xf8, 0, 0x7b};

static uv_loop_t loop;
static uint8_t text[ANSWER_BYTES]; /* random: frames are deflated */
static struct channel_listener *listener;
static struct sockaddr_in address;
static unsigned opened;
static unsigned closed;

static void
on_opened(void *ctx ATTR_UNUSED, struct channel *channel)
{
	int bytes = SEND_BUFFER_BYTES;

	/* The kernel's own takes all answers. */
	(void)uv_send_buffer_size((uv_handle_t *)channel->tcp, &bytes);
	opened++;
}

static void
on_closed(void *ctx ATTR_UNUSED, struct channel *channel ATTR_UNUSED,
    const char *reason ATTR_UNUSED)
{
	closed++;
}

/*
 * Answers each frame with a longer one.
 */
static void
on_message(void *ctx ATTR_UNUSED, struct channel *channel,
    const Fleet__Frame *received ATTR_UNUSED)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Document document = FLEET__DOCUMENT__INIT;

	INVARIANT(uv_stream_get_write_queue_size((uv_stream_t *)channel->tcp) <=
		UNREAD_MAX_BYTES,
	    "no frame is processed while too much is unread");
	document.index = document.version = 1;
	document.text.data = text;
	document.text.len = sizeof(text);
	frame.body_case = FLEET__FRAME__BODY_DOCUMENT;
	frame.document = &document;
	channel_send(channel, &frame);
}

static void
open_listener(void)
{
	const struct channel_callbacks callbacks = {
	    .opened = on_opened, .message = on_message, .closed = on_closed};
	char at[ADDRESS_BYTES];
	struct random random;

	random_seed(&random, 1);
	for (size_t i = 0; i < sizeof(text); i++)
		text[i] = (uint8_t)random_below(&random, 256);
	(void)signal(SIGPIPE, SIG_IGN); /* as the programs do */
	uv_loop_init(&loop);
	channel_set_limits("fuzz", MEMORY_BYTES, CHANNELS_MAX, 0);
	for (unsigned port = PORT_FIRST; listener == NULL && port < PORT_LAST;
	     port++) {
		snprintf(at, sizeof(at), "127.0.7.249:%u", port);
		listener = channel_listen(&loop, at, &callbacks);
		address = (struct sockaddr_in){
		    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	}
	INVARIANT(listener != NULL, "there is a free port");
	inet_pton(AF_INET, "127.0.7.249", &address.sin_addr);
}

static int
connect_peer(void)
{
	const struct linger reset = {.l_onoff = 1}; /* leaves no TIME_WAIT */
	int bytes = SEND_BUFFER_BYTES;
	int peer = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	setsockopt(peer, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	INVARIANT(
	    connect(peer, (struct sockaddr *)&address, sizeof(address)) == 0,
	    "the listener accepts");
	return peer;
}

static void
run_loop(void)
{
	for (int i = 0; i < TURNS; i++)
		(void)uv_run(&loop, UV_RUN_NOWAIT);
}

/*
 * Sends the input over and over until it is not taken any more.
 */
static void
send_input(int peer, const uint8_t *data, size_t len)
{
	static uint8_t bytes[SENT_BYTES];
	char answer[SENT_BYTES];
	size_t sent = 0;
	ssize_t n = 1;

	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = data[i % len];
	while (sent < sizeof(bytes) && n > 0) {
		n = send(peer, bytes + sent, sizeof(bytes) - sent,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
		run_loop();
		/* Every other peer reads nothing. */
		if ((data[len - 1] & 1) != 0)
			(void)!recv(peer, answer, sizeof(answer), MSG_DONTWAIT);
		sent += n > 0 ? (size_t)n : 0;
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	unsigned before;
	int peer;

	if (len == 0 || len > INPUT_MAX_BYTES)
		return 0;
	if (listener == NULL)
		open_listener();
	before = opened;
	peer = connect_peer();
	while (opened == before)
		(void)uv_run(&loop, UV_RUN_ONCE);
	send_input(peer, data, len);
	close(peer);
	/* It is not read on while paused; then its output can't be written. */
	while (closed < opened)
		(void)uv_run(&loop, UV_RUN_ONCE);
	return 0;
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	const struct fuzz_seed all[] = {
	    {fetch, sizeof(fetch)},
	    {hello, sizeof(hello) - 1},
	    {long_frame, sizeof(long_frame)},
	    {deflated, sizeof(deflated)},
	};
	size_t count = sizeof(all) / sizeof(all[0]);

	/* Each input may close a channel, which is logged. */
	(void)logger_open("fuzz_channel", "error", NULL);
	for (size_t i = 0; i < count && i < max; i++)
		seeds[i] = all[i];
	return count < max ? count : max;
}
