#include "support_claim_defs.h"

static struct claim_attempt_params
attempt_params(const struct schedule *s)
{
	return (struct claim_attempt_params){
	    .deadline_us = s->now_us + DEADLINE_US,
	    .resend_us = 50 * US_PER_MS,
	    .poll_us = 500 * US_PER_MS,
	};
}

static void
arm(struct schedule *s, int number)
{
	struct tap *tap = &s->taps[number];
	uint64_t due_us = tap->attempt.next_us;

	if (due_us == UINT64_MAX || due_us == tap->timer_us)
		return;
	tap->timer_us = due_us;
	schedule_push(
	    s, EVENT_TIMER, due_us > s->now_us ? due_us - s->now_us : 0)
	    ->tap = number;
}

/*
 * Counts a tap that was told "not run" though its key has run by now.
 */
static void
check_not_run(struct schedule *s, const struct tap *tap)
{
	for (int i = 0; i < s->run_count; i++) {
		if (s->runs[i].key != tap->key || s->runs[i].body != tap->body)
			continue;
		s->totals->not_run_that_ran++;
		return;
	}
}

static void
check_answer(struct schedule *s, const struct tap *tap, int run)
{
	if (run < 0 || s->runs[run].key != tap->key ||
	    s->runs[run].body != tap->body ||
	    (s->told_run[tap->key] >= 0 && s->told_run[tap->key] != run))
		s->totals->wrong_answers++;
	s->told_run[tap->key] = run;
}

static void
reply(struct schedule *s, int number, const struct claim_step *step, int run)
{
	struct tap *tap = &s->taps[number];

	if (step->reply == CLAIM_REPLY_NONE || !tap->caller_there)
		return;
	tap->caller_there = false;
	if (step->reply != CLAIM_REPLY_REFUSAL) {
		s->totals->told_answer++;
		check_answer(s, tap, run);
		return;
	}
	if (step->outcome == REFUSAL_NOT_RUN) {
		s->totals->told_not_run++;
		tap->told_not_run = true;
		check_not_run(s, tap);
	} else {
		s->totals->told_unknown++;
	}
	if (schedule_chance(s, 60))
		schedule_resend(
		    s, number, schedule_between(s, 0, 3 * US_PER_S));
}

static void
send_reply(struct schedule *s, int tap, int sending, enum reply reply, int run)
{
	struct event *event =
	    schedule_push(s, EVENT_REPLY, schedule_between(s, 200, 3000));

	event->tap = tap;
	event->number = sending;
	event->reply = reply;
	event->run = run;
}

/*
 * Sends a tap's call to some target: it may be refused the connection, or
 * break before or behind the last byte.
 */
static void
send_call(struct schedule *s, int number)
{
	struct tap *tap = &s->taps[number];
	int target = (int)random_below(&s->random, TARGETS);
	struct event *event;

	tap->sendings++;
	if (!s->targets[target].up) {
		send_reply(s, number, tap->sendings, REPLY_NOT_SENT, -1);
		return;
	}
	if (s->now_us < FAULTS_END_US && schedule_chance(s, 4))
		send_reply(s, number, tap->sendings, REPLY_BROKEN, -1);
	if (schedule_chance(s, 2))
		return;
	event = schedule_push(s, EVENT_ARRIVAL, schedule_between(s, 200, 3000));
	event->tap = number;
	event->entry = target;
	event->number = tap->sendings;
}

static void
take_step(
    struct schedule *s, int number, const struct claim_step *first, int run)
{
	struct tap *tap = &s->taps[number];
	struct claim_step step = *first;

	if (step.send &&
	    claim_attempt_begin_send(&tap->attempt, s->now_us, &step))
		send_call(s, number);
	reply(s, number, &step, run);
	if (step.propose_open)
		control_propose(s, number, false);
	if (step.propose_end)
		control_propose(s, number, true);
	arm(s, number);
}

/*
 * A tap arrives at its entry.
 */
void
entry_tap(struct schedule *s, int number)
{
	struct tap *tap = &s->taps[number];
	struct entry *entry = &s->entries[tap->entry];
	struct claim_attempt_params params = attempt_params(s);
	struct claim_step step;

	tap->caller_there = true;
	if (!entry->up) {
		tap->caller_there = false;
		schedule_resend(
		    s, number, schedule_between(s, 1000, 500 * US_PER_MS));
		return;
	}
	s->totals->taps++;
	tap->alive = true;
	tap->incarnation = entry->incarnation;
	tap->answered_run = -1;
	step = claim_attempt_start(&tap->attempt, &params, s->now_us);
	take_step(s, number, &step, -1);
	schedule_push(s, EVENT_PATIENCE, DEADLINE_US + US_PER_S)->tap = number;
}

