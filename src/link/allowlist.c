#include "link/allowlist.h"

#include <dirent.h>
#include <pthread.h>
#include <stdint.h>
#include <string.h>

#include <zmq.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/memory.h"
#include "link/transport.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"

enum {
	RAW_KEY_BYTES = 32,
	FRAME_BYTES = 256,
	REQUEST_FRAMES = 7,
	KEYS_MAX = 1024
};

/* Shortest time between two reloads of the folder for an unknown key. */
static const uint64_t reload_interval_us = US_PER_S;

struct allowed_key {
	uint8_t raw[RAW_KEY_BYTES];
	char name[TRANSPORT_USER_BYTES];
};

struct allowlist {
	pthread_t thread;
	void *socket;
	char *folder;
	struct allowed_key *keys;
	unsigned count;
	uint64_t loaded_us;
	struct counter *denied;
};

struct frame {
	uint8_t data[FRAME_BYTES];
	size_t len;
};

/*
 * Adds the key of a file NAME.public.  Other files, unreadable keys and those
 * beyond KEYS_MAX are skipped.
 */
static void
add_key(struct allowlist *list, const char *file)
{
	struct str name = str_from(file);
	struct transport_keys keys;
	struct allowed_key *key = &list->keys[list->count];

	if (name.len <= strlen(".public") || list->count == KEYS_MAX)
		return;
	name.len -= strlen(".public");
	if (!str_equal_c(str_from(file + name.len), ".public") ||
	    name.len >= sizeof(key->name))
		return;
	memcpy(key->name, name.data, name.len);
	key->name[name.len] = '\0';
	if (transport_keys_read(list->folder, key->name, false, &keys) !=
	    STATUS_OK)
		return;
	if (zmq_z85_decode(key->raw, keys.public_key) != NULL)
		list->count++;
}

/*
 * Reloads the keys from the folder.  If it cannot be opened, the keys read
 * before stay in force.
 */
static void
load_keys(struct allowlist *list)
{
	DIR *dir = opendir(list->folder);
	struct dirent *item;

	list->loaded_us = clock_monotonic_us();
	if (dir == NULL)
		return;
	list->count = 0;
	while ((item = readdir(dir)) != NULL)
		add_key(list, item->d_name);
	closedir(dir);
}

/*
 * Returns the allowed key that matches the credentials, or NULL.
 */
static const struct allowed_key *
find_key(struct allowlist *list, const struct frame *credentials)
{
	if (credentials->len != RAW_KEY_BYTES)
		return NULL;
	for (unsigned i = 0; i < list->count; i++) {
		if (memcmp(list->keys[i].raw, credentials->data,
			RAW_KEY_BYTES) == 0)
			return &list->keys[i];
	}
	return NULL;
}

/*
 * Finds a key.  Reloads the folder for an unknown one, so that an added key
 * works without a restart.
 */
static const struct allowed_key *
find_key_reloading(struct allowlist *list, const struct frame *credentials)
{
	const struct allowed_key *key = find_key(list, credentials);

	if (key != NULL ||
	    clock_monotonic_us() < list->loaded_us + reload_interval_us)
		return key;
	load_keys(list);
	return find_key(list, credentials);
}

/*
 * Receives one ZAP request; returns false when the context is shut down.
 * Surplus frames and bytes are discarded.
 */
static bool
read_request(void *socket, struct frame frames[REQUEST_FRAMES])
{
	int more = 1;
	size_t size = sizeof(more);

	for (unsigned i = 0; more; i++) {
		struct frame scratch;
		struct frame *frame =
		    i < REQUEST_FRAMES ? &frames[i] : &scratch;
		int n = zmq_recv(socket, frame->data, FRAME_BYTES, 0);

		if (n < 0)
			return false;
		frame->len = (size_t)n < FRAME_BYTES ? (size_t)n : FRAME_BYTES;
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
	}
	return true;
}

/*
 * Sends a ZAP reply (ZeroMQ RFC 27): version and request id as in the request,
 * status 200 or 400, and the key's name as the user id.
 */
static void
send_zap_reply(struct allowlist *list, const struct frame *frames,
    const struct allowed_key *key)
{
	const char *code = key != NULL ? "200" : "400";
	const char *text = key != NULL ? "OK" : "key is not allowed";
	const char *user = key != NULL ? key->name : "";

	zmq_send(list->socket, frames[0].data, frames[0].len, ZMQ_SNDMORE);
	zmq_send(list->socket, frames[1].data, frames[1].len, ZMQ_SNDMORE);
	zmq_send(list->socket, code, 3, ZMQ_SNDMORE);
	zmq_send(list->socket, text, strlen(text), ZMQ_SNDMORE);
	zmq_send(list->socket, user, strlen(user), ZMQ_SNDMORE);
	zmq_send(list->socket, "", 0, 0);
}

/*
 * The allowlist's thread: answers requests until the context is shut down.
 */
static void *
serve(void *arg)
{
	struct allowlist *list = arg;
	struct frame frames[REQUEST_FRAMES] = {0};

	while (read_request(list->socket, frames)) {
		const struct allowed_key *key =
		    find_key_reloading(list, &frames[REQUEST_FRAMES - 1]);

		if (key == NULL)
			counter_add(list->denied, 1);
		send_zap_reply(list, frames, key);
		memset(frames, 0, sizeof(frames));
	}
	zmq_close(list->socket);
	return NULL;
}

/*
 * Starts a thread that answers the authentication requests of a ZeroMQ context
 * from the keys in a folder.  Must be called before the context's first server
 * socket is created.
 */
enum status
allowlist_open(
    void *zmq_context, const char *folder, struct allowlist **allowlist)
{
	struct allowlist *list = mem_calloc(1, sizeof(*list));

	list->keys = mem_calloc(KEYS_MAX + 1, sizeof(*list->keys));
	list->folder = str_dup(str_from(folder));
	list->denied =
	    counter_register(COUNTER_TOTAL, "gypsummill_link_denied_total",
		"Connections rejected because of their key (count)", NULL);
	load_keys(list);
	list->socket = zmq_socket(zmq_context, ZMQ_REP);
	if (list->socket == NULL || zmq_bind(list->socket, ZAP_ENDPOINT) != 0 ||
	    pthread_create(&list->thread, NULL, serve, list) != 0) {
		(void)status_set_errno(STATUS_IO, ZAP_ENDPOINT);
		if (list->socket != NULL)
			zmq_close(list->socket);
		mem_free(list->keys);
		mem_free(list->folder);
		mem_free(list);
		return STATUS_IO;
	}
	*allowlist = list;
	return STATUS_OK;
}

/*
 * Waits for the thread to end and frees the allowlist.  The context must have
 * been shut down.
 */
void
allowlist_close(struct allowlist *allowlist)
{
	if (allowlist == NULL)
		return;
	pthread_join(allowlist->thread, NULL);
	mem_free(allowlist->keys);
	mem_free(allowlist->folder);
	mem_free(allowlist);
}
