#include "registry/registry.h"

#include <string.h>

#include "base/memory.h"
#include "base/settings.h"
#include "base/str_key.h"
#include "registry/registry_defs.h"
#include "registry/registry_state.h"

enum {
	NAME_MAX_BYTES = 63,
	ADDRESS_MAX_BYTES = 63,
	INITIAL_CAPACITY = 16
};

/*
 * Returns an empty registry.
 */
struct registry *
registry_new(void)
{
	struct registry *registry = mem_calloc(1, sizeof(*registry));

	registry->by_id = g_hash_table_new(str_key_hash, str_key_equal);
	registry->drained = registry_drained_new();
	return registry;
}

/*
 * Frees the registry with all targets; NULL is allowed.
 */
void
registry_free(struct registry *registry)
{
	if (registry == NULL)
		return;
	registry_clear(registry);
	g_hash_table_destroy(registry->by_id);
	registry_drained_free(registry->drained);
	mem_free(registry->targets);
	mem_free(registry);
}

/*
 * Removes all targets.
 */
void
registry_clear(struct registry *registry)
{
	registry_remove_all(registry);
	registry_drained_clear(registry->drained);
}

/*
 * Removes all targets; see registry.h.
 */
void
registry_remove_all(struct registry *registry)
{
	g_hash_table_remove_all(registry->by_id);
	for (uint32_t i = 0; i < registry->count; i++)
		mem_free(registry->targets[i]);
	registry->count = 0;
}

/*
 * Returns a copy of a target, in one block with its strings.
 */
struct registry_target *
registry_copy_target(const struct registry_target *target)
{
	size_t bytes = target->id.len + target->service.len +
	    target->address.len + target->failure_domain.len +
	    target->holder.len;
	struct registry_target *copy = mem_alloc(sizeof(*copy) + bytes);
	char *at = (char *)(copy + 1);

	*copy = *target;
	copy->id = str_pack(&at, target->id);
	copy->service = str_pack(&at, target->service);
	copy->address = str_pack(&at, target->address);
	copy->failure_domain = str_pack(&at, target->failure_domain);
	copy->holder = str_pack(&at, target->holder);
	return copy;
}

