/*
 * Replay of second sends: 8 targets of 4 slots, 90 to 110 ms.
 */
#include "support_hedge_load.h"

#include "base/random.h"
#include "placement/placement_defs.h"

enum {
	TARGETS = 8,
	SLOTS = 4,
	REQUESTS = 6000,
	SCHEDULERS = 2,
	/* The sign of a start reaches the entry, and its cancel the target. */
	SIGN_US = 1000,
	PROBE_MS = 50,
	WORK_US = 100 * 1000, /* mean */
	REPEAT_WINDOW_US = 10 * 1000 * 1000
};

static const uint64_t us_per_ms = 1000;

struct send_run {
	int target; /* -1: none */
	uint64_t sent_us;
	uint64_t start_us;
	uint64_t end_us;
};

struct request_run {
	struct send_run sends[2];
	bool granted;
	bool rejected;
	bool hedged; /* or not to be hedged any more */
	uint64_t arrival_us;
	uint64_t first_sent_us;
	unsigned scheduler;
	unsigned generation; /* of that scheduler */
};

struct scheduler {
	struct placement *placement;
	unsigned generation;
	uint64_t back_us; /* when a successor begins, if placement is NULL */
	struct hedge_budget budget; /* of the rules for comparison */
	struct latency_quantile latency;
};

struct replay {
	const struct hedge_load *load;
	struct random random;
	struct random faults;
	uint64_t now_us;
	uint64_t seed;
	struct scheduler schedulers[SCHEDULERS];
	unsigned running[TARGETS];
	struct request_run runs[REQUESTS];
	unsigned first; /* the ones before it have ended */
	unsigned count;
	bool hedging; /* the next grant is a second send within the share */
	struct hedge_load_result result;
};

static bool
all_are_slow(const struct replay *replay)
{
	const struct hedge_load *load = replay->load;

	return load->all_slow_ms > 0 &&
	    replay->now_us > load->all_slow_ms * us_per_ms &&
	    (load->all_slow_end_ms == 0 ||
		replay->now_us <= load->all_slow_end_ms * us_per_ms);
}

static void
on_hedge(void *ctx, void *user ATTR_UNUSED, const char *target ATTR_UNUSED,
    enum hedge_outcome outcome)
{
	struct replay *replay = ctx;

	if (outcome == HEDGE_MADE)
		replay->hedging = true;
}

static void
on_grant(
    void *ctx, void *user, const char *target, uint64_t expected_us ATTR_UNUSED)
{
	struct replay *replay = ctx;
	struct request_run *run = user;
	struct send_run *send = &run->sends[0];
	bool slow = all_are_slow(replay);
	uint64_t took = (uint64_t)((90 + 20 * random_unit(&replay->random)) *
	    (double)us_per_ms);
	uint64_t delay = 0;

	if (run->granted && run->sends[0].target < 0 &&
	    run->sends[1].target < 0) {
		/* The report of its end was lost: its entry sends nothing. */
		replay->hedging = false;
		return;
	}
	if (send->target >= 0) {
		replay->result.second++;
		replay->result.second_slow += slow ? 1 : 0;
		if (replay->hedging) {
			replay->result.hedges++;
			replay->result.hedges_slow += slow ? 1 : 0;
		}
		replay->hedging = false;
		send++;
	}
	if (slow || random_unit(&replay->random) < replay->load->stuck) {
		delay = replay->load->slow_start ? 9 * took : 0;
		took *= 10;
	}
	*send = (struct send_run){.target = target[1] - '0',
	    .sent_us = replay->now_us,
	    .start_us = replay->now_us + delay,
	    .end_us = replay->now_us + took};
	if (!run->granted)
		run->first_sent_us = replay->now_us;
	run->granted = true;
	replay->running[send->target]++;
}

static void
on_reject(void *ctx, void *user, uint64_t retry_after_us ATTR_UNUSED,
    enum placement_reason reason ATTR_UNUSED)
{
	struct replay *replay = ctx;
	struct request_run *run = user;

	run->rejected = true;
	replay->result.rejected++;
}

