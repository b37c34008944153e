/*
 * Effect of one noisy tenant on the others, in virtual time: the real
 * admission control on each of several entries, compared with a FIFO queue and
 * a plain rate limit, with and without the noise on equal seeds.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>
#include <urcu/list.h>

#include "base/clock.h"
#include "base/histogram.h"
#include "base/memory.h"
#include "base/random.h"
#include "base/settings.h"
#include "limit/admission.h"
#include "limit/heap.h"

enum {
	ENTRIES = 16,
	SLOTS = 64, /* 16 targets of 4 slots */
	TENANTS = 20,
	NOISY_TENANT = 0,
	NOISE_FACTOR = 20,
	NAME_BYTES = 16,
	QUEUE_MAX = 64,
	BULK_SLOTS_PERCENT = 25,
	RATE_FACTOR = 2, /* a tenant's rate limit, relative to its share */
	SEEDS_MAX = 50
};

#define MEAN_US 10000.0 /* of an interactive call */
#define BULK_MEAN_US 500000.0 /* of a bulk call */
#define DURATION_US (20 * US_PER_S)
#define DEADLINE_US (2 * US_PER_S)
#define QUEUE_WAIT_US (US_PER_S / 2)
/* Bulk calls per second of the overnight sync: 80 % of all slots' time. */
#define BULK_CALLS_PER_S 102.4

enum queueing {
	QUEUEING_FIFO,
	QUEUEING_RATE, /* FIFO behind a rate limit per tenant */
	QUEUEING_FAIR,
	QUEUEING_COUNT
};

enum noise {
	NOISE_NONE,
	NOISE_BURST,
	NOISE_SYNC,
	NOISE_BOTH,
	NOISE_COUNT
};

static const char *const queueing_names[] = {
    "first in, first out", "rate limit", "admission"};
static const char *const noise_names[] = {
    "none", "20 times its share", "overnight sync", "both"};

struct call {
	struct heap_node node; /* keyed by its arrival or its end */
	bool running;
	unsigned tenant;
	unsigned entry;
	bool bulk;
	uint64_t arrived_us;
	uint64_t service_us;
	struct admission_ticket *ticket;
	struct cds_list_head queue; /* in bench.targets */
};

struct bench {
	enum queueing queueing;
	enum noise noise;
	double load; /* utilisation with all tenants at their share */
	struct random random;
	struct heap events;
	uint64_t now_us;
	unsigned busy; /* slots in use at the targets */
	struct cds_list_head targets; /* calls waiting for a slot */
	struct admission *entries[ENTRIES];
	double tokens[ENTRIES][TENANTS];
	uint64_t refilled_us[ENTRIES][TENANTS];
	char names[TENANTS][NAME_BYTES];
	struct histogram other_latencies_us; /* of answered calls */
	uint64_t others_sent, others_answered;
	uint64_t noisy_sent, noisy_answered;
};

struct result {
	double p50_ms, p99_ms, answered, noisy_answered;
};

static uint64_t first_seed = 1;
static uint64_t seeds = 5;
static uint64_t load_percent = 70;
static uint64_t slots_percent = 50;
static uint64_t overcommit = 2;
static bool check = false;

static double
share_per_s(const struct bench *b)
{
	return b->load * SLOTS / (MEAN_US / (double)US_PER_S) / TENANTS;
}

static bool
includes_noise(enum noise noise, enum noise part)
{
	return noise == part || noise == NOISE_BOTH;
}

/*
 * Schedules the next interactive call of a tenant, or the next bulk call of
 * the noisy one.
 */
static void
schedule_arrival(struct bench *b, unsigned tenant, bool bulk)
{
	double per_s = bulk ? BULK_CALLS_PER_S : share_per_s(b);
	struct call *call = mem_calloc(1, sizeof(*call));

	if (!bulk && tenant == NOISY_TENANT &&
	    includes_noise(b->noise, NOISE_BURST))
		per_s *= NOISE_FACTOR;
	*call = (struct call){
	    .tenant = tenant,
	    .bulk = bulk,
	    .entry = (unsigned)random_below(&b->random, ENTRIES),
	    .arrived_us = b->now_us +
		(uint64_t)random_exponential(
		    &b->random, (double)US_PER_S / per_s),
	    .service_us = 1 +
		(uint64_t)random_exponential(
		    &b->random, bulk ? BULK_MEAN_US : MEAN_US),
	};
	heap_node_init(&call->node);
	heap_set(&b->events, &call->node, (double)call->arrived_us);
}

static uint32_t
entry_slots(void)
{
	return (uint32_t)(SLOTS * overcommit / ENTRIES);
}

static void
start_call(struct bench *b, struct call *call)
{
	b->busy++;
	call->running = true;
	heap_set(
	    &b->events, &call->node, (double)(b->now_us + call->service_us));
}

/*
 * Returns an entry's equal share of a percentage of all slots.
 */
