#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/* Twice there and back between regions, below most objectives. */
	CONNECT_MS = 150,
	SILENCE_MS = 1000, /* bytes that nobody acknowledges */
	KEEP_DEFAULT_MS = 4000, /* where a target does not say */
	KEEP_MARGIN_MS = 1200, /* on a target's whole seconds */
	KEEP_MAX_MS = 60 * 1000,
	SHARE_MIN = 4, /* connections to one target, however many entries */
	PROBE_MS = 250, /* half the time in which a speed shifts */
	PROBE_BODY_MAX = 4096,
	INTERIM_MAX = 16 /* before one answer */
};

static int on_begin(http_parser *parser);
static int on_field(http_parser *parser, const char *at, size_t len);
static int on_value(http_parser *parser, const char *at, size_t len);
static int on_head(http_parser *parser);
static int on_body(http_parser *parser, const char *at, size_t len);
static int on_complete(http_parser *parser);

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

struct write {
	uv_write_t request;
	struct upstream *up;
};

static void
on_closed(uv_handle_t *handle)
{
	struct upstream *up = handle->data;

	head_free(&up->head);
	str_buf_free(&up->body);
	str_buf_free(&up->request);
	mem_free(up);
}

static void
enter(struct upstream *up, GQueue *queue)
{
	up->queue = queue;
	up->link.data = up;
	g_queue_push_tail_link(queue, &up->link);
}

static void
leave(struct upstream *up)
{
	if (up->queue != NULL)
		g_queue_unlink(up->queue, &up->link);
	up->queue = NULL;
}

/*
 * Counts a connection as its pool's; pools with one are looked after.
 */
static void
link_to_pool(struct upstream *up, struct pool *pool)
{
	up->pool = pool;
	up->pool_link.data = up;
	pool->link.data = pool;
	if (pool->all.length == 0)
		g_queue_push_tail_link(&pool->flow->linked_pools, &pool->link);
	g_queue_push_tail_link(&pool->all, &up->pool_link);
}

static void
unlink_from_pool(struct upstream *up)
{
	struct pool *pool = up->pool;

	g_queue_unlink(&pool->all, &up->pool_link);
	if (pool->all.length == 0)
		g_queue_unlink(&pool->flow->linked_pools, &pool->link);
	up->pool = NULL;
}

/*
 * Closes a connection that serves no request any more.
 */
void
upstream_close(struct upstream *up)
{
	if (up->closing)
		return;
	up->closing = true;
	leave(up);
	if (up->pool != NULL) {
		if (up->pool->probing == up)
			up->pool->probing = NULL;
		if (up->pool->watch == up)
			up->pool->watch = NULL;
		unlink_from_pool(up);
	}
	uv_close((uv_handle_t *)&up->tcp, on_closed);
}

/*
 * Ends what a connection serves: its send is broken, or its probe failed.
 */
static void
break_off(
    struct upstream *up, enum placement_outcome outcome, const char *reason)
{
	struct attempt *attempt = up->attempt;
	struct pool *pool = up->pool;
	bool probe = up->probe;
	bool refused = up->connected && outcome == OUTCOME_FAILED;

	up->attempt = NULL;
	upstream_close(up);
	/* Who takes a connection and ends it is there, and may be full. */
	if (probe && pool != NULL)
		schedule_report(
		    pool, refused ? &(struct target_load){0} : NULL);
	if (attempt != NULL)
		exchange_on_broken(attempt, outcome, reason);
}

/*
 * Reads how long the target keeps an idle connection.
 */
static uint64_t
keep_time(const struct head *head)
{
	struct str rest = head_find(head, "Keep-Alive");
	struct str item;
	uint64_t seconds;

	while (rest.data != NULL && str_split(&rest, ',', &item)) {
		item = str_trim(item);
		if (item.len > 8 &&
		    strncasecmp(item.data, "timeout=", 8) == 0 &&
		    str_to_u64(str_of(item.data + 8, item.len - 8), &seconds) &&
		    seconds * 1000 < KEEP_MAX_MS)
			return seconds * 1000 > KEEP_MARGIN_MS
			    ? seconds * 1000 - KEEP_MARGIN_MS
			    : 0;
	}
	return KEEP_DEFAULT_MS;
}

