#include "base/connection_guard.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <linux/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/connection_budget.h"
#include "base/connection_share.h"
#include "base/counter.h"
#include "base/linger.h"
#include "base/log_limiter.h"
#include "base/logger.h"
#include "base/memory.h"
#include "base/str.h"

enum {
	DESCRIPTORS_MAX = 65536,
	/*
	 * Checks without progress after which a caller has stalled, and after
	 * which a connection without a request may be replaced.  They are
	 * counted rather than timed: while this process is held up, no caller
	 * can make progress.
	 */
	STALLED_CHECKS = 10,
	TCP_STATE_ESTABLISHED = 1, /* of struct tcp_info */
	TCP_STATE_CLOSE_WAIT = 8,
	TCP_STATE_LISTEN = 10
};

static const uint64_t check_us = 100 * US_PER_MS;

/* A connection, by its descriptor. */
struct guarded {
	uint64_t cookie; /* of the socket; 0: none */
	uint64_t address; /* key of the peer's */
	uint64_t opened; /* order in which it was found */
	uint64_t acked; /* bytes that its caller's host has taken */
	unsigned checks; /* since it was found */
	unsigned still_checks; /* with unread output and no progress */
	unsigned seen; /* the last check that found it open */
	bool requested;
	bool closing;
	bool shut; /* by the guard */
};

struct connection_guard {
	struct connection_guard_settings settings;
	struct counter *limited[CONNECTION_LIMITS];
	struct log_limiter log;
	uint16_t port;
	pthread_t thread;
	bool started;
	pthread_mutex_t lock; /* guards the rest */
	pthread_cond_t changed;
	struct guarded *table; /* by descriptor */
	unsigned table_size;
	struct connection_share share; /* of the connections found */
	struct connection_share requested; /* of those with a request */
	unsigned checks;
	unsigned served;
	unsigned open; /* found by the last check */
	unsigned queued; /* connections that the server has not accepted */
	uint64_t opened;
	bool ending;
};

/*
 * Returns the kernel's number of a socket, which is never used again; 0 if fd
 * is no socket.
 */
static uint64_t
socket_cookie(int fd)
{
	uint64_t cookie = 0;
	socklen_t len = sizeof(cookie);

	if (getsockopt(fd, SOL_SOCKET, SO_COOKIE, &cookie, &len) != 0)
		return 0;
	return cookie;
}

static uint16_t
local_port(int fd)
{
	struct sockaddr_storage address = {0};
	socklen_t len = sizeof(address);

	if (getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		return 0;
	if (address.ss_family == AF_INET)
		return ntohs(((struct sockaddr_in *)&address)->sin_port);
	if (address.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&address)->sin6_port);
	return 0;
}

/*
 * Returns the entry of a socket, empty if it is a new one; NULL if fd is no
 * socket.
 */
static struct guarded *
find_entry(struct connection_guard *guard, int fd)
{
	uint64_t cookie;
	struct guarded *entry;

	if (fd < 0 || fd >= DESCRIPTORS_MAX ||
	    (cookie = socket_cookie(fd)) == 0)
		return NULL;
	if ((unsigned)fd >= guard->table_size) {
		unsigned size = ((unsigned)fd + 1) * 2;

		guard->table =
		    mem_resize(guard->table, size * sizeof(*guard->table));
		for (unsigned i = guard->table_size; i < size; i++)
			guard->table[i] = (struct guarded){0};
		guard->table_size = size;
	}
	entry = &guard->table[fd];
	if (entry->cookie != cookie)
		*entry = (struct guarded){
		    .cookie = cookie,
		    .opened = ++guard->opened,
		};
	return entry;
}

/*
 * Returns whether another descriptor of the same socket is closing.  A
 * connection that lingers is a duplicate, and still open for a moment.
 */
static bool
is_closing_duplicate(
    const struct connection_guard *guard, const struct guarded *entry)
{
	for (unsigned fd = 0; fd < guard->table_size; fd++) {
		const struct guarded *other = &guard->table[fd];

		if (other != entry && other->closing &&
		    other->cookie == entry->cookie)
			return true;
	}
	return false;
}

