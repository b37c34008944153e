/*
 * Targets that want nothing from this entry for a time: they have turned a
 * request away with 503 and Retry-After.  The time is kept here by the
 * boot-time clock, and decides whatever a scheduler grants; schedulers learn it
 * from the reports of ended sends, so that they do not count on such targets
 * for this entry.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "base/memory.h"
#include "base/retry_after.h"
#include "flow/flow_internal.h"

enum {
	/* More than the targets of the largest fleet. */
	AWAY_MAX = 4096,
	LOG_INTERVAL_MS = 60 * 1000, /* of unreadable values of one target */
	SWEEP_INTERVAL_MS = 1000
};

struct away {
	char *target;
	uint64_t started_ms; /* incarnation */
	uint64_t until_boot_us;
	uint64_t logged_boot_us; /* last unreadable value; 0: none */
};

struct aways {
	GHashTable *table; /* target id -> struct away */
	uint64_t sweep_due_boot_us;
};

static void
away_free(void *value)
{
	struct away *away = value;

	mem_free(away->target);
	mem_free(away);
}

void
away_open(struct flow *flow)
{
	flow->aways = mem_calloc(1, sizeof(*flow->aways));
	flow->aways->table =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, away_free);
}

void
away_close(struct flow *flow)
{
	g_hash_table_destroy(flow->aways->table);
	mem_free(flow->aways);
	flow->aways = NULL;
}

/*
 * Returns the state of an incarnation of a target, which is created; NULL if
 * there are too many.
 */
static struct away *
get_away(struct flow *flow, const char *target, uint64_t started_ms)
{
	GHashTable *table = flow->aways->table;
	struct away *away = g_hash_table_lookup(table, target);

	if (away != NULL && away->started_ms == started_ms)
		return away;
	/* A late answer of an earlier start. */
	if (away != NULL && away->started_ms > started_ms)
		return NULL;
	if (away == NULL && g_hash_table_size(table) >= AWAY_MAX) {
		if (flow_may_log(flow))
			log_warn("aways_max",
			    "instance=%s target=%s known=%d next=not_kept",
			    flow->settings.instance, target, AWAY_MAX);
		return NULL;
	}
	away = mem_calloc(1, sizeof(*away));
	away->target = str_dup(str_from(target));
	away->started_ms = started_ms;
	g_hash_table_replace(table, away->target, away);
	return away;
}

/*
 * Returns the longest time in microseconds that the Retry-After fields of a
 * response name; valid is false if one of them can't be read.
 */
static uint64_t
longest_retry_after(const struct head *head, bool *valid)
{
	struct str value;
	uint64_t longest = 0;
	unsigned at = 0;

	*valid = true;
	while (
	    (value = head_find_next(head, "Retry-After", &at)).data != NULL) {
		uint64_t us;

		*valid = retry_after_parse(value, &us) && *valid;
		if (us > longest)
			longest = us;
	}
	return longest;
}

static void
log_unreadable(struct flow *flow, struct away *away, uint64_t now_us)
{
	if ((away->logged_boot_us != 0 &&
		now_us - away->logged_boot_us < LOG_INTERVAL_MS * US_PER_MS) ||
	    !flow_may_log(flow))
		return;
	away->logged_boot_us = now_us;
	log_warn("retry_after_unreadable", "instance=%s target=%s next=ignored",
	    flow->settings.instance, away->target);
}

/*
 * Tells the placement of this entry how long a target is away for its own
 * requests.
 */
static void
inform_placement(struct flow *flow, const char *target, uint64_t left_us)
{
	const struct pool *pool = g_hash_table_lookup(flow->pools, target);

	flow->usable_generation++;
	if (pool != NULL)
		placement_set_away(pool->service_part->placement, target,
		    FLOW_OWN_REQUESTER, flow_now_us(flow) + left_us);
}

/*
 * Evaluates the head of a final response.  A shorter time than one that was
 * named before does not end that one early.
 */
