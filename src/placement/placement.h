/*
 * Decides for one service which target a request goes to, whether it waits,
 * and when it is rejected.  Answers load that is short against the clock on
 * targets whose speed shifts within the time of one request:
 *
 * - a target that is slow at this moment gets nothing that another finishes
 *   sooner (noise of 0.25 to 0.42 of the targets, redrawn twice a second);
 * - a burst waits here, not at the targets, the most urgent first, and only
 *   as long as it can still be answered in time;
 * - what can't be answered in time under overload is rejected on arrival,
 *   with the time at which there will be room;
 * - among targets that are equally good the entry that asks keeps to those it
 *   has open connections to, and the longest unused goes first, so that new
 *   targets get requests (few requests on many pairs);
 * - placements that know nothing yet begin with different targets (all entries
 *   back at once, each on its own view);
 * - an idempotent request on a target that turned slow is sent once more if
 *   that still makes its objective, within the budget of the whole service.
 *
 * No input or output; time is an argument; one thread owns it.
 */
#ifndef PLACEMENT_PLACEMENT_H
#define PLACEMENT_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "placement/repeat_budget.h"

enum {
	PLACEMENT_EXCLUDED_MAX = 6
};

/* What a target reports of itself. */
struct target_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t slowness; /* hundredths of the usual time; 0: not told */
};

enum placement_outcome {
	OUTCOME_ANSWERED,
	OUTCOME_FAILED, /* an error of the target, or a broken answer */
	OUTCOME_SHED, /* the target said that it did not run the request */
	OUTCOME_UNREACHABLE, /* no connection: nothing was sent */
	OUTCOME_TIMED_OUT, /* sent, and no answer in time */
	OUTCOME_ABANDONED /* the caller left, or another answer was first */
};

enum placement_reason {
	REJECT_NO_TARGET = 1, /* the service has none that may be used */
	REJECT_NO_ROOM, /* can't be answered in time under this load */
	REJECT_NO_BUDGET /* the service's repeats are used up */
};

/* One request that asks for a target; owned by the asker. */
struct placement_request {
	uint32_t route;
	uint32_t rank; /* 0 is the most urgent */
	bool large; /* its response is: its own failure domain is preferred */
	bool repeat; /* the request went to a target before */
	bool idempotent;
	unsigned sends_left; /* to further targets, beyond the one asked for */
	uint64_t objective_us; /* when an answer no longer counts in full */
	uint64_t deadline_us; /* when it no longer counts at all */
	uint32_t failure_domain; /* of the asker; hash */
	uint32_t requester; /* the entry that will send it; hash */
	uint32_t excluded[PLACEMENT_EXCLUDED_MAX]; /* hashes of target ids */
	unsigned excluded_count;
	void *user;
};

struct placement_callbacks {
	void *ctx;
	/*
	 * The request goes to this target.  Called again for a request that
	 * was granted before when it is to be sent to a second target.
	 */
	void (*grant)(
	    void *ctx, void *user, const char *target, uint64_t expected_us);
	void (*reject)(void *ctx, void *user, uint64_t retry_after_us,
	    enum placement_reason reason);
};

struct placement;

struct placement *placement_new(const struct placement_callbacks *callbacks,
    const struct repeat_limits *limits, uint64_t seed,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Changes what repeats are allowed; what was counted stays. */
void placement_set_limits(struct placement *placement,
    const struct repeat_limits *limits) ATTR_NONNULL_ALL;
/* This placement takes over from another instance's. */
void placement_take_over(
    struct placement *placement, uint64_t now_us) ATTR_NONNULL_ALL;
void placement_free(struct placement *placement);

void placement_add_target(struct placement *placement, const char *id,
    uint32_t failure_domain, uint32_t slots, uint64_t warmup_end_us,
    uint64_t now_us) ATTR_NONNULL_ALL;
void placement_remove_target(
    struct placement *placement, const char *id) ATTR_NONNULL_ALL;

/*
 * Asks for a target: a callback now or later, unless it is cancelled.  True
 * when the request waits.
 */
bool placement_submit(struct placement *placement,
    const struct placement_request *request, uint64_t now_us) ATTR_NONNULL_ALL;
bool placement_is_waiting(
    const struct placement *placement, void *user) ATTR_NONNULL_ALL;
/* Forgets all of a request: it was cancelled, or ended. */
void placement_cancel(struct placement *placement, void *user) ATTR_NONNULL_ALL;
/*
 * One send of a request to a target has ended.  user is NULL when the request
 * is not known any more; load may be NULL.
 */
void placement_complete(struct placement *placement, void *user,
    const char *target, enum placement_outcome outcome, uint64_t took_us,
    const struct target_load *load, uint64_t now_us) ATTR_NONNULL(1, 3);
/*
 * When a target should be probed next, after its last probe: often while its
 * rhythm is not known, else when its speed changes and often enough to count
 * its requests.
 */
uint64_t placement_probe_due(const struct placement *placement,
    const char *target, uint64_t probed_us, uint64_t now_us) ATTR_NONNULL_ALL;
/* What a probe found; load NULL: the target did not answer. */
void placement_on_probe(struct placement *placement, const char *target,
    const struct target_load *load, uint64_t now_us) ATTR_NONNULL(1, 2);
/* Whether it has no call, waiting or sent: nothing is due then. */
bool placement_is_idle(const struct placement *placement) ATTR_NONNULL_ALL;
/* Looks again at all that waits; every few milliseconds. */
void
placement_tick(struct placement *placement, uint64_t now_us) ATTR_NONNULL_ALL;

struct placement_stats {
	unsigned targets;
	unsigned usable;
	unsigned slots;
	unsigned in_flight;
	unsigned waiting;
	uint64_t repeats; /* in the present window */
	uint64_t requests;
};

void placement_get_stats(const struct placement *placement, uint64_t now_us,
    struct placement_stats *figures) ATTR_NONNULL_ALL;

#endif
