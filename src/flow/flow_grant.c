/*
 * Answers of schedulers: which grants are used, and what a rejection does.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

enum {
	/*
	 * Grants of one request that may be refused, each of a target of which
	 * its scheduler does not know of its backoff.
	 */
	REFUSED_GRANTS_MAX = 16,
	/* Each takes a round trip to the scheduler. */
	EVACUATED_GRANTS_MAX = 4,
	/* Targets may take this many times as long as expected. */
	EXPECTED_TIME_FACTOR = 2
};

/*
 * Returns whether a grant may be used.  An ask that was repeated may be granted
 * twice: a request that is not idempotent is sent only once, whoever grants it.
 * At the end of a stop a request that waits is about to be rejected.
 */
static bool
is_grant_usable(const struct exchange *x, const char *target)
{
	uint32_t hash = (uint32_t)str_hash(str_from(target));

	if (x->flow->stopping && uv_now(x->flow->loop) > stop_end_ms(x->flow))
		return false;
	if (x->ended || x->streaming || x->attempt_count == ATTEMPTS_MAX ||
	    !exchange_has_time_to_send(x))
		return false;
	if (!route_is_idempotent(x->route) &&
	    (x->possibly_executed || exchange_has_open_attempt(x)))
		return false;
	if (exchange_has_open_attempt(x) &&
	    x->attempt_count >= x->route->max_attempts)
		return false;
	for (unsigned i = 0; i < x->attempt_count; i++) {
		if (x->attempts[i].upstream != NULL &&
		    x->attempts[i].target_hash == hash)
			return false;
	}
	return true;
}

/*
 * Logs that a grant was ignored because this process was paused since the ask.
 */
static void
log_stale_grant(const struct exchange *x, const char *target)
{
	if (!flow_may_log(x->flow))
		return;
	log_warn("grant_stale",
	    "instance=%s request=%" PRIu64 " attempt=%s target=%s "
	    "asked_ms_ago=%" PRIu64,
	    x->flow->settings.instance, x->id, x->attempt_id, target,
	    (clock_boot_us() - x->ask_sent_boot_us) / US_PER_MS);
}

/*
 * Returns why a granted target gets no request, for the log.
 */
static const char *
unusable_reason(
    const struct flow *flow, const struct pool *pool, const char *target)
{
	uint64_t started_ms;

	if (pool != NULL)
		return "no connection is free";
	return leaving_is_known(flow, target, &started_ms) ? "the target leaves"
							   : "unknown target";
}

/*
 * Returns the text of a rejection, which is logged and sent to the caller.
 */
static const char *
reject_reason(enum placement_reason reason)
{
	switch (reason) {
	case REJECT_NO_TARGET:
		return "no target is usable";
	case REJECT_NO_ROOM:
		return "no room in time";
	case REJECT_NO_BUDGET:
		return "the repeats of the service are used up";
	}
	return "rejected";
}

/*
 * Tells the scheduler that a grant is not used.
 */
static void
return_grant(struct exchange *x, const char *target, bool remote)
{
	struct attempt unused = {
	    .exchange = x,
	    .target = (char *)target,
	    .started_us = flow_now_us(x->flow),
	    .remote = remote,
	};

	schedule_complete(&unused, OUTCOME_ABANDONED);
}

/*
 * Returns whether a stop would probably cut a request that is sent now.  One
 * that was sent before has begun anyway.
 */
static bool
would_be_cut(const struct exchange *x, uint64_t expected_us)
{
	const struct flow *flow = x->flow;
	uint64_t end_us = stop_end_ms(flow) * US_PER_MS;

	return flow->stopping && x->attempt_count == 0 &&
	    x->deadline_us > end_us &&
	    flow_now_us(flow) + expected_us * EXPECTED_TIME_FACTOR > end_us;
}

/*
 * Refuses the grant of a target that this entry backs off from: its
 * scheduler is told, and asked for another one.
 */
static void
refuse_grant(
    struct exchange *x, const char *target, bool remote, uint64_t left_us)
{
	struct flow *flow = x->flow;

	counter_add(flow->refused_grants, 1);
	if (flow_may_log(flow))
		log_info("grant_refused",
		    "instance=%s request=%" PRIu64 " attempt=%s target=%s "
		    "away_ms=%" PRIu64 " refused=%u",
		    flow->settings.instance, x->id, x->attempt_id, target,
		    left_us / US_PER_MS, x->refused_grants);
	return_grant(x, target, remote);
	if (exchange_has_open_attempt(x))
		return;
	if (x->refused_grants++ < REFUSED_GRANTS_MAX)
		schedule_ask(x, x->ask_repeat);
	else
		exchange_end_with_failure(
		    x, left_us, reject_reason(REJECT_NO_TARGET));
}