void
away_on_head(struct upstream *up)
{
	struct flow *flow = up->flow;
	const char *target = attribution_target(up);
	uint64_t now = clock_boot_us();
	struct away *away;
	uint64_t left_us;
	bool valid;

	if (up->parser.status_code != 503 || target == NULL ||
	    head_find(&up->head, "Retry-After").data == NULL)
		return;
	left_us = longest_retry_after(&up->head, &valid);
	if (left_us == 0 && valid)
		return;
	away = get_away(flow, target, up->target_started_ms);
	if (away == NULL)
		return;
	if (!valid)
		log_unreadable(flow, away, now);
	if (left_us == 0)
		return;
	counter_add(flow->aways_heard, 1);
	if (away->until_boot_us <= now && flow_may_log(flow))
		log_info("target_away",
		    "instance=%s target=%s started=%" PRIu64 " ms=%" PRIu64
		    " source=%s",
		    flow->settings.instance, target, away->started_ms,
		    left_us / US_PER_MS, up->probe ? "probe" : "answer");
	if (now + left_us > away->until_boot_us)
		away->until_boot_us = now + left_us;
	inform_placement(flow, target, away->until_boot_us - now);
}

/*
 * Returns how long this entry has to back off from a target, in
 * microseconds; 0 if it may be used.
 */
static uint64_t
pool_left_us(const struct pool *pool)
{
	const struct away *away =
	    g_hash_table_lookup(pool->flow->aways->table, pool->id);
	uint64_t now;

	if (away == NULL || away->started_ms != pool->started_ms)
		return 0;
	now = clock_boot_us();
	return away->until_boot_us > now ? away->until_boot_us - now : 0;
}

/*
 * Returns how long this entry has to back off from a target, by its id.
 */
uint64_t
away_left_us(const struct flow *flow, const char *target)
{
	const struct pool *pool;

	if (g_hash_table_size(flow->aways->table) == 0)
		return 0;
	pool = g_hash_table_lookup(flow->pools, target);
	return pool != NULL ? pool_left_us(pool) : 0;
}

/*
 * Returns the shortest backoff that a target of a service has asked of
 * this entry, in microseconds; 0 if not all of them do.
 */
uint64_t
away_service_left_us(const struct service *service)
{
	const struct flow *flow = service->flow;
	uint64_t shortest = 0;

	if (g_hash_table_size(flow->aways->table) == 0)
		return 0;
	for (guint i = 0; i < service->pools->len; i++) {
		uint64_t left = pool_left_us(service->pools->pdata[i]);

		if (left == 0)
			return 0;
		if (shortest == 0 || left < shortest)
			shortest = left;
	}
	return shortest;
}

/*
 * A target was added to a placement of this entry, which may have forgotten it.
 */
void
away_on_added(struct pool *pool)
{
	uint64_t left_us = pool_left_us(pool);

	if (left_us > 0)
		placement_set_away(pool->service_part->placement, pool->id,
		    FLOW_OWN_REQUESTER, flow_now_us(pool->flow) + left_us);
}

static gboolean
is_over(void *key ATTR_UNUSED, void *value, void *ctx)
{
	const struct away *away = value;
	const uint64_t *now_us = ctx;

	return away->until_boot_us <= *now_us &&
	    (away->logged_boot_us == 0 ||
		*now_us - away->logged_boot_us >= LOG_INTERVAL_MS * US_PER_MS);
}

/*
 * Forgets the times that are over.
 */
void
away_tick(struct flow *flow)
{
	struct aways *aways = flow->aways;
	uint64_t now = clock_boot_us();

	if (now < aways->sweep_due_boot_us ||
	    g_hash_table_size(aways->table) == 0)
		return;
	aways->sweep_due_boot_us = now + SWEEP_INTERVAL_MS * US_PER_MS;
	flow_count_scanned(flow, g_hash_table_size(aways->table));
	g_hash_table_foreach_remove(aways->table, is_over, &now);
}
