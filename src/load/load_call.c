#include "load/load_call.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/http_transfer.h"
#include "base/memory.h"
#include "base/pattern.h"
#include "base/str.h"

enum {
	URL_BYTES = 512,
	HEADER_BYTES = 256,
	PROBLEM_MAX_BYTES = 8192,
	NONCE_DIGITS = 16
};

struct load_reasons {
	pthread_mutex_t lock;
	char names[LOAD_REASONS_MAX][LOAD_REASON_BYTES];
	unsigned count;
};

/* State of one transfer: what was received and how much body was sent. */
struct answer {
	const struct load_record *record;
	struct str_buf
	    problem; /* body of an answer with a status other than 200 */
	uint64_t bytes;
	uint64_t nonce;
	uint64_t target_us;
	bool has_nonce;
	bool wrong_body;
	bool replayed;
	CURL *easy;
	uint64_t body_sent;
	uint64_t body_bytes;
};

/*
 * Creates an empty set of reasons; load_reasons_free() frees it.
 */
struct load_reasons *
load_reasons_new(void)
{
	struct load_reasons *reasons = mem_calloc(1, sizeof(*reasons));

	pthread_mutex_init(&reasons->lock, NULL);
	reasons->count = 1;
	return reasons;
}

/*
 * Frees a set of reasons; NULL is allowed.
 */
void
load_reasons_free(struct load_reasons *reasons)
{
	mem_free(reasons);
}

/*
 * Returns the name of a reason, owned by the set; empty for an index out of
 * range.
 */
const char *
load_reasons_name(const struct load_reasons *reasons, unsigned index)
{
	return index < reasons->count ? reasons->names[index] : "";
}

/*
 * Returns the index of a reason, adding it if it is new; 0 (no reason) when the
 * set already has LOAD_REASONS_MAX.  Thread-safe.
 */
static unsigned
reason_index(struct load_reasons *reasons, const char *name)
{
	unsigned i;

	pthread_mutex_lock(&reasons->lock);
	for (i = 1; i < reasons->count; i++) {
		if (strcmp(reasons->names[i], name) == 0)
			break;
	}
	if (i == reasons->count && i < LOAD_REASONS_MAX)
		snprintf(reasons->names[reasons->count++], LOAD_REASON_BYTES,
		    "%s", name);
	pthread_mutex_unlock(&reasons->lock);
	return i < LOAD_REASONS_MAX ? i : 0;
}

/*
 * Header callback of curl: stores the nonce of the answer, the target's service
 * time (Server-Timing, milliseconds) and whether the answer is a replay.  Never
 * aborts the transfer.
 */
static size_t
receive_header(char *data, size_t size, size_t count, void *ctx)
{
	static const char nonce[] = "X-Nonce:";
	static const char timing[] = "Server-Timing: target;dur=";
	static const char replayed[] = "Idempotency-Replayed:";
	struct answer *answer = ctx;
	size_t len = size * count;

	if (len > sizeof(nonce) &&
	    strncasecmp(data, nonce, sizeof(nonce) - 1) == 0) {
		answer->nonce = strtoull(data + sizeof(nonce) - 1, NULL, 16);
		answer->has_nonce = true;
	} else if (len > sizeof(timing) &&
	    strncasecmp(data, timing, sizeof(timing) - 1) == 0) {
		answer->target_us =
		    (uint64_t)(strtod(data + sizeof(timing) - 1, NULL) *
			    US_PER_MS +
			0.5);
	} else if (len > sizeof(replayed) &&
	    strncasecmp(data, replayed, sizeof(replayed) - 1) == 0) {
		answer->replayed = true;
	}
	return len;
}

/*
 * Write callback of curl: checks the body of a 200 answer against the pattern
 * of the request's nonce.  The body of any other answer is stored, up to
 * PROBLEM_MAX_BYTES, to extract its code.
 */
static size_t
receive_body(char *data, size_t size, size_t count, void *ctx)
{
	struct answer *answer = ctx;
	size_t len = size * count;
	long status = 0;

	curl_easy_getinfo(answer->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status != 200) {
		if (answer->problem.len + len <= PROBLEM_MAX_BYTES)
			str_buf_append(&answer->problem, str_of(data, len));
		return len;
	}
	if (!pattern_matches(answer->record->nonce, answer->bytes, data, len))
		answer->wrong_body = true;
	answer->bytes += len;
	return len;
}

/*
 * Read callback of curl: generates the next part of the request body, the
 * pattern of its nonce; returns 0 at the end.
 */
static size_t
supply_body(char *out, size_t size, size_t count, void *ctx)
{
	struct answer *answer = ctx;
	uint64_t left = answer->body_bytes - answer->body_sent;
	size_t part = size * count < left ? size * count : left;

	pattern_fill(answer->record->nonce, answer->body_sent, out, part);
	answer->body_sent += part;
	return part;
}

/*
 * Seek callback of curl, which restarts the body when it retries on a new
 * connection.
 */
static int
seek_body(void *ctx, curl_off_t offset, int origin ATTR_UNUSED)
{
	struct answer *answer = ctx;

	answer->body_sent = (uint64_t)offset;
	return CURL_SEEKFUNC_OK;
}

/*
 * Writes the Authorization line.  The nonce determines which of the route's
 * tenants calls.
 */
