/*
 * Connections that linger after their last answer, served by one thread, so
 * that the threads of a server are free for others.
 */
#ifndef BASE_LINGER_POOL_H
#define BASE_LINGER_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct linger_pool;

struct linger_pool *
linger_pool_new(unsigned connections_max) ATTR_UNUSED_RESULT;
/*
 * Keeps a connection open after its owner has shut down its sending side and
 * closed fd.  If the pool is full, one whose peer's host has the last answer is
 * closed; false, and nothing is kept, if there is none.
 */
bool linger_pool_add(struct linger_pool *pool, int fd) ATTR_NONNULL_ALL;
unsigned linger_pool_count(struct linger_pool *pool) ATTR_NONNULL_ALL;
/* Closes what still lingers, which is logged, and ends the thread. */
void linger_pool_free(struct linger_pool *pool) ATTR_NONNULL_ALL;

#endif
