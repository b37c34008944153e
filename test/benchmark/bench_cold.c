/*
 * Requests that reach cold targets, in virtual time: the real placements of
 * several entries with lost and late messages, frozen schedulers, targets that
 * become cold again, and a failure domain that is evacuated and returns.
 * Counts the seconds in which a cold target gets more than it tolerates, over
 * all entries.  With --check the same run with entries that grant cold targets
 * on their own view must be found in violation.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"
#include "base/settings.h"
#include "base/str.h"
#include "placement/placement.h"

enum {
	ENTRIES = 12,
	TARGETS = 8,
	ATTEMPTS_MAX = 2,
	SLOTS = 4,
	PLACES = 8, /* slots and waiting places of a target */
	DOMAINS = 4,
	STEP_MS = 1,
	SECONDS = 60,
	COLD_MS = 8000,
	ANSWER_TIMEOUT_MS = 40, /* of two asks */
	HELD_TIMEOUT_MS = 60,
	/*
	 * With 4 slots a target completes 16 a second.  Nobody knows of a
	 * target that becomes cold again before its next report or probe, so
	 * that the bound needs targets that complete no more than it in that
	 * time.
	 */
	WORK_MS = 250,
	OBJECTIVE_MS = 1500,
	HEARTBEAT_MS = 500,
	CALLS_MAX = 16000,
	RING = 1 << 14 /* ms: the longest time ahead of a message */
};

#define PER_S 5.7
#define BOUND (PER_S * 1.5 + 8)
#define COLD_SLOWNESS 2.0

struct scenario {
	const char *name;
	double per_second; /* requests to the service */
	double lost; /* share of messages */
	double freeze_per_s; /* of the scheduler */
	double cold_per_s; /* targets that become cold */
	bool evacuation; /* one domain for 5 s of each 15 s */
};

static const struct scenario scenarios[] = {
    {"calm", 30, 0, 0, 0.2, false},
    {"more load than warm targets take", 125, 0, 0, 0.2, false},
    {"lost messages", 30, 0.1, 0, 0.2, false},
    {"frozen schedulers", 60, 0.02, 0.4, 0.2, false},
    {"often cold", 60, 0.02, 0.2, 0.4, false},
    {"evacuation and return", 40, 0.02, 0.1, 0.2, true},
    {"all of these", 60, 0.05, 0.3, 0.3, true},
};

/*
 * All entries grant cold targets, at a load at which the warm ones are busy:
 * otherwise cold targets get little however many entries may grant them.
 */
static const struct scenario planted_fault = {
    "planted: all grant cold targets", 125, 0.05, 0.3, 0.3, true};

struct call {
	unsigned entry;
	unsigned ask; /* number of the last one */
	uint64_t asked_ms;
	uint64_t held_ms; /* when the scheduler has said that it waits */
	uint64_t objective_us;
	uint32_t tried[ATTEMPTS_MAX]; /* hashes of targets */
	unsigned attempts;
	bool granted; /* the last ask */
	bool ended;
	bool in_time;
};

enum kind {
	ASK,
	HELD,
	GRANT,
	TIMEOUT,
	CANCEL,
	ARRIVAL,
	ANSWER,
	DONE,
	REPORT,
	OWNER,
	EVACUATE
};

struct message {
	enum kind kind;
	unsigned to; /* entry or target */
	unsigned from;
	unsigned ask;
	unsigned target;
	struct call *call;
	uint64_t value;
	enum placement_outcome outcome;
};

struct entry {
	struct simulation *w;
	unsigned number;
	struct placement *placement;
	unsigned scheduler;
	uint64_t frozen_until_ms;
	uint64_t resumed_ms;
	uint64_t probed_us[TARGETS];
	bool evacuated[TARGETS];
	bool assumed_cold[TARGETS];
};

struct target {
	uint64_t cold_from_ms;
	uint64_t cold_until_ms;
	unsigned running;
	GArray *arrivals; /* uint64_t in ms, while it was cold */
};

