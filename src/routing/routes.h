/*
 * Routes of an accepted document.  They are built once by the routes_add
 * functions, which validate them, and are immutable and reference-counted
 * afterwards, except for the position of the weighted rotation.
 */
#ifndef ROUTING_ROUTES_H
#define ROUTING_ROUTES_H

#include <glib.h>

#include "base/refcount.h"
#include "base/status.h"
#include "base/str.h"
#include "routing/accounts.h"

enum repeat_policy {
	REPEAT_ALLOWED, /* idempotent */
	REPEAT_ALLOWED_LARGE, /* idempotent, with a large response */
	REPEAT_NEVER /* at most once per attempt of a caller */
};

struct route_service {
	char *name;
	char *health_path;
	uint32_t max_connections; /* to one target, from all entries */
	uint64_t warmup_ms; /* how long a target is cold after its start */
	/* requests per second that a cold target tolerates; 0: no limit */
	double warmup_per_s;
};

/* A service of a route with its share of the requests. */
struct route_destination {
	const struct route_service *service;
	double weight;
	/* of smooth weighted round robin; changed by the loop only */
	double current_weight;
};

struct route {
	char *name;
	char *host;
	struct str prefix; /* begins with a slash */
	enum repeat_policy repeat;
	bool public; /* needs no key, also in a document with accounts */
	uint32_t id; /* hash of the name */
	uint32_t rank; /* 0 is the most urgent */
	uint32_t max_attempts; /* targets tried per attempt of a caller */
	uint64_t timeout_ms;
	uint64_t objective_ms; /* an answer within this has full value */
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
	uint64_t version; /* assigned by the operator */
	struct request_limits limits;
	GHashTable *services; /* name -> struct route_service, owned */
	GHashTable *hosts; /* name -> struct route_host, owned */
	/* NULL: the document has none, and requests need no key */
	struct accounts *accounts;
};

enum {
	/* ten minutes, required by the platform */
	ROUTE_TIMEOUT_MAX_MS = 10 * 60 * 1000
};

struct routes *routes_new(uint64_t version) ATTR_UNUSED_RESULT;
struct routes *routes_get(struct routes *routes);
void routes_put(struct routes *routes);

enum status routes_add_service(struct routes *routes, const char *name,
    const char *health_path,
    uint32_t max_connections) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Sets how a service's targets warm up; the service was added before. */
void routes_set_warmup(struct routes *routes, const char *name,
    uint64_t warmup_ms, double warmup_per_s) ATTR_NONNULL_ALL;
/*
 * Adds a route without destinations.  Strings are copied.  Returns
 * STATUS_INVALID with a message if it breaks a rule.
 */
enum status routes_add(struct routes *routes, const struct route *from,
    struct route **added) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status routes_add_destination(struct routes *routes, struct route *route,
    const char *service, double weight) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

/* The route with the longest prefix of the path on a host, or NULL. */
struct route *routes_find(const struct routes *routes, struct str host,
    struct str path) ATTR_NONNULL_ALL;
/*
 * The routes by host, without regard to case, and prefix; the caller frees the
 * list, not its elements.
 */
GPtrArray *routes_list(const struct routes *routes) ATTR_NONNULL_ALL;
/* The service of the next request, by smooth weighted round robin. */
const struct route_service *
route_next_destination(struct route *route) ATTR_NONNULL_ALL;
/* Starts the rotation of each route at a random point. */
void routes_randomize_rotation(
    struct routes *routes, uint64_t seed) ATTR_NONNULL_ALL;
bool route_is_idempotent(const struct route *route) ATTR_NONNULL_ALL;

#endif
