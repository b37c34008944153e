/*
 * A call of a storage that is recorded and run later, with a copy of its data.
 */
#ifndef REPLICA_STORAGE_TASK_H
#define REPLICA_STORAGE_TASK_H

#include "replica/storage.h"

enum storage_task_kind {
	TASK_SAVE_STATE,
	TASK_APPEND,
	TASK_TRUNCATE,
	TASK_SAVE_SNAPSHOT,
	TASK_SAVE_GROUP,
	TASK_SYNC
};

struct storage_task {
	struct storage_task *next;
	enum storage_task_kind kind;
	uint32_t entry_kind;
	uint64_t first; /* term, or index */
	uint64_t second; /* vote, or term */
	struct str data; /* owned */
};

/* Tasks in the order in which they are to run. */
struct storage_task_list {
	struct storage_task *first;
	struct storage_task *last;
};

void storage_task_add(struct storage_task_list *list,
    const struct storage_task *task) ATTR_NONNULL_ALL;
void storage_task_add_entry(struct storage_task_list *list,
    const struct storage_entry *entry) ATTR_NONNULL_ALL;
/* Takes the first task off the list; NULL if there is none. */
struct storage_task *storage_task_take(
    struct storage_task_list *list) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status storage_task_run(const struct storage_task *task,
    const struct replica_storage *storage) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void storage_task_free(struct storage_task *task);
void storage_task_clear(struct storage_task_list *list) ATTR_NONNULL_ALL;

#endif