static int
on_begin(http_parser *parser)
{
	struct upstream *up = parser->data;

	up->in_response = true;
	up->whole = false;
	up->foreign = false;
	head_clear(&up->head);
	str_buf_clear(&up->body);
	return 0;
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
	struct upstream *up = parser->data;

	return head_name(&up->head, str_of(at, len)) ? 0 : 1;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct upstream *up = parser->data;

	return head_value(&up->head, str_of(at, len)) ? 0 : 1;
}

/*
 * A response that names another attempt than ours, or one where a probe's is
 * due, belongs to an earlier request of this connection.
 */
static bool
is_foreign(const struct upstream *up)
{
	const char *name = up->flow->dialect.attempt_header;
	struct str id = head_find(&up->head, name);
	struct str own;

	if (id.data == NULL || (up->attempt == NULL && !up->probe))
		return false;
	if (up->probe)
		return true;
	own = head_find(&up->attempt->exchange->head, name);
	return own.data == NULL || !str_equal(id, own);
}

/*
 * Returns whether nothing tells whose answer this is: it names no attempt,
 * and the connection has served others.  A target that is full may turn a
 * request away without reading what it names.
 */
static bool
is_unattributed(const struct upstream *up)
{
	const char *name = up->flow->dialect.attempt_header;

	return up->attempt != NULL && up->reused &&
	    head_find(&up->head, name).data == NULL &&
	    head_find(&up->head, up->flow->dialect.not_run_header).data ==
	    NULL &&
	    head_find(&up->attempt->exchange->head, name).data != NULL;
}

/*
 * Returns why a response that does not end is read no further; NULL while it
 * may be.  An answer that is handed on as it comes has no bound but the
 * caller's time.
 */
static const char *
excess(const struct upstream *up)
{
	if (up->interim_count > INTERIM_MAX)
		return "too many interim responses";
	if (up->foreign_bytes > WHOLE_RESPONSE_BYTES)
		return "another request's answer does not end";
	if (up->probe && up->body.len > PROBE_BODY_MAX)
		return "a probe's answer does not end";
	if (up->attempt != NULL && !up->attempt->exchange->streaming &&
	    up->body.len > WHOLE_RESPONSE_BYTES)
		return "an answer that does not count does not end";
	return NULL;
}

static int
on_head(http_parser *parser)
{
	struct upstream *up = parser->data;

	up->foreign = is_foreign(up);
	if (parser->status_code >= 200 && is_unattributed(up)) {
		break_off(
		    up, OUTCOME_FAILED, "an answer that names no attempt");
		return -1;
	}
	return up->attempt != NULL && up->attempt->exchange->method == HTTP_HEAD
	    ? 1
	    : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct upstream *up = parser->data;

	const char *reason;

	if (up->foreign)
		up->foreign_bytes += len;
	else if (up->attempt != NULL || up->probe)
		str_buf_append(&up->body, str_of(at, len));
	if (!up->foreign && up->attempt != NULL &&
	    (up->body.len > WHOLE_RESPONSE_BYTES ||
		up->attempt->exchange->streaming))
		exchange_on_piece(up->attempt);
	reason = up->closing ? NULL : excess(up);
	if (reason != NULL)
		break_off(up, OUTCOME_FAILED, reason);
	return up->closing ? 1 : 0;
}

static int
on_complete(http_parser *parser)
{
	struct upstream *up = parser->data;

	if (parser->status_code < 200) {
		up->interim_count++;
		if (excess(up) == NULL)
			return 0;
		break_off(up, OUTCOME_FAILED, excess(up));
		return 1;
	}
	if (up->foreign) {
		up->in_response = false;
		return 0;
	}
	up->whole = true;
	up->in_response = false;
	up->keep_alive = http_should_keep_alive(parser) != 0;
	up->keep_ms = keep_time(&up->head);
	http_parser_pause(parser, 1);
	return 0;
}

/*
 * Takes a probe's answer: the target's own word on its load.
 */
