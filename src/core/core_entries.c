#include "base/clock.h"
#include "base/memory.h"
#include "core/core_internal.h"

/*
 * Returns a copy, which the caller frees.
 */
Fleet__Hello *
core_copy_hello(const Fleet__Hello *from)
{
	size_t len = fleet__hello__get_packed_size(from);
	uint8_t *bytes = mem_alloc(len);
	Fleet__Hello *copy;

	fleet__hello__pack(from, bytes);
	copy = fleet__hello__unpack(NULL, len, bytes);
	mem_free(bytes);
	return copy;
}

/*
 * Applies another instance's update of an entry that is connected there.
 */
void
core_on_entry(struct core *core, const struct channel *channel,
    const Fleet__Entry *update)
{
	const struct core_neighbour *from =
	    g_hash_table_lookup(core->neighbours, channel_address(channel));
	struct core_entry *entry;
	const char *key;

	if (from == NULL || update->hello == NULL)
		return;
	key = update->hello->datagram_address;
	entry = g_hash_table_lookup(core->entries, key);
	if (update->gone) {
		if (entry != NULL) {
			entry->sources &= ~(UINT64_C(1) << from->bit);
			entry->renewed &= ~(UINT64_C(1) << from->bit);
		}
		if (entry != NULL && entry->sources == 0)
			g_hash_table_remove(core->entries, key);
		return;
	}
	if (entry == NULL) {
		entry = mem_calloc(1, sizeof(*entry));
		g_hash_table_insert(core->entries, g_strdup(key), entry);
	}
	if (entry->hello != NULL)
		fleet__hello__free_unpacked(entry->hello, NULL);
	entry->hello = core_copy_hello(update->hello);
	entry->sources |= UINT64_C(1) << from->bit;
	entry->renewed |= UINT64_C(1) << from->bit;
}

/*
 * Records that a neighbour has sent all entries that it knows.
 */
void
core_on_synced(struct core *core, const struct channel *channel)
{
	struct core_neighbour *from =
	    g_hash_table_lookup(core->neighbours, channel_address(channel));

	if (from == NULL)
		return;
	from->synced = true;
	from->sweep_us = clock_boot_us() + CHANNEL_RETURN_MS * US_PER_MS;
}

/*
 * Clears a neighbour's bit of an entry, and removes the entry if no source
 * is left; for g_hash_table_foreach_remove().
 */
static gboolean
remove_source(void *key ATTR_UNUSED, void *value, void *ctx)
{
	struct core_entry *entry = value;
	const uint64_t *bit = ctx;

	entry->sources &= ~*bit;
	return entry->sources == 0;
}

/*
 * Clears a neighbour's bit of an entry that it has not reported again; as
 * remove_source().
 */
static gboolean
remove_unless_renewed(void *key, void *value, void *ctx)
{
	const struct core_entry *entry = value;
	const uint64_t *bit = ctx;

	return (entry->renewed & *bit) == 0 && remove_source(key, value, ctx);
}

/*
 * Drops what neighbours had reported before and have not reported again, once
 * the entries that live have had time to connect to them.
 */
void
core_entries_tick(struct core *core, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->neighbours);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct core_neighbour *neighbour = value;
		uint64_t bit = UINT64_C(1) << neighbour->bit;

		if (neighbour->sweep_us == 0 || now_us < neighbour->sweep_us)
			continue;
		neighbour->sweep_us = 0;
		g_hash_table_foreach_remove(
		    core->entries, remove_unless_renewed, &bit);
	}
}

/*
 * Removes the entries that a neighbour reported, before it reports them
 * again.  They stay for a while when no other neighbour is synced, since no
 * other source is left for them.
 */
void
core_drop_entries_from(struct core *core, struct core_neighbour *neighbour)
{
	uint64_t bit = UINT64_C(1) << neighbour->bit;
	bool others = false;
	GHashTableIter iter;
	gpointer value;

	neighbour->sweep_us = 0;
	g_hash_table_iter_init(&iter, core->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct core_entry *)value)->renewed &= ~bit;
	g_hash_table_iter_init(&iter, core->neighbours);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct core_neighbour *other = value;

		others = others || (other != neighbour && other->synced);
	}
	if (others)
		g_hash_table_foreach_remove(core->entries, remove_source, &bit);
}

/*
 * Frees an entry; destroy function of the hash table.
 */
void
core_entry_free(void *value)
{
	struct core_entry *entry = value;

	if (entry->hello != NULL)
		fleet__hello__free_unpacked(entry->hello, NULL);
	mem_free(entry);
}