/* Returns the index of the first target whose id is not less than id. */
static uint32_t
lower_bound(const struct registry *registry, struct str id)
{
	uint32_t low = 0;
	uint32_t high = registry->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (str_compare(registry->targets[middle]->id, id) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns whether two announcements of the same id are equal. */
static bool
equal_targets(const struct registry_target *a, const struct registry_target *b)
{
	return str_equal(a->service, b->service) &&
	    str_equal(a->address, b->address) &&
	    str_equal(a->failure_domain, b->failure_domain) &&
	    str_equal(a->holder, b->holder) && a->slots == b->slots &&
	    a->connections == b->connections && a->state == b->state &&
	    a->incarnation == b->incarnation && a->sequence == b->sequence;
}

/*
 * Returns STATUS_CONFLICT if target is older than the registered one,
 * STATUS_BUSY if it is unchanged, else STATUS_OK.
 */
static enum status
check_newer(
    const struct registry_target *old, const struct registry_target *target)
{
	if (target->incarnation < old->incarnation)
		return status_set(STATUS_CONFLICT,
		    "target %.*s: incarnation %llu is older than %llu",
		    STR_ARG(target->id),
		    (unsigned long long)target->incarnation,
		    (unsigned long long)old->incarnation);
	if (target->incarnation == old->incarnation &&
	    target->sequence < old->sequence)
		return status_set(STATUS_CONFLICT,
		    "target %.*s: sequence %llu is older than %llu",
		    STR_ARG(target->id), (unsigned long long)target->sequence,
		    (unsigned long long)old->sequence);
	if (equal_targets(old, target))
		return status_set(STATUS_BUSY, "target %.*s is unchanged",
		    STR_ARG(target->id));
	return STATUS_OK;
}

/*
 * Returns whether the incarnation has been draining.  That is final; a target
 * gets calls again only after a restart, with a new incarnation.
 */
static bool
is_drained(const struct registry *registry, const struct registry_target *old,
    const struct registry_target *target)
{
	if (old != NULL && old->state == REGISTRY_DRAINING &&
	    old->incarnation == target->incarnation)
		return true;
	return registry_drained_contains(
	    registry->drained, target->id, target->incarnation);
}

/*
 * Inserts a target at index at, which must keep the order of ids.  The
 * registry takes ownership.
 */
static void
insert_at(
    struct registry *registry, uint32_t at, struct registry_target *target)
{
	if (registry->count == registry->capacity) {
		registry->capacity = registry->capacity > 0
		    ? 2 * registry->capacity
		    : INITIAL_CAPACITY;
		registry->targets = mem_resize(registry->targets,
		    registry->capacity * sizeof(struct registry_target *));
	}
	memmove(&registry->targets[at + 1], &registry->targets[at],
	    (registry->count - at) * sizeof(struct registry_target *));
	registry->targets[at] = target;
	registry->count++;
	g_hash_table_insert(registry->by_id, &target->id, target);
}

/*
 * Frees the target at index at and replaces it with target, which has the same
 * id.  The registry takes ownership.
 */
static void
replace_at(
    struct registry *registry, uint32_t at, struct registry_target *target)
{
	g_hash_table_replace(registry->by_id, &target->id, target);
	mem_free(registry->targets[at]);
	registry->targets[at] = target;
}

/*
 * Adds or updates a target; see registry.h.  Returns STATUS_FULL if there are
 * REGISTRY_TARGETS_MAX targets already.
 */
enum status
registry_upsert(struct registry *registry, const struct registry_target *target)
{
	struct registry_target next = *target;
	const struct registry_target *old = registry_find(registry, next.id);
	uint32_t at = lower_bound(registry, next.id);
	enum status status = STATUS_OK;

	if (is_drained(registry, old, &next))
		next.state = REGISTRY_DRAINING;
	if (old != NULL)
		status = check_newer(old, &next);
	else if (registry->count == REGISTRY_TARGETS_MAX)
		status = status_set(STATUS_FULL,
		    "the registry holds %d targets already",
		    REGISTRY_TARGETS_MAX);
	if (status != STATUS_OK)
		return status;
	if (next.state == REGISTRY_DRAINING)
		registry_drained_add(
		    registry->drained, next.id, next.incarnation);
	if (old != NULL)
		replace_at(registry, at, registry_copy_target(&next));
	else
		insert_at(registry, at, registry_copy_target(&next));
	return STATUS_OK;
}

/*
 * Makes an incarnation of a target draining; see registry.h.
 */
enum status
registry_drain(struct registry *registry, struct str id, uint64_t incarnation)
{
	struct registry_target *target =
	    g_hash_table_lookup(registry->by_id, &id);
	uint64_t newest = registry_drained_incarnation(registry->drained, id);

	if (target != NULL && target->incarnation > newest)
		newest = target->incarnation;
	if (incarnation < newest)
		return status_set(STATUS_CONFLICT,
		    "target %.*s: incarnation %llu is older than %llu",
		    STR_ARG(id), (unsigned long long)incarnation,
		    (unsigned long long)newest);
	if (registry_drained_contains(registry->drained, id, incarnation))
		return status_set(
		    STATUS_BUSY, "target %.*s is draining", STR_ARG(id));
	registry_drained_add(registry->drained, id, incarnation);
	if (target != NULL && target->incarnation == incarnation)
		target->state = REGISTRY_DRAINING;
	return STATUS_OK;
}

/*
 * Removes a target; see registry.h.
 */
enum status
registry_remove(struct registry *registry, struct str id, struct str holder,
    uint64_t incarnation)
{
	const struct registry_target *old = registry_find(registry, id);
	uint32_t at;

	if (old == NULL ||
	    (incarnation != 0 && old->incarnation != incarnation) ||
	    (holder.len > 0 && !str_equal(old->holder, holder)))
		return status_set(STATUS_NOT_FOUND,
		    "no such target of this holder and incarnation: %.*s",
		    STR_ARG(id));
	at = lower_bound(registry, id);
	g_hash_table_remove(registry->by_id, &id);
	mem_free(registry->targets[at]);
	registry->count--;
	memmove(&registry->targets[at], &registry->targets[at + 1],
	    (registry->count - at) * sizeof(struct registry_target *));
	return STATUS_OK;
}

/*
 * Returns a target, or NULL if it is not registered.  It is valid until the
 * registry changes.
 */
const struct registry_target *
registry_find(const struct registry *registry, struct str id)
{
	return g_hash_table_lookup(registry->by_id, &id);
}

/*
 * Visits all targets in order of id; the visitor must not change the registry.
 */
void
registry_for_each(
    const struct registry *registry, registry_visitor *visit, void *ctx)
{
	for (uint32_t i = 0; i < registry->count; i++)
		visit(ctx, registry->targets[i]);
}

/*
 * Returns the number of targets, including draining ones.
 */
uint32_t
registry_count(const struct registry *registry)
{
	return registry->count;
}

/* Returns whether a name consists of 1 to NAME_MAX_BYTES allowed characters. */
static bool
is_valid_name(struct str name)
{
	if (name.len == 0 || name.len > NAME_MAX_BYTES)
		return false;
	for (size_t i = 0; i < name.len; i++) {
		if (!g_ascii_isalnum(name.data[i]) &&
		    strchr("-_.:", name.data[i]) == NULL)
			return false;
		if (name.data[i] == '\0')
			return false;
	}
	return true;
}

/*
 * Returns STATUS_INVALID, with the field in the message, unless the name is
 * valid.
 */
static enum status
check_name(const char *field, struct str name)
{
	if (is_valid_name(name))
		return STATUS_OK;
	return status_set(STATUS_INVALID,
	    "%s: found \"%.*s\"; allowed: 1 to %d of A-Z, a-z, 0-9, '-', "
	    "'_', '.', ':'",
	    field, (int)(name.len > NAME_MAX_BYTES ? NAME_MAX_BYTES : name.len),
	    name.data, NAME_MAX_BYTES);
}

/* Returns STATUS_INVALID unless address is IP:PORT with a port above 0. */
static enum status
check_address(struct str address)
{
	char text[ADDRESS_MAX_BYTES + 1];
	char ip[ADDRESS_MAX_BYTES + 1];
	uint16_t port = 0;

	if (address.len > 0 && address.len <= ADDRESS_MAX_BYTES) {
		memcpy(text, address.data, address.len);
		text[address.len] = '\0';
		if (strlen(text) == address.len &&
		    settings_parse_address(text, ip, sizeof(ip), &port) &&
		    port > 0)
			return STATUS_OK;
	}
	return status_set(STATUS_INVALID,
	    "address: found \"%.*s\"; allowed: an address IP:PORT",
	    (int)(address.len > ADDRESS_MAX_BYTES ? ADDRESS_MAX_BYTES
						  : address.len),
	    address.data);
}

/* Returns STATUS_INVALID unless value is from 1 to max. */
static enum status
check_number(const char *field, uint32_t value, uint32_t max)
{
	if (value >= 1 && value <= max)
		return STATUS_OK;
	return status_set(STATUS_INVALID,
	    "%s: found %u; allowed: a whole number from 1 to %u", field, value,
	    max);
}

/*
 * Checks the announced values of a target; see registry.h.
 */
enum status
registry_check(const struct registry_target *target)
{
	enum status status = check_name("id", target->id);

	if (status == STATUS_OK)
		status = check_name("service", target->service);
	if (status == STATUS_OK)
		status = check_address(target->address);
	if (status == STATUS_OK)
		status = check_name("failure_domain", target->failure_domain);
	if (status == STATUS_OK)
		status =
		    check_number("slots", target->slots, REGISTRY_SLOTS_MAX);
	if (status == STATUS_OK)
		status = check_number("connections", target->connections,
		    REGISTRY_CONNECTIONS_MAX);
	if (status == STATUS_OK && target->state > REGISTRY_DRAINING)
		status = status_set(STATUS_INVALID,
		    "state: found %u; allowed: ready, cold or draining",
		    (unsigned)target->state);
	return status;
}