static uint64_t
peer_key(int fd)
{
	struct sockaddr_storage peer = {0};
	socklen_t len = sizeof(peer);

	(void)getpeername(fd, (struct sockaddr *)&peer, &len);
	return connection_share_key((const struct sockaddr *)&peer);
}

/*
 * Updates what is known of a descriptor, if it is a connection of the server,
 * or how many connections wait at the server's listener.
 */
static void
check_descriptor(struct connection_guard *guard, int fd)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);
	struct guarded *entry;
	uint64_t acked;

	if (local_port(fd) != guard->port ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return;
	if (info.tcpi_state == TCP_STATE_LISTEN)
		guard->queued += info.tcpi_unacked;
	if (info.tcpi_state != TCP_STATE_ESTABLISHED &&
	    info.tcpi_state != TCP_STATE_CLOSE_WAIT)
		return;
	entry = find_entry(guard, fd);
	if (entry == NULL)
		return;
	if (entry->checks == 0 && is_closing_duplicate(guard, entry))
		entry->closing = true;
	acked = info.tcpi_bytes_acked;
	if (socket_unacknowledged_bytes(fd) > 0 &&
	    (entry->checks == 0 || acked == entry->acked))
		entry->still_checks++;
	else
		entry->still_checks = 0;
	entry->acked = acked;
	entry->checks++;
	entry->seen = guard->checks;
	if (!entry->requested)
		entry->address = peer_key(fd);
	if (entry->closing || entry->shut)
		return;
	guard->open++;
	connection_share_add(&guard->share, entry->address);
}

static void
check_descriptors(struct connection_guard *guard)
{
	DIR *folder = opendir("/proc/self/fd");
	const struct dirent *item;
	uint64_t fd;

	guard->checks++;
	guard->open = guard->queued = 0;
	if (folder == NULL)
		return;
	while ((item = readdir(folder)) != NULL) {
		if (str_to_u64(str_from(item->d_name), &fd) &&
		    fd < DESCRIPTORS_MAX)
			check_descriptor(guard, (int)fd);
	}
	closedir(folder);
}

static bool
has_unread_input(int fd)
{
	int bytes = 0;

	return ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0;
}

/*
 * Returns whether a connection may be shut down, and the limit: its caller has
 * stalled, or has sent no whole request.
 */
static bool
may_shut(
    const struct connection_guard *guard, int fd, enum connection_limit *limit)
{
	const struct guarded *entry = &guard->table[fd];

	if (entry->seen != guard->checks || entry->closing || entry->shut)
		return false;
	*limit = CONNECTION_LIMIT_TIME;
	if (entry->still_checks >= STALLED_CHECKS)
		return true;
	*limit = CONNECTION_LIMIT_COUNT;
	return !entry->requested && entry->checks >= STALLED_CHECKS &&
	    !has_unread_input(fd);
}

/*
 * Returns whether one connection goes before another: stalled ones first, then
 * the oldest.
 */
static bool
goes_first(const struct guarded *entry, const struct guarded *other)
{
	bool stalled = entry->still_checks >= STALLED_CHECKS;

	if (stalled != (other->still_checks >= STALLED_CHECKS))
		return stalled;
	return entry->opened < other->opened;
}

/*
 * Returns the descriptor of the connection that is shut down first, or -1.
 */
static int
find_first(const struct connection_guard *guard, enum connection_limit *limit)
{
	int first = -1;

	for (unsigned fd = 0; fd < guard->table_size; fd++) {
		enum connection_limit reason;

		if (may_shut(guard, (int)fd, &reason) &&
		    (first < 0 ||
			goes_first(&guard->table[fd], &guard->table[first]))) {
			first = (int)fd;
			*limit = reason;
		}
	}
	return first;
}

