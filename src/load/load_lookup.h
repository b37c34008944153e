/*
 * Lookup of the entries of a service, as callers do it: queries an entry and
 * caches the answer for its TTL.
 */
#ifndef LOAD_LOAD_LOOKUP_H
#define LOAD_LOAD_LOOKUP_H

#include <stdint.h>

#include <curl/curl.h>

#include "base/status.h"
#include "base/str.h"

enum {
	LOAD_ENTRIES_MAX = 16,
	LOAD_ADDRESS_BYTES = 64
};

struct load_lookup {
	char addresses[LOAD_ENTRIES_MAX][LOAD_ADDRESS_BYTES];
	unsigned count;
	unsigned current; /* index of the address in use */
	unsigned jitter_seed; /* varies TTL and first entry */
	uint64_t expires_us; /* when the cached answer expires */
};

/* Refreshes an expired answer; known_entries is IP:PORT,... */
enum status load_lookup_refresh(struct load_lookup *lookup, CURL *easy,
    const char *known_entries, const char *service,
    unsigned jitter_seed) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Splits IP:PORT,... into at most LOAD_ENTRIES_MAX items. */
unsigned load_lookup_split(
    const char *list, struct str items[LOAD_ENTRIES_MAX]) ATTR_NONNULL_ALL;

#endif
