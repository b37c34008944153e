/*
 * Keeps the group of replicas whole: records from which members and joiners
 * messages arrive, and changes the members while this replica leads.  Performs
 * no I/O; the time is passed as an argument.
 */
#ifndef CORE_GROUP_KEEPER_H
#define CORE_GROUP_KEEPER_H

#include "core/group_membership.h"

enum {
	GROUP_ELECTION_MS = 600, /* a new leader well within ack_ms, 4 s */
	GROUP_HEARTBEAT_MS = 100, /* a sixth of the election timeout */
	GROUP_LEASE_MS = 500, /* below the election timeout */
	GROUP_JOIN_MS = 300, /* between a joiner's requests */
	GROUP_CHANGE_MS = 100 /* between tries to change the members */
};

/* Set in ids that were drawn, and in none of a bootstrap member. */
#define GROUP_DRAWN_ID (UINT64_C(1) << 47)

/* What is known of another member. */
struct group_contact {
	uint64_t id;
	uint64_t last_message_us; /* or when it was first seen as a member */
	/* Last answer of another replica from its address; 0: none. */
	uint64_t denied_us;
};

struct group_keeper {
	uint64_t self; /* the own replica's id */
	struct group_contact contacts[REPLICA_MEMBERS_MAX];
	unsigned contact_count;
	struct group_joiner joiner;
	uint64_t joiner_us; /* its last request */
	uint64_t leader_since_us; /* 0: it does not lead */
	uint64_t due_us; /* next change */
	uint64_t list_index; /* of the latest list known to be committed */
};

/* What is to be done with a replica's message. */
enum group_verdict {
	GROUP_TAKE,
	GROUP_DENY, /* it is for another replica, which is not here */
	GROUP_TELL_REMOVED /* the sender is no member any more */
};

/* A change of members that was tried. */
struct group_step {
	struct group_action action;
	uint64_t index; /* in the log, if status is STATUS_OK */
	enum status status;
};

enum group_verdict group_judge_message(const struct replica_info *info,
    bool has_lease, uint64_t self, uint64_t from, uint64_t to) ATTR_NONNULL_ALL;
/*
 * Whether a replica that was opened with count bootstrap members has the id of
 * one, but no trace of having taken part: it must join under another id.
 */
bool group_never_took_part(const struct replica_info *info, uint64_t self,
    unsigned count) ATTR_NONNULL_ALL;
/* Whether a replica asks to join: it may not be a member, or no longer. */
bool group_should_ask_to_join(
    const struct replica_info *info, uint64_t self) ATTR_NONNULL_ALL;
/* The members, the role or the term may have changed. */
void group_keeper_update(struct group_keeper *keeper,
    const struct replica_info *info, uint64_t self,
    uint64_t now_us) ATTR_NONNULL_ALL;
void group_keeper_on_message(struct group_keeper *keeper, uint64_t from,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* Another replica has answered from the address of member id. */
void group_keeper_on_denied(
    struct group_keeper *keeper, uint64_t id, uint64_t now_us) ATTR_NONNULL_ALL;
void group_keeper_on_join(struct group_keeper *keeper, uint64_t id,
    const char *address, uint64_t now_us) ATTR_NONNULL_ALL;
/* On a leader with a lease: the next change of members. */
struct group_action
group_keeper_plan(struct group_keeper *keeper, const struct replica_info *info,
    unsigned wanted_voters, uint64_t now_us) ATTR_NONNULL_ALL;
/* Starts a change; false if there is none or it can't start yet. */
bool
group_keeper_apply(const struct group_keeper *keeper, struct replica *replica,
    struct group_action action, struct group_step *step) ATTR_NONNULL_ALL;
/*
 * Lists the voters whose disk is known to be gone, as indexes of
 * info->members.  Returns their number.
 */
unsigned group_keeper_gone_voters(const struct group_keeper *keeper,
    const struct replica_info *info, uint64_t now_us,
    unsigned gone[REPLICA_MEMBERS_MAX]) ATTR_NONNULL_ALL;
/* Whether the voters without gone of them are less than a majority. */
bool group_is_without_quorum(
    const struct replica_info *info, unsigned gone) ATTR_NONNULL_ALL;
const char *group_change_name(enum group_change change);

#endif
