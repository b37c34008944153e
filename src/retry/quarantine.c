#include "retry/quarantine.h"

#include <glib.h>

#include "base/clock.h"
#include "base/memory.h"
#include "retry/crash_ledger.h"
#include "wire/fleet_bounds.h"

enum {
	REFUSED_MAX = 1024,
	/* The same verdict of two instances. */
	SAME_MS = 10 * 1000
};

struct refused {
	uint64_t content;
	uint64_t until_us;
	uint32_t caller;
};

struct quarantine {
	GHashTable *table; /* struct refused, itself the key */
};

static guint
refused_hash(gconstpointer key)
{
	const struct refused *r = key;

	return (guint)(r->content ^ r->content >> 32) ^ r->caller;
}

static gboolean
refused_equal(gconstpointer a, gconstpointer b)
{
	const struct refused *x = a;
	const struct refused *y = b;

	return x->content == y->content && x->caller == y->caller;
}

struct quarantine *
quarantine_new(void)
{
	struct quarantine *q = mem_calloc(1, sizeof(*q));

	q->table =
	    g_hash_table_new_full(refused_hash, refused_equal, mem_free, NULL);
	return q;
}

void
quarantine_free(struct quarantine *q)
{
	if (q == NULL)
		return;
	g_hash_table_destroy(q->table);
	mem_free(q);
}

static struct refused *
find(const struct quarantine *q, uint64_t content, uint32_t caller)
{
	const struct refused key = {.content = content, .caller = caller};

	return g_hash_table_lookup(q->table, &key);
}

/*
 * Adds a request, or prolongs its time.  Beyond REFUSED_MAX requests a new one
 * is left out.
 */
bool
quarantine_add(
    struct quarantine *q, uint64_t content, uint32_t caller, uint64_t until_us)
{
	struct refused *r = find(q, content, caller);

	if (r != NULL) {
		bool prolonged = until_us > r->until_us + SAME_MS * US_PER_MS;

		if (prolonged)
			r->until_us = until_us;
		return prolonged;
	}
	if (g_hash_table_size(q->table) >= REFUSED_MAX)
		return false;
	r = mem_calloc(1, sizeof(*r));
	*r = (struct refused){content, until_us, caller};
	g_hash_table_add(q->table, r);
	return true;
}

bool
quarantine_remove(struct quarantine *q, uint64_t content, uint32_t caller)
{
	const struct refused key = {.content = content, .caller = caller};

	return g_hash_table_remove(q->table, &key);
}

static uint64_t
left_us(const struct refused *r, uint64_t now_us)
{
	return r != NULL && r->until_us > now_us ? r->until_us - now_us : 0;
}

/*
 * Returns how long a request is refused, by its caller or for all.
 */
uint64_t
quarantine_left_us(const struct quarantine *q, uint64_t content,
    uint32_t caller, uint64_t now_us)
{
	if (g_hash_table_size(q->table) == 0)
		return 0;
	return MAX(left_us(find(q, content, caller), now_us),
	    left_us(find(q, content, CRASH_ANY_CALLER), now_us));
}

void
quarantine_for_each(const struct quarantine *q, uint64_t now_us,
    void (*callback)(
	void *ctx, uint64_t content, uint32_t caller, uint64_t left_us),
    void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, q->table);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const struct refused *r = value;

		if (left_us(r, now_us) > 0)
			callback(
			    ctx, r->content, r->caller, left_us(r, now_us));
	}
}

static gboolean
is_over(gpointer key, gpointer value ATTR_UNUSED, gpointer ctx)
{
	const uint64_t *now_us = ctx;

	return left_us(key, *now_us) == 0;
}

unsigned
quarantine_expire(struct quarantine *q, uint64_t now_us)
{
	if (g_hash_table_size(q->table) > 0)
		g_hash_table_foreach_remove(q->table, is_over, &now_us);
	return g_hash_table_size(q->table);
}

Fleet__Quarantine
quarantine_message(uint64_t content, uint32_t caller, uint64_t left_us)
{
	Fleet__Quarantine message = FLEET__QUARANTINE__INIT;

	message.content = content;
	message.caller = caller;
	message.left_ms =
	    fleet_clamp(left_us / US_PER_MS, FLEET_DURATION_MAX_MS);
	return message;
}
