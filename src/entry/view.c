#include "entry/view_internal.h"

#include <stdio.h>
#include <string.h>

#include <urcu.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"

/*
 * Returns a store without a view, to be freed with view_store_free().
 */
struct view_store *
view_store_new(const struct view_store_params *params)
{
	struct view_store *store = mem_calloc(1, sizeof(*store));

	store->params = *params;
	store->targets = registry_new();
	store->backoffs = backoff_table_new();
	store->shares = (struct service_shares){.entries = 1, .divisor = 1};
	pthread_mutex_init(&store->lock, NULL);
	return store;
}

/* Drops the references to all sections.  Called with the lock held. */
static void
clear_sections(struct view_store *store)
{
	for (uint32_t i = 0; i < store->section_count; i++)
		policy_section_put(store->sections[i]);
	store->section_count = 0;
}

/*
 * Frees the store.  No request may be using it.
 */
void
view_store_free(struct view_store *store)
{
	if (store == NULL)
		return;
	clear_sections(store);
	mem_free(store->sections);
	registry_free(store->targets);
	backoff_table_free(store->backoffs);
	view_release(store->current);
	pthread_mutex_destroy(&store->lock);
	mem_free(store);
}

/*
 * Returns a reference to the current view, or NULL before the first.  The
 * calling thread must be registered with RCU.
 */
struct view *
view_acquire(struct view_store *store)
{
	struct view *view;

	rcu_read_lock();
	view = rcu_dereference(store->current);
	if (view != NULL)
		refcount_get(&view->ref);
	rcu_read_unlock();
	return view;
}

/*
 * Drops a reference; the last one frees the view.  NULL is allowed.
 */
void
view_release(struct view *view)
{
	if (view == NULL || !refcount_put(&view->ref))
		return;
	for (uint32_t i = 0; i < view->service_count; i++)
		service_put(view->services[i]);
	policy_put(view->policy);
	mem_free(view->services);
	mem_free(view->entries);
	mem_free(view);
}

/*
 * Returns a service by name, or NULL.
 */
struct service *
view_service(const struct view *view, struct str name)
{
	for (uint32_t i = 0; i < view->service_count; i++) {
		if (str_equal_c(name, view->services[i]->name))
			return view->services[i];
	}
	return NULL;
}

/* Returns the index of a section by name, or -1. */
static int
find_section(const struct view_store *store, struct str name)
{
	for (uint32_t i = 0; i < store->section_count; i++) {
		if (str_equal(store->sections[i]->name, name))
			return (int)i;
	}
	return -1;
}

/* Deletes a section; the last one moves to its index. */
static void
delete_section(struct view_store *store, int at)
{
	policy_section_put(store->sections[at]);
	store->sections[at] = store->sections[--store->section_count];
}

/*
 * Applies a new revision or the removal of a section.  A revision that this
 * version cannot parse is logged and the previous one stays in force.
 */
static void
apply_section(struct view_store *store, const Wire__Section *message)
{
	struct str text =
	    str_of((const char *)message->text.data, message->text.len);
	int at = find_section(store, str_from(message->name));
	struct policy_section *section;

	store->policy_changed = true;
	if (message->removed) {
		if (at >= 0)
			delete_section(store, at);
		return;
	}
	if (policy_section_parse(text, message->revision, &section) !=
	    STATUS_OK) {
		log_error("section_rejected",
		    "section=%s revision=%llu reason=\"%s\"", message->name,
		    (unsigned long long)message->revision, status_message());
		return;
	}
	if (at >= 0)
		delete_section(store, at);
	store->sections = mem_resize(store->sections,
	    (store->section_count + 1) * sizeof(struct policy_section *));
	store->sections[store->section_count++] = section;
	log_info("section_installed", "section=%s revision=%llu", message->name,
	    (unsigned long long)message->revision);
}

/*
 * Discards all sections and targets.  The published view stays in force until
 * the next install.
 */
void
view_reset(struct view_store *store)
{
	pthread_mutex_lock(&store->lock);
	clear_sections(store);
	view_remove_targets(store);
	store->policy_changed = true;
	store->targets_changed = true;
	pthread_mutex_unlock(&store->lock);
}

/*
 * Applies one change; it comes into force with the next install.
 */
void
view_apply_change(struct view_store *store, const Wire__Change *change)
{
	pthread_mutex_lock(&store->lock);
	switch (change->body_case) {
	case WIRE__CHANGE__BODY_SECTION:
		apply_section(store, change->section);
		break;
	case WIRE__CHANGE__BODY_TARGET:
		view_apply_target(store, change->target);
		break;
	case WIRE__CHANGE__BODY_TARGET_REMOVED:
		view_remove_target(store, str_from(change->target_removed));
		break;
	default:
		break;
	}
	pthread_mutex_unlock(&store->lock);
}

/*
 * Returns a reference to the current view's service, or a new service with its
 * targets.
 */
