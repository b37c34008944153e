/*
 * Aggregate: the routes of an accepted document.  A document is built once
 * through the routes_add functions, which hold its rules, and is immutable
 * and shared by reference count from then on.
 */
#ifndef ROUTING_ROUTES_H
#define ROUTING_ROUTES_H

#include <glib.h>

#include "base/refcount.h"
#include "base/status.h"
#include "base/str.h"

enum repeat_policy {
	REPEAT_ALLOWED, /* idempotent */
	REPEAT_ALLOWED_LARGE, /* idempotent, with a large response */
	REPEAT_NEVER /* at most once for each attempt of a caller */
};

struct route_service {
	char *name;
	char *health_path;
	uint32_t max_connections; /* of one target, from all callers */
};

/* One service of a route and its share of the route's requests. */
struct route_destination {
	const struct route_service *service;
	double weight;
	double current_weight; /* smooth weighted round robin; the loop's own */
};

struct route {
	char *name;
	char *host;
	struct str prefix; /* begins with a slash */
	enum repeat_policy repeat;
	uint32_t id; /* hash of the name */
	uint32_t rank; /* 0 is the most urgent */
	uint32_t max_attempts; /* targets for one attempt of a caller */
	uint64_t timeout_ms;
	uint64_t
	    objective_ms; /* latency within which an answer counts in full */
	struct route_destination *destinations;
	unsigned destination_count;
};

struct request_limits {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	uint64_t header_timeout_ms;
	uint64_t idle_timeout_ms;
};

struct routes {
	struct refcount ref;
	uint64_t version; /* the operator's number */
	struct request_limits limits;
	GHashTable *services; /* name -> struct route_service, owned */
	GHashTable *hosts; /* name -> struct route_host, owned */
};

enum {
	ROUTE_TIMEOUT_MAX_MS = 10 * 60 * 1000 /* platform's rule: ten minutes */
};

struct routes *routes_new(uint64_t version) ATTR_UNUSED_RESULT;
struct routes *routes_get(struct routes *routes);
void routes_put(struct routes *routes);

enum status routes_add_service(struct routes *routes, const char *name,
    const char *health_path,
    uint32_t max_connections) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Adds a route without parts.  Takes over nothing: texts are copied.
 * STATUS_INVALID says which rule it breaks.
 */
enum status routes_add(struct routes *routes, const struct route *from,
    struct route **added) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status routes_add_destination(struct routes *routes, struct route *route,
    const char *service, double weight) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

/* The longest prefix of a host that begins the path; NULL: none. */
struct route *routes_find(const struct routes *routes, struct str host,
    struct str path) ATTR_NONNULL_ALL;
/* The part whose turn it is, so that shares follow the weights closely. */
const struct route_service *
route_next_destination(struct route *route) ATTR_NONNULL_ALL;
/* Starts the rotation at a random point, from 0 to 1. */
void routes_randomize_rotation(
    struct routes *routes, uint64_t seed) ATTR_NONNULL_ALL;
bool route_is_idempotent(const struct route *route) ATTR_NONNULL_ALL;

#endif
