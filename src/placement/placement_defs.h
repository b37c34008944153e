/*
 * Internal definitions of the placement module.
 */
#ifndef PLACEMENT_PLACEMENT_DEFS_H
#define PLACEMENT_PLACEMENT_DEFS_H

#include <glib.h>

#include "base/random.h"
#include "placement/account_share.h"
#include "placement/hedge_budget.h"
#include "placement/latency_quantile.h"
#include "placement/occupancy_curve.h"
#include "placement/placement.h"
#include "placement/refusal_window.h"
#include "placement/service_time.h"
#include "placement/speed_period.h"
#include "placement/token_bucket.h"

enum {
	SENDS_MAX = 4,
	/* Half of SPEED_CHANGE_US; an older request count is outdated. */
	REPORT_FRESH_US = 250 * 1000,
	DOWN_INITIAL_US = 400 * 1000, /* several probe intervals */
	DOWN_MAX_US = 4 * 1000 * 1000,
	SHED_PAUSE_US = 30 * 1000, /* a third of the shortest request */
	/*
	 * How long a service is known for targets that reset connections; each
	 * reset shows it again.
	 */
	RESETS_REMEMBERED_US = 600 * 1000 * 1000,
	CALL_EXPIRE_US = 500 * 1000, /* after its deadline */
	RETRY_AFTER_MIN_US = 50 * 1000,
	/*
	 * Much longer than any message takes, and several consecutive probes.
	 */
	LOW_COUNT_MIN_US = 400 * 1000,
	LOW_COUNT_PROBES_MIN = 3,
	/* A tenth of SPEED_CHANGE_US. */
	PROBE_INTERVAL_UNPREDICTED_US = 50 * 1000,
	/* Upper bound of the time to notice an unreachable target. */
	PROBE_INTERVAL_MAX_US = 125 * 1000,
	/*
	 * At this multiple of its usual time a request is unlikely to be
	 * answered.
	 */
	OVERDUE_FACTOR = 3,
	/* How long a target shows a lower occupancy; several requests. */
	EXPLORER_TURN_US = 1000 * 1000,
	/* At least as often, a cold target gets a request. */
	COLD_DUE_US = 1000 * 1000,
	/* Shorter than any target keeps an idle connection open. */
	CONNECTION_REUSE_S = 6
};

struct target {
	char *id;
	uint32_t hash;
	uint32_t failure_domain;
	uint32_t slots;
	uint64_t warmup_end_us;
	struct token_bucket warmup; /* in force while it is cold */
	bool limited; /* it has named the rate that it takes */
	double limit_per_s; /* of all entries together */
	struct token_bucket limit; /* in force while it is limited */
	bool evacuated; /* its failure domain gets no requests */
	unsigned in_flight;
	/* requests of other entries, by the last probe */
	unsigned others_in_flight;
	/*
	 * Consecutive probes that reported fewer requests than counted here,
	 * and the time of the first.
	 */
	unsigned low_count_probes;
	uint64_t low_count_since_us;
	double slowness; /* reported; 1 is usual */
	unsigned reported_requests; /* running and waiting */
	unsigned most_waiting; /* ever reported */
	/* Time that a request here since its start has spent at each level. */
	struct occupancy_exposure exposure;
	uint64_t exposed_us; /* time of the last update */
	uint64_t reported_us; /* 0: never */
	struct speed_phase speed_phase;
	double failure_rate; /* 0 to 1; decays with time */
	uint64_t failure_rate_us; /* time of the last update */
	uint64_t down_until_us;
	uint64_t down_period_us;
	uint64_t shed_until_us;
	bool probe_failing; /* the last probe was not answered */
	uint64_t granted_us; /* time of the last grant; 0: never */
	GHashTable *entry_last_used; /* entry hash -> last use in seconds */
	/* entry hash -> uint64_t until when it has to back off; NULL: none */
	GHashTable *away;
};

struct send {
	struct target *target; /* NULL: ended, or the target was removed */
	uint64_t granted_us;
	/* the target's exposure when it was granted */
	struct occupancy_exposure exposure;
	bool overdue; /* already counted as a failure of the target */
	double charged_us; /* to its account, until it ends */
	unsigned level; /* occupancy of its target when it was granted */
	bool hedge; /* a second send against a slow answer */
};

