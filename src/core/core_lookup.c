#include <string.h>

#include "core/core_internal.h"

enum {
	LOOKUP_OWN_MIN = 2, /* so that an entry that fails has a neighbour */
	/* Links of half the widest or more count as wide. */
	WIDE_SHARE = 2,
	ENTRIES_MAX = 512 /* of one failure domain that are looked at */
};

/* Entries that a caller may be sent to. */
struct choice {
	const struct core *core;
	struct str failure_domain;
	bool own; /* of the caller's failure domain, or the others */
	const Fleet__Hello *entries[ENTRIES_MAX];
	unsigned count;
};

static void
add(struct choice *choice, const Fleet__Hello *hello)
{
	if (choice->count == ENTRIES_MAX || !hello->ready ||
	    str_equal_c(choice->failure_domain, hello->failure_domain) !=
		choice->own)
		return;
	for (unsigned i = 0; i < choice->count; i++) {
		if (strcmp(choice->entries[i]->caller_address,
			hello->caller_address) == 0)
			return;
	}
	choice->entries[choice->count++] = hello;
}

/*
 * Adds the entries that are connected here; where there is no log, and so
 * none connects, those that other instances tell of.
 */
static void
add_entries(struct choice *choice)
{
	const struct core *core = choice->core;
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < core->peers->len; i++) {
		const struct core_peer *peer = core->peers->pdata[i];

		if (peer->greeted && !peer->is_control)
			add(choice, peer->hello);
	}
	if (core->settings.data != NULL)
		return;
	g_hash_table_iter_init(&iter, core->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add(choice, ((const struct core_entry *)value)->hello);
}

static bool
is_wide(const Fleet__Hello *hello, uint32_t widest_kbps)
{
	return hello->link_kbps >= widest_kbps / WIDE_SHARE;
}

static uint32_t
widest_link(const struct choice *choice)
{
	uint32_t widest = 0;

	for (unsigned i = 0; i < choice->count; i++) {
		if (choice->entries[i]->link_kbps > widest)
			widest = choice->entries[i]->link_kbps;
	}
	return widest;
}

/*
 * Returns how many narrow entries are named beside the wide ones: as many,
 * or all when a wide one has no processor time left.
 */
static unsigned
narrow_share(const struct choice *choice, uint32_t widest, unsigned wide)
{
	for (unsigned i = 0; i < choice->count; i++) {
		const Fleet__Hello *entry = choice->entries[i];

		if (is_wide(entry, widest) && entry->busy)
			return choice->count;
	}
	return wide;
}

/*
 * Names all entries with wide links, and as many others, each time the next
 * ones.  A large response chokes a narrow link for as long as all that its
 * instance does in the meantime must wait; but where the wide ones are few,
 * half of the callers must not depend on them.
 */
static unsigned
name_entries(const struct choice *choice, unsigned turn, const char **addresses,
    unsigned max)
{
	uint32_t widest = widest_link(choice);
	unsigned count = 0;
	unsigned narrow;

	for (unsigned i = 0; i < choice->count && count < max; i++) {
		if (is_wide(choice->entries[i], widest))
			addresses[count++] = choice->entries[i]->caller_address;
	}
	narrow = narrow_share(choice, widest, count);
	for (unsigned i = 0; i < choice->count && count < max && narrow > 0;
	     i++) {
		const Fleet__Hello *entry =
		    choice->entries[(turn + i) % choice->count];

		if (is_wide(entry, widest))
			continue;
		addresses[count++] = entry->caller_address;
		narrow--;
	}
	return count;
}

/*
 * Names entries of the caller's failure domain that are connected and ready,
 * and others too where those are few; domain_entries is how many it has.
 */
unsigned
core_lookup(struct core *core, struct str failure_domain,
    const char **addresses, unsigned max, unsigned *domain_entries)
{
	struct choice choice = {
	    .core = core,
	    .failure_domain = failure_domain,
	    .own = true,
	};
	unsigned count;

	add_entries(&choice);
	*domain_entries = choice.count;
	count = name_entries(&choice, core->lookups++, addresses, max);
	if (count >= LOOKUP_OWN_MIN)
		return count;
	choice.own = false;
	choice.count = 0;
	add_entries(&choice);
	return count +
	    name_entries(
		&choice, core->lookups, addresses + count, max - count);
}