struct simulation {
	const struct scenario *scenario;
	bool planted;
	struct random random;
	uint64_t now_ms;
	struct entry entries[ENTRIES];
	struct target targets[TARGETS];
	GPtrArray *ring[RING];
	struct call *calls;
	unsigned count;
	double cold_seconds;
};

struct result {
	unsigned calls;
	unsigned in_time;
	unsigned cold_arrivals;
	unsigned most; /* in one second */
	unsigned above; /* arrivals that end a second above the bound */
	double cold_seconds;
};

static uint64_t
now_us(const struct simulation *w)
{
	return w->now_ms * US_PER_MS;
}

static double
unit(struct simulation *w)
{
	return random_unit(&w->random);
}

static void
post(struct simulation *w, uint64_t in_ms, struct message m)
{
	struct message *copy = g_new(struct message, 1);
	uint64_t at = w->now_ms + (in_ms > 0 ? in_ms : 1);

	*copy = m;
	if (w->ring[at % RING] == NULL)
		w->ring[at % RING] = g_ptr_array_new();
	g_ptr_array_add(w->ring[at % RING], copy);
}

/*
 * Sends a datagram, which may be lost or late.
 */
static void
send_datagram(struct simulation *w, struct message m)
{
	if (unit(w) < w->scenario->lost)
		return;
	post(w, 1 + random_below(&w->random, unit(w) < 0.05 ? 40 : 9), m);
}

static bool
is_cold(const struct simulation *w, const struct target *t)
{
	return w->now_ms >= t->cold_from_ms && w->now_ms < t->cold_until_ms;
}

static unsigned
number_of(const char *target)
{
	return (unsigned)(target[1] - '0');
}

static void
name_target(unsigned target, char name[8])
{
	snprintf(name, 8, "t%u", target);
}

/*
 * Sends a request to its target, on a new connection now and then.
 */
static void
send_request(
    struct simulation *w, struct call *call, unsigned target, unsigned granter)
{
	uint64_t delay = 1 + random_below(&w->random, unit(w) < 0.1 ? 120 : 8);
	char name[8];

	if (call->attempts == ATTEMPTS_MAX)
		return;
	name_target(target, name);
	call->tried[call->attempts++] = (uint32_t)str_hash(str_from(name));

	post(w, delay,
	    (struct message){.kind = ARRIVAL,
		.to = target,
		.from = granter,
		.ask = call->ask,
		.target = target,
		.call = call});
}

static void
on_grant(
    void *ctx, void *user, const char *target, uint64_t expected_us ATTR_UNUSED)
{
	struct entry *e = ctx;
	struct call *call = user;

	if (call->entry == e->number)
		send_request(e->w, call, number_of(target), e->number);
	else
		send_datagram(e->w,
		    (struct message){.kind = GRANT,
			.to = call->entry,
			.from = e->number,
			.ask = call->ask,
			.target = number_of(target),
			.call = call});
}

static void
on_reject(void *ctx ATTR_UNUSED, void *user,
    uint64_t retry_after_us ATTR_UNUSED,
    enum placement_reason reason ATTR_UNUSED)
{
	((struct call *)user)->ended = true;
}

static void
submit(struct entry *e, struct call *call)
{
	struct placement_request request = {
	    .route = 1,
	    .idempotent = true,
	    .repeat = call->attempts > 0,
	    .sends_left = ATTEMPTS_MAX - 1 - call->attempts,
	    .objective_us = call->objective_us,
	    .deadline_us = call->objective_us + US_PER_S,
	    .failure_domain = call->entry % DOMAINS,
	    .requester = call->entry + 1,
	    .user = call,
	};

	memcpy(request.excluded, call->tried, sizeof(call->tried));
	request.excluded_count = call->attempts;
	(void)placement_submit(e->placement, &request, now_us(e->w));
}

/*
 * Asks the scheduler for a target.
 */
