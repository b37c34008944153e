/*
 * Definitions shared by the source files of the claim schedules.
 */
#ifndef SUPPORT_CLAIM_DEFS_H
#define SUPPORT_CLAIM_DEFS_H

#include "base/clock.h"
#include "base/random.h"
#include "claim/attempt.h"
#include "limit/heap.h"
#include "support_claim.h"

enum {
	ENTRIES = 3,
	TARGETS = 3,
	KEYS = 4,
	SUBMISSIONS_MAX = 48,
	SUBMISSIONS_PER_KEY_MAX = 8,
	RUNS_MAX = 512,
	SENDS_MAX = 3
};

#define FAULTS_END_US (20 * US_PER_S)
#define SUBMISSIONS_END_US (40 * US_PER_S)
#define SCHEDULE_END_US (200 * US_PER_S)
#define LEASE_US (3 * US_PER_S)
#define LEASE_CHECK_INTERVAL_US (US_PER_S / 2)
#define HOUR_US (3600 * US_PER_S)
#define RETENTION_US (3600 * US_PER_S)
#define DEADLINE_US (6 * US_PER_S)

enum event_kind {
	EVENT_SUBMIT,
	EVENT_CONNECTION_LOST, /* the caller sees its connection break */
	EVENT_CALLER_TIMEOUT, /* the caller disconnects */
	EVENT_PROPOSAL, /* reaches control */
	EVENT_RESULT, /* reaches the entry */
	EVENT_KEY_RELEASED, /* reaches the entry */
	EVENT_TIMER,
	EVENT_ARRIVAL, /* a call reaches a target */
	EVENT_START,
	EVENT_DONE,
	EVENT_REPLY, /* reaches the entry */
	EVENT_LEASE_CHECK, /* control checks the leases */
	EVENT_CRASH,
	EVENT_RESTART,
	EVENT_PAUSE,
	EVENT_RESUME,
	EVENT_PARTITION,
	EVENT_PARTITION_END,
	EVENT_LEADER_DOWN,
	EVENT_LEADER_UP,
	EVENT_TARGET_DOWN,
	EVENT_TARGET_UP
};

enum reply {
	REPLY_ANSWER,
	REPLY_SHED,
	REPLY_BROKEN,
	REPLY_NOT_SENT
};

struct event {
	struct heap_node node;
	enum event_kind kind;
	int submission; /* or -1 */
	int entry; /* or target, or key, by kind */
	int number; /* of the send or run, or the target's epoch */
	bool is_end; /* of a proposal or result */
	bool no_result; /* sender of the proposal is gone */
	bool held;
	enum claim_verdict verdict;
	enum claim_ending ending;
	enum reply reply;
	int run; /* whose answer is stored or returned */
};

struct submission {
	int key;
	char body;
	int entry;
	uint64_t incarnation;
	struct claim_attempt attempt;
	bool alive; /* held in its entry's memory */
	bool caller_connected;
	bool replied_not_run;
	int sends;
	int answered_run; /* run of the target's answer, or -1 */
	uint64_t timer_us;
};

struct run {
	int key;
	int submission;
	char body;
};

struct entry {
	bool up;
	bool partitioned;
	bool registered; /* control has not declared it lost */
	uint64_t resume_us; /* paused until */
	uint64_t incarnation;
	uint64_t registered_incarnation; /* known to control */
	uint64_t last_seen_us;
	struct claim_ledger *local_ledger; /* CLAIM_MODE_LOCAL */
};

struct target {
	bool up;
	int epoch;
};

struct schedule {
	enum claim_mode mode;
	struct random random;
	uint64_t now_us;
	uint64_t claims_max;
	struct heap events;
	struct claim_ledger *ledger;
	bool leader_up;
	struct entry entries[ENTRIES];
	struct target targets[TARGETS];
	struct submission submissions[SUBMISSIONS_MAX];
	int submission_count;
	int submissions_per_key[KEYS];
	struct run runs[RUNS_MAX];
	int run_count;
	int replied_run[KEYS]; /* whose answer was returned, or -1 */
	struct claim_totals *totals;
};

/* support_claim.c */
struct event *schedule_event(
    struct schedule *schedule, enum event_kind kind, uint64_t delay_us);
bool schedule_draw_percent(struct schedule *schedule, unsigned percent);
uint64_t schedule_draw_between(
    struct schedule *schedule, uint64_t low_us, uint64_t high_us);
void
schedule_resubmit(struct schedule *schedule, int submission, uint64_t delay_us);

/* support_claim_control.c */
void control_propose(struct schedule *schedule, int submission, bool is_end);
void control_proposal(struct schedule *schedule, const struct event *event);
void control_check(struct schedule *schedule);
void control_leader(struct schedule *schedule, bool up);
struct claim_open
control_open_of(const struct schedule *schedule, int submission);
int control_run_of(struct str body);

/* support_claim_entry.c */
void entry_submit(struct schedule *schedule, int submission);
void entry_event(struct schedule *schedule, const struct event *event);
void entry_crash(struct schedule *schedule, int entry);
bool target_event(struct schedule *schedule, const struct event *event);

#endif
