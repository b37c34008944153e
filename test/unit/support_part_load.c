/*
 * Replay of a service in four parts, as its 208 targets were split on the
 * heaviest day of chitra-gw-grown.
 */
#include "support_part_load.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"
#include "placement/part_choice.h"
#include "placement/placement.h"

enum {
	PARTS = 4,
	SLOW_PART = 1,
	TARGETS = 208,
	SLOTS = 4, /* of a target */
	STEP_US = 1000,
	PROBE_US = 50 * 1000,
	TICK_US = 10 * 1000,
	LEARN_US = 2 * 1000 * 1000, /* not counted */
	WORK_US = 290 * 1000,
	OBJECTIVE_US = 1000 * 1000,
	DEADLINE_US = 1500 * 1000,
	ENTRY_RATE = 6, /* requests per second and entry */
	LOSE_US = 20 * 1000, /* each of 10 is replaced 5 times a second */
	LOST_MAX = 16
};

static const unsigned part_targets[PARTS] = {63, 48, 46, 51};
static const double work_spread = 0.3;

struct request {
	unsigned entry;
	unsigned part;
	bool moved;
	bool ended;
	int target; /* -1: none */
	double left_us;
	uint64_t arrival_us;
	uint64_t granted_us;
};

struct replay {
	const struct part_load *load;
	enum part_policy policy;
	struct random random;
	struct placement *placements[PARTS];
	struct part_choice **entries;
	unsigned entry_count;
	unsigned rotation;
	unsigned running[TARGETS];
	struct request *requests;
	unsigned count;
	unsigned first_open;
	uint64_t now_us;
	struct part_load_result result;
	unsigned next_lost;
	char lost[LOST_MAX]; /* users of calls that never end */
};

static unsigned
part_of(unsigned target)
{
	unsigned part = 0;

	while (target >= part_targets[part])
		target -= part_targets[part++];
	return part;
}

static struct placement *
placement_of(const struct replay *r, unsigned part)
{
	return r->placements[r->policy == PART_POLICY_ONE ? 0 : part];
}

static bool
is_lost_call(const struct replay *r, const void *user)
{
	const char *at = user;

	return at >= r->lost && at < r->lost + LOST_MAX;
}

static void submit(struct replay *r, struct request *q);

/*
 * The entry hears the load of the part that has just answered.
 */
static void
hear_load(struct replay *r, const struct request *q)
{
	part_choice_note_load(r->entries[q->entry], q->part,
	    placement_get_load(placement_of(r, q->part), r->now_us), r->now_us);
}

/*
 * Asks another part; returns false if the request stays where it is.
 */
static bool
move(struct replay *r, struct request *q)
{
	unsigned to;

	hear_load(r, q);
	if (r->policy != PART_POLICY_MOVES || q->moved ||
	    !part_choice_move(r->entries[q->entry], q->part, r->now_us, &to))
		return false;
	placement_cancel(placement_of(r, q->part), q, r->now_us);
	q->moved = true;
	q->part = to;
	r->result.moved += q->arrival_us >= LEARN_US;
	submit(r, q);
	return true;
}

static void
on_grant(void *ctx, void *user, const char *target, uint64_t expected_us)
{
	struct replay *r = ctx;
	struct request *q = user;

	(void)expected_us;
	if (is_lost_call(r, user))
		return;
	q->target = atoi(target + 1);
	q->granted_us = r->now_us;
	r->running[q->target]++;
	hear_load(r, q);
}

static void
on_reject(void *ctx, void *user, uint64_t retry_after_us,
    enum placement_reason reason)
{
	struct replay *r = ctx;
	struct request *q = user;

	(void)retry_after_us;
	if (is_lost_call(r, user) || (reason == REJECT_NO_ROOM && move(r, q)))
		return;
	q->ended = true;
	r->result.rejected += q->arrival_us >= LEARN_US;
}

static void
submit(struct replay *r, struct request *q)
{
	const struct placement_request request = {
	    .route = 1,
	    .rank = 1,
	    .objective_us = q->arrival_us + OBJECTIVE_US,
	    .deadline_us = q->arrival_us + DEADLINE_US,
	    .requester = q->entry + 1,
	    .user = q,
	};

	if (placement_submit(placement_of(r, q->part), &request, r->now_us))
		(void)move(r, q);
}

static void
add_request(struct replay *r)
{
	struct request *q = &r->requests[r->count++];
	enum part_reason reason;
	double normal = 0;

	for (int i = 0; i < 12; i++)
		normal += random_unit(&r->random) - 0.5;
	*q = (struct request){
	    .entry = (unsigned)random_below(&r->random, r->entry_count),
	    .target = -1,
	    .arrival_us = r->now_us,
	    .left_us = WORK_US *
		exp(work_spread * normal - work_spread * work_spread / 2),
	};
	q->part = r->policy < PART_POLICY_CHOICE
	    ? r->rotation++ % PARTS
	    : part_choice_next(r->entries[q->entry], r->now_us, &reason);
	r->result.requests += q->arrival_us >= LEARN_US;
	submit(r, q);
}

static double
slowness_of(const struct replay *r, unsigned target)
{
	return part_of(target) == SLOW_PART ? r->load->slowness : 1;
}

