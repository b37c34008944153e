#include "entry/upstream.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/http_transfer.h"
#include "base/memory.h"

enum {
	BUCKETS = 256,
	CONNECT_TIMEOUT_MS = 1000,
	CURL_TIME_ERROR_MS = 1, /* libcurl may end this much early */
	RECEIVE_BUFFER_BYTES = 64 * 1024,
	UPLOAD_BUFFER_BYTES = 64 * 1024,
	IDLE_MAX_S = 20, /* older idle connections are not reused */
	/* Of a response with its trailers, all of which libcurl keeps. */
	HEADER_MAX_BYTES = 256 * 1024,
	URL_BYTES = 96
};

/*
 * The idle connections to one incarnation of a target, reused last in, first
 * out.
 */
struct pool {
	struct pool *next;
	char *address;
	uint64_t incarnation;
	CURL **idle;
	uint32_t idle_count;
	uint32_t idle_capacity;
};

struct upstream {
	pthread_mutex_t lock;
	struct pool *buckets[BUCKETS];
	struct counter *opened;
	struct counter *reused;
	struct counter *resends_stopped;
	struct counter *stale;
	struct counter *withdrawn;
	struct counter *idle;
};

/* A transfer in progress. */
struct transfer {
	const struct upstream_call *call;
	struct upstream *upstream;
	CURL *easy;
	curl_socket_t idle_fd; /* of the idle connection, if there is one */
	unsigned sends; /* attempts by libcurl to send the request */
	bool stale; /* the reused connection had input or had ended */
	bool withdrawn;
	size_t header_bytes; /* received, trailers too */
};

/*
 * Returns an empty set of pools, to be freed with upstream_free().
 */
struct upstream *
upstream_new(void)
{
	struct upstream *u = mem_calloc(1, sizeof(*u));

	pthread_mutex_init(&u->lock, NULL);
	u->opened = counter_register(COUNTER_TOTAL,
	    "gypsummill_entry_connections_opened_total",
	    "Connections opened to targets (count)", NULL);
	u->reused = counter_register(COUNTER_TOTAL,
	    "gypsummill_entry_connections_reused_total",
	    "Attempts on a pooled connection (count)", NULL);
	u->resends_stopped = counter_register(COUNTER_TOTAL,
	    "gypsummill_entry_resends_stopped_total",
	    "Resends within one attempt that were prevented (count)", NULL);
	u->stale = counter_register(COUNTER_TOTAL,
	    "gypsummill_entry_connections_stale_total",
	    "Pooled connections with input before their request (count)", NULL);
	u->withdrawn = counter_register(COUNTER_TOTAL,
	    "gypsummill_entry_sends_withdrawn_total",
	    "Requests not sent since their target left or asked to back off "
	    "(count)",
	    NULL);
	u->idle =
	    counter_register(COUNTER_GAUGE, "gypsummill_entry_connections_idle",
		"Idle connections to targets (count)", NULL);
	return u;
}

/* Closes a pool's idle connections.  Called with the lock held. */
static void
close_idle(struct upstream *u, struct pool *pool)
{
	for (uint32_t i = 0; i < pool->idle_count; i++)
		curl_easy_cleanup(pool->idle[i]);
	counter_add(u->idle, -(int64_t)pool->idle_count);
	pool->idle_count = 0;
}

/* Frees a pool that was removed from its list.  Called with the lock held. */
static void
free_pool(struct upstream *u, struct pool *pool)
{
	close_idle(u, pool);
	mem_free(pool->idle);
	mem_free(pool->address);
	mem_free(pool);
}

/*
 * Closes all idle connections and frees the pools.
 */
void
upstream_free(struct upstream *u)
{
	if (u == NULL)
		return;
	for (unsigned i = 0; i < BUCKETS; i++) {
		while (u->buckets[i] != NULL) {
			struct pool *pool = u->buckets[i];

			u->buckets[i] = pool->next;
			free_pool(u, pool);
		}
	}
	pthread_mutex_destroy(&u->lock);
	mem_free(u);
}

/* Returns the list of an address's pools, and of others. */
static struct pool **
pool_list(struct upstream *u, struct str address)
{
	return &u->buckets[str_hash(address) % BUCKETS];
}

/* Returns a target's pool, or NULL.  Called with the lock held. */
static struct pool *
find_pool(struct upstream *u, const struct upstream_call *call)
{
	struct pool *pool = *pool_list(u, call->address);

	while (pool != NULL &&
	    (pool->incarnation != call->incarnation ||
		!str_equal_c(call->address, pool->address)))
		pool = pool->next;
	return pool;
}

