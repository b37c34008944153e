#include "entry/announce.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/json.h"
#include "base/logger.h"
#include "base/memory.h"
#include "base/web.h"
#include "entry/entry.h"
#include "entry/propose.h"

enum {
	BODY_MAX_BYTES = 4096,
	BUCKETS = 1024,
	RENEWALS_PER_LEASE = 3,
	/* At least, for a target that may have to find this entry first. */
	ADOPTED_LEASE_MS = 10000
};

/* json_get_u64() reads any larger number as INT64_MAX. */
#define NUMBER_MAX ((uint64_t)INT64_MAX - 1)

/* Several round trips to control. */
static const uint64_t slow_removal_us = 300 * US_PER_MS;

/* The lease of one announcement. */
struct lease {
	struct lease *next;
	char *id;
	uint64_t incarnation;
	uint64_t until_us;
};

struct announce {
	struct entry *entry;
	pthread_mutex_t lock;
	struct lease *buckets[BUCKETS];
};

/*
 * Returns an empty lease table, to be freed with announce_free().
 */
struct announce *
announce_new(struct entry *entry)
{
	struct announce *a = mem_calloc(1, sizeof(*a));

	a->entry = entry;
	pthread_mutex_init(&a->lock, NULL);
	return a;
}

/* Frees a lease that has been removed from the table. */
static void
lease_free(struct lease *lease)
{
	mem_free(lease->id);
	mem_free(lease);
}

/*
 * Frees the table.  The targets stay announced at control.
 */
void
announce_free(struct announce *a)
{
	if (a == NULL)
		return;
	for (unsigned i = 0; i < BUCKETS; i++) {
		while (a->buckets[i] != NULL) {
			struct lease *lease = a->buckets[i];

			a->buckets[i] = lease->next;
			lease_free(lease);
		}
	}
	pthread_mutex_destroy(&a->lock);
	mem_free(a);
}

/*
 * Returns the pointer to a target's lease in its bucket list; it is NULL when
 * there is none.  Called with the lock held.
 */
static struct lease **
find_lease(struct announce *a, struct str id)
{
	struct lease **link = &a->buckets[str_hash(id) % BUCKETS];

	while (*link != NULL && !str_equal_c(id, (*link)->id))
		link = &(*link)->next;
	return link;
}

/*
 * Renews the lease of a target, or creates one, for an incarnation; it expires
 * lease_ms from now.
 */
static void
renew_lease(
    struct announce *a, struct str id, uint64_t incarnation, uint64_t lease_ms)
{
	struct lease **link;

	pthread_mutex_lock(&a->lock);
	link = find_lease(a, id);
	if (*link == NULL) {
		*link = mem_calloc(1, sizeof(**link));
		(*link)->id = str_dup(id);
	}
	(*link)->incarnation = incarnation;
	(*link)->until_us = clock_monotonic_us() + lease_ms * US_PER_MS;
	pthread_mutex_unlock(&a->lock);
}

/* Removes and frees a target's lease, if there is one. */
static void
remove_lease(struct announce *a, struct str id)
{
	struct lease **link;
	struct lease *lease;

	pthread_mutex_lock(&a->lock);
	link = find_lease(a, id);
	lease = *link;
	if (lease != NULL) {
		*link = lease->next;
		lease_free(lease);
	}
	pthread_mutex_unlock(&a->lock);
}

/*
 * Refuses an announcement with a problem document and counts it; returns
 * status.  After 413 (body too large) the connection is closed.
 */
static int
answer_problem(struct announce *a, struct mg_connection *conn, int status,
    const char *title, const char *detail)
{
	struct json_object *root = json_object_new_object();
	struct web_reply reply = {
	    .status = status,
	    .content_type = "application/problem+json",
	    .headers = status >= 500 ? "Retry-After: 1\r\n" : NULL,
	    .close = status == 413,
	};

	json_object_object_add(root, "title", json_object_new_string(title));
	json_object_object_add(root, "status", json_object_new_int(status));
	json_object_object_add(root, "detail", json_object_new_string(detail));
	reply.body = str_from(json_object_to_json_string(root));
	counter_add(a->entry->counters.announcements_refused, 1);
	web_answer(conn, &reply);
	json_object_put(root);
	return status;
}

/* Returns the lease duration of targets (ms); 0 without a fleet section. */
static uint64_t
target_lease_ms(const struct announce *a)
{
	struct view *view = view_acquire(a->entry->views);
	uint64_t ms = 0;

	if (view != NULL && view->policy->fleet != NULL)
		ms = view->policy->fleet->target_lease_ms;
	view_release(view);
	return ms;
}

/* Returns a string member, owned by root; empty without one. */
static const char *
text_field(struct json_object *root, const char *name)
{
	const char *text = json_get_text(root, name);

	return text != NULL ? text : "";
}

/* Reads the state by name; false for an unknown name. */
static bool
state_field(struct json_object *root, enum registry_state *state)
{
	static const char *const names[] = {"ready", "cold", "draining"};
	const char *text = text_field(root, "state");

	for (unsigned i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcmp(text, names[i]) == 0) {
			*state = (enum registry_state)i;
			return true;
		}
	}
	return false;
}

