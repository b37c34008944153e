/*
 * Decisions of the leader about who is a member of its group: who is added,
 * who votes, who is removed.  One change at a time; no input or output.
 */
#ifndef CORE_GROUP_MEMBERSHIP_H
#define CORE_GROUP_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "replica/replica.h"

enum {
	GROUP_SILENT_MS = 3000 /* stable window: a shorter silence is no loss */
};

struct group_member {
	uint64_t id;
	bool voter;
	bool self;
	char address[64];
	uint64_t silent_ms; /* since its last message; 0 for oneself */
};

/* A replica that asked to join. */
struct group_joiner {
	uint64_t id;
	char address[64];
};

struct group_view {
	struct group_member members[REPLICA_MEMBERS_MAX];
	unsigned count;
	struct group_joiner joiner; /* id 0: nobody asks */
	unsigned wanted_voters; /* 2 f + 1 */
};

enum group_change {
	GROUP_KEEP,
	GROUP_ADD,
	GROUP_PROMOTE,
	GROUP_REMOVE
};

struct group_action {
	enum group_change change;
	uint64_t id;
};

struct group_action
group_next_action(const struct group_view *view) ATTR_NONNULL_ALL;

#endif
