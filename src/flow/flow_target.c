/*
 * Connections of an entry to each target: which one serves a request or a
 * probe, how many are allowed, and when idle ones are closed.
 */
#include <inttypes.h>

#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/* Two round trips between regions, less than most objectives. */
	CONNECT_TIMEOUT_MS = 150,
	CONNECTIONS_MIN = 4, /* for any number of entries */
	PROBE_TIMEOUT_MS = 250, /* half of SPEED_CHANGE_US */
	MOVED_RETRY_US = 50 * 1000 /* the next try draws for the account */
};

/*
 * Returns the number of connections to a target that this entry may have: its
 * share of the target's limit.
 */
static unsigned
connection_limit(const struct pool *pool)
{
	const struct flow *flow = pool->flow;
	const struct route_service *service = flow->routes != NULL
	    ? g_hash_table_lookup(flow->routes->services, pool->service)
	    : NULL;
	unsigned max = service != NULL ? service->max_connections : UINT16_MAX;

	max /= fleet_other_entry_count(flow) + 1;
	return max > CONNECTIONS_MIN ? max : CONNECTIONS_MIN;
}

/*
 * Returns the most recently used idle connection that may serve a request, or
 * a probe (NULL); NULL if there is none.
 */
static struct upstream *
find_idle(const struct pool *pool, const struct exchange *x)
{
	for (GList *l = pool->idle.tail; l != NULL; l = l->prev) {
		if (x == NULL || attribution_allows(l->data, x))
			return l->data;
	}
	return NULL;
}

/*
 * Returns an idle connection for a request, or a probe (NULL), or a new one;
 * NULL at the limit.
 */
static struct upstream *
acquire_connection(struct pool *pool, const struct exchange *x)
{
	struct upstream *up;

	if (pool->evacuated)
		return NULL;
	while ((up = find_idle(pool, x)) != NULL) {
		upstream_leave_queue(up);
		/* What has already arrived belongs to no later request. */
		if (uv_now(pool->flow->loop) - up->idle_since_ms <
			up->keep_alive_ms &&
		    tcp_is_quiet(&up->tcp)) {
			up->reused = true;
			return up;
		}
		upstream_close(up);
	}
	/* Idle connections that can't serve it make room for one that can. */
	if (pool->all.length >= connection_limit(pool) &&
	    (up = g_queue_peek_head(&pool->idle)) != NULL)
		upstream_close(up);
	return pool->all.length < connection_limit(pool)
	    ? upstream_connect(pool)
	    : NULL;
}

/*
 * Writes the head of the request to forward to the target.
 */
static void
build_request_head(const struct attempt *attempt, struct str_buf *out)
{
	const struct exchange *x = attempt->exchange;
	const struct flow_dialect *d = &x->flow->dialect;
	const bool accounts = x->routes->accounts != NULL;
	/* Without accounts the list ends behind the second one. */
	const char *const without[] = {d->deadline_header, d->expect_header,
	    accounts ? d->key_header : NULL, d->account_header,
	    d->account_header_alias, NULL};
	uint64_t now = flow_now_us(x->flow);
	uint64_t left = x->deadline_us > now ? x->deadline_us - now : 0;
	size_t len = body_len(x->body);

	str_buf_printf(out, "%s ", http_method_str(x->method));
	str_buf_append(out, str_buf_view(&x->target));
	str_buf_append(out, STR_LITERAL(" HTTP/1.1\r\n"));
	head_forward(&x->head, without, out);
	str_buf_printf(out, "%s: %" PRIu64 "\r\n%s: %s\r\n", d->deadline_header,
	    left > US_PER_MS ? left / US_PER_MS : 1, d->expect_header,
	    attempt->target);
	if (x->account != NULL)
		str_buf_printf(
		    out, "%s: %s\r\n", d->account_header, x->account->name);
	if (len > 0 || x->method == HTTP_POST || x->method == HTTP_PUT ||
	    x->method == HTTP_PATCH)
		str_buf_printf(out, "Content-Length: %zu\r\n", len);
	str_buf_append(out, STR_LITERAL("\r\n"));
}

/*
 * Checks the request of a new connection before it is written: the document may
 * have changed since its head was built.  Returns false if it was refused.
 */
bool
target_confirm_request(struct upstream *up)
{
	struct exchange *x = up->attempt->exchange;
	const struct account *account = x->account;

	if (account_is_withdrawn(x)) {
		account_refuse_withdrawn(x);
		return false;
	}
	if (x->account != account && x->account != NULL &&
	    x->account->rate_per_s > 0) {
		/* It has no token of the account that holds the key now. */
		exchange_refuse(x, 503, MOVED_RETRY_US,
		    "the key belongs to another account now");
		return false;
	}
	if (x->account != account) {
		str_buf_clear(&up->request);
		build_request_head(up->attempt, &up->request);
	}
	return true;
}

