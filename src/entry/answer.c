#include "entry/answer.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/call_header.h"
#include "base/status_line.h"

enum {
	HTTP_OK = 200,
	CHUNK_HEAD_BYTES = 20,
	COALESCE_MAX_BYTES = 16 * 1024, /* body bytes written with the head */
	HTTP_NO_CONTENT = 204,
	HTTP_NOT_MODIFIED = 304
};

/*
 * Returns whether a header name equals text, ignoring case (RFC 9110).
 */
bool
answer_header_is(struct str name, const char *text)
{
	return name.len == strlen(text) &&
	    strncasecmp(name.data, text, name.len) == 0;
}

/*
 * Returns whether a header is hop-by-hop.
 */
bool
answer_is_hop_by_hop(struct str name)
{
	static const char *const names[] = {"Connection", "Keep-Alive",
	    "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	    "TE", "Trailer", "Transfer-Encoding", "Upgrade"};

	for (unsigned i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (answer_header_is(name, names[i]))
			return true;
	}
	return false;
}

/*
 * Resets for an answer, or for another one after a retry.
 */
void
answer_reset(struct answer *a)
{
	str_buf_clear(&a->head);
	str_buf_clear(&a->body_copy);
	a->copy_complete = a->copy_max > 0;
	a->content_type[0] = '\0';
	a->status = 0;
	a->head_complete = false;
	a->content_length = -1;
	a->not_started = false;
	a->notice = (struct notice){0};
	a->has_report = false;
	a->report = (struct balance_report){0};
	a->bytes = 0;
}

/*
 * Reads the headers for this hop: body length, load report, what the target
 * says of itself, and the "not started" header, which must name this attempt's
 * span.
 */
static void
read_hop_header(struct answer *a, struct str name, struct str value)
{
	struct call_load load;
	uint64_t length;

	if (answer_header_is(name, "Content-Length")) {
		if (str_to_u64(value, &length) && length <= INT64_MAX)
			a->content_length = (int64_t)length;
	} else if (answer_header_is(name, CALL_HEADER_NOT_STARTED)) {
		a->not_started = str_equal_c(value, a->span);
	} else if (answer_header_is(name, CALL_HEADER_LOAD)) {
		if (!call_header_parse_load(value, &load))
			return;
		a->report.in_flight = (uint32_t)load.in_flight;
		a->report.slots = (uint32_t)load.slots;
		a->has_report = true;
	} else {
		notice_read(&a->notice, a->leaving_header, name, value);
	}
}

/* Returns whether a header is not passed on; the length is set again. */
static bool
is_not_forwarded(struct str name)
{
	return answer_is_hop_by_hop(name) ||
	    answer_header_is(name, "Content-Length") ||
	    answer_header_is(name, CALL_HEADER_NOT_STARTED) ||
	    answer_header_is(name, CALL_HEADER_DRAINING) ||
	    answer_header_is(name, CALL_HEADER_LOAD);
}

/*
 * Handles a line of the target's response head.  A status line resets the
 * answer, since a final response may follow interim ones.
 */
bool
answer_header(struct answer *a, struct str line, long status)
{
	struct status_line status_line = {.at = 0};
	struct str value = str_trim(line);
	struct str name;

	/* Trailers are not forwarded, and must not change the head. */
	if (a->head_complete)
		return true;
	if (str_has_prefix(value, STR_LITERAL("HTTP/"))) {
		if (!status_line_read(&status_line, line))
			return false;
		answer_reset(a);
		a->status = (int)status;
		str_buf_printf(&a->head, "HTTP/1.1 %d %s\r\n", a->status,
		    web_reason(a->status));
		return true;
	}
	if (value.len == 0)
		a->head_complete = status >= HTTP_OK;
	if (value.len == 0 || !str_split(&value, ':', &name))
		return true;
	value = str_trim(value);
	read_hop_header(a, name, value);
	if (answer_header_is(name, "Content-Type"))
		snprintf(a->content_type, sizeof(a->content_type), "%.*s",
		    STR_ARG(value));
	if (!is_not_forwarded(name))
		str_buf_printf(
		    &a->head, "%.*s: %.*s\r\n", STR_ARG(name), STR_ARG(value));
	return true;
}

/*
 * Returns whether the answer has no body because of its method or status,
 * regardless of its headers.
 */
static bool
has_no_body(const struct answer *a)
{
	return a->head_request || a->status == HTTP_NO_CONTENT ||
	    a->status == HTTP_NOT_MODIFIED;
}

/*
 * Returns whether the head states the body's length, and the body is longer
 * than that.  The caller would take the rest for the next answer.
 */
static bool
is_too_long(const struct answer *a)
{
	return a->content_length >= 0 && !has_no_body(a) &&
	    a->bytes > (uint64_t)a->content_length;
}

/*
 * Returns whether a body that was received to its end has the length that the
 * head states.  libcurl may have used another one: it ignores a length beside
 * chunks, and reads only the digits at the start of a value.
 */
bool
answer_is_whole(const struct answer *a)
{
	return a->not_started || a->content_length < 0 || has_no_body(a) ||
	    a->bytes == (uint64_t)a->content_length;
}

/* Returns whether the answer has a body of unknown length. */
static bool
is_chunked(const struct answer *a)
{
	return a->content_length < 0 && !has_no_body(a);
}

/*
 * Completes the head with the framing of the body: a length, chunks, or for
 * HTTP/1.0 callers the end of the connection.
 */
static void
finish_head(struct answer *a)
{
	const char *version = mg_get_request_info(a->conn)->http_version;

	if (a->content_length >= 0 && a->status != HTTP_NO_CONTENT)
		str_buf_printf(&a->head, "Content-Length: %lld\r\n",
		    (long long)a->content_length);
	else if (is_chunked(a) && strcmp(version, "1.1") == 0)
		str_buf_append_c(&a->head, "Transfer-Encoding: chunked\r\n");
	else if (is_chunked(a))
		mg_disable_connection_keep_alive(a->conn);
	if (a->close) {
		mg_disable_connection_keep_alive(a->conn);
		str_buf_append_c(&a->head, "Connection: close\r\n");
	}
	str_buf_append_c(&a->head, "\r\n");
}

/*
 * Writes to the caller.  Returns false when the caller has disconnected,
 * unless the answer is to be read to its end.
 */
static bool
write_to_caller(struct answer *a, struct str data)
{
	if (data.len == 0)
		return true;
	if (a->caller_gone)
		return a->read_to_end;
	a->started = true;
	if (mg_write(a->conn, data.data, data.len) == (int)data.len)
		return true;
	a->caller_gone = true;
	mg_disable_connection_keep_alive(a->conn);
	return a->read_to_end;
}

/* Appends to the claim's copy; beyond copy_max the copy is discarded. */
static void
append_copy(struct answer *a, struct str data)
{
	if (a->copy_max == 0 || !a->copy_complete)
		return;
	if (a->body_copy.len + data.len > a->copy_max) {
		a->copy_complete = false;
		str_buf_free(&a->body_copy);
		return;
	}
	str_buf_append(&a->body_copy, data);
}

/*
 * Writes a part of a body of unknown length: as a chunk, or unframed to an
 * HTTP/1.0 caller.  Returns the result of write_to_caller().
 */
static bool
write_chunk(struct answer *a, struct str data)
{
	const char *version = mg_get_request_info(a->conn)->http_version;
	struct str_buf out = {0};
	bool ok;

	if (strcmp(version, "1.1") != 0)
		return write_to_caller(a, data);
	str_buf_printf(&out, "%zx\r\n", data.len);
	str_buf_append(&out, data);
	str_buf_append_c(&out, "\r\n");
	ok = write_to_caller(a, str_buf_view(&out));
	str_buf_free(&out);
	return ok;
}

/*
 * Passes a part of the body on; a small first part is written together with the
 * head.  Returns false to end the attempt, also for a body that is too long.
 */
bool
answer_write(struct answer *a, struct str data)
{
	if (a->not_started)
		return true;
	a->bytes += data.len;
	if (is_too_long(a))
		return false;
	append_copy(a, data);
	if (!a->started) {
		finish_head(a);
		if (!is_chunked(a) && data.len <= COALESCE_MAX_BYTES) {
			str_buf_append(&a->head, data);
			return write_to_caller(a, str_buf_view(&a->head));
		}
		if (!write_to_caller(a, str_buf_view(&a->head)))
			return false;
	}
	return is_chunked(a) ? write_chunk(a, data) : write_to_caller(a, data);
}

/*
 * Finishes a complete answer: writes the head if that is still missing, and the
 * last chunk.
 */
bool
answer_finish(struct answer *a)
{
	if (!a->started) {
		finish_head(a);
		if (!write_to_caller(a, str_buf_view(&a->head)))
			return false;
	}
	if (is_chunked(a) &&
	    strcmp(mg_get_request_info(a->conn)->http_version, "1.1") == 0)
		return write_to_caller(a, STR_LITERAL("0\r\n\r\n"));
	return true;
}

/*
 * Ends a truncated answer by closing the connection, so that the caller can
 * detect it.
 */
void
answer_abort(struct answer *a)
{
	mg_disable_connection_keep_alive(a->conn);
}

/*
 * Frees an answer's buffers.
 */
void
answer_release(struct answer *a)
{
	str_buf_free(&a->head);
	str_buf_free(&a->body_copy);
}
