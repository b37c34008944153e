#include "support_account_load.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/memory.h"
#include "base/random.h"
#include "placement/placement.h"

enum {
	MS = 1000,
	TARGETS = 16,
	SLOTS = 4,
	PROBE_MS = 50,
	SLOW_PERIOD_MS = 300,
	TICK_MS = 10,
	LEARN_S = 4, /* not counted: service times are learnt */
	OPEN_MAX = 2048,
	SENDS = 2
};

static const double slow_share = 0.25;
static const double slow_factor = 4;
static const double work_spread = 0.3;
/* Parts of the usual load; the other accounts have the rest in equal parts. */
static const double large_parts[ACCOUNT_LOAD_LARGE] = {0.12, 0.09, 0.07, 0.05};

static const struct kind {
	double work_ms;
	double objective_ms;
	double deadline_ms;
	double share;
} kinds[] = {{160, 400, 1200, 0.25}, {120, 300, 1000, 0.75}};

struct request {
	bool open;
	unsigned account;
	uint64_t arrival_us;
	uint64_t objective_us;
	uint64_t deadline_us;
	double work_us;
	struct {
		int target; /* -1: ended */
		double left_us;
		uint64_t started_us;
	} sends[SENDS];
	unsigned send_count;
};

struct account {
	struct random random; /* its arrivals do not depend on the others' */
	double per_s;
	double due_us;
	unsigned sent;
	unsigned in_time;
};

struct replay {
	struct placement *placement;
	struct random random;
	uint64_t now_us;
	double slowness[TARGETS];
	unsigned running[TARGETS];
	struct request requests[OPEN_MAX];
	unsigned used; /* the first requests, which may be open */
	struct account accounts[ACCOUNT_LOAD_ACCOUNTS];
};

/*
 * Requests a second that the targets complete.
 */
static double
capacity(bool slow)
{
	double work_ms = 0;
	double speed = slow ? 1 - slow_share + slow_share / slow_factor : 1;

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++)
		work_ms += kinds[i].share * kinds[i].work_ms;
	return TARGETS * SLOTS * speed * 1000 / work_ms;
}

static double
usual_part(unsigned account)
{
	double rest = 1;

	if (account < ACCOUNT_LOAD_LARGE)
		return large_parts[account];
	for (unsigned i = 0; i < ACCOUNT_LOAD_LARGE; i++)
		rest -= large_parts[i];
	return rest / (ACCOUNT_LOAD_ACCOUNTS - ACCOUNT_LOAD_LARGE);
}

static void
on_grant(void *ctx, void *user, const char *target,
    uint64_t expected_us __attribute__((unused)))
{
	struct replay *s = ctx;
	struct request *r = user;
	int at = atoi(target + 1);

	if (r->send_count == SENDS)
		return;
	r->sends[r->send_count].target = at;
	r->sends[r->send_count].left_us = r->work_us;
	r->sends[r->send_count++].started_us = s->now_us;
	s->running[at]++;
}

static void
on_reject(void *ctx __attribute__((unused)), void *user,
    uint64_t retry_after_us __attribute__((unused)),
    enum placement_reason reason __attribute__((unused)))
{
	((struct request *)user)->open = false;
}

static struct target_load
load_of(const struct replay *s, int i)
{
	return (struct target_load){
	    .running = s->running[i] < SLOTS ? s->running[i] : SLOTS,
	    .waiting = s->running[i] < SLOTS ? 0 : s->running[i] - SLOTS,
	    .slots = SLOTS,
	    .slowness = (uint32_t)(s->slowness[i] * 100),
	};
}

static void
target_name(int i, char name[16])
{
	snprintf(name, 16, "t%d", i);
}

/*
 * Submits one request of an account.
 */
static void
arrive(struct replay *s, unsigned account, bool named)
{
	struct account *a = &s->accounts[account];
	size_t k = random_unit(&a->random) < kinds[0].share ? 0 : 1;
	struct placement_request request = {.route = (uint32_t)k + 1,
	    .rank = 1,
	    .account = named ? account + 1 : 0,
	    .idempotent = true,
	    .sends_left = 1};
	struct request *r = s->requests;
	double normal = 0;

	for (int i = 0; i < 12; i++)
		normal += random_unit(&a->random) - 0.5;
	while (r->open) {
		if (++r == s->requests + OPEN_MAX)
			abort();
	}
	if (r == s->requests + s->used)
		s->used++;
	*r = (struct request){.open = true,
	    .account = account,
	    .arrival_us = s->now_us,
	    .objective_us = s->now_us + (uint64_t)(kinds[k].objective_ms * MS),
	    .deadline_us = s->now_us + (uint64_t)(kinds[k].deadline_ms * MS),
	    .work_us = kinds[k].work_ms * MS *
		exp(work_spread * normal - work_spread * work_spread / 2)};
	if (s->now_us >= LEARN_S * 1000 * MS)
		a->sent++;
	request.objective_us = r->objective_us;
	request.deadline_us = r->deadline_us;
	request.requester = (uint32_t)random_below(&a->random, 15) + 1;
	request.user = r;
	(void)placement_submit(s->placement, &request, s->now_us);
}

static void
end_sends(struct replay *s, struct request *r)
{
	for (unsigned i = 0; i < r->send_count; i++)
		s->running[r->sends[i].target]--;
	r->open = false;
}

