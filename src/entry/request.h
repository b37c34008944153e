/*
 * A caller's request: parsing, checks against the policy, body and refusal.
 */
#ifndef ENTRY_REQUEST_H
#define ENTRY_REQUEST_H

#include "base/web.h"
#include "entry/entry.h"

enum {
	REQUEST_REPLAY_BYTES = 64 * 1024, /* of a body, buffered for retries */
	REQUEST_BUFFERED_MAX_BYTES = 128 * 1024 * 1024 /* of all requests */
};

struct request {
	struct entry *entry;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	struct view *view;
	const struct policy_section *section; /* of the service */
	const struct policy_route *route;
	const struct policy_tenant *tenant;
	const struct policy_section *tenant_section;
	struct service *service;
	struct str key; /* Idempotency-Key, without quotes */
	uint32_t depth; /* hops before this one */
	uint64_t arrived_us;
	uint64_t deadline_us;
	struct str_buf body; /* the buffered first part */
	bool body_complete; /* body holds the whole body */
	bool has_body;
	uint64_t body_received; /* bytes read from the connection */
	bool body_too_large; /* detected while streaming */
	bool body_truncated; /* the caller stopped before its end */
};

/*
 * Finds service, tenant and route and checks the request's head; false, with
 * the reason, when the request is refused.
 */
bool request_identify(struct request *request,
    enum refusal_reason *reason) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Buffers the first part of the body, or all of it if whole is set. */
bool request_read_body(struct request *request, bool whole,
    enum refusal_reason *reason) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Reads the body after the first part; 0 at the end, -1 on an error. */
int64_t request_read_more(
    struct request *request, char *out, size_t size) ATTR_NONNULL_ALL;
void request_release(struct request *request) ATTR_NONNULL_ALL;
struct str request_path(const struct request *request) ATTR_NONNULL_ALL;
/* Computes the SHA-256 of method, request target and body. */
void request_digest(const struct request *request,
    uint8_t digest[POLICY_DIGEST_BYTES]) ATTR_NONNULL_ALL;
/* Returns a hash of all by which targets could tell requests apart. */
uint64_t request_content_hash(const struct request *request) ATTR_NONNULL_ALL;
/* Sends a refusal, logs and counts it; returns the HTTP status. */
int request_refuse(struct request *request, enum refusal_reason reason,
    enum refusal_outcome outcome, uint64_t retry_after_us) ATTR_NONNULL(1);

#endif