static void
end_request(struct replay *r, struct request *q, bool answered)
{
	char name[16];

	q->ended = true;
	if (r->now_us > q->arrival_us + OBJECTIVE_US)
		r->result.late += q->arrival_us >= LEARN_US;
	if (q->target >= 0)
		r->running[q->target]--;
	if (!answered) {
		placement_cancel(placement_of(r, q->part), q, r->now_us);
		return;
	}
	snprintf(name, sizeof(name), "t%d", q->target);
	placement_complete(placement_of(r, q->part), q, name, OUTCOME_ANSWERED,
	    r->now_us - q->granted_us, NULL, r->now_us);
}

static void
advance_requests(struct replay *r)
{
	while (r->first_open < r->count && r->requests[r->first_open].ended)
		r->first_open++;
	for (unsigned i = r->first_open; i < r->count; i++) {
		struct request *q = &r->requests[i];

		if (q->ended)
			continue;
		if (q->target >= 0)
			q->left_us -=
			    STEP_US / slowness_of(r, (unsigned)q->target);
		if (q->left_us <= 0 || r->now_us >= q->arrival_us + DEADLINE_US)
			end_request(r, q, q->left_us <= 0);
	}
}

static void
probe_targets(struct replay *r)
{
	for (unsigned i = 0; i < TARGETS; i++) {
		const struct target_load load = {
		    .running = MIN(r->running[i], SLOTS),
		    .waiting = r->running[i] - MIN(r->running[i], SLOTS),
		    .slots = SLOTS,
		    .slowness = (uint32_t)(slowness_of(r, i) * 100),
		};
		char name[16];

		snprintf(name, sizeof(name), "t%u", i);
		if ((r->now_us / STEP_US + i) % (PROBE_US / STEP_US) == 0)
			placement_on_probe(placement_of(r, part_of(i)), name,
			    &load, r->now_us);
	}
}

static void
record_spread(struct replay *r)
{
	uint32_t least = UINT32_MAX, most = 0;

	for (unsigned i = 0; i < PARTS; i++) {
		uint32_t load =
		    placement_get_load(placement_of(r, i), r->now_us);

		least = MIN(least, load);
		most = MAX(most, load);
	}
	r->result.load_spread += (most - least) / 100.0;
}

/*
 * Occupies a slot of the slow part by a call whose end is never reported.  One
 * after the other is replaced, since the placement gives up such calls when
 * probes count fewer requests than it does.
 */
static void
lose_slot(struct replay *r)
{
	const struct placement_request request = {
	    .route = 1,
	    .objective_us = UINT64_MAX / 2,
	    .deadline_us = UINT64_MAX / 2,
	    .user = &r->lost[r->next_lost++ % r->load->lost_slots],
	};

	(void)placement_submit(placement_of(r, SLOW_PART), &request, r->now_us);
}

static void
open_replay(struct replay *r)
{
	const struct repeat_limits limits = {
	    .ratio = 0.2, .slack = 60, .window_us = 10 * US_PER_S};
	const struct placement_callbacks callbacks = {
	    .ctx = r, .grant = on_grant, .reject = on_reject};

	random_seed(&r->random, r->load->seed);
	for (unsigned i = 0; i < PARTS; i++)
		r->placements[i] =
		    placement_new(&callbacks, &limits, r->load->seed + i, 0);
	for (unsigned i = 0; i < TARGETS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "t%u", i);
		placement_add_target(
		    placement_of(r, part_of(i)), name, 1, SLOTS, 0, 0);
	}
	r->entries = mem_calloc(r->entry_count, sizeof(struct part_choice *));
	for (unsigned i = 0; i < r->entry_count; i++) {
		r->entries[i] = part_choice_new(PARTS, random_next(&r->random));
		for (unsigned k = 0; k < PARTS; k++)
			part_choice_set_targets(
			    r->entries[i], k, part_targets[k]);
	}
}

/*
 * Plays one policy.
 */
struct part_load_result
part_load_replay(const struct part_load *load, enum part_policy policy)
{
	struct replay r = {.load = load, .policy = policy};
	double rate = load->load * TARGETS * SLOTS * US_PER_S / WORK_US;
	uint64_t end_us = LEARN_US + load->seconds * US_PER_S;
	double due_us = 0;

	r.entry_count = (unsigned)(rate / ENTRY_RATE);
	r.requests =
	    mem_calloc((size_t)(rate * 1.2 * (double)end_us / US_PER_S),
		sizeof(*r.requests));
	open_replay(&r);
	for (r.now_us = STEP_US; r.now_us < end_us; r.now_us += STEP_US) {
		advance_requests(&r);
		probe_targets(&r);
		for (; due_us < (double)r.now_us;
		     due_us += random_exponential(&r.random, 1e6 / rate))
			add_request(&r);
		if (r.load->lost_slots > 0 && r.now_us % LOSE_US == 0)
			lose_slot(&r);
		if (r.now_us % TICK_US != 0)
			continue;
		for (unsigned i = 0; i < PARTS; i++)
			placement_tick(r.placements[i], r.now_us);
		if (r.now_us >= LEARN_US)
			record_spread(&r);
	}
	r.result.load_spread /= load->seconds * US_PER_S / (double)TICK_US;
	for (unsigned i = 0; i < PARTS; i++)
		placement_free(r.placements[i]);
	for (unsigned i = 0; i < r.entry_count; i++)
		part_choice_free(r.entries[i]);
	mem_free(r.entries);
	mem_free(r.requests);
	return r.result;
}

double
part_load_missed(const struct part_load_result *result)
{
	return (double)(result->rejected + result->late) / result->requests;
}
