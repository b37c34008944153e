#include "support_domain_load.h"

#include <math.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/memory.h"
#include "base/random.h"
#include "placement/placement.h"

enum {
	MS = 1000,
	DOMAINS = 4,
	PARTS = 4, /* each placed by a scheduler of its own */
	TARGETS = 208,
	SLOTS = 4,
	SLOW_PERIOD_MS = 500,
	TICK_MS = 10,
	LEARN_S = 3, /* not counted: work and speeds are learnt */
	DRAIN_S = 2, /* for requests that arrive last */
	OPEN_MAX = 8192,
	SENDS = 4
};

static const double slow_share = 0.3;
static const double slow_factor = 7;
static const double work_spread = 0.3;
/* Time of a request at a full target, as a factor of that alone there. */
static const double full_factor = 1.3;
static const double demand[DOMAINS] = {0.13, 0.35, 0.38, 0.14};
static const int domain_end[DOMAINS] = {50, 88, 149, TARGETS};

/* What may be repeated, and what may not. */
static const struct kind {
	double work_ms;
	double objective_ms;
	double timeout_ms;
} kinds[] = {{120, 300, 1500}, {290, 750, 1500}};

struct request {
	bool open;
	bool once;
	bool counted;
	struct placement *part;
	uint32_t domain;
	uint64_t objective_us;
	uint64_t deadline_us;
	double work_us;
	struct {
		int target;
		double left_us;
		uint64_t started_us;
	} sends[SENDS];
	unsigned send_count;
};

struct counts {
	unsigned sent, in_time, late, rejected, cut_off;
};

struct replay {
	struct placement *parts[PARTS];
	const struct domain_load *load;
	struct random random;
	uint64_t now_us;
	double slowness[TARGETS];
	uint64_t phase_ms[TARGETS];
	uint64_t probed_us[TARGETS];
	unsigned running[TARGETS];
	struct request requests[OPEN_MAX];
	unsigned used; /* the first requests, which may be open */
	unsigned granted, left;
	struct counts counts[2]; /* by kind */
};

/*
 * Returns the requests a second that the targets complete.
 */
static double
capacity(const struct domain_load *load)
{
	double work_ms = load->once_share * kinds[1].work_ms +
	    (1 - load->once_share) * kinds[0].work_ms;
	double speed =
	    load->slow ? 1 - slow_share + slow_share / slow_factor : 1;

	return TARGETS * SLOTS * speed * 1000 / (work_ms * full_factor);
}

static uint32_t
domain_of(int target)
{
	uint32_t i = 0;

	while (target >= domain_end[i])
		i++;
	return i + 1;
}

static void
on_grant(void *ctx, void *user, const char *target,
    uint64_t expected_us __attribute__((unused)))
{
	struct replay *s = ctx;
	struct request *r = user;
	int at = atoi(target + 1);

	if (r->send_count == SENDS)
		abort();
	r->sends[r->send_count].target = at;
	r->sends[r->send_count].left_us = r->work_us;
	r->sends[r->send_count++].started_us = s->now_us;
	s->running[at]++;
	if (r->counted) {
		s->granted++;
		s->left += domain_of(at) != r->domain ? 1 : 0;
	}
}

static void
on_reject(void *ctx, void *user,
    uint64_t retry_after_us __attribute__((unused)),
    enum placement_reason reason __attribute__((unused)))
{
	struct replay *s = ctx;
	struct request *r = user;

	r->open = false;
	s->counts[r->once].rejected += r->counted ? 1 : 0;
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

static uint32_t
draw_domain(struct random *random)
{
	double unit = random_unit(random);
	uint32_t i = 0;

	while (i < DOMAINS - 1 && unit >= demand[i])
		unit -= demand[i++];
	return i + 1;
}

static void
arrive(struct replay *s)
{
	bool once = random_unit(&s->random) < s->load->once_share;
	const struct kind *kind = &kinds[once ? 1 : 0];
	struct placement_request request = {.route = once ? 2 : 1,
	    .rank = 1,
	    .idempotent = !once,
	    .sends_left = once ? 0 : 1};
	struct request *r = s->requests;
	double normal = 0;

	for (int i = 0; i < 12; i++)
		normal += random_unit(&s->random) - 0.5;
	while (r->open) {
		if (++r == s->requests + OPEN_MAX)
			abort();
	}
	if (r == s->requests + s->used)
		s->used++;
	*r = (struct request){.open = true,
	    .once = once,
	    .part = s->parts[random_below(&s->random, PARTS)],
	    .domain = draw_domain(&s->random),
	    .counted = s->now_us >= LEARN_S * 1000ULL * MS &&
		s->now_us < (LEARN_S + s->load->seconds) * 1000ULL * MS,
	    .objective_us = s->now_us + (uint64_t)(kind->objective_ms * MS),
	    .deadline_us = s->now_us + (uint64_t)(kind->timeout_ms * MS),
	    .work_us = kind->work_ms * MS *
		exp(work_spread * normal - work_spread * work_spread / 2)};
	s->counts[once].sent += r->counted ? 1 : 0;
	request.objective_us = r->objective_us;
	request.deadline_us = r->deadline_us;
	request.failure_domain = r->domain;
	/* Entries of one domain connect to the targets that they use. */
	request.requester =
	    r->domain * 100 + (uint32_t)random_below(&s->random, 35);
	request.user = r;
	(void)placement_submit(r->part, &request, s->now_us);
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
		char name[16] = "";

		if (r->counted && r->send_count > 0)
			s->counts[r->once].cut_off++;
		else if (r->counted)
			s->counts[r->once].rejected++;
		end_sends(s, r);
		for (unsigned i = 0; i < r->send_count; i++) {
			target_name(r->sends[i].target, name);
			placement_complete(r->part, r, name, OUTCOME_TIMED_OUT,
			    s->now_us - r->sends[i].started_us, NULL,
			    s->now_us);
		}
		placement_cancel(r->part, r, s->now_us);
		return;
	}
	for (unsigned i = 0; i < r->send_count; i++) {
		int target = r->sends[i].target;
		unsigned others =
		    s->running[target] < SLOTS ? s->running[target] - 1 : 3;
		struct target_load load;
		char name[16];

		r->sends[i].left_us -= MS /
		    (s->slowness[target] *
			(1 + (full_factor - 1) * others / (SLOTS - 1)));
		if (r->sends[i].left_us > 0)
			continue;
		end_sends(s, r);
		if (r->counted && s->now_us <= r->objective_us)
			s->counts[r->once].in_time++;
		else if (r->counted)
			s->counts[r->once].late++;
		target_name(target, name);
		load = load_of(s, target);
		placement_complete(r->part, r, name, OUTCOME_ANSWERED,
		    s->now_us - r->sends[i].started_us, &load, s->now_us);
		return;
	}
}