static void
ask(struct simulation *w, struct call *call)
{
	struct entry *e = &w->entries[call->entry];
	struct message m = {
	    .kind = ASK, .to = e->scheduler, .from = e->number, .call = call};

	m.ask = ++call->ask;
	call->granted = false;
	call->asked_ms = w->now_ms;
	if (e->scheduler == e->number) {
		submit(e, call);
		return;
	}
	send_datagram(w, m);
	m.kind = TIMEOUT;
	m.from = e->scheduler;
	m.to = e->number;
	post(w, ANSWER_TIMEOUT_MS, m);
}

/*
 * The scheduler has not answered for a time: an entry asks again if it was told
 * to wait, otherwise it places the request on its own view.
 */
static void
on_timeout(struct entry *e, const struct message *m)
{
	struct simulation *w = e->w;
	struct message again = *m;

	again.to = m->from;
	if (w->now_ms - m->call->held_ms < HELD_TIMEOUT_MS) {
		again.kind = ASK;
		send_datagram(w, again);
		post(w, HELD_TIMEOUT_MS, *m);
		return;
	}
	again.kind = CANCEL;
	send_datagram(w, again);
	m->call->ask++;
	submit(e, m->call);
}

static void
complete(struct entry *e, const struct message *m)
{
	char name[8];

	name_target(m->target, name);
	placement_complete(e->placement, m->call, name, m->outcome,
	    m->value * US_PER_MS, NULL, now_us(e->w));
}

static void
on_arrival(struct simulation *w, const struct message *m)
{
	struct target *t = &w->targets[m->to];
	struct message answer = *m;
	double slow = is_cold(w, t) ? COLD_SLOWNESS : 1;

	if (is_cold(w, t))
		g_array_append_val(t->arrivals, w->now_ms);
	answer.kind = ANSWER;
	answer.to = m->call->entry;
	answer.outcome = t->running < PLACES ? OUTCOME_ANSWERED : OUTCOME_SHED;
	answer.value = 1;
	if (t->running < PLACES) {
		t->running++;
		if (t->running > SLOTS)
			slow *= 2;
		answer.value = (uint64_t)(WORK_MS * slow * (0.5 + unit(w)));
	}
	post(w, answer.value, answer);
}

static void
on_answer(struct simulation *w, const struct message *m)
{
	struct message done = *m;

	if (m->outcome == OUTCOME_ANSWERED) {
		m->call->ended = true;
		m->call->in_time = now_us(w) <= m->call->objective_us;
	}
	done.kind = DONE;
	done.to = m->from;
	if (m->from == m->call->entry)
		complete(&w->entries[m->from], m);
	else
		send_datagram(w, done);
	if (!m->call->ended && m->call->attempts < ATTEMPTS_MAX &&
	    now_us(w) < m->call->objective_us)
		ask(w, m->call);
}

static void
set_owner(struct entry *e, unsigned scheduler)
{
	e->scheduler = scheduler;
	placement_set_scheduler(e->placement,
	    e->w->planted || scheduler == e->number, now_us(e->w));
}

/*
 * An evacuation has started or ended: afterwards a target counts as cold until
 * its first probe.
 */
static void
set_evacuated(struct entry *e, bool evacuated)
{
	char name[8];

	for (unsigned i = 0; i < TARGETS; i += DOMAINS) {
		name_target(i, name);
		placement_set_evacuated(e->placement, name, evacuated);
		if (e->evacuated[i] && !evacuated) {
			e->assumed_cold[i] = true;
			(void)placement_set_warmup_end(e->placement, name,
			    now_us(e->w) + COLD_MS * US_PER_MS, now_us(e->w));
		}
		e->evacuated[i] = evacuated;
	}
}

