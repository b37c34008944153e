#include "entry/request.h"

#include <ctype.h>
#include <string.h>

#include <sodium.h>

#include "base/call_header.h"
#include "base/clock.h"
#include "base/memory.h"

enum {
	READ_BYTES = 16 * 1024,
	KEY_MAX_BYTES = 255
};

/*
 * Returns the path as received, without the query.
 */
struct str
request_path(const struct request *request)
{
	return str_from(request->info->request_uri);
}

/* Returns the host without its port; an IPv6 literal is returned unchanged. */
static struct str
request_host(const struct request *request)
{
	struct str rest = web_header(request->conn, "Host");
	struct str host = {0};

	if (rest.len > 0 && rest.data[0] == '[')
		return rest;
	(void)str_split(&rest, ':', &host);
	return host;
}

/*
 * Returns whether there is a dot at this position, plain or percent-encoded;
 * sets len to its size in bytes.
 */
static bool
is_dot(const char *at, const char *end, size_t *len)
{
	if (at < end && *at == '.') {
		*len = 1;
		return true;
	}
	if (end - at >= 3 && at[0] == '%' && at[1] == '2' &&
	    (at[2] == 'e' || at[2] == 'E')) {
		*len = 3;
		return true;
	}
	return false;
}

/*
 * Returns whether the path has a dot segment.  The policy and the target could
 * resolve it to different paths.
 */
static bool
has_dot_segment(struct str path)
{
	const char *end = path.data + path.len;

	for (const char *at = path.data; at < end; at++) {
		const char *p = at + 1;
		size_t len;
		unsigned dots = 0;

		if (*at != '/')
			continue;
		while (is_dot(p, end, &len)) {
			p += len;
			dots++;
		}
		if (dots > 0 && dots <= 2 && (p == end || *p == '/'))
			return true;
	}
	return false;
}

/* Returns how many times the request has a header. */
static unsigned
count_headers(const struct request *request, const char *name)
{
	const struct mg_request_info *info = request->info;
	unsigned count = 0;

	for (int i = 0; i < info->num_headers; i++) {
		if (mg_strcasecmp(info->http_headers[i].name, name) == 0)
			count++;
	}
	return count;
}

/*
 * Returns whether every hop interprets the request in the same way: an absolute
 * path without dot segments, no repeated Host, Authorization, Idempotency-Key
 * or body length headers, and no conflicting body lengths.
 */
static bool
is_well_formed(const struct request *request)
{
	struct str path = request_path(request);

	if (path.len == 0 || path.data[0] != '/' || has_dot_segment(path))
		return false;
	if (count_headers(request, "Content-Length") > 1 ||
	    count_headers(request, "Transfer-Encoding") > 1 ||
	    count_headers(request, "Host") > 1 ||
	    count_headers(request, "Idempotency-Key") > 1 ||
	    count_headers(request, "Authorization") > 1)
		return false;
	return count_headers(request, "Content-Length") == 0 ||
	    count_headers(request, "Transfer-Encoding") == 0;
}

/*
 * Acquires the current view and finds the service by host, method and path.
 * Returns false, with the reason, also when the entry has no lease and the
 * service must not be served without one.
 */
static bool
find_service(struct request *r, enum refusal_reason *reason)
{
	r->view = view_acquire(r->entry->views);
	if (r->view == NULL || r->view->policy->fleet == NULL) {
		*reason = REFUSAL_NO_DOCUMENT;
		return false;
	}
	r->section = policy_find_service(r->view->policy, request_host(r),
	    str_from(r->info->request_method), request_path(r));
	if (r->section == NULL) {
		*reason = REFUSAL_UNKNOWN_SERVICE;
		if (!entry_has_lease(r->entry))
			*reason = REFUSAL_ENTRY_CUT_OFF;
		return false;
	}
	if (r->section->service.cut_off == POLICY_CUT_OFF_REFUSE &&
	    !entry_has_lease(r->entry)) {
		*reason = REFUSAL_ENTRY_CUT_OFF;
		return false;
	}
	r->service = view_service(r->view, r->section->name);
	counter_add(r->service->calls, 1);
	return true;
}

/*
 * Finds the tenant by its bearer token; false, with the reason, if the token is
 * missing or unknown.
 */
