/*
 * Targets that say in their answers that they leave.  The incarnation gets no
 * request of this entry any more, whatever control or a scheduler knows: it is
 * recorded as departed in the roster of this entry, where later announcements
 * do not bring it back.  Control is asked to record the departure until this
 * entry hears of it.  Schedulers that this entry uses are told at once, others
 * learn it from the reports of ended sends.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/* A control instance needs less than this to answer a proposal. */
	ASK_INTERVAL_MS = 1000,
	ASK_INTERVAL_MAX_MS = 4000,
	/* Frames in one tick, when many targets leave at once. */
	ASKS_PER_TICK_MAX = 16,
	/* More than leave at once in the largest fleet. */
	LEAVINGS_MAX = 4096,
	/* As long as control keeps departures. */
	LEAVING_KEPT_MS = 30 * 60 * 1000
};

/* A departure that control has not confirmed. */
struct leaving {
	char *target;
	uint64_t started_ms;
	uint64_t heard_boot_us;
	uint64_t due_boot_us; /* time of the next ask */
	unsigned asks;
};

struct leavings {
	GHashTable *table; /* target id -> struct leaving */
	unsigned turn; /* of the control instance that is asked next */
	uint64_t due_boot_us; /* earliest time of the next ask */
};

static void
leaving_free(void *value)
{
	struct leaving *leaving = value;

	mem_free(leaving->target);
	mem_free(leaving);
}

void
leaving_open(struct flow *flow)
{
	flow->leavings = mem_calloc(1, sizeof(*flow->leavings));
	flow->leavings->table =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, leaving_free);
	flow->leavings->due_boot_us = UINT64_MAX;
}

void
leaving_close(struct flow *flow)
{
	g_hash_table_destroy(flow->leavings->table);
	mem_free(flow->leavings);
	flow->leavings = NULL;
}

/*
 * Asks a control instance to record a departure, and sets the time of the next
 * ask.
 */
static void
ask_control(struct flow *flow, struct leaving *leaving, uint64_t now_us)
{
	struct leavings *leavings = flow->leavings;
	uint64_t wait_ms = (uint64_t)ASK_INTERVAL_MS << leaving->asks;
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Departure departure = FLEET__DEPARTURE__INIT;

	departure.id = leaving->target;
	departure.started_ms = leaving->started_ms;
	frame.body_case = FLEET__FRAME__BODY_DEPARTURE;
	frame.departure = &departure;
	if (!controls_send_one(flow, leavings->turn++, &frame)) {
		/* Soon, since a channel may open at any time. */
		wait_ms = ASK_INTERVAL_MS;
	} else {
		counter_add(flow->departures_asked, 1);
		if (wait_ms < ASK_INTERVAL_MAX_MS)
			leaving->asks++;
	}
	leaving->due_boot_us = now_us + wait_ms * US_PER_MS;
	if (leaving->due_boot_us < leavings->due_boot_us)
		leavings->due_boot_us = leaving->due_boot_us;
}

/*
 * Keeps a departure until control has recorded it.
 */
static void
keep_until_recorded(struct flow *flow, const char *target, uint64_t started_ms)
{
	struct leavings *leavings = flow->leavings;
	struct leaving *leaving;

	g_hash_table_remove(leavings->table, target);
	if (g_hash_table_size(leavings->table) >= LEAVINGS_MAX) {
		if (flow_may_log(flow))
			log_warn("leavings_max",
			    "instance=%s target=%s known=%d next=not_asked",
			    flow->settings.instance, target, LEAVINGS_MAX);
		return;
	}
	leaving = mem_calloc(1, sizeof(*leaving));
	leaving->target = str_dup(str_from(target));
	leaving->started_ms = started_ms;
	leaving->heard_boot_us = clock_boot_us();
	g_hash_table_insert(leavings->table, leaving->target, leaving);
	ask_control(flow, leaving, leaving->heard_boot_us);
}

/*
 * Tells schedulers that an incarnation leaves.
 */
