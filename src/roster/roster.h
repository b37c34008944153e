/*
 * Roster of announced targets, merged from several sources whose messages may
 * be late, lost or repeated.  An incarnation is an id with its start time.  The
 * newest start and sequence win; a departure permanently removes its
 * incarnation and all older ones.
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
	/*
	 * Identifies the incarnation and orders those of an id.  Unix time as
	 * the target named it (born_ms), or later if its clock is behind that
	 * of an earlier start.
	 */
	uint64_t started_ms;
	uint64_t born_ms;
	uint64_t known_us; /* when this process first knew of this start */
	uint64_t sequence;
	uint32_t slots;
	uint64_t warmup_end_us; /* end of the slow phase after its start */
	uint64_t last_seen_us; /* last sign of life from any source */
	uint64_t reported_us; /* last report to this instance; 0: never */
};

enum {
	/* Lists of live targets in the time after which one expires. */
	ROSTER_LISTS_PER_EXPIRY = 4,
	ROSTER_NAME_BYTES = 128, /* of an id, service or failure domain */
	ROSTER_SLOTS_MAX = UINT16_MAX
};

/* The last millisecond of the year 9999; a later time has another unit. */
#define ROSTER_STARTED_MAX_MS UINT64_C(253402300799999)
/* The largest integer that every JSON writer represents exactly. */
#define ROSTER_SEQUENCE_MAX ((UINT64_C(1) << 53) - 1)

struct roster_departure {
	char *id;
	uint64_t started_ms;
	uint64_t born_ms; /* of that start, as the target named it */
	uint64_t recorded_ms; /* wall clock of the log leader */
	uint64_t known_us; /* when this process first knew of it */
};

/*
 * removed is called before the removal, added after an addition or a change.
 * warmup is called after a newer report has changed the end of a target's
 * warm-up, which was before_us; it may set another one.
 */
struct roster_callbacks {
	void *ctx;
	void (*added)(void *ctx, struct roster_target *target);
	void (*removed)(void *ctx, struct roster_target *target);
	void (*warmup)(
	    void *ctx, struct roster_target *target, uint64_t before_us);
};

typedef void roster_target_visitor(void *ctx, struct roster_target *target);
typedef void
roster_departure_visitor(void *ctx, const struct roster_departure *departure);

struct roster;

struct roster *
roster_new(const struct roster_callbacks *callbacks) ATTR_UNUSED_RESULT;
void roster_free(struct roster *roster);
/* Returns whether text may be the id of a target. */
bool roster_id_is_valid(const char *text) ATTR_NONNULL_ALL;
/*
 * Returns whether the id, names, address and numbers of a target from outside
 * are within their bounds.  Only such a target may be announced.
 */
bool
roster_target_is_valid(const struct roster_target *target) ATTR_NONNULL_ALL;
/*
 * Processes an announcement; strings are copied.  Returns true if it is the
 * first of an incarnation or changes its data.
 */
bool roster_announce(
    struct roster *roster, const struct roster_target *from) ATTR_NONNULL_ALL;
/* Processes a departure; returns true if it was not known. */
bool roster_depart(struct roster *roster,
    const struct roster_departure *from) ATTR_NONNULL_ALL;
bool roster_has_departed(const struct roster *roster, const char *id,
    uint64_t started_ms) ATTR_NONNULL_ALL;
/* Returns the newest departed incarnation of an id; false if there is none. */
bool roster_departed_start(const struct roster *roster, const char *id,
    uint64_t *started_ms) ATTR_NONNULL_ALL;
const struct roster_departure *roster_find_departure(
    const struct roster *roster, const char *id) ATTR_NONNULL_ALL;
const struct roster_target *roster_find_address(
    const struct roster *roster, const char *address) ATTR_NONNULL_ALL;
struct roster_target *
roster_find(const struct roster *roster, const char *id) ATTR_NONNULL_ALL;
/*
 * Updates last_seen_us of the targets whose ids have these hashes, which other
 * instances have seen.  Returns the hashes (uint32_t) that no target has, which
 * the caller frees.
 */
GArray *roster_refresh(struct roster *roster, const uint32_t *hashes,
    size_t count, uint64_t now_us) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;
/* Returns the hash of an id in such a list. */
uint32_t roster_id_hash(const char *id) ATTR_NONNULL_ALL;
/*
 * Removes targets of which nothing was heard for kept_us; called often.  After
 * a pause none is removed for a while: what was heard meanwhile is still unread.
 */
void roster_expire(
    struct roster *roster, uint64_t now_us, uint64_t kept_us) ATTR_NONNULL_ALL;
void roster_for_each(const struct roster *roster, roster_target_visitor *visit,
    void *ctx) ATTR_NONNULL(1, 2);
void roster_for_each_departure(const struct roster *roster,
    roster_departure_visitor *visit, void *ctx) ATTR_NONNULL(1, 2);
unsigned roster_departure_count(const struct roster *roster) ATTR_NONNULL_ALL;
/* Removes departures recorded before a time. */
void roster_prune_departures(
    struct roster *roster, uint64_t before_ms) ATTR_NONNULL_ALL;
void roster_clear_departures(struct roster *roster) ATTR_NONNULL_ALL;

#endif
