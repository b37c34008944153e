#include "base/linger_pool.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/linger.h"
#include "base/logger.h"
#include "base/memory.h"

enum {
	READ_BYTES = 16 * 1024
};

static const uint64_t sweep_us = 50 * US_PER_MS;

struct lingering {
	int fd;
	struct linger_wait wait;
};

struct linger_pool {
	pthread_t thread;
	pthread_mutex_t lock; /* guards the rest */
	pthread_cond_t changed;
	struct lingering *connections;
	unsigned count;
	unsigned max;
	bool closing;
};

/*
 * Closes a connection; logs if the peer may miss a part of its answer.
 */
static void
close_connection(struct lingering *l, const char *reason)
{
	unsigned unacknowledged = socket_unacknowledged_bytes(l->fd);

	if (unacknowledged > 0)
		log_warn("connection_cut",
		    "reason=\"%s\" unacknowledged_bytes=%u", reason,
		    unacknowledged);
	close(l->fd);
}

/*
 * Reads and drops input; returns false once the peer has closed or reset the
 * connection.
 */
static bool
drop_input(const struct lingering *l)
{
	char input[READ_BYTES];
	ssize_t n = recv(l->fd, input, sizeof(input), MSG_DONTWAIT);

	return n > 0 ||
	    (n < 0 &&
		(errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
}

/*
 * Returns whether a connection still lingers; closes it otherwise.
 */
static bool
sweep_connection(struct lingering *l, uint64_t now_ms)
{
	if (!drop_input(l)) {
		/* Without further input the close causes no reset. */
		close(l->fd);
		return false;
	}
	if (linger_is_over(
		&l->wait, socket_unacknowledged_bytes(l->fd), now_ms)) {
		close_connection(l, "the caller did not read its answer");
		return false;
	}
	return true;
}

static void
sweep(struct linger_pool *pool, uint64_t now_ms)
{
	unsigned kept = 0;

	for (unsigned i = 0; i < pool->count; i++) {
		if (sweep_connection(&pool->connections[i], now_ms))
			pool->connections[kept++] = pool->connections[i];
	}
	pool->count = kept;
}

/*
 * The pool's thread.  It sleeps while nothing lingers.
 */
static void *
run(void *ctx)
{
	struct linger_pool *pool = ctx;

	pthread_mutex_lock(&pool->lock);
	while (!pool->closing) {
		if (pool->count == 0) {
			pthread_cond_wait(&pool->changed, &pool->lock);
			continue;
		}
		sweep(pool, clock_monotonic_us() / US_PER_MS);
		pthread_mutex_unlock(&pool->lock);
		clock_sleep_us(sweep_us);
		pthread_mutex_lock(&pool->lock);
	}
	pthread_mutex_unlock(&pool->lock);
	return NULL;
}

struct linger_pool *
linger_pool_new(unsigned connections_max)
{
	struct linger_pool *pool = mem_calloc(1, sizeof(*pool));

	pool->max = connections_max;
	pool->connections =
	    mem_calloc(connections_max, sizeof(*pool->connections));
	pthread_mutex_init(&pool->lock, NULL);
	pthread_cond_init(&pool->changed, NULL);
	pthread_create(&pool->thread, NULL, run, pool);
	return pool;
}

/*
 * Closes the connection whose peer has had the last answer for longest, if
 * there is one.
 */
static void
yield_one(struct linger_pool *pool)
{
	struct lingering *first = NULL;

	for (unsigned i = 0; i < pool->count; i++) {
		struct lingering *l = &pool->connections[i];

		linger_is_delivered(&l->wait,
		    socket_unacknowledged_bytes(l->fd),
		    clock_monotonic_us() / US_PER_MS);
		if (linger_can_yield(
			&l->wait, first == NULL ? NULL : &first->wait))
			first = l;
	}
	if (first == NULL)
		return;
	close(first->fd);
	*first = pool->connections[--pool->count];
}

/*
 * Adds a duplicate of fd, which keeps the connection from being closed with
 * fd.
 */
bool
linger_pool_add(struct linger_pool *pool, int fd)
{
	bool added = false;

	pthread_mutex_lock(&pool->lock);
	if (pool->count == pool->max)
		yield_one(pool);
	if (pool->count < pool->max) {
		struct lingering *l = &pool->connections[pool->count];

		l->fd = fcntl(fd, F_DUPFD_CLOEXEC, 0);
		added = l->fd >= 0;
		linger_start(&l->wait, clock_monotonic_us() / US_PER_MS);
		pool->count += added;
		pthread_cond_signal(&pool->changed);
	}
	pthread_mutex_unlock(&pool->lock);
	return added;
}

unsigned
linger_pool_count(struct linger_pool *pool)
{
	unsigned count;

	pthread_mutex_lock(&pool->lock);
	count = pool->count;
	pthread_mutex_unlock(&pool->lock);
	return count;
}

void
linger_pool_free(struct linger_pool *pool)
{
	pthread_mutex_lock(&pool->lock);
	pool->closing = true;
	pthread_cond_signal(&pool->changed);
	pthread_mutex_unlock(&pool->lock);
	pthread_join(pool->thread, NULL);
	for (unsigned i = 0; i < pool->count; i++)
		close_connection(&pool->connections[i], "the stop has ended");
	pthread_cond_destroy(&pool->changed);
	pthread_mutex_destroy(&pool->lock);
	mem_free(pool->connections);
	mem_free(pool);
}
