#include "link/link.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <glib.h>
#include <urcu.h>
#include <zmq.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/logger.h"
#include "base/memory.h"
#include "link/batch.h"
#include "link/entry_list.h"
#include "link/proposal.h"
#include "link/transport.h"

enum {
	CONTROLS_MAX = 9,
	RECEIVE_MAX_MESSAGES = 256
};

/* Unanswered heartbeats before the link switches to the next control. */
static const uint64_t unanswered_heartbeats_max = 2;
/* Longest sleep of the link's thread. */
static const uint64_t poll_max_us = 20 * US_PER_MS;

struct link {
	struct link_settings settings;
	struct link_callbacks callbacks;
	struct transport *transport;
	void *sockets[CONTROLS_MAX];
	char *addresses[CONTROLS_MAX];
	unsigned control_count;
	unsigned current; /* index of the presumed leader */
	uint64_t leader_seen_us; /* last lease, or switch to another control */
	uint64_t heartbeat_sent_us;
	uint64_t term; /* highest seen in a lease */
	uint64_t applied_index;
	uint64_t applied_term;
	uint64_t entries_version;
	uint32_t share_divisor; /* of the current lease */
	uint64_t lease_sent_us;
	uint64_t safe_share_us; /* how long the safe share applies */
	uint64_t safe_share_until_us; /* after lease expiry; 0: inactive */
	uint32_t entries_max; /* divisor of the safe share */
	_Atomic uint64_t lease_until_us;
	atomic_bool leaving;
	atomic_bool stopping;
	bool lease_expired; /* known to have expired; initially true */
	int wake_fd;
	struct proposal_table *proposals;
	struct entry_list *entries;
	pthread_t thread;
	struct counter *heartbeats;
	struct counter *refused_changes;
};

/*
 * Wakes the link's thread.  Thread-safe.
 */
static void
wake(struct link *link)
{
	uint64_t one = 1;
	ssize_t n = write(link->wake_fd, &one, sizeof(one));

	(void)n; /* a full eventfd also wakes the thread */
}

/*
 * Sends to the presumed leader.  The timers make up for dropped messages:
 * heartbeats are sent each interval, proposals again after their resend
 * interval.
 */
static void
send_to_leader(struct link *link, const Wire__Envelope *envelope)
{
	(void)transport_send(link->sockets[link->current], NULL, envelope);
}

/*
 * Sends a heartbeat with the entry's description, the installed view index
 * and the lease it holds.  The leader answers with a new lease.
 */
static void
send_heartbeat(struct link *link, uint64_t now_us)
{
	Wire__EntryInfo info = WIRE__ENTRY_INFO__INIT;
	Wire__Heartbeat beat = WIRE__HEARTBEAT__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	info.name = (char *)link->settings.entry;
	info.address = (char *)link->settings.address;
	info.failure_domain = (char *)link->settings.failure_domain;
	info.incarnation = link->settings.incarnation;
	info.leaving = atomic_load(&link->leaving);
	info.spare_eighths = link->callbacks.spare_eighths(link->callbacks.ctx);
	beat.entry = &info;
	beat.applied_index = link->applied_index;
	beat.applied_term = link->applied_term;
	beat.sent_us = now_us;
	beat.entries_version = link->entries_version;
	beat.share_divisor = link->share_divisor;
	beat.lease_live = now_us < atomic_load(&link->lease_until_us);
	beat.lease_sent_us = link->lease_sent_us;
	envelope.body_case = WIRE__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &beat;
	send_to_leader(link, &envelope);
	link->heartbeat_sent_us = now_us;
	counter_add(link->heartbeats, 1);
}

/*
 * Switches to another control as the presumed leader and resends all pending
 * proposals to it.  It has unanswered_heartbeats_max intervals to answer.
 */
static void
try_control(struct link *link, unsigned index, uint64_t now_us)
{
	link->current = index;
	link->leader_seen_us = now_us;
	proposal_table_resend_all(link->proposals);
	send_heartbeat(link, now_us);
}

/*
 * Switches to the next control in the settings, round-robin.
 */
static void
try_next_control(struct link *link, uint64_t now_us)
{
	try_control(link, (link->current + 1) % link->control_count, now_us);
}

/*
 * Switches to the leader that the current control names, if it is in the
 * settings.  Hints from other controls are out of date and ignored.
 */
