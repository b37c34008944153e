/*
 * Decides which membership change the leader makes next: whom to add,
 * promote or remove.  One change at a time; performs no I/O.
 */
#ifndef CORE_GROUP_MEMBERSHIP_H
#define CORE_GROUP_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"
#include "replica/replica.h"

enum {
	GROUP_SILENT_MS = 3000 /* a member silent for this long is lost */
};

struct group_member {
	uint64_t id;
	bool voter;
	bool self;
	char address[64];
	uint64_t silent_ms; /* since its last message; 0 for self */
	bool denied; /* its address has another replica: its disk is gone */
	bool caught_up; /* it holds all that is committed */
};

/* A replica that asked to join. */
struct group_joiner {
	uint64_t id;
	char address[64];
};

struct group_view {
	struct group_member members[REPLICA_MEMBERS_MAX];
	unsigned count;
	struct group_joiner joiner; /* id 0: none */
	unsigned wanted_voters; /* 2 f + 1 for f tolerated losses */
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
