#include "base/memory.h"
#include "support_allowance_defs.h"

enum {
	/* Of the measured loss of power, after it. */
	VOTER_START_MS = 1000,
	ENTRY_START_MS = 1500,
	LEADER_MS = 2200,
	/* Earlier rules: followers had touch a second after the election. */
	EARLIER_TOUCH_MS = 1000,
	WAITING_VOTERS = 2,
	/* One voter: its process is back, and hears from the leader. */
	ONE_PERIOD_MS = 2000,
	ONE_START_MS = 300,
	ONE_TOUCH_MS = 500
};

/*
 * Returns the state of an entry that starts now.
 */
struct allowance_draws *
allowance_model_new_draws(const struct world *w)
{
	struct allowance_draws *draws = allowance_draws_new(
	    w->model->window_ms * US_PER_MS, (w->now_ms + 1) << 20);

	for (unsigned v = 0; v < ALLOWANCE_MODEL_VOTERS; v++) {
		char name[16];

		(void)g_snprintf(name, sizeof(name), "v%u", v);
		(void)allowance_draws_name_voter(draws, name, 0);
	}
	return draws;
}

static void
cut(struct world *w, unsigned e, unsigned v, uint64_t ms)
{
	w->cut_since_ms[e][v] = w->now_ms;
	w->cut_until_ms[e][v] = w->now_ms + ms;
}

/*
 * Draws the faults of this tenth of a second.
 */
void
allowance_model_draw_faults(struct world *w)
{
	unsigned e =
	    (unsigned)random_below(&w->random, ALLOWANCE_MODEL_ENTRIES);
	unsigned v = (unsigned)random_below(&w->random, ALLOWANCE_MODEL_SHARES);
	uint64_t ms = 200 + random_below(&w->random, 4000);

	switch (random_below(&w->random, 16)) {
	case 0: /* a third of the entries freezes */
		for (unsigned i = e % 3; i < ALLOWANCE_MODEL_ENTRIES; i += 3)
			w->entries[i].node.frozen_until_ms = w->now_ms + ms;
		break;
	case 1:
		w->voters[v].node.frozen_until_ms = w->now_ms + ms;
		break;
	case 2: /* one voter restarts; its connections are lost */
		g_queue_clear_full(&w->voters[v].node.inbox, mem_free);
		allowance_model_new_table(w, &w->voters[v]);
		break;
	case 3: /* each half is cut off from other voters */
		for (unsigned i = 0; i < ALLOWANCE_MODEL_ENTRIES; i++) {
			cut(w, i, i % 2 == 0 ? 0 : 3, ms);
			cut(w, i, i % 2 == 0 ? 1 : 4, ms);
		}
		break;
	case 4: /* an entry restarts */
		allowance_model_end_requests(
		    w, &w->entries[e], &w->entries[e].waiting);
		allowance_model_end_requests(
		    w, &w->entries[e], &w->entries[e].placed);
		allowance_draws_free(w->entries[e].draws);
		w->entries[e].draws = allowance_model_new_draws(w);
		g_queue_clear_full(&w->entries[e].node.inbox, mem_free);
		break;
	case 5:
		cut(w, e, v, ms);
		break;
	default:
		break;
	}
}

/*
 * Restarts a voter: it is back after start_ms, and may grant after grant_ms.
 */
static void
restart_voter(struct world *w, unsigned v, uint64_t start_ms, uint64_t grant_ms)
{
	struct voter *voter = &w->voters[v];

	g_queue_clear_full(&voter->node.inbox, mem_free);
	for (unsigned e = 0; e < ALLOWANCE_MODEL_ENTRIES; e++) {
		w->cut_since_ms[e][v] = 0;
		w->cut_until_ms[e][v] = w->now_ms + start_ms;
	}
	voter->node.frozen_until_ms = w->now_ms + start_ms;
	voter->grants_from_ms = w->now_ms + grant_ms;
	voter->table_from_ms = w->model->earlier_rules ? voter->grants_from_ms
						       : w->now_ms + start_ms;
}

static uint64_t
grants_after_ms(const struct world *w, unsigned v)
{
	if (!w->model->earlier_rules || v == 0)
		return LEADER_MS;
	return v < ALLOWANCE_MODEL_SHARES - WAITING_VOTERS
	    ? LEADER_MS + EARLIER_TOUCH_MS
	    : LEADER_MS + SUCCESSOR_MS;
}

/*
 * All processes lose power.  Callers of an entry that is down come back in the
 * second after its start.
 */
static void
restart_all(struct world *w)
{
	for (unsigned v = 0; v < ALLOWANCE_MODEL_SHARES; v++)
		restart_voter(w, v, VOTER_START_MS, grants_after_ms(w, v));
	for (unsigned e = 0; e < ALLOWANCE_MODEL_ENTRIES; e++) {
		struct entry *entry = &w->entries[e];

		allowance_model_end_requests(w, entry, &entry->waiting);
		allowance_model_end_requests(w, entry, &entry->placed);
		allowance_draws_free(entry->draws);
		entry->draws = allowance_model_new_draws(w);
		g_queue_clear_full(&entry->node.inbox, mem_free);
		entry->node.frozen_until_ms =
		    w->now_ms + ENTRY_START_MS + random_below(&w->random, 500);
	}
}

/*
 * Restarts processes as the model says, and starts the buckets of voters that
 * are back.
 */
void
allowance_model_restart(struct world *w)
{
	const struct allowance_model *m = w->model;
	bool one = w->now_ms % ONE_PERIOD_MS == 0;

	if (m->restart == ALLOWANCE_RESTART_ALL &&
	    w->now_ms == m->seconds * UINT64_C(500))
		restart_all(w);
	for (unsigned v = 0; v < ALLOWANCE_MODEL_SHARES && one; v++)
		if (m->restart == ALLOWANCE_RESTART_VOTERS ||
		    (m->restart == ALLOWANCE_RESTART_ONE && v == 1))
			restart_voter(w, v, ONE_START_MS,
			    m->earlier_rules ? ONE_TOUCH_MS + EARLIER_TOUCH_MS
					     : ONE_TOUCH_MS);
	for (unsigned v = 0; v < ALLOWANCE_MODEL_SHARES; v++) {
		struct voter *voter = &w->voters[v];

		if (voter->table_from_ms == 0 ||
		    w->now_ms < voter->table_from_ms)
			continue;
		voter->table_from_ms = 0;
		allowance_model_new_table(w, voter);
	}
}