static void
take_probe(struct upstream *up)
{
	const struct flow_dialect *d = &up->flow->dialect;
	struct pool *pool = up->pool;
	struct str identity = head_find(&up->head, d->identity_header);
	struct str text = head_find(&up->head, d->load_header);
	struct target_load load = {0};
	bool known = text.data != NULL && d->read_load(text, &load);

	up->probe = false;
	pool->probing = NULL;
	pool->watch = up;
	if (identity.data != NULL && !str_equal_c(identity, pool->id)) {
		/* Another target has the address now. */
		upstream_close(up);
		schedule_report(pool, NULL);
		return;
	}
	upstream_release(up);
	/* Health may be false either way; an answer shows that it is there. */
	schedule_report(pool, known ? &load : &(struct target_load){0});
}

/*
 * A whole response has come; whatever follows it belongs to nothing.
 */
static void
complete(struct upstream *up, bool stray)
{
	http_parser_pause(&up->parser, 0);
	up->whole = false;
	if (stray || up->writing || up->request.len > 0)
		up->keep_alive = false;
	if (up->probe)
		take_probe(up);
	else if (up->attempt != NULL)
		exchange_on_response(up->attempt);
	else
		upstream_close(up);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested ATTR_UNUSED, uv_buf_t *buf)
{
	struct upstream *up = handle->data;

	*buf = uv_buf_init(up->flow->input, READ_BYTES);
}

/*
 * The connection ended: a response without a length is whole by that, any
 * other is not.
 */
static void
on_end(struct upstream *up, ssize_t error)
{
	if (error == UV_EOF && up->in_response && !up->foreign &&
	    !address_was_reset(&up->tcp)) {
		(void)http_parser_execute(
		    &up->parser, &parser_settings, NULL, 0);
		if (up->whole) {
			up->keep_alive = false;
			complete(up, false);
			return;
		}
	}
	break_off(up, OUTCOME_FAILED,
	    error == UV_EOF ? "the target closed the connection"
			    : uv_strerror((int)error));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct upstream *up = stream->data;
	size_t used;

	if (n == 0 || up->closing)
		return;
	if (n < 0) {
		on_end(up, n);
		return;
	}
	if (up->attempt == NULL && !up->probe) {
		/* Nothing was asked: these bytes belong to no request. */
		upstream_close(up);
		return;
	}
	used = http_parser_execute(
	    &up->parser, &parser_settings, buf->base, (size_t)n);
	if (up->closing)
		return;
	if (up->whole) {
		complete(up, used < (size_t)n);
		return;
	}
	if (HTTP_PARSER_ERRNO(&up->parser) != HPE_OK || up->parser.upgrade)
		break_off(up, OUTCOME_FAILED, "the response can't be read");
}

static void
on_written(uv_write_t *request, int status)
{
	struct write *write = (struct write *)request;
	struct upstream *up = write->up;

	mem_free(write);
	up->writing = false;
	str_buf_clear(&up->request);
	if (status != 0 && !up->closing)
		break_off(up, OUTCOME_FAILED, uv_strerror(status));
}

/*
 * Writes the request, at once as far as the socket takes it.
 */
static void
write_request(struct upstream *up)
{
	uv_buf_t buf = uv_buf_init(up->request.data, (unsigned)up->request.len);
	int n = uv_try_write((uv_stream_t *)&up->tcp, &buf, 1);
	struct write *write;

	if (up->attempt != NULL)
		up->attempt->sent = true;
	if (n == (int)up->request.len) {
		str_buf_clear(&up->request);
		return;
	}
	if (n > 0) {
		buf.base += n;
		buf.len -= (size_t)n;
	}
	write = mem_calloc(1, sizeof(*write));
	write->up = up;
	up->writing = true;
	if (uv_write(&write->request, (uv_stream_t *)&up->tcp, &buf, 1,
		on_written) != 0) {
		mem_free(write);
		up->writing = false;
		break_off(up, OUTCOME_FAILED, "write failed");
	}
}

static void
on_connected(uv_connect_t *request, int status)
{
	struct upstream *up = request->data;

	mem_free(request);
	if (up->closing)
		return;
	leave(up);
	if (status != 0) {
		break_off(up, OUTCOME_UNREACHED, uv_strerror(status));
		return;
	}
	up->connected = true;
	address_tune(&up->tcp, SILENCE_MS);
	uv_read_start((uv_stream_t *)&up->tcp, on_alloc, on_read);
	write_request(up);
}

