#include "entry/operators.h"

#include <string.h>

#include "base/clock.h"
#include "base/web.h"

/* Sends plain text; returns the HTTP status. */
static int
answer_text(struct mg_connection *conn, int status, struct str body)
{
	struct web_reply reply = {
	    .status = status,
	    .content_type = "text/plain; version=0.0.4",
	    .body = body,
	};

	return web_answer(conn, &reply);
}

/* Sends all counters in the Prometheus text format. */
static int
serve_metrics(struct mg_connection *conn)
{
	struct str_buf body = {0};
	int status;

	counter_render(&body);
	status = answer_text(conn, 200, str_buf_view(&body));
	str_buf_free(&body);
	return status;
}

/* Answers the readiness check: not leaving, and the lease is valid. */
static int
serve_ready(const struct entry *entry, struct mg_connection *conn)
{
	if (atomic_load(&entry->leaving))
		return answer_text(conn, 503, STR_LITERAL("leaving\n"));
	if (!entry_has_lease(entry))
		return answer_text(
		    conn, 503, STR_LITERAL("no current document lease\n"));
	return answer_text(conn, 200, STR_LITERAL("ready\n"));
}

/*
 * Serves a request on the operators' port; returns the HTTP status.
 */
int
operators_serve(void *ctx, struct mg_connection *conn)
{
	const struct entry *entry = ctx;
	struct str path = str_from(mg_get_request_info(conn)->local_uri);

	if (str_equal_c(path, "/metrics"))
		return serve_metrics(conn);
	if (str_equal_c(path, "/live"))
		return answer_text(conn, 200, STR_LITERAL("live\n"));
	if (str_equal_c(path, "/ready"))
		return serve_ready(entry, conn);
	return answer_text(conn, 404, STR_LITERAL("no such page\n"));
}

/* Appends a recorded refusal as JSON; null if it is no longer kept. */
static void
append_refusal(struct entry *entry, const char *id, struct str_buf *json)
{
	struct refusal refusal;

	if (refusal_log_find(entry->refusals, str_from(id), &refusal) ==
	    STATUS_OK)
		refusal_explain_json(&refusal, json);
	else
		str_buf_append_c(json, "null");
}

/* Appends a service's state at this entry as a JSON object. */
static void
append_service(struct service *service, struct str_buf *json)
{
	uint32_t targets;
	uint32_t slots;
	uint32_t in_flight;

	balancer_totals(service->balancer, clock_monotonic_us(), &targets,
	    &slots, &in_flight);
	str_buf_printf(json,
	    "{\"service\":\"%s\",\"targets\":%u,\"slots\":%u,"
	    "\"in_flight\":%u,\"running_max\":%u,\"spare_eighths\":%u}",
	    service->name, targets, slots, in_flight,
	    atomic_load(&service->running_max), service_spare_eighths(service));
}

/* Appends the entry's state and its services as a JSON object. */
static void
append_status(struct entry *entry, struct str_buf *json)
{
	struct view *view = view_acquire(entry->views);

	str_buf_printf(json,
	    "{\"entry\":\"%s\",\"failure_domain\":\"%s\",\"lease\":%s,"
	    "\"leaving\":%s,\"index\":%llu,\"services\":[",
	    entry->name, entry->failure_domain,
	    entry_has_lease(entry) ? "true" : "false",
	    atomic_load(&entry->leaving) ? "true" : "false",
	    (unsigned long long)(view != NULL ? view->index : 0));
	for (uint32_t i = 0; view != NULL && i < view->service_count; i++) {
		if (i > 0)
			str_buf_append_c(json, ",");
		append_service(view->services[i], json);
	}
	str_buf_append_c(json, "]}");
	view_release(view);
}

/*
 * Answers an operator's query.
 */
void
operators_query(struct entry *entry, const char *what, const char *argument,
    struct str_buf *json)
{
	if (strcmp(what, "explain") == 0)
		append_refusal(entry, argument, json);
	else if (strcmp(what, "burn") == 0)
		burn_json(entry->burn, clock_monotonic_us(), json);
	else
		append_status(entry, json);
}