static void
deliver(struct simulation *w, struct message *m)
{
	struct entry *e = m->kind == ARRIVAL ? NULL : &w->entries[m->to];
	char name[8];

	if (m->kind == ANSWER && m->outcome == OUTCOME_ANSWERED &&
	    m->value > 0 && m->ask != 0) {
		w->targets[m->target].running--;
		m->ask = 0; /* counted once, also if its entry is frozen */
	}
	if (e != NULL && w->now_ms < e->frozen_until_ms) {
		post(w, e->frozen_until_ms - w->now_ms, *m);
		return;
	}
	switch (m->kind) {
	case ASK:
		if (m->call->ended || m->call->ask != m->ask)
			break;
		if (!placement_is_waiting(e->placement, m->call))
			submit(e, m->call);
		if (placement_is_waiting(e->placement, m->call))
			send_datagram(w,
			    (struct message){.kind = HELD,
				.to = m->call->entry,
				.ask = m->ask,
				.call = m->call});
		break;
	case HELD:
		if (m->call->ask == m->ask)
			m->call->held_ms = w->now_ms;
		break;
	case CANCEL:
		placement_cancel(e->placement, m->call, now_us(w));
		break;
	case GRANT:
		if (m->call->ended || m->call->ask != m->ask) {
			send_datagram(w,
			    (struct message){.kind = DONE,
				.to = m->from,
				.target = m->target,
				.call = m->call,
				.outcome = OUTCOME_ABANDONED});
			break;
		}
		m->call->granted = true;
		if (m->call->asked_ms < e->resumed_ms)
			ask(w, m->call);
		else
			send_request(w, m->call, m->target, m->from);
		break;
	case TIMEOUT:
		if (!m->call->ended && m->call->ask == m->ask &&
		    !m->call->granted)
			on_timeout(e, m);
		break;
	case ARRIVAL:
		on_arrival(w, m);
		break;
	case ANSWER:
		on_answer(w, m);
		break;
	case DONE:
		complete(e, m);
		break;
	case REPORT:
		name_target(m->target, name);
		if (!e->assumed_cold[m->target] &&
		    (e->scheduler != e->number || m->value > now_us(w)))
			(void)placement_set_warmup_end(
			    e->placement, name, m->value, now_us(w));
		break;
	case OWNER:
		set_owner(e, m->from);
		break;
	case EVACUATE:
		set_evacuated(e, m->value != 0);
		break;
	}
}

/*
 * Probes the targets that are due, as the scheduler.
 */
static void
probe(struct entry *e)
{
	struct simulation *w = e->w;

	for (unsigned i = 0; i < TARGETS; i++) {
		const struct target *t = &w->targets[i];
		struct target_load load = {t->running, 0, SLOTS,
		    is_cold(w, t) ? (uint32_t)(100 * COLD_SLOWNESS) : 100};
		char name[8];

		name_target(i, name);
		if (e->evacuated[i] ||
		    now_us(w) < placement_probe_due(e->placement, name,
				    e->probed_us[i], now_us(w)))
			continue;
		e->probed_us[i] = now_us(w);
		if (unit(w) < w->scenario->lost) {
			placement_on_probe(e->placement, name, NULL, now_us(w));
			continue;
		}
		e->assumed_cold[i] = false;
		(void)placement_set_warmup_end(e->placement, name,
		    is_cold(w, t) ? t->cold_until_ms * US_PER_MS : 0,
		    now_us(w));
		placement_on_probe(e->placement, name, &load, now_us(w));
	}
}

/*
 * Freezes the scheduler: the others choose another one, and the old one again
 * after it has woken up, each when it learns of that.
 */
static void
freeze_scheduler(struct simulation *w)
{
	unsigned old = w->entries[ENTRIES - 1].scheduler;
	struct entry *e = &w->entries[old];
	uint64_t frozen_ms = 300 + random_below(&w->random, 3000);

	if (w->now_ms < e->frozen_until_ms || old == ENTRIES - 1)
		return;
	e->frozen_until_ms = e->resumed_ms = w->now_ms + frozen_ms;
	for (unsigned i = 0; i < ENTRIES; i++) {
		struct message m = {
		    .kind = OWNER, .to = i, .from = (old + 1) % 3};

		if (i != old)
			post(w, 60 + random_below(&w->random, 400), m);
		m.from = old;
		post(w, frozen_ms + 60 + random_below(&w->random, 400), m);
	}
}

