#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "control/control_internal.h"

/*
 * Sends to a peer without blocking.  Dropped messages need no handling: peers
 * repeat heartbeats and proposals until answered.
 */
void
control_send(struct control *control, const struct transport_peer *peer,
    const Wire__Envelope *envelope)
{
	(void)transport_send(control->router, peer, envelope);
}

/*
 * Answers that this instance cannot grant a lease or propose now, with the
 * leader's address if known. request is 0 except for a proposal.
 */
static void
send_not_leader(struct control *control, const struct transport_peer *peer,
    uint64_t request)
{
	Wire__NotLeader message = WIRE__NOT_LEADER__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	message.request = request;
	message.leader = (char *)control_leader_address(control);
	envelope.body_case = WIRE__ENVELOPE__BODY_NOT_LEADER;
	envelope.not_leader = &message;
	control_send(control, peer, &envelope);
}

/*
 * Sends the lease just granted, with the share of the fleet-wide limits and the
 * changes of the list of entries that the entry lacks.
 */
static void
send_lease(struct control *control, const struct entry_record *entry,
    const Wire__Heartbeat *beat, uint64_t lease_us, uint64_t now_us)
{
	unsigned count = entry_table_count(control->entries);
	Wire__EntryInfo *infos = mem_calloc(count, sizeof(*infos));
	Wire__EntryInfo **list = mem_calloc(count, sizeof(*list));
	Wire__Lease lease = WIRE__LEASE__INIT;
	struct share_params shares;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	control_share_params(control, &shares);
	lease.term = control->info.term;
	lease.view_index = view_log_last_index(control->machine.view);
	lease.lease_ms = lease_us / US_PER_MS;
	lease.sent_us = beat->sent_us;
	lease.share_divisor = entry->share_divisor;
	lease.safe_ms = shares.safe_us / US_PER_MS;
	lease.entries_max = shares.entries_max;
	lease.entries_version =
	    entry_table_refresh_list(control->entries, now_us);
	lease.entries = list;
	lease.n_entries = entry_table_list_since(control->entries,
	    beat->entries_version, &lease.entries_base, infos, list);
	envelope.body_case = WIRE__ENVELOPE__BODY_LEASE;
	envelope.lease = &lease;
	control_send(control, &entry->peer, &envelope);
	mem_free(infos);
	mem_free(list);
}

/*
 * Handles an entry's heartbeat: declares the incarnation it replaced lost,
 * sends the changes it lacks and grants a lease if a share is free.
 */
static void
on_heartbeat(struct control *control, const struct transport_peer *from,
    const Wire__Heartbeat *beat, uint64_t now_us)
{
	uint64_t lease_us = control_lease_us(control);
	struct entry_record *entry;
	uint64_t lost = 0;

	entry =
	    entry_table_heartbeat(control->entries, beat, from, now_us, &lost);
	if (entry == NULL) {
		counter_add(control->rejected_messages, 1);
		return;
	}
	if (lost != 0)
		control_propose_entry_lost(control, entry->name, lost);
	if (beat->applied_index < view_log_last_index(control->machine.view))
		control_view_send(control, from, beat->applied_index);
	if (entry_table_grant(control->entries, entry, now_us))
		send_lease(control, entry, beat, lease_us, now_us);
	else
		send_not_leader(control, from, 0);
}

/*
 * Proposes an entry's command.  Commands that only operators or the leader
 * itself may issue are counted as rejected and not answered.
 */
static void
on_propose(struct control *control, const struct transport_peer *from,
    Wire__Propose *propose)
{
	struct pending_command waiter = {
	    .peer = *from,
	    .has_peer = true,
	    .request = propose->request,
	};

	if (propose->command == NULL ||
	    propose->command->body_case == WIRE__COMMAND__BODY_EDIT ||
	    propose->command->body_case == WIRE__COMMAND__BODY_ENTRY_LOST) {
		counter_add(control->rejected_messages, 1);
		return;
	}
	waiter.claim = control_claim_key_text(propose->command);
	if (control_propose(control, propose->command, &waiter) == STATUS_OK)
		return;
	g_free(waiter.claim);
	send_not_leader(control, from, propose->request);
}

/*
 * Handles a message from an entry.  Only a leader with a valid leader lease
 * accepts heartbeats and proposals; unknown messages are counted as rejected.
 */
void
control_entries_message(struct control *control,
    const struct transport_peer *from, Wire__Envelope *envelope,
    uint64_t now_us)
{
	bool leads = control_holds_leader_lease(control, now_us);

	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_HEARTBEAT:
		if (leads)
			on_heartbeat(
			    control, from, envelope->heartbeat, now_us);
		else
			send_not_leader(control, from, 0);
		break;
	case WIRE__ENVELOPE__BODY_PROPOSE:
		if (leads)
			on_propose(control, from, envelope->propose);
		else
			send_not_leader(
			    control, from, envelope->propose->request);
		break;
	case WIRE__ENVELOPE__BODY_QUERY_ANSWER:
		control_jobs_query_answer(control, envelope->query_answer);
		break;
	default:
		counter_add(control->rejected_messages, 1);
		break;
	}
}

/*
 * Sends the result of an applied command to the entry that proposed it.  If
 * another submission holds the claim, the entry is registered to be notified
 * when the claim ends.
 */
void
control_entries_result(struct control *control,
    const struct pending_command *pending, Wire__Result *result)
{
	Wire__Proposed proposed = WIRE__PROPOSED__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	if (pending->claim != NULL &&
	    result->detail_case == WIRE__RESULT__DETAIL_CLAIM &&
	    result->claim->verdict == WIRE__CLAIM_VERDICT__CLAIM_IN_PROGRESS)
		control_claim_add_waiter(
		    control, pending->claim, &pending->peer);
	proposed.request = pending->request;
	proposed.result = result;
	envelope.body_case = WIRE__ENVELOPE__BODY_PROPOSED;
	envelope.proposed = &proposed;
	control_send(control, &pending->peer, &envelope);
}
