/*
 * A control instance for deployments that consist of heartbeats and a single
 * document: an event loop that owns a replica of the log, the replicated
 * state, and the channels to entries and other instances.
 */
#ifndef CORE_CORE_H
#define CORE_CORE_H

#include <glib.h>
#include <uv.h>

#include "base/status.h"
#include "base/str.h"
#include "roster/roster.h"

struct core_settings {
	const char *instance;
	const char *failure_domain;
	const char *link_address; /* IP:PORT for entries and other instances */
	const char *data; /* data folder; NULL: no disk, no replica */
	const char *const *seeds; /* link addresses of first members */
	unsigned seed_count;
	bool bootstrap; /* a new group is created */
	unsigned losses; /* simultaneous losses of disks to tolerate */
	uint64_t target_kept_ms; /* expiry of a target without reports */
	/* window of the bound on allowances; 0: the default */
	uint64_t quota_window_ms;
};

enum core_outcome {
	CORE_ACCEPTED,
	/* based on another version; of an evacuation: too many */
	CORE_CONFLICT,
	/* version not higher than the current one; no failure domain */
	CORE_STALE,
	CORE_UNAVAILABLE /* no leader in time; may have been accepted */
};

struct core;

enum status core_open(uv_loop_t *loop, const struct core_settings *settings,
    struct core **out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Applies new seeds, losses and times; names and addresses stay. */
void core_reload(
    struct core *core, const struct core_settings *settings) ATTR_NONNULL_ALL;
/* Closes all handles; run the loop until it is idle before core_free(). */
void core_close(struct core *core);
void core_free(struct core *core);

/* Applies an announcement of a target, which is soft state. */
void core_announce(
    struct core *core, const struct roster_target *target) ATTR_NONNULL_ALL;
/*
 * Counts an announcement of a target that could not be decoded.  Returns
 * whether to log it.
 */
bool core_refuse_announcement(
    struct core *core, const char *id) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* The targets and departures that this instance knows. */
const struct roster *core_roster(const struct core *core) ATTR_NONNULL_ALL;
/* Counts a call of a target that has no effect.  Returns whether to log it. */
bool core_ignore_call(
    struct core *core, const char *id) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

typedef void core_done(void *ctx, enum core_outcome outcome);

/*
 * Records that an incarnation of a target, and all earlier ones, have left.
 * done is called once, when a majority has stored the departure or the
 * request has timed out.
 */
void core_depart(struct core *core, const char *id, uint64_t started_ms,
    core_done *done, void *ctx) ATTR_NONNULL(1, 2, 4);
/* Replaces the document if the edit is based on the current version. */
void core_edit(struct core *core, uint64_t base_version, uint64_t version,
    struct str text, core_done *done, void *ctx) ATTR_NONNULL(1, 5);

/*
 * Starts or ends the evacuation of a failure domain.  Accepted when a majority
 * has stored it, also if it changes nothing.
 */
void core_evacuate(struct core *core, const char *failure_domain, bool active,
    core_done *done, void *ctx) ATTR_NONNULL(1, 2, 4);
/*
 * The names of the evacuated failure domains that this instance knows, valid
 * until control returns to the loop.
 */
const GPtrArray *core_evacuations(const struct core *core) ATTR_NONNULL_ALL;

/* text is the newest document, empty if there is none yet. */
typedef void
core_read_done(void *ctx, enum core_outcome outcome, struct str text);

/*
 * Reads the newest document.  From then on, core_evacuations() of an instance
 * with a log is as new.  CORE_UNAVAILABLE if it may be out of date. */
void core_read(struct core *core, core_read_done *done, void *ctx)
    ATTR_NONNULL(1, 2);

/*
 * Writes the addresses of entries that a caller in a failure domain may
 * connect to and returns their number.  The strings are valid until control
 * returns to the loop. domain_entries receives the number of ready entries
 * in that domain, including those not written.
 */
unsigned core_lookup(struct core *core, struct str failure_domain,
    const char **addresses, unsigned max,
    unsigned *domain_entries) ATTR_NONNULL_ALL;

#endif
