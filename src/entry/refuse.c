#include <stdio.h>

#include "base/clock.h"
#include "base/retry_after.h"
#include "entry/request.h"
#include "retry/crash_ledger.h"

enum {
	HEADERS_BYTES = 128,
	DISCARD_BYTES = 16 * 1024,
	DISCARD_MAX_BYTES = 1024 * 1024
};

static const uint64_t discard_max_us = US_PER_S;

/*
 * Reads and discards part of a refused body.  If the connection is closed while
 * the caller is still sending, it may not receive the refusal.
 */
static void
discard_body(struct request *r)
{
	uint64_t until_us = clock_monotonic_us() + discard_max_us;
	char chunk[DISCARD_BYTES];
	size_t left = DISCARD_MAX_BYTES;
	int got;

	while (left > 0 && clock_monotonic_us() < until_us &&
	    (got = mg_read(r->conn, chunk, sizeof(chunk))) > 0)
		left -= (size_t)got < left ? (size_t)got : left;
}

/* Copies a name, truncated to REFUSAL_NAME_BYTES. */
static void
copy_name(char out[REFUSAL_NAME_BYTES], struct str name)
{
	snprintf(out, REFUSAL_NAME_BYTES, "%.*s", STR_ARG(name));
}

/*
 * Sets the section, its revision and the rule; without a section, leaves the
 * refusal unchanged.
 */
static void
set_section(struct refusal *refusal, const struct policy_section *section,
    const char *rule)
{
	if (section == NULL)
		return;
	copy_name(refusal->section, section->name);
	copy_name(refusal->rule, str_from(rule));
	refusal->section_revision = section->revision;
}

/* Returns the fleet section of the request's view, or NULL. */
static const struct policy_section *
fleet_section(const struct request *r)
{
	const struct policy *policy = r->view != NULL ? r->view->policy : NULL;

	for (uint32_t i = 0; policy != NULL && i < policy->section_count; i++) {
		if (policy->sections[i]->kind == POLICY_FLEET)
			return policy->sections[i];
	}
	return NULL;
}

/*
 * Adds a figure and its limit; figures beyond REFUSAL_FIGURES_MAX are dropped.
 * name must be a string constant.
 */
static void
add_figure(
    struct refusal *refusal, const char *name, uint64_t value, uint64_t bound)
{
	if (refusal->figure_count == REFUSAL_FIGURES_MAX)
		return;
	refusal->figures[refusal->figure_count++] = (struct refusal_figure){
	    .name = name, .value = value, .bound = bound};
}

/*
 * Sets the tenant's limit as the rule, with this entry's part as a figure.
 */
static void
set_limit_rule(
    struct refusal *refusal, const struct request *r, const char *field)
{
	const struct policy_limit *limit =
	    policy_find_limit(&r->section->service, r->tenant->name);
	char rule[REFUSAL_NAME_BYTES];

	if (limit == NULL) {
		set_section(refusal, r->section, "limits");
		return;
	}
	snprintf(rule, sizeof(rule), "limits[%.*s].%s", STR_ARG(limit->tenant),
	    field);
	set_section(refusal, r->section, rule);
	if (refusal->reason == REFUSAL_RATE_LIMITED)
		add_figure(refusal, "this entry's part of the calls a second",
		    limit->calls_per_s / r->view->divisor, limit->calls_per_s);
	else
		add_figure(refusal,
		    "calls this entry may run; share of slots (percent)",
		    atomic_load(&r->service->running_max),
		    limit->slots_percent);
}

/* Sets a field of the call's route as the rule. */
static void
set_route_rule(
    struct refusal *refusal, const struct request *r, const char *field)
{
	char rule[REFUSAL_NAME_BYTES];

	if (r->route == NULL)
		return;
	snprintf(rule, sizeof(rule), "routes[%.*s].%s", STR_ARG(r->route->name),
	    field);
	set_section(refusal, r->section, rule);
}

/* Adds how many targets asked to back off, and for how long at least. */
static void
add_backoff_figures(struct refusal *refusal, const struct request *r)
{
	uint64_t now_us = clock_monotonic_us();
	uint32_t targets;
	uint32_t slots;
	uint32_t in_flight;

	balancer_totals(
	    r->service->balancer, now_us, &targets, &slots, &in_flight);
	add_figure(refusal, "targets in a backoff, of those announced",
	    balancer_backoff_count(r->service->balancer, now_us), targets);
	add_figure(refusal, "shortest time left (ms)", refusal->retry_after_ms,
	    RETRY_AFTER_MAX_MS);
}