static void
on_not_leader(struct link *link, const Wire__NotLeader *message, unsigned from,
    uint64_t now_us)
{
	if (from != link->current)
		return;
	for (unsigned i = 0; i < link->control_count; i++) {
		if (strcmp(link->addresses[i], message->leader) != 0)
			continue;
		if (i != from)
			try_control(link, i, now_us);
		return;
	}
	/* No known leader: run_timers() switches controls after a time-out. */
}

/*
 * Installs a batch of changes.  The view never goes back: a batch that ends at
 * or below the installed index, or starts above it, is ignored.
 */
static void
on_changes(struct link *link, const Wire__Changes *batch, uint64_t now_us)
{
	const struct link_callbacks *cb = &link->callbacks;

	if (batch->to_index <= link->applied_index ||
	    (!batch->reset && batch->from_index > link->applied_index)) {
		if (batch->to_index < link->applied_index)
			counter_add(link->refused_changes, 1);
		return;
	}
	if (!batch_is_intact(batch)) {
		counter_add(link->refused_changes, 1);
		log_error("batch_refused", "instance=%s index=%llu",
		    link->settings.entry, (unsigned long long)batch->to_index);
		return;
	}
	if (batch->reset)
		cb->reset(cb->ctx);
	for (size_t i = 0; i < batch->n_changes; i++) {
		const Wire__Change *change = batch->changes[i];

		if (batch->reset || change->index > link->applied_index)
			cb->change(cb->ctx, change);
	}
	link->applied_index = batch->to_index;
	link->applied_term = batch->term;
	cb->installed(cb->ctx, batch->term, batch->to_index);
	send_heartbeat(link, now_us);
}

/*
 * Handles a lease; one with a lower term than seen before is ignored.  The
 * entry list is always applied, the lease itself only when the view that it
 * requires is installed and it ends later than the current one.
 */
static void
on_lease(
    struct link *link, const Wire__Lease *lease, unsigned from, uint64_t now_us)
{
	const struct link_callbacks *cb = &link->callbacks;
	uint64_t until = lease->sent_us + lease->lease_ms * US_PER_MS;

	if (lease->term < link->term)
		return;
	link->term = lease->term;
	link->current = from;
	link->leader_seen_us = now_us;
	if (lease->entries_version != link->entries_version &&
	    entry_list_apply(link->entries, lease, link->entries_version)) {
		link->entries_version = lease->entries_version;
		cb->entries(cb->ctx, entry_list_infos(link->entries),
		    entry_list_count(link->entries));
	}
	if (lease->view_index > link->applied_index ||
	    until <= atomic_load(&link->lease_until_us))
		return;
	link->share_divisor = lease->share_divisor;
	link->lease_sent_us = lease->sent_us;
	link->safe_share_us = lease->safe_ms * US_PER_MS;
	link->entries_max = lease->entries_max;
	link->safe_share_until_us = 0;
	atomic_store(&link->lease_until_us, until);
	cb->lease(cb->ctx, until, lease->share_divisor);
	if (link->lease_expired) {
		link->lease_expired = false;
		log_info("lease_gained",
		    "instance=%s failure_domain=%s term=%llu index=%llu",
		    link->settings.entry, link->settings.failure_domain,
		    (unsigned long long)lease->term,
		    (unsigned long long)link->applied_index);
	}
}

/*
 * Answers a query on the socket it came from, even if that control is no
 * longer the leader.
 */
static void
on_query(struct link *link, const Wire__Query *query, unsigned from)
{
	Wire__QueryAnswer answer = WIRE__QUERY_ANSWER__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	struct str_buf json = {0};

	link->callbacks.query(link->callbacks.ctx, query, &json);
	answer.request = query->request;
	answer.json.data = (uint8_t *)json.data;
	answer.json.len = json.len;
	envelope.body_case = WIRE__ENVELOPE__BODY_QUERY_ANSWER;
	envelope.query_answer = &answer;
	(void)transport_send(link->sockets[from], NULL, &envelope);
	str_buf_free(&json);
}

/*
 * Dispatches a message by type.  Types that controls do not send are ignored.
 */
static void
dispatch_message(
    struct link *link, Wire__Envelope *envelope, unsigned from, uint64_t now_us)
{
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_LEASE:
		on_lease(link, envelope->lease, from, now_us);
		break;
	case WIRE__ENVELOPE__BODY_CHANGES:
		on_changes(link, envelope->changes, now_us);
		break;
	case WIRE__ENVELOPE__BODY_PROPOSED:
		proposal_table_complete(link->proposals,
		    envelope->proposed->request, envelope->proposed->result);
		envelope->proposed->result = NULL;
		break;
	case WIRE__ENVELOPE__BODY_NOT_LEADER:
		on_not_leader(link, envelope->not_leader, from, now_us);
		break;
	case WIRE__ENVELOPE__BODY_CLAIM_ENDED:
		link->callbacks.claim_ended(
		    link->callbacks.ctx, envelope->claim_ended);
		break;
	case WIRE__ENVELOPE__BODY_QUERY:
		on_query(link, envelope->query, from);
		break;
	default:
		break;
	}
}

