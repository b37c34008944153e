/*
 * The targets of the view: what control knows of them, and what they said
 * themselves in their answers, which holds whatever control sends later.
 */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "entry/view_internal.h"

/* Returns a target whose strings point into the message. */
static struct registry_target
target_from_wire(const Wire__Target *t)
{
	return (struct registry_target){
	    .id = str_from(t->id),
	    .service = str_from(t->service),
	    .address = str_from(t->address),
	    .failure_domain = str_from(t->failure_domain),
	    .holder = str_from(t->holder),
	    .slots = t->slots,
	    .connections = t->connections,
	    .state = (enum registry_state)t->state,
	    .incarnation = t->incarnation,
	    .sequence = t->sequence,
	};
}

/*
 * Returns the balancer's description of a target, with this entry's share of
 * its connections, at least one.
 */
static struct balance_target_info
balance_info(const struct view_store *store, const struct registry_target *t)
{
	uint32_t share = t->connections / store->shares.divisor;

	return (struct balance_target_info){
	    .id = t->id,
	    .address = t->address,
	    .failure_domain = t->failure_domain,
	    .slots = t->slots,
	    .connections = share > 0 ? share : 1,
	    .state = (enum balance_state)t->state,
	    .incarnation = t->incarnation,
	    .backoff_until_us =
		backoff_table_until_us(store->backoffs, t->id, t->incarnation),
	};
}

/* Passes a registered target to its service's balancer, if there is one. */
static void
update_balancer(struct view_store *store, const struct registry_target *target)
{
	struct service *service = store->current != NULL
	    ? view_service(store->current, target->service)
	    : NULL;
	struct balance_target_info info = balance_info(store, target);

	if (service != NULL)
		balancer_upsert(service->balancer, &info, clock_monotonic_us());
}

/*
 * Removes a target from its service's balancer, and reports its address as
 * unused unless it equals keep_address.
 */
static void
detach_target(struct view_store *store, const struct registry_target *old,
    struct str keep_address)
{
	struct service *service = store->current != NULL
	    ? view_service(store->current, old->service)
	    : NULL;

	if (service != NULL)
		balancer_remove(service->balancer, old->id);
	if (!str_equal(old->address, keep_address))
		store->params.address_unused(store->params.ctx, old->address);
}

/*
 * Reports the address of a target's former incarnation, so that connections to
 * that one are not kept.
 */
static void
release_former(struct view_store *store, const struct registry_target *old,
    const struct registry_target *target)
{
	if (old != NULL && old->incarnation < target->incarnation)
		store->params.address_unused(store->params.ctx, old->address);
}

/*
 * Applies a new or changed target.  Its service's balancer is updated at once,
 * the limits that depend on slots at the next install.  The state is the
 * registry's: a departure that this entry has heard of holds, whatever control
 * knows.
 */
void
view_apply_target(struct view_store *store, const Wire__Target *message)
{
	struct registry_target target = target_from_wire(message);
	const struct registry_target *old =
	    registry_find(store->targets, target.id);

	store->params.target_received(store->params.ctx, &target);
	release_former(store, old, &target);
	if (old != NULL && !str_equal(old->service, target.service))
		detach_target(store, old, target.address);
	if (registry_upsert(store->targets, &target) != STATUS_OK)
		return;
	store->targets_changed = true;
	if (store->current == NULL)
		return;
	old = registry_find(store->targets, target.id);
	update_balancer(store, old);
	log_info("target_changed",
	    "target=%s service=%s address=%s failure_domain=%s state=%d",
	    message->id, message->service, message->address,
	    message->failure_domain, (int)old->state);
}

/* Applies the removal of a target; an unknown one is ignored. */
void
view_remove_target(struct view_store *store, struct str id)
{
	const struct registry_target *old = registry_find(store->targets, id);

	if (old == NULL)
		return;
	detach_target(store, old, (struct str){0});
	if (registry_remove(store->targets, id, (struct str){0}, 0) !=
	    STATUS_OK)
		return;
	store->targets_changed = true;
	log_info("target_removed", "target=%.*s", STR_ARG(id));
}

/* Visitor of view_remove_targets(): releases a target and its address. */
static void
remove_from_balancer(void *ctx, const struct registry_target *target)
{
	detach_target(ctx, target, (struct str){0});
}

/*
 * Removes all targets, before control sends them anew.  What they said of
 * themselves is kept.
 */
void
view_remove_targets(struct view_store *store)
{
	registry_for_each(store->targets, remove_from_balancer, store);
	registry_remove_all(store->targets);
}

