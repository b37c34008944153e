/*
 * One caller's request: read, checked against the policy, and carried
 * through to its answer.
 */
#ifndef ENTRY_REQUEST_H
#define ENTRY_REQUEST_H

#include "base/web.h"
#include "entry/entry.h"

enum {
	REQUEST_REPLAY_BYTES = 64 * 1024, /* of a body kept for a retry */
	REQUEST_BUFFERED_MAX_BYTES = 128 * 1024 * 1024 /* of all bodies */
};

struct request {
	struct entry *entry;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	struct view *view;
	const struct policy_section *section; /* the service's */
	const struct policy_route *route;
	const struct policy_tenant *tenant;
	const struct policy_section *tenant_section;
	struct service *service;
	struct str key; /* Idempotency-Key, without quotes */
	uint32_t depth; /* hops above this one */
	uint64_t arrived_us;
	uint64_t deadline_us;
	/* The body: its first part, and how much of it was read. */
	struct str_buf body;
	bool body_complete; /* body holds all of it */
	bool has_body;
	uint64_t body_received; /* bytes read off the connection */
	bool body_too_large; /* found out while it was streamed */
	bool body_truncated; /* the caller broke off in it */
};

/*
 * Finds service, tenant and route; false with the reason of a refusal.
 */
bool request_identify(struct request *request,
    enum refusal_reason *reason) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Reads the body's first part, or all of it when whole is asked for. */
bool request_read_body(struct request *request, bool whole,
    enum refusal_reason *reason) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Reads on after the first part; 0 at the end, -1 when broken off. */
int64_t request_read_more(
    struct request *request, char *out, size_t size) ATTR_NONNULL_ALL;
void request_release(struct request *request) ATTR_NONNULL_ALL;
struct str request_path(const struct request *request) ATTR_NONNULL_ALL;
/* SHA-256 over method, target and body. */
void request_digest(const struct request *request,
    uint8_t digest[POLICY_DIGEST_BYTES]) ATTR_NONNULL_ALL;
/* Answers with a refusal, logs and counts it; returns the HTTP status. */
int request_refuse(struct request *request, enum refusal_reason reason,
    enum refusal_outcome outcome, uint64_t retry_after_us) ATTR_NONNULL(1);

#endif