/*
 * Reads an announcement; its strings are owned by root.  Returns
 * STATUS_INVALID, with a message, when it is malformed.
 */
static enum status
read_target(struct json_object *root, struct registry_target *target)
{
	static const char *const known[] = {"service", "address",
	    "failure_domain", "slots", "connections", "state", "incarnation",
	    "sequence"};
	uint64_t slots;
	uint64_t connections;

	if (!json_object_is_type(root, json_type_object))
		return status_set(STATUS_INVALID, "the body is no JSON object");
	json_object_object_foreach (root, name, value) {
		bool found = false;

		(void)value;
		for (unsigned i = 0; i < sizeof(known) / sizeof(known[0]); i++)
			found = found || strcmp(name, known[i]) == 0;
		if (!found)
			return status_set(
			    STATUS_INVALID, "%s: no such field", name);
	}
	target->service = str_from(text_field(root, "service"));
	target->address = str_from(text_field(root, "address"));
	target->failure_domain = str_from(text_field(root, "failure_domain"));
	if (!json_get_u64(root, "slots", UINT32_MAX, &slots) ||
	    !json_get_u64(root, "connections", UINT32_MAX, &connections) ||
	    !json_get_u64(
		root, "incarnation", NUMBER_MAX, &target->incarnation) ||
	    !json_get_u64(root, "sequence", NUMBER_MAX, &target->sequence))
		return status_set(STATUS_INVALID,
		    "slots, connections, incarnation and sequence: each a "
		    "whole number");
	if (!state_field(root, &target->state))
		return status_set(
		    STATUS_INVALID, "state: one of ready, cold, draining");
	target->slots = (uint32_t)slots;
	target->connections = (uint32_t)connections;
	return registry_check(target);
}

/* Returns whether control has this announcement with this entry as holder. */
static bool
is_up_to_date(const struct announce *a, const struct registry_target *target)
{
	char holder[VIEW_NAME_BYTES];
	struct registry_target old;

	return view_find_target(
		   a->entry->views, target->id, &old, holder, sizeof(holder)) &&
	    strcmp(holder, a->entry->name) == 0 &&
	    old.incarnation == target->incarnation &&
	    old.sequence == target->sequence &&
	    (old.state == target->state || old.state == REGISTRY_DRAINING) &&
	    old.slots == target->slots &&
	    old.connections == target->connections;
}

/*
 * Sends the lease duration and the renewal interval (ms); returns the HTTP
 * status.
 */
static int
answer_lease(struct mg_connection *conn, uint64_t lease_ms)
{
	struct str_buf body = {0};
	struct web_reply reply = {
	    .status = 200, .content_type = "application/json"};

	str_buf_printf(&body, "{\"lease_ms\":%llu,\"renew_ms\":%llu}\n",
	    (unsigned long long)lease_ms,
	    (unsigned long long)(lease_ms / RENEWALS_PER_LEASE));
	reply.body = str_buf_view(&body);
	web_answer(conn, &reply);
	str_buf_free(&body);
	return reply.status;
}

/*
 * Proposes an announcement to control unless it is up to date, and renews its
 * lease.  Returns the HTTP status.
 */
static int
put_target(struct announce *a, struct mg_connection *conn,
    struct registry_target *target)
{
	uint64_t lease_ms = target_lease_ms(a);
	enum status status = STATUS_OK;

	if (lease_ms == 0 || !entry_has_lease(a->entry) ||
	    atomic_load(&a->entry->leaving))
		return answer_problem(a, conn, 503, "Not available",
		    "this entry takes no announcements at present; use "
		    "another");
	if (!is_up_to_date(a, target))
		status = propose_target(a->entry->link, target);
	if (status == STATUS_CONFLICT)
		return answer_problem(
		    a, conn, 409, "Older announcement", status_message());
	if (status != STATUS_OK && status != STATUS_BUSY)
		return answer_problem(
		    a, conn, 503, "Not available", status_message());
	renew_lease(a, target->id, target->incarnation, lease_ms);
	counter_add(a->entry->counters.announcements, 1);
	return answer_lease(conn, lease_ms);
}

/*
 * Reads and checks the announcement in the body and applies it; returns the
 * HTTP status.
 */
static int
serve_put(struct announce *a, struct mg_connection *conn, struct str id)
{
	struct registry_target target = {
	    .id = id, .holder = str_from(a->entry->name)};
	struct str_buf body = {0};
	enum status status = web_read_body(conn, BODY_MAX_BYTES, &body);
	struct json_object *root;
	int answer;

	if (status != STATUS_OK) {
		str_buf_free(&body);
		return answer_problem(a, conn,
		    status == STATUS_FULL ? 413 : 400, "Bad announcement",
		    status_message());
	}
	root = json_parse_object(str_buf_view(&body));
	if (read_target(root, &target) != STATUS_OK)
		answer = answer_problem(
		    a, conn, 400, "Bad announcement", status_message());
	else
		answer = put_target(a, conn, &target);
	json_object_put(root);
	str_buf_free(&body);
	return answer;
}

