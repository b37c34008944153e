#include "replica/storage_thread.h"

#include <pthread.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/memory.h"
#include "replica/storage_task.h"

enum {
	MESSAGE_BYTES = 512
};

struct storage_thread {
	struct replica_storage inner;
	struct storage_owner owner;
	pthread_t thread;
	pthread_mutex_t lock; /* of what follows */
	pthread_cond_t changed;
	struct storage_task_list tasks;
	bool closing;
	bool ended; /* a sync has, and sync_ended() has not said so yet */
	uint64_t began_us; /* when that sync was asked for */
	uint64_t took_us;
	enum status status; /* of the first call that failed */
	char message[MESSAGE_BYTES];
};

/*
 * Runs a task, unless an earlier one has failed.
 */
static void
run_task(struct storage_thread *t, const struct storage_task *task)
{
	enum status status;

	if (t->status == STATUS_OK) {
		pthread_mutex_unlock(&t->lock);
		status = storage_task_run(task, &t->inner);
		pthread_mutex_lock(&t->lock);
		t->status = status;
		if (status != STATUS_OK)
			snprintf(t->message, sizeof(t->message), "%s",
			    status_message());
	}
	if (task->kind != TASK_SYNC)
		return;
	t->ended = true;
	t->took_us = clock_monotonic_us() - t->began_us;
	t->owner.wake(t->owner.ctx);
}

static void *
run(void *ctx)
{
	struct storage_thread *t = ctx;
	struct storage_task *task;

	pthread_mutex_lock(&t->lock);
	while (!t->closing) {
		task = storage_task_take(&t->tasks);
		if (task == NULL) {
			pthread_cond_wait(&t->changed, &t->lock);
			continue;
		}
		run_task(t, task);
		storage_task_free(task);
	}
	pthread_mutex_unlock(&t->lock);
	return NULL;
}

static enum status
thread_load(void *ctx, const struct storage_loader *loader)
{
	struct storage_thread *t = ctx;

	return t->inner.load(t->inner.ctx, loader);
}

/*
 * Defers a call to the thread, which starts with the next sync.
 */
static enum status
defer(struct storage_thread *t, const struct storage_task *task)
{
	pthread_mutex_lock(&t->lock);
	storage_task_add(&t->tasks, task);
	if (task->kind == TASK_SYNC) {
		t->began_us = clock_monotonic_us();
		pthread_cond_signal(&t->changed);
	}
	pthread_mutex_unlock(&t->lock);
	return STATUS_OK;
}

static enum status
thread_save_state(void *ctx, uint64_t term, uint64_t vote)
{
	return defer(ctx,
	    &(struct storage_task){
		.kind = TASK_SAVE_STATE, .first = term, .second = vote});
}

static enum status
thread_append(void *ctx, const struct storage_entry *entries, unsigned count)
{
	struct storage_thread *t = ctx;

	pthread_mutex_lock(&t->lock);
	for (unsigned i = 0; i < count; i++)
		storage_task_add_entry(&t->tasks, &entries[i]);
	pthread_mutex_unlock(&t->lock);
	return STATUS_OK;
}

static enum status
thread_truncate_after(void *ctx, uint64_t index)
{
	return defer(
	    ctx, &(struct storage_task){.kind = TASK_TRUNCATE, .first = index});
}

static enum status
thread_save_snapshot(void *ctx, uint64_t index, uint64_t term, struct str data)
{
	return defer(ctx,
	    &(struct storage_task){.kind = TASK_SAVE_SNAPSHOT,
		.first = index,
		.second = term,
		.data = data});
}

static enum status
thread_save_group(void *ctx, struct str data)
{
	return defer(
	    ctx, &(struct storage_task){.kind = TASK_SAVE_GROUP, .data = data});
}

static enum status
thread_sync(void *ctx)
{
	return defer(ctx, &(struct storage_task){.kind = TASK_SYNC});
}

static bool
thread_sync_ended(void *ctx, enum status *status, uint64_t *took_us)
{
	struct storage_thread *t = ctx;
	bool ended;

	pthread_mutex_lock(&t->lock);
	ended = t->ended;
	t->ended = false;
	*took_us = t->took_us;
	*status = t->status;
	if (ended && t->status != STATUS_OK)
		(void)status_set(t->status, "%s", t->message);
	pthread_mutex_unlock(&t->lock);
	return ended;
}

/*
 * Frees all but the storage that was wrapped.
 */
static void
thread_free(struct storage_thread *t)
{
	storage_task_clear(&t->tasks);
	pthread_cond_destroy(&t->changed);
	pthread_mutex_destroy(&t->lock);
	mem_free(t);
}

static void
thread_close(void *ctx)
{
	struct storage_thread *t = ctx;

	pthread_mutex_lock(&t->lock);
	t->closing = true;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
	pthread_join(t->thread, NULL);
	t->inner.close(t->inner.ctx);
	thread_free(t);
}

enum status
storage_thread_start(
    struct replica_storage *storage, const struct storage_owner *owner)
{
	struct storage_thread *t = mem_calloc(1, sizeof(*t));

	t->inner = *storage;
	t->owner = *owner;
	pthread_mutex_init(&t->lock, NULL);
	pthread_cond_init(&t->changed, NULL);
	if (pthread_create(&t->thread, NULL, run, t) != 0) {
		t->inner.close(t->inner.ctx);
		thread_free(t);
		return status_set(
		    STATUS_IO, "the thread of the log can't be started");
	}
	*storage = (struct replica_storage){.ctx = t,
	    .disk = t->inner.disk,
	    .load = thread_load,
	    .save_state = thread_save_state,
	    .append = thread_append,
	    .truncate_after = thread_truncate_after,
	    .save_snapshot = thread_save_snapshot,
	    .save_group = thread_save_group,
	    .sync = thread_sync,
	    .sync_ended = thread_sync_ended,
	    .close = thread_close};
	return STATUS_OK;
}
