/*
 * Lookups of the entries that a caller should use: GET
 * /gypsummill/v1/entries?service=S.
 */
#ifndef ENTRY_LOOKUP_H
#define ENTRY_LOOKUP_H

#include <civetweb.h>

#include "entry/entry.h"

int
lookup_serve(struct entry *entry, struct mg_connection *conn) ATTR_NONNULL_ALL;
/*
 * Chooses up to max entries by random draws weighted by spare capacity.  Prefers
 * failure domains that are not chosen yet and skips leaving entries.  Returns
 * the number chosen.
 */
unsigned
lookup_choose(const struct view_entry *entries, unsigned count, uint64_t seed,
    const struct view_entry **chosen, unsigned max) ATTR_NONNULL_ALL;

#endif