static void
start_events(struct simulation *w)
{
	const struct scenario *s = w->scenario;
	double step_s = STEP_MS / 1000.0;

	if (unit(w) < s->freeze_per_s * step_s)
		freeze_scheduler(w);
	if (unit(w) < s->cold_per_s * step_s) {
		struct target *t =
		    &w->targets[random_below(&w->random, TARGETS)];

		if (w->now_ms >= t->cold_until_ms) {
			t->cold_from_ms = w->now_ms;
			t->cold_until_ms = w->now_ms + COLD_MS;
			w->cold_seconds += COLD_MS / 1000.0;
		}
	}
	for (unsigned i = 0; i < ENTRIES * TARGETS; i++) {
		const struct target *t = &w->targets[i % TARGETS];
		const struct message m = {.kind = REPORT,
		    .to = i / TARGETS,
		    .target = i % TARGETS,
		    .value = is_cold(w, t) ? t->cold_until_ms * US_PER_MS : 0};

		if (w->now_ms % HEARTBEAT_MS == (i % TARGETS) * 60)
			send_datagram(w, m);
	}
	for (unsigned i = 0; s->evacuation && i < ENTRIES; i++) {
		const struct message m = {.kind = EVACUATE,
		    .to = i,
		    .value = w->now_ms % 15000 == 5000};

		if (w->now_ms % 15000 == 5000 || w->now_ms % 15000 == 10000)
			post(w, 1 + random_below(&w->random, 400), m);
	}
	if (unit(w) < s->per_second * step_s && w->count < CALLS_MAX) {
		struct call *call = &w->calls[w->count++];

		call->entry = (unsigned)random_below(&w->random, ENTRIES);
		call->objective_us = now_us(w) + OBJECTIVE_MS * US_PER_MS;
		if (w->now_ms < w->entries[call->entry].frozen_until_ms)
			call->ended = true;
		else
			ask(w, call);
	}
}

static void
step(struct simulation *w)
{
	GPtrArray *due = w->ring[w->now_ms % RING];

	w->ring[w->now_ms % RING] = NULL;
	for (guint i = 0; due != NULL && i < due->len; i++) {
		deliver(w, due->pdata[i]);
		g_free(due->pdata[i]);
	}
	if (due != NULL)
		g_ptr_array_free(due, TRUE);
	start_events(w);
	for (unsigned i = 0; i < ENTRIES; i++) {
		struct entry *e = &w->entries[i];

		if (w->now_ms < e->frozen_until_ms || w->now_ms % 10 != 0)
			continue;
		placement_tick(e->placement, now_us(w));
		if (e->scheduler == e->number)
			probe(e);
	}
}

/*
 * Counts the arrivals in each second that ends with one of them.
 */
static void
check_arrivals(const struct target *t, struct result *result)
{
	const uint64_t *at = (const uint64_t *)(void *)t->arrivals->data;
	unsigned first = 0;

	for (unsigned i = 0; i < t->arrivals->len; i++) {
		while (at[i] - at[first] >= 1000)
			first++;
		if (i + 1 - first > result->most)
			result->most = i + 1 - first;
		result->above += i + 1 - first > BOUND ? 1 : 0;
	}
	result->cold_arrivals += t->arrivals->len;
}

static void
run(const struct scenario *scenario, bool planted, uint64_t seed,
    struct result *result)
{
	struct simulation *w = mem_calloc(1, sizeof(*w));
	const struct repeat_limits limits = {10 * US_PER_S, 0.2, 60};

