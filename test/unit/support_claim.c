#include "support_claim.h"

#include <string.h>

#include "base/memory.h"
#include "support_claim_defs.h"
#include <urcu/compiler.h>

struct event *
schedule_event(struct schedule *s, enum event_kind kind, uint64_t delay_us)
{
	struct event *event = mem_calloc(1, sizeof(*event));

	event->kind = kind;
	event->submission = -1;
	event->run = -1;
	heap_node_init(&event->node);
	heap_set(&s->events, &event->node, (double)(s->now_us + delay_us));
	return event;
}

bool
schedule_draw_percent(struct schedule *s, unsigned percent)
{
	return random_below(&s->random, 100) < percent;
}

uint64_t
schedule_draw_between(struct schedule *s, uint64_t low_us, uint64_t high_us)
{
	return low_us + random_below(&s->random, high_us - low_us + 1);
}

static void
add_submission(struct schedule *s, int key, char body, uint64_t delay_us)
{
	struct submission *submission = &s->submissions[s->submission_count];

	if (s->submission_count == SUBMISSIONS_MAX ||
	    s->submissions_per_key[key] == SUBMISSIONS_PER_KEY_MAX ||
	    s->now_us + delay_us > SUBMISSIONS_END_US)
		return;
	s->submissions_per_key[key]++;
	*submission = (struct submission){.key = key,
	    .body = body,
	    .entry = (int)random_below(&s->random, ENTRIES)};
	schedule_event(s, EVENT_SUBMIT, delay_us)->submission =
	    s->submission_count++;
}

/*
 * Schedules a resend of a submission's request by its caller.
 */
void
schedule_resubmit(struct schedule *s, int submission, uint64_t delay_us)
{
	add_submission(s, s->submissions[submission].key,
	    s->submissions[submission].body, delay_us);
}

/*
 * Schedules a random fault and its end.
 */
static void
add_fault(struct schedule *s, enum event_kind schedule_init,
    enum event_kind end, int number, uint64_t longest_us)
{
	uint64_t at_us = schedule_draw_between(s, 0, FAULTS_END_US - US_PER_S);
	uint64_t for_us = schedule_draw_between(s, 10 * US_PER_MS, longest_us);
	struct event *event;

	if (at_us + for_us > FAULTS_END_US)
		for_us = FAULTS_END_US - at_us;
	event = schedule_event(s, schedule_init, at_us);
	event->entry = number;
	if (schedule_init == EVENT_PAUSE) {
		event->number = (int)for_us;
		return;
	}
	schedule_event(s, end, at_us + for_us)->entry = number;
}

static void
add_faults(struct schedule *s)
{
	unsigned count = 1 + (unsigned)random_below(&s->random, 5);

	for (unsigned i = 0; i < count; i++) {
		int entry = (int)random_below(&s->random, ENTRIES);

		switch (random_below(&s->random, 5)) {
		case 0:
			add_fault(
			    s, EVENT_CRASH, EVENT_RESTART, entry, 8 * US_PER_S);
			break;
		case 1:
			add_fault(
			    s, EVENT_PAUSE, EVENT_RESUME, entry, 10 * US_PER_S);
			break;
		case 2:
			add_fault(s, EVENT_PARTITION, EVENT_PARTITION_END,
			    entry, 10 * US_PER_S);
			break;
		case 3:
			add_fault(s, EVENT_LEADER_DOWN, EVENT_LEADER_UP, 0,
			    4 * US_PER_S);
			break;
		default:
			add_fault(s, EVENT_TARGET_DOWN, EVENT_TARGET_UP,
			    (int)random_below(&s->random, TARGETS),
			    5 * US_PER_S);
			break;
		}
	}
}

static void
add_callers(struct schedule *s)
{
	for (int key = 0; key < KEYS; key++) {
		uint64_t at_us = schedule_draw_between(s, 0, 15 * US_PER_S);

		add_submission(s, key, 'a', at_us);
		if (schedule_draw_percent(s, 60))
			add_submission(s, key, 'a',
			    at_us +
				schedule_draw_between(s, 0, 400 * US_PER_MS));
		if (schedule_draw_percent(s, 30))
			add_submission(s, key, 'a',
			    at_us + schedule_draw_between(s, 0, 20 * US_PER_S));
		if (schedule_draw_percent(s, 20))
			add_submission(s, key, 'b',
			    at_us + schedule_draw_between(s, 0, 5 * US_PER_S));
	}
}

static void
pause_entry(struct schedule *s, const struct event *event)
{
	struct entry *entry = &s->entries[event->entry];

	s->totals->pauses++;
	entry->resume_us = s->now_us + (uint64_t)event->number;
}

/*
 * Handles a fault or its end; returns false for other events.
 */
static bool
fault_event(struct schedule *s, const struct event *event)
{
	struct target *target = &s->targets[event->entry];

	switch (event->kind) {
	case EVENT_CRASH:
		s->totals->crashes++;
		entry_crash(s, event->entry);
		return true;
	case EVENT_RESTART:
		s->entries[event->entry].up = true;
		return true;
	case EVENT_PAUSE:
		pause_entry(s, event);
		return true;
	case EVENT_PARTITION:
		s->totals->partitions++;
		s->entries[event->entry].partitioned = true;
		return true;
	case EVENT_PARTITION_END:
		s->entries[event->entry].partitioned = false;
		return true;
	case EVENT_LEADER_DOWN:
		s->totals->leader_changes++;
		control_leader(s, false);
		return true;
	case EVENT_LEADER_UP:
		control_leader(s, true);
		return true;
	case EVENT_TARGET_DOWN:
		target->up = false;
		target->epoch++;
		return true;
	case EVENT_TARGET_UP:
		target->up = true;
		return true;
	default:
		return false;
	}
}

