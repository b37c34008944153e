/*
 * Request placement for one service: selects the target of each request, queues
 * requests and rejects them.  It is designed for load close to capacity on
 * targets whose speed changes within the duration of one request:
 *
 * - a target that is slow at the moment gets no request that another target
 *   would finish sooner (0.25 to 0.42 of the targets are slow at a time, and
 *   this changes twice a second);
 * - a burst is queued here rather than on the targets, the most urgent requests
 *   first, and only while they can still be answered in time;
 * - among waiting requests of one rank, the client account that has used the
 *   least slot time in the last 2 s goes first;
 * - under overload, requests that can't be answered in time are rejected on
 *   arrival, with the time at which capacity is expected;
 * - among targets of equal cost, an entry prefers those to which it has open
 *   connections, then the least recently used one, so that new targets get
 *   requests (with few requests over many pairs of entry and target);
 * - placements without any data start with different targets (all entries may
 *   restart at once and place on their own view);
 * - an idempotent request on a target that became slow is sent to a second
 *   target if that can still meet the objective, within the service-wide repeat
 *   budget.
 *
 * Performs no I/O; the time is an argument; a placement belongs to one thread.
 */
#ifndef PLACEMENT_PLACEMENT_H
#define PLACEMENT_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "placement/occupancy_curve.h"
#include "placement/repeat_budget.h"

enum {
	PLACEMENT_EXCLUDED_MAX = 6
};

/* Load as reported by a target. */
struct target_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t slowness; /* percent of the usual time; 0: not reported */
};

enum placement_outcome {
	OUTCOME_ANSWERED,
	OUTCOME_FAILED, /* target error or broken response */
	OUTCOME_SHED, /* the target refused to run the request */
	OUTCOME_UNREACHABLE, /* no connection; nothing was sent */
	OUTCOME_TIMED_OUT, /* sent, but not answered in time */
	OUTCOME_ABANDONED, /* the caller left, or another answer was used */
	/*
	 * The target reset the connection while it was known to be full.  Only
	 * within an instance: to others it is sent as OUTCOME_SHED.
	 */
	OUTCOME_RESET_FULL
};

enum placement_reason {
	REJECT_NO_TARGET = 1, /* no usable target */
	REJECT_NO_ROOM, /* can't be answered in time under this load */
	REJECT_NO_BUDGET /* repeat budget exhausted */
};

/* A request for a target; owned by the requester. */
struct placement_request {
	uint32_t route;
	uint32_t rank; /* 0 is the most urgent */
	uint32_t account; /* client account, hash of its name; 0: none */
	bool large; /* large response: prefer the requester's failure domain */
	bool repeat; /* the request was sent before */
	bool idempotent;
	/* allowed further sends, after the one requested */
	unsigned sends_left;
	uint64_t objective_us; /* an answer after this is late */
	uint64_t deadline_us; /* an answer after this is useless */
	uint32_t failure_domain; /* of the requester; hash */
	uint32_t requester; /* sending entry; hash */
	uint32_t excluded[PLACEMENT_EXCLUDED_MAX]; /* hashes of target ids */
	unsigned excluded_count;
	void *user;
};

/* Of a second send against a slow answer. */
enum hedge_outcome {
	HEDGE_MADE,
	HEDGE_WON, /* answered before the first send */
	HEDGE_LOST,
	HEDGE_FAILED, /* ended without an answer of either send */
	HEDGE_OUTCOMES
};

struct placement_callbacks {
	void *ctx;
	/*
	 * The request is to be sent to this target.  Called again for a granted
	 * request if it is to be sent to a second target.
	 */
	void (*grant)(
	    void *ctx, void *user, const char *target, uint64_t expected_us);
	void (*reject)(void *ctx, void *user, uint64_t retry_after_us,
	    enum placement_reason reason);
	/* A second send was made against a slow answer, or ended; may be NULL. */
	void (*hedge)(void *ctx, void *user, const char *target,
	    enum hedge_outcome outcome);
};

struct placement;

