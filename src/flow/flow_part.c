/*
 * Which part of a service an own request is asked at, by the parts' targets and
 * loads.  Services with one part keep no state here.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

static const char *const reason_names[PART_REASONS] = {
    [PART_SHARE] = "share",
    [PART_SHORT] = "short",
    [PART_MOVED] = "moved",
};

/*
 * Registers the counters.
 */
void
part_open(struct flow *flow)
{
	for (unsigned i = 0; i < PART_REASONS; i++)
		flow->part_choices[i] = counter_register(COUNTER_TOTAL,
		    "gypsummill_flow_part_choices_total",
		    "Requests of services with several parts, by the reason of "
		    "the choice (count)",
		    "reason=\"%s\"", reason_names[i]);
}

/*
 * Forgets the loads of a service's parts, whose number changes.
 */
void
part_reset(struct service_size *size)
{
	part_choice_free(size->choice);
	size->choice = NULL;
	mem_free(size->part_services);
	size->part_services = NULL;
}

/*
 * Frees the size of a service; a GDestroyNotify.
 */
void
service_size_free(void *value)
{
	part_reset(value);
	mem_free(value);
}

/*
 * Counts the targets of a part that this entry may use, and lowers the time in
 * microseconds after which a further one may be used again.
 */
static unsigned
count_usable(const struct service *service, uint64_t *soonest_us)
{
	unsigned count = 0;

	for (guint i = 0; i < service->pools->len; i++) {
		const struct pool *pool = service->pools->pdata[i];
		uint64_t left_us = away_left_us(service->flow, pool->id);

		if (left_us > 0 && left_us < *soonest_us)
			*soonest_us = left_us;
		if (left_us == 0 && !pool->evacuated)
			count++;
	}
	return count;
}

/*
 * Brings the choice among a service's parts up to date: usable targets after a
 * change, and the loads of the parts that this entry schedules itself.
 */
static void
update_choice(struct flow *flow, const char *name, struct service_size *size)
{
	uint64_t now = flow_now_us(flow);
	uint64_t soonest_us = UINT64_MAX / 2;

	if (size->choice == NULL) {
		size->choice =
		    part_choice_new(size->parts, random_next(&flow->random));
		size->part_services =
		    mem_calloc(size->parts, sizeof(struct service *));
		for (unsigned i = 0; i < size->parts; i++)
			size->part_services[i] =
			    fleet_part(flow, name, size->parts, i);
		size->count_due_boot_us = 0;
	}
	if (size->usable_generation != flow->usable_generation ||
	    clock_boot_us() >= size->count_due_boot_us) {
		for (unsigned i = 0; i < size->parts; i++)
			part_choice_set_targets(size->choice, i,
			    count_usable(size->part_services[i], &soonest_us));
		size->usable_generation = flow->usable_generation;
		size->count_due_boot_us = clock_boot_us() + soonest_us;
	}
	for (unsigned i = 0; i < size->parts; i++) {
		const struct service *service = size->part_services[i];

		if (service->owner)
			part_choice_note_load(
			    size->choice, i, part_load(service), now);
	}
}

/*
 * Returns the part of a service for its next request.
 */
struct service *
fleet_next_part(struct flow *flow, const char *name)
{
	struct service_size *size = fleet_service_size(flow, name);
	enum part_reason reason;
	unsigned part;

	if (size->parts <= 1)
		return fleet_service(flow, name);
	update_choice(flow, name, size);
	part = part_choice_next(size->choice, flow_now_us(flow), &reason);
	counter_add(flow->part_choices[reason], 1);
	return size->part_services[part];
}

/*
 * Gives a request a part of the current number.  While it waited, e.g. for a
 * voter, the service may have been split, and its part has no targets then.
 */
void
part_update(struct exchange *x)
{
	const struct service_size *size =
	    g_hash_table_lookup(x->flow->service_sizes, x->service->whole_name);

	if (size != NULL && size->parts != x->service->parts)
		x->service = fleet_next_part(x->flow, x->service->whole_name);
}

/*
 * Returns the load of a part in the placement of this entry, for a message; 0
 * for a service that has only one part.
 */
uint32_t
part_load(const struct service *service)
{
	return service->parts > 1
	    ? placement_get_load(service->placement, flow_now_us(service->flow))
	    : 0;
}

/*
 * Returns the size of the service of which this is one of the current parts, if
 * this entry chooses among them; otherwise NULL.
 */
static struct service_size *
find_size(const struct service *service)
{
	struct service_size *size;

	if (service->parts <= 1)
		return NULL;
	size = g_hash_table_lookup(
	    service->flow->service_sizes, service->whole_name);
	return size != NULL && size->choice != NULL &&
		size->parts == service->parts && service->part < size->parts
	    ? size
	    : NULL;
}

/*
 * The scheduler of a part has reported its load.
 */
void
part_on_load(const struct service *service, uint32_t load)
{
	struct service_size *size = find_size(service);

	if (size != NULL)
		part_choice_note_load(size->choice, service->part, load,
		    flow_now_us(service->flow));
}

/*
 * Returns the usual work of a request in microseconds, 0 if it is not known.
 */
uint64_t
part_work_us(const struct exchange *x)
{
	struct placement_model model;

	placement_get_model(x->service->placement, &x->route->id, &model);
	return model.route_count > 0 ? model.work_us[0] : 0;
}

/*
 * Returns whether a request may be asked at another part: it was not sent, it
 * was not moved before, and it can still be answered within its objective.
 */
static bool
may_move(const struct exchange *x)
{
	if (x->ended || x->part_moved || x->attempt_count > 0 ||
	    allowance_has_grant(x))
		return false;
	return flow_now_us(x->flow) + part_work_us(x) < x->objective_us;
}

static void
log_move(const struct exchange *x, const struct service_size *size, unsigned to)
{
	struct flow *flow = x->flow;
	uint64_t now = flow_now_us(flow);
	uint64_t from_age, to_age;
	uint32_t from_load =
	    part_choice_load(size->choice, x->service->part, now, &from_age);
	uint32_t to_load = part_choice_load(size->choice, to, now, &to_age);

	if (!flow_may_log_routine(flow))
		return;
	log_info("part_moved",
	    "instance=%s service=%s request=%" PRIu64 " attempt=%s from=%u "
	    "to=%u from_load=%u from_age_ms=%" PRIu64 " to_load=%u "
	    "to_age_ms=%" PRIu64,
	    flow->settings.instance, x->service->whole_name, x->id,
	    x->attempt_id, x->service->part, to, from_load,
	    from_age / US_PER_MS, to_load, to_age / US_PER_MS);
}

/*
 * Asks another part for a target, once in a request's life, if the one that has
 * just held or rejected it has no free slot and the other is known to have
 * room.  Returns false if the request stays; after true it may have ended.
 */
bool
part_move(struct exchange *x)
{
	struct service_size *size = find_size(x->service);
	unsigned to;

	if (size == NULL || !may_move(x) ||
	    !part_choice_move(
		size->choice, x->service->part, flow_now_us(x->flow), &to))
		return false;
	counter_add(x->flow->part_choices[PART_MOVED], 1);
	log_move(x, size, to);
	schedule_cancel(x);
	x->part_moved = true;
	x->service = size->part_services[to];
	schedule_ask(x, x->ask_repeat);
	return true;
}
