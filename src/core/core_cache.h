/*
 * Warm-start cache in the data folder: the document and targets that an
 * instance last knew, so that entries can be served right after a restart of
 * the whole fleet.  The log shows what is committed only once a leader has
 * been elected.  The cache is a hint and never answers a read.
 */
#ifndef CORE_CORE_CACHE_H
#define CORE_CORE_CACHE_H

#include "base/status.h"
#include "base/str.h"
#include "wire/fleet.pb-c.h"

/* Appends the contents of the file. */
void core_cache_encode(
    const Fleet__Cache *cache, struct str_buf *out) ATTR_NONNULL_ALL;
/* Replaces the cache in a folder atomically.  Safe on any thread. */
enum status core_cache_write(
    const char *folder, struct str bytes) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Returns NULL when there is none or it is corrupt. */
Fleet__Cache *
core_cache_read(const char *folder) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