/* Answers with the target as this entry's view has it; 404 without one. */
static int
serve_get(struct announce *a, struct mg_connection *conn, struct str id)
{
	char holder[VIEW_NAME_BYTES];
	struct registry_target target;
	struct str_buf body = {0};
	struct web_reply reply = {
	    .status = 200, .content_type = "application/json"};

	if (!view_find_target(
		a->entry->views, id, &target, holder, sizeof(holder)))
		return answer_problem(
		    a, conn, 404, "Not announced", "no such target");
	str_buf_printf(&body,
	    "{\"holder\":\"%s\",\"slots\":%u,\"connections\":%u,"
	    "\"state\":%d,\"incarnation\":%llu,\"sequence\":%llu}\n",
	    holder, target.slots, target.connections, (int)target.state,
	    (unsigned long long)target.incarnation,
	    (unsigned long long)target.sequence);
	reply.body = str_buf_view(&body);
	web_answer(conn, &reply);
	str_buf_free(&body);
	return reply.status;
}

/* Removes the announcement at once; 204 even if this entry holds none. */
static int
serve_delete(struct announce *a, struct mg_connection *conn, struct str id)
{
	enum status status = propose_target_removal(a->entry, id, 0);
	struct web_reply reply = {.status = 204};

	if (status != STATUS_OK && status != STATUS_NOT_FOUND)
		return answer_problem(
		    a, conn, 503, "Not available", status_message());
	remove_lease(a, id);
	return web_answer(conn, &reply);
}

/*
 * Serves a request for a target's announcement; returns the HTTP status.
 */
int
announce_serve(struct announce *a, struct mg_connection *conn, struct str id)
{
	struct str method = str_from(mg_get_request_info(conn)->request_method);

	if (str_equal_c(method, "PUT"))
		return serve_put(a, conn, id);
	if (str_equal_c(method, "GET"))
		return serve_get(a, conn, id);
	if (str_equal_c(method, "DELETE"))
		return serve_delete(a, conn, id);
	return answer_problem(
	    a, conn, 405, "Not allowed", "PUT, GET or DELETE");
}

/*
 * Gives a target that this entry holds a lease if it has none.  A restarted
 * entry has none, and a departure may be recorded for a target that has just
 * been withdrawn.
 */
void
announce_adopt(struct announce *a, struct str id, uint64_t incarnation)
{
	uint64_t lease_ms = target_lease_ms(a);
	bool known;

	pthread_mutex_lock(&a->lock);
	known = *find_lease(a, id) != NULL;
	pthread_mutex_unlock(&a->lock);
	if (!known)
		renew_lease(a, id, incarnation,
		    lease_ms > ADOPTED_LEASE_MS ? lease_ms : ADOPTED_LEASE_MS);
}

/* Removes an expired lease from the table; the caller frees it. */
static struct lease *
pop_expired_lease(struct announce *a, uint64_t now_us)
{
	struct lease *found = NULL;

	pthread_mutex_lock(&a->lock);
	for (unsigned i = 0; i < BUCKETS && found == NULL; i++) {
		for (struct lease **link = &a->buckets[i]; *link != NULL;
		     link = &(*link)->next) {
			if ((*link)->until_us > now_us)
				continue;
			found = *link;
			*link = found->next;
			break;
		}
	}
	pthread_mutex_unlock(&a->lock);
	return found;
}

/* Lets all leases last for a whole lease duration from now on. */
static void
extend_leases(struct announce *a)
{
	uint64_t until_us =
	    clock_monotonic_us() + target_lease_ms(a) * US_PER_MS;

	pthread_mutex_lock(&a->lock);
	for (unsigned i = 0; i < BUCKETS; i++) {
		for (struct lease *lease = a->buckets[i]; lease != NULL;
		     lease = lease->next) {
			if (lease->until_us < until_us)
				lease->until_us = until_us;
		}
	}
	pthread_mutex_unlock(&a->lock);
}

/*
 * Removes the targets whose lease has expired.  A target that has moved to
 * another entry stays: control removes it only for its holder.  If control
 * doesn't confirm a removal, the lease is extended by 1 s to try again.  An
 * entry that is cut off takes no announcements, so after a cut, or after a
 * removal that waited for control, the other targets get time to renew.
 */
void
announce_expire(struct announce *a, uint64_t now_us)
{
	struct lease *lease;

	if (!entry_has_lease(a->entry))
		extend_leases(a);
	while ((lease = pop_expired_lease(a, now_us)) != NULL) {
		enum status status = propose_target_removal(
		    a->entry, str_from(lease->id), lease->incarnation);

		log_warn("target_lease_lost", "target=%s status=%s", lease->id,
		    status_name(status));
		if (clock_monotonic_us() > now_us + slow_removal_us)
			extend_leases(a);
		if (status != STATUS_OK && status != STATUS_NOT_FOUND) {
			renew_lease(
			    a, str_from(lease->id), lease->incarnation, 1000);
			lease_free(lease);
			return;
		}
		lease_free(lease);
	}
}