/* Adds a pool without connections.  Called with the lock held. */
static void
add_pool(struct upstream *u, const struct upstream_call *call)
{
	struct pool **list = pool_list(u, call->address);
	struct pool *pool = mem_calloc(1, sizeof(*pool));

	pool->address = str_dup(call->address);
	pool->incarnation = call->incarnation;
	pool->next = *list;
	*list = pool;
}

/*
 * Returns a handle with an idle connection, or a new handle; the caller owns
 * it.
 */
static CURL *
acquire_handle(struct upstream *u, const struct upstream_call *call)
{
	struct pool *pool;
	CURL *easy = NULL;

	pthread_mutex_lock(&u->lock);
	pool = find_pool(u, call);
	if (pool == NULL) {
		add_pool(u, call);
	} else if (pool->idle_count > 0) {
		easy = pool->idle[--pool->idle_count];
		counter_add(u->idle, -1);
	}
	pthread_mutex_unlock(&u->lock);
	return easy != NULL ? easy : curl_easy_init();
}

/*
 * Returns a handle with its idle connection to the pool, or closes it if the
 * pool was removed meanwhile.
 */
static void
pool_handle(struct upstream *u, const struct upstream_call *call, CURL *easy)
{
	struct pool *pool;

	pthread_mutex_lock(&u->lock);
	pool = find_pool(u, call);
	if (pool == NULL) {
		pthread_mutex_unlock(&u->lock);
		curl_easy_cleanup(easy);
		return;
	}
	if (pool->idle_count == pool->idle_capacity) {
		pool->idle_capacity = pool->idle_capacity * 2 + 4;
		pool->idle = mem_resize(
		    (void *)pool->idle, pool->idle_capacity * sizeof(CURL *));
	}
	pool->idle[pool->idle_count++] = easy;
	counter_add(u->idle, 1);
	pthread_mutex_unlock(&u->lock);
}

/*
 * Closes the idle connections to an address and removes its pools.
 */
void
upstream_close_idle(struct upstream *u, struct str address)
{
	struct pool **link;

	pthread_mutex_lock(&u->lock);
	link = pool_list(u, address);
	while (*link != NULL) {
		struct pool *pool = *link;

		if (!str_equal_c(address, pool->address)) {
			link = &pool->next;
			continue;
		}
		*link = pool->next;
		free_pool(u, pool);
	}
	pthread_mutex_unlock(&u->lock);
}

/*
 * Returns whether a connection that is about to be reused has unread input or
 * has ended.  What has arrived before the request belongs to an earlier one.
 */
static bool
is_stale(const struct transfer *transfer)
{
	long connects = 0;
	char byte;

	curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS, &connects);
	return connects == 0 &&
	    (recv(transfer->idle_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
		(errno != EAGAIN && errno != EWOULDBLOCK));
}

/*
 * Called by libcurl before it sends the request.  Stops it on a stale
 * connection.  When a reused connection is closed before the response, libcurl
 * would send the request again on a new one; this prevents it.
 */
static int
before_send(void *ctx, char *peer_ip ATTR_UNUSED, char *local_ip ATTR_UNUSED,
    int peer_port ATTR_UNUSED, int local_port ATTR_UNUSED)
{
	struct transfer *transfer = ctx;
	const struct upstream_call *call = transfer->call;

	if (transfer->sends == 0 && call->withdrawn != NULL &&
	    call->withdrawn(call->ctx)) {
		transfer->withdrawn = true;
		counter_add(transfer->upstream->withdrawn, 1);
		return CURL_PREREQFUNC_ABORT;
	}
	if (transfer->sends == 0 && is_stale(transfer)) {
		transfer->stale = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (transfer->sends++ == 0)
		return CURL_PREREQFUNC_OK;
	counter_add(transfer->upstream->resends_stopped, 1);
	return CURL_PREREQFUNC_ABORT;
}

/* Supplies the next part of the request body to libcurl. */
static size_t
on_read(char *out, size_t size, size_t count, void *ctx)
{
	struct transfer *transfer = ctx;
	const struct upstream_call *call = transfer->call;
	int64_t got = call->read(call->ctx, out, size * count);

	return got < 0 ? CURL_READFUNC_ABORT : (size_t)got;
}

/*
 * Passes a line of the response head, or a trailer, on with the status so far.
 */
static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *transfer = ctx;
	const struct upstream_call *call = transfer->call;
	size_t len = size * count;
	long status = 0;

	transfer->header_bytes += len;
	if (transfer->header_bytes > HEADER_MAX_BYTES)
		return 0;
	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	return call->header(call->ctx, str_of(data, len), status) ? len : 0;
}

/* Passes a part of the response body on. */
static size_t
on_write(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *transfer = ctx;
	const struct upstream_call *call = transfer->call;
	size_t len = size * count;

	return call->write(call->ctx, str_of(data, len)) ? len : 0;
}

