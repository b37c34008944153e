#include <stdio.h>
#include <string.h>

#include "support_claim_defs.h"

static const char *const entry_names[ENTRIES] = {"e0", "e1", "e2"};
static const char *const key_names[KEYS] = {"k0", "k1", "k2", "k3"};

static struct claim_key
key_of(int key)
{
	return (struct claim_key){
	    .tenant = STR_LITERAL("store"),
	    .service = STR_LITERAL("orders"),
	    .key = str_from(key_names[key]),
	};
}

static struct claim_holder
holder_of(const struct schedule *schedule, int submission)
{
	const struct submission *t = &schedule->submissions[submission];

	return (struct claim_holder){
	    .entry = str_from(entry_names[t->entry]),
	    .incarnation = t->incarnation,
	    .attempt = (uint64_t)submission,
	};
}

struct claim_open
control_open_of(const struct schedule *schedule, int submission)
{
	struct claim_open open = {
	    .key = key_of(schedule->submissions[submission].key),
	    .holder = holder_of(schedule, submission),
	    .retention_us = RETENTION_US,
	    .claims_max = schedule->claims_max,
	    .time_us = schedule->now_us,
	};

	memset(open.digest, schedule->submissions[submission].body,
	    sizeof(open.digest));
	return open;
}

/*
 * Returns the number of the run that a stored body names, or -1.
 */
int
control_run_of(struct str body)
{
	uint64_t run = 0;

	return str_to_u64(body, &run) ? (int)run : -1;
}

static struct claim_ledger *
ledger_of(struct schedule *schedule, int entry)
{
	if (schedule->mode == CLAIM_MODE_LOCAL)
		return schedule->entries[entry].local_ledger;
	return schedule->ledger;
}

static void
notify_key_released(void *ctx, const struct claim_key *key)
{
	struct schedule *s = ctx;
	int number = key->key.data[1] - '0';

	for (int i = 0; i < ENTRIES; i++) {
		struct event *event;

		if (s->entries[i].partitioned || schedule_draw_percent(s, 10))
			continue;
		event = schedule_event(s, EVENT_KEY_RELEASED,
		    schedule_draw_between(s, 1500, 4000));
		event->entry = i;
		event->number = number;
	}
}

/*
 * Applies a committed proposal and sets the fields of the result event.
 */
static void
apply(struct schedule *s, const struct event *proposal, struct event *result)
{
	const struct submission *submission =
	    &s->submissions[proposal->submission];
	struct claim_ledger *ledger = ledger_of(s, submission->entry);
	struct claim_open open = control_open_of(s, proposal->submission);
	struct claim_answer answer;
	char body[16];

	if (!proposal->is_end) {
		result->verdict = claim_ledger_open(ledger, &open, &answer);
		result->run = control_run_of(answer.body);
		return;
	}
	(void)snprintf(body, sizeof(body), "%d", proposal->run);
	result->held = claim_ledger_end(ledger,
	    &(struct claim_end){
		.key = open.key,
		.holder = open.holder,
		.ending = proposal->ending,
		.answer = {.http_status = 201,
		    .body = str_from(body),
		    .kept = true},
		.time_us = s->now_us,
	    });
	if (!result->held)
		s->totals->rejected_ends++;
	else if (s->mode == CLAIM_MODE_CLAIMED)
		notify_key_released(s, &open.key);
}

static void
send_result(struct schedule *s, const struct event *result, uint64_t delay_us)
{
	struct event *event = schedule_event(s, EVENT_RESULT, delay_us);
	struct heap_node node = event->node;

	*event = *result;
	event->node = node;
}

/*
 * Returns the delay of a message: usually 1.5 to 4 ms, in 5 % of the cases
 * before FAULTS_END_US 100 ms to 12 s.
 */
static uint64_t
network_delay(struct schedule *s)
{
	if (s->now_us < FAULTS_END_US && schedule_draw_percent(s, 5))
		return schedule_draw_between(s, 100 * US_PER_MS, 12 * US_PER_S);
	return schedule_draw_between(s, 1500, 4000);
}

static bool
is_message_lost(struct schedule *s, int entry)
{
	return s->entries[entry].partitioned ||
	    (s->now_us < FAULTS_END_US && schedule_draw_percent(s, 5));
}

static void
send_proposal(struct schedule *s, int submission, bool is_end)
{
	const struct submission *t = &s->submissions[submission];
	struct event *event;

	if (is_message_lost(s, t->entry))
		return;
	event = schedule_event(s, EVENT_PROPOSAL, network_delay(s));
	event->submission = submission;
	event->is_end = is_end;
	event->ending = t->attempt.ending;
	event->run = t->answered_run;
}