	w->scenario = scenario;
	w->planted = planted;
	w->now_ms = 1;
	w->calls = mem_calloc(CALLS_MAX, sizeof(*w->calls));
	random_seed(&w->random, seed);
	for (unsigned i = 0; i < TARGETS; i++)
		w->targets[i].arrivals =
		    g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (unsigned i = 0; i < ENTRIES; i++) {
		struct entry *e = &w->entries[i];
		const struct placement_callbacks callbacks = {
		    .ctx = e, .grant = on_grant, .reject = on_reject};
		char name[8];

		e->w = w;
		e->number = i;
		e->placement =
		    placement_new(&callbacks, &limits, seed + i, now_us(w));
		placement_set_warmup_rate(e->placement, PER_S, now_us(w));
		for (unsigned t = 0; t < TARGETS; t++) {
			name_target(t, name);
			placement_add_target(e->placement, name, t % DOMAINS,
			    SLOTS, 0, now_us(w));
		}
		set_owner(e, 0);
	}
	for (; w->now_ms < SECONDS * 1000; w->now_ms += STEP_MS)
		step(w);
	result->calls += w->count;
	for (unsigned i = 0; i < w->count; i++)
		result->in_time += w->calls[i].in_time ? 1 : 0;
	result->cold_seconds += w->cold_seconds;
	for (unsigned i = 0; i < TARGETS; i++) {
		check_arrivals(&w->targets[i], result);
		g_array_free(w->targets[i].arrivals, TRUE);
	}
	for (unsigned i = 0; i < ENTRIES; i++)
		placement_free(w->entries[i].placement);
	for (unsigned i = 0; i < RING; i++) {
		if (w->ring[i] != NULL) {
			g_ptr_array_set_free_func(w->ring[i], g_free);
			g_ptr_array_free(w->ring[i], TRUE);
		}
	}
	mem_free(w->calls);
	mem_free(w);
}

static uint64_t seeds = 8;
static uint64_t first_seed = 1;
static bool check;

static const struct setting entries[] = {
    {.name = "seed",
	.kind = SETTING_NUMBER,
	.value = &first_seed,
	.help = "first seed",
	.max = UINT32_MAX},
    {.name = "seeds",
	.kind = SETTING_NUMBER,
	.value = &seeds,
	.help = "seeds of each scenario",
	.min = 1,
	.max = 1000},
    {.name = "check",
	.kind = SETTING_BOOL,
	.value = &check,
	.help = "fail above the bound, or if a planted violation is not found"},
};

/*
 * Runs a scenario over the seeds and prints its line; returns the result.
 */
static struct result
run_and_print(const struct scenario *scenario, bool planted)
{
	struct result r = {0};

	for (uint64_t i = 0; i < seeds; i++)
		run(scenario, planted, first_seed + i, &r);
	printf("%-32s %9u %8.3f %9.0f %9.2f %9u %9u\n", scenario->name, r.calls,
	    r.in_time / (double)r.calls, r.cold_seconds,
	    r.cold_arrivals / r.cold_seconds, r.most, r.above);
	return r;
}

int
main(int argc, char **argv)
{
	const struct settings settings = {
	    .program = "bench_cold",
	    .summary = "Requests that reach cold targets.",
	    .entries = entries,
	    .count = sizeof(entries) / sizeof(entries[0]),
	};
	unsigned count = sizeof(scenarios) / sizeof(scenarios[0]);
	unsigned above = 0;
	bool found;

	settings_parse(&settings, &argc, &argv);
	printf("%-32s %9s %8s %9s %9s %9s %9s\n", "scenario", "requests",
	    "in time", "cold s", "per cold s", "most in s", "above");
	for (unsigned i = 0; i < count; i++)
		above += run_and_print(&scenarios[i], false).above;
	found = run_and_print(&planted_fault, true).above > 0;
	printf("bound %.2f a second; seconds above it: %u\n", BOUND, above);
	if (!found)
		printf("FAILED: the planted violation was not found\n");
	return check && (above > 0 || !found);
}
