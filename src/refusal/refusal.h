/*
 * The latest refusals of an entry, each with the figures at that moment, so
 * that operators can explain them.  Above the capacity the oldest is
 * overwritten.
 */
#ifndef REFUSAL_REFUSAL_H
#define REFUSAL_REFUSAL_H

#include "base/status.h"
#include "refusal/refusal_defs.h"

enum {
	REFUSAL_ID_BYTES = 104,
	REFUSAL_NAME_BYTES = 64,
	REFUSAL_FIGURES_MAX = 6
};

/* A figure behind the decision, e.g. "tenant calls a second" 41 of 40. */
struct refusal_figure {
	const char *name; /* static string that names the unit */
	uint64_t value;
	uint64_t bound;
};

struct refusal {
	char id[REFUSAL_ID_BYTES]; /* set by refusal_log_add() */
	enum refusal_outcome outcome;
	enum refusal_reason reason;
	char service[REFUSAL_NAME_BYTES];
	char route[REFUSAL_NAME_BYTES];
	char tenant[REFUSAL_NAME_BYTES];
	char section[REFUSAL_NAME_BYTES]; /* of the deciding rule */
	char rule[REFUSAL_NAME_BYTES]; /* path of the field in the section */
	uint64_t section_revision;
	uint64_t wall_us;
	uint64_t retry_after_ms; /* 0: not worth retrying */
	struct refusal_figure figures[REFUSAL_FIGURES_MAX];
	unsigned figure_count;
};

struct refusal_log;

/* entry is the instance name in the ids; incarnation distinguishes restarts. */
struct refusal_log *
refusal_log_new(struct str entry, uint64_t incarnation, uint32_t capacity);
void refusal_log_free(struct refusal_log *log);
/* Stores a copy and sets its id.  Thread-safe. */
void refusal_log_add(
    struct refusal_log *log, struct refusal *refusal) ATTR_NONNULL_ALL;
/*
 * Returns STATUS_NOT_FOUND for an id that was never issued here, and
 * STATUS_CLOSED for one that was overwritten since or issued before this
 * entry's restart.
 */
enum status refusal_log_find(struct refusal_log *log, struct str id,
    struct refusal *refusal) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Splits an id into its entry, incarnation and sequence number. */
bool refusal_id_parse(struct str id, struct str *entry, uint64_t *incarnation,
    uint64_t *sequence) ATTR_NONNULL(2, 3, 4);
/* Appends the body of application/problem+json (RFC 9457). */
void refusal_problem_json(const struct refusal *refusal, struct str text,
    struct str_buf *out) ATTR_NONNULL(1, 3);
/* Appends everything stored, as JSON for gypsummillctl explain. */
void refusal_explain_json(
    const struct refusal *refusal, struct str_buf *out) ATTR_NONNULL_ALL;

#endif
