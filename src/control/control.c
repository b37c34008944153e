#include "control/control.h"

#include <unistd.h>

#include <zmq.h>

#include "base/clock.h"
#include "base/logger.h"
#include "control/control_internal.h"

enum {
	RECEIVE_MAX_MESSAGES = 1024,
	POLL_TIMEOUT_MS = 10
};

static const uint64_t leader_tasks_interval_us = 100 * US_PER_MS;

/* Several round trips to a majority; operators resend after it. */
static const uint64_t stop_jobs_us = 500 * US_PER_MS;

/*
 * Ends the job of a pending command, since this instance can no longer tell
 * whether the command will be committed.  Entries resend by themselves.
 */
static gboolean
fail_pending(void *key ATTR_UNUSED, void *value, void *ctx ATTR_UNUSED)
{
	struct pending_command *pending = value;

	if (pending->job != NULL)
		control_jobs_leader_lost(pending->job);
	return TRUE;
}

/*
 * Handles a change of leadership.  A new leader starts its tasks.  A former
 * leader fails pending jobs and clears the table of entries; the next leader
 * waits until their leases have expired.
 */
static void
update_role(struct control *control)
{
	bool leading = control->info.role == REPLICA_LEADER;

	if (leading == control->leading)
		return;
	control->leading = leading;
	counter_set(control->is_leader, leading);
	if (leading) {
		control_leader_tasks_start(control, clock_monotonic_us());
		return;
	}
	g_hash_table_foreach_remove(control->pending, fail_pending, NULL);
	g_hash_table_remove_all(control->claim_waiters);
	entry_table_reset(
	    control->entries, &(struct share_params){0}, false, 0);
}

/*
 * Dispatches a message to the replica or to the handlers of entries.
 */
static void
dispatch_message(struct control *control, const struct transport_peer *from,
    Wire__Envelope *envelope)
{
	uint64_t now = clock_monotonic_us();

	if (envelope->body_case != WIRE__ENVELOPE__BODY_REPLICA) {
		control_entries_message(control, from, envelope, now);
		return;
	}
	control_replica_message(control, from,
	    str_of((const char *)envelope->replica.data, envelope->replica.len),
	    now);
}

/*
 * Processes received messages, at most RECEIVE_MAX_MESSAGES, so that timers and
 * jobs are not starved.
 */
static void
receive_messages(struct control *control)
{
	for (int i = 0; i < RECEIVE_MAX_MESSAGES; i++) {
		struct transport_peer from;
		Wire__Envelope *envelope = NULL;
		enum status status =
		    transport_receive(control->router, &from, &envelope);

		if (status == STATUS_BUSY)
			return;
		if (status != STATUS_OK) {
			counter_add(control->rejected_messages, 1);
			continue;
		}
		dispatch_message(control, &from, envelope);
		wire__envelope__free_unpacked(envelope, NULL);
	}
}

/*
 * Removes the oldest job from the queue and returns it with its reference; NULL
 * if there is none.  Safe from any thread.
 */
struct job *
control_next_job(struct control *control)
{
	struct job *job;

	pthread_mutex_lock(&control->lock);
	job = g_queue_pop_head(&control->jobs);
	pthread_mutex_unlock(&control->lock);
	return job;
}

/*
 * Clears the wake-up and runs all queued jobs.  A job that waits for a result
 * or for entries holds additional references.  During a stop no job is begun.
 */
static void
run_jobs(struct control *control)
{
	uint64_t scratch;
	struct job *job;

	if (read(control->wake_fd, &scratch, sizeof(scratch)) < 0)
		return;
	while ((job = control_next_job(control)) != NULL) {
		if (atomic_load(&control->stopping))
			control_jobs_stopping(job);
		else
			control_jobs_run(control, job, clock_monotonic_us());
		job_put(job);
	}
}

/*
 * Waits at most POLL_TIMEOUT_MS for a message or a job and processes what
 * arrived.
 */
static void
poll_once(struct control *control)
{
	zmq_pollitem_t items[] = {
	    {.socket = control->router, .events = ZMQ_POLLIN},
	    {.fd = control->wake_fd, .events = ZMQ_POLLIN},
	};

	if (zmq_poll(items, 2, POLL_TIMEOUT_MS) <= 0)
		return;
	if (items[0].revents != 0)
		receive_messages(control);
	if (items[1].revents != 0)
		run_jobs(control);
}