static uint32_t
entry_slot_share(uint64_t percent)
{
	uint32_t slots = (uint32_t)(SLOTS * percent / 100 / ENTRIES);

	return percent > 0 && slots == 0 ? 1 : slots;
}

/*
 * Passes an admitted call to the targets, which serve in order of arrival if
 * the entries together admit more calls than there are slots.
 */
static void
pass_to_targets(struct bench *b, struct call *call)
{
	if (b->busy < SLOTS)
		start_call(b, call);
	else
		cds_list_add_tail(&call->queue, &b->targets);
}

static void
on_wake(void *ctx, void *waiter, bool admitted,
    enum refusal_reason reason ATTR_UNUSED)
{
	if (admitted)
		pass_to_targets(ctx, waiter);
	else
		mem_free(waiter);
}

static bool
take_token(struct bench *b, const struct call *call)
{
	double *tokens = &b->tokens[call->entry][call->tenant];
	uint64_t *refilled_us = &b->refilled_us[call->entry][call->tenant];
	double per_s = RATE_FACTOR * share_per_s(b) / ENTRIES;

	*tokens +=
	    (double)(b->now_us - *refilled_us) / (double)US_PER_S * per_s;
	*refilled_us = b->now_us;
	if (*tokens > per_s)
		*tokens = per_s;
	if (*tokens < 1.0)
		return false;
	*tokens -= 1.0;
	return true;
}

/*
 * Passes a call to the admission control.  The FIFO queue without tenants and
 * classes is simulated by an admission control with a single tenant.
 */
static void
admit_call(struct bench *b, struct call *call)
{
	bool fair = b->queueing == QUEUEING_FAIR;
	struct admission_call args = {
	    .tenant = str_from(fair ? b->names[call->tenant] : "all"),
	    .limits = {.weight = 1},
	    .class =
		fair && call->bulk ? ADMISSION_BULK : ADMISSION_INTERACTIVE,
	    .deadline_us = b->now_us + DEADLINE_US,
	    .waiter = call,
	};
	enum refusal_reason reason;
	uint64_t retry_after_us;

	if (fair)
		args.limits.running_max = entry_slot_share(slots_percent);
	if (b->queueing == QUEUEING_RATE && !take_token(b, call)) {
		mem_free(call);
		return;
	}
	switch (admission_enter(b->entries[call->entry], &args, b->now_us,
	    &call->ticket, &reason, &retry_after_us)) {
	case ADMISSION_RUN:
		pass_to_targets(b, call);
		break;
	case ADMISSION_WAIT:
		break;
	case ADMISSION_REFUSED:
		mem_free(call);
		break;
	}
}

static void
count_sent(struct bench *b, const struct call *call)
{
	if (call->tenant == NOISY_TENANT)
		b->noisy_sent++;
	else
		b->others_sent++;
}

static void
finish_call(struct bench *b, struct call *call)
{
	if (call->tenant == NOISY_TENANT) {
		b->noisy_answered++;
	} else {
		b->others_answered++;
		histogram_record(
		    &b->other_latencies_us, b->now_us - call->arrived_us);
	}
	b->busy--;
	if (!cds_list_empty(&b->targets)) {
		struct call *next =
		    cds_list_first_entry(&b->targets, struct call, queue);

		cds_list_del(&next->queue);
		start_call(b, next);
	}
	admission_leave(b->entries[call->entry], call->ticket, b->now_us);
	mem_free(call);
}

static void
bench_init(struct bench *b, uint64_t seed)
{
	random_seed(&b->random, seed);
	CDS_INIT_LIST_HEAD(&b->targets);
	for (unsigned i = 0; i < ENTRIES; i++)
		b->entries[i] = admission_new(&(struct admission_params){
		    .running_max = entry_slots(),
		    .bulk_max = b->queueing == QUEUEING_FAIR
			? entry_slot_share(BULK_SLOTS_PERCENT)
			: entry_slots(),
		    .queue_max = QUEUE_MAX,
		    .queue_wait_us = QUEUE_WAIT_US,
		    .wake = on_wake,
		    .ctx = b,
		});
	for (unsigned i = 0; i < TENANTS; i++) {
		(void)snprintf(b->names[i], NAME_BYTES, "tenant-%u", i);
		schedule_arrival(b, i, false);
	}
	if (includes_noise(b->noise, NOISE_SYNC))
		schedule_arrival(b, NOISY_TENANT, true);
}

static void
run_events(struct bench *b)
{
	struct heap_node *first;

	while ((first = heap_first(&b->events)) != NULL) {
		struct call *call = caa_container_of(first, struct call, node);

		b->now_us = (uint64_t)first->key;
		heap_remove(&b->events, first);
		if (call->running) {
			finish_call(b, call);
			continue;
		}
		if (b->now_us >= DURATION_US) {
			mem_free(call);
			continue;
		}
		count_sent(b, call);
		schedule_arrival(b, call->tenant, call->bulk);
		for (unsigned i = 0; i < ENTRIES; i++)
			admission_expire(b->entries[i], b->now_us);
		admit_call(b, call);
	}
	for (unsigned i = 0; i < ENTRIES; i++)
		admission_free(b->entries[i]);
	heap_free(&b->events);
}

