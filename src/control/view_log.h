/*
 * Log of recent changes of the view (sections and targets), so that an entry
 * that is slightly behind gets only the changes it lacks.
 */
#ifndef CONTROL_VIEW_LOG_H
#define CONTROL_VIEW_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "base/str.h"
#include "wire/wire.pb-c.h"

struct view_log;

/* Returns an empty log at index 0. */
struct view_log *view_log_new(void);
void view_log_free(struct view_log *log);
/* Returns the index of the newest change; 0 if there was none. */
uint64_t view_log_last_index(const struct view_log *log) ATTR_NONNULL_ALL;
/* Appends a section's new text, or its removal, at a log index. */
void view_log_add_section(struct view_log *log, uint64_t index, struct str name,
    uint64_t revision, struct str text, bool removed) ATTR_NONNULL(1);
void view_log_add_target(struct view_log *log, uint64_t index,
    const Wire__Target *target) ATTR_NONNULL_ALL;
/* Appends the removal of a target. */
void view_log_add_target_removal(
    struct view_log *log, uint64_t index, struct str id) ATTR_NONNULL(1);
/*
 * Fills batch with the changes after an index.  Returns false if they are not
 * all retained; the reader then needs the whole view.  The batch borrows from
 * the log; view_log_batch_free() frees its array.
 */
bool view_log_changes_since(const struct view_log *log, uint64_t index,
    Wire__Changes *batch) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void view_log_batch_free(Wire__Changes *batch) ATTR_NONNULL_ALL;
/* Removes all changes; the view is then at index. */
void view_log_reset(struct view_log *log, uint64_t index) ATTR_NONNULL_ALL;

#endif
