#include "load/load_plan.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/str.h"

enum {
	CALLS_MAX = 2000000,
	SECONDS_MAX = 3600,
	DUPLICATE_DELAY_US = 20000,
	/* Capacity for arrivals above the mean and for duplicates. */
	RECORDS_PER_CALL = 3,
	RECORDS_HEADROOM = 1024,
	PERCENT = 100
};

static const char *const outcome_names[LOAD_OUTCOME_COUNT] = {
    [LOAD_NOT_SENT] = "not-sent",
    [LOAD_COMPLETE] = "whole",
    [LOAD_NOT_RUN] = "not-run",
    [LOAD_UNKNOWN] = "unknown",
    [LOAD_WRONG_ANSWER] = "foreign",
    [LOAD_TRUNCATED] = "short",
    [LOAD_DISCONNECTED] = "broken",
    [LOAD_ERROR] = "error",
    [LOAD_ABANDONED] = "abandoned",
    [LOAD_UNREACHABLE] = "unreachable",
};

/*
 * Returns the name of an outcome, a constant string.
 */
const char *
load_outcome_name(enum load_outcome outcome)
{
	return outcome_names[outcome];
}

/*
 * Sets the error for a load over CALLS_MAX or SECONDS_MAX.
 */
static enum status
plan_limit_error(void)
{
	return status_set(STATUS_INVALID,
	    "the load exceeds %d calls or %d seconds", CALLS_MAX, SECONDS_MAX);
}

/*
 * Parses RATE:SECONDS,... into the phases of the plan.  Returns STATUS_INVALID
 * when it is malformed or exceeds CALLS_MAX or SECONDS_MAX.
 */
static enum status
parse_phases(struct load_plan *plan, struct str text)
{
	uint64_t calls = 0;
	uint64_t seconds = 0;
	struct str item;

	while (str_split(&text, ',', &item)) {
		struct load_phase *phase = &plan->phases[plan->phase_count];
		struct str rate;

		if (plan->phase_count == LOAD_PHASES_MAX ||
		    !str_split(&item, ':', &rate) ||
		    !str_to_u64(rate, &phase->rate) || phase->rate == 0 ||
		    !str_to_u64(item, &phase->seconds))
			return status_set(STATUS_INVALID,
			    "phases must be RATE:SECONDS,... with at most %d "
			    "phases",
			    LOAD_PHASES_MAX);
		plan->phase_count++;
		if (phase->rate > CALLS_MAX || phase->seconds > SECONDS_MAX)
			return plan_limit_error();
		calls += phase->rate * phase->seconds;
		seconds += phase->seconds;
		if (calls > CALLS_MAX || seconds > SECONDS_MAX)
			return plan_limit_error();
	}
	return STATUS_OK;
}

/*
 * Appends a call to the plan; drops it when the plan is full.
 */
static void
add_record(
    struct load_plan *plan, uint32_t capacity, const struct load_record *record)
{
	if (plan->count < capacity)
		plan->records[plan->count++] = *record;
}

/*
 * Plans the calls of one phase, which starts start_us after the load.  Random
 * numbers are drawn in a fixed order, so that equal seeds give equal plans.
 */
static void
plan_phase(struct load_plan *plan, unsigned index, uint64_t start_us,
    const struct load_mix *mix, struct random *random, uint32_t capacity)
{
	const struct load_phase *phase = &plan->phases[index];
	double mean_us = (double)US_PER_S / (double)phase->rate;
	double at = (double)start_us + random_exponential(random, mean_us);
	double end = (double)(start_us + phase->seconds * US_PER_S);

	while (at < end) {
		unsigned route = load_mix_draw(mix, random);
		const struct load_route *r = &mix->routes[route];
		struct load_record record = {
		    .intended_us = (uint64_t)at,
		    .nonce = random_next(random),
		    .route = route,
		    .phase = index,
		    .target_us = UINT64_MAX,
		};

		at += random_exponential(random, mean_us);
		record.abandon =
		    random_below(random, PERCENT) < r->abandon_percent;
		add_record(plan, capacity, &record);
		if (random_below(random, PERCENT) >= r->twice_percent)
			continue;
		record.abandon = false;
		record.duplicate = true;
		record.intended_us += DUPLICATE_DELAY_US;
		add_record(plan, capacity, &record);
	}
}

/*
 * Orders records by intended start, for qsort(3).
 */
static int
compare_by_time(const void *a, const void *b)
{
	const struct load_record *x = a;
	const struct load_record *y = b;

	return (x->intended_us > y->intended_us) -
	    (x->intended_us < y->intended_us);
}

/*
 * Plans a load with Poisson arrivals at the rate of each phase.  Returns
 * STATUS_INVALID when the phases are invalid; on success load_plan_free() frees
 * the plan.
 */
enum status
load_plan_make(struct load_plan *plan, const char *text,
    const struct load_mix *mix, uint64_t seed)
{
	struct random random;
	uint64_t start_us = 0;
	uint64_t calls = 0;
	uint32_t capacity;
	enum status status;

	*plan = (struct load_plan){0};
	status = parse_phases(plan, str_from(text));
	if (status != STATUS_OK)
		return status;
	for (unsigned i = 0; i < plan->phase_count; i++)
		calls += plan->phases[i].rate * plan->phases[i].seconds;
	capacity = (uint32_t)(calls * RECORDS_PER_CALL + RECORDS_HEADROOM);
	plan->records = mem_calloc(capacity, sizeof(*plan->records));
	random_seed(&random, seed);
	for (unsigned i = 0; i < plan->phase_count; i++) {
		plan_phase(plan, i, start_us, mix, &random, capacity);
		start_us += plan->phases[i].seconds * US_PER_S;
	}
	qsort(plan->records, plan->count, sizeof(*plan->records),
	    compare_by_time);
	return STATUS_OK;
}

/*
 * Frees the records of a plan.
 */
void
load_plan_free(struct load_plan *plan)
{
	mem_free(plan->records);
	*plan = (struct load_plan){0};
}
