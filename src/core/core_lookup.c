#include <string.h>

#include "core/core_internal.h"

enum {
	LOOKUP_DOMAIN_MIN = 2, /* an alternative if one entry fails */
	/* Links of at least 1/2 the widest bandwidth count as wide. */
	WIDE_LINK_DIVISOR = 2,
	ENTRIES_MAX = 512 /* considered, of one failure domain */
};

/* Entries that a caller may connect to. */
struct candidates {
	const struct core *core;
	struct str failure_domain;
	bool same_domain; /* in the caller's failure domain, or in others */
	const Fleet__Hello *entries[ENTRIES_MAX];
	unsigned count;
};

/*
 * Adds an entry if it is ready, is in a requested domain and its address is
 * not in the list yet.
 */
static void
add_candidate(struct candidates *candidates, const Fleet__Hello *hello)
{
	if (candidates->count == ENTRIES_MAX || !hello->ready ||
	    str_equal_c(candidates->failure_domain, hello->failure_domain) !=
		candidates->same_domain)
		return;
	for (unsigned i = 0; i < candidates->count; i++) {
		if (strcmp(candidates->entries[i]->caller_address,
			hello->caller_address) == 0)
			return;
	}
	candidates->entries[candidates->count++] = hello;
}

/*
 * Adds the entries connected to this instance.  Few entries connect to an
 * instance without a log; it adds those reported by other instances.
 */
static void
add_entries(struct candidates *candidates)
{
	const struct core *core = candidates->core;
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < core->peers->len; i++) {
		const struct core_peer *peer = core->peers->pdata[i];

		if (peer->hello_received && !peer->is_control)
			add_candidate(candidates, peer->hello);
	}
	if (core->settings.data != NULL)
		return;
	g_hash_table_iter_init(&iter, core->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_candidate(
		    candidates, ((const struct core_entry *)value)->hello);
}

static bool
is_wide(const Fleet__Hello *hello, uint32_t widest_kbps)
{
	return hello->link_kbps >= widest_kbps / WIDE_LINK_DIVISOR;
}

/*
 * Returns the widest link of the candidates, in kbit/s.
 */
static uint32_t
widest_link(const struct candidates *candidates)
{
	uint32_t widest = 0;

	for (unsigned i = 0; i < candidates->count; i++) {
		if (candidates->entries[i]->link_kbps > widest)
			widest = candidates->entries[i]->link_kbps;
	}
	return widest;
}

/*
 * Returns how many entries with narrow links to select: as many as there are
 * wide ones, or all when a wide one has no processor time left.
 */
static unsigned
narrow_limit(
    const struct candidates *candidates, uint32_t widest, unsigned wide)
{
	for (unsigned i = 0; i < candidates->count; i++) {
		const Fleet__Hello *entry = candidates->entries[i];

		if (is_wide(entry, widest) && entry->busy)
			return candidates->count;
	}
	return wide;
}

/*
 * Selects all entries with wide links and as many others, rotating among the
 * latter.  A large response on a narrow link delays everything else that its
 * instance sends; but when wide links are few, half of the callers must not
 * depend on them.
 */
static unsigned
select_entries(const struct candidates *candidates, unsigned rotation,
    const char **addresses, unsigned max)
{
	uint32_t widest = widest_link(candidates);
	unsigned count = 0;
	unsigned narrow;

	for (unsigned i = 0; i < candidates->count && count < max; i++) {
		if (is_wide(candidates->entries[i], widest))
			addresses[count++] =
			    candidates->entries[i]->caller_address;
	}
	narrow = narrow_limit(candidates, widest, count);
	for (unsigned i = 0; i < candidates->count && count < max && narrow > 0;
	     i++) {
		const Fleet__Hello *entry =
		    candidates->entries[(rotation + i) % candidates->count];

		if (is_wide(entry, widest))
			continue;
		addresses[count++] = entry->caller_address;
		narrow--;
	}
	return count;
}

/*
 * Selects connected and ready entries of the caller's failure domain, and of
 * other domains when there are fewer than LOOKUP_DOMAIN_MIN. domain_entries
 * receives the number in the caller's domain.
 */
unsigned
core_lookup(struct core *core, struct str failure_domain,
    const char **addresses, unsigned max, unsigned *domain_entries)
{
	struct candidates candidates = {
	    .core = core,
	    .failure_domain = failure_domain,
	    .same_domain = true,
	};
	unsigned count;

	add_entries(&candidates);
	*domain_entries = candidates.count;
	count = select_entries(&candidates, core->lookups++, addresses, max);
	if (count >= LOOKUP_DOMAIN_MIN)
		return count;
	candidates.same_domain = false;
	candidates.count = 0;
	add_entries(&candidates);
	return count +
	    select_entries(
		&candidates, core->lookups, addresses + count, max - count);
}