static struct result
measure(enum queueing queueing, enum noise noise, double load, uint64_t seed)
{
	struct bench *b = mem_calloc(1, sizeof(*b));
	struct result result;

	b->queueing = queueing;
	b->noise = noise;
	b->load = load;
	bench_init(b, seed);
	run_events(b);
	result = (struct result){
	    .p50_ms = (double)histogram_quantile(&b->other_latencies_us, 0.5) /
		US_PER_MS,
	    .p99_ms = (double)histogram_quantile(&b->other_latencies_us, 0.99) /
		US_PER_MS,
	    .answered = (double)b->others_answered / (double)b->others_sent,
	    .noisy_answered = (double)b->noisy_answered / (double)b->noisy_sent,
	};
	mem_free(b);
	return result;
}

static const struct setting entries[] = {
    {.name = "seed",
	.kind = SETTING_NUMBER,
	.value = &first_seed,
	.help = "first seed",
	.max = UINT32_MAX},
    {.name = "seeds",
	.kind = SETTING_NUMBER,
	.value = &seeds,
	.help = "seeds of each run",
	.min = 1,
	.max = SEEDS_MAX},
    {.name = "load",
	.kind = SETTING_NUMBER,
	.value = &load_percent,
	.unit = "%",
	.help = "slots in use with every tenant at its share",
	.min = 1,
	.max = 200},
    {.name = "slots",
	.kind = SETTING_NUMBER,
	.value = &slots_percent,
	.unit = "%",
	.help = "slots that one tenant may fill; 0: no limit",
	.max = 100},
    {.name = "overcommit",
	.kind = SETTING_NUMBER,
	.value = &overcommit,
	.help = "calls that the entries together admit for each slot",
	.min = 1,
	.max = 16},
    {.name = "check",
	.kind = SETTING_BOOL,
	.value = &check,
	.help =
	    "fail if noise affects the others by over 10 % with the admission"},
};

static int
compare(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double
median(double *values)
{
	qsort(values, seeds, sizeof(*values), compare);
	return values[seeds / 2];
}

/*
 * Runs all seeds, prints the medians and the range of the p99, and returns the
 * medians.
 */
static struct result
run_and_print(enum queueing queueing, enum noise noise)
{
	double p50[SEEDS_MAX];
	double p99[SEEDS_MAX];
	double answered[SEEDS_MAX];
	double noisy[SEEDS_MAX];
	struct result result;

	for (uint64_t i = 0; i < seeds; i++) {
		result = measure(queueing, noise, (double)load_percent / 100,
		    first_seed + i);
		p50[i] = result.p50_ms;
		p99[i] = result.p99_ms;
		answered[i] = result.answered;
		noisy[i] = result.noisy_answered;
	}
	result = (struct result){
	    .p50_ms = median(p50),
	    .p99_ms = median(p99),
	    .answered = median(answered),
	    .noisy_answered = median(noisy),
	};
	printf("%-20s %-19s %8.1f %8.1f %8.1f-%-8.1f %9.4f %9.4f",
	    queueing_names[queueing], noise_names[noise], result.p50_ms,
	    result.p99_ms, p99[0], p99[seeds - 1], result.answered,
	    result.noisy_answered);
	return result;
}

/*
 * Prints the ratios to the run without noise.  Returns whether the p99 and the
 * ratio of answered calls are within 10 % of it.
 */
static bool
print_cost(const struct result *with, const struct result *without)
{
	double p99 = with->p99_ms / without->p99_ms;
	double answered = with->answered / without->answered;

	printf("  p99 x %.3f, answered x %.3f\n", p99, answered);
	return p99 <= 1.10 && answered >= 0.90;
}

int
main(int argc, char **argv)
{
	const struct settings settings = {
	    .program = "bench_fairness",
	    .summary = "Effect of a noisy tenant on the others.",
	    .entries = entries,
	    .count = sizeof(entries) / sizeof(entries[0]),
	};
	bool passed = true;

	settings_parse(&settings, &argc, &argv);
	printf("%-20s %-19s %8s %8s %17s %9s %9s\n", "queueing", "noise",
	    "p50 ms", "p99 ms", "p99 of seeds", "answered", "noisy's");
	for (int q = 0; q < QUEUEING_COUNT; q++) {
		struct result without = {0};

		for (int n = 0; n < NOISE_COUNT; n++) {
			struct result with =
			    run_and_print((enum queueing)q, (enum noise)n);

			if (n == NOISE_NONE)
				without = with;
			if (!print_cost(&with, &without) && q == QUEUEING_FAIR)
				passed = false;
		}
	}
	if (check && !passed)
		printf("FAILED: noise affects the others by more than 10 %%\n");
	return check && !passed;
}
