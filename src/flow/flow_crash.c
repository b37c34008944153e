/*
 * Requests under which targets end.  A target that closes the connection of a
 * request that it has not answered has ended if it refuses a new connection.
 * That is logged; nothing is decided by it yet.
 */
#include <inttypes.h>
#include <xxhash.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/* More of a body is not compared, but its length. */
	COMPARED_BODY_BYTES = 256 << 10,
	BROKEN_MAX = 64 /* requests at one target */
};

struct crashes {
	GPtrArray *rechecks; /* ids of targets that are checked once more */
};

void
crash_open(struct flow *flow)
{
	flow->crashes = mem_calloc(1, sizeof(*flow->crashes));
	flow->crashes->rechecks = g_ptr_array_new_with_free_func(mem_free);
}

void
crash_close(struct flow *flow)
{
	g_ptr_array_free(flow->crashes->rechecks, TRUE);
	mem_free(flow->crashes);
	flow->crashes = NULL;
}

/*
 * Returns a hash of a body that continues another hash, whatever the blocks are
 * in which the body is kept.
 */
static uint64_t
body_hash(const struct request_body *body, uint64_t seed)
{
	size_t len = body_len(body);
	size_t left = len < COMPARED_BODY_BYTES ? len : COMPARED_BODY_BYTES;
	XXH3_state_t *state = XXH3_createState();
	uint64_t hash;
	unsigned count;
	uv_buf_t *bufs = body_buffers(body, str_from(""), &count);

	(void)XXH3_64bits_reset_withSeed(state, seed);
	(void)XXH3_64bits_update(state, &len, sizeof(len));
	for (unsigned i = 0; i < count && left > 0; i++) {
		size_t part = bufs[i].len < left ? bufs[i].len : left;

		(void)XXH3_64bits_update(state, bufs[i].base, part);
		left -= part;
	}
	hash = XXH3_64bits_digest(state);
	(void)XXH3_freeState(state);
	mem_free(bufs);
	return hash;
}

/*
 * Sets the identity of a request whose route and account are known.
 */
void
crash_identify(struct exchange *x)
{
	uint32_t ip = x->caller != NULL ? x->caller->peer.sin_addr.s_addr : 0;
	uint64_t hash = str_hash(str_from(http_method_str(x->method)));

	hash = str_hash_with(head_find(&x->head, "Host"), hash);
	hash = str_hash_with(str_buf_view(&x->target), hash);
	if (x->account != NULL)
		hash = str_hash_with(str_from(x->account->name), hash);
	x->identity.content = x->body != NULL ? body_hash(x->body, hash) : hash;
	x->identity.caller =
	    (uint32_t)str_hash(str_of((const char *)&ip, sizeof(ip))) | 1;
}

/*
 * Connects to a target to see whether it has ended.
 */
static bool
start_check(struct pool *pool)
{
	struct upstream *check = upstream_connect(pool);

	if (check != NULL)
		check->checks_end = true;
	return check != NULL;
}

/*
 * The target has closed the connection of a request that was sent to it and is
 * not answered.
 */
void
crash_on_break(struct upstream *up)
{
	struct pool *pool = up->pool;

	if (pool == NULL || pool->evacuated || up->attempt == NULL ||
	    !up->attempt->sent || pool->started_ms != up->target_started_ms)
		return;
	if (pool->broken == NULL) {
		if (!start_check(pool))
			return;
		pool->broken =
		    g_array_new(FALSE, FALSE, sizeof(struct request_identity));
	}
	if (pool->broken->len < BROKEN_MAX)
		g_array_append_val(
		    pool->broken, up->attempt->exchange->identity);
}

void
crash_pool_clear(struct pool *pool)
{
	if (pool->broken != NULL)
		g_array_free(pool->broken, TRUE);
	pool->broken = NULL;
	pool->checked = false;
}

/*
 * Logs the end of a target under a request.
 */
static void
record_end(const struct pool *pool, const struct request_identity *identity)
{
	struct flow *flow = pool->flow;

	if (flow_may_log(flow))
		log_info("target_ended",
		    "instance=%s target=%s started=%" PRIu64
		    " content=%016" PRIx64 " caller=%08" PRIx32,
		    flow->settings.instance, pool->id, pool->started_ms,
		    identity->content, identity->caller);
}

/*
 * A check has ended.  Only a refused connection shows that the target has ended:
 * one that can't be reached may run on.  One that is accepted may have been in
 * the backlog when the target ended, so that it is checked once more.
 */
void
crash_on_checked(struct upstream *up, enum check_result result)
{
	struct pool *pool = up->pool;

	up->checks_end = false;
	if (pool == NULL || pool->broken == NULL)
		return;
	if (result == CHECK_ACCEPTED && !pool->checked) {
		pool->checked = true;
		g_ptr_array_add(
		    up->flow->crashes->rechecks, str_dup(str_from(pool->id)));
		return;
	}
	if (result == CHECK_REFUSED) {
		counter_add(up->flow->ends_seen, 1);
		for (guint i = 0; i < pool->broken->len; i++)
			record_end(pool,
			    &g_array_index(
				pool->broken, struct request_identity, i));
	}
	crash_pool_clear(pool);
}

/*
 * Makes the second checks of targets that have accepted the first one.
 */
static void
recheck(struct flow *flow)
{
	GPtrArray *ids = flow->crashes->rechecks;

	for (guint i = 0; i < ids->len; i++) {
		struct pool *pool =
		    g_hash_table_lookup(flow->pools, ids->pdata[i]);

		if (pool != NULL && pool->broken != NULL && pool->checked &&
		    !start_check(pool))
			crash_pool_clear(pool);
	}
	g_ptr_array_set_size(ids, 0);
}

void
crash_tick(struct flow *flow)
{
	recheck(flow);
}