/*
 * Lets a request progress by one millisecond.
 */
static void
advance(struct replay *s, struct request *r)
{
	if (s->now_us >= r->deadline_us) {
		end_sends(s, r);
		placement_cancel(s->placement, r, s->now_us);
		return;
	}
	for (unsigned i = 0; i < r->send_count; i++) {
		int target = r->sends[i].target;
		struct target_load load;
		char name[16];

		r->sends[i].left_us -= MS / s->slowness[target];
		if (r->sends[i].left_us > 0)
			continue;
		end_sends(s, r);
		if (r->arrival_us >= LEARN_S * 1000 * MS &&
		    s->now_us <= r->objective_us)
			s->accounts[r->account].in_time++;
		target_name(target, name);
		load = load_of(s, target);
		placement_complete(s->placement, r, name, OUTCOME_ANSWERED,
		    s->now_us - r->sends[i].started_us, &load, s->now_us);
		return;
	}
}

static void
advance_targets(struct replay *s, bool slow)
{
	uint64_t ms = s->now_us / MS;

	for (int i = 0; i < TARGETS; i++) {
		struct target_load load;
		char name[16];

		if (slow && (ms + (uint64_t)i * 19) % SLOW_PERIOD_MS == 0)
			s->slowness[i] = random_unit(&s->random) < slow_share
			    ? slow_factor
			    : 1;
		if ((ms + (uint64_t)i * 3) % PROBE_MS != 0)
			continue;
		target_name(i, name);
		load = load_of(s, i);
		placement_on_probe(s->placement, name, &load, s->now_us);
	}
}

static void
open_replay(struct replay *s, const struct account_load *load, double excess,
    uint64_t seed)
{
	static const struct repeat_limits limits = {
	    .ratio = 0.2, .slack = 60, .window_us = 10 * 1000 * 1000};
	const struct placement_callbacks callbacks = {
	    .ctx = s, .grant = on_grant, .reject = on_reject};
	double usual = load->load * capacity(load->slow) /
	    (1 + (load->excess - 1) * usual_part(load->account));

	random_seed(&s->random, seed);
	s->placement = placement_new(&callbacks, &limits, seed, 0);
	for (unsigned i = 0; i < ACCOUNT_LOAD_ACCOUNTS; i++) {
		struct account *a = &s->accounts[i];

		random_seed(&a->random, seed * 1000 + i);
		a->per_s =
		    usual * usual_part(i) * (i == load->account ? excess : 1);
		a->due_us = random_unit(&a->random) * 1e6 / a->per_s;
	}
	for (int i = 0; i < TARGETS; i++) {
		char name[16];

		target_name(i, name);
		s->slowness[i] = 1;
		placement_add_target(s->placement, name, 1, SLOTS, 0, 0);
	}
}

/*
 * Plays one seed; adds the requests sent and in time by account.
 */
static void
play(const struct account_load *load, double excess, uint64_t seed,
    unsigned sent[], unsigned in_time[])
{
	struct replay *s = mem_calloc(1, sizeof(*s));
	uint64_t end_us = (LEARN_S + load->seconds) * 1000ULL * MS;

	open_replay(s, load, excess, seed);
	for (s->now_us = MS; s->now_us < end_us; s->now_us += MS) {
		advance_targets(s, load->slow);
		for (unsigned i = 0; i < ACCOUNT_LOAD_ACCOUNTS; i++) {
			struct account *a = &s->accounts[i];

			while (a->due_us < (double)s->now_us) {
				arrive(s, i, load->named);
				a->due_us -= log(1 - random_unit(&a->random)) *
				    1e6 / a->per_s;
			}
		}
		for (unsigned i = 0; i < s->used; i++) {
			if (s->requests[i].open)
				advance(s, &s->requests[i]);
		}
		if (s->now_us / MS % TICK_MS == 0)
			placement_tick(s->placement, s->now_us);
	}
	for (unsigned i = 0; i < ACCOUNT_LOAD_ACCOUNTS; i++) {
		sent[i] += s->accounts[i].sent;
		in_time[i] += s->accounts[i].in_time;
	}
	placement_free(s->placement);
	mem_free(s);
}

/*
 * Plays the seeds with and without the excess.
 */
struct account_load_result
account_load_replay(const struct account_load *load)
{
	unsigned sent[2][ACCOUNT_LOAD_ACCOUNTS] = {{0}};
	unsigned in_time[2][ACCOUNT_LOAD_ACCOUNTS] = {{0}};
	struct account_load_result result = {.worst_loss = -1};
	double requests = 0, usual = 0, with = 0;

	for (uint64_t seed = 1; seed <= load->seeds; seed++) {
		play(load, 1, seed, sent[0], in_time[0]);
		play(load, load->excess, seed, sent[1], in_time[1]);
	}
	for (unsigned i = 0; i < ACCOUNT_LOAD_ACCOUNTS; i++) {
		double part[2];

		for (int k = 0; k < 2; k++)
			part[k] = (double)in_time[k][i] / sent[k][i];
		if (i == load->account) {
			result.own_in_time = part[1];
			continue;
		}
		result.worst_loss = fmax(result.worst_loss, part[0] - part[1]);
		requests += sent[0][i];
		usual += in_time[0][i];
		with += in_time[1][i];
	}
	result.usual_in_time = usual / requests;
	result.mean_loss = (usual - with) / requests;
	return result;
}