/*
 * Returns how many connections to one target this entry may have: its share
 * of what the target takes from all.
 */
static unsigned
share(const struct pool *pool)
{
	const struct flow *flow = pool->flow;
	const struct route_service *service = flow->routes != NULL
	    ? g_hash_table_lookup(flow->routes->services, pool->service)
	    : NULL;
	unsigned max = service != NULL ? service->max_connections : UINT16_MAX;

	max /= fleet_size(flow) + 1;
	return max > SHARE_MIN ? max : SHARE_MIN;
}

/*
 * Returns a new connection that is being made; NULL when there may be none.
 */
static struct upstream *
connect_to(struct pool *pool)
{
	struct upstream *up;
	struct sockaddr_in to;
	uv_connect_t *request;

	if (pool->all.length >= share(pool) ||
	    !address_parse(pool->address, &to))
		return NULL;
	up = mem_calloc(1, sizeof(*up));
	up->flow = pool->flow;
	link_to_pool(up, pool);
	up->started_ms = uv_now(pool->flow->loop);
	enter(up, &pool->flow->connecting);
	uv_tcp_init(pool->flow->loop, &up->tcp);
	up->tcp.data = up;
	http_parser_init(&up->parser, HTTP_RESPONSE);
	up->parser.data = up;
	request = mem_calloc(1, sizeof(*request));
	request->data = up;
	if (uv_tcp_connect(
		request, &up->tcp, (struct sockaddr *)&to, on_connected) != 0) {
		mem_free(request);
		upstream_close(up);
		return NULL;
	}
	counter_add(pool->flow->connects, 1);
	return up;
}

/*
 * Returns an idle connection, the one used last first, or a new one.
 */
static struct upstream *
take(struct pool *pool)
{
	struct upstream *up;

	while ((up = g_queue_peek_tail(&pool->idle)) != NULL) {
		leave(up);
		if (uv_now(pool->flow->loop) - up->idle_since_ms <
		    up->keep_ms) {
			up->reused = true;
			return up;
		}
		upstream_close(up);
	}
	return connect_to(pool);
}

/*
 * Writes the request as the target gets it.
 */
static void
build_request(const struct attempt *attempt, struct str_buf *out)
{
	const struct exchange *x = attempt->exchange;
	const struct flow_dialect *d = &x->flow->dialect;
	const char *const without[] = {
	    d->deadline_header, d->expect_header, NULL};
	uint64_t now = flow_now_us(x->flow);
	uint64_t left = x->deadline_us > now ? x->deadline_us - now : 0;

	str_buf_printf(out, "%s ", http_method_str(x->method));
	str_buf_append(out, str_buf_view(&x->target));
	str_buf_append(out, STR_LITERAL(" HTTP/1.1\r\n"));
	head_forward(&x->head, without, out);
	str_buf_printf(out, "%s: %" PRIu64 "\r\n%s: %s\r\n", d->deadline_header,
	    left > US_PER_MS ? left / US_PER_MS : 1, d->expect_header,
	    attempt->target);
	if (x->body.len > 0 || x->method == HTTP_POST ||
	    x->method == HTTP_PUT || x->method == HTTP_PATCH)
		str_buf_printf(out, "Content-Length: %zu\r\n", x->body.len);
	str_buf_append(out, STR_LITERAL("\r\n"));
	str_buf_append(out, str_buf_view(&x->body));
}

/*
 * Starts a send; false when no connection can be had.
 */
bool
target_send(struct attempt *attempt, struct pool *pool)
{
	struct upstream *up = take(pool);

	if (up == NULL)
		return false;
	up->attempt = attempt;
	attempt->upstream = up;
	up->foreign_bytes = 0;
	up->interim_count = 0;
	up->started_ms = uv_now(pool->flow->loop);
	str_buf_clear(&up->request);
	build_request(attempt, &up->request);
	if (up->connected)
		write_request(up);
	return true;
}

/*
 * Starts a probe; false when no connection can be had.
 */