/*
 * Runs one round of the loop: messages and jobs, the replica's timers and log,
 * and on a leader the distribution of the view in each round and its other
 * tasks every leader_tasks_interval_us.
 */
static void
run_once(struct control *control)
{
	uint64_t now;

	poll_once(control);
	now = clock_monotonic_us();
	replica_tick(control->replica, now);
	replica_flush(control->replica, clock_monotonic_us());
	replica_describe(control->replica, &control->info);
	update_role(control);
	now = clock_monotonic_us();
	control_jobs_query_expire(control, now);
	if (!control->leading)
		return;
	control_view_push(control, now);
	if (now < control->leader_tasks_due_us)
		return;
	control->leader_tasks_due_us = now + leader_tasks_interval_us;
	control_leader_tasks_run(control, now);
}

/*
 * Returns whether an operator waits for the result of a command or for the
 * answer of an entry.
 */
static bool
has_waiting_jobs(const struct control *control)
{
	GHashTableIter iter;
	void *value;

	if (g_hash_table_size(control->queries) > 0)
		return true;
	g_hash_table_iter_init(&iter, control->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const struct pending_command *)value)->job != NULL)
			return true;
	}
	return false;
}

static gboolean
end_pending(void *key ATTR_UNUSED, void *value, void *ctx ATTR_UNUSED)
{
	struct pending_command *pending = value;

	if (pending->job != NULL)
		control_jobs_unknown(pending->job);
	return TRUE;
}

/*
 * Ends the job of a query.  A job may have several queries but ends once, since
 * its thread reads the response from then on.
 */
static gboolean
end_query(void *key ATTR_UNUSED, void *value, void *ctx ATTR_UNUSED)
{
	struct job *job = ((struct pending_query *)value)->job;

	if (job->waiting > 0) {
		job->waiting = 0;
		control_jobs_stopping(job);
	}
	return TRUE;
}

/*
 * Ends all jobs that are queued or wait.  Jobs submitted from now on are ended
 * by control_submit().
 */
static void
end_jobs(struct control *control)
{
	struct job *job;

	pthread_mutex_lock(&control->lock);
	control->ended = true;
	pthread_mutex_unlock(&control->lock);
	while ((job = control_next_job(control)) != NULL) {
		control_jobs_stopping(job);
		job_put(job);
	}
	g_hash_table_foreach_remove(control->pending, end_pending, NULL);
	g_hash_table_foreach_remove(control->queries, end_query, NULL);
}

/*
 * Runs the loop on the calling thread until control_stop() or until the replica
 * stopped because of a storage error, which is logged.  After control_stop()
 * jobs that have begun get stop_jobs_us for their results.
 */
void
control_run(struct control *control)
{
	uint64_t until_us = 0;

	while (!atomic_load(&control->stopping) ||
	    (has_waiting_jobs(control) &&
		(until_us == 0 || clock_monotonic_us() < until_us))) {
		if (until_us == 0 && atomic_load(&control->stopping))
			until_us = clock_monotonic_us() + stop_jobs_us;
		run_once(control);
		if (control->info.role == REPLICA_STOPPED) {
			log_error("stopped", "instance=%s reason=\"%s\"",
			    control->settings.instance, status_message());
			break;
		}
	}
	end_jobs(control);
}

/*
 * Wakes the loop of a struct control from its wait.  Safe from any thread.
 */
void
control_wake(void *ctx)
{
	const struct control *control = ctx;
	uint64_t one = 1;
	ssize_t n = write(control->wake_fd, &one, sizeof(one));

	(void)n; /* a full eventfd also wakes the loop */
}

/*
 * Makes control_run() return once jobs that have begun have their results, or
 * after stop_jobs_us.  Safe from any thread.
 */
void
control_stop(struct control *control)
{
	atomic_store(&control->stopping, true);
	control_wake(control);
}

/*
 * Queues a job with its own reference, or ends it if the loop has ended.  Safe
 * from any thread.
 */
void
control_submit(struct control *control, struct job *job)
{
	bool ended;

	pthread_mutex_lock(&control->lock);
	ended = control->ended;
	if (!ended) {
		job_get(job);
		g_queue_push_tail(&control->jobs, job);
	}
	pthread_mutex_unlock(&control->lock);
	if (ended)
		control_jobs_stopping(job);
	else
		control_wake(control);
}
