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
holder_of(const struct schedule *schedule, int tap)
{
	const struct tap *t = &schedule->taps[tap];

	return (struct claim_holder){
	    .entry = str_from(entry_names[t->entry]),
	    .incarnation = t->incarnation,
	    .attempt = (uint64_t)tap,
	};
}

struct claim_open
control_open_of(const struct schedule *schedule, int tap)
{
	struct claim_open open = {
	    .key = key_of(schedule->taps[tap].key),
	    .holder = holder_of(schedule, tap),
	    .retention_us = RETENTION_US,
	    .claims_max = schedule->claims_max,
	    .time_us = schedule->now_us,
	};

	memset(open.digest, schedule->taps[tap].body, sizeof(open.digest));
	return open;
}

/*
 * Returns the run whose answer a kept body is.
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
		return schedule->entries[entry].memory;
	return schedule->ledger;
}

static void
free_again(void *ctx, const struct claim_key *key)
{
	struct schedule *s = ctx;
	int number = key->key.data[1] - '0';

	for (int i = 0; i < ENTRIES; i++) {
		struct event *event;

		if (s->entries[i].cut || schedule_chance(s, 10))
			continue;
		event = schedule_push(
		    s, EVENT_FREE_AGAIN, schedule_between(s, 1500, 4000));
		event->entry = i;
		event->number = number;
	}
}

/*
 * Applies a committed proposal and returns its result as an event's fields.
 */
static void
apply(struct schedule *s, const struct event *proposal, struct event *result)
{
	const struct tap *tap = &s->taps[proposal->tap];
	struct claim_ledger *ledger = ledger_of(s, tap->entry);
	struct claim_open open = control_open_of(s, proposal->tap);
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
		s->totals->lost_ends++;
	else if (s->mode == CLAIM_MODE_CLAIMED)
		free_again(s, &open.key);
}

static void
send_result(struct schedule *s, const struct event *result, uint64_t delay_us)
{
	struct event *event = schedule_push(s, EVENT_RESULT, delay_us);
	struct heap_node node = event->node;

	*event = *result;
	event->node = node;
}

/* How long a message takes: mostly little, at times out of all order. */
static uint64_t
network_delay(struct schedule *s)
{
	if (s->now_us < FAULTS_END_US && schedule_chance(s, 5))
		return schedule_between(s, 100 * US_PER_MS, 12 * US_PER_S);
	return schedule_between(s, 1500, 4000);
}

static bool
is_lost(struct schedule *s, int entry)
{
	return s->entries[entry].cut ||
	    (s->now_us < FAULTS_END_US && schedule_chance(s, 5));
}

static void
send_proposal(struct schedule *s, int tap, bool is_end)
{
	const struct tap *t = &s->taps[tap];
	struct event *event;

	if (is_lost(s, t->entry))
		return;
	event = schedule_push(s, EVENT_PROPOSAL, network_delay(s));
	event->tap = tap;
	event->is_end = is_end;
	event->ending = t->attempt.ending;
	event->run = t->answered_run;
}

/*
 * Proposes a tap's open or end: over the network, or at once and for
 * certain where there is no control.
 */
void
control_propose(struct schedule *s, int tap, bool is_end)
{
	const struct tap *t = &s->taps[tap];
	struct event proposal = {.tap = tap,
	    .is_end = is_end,
	    .ending = t->attempt.ending,
	    .run = t->answered_run};
	struct event result = {.kind = EVENT_RESULT,
	    .tap = tap,
	    .is_end = is_end,
	    .verdict = CLAIM_VERDICT_GRANTED,
	    .held = true};

	if (s->mode == CLAIM_MODE_CLAIMED) {
		send_proposal(s, tap, is_end);
		if (schedule_chance(s, 10))
			send_proposal(s, tap, is_end);
		return;
	}
	if (s->mode == CLAIM_MODE_LOCAL)
		apply(s, &proposal, &result);
	send_result(s, &result, 0);
}

/*
 * A proposal reaches control.  While no leader stands it is lost, or kept
 * by the old one and committed later without an answer to its sender.
 */
void
control_proposal(struct schedule *s, const struct event *event)
{
	struct event result = {
	    .kind = EVENT_RESULT, .tap = event->tap, .is_end = event->is_end};

	if (!s->leader_up) {
		if (!schedule_chance(s, 50)) {
			struct event *later = schedule_push(s, EVENT_PROPOSAL,
			    schedule_between(s, US_PER_MS, 3 * US_PER_S));
			struct heap_node node = later->node;

			*later = *event;
			later->node = node;
			later->no_result = true;
		}
		return;
	}
	apply(s, event, &result);
	if (!event->no_result && !is_lost(s, s->taps[event->tap].entry))
		send_result(s, &result, network_delay(s));
}

static void
declare_lost(struct schedule *s, int entry, uint64_t incarnation)
{
	(void)claim_ledger_end_entry_claims(s->ledger,
	    str_from(entry_names[entry]), incarnation, s->now_us, free_again,
	    s);
}

struct holders {
	struct schedule *schedule;
	uint64_t incarnation[ENTRIES]; /* to declare lost, 0: none */
};

/*
 * Notes an entry that holds claims though it, or the incarnation that
 * opened them, is gone.
 */
static void
look_at_holder(void *ctx, struct str name, uint64_t incarnation, uint64_t open)
{
	struct holders *holders = ctx;
	int i = name.data[1] - '0';
	const struct entry *entry = &holders->schedule->entries[i];

	(void)open;
	if (!entry->registered)
		holders->incarnation[i] = entry->known_incarnation;
	else if (incarnation < entry->known_incarnation)
		holders->incarnation[i] = entry->known_incarnation - 1;
}

/*
 * Renews the leases of entries that are heard, and declares lost those that
 * are not, or that have come back as a new incarnation.
 */
void
control_check(struct schedule *s)
{
	struct holders holders = {.schedule = s};

	if (!s->leader_up)
		return;
	for (int i = 0; i < ENTRIES; i++) {
		struct entry *entry = &s->entries[i];

		if (entry->up && !entry->cut && entry->thaw_us <= s->now_us) {
			if (entry->incarnation != entry->known_incarnation)
				declare_lost(s, i, entry->incarnation - 1);
			entry->known_incarnation = entry->incarnation;
			entry->heard_us = s->now_us;
			entry->registered = true;
		} else if (entry->registered &&
		    s->now_us - entry->heard_us > LEASE_US) {
			declare_lost(s, i, entry->known_incarnation);
			entry->registered = false;
		}
	}
	claim_ledger_for_each_holder(s->ledger, look_at_holder, &holders);
	for (int i = 0; i < ENTRIES; i++)
		if (holders.incarnation[i] > 0)
			declare_lost(s, i, holders.incarnation[i]);
}

/*
 * A new leader stands on what was saved.
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
		s->entries[i].heard_us = s->now_us;
}