/*
 * Refuses the grant of a target in an evacuated failure domain, of which the
 * scheduler does not know yet.  After a few of them the request is placed here:
 * the scheduler may be cut off, and knows of no other targets.
 */
static void
refuse_evacuated(struct exchange *x, const char *target, bool remote)
{
	struct flow *flow = x->flow;

	counter_add(flow->refused_grants, 1);
	if (flow_may_log(flow))
		log_info("grant_refused",
		    "instance=%s request=%" PRIu64 " attempt=%s target=%s "
		    "evacuated=1 refused=%u",
		    flow->settings.instance, x->id, x->attempt_id, target,
		    x->refused_grants);
	return_grant(x, target, remote);
	if (exchange_has_open_attempt(x))
		return;
	if (x->refused_grants++ < EVACUATED_GRANTS_MAX)
		schedule_ask(x, x->ask_repeat);
	else
		schedule_locally(x, x->ask_repeat);
}

/*
 * Sends a request to the granted target.
 */
void
exchange_on_grant(
    struct exchange *x, const char *target, bool remote, uint64_t expected_us)
{
	struct flow *flow = x->flow;
	struct pool *pool = g_hash_table_lookup(flow->pools, target);
	const struct account *account = x->account;
	struct attempt *attempt;
	uint64_t away_us, refused_us;

	if (!is_grant_usable(x, target))
		return;
	if (remote && schedule_is_stale(x)) {
		log_stale_grant(x, target);
		if (!exchange_has_open_attempt(x))
			schedule_ask(x, x->ask_repeat);
		return;
	}
	if (account_is_withdrawn(x)) {
		return_grant(x, target, remote);
		account_refuse_withdrawn(x);
		return;
	}
	if (x->account != account &&
	    (x->allowance != NULL ||
		(x->account != NULL && x->account->rate_per_s > 0))) {
		/*
		 * The token, if any, is of the account that had the key.  On a
		 * public route there may be no account now.
		 */
		return_grant(x, target, remote);
		if (exchange_has_open_attempt(x))
			return;
		allowance_end(x);
		schedule_ask(x, x->ask_repeat);
		return;
	}
	refused_us = crash_refused_us(x);
	if (refused_us > 0) {
		return_grant(x, target, remote);
		if (!exchange_has_open_attempt(x))
			crash_refuse(x, refused_us);
		return;
	}
	if (pool != NULL && pool->evacuated) {
		refuse_evacuated(x, target, remote);
		return;
	}
	away_us = away_left_us(flow, target);
	if (away_us > 0) {
		refuse_grant(x, target, remote, away_us);
		return;
	}
	if (would_be_cut(x, expected_us)) {
		return_grant(x, target, remote);
		exchange_refuse(
		    x, 503, OTHER_ENTRY_RETRY_US, exchange_stopping_reason);
		return;
	}
	if (allowance_keep_grant(x, target, remote, expected_us))
		return;
	attempt = &x->attempts[x->attempt_count++];
	*attempt = (struct attempt){
	    .exchange = x,
	    .target = str_dup(str_from(target)),
	    .target_hash = (uint32_t)str_hash(str_from(target)),
	    .target_started_ms = pool != NULL ? pool->started_ms : 0,
	    .started_us = flow_now_us(flow),
	    .remote = remote,
	};
	if (x->attempt_count > 1)
		counter_add(flow->repeats, 1);
	if (pool != NULL && target_send(attempt, pool))
		return;
	/*
	 * A scheduler may hear of a new start before this entry does, and does
	 * not know how many connections this entry has.
	 */
	attempt->unusable_here = true;
	if (!x->ended)
		exchange_on_send_failed(attempt, OUTCOME_ABANDONED,
		    unusable_reason(flow, pool, target));
}

/*
 * Returns a grant that was kept for a token.
 */
void
exchange_return_grant(struct exchange *x, const char *target, bool remote)
{
	return_grant(x, target, remote);
}

/*
 * The scheduler has rejected the request.
 */
void
exchange_on_reject(
    struct exchange *x, uint64_t retry_after_us, enum placement_reason reason)
{
	if (x->ended || exchange_has_open_attempt(x))
		return;
	exchange_end_with_failure(x, retry_after_us, reject_reason(reason));
}