static void
advance_targets(struct replay *s)
{
	uint64_t ms = s->now_us / MS;

	for (int i = 0; i < TARGETS; i++) {
		struct placement *part = s->parts[i % PARTS];
		struct target_load load;
		char name[16];

		if (s->load->slow &&
		    (ms + s->phase_ms[i]) % SLOW_PERIOD_MS == 0)
			s->slowness[i] = random_unit(&s->random) < slow_share
			    ? slow_factor
			    : 1;
		target_name(i, name);
		if (placement_probe_due(
			part, name, s->probed_us[i], s->now_us) > s->now_us)
			continue;
		s->probed_us[i] = s->now_us;
		load = load_of(s, i);
		placement_on_probe(part, name, &load, s->now_us);
	}
}

static void
add_targets(struct replay *s)
{
	for (int i = 0; i < TARGETS; i++) {
		char name[16];

		target_name(i, name);
		s->slowness[i] = 1;
		s->phase_ms[i] = random_below(&s->random, SLOW_PERIOD_MS);
		placement_add_target(
		    s->parts[i % PARTS], name, domain_of(i), SLOTS, 0, 0);
	}
}

static void
tick(struct replay *s)
{
	for (unsigned i = 0; i < PARTS; i++)
		placement_tick(s->parts[i], s->now_us);
}

static struct domain_load_result
sum_up(const struct replay *s)
{
	const struct counts *a = &s->counts[0];
	const struct counts *b = &s->counts[1];
	double sent = fmax(1, a->sent + b->sent);
	double once = fmax(1, b->sent);

	return (struct domain_load_result){
	    .in_time = (a->in_time + b->in_time) / sent,
	    .late = (a->late + b->late) / sent,
	    .rejected = (a->rejected + b->rejected) / sent,
	    .cut_off = (a->cut_off + b->cut_off) / sent,
	    .left = s->left / fmax(1, s->granted),
	    .once_in_time = b->in_time / once,
	    .once_cut_off = b->cut_off / once,
	    .once_rejected = b->rejected / once,
	};
}

/*
 * Plays one seed.
 */
struct domain_load_result
domain_load_replay(const struct domain_load *load)
{
	static const struct repeat_limits limits = {
	    .ratio = 0.2, .slack = 60, .window_us = 10 * 1000ULL * 1000};
	struct replay *s = mem_calloc(1, sizeof(*s));
	const struct placement_callbacks callbacks = {
	    .ctx = s, .grant = on_grant, .reject = on_reject};
	uint64_t end_us = (LEARN_S + load->seconds + DRAIN_S) * 1000ULL * MS;
	double rate = load->load * capacity(load);
	struct domain_load_result result;
	double due_us = 0;

	s->load = load;
	random_seed(&s->random, load->seed);
	for (unsigned i = 0; i < PARTS; i++)
		s->parts[i] = placement_new(
		    &callbacks, &limits, (uint64_t)load->seed * PARTS + i, 0);
	for (unsigned i = 0; i < PARTS; i++)
		placement_set_stay_local(s->parts[i], load->stay_local);
	for (unsigned i = 0; i < PARTS; i++)
		placement_set_check_timeout(s->parts[i], load->check_timeout);
	add_targets(s);
	for (s->now_us = MS; s->now_us < end_us; s->now_us += MS) {
		advance_targets(s);
		while (due_us < (double)s->now_us) {
			arrive(s);
			due_us -= log(1 - random_unit(&s->random)) * 1e6 / rate;
		}
		for (unsigned i = 0; i < s->used; i++) {
			if (s->requests[i].open)
				advance(s, &s->requests[i]);
		}
		if (s->now_us / MS % TICK_MS == 0)
			tick(s);
	}
	result = sum_up(s);
	for (unsigned i = 0; i < PARTS; i++)
		placement_free(s->parts[i]);
	mem_free(s);
	return result;
}
