#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/* An instance that few have told of yet is served by who knows it. */
	SYNC_WAIT_MS = 2000,
	CONTROLS_MAX = 16,
	/* One more than may be lost at once without any loss of news. */
	PRIMARIES = 2,
	SIGN_MS = 300, /* a fifth of the silence that ends a channel */
	/* Targets of one scheduler: what a tenth of a core keeps count of. */
	PART_TARGETS = 40,
	PARTS_MAX = 64,
	PART_NAME_BYTES = 192,
	/* Two of the leader's heartbeats: by then the near one has applied it. */
	FETCH_AFTER_MS = 200,
	TARGET_KEPT_MS = 60 * 1000 /* as control keeps it */
};

/* Part of a service's slack of repeats for the one that schedules it. */
#define SCHEDULER_SLACK 0.7

static uint64_t
mix(uint64_t a, uint64_t b)
{
	uint64_t x = a ^ (b + UINT64_C(0x9e3779b97f4a7c15) + (a << 6));

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

/*
 * Returns whether another entry counts as connected and takes requests.
 */
static bool
is_live(const struct fellow *fellow)
{
	return fellow->sources != 0 && fellow->ready;
}

/*
 * Returns the scheduler of a service: of the live entries with the most
 * processor time the one that the hash ranks first, so that all entries agree
 * without a word.  NULL: this entry.
 */
struct fellow *
fleet_scheduler(struct flow *flow, const struct service *service)
{
	uint64_t name = str_hash(str_from(service->name));
	unsigned best_millis = flow->settings.processor_millis;
	uint64_t best_rank =
	    mix(name, str_hash(str_from(flow->settings.datagram_address)));
	struct fellow *best = NULL;
	GHashTableIter iter;
	gpointer value;

	if (flow->stopping)
		best_millis = 0;
	g_hash_table_iter_init(&iter, flow->fellows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fellow *fellow = value;
		uint64_t rank = mix(name, str_hash(str_from(fellow->address)));

		if (!is_live(fellow) || fellow->suspect ||
		    fellow->processor_millis < best_millis ||
		    (fellow->processor_millis == best_millis &&
			rank <= best_rank))
			continue;
		best = fellow;
		best_millis = fellow->processor_millis;
		best_rank = rank;
	}
	return best;
}

/*
 * Takes a silent entry out of the choice of schedulers until it gives a sign,
 * so that all entries come to the same choice again.
 */
void
fleet_suspect(struct flow *flow, struct fellow *fellow)
{
	fellow->timeouts = 0;
	if (!fellow->suspect)
		log_warn("entry_silent", "instance=%s entry=%s",
		    flow->settings.instance, fellow->instance);
	fellow->suspect = true;
	fellow->sign_us = flow_now_us(flow);
}

static void
ask_signs(struct flow *flow, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->fellows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fellow *fellow = value;

		if (!fellow->suspect || now_us < fellow->sign_us)
			continue;
		fellow->sign_us = now_us + SIGN_MS * US_PER_MS;
		schedule_ask_sign(flow, fellow);
	}
}

/*
 * Returns how many other entries are connected.
 */
unsigned
fleet_size(const struct flow *flow)
{
	return g_hash_table_size(flow->fellows);
}

static void
service_free(void *value)
{
	struct service *service = value;

	placement_free(service->placement);
	mem_free(service->name);
	mem_free(service);
}

static void
fellow_free(void *value)
{
	struct fellow *fellow = value;

	mem_free(fellow->address);
	mem_free(fellow->instance);
	mem_free(fellow);
}

/*
 * Returns a service by name, made at its first use.
 */
struct service *
fleet_service(struct flow *flow, const char *name)
{
	struct service *service = g_hash_table_lookup(flow->services, name);

	if (service != NULL)
		return service;
	service = mem_calloc(1, sizeof(*service));
	service->flow = flow;
	service->name = str_dup(str_from(name));
	service->placement = schedule_placement(service);
	g_hash_table_insert(flow->services, service->name, service);
	return service;
}

static struct service *
part_of(struct flow *flow, const char *name, unsigned parts, unsigned part)
{
	char text[PART_NAME_BYTES];

	if (parts <= 1)
		return fleet_service(flow, name);
	snprintf(text, sizeof(text), "%s#%u/%u", name, part, parts);
	return fleet_service(flow, text);
}