/* Sets the rule for a call whose tenant and route are known. */
static void
set_call_rule(struct refusal *refusal, const struct request *r)
{
	const struct policy_service *service = &r->section->service;

	switch (refusal->reason) {
	case REFUSAL_RATE_LIMITED:
		set_limit_rule(refusal, r, "calls_per_s");
		break;
	case REFUSAL_SHARE_EXCEEDED:
		set_limit_rule(refusal, r, "slots");
		break;
	case REFUSAL_TENANT_NOT_ALLOWED:
		set_route_rule(refusal, r, "tenants");
		break;
	case REFUSAL_BODY_TOO_LARGE:
		set_route_rule(refusal, r, "body_max");
		add_figure(refusal, "body (bytes)",
		    r->info->content_length > 0
			? (uint64_t)r->info->content_length
			: r->body_received,
		    r->route->body_max_bytes);
		break;
	case REFUSAL_DEADLINE_TOO_SHORT:
	case REFUSAL_TARGET_TIMEOUT:
		set_route_rule(refusal, r, "deadline");
		add_figure(refusal, "time since arrival (ms)",
		    (clock_monotonic_us() - r->arrived_us) / US_PER_MS,
		    (r->deadline_us - r->arrived_us) / US_PER_MS);
		break;
	case REFUSAL_KEY_MISSING:
	case REFUSAL_KEY_REUSED:
	case REFUSAL_CLAIM_IN_PROGRESS:
	case REFUSAL_CLAIM_OUTCOME_UNKNOWN:
	case REFUSAL_CLAIM_UNAVAILABLE:
		set_route_rule(refusal, r, "repeatable");
		break;
	case REFUSAL_CLAIM_LEDGER_FULL:
		set_section(refusal, r->section, "claims_max");
		break;
	case REFUSAL_DEPTH_EXCEEDED:
		set_section(refusal, fleet_section(r), "depth_max");
		add_figure(refusal, "hops", r->depth,
		    r->view->policy->fleet->depth_max);
		break;
	case REFUSAL_QUEUE_FULL:
		set_section(refusal, r->section, "queue_calls");
		add_figure(refusal, "calls waiting",
		    service_queued_calls(r->service), service->queue_calls);
		break;
	case REFUSAL_QUEUE_TIMEOUT:
		set_section(refusal, r->section, "queue_wait");
		add_figure(refusal, "time since arrival (ms)",
		    (clock_monotonic_us() - r->arrived_us) / US_PER_MS,
		    service->queue_wait_ms);
		break;
	case REFUSAL_TARGETS_BACKOFF:
		add_backoff_figures(refusal, r);
		break;
	case REFUSAL_ENDS_TARGETS:
		add_figure(refusal,
		    "targets that have ended under it, at least", CRASHES_MAX,
		    CRASHES_MAX);
		break;
	case REFUSAL_RETRY_BUDGET_SPENT:
		set_section(refusal, r->section, "retries");
		break;
	default:
		break;
	}
}

/* Sets the rule that caused the refusal, with its figures. */
static void
set_rule(struct refusal *refusal, const struct request *r)
{
	set_section(refusal, r->section, "");
	if (refusal->reason == REFUSAL_ENTRY_CUT_OFF)
		set_section(refusal, fleet_section(r), "lease");
	else if (r->section != NULL && r->tenant != NULL && r->route != NULL)
		set_call_rule(refusal, r);
}

/*
 * Refuses a call with what is known of its execution (outcome), the rule that
 * caused it and the text that the section defines.  Logs and counts the
 * refusal; returns the HTTP status.
 */
int
request_refuse(struct request *r, enum refusal_reason reason,
    enum refusal_outcome outcome, uint64_t retry_after_us)
{
	struct refusal refusal = {
	    .reason = reason,
	    .outcome = outcome,
	    .wall_us = clock_wall_us(),
	    .retry_after_ms = (retry_after_us + US_PER_MS - 1) / US_PER_MS,
	};
	struct str_buf body = {0};
	char headers[HEADERS_BYTES] = "";
	struct web_reply reply = {
	    .status = refusal_http_status(reason),
	    .content_type = "application/problem+json",
	    .headers = headers,
	};

	if (r->section != NULL)
		copy_name(refusal.service, r->section->name);
	if (r->route != NULL)
		copy_name(refusal.route, r->route->name);
	if (r->tenant != NULL)
		copy_name(refusal.tenant, r->tenant->name);
	set_rule(&refusal, r);
	refusal_log_add(r->entry->refusals, &refusal);
	refusal_problem_json(&refusal,
	    policy_refusal_text(
		r->section != NULL ? &r->section->service : NULL, reason),
	    &body);
	if (refusal.retry_after_ms > 0)
		snprintf(headers, sizeof(headers), "Retry-After: %llu\r\n",
		    (unsigned long long)((refusal.retry_after_ms + 999) /
			1000));
	reply.body = str_buf_view(&body);
	/* Skipping an unread body may be expensive: close instead. */
	reply.close = atomic_load(&r->entry->closing) ||
	    (r->info->content_length > 0 && !r->body_complete) ||
	    (r->has_body && !r->body_complete);
	counter_add(r->entry->counters.refusals[reason][outcome], 1);
	web_answer(r->conn, &reply);
	if (reply.close && !r->body_truncated && !r->body_complete)
		discard_body(r);
	str_buf_free(&body);
	return reply.status;
}