struct fill_context {
	struct view_store *store;
	struct service *service;
};

/* Visitor of view_add_targets(): adds a target to the new service. */
static void
add_to_balancer(void *ctx, const struct registry_target *target)
{
	struct fill_context *context = ctx;
	struct balance_target_info info;

	if (!str_equal_c(target->service, context->service->name))
		return;
	info = balance_info(context->store, target);
	balancer_upsert(
	    context->service->balancer, &info, clock_monotonic_us());
}

/*
 * Adds the targets of a new service, which is not published yet.
 */
void
view_add_targets(struct view_store *store, struct service *service)
{
	struct fill_context context = {.store = store, .service = service};

	registry_for_each(store->targets, add_to_balancer, &context);
}

/* Visitor of view_update_target_shares(). */
static void
update_target_share(void *ctx, const struct registry_target *target)
{
	update_balancer(ctx, target);
}

/*
 * Passes the targets' shares of connections to the balancers.
 */
void
view_update_target_shares(struct view_store *store)
{
	registry_for_each(store->targets, update_target_share, store);
}

/*
 * Records that an incarnation of a target leaves: it gets no call from now on,
 * also if it is announced again.  Returns STATUS_BUSY if that was known,
 * STATUS_CONFLICT if a newer incarnation is.
 */
enum status
view_record_departure(
    struct view_store *store, struct str id, uint64_t incarnation)
{
	const struct registry_target *target;
	enum status status;

	pthread_mutex_lock(&store->lock);
	status = registry_drain(store->targets, id, incarnation);
	target = registry_find(store->targets, id);
	if (status == STATUS_OK && target != NULL &&
	    target->incarnation == incarnation && store->current != NULL) {
		update_balancer(store, target);
		view_update_service_slots(store);
	}
	pthread_mutex_unlock(&store->lock);
	return status;
}

/*
 * Records that an incarnation of a target asked this entry to back off.
 */
enum backoff_change
view_record_backoff(struct view_store *store, struct str id,
    uint64_t incarnation, uint64_t until_us)
{
	uint64_t now_us = clock_monotonic_us();
	const struct registry_target *target;
	enum backoff_change change;

	pthread_mutex_lock(&store->lock);
	change = backoff_table_record(
	    store->backoffs, id, incarnation, until_us, now_us);
	target = registry_find(store->targets, id);
	if (change != BACKOFF_UNCHANGED && target != NULL &&
	    store->current != NULL) {
		struct service *service =
		    view_service(store->current, target->service);

		if (service != NULL)
			balancer_set_backoff(
			    service->balancer, id, incarnation, until_us);
		if (change == BACKOFF_STARTED)
			view_update_backoffs(store, now_us);
	}
	pthread_mutex_unlock(&store->lock);
	return change;
}

/*
 * Applies the backoffs of all targets to the services' limits.
 */
void
view_apply_backoffs(struct view_store *store, uint64_t now_us)
{
	pthread_mutex_lock(&store->lock);
	if (store->current != NULL)
		view_update_backoffs(store, now_us);
	pthread_mutex_unlock(&store->lock);
}

/*
 * Returns a copy of a target, freed with mem_free(), or NULL.
 */
struct registry_target *
view_copy_target(struct view_store *store, struct str id)
{
	const struct registry_target *found;
	struct registry_target *copy = NULL;

	pthread_mutex_lock(&store->lock);
	found = registry_find(store->targets, id);
	if (found != NULL)
		copy = registry_copy_target(found);
	pthread_mutex_unlock(&store->lock);
	return copy;
}

/*
 * Copies a target.  Its strings belong to the store and must not be read; the
 * holder's name is copied to holder.
 */
bool
view_find_target(struct view_store *store, struct str id,
    struct registry_target *target, char *holder, size_t holder_size)
{
	const struct registry_target *found;

	pthread_mutex_lock(&store->lock);
	found = registry_find(store->targets, id);
	if (found != NULL) {
		*target = *found;
		snprintf(holder, holder_size, "%.*s", STR_ARG(found->holder));
	}
	pthread_mutex_unlock(&store->lock);
	return found != NULL;
}

/*
 * Visits all targets with the store's lock held.
 */
void
view_for_each_target(
    struct view_store *store, registry_visitor *visit, void *ctx)
{
	pthread_mutex_lock(&store->lock);
	registry_for_each(store->targets, visit, ctx);
	pthread_mutex_unlock(&store->lock);
}