/*
 * Starts a send; returns false if no connection is available.
 */
bool
target_send(struct attempt *attempt, struct pool *pool)
{
	struct upstream *up = acquire_connection(pool, attempt->exchange);

	if (up == NULL)
		return false;
	attempt->upstream = up;
	build_request_head(attempt, upstream_assign(up, attempt));
	up->request_body = body_get(attempt->exchange->body);
	upstream_send(up);
	return true;
}

/*
 * Starts a probe; returns false if no connection is available.
 */
bool
target_probe(struct pool *pool, const char *path)
{
	struct upstream *up;

	if (pool->probing != NULL)
		return true;
	up = pool->probe_upstream != NULL ? pool->probe_upstream
					  : acquire_connection(pool, NULL);
	if (up == NULL)
		return false;
	pool->probe_upstream = NULL;
	pool->probing = up;
	str_buf_printf(upstream_assign(up, NULL),
	    "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, pool->address);
	counter_add(pool->flow->probes, 1);
	upstream_send(up);
	return true;
}

/*
 * Closes connections of a pool that were idle too long, and fails a probe that
 * takes longer than PROBE_TIMEOUT_MS.
 */
static void
sweep_pool(struct pool *pool, uint64_t now_ms)
{
	GList *next;

	for (GList *l = pool->idle.head; l != NULL; l = next) {
		struct upstream *up = l->data;

		next = l->next;
		if (now_ms - up->idle_since_ms >= up->keep_alive_ms)
			upstream_close(up);
	}
	if (pool->probe_upstream != NULL &&
	    now_ms - pool->probe_upstream->idle_since_ms >=
		pool->probe_upstream->keep_alive_ms)
		upstream_close(pool->probe_upstream);
	if (pool->probing != NULL &&
	    now_ms - pool->probing->started_ms > PROBE_TIMEOUT_MS)
		upstream_fail(pool->probing, OUTCOME_UNREACHABLE, "no answer");
}

/*
 * Closes all idle connections.
 */
void
targets_close_idle(struct flow *flow)
{
	GList *next;

	for (GList *l = flow->connected_pools.head; l != NULL; l = next) {
		struct pool *pool = l->data;
		struct upstream *up;

		next = l->next;
		while ((up = g_queue_peek_tail(&pool->idle)) != NULL)
			upstream_close(up);
		if (pool->probe_upstream != NULL)
			upstream_close(pool->probe_upstream);
	}
}

/*
 * Closes idle connections before their targets do, and fails connects that take
 * too long.
 */
void
targets_sweep(struct flow *flow)
{
	uint64_t now = uv_now(flow->loop);
	const struct upstream *first;
	GList *next;

	flow_count_scanned(flow, flow->connected_pools.length);
	for (GList *l = flow->connected_pools.head; l != NULL; l = next) {
		next = l->next;
		sweep_pool(l->data, now);
	}
	while ((first = g_queue_peek_head(&flow->connecting)) != NULL &&
	    now - first->started_ms > CONNECT_TIMEOUT_MS)
		upstream_fail(g_queue_peek_head(&flow->connecting),
		    OUTCOME_UNREACHABLE, "connect timed out");
}

/*
 * Frees a pool; a GDestroyNotify.
 */
static void
pool_free(void *value)
{
	struct pool *pool = value;
	struct upstream *up;

	while ((up = g_queue_peek_tail(&pool->idle)) != NULL)
		upstream_close(up);
	if (pool->probing != NULL)
		upstream_close(pool->probing);
	if (pool->probe_upstream != NULL)
		upstream_close(pool->probe_upstream);
	/* Pending requests continue; their connections close after them. */
	while ((up = g_queue_peek_tail(&pool->all)) != NULL)
		upstream_unlink(up);
	probe_remove(pool);
	crash_pool_clear(pool);
	mem_free(pool->id);
	mem_free(pool->address);
	mem_free(pool->service);
	mem_free(pool);
}

/*
 * Creates the table of pools.
 */
void
targets_open(struct flow *flow)
{
	flow->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	g_queue_init(&flow->connecting);
}

/*
 * Frees the pools and closes their idle connections.
 */
void
targets_close(struct flow *flow)
{
	g_hash_table_destroy(flow->pools);
}