/* Called at intervals; nonzero aborts the transfer. */
static int
on_progress(void *ctx, curl_off_t a ATTR_UNUSED, curl_off_t b ATTR_UNUSED,
    curl_off_t c ATTR_UNUSED, curl_off_t d ATTR_UNUSED)
{
	struct transfer *transfer = ctx;
	const struct upstream_call *call = transfer->call;

	return call->cancelled != NULL && call->cancelled(call->ctx);
}

/*
 * Sets the connection options: one persistent HTTP/1.1 connection per handle,
 * no proxy, no redirects, a new connection if the call requires it.
 */
static void
set_transport(CURL *easy, const struct upstream_call *call)
{
	char url[URL_BYTES];

	snprintf(url, sizeof(url), "http://%.*s/", STR_ARG(call->address));
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_MAXCONNECTS, 1L);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)IDLE_MAX_S);
	curl_easy_setopt(
	    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)RECEIVE_BUFFER_BYTES);
	curl_easy_setopt(
	    easy, CURLOPT_UPLOAD_BUFFERSIZE, (long)UPLOAD_BUFFER_BYTES);
	curl_easy_setopt(
	    easy, CURLOPT_FRESH_CONNECT, call->new_connection ? 1L : 0L);
	curl_easy_setopt(
	    easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
}

/*
 * Sets method, request target, headers and the body's length (-1: chunked).
 */
static void
set_request(CURL *easy, const struct upstream_call *call, const char *target)
{
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, target);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	if (call->has_body) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
		    (curl_off_t)call->body_length);
	} else if (str_equal_c(str_from("HEAD"), call->method)) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
}

/* Sets the callbacks of a transfer; it must outlive the transfer. */
static void
set_callbacks(CURL *easy, struct transfer *transfer)
{
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	if (transfer->call->cancelled == NULL)
		return;
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, transfer);
}

/* Fills in the result of a transfer and counts its connection. */
static void
fill_result(struct upstream *u, const struct transfer *transfer, CURLcode code,
    struct upstream_result *result)
{
	long connects = 0;

	curl_easy_getinfo(
	    transfer->easy, CURLINFO_RESPONSE_CODE, &result->http_status);
	curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS, &connects);
	result->sent = transfer->sends > 0;
	result->withdrawn = transfer->withdrawn;
	result->complete = code == CURLE_OK;
	result->timed_out = code == CURLE_OPERATION_TIMEDOUT;
	result->reused = connects == 0;
	counter_add(connects > 0 ? u->opened : u->reused, 1);
}

/*
 * Returns the time until a call's deadline in milliseconds, rounded up, at
 * least 0.
 */
static long
ms_left(const struct upstream_call *call)
{
	uint64_t now_us = clock_monotonic_us();

	return call->deadline_us > now_us
	    ? (long)((call->deadline_us - now_us + US_PER_MS - 1) / US_PER_MS)
	    : 0;
}

/*
 * Performs a transfer with its handle, until the call's deadline.
 */
static CURLcode
perform(struct transfer *transfer, const char *target)
{
	const struct upstream_call *call = transfer->call;
	/* One that ends before the deadline would be retried in what is left. */
	long left_ms = ms_left(call) + CURL_TIME_ERROR_MS;

	curl_easy_reset(transfer->easy);
	set_transport(transfer->easy, call);
	set_request(transfer->easy, call, target);
	set_callbacks(transfer->easy, transfer);
	curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, left_ms);
	return http_transfer_perform(transfer->easy, on_header, transfer);
}

/*
 * Performs one request on the calling thread, until the deadline, and fills in
 * the result.  A stale connection is replaced by a new one.
 */
void
upstream_perform(struct upstream *u, const struct upstream_call *call,
    struct upstream_result *result)
{
	struct transfer transfer = {
	    .call = call,
	    .upstream = u,
	    .idle_fd = CURL_SOCKET_BAD,
	};
	char *target;
	CURLcode code;

	*result = (struct upstream_result){0};
	if (ms_left(call) == 0) {
		result->timed_out = true;
		return;
	}
	target = str_dup(call->request_target);
	transfer.easy = acquire_handle(u, call);
	curl_easy_getinfo(
	    transfer.easy, CURLINFO_ACTIVESOCKET, &transfer.idle_fd);
	code = perform(&transfer, target);
	if (transfer.stale) {
		counter_add(u->stale, 1);
		curl_easy_cleanup(transfer.easy);
		transfer.easy = curl_easy_init();
		code = perform(&transfer, target);
	}
	fill_result(u, &transfer, code, result);
	if (code == CURLE_OK)
		pool_handle(u, call, transfer.easy);
	else
		curl_easy_cleanup(transfer.easy);
	mem_free(target);
}
