/*
 * The entry's view of the accepted state: policy, targets, other entries.
 * Only the link's thread changes it; request threads read it under RCU.
 */
#ifndef ENTRY_VIEW_H
#define ENTRY_VIEW_H

#include "balance/backoff.h"
#include "base/refcount.h"
#include "entry/service.h"
#include "registry/registry.h"
#include "wire/wire.pb-c.h"

enum {
	VIEW_NAME_BYTES = 64
};

struct view_entry {
	char name[VIEW_NAME_BYTES];
	char address[VIEW_NAME_BYTES];
	char failure_domain[VIEW_NAME_BYTES];
	bool leaving;
	uint32_t spare_eighths;
};

/* Read-only once published. */
struct view {
	struct refcount ref;
	struct policy *policy;
	struct service **services; /* one per service section */
	uint32_t service_count;
	struct view_entry *entries;
	uint32_t entry_count;
	uint32_t divisor; /* of fleet-wide bounds */
	uint64_t term;
	uint64_t index;
};

struct view_store;

struct view_store_params {
	const char *failure_domain;
	uint64_t seed;
	/* No target uses the address any more; close its connections. */
	void (*address_unused)(void *ctx, struct str address);
	/* Control sent a target, new or changed.  Called with a lock held. */
	void (*target_received)(
	    void *ctx, const struct registry_target *target);
	void *ctx;
};

struct view_store *
view_store_new(const struct view_store_params *params) ATTR_NONNULL_ALL;
void view_store_free(struct view_store *store);

/* Returns a reference to the current view; NULL before the first. */
struct view *view_acquire(struct view_store *store) ATTR_NONNULL_ALL;
void view_release(struct view *view);
struct service *
view_service(const struct view *view, struct str name) ATTR_NONNULL(1);
/*
 * Copies a target and its holder's name; false when the view doesn't have it.
 * Of the target's strings only the copied holder may be read.
 */
bool view_find_target(struct view_store *store, struct str id,
    struct registry_target *target, char *holder, size_t holder_size)
    ATTR_NONNULL(1, 3, 4);
struct registry_target *view_copy_target(
    struct view_store *store, struct str id) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;
/*
 * What a target said in an answer of this incarnation: that it leaves, and that
 * it wants no calls of this entry until a monotonic time.
 */
enum status view_record_departure(struct view_store *store, struct str id,
    uint64_t incarnation) ATTR_NONNULL(1);
enum backoff_change view_record_backoff(struct view_store *store, struct str id,
    uint64_t incarnation, uint64_t until_us) ATTR_NONNULL(1);
/* Applies the backoffs that have ended since; called at intervals. */
void
view_apply_backoffs(struct view_store *store, uint64_t now_us) ATTR_NONNULL_ALL;
void view_for_each_target(struct view_store *store, registry_visitor *visit,
    void *ctx) ATTR_NONNULL(1, 2);

/* Called by the link's callbacks, on its thread. */
void view_reset(struct view_store *store) ATTR_NONNULL_ALL;
void view_apply_change(
    struct view_store *store, const Wire__Change *change) ATTR_NONNULL_ALL;
void view_install(
    struct view_store *store, uint64_t term, uint64_t index) ATTR_NONNULL_ALL;
void
view_set_divisor(struct view_store *store, uint32_t divisor) ATTR_NONNULL_ALL;
void view_set_entries(struct view_store *store, Wire__EntryInfo *const *entries,
    size_t count) ATTR_NONNULL(1);

#endif
