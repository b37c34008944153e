#include "load/load_run.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/str.h"
#include "load/load_lookup.h"

enum {
	START_DELAY_MS = 200, /* for the threads to start and look up */
	LOOKUP_MAX_MS = 20 /* assumed longest duration of a lookup */
};

struct run_state {
	const struct load_run *run;
	uint64_t start_us;
	_Atomic uint32_t next;
};

struct worker {
	struct run_state *run_state;
	pthread_t thread;
	unsigned index;
	CURL *easy; /* owns the worker's connections */
	CURL *lookup_easy;
	struct load_lookup
	    lookups[LOAD_ROUTES_MAX]; /* by first route of the service */
	char direct[LOAD_ADDRESS_BYTES];
};

/*
 * Returns the lookup of a route; routes of the same service share one.
 */
static struct load_lookup *
find_lookup(struct worker *worker, unsigned route)
{
	const struct load_mix *mix = worker->run_state->run->mix;
	unsigned i = 0;

	while (!str_equal_c(
	    str_from(mix->routes[i].service), mix->routes[route].service))
		i++;
	return &worker->lookups[i];
}

/*
 * Sends a call to an entry of the lookup answer, trying the next one when no
 * connection can be made.  When all fail, the answer is dropped, so that the
 * next call repeats the lookup.
 */
static void
send_by_lookup(struct worker *worker, struct load_record *record)
{
	const struct load_run *run = worker->run_state->run;
	const struct load_route *route = &run->mix->routes[record->route];
	struct load_lookup *lookup = find_lookup(worker, record->route);

	if (load_lookup_refresh(lookup, worker->lookup_easy, run->entries,
		route->service, worker->index) != STATUS_OK) {
		record->outcome = LOAD_UNREACHABLE;
		return;
	}
	/* A duplicate uses another entry, as if sent by another device. */
	for (unsigned i = 0; i < lookup->count; i++) {
		unsigned current =
		    (lookup->current + i + (record->duplicate ? 1 : 0)) %
		    lookup->count;

		if (load_call_send(worker->easy, lookup->addresses[current],
			route, record, run->reasons)) {
			if (!record->duplicate)
				lookup->current = current;
			return;
		}
	}
	lookup->count = 0;
}

/*
 * Assigns the worker one of the first LOAD_ENTRIES_MAX targets of the list,
 * round robin.
 */
static void
choose_direct_target(struct worker *worker)
{
	struct str items[LOAD_ENTRIES_MAX];
	unsigned count =
	    load_lookup_split(worker->run_state->run->direct, items);

	if (count == 0)
		return;
	snprintf(worker->direct, sizeof(worker->direct), "%.*s",
	    STR_ARG(items[worker->index % count]));
}

/*
 * Refreshes the lookup while the worker waits for the intended start, if its
 * answer would expire before or soon after that start.  Real callers also
 * refresh ahead of expiry, so a lookup must not add to a call's latency.
 */
static void
refresh_lookup_early(struct worker *worker, const struct load_record *record,
    uint64_t intended_us)
{
	const struct load_run *run = worker->run_state->run;
	struct load_lookup *lookup = find_lookup(worker, record->route);

	if (lookup->expires_us > intended_us + LOOKUP_MAX_MS * US_PER_MS)
		return;
	lookup->expires_us = 0;
	/* After a failure the call repeats the lookup and records it. */
	if (load_lookup_refresh(lookup, worker->lookup_easy, run->entries,
		run->mix->routes[record->route].service,
		worker->index) != STATUS_OK)
		lookup->count = 0;
}

/*
 * Waits for the intended start of a call, sends it and records the delay of its
 * start and its latency, both measured from the intended start.
 */
static void
send_planned_call(struct worker *worker, struct load_record *record)
{
	const struct load_run *run = worker->run_state->run;
	uint64_t intended_us =
	    worker->run_state->start_us + record->intended_us;
	uint64_t now_us = clock_monotonic_us();

	if (run->direct == NULL &&
	    now_us + LOOKUP_MAX_MS * US_PER_MS < intended_us)
		refresh_lookup_early(worker, record, intended_us);
	now_us = clock_monotonic_us();
	if (now_us < intended_us)
		clock_sleep_us(intended_us - now_us);
	record->late_us = clock_monotonic_us() - intended_us;
	if (run->direct != NULL)
		load_call_send(worker->easy, worker->direct,
		    &run->mix->routes[record->route], record, run->reasons);
	else
		send_by_lookup(worker, record);
	record->latency_us = clock_monotonic_us() - intended_us;
}

/*
 * Main function of a worker: sends the next call of the plan until none is
 * left.
 */
static void *
worker_thread(void *ctx)
{
	struct worker *worker = ctx;
	struct run_state *run_state = worker->run_state;
	struct load_plan *plan = run_state->run->plan;

	if (run_state->run->direct != NULL)
		choose_direct_target(worker);
	for (;;) {
		uint32_t i = atomic_fetch_add(&run_state->next, 1);

		if (i >= plan->count)
			return NULL;
		send_planned_call(worker, &plan->records[i]);
	}
}

/*
 * Sends all calls of the plan at their intended times.  A call waits while all
 * connections are in use; the wait counts towards its latency.
 */
void
load_run(const struct load_run *run)
{
	struct run_state run_state = {.run = run};
	struct worker *workers = mem_calloc(run->connections, sizeof(*workers));

	run_state.start_us = clock_monotonic_us() + START_DELAY_MS * US_PER_MS;
	for (unsigned i = 0; i < run->connections; i++) {
		workers[i].run_state = &run_state;
		workers[i].index = i;
		workers[i].easy = curl_easy_init();
		workers[i].lookup_easy = curl_easy_init();
		pthread_create(
		    &workers[i].thread, NULL, worker_thread, &workers[i]);
	}
	for (unsigned i = 0; i < run->connections; i++) {
		pthread_join(workers[i].thread, NULL);
		curl_easy_cleanup(workers[i].easy);
		curl_easy_cleanup(workers[i].lookup_easy);
	}
	mem_free(workers);
}
