/*
 * Parsing of targets' responses: whether a response is complete, and when
 * reading stops.
 */
#include <strings.h>

#include "flow/flow_internal.h"

enum {
	/* for targets that do not send Keep-Alive */
	KEEP_ALIVE_DEFAULT_MS = 4000,
	KEEP_ALIVE_MARGIN_MS = 1200, /* targets give whole seconds */
	KEEP_ALIVE_MAX_MS = 60 * 1000,
	PROBE_BODY_MAX = 4096,
	TIGHT_RESPONSE_MAX_BYTES = 64 << 10,
	INTERIM_MAX = 16 /* 1xx responses per request */
};

static int on_begin(http_parser *parser);
static int on_field(http_parser *parser, const char *at, size_t len);
static int on_value(http_parser *parser, const char *at, size_t len);
static int on_head(http_parser *parser);
static int on_body(http_parser *parser, const char *at, size_t len);
static int on_complete(http_parser *parser);

const http_parser_settings response_settings = {
    .on_message_begin = on_begin,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/*
 * Returns how long the target keeps an idle connection, in milliseconds.
 */
static uint64_t
read_keep_alive_ms(const struct head *head)
{
	struct str rest = head_find(head, "Keep-Alive");
	struct str item;
	uint64_t seconds;

	while (rest.data != NULL && str_split(&rest, ',', &item)) {
		item = str_trim(item);
		if (item.len > 8 &&
		    strncasecmp(item.data, "timeout=", 8) == 0 &&
		    str_to_u64(str_of(item.data + 8, item.len - 8), &seconds) &&
		    seconds < KEEP_ALIVE_MAX_MS / 1000)
			return seconds * 1000 > KEEP_ALIVE_MARGIN_MS
			    ? seconds * 1000 - KEEP_ALIVE_MARGIN_MS
			    : 0;
	}
	return KEEP_ALIVE_DEFAULT_MS;
}

static int
on_begin(http_parser *parser)
{
	struct upstream *up = parser->data;

	up->in_response = true;
	up->complete = false;
	up->attribution = ATTRIBUTION_OWN;
	up->not_run = false;
	head_clear(&up->head);
	str_buf_clear(&up->body);
	return 0;
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
	struct upstream *up = parser->data;

	/* Trailers are not forwarded, and say nothing about the response. */
	if ((parser->flags & F_TRAILING) != 0)
		return 0;
	return head_append_name(&up->head, str_of(at, len)) ? 0 : 1;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct upstream *up = parser->data;

	if ((parser->flags & F_TRAILING) != 0)
		return 0;
	return head_append_value(&up->head, str_of(at, len)) ? 0 : 1;
}

/*
 * Returns which limit an endless response exceeds, or NULL.  A streamed response
 * is limited only by the caller's deadline.
 */
static const char *
limit_exceeded(const struct upstream *up)
{
	if (up->interim_count > INTERIM_MAX)
		return "too many interim responses";
	if (up->stale_response_bytes > BUFFERED_RESPONSE_MAX_BYTES)
		return "another request's answer does not end";
	if (up->probe && up->body.len > PROBE_BODY_MAX)
		return "a probe's answer does not end";
	if (up->attempt != NULL && !up->attempt->exchange->streaming &&
	    up->body.len > BUFFERED_RESPONSE_MAX_BYTES)
		return "an answer that does not count does not end";
	return NULL;
}

/*
 * Returns why a response's head may mean something else than the parser has
 * read, or NULL.
 */
static const char *
find_ambiguity(const struct upstream *up)
{
	const struct flow_dialect *d = &up->flow->dialect;

	if (head_has_space_in_name(&up->head))
		return "a field name has a space";
	/* A target that stopped within a head and went on with another one. */
	if (head_count(&up->head, d->attempt_header) > 1 ||
	    head_count(&up->head, d->proof_header) > 1)
		return "two heads in one";
	if (!head_coding_is_chunked(&up->head))
		return "transfer coding is not chunked";
	return NULL;
}

/*
 * Returns whether a response ends with its head, regardless of the lengths in
 * it (RFC 9112, 6.3); http_parser would read a body if there is a length.
 */
static bool
has_no_body(const struct upstream *up)
{
	unsigned status = up->parser.status_code;

	return status < 200 || status == 204 || status == 304 ||
	    (up->attempt != NULL && up->attempt->exchange->method == HTTP_HEAD);
}

static int
on_head(http_parser *parser)
{
	struct upstream *up = parser->data;
	const char *ambiguity = find_ambiguity(up);

	if (ambiguity != NULL) {
		upstream_fail(up, OUTCOME_FAILED, ambiguity);
		return -1;
	}
	attribution_on_head(up);
	if (parser->status_code >= 200) {
		away_on_head(up);
		rate_on_head(up);
		leaving_on_head(up);
	}
	/* The departure has closed the connection of a probe. */
	if (up->closing)
		return -1;
	if (parser->status_code >= 200 &&
	    up->attribution == ATTRIBUTION_UNKNOWN) {
		upstream_fail(
		    up, OUTCOME_FAILED, "an answer that names no attempt");
		return -1;
	}
	return has_no_body(up) ? 1 : 0;
}

static void
append_body(struct upstream *up, struct str piece)
{
	str_buf_append(&up->body, piece);
	memory_track(up->flow, MEMORY_RESPONSES, &up->response_charged,
	    up->body.capacity);
}

/*
 * Returns from which size on a response is streamed.  If memory is short it is
 * passed on sooner, unless earlier answers of the connection are pending.
 */
static size_t
buffered_max(const struct exchange *x)
{
	return memory_budget_is_tight(&x->flow->memory) && x->caller != NULL &&
		g_queue_peek_head(&x->caller->exchanges) == x
	    ? TIGHT_RESPONSE_MAX_BYTES
	    : BUFFERED_RESPONSE_MAX_BYTES;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct upstream *up = parser->data;

	const char *reason;

	if (up->attribution == ATTRIBUTION_OTHER)
		up->stale_response_bytes += len;
	else if (up->attempt != NULL || up->probe)
		append_body(up, str_of(at, len));
	if (up->attribution == ATTRIBUTION_OWN && up->attempt != NULL &&
	    (up->body.len > buffered_max(up->attempt->exchange) ||
		up->attempt->exchange->streaming))
		exchange_on_partial_response(up->attempt);
	reason = up->closing ? NULL : limit_exceeded(up);
	if (reason != NULL)
		upstream_fail(up, OUTCOME_FAILED, reason);
	return up->closing ? 1 : 0;
}

static int
on_complete(http_parser *parser)
{
	struct upstream *up = parser->data;

	up->status_line = (struct status_line){.at = 0};
	if (parser->status_code < 200) {
		up->interim_count++;
		if (limit_exceeded(up) != NULL) {
			upstream_fail(up, OUTCOME_FAILED, limit_exceeded(up));
			return 1;
		}
		/* The next status line is read before it is parsed. */
		http_parser_pause(parser, 1);
		return 0;
	}
	if (up->attribution == ATTRIBUTION_OTHER) {
		up->in_response = false;
		http_parser_pause(parser, 1);
		return 0;
	}
	up->complete = true;
	up->in_response = false;
	up->keep_alive = http_should_keep_alive(parser) != 0;
	up->keep_alive_ms = read_keep_alive_ms(&up->head);
	http_parser_pause(parser, 1);
	return 0;
}

/*
 * Reads the target's load from a response; false when there is none that can be
 * used.
 */
bool
response_read_load(const struct upstream *up, struct target_load *load)
{
	const struct flow_dialect *d = &up->flow->dialect;
	struct str text = head_find(&up->head, d->load_header);

	if (text.data == NULL)
		return false;
	if (d->read_load(text, load))
		return true;
	counter_add(up->flow->loads_refused, 1);
	return false;
}

/*
 * Processes the response to a probe, with the target's load.
 */
static void
on_probe_response(struct upstream *up)
{
	const struct flow_dialect *d = &up->flow->dialect;
	struct pool *pool = up->pool;
	struct str identity = head_find(&up->head, d->identity_header);
	struct target_load load = {0};
	bool known = response_read_load(up, &load);

	up->probe = false;
	pool->probing = NULL;
	pool->probe_upstream = up;
	if (identity.data != NULL && !str_equal_c(identity, pool->id)) {
		/* The address now belongs to another target. */
		upstream_close(up);
		schedule_on_probe(pool, NULL);
		return;
	}
	cold_on_probe(pool, &up->head);
	upstream_release(up);
	/*
	 * The health status can be wrong in both directions; any response shows
	 * that the target is reachable.
	 */
	schedule_on_probe(pool, known ? &load : &(struct target_load){0});
}

/*
 * Processes a complete response; bytes after it belong to no request.
 */
void
response_complete(struct upstream *up, bool stray)
{
	http_parser_pause(&up->parser, 0);
	up->complete = false;
	if (stray || up->writing || up->request.len > 0 ||
	    (up->attempt != NULL &&
		!attribution_allows(up, up->attempt->exchange)))
		up->keep_alive = false;
	if (up->probe)
		on_probe_response(up);
	else if (up->attempt != NULL)
		exchange_on_response(up->attempt);
	else
		upstream_close(up);
}