/*
 * Receives and dispatches messages from one control, at most
 * RECEIVE_MAX_MESSAGES so that the other sockets and the timers are served.
 */
static void
receive_messages(struct link *link, unsigned from)
{
	for (int i = 0; i < RECEIVE_MAX_MESSAGES; i++) {
		Wire__Envelope *envelope = NULL;
		enum status status =
		    transport_receive(link->sockets[from], NULL, &envelope);

		if (status == STATUS_BUSY)
			return;
		if (status != STATUS_OK)
			continue;
		dispatch_message(link, envelope, from, clock_monotonic_us());
		wire__envelope__free_unpacked(envelope, NULL);
	}
}

/*
 * Sends one proposal to the leader (a proposal_send).
 */
static void
send_proposal(void *ctx, const Wire__Envelope *envelope)
{
	send_to_leader(ctx, envelope);
}

/*
 * Reports the safe share after the lease has expired.  It applies for
 * safe_share_us, then the share drops to almost nothing (limit/share.h).
 */
static void
apply_safe_share(struct link *link)
{
	uint32_t safe = link->entries_max > link->share_divisor
	    ? link->entries_max
	    : link->share_divisor;

	link->safe_share_until_us =
	    atomic_load(&link->lease_until_us) + link->safe_share_us;
	link->callbacks.lease(
	    link->callbacks.ctx, atomic_load(&link->lease_until_us), safe);
}

/*
 * Ends the safe share when its time is over: reports the largest possible
 * divisor.
 */
static void
end_safe_share(struct link *link, uint64_t now_us)
{
	if (link->safe_share_until_us == 0 ||
	    now_us < link->safe_share_until_us)
		return;
	link->safe_share_until_us = 0;
	link->callbacks.lease(link->callbacks.ctx,
	    atomic_load(&link->lease_until_us), UINT32_MAX);
}

/*
 * Runs what is due: heartbeats, the switch from an unresponsive control,
 * resends of proposals, and the end of the lease and of the safe share.
 */
static void
run_timers(struct link *link)
{
	uint64_t now = clock_monotonic_us();
	uint64_t interval = link->settings.heartbeat_us;

	if (now >= link->leader_seen_us + unanswered_heartbeats_max * interval)
		try_next_control(link, now);
	else if (now >= link->heartbeat_sent_us + interval)
		send_heartbeat(link, now);
	proposal_table_send(link->proposals, now, send_proposal, link);
	end_safe_share(link, now);
	if (!link->lease_expired && now >= atomic_load(&link->lease_until_us)) {
		link->lease_expired = true;
		apply_safe_share(link);
		log_warn("lease_lost",
		    "instance=%s failure_domain=%s index=%llu",
		    link->settings.entry, link->settings.failure_domain,
		    (unsigned long long)link->applied_index);
	}
}

/*
 * Waits for messages or wake(), at most poll_max_us, and handles the messages.
 */
static void
poll_sockets(struct link *link)
{
	zmq_pollitem_t items[CONTROLS_MAX + 1];
	unsigned n = link->control_count;
	uint64_t scratch;

	for (unsigned i = 0; i < n; i++)
		items[i] = (zmq_pollitem_t){
		    .socket = link->sockets[i], .events = ZMQ_POLLIN};
	items[n] = (zmq_pollitem_t){.fd = link->wake_fd, .events = ZMQ_POLLIN};
	if (zmq_poll(items, (int)n + 1, (long)(poll_max_us / US_PER_MS)) <= 0)
		return;
	if (items[n].revents != 0 &&
	    read(link->wake_fd, &scratch, sizeof(scratch)) < 0)
		return;
	for (unsigned i = 0; i < n; i++) {
		if (items[i].revents != 0)
			receive_messages(link, i);
	}
}

/*
 * The link's thread: handles messages and runs the timers until link_close().
 * It is offline for RCU while it sleeps, so as not to delay grace periods.
 */
static void *
link_thread(void *arg)
{
	struct link *link = arg;

	rcu_register_thread();
	send_heartbeat(link, clock_monotonic_us());
	while (!atomic_load(&link->stopping)) {
		rcu_thread_offline();
		poll_sockets(link);
		rcu_thread_online();
		run_timers(link);
	}
	proposal_table_fail_all(link->proposals);
	rcu_unregister_thread();
	return NULL;
}

