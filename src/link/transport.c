#include "link/transport.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <zmq.h>

#include "base/counter.h"
#include "base/memory.h"
#include "link/allowlist.h"
#include "wire/codec.h"

enum {
	QUEUE_MAX_MESSAGES = 10000,
	ENDPOINT_BYTES = 96,
	MESSAGE_MAX_BYTES = 64 << 20,
	RECONNECT_MS = 50,
	RECONNECT_MAX_MS = 1000,
	KEEPALIVE_MS = 2000
};

struct transport {
	void *context;
	struct allowlist *allowlist; /* NULL without encryption */
	bool encrypted;
	struct transport_keys keys;
	struct transport_keys control; /* public half only */
};

static pthread_once_t counters_once = PTHREAD_ONCE_INIT;
static struct counter *sent_bytes;
static struct counter *received_bytes;
static struct counter *dropped;

/*
 * Registers the counters shared by all transports of the process.
 */
static void
register_counters(void)
{
	sent_bytes =
	    counter_register(COUNTER_TOTAL, "gypsummill_link_sent_bytes_total",
		"Payload sent to other processes (bytes)", NULL);
	received_bytes = counter_register(COUNTER_TOTAL,
	    "gypsummill_link_received_bytes_total",
	    "Payload received from other processes (bytes)", NULL);
	dropped = counter_register(COUNTER_TOTAL,
	    "gypsummill_link_dropped_total",
	    "Messages dropped because the peer was unreachable or slow (count)",
	    NULL);
}

/*
 * Reads this process's key pair and control's public key, and starts the
 * allowlist.  On failure the status message names the file.
 */
static enum status
load_keys(struct transport *transport, const char *folder, const char *name)
{
	enum status status =
	    transport_keys_read(folder, name, true, &transport->keys);

	if (status != STATUS_OK)
		return status;
	status = transport_keys_read(
	    folder, TRANSPORT_CONTROL_KEY, false, &transport->control);
	if (status != STATUS_OK)
		return status;
	transport->encrypted = true;
	return allowlist_open(
	    transport->context, folder, &transport->allowlist);
}

/*
 * Opens a process's transport with the key pair "name" from a folder.  A NULL
 * or empty folder disables encryption (tests on loopback).
 */
enum status
transport_open(
    const char *folder, const char *name, struct transport **transport)
{
	struct transport *t = mem_calloc(1, sizeof(*t));
	enum status status = STATUS_OK;

	pthread_once(&counters_once, register_counters);
	t->context = zmq_ctx_new();
	if (folder != NULL && folder[0] != '\0')
		status = load_keys(t, folder, name);
	if (status != STATUS_OK) {
		transport_close(t);
		return status;
	}
	*transport = t;
	return STATUS_OK;
}

/*
 * Closes the transport.  Its sockets must have been closed already.
 */
void
transport_close(struct transport *transport)
{
	if (transport == NULL)
		return;
	zmq_ctx_shutdown(transport->context);
	allowlist_close(transport->allowlist);
	zmq_ctx_term(transport->context);
	mem_free(transport);
}

/*
 * Sets an integer socket option.  Errors are ignored, as the options and
 * values are constants of this file.
 */
static void
set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

/*
 * Returns a socket with the options common to all sockets, or NULL when the
 * context is out of sockets.
 */
static void *
new_socket(struct transport *transport, int type)
{
	void *socket = zmq_socket(transport->context, type);

	if (socket == NULL)
		return NULL;
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, QUEUE_MAX_MESSAGES);
	set_int(socket, ZMQ_RCVHWM, QUEUE_MAX_MESSAGES);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int(socket, ZMQ_HEARTBEAT_IVL, KEEPALIVE_MS);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, 2 * KEEPALIVE_MS);
	set_int(socket, ZMQ_IPV6, 1);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &(int64_t){MESSAGE_MAX_BYTES},
	    sizeof(int64_t));
	return socket;
}

/*
 * Returns a ROUTER socket bound to IP:PORT; NULL, with STATUS_IO and a message
 * set, when the address cannot be bound.
 */
void *
transport_router(struct transport *transport, const char *address)
{
	void *socket = new_socket(transport, ZMQ_ROUTER);
	char endpoint[ENDPOINT_BYTES];

	if (socket == NULL)
		return NULL;
	set_int(socket, ZMQ_ROUTER_MANDATORY, 1);
	set_int(socket, ZMQ_ROUTER_HANDOVER, 1);
	if (transport->encrypted) {
		set_int(socket, ZMQ_CURVE_SERVER, 1);
		zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY,
		    transport->keys.secret_key, TRANSPORT_KEY_BYTES - 1);
		zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, "gypsummill", 10);
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_bind(socket, endpoint) != 0) {
		(void)status_set(
		    STATUS_IO, "%s: %s", endpoint, zmq_strerror(zmq_errno()));
		zmq_close(socket);
		return NULL;
	}
	return socket;
}