static struct service *
get_or_create_service(struct view_store *store, struct str name)
{
	struct service *service =
	    store->current != NULL ? view_service(store->current, name) : NULL;

	if (service != NULL)
		return service_get(service);
	service = service_new(
	    name, str_from(store->params.failure_domain), store->params.seed);
	view_add_targets(store, service);
	return service;
}

/* Creates a view's services and configures them from their sections. */
static void
create_services(struct view_store *store, struct view *view)
{
	view->services =
	    mem_calloc(store->section_count + 1, sizeof(struct service *));
	for (uint32_t i = 0; i < store->section_count; i++) {
		const struct policy_section *section = store->sections[i];
		struct service *service;

		if (section->kind != POLICY_SERVICE)
			continue;
		service = get_or_create_service(store, section->name);
		service_configure(service, &section->service, &store->shares);
		view->services[view->service_count++] = service;
	}
}

/* Copies the list of live entries to a view. */
static void
copy_entries(
    struct view *view, const struct view_entry *entries, uint32_t count)
{
	view->entries = mem_calloc(count + 1, sizeof(*entries));
	if (count > 0)
		memcpy(view->entries, entries, count * sizeof(*entries));
	view->entry_count = count;
}

/* Publishes a view; the old one is released after a grace period. */
static void
publish(struct view_store *store, struct view *view)
{
	struct view *old = store->current;

	rcu_assign_pointer(store->current, view);
	if (old == NULL)
		return;
	synchronize_rcu();
	view_release(old);
}

/* Builds and publishes a new view.  Called with the lock held. */
static void
rebuild(struct view_store *store, const struct view_entry *entries,
    uint32_t entry_count)
{
	struct view *view = mem_calloc(1, sizeof(*view));

	refcount_init(&view->ref);
	view->policy = policy_new(store->sections, store->section_count);
	view->divisor = store->shares.divisor;
	view->term = store->term;
	view->index = store->index;
	create_services(store, view);
	copy_entries(view, entries, entry_count);
	publish(store, view);
}

/*
 * Updates the limits of the published view's services from their targets'
 * slots.  Called with the lock held.
 */
void
view_update_service_slots(struct view_store *store)
{
	const struct view *view = store->current;

	for (uint32_t i = 0; i < view->service_count; i++) {
		const struct policy_section *section =
		    policy_find_service_by_name(
			view->policy, str_from(view->services[i]->name));

		if (section != NULL)
			service_update_slots(
			    view->services[i], &section->service);
	}
}

/*
 * Applies the targets' backoffs to the published view's services.  Called with
 * the lock held.
 */
void
view_update_backoffs(struct view_store *store, uint64_t now_us)
{
	const struct view *view = store->current;

	for (uint32_t i = 0; i < view->service_count; i++) {
		const struct policy_section *section =
		    policy_find_service_by_name(
			view->policy, str_from(view->services[i]->name));

		if (section != NULL)
			service_apply_backoffs(
			    view->services[i], &section->service, now_us);
	}
}

/*
 * Puts the changes since the last install in force.
 */
void
view_install(struct view_store *store, uint64_t term, uint64_t index)
{
	const struct view *current = store->current;

	pthread_mutex_lock(&store->lock);
	store->term = term;
	store->index = index;
	if (store->policy_changed || current == NULL)
		rebuild(store, current != NULL ? current->entries : NULL,
		    current != NULL ? current->entry_count : 0);
	else if (store->targets_changed)
		view_update_service_slots(store);
	store->policy_changed = false;
	store->targets_changed = false;
	pthread_mutex_unlock(&store->lock);
}

/*
 * Sets the divisor of fleet-wide limits; 0 is ignored.
 */
void
view_set_divisor(struct view_store *store, uint32_t divisor)
{
	const struct view *current = store->current;

	if (divisor == 0 || divisor == store->shares.divisor)
		return;
	pthread_mutex_lock(&store->lock);
	store->shares.divisor = divisor;
	if (current != NULL) {
		view_update_target_shares(store);
		rebuild(store, current->entries, current->entry_count);
	}
	pthread_mutex_unlock(&store->lock);
	log_info("share_changed", "divisor=%u", divisor);
}

/* Copies a name, truncated to VIEW_NAME_BYTES. */
static void
copy_name(char out[VIEW_NAME_BYTES], const char *text)
{
	snprintf(out, VIEW_NAME_BYTES, "%s", text);
}

/*
 * Sets the list of live entries.
 */
void
view_set_entries(
    struct view_store *store, Wire__EntryInfo *const *entries, size_t count)
{
	struct view_entry *list = mem_calloc(count + 1, sizeof(*list));

	for (size_t i = 0; i < count; i++) {
		copy_name(list[i].name, entries[i]->name);
		copy_name(list[i].address, entries[i]->address);
		copy_name(list[i].failure_domain, entries[i]->failure_domain);
		list[i].leaving = entries[i]->leaving;
		list[i].spare_eighths = entries[i]->spare_eighths;
	}
	pthread_mutex_lock(&store->lock);
	store->shares.entries = count > 0 ? (uint32_t)count : 1;
	rebuild(store, list, (uint32_t)count);
	pthread_mutex_unlock(&store->lock);
	mem_free(list);
}