static struct service_size *
size_of(struct flow *flow, const char *name)
{
	struct service_size *size = g_hash_table_lookup(flow->sizes, name);

	if (size == NULL) {
		size = g_new0(struct service_size, 1);
		size->parts = 1;
		g_hash_table_insert(flow->sizes, g_strdup(name), size);
	}
	return size;
}

/*
 * Returns the part of a service's targets that the next request goes to.
 */
struct service *
fleet_pick(struct flow *flow, const char *name)
{
	struct service_size *size = size_of(flow, name);

	return part_of(flow, name, size->parts, size->next++ % size->parts);
}

/*
 * Puts a target into its part.
 */
static void
place_pool(struct flow *flow, struct pool *pool)
{
	const struct roster_target *target =
	    roster_find(flow->roster, pool->id);
	unsigned parts = size_of(flow, pool->service)->parts;

	pool->of = part_of(flow, pool->service, parts,
	    (unsigned)(str_hash(str_from(pool->id)) % parts));
	pool->of->targets++;
	if (target != NULL)
		placement_add_target(pool->of->placement, pool->id,
		    pool->failure_domain, target->slots, target->warm_us,
		    flow_now_us(flow));
}

static void
unplace_pool(struct pool *pool)
{
	placement_remove_target(pool->of->placement, pool->id);
	pool->of->targets--;
}

/*
 * Splits a service's targets into more or fewer parts as their number
 * changes; a quarter of slack on the way down keeps it from changing often.
 */
static void
resize(struct flow *flow, const char *name, int change)
{
	struct service_size *size = size_of(flow, name);
	unsigned parts = size->parts;
	GHashTableIter iter;
	gpointer value;

	size->targets += (unsigned)change;
	while (parts < PARTS_MAX && size->targets >= 2 * parts * PART_TARGETS)
		parts *= 2;
	while (parts > 1 && size->targets * 4 < 3 * parts * PART_TARGETS)
		parts /= 2;
	if (parts == size->parts)
		return;
	log_info("service_parts",
	    "instance=%s service=%s targets=%u parts=%u before=%u",
	    flow->settings.instance, name, size->targets, parts, size->parts);
	size->parts = parts;
	g_hash_table_iter_init(&iter, flow->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;

		if (strcmp(pool->service, name) != 0)
			continue;
		unplace_pool(pool);
		place_pool(flow, pool);
	}
}

/*
 * A target has announced itself: it gets requests from now on.
 */