/*
 * Proposes the open or end of a submission: over the network, or immediately
 * and reliably in the modes without control.
 */
void
control_propose(struct schedule *s, int submission, bool is_end)
{
	const struct submission *t = &s->submissions[submission];
	struct event proposal = {.submission = submission,
	    .is_end = is_end,
	    .ending = t->attempt.ending,
	    .run = t->answered_run};
	struct event result = {.kind = EVENT_RESULT,
	    .submission = submission,
	    .is_end = is_end,
	    .verdict = CLAIM_VERDICT_GRANTED,
	    .held = true};

	if (s->mode == CLAIM_MODE_CLAIMED) {
		send_proposal(s, submission, is_end);
		if (schedule_draw_percent(s, 10))
			send_proposal(s, submission, is_end);
		return;
	}
	if (s->mode == CLAIM_MODE_LOCAL)
		apply(s, &proposal, &result);
	send_result(s, &result, 0);
}

/*
 * Handles a proposal that reaches control.  Without a leader it is lost, or it
 * was accepted by the old leader and is committed later without a result to
 * its sender.
 */
void
control_proposal(struct schedule *s, const struct event *event)
{
	struct event result = {.kind = EVENT_RESULT,
	    .submission = event->submission,
	    .is_end = event->is_end};

	if (!s->leader_up) {
		if (!schedule_draw_percent(s, 50)) {
			struct event *later = schedule_event(s, EVENT_PROPOSAL,
			    schedule_draw_between(s, US_PER_MS, 3 * US_PER_S));
			struct heap_node node = later->node;

			*later = *event;
			later->node = node;
			later->no_result = true;
		}
		return;
	}
	apply(s, event, &result);
	if (!event->no_result &&
	    !is_message_lost(s, s->submissions[event->submission].entry))
		send_result(s, &result, network_delay(s));
}

static void
declare_entry_lost(struct schedule *s, int entry, uint64_t incarnation)
{
	(void)claim_ledger_end_entry_claims(s->ledger,
	    str_from(entry_names[entry]), incarnation, s->now_us,
	    notify_key_released, s);
}

struct holders {
	struct schedule *schedule;
	uint64_t
	    incarnation[ENTRIES]; /* up to which to declare lost; 0: none */
};

/*
 * Records an entry that holds claims although it, or the incarnation that
 * opened them, is gone.
 */
static void
record_gone_holder(
    void *ctx, struct str name, uint64_t incarnation, uint64_t open)
{
	struct holders *holders = ctx;
	int i = name.data[1] - '0';
	const struct entry *entry = &holders->schedule->entries[i];

	(void)open;
	if (!entry->registered)
		holders->incarnation[i] = entry->registered_incarnation;
	else if (incarnation < entry->registered_incarnation)
		holders->incarnation[i] = entry->registered_incarnation - 1;
}

/*
 * Renews the leases of reachable entries, and declares lost those that are
 * unreachable for LEASE_US or have restarted with a new incarnation.
 */
void
control_check(struct schedule *s)
{
	struct holders holders = {.schedule = s};

	if (!s->leader_up)
		return;
	for (int i = 0; i < ENTRIES; i++) {
		struct entry *entry = &s->entries[i];

		if (entry->up && !entry->partitioned &&
		    entry->resume_us <= s->now_us) {
			if (entry->incarnation != entry->registered_incarnation)
				declare_entry_lost(
				    s, i, entry->incarnation - 1);
			entry->registered_incarnation = entry->incarnation;
			entry->last_seen_us = s->now_us;
			entry->registered = true;
		} else if (entry->registered &&
		    s->now_us - entry->last_seen_us > LEASE_US) {
			declare_entry_lost(s, i, entry->registered_incarnation);
			entry->registered = false;
		}
	}
	claim_ledger_for_each_holder(s->ledger, record_gone_holder, &holders);
	for (int i = 0; i < ENTRIES; i++)
		if (holders.incarnation[i] > 0)
			declare_entry_lost(s, i, holders.incarnation[i]);
}

/*
 * Starts or stops the leader.  A new leader loads the saved ledger.
 */
void
control_leader(struct schedule *s, bool up)
{
	struct str_buf saved = {0};

	s->leader_up = up;
	if (!up)
		return;
	claim_ledger_save(s->ledger, &saved);
	claim_ledger_free(s->ledger);
	s->ledger = claim_ledger_new();
	if (claim_ledger_load(s->ledger, str_buf_view(&saved)) != STATUS_OK)
		s->totals->claims_lost++;
	str_buf_free(&saved);
	for (int i = 0; i < ENTRIES; i++)
		s->entries[i].last_seen_us = s->now_us;
}
