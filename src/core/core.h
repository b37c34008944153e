/*
 * A control instance for deployments that are driven by heartbeats and one
 * document: an event loop that owns a replica of the log, the state that it
 * holds, and the channels to entries and other instances.
 */
#ifndef CORE_CORE_H
#define CORE_CORE_H

#include <uv.h>

#include "base/status.h"
#include "base/str.h"
#include "roster/roster.h"

struct core_settings {
	const char *instance;
	const char *failure_domain;
	const char *link_address; /* IP:PORT for entries and other instances */
	const char *data; /* folder; NULL: no disk, no replica */
	const char *const *seeds; /* link addresses of first members */
	unsigned seed_count;
	bool bootstrap; /* the whole system starts for the first time */
	unsigned losses; /* of instances with a disk, to be borne at once */
	uint64_t target_kept_ms; /* known without a sign of it */
};

enum core_outcome {
	CORE_ACCEPTED,
	CORE_CONFLICT, /* made from another version */
	CORE_STALE, /* its version is not above the current one */
	CORE_UNAVAILABLE /* no leader in time; it may have been accepted */
};

struct core;

enum status core_open(uv_loop_t *loop, const struct core_settings *settings,
    struct core **out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Takes over seeds, losses and times; names and addresses hold. */
void core_reload(
    struct core *core, const struct core_settings *settings) ATTR_NONNULL_ALL;
/* Closes all; the loop must run until it is idle before core_free(). */
void core_close(struct core *core);
void core_free(struct core *core);

/* Soft state: what a target says of itself. */
void core_announce(
    struct core *core, const struct roster_target *target) ATTR_NONNULL_ALL;
/* Finds an announced target; NULL when it is unknown here. */
const struct roster_target *
core_target(const struct core *core, const char *id) ATTR_NONNULL_ALL;

typedef void core_done(void *ctx, enum core_outcome outcome);

/*
 * Records that an incarnation, and those before it, leave.  done is called
 * once, when a majority holds it or the time for it is over.
 */
void core_depart(struct core *core, const char *id, uint64_t started_ms,
    core_done *done, void *ctx) ATTR_NONNULL(1, 2, 4);
/* Replaces the document, if it builds on the version in force. */
void core_edit(struct core *core, uint64_t base_version, uint64_t version,
    struct str text, core_done *done, void *ctx) ATTR_NONNULL(1, 5);

/* text is the newest document, empty before the first. */
typedef void
core_read_done(void *ctx, enum core_outcome outcome, struct str text);

/* Reads the newest document; CORE_UNAVAILABLE when that is not certain. */
void core_read(struct core *core, core_read_done *done, void *ctx)
    ATTR_NONNULL(1, 2);

/*
 * Writes the addresses of entries that a caller of a failure domain may
 * connect to and returns how many: texts hold until the loop goes on.
 * domain_entries gets how many are ready in that domain, named or not.
 */
unsigned core_lookup(struct core *core, struct str failure_domain,
    const char **addresses, unsigned max,
    unsigned *domain_entries) ATTR_NONNULL_ALL;

#endif
