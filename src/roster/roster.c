#include "roster/roster.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/settings.h"

enum {
	/*
	 * The end of a warm-up is computed from the time left and is later by
	 * what a report took to arrive.  A smaller difference is no change,
	 * since each change is passed on to all instances.
	 */
	WARMUP_TOLERANCE_MS = 250,
	/* Lists that have the time to come before targets expire again. */
	LISTS_AFTER_PAUSE = 2
};

struct roster {
	struct roster_callbacks callbacks;
	GHashTable *targets; /* id -> struct roster_target */
	GHashTable *addresses; /* address -> struct roster_target, borrowed */
	GHashTable *departures; /* id -> struct roster_departure */
	uint64_t last_seen_min_us; /* no target has an older last_seen_us */
	uint64_t checked_us; /* last call of roster_expire(); 0: none */
	uint64_t expire_from_us; /* no target expires before */
};

static void
target_free(void *value)
{
	struct roster_target *target = value;

	mem_free(target->id);
	mem_free(target->service);
	mem_free(target->address);
	mem_free(target->failure_domain);
	mem_free(target);
}

static void
departure_free(void *value)
{
	struct roster_departure *departure = value;

	mem_free(departure->id);
	mem_free(departure);
}

/*
 * Returns an empty roster that reports changes to the callbacks, which may be
 * NULL.
 */
struct roster *
roster_new(const struct roster_callbacks *callbacks)
{
	struct roster *roster = mem_calloc(1, sizeof(*roster));

	if (callbacks != NULL)
		roster->callbacks = *callbacks;
	roster->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
	roster->addresses = g_hash_table_new(g_str_hash, g_str_equal);
	roster->departures = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, departure_free);
	return roster;
}

/*
 * Frees a roster without calling any callback.
 */
void
roster_free(struct roster *roster)
{
	if (roster == NULL)
		return;
	g_hash_table_destroy(roster->addresses);
	g_hash_table_destroy(roster->targets);
	g_hash_table_destroy(roster->departures);
	mem_free(roster);
}

/*
 * Calls the callback and removes a target.
 */
static void
remove_target(struct roster *roster, struct roster_target *target)
{
	if (roster->callbacks.removed != NULL)
		roster->callbacks.removed(roster->callbacks.ctx, target);
	if (g_hash_table_lookup(roster->addresses, target->address) == target)
		g_hash_table_remove(roster->addresses, target->address);
	g_hash_table_remove(roster->targets, target->id);
}

/*
 * Adds a target whose id and address are not in use.
 */
static void
add_target(struct roster *roster, const struct roster_target *from)
{
	struct roster_target *target = mem_alloc(sizeof(*target));

	*target = *from;
	target->id = str_dup(str_from(from->id));
	target->service = str_dup(str_from(from->service));
	target->address = str_dup(str_from(from->address));
	target->failure_domain = str_dup(str_from(from->failure_domain));
	if (target->last_seen_us < roster->last_seen_min_us)
		roster->last_seen_min_us = target->last_seen_us;
	g_hash_table_insert(roster->targets, target->id, target);
	g_hash_table_insert(roster->addresses, target->address, target);
	if (roster->callbacks.added != NULL)
		roster->callbacks.added(roster->callbacks.ctx, target);
}

/*
 * Returns whether an announcement changes nothing but the sequence.
 */
static bool
is_unchanged(const struct roster_target *a, const struct roster_target *b)
{
	return a->started_ms == b->started_ms && a->slots == b->slots &&
	    strcmp(a->service, b->service) == 0 &&
	    strcmp(a->address, b->address) == 0 &&
	    strcmp(a->failure_domain, b->failure_domain) == 0;
}

/*
 * Returns whether a newer report changes when a target's warm-up ends: it has
 * become cold again, or is not cold any more.
 */
static bool
changes_warmup(
    const struct roster_target *known, const struct roster_target *from)
{
	uint64_t now = from->last_seen_us;
	uint64_t left =
	    known->warmup_end_us > now ? known->warmup_end_us - now : 0;
	uint64_t said =
	    from->warmup_end_us > now ? from->warmup_end_us - now : 0;
	uint64_t change = left > said ? left - said : said - left;

	return from->sequence > known->sequence &&
	    (change > WARMUP_TOLERANCE_MS * US_PER_MS ||
		(left == 0) != (said == 0));
}

/*
 * Returns whether text is a name of 1 to ROSTER_NAME_BYTES - 1 bytes without
 * control characters, quotes and the characters in excluded.
 */