bool
target_probe(struct pool *pool, const char *path)
{
	struct upstream *up;

	if (pool->probing != NULL)
		return true;
	up = pool->watch != NULL ? pool->watch : take(pool);
	if (up == NULL)
		return false;
	pool->watch = NULL;
	up->probe = true;
	pool->probing = up;
	up->started_ms = uv_now(pool->flow->loop);
	str_buf_clear(&up->request);
	str_buf_printf(&up->request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
	    path, pool->address);
	counter_add(pool->flow->probes, 1);
	if (up->connected)
		write_request(up);
	return true;
}

/*
 * Keeps a connection for the next request, or closes it.
 */
void
upstream_release(struct upstream *up)
{
	if (up->closing)
		return;
	if (!up->keep_alive || up->pool == NULL || up->keep_ms == 0 ||
	    up->flow->stopping) {
		upstream_close(up);
		return;
	}
	upstream_pause(up, false);
	up->idle_since_ms = uv_now(up->flow->loop);
	str_buf_free(&up->body);
	up->body = (struct str_buf){0};
	/* A connection for probes is kept apart: a full target takes no other. */
	if (up->pool->watch != up)
		enter(up, &up->pool->idle);
}

/*
 * Stops or starts reading, while a caller reads too slowly.
 */
void
upstream_pause(struct upstream *up, bool pause)
{
	if (up->closing || !up->connected)
		return;
	if (pause)
		uv_read_stop((uv_stream_t *)&up->tcp);
	else
		(void)uv_read_start((uv_stream_t *)&up->tcp, on_alloc, on_read);
}

static void
sweep_pool(struct pool *pool, uint64_t now_ms)
{
	GList *next;

	for (GList *l = pool->idle.head; l != NULL; l = next) {
		struct upstream *up = l->data;

		next = l->next;
		if (now_ms - up->idle_since_ms >= up->keep_ms)
			upstream_close(up);
	}
	if (pool->watch != NULL &&
	    now_ms - pool->watch->idle_since_ms >= pool->watch->keep_ms)
		upstream_close(pool->watch);
	if (pool->probing != NULL &&
	    now_ms - pool->probing->started_ms > PROBE_MS)
		break_off(pool->probing, OUTCOME_UNREACHED, "no answer");
}

/*
 * Closes all connections that serve nothing.
 */
void
targets_drop_idle(struct flow *flow)
{
	GList *next;

	for (GList *l = flow->linked_pools.head; l != NULL; l = next) {
		struct pool *pool = l->data;
		struct upstream *up;

		next = l->next;
		while ((up = g_queue_peek_tail(&pool->idle)) != NULL)
			upstream_close(up);
		if (pool->watch != NULL)
			upstream_close(pool->watch);
	}
}

/*
 * Closes idle connections before their targets do, and gives up on those
 * that do not come about.
 */
void
targets_sweep(struct flow *flow)
{
	uint64_t now = uv_now(flow->loop);
	const struct upstream *first;
	GList *next;

	flow_note_visits(flow, flow->linked_pools.length);
	for (GList *l = flow->linked_pools.head; l != NULL; l = next) {
		next = l->next;
		sweep_pool(l->data, now);
	}
	while ((first = g_queue_peek_head(&flow->connecting)) != NULL &&
	    now - first->started_ms > CONNECT_MS)
		break_off(g_queue_peek_head(&flow->connecting),
		    OUTCOME_UNREACHED, "connect timed out");
}

static void
pool_free(void *value)
{
	struct pool *pool = value;
	struct upstream *up;

	while ((up = g_queue_peek_tail(&pool->idle)) != NULL)
		upstream_close(up);
	if (pool->probing != NULL)
		upstream_close(pool->probing);
	if (pool->watch != NULL)
		upstream_close(pool->watch);
	/* Requests in hand go on; their connections close after them. */
	while ((up = g_queue_peek_tail(&pool->all)) != NULL)
		unlink_from_pool(up);
	probe_forget(pool);
	mem_free(pool->id);
	mem_free(pool->address);
	mem_free(pool->service);
	mem_free(pool);
}

/*
 * Sets up the table of pools.
 */
void
targets_open(struct flow *flow)
{
	flow->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	g_queue_init(&flow->connecting);
}

/*
 * Closes all idle connections.
 */
void
targets_close(struct flow *flow)
{
	g_hash_table_destroy(flow->pools);
}