static void
tell_schedulers(struct flow *flow, const char *target, uint64_t started_ms)
{
	const struct pool *pool = g_hash_table_lookup(flow->pools, target);
	Fleet__Done done = FLEET__DONE__INIT;

	if (pool == NULL)
		return;
	done.departed = true;
	done.started_ms = started_ms;
	schedule_tell(pool, &done);
}

/*
 * Records that an incarnation leaves: its target gets no new requests from now
 * on, and those that run continue.  source tells where this was heard; tell is
 * true if schedulers may not know it.
 */
static void
record(struct flow *flow, const char *id, uint64_t started_ms,
    const char *source, bool tell)
{
	char *target;
	struct roster_departure departure = {
	    .started_ms = started_ms,
	    .recorded_ms = clock_wall_us() / US_PER_MS,
	};

	if (roster_has_departed(flow->roster, id, started_ms))
		return;
	/* The id may belong to the pool, which goes with the target. */
	departure.id = target = str_dup(str_from(id));
	counter_add(flow->leavings_heard, 1);
	if (flow_may_log(flow))
		log_info("target_leaving",
		    "instance=%s target=%s started=%" PRIu64 " source=%s",
		    flow->settings.instance, target, started_ms, source);
	if (tell)
		tell_schedulers(flow, target, started_ms);
	(void)roster_depart(flow->roster, &departure);
	keep_until_recorded(flow, target, started_ms);
	mem_free(target);
}

/*
 * Evaluates the head of a final response.
 */
void
leaving_on_head(struct upstream *up)
{
	struct str value =
	    head_find(&up->head, up->flow->dialect.leaving_header);
	const char *target = attribution_target(up);

	if (target == NULL || value.data == NULL ||
	    !str_equal_c(str_trim(value), "1"))
		return;
	record(up->flow, target, up->target_started_ms,
	    up->probe ? "probe" : "answer", true);
}

/*
 * Another entry reports that an incarnation has departed.  Reports on targets
 * that this entry does not know, or knows in another incarnation, are ignored:
 * they would occupy memory without an effect.
 */
void
leaving_on_report(struct flow *flow, const char *target, uint64_t started_ms)
{
	const struct roster_target *known = roster_find(flow->roster, target);

	if (known != NULL && known->started_ms == started_ms)
		record(flow, target, started_ms, "entry", false);
}

/*
 * Control has recorded a departure: it need not be asked for this incarnation
 * and older ones any more.
 */
void
leaving_on_recorded(struct flow *flow, const char *target, uint64_t started_ms)
{
	const struct leaving *leaving =
	    g_hash_table_lookup(flow->leavings->table, target);

	if (leaving != NULL && leaving->started_ms <= started_ms)
		g_hash_table_remove(flow->leavings->table, target);
}

/*
 * Returns whether a target that is not in use has departed, and writes the
 * start of its newest departed incarnation.
 */
bool
leaving_is_known(
    const struct flow *flow, const char *target, uint64_t *started_ms)
{
	return roster_find(flow->roster, target) == NULL &&
	    roster_departed_start(flow->roster, target, started_ms);
}

/*
 * Asks control again for departures that it has not recorded yet.
 */
void
leaving_tick(struct flow *flow)
{
	struct leavings *leavings = flow->leavings;
	uint64_t now = clock_boot_us();
	unsigned asked = 0;
	GHashTableIter iter;
	gpointer value;

	if (now < leavings->due_boot_us)
		return;
	flow_count_scanned(flow, g_hash_table_size(leavings->table));
	leavings->due_boot_us = UINT64_MAX;
	g_hash_table_iter_init(&iter, leavings->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct leaving *leaving = value;

		if (now - leaving->heard_boot_us >=
		    LEAVING_KEPT_MS * US_PER_MS) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (now >= leaving->due_boot_us && asked++ < ASKS_PER_TICK_MAX)
			ask_control(flow, leaving, now);
		else if (leaving->due_boot_us < leavings->due_boot_us)
			leavings->due_boot_us = leaving->due_boot_us;
	}
}