static void
log_shut(struct connection_guard *guard, int fd, enum connection_limit limit)
{
	struct sockaddr_storage peer = {0};
	socklen_t len = sizeof(peer);
	char ip[INET6_ADDRSTRLEN] = "";

	if (!log_limiter_allow(
		&guard->log, clock_monotonic_us() / US_PER_MS, false))
		return;
	(void)getpeername(fd, (struct sockaddr *)&peer, &len);
	inet_ntop(peer.ss_family,
	    peer.ss_family == AF_INET6
		? (const void *)&((struct sockaddr_in6 *)&peer)->sin6_addr
		: &((struct sockaddr_in *)&peer)->sin_addr,
	    ip, sizeof(ip));
	log_warn("connection_limited",
	    "instance=%s what=%s address=%s reason=%s unread_bytes=%u",
	    guard->log.instance, guard->settings.what, ip,
	    connection_limit_names[limit], socket_unacknowledged_bytes(fd));
}

/*
 * Shuts down both directions, so that the thread that serves the connection
 * ends its read or write, and closes it.  That thread may have closed the
 * descriptor meanwhile, and another socket may have got its number: a duplicate
 * stays the same socket.
 */
static void
shut_connection(
    struct connection_guard *guard, int fd, enum connection_limit limit)
{
	int same = fcntl(fd, F_DUPFD_CLOEXEC, 0);

	if (same < 0) {
		/* No descriptor is free: the next check tries again. */
		guard->table[fd].seen = 0;
		return;
	}
	guard->table[fd].shut = true;
	if (socket_cookie(same) == guard->table[fd].cookie) {
		counter_add(guard->limited[limit], 1);
		log_shut(guard, same, limit);
		shutdown(same, SHUT_RDWR);
	}
	close(same);
}

static bool
is_above_share(const struct connection_guard *guard, int fd)
{
	const struct guarded *entry = &guard->table[fd];

	return entry->seen == guard->checks && !entry->closing &&
	    !entry->shut && !entry->requested &&
	    connection_share_excess(&guard->share, entry->address) > 0;
}

/*
 * Returns the descriptor of the connection that is shut down first among those
 * of addresses above their share, or -1: the oldest one that has sent no whole
 * request, else the newest one whose request has not begun to run.
 */
static int
find_above_share(const struct connection_guard *guard)
{
	enum connection_limit limit;
	int oldest = -1;
	int newest = -1;

	for (unsigned fd = 0; fd < guard->table_size; fd++) {
		uint64_t opened = guard->table[fd].opened;

		if (!is_above_share(guard, (int)fd))
			continue;
		if (may_shut(guard, (int)fd, &limit) &&
		    (oldest < 0 || opened < guard->table[oldest].opened))
			oldest = (int)fd;
		if (newest < 0 || opened > guard->table[newest].opened)
			newest = (int)fd;
	}
	return oldest >= 0 ? oldest : newest;
}

/*
 * Shuts down connections of addresses above their share, and as many others as
 * wait for a thread.
 */
static void
check_connections(struct connection_guard *guard)
{
	enum connection_limit limit = CONNECTION_LIMIT_COUNT;
	unsigned waiting;
	int above;

	connection_share_open(&guard->share, guard->settings.threads,
	    guard->settings.address_max);
	check_descriptors(guard);
	while ((above = find_above_share(guard)) >= 0) {
		shut_connection(guard, above, CONNECTION_LIMIT_ADDRESS);
		connection_share_remove(
		    &guard->share, guard->table[above].address);
		guard->open--;
	}
	waiting = guard->queued;
	if (guard->open > guard->settings.threads)
		waiting += guard->open - guard->settings.threads;
	while (waiting > 0) {
		int fd = find_first(guard, &limit);

		if (fd < 0)
			break;
		shut_connection(guard, fd, limit);
		waiting--;
	}
	connection_share_close(&guard->share);
}

/*
 * Returns how many connections may be served before one address may be above
 * its share, or others wait for a thread.
 */
