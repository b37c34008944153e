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
schedule_timer(struct schedule *s, int number)
{
	struct submission *submission = &s->submissions[number];
	uint64_t due_us = submission->attempt.next_us;

	if (due_us == UINT64_MAX || due_us == submission->timer_us)
		return;
	submission->timer_us = due_us;
	schedule_event(
	    s, EVENT_TIMER, due_us > s->now_us ? due_us - s->now_us : 0)
	    ->submission = number;
}

/*
 * Counts a submission that gets "not run" as its reply although its request
 * has run.
 */
static void
check_not_run(struct schedule *s, const struct submission *submission)
{
	for (int i = 0; i < s->run_count; i++) {
		if (s->runs[i].key != submission->key ||
		    s->runs[i].body != submission->body)
			continue;
		s->totals->ran_despite_not_run++;
		return;
	}
}

static void
check_answer(struct schedule *s, const struct submission *submission, int run)
{
	if (run < 0 || s->runs[run].key != submission->key ||
	    s->runs[run].body != submission->body ||
	    (s->replied_run[submission->key] >= 0 &&
		s->replied_run[submission->key] != run))
		s->totals->wrong_answers++;
	s->replied_run[submission->key] = run;
}

static void
reply(struct schedule *s, int number, const struct claim_step *step, int run)
{
	struct submission *submission = &s->submissions[number];

	if (step->reply == CLAIM_REPLY_NONE || !submission->caller_connected)
		return;
	submission->caller_connected = false;
	if (step->reply != CLAIM_REPLY_REFUSAL) {
		s->totals->answer_replies++;
		check_answer(s, submission, run);
		return;
	}
	if (step->outcome == REFUSAL_NOT_RUN) {
		s->totals->not_run_replies++;
		submission->replied_not_run = true;
		check_not_run(s, submission);
	} else {
		s->totals->unknown_replies++;
	}
	if (schedule_draw_percent(s, 60))
		schedule_resubmit(
		    s, number, schedule_draw_between(s, 0, 3 * US_PER_S));
}

static void
send_reply(struct schedule *s, int submission, int send_number,
    enum reply reply, int run)
{
	struct event *event =
	    schedule_event(s, EVENT_REPLY, schedule_draw_between(s, 200, 3000));

	event->submission = submission;
	event->number = send_number;
	event->reply = reply;
	event->run = run;
}

/*
 * Sends the call of a submission to a random target.  The connection may be
 * refused, or break before or after the last byte.
 */
static void
send_call(struct schedule *s, int number)
{
	struct submission *submission = &s->submissions[number];
	int target = (int)random_below(&s->random, TARGETS);
	struct event *event;

	submission->sends++;
	if (!s->targets[target].up) {
		send_reply(s, number, submission->sends, REPLY_NOT_SENT, -1);
		return;
	}
	if (s->now_us < FAULTS_END_US && schedule_draw_percent(s, 4))
		send_reply(s, number, submission->sends, REPLY_BROKEN, -1);
	if (schedule_draw_percent(s, 2))
		return;
	event = schedule_event(
	    s, EVENT_ARRIVAL, schedule_draw_between(s, 200, 3000));
	event->submission = number;
	event->entry = target;
	event->number = submission->sends;
}

static void
carry_out_step(
    struct schedule *s, int number, const struct claim_step *first, int run)
{
	struct submission *submission = &s->submissions[number];
	struct claim_step step = *first;

	if (step.send &&
	    claim_attempt_begin_send(&submission->attempt, s->now_us, &step))
		send_call(s, number);
	reply(s, number, &step, run);
	if (step.propose_open)
		control_propose(s, number, false);
	if (step.propose_end)
		control_propose(s, number, true);
	schedule_timer(s, number);
}

/*
 * Handles the arrival of a submission at its entry.
 */
void
entry_submit(struct schedule *s, int number)
{
	struct submission *submission = &s->submissions[number];
	struct entry *entry = &s->entries[submission->entry];
	struct claim_attempt_params params = attempt_params(s);
	struct claim_step step;

	submission->caller_connected = true;
	if (!entry->up) {
		submission->caller_connected = false;
		schedule_resubmit(
		    s, number, schedule_draw_between(s, 1000, 500 * US_PER_MS));
		return;
	}
	s->totals->submissions++;
	submission->alive = true;
	submission->incarnation = entry->incarnation;
	submission->answered_run = -1;
	step = claim_attempt_start(&submission->attempt, &params, s->now_us);
	carry_out_step(s, number, &step, -1);
	schedule_event(s, EVENT_CALLER_TIMEOUT, DEADLINE_US + US_PER_S)
	    ->submission = number;
}

static struct claim_step
handle_reply(struct schedule *s, struct submission *submission,
    const struct event *event)
{
	static const enum retry_failure failures[] = {
	    [REPLY_SHED] = RETRY_SHED,
	    [REPLY_BROKEN] = RETRY_BROKEN,
	    [REPLY_NOT_SENT] = RETRY_NOT_SENT,
	};
	struct claim_attempt *attempt = &submission->attempt;

	if (event->number != submission->sends)
		return (struct claim_step){0};
	if (event->reply == REPLY_ANSWER) {
		submission->answered_run = event->run;
		return claim_attempt_on_answer(attempt, s->now_us);
	}
	if (event->reply != REPLY_BROKEN && submission->sends < SENDS_MAX) {
		claim_attempt_send_not_started(attempt);
		return (struct claim_step){.send = true};
	}
	return claim_attempt_on_failure(
	    attempt, failures[event->reply], REFUSAL_TARGET_FAILED, s->now_us);
}

