#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"
#include "roster/candidate.h"

enum {
	PING_INTERVAL_MS = 300, /* a fifth of the timeout of a channel */
	/* Targets of one scheduler, which cost about a tenth of a core. */
	PART_TARGETS = 40,
	PART_NAME_BYTES = 192,
	PART_SUFFIX_BYTES = 24 /* "#", "/" and two numbers */
};

/*
 * Combines two hashes into a rank for rendezvous hashing.
 */
uint64_t
rank_hash(uint64_t a, uint64_t b)
{
	uint64_t x = a ^ (b + UINT64_C(0x9e3779b97f4a7c15) + (a << 6));

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

/*
 * Returns whether this entry may schedule for others.
 */
bool
fleet_may_schedule(const struct flow *flow)
{
	return is_scheduler_candidate(flow->own_address_hash,
	    flow->settings.processor_millis, flow->entries, flow->most_millis);
}

/*
 * Returns the scheduler of a service; NULL: this entry.  Of the connected
 * entries with the most processor time it is the one with the highest rank, so
 * that all entries agree without communication.
 */
static struct peer_entry *
choose_scheduler(
    struct flow *flow, const struct service *service, bool only_ready)
{
	uint64_t name = service->name_hash;
	bool own = fleet_may_schedule(flow);
	unsigned best_millis = own ? flow->settings.processor_millis : 0;
	uint64_t best_rank = own ? rank_hash(name, flow->own_address_hash) : 0;
	struct peer_entry *best = NULL;
	GHashTableIter iter;
	gpointer value;

	if (flow->stopping)
		best_millis = 0;
	g_hash_table_iter_init(&iter, flow->peer_entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_entry *peer_entry = value;
		uint64_t rank = rank_hash(name, peer_entry->address_hash);

		if (peer_entry->sources == 0 || peer_entry->stopping ||
		    peer_entry->suspect || (only_ready && !peer_entry->ready) ||
		    peer_entry->processor_millis < best_millis ||
		    (peer_entry->processor_millis == best_millis &&
			rank <= best_rank))
			continue;
		best = peer_entry;
		best_millis = peer_entry->processor_millis;
		best_rank = rank;
	}
	flow_count_scanned(flow, g_hash_table_size(flow->peer_entries));
	return best;
}

/*
 * Returns the scheduler of a service among the ready entries; cached for each
 * generation of the fleet.
 */
struct peer_entry *
fleet_scheduler(struct flow *flow, struct service *service)
{
	if (service->scheduler_generation != flow->fleet_generation) {
		service->scheduler = choose_scheduler(flow, service, true);
		service->scheduler_generation = flow->fleet_generation;
	}
	return service->scheduler;
}

/*
 * Returns the scheduler of a service when all connected entries are ready.
 */
struct peer_entry *
fleet_expected_scheduler(struct flow *flow, const struct service *service)
{
	return choose_scheduler(flow, service, false);
}

/*
 * Excludes an unresponsive entry from the choice of schedulers until it
 * responds, so that all entries make the same choice again.
 */
void
fleet_mark_suspect(struct flow *flow, struct peer_entry *peer_entry)
{
	peer_entry->timeouts = 0;
	if (!peer_entry->suspect)
		log_warn("entry_silent", "instance=%s entry=%s",
		    flow->settings.instance, peer_entry->instance);
	if (!peer_entry->suspect) {
		flow->suspect_count++;
		fleet_invalidate_schedulers(flow);
	}
	peer_entry->suspect = true;
	peer_entry->ping_due_us = flow_now_us(flow);
}

/*
 * Includes an entry that has responded in the choice again.
 */
void
fleet_clear_suspect(struct flow *flow, struct peer_entry *peer_entry)
{
	peer_entry->timeouts = 0;
	if (!peer_entry->suspect)
		return;
	peer_entry->suspect = false;
	flow->suspect_count--;
	fleet_invalidate_schedulers(flow);
}

/*
 * Pings unresponsive entries.
 */
void
fleet_ping_suspects(struct flow *flow, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (flow->suspect_count == 0)
		return;
	flow_count_scanned(flow, g_hash_table_size(flow->peer_entries));
	g_hash_table_iter_init(&iter, flow->peer_entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_entry *peer_entry = value;

		if (!peer_entry->suspect || now_us < peer_entry->ping_due_us)
			continue;
		peer_entry->ping_due_us = now_us + PING_INTERVAL_MS * US_PER_MS;
		datagram_send_ping(flow, peer_entry);
	}
}

/*
 * Returns the number of other connected entries: the known ones, or as many as
 * control reports if that is more.
 */
unsigned
fleet_other_entry_count(const struct flow *flow)
{
	unsigned known = g_hash_table_size(flow->peer_entries);

	return flow->entries > known + 1 ? flow->entries - 1 : known;
}

/*
 * Parses the name of a part, NAME#PART/PARTS or just NAME, and returns the
 * number of parts.
 */
static unsigned
parse_part_name(const char *text, char name[PART_NAME_BYTES])
{
	const char *mark = strrchr(text, '#');
	const char *slash = mark != NULL ? strchr(mark, '/') : NULL;
	uint64_t parts = 1;

	snprintf(name, PART_NAME_BYTES, "%.*s",
	    slash != NULL ? (int)(mark - text) : (int)strlen(text), text);
	if (slash != NULL && !str_to_u64(str_from(slash + 1), &parts))
		parts = 1;
	return parts > 0 && parts <= FLEET_PARTS_MAX ? (unsigned)parts : 1;
}

/*
 * Returns the number of the part in a part's name, 0 for a whole service;
 * UINT_MAX if it can't be read.
 */
static unsigned
parse_part_number(const char *text)
{
	const char *mark = strrchr(text, '#');
	const char *slash = mark != NULL ? strchr(mark, '/') : NULL;
	uint64_t part = 0;

	if (slash == NULL)
		return 0;
	return str_to_u64(
		   str_of(mark + 1, (size_t)(slash - mark - 1)), &part) &&
		part < FLEET_PARTS_MAX
	    ? (unsigned)part
	    : UINT_MAX;
}

/*
 * Frees a service; a GDestroyNotify.
 */
void
flow_service_free(void *value)
{
	struct service *service = value;

	placement_free(service->placement);
	g_ptr_array_free(service->pools, TRUE);
	mem_free(service->whole_name);
	mem_free(service->name);
	mem_free(service);
}

/*
 * Returns a service by name, which is created at first use.
 */
struct service *
fleet_service(struct flow *flow, const char *name)
{
	struct service *service = g_hash_table_lookup(flow->services, name);
	char whole_name[PART_NAME_BYTES];

	if (service != NULL)
		return service;
	service = mem_calloc(1, sizeof(*service));
	service->parts = parse_part_name(name, whole_name);
	service->part = parse_part_number(name);
	service->flow = flow;
	service->name = str_dup(str_from(name));
	service->whole_name = str_dup(str_from(whole_name));
	service->name_hash = str_hash(str_from(name));
	service->scheduler_generation = flow->fleet_generation - 1;
	service->pools = g_ptr_array_new();
	service->placement = schedule_placement(service);
	g_hash_table_insert(flow->services, service->name, service);
	cold_on_service(service);
	fleet_invalidate_schedulers(flow);
	return service;
}

/*
 * Returns one of a service's parts; the service itself if it has only one.
 */
struct service *
fleet_part(struct flow *flow, const char *name, unsigned parts, unsigned part)
{
	char text[PART_NAME_BYTES + PART_SUFFIX_BYTES];

	if (parts <= 1)
		return fleet_service(flow, name);
	snprintf(text, sizeof(text), "%s#%u/%u", name, part, parts);
	return fleet_service(flow, text);
}

/*
 * Returns the size of a service, which is created with one part.
 */
struct service_size *
fleet_service_size(struct flow *flow, const char *name)
{
	struct service_size *size =
	    g_hash_table_lookup(flow->service_sizes, name);

	if (size == NULL) {
		size = mem_calloc(1, sizeof(*size));
		size->parts = 1;
		g_hash_table_insert(flow->service_sizes, g_strdup(name), size);
	}
	return size;
}

/*
 * Adds a target to its part.
 */
static void
add_pool_to_part(struct flow *flow, struct pool *pool)
{
	const struct roster_target *target =
	    roster_find(flow->roster, pool->id);
	unsigned parts = fleet_service_size(flow, pool->service)->parts;

	pool->service_part = fleet_part(flow, pool->service, parts,
	    (unsigned)(str_hash(str_from(pool->id)) % parts));
	g_ptr_array_add(pool->service_part->pools, pool);
	flow->usable_generation++;
	probe_update(pool);
	if (target != NULL)
		placement_add_target(pool->service_part->placement, pool->id,
		    pool->failure_domain, target->slots, target->warmup_end_us,
		    flow_now_us(flow));
	away_on_added(pool);
	evacuation_on_added(pool);
	cold_on_added(pool);
	rate_on_added(pool);
}

static void
remove_pool_from_part(struct pool *pool)
{
	placement_remove_target(pool->service_part->placement, pool->id);
	g_ptr_array_remove_fast(pool->service_part->pools, pool);
	pool->flow->usable_generation++;
	probe_remove(pool);
}

/*
 * Returns whether a service has too few targets for a number of parts.  The
 * threshold is a quarter lower than the one for splitting, so that the number
 * does not change often.
 */
static bool
has_too_many_parts(const struct service_size *size, unsigned parts)
{
	return parts > 1 && size->targets * 4 < 3 * parts * PART_TARGETS;
}

/*
 * Splits a service's targets into the given number of parts.
 */
static void
split_service(struct flow *flow, const char *name, unsigned parts)
{
	struct service_size *size = fleet_service_size(flow, name);
	GHashTableIter iter;
	gpointer value;

	log_info("service_parts",
	    "instance=%s service=%s targets=%u parts=%u before=%u",
	    flow->settings.instance, name, size->targets, parts, size->parts);
	size->parts = parts;
	part_reset(size);
	g_hash_table_iter_init(&iter, flow->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;

		if (strcmp(pool->service, name) != 0)
			continue;
		remove_pool_from_part(pool);
		add_pool_to_part(flow, pool);
	}
}

/*
 * Adjusts the number of parts after the number of targets has changed.
 */
static void
adjust_parts(struct flow *flow, const char *name, int change)
{
	struct service_size *size = fleet_service_size(flow, name);
	unsigned parts = size->parts;

	size->targets += (unsigned)change;
	while (parts < FLEET_PARTS_MAX &&
	    size->targets >= 2 * parts * PART_TARGETS)
		parts *= 2;
	while (has_too_many_parts(size, parts))
		parts /= 2;
	if (parts != size->parts)
		split_service(flow, name, parts);
}

/*
 * Adopts a larger number of parts from another entry.  Between the thresholds
 * for merging and splitting the number depends on how many targets an entry had
 * before, so the larger one wins if entries differ.
 */
unsigned
fleet_adopt_parts(struct flow *flow, const char *name, unsigned parts)
{
	struct service_size *size = fleet_service_size(flow, name);

	if (parts > size->parts && parts <= FLEET_PARTS_MAX &&
	    (parts & (parts - 1)) == 0 && !has_too_many_parts(size, parts))
		split_service(flow, name, parts);
	return size->parts;
}

/*
 * Returns the part that another entry asks for.  If that entry uses another
 * number of parts, any local part serves it.
 */
struct service *
fleet_resolve_part(struct flow *flow, const char *text)
{
	char name[PART_NAME_BYTES];
	unsigned parts = parse_part_name(text, name);
	const struct service_size *size =
	    g_hash_table_lookup(flow->service_sizes, name);

	/* Do not allocate state for names that occur only in datagrams. */
	if (size == NULL || size->targets == 0)
		return NULL;
	if (fleet_adopt_parts(flow, name, parts) == parts &&
	    parse_part_number(text) < parts)
		return fleet_part(flow, name, parts, parse_part_number(text));
	parts = fleet_service_size(flow, name)->parts;
	return fleet_part(
	    flow, name, parts, fleet_service_size(flow, name)->next++ % parts);
}

/*
 * Returns the number of parts of a service on this entry.
 */
unsigned
fleet_parts(struct flow *flow, const struct service *service)
{
	char name[PART_NAME_BYTES];

	(void)parse_part_name(service->name, name);
	return fleet_service_size(flow, name)->parts;
}

/*
 * Adopts the number of parts that the scheduler of a service uses.
 */
void
fleet_adopt_scheduler_parts(
    struct flow *flow, const struct service *service, unsigned parts)
{
	char name[PART_NAME_BYTES];

	(void)parse_part_name(service->name, name);
	(void)fleet_adopt_parts(flow, name, parts);
}

/*
 * A target was added: it gets requests from now on.
 */
void
service_on_added(void *ctx, struct roster_target *target)
{
	struct flow *flow = ctx;
	struct pool *pool = mem_calloc(1, sizeof(*pool));

	pool->flow = flow;
	pool->id = str_dup(str_from(target->id));
	pool->address = str_dup(str_from(target->address));
	pool->service = str_dup(str_from(target->service));
	pool->started_ms = target->started_ms;
	pool->failure_domain =
	    (uint32_t)str_hash(str_from(target->failure_domain));
	g_queue_init(&pool->idle);
	g_queue_init(&pool->all);
	add_pool_to_part(flow, pool);
	g_hash_table_replace(flow->pools, pool->id, pool);
	adjust_parts(flow, pool->service, 1);
	if (flow_may_log(flow))
		log_info("target",
		    "instance=%s target=%s service=%s address=%s "
		    "started=%" PRIu64 " sequence=%" PRIu64
		    " slots=%u targets=%u",
		    flow->settings.instance, target->id, target->service,
		    target->address, target->started_ms, target->sequence,
		    target->slots, g_hash_table_size(flow->pools));
}

/*
 * A target has left or was replaced: it gets no new requests.
 */
void
service_on_removed(void *ctx, struct roster_target *target)
{
	struct flow *flow = ctx;
	struct pool *pool = g_hash_table_lookup(flow->pools, target->id);

	if (pool != NULL)
		remove_pool_from_part(pool);
	g_hash_table_remove(flow->pools, target->id);
	adjust_parts(flow, target->service, -1);
	if (flow_may_log(flow))
		log_info("target_gone",
		    "instance=%s target=%s service=%s started=%" PRIu64
		    " targets=%u",
		    flow->settings.instance, target->id, target->service,
		    target->started_ms, g_hash_table_size(flow->pools));
}