static void
lease_check_event(struct schedule *s)
{
	control_check(s);
	if (s->now_us + LEASE_CHECK_INTERVAL_US < SCHEDULE_END_US)
		schedule_event(s, EVENT_LEASE_CHECK, LEASE_CHECK_INTERVAL_US);
}

/*
 * Passes an event to its entry, delayed until the entry is not paused.
 */
static void
dispatch_to_entry(struct schedule *s, const struct event *event)
{
	int number = event->submission >= 0
	    ? s->submissions[event->submission].entry
	    : event->entry;
	const struct entry *entry = &s->entries[number];

	if (entry->up && entry->resume_us > s->now_us) {
		struct event *later = schedule_event(
		    s, event->kind, entry->resume_us - s->now_us);
		struct heap_node node = later->node;

		*later = *event;
		later->node = node;
		return;
	}
	if (event->kind == EVENT_SUBMIT)
		entry_submit(s, event->submission);
	else if (entry->up)
		entry_event(s, event);
}

static void
handle_event(struct schedule *s, const struct event *event)
{
	if (fault_event(s, event) || target_event(s, event))
		return;
	if (event->kind == EVENT_LEASE_CHECK)
		lease_check_event(s);
	else if (event->kind == EVENT_PROPOSAL)
		control_proposal(s, event);
	else
		dispatch_to_entry(s, event);
}

static void
schedule_init(struct schedule *s, uint64_t seed, enum claim_mode mode,
    struct claim_totals *totals)
{
	memset(s, 0, sizeof(*s));
	s->mode = mode;
	s->totals = totals;
	random_seed(&s->random, seed);
	s->leader_up = true;
	s->ledger = claim_ledger_new();
	s->claims_max = schedule_draw_percent(s, 10) ? KEYS / 2 : KEYS;
	for (int i = 0; i < ENTRIES; i++)
		s->entries[i] = (struct entry){.up = true,
		    .registered = true,
		    .incarnation = 1,
		    .registered_incarnation = 1,
		    .local_ledger =
			mode == CLAIM_MODE_LOCAL ? claim_ledger_new() : NULL};
	for (int i = 0; i < TARGETS; i++)
		s->targets[i].up = true;
	for (int i = 0; i < KEYS; i++)
		s->replied_run[i] = -1;
	add_callers(s);
	add_faults(s);
	schedule_event(s, EVENT_LEASE_CHECK, LEASE_CHECK_INTERVAL_US);
}

/*
 * Checks the final state: how often each key ran, and whether the ledger still
 * has a claim for each key that ran.
 */
static void
check_keys(struct schedule *s)
{
	int runs[KEYS] = {0};

	for (int i = 0; i < s->run_count; i++)
		runs[s->runs[i].key]++;
	for (int key = 0; key < KEYS; key++) {
		struct claim_open probe;
		struct claim_answer answer;
		int submission = 0;

		s->totals->runs += (uint64_t)runs[key];
		if (runs[key] > 1)
			s->totals->run_twice++;
		if (runs[key] == 0 || s->mode != CLAIM_MODE_CLAIMED)
			continue;
		while (s->submissions[submission].key != key)
			submission++;
		probe = control_open_of(s, submission);
		probe.holder.attempt = SUBMISSIONS_MAX;
		switch (claim_ledger_open(s->ledger, &probe, &answer)) {
		case CLAIM_VERDICT_GRANTED:
		case CLAIM_VERDICT_FULL:
			s->totals->claims_lost++;
			break;
		default:
			break;
		}
	}
}

static void
count_open(void *ctx, struct str entry, uint64_t incarnation, uint64_t open)
{
	uint64_t *count = ctx;

	(void)entry;
	(void)incarnation;
	*count += open;
}

static void
schedule_finish(struct schedule *s)
{
	claim_ledger_for_each_holder(
	    s->ledger, count_open, &s->totals->orphans);
	check_keys(s);
	(void)claim_ledger_end_entry_claims(s->ledger, str_from("none"), 1,
	    2 * SCHEDULE_END_US + HOUR_US, NULL, NULL);
	claim_ledger_for_each_holder(s->ledger, count_open, &s->totals->stuck);
	for (int i = 0; i < s->submission_count; i++)
		if (s->submissions[i].alive &&
		    s->submissions[i].caller_connected)
			s->totals->without_reply++;
	claim_ledger_free(s->ledger);
	for (int i = 0; i < ENTRIES; i++)
		claim_ledger_free(s->entries[i].local_ledger);
	heap_free(&s->events);
}

/*
 * Runs a schedule to its end.  Equal seeds give equal callers and faults.
 */
void
claim_schedule_run(
    uint64_t seed, enum claim_mode mode, struct claim_totals *totals)
{
	static _Thread_local struct schedule schedule;
	struct schedule *s = &schedule;
	struct heap_node *first;

	schedule_init(s, seed, mode, totals);
	while ((first = heap_first(&s->events)) != NULL) {
		struct event *event =
		    caa_container_of(first, struct event, node);

		s->now_us = (uint64_t)first->key;
		heap_remove(&s->events, first);
		if (s->now_us < SCHEDULE_END_US)
			handle_event(s, event);
		mem_free(event);
	}
	totals->schedules++;
	schedule_finish(s);
}
