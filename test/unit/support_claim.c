#include "support_claim.h"

#include <string.h>

#include "base/memory.h"
#include "support_claim_defs.h"
#include <urcu/compiler.h>

struct event *
schedule_push(struct schedule *s, enum event_kind kind, uint64_t delay_us)
{
	struct event *event = mem_calloc(1, sizeof(*event));

	event->kind = kind;
	event->tap = -1;
	event->run = -1;
	heap_node_init(&event->node);
	heap_set(&s->events, &event->node, (double)(s->now_us + delay_us));
	return event;
}

bool
schedule_chance(struct schedule *s, unsigned percent)
{
	return random_below(&s->random, 100) < percent;
}

uint64_t
schedule_between(struct schedule *s, uint64_t low_us, uint64_t high_us)
{
	return low_us + random_below(&s->random, high_us - low_us + 1);
}

static void
add_tap(struct schedule *s, int key, char body, uint64_t delay_us)
{
	struct tap *tap = &s->taps[s->tap_count];

	if (s->tap_count == TAPS_MAX || s->taps_of_key[key] == TAPS_OF_KEY ||
	    s->now_us + delay_us > TAPS_END_US)
		return;
	s->taps_of_key[key]++;
	*tap = (struct tap){.key = key,
	    .body = body,
	    .entry = (int)random_below(&s->random, ENTRIES)};
	schedule_push(s, EVENT_TAP, delay_us)->tap = s->tap_count++;
}

/*
 * The caller of a tap sends the same request again.
 */
void
schedule_resend(struct schedule *s, int tap, uint64_t delay_us)
{
	add_tap(s, s->taps[tap].key, s->taps[tap].body, delay_us);
}

/*
 * Draws a fault and the end of it.
 */
static void
add_fault(struct schedule *s, enum event_kind begin, enum event_kind end,
    int number, uint64_t longest_us)
{
	uint64_t at_us = schedule_between(s, 0, FAULTS_END_US - US_PER_S);
	uint64_t for_us = schedule_between(s, 10 * US_PER_MS, longest_us);
	struct event *event;

	if (at_us + for_us > FAULTS_END_US)
		for_us = FAULTS_END_US - at_us;
	event = schedule_push(s, begin, at_us);
	event->entry = number;
	if (begin == EVENT_FREEZE) {
		event->number = (int)for_us;
		return;
	}
	schedule_push(s, end, at_us + for_us)->entry = number;
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
			    s, EVENT_FREEZE, EVENT_THAW, entry, 10 * US_PER_S);
			break;
		case 2:
			add_fault(
			    s, EVENT_CUT, EVENT_HEAL, entry, 10 * US_PER_S);
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
		uint64_t at_us = schedule_between(s, 0, 15 * US_PER_S);

		add_tap(s, key, 'a', at_us);
		if (schedule_chance(s, 60))
			add_tap(s, key, 'a',
			    at_us + schedule_between(s, 0, 400 * US_PER_MS));
		if (schedule_chance(s, 30))
			add_tap(s, key, 'a',
			    at_us + schedule_between(s, 0, 20 * US_PER_S));
		if (schedule_chance(s, 20))
			add_tap(s, key, 'b',
			    at_us + schedule_between(s, 0, 5 * US_PER_S));
	}
}

static void
freeze(struct schedule *s, const struct event *event)
{
	struct entry *entry = &s->entries[event->entry];

	s->totals->freezes++;
	entry->thaw_us = s->now_us + (uint64_t)event->number;
}

/*
 * Takes a fault or its end; false when the event is none.
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
	case EVENT_FREEZE:
		freeze(s, event);
		return true;
	case EVENT_CUT:
		s->totals->cuts++;
		s->entries[event->entry].cut = true;
		return true;
	case EVENT_HEAL:
		s->entries[event->entry].cut = false;
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
check_event(struct schedule *s)
{
	control_check(s);
	if (s->now_us + CHECK_US < END_US)
		schedule_push(s, EVENT_CHECK, CHECK_US);
}

/*
 * Hands an event to its entry, once that is not frozen.
 */
