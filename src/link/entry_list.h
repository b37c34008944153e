/*
 * The entries that lookups may return, updated by the changes that come with
 * leases.
 */
#ifndef LINK_ENTRY_LIST_H
#define LINK_ENTRY_LIST_H

#include <stdbool.h>
#include <stddef.h>

#include "base/attr.h"
#include "wire/wire.pb-c.h"

struct entry_list;

struct entry_list *entry_list_new(void);
void entry_list_free(struct entry_list *list);
/*
 * Applies a lease's entries: a complete list, or changes to the given version.
 * Returns false, and changes nothing, if they apply to another version.
 */
bool entry_list_apply(struct entry_list *list, const Wire__Lease *lease,
    uint64_t version) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
Wire__EntryInfo *const *
entry_list_infos(const struct entry_list *list) ATTR_NONNULL_ALL;
size_t entry_list_count(const struct entry_list *list) ATTR_NONNULL_ALL;

#endif
