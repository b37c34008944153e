/*
 * Requests under which targets end.  A target that closes the connection of a
 * request that it has not answered has ended if it refuses a new connection.
 * Control instances get such reports from all entries and tell them which
 * requests to refuse; while none is connected, the entries tell each other.
 */
#include <inttypes.h>
#include <xxhash.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"
#include "retry/crash_ledger.h"
#include "retry/quarantine.h"

enum {
	/* More of a body is not compared, but its length. */
	COMPARED_BODY_BYTES = 256 << 10,
	BROKEN_MAX = 64, /* requests at one target */
	ANSWERED_SLOTS = 1024,
	/* A request that was answered so lately is not what ends targets. */
	ANSWERED_FRESH_MS = 10 * 1000
};

static const char refused_reason[] = "targets have ended under this request";

/* The latest answer to a request; others with the same slot replace it. */
struct answered {
	uint64_t content;
	uint64_t boot_us;
	uint32_t caller;
};

struct crashes {
	struct crash_ledger *ledger; /* of this entry, and of others' reports */
	GPtrArray *rechecks; /* ids of targets that are checked once more */
	struct quarantine *quarantine;
	struct answered answered[ANSWERED_SLOTS];
};

void
crash_open(struct flow *flow)
{
	flow->crashes = mem_calloc(1, sizeof(*flow->crashes));
	flow->crashes->ledger = crash_ledger_new();
	flow->crashes->rechecks = g_ptr_array_new_with_free_func(mem_free);
	flow->crashes->quarantine = quarantine_new();
}

void
crash_close(struct flow *flow)
{
	crash_ledger_free(flow->crashes->ledger);
	g_ptr_array_free(flow->crashes->rechecks, TRUE);
	quarantine_free(flow->crashes->quarantine);
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
	/* Not CRASH_ANY_CALLER. */
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

static struct answered *
answered_slot(struct crashes *crashes, const struct request_identity *identity)
{
	return &crashes->answered[(identity->content ^ identity->caller) %
	    ANSWERED_SLOTS];
}

/*
 * Returns whether this entry has an answer to the same request that is so fresh
 * that the request can't be what ends targets.
 */
static bool
was_answered_lately(
    struct crashes *crashes, const struct request_identity *identity)
{
	const struct answered *slot = answered_slot(crashes, identity);

	return slot->content == identity->content &&
	    slot->caller == identity->caller &&
	    clock_boot_us() - slot->boot_us < ANSWERED_FRESH_MS * US_PER_MS;
}

/*
 * Sends a datagram to all known entries.
 */
static void
send_to_entries(struct flow *flow, const Fleet__Datagram *datagram)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->peer_entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		datagram_send(flow,
		    &((const struct peer_entry *)value)->datagram, datagram);
}

/*
 * Reports an end or an answer to all control instances, or to the other entries
 * if none is connected.
 */
static void
report(struct flow *flow, const struct request_identity *identity,
    uint64_t target, bool answered)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Crash crash = FLEET__CRASH__INIT;

	crash.content = identity->content;
	crash.caller = identity->caller;
	crash.target = target;
	crash.answered = answered;
	frame.body_case = FLEET__FRAME__BODY_CRASH;
	frame.crash = &crash;
	controls_send(flow, &frame);
	if (controls_count_open(flow) > 0)
		return;
	datagram.body_case = FLEET__DATAGRAM__BODY_CRASH;
	datagram.crash = &crash;
	send_to_entries(flow, &datagram);
}

/*
 * Records and reports the end of a target under a request.
 */