static void
on_target_added(void *ctx, struct roster_target *target)
{
	struct flow *flow = ctx;
	struct pool *pool = mem_calloc(1, sizeof(*pool));

	pool->flow = flow;
	pool->id = str_dup(str_from(target->id));
	pool->address = str_dup(str_from(target->address));
	pool->service = str_dup(str_from(target->service));
	pool->failure_domain =
	    (uint32_t)str_hash(str_from(target->failure_domain));
	g_queue_init(&pool->idle);
	g_queue_init(&pool->all);
	place_pool(flow, pool);
	g_hash_table_replace(flow->pools, pool->id, pool);
	resize(flow, pool->service, 1);
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
 * A target has left, or its place has another: no new request goes there.
 */
static void
on_target_removed(void *ctx, struct roster_target *target)
{
	struct flow *flow = ctx;
	struct pool *pool = g_hash_table_lookup(flow->pools, target->id);

	if (pool != NULL)
		unplace_pool(pool);
	g_hash_table_remove(flow->pools, target->id);
	resize(flow, target->service, -1);
	if (flow_may_log(flow))
		log_info("target_gone",
		    "instance=%s target=%s service=%s started=%" PRIu64
		    " targets=%u",
		    flow->settings.instance, target->id, target->service,
		    target->started_ms, g_hash_table_size(flow->pools));
}

static void
on_announcement(struct flow *flow, const Fleet__Announcement *m)
{
	uint64_t now = flow_now_us(flow);
	const struct roster_target target = {
	    .id = m->id,
	    .service = m->service,
	    .address = m->address,
	    .failure_domain = m->failure_domain,
	    .started_ms = m->started_ms,
	    .sequence = m->sequence,
	    .slots = m->slots,
	    .warm_us = now + m->warm_in_ms * US_PER_MS,
	    .heard_us = now,
	};

	(void)roster_announce(flow->roster, &target);
}

static void
on_departure(struct flow *flow, const Fleet__Departure *m)
{
	const struct roster_departure departure = {
	    .id = m->id,
	    .started_ms = m->started_ms,
	    .recorded_ms = m->recorded_ms,
	};

	(void)roster_depart(flow->roster, &departure);
}

/*
 * Takes a document that is newer than the one in force; an older one comes
 * from an instance that is behind.
 */
static void
on_document(struct flow *flow, struct channel *from, const Fleet__Document *m)
{
	struct routes *routes = NULL;

	if (m->index <= flow->document_index)
		return;
	if (m->text.len == 0) {
		/* Only named: the text comes from nearby, or is asked for. */
		if (m->index > flow->named_index) {
			flow->named_us = flow_now_us(flow);
			flow->named_index = m->index;
			flow->named_by = from;
		}
		return;
	}
	if (flow->dialect.read_document(
		str_of((const char *)m->text.data, m->text.len), &routes) !=
	    STATUS_OK) {
		log_error("document_unreadable",
		    "instance=%s index=%" PRIu64 " reason=\"%s\"",
		    flow->settings.instance, m->index, status_message());
		return;
	}
	routes_shuffle(routes, random_next(&flow->random));
	routes_put(flow->routes);
	flow->routes = routes;
	flow->document_index = m->index;
	log_info("document",
	    "instance=%s index=%" PRIu64 " version=%" PRIu64 " bytes=%zu",
	    flow->settings.instance, m->index, m->version, m->text.len);
}

/*
 * Takes news of another entry from one control instance.
 */
static void
on_entry(struct flow *flow, const struct control *from, const Fleet__Entry *m)
{
	const Fleet__Hello *hello = m->hello;
	struct fellow *fellow;
	unsigned bit = 1u << from->bit;

	if (hello == NULL ||
	    strcmp(hello->datagram_address, flow->settings.datagram_address) ==
		0)
		return;
	fellow = g_hash_table_lookup(flow->fellows, hello->datagram_address);
	if (m->gone) {
		if (fellow != NULL)
			fellow->sources &= ~bit;
		return;
	}
	if (fellow == NULL) {
		fellow = mem_calloc(1, sizeof(*fellow));
		fellow->address = str_dup(str_from(hello->datagram_address));
		fellow->instance = str_dup(str_from(hello->instance));
		if (!address_parse(fellow->address, &fellow->datagram)) {
			fellow_free(fellow);
			return;
		}
		g_hash_table_insert(flow->fellows, fellow->address, fellow);
	}
	fellow->processor_millis = hello->processor_millis;
	fellow->ready = hello->ready;
	fellow->sources |= bit;
}

static struct control *control_of(struct flow *flow, const char *address);

static void
on_members(struct flow *flow, const Fleet__Members *m)
{
	for (size_t i = 0; i < m->n_address; i++)
		(void)control_of(flow, m->address[i]);
}

static void
forget_source(struct flow *flow, unsigned bit)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->fellows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct fellow *)value)->sources &= ~(1u << bit);
}

/*
 * Forgets what only lost control instances have told, now that another one
 * has told all.
 */
static void
forget_stale(struct flow *flow)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control *control = value;

		if (control->stale && !control->synced)
			forget_source(flow, control->bit);
		control->stale = false;
	}
}

static struct control *
control_by_channel(struct flow *flow, const struct channel *channel)
{
	return g_hash_table_lookup(flow->controls, channel_address(channel));
}

static void
on_frame(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct flow *flow = ctx;
	struct control *control = control_by_channel(flow, channel);

	if (control == NULL)
		return;
	switch (frame->body_case) {
	case FLEET__FRAME__BODY_DOCUMENT:
		on_document(flow, channel, frame->document);
		break;
	case FLEET__FRAME__BODY_ANNOUNCEMENT:
		on_announcement(flow, frame->announcement);
		break;
	case FLEET__FRAME__BODY_DEPARTURE:
		on_departure(flow, frame->departure);
		break;
	case FLEET__FRAME__BODY_ENTRY:
		on_entry(flow, control, frame->entry);
		break;
	case FLEET__FRAME__BODY_MEMBERS:
		on_members(flow, frame->members);
		break;
	case FLEET__FRAME__BODY_SYNCED:
		control->synced = true;
		if (control->primary)
			forget_stale(flow);
		if (flow->first_synced_us == 0)
			flow->first_synced_us = flow_now_us(flow);
		break;
	default:
		break;
	}
}