static bool
find_tenant(struct request *r, enum refusal_reason *reason)
{
	static const struct str scheme = STR_LITERAL("Bearer ");
	struct str token = web_header(r->conn, "Authorization");

	*reason = REFUSAL_NO_TENANT;
	if (!str_has_prefix(token, scheme))
		return false;
	token = str_of(token.data + scheme.len, token.len - scheme.len);
	r->tenant = policy_find_tenant(
	    r->view->policy, str_trim(token), &r->tenant_section);
	return r->tenant != NULL;
}

/* Finds the route; false, with the reason, if the tenant may not use it. */
static bool
find_route(struct request *r, enum refusal_reason *reason)
{
	r->route = policy_find_route(&r->section->service,
	    str_from(r->info->request_method), request_path(r));
	if (r->route == NULL) {
		*reason = REFUSAL_UNKNOWN_ROUTE;
		return false;
	}
	*reason = REFUSAL_TENANT_NOT_ALLOWED;
	return policy_route_admits(r->route, r->tenant->name);
}

/*
 * Reads the number of hops before this one, 0 without the header; false, with
 * the reason, if it is malformed or at the fleet's limit.
 */
static bool
read_depth(struct request *r, enum refusal_reason *reason)
{
	struct str text = web_header(r->conn, CALL_HEADER_DEPTH);
	uint64_t depth = 0;

	if (text.len > 0 && (!str_to_u64(text, &depth) || depth > UINT32_MAX)) {
		*reason = REFUSAL_MALFORMED_REQUEST;
		return false;
	}
	r->depth = (uint32_t)depth;
	*reason = REFUSAL_DEPTH_EXCEEDED;
	return r->depth < r->view->policy->fleet->depth_max;
}

/*
 * Sets the deadline, relative to the arrival: the earlier of the caller's and
 * the route's.  Returns false, with the reason, if the caller's is malformed or
 * at most 1 ms is left.
 */
static bool
read_deadline(struct request *r, enum refusal_reason *reason)
{
	struct str text = web_header(r->conn, CALL_HEADER_TIMEOUT);
	uint64_t bound_us = r->route->deadline_ms * US_PER_MS;
	uint64_t left_us = bound_us;

	if (text.len > 0 && !call_header_parse_timeout(text, &left_us)) {
		*reason = REFUSAL_MALFORMED_REQUEST;
		return false;
	}
	if (left_us > bound_us)
		left_us = bound_us;
	r->deadline_us = r->arrived_us + left_us;
	*reason = REFUSAL_DEADLINE_TOO_SHORT;
	return left_us > US_PER_MS;
}

/*
 * Reads the idempotency key of a non-idempotent call: a structured-field
 * string, or an unquoted key.  Returns false, with the reason, if it is missing or
 * malformed.
 */
static bool
read_key(struct request *r, enum refusal_reason *reason)
{
	struct str key = str_trim(web_header(r->conn, "Idempotency-Key"));

	if (r->route->repeatable)
		return true;
	if (key.len >= 2 && key.data[0] == '"' && key.data[key.len - 1] == '"')
		key = str_of(key.data + 1, key.len - 2);
	*reason =
	    key.len == 0 ? REFUSAL_KEY_MISSING : REFUSAL_MALFORMED_REQUEST;
	if (key.len == 0 || key.len > KEY_MAX_BYTES)
		return false;
	for (size_t i = 0; i < key.len; i++) {
		if (!isprint((unsigned char)key.data[i]))
			return false;
	}
	r->key = key;
	return true;
}

/*
 * Returns false, with the reason, when Content-Length exceeds the route's
 * limit.  A body without a length is checked while it is read.
 */
static bool
check_length(const struct request *r, enum refusal_reason *reason)
{
	long long length = r->info->content_length;

	*reason = REFUSAL_BODY_TOO_LARGE;
	return length <= 0 ||
	    (unsigned long long)length <= r->route->body_max_bytes;
}

/*
 * Finds service, tenant and route of a request and checks its head against the
 * current policy.
 */
bool
request_identify(struct request *r, enum refusal_reason *reason)
{
	if (!is_well_formed(r)) {
		*reason = REFUSAL_MALFORMED_REQUEST;
		return false;
	}
	return find_service(r, reason) && find_tenant(r, reason) &&
	    find_route(r, reason) && read_depth(r, reason) &&
	    read_deadline(r, reason) && read_key(r, reason) &&
	    check_length(r, reason);
}

