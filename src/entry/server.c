#include "entry/server.h"

#include <urcu.h>

#include "entry/call.h"
#include "entry/lookup.h"

/*
 * Serves the entry's own API: lookups and announcements, 404 for anything else.
 * path is the part after ENTRY_API_PREFIX.
 */
static int
serve_api(struct entry *entry, struct mg_connection *conn, struct str path)
{
	static const struct str targets = STR_LITERAL("targets/");
	struct web_reply reply = {
	    .status = 404,
	    .content_type = "application/problem+json",
	    .body = STR_LITERAL("{\"title\":\"Not found\",\"status\":404}\n"),
	};

	if (str_equal_c(path, "entries"))
		return lookup_serve(entry, conn);
	if (str_has_prefix(path, targets) && path.len > targets.len)
		return announce_serve(entry->announce, conn,
		    str_of(path.data + targets.len, path.len - targets.len));
	return web_answer(conn, &reply);
}

/*
 * Serves a request of a caller or a target; returns the HTTP status.
 */
int
server_serve(void *ctx, struct mg_connection *conn)
{
	static const struct str prefix = STR_LITERAL(ENTRY_API_PREFIX);
	struct entry *entry = ctx;
	struct str path = str_from(mg_get_request_info(conn)->request_uri);

	if (str_has_prefix(path, prefix))
		return serve_api(entry, conn,
		    str_of(path.data + prefix.len, path.len - prefix.len));
	return call_serve(entry, conn);
}

/*
 * Answers a request that CivetWeb could not parse.
 */
void
server_malformed(void *ctx, struct mg_connection *conn, int status)
{
	struct entry *entry = ctx;
	struct str_buf body = {0};
	struct web_reply reply = {
	    .status = status,
	    .content_type = "application/problem+json",
	    .close = true,
	};

	counter_add(entry->counters.malformed, 1);
	str_buf_printf(&body,
	    "{\"type\":\"urn:gypsummill:refusal:malformed-request\","
	    "\"title\":\"%s\",\"status\":%d,\"outcome\":\"not-run\","
	    "\"code\":\"malformed-request\"}\n",
	    web_reason(status), status);
	reply.body = str_buf_view(&body);
	web_answer(conn, &reply);
	str_buf_free(&body);
}

/*
 * Registers a server thread with RCU, which protects the view.
 */
void
server_thread_start(void *ctx ATTR_UNUSED)
{
	rcu_register_thread();
}

/* Unregisters a server thread from RCU. */
void
server_thread_end(void *ctx ATTR_UNUSED)
{
	rcu_unregister_thread();
}
