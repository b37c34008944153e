#include "entry/departure.h"

#include <inttypes.h>
#include <pthread.h>

#include <glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/logger.h"
#include "base/memory.h"
#include "base/str_key.h"

enum {
	/* Between two asks for one departure; doubled up to the limit. */
	ASK_INTERVAL_MS = 1000,
	ASK_INTERVAL_MAX_MS = 4000,
	/* In one run, since an ask waits for its answer. */
	ASKS_PER_RUN_MAX = 16,
	/* The target is gone by then, or has been started anew. */
	KEPT_MS = 30 * 60 * 1000
};

struct departure {
	struct str id; /* bytes follow this struct */
	uint64_t incarnation;
	uint64_t heard_us;
	uint64_t due_us; /* time of the next ask */
	uint64_t interval_us;
};

struct departures {
	struct departures_params params;
	pthread_mutex_t lock;
	GHashTable *by_id; /* from struct str to struct departure */
	struct counter *asked;
	struct counter *pending;
};

/*
 * Returns an empty table, to be freed with departures_free().
 */
struct departures *
departures_new(const struct departures_params *params)
{
	struct departures *d = mem_calloc(1, sizeof(*d));

	d->params = *params;
	pthread_mutex_init(&d->lock, NULL);
	d->by_id =
	    g_hash_table_new_full(str_key_hash, str_key_equal, NULL, mem_free);
	d->asked = counter_register(COUNTER_TOTAL,
	    "gypsummill_entry_departures_asked_total",
	    "Asks of control to record a target's departure (count)", NULL);
	d->pending = counter_register(COUNTER_GAUGE,
	    "gypsummill_entry_departures_pending",
	    "Departures heard that control has not recorded (count)", NULL);
	return d;
}

/*
 * Frees the table; NULL is allowed.
 */
void
departures_free(struct departures *d)
{
	if (d == NULL)
		return;
	counter_add(d->pending, -(int64_t)g_hash_table_size(d->by_id));
	g_hash_table_destroy(d->by_id);
	pthread_mutex_destroy(&d->lock);
	mem_free(d);
}

/* Removes a departure that has this incarnation or an older one. */
static void
remove_up_to(struct departures *d, struct str id, uint64_t incarnation)
{
	const struct departure *known;

	pthread_mutex_lock(&d->lock);
	known = g_hash_table_lookup(d->by_id, &id);
	if (known != NULL && known->incarnation <= incarnation) {
		g_hash_table_remove(d->by_id, &id);
		counter_add(d->pending, -1);
	}
	pthread_mutex_unlock(&d->lock);
}

/*
 * Adds a departure, which is due at once.  Above DEPARTURES_MAX it is left to
 * the target's own announcement and to other entries.
 */
void
departures_add(
    struct departures *d, struct str id, uint64_t incarnation, uint64_t now_us)
{
	struct departure *new;
	bool full;
	char *at;

	remove_up_to(d, id, incarnation);
	pthread_mutex_lock(&d->lock);
	full = g_hash_table_size(d->by_id) >= DEPARTURES_MAX;
	if (!full && g_hash_table_lookup(d->by_id, &id) == NULL) {
		new = mem_calloc(1, sizeof(*new) + id.len);
		at = (char *)(new + 1);
		new->id = str_pack(&at, id);
		new->incarnation = incarnation;
		new->heard_us = now_us;
		new->due_us = now_us;
		new->interval_us = ASK_INTERVAL_MS *US_PER_MS;
		g_hash_table_insert(d->by_id, &new->id, new);
		counter_add(d->pending, 1);
	}
	pthread_mutex_unlock(&d->lock);
	if (full)
		log_warn("departures_max",
		    "target=%.*s known=%d next=not_asked", STR_ARG(id),
		    DEPARTURES_MAX);
}

/*
 * Control knows of a departure: it need not be asked any more.
 */
void
departures_on_recorded(
    struct departures *d, struct str id, uint64_t incarnation)
{
	remove_up_to(d, id, incarnation);
}

static gboolean
is_over(void *key ATTR_UNUSED, void *value, void *ctx)
{
	const struct departure *departure = value;
	const uint64_t *now_us = ctx;

	return departure->heard_us + KEPT_MS * US_PER_MS <= *now_us;
}

/*
 * Copies the id of a departure that is due and sets the time of its next ask.
 * Returns NULL if there is none, else the id, freed with mem_free().
 */
static char *
take_due(struct departures *d, uint64_t now_us, uint64_t *incarnation)
{
	GHashTableIter iter;
	gpointer value;
	char *id = NULL;

	pthread_mutex_lock(&d->lock);
	counter_add(d->pending,
	    -(int64_t)g_hash_table_foreach_remove(d->by_id, is_over, &now_us));
	g_hash_table_iter_init(&iter, d->by_id);
	while (id == NULL && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct departure *departure = value;

		if (departure->due_us > now_us)
			continue;
		id = str_dup(departure->id);
		*incarnation = departure->incarnation;
		departure->due_us = now_us + departure->interval_us;
		if (departure->interval_us < ASK_INTERVAL_MAX_MS * US_PER_MS)
			departure->interval_us *= 2;
	}
	pthread_mutex_unlock(&d->lock);
	return id;
}

/*
 * Asks control for the departures that are due, while it answers.  The lock is
 * not held meanwhile.
 */
uint32_t
departures_run(struct departures *d, uint64_t now_us)
{
	enum departure_result result = DEPARTURE_RECORDED;
	uint64_t incarnation;
	uint32_t left;
	char *id;

	for (unsigned i = 0; i < ASKS_PER_RUN_MAX &&
	     result != DEPARTURE_LATER && d->params.reachable(d->params.ctx) &&
	     (id = take_due(d, now_us, &incarnation)) != NULL;
	     i++) {
		counter_add(d->asked, 1);
		result =
		    d->params.ask(d->params.ctx, str_from(id), incarnation);
		if (result != DEPARTURE_LATER)
			remove_up_to(d, str_from(id), incarnation);
		if (result == DEPARTURE_RECORDED)
			log_info("departure_recorded",
			    "target=%s incarnation=%" PRIu64, id, incarnation);
		mem_free(id);
	}
	pthread_mutex_lock(&d->lock);
	left = g_hash_table_size(d->by_id);
	pthread_mutex_unlock(&d->lock);
	return left;
}