/*
 * Connects a socket to each control.  Returns STATUS_INVALID for more than
 * CONTROLS_MAX controls, STATUS_IO for an address that ZeroMQ rejects.  On
 * failure the caller cleans up with destroy().
 */
static enum status
connect_controls(struct link *link)
{
	struct str rest = str_from(link->settings.controls);
	struct str item;
	char id[TRANSPORT_ID_BYTES];

	snprintf(id, sizeof(id), "%.40s/%016llx", link->settings.entry,
	    (unsigned long long)link->settings.incarnation);
	while (str_split(&rest, ',', &item)) {
		unsigned i = link->control_count;

		if (i == CONTROLS_MAX)
			return status_set(
			    STATUS_INVALID, "too many control addresses");
		link->addresses[i] = str_dup(str_trim(item));
		link->sockets[i] = transport_dealer(
		    link->transport, link->addresses[i], str_from(id));
		if (link->sockets[i] == NULL)
			return STATUS_IO;
		link->control_count++;
	}
	return STATUS_OK;
}

/*
 * Frees a link whose thread is not running, including one that was only partly
 * opened.
 */
static void
destroy(struct link *link)
{
	for (unsigned i = 0; i < CONTROLS_MAX; i++) {
		transport_socket_close(link->sockets[i]);
		mem_free(link->addresses[i]);
	}
	transport_close(link->transport);
	proposal_table_free(link->proposals);
	entry_list_free(link->entries);
	if (link->wake_fd >= 0)
		close(link->wake_fd);
	mem_free(link);
}

/*
 * Opens the link and starts its thread.  The strings in settings must outlive
 * it.  Fails when keys cannot be read or an address is invalid, but not when
 * controls are unreachable.
 */
enum status
link_open(const struct link_settings *settings,
    const struct link_callbacks *callbacks, struct link **out)
{
	struct link *link = mem_calloc(1, sizeof(*link));
	enum status status;

	link->settings = *settings;
	link->callbacks = *callbacks;
	link->lease_expired = true;
	link->leader_seen_us = clock_monotonic_us();
	link->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	link->proposals = proposal_table_new();
	link->entries = entry_list_new();
	link->heartbeats =
	    counter_register(COUNTER_TOTAL, "gypsummill_link_heartbeats_total",
		"Heartbeats sent to control (count)", NULL);
	link->refused_changes = counter_register(COUNTER_TOTAL,
	    "gypsummill_link_refused_changes_total",
	    "Change batches ignored: the view is newer or they are corrupt "
	    "(count)",
	    NULL);
	status = transport_open(
	    settings->keys, settings->key_name, &link->transport);
	if (status == STATUS_OK)
		status = connect_controls(link);
	if (status == STATUS_OK &&
	    pthread_create(&link->thread, NULL, link_thread, link) != 0)
		status = status_set_errno(STATUS_IO, "pthread_create");
	if (status != STATUS_OK) {
		destroy(link);
		return status;
	}
	*out = link;
	return STATUS_OK;
}

/*
 * Stops the thread and frees the link; pending proposals end with
 * STATUS_CLOSED.
 */
void
link_close(struct link *link)
{
	if (link == NULL)
		return;
	atomic_store(&link->stopping, true);
	wake(link);
	pthread_join(link->thread, NULL);
	destroy(link);
}

/*
 * Returns the monotonic time (us) until which no newer view can be in force
 * without this entry having installed it.
 */
uint64_t
link_lease_until_us(const struct link *link)
{
	return atomic_load(&link->lease_until_us);
}

/*
 * Marks this entry as leaving in all further heartbeats.
 */
void
link_set_leaving(struct link *link)
{
	atomic_store(&link->leaving, true);
	wake(link);
}

/*
 * Proposes a command; see link.h.  The command is resent to the current leader
 * until the deadline, so it must be idempotent.
 */
enum status
link_propose(struct link *link, const Wire__Command *command,
    uint64_t deadline_us, Wire__Result **result)
{
	struct proposal proposal;

	proposal_table_add(link->proposals, &proposal, command);
	wake(link);
	return proposal_wait(link->proposals, &proposal, deadline_us, result);
}

/*
 * Frees a result of link_propose(); NULL is allowed.
 */
void
link_result_free(Wire__Result *result)
{
	if (result != NULL)
		wire__result__free_unpacked(result, NULL);
}
