#include "replica/storage_task.h"

#include "base/memory.h"

/*
 * Adds a copy of a task at the end of a list.  A term and vote replace those
 * that would be saved just before: each costs syncs of its own, and a voter that
 * learns of a term saves it first without its vote.
 */
void
storage_task_add(
    struct storage_task_list *list, const struct storage_task *task)
{
	struct storage_task *copy;

	if (task->kind == TASK_SAVE_STATE && list->last != NULL &&
	    list->last->kind == TASK_SAVE_STATE) {
		list->last->first = task->first;
		list->last->second = task->second;
		return;
	}
	copy = mem_alloc(sizeof(*copy));
	*copy = *task;
	copy->next = NULL;
	if (task->data.len > 0)
		copy->data = str_of(str_dup(task->data), task->data.len);
	else
		copy->data = (struct str){0};
	if (list->last != NULL)
		list->last->next = copy;
	else
		list->first = copy;
	list->last = copy;
}

/*
 * Adds the append of one entry.
 */
void
storage_task_add_entry(
    struct storage_task_list *list, const struct storage_entry *entry)
{
	const struct storage_task task = {.kind = TASK_APPEND,
	    .entry_kind = entry->kind,
	    .first = entry->index,
	    .second = entry->term,
	    .data = entry->data};

	storage_task_add(list, &task);
}

struct storage_task *
storage_task_take(struct storage_task_list *list)
{
	struct storage_task *task = list->first;

	if (task == NULL)
		return NULL;
	list->first = task->next;
	if (list->first == NULL)
		list->last = NULL;
	return task;
}

/*
 * Makes the recorded call on a storage whose sync() waits for the disk.
 */
enum status
storage_task_run(
    const struct storage_task *task, const struct replica_storage *storage)
{
	const struct storage_entry entry = {.index = task->first,
	    .term = task->second,
	    .kind = task->entry_kind,
	    .data = task->data};

	switch (task->kind) {
	case TASK_SAVE_STATE:
		return storage->save_state(
		    storage->ctx, task->first, task->second);
	case TASK_APPEND:
		return storage->append(storage->ctx, &entry, 1);
	case TASK_TRUNCATE:
		return storage->truncate_after(storage->ctx, task->first);
	case TASK_SAVE_SNAPSHOT:
		return storage->save_snapshot(
		    storage->ctx, task->first, task->second, task->data);
	case TASK_SAVE_GROUP:
		return storage->save_group(storage->ctx, task->data);
	case TASK_SYNC:
		return storage->sync(storage->ctx);
	}
	return STATUS_INVALID;
}

/*
 * Frees a task; NULL is allowed.
 */
void
storage_task_free(struct storage_task *task)
{
	if (task == NULL)
		return;
	mem_free((char *)task->data.data);
	mem_free(task);
}

void
storage_task_clear(struct storage_task_list *list)
{
	struct storage_task *task;

	while ((task = storage_task_take(list)) != NULL)
		storage_task_free(task);
}
