/*
 * Encrypted sockets between processes of this system: ZeroMQ with CURVE.
 * Connections with a key that is not allowed are rejected and counted.
 * Messages are wire Envelopes; those that cannot be queued at once are dropped
 * and counted.
 */
#ifndef LINK_TRANSPORT_H
#define LINK_TRANSPORT_H

#include "base/status.h"
#include "base/str.h"
#include "wire/wire.pb-c.h"

enum {
	TRANSPORT_KEY_BYTES = 41, /* Z85 text and its NUL */
	TRANSPORT_ID_BYTES = 64,
	TRANSPORT_USER_BYTES = 64
};

struct transport_keys {
	char public_key[TRANSPORT_KEY_BYTES];
	char secret_key[TRANSPORT_KEY_BYTES]; /* empty if not read */
};

/* Sender of a message: the routing id of its socket and its key's name. */
struct transport_peer {
	uint8_t id[TRANSPORT_ID_BYTES];
	size_t id_len;
	char user[TRANSPORT_USER_BYTES]; /* empty without encryption */
};

/* Name of the key pair shared by all control processes. */
#define TRANSPORT_CONTROL_KEY "control"

struct transport;

/*
 * Create and read the key files NAME.public and NAME.secret of a folder;
 * secret files have mode 0600.
 */
enum status transport_keys_make(
    const char *folder, const char *name) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status
transport_keys_read(const char *folder, const char *name, bool with_secret,
    struct transport_keys *keys) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

/*
 * Opens a process's transport with the key pair NAME of a folder; a NULL or
 * empty folder means no encryption.  STATUS_IO or STATUS_INVALID for keys
 * that cannot be read.
 */
enum status transport_open(const char *folder, const char *name,
    struct transport **transport) ATTR_NONNULL(2, 3) ATTR_UNUSED_RESULT;
/* The caller must have closed its sockets. */
void transport_close(struct transport *transport);
/*
 * Returns a listening socket for control; NULL, with the status message set,
 * when the address cannot be bound.
 */
void *transport_router(
    struct transport *transport, const char *address) ATTR_NONNULL_ALL;
/*
 * Returns a socket that connects to a control and reconnects after failures.
 * routing_id must be unique among the peers of one control.
 */
void *transport_dealer(struct transport *transport, const char *address,
    struct str routing_id) ATTR_NONNULL(1, 2);
void transport_socket_close(void *socket);
/*
 * Sends without blocking; STATUS_UNAVAILABLE when the message was dropped.  to
 * is NULL on a socket of transport_dealer().
 */
enum status transport_send(void *socket, const struct transport_peer *to,
    const Wire__Envelope *envelope) ATTR_NONNULL(1, 3);
/*
 * Receives without blocking: STATUS_BUSY when there is no message,
 * STATUS_CORRUPT for a malformed one.  The caller frees the envelope with
 * wire__envelope__free_unpacked().
 */
enum status transport_receive(void *socket, struct transport_peer *from,
    Wire__Envelope **envelope) ATTR_NONNULL(1, 3) ATTR_UNUSED_RESULT;

#endif