struct call {
	struct placement_request request;
	struct send sends[SENDS_MAX];
	unsigned send_count;
	GList link; /* in placement->call_order */
	uint64_t submitted_us;
	bool waiting;
	bool admitted; /* accepted into the queue before */
	bool held_back; /* counted in placement->held_back */
	uint64_t round; /* of the dispatch that has considered it last */
	/* slot time that its account will have used when it begins */
	double share_start_us;
	guint position; /* in the queue before it is ordered by share */
	bool hedge_due; /* late, and no target had room for a second send */
};

/*
 * What holds for all waiting calls of a dispatch until one of them leaves the
 * queue.
 */
struct dispatch_cache {
	bool usable; /* the cache */
	bool has_room; /* known: whether a target has room */
	bool room;
	bool has_wait; /* known: the expected wait of such calls */
	uint32_t rank;
	uint32_t route;
	uint32_t requester;
	double wait_us;
	/* With accounts: the work of the first calls of the queue. */
	guint summed;
	double summed_work_us;
	bool has_work_rate; /* known: work completed per microsecond */
	double work_rate;
};

struct placement {
	struct placement_callbacks callbacks;
	struct repeat_budget budget;
	struct service_time_table work;
	struct occupancy_curve occupancy;
	struct speed_period speed_period;
	double warmup_per_s; /* requests that a cold target tolerates; 0: all */
	bool is_scheduler; /* of its service, for all entries */
	/* part of a target's limit that others than the scheduler may use */
	double own_view_share;
	unsigned limited_count; /* targets that have named a limit */
	uint64_t submitted_us; /* time of the last request */
	bool stay_local; /* requests stay in their failure domain if in time */
	bool check_timeout; /* see placement_timeout.c */
	struct refusal_window refusals;
	struct account_share_table shares;
	struct hedge_budget hedges;
	struct latency_quantile latency;
	uint64_t hedge_counts[HEDGE_OUTCOMES];
	/* until then its targets are known to reset connections when full */
	uint64_t resets_until_us;
	uint64_t held_back; /* requests kept from a target by its rate */
	struct random random;
	GHashTable *targets; /* id -> struct target */
	GPtrArray *order; /* the same targets, for fast iteration */
	GHashTable *calls; /* user -> struct call */
	GQueue call_order; /* the same calls in order of arrival */
	GPtrArray *waiting; /* struct call, most urgent first */
	double mean_slowness; /* 1 / mean speed of the targets */
	int probe_failing_count;
	bool dispatching;
	uint64_t round; /* number of the last dispatch */
	unsigned queue_changes;
	struct dispatch_cache cache;
	uint64_t visits; /* calls and targets visited for waiting calls */
	uint64_t expire_due_us; /* time of the next expiry scan */
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
unsigned target_useful_slots(const struct placement *p, const struct target *t);
void target_advance(const struct placement *p, struct target *t,
    double slowness_before, uint64_t now_us);
struct occupancy_exposure
target_exposure_since(const struct target *t, const struct send *send);
double exposure_sum(const struct occupancy_exposure *exposure);
bool target_is_usable(
    const struct placement *p, const struct target *t, uint64_t now_us);
/* Whether it has a slot for a request that its rate may still forbid. */
bool target_has_slot(
    const struct placement *p, const struct target *t, uint64_t now_us);
bool target_has_room(
    const struct placement *p, const struct target *t, uint64_t now_us);
double target_finish_time(const struct placement *p, const struct target *t,
    const struct call *call, uint64_t now_us);
void target_record_use(struct target *t, uint32_t requester, uint64_t now_us);
/* The slowest target that meets the deadline, or NULL. */
struct target *placement_slowest_target(const struct placement *p,
    const struct call *call, uint64_t now_us, double *finish_us);
struct target *placement_best_target(const struct placement *p,
    const struct call *call, uint64_t now_us, double *finish_us);

/* placement_local.c: requests that stay in their failure domain */
bool placement_stays_local(const struct placement *p, const struct call *call,
    const struct target *t, double cost_us, uint64_t now_us);

/* placement_timeout.c: requests that would be cut off by their timeout */
bool placement_is_untried(
    const struct placement *p, const struct call *call) ATTR_NONNULL_ALL;
bool placement_is_cut_off(const struct placement *p, const struct call *call,
    const struct target *t, uint64_t now_us);

/* placement_away.c: targets that want nothing from one requester */
bool
target_is_away(const struct target *t, uint32_t requester, uint64_t now_us);
void target_expire_away(struct target *t, uint64_t now_us);
/* The earliest end among the usable targets; 0: no target is away. */
uint64_t placement_away_until(
    const struct placement *p, uint32_t requester, uint64_t now_us);

/* placement_cold.c: cold targets and those of evacuated failure domains */
bool target_is_cold(
    const struct placement *p, const struct target *t, uint64_t now_us);
/* Whether it is usable, and may get further requests from this placement. */
bool target_takes_requests(
    const struct placement *p, const struct target *t, uint64_t now_us);
/* Whether the rates in force, of a cold or a limited target, allow a request. */
bool target_rate_allows(
    const struct placement *p, const struct target *t, uint64_t now_us);
/* Counts a request against them. */
void target_record_send(
    const struct placement *p, struct target *t, uint64_t now_us);
/* The lowest of them in requests per second; INFINITY: none is in force. */
double target_rate_per_s(
    const struct placement *p, const struct target *t, uint64_t now_us);
void target_set_warmup_end(struct target *t, uint64_t end_us, uint64_t now_us);
void placement_count_held_back(
    struct placement *p, struct call *call, uint64_t now_us);

/* placement_rate.c: targets that have named the rate that they take */
struct token_rate
target_limit_rate(const struct placement *p, const struct target *t);
/* Discards the tokens of all limited targets. */
void placement_empty_limits(struct placement *p, uint64_t now_us);
/* To be called with each request. */
void placement_note_submission(struct placement *p, uint64_t now_us);

/* placement_full.c: targets that reset connections when they are full */
bool target_room_is_known(const struct placement *p, const struct target *t,
    const struct placement_request *request, uint64_t now_us);
void placement_record_refusal(
    struct placement *p, enum placement_outcome outcome, uint64_t now_us);

/* placement.c */
/* Removes a call and releases the slots of its sends. */
void
placement_remove_call(struct placement *p, struct call *call, uint64_t now_us);
void placement_release_slot(
    const struct placement *p, struct target *t, uint64_t now_us);

/* placement_share.c: client accounts share a service by slot time */
void placement_order_by_share(struct placement *p, uint64_t now_us);
bool placement_share_precedes(const struct call *a, const struct call *b);
double placement_work_before(struct placement *p, const struct call *call);
void placement_charge_send(struct placement *p, const struct call *call,
    struct send *send, uint64_t now_us);
void placement_settle_send(struct placement *p, const struct call *call,
    struct send *send, uint64_t now_us);

/*
 * placement_queue.c: bursts wait in order of rank and objective; in overload,
 * requests that can't be in time are rejected on arrival.
 */
void placement_enqueue(struct placement *p, struct call *call, uint64_t now_us);
void placement_dequeue(struct placement *p, struct call *call);
void placement_reject(struct placement *p, struct call *call,
    enum placement_reason reason, uint64_t now_us);
/* Records a send and calls the grant callback; finish_us is its likely time. */
void placement_grant(struct placement *p, struct call *call, struct target *t,
    double finish_us, uint64_t now_us);
void placement_grant_or_queue(
    struct placement *p, struct call *call, uint64_t now_us);
/* Tries to place all queued calls, the most urgent first. */
void placement_dispatch(struct placement *p, uint64_t now_us);

/*
 * placement_hedge.c: second sends, for targets whose speed changes within the
 * duration of one request.
 */
void placement_reassess_sends(
    struct placement *p, struct target *t, uint64_t now_us);
double placement_expected_remaining(const struct placement *p,
    const struct call *call, const struct send *send, uint64_t now_us);
/* Second sends that go before the first waiting call, by rank and share. */
void placement_hedge_before_queue(struct placement *p, uint64_t now_us);

/* placement_hedge_share.c: second sends against the slowest answers */
void placement_hedge_if_slow(
    struct placement *p, struct call *call, uint64_t now_us);
void placement_end_hedges(struct placement *p, struct call *call);
void placement_record_hedge(struct placement *p, struct call *call,
    struct send *ended, enum placement_outcome outcome, uint64_t took_us,
    uint64_t now_us);

/*
 * placement_feedback.c: what answers and load reports teach, for targets that
 * slow down, fail, or whose completion messages are lost.
 */
void placement_update_load(struct placement *p, struct target *t,
    const struct target_load *load, uint64_t now_us);
void placement_reconcile(
    struct placement *p, struct target *t, unsigned occupied, uint64_t now_us);
void placement_record_service_time(struct placement *p, const struct call *call,
    const struct send *send, uint64_t took_us, uint64_t now_us);
void placement_record_outcome(
    struct target *t, enum placement_outcome outcome, uint64_t now_us);

#endif
