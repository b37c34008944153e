/*
 * Commands that this instance has appended as leader and not yet applied.  A
 * caller that asks again before a command is durable waits for it, since another
 * copy would take as long.
 */
#ifndef CORE_PROPOSAL_LIST_H
#define CORE_PROPOSAL_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "wire/fleet.pb-c.h"

struct proposal {
	uint64_t index; /* of the log */
	uint64_t term;
	uint64_t subject; /* a later command on it overrides an earlier one */
	uint64_t digest;
};

struct proposal_list {
	GArray *items; /* of struct proposal, in the order of the log */
};

void proposal_list_init(struct proposal_list *list) ATTR_NONNULL_ALL;
void proposal_list_destroy(struct proposal_list *list) ATTR_NONNULL_ALL;
void
proposal_list_add(struct proposal_list *list, const Fleet__Command *command,
    uint64_t index, uint64_t term) ATTR_NONNULL_ALL;
/* The last command of a term on the same subject, or NULL. */
const struct proposal *proposal_list_find(const struct proposal_list *list,
    const Fleet__Command *command, uint64_t term) ATTR_NONNULL_ALL;
bool proposal_is_same(const struct proposal *proposal,
    const Fleet__Command *command) ATTR_NONNULL_ALL;
/* Removes the commands up to an index. */
void proposal_list_applied(
    struct proposal_list *list, uint64_t index) ATTR_NONNULL_ALL;

#endif