static void
open_scheduler(struct replay *replay, struct scheduler *scheduler)
{
	const struct placement_callbacks callbacks = {.ctx = replay,
	    .grant = on_grant,
	    .reject = on_reject,
	    .hedge = on_hedge};
	static const struct repeat_limits limits = {
	    .ratio = 0.5, .slack = 100, .window_us = REPEAT_WINDOW_US};
	const struct hedge_load *load = replay->load;
	unsigned generation = scheduler->generation;
	uint64_t seed = replay->seed;

	if (generation > 0)
		seed += replay->now_us / us_per_ms;
	*scheduler = (struct scheduler){.generation = generation,
	    .placement =
		placement_new(&callbacks, &limits, seed, replay->now_us),
	    .budget = {.share = load->share}};
	placement_set_hedge_share(scheduler->placement,
	    load->policy == HEDGE_POLICY_RULE ? load->share : 0);
	placement_set_scheduler(
	    scheduler->placement, !load->own_view, replay->now_us);
	for (int i = 0; i < TARGETS; i++) {
		char name[] = {'t', (char)('0' + i), 0};

		placement_add_target(
		    scheduler->placement, name, 1, SLOTS, 0, replay->now_us);
	}
}

/*
 * Loses a scheduler: what it has granted runs on, and is reported to nobody.
 */
static void
lose_scheduler(struct scheduler *scheduler)
{
	placement_free(scheduler->placement);
	scheduler->placement = NULL;
	scheduler->generation++;
}

/*
 * Returns the placement that knows a request, or NULL if it was lost.
 */
static struct placement *
placement_of(const struct replay *replay, const struct request_run *run)
{
	const struct scheduler *s = &replay->schedulers[run->scheduler];

	return s->generation == run->generation ? s->placement : NULL;
}

/*
 * Asks a scheduler for a target; the other one if the chosen one is lost.
 */
static void
submit(struct replay *replay, struct request_run *run)
{
	const struct hedge_load *load = replay->load;
	const struct placement_request request = {.route = 1,
	    .idempotent = !load->once,
	    .sends_left = 1,
	    .objective_us = run->arrival_us + 5000 * us_per_ms,
	    .deadline_us = run->arrival_us + 8000 * us_per_ms,
	    .user = run};
	unsigned at =
	    load->lost_ms > 0 ? (unsigned)random_below(&replay->faults, 2) : 0;

	if (replay->schedulers[at].placement == NULL)
		at = 1 - at;
	run->scheduler = at;
	run->generation = replay->schedulers[at].generation;
	(void)placement_submit(
	    replay->schedulers[at].placement, &request, replay->now_us);
}

static void
arrive(struct replay *replay)
{
	struct request_run *run = &replay->runs[replay->count++];

	*run = (struct request_run){.arrival_us = replay->now_us};
	run->sends[0].target = run->sends[1].target = -1;
	replay->result.requests++;
	submit(replay, run);
}

/*
 * Loses one of two schedulers at random, and starts its successor later, so
 * that there is always one.  Requests that wait for the lost one are asked
 * again.
 */
static void
lose_at_random(struct replay *replay)
{
	bool one_is_lost = false;

	for (int i = 0; i < SCHEDULERS; i++) {
		struct scheduler *s = &replay->schedulers[i];

		if (s->placement == NULL && replay->now_us >= s->back_us)
			open_scheduler(replay, s);
		one_is_lost = one_is_lost || s->placement == NULL;
	}
	if (one_is_lost ||
	    random_below(&replay->faults, replay->load->lost_ms) > 0)
		return;
	{
		unsigned at = (unsigned)random_below(&replay->faults, 2);
		struct scheduler *s = &replay->schedulers[at];

		lose_scheduler(s);
		replay->result.losses++;
		s->back_us = replay->now_us +
		    random_below(&replay->faults, 1500 * us_per_ms);
		for (unsigned i = replay->first; i < replay->count; i++) {
			struct request_run *run = &replay->runs[i];

			if (run->scheduler == at && !run->granted &&
			    !run->rejected)
				submit(replay, run);
		}
	}
}

