#include "entry/probe.h"

#include <pthread.h>
#include <stdio.h>

#include <urcu.h>

#include "balance/budget.h"
#include "base/call_header.h"
#include "base/clock.h"
#include "base/memory.h"
#include "entry/answer.h"

enum {
	NAME_BYTES = 128,
	PROBE_BYTES = 700, /* estimate of request and response with headers */
	PROBE_TIMEOUT_MS = 300,
	HTTP_OK = 200
};

#define PROBE_PATH "/gypsummill/v1/load"

static const uint64_t round_interval_us = 20 * US_PER_MS;

struct probe {
	struct entry *entry;
	pthread_t thread;
	atomic_bool stopping;
	struct measuring_budget budget;
	uint64_t calls_seen;
	uint32_t divisor;
	uint64_t messages_per_s;
	uint64_t bytes_per_s;
};

/* The response to a probe. */
struct probe_reply {
	struct call_load load;
	bool has_load;
	const char *leaving_header;
	struct notice notice;
};

/* Reads the load report of a response and what the target says of itself. */
static bool
on_response_header(void *ctx, struct str line, long status ATTR_UNUSED)
{
	struct probe_reply *probe_reply = ctx;
	struct str value = str_trim(line);
	struct str name;

	if (str_has_prefix(value, STR_LITERAL("HTTP/")))
		probe_reply->notice = (struct notice){0};
	else if (!str_split(&value, ':', &name))
		return true;
	else if (answer_header_is(name, CALL_HEADER_LOAD))
		probe_reply->has_load =
		    call_header_parse_load(str_trim(value), &probe_reply->load);
	else
		notice_read(&probe_reply->notice, probe_reply->leaving_header,
		    name, str_trim(value));
	return true;
}

/* Discards the response body. */
static bool
on_response_body(void *ctx ATTR_UNUSED, struct str data ATTR_UNUSED)
{
	return true;
}

/*
 * Probes a target and passes its load report to the balancer.  Failed probes
 * and responses without a report are ignored.
 */
static void
probe_target(struct probe *p, struct service *service,
    const struct balance_target_info *target)
{
	struct probe_reply probe_reply = {
	    .leaving_header = p->entry->leaving_header};
	const struct notice_target source = {
	    .id = target->id,
	    .incarnation = target->incarnation,
	    .source = "probe",
	};
	struct upstream_result result;
	struct upstream_call call = {
	    .address = target->address,
	    .incarnation = target->incarnation,
	    .method = "GET",
	    .request_target = STR_LITERAL(PROBE_PATH),
	    .deadline_us = clock_monotonic_us() + PROBE_TIMEOUT_MS * US_PER_MS,
	    .ctx = &probe_reply,
	    .header = on_response_header,
	    .write = on_response_body,
	};

	counter_add(p->entry->counters.probes, 1);
	counter_add(p->entry->counters.probe_bytes, PROBE_BYTES);
	upstream_perform(p->entry->upstream, &call, &result);
	if (result.http_status >= HTTP_OK)
		notice_apply(p->entry->notices, &source, &probe_reply.notice,
		    (int)result.http_status);
	if (!result.complete || !probe_reply.has_load)
		return;
	balancer_report(service->balancer, target->id,
	    &(struct balance_report){
		.in_flight = (uint32_t)probe_reply.load.in_flight,
		.slots = (uint32_t)probe_reply.load.slots,
	    },
	    clock_monotonic_us());
}

/* A target due for a probe; its names are copies. */
struct due_target {
	struct balance_target_info info;
	char id[NAME_BYTES];
	char address[NAME_BYTES];
};

/* Finds a target due for a probe; copies its names under the RCU lock. */
static bool
find_due_target(struct service *service, struct due_target *target)
{
	bool due;

	rcu_read_lock();
	due = balancer_probe_due(
	    service->balancer, clock_monotonic_us(), &target->info);
	if (due) {
		snprintf(
		    target->id, NAME_BYTES, "%.*s", STR_ARG(target->info.id));
		snprintf(target->address, NAME_BYTES, "%.*s",
		    STR_ARG(target->info.address));
	}
	rcu_read_unlock();
	target->info.id = str_from(target->id);
	target->info.address = str_from(target->address);
	return due;
}

/*
 * Updates the measuring budget when the fleet's limits or this entry's share
 * have changed.
 */
static void
set_budget(struct probe *p, const struct view *view)
{
	const struct policy_fleet *fleet = view->policy->fleet;
	uint32_t divisor = view->divisor;

	if (p->divisor == divisor &&
	    p->messages_per_s == fleet->measuring_messages_per_s &&
	    p->bytes_per_s == fleet->measuring_bytes_per_s)
		return;
	p->divisor = divisor;
	p->messages_per_s = fleet->measuring_messages_per_s;
	p->bytes_per_s = fleet->measuring_bytes_per_s;
	measuring_budget_set(&p->budget, fleet->measuring_messages_per_s,
	    fleet->measuring_bytes_per_s, fleet->measuring_per_1000_calls,
	    divisor, clock_monotonic_us());
}

/* Adds to the budget for the calls received since the last round. */
static void
earn_budget(struct probe *p, const struct view *view)
{
	uint64_t calls = 0;

	for (uint32_t i = 0; i < view->service_count; i++)
		calls += (uint64_t)counter_get(view->services[i]->calls);
	if (calls > p->calls_seen)
		measuring_budget_count_calls(&p->budget, calls - p->calls_seen);
	p->calls_seen = calls;
}

/* Probes at most one target per service, until the budget is spent. */
static void
run_round(struct probe *p, const struct view *view)
{
	struct due_target target;

	if (view->policy->fleet == NULL)
		return;
	set_budget(p, view);
	earn_budget(p, view);
	for (uint32_t i = 0; i < view->service_count; i++) {
		struct service *service = view->services[i];

		if (!find_due_target(service, &target))
			continue;
		if (!measuring_budget_spend(
			&p->budget, PROBE_BYTES, clock_monotonic_us()))
			return;
		probe_target(p, service, &target.info);
	}
}

/* The probe thread; sends no probes while the entry has no lease. */
static void *
probe_thread(void *ctx)
{
	struct probe *p = ctx;

	rcu_register_thread();
	while (!atomic_load(&p->stopping)) {
		struct view *view = view_acquire(p->entry->views);

		if (view != NULL && entry_has_lease(p->entry))
			run_round(p, view);
		view_release(view);
		clock_sleep_us(round_interval_us);
	}
	rcu_unregister_thread();
	return NULL;
}

/*
 * Starts the probe thread.
 */
struct probe *
probe_start(struct entry *entry)
{
	struct probe *p = mem_calloc(1, sizeof(*p));

	p->entry = entry;
	pthread_create(&p->thread, NULL, probe_thread, p);
	return p;
}

/*
 * Stops the probe thread; NULL is allowed.
 */
void
probe_stop(struct probe *p)
{
	if (p == NULL)
		return;
	atomic_store(&p->stopping, true);
	pthread_join(p->thread, NULL);
	mem_free(p);
}
