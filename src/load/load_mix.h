/*
 * The mix of calls in a load, read from a file with one route per line:
 * "NAME weight=N name=value ..."; lines that start with '#' are comments.
 */
#ifndef LOAD_LOAD_MIX_H
#define LOAD_LOAD_MIX_H

#include <stdbool.h>

#include "base/random.h"
#include "base/status.h"

enum {
	LOAD_ROUTES_MAX = 32,
	LOAD_TEXT_BYTES = 128
};

struct load_route {
	char name[LOAD_TEXT_BYTES];
	char service[LOAD_TEXT_BYTES]; /* for the lookup */
	char method[16];
	char host[LOAD_TEXT_BYTES];
	char path[LOAD_TEXT_BYTES];
	char token[LOAD_TEXT_BYTES]; /* tenant's bearer token */
	uint64_t tokens; /* tenants: '%' in token is replaced by 01 to this */
	uint64_t weight;
	uint64_t bytes; /* requested size of the answer */
	uint64_t body; /* size of the request body, bytes */
	uint64_t key; /* 1: not repeatable, sent with an Idempotency-Key */
	uint64_t twice_percent; /* calls sent twice with the same key */
	uint64_t abandon_percent; /* calls abandoned after abandon_ms */
	uint64_t abandon_ms;
	uint64_t timeout_ms;
};

struct load_mix {
	struct load_route routes[LOAD_ROUTES_MAX];
	unsigned count;
	uint64_t weight; /* sum over all routes */
};

enum status load_mix_read(
    const char *path, struct load_mix *mix) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Returns the index of a random route, chosen by weight. */
unsigned load_mix_draw(
    const struct load_mix *mix, struct random *random) ATTR_NONNULL_ALL;

#endif