struct placement *placement_new(const struct placement_callbacks *callbacks,
    const struct repeat_limits *limits, uint64_t seed,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Changes the repeat limits; the counts are kept. */
void placement_set_limits(struct placement *placement,
    const struct repeat_limits *limits) ATTR_NONNULL_ALL;
/*
 * Share of the requests that are sent a second time when their answer is slower
 * than nine in ten; 0: none.
 */
void placement_set_hedge_share(
    struct placement *placement, double share) ATTR_NONNULL_ALL;
/* Marks this placement as the successor of another instance's. */
void placement_take_over(
    struct placement *placement, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Requests stay in their requester's failure domain while they are in time
 * there and the service has room.
 */
void placement_set_stay_local(
    struct placement *placement, bool stay) ATTR_NONNULL_ALL;
/*
 * Requests that may not be repeated are not sent to targets at which they would
 * probably not end by their deadline; they wait, or are rejected.
 */
void placement_set_check_timeout(
    struct placement *placement, bool check) ATTR_NONNULL_ALL;
void placement_free(struct placement *placement);

/* Requests per second that a cold target tolerates; 0: no limit. */
void placement_set_warmup_rate(struct placement *placement, double per_s,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* Only the scheduler of a service grants its cold targets. */
void placement_set_scheduler(struct placement *placement, bool scheduler,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* Returns whether the target has become cold by the new end of its warm-up. */
bool placement_set_warmup_end(struct placement *placement, const char *target,
    uint64_t end_us, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Requests per second that a target takes from all entries together; negative:
 * it has no limit.
 */
void placement_set_rate_limit(struct placement *placement, const char *target,
    double per_s, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Part of such a limit that this placement uses while it is not the scheduler.
 */
void placement_set_own_view_share(
    struct placement *placement, double share) ATTR_NONNULL_ALL;
/* An evacuated target gets no requests; those that run there end there. */
void placement_set_evacuated(struct placement *placement, const char *target,
    bool evacuated) ATTR_NONNULL_ALL;

void placement_add_target(struct placement *placement, const char *id,
    uint32_t failure_domain, uint32_t slots, uint64_t warmup_end_us,
    uint64_t now_us) ATTR_NONNULL_ALL;
void placement_remove_target(
    struct placement *placement, const char *id) ATTR_NONNULL_ALL;

/*
 * Submits a request for a target.  One of the callbacks is called now or later,
 * unless the request is cancelled.  Returns true if the request waits.
 */
bool placement_submit(struct placement *placement,
    const struct placement_request *request, uint64_t now_us) ATTR_NONNULL_ALL;
bool placement_is_waiting(
    const struct placement *placement, void *user) ATTR_NONNULL_ALL;
/* Removes a request that was cancelled or has ended. */
void placement_cancel(
    struct placement *placement, void *user, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Ends one send of a request.  user is NULL if the request is no longer known;
 * load may be NULL.
 */
void placement_complete(struct placement *placement, void *user,
    const char *target, enum placement_outcome outcome, uint64_t took_us,
    const struct target_load *load, uint64_t now_us) ATTR_NONNULL(1, 3);
/*
 * A requester has to back off from a target until a time: it is not granted to
 * it, and its slots do not count as capacity for it.
 */
void placement_set_away(struct placement *placement, const char *target,
    uint32_t requester, uint64_t until_us) ATTR_NONNULL_ALL;
/*
 * Returns the time of a target's next probe, given the last one: frequent until
 * the period of its speed changes is known, then shortly after each expected
 * change, and often enough to count its requests.
 */
uint64_t placement_probe_due(const struct placement *placement,
    const char *target, uint64_t probed_us, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Processes the result of a probe; load is NULL if the target did not answer.
 */
void placement_on_probe(struct placement *placement, const char *target,
    const struct target_load *load, uint64_t now_us) ATTR_NONNULL(1, 2);
/*
 * Whether a target is known to be full, apart from the sends of a request (user,
 * which may be unknown).
 */
bool placement_is_full(const struct placement *placement, const char *target,
    void *user, uint64_t now_us) ATTR_NONNULL(1, 2);
/* Whether the service's targets are known to reset connections when full. */
bool placement_has_resets(
    const struct placement *placement, uint64_t now_us) ATTR_NONNULL_ALL;
/* Another instance knows that. */
void placement_note_resets(
    struct placement *placement, uint64_t now_us) ATTR_NONNULL_ALL;
/* Whether there are no calls; then no tick is necessary. */
bool placement_is_idle(const struct placement *placement) ATTR_NONNULL_ALL;
/* Retries queued requests; to be called every few milliseconds. */
void
placement_tick(struct placement *placement, uint64_t now_us) ATTR_NONNULL_ALL;

enum {
	PLACEMENT_MODEL_ROUTES_MAX = 64
};

/* What a placement has learnt of its service, for another instance. */
struct placement_model {
	unsigned route_count;
	uint32_t route[PLACEMENT_MODEL_ROUTES_MAX];
	uint32_t work_us[PLACEMENT_MODEL_ROUTES_MAX]; /* usual, at full speed */
	uint8_t speed[OCCUPANCY_LEVELS]; /* percent; 0: unknown */
};

/* Writes the model of all routes, or of one if only is not NULL. */
void placement_get_model(const struct placement *placement,
    const uint32_t *only, struct placement_model *model) ATTR_NONNULL(1, 3);
void placement_adopt_model(struct placement *placement,
    const struct placement_model *model) ATTR_NONNULL_ALL;
/* Whether nothing was learnt or adopted yet. */
bool
placement_knows_nothing(const struct placement *placement) ATTR_NONNULL_ALL;

struct placement_stats {
	unsigned targets;
	unsigned usable;
	unsigned cold;
	unsigned limited; /* have named the rate that they take */
	unsigned slots;
	/* slots that add to what the targets complete */
	unsigned useful_slots;
	unsigned in_flight;
	unsigned waiting;
	uint64_t repeats; /* in the current window */
	uint64_t requests;
	/* requests kept from a cold or limited target by its rate */
	uint64_t held_back;
	/* second sends against slow answers, by outcome */
	uint64_t hedges[HEDGE_OUTCOMES];
	double mean_slowness;
	/* speed of a request by its target's occupancy, and its samples */
	struct occupancy_curve occupancy;
};

void placement_get_stats(const struct placement *placement, uint64_t now_us,
    struct placement_stats *figures) ATTR_NONNULL_ALL;
/*
 * Occupied slots and waiting requests in hundredths of the useful slots: 1 to
 * FLEET_LOAD_MAX, which also stands for no usable target.
 */
uint32_t placement_get_load(
    const struct placement *placement, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
