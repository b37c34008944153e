/*
 * Proposals of targets to control.  Each waits for its result.
 */
#ifndef ENTRY_PROPOSE_H
#define ENTRY_PROPOSE_H

#include "entry/entry.h"
#include "registry/registry.h"

/*
 * Proposes a target with its holder; STATUS_CONFLICT if control has a newer
 * announcement.
 */
enum status propose_target(struct link *link,
    const struct registry_target *target) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Proposes to remove a target that this entry holds; incarnation 0: any. */
enum status propose_target_removal(const struct entry *entry, struct str id,
    uint64_t incarnation) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;
/*
 * Proposes that a target drains, as gypsummillctl drain does, with the values
 * that this entry's view has of it.
 */
enum departure_result propose_departure(struct entry *entry, struct str id,
    uint64_t incarnation) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;

#endif