static void
to_entry(struct schedule *s, const struct event *event)
{
	int number = event->tap >= 0 ? s->taps[event->tap].entry : event->entry;
	const struct entry *entry = &s->entries[number];

	if (entry->up && entry->thaw_us > s->now_us) {
		struct event *later =
		    schedule_push(s, event->kind, entry->thaw_us - s->now_us);
		struct heap_node node = later->node;

		*later = *event;
		later->node = node;
		return;
	}
	if (event->kind == EVENT_TAP)
		entry_tap(s, event->tap);
	else if (entry->up)
		entry_event(s, event);
}

static void
take_event(struct schedule *s, const struct event *event)
{
	if (fault_event(s, event) || target_event(s, event))
		return;
	if (event->kind == EVENT_CHECK)
		check_event(s);
	else if (event->kind == EVENT_PROPOSAL)
		control_proposal(s, event);
	else
		to_entry(s, event);
}

static void
begin(struct schedule *s, uint64_t seed, enum claim_mode mode,
    struct claim_totals *totals)
{
	memset(s, 0, sizeof(*s));
	s->mode = mode;
	s->totals = totals;
	random_seed(&s->random, seed);
	s->leader_up = true;
	s->ledger = claim_ledger_new();
	s->claims_max = schedule_chance(s, 10) ? KEYS / 2 : KEYS;
	for (int i = 0; i < ENTRIES; i++)
		s->entries[i] = (struct entry){.up = true,
		    .registered = true,
		    .incarnation = 1,
		    .known_incarnation = 1,
		    .memory =
			mode == CLAIM_MODE_LOCAL ? claim_ledger_new() : NULL};
	for (int i = 0; i < TARGETS; i++)
		s->targets[i].up = true;
	for (int i = 0; i < KEYS; i++)
		s->told_run[i] = -1;
	add_callers(s);
	add_faults(s);
	schedule_push(s, EVENT_CHECK, CHECK_US);
}

/*
 * Looks at what stands at the end: each key's runs, and whether the ledger
 * still knows those that ran.
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
		int tap = 0;

		s->totals->runs += (uint64_t)runs[key];
		if (runs[key] > 1)
			s->totals->run_twice++;
		if (runs[key] == 0 || s->mode != CLAIM_MODE_CLAIMED)
			continue;
		while (s->taps[tap].key != key)
			tap++;
		probe = control_open_of(s, tap);
		probe.holder.attempt = TAPS_MAX;
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
finish(struct schedule *s)
{
	claim_ledger_for_each_holder(
	    s->ledger, count_open, &s->totals->orphans);
	check_keys(s);
	(void)claim_ledger_end_entry_claims(
	    s->ledger, str_from("none"), 1, 2 * END_US + HOUR_US, NULL, NULL);
	claim_ledger_for_each_holder(s->ledger, count_open, &s->totals->stuck);
	for (int i = 0; i < s->tap_count; i++)
		if (s->taps[i].alive && s->taps[i].caller_there)
			s->totals->silent++;
	claim_ledger_free(s->ledger);
	for (int i = 0; i < ENTRIES; i++)
		claim_ledger_free(s->entries[i].memory);
	heap_free(&s->events);
}

/*
 * Plays a schedule to its end; equal seeds give equal callers and faults.
 */
void
claim_schedule_run(
    uint64_t seed, enum claim_mode mode, struct claim_totals *totals)
{
	static _Thread_local struct schedule schedule;
	struct schedule *s = &schedule;
	struct heap_node *first;

	begin(s, seed, mode, totals);
	while ((first = heap_first(&s->events)) != NULL) {
		struct event *event =
		    caa_container_of(first, struct event, node);

		s->now_us = (uint64_t)first->key;
		heap_remove(&s->events, first);
		if (s->now_us < END_US)
			take_event(s, event);
		mem_free(event);
	}
	totals->schedules++;
	finish(s);
}