static void
record_end(const struct pool *pool, const struct request_identity *identity)
{
	struct flow *flow = pool->flow;
	uint64_t target =
	    rank_hash(str_hash(str_from(pool->id)), pool->started_ms);
	bool answered = was_answered_lately(flow->crashes, identity);

	if (flow_may_log(flow))
		log_info("target_ended",
		    "instance=%s target=%s started=%" PRIu64
		    " content=%016" PRIx64 " caller=%08" PRIx32
		    " answered_before=%d",
		    flow->settings.instance, pool->id, pool->started_ms,
		    identity->content, identity->caller, answered);
	if (answered)
		return;
	crash_ledger_record(flow->crashes->ledger, identity->content,
	    identity->caller, target, clock_boot_us());
	report(flow, identity, target, false);
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

/*
 * Removes a request from those that are refused.
 */
static bool
lift(struct flow *flow, uint64_t content, uint32_t caller, const char *source)
{
	if (!quarantine_remove(flow->crashes->quarantine, content, caller))
		return false;
	if (flow_may_log(flow))
		log_info("quarantine",
		    "instance=%s content=%016" PRIx64 " caller=%08" PRIx32
		    " left_ms=0 source=%s",
		    flow->settings.instance, content, caller, source);
	return true;
}

/*
 * A target has answered a request: it is not what ends targets.
 */
void
crash_on_answered(const struct exchange *x)
{
	const struct request_identity *identity = &x->identity;
	struct flow *flow = x->flow;
	struct crashes *crashes = flow->crashes;
	bool known;

	*answered_slot(crashes, identity) = (struct answered){
	    .content = identity->content,
	    .boot_us = clock_boot_us(),
	    .caller = identity->caller,
	};
	known = crash_ledger_answered(
	    crashes->ledger, identity->content, identity->caller);
	known =
	    lift(flow, identity->content, identity->caller, "answer") || known;
	known =
	    lift(flow, identity->content, CRASH_ANY_CALLER, "answer") || known;
	if (known)
		report(flow, identity, 0, true);
}

/*
 * Returns how long a request is refused, in microseconds.
 */
uint64_t
crash_refused_us(const struct exchange *x)
{
	return quarantine_left_us(x->flow->crashes->quarantine,
	    x->identity.content, x->identity.caller, clock_boot_us());
}

/*
 * Refuses a request under which targets have ended.
 */
void
crash_refuse(struct exchange *x, uint64_t left_us)
{
	counter_add(x->flow->crash_refusals, 1);
	exchange_end_with_failure(x, left_us, refused_reason);
}

/*
 * Refuses a request from now on, or not any more.  Returns whether that is new.
 */
static bool
apply_quarantine(struct flow *flow, uint64_t content, uint32_t caller,
    uint64_t left_ms, const char *source)
{
	if (left_ms == 0)
		return lift(flow, content, caller, source);
	if (!quarantine_add(flow->crashes->quarantine, content, caller,
		clock_boot_us() + left_ms * US_PER_MS))
		return false;
	if (flow_may_log(flow))
		log_warn("quarantine",
		    "instance=%s content=%016" PRIx64 " caller=%08" PRIx32
		    " left_ms=%" PRIu64 " source=%s",
		    flow->settings.instance, content, caller, left_ms, source);
	return true;
}

/*
 * A control instance or another entry tells that a request is refused.
 */
void
crash_on_quarantine(
    struct flow *flow, const Fleet__Quarantine *message, const char *source)
{
	(void)apply_quarantine(
	    flow, message->content, message->caller, message->left_ms, source);
}

/*
 * Another entry, without control, reports an end or an answer.
 */
void
crash_on_report(struct flow *flow, const Fleet__Crash *crash)
{
	if (!crash->answered) {
		crash_ledger_record(flow->crashes->ledger, crash->content,
		    crash->caller, crash->target, clock_boot_us());
		return;
	}
	(void)crash_ledger_answered(
	    flow->crashes->ledger, crash->content, crash->caller);
	(void)lift(flow, crash->content, crash->caller, "entry");
	(void)lift(flow, crash->content, CRASH_ANY_CALLER, "entry");
}

static void
on_verdict(void *ctx, uint64_t content, uint32_t caller)
{
	struct flow *flow = ctx;
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Quarantine message =
	    quarantine_message(content, caller, QUARANTINE_MS * US_PER_MS);

	if (!apply_quarantine(flow, content, caller, QUARANTINE_MS, "entry"))
		return;
	datagram.body_case = FLEET__DATAGRAM__BODY_QUARANTINE;
	datagram.quarantine = &message;
	send_to_entries(flow, &datagram);
}

static void
tell_control(void *ctx, uint64_t content, uint32_t caller, uint64_t left_us)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Quarantine message =
	    quarantine_message(content, caller, left_us);

	frame.body_case = FLEET__FRAME__BODY_QUARANTINE;
	frame.quarantine = &message;
	channel_send(ctx, &frame);
}

/*
 * Tells a control instance, which may have started again, what is refused.
 */
void
crash_on_connected(struct flow *flow, struct channel *channel)
{
	quarantine_for_each(
	    flow->crashes->quarantine, clock_boot_us(), tell_control, channel);
}

/*
 * Judges what is known here while no control instance is connected that does.
 */
void
crash_tick(struct flow *flow)
{
	uint64_t now = clock_boot_us();

	recheck(flow);
	counter_set(flow->quarantined,
	    quarantine_expire(flow->crashes->quarantine, now));
	crash_ledger_judge(flow->crashes->ledger, now,
	    controls_count_open(flow) == 0 ? on_verdict : NULL, flow);
}
