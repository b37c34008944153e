/*
 * Counts the executions of each Idempotency-Key, so that a test can detect a
 * call that ran twice.
 */
#ifndef TARGET_EXECUTION_H
#define TARGET_EXECUTION_H

#include "base/str.h"

struct execution_table;

struct execution_table *execution_table_new(void);
void execution_table_free(struct execution_table *table);
/* Counts one execution of a key and returns the count. */
uint64_t execution_table_record(struct execution_table *table, struct str key)
    ATTR_NONNULL(1);
/* {"keys":N,"executions":N,"doubled":N}, or one key's count. */
void execution_table_write_json(struct execution_table *table, struct str key,
    struct str_buf *out) ATTR_NONNULL(1, 3);

#endif
