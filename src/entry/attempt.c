#include "entry/attempt.h"

#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "base/call_header.h"
#include "base/clock.h"

enum {
	HEADER_LINE_BYTES = 512,
	TRACE_ID_DIGITS = 32,
	TRACE_ID_OFFSET = 3,
	SPAN_BYTES = 8,
	FLAGS_OFFSET = 53,
	HTTP_SERVER_ERROR = 500
};

static const uint64_t caller_check_interval_us = 200 * US_PER_MS;

/* Returns whether this hop removes a header or replaces it by its own. */
static bool
is_rewritten_header(struct str name)
{
	static const char *const names[] = {"Content-Length", "Expect",
	    "traceparent", CALL_HEADER_TIMEOUT, CALL_HEADER_DEPTH,
	    CALL_HEADER_NOT_STARTED, "Gypsummill-Tenant"};

	for (unsigned i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (name.len == strlen(names[i]) &&
		    mg_strncasecmp(name.data, names[i], name.len) == 0)
			return true;
	}
	return false;
}

/* Returns whether the caller's Connection header lists a name. */
static bool
connection_header_lists(struct str connection, struct str name)
{
	struct str item;

	while (str_split(&connection, ',', &item)) {
		item = str_trim(item);
		if (item.len == name.len &&
		    mg_strncasecmp(item.data, name.data, name.len) == 0)
			return true;
	}
	return false;
}

/* Appends a header line, even with an empty value; returns the list. */
static struct curl_slist *
append_header(struct curl_slist *list, const char *name, const char *value)
{
	struct str_buf line = {0};

	/* "Name;" makes libcurl send a header with an empty value. */
	if (value[0] == '\0')
		str_buf_printf(&line, "%s;", name);
	else
		str_buf_printf(&line, "%s: %s", name, value);
	list = curl_slist_append(list, line.data);
	str_buf_free(&line);
	return list;
}

/* Writes len bytes as 2 * len hexadecimal digits and a NUL. */
static void
to_hex(const uint8_t *bytes, size_t len, char *out)
{
	sodium_bin2hex(out, len * 2 + 1, bytes, len);
}

/* Appends a traceparent: the caller's trace with this attempt as parent. */
static struct curl_slist *
append_traceparent(struct attempt *a, struct curl_slist *list)
{
	struct str parent = web_header(a->request->conn, "traceparent");
	uint8_t random[TRACE_ID_DIGITS / 2 + SPAN_BYTES];
	char trace[TRACE_ID_DIGITS + 1];
	char line[HEADER_LINE_BYTES];
	const char *flags = "00";
	struct str ignored;

	randombytes_buf(random, sizeof(random));
	to_hex(random, SPAN_BYTES, a->span);
	to_hex(random + SPAN_BYTES, TRACE_ID_DIGITS / 2, trace);
	if (call_header_parse_span(parent, &ignored)) {
		memcpy(trace, parent.data + TRACE_ID_OFFSET, TRACE_ID_DIGITS);
		flags = parent.data + FLAGS_OFFSET;
	}
	snprintf(line, sizeof(line), "00-%s-%s-%.2s", trace, a->span, flags);
	return append_header(list, "traceparent", line);
}

/*
 * Appends the headers of this hop: remaining time, depth, tenant, trace.
 * Suppresses those that libcurl adds by default.
 */
static struct curl_slist *
append_own_headers(struct attempt *a, struct curl_slist *list)
{
	const struct request *r = a->request;
	uint64_t now_us = clock_monotonic_us();
	uint64_t left_us =
	    r->deadline_us > now_us ? r->deadline_us - now_us : 0;
	char line[HEADER_LINE_BYTES];
	char timeout[CALL_HEADER_TIMEOUT_BYTES];

	call_header_format_timeout(left_us, timeout);
	list = append_header(list, CALL_HEADER_TIMEOUT, timeout);
	snprintf(line, sizeof(line), "%u", r->depth + 1);
	list = append_header(list, CALL_HEADER_DEPTH, line);
	snprintf(line, sizeof(line), "%.*s", STR_ARG(r->tenant->name));
	list = append_header(list, "Gypsummill-Tenant", line);
	list = append_header(list, "Via", "1.1 gypsummill");
	list = curl_slist_append(list, "Expect:");
	if (web_header(r->conn, "Accept").len == 0)
		list = curl_slist_append(list, "Accept:");
	return append_traceparent(a, list);
}

/*
 * Returns the request headers for the target: the caller's end-to-end ones and
 * those of this hop.  The caller frees the list with curl_slist_free_all().
 */
static struct curl_slist *
make_headers(struct attempt *a)
{
	const struct mg_request_info *info = a->request->info;
	struct str connection = web_header(a->request->conn, "Connection");
	struct curl_slist *list = NULL;

	for (int i = 0; i < info->num_headers; i++) {
		const struct mg_header *header = &info->http_headers[i];
		struct str name = str_from(header->name);

		if (answer_is_hop_by_hop(name) || is_rewritten_header(name) ||
		    connection_header_lists(connection, name))
			continue;
		list = append_header(list, header->name, header->value);
	}
	return append_own_headers(a, list);
}

/*
 * Supplies the next part of the body: first the buffered bytes, then bytes read
 * from the caller, after which the body cannot be sent again.  Returns their
 * number, 0 at the end, -1 when the caller stopped early or sent too much.
 */