static void
send_hello(struct flow *flow, const struct control *control)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Hello hello = FLEET__HELLO__INIT;

	hello.instance = (char *)flow->settings.instance;
	hello.failure_domain = (char *)flow->settings.failure_domain;
	hello.caller_address = (char *)flow->settings.caller_address;
	hello.datagram_address = (char *)flow->settings.datagram_address;
	hello.ready = flow->ready && !flow->stopping;
	hello.processor_millis = flow->settings.processor_millis;
	hello.started_ms = flow->started_ms;
	hello.wants_all = control->primary;
	frame.body_case = FLEET__FRAME__BODY_HELLO;
	frame.hello = &hello;
	channel_send(control->channel, &frame);
}

static unsigned
count_primaries(const struct flow *flow)
{
	unsigned count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const struct control *)value)->primary ? 1 : 0;
	return count;
}

/*
 * Returns the open control instance that is next to tell of targets and
 * entries: ranked by a hash, so that entries spread over all.
 */
static struct control *
next_primary(const struct flow *flow)
{
	uint64_t own = str_hash(str_from(flow->settings.datagram_address));
	struct control *best = NULL;
	uint64_t best_rank = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control *control = value;
		uint64_t rank = mix(
		    own, str_hash(str_from(channel_address(control->channel))));

		if (control->primary || !channel_is_open(control->channel) ||
		    (best != NULL && rank <= best_rank))
			continue;
		best = control;
		best_rank = rank;
	}
	return best;
}

/*
 * Keeps PRIMARIES control instances that tell of targets and entries; edits
 * and departures come from all.
 */
static void
choose_primaries(struct flow *flow)
{
	struct control *control;

	while (count_primaries(flow) < PRIMARIES &&
	    (control = next_primary(flow)) != NULL) {
		control->primary = true;
		if (control->synced)
			send_hello(flow, control);
	}
}

static void
on_opened(void *ctx, struct channel *channel)
{
	struct flow *flow = ctx;
	struct control *control = control_by_channel(flow, channel);

	if (control == NULL)
		return;
	control->opened_us = flow_now_us(flow);
	log_info("control_connected", "instance=%s control=%s",
	    flow->settings.instance, channel_address(channel));
	choose_primaries(flow);
	send_hello(flow, control);
}

/*
 * The host of a lost control instance may be lost with all that runs there.
 */
static void
suspect_host(struct flow *flow, const char *address)
{
	struct sockaddr_in at;
	GHashTableIter iter;
	gpointer value;

	if (!address_parse(address, &at))
		return;
	g_hash_table_iter_init(&iter, flow->fellows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fellow *fellow = value;

		if (fellow->datagram.sin_addr.s_addr == at.sin_addr.s_addr)
			fleet_suspect(flow, fellow);
	}
}

/*
 * A control instance is gone.  Whom it told of stays until another has told
 * all that it knows.
 */
static void
on_closed(void *ctx, struct channel *channel, const char *reason)
{
	struct flow *flow = ctx;
	struct control *control = control_by_channel(flow, channel);
	log_warn("control_lost", "instance=%s control=%s reason=\"%s\"",
	    flow->settings.instance, channel_address(channel), reason);
	suspect_host(flow, channel_address(channel));
	if (flow->named_by == channel)
		flow->named_by = NULL;
	if (control == NULL)
		return;
	control->synced = false;
	control->stale = control->stale || control->primary;
	control->primary = false;
	choose_primaries(flow);
}

static void
control_free(void *value)
{
	struct control *control = value;

	channel_close(control->channel);
	mem_free(control);
}

/*
 * Returns a control instance by its link address, dialled at the first use.
 */
static struct control *
control_of(struct flow *flow, const char *address)
{
	struct control *control = g_hash_table_lookup(flow->controls, address);
	const struct channel_callbacks callbacks = {
	    .ctx = flow,
	    .opened = on_opened,
	    .message = on_frame,
	    .closed = on_closed,
	};

	if (control != NULL || address[0] == '\0' ||
	    g_hash_table_size(flow->controls) >= CONTROLS_MAX)
		return control;
	control = mem_calloc(1, sizeof(*control));
	control->bit = flow->control_bits++ % 32;
	control->channel = channel_dial(flow->loop, address, &callbacks);
	g_hash_table_insert(flow->controls, g_strdup(address), control);
	return control;
}

/*
 * Tells all control instances of this entry, after its state has changed.
 */
void
fleet_greet(struct flow *flow)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_hello(flow, value);
}

/*
 * Returns whether enough has been heard to serve: most control instances
 * that answer have told all, or some time has passed since the first.
 */