static unsigned
free_connections(const struct connection_guard *guard)
{
	unsigned half = guard->settings.threads / 2;
	unsigned max = guard->settings.address_max;

	return max == 0 || max > half ? half : max;
}

static void *
run_guard(void *ctx)
{
	struct connection_guard *guard = ctx;

	pthread_mutex_lock(&guard->lock);
	while (!guard->ending) {
		if (condition_wait(&guard->changed, &guard->lock,
			clock_monotonic_us() + check_us))
			continue;
		if (guard->served > free_connections(guard))
			check_connections(guard);
	}
	pthread_mutex_unlock(&guard->lock);
	return NULL;
}

struct connection_guard *
connection_guard_new(const struct connection_guard_settings *settings)
{
	struct connection_guard *guard = mem_calloc(1, sizeof(*guard));

	guard->settings = *settings;
	guard->log.instance = settings->instance;
	for (size_t i = 0; i < CONNECTION_LIMITS; i++)
		guard->limited[i] = counter_register(COUNTER_TOTAL,
		    "gypsummill_http_limited_connections_total",
		    "Connections to an HTTP server shut down at a limit "
		    "(count)",
		    "server=\"%s\",limit=\"%s\"", settings->what,
		    connection_limit_names[i]);
	pthread_mutex_init(&guard->lock, NULL);
	condition_init(&guard->changed);
	connection_share_open(
	    &guard->requested, settings->threads, settings->address_max);
	return guard;
}

void
connection_guard_start(struct connection_guard *guard, uint16_t port)
{
	guard->port = port;
	guard->started =
	    pthread_create(&guard->thread, NULL, run_guard, guard) == 0;
	if (!guard->started)
		log_error("guard_failed", "instance=%s what=%s",
		    guard->log.instance, guard->settings.what);
}

void
connection_guard_serve(struct connection_guard *guard, int change)
{
	pthread_mutex_lock(&guard->lock);
	guard->served += (unsigned)change;
	pthread_mutex_unlock(&guard->lock);
}

/*
 * Counts a connection whose first request is about to run.  It is shut down
 * instead if its address has too many of them; the next check would be too late
 * for a burst.
 */
static void
count_request(struct connection_guard *guard, struct guarded *entry, int fd)
{
	if (entry->requested || entry->shut || entry->closing)
		return;
	entry->requested = true;
	entry->address = peer_key(fd);
	connection_share_add(&guard->requested, entry->address);
	if (connection_share_excess(&guard->requested, entry->address) > 0)
		shut_connection(guard, fd, CONNECTION_LIMIT_ADDRESS);
}

bool
connection_guard_requested(struct connection_guard *guard, int fd)
{
	struct guarded *entry;
	bool shut = false;

	pthread_mutex_lock(&guard->lock);
	entry = find_entry(guard, fd);
	if (entry != NULL) {
		count_request(guard, entry, fd);
		shut = entry->shut;
	}
	pthread_mutex_unlock(&guard->lock);
	return !shut;
}

bool
connection_guard_closing(struct connection_guard *guard, int fd)
{
	struct guarded *entry;
	bool shut = false;

	pthread_mutex_lock(&guard->lock);
	entry = find_entry(guard, fd);
	if (entry != NULL) {
		if (entry->requested && !entry->closing)
			connection_share_remove(
			    &guard->requested, entry->address);
		entry->closing = true;
		shut = entry->shut;
	}
	pthread_mutex_unlock(&guard->lock);
	return shut;
}

void
connection_guard_free(struct connection_guard *guard)
{
	if (guard == NULL)
		return;
	pthread_mutex_lock(&guard->lock);
	guard->ending = true;
	pthread_cond_signal(&guard->changed);
	pthread_mutex_unlock(&guard->lock);
	if (guard->started)
		pthread_join(guard->thread, NULL);
	pthread_cond_destroy(&guard->changed);
	pthread_mutex_destroy(&guard->lock);
	connection_share_close(&guard->requested);
	mem_free(guard->table);
	mem_free(guard);
}