static bool
is_name(const char *text, const char *excluded)
{
	size_t len = strnlen(text, ROSTER_NAME_BYTES);

	if (len == 0 || len == ROSTER_NAME_BYTES)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (iscntrl((unsigned char)text[i]) || text[i] == '"' ||
		    strchr(excluded, text[i]) != NULL)
			return false;
	}
	return true;
}

/*
 * Returns whether text is the IP:PORT of one host.
 */
static bool
is_host_address(const char *text)
{
	char ip[INET6_ADDRSTRLEN];
	struct in_addr host;
	uint16_t port;

	return settings_parse_address(text, ip, sizeof(ip), &port) &&
	    port != 0 && inet_pton(AF_INET, ip, &host) == 1 &&
	    host.s_addr != INADDR_ANY && !IN_MULTICAST(ntohl(host.s_addr)) &&
	    !IN_BADCLASS(ntohl(host.s_addr));
}

/*
 * Returns whether text may be an id, which stands in a path and in a header.
 */
bool
roster_id_is_valid(const char *text)
{
	return is_name(text, " /");
}

/*
 * Returns whether a target may be announced.  "#" separates the name of a
 * service from its part.
 */
bool
roster_target_is_valid(const struct roster_target *target)
{
	return roster_id_is_valid(target->id) &&
	    is_name(target->service, "#") &&
	    is_name(target->failure_domain, "") &&
	    is_host_address(target->address) &&
	    target->started_ms <= ROSTER_STARTED_MAX_MS &&
	    target->born_ms <= ROSTER_STARTED_MAX_MS &&
	    target->sequence <= ROSTER_SEQUENCE_MAX && target->slots > 0 &&
	    target->slots <= ROSTER_SLOTS_MAX;
}

/*
 * Processes an announcement.  Late ones, by start time or sequence, and those
 * of departed incarnations are ignored.  An address belongs to the newest start
 * that claims it.
 */
bool
roster_announce(struct roster *roster, const struct roster_target *from)
{
	struct roster_target *known = roster_find(roster, from->id);
	struct roster_target *address_holder;
	struct roster_target target;

	if (roster_has_departed(roster, from->id, from->started_ms))
		return false;
	if (known != NULL &&
	    (from->started_ms < known->started_ms ||
		(from->started_ms == known->started_ms &&
		    from->sequence < known->sequence)))
		return false;
	address_holder = g_hash_table_lookup(roster->addresses, from->address);
	if (address_holder != NULL && address_holder != known &&
	    address_holder->started_ms > from->started_ms)
		return false;
	if (known != NULL && is_unchanged(known, from)) {
		bool warmup = changes_warmup(known, from);
		uint64_t before_us = known->warmup_end_us;

		if (warmup)
			known->warmup_end_us = from->warmup_end_us;
		known->sequence = from->sequence;
		if (from->last_seen_us > known->last_seen_us)
			known->last_seen_us = from->last_seen_us;
		if (from->reported_us > known->reported_us)
			known->reported_us = from->reported_us;
		if (warmup && roster->callbacks.warmup != NULL)
			roster->callbacks.warmup(
			    roster->callbacks.ctx, known, before_us);
		return warmup;
	}
	target = *from;
	if (known != NULL && known->started_ms == from->started_ms)
		target.known_us = known->known_us;
	if (known != NULL)
		remove_target(roster, known);
	if (address_holder != NULL && address_holder != known)
		remove_target(roster, address_holder);
	add_target(roster, &target);
	return true;
}

/*
 * Processes the departure of an incarnation and all older ones.
 */
bool
roster_depart(struct roster *roster, const struct roster_departure *from)
{
	struct roster_departure *known =
	    g_hash_table_lookup(roster->departures, from->id);
	struct roster_target *target = roster_find(roster, from->id);

	if (known != NULL && known->started_ms >= from->started_ms)
		return false;
	if (known == NULL) {
		known = mem_calloc(1, sizeof(*known));
		known->id = str_dup(str_from(from->id));
		g_hash_table_insert(roster->departures, known->id, known);
	}
	known->started_ms = from->started_ms;
	known->born_ms = from->born_ms;
	known->recorded_ms = from->recorded_ms;
	known->known_us = from->known_us;
	if (target != NULL && target->started_ms <= from->started_ms)
		remove_target(roster, target);
	return true;
}

/*
 * Returns whether an incarnation has departed.
 */
bool
roster_has_departed(
    const struct roster *roster, const char *id, uint64_t started_ms)
{
	const struct roster_departure *known =
	    g_hash_table_lookup(roster->departures, id);

	return known != NULL && started_ms <= known->started_ms;
}

/*
 * Returns the newest departure of an id, NULL when there is none.
 */
const struct roster_departure *
roster_find_departure(const struct roster *roster, const char *id)
{
	return g_hash_table_lookup(roster->departures, id);
}

