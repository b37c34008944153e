/*
 * What an instance last knew, kept in its folder so that entries are served
 * at once after a restart of all: the log says what is committed only once a
 * leader has been elected.  A hint, never an answer to a read.
 */
#ifndef CORE_CORE_CACHE_H
#define CORE_CORE_CACHE_H

#include "base/status.h"
#include "base/str.h"
#include "wire/fleet.pb-c.h"

/* Replaces the cache in a folder, durably and as a whole. */
enum status core_cache_write(const char *folder,
    const Fleet__Cache *cache) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* NULL when there is none or it is damaged. */
Fleet__Cache *
core_cache_read(const char *folder) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