static struct claim_step
take_reply(struct schedule *s, struct tap *tap, const struct event *event)
{
	static const enum retry_failure failures[] = {
	    [REPLY_SHED] = RETRY_SHED,
	    [REPLY_BROKEN] = RETRY_BROKEN,
	    [REPLY_NOT_SENT] = RETRY_NOT_SENT,
	};
	struct claim_attempt *attempt = &tap->attempt;

	if (event->number != tap->sendings)
		return (struct claim_step){0};
	if (event->reply == REPLY_ANSWER) {
		tap->answered_run = event->run;
		return claim_attempt_on_answer(attempt, s->now_us);
	}
	if (event->reply != REPLY_BROKEN && tap->sendings < SENDINGS_MAX) {
		claim_attempt_send_not_started(attempt);
		return (struct claim_step){.send = true};
	}
	return claim_attempt_on_failure(
	    attempt, failures[event->reply], REFUSAL_TARGET_FAILED, s->now_us);
}

static void
free_again(struct schedule *s, int entry, int key)
{
	for (int i = 0; i < s->tap_count; i++) {
		struct tap *tap = &s->taps[i];
		struct claim_step step;

		if (!tap->alive || tap->entry != entry || tap->key != key)
			continue;
		step = claim_attempt_on_key_released(&tap->attempt, s->now_us);
		take_step(s, i, &step, -1);
	}
}

/*
 * Takes an event of a tap at an entry that is up and not frozen.
 */
void
entry_event(struct schedule *s, const struct event *event)
{
	struct claim_step step = {0};
	struct tap *tap;
	int run = event->run;

	if (event->kind == EVENT_FREE_AGAIN) {
		free_again(s, event->entry, event->number);
		return;
	}
	tap = &s->taps[event->tap];
	if (!tap->alive)
		return;
	switch (event->kind) {
	case EVENT_RESULT:
		if (event->is_end)
			claim_attempt_on_end_result(&tap->attempt, s->now_us);
		else
			step = claim_attempt_on_open_result(
			    &tap->attempt, event->verdict, s->now_us);
		break;
	case EVENT_TIMER:
		step = claim_attempt_on_timer(&tap->attempt, s->now_us);
		break;
	case EVENT_REPLY:
		step = take_reply(s, tap, event);
		break;
	case EVENT_PATIENCE:
		if (!tap->caller_there)
			return;
		tap->caller_there = false;
		step = claim_attempt_on_caller_disconnect(
		    &tap->attempt, s->now_us);
		schedule_resend(s, event->tap, US_PER_MS);
		break;
	default:
		return;
	}
	take_step(s, event->tap, &step, run);
}

/*
 * All that an entry knew is gone; its callers see their connections break.
 */
void
entry_crash(struct schedule *s, int number)
{
	struct entry *entry = &s->entries[number];

	entry->up = false;
	entry->incarnation++;
	if (entry->memory != NULL) {
		claim_ledger_free(entry->memory);
		entry->memory = claim_ledger_new();
	}
	for (int i = 0; i < s->tap_count; i++) {
		struct tap *tap = &s->taps[i];

		if (!tap->alive || tap->entry != number)
			continue;
		tap->alive = false;
		if (!tap->caller_there)
			continue;
		tap->caller_there = false;
		schedule_resend(
		    s, i, schedule_between(s, US_PER_MS, 2 * US_PER_S));
	}
}

static void
start_run(struct schedule *s, const struct event *event)
{
	const struct tap *tap = &s->taps[event->tap];
	struct event *done;

	if (tap->told_not_run)
		s->totals->not_run_that_ran++;
	if (!tap->alive || tap->attempt.state != CLAIM_ATTEMPT_SENT)
		s->totals->late_runs++;
	if (s->run_count == RUNS_MAX)
		return;
	s->runs[s->run_count] =
	    (struct run){.key = tap->key, .tap = event->tap, .body = tap->body};
	done = schedule_push(s, EVENT_DONE,
	    schedule_chance(s, 5)
		? schedule_between(s, US_PER_S, 8 * US_PER_S)
		: schedule_between(s, US_PER_MS, 50 * US_PER_MS));
	done->tap = event->tap;
	done->entry = event->entry;
	done->number = event->number;
	done->run = s->run_count++;
	done->is_end = event->is_end;
	done->ending = event->ending;
}

/*
 * Takes an event at a target; false when it is none.  A call that arrives
 * is shed, or starts now or late, whatever its caller has been told since.
 */
bool
target_event(struct schedule *s, const struct event *event)
{
	const struct target *target = &s->targets[event->entry];
	struct event *start;

	switch (event->kind) {
	case EVENT_ARRIVAL:
		if (!target->up) {
			send_reply(
			    s, event->tap, event->number, REPLY_BROKEN, -1);
			return true;
		}
		if (schedule_chance(s, 15)) {
			send_reply(
			    s, event->tap, event->number, REPLY_SHED, -1);
			return true;
		}
		start = schedule_push(s, EVENT_START,
		    schedule_chance(s, 10)
			? schedule_between(s, US_PER_MS, 10 * US_PER_S)
			: 0);
		start->tap = event->tap;
		start->entry = event->entry;
		start->number = event->number;
		start->run = target->epoch;
		return true;
	case EVENT_START:
		if (event->run == target->epoch)
			start_run(s, event);
		else
			send_reply(
			    s, event->tap, event->number, REPLY_BROKEN, -1);
		return true;
	case EVENT_DONE:
		send_reply(s, event->tap, event->number,
		    target->up ? REPLY_ANSWER : REPLY_BROKEN, event->run);
		return true;
	default:
		return false;
	}
}