static void
notify_key_released(struct schedule *s, int entry, int key)
{
	for (int i = 0; i < s->submission_count; i++) {
		struct submission *submission = &s->submissions[i];
		struct claim_step step;

		if (!submission->alive || submission->entry != entry ||
		    submission->key != key)
			continue;
		step = claim_attempt_on_key_released(
		    &submission->attempt, s->now_us);
		carry_out_step(s, i, &step, -1);
	}
}

/*
 * Handles an event at an entry that is up and not paused.
 */
void
entry_event(struct schedule *s, const struct event *event)
{
	struct claim_step step = {0};
	struct submission *submission;
	int run = event->run;

	if (event->kind == EVENT_KEY_RELEASED) {
		notify_key_released(s, event->entry, event->number);
		return;
	}
	submission = &s->submissions[event->submission];
	if (!submission->alive)
		return;
	switch (event->kind) {
	case EVENT_RESULT:
		if (event->is_end)
			claim_attempt_on_end_result(
			    &submission->attempt, s->now_us);
		else
			step = claim_attempt_on_open_result(
			    &submission->attempt, event->verdict, s->now_us);
		break;
	case EVENT_TIMER:
		step = claim_attempt_on_timer(&submission->attempt, s->now_us);
		break;
	case EVENT_REPLY:
		step = handle_reply(s, submission, event);
		break;
	case EVENT_CALLER_TIMEOUT:
		if (!submission->caller_connected)
			return;
		submission->caller_connected = false;
		step = claim_attempt_on_caller_disconnect(
		    &submission->attempt, s->now_us);
		schedule_resubmit(s, event->submission, US_PER_MS);
		break;
	default:
		return;
	}
	carry_out_step(s, event->submission, &step, run);
}

/*
 * Crashes an entry: its state is lost and its callers lose their connections.
 */
void
entry_crash(struct schedule *s, int number)
{
	struct entry *entry = &s->entries[number];

	entry->up = false;
	entry->incarnation++;
	if (entry->local_ledger != NULL) {
		claim_ledger_free(entry->local_ledger);
		entry->local_ledger = claim_ledger_new();
	}
	for (int i = 0; i < s->submission_count; i++) {
		struct submission *submission = &s->submissions[i];

		if (!submission->alive || submission->entry != number)
			continue;
		submission->alive = false;
		if (!submission->caller_connected)
			continue;
		submission->caller_connected = false;
		schedule_resubmit(
		    s, i, schedule_draw_between(s, US_PER_MS, 2 * US_PER_S));
	}
}

static void
start_run(struct schedule *s, const struct event *event)
{
	const struct submission *submission =
	    &s->submissions[event->submission];
	struct event *done;

	if (submission->replied_not_run)
		s->totals->ran_despite_not_run++;
	if (!submission->alive ||
	    submission->attempt.state != CLAIM_ATTEMPT_SENT)
		s->totals->late_runs++;
	if (s->run_count == RUNS_MAX)
		return;
	s->runs[s->run_count] = (struct run){.key = submission->key,
	    .submission = event->submission,
	    .body = submission->body};
	done = schedule_event(s, EVENT_DONE,
	    schedule_draw_percent(s, 5)
		? schedule_draw_between(s, US_PER_S, 8 * US_PER_S)
		: schedule_draw_between(s, US_PER_MS, 50 * US_PER_MS));
	done->submission = event->submission;
	done->entry = event->entry;
	done->number = event->number;
	done->run = s->run_count++;
	done->is_end = event->is_end;
	done->ending = event->ending;
}

/*
 * Handles an event at a target; returns false for other events.  A call that
 * arrives is shed, or starts now or later, regardless of any reply that its
 * caller has had in the meantime.
 */
bool
target_event(struct schedule *s, const struct event *event)
{
	const struct target *target = &s->targets[event->entry];
	struct event *start;

	switch (event->kind) {
	case EVENT_ARRIVAL:
		if (!target->up) {
			send_reply(s, event->submission, event->number,
			    REPLY_BROKEN, -1);
			return true;
		}
		if (schedule_draw_percent(s, 15)) {
			send_reply(s, event->submission, event->number,
			    REPLY_SHED, -1);
			return true;
		}
		start = schedule_event(s, EVENT_START,
		    schedule_draw_percent(s, 10)
			? schedule_draw_between(s, US_PER_MS, 10 * US_PER_S)
			: 0);
		start->submission = event->submission;
		start->entry = event->entry;
		start->number = event->number;
		start->run = target->epoch;
		return true;
	case EVENT_START:
		if (event->run == target->epoch)
			start_run(s, event);
		else
			send_reply(s, event->submission, event->number,
			    REPLY_BROKEN, -1);
		return true;
	case EVENT_DONE:
		send_reply(s, event->submission, event->number,
		    target->up ? REPLY_ANSWER : REPLY_BROKEN, event->run);
		return true;
	default:
		return false;
	}
}