/*
 * Returns the target that has an address, NULL when there is none.
 */
const struct roster_target *
roster_find_address(const struct roster *roster, const char *address)
{
	return g_hash_table_lookup(roster->addresses, address);
}

/*
 * Writes the start of the newest departed incarnation of an id; returns false
 * if there is none.
 */
bool
roster_departed_start(
    const struct roster *roster, const char *id, uint64_t *started_ms)
{
	const struct roster_departure *known =
	    g_hash_table_lookup(roster->departures, id);

	if (known == NULL)
		return false;
	*started_ms = known->started_ms;
	return true;
}

/*
 * Returns a target by id, or NULL.
 */
struct roster_target *
roster_find(const struct roster *roster, const char *id)
{
	return g_hash_table_lookup(roster->targets, id);
}

uint32_t
roster_id_hash(const char *id)
{
	return (uint32_t)str_hash(str_from(id));
}

/*
 * Updates last_seen_us of targets that other instances have seen.  A hash
 * collision of two ids only delays their expiry, or the return of one that has
 * expired here alone.
 */
GArray *
roster_refresh(struct roster *roster, const uint32_t *hashes, size_t count,
    uint64_t now_us)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL); /* whether known */
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter iter;
	gpointer key, value;

	for (size_t i = 0; i < count; i++)
		g_hash_table_insert(
		    seen, GUINT_TO_POINTER(hashes[i]), GINT_TO_POINTER(FALSE));
	g_hash_table_iter_init(&iter, roster->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct roster_target *target = value;
		gpointer hash = GUINT_TO_POINTER(roster_id_hash(target->id));

		if (!g_hash_table_contains(seen, hash))
			continue;
		g_hash_table_insert(seen, hash, GINT_TO_POINTER(TRUE));
		target->last_seen_us = now_us;
	}
	g_hash_table_iter_init(&iter, seen);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint32_t hash = GPOINTER_TO_UINT(key);

		if (!GPOINTER_TO_INT(value))
			g_array_append_val(unknown, hash);
	}
	g_hash_table_destroy(seen);
	return unknown;
}

/*
 * Returns whether targets may expire: not after a pause in which a list of live
 * targets may have come, until two more have had the time to come.
 */
static bool
may_expire(struct roster *roster, uint64_t now_us, uint64_t kept_us)
{
	uint64_t interval_us = kept_us / ROSTER_LISTS_PER_EXPIRY;

	if (roster->checked_us != 0 &&
	    now_us - roster->checked_us > interval_us)
		roster->expire_from_us =
		    now_us + LISTS_AFTER_PAUSE * interval_us;
	roster->checked_us = now_us;
	return now_us >= roster->expire_from_us;
}

/*
 * Removes targets that were last seen kept_us ago, unless this process has just
 * been paused.
 */
void
roster_expire(struct roster *roster, uint64_t now_us, uint64_t kept_us)
{
	uint64_t before_us = now_us > kept_us ? now_us - kept_us : 0;
	GPtrArray *old;
	GHashTableIter iter;
	gpointer value;

	if (!may_expire(roster, now_us, kept_us) ||
	    before_us <= roster->last_seen_min_us)
		return;
	old = g_ptr_array_new();
	roster->last_seen_min_us = UINT64_MAX;
	g_hash_table_iter_init(&iter, roster->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct roster_target *target = value;

		if (target->last_seen_us < before_us)
			g_ptr_array_add(old, value);
		else if (target->last_seen_us < roster->last_seen_min_us)
			roster->last_seen_min_us = target->last_seen_us;
	}
	for (guint i = 0; i < old->len; i++)
		remove_target(roster, old->pdata[i]);
	g_ptr_array_free(old, TRUE);
}

/*
 * Calls visit for each target; visit must not change the roster.
 */
void
roster_for_each(
    const struct roster *roster, roster_target_visitor *visit, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(ctx, value);
}

/*
 * Calls visit for each departure; visit must not change the roster.
 */
void
roster_for_each_departure(
    const struct roster *roster, roster_departure_visitor *visit, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->departures);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(ctx, value);
}

unsigned
roster_departure_count(const struct roster *roster)
{
	return g_hash_table_size(roster->departures);
}

/*
 * Removes departures that were recorded before a wall-clock time.
 */
void
roster_prune_departures(struct roster *roster, uint64_t before_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->departures);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct roster_departure *departure = value;

		if (departure->recorded_ms < before_ms)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Removes all departures, before those of a snapshot are loaded.
 */
void
roster_clear_departures(struct roster *roster)
{
	g_hash_table_remove_all(roster->departures);
}
