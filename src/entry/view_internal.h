/*
 * Internals shared by the parts of the view: sections and services (view.c),
 * targets (view_targets.c).  The functions are called with the lock held.
 */
#ifndef ENTRY_VIEW_INTERNAL_H
#define ENTRY_VIEW_INTERNAL_H

#include <pthread.h>

#include "balance/backoff.h"
#include "entry/view.h"

struct view_store {
	struct view_store_params params;
	pthread_mutex_t lock; /* protects the fields below */
	struct policy_section **sections;
	uint32_t section_count;
	struct registry *targets;
	struct backoff_table *backoffs; /* that targets asked for */
	struct view *current; /* readers are protected by RCU */
	struct service_shares shares;
	bool policy_changed;
	bool targets_changed;
	uint64_t term;
	uint64_t index;
};

/* view.c */
/* Updates the limits of the published services from their targets' slots. */
void view_update_service_slots(struct view_store *store) ATTR_NONNULL_ALL;
/* Applies the targets' backoffs to the published services' limits. */
void view_update_backoffs(
    struct view_store *store, uint64_t now_us) ATTR_NONNULL_ALL;

/* view_targets.c */
void view_apply_target(
    struct view_store *store, const Wire__Target *message) ATTR_NONNULL_ALL;
void
view_remove_target(struct view_store *store, struct str id) ATTR_NONNULL(1);
/* Removes all targets; which ones have been draining stays known. */
void view_remove_targets(struct view_store *store) ATTR_NONNULL_ALL;
/* Adds the targets of a new service to its balancer. */
void view_add_targets(
    struct view_store *store, struct service *service) ATTR_NONNULL_ALL;
/* Passes the targets' new connection shares to the balancers. */
void view_update_target_shares(struct view_store *store) ATTR_NONNULL_ALL;

#endif
