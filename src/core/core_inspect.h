/*
 * What the data folder of a control instance that is not running holds: the way
 * to the newest document when the group has lost its quorum.
 */
#ifndef CORE_CORE_INSPECT_H
#define CORE_CORE_INSPECT_H

#include "core/core_state.h"
#include "replica/replica_inspect.h"

struct core_inspection {
	struct replica_contents contents;
	struct roster *roster; /* with the departures alone */
	struct core_state state; /* of all entries, committed or not */
	unsigned unreadable; /* commands */
};

/*
 * Reads a data folder, and changes nothing in it.  Fails like
 * replica_inspect(); core_inspection_destroy() in any case.
 */
enum status core_inspect(const char *folder,
    struct core_inspection *inspection) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void core_inspection_destroy(struct core_inspection *inspection);

#endif
