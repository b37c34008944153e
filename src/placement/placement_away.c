/*
 * Targets that want nothing from one requester for a time.  They are used for
 * all others, as overload may concern that requester's path alone.
 */
#include "placement/placement_defs.h"

enum {
	/* Requesters of one target, more than there are entries. */
	AWAY_REQUESTERS_MAX = 1024
};

/*
 * Sets until when a requester has to back off from a target.  An earlier time
 * than the one set does not shorten it.
 */
void
placement_set_away(struct placement *p, const char *target, uint32_t requester,
    uint64_t until_us)
{
	struct target *t = g_hash_table_lookup(p->targets, target);
	uint64_t *known;

	if (t == NULL)
		return;
	if (t->away == NULL)
		t->away = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	known = g_hash_table_lookup(t->away, GUINT_TO_POINTER(requester));
	if (known == NULL) {
		/* The requester itself does not use such a grant. */
		if (g_hash_table_size(t->away) >= AWAY_REQUESTERS_MAX)
			return;
		known = g_new0(uint64_t, 1);
		g_hash_table_insert(
		    t->away, GUINT_TO_POINTER(requester), known);
	}
	if (until_us > *known)
		*known = until_us;
}

static uint64_t
away_until(const struct target *t, uint32_t requester)
{
	const uint64_t *until = t->away != NULL
	    ? g_hash_table_lookup(t->away, GUINT_TO_POINTER(requester))
	    : NULL;

	return until != NULL ? *until : 0;
}

/*
 * Returns whether a requester has to back off from a target at this time.
 */
bool
target_is_away(const struct target *t, uint32_t requester, uint64_t now_us)
{
	return now_us < away_until(t, requester);
}

static gboolean
is_over(void *key ATTR_UNUSED, void *value, void *ctx)
{
	const uint64_t *until = value;
	const uint64_t *now_us = ctx;

	return *until <= *now_us;
}

/*
 * Forgets the requesters from which a target accepts requests again.
 */
void
target_expire_away(struct target *t, uint64_t now_us)
{
	if (t->away == NULL)
		return;
	g_hash_table_foreach_remove(t->away, is_over, &now_us);
	if (g_hash_table_size(t->away) > 0)
		return;
	g_hash_table_destroy(t->away);
	t->away = NULL;
}

/*
 * Returns when the first of the usable targets that want nothing from a
 * requester accepts its requests again; 0 if there is none.
 */
uint64_t
placement_away_until(
    const struct placement *p, uint32_t requester, uint64_t now_us)
{
	uint64_t first = 0;

	for (guint i = 0; i < p->order->len; i++) {
		const struct target *t = p->order->pdata[i];
		uint64_t until = away_until(t, requester);

		if (until > now_us && target_takes_requests(p, t, now_us) &&
		    (first == 0 || until < first))
			first = until;
	}
	return first;
}
