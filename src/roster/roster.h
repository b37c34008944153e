/*
 * Aggregate: the targets that have announced themselves, merged from several
 * sources that may be late, cut off or repeat each other.  An incarnation is
 * an id with its start time; the newest start and sequence win, and a
 * departure binds its incarnation and all before it for good.
 */
#ifndef ROSTER_ROSTER_H
#define ROSTER_ROSTER_H

#include <glib.h>

#include "base/str.h"

struct roster_target {
	char *id;
	char *service;
	char *address; /* IP:PORT */
	char *failure_domain;
	uint64_t started_ms; /* Unix time of this incarnation's start */
	uint64_t sequence;
	uint32_t slots;
	uint64_t warmup_end_us; /* when it is no longer slow from its start */
	uint64_t last_seen_us; /* when a sign of it came last, from anywhere */
	uint64_t reported_us; /* when it reported here itself; 0: never */
};

struct roster_departure {
	char *id;
	uint64_t started_ms;
	uint64_t recorded_ms; /* wall clock of the log's leader */
};

/* Called before a target is removed and after one was added or changed. */
struct roster_callbacks {
	void *ctx;
	void (*added)(void *ctx, struct roster_target *target);
	void (*removed)(void *ctx, struct roster_target *target);
};

struct roster;

struct roster *
roster_new(const struct roster_callbacks *callbacks) ATTR_UNUSED_RESULT;
void roster_free(struct roster *roster);
/*
 * Takes an announcement; texts are copied.  True when it tells something new
 * of an incarnation: its first sign, another place or more slots.
 */
bool roster_announce(
    struct roster *roster, const struct roster_target *from) ATTR_NONNULL_ALL;
/* Takes a departure; true when it was not known. */
bool roster_depart(struct roster *roster,
    const struct roster_departure *from) ATTR_NONNULL_ALL;
bool roster_has_departed(const struct roster *roster, const char *id,
    uint64_t started_ms) ATTR_NONNULL_ALL;
struct roster_target *
roster_find(const struct roster *roster, const char *id) ATTR_NONNULL_ALL;
/* Notes that others have heard of the targets whose ids have these hashes. */
void roster_refresh(struct roster *roster, const uint32_t *hashes, size_t count,
    uint64_t now_us) ATTR_NONNULL(1);
/* Removes what was last heard of before a time. */
void roster_expire(struct roster *roster, uint64_t before_us) ATTR_NONNULL_ALL;
void roster_each(const struct roster *roster,
    void (*visit)(void *ctx, struct roster_target *target), void *ctx)
    ATTR_NONNULL(1, 2);
void roster_each_departure(const struct roster *roster,
    void (*visit)(void *ctx, const struct roster_departure *departure),
    void *ctx) ATTR_NONNULL(1, 2);
/* Forgets departures recorded before a time. */
void roster_prune_departures(
    struct roster *roster, uint64_t before_ms) ATTR_NONNULL_ALL;
void roster_clear_departures(struct roster *roster) ATTR_NONNULL_ALL;

#endif