static void
write_token(const struct load_route *route, const struct load_record *record,
    char *out, size_t size)
{
	struct str rest = str_from(route->token);
	uint64_t tenant =
	    (record->nonce >> 20) % (route->tokens > 0 ? route->tokens : 1) + 1;
	struct str head;

	if (!str_split(&rest, '%', &head) || rest.data == NULL)
		snprintf(out, size, "Authorization: Bearer %s", route->token);
	else
		snprintf(out, size, "Authorization: Bearer %.*s%02u%.*s",
		    STR_ARG(head), (unsigned)tenant, STR_ARG(rest));
}

/*
 * Returns the header lines of a request, to be freed by curl_slist_free_all():
 * the nonce and, if the route has them, host, token and idempotency key.
 */
static struct curl_slist *
make_headers(const struct load_route *route, const struct load_record *record)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	char line[HEADER_BYTES];

	snprintf(line, sizeof(line), "X-Nonce: %016llx",
	    (unsigned long long)record->nonce);
	list = curl_slist_append(list, line);
	if (route->host[0] != '\0') {
		snprintf(line, sizeof(line), "Host: %s", route->host);
		list = curl_slist_append(list, line);
	}
	if (route->token[0] != '\0') {
		write_token(route, record, line, sizeof(line));
		list = curl_slist_append(list, line);
	}
	if (route->key > 0) {
		snprintf(line, sizeof(line), "Idempotency-Key: \"%016llx\"",
		    (unsigned long long)record->nonce);
		list = curl_slist_append(list, line);
	}
	return list;
}

/*
 * Resets the handle's options and sets them for one request; its connections
 * stay open.  headers and answer must outlive the transfer.
 */
static void
set_options(CURL *easy, const char *address, const struct load_route *route,
    const struct load_record *record, struct answer *answer,
    struct curl_slist *headers)
{
	char url[URL_BYTES];

	snprintf(url, sizeof(url), "http://%s%s%cbytes=%llu", address,
	    route->path, strchr(route->path, '?') != NULL ? '&' : '?',
	    (unsigned long long)route->bytes);
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, route->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
	    (long)(record->abandon ? route->abandon_ms : route->timeout_ms));
	if (route->body == 0)
		return;
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, supply_body);
	curl_easy_setopt(easy, CURLOPT_READDATA, answer);
	curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, seek_body);
	curl_easy_setopt(easy, CURLOPT_SEEKDATA, answer);
	curl_easy_setopt(
	    easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)route->body);
}

/*
 * Returns a string member, owned by the object; NULL when it is missing or not
 * a string.
 */
static const char *
get_string_member(struct json_object *object, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, name, &value) ||
	    !json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}

/*
 * Sets outcome and reason from an application/problem+json body.
 */
static void
read_problem(struct load_record *record, const struct answer *answer,
    struct load_reasons *reasons)
{
	struct json_object *root = answer->problem.len > 0
	    ? json_tokener_parse(answer->problem.data)
	    : NULL;
	const char *outcome = get_string_member(root, "outcome");
	const char *code = get_string_member(root, "code");

	record->outcome = LOAD_ERROR;
	if (outcome != NULL)
		record->outcome = strcmp(outcome, "not-run") == 0
		    ? LOAD_NOT_RUN
		    : LOAD_UNKNOWN;
	if (code == NULL)
		code = get_string_member(root, "reason");
	if (code != NULL)
		record->reason = reason_index(reasons, code);
	json_object_put(root);
}

/*
 * Sets outcome, reason and the target's time of a finished transfer.  The
 * answer of another request takes precedence over every other outcome; a
 * time-out counts as LOAD_ABANDONED only for a call planned to be abandoned.
 */
static void
classify_outcome(struct load_record *record, const struct answer *answer,
    const struct load_route *route, CURLcode code, struct load_reasons *reasons)
{
	bool timed_out = code == CURLE_OPERATION_TIMEDOUT;

	record->target_us = answer->target_us;
	record->replayed = answer->replayed;
	if (answer->wrong_body ||
	    (answer->has_nonce && answer->nonce != record->nonce))
		record->outcome = LOAD_WRONG_ANSWER;
	else if (record->abandon && timed_out)
		record->outcome = LOAD_ABANDONED;
	else if (code != CURLE_OK)
		record->outcome = record->http_status != 0 ? LOAD_DISCONNECTED
							   : LOAD_UNREACHABLE;
	else if (record->http_status != 200)
		read_problem(record, answer, reasons);
	else if (answer->bytes != route->bytes)
		record->outcome = LOAD_TRUNCATED;
	else
		record->outcome = LOAD_COMPLETE;
}

/*
 * Sends a planned call to an address (IP:PORT) and records the result.  Returns
 * false when no connection could be made.  The handle must not be used by
 * another thread.
 */
bool
load_call_send(CURL *easy, const char *address, const struct load_route *route,
    struct load_record *record, struct load_reasons *reasons)
{
	struct answer answer = {
	    .record = record,
	    .target_us = UINT64_MAX,
	    .easy = easy,
	    .body_bytes = route->body,
	};
	struct curl_slist *headers = make_headers(route, record);
	long status = 0;
	CURLcode code;

	set_options(easy, address, route, record, &answer, headers);
	code = http_transfer_perform(easy, receive_header, &answer);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	record->http_status = (uint32_t)status;
	classify_outcome(record, &answer, route, code, reasons);
	curl_slist_free_all(headers);
	str_buf_free(&answer.problem);
	return code != CURLE_COULDNT_CONNECT;
}
