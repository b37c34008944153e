#include "link/entry_list.h"

#include <string.h>

#include <glib.h>

#include "base/memory.h"

struct entry_list {
	GPtrArray *infos; /* of owned Wire__EntryInfo */
};

/*
 * Frees an element of the array (a GDestroyNotify).
 */
static void
free_info(void *info)
{
	wire__entry_info__free_unpacked(info, NULL);
}

/*
 * Returns an empty list, to be freed with entry_list_free().
 */
struct entry_list *
entry_list_new(void)
{
	struct entry_list *list = mem_calloc(1, sizeof(*list));

	list->infos = g_ptr_array_new_with_free_func(free_info);
	return list;
}

/*
 * Frees the list and its entries; NULL is allowed.
 */
void
entry_list_free(struct entry_list *list)
{
	if (list == NULL)
		return;
	g_ptr_array_free(list->infos, TRUE);
	mem_free(list);
}

/* Returns a deep copy, made by encoding and decoding the message. */
static Wire__EntryInfo *
copy_info(const Wire__EntryInfo *info)
{
	size_t len = wire__entry_info__get_packed_size(info);
	uint8_t *bytes = mem_alloc(len);
	Wire__EntryInfo *copy;

	wire__entry_info__pack(info, bytes);
	copy = wire__entry_info__unpack(NULL, len, bytes);
	mem_free(bytes);
	return copy;
}

/*
 * Removes the entry with this name, if present; may change the order of the
 * others.
 */
static void
remove_named(struct entry_list *list, const char *name)
{
	for (unsigned i = 0; i < list->infos->len; i++) {
		const Wire__EntryInfo *info = list->infos->pdata[i];

		if (strcmp(info->name, name) == 0) {
			g_ptr_array_remove_index_fast(list->infos, i);
			return;
		}
	}
}

/*
 * Replaces the list by a lease's complete list, or applies its changes if they
 * start at the given version.  Returns false, and changes nothing, for changes
 * to another version.  The entries are copied.
 */
bool
entry_list_apply(
    struct entry_list *list, const Wire__Lease *lease, uint64_t version)
{
	if (lease->entries_base != 0 && lease->entries_base != version)
		return false;
	if (lease->entries_base == 0)
		g_ptr_array_set_size(list->infos, 0);
	for (size_t i = 0; i < lease->n_entries; i++) {
		const Wire__EntryInfo *info = lease->entries[i];

		remove_named(list, info->name);
		if (!info->gone)
			g_ptr_array_add(list->infos, copy_info(info));
	}
	return true;
}

/*
 * Returns the listed entries, valid until the next entry_list_apply().
 */
Wire__EntryInfo *const *
entry_list_infos(const struct entry_list *list)
{
	return (Wire__EntryInfo *const *)list->infos->pdata;
}

size_t
entry_list_count(const struct entry_list *list)
{
	return list->infos->len;
}
