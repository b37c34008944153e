/*
 * Shared by the files of the placement.
 */
#ifndef PLACEMENT_PLACEMENT_DEFS_H
#define PLACEMENT_PLACEMENT_DEFS_H

#include <glib.h>

#include "base/random.h"
#include "placement/placement.h"
#include "placement/service_time.h"
#include "placement/speed_period.h"

enum {
	SENDS_MAX = 4,
	/* Half the time in which a speed shifts: an older count is no help. */
	REPORT_FRESH_US = 250 * 1000,
	DOWN_INITIAL_US = 400 * 1000, /* a few probes */
	DOWN_MAX_US = 4 * 1000 * 1000,
	SHED_PAUSE_US = 30 * 1000, /* a third of the shortest work */
	CALL_EXPIRE_US =
	    500 * 1000, /* past its deadline, a call is forgotten */
	RETRY_AFTER_MIN_US = 50 * 1000,
	/* Far above any transit of a message, and probes in a row. */
	LOW_COUNT_MIN_US = 400 * 1000,
	LOW_COUNT_PROBES_MIN = 3,
	/* A tenth of the time in which speeds shift, 500 ms. */
	PROBE_INTERVAL_UNPREDICTED_US = 50 * 1000,
	/* A target that went dark keeps requests waiting no longer than this. */
	PROBE_INTERVAL_MAX_US = 125 * 1000,
	/* Work this many times overdue will hardly be answered. */
	OVERDUE_FACTOR = 3,
	/* Below the shortest time that a target keeps an idle connection. */
	CONNECTION_REUSE_S = 6
};

struct target {
	char *id;
	uint32_t hash;
	uint32_t failure_domain;
	uint32_t slots;
	uint64_t warmup_end_us;
	unsigned in_flight;
	unsigned external; /* others' requests, by the last probe */
	/* Probes in a row that found less than we count, and the first. */
	unsigned low_count_probes;
	uint64_t low_count_since_us;
	double slowness; /* reported; 1 is usual */
	uint64_t reported_us; /* 0: never */
	struct speed_phase speed_phase;
	double failure_rate; /* share of failures lately */
	uint64_t failure_rate_us; /* when the share was updated */
	uint64_t down_until_us;
	uint64_t down_for_us;
	uint64_t full_until_us;
	bool probe_failing; /* probes go unanswered */
	uint64_t granted_us; /* when it was used last; 0: never */
	GHashTable
	    *entry_last_used; /* hash of an entry -> second of its last use */
};

struct send {
	struct target *target; /* NULL: the target is gone */
	uint64_t granted_us;
	uint64_t updated_us;
	double progress_us; /* of work done, at usual speed */
	bool overdue; /* counted as a failure of its target already */
};

struct call {
	struct placement_request request;
	struct send sends[SENDS_MAX];
	unsigned send_count;
	GList link; /* in placement->call_order */
	bool waiting;
	bool admitted; /* it was let wait before */
};

struct placement {
	struct placement_callbacks callbacks;
	struct repeat_budget budget;
	struct service_time_table work;
	struct speed_period speed_period;
	struct random random;
	GHashTable *targets; /* id -> struct target */
	GPtrArray *order; /* of the same, for quick scans */
	GHashTable *calls; /* user -> struct call */
	GQueue call_order; /* of the same, as they came */
	GPtrArray *waiting; /* of struct call, most urgent first */
	double mean_slowness; /* over targets, of work: 1 over the mean speed */
	int probe_failing_count;
	bool dispatching;
	uint64_t
	    expire_due_us; /* when calls that are over are looked for next */
};

/* placement_target.c */
double target_slowness(
    const struct placement *p, const struct target *t, uint64_t now_us);
double target_likely_time(const struct placement *p, const struct target *t,
    double work_us, uint64_t now_us);
double target_mean_time(const struct placement *p, const struct target *t,
    double work_us, uint64_t now_us);
double target_failure_rate(const struct target *t, uint64_t now_us);
void target_record_outcome(struct target *t, double failed, uint64_t now_us);
void target_mark_down(struct target *t, uint64_t now_us);
unsigned target_occupied(const struct target *t, uint64_t now_us);
bool target_is_usable(
    const struct placement *p, const struct target *t, uint64_t now_us);
bool target_has_room(const struct target *t, uint64_t now_us);
double target_finish_time(const struct placement *p, const struct target *t,
    const struct call *call, uint64_t now_us);
void target_record_use(struct target *t, uint32_t requester, uint64_t now_us);
/* The slowest target that still makes the deadline; NULL: none. */
struct target *placement_slowest_target(const struct placement *p,
    const struct call *call, uint64_t now_us, double *finish_us);
struct target *placement_best_target(const struct placement *p,
    const struct call *call, uint64_t now_us, double *finish_us);

#endif
