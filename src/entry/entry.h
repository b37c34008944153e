/*
 * State shared by the modules of gypsummill-entry.
 */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include <stdatomic.h>

#include "base/counter.h"
#include "burn/burn.h"
#include "entry/announce.h"
#include "entry/claim_client.h"
#include "entry/crash_guard.h"
#include "entry/departure.h"
#include "entry/notice.h"
#include "entry/upstream.h"
#include "entry/view.h"
#include "link/link.h"
#include "refusal/refusal.h"

enum {
	ENTRY_OUTCOMES = REFUSAL_RUN + 1
};

struct entry_counters {
	struct counter *refusals[REFUSAL_REASON_COUNT][ENTRY_OUTCOMES];
	struct counter *in_flight;
	struct counter *lookups;
	struct counter *malformed;
	struct counter *callers_gone; /* disconnected before their answer */
	struct counter *truncated; /* incomplete answers */
	struct counter *announcements;
	struct counter *announcements_refused;
	struct counter *probes;
	struct counter *probe_bytes;
	struct counter *buffered; /* bytes of buffered request bodies */
};

struct entry {
	const char *name;
	const char *address; /* IP:PORT for callers */
	const char *failure_domain;
	const char *leaving_header; /* see notice_read() */
	uint64_t incarnation;
	uint64_t seed;
	struct link *link;
	struct view_store *views;
	struct upstream *upstream;
	struct departures *departures;
	struct notices *notices;
	struct refusal_log *refusals;
	struct burn *burn;
	struct announce *announce;
	struct claim_client *claim_client;
	struct crash_guard *crashes;
	struct entry_counters counters;
	atomic_bool leaving;
	atomic_bool closing; /* answers close their connections */
	atomic_bool started; /* the link is open */
	_Atomic uint64_t lookup_draws; /* gives each lookup its own seed */
};

/* Returns whether the document lease is valid, so the view is current. */
bool entry_has_lease(const struct entry *entry) ATTR_NONNULL_ALL;
void entry_counters_init(struct entry_counters *counters) ATTR_NONNULL_ALL;
/* Path prefix of the entry's own API. */
#define ENTRY_API_PREFIX "/gypsummill/v1/"

#endif
