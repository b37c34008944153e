#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

static const char close_field[] = "Connection: close\r\n";

/*
 * Writes a status line and the header fields common to all answers.
 */
static void
start_head(struct exchange *x, int status, struct str_buf *out)
{
	str_buf_printf(out, "HTTP/1.1 %d %s\r\n", status,
	    http_status_str((enum http_status)status));
	if (x->close_after || x->http_1_0)
		str_buf_append(out, str_from(close_field));
}

/*
 * Answers with an error of the entry itself, with the reason and the request id
 * that appears in the logs.
 */
void
answer_error(
    struct exchange *x, int status, uint64_t retry_after_us, const char *reason)
{
	char body[256];
	int len = snprintf(body, sizeof(body),
	    "{\"error\":\"%s\",\"request\":\"%s-%" PRIu64 "\"}\n", reason,
	    x->flow->settings.instance, x->id);

	if (x->ended || x->streaming)
		return;
	str_buf_clear(&x->out);
	start_head(x, status, &x->out);
	if (retry_after_us > 0)
		str_buf_printf(&x->out, "Retry-After: %.3f\r\n",
		    (double)retry_after_us / US_PER_S);
	if (status == 401)
		str_buf_printf(&x->out, "WWW-Authenticate: %s\r\n",
		    x->flow->dialect.key_scheme);
	str_buf_printf(&x->out,
	    "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n",
	    len);
	if (x->method != HTTP_HEAD)
		str_buf_append(&x->out, str_of(body, (size_t)len));
	x->ended = true;
	exchange_drop_request(x);
}

/*
 * Writes the head of a target's response.  The length of a complete response is
 * known; any other is forwarded with its own Content-Length or in chunks.
 */
void
answer_target_head(struct exchange *x, const struct upstream *up, bool complete,
    struct str_buf *out)
{
	const char *const without[] = {x->flow->dialect.load_header,
	    x->flow->dialect.identity_header, x->flow->dialect.not_run_header,
	    NULL};
	struct str length = head_find(&up->head, "Content-Length");

	start_head(x, (int)up->parser.status_code, out);
	head_forward(&up->head, without, out);
	if (complete && x->method != HTTP_HEAD) {
		if (up->parser.status_code != 204 &&
		    up->parser.status_code != 304)
			str_buf_printf(
			    out, "Content-Length: %zu\r\n", up->body.len);
	} else if (length.data != NULL) {
		str_buf_printf(
		    out, "Content-Length: %.*s\r\n", STR_ARG(length));
	} else if (!complete) {
		x->chunked = true;
		str_buf_append(
		    out, STR_LITERAL("Transfer-Encoding: chunked\r\n"));
	}
	str_buf_append(out, STR_LITERAL("\r\n"));
}

/*
 * Makes an answer the last one of its connection.  A complete answer that still
 * waits for those before it says so, too.
 */
void
answer_close_after(struct exchange *x)
{
	struct str whole = str_buf_view(&x->out);
	struct str line;
	struct str_buf out = {0};

	if (x->close_after)
		return;
	x->close_after = true;
	if (!x->ended || x->streaming || x->http_1_0 ||
	    !str_split(&whole, '\n', &line))
		return;
	str_buf_reserve(&out, x->out.len + sizeof(close_field));
	str_buf_append(&out, line);
	str_buf_append(&out, STR_LITERAL("\n"));
	str_buf_append(&out, str_from(close_field));
	str_buf_append(&out, whole);
	str_buf_free(&x->out);
	x->out = out;
	memory_track_answer(x);
}