static int64_t
read_request_body(void *ctx, char *out, size_t size)
{
	struct attempt *a = ctx;
	struct request *r = a->request;
	int64_t got;

	if (a->body_sent < r->body.len) {
		size_t left = r->body.len - a->body_sent;
		size_t part = left < size ? left : size;

		memcpy(out, r->body.data + a->body_sent, part);
		a->body_sent += part;
		return (int64_t)part;
	}
	if (r->body_complete)
		return 0;
	a->body_streamed = true;
	got = request_read_more(r, out, size);
	if (got > 0)
		a->body_sent += (uint64_t)got;
	return got;
}

/* Acts on what the target said of itself in the complete head. */
static void
apply_notice(struct attempt *a)
{
	const struct notice_target target = {
	    .id = balancer_ticket_id(&a->ticket),
	    .incarnation = balancer_ticket_incarnation(&a->ticket),
	    .source = "answer",
	};

	notice_apply(a->request->entry->notices, &target, &a->answer.notice,
	    a->answer.status);
}

/*
 * Passes a line of the response head to the answer.  What the target says of
 * itself is in force before any byte of its answer goes out.
 */
static bool
on_response_header(void *ctx, struct str line, long status)
{
	struct attempt *a = ctx;
	bool was_complete = a->answer.head_complete;
	bool ok = answer_header(&a->answer, line, status);

	if (!was_complete && a->answer.head_complete)
		apply_notice(a);
	return ok;
}

/* Returns whether the request must not be sent to the target any more. */
static bool
is_withdrawn(void *ctx)
{
	const struct attempt *a = ctx;

	return balancer_ticket_is_withdrawn(&a->ticket, clock_monotonic_us());
}

/* Passes a part of the response body on; false ends the attempt. */
static bool
on_response_body(void *ctx, struct str data)
{
	struct attempt *a = ctx;

	return answer_write(&a->answer, data);
}

/*
 * Returns whether to cancel a repeatable call because its caller has
 * disconnected.  Not checked once the answer has started: writes then detect
 * it, and a caller that has the whole answer may close before the attempt
 * ends.
 */
static bool
is_cancelled(void *ctx)
{
	struct attempt *a = ctx;
	uint64_t now_us = clock_monotonic_us();

	if (a->answer.started || now_us < a->next_caller_check_us)
		return false;
	a->next_caller_check_us = now_us + caller_check_interval_us;
	if (web_caller_disconnected(a->request->conn))
		a->answer.caller_gone = true;
	return a->answer.caller_gone;
}

/* Handles a complete response: finishes the answer, or records a shed call. */
static void
finish_complete(struct attempt *a)
{
	if (a->answer.not_started) {
		a->failure = RETRY_SHED;
		a->outcome = BALANCE_SHED;
		return;
	}
	a->outcome = a->answer.status >= HTTP_SERVER_ERROR ? BALANCE_ERROR
							   : BALANCE_ANSWERED;
	a->answered = answer_finish(&a->answer);
	if (!a->answered)
		a->failure = RETRY_ANSWER_STARTED;
}

/*
 * Derives the failure for the retry rules and the outcome for the balancer from
 * the transfer's result.  Errors of the caller don't count against the target.
 */
static void
classify_result(struct attempt *a, const struct upstream_result *result)
{
	a->timed_out = result->timed_out;
	a->withdrawn = result->withdrawn;
	if (a->withdrawn) {
		/* Says nothing about the target, like a call it refused. */
		a->failure = RETRY_NOT_SENT;
		a->outcome = BALANCE_SHED;
		return;
	}
	if (result->complete && answer_is_whole(&a->answer)) {
		finish_complete(a);
		return;
	}
	a->outcome = a->answer.caller_gone || a->request->body_truncated ||
		a->request->body_too_large
	    ? BALANCE_CANCELLED
	    : BALANCE_BROKEN;
	if (a->answer.started) {
		a->failure = RETRY_ANSWER_STARTED;
		answer_abort(&a->answer);
	} else if (!result->sent) {
		a->failure = RETRY_NOT_SENT;
		a->outcome = BALANCE_UNREACHABLE;
	} else {
		a->failure = RETRY_BROKEN;
	}
}

/*
 * Sends the request to a target and passes the answer on to the caller.
 */
void
attempt_run(struct attempt *a, const struct balance_ticket *ticket)
{
	struct request *r = a->request;
	const struct mg_request_info *info = r->info;
	uint64_t start_us = clock_monotonic_us();
	struct str_buf target = {0};
	struct upstream_result result;
	struct upstream_call call = {
	    .address = balancer_ticket_address(ticket),
	    .incarnation = balancer_ticket_incarnation(ticket),
	    .method = info->request_method,
	    .has_body = r->has_body,
	    .body_length = info->content_length,
	    .new_connection = !r->route->repeatable,
	    .deadline_us = r->deadline_us,
	    .ctx = a,
	    .read = read_request_body,
	    .header = on_response_header,
	    .write = on_response_body,
	    .withdrawn = is_withdrawn,
	};

	a->ticket = *ticket;
	a->answered = false;
	a->body_sent = 0;
	a->next_caller_check_us = start_us + caller_check_interval_us;
	a->answer.span = a->span;
	answer_reset(&a->answer);
	if (r->route->repeatable)
		call.cancelled = is_cancelled;
	if (r->body_complete)
		call.body_length = (int64_t)r->body.len;
	str_buf_append_c(&target, info->request_uri);
	if (info->query_string != NULL)
		str_buf_printf(&target, "?%s", info->query_string);
	call.request_target = str_buf_view(&target);
	call.headers = make_headers(a);
	upstream_perform(r->entry->upstream, &call, &result);
	curl_slist_free_all(call.headers);
	str_buf_free(&target);
	a->duration_us = clock_monotonic_us() - start_us;
	classify_result(a, &result);
}