/*
 * Ends a send, and counts the time that it has occupied a slot.
 */
static void
end_send(struct replay *replay, struct send_run *send, bool cancelled)
{
	uint64_t took = replay->now_us - send->sent_us;

	replay->running[send->target]--;
	replay->result.slot_us += took;
	replay->result.cancelled_us += cancelled ? took : 0;
	send->target = -1;
}

/*
 * Learns from an answer for the rules for comparison.
 */
static void
learn(struct replay *replay, const struct request_run *run, int answered)
{
	struct scheduler *s = &replay->schedulers[run->scheduler];
	const struct send_run *sends = run->sends;

	hedge_budget_answered(&s->budget);
	latency_quantile_record(
	    &s->latency, 0, (double)(replay->now_us - sends[answered].sent_us));
	if (sends[1 - answered].target >= 0)
		latency_quantile_record_cancelled(&s->latency, 0,
		    (double)(replay->now_us - sends[1 - answered].sent_us));
}

/*
 * Ends the sends of a request whose first answer is due.
 */
static void
answer(struct replay *replay, struct request_run *run)
{
	struct placement *p = placement_of(replay, run);
	struct hedge_load_result *result = &replay->result;

	for (int i = 0; i < 2; i++) {
		struct send_run *send = &run->sends[i];
		char name[] = {'t', (char)('0' + send->target), 0};
		bool late = replay->now_us - run->arrival_us >
		    HEDGE_LOAD_LATE_MS * us_per_ms;

		if (send->target < 0 || send->end_us > replay->now_us)
			continue;
		result->answered++;
		result->late += late ? 1 : 0;
		result->late_from_send += replay->now_us - run->first_sent_us >
			HEDGE_LOAD_LATE_MS * us_per_ms
		    ? 1
		    : 0;
		if (replay->load->all_slow_end_ms > 0 &&
		    run->arrival_us > replay->load->all_slow_end_ms * us_per_ms)
			result->late_after += late ? 1 : 0;
		if (p != NULL)
			learn(replay, run, i);
		for (int k = 0; k < 2; k++) {
			if (run->sends[k].target >= 0)
				end_send(replay, &run->sends[k], k != i);
		}
		/* With two, one report in 100 is lost. */
		if (p != NULL &&
		    (replay->load->lost_ms == 0 ||
			random_below(&replay->faults, 100) > 0))
			placement_complete(p, run, name, OUTCOME_ANSWERED,
			    replay->now_us - send->sent_us, NULL,
			    replay->now_us);
		return;
	}
}

/*
 * Ends the send that has not started when the other one has.
 */
static void
cancel_on_start(struct replay *replay, struct request_run *run)
{
	struct scheduler *s = &replay->schedulers[0];
	struct send_run *sends = run->sends;
	int other;
	char name[] = {'t', 0, 0};

	if (sends[0].target < 0 || sends[1].target < 0)
		return;
	other = sends[1].start_us < sends[0].start_us ? 0 : 1;
	if (sends[1 - other].start_us + SIGN_US > replay->now_us)
		return;
	name[1] = (char)('0' + sends[other].target);
	if (replay->load->policy == HEDGE_POLICY_START_WORK)
		s->budget.credit -=
		    (double)(replay->now_us - sends[other].sent_us) / WORK_US;
	end_send(replay, &sends[other], true);
	placement_complete(s->placement, run, name, OUTCOME_ABANDONED, 0, NULL,
	    replay->now_us);
}

/*
 * Returns whether a rule for comparison makes a second send of a request now.
 */
static bool
is_due(const struct replay *replay, const struct scheduler *s,
    const struct request_run *run)
{
	uint64_t took = replay->now_us - run->sends[0].sent_us;
	double left;

	switch (replay->load->policy) {
	case HEDGE_POLICY_DELAY:
		return took >= HEDGE_LOAD_DELAY_MS * us_per_ms;
	case HEDGE_POLICY_PERCENTILE:
		return latency_quantile_exceeds(
		    &s->latency, 0, (double)took, &left);
	case HEDGE_POLICY_TIED:
	case HEDGE_POLICY_START:
	case HEDGE_POLICY_START_WORK:
		return took <= us_per_ms;
	default:
		return false;
	}
}

