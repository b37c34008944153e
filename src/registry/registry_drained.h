/*
 * Records the last draining incarnation of each target, so that it gets no new
 * calls if it is announced again.  Above the limit the oldest record is
 * removed.
 */
#ifndef REGISTRY_REGISTRY_DRAINED_H
#define REGISTRY_REGISTRY_DRAINED_H

#include "base/str.h"

enum {
	REGISTRY_DRAINED_MAX = 1024
};

struct registry_drained;
typedef void
registry_drained_visitor(void *ctx, struct str id, uint64_t incarnation);

struct registry_drained *registry_drained_new(void);
void registry_drained_free(struct registry_drained *drained);
void registry_drained_clear(struct registry_drained *drained) ATTR_NONNULL_ALL;
/* Replaces the record of the id. */
void registry_drained_add(struct registry_drained *drained, struct str id,
    uint64_t incarnation) ATTR_NONNULL(1);
bool registry_drained_contains(const struct registry_drained *drained,
    struct str id, uint64_t incarnation) ATTR_NONNULL(1);
/* Returns the recorded incarnation of a target; 0 if there is none. */
uint64_t registry_drained_incarnation(
    const struct registry_drained *drained, struct str id) ATTR_NONNULL(1);
uint32_t
registry_drained_count(const struct registry_drained *drained) ATTR_NONNULL_ALL;
/* Visits the records, oldest first. */
void registry_drained_for_each(const struct registry_drained *drained,
    registry_drained_visitor *visit, void *ctx) ATTR_NONNULL(1, 2);

#endif