/*
 * Returns a DEALER socket that connects to a control's IP:PORT and reconnects
 * after failures, or NULL.  routing_id must be unique among the peers of the
 * control's socket.
 */
void *
transport_dealer(
    struct transport *transport, const char *address, struct str routing_id)
{
	void *socket = new_socket(transport, ZMQ_DEALER);
	char endpoint[ENDPOINT_BYTES];

	if (socket == NULL)
		return NULL;
	zmq_setsockopt(socket, ZMQ_ROUTING_ID, routing_id.data, routing_id.len);
	if (transport->encrypted) {
		zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY,
		    transport->control.public_key, TRANSPORT_KEY_BYTES - 1);
		zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY,
		    transport->keys.public_key, TRANSPORT_KEY_BYTES - 1);
		zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY,
		    transport->keys.secret_key, TRANSPORT_KEY_BYTES - 1);
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_connect(socket, endpoint) != 0) {
		(void)status_set(
		    STATUS_IO, "%s: %s", endpoint, zmq_strerror(zmq_errno()));
		zmq_close(socket);
		return NULL;
	}
	return socket;
}

/*
 * Closes a socket and discards its unsent messages.  NULL is allowed.
 */
void
transport_socket_close(void *socket)
{
	if (socket != NULL)
		zmq_close(socket);
}

/*
 * Sends an envelope without blocking: on a ROUTER to the given peer, on a
 * DEALER (to is NULL) to its control.  Returns STATUS_UNAVAILABLE when the
 * message was dropped because the peer is unreachable or its queue is full.
 */
enum status
transport_send(void *socket, const struct transport_peer *to,
    const Wire__Envelope *envelope)
{
	size_t len = wire__envelope__get_packed_size(envelope);
	zmq_msg_t msg;

	if (to != NULL &&
	    zmq_send(socket, to->id, to->id_len, ZMQ_SNDMORE | ZMQ_DONTWAIT) <
		0) {
		counter_add(dropped, 1);
		return STATUS_UNAVAILABLE;
	}
	zmq_msg_init_size(&msg, len);
	wire__envelope__pack(envelope, zmq_msg_data(&msg));
	if (zmq_msg_send(&msg, socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&msg);
		counter_add(dropped, 1);
		return STATUS_UNAVAILABLE;
	}
	counter_add(sent_bytes, (int64_t)len);
	return STATUS_OK;
}

/*
 * Returns whether the message being received has more frames.
 */
static bool
has_more_frames(void *socket)
{
	int more = 0;
	size_t size = sizeof(more);

	zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
	return more != 0;
}

/*
 * Discards the remaining frames of a message, so that the next read starts at
 * a new message.
 */
static void
discard_frames(void *socket)
{
	while (has_more_frames(socket)) {
		zmq_msg_t msg;

		zmq_msg_init(&msg);
		zmq_msg_recv(&msg, socket, ZMQ_DONTWAIT);
		zmq_msg_close(&msg);
	}
}

/*
 * Copies the name of the peer's key, as set by the allowlist; empty without
 * encryption.
 */
static void
read_user(struct transport_peer *from, zmq_msg_t *msg)
{
	const char *user = zmq_msg_gets(msg, "User-Id");

	snprintf(
	    from->user, sizeof(from->user), "%s", user != NULL ? user : "");
}

/*
 * Receives one envelope without blocking.  from is NULL on a DEALER.  Returns
 * STATUS_BUSY when there is none, STATUS_CORRUPT for a malformed one.  The
 * caller frees the envelope with wire__envelope__free_unpacked().
 */
enum status
transport_receive(
    void *socket, struct transport_peer *from, Wire__Envelope **envelope)
{
	zmq_msg_t msg;
	int n;

	if (from != NULL) {
		n = zmq_recv(socket, from->id, sizeof(from->id), ZMQ_DONTWAIT);
		if (n < 0)
			return STATUS_BUSY;
		if ((size_t)n > sizeof(from->id) || !has_more_frames(socket)) {
			discard_frames(socket);
			return STATUS_CORRUPT;
		}
		from->id_len = (size_t)n;
	}
	zmq_msg_init(&msg);
	if (zmq_msg_recv(&msg, socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&msg);
		return STATUS_BUSY;
	}
	if (from != NULL)
		read_user(from, &msg);
	counter_add(received_bytes, (int64_t)zmq_msg_size(&msg));
	*envelope = (Wire__Envelope *)codec_unpack(&wire__envelope__descriptor,
	    zmq_msg_size(&msg), zmq_msg_data(&msg));
	zmq_msg_close(&msg);
	discard_frames(socket);
	return *envelope != NULL ? STATUS_OK : STATUS_CORRUPT;
}