/*
 * Makes the second sends of the rules for comparison, at the target that the
 * product would choose.  They need a free slot there, and nothing else.
 */
static void
hedge(struct replay *replay, struct request_run *run)
{
	struct scheduler *s = &replay->schedulers[run->scheduler];
	struct call *call;
	struct target *best;
	double finish;

	if (run->hedged || run->sends[0].target < 0 ||
	    !hedge_budget_allows(&s->budget) || !is_due(replay, s, run))
		return;
	call = g_hash_table_lookup(s->placement->calls, run);
	if (call == NULL || call->send_count != 1)
		return;
	best =
	    placement_best_target(s->placement, call, replay->now_us, &finish);
	if (best == NULL)
		return;
	run->hedged = true;
	replay->hedging = true;
	if (replay->load->policy != HEDGE_POLICY_START_WORK)
		hedge_budget_take(&s->budget);
	placement_grant(s->placement, call, best, finish, replay->now_us);
}

static void
step_requests(struct replay *replay)
{
	enum hedge_policy policy = replay->load->policy;
	struct hedge_load_result *result = &replay->result;

	for (unsigned i = replay->first; i < replay->count; i++) {
		struct request_run *run = &replay->runs[i];

		answer(replay, run);
		if (policy > HEDGE_POLICY_RULE)
			hedge(replay, run);
		if (policy >= HEDGE_POLICY_START)
			cancel_on_start(replay, run);
		if (i == replay->first && run->sends[0].target < 0 &&
		    run->sends[1].target < 0 && (run->granted || run->rejected))
			replay->first++;
	}
	/* The sum of shares is not exact. */
	if (policy != HEDGE_POLICY_START_WORK &&
	    result->hedges > replay->load->share * result->answered + 1e-6)
		result->exceeded++;
}

static void
step_schedulers(struct replay *replay)
{
	for (int s = 0; s < SCHEDULERS; s++) {
		struct placement *p = replay->schedulers[s].placement;

		if (p == NULL)
			continue;
		for (int i = 0;
		     i < TARGETS && replay->now_us / us_per_ms % PROBE_MS == 0;
		     i++) {
			char name[] = {'t', (char)('0' + i), 0};
			const struct target_load report = {
			    .running = replay->running[i],
			    .slots = SLOTS,
			    .slowness = 100};

			placement_on_probe(p, name, &report, replay->now_us);
		}
		placement_tick(p, replay->now_us);
	}
}

/*
 * Replays a load.  The rules for comparison run with one scheduler that is
 * not replaced.
 */
struct hedge_load_result
hedge_load_replay(const struct hedge_load *load, uint64_t seed)
{
	struct replay *replay = g_new0(struct replay, 1);
	struct hedge_load_result result;
	double due = 0;

	replay->load = load;
	replay->seed = seed;
	random_seed(&replay->random, seed);
	random_seed(&replay->faults, seed + 1000);
	for (int i = 0; i < (load->lost_ms > 0 ? 2 : 1); i++)
		open_scheduler(replay, &replay->schedulers[i]);
	for (replay->now_us = us_per_ms;
	     replay->now_us < (uint64_t)HEDGE_LOAD_SECONDS * 1000 * us_per_ms;
	     replay->now_us += us_per_ms) {
		if (load->takeover_ms > 0 &&
		    replay->now_us / us_per_ms % load->takeover_ms == 0) {
			lose_scheduler(&replay->schedulers[0]);
			open_scheduler(replay, &replay->schedulers[0]);
		}
		if (load->lost_ms > 0)
			lose_at_random(replay);
		while (
		    due < (double)replay->now_us && replay->count < REQUESTS) {
			arrive(replay);
			due += random_exponential(
			    &replay->random, 1e6 / load->per_s);
		}
		step_requests(replay);
		step_schedulers(replay);
	}
	for (int i = 0; i < SCHEDULERS; i++)
		placement_free(replay->schedulers[i].placement);
	result = replay->result;
	g_free(replay);
	return result;
}
