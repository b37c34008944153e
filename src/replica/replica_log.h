/*
 * The in-memory part of a replica's log: the entries after a base index,
 * which advances when a snapshot replaces older entries.
 */
#ifndef REPLICA_REPLICA_LOG_H
#define REPLICA_REPLICA_LOG_H

#include "replica/storage.h"

struct replica_log {
	struct storage_entry *entries; /* owned, with their data */
	size_t head; /* first entry in use */
	size_t count;
	size_t capacity;
	uint64_t base_index; /* of the entry before the first in memory */
	uint64_t base_term;
	uint64_t bytes; /* of entry data in memory */
};

void log_free(struct replica_log *log) ATTR_NONNULL_ALL;
uint64_t log_last_index(const struct replica_log *log) ATTR_NONNULL_ALL;
uint64_t log_last_term(const struct replica_log *log) ATTR_NONNULL_ALL;
struct storage_entry *
log_at(const struct replica_log *log, uint64_t index) ATTR_NONNULL_ALL;
bool log_term_at(const struct replica_log *log, uint64_t index,
    uint64_t *term) ATTR_NONNULL_ALL;
void log_append(struct replica_log *log,
    const struct storage_entry *entry) ATTR_NONNULL_ALL;
void
log_truncate_after(struct replica_log *log, uint64_t index) ATTR_NONNULL_ALL;
void log_discard_to(struct replica_log *log, uint64_t index) ATTR_NONNULL_ALL;
void log_reset(
    struct replica_log *log, uint64_t index, uint64_t term) ATTR_NONNULL_ALL;

#endif