static bool
has_heard_enough(const struct flow *flow)
{
	unsigned synced = 0;
	GHashTableIter iter;
	gpointer value;

	if (flow->routes == NULL || flow->first_synced_us == 0)
		return false;
	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		synced += ((const struct control *)value)->synced ? 1 : 0;
	return synced * 2 > g_hash_table_size(flow->controls) ||
	    flow_now_us(flow) - flow->first_synced_us >
	    SYNC_WAIT_MS * US_PER_MS;
}

/*
 * Gives a placement its share of the service's repeats: most to the one that
 * schedules, a little to each entry that may have to decide alone.
 */
static void
set_limits(struct flow *flow, struct service *service)
{
	const char *part = strrchr(service->name, '/');
	double parts = part != NULL ? g_ascii_strtod(part + 1, NULL) : 1;
	struct repeat_limits limits = flow->settings.repeats;

	if (schedule_is_active(service))
		limits.slack *= SCHEDULER_SLACK / parts;
	else
		limits.slack *=
		    (1 - SCHEDULER_SLACK) / parts / (fleet_size(flow) + 1);
	placement_set_limits(service->placement, &limits);
}

static void
update_owners(struct flow *flow)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;
		bool owner =
		    !flow->stopping && fleet_scheduler(flow, service) == NULL;

		if (owner != service->owner)
			log_info("scheduler",
			    "instance=%s service=%s here=%d entries=%u",
			    flow->settings.instance, service->name, owner,
			    fleet_size(flow));
		if (owner && !service->owner)
			placement_succeed(
			    service->placement, flow_now_us(flow));
		service->owner = owner;
		set_limits(flow, service);
	}
}

static gboolean
is_gone(void *key ATTR_UNUSED, void *value, void *ctx ATTR_UNUSED)
{
	return ((const struct fellow *)value)->sources == 0;
}

/*
 * Asks for a document that has been named and does not come from nearby.
 */
static void
fetch_document(struct flow *flow, uint64_t now_us)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Fetch fetch = FLEET__FETCH__INIT;

	if (flow->named_index <= flow->document_index ||
	    now_us - flow->named_us < FETCH_AFTER_MS * US_PER_MS)
		return;
	frame.body_case = FLEET__FRAME__BODY_FETCH;
	frame.fetch = &fetch;
	if (flow->named_by != NULL)
		channel_send(flow->named_by, &frame);
	/* Should the answer be lost, the next one that names it is asked. */
	flow->named_index = flow->document_index;
}

/*
 * Looks at readiness, at who schedules what, and at who is gone.
 */
void
fleet_tick(struct flow *flow)
{
	uint64_t now = flow_now_us(flow);
	bool ready = !flow->stopping && has_heard_enough(flow);

	for (unsigned i = 0; i < flow->settings.seed_count; i++)
		(void)control_of(flow, flow->settings.seeds[i]);
	g_hash_table_foreach_remove(flow->fellows, is_gone, NULL);
	if (ready != flow->ready) {
		flow->ready = ready;
		log_info("ready",
		    "instance=%s ready=%d index=%" PRIu64 " targets=%u",
		    flow->settings.instance, ready, flow->document_index,
		    g_hash_table_size(flow->pools));
		fleet_greet(flow);
	}
	update_owners(flow);
	fetch_document(flow, now);
	ask_signs(flow, now);
	if (now > TARGET_KEPT_MS * US_PER_MS)
		roster_expire(flow->roster, now - TARGET_KEPT_MS * US_PER_MS);
}

/*
 * Sets up what is known of the fleet, and dials the seeds.
 */
void
fleet_open(struct flow *flow)
{
	const struct roster_callbacks callbacks = {
	    .ctx = flow,
	    .added = on_target_added,
	    .removed = on_target_removed,
	};

	flow->roster = roster_new(&callbacks);
	flow->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	flow->sizes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	flow->fellows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, fellow_free);
	flow->controls = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, control_free);
	for (unsigned i = 0; i < flow->settings.seed_count; i++)
		(void)control_of(flow, flow->settings.seeds[i]);
}

/*
 * Forgets the fleet.
 */
void
fleet_close(struct flow *flow)
{
	g_hash_table_destroy(flow->controls);
	g_hash_table_destroy(flow->fellows);
	g_hash_table_destroy(flow->services);
	g_hash_table_destroy(flow->sizes);
	roster_free(flow->roster);
}