/* Returns whether the request has a body. */
static bool
has_body(const struct request *r)
{
	return r->info->content_length > 0 ||
	    web_header(r->conn, "Transfer-Encoding").len > 0;
}

/* Sends 100 Continue to a caller that expects it. */
static void
send_continue(const struct request *r)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (web_header(r->conn, "Expect").len > 0)
		mg_write(r->conn, line, sizeof(line) - 1);
}

/*
 * Reads body bytes from the connection.  Returns their number, 0 at the end, -1
 * when the caller stopped early or the body exceeds the route's limit.
 */
int64_t
request_read_more(struct request *r, char *out, size_t size)
{
	long long length = r->info->content_length;
	int got = mg_read(r->conn, out, size);

	if (got < 0 ||
	    (got == 0 && length > 0 && r->body_received < (uint64_t)length)) {
		r->body_truncated = true;
		return -1;
	}
	r->body_received += (uint64_t)got;
	if (r->body_received > r->route->body_max_bytes) {
		r->body_too_large = true;
		return -1;
	}
	return got;
}

/*
 * Reads the body into memory: its first part, so that a small body can be sent
 * again on a retry, or all of it.  Returns false, with the reason, on an error
 * or when all buffered bodies exceed REQUEST_BUFFERED_MAX_BYTES.
 */
bool
request_read_body(struct request *r, bool whole, enum refusal_reason *reason)
{
	struct counter *buffered = r->entry->counters.buffered;
	char chunk[READ_BYTES];

	r->has_body = has_body(r);
	r->body_complete = !r->has_body;
	if (!r->has_body)
		return true;
	send_continue(r);
	while (whole || r->body.len < REQUEST_REPLAY_BYTES) {
		int64_t got;

		if (counter_get(buffered) > REQUEST_BUFFERED_MAX_BYTES) {
			*reason = REFUSAL_QUEUE_FULL;
			return false;
		}
		got = request_read_more(r, chunk, sizeof(chunk));
		if (got < 0) {
			*reason = r->body_too_large ? REFUSAL_BODY_TOO_LARGE
						    : REFUSAL_MALFORMED_REQUEST;
			return false;
		}
		if (got == 0) {
			r->body_complete = true;
			return true;
		}
		str_buf_append(&r->body, str_of(chunk, (size_t)got));
		counter_add(buffered, got);
		if (r->info->content_length > 0 &&
		    r->body_received == (uint64_t)r->info->content_length) {
			r->body_complete = true;
			return true;
		}
	}
	return true;
}

/*
 * Frees a request's body and releases its view.
 */
void
request_release(struct request *r)
{
	counter_add(r->entry->counters.buffered, -(int64_t)r->body.len);
	str_buf_free(&r->body);
	view_release(r->view);
	r->view = NULL;
}

/*
 * Computes the digest by which requests are compared: the SHA-256 of method,
 * path, query and body.
 */
void
request_digest(const struct request *r, uint8_t digest[POLICY_DIGEST_BYTES])
{
	const struct mg_request_info *info = r->info;
	const char *query =
	    info->query_string != NULL ? info->query_string : "";
	crypto_hash_sha256_state state;
	const char *parts[] = {info->request_method, info->request_uri, query};

	crypto_hash_sha256_init(&state);
	for (unsigned i = 0; i < 3; i++)
		crypto_hash_sha256_update(&state,
		    (const unsigned char *)parts[i], strlen(parts[i]) + 1);
	if (r->body.len > 0)
		crypto_hash_sha256_update(
		    &state, (const unsigned char *)r->body.data, r->body.len);
	crypto_hash_sha256_final(&state, digest);
}

/*
 * Returns a hash of method, host, request target, tenant and body; of a long
 * body that is passed on while it is read, the first part and the length.
 */
uint64_t
request_content_hash(const struct request *r)
{
	const struct mg_request_info *info = r->info;
	const char *query =
	    info->query_string != NULL ? info->query_string : "";
	uint64_t hash = str_hash(str_from(info->request_method));

	hash = str_hash_with(web_header(r->conn, "Host"), hash);
	hash = str_hash_with(str_from(info->request_uri), hash);
	hash = str_hash_with(str_from(query), hash);
	hash = str_hash_with(r->tenant->name, hash);
	hash = str_hash_with(str_buf_view(&r->body), hash);
	return str_hash_with(str_of((const char *)&info->content_length,
				 sizeof(info->content_length)),
	    hash);
}
