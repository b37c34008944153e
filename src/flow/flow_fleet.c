#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/candidate.h"
#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/* An instance that few have told of yet is served by who knows it. */
	SYNC_WAIT_MS = 400,
	EMPTY_WAIT_MS = 2000, /* more than a heartbeat */
	/* As long as the slowest of those who start at once may take. */
	OWNER_WAIT_MS = 2000,
	CONTROLS_MAX = 64, /* the bits of a fellow's sources */
	/* One that nobody has named for so long is no longer dialled. */
	CONTROL_FORGET_MS = 60 * 1000,
	/* One more than may be lost at once without any loss of news. */
	PRIMARIES = 2,
	/* Ten round trips: the members are known and connected by then. */
	CHOICE_MS = 40,
	SECOND_SPREAD_MS =
	    2000, /* lists of 476 entries on a link of 100 Mbit/s */
	/* Two of the leader's heartbeats: by then the near one has applied it. */
	FETCH_AFTER_MS = 200,
	FETCH_AGAIN_MS = 300 /* far above any way there and back */
};

/* Part of a service's slack of repeats for the one that schedules it. */
#define SCHEDULER_SLACK 0.7

static void
fellow_free(void *value)
{
	struct fellow *fellow = value;

	mem_free(fellow->address);
	mem_free(fellow->instance);
	mem_free(fellow);
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

static void fetch_document(struct flow *flow, uint64_t now_us);

/*
 * Takes a document that is newer than the one in force; an older one comes
 * from an instance that is behind.
 */
static void
on_document(struct flow *flow, struct control *from, const Fleet__Document *m)
{
	struct routes *routes = NULL;

	if (m->index > from->named_index)
		from->named_index = m->index;
	if (m->index <= flow->document_index)
		return;
	if (m->text.len == 0) {
		/* Only named: the text comes from nearby, or is asked for. */
		if (m->index > flow->named_index) {
			flow->named_index = m->index;
			/* Callers wait for the first one. */
			flow->fetch_due_us = flow_now_us(flow) +
			    (flow->routes != NULL ? FETCH_AFTER_MS * US_PER_MS
						  : 0);
			flow->fetches = 0;
			fetch_document(flow, flow_now_us(flow));
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
 * Notes that who may schedule has changed: schedulers are chosen anew at
 * their next use, owners at the next tick.
 */
void
fleet_changed(struct flow *flow)
{
	flow->fleet_state++;
}

/*
 * One that nobody tells of as connected any more is forgotten at the next
 * tick.
 */
static void
note_sources(struct flow *flow, const struct fellow *fellow)
{
	if (fellow->sources == 0)
		fleet_changed(flow);
}

/*
 * Takes news of another entry from one control instance.
 */
static void
on_entry(struct flow *flow, const struct control *from, const Fleet__Entry *m)
{
	const Fleet__Hello *hello = m->hello;
	struct fellow *fellow;
	uint64_t bit = UINT64_C(1) << from->bit;

	if (hello == NULL ||
	    strcmp(hello->datagram_address, flow->settings.datagram_address) ==
		0)
		return;
	fellow = g_hash_table_lookup(flow->fellows, hello->datagram_address);
	if (m->gone) {
		if (fellow != NULL && (fellow->sources & bit) != 0) {
			fellow->sources &= ~bit;
			note_sources(flow, fellow);
		}
		return;
	}
	if (fellow == NULL) {
		fellow = mem_calloc(1, sizeof(*fellow));
		fellow->address = str_dup(str_from(hello->datagram_address));
		fellow->address_hash = str_hash(str_from(fellow->address));
		fellow->instance = str_dup(str_from(hello->instance));
		if (!address_parse(fellow->address, &fellow->datagram)) {
			fellow_free(fellow);
			return;
		}
		g_hash_table_insert(flow->fellows, fellow->address, fellow);
	}
	if (fellow->processor_millis != hello->processor_millis ||
	    fellow->ready != hello->ready ||
	    fellow->stopping != hello->stopping || fellow->sources == 0)
		fleet_changed(flow);
	fellow->processor_millis = hello->processor_millis;
	fellow->ready = hello->ready;
	fellow->stopping = hello->stopping;
	fellow->sources |= bit;
}

static struct control *control_of(struct flow *flow, const char *address);

static void
on_members(
    struct flow *flow, const struct control *from, const Fleet__Members *m)
{
	for (size_t i = 0; i < m->n_address; i++) {
		struct control *control = control_of(flow, m->address[i]);

		if (control != NULL)
			control->named_us = flow_now_us(flow);
	}
	/* One that has just started knows few: the most that is told counts. */
	if (m->most_millis > flow->most_millis) {
		flow->most_millis = m->most_millis;
		fleet_changed(flow);
	}
	if ((from->primary || flow->entries == 0) &&
	    m->entries != flow->entries) {
		if ((m->entries < CANDIDATE_FLEET) !=
		    (flow->entries < CANDIDATE_FLEET))
			fleet_changed(flow);
		flow->entries = m->entries;
	}
}

static void
forget_source(struct flow *flow, unsigned bit)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->fellows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fellow *fellow = value;

		fellow->sources &= ~(UINT64_C(1) << bit);
		note_sources(flow, fellow);
	}
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
		on_document(flow, control, frame->document);
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
		on_members(flow, control, frame->members);
		break;
	case FLEET__FRAME__BODY_HEARD:
		roster_hear(flow->roster, frame->heard->target,
		    frame->heard->n_target, flow_now_us(flow));
		break;
	case FLEET__FRAME__BODY_SYNCED:
		control->synced = true;
		if (!frame->synced->all)
			break;
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
	hello.stopping = flow->stopping;
	hello.processor_millis = flow->settings.processor_millis;
	hello.link_kbps = flow->settings.link_kbps;
	hello.busy = flow->strain.busy;
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
		uint64_t rank = service_mix(
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
 * Returns how many control instances should tell of targets and entries now.
 * All entries may have started at once: the lists of one go to each of them
 * over one link, so the first is asked for once others are known to choose
 * from, and the second when the entry serves, at a time of its own.
 */
static unsigned
wanted_primaries(const struct flow *flow)
{
	uint64_t now = flow_now_us(flow);

	if (flow->first_opened_us == 0 ||
	    now - flow->first_opened_us < CHOICE_MS * US_PER_MS)
		return 0;
	return flow->ready &&
		now - flow->ready_us >
		    flow->own_hash % SECOND_SPREAD_MS * US_PER_MS
	    ? PRIMARIES
	    : 1;
}

/*
 * Keeps up to PRIMARIES control instances that tell of targets and entries;
 * edits and departures come from all.
 */
static void
choose_primaries(struct flow *flow)
{
	unsigned wanted = wanted_primaries(flow);
	struct control *control;

	while (count_primaries(flow) < wanted &&
	    (control = next_primary(flow)) != NULL) {
		control->primary = true;
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
	if (flow->first_opened_us == 0)
		flow->first_opened_us = control->opened_us;
	log_info("control_connected", "instance=%s control=%s",
	    flow->settings.instance, channel_address(channel));
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

	unsigned bit = 0;

	if (control != NULL || address[0] == '\0')
		return control;
	while (bit < CONTROLS_MAX && (flow->control_bits >> bit & 1) != 0)
		bit++;
	if (bit == CONTROLS_MAX) {
		if (flow_may_log(flow))
			log_warn("controls_max",
			    "instance=%s control=%s known=%u next=left_out",
			    flow->settings.instance, address, CONTROLS_MAX);
		return NULL;
	}
	control = mem_calloc(1, sizeof(*control));
	control->bit = bit;
	control->named_us = flow_now_us(flow);
	flow->control_bits |= UINT64_C(1) << bit;
	control->channel = channel_dial(flow->loop, address, &callbacks);
	g_hash_table_insert(flow->controls, g_strdup(address), control);
	return control;
}

/*
 * Forgets control instances that are gone for good, whose place others need.
 */
static void
forget_controls(struct flow *flow, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us < flow->controls_due_us)
		return;
	flow->controls_due_us = now_us + CONTROL_FORGET_MS * US_PER_MS / 4;
	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct control *control = value;

		if (channel_is_open(control->channel) ||
		    now_us - control->named_us < CONTROL_FORGET_MS * US_PER_MS)
			continue;
		forget_source(flow, control->bit);
		flow->control_bits &= ~(UINT64_C(1) << control->bit);
		g_hash_table_iter_remove(&iter);
	}
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
	uint64_t waited_us;
	GHashTableIter iter;
	gpointer value;

	if (flow->routes == NULL || flow->first_synced_us == 0)
		return false;
	waited_us = flow_now_us(flow) - flow->first_synced_us;
	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		synced += ((const struct control *)value)->synced ? 1 : 0;
	/* Without a target it could only reject: their reports are coming. */
	if (g_hash_table_size(flow->pools) == 0)
		return waited_us > EMPTY_WAIT_MS * US_PER_MS;
	return synced * 2 > g_hash_table_size(flow->controls) ||
	    waited_us > SYNC_WAIT_MS * US_PER_MS;
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

	if (service->owner)
		limits.slack *= SCHEDULER_SLACK / parts;
	else
		limits.slack *=
		    (1 - SCHEDULER_SLACK) / parts / (fleet_size(flow) + 1);
	placement_set_limits(service->placement, &limits);
}

static void
set_owner(struct flow *flow, struct service *service, bool owner)
{
	if (owner != service->owner) {
		log_info("scheduler",
		    "instance=%s service=%s here=%d entries=%u targets=%u",
		    flow->settings.instance, service->name, owner,
		    fleet_size(flow), service->pools->len);
		service->owner = owner;
		if (owner)
			placement_succeed(
			    service->placement, flow_now_us(flow));
		for (guint i = 0; i < service->pools->len; i++)
			probe_update(service->pools->pdata[i]);
	}
	set_limits(flow, service);
}

/*
 * Works out which services this entry schedules.  While all start at once
 * only some count as ready: one that is connected and goes before is waited
 * for, so that a service has one owner at a time.
 */
void
fleet_update_owners(struct flow *flow)
{
	bool may = flow->ready && !flow->stopping && fleet_may_schedule(flow);
	bool waits =
	    flow_now_us(flow) - flow->ready_us < OWNER_WAIT_MS * US_PER_MS;
	bool settled = true;
	GHashTableIter iter;
	gpointer value;

	flow_note_visits(flow, g_hash_table_size(flow->services));
	g_hash_table_iter_init(&iter, flow->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;
		bool owner = may && fleet_scheduler(flow, service) == NULL;

		if (owner && waits &&
		    fleet_expected_scheduler(flow, service) != NULL) {
			owner = false;
			settled = false;
		}
		set_owner(flow, service, owner);
	}
	flow->owners_of = settled ? flow->fleet_state : flow->fleet_state - 1;
}

static gboolean
is_gone(void *key ATTR_UNUSED, void *value, void *ctx)
{
	const struct fellow *fellow = value;
	struct flow *flow = ctx;

	if (fellow->sources != 0)
		return FALSE;
	flow->suspects -= fellow->suspect ? 1 : 0;
	return TRUE;
}

/*
 * Forgets entries that are gone and works out the owners, where who may
 * schedule has changed.
 */
static void
settle(struct flow *flow)
{
	if (flow->owners_of == flow->fleet_state)
		return;
	flow_note_visits(flow, g_hash_table_size(flow->fellows));
	if (g_hash_table_foreach_remove(flow->fellows, is_gone, flow) > 0)
		fleet_changed(flow);
	fleet_update_owners(flow);
}

/*
 * Returns the turn-th of the open control instances that have named a document
 * newer than the one in force; NULL when there is none.
 */
static struct control *
fetch_from(const struct flow *flow, unsigned turn)
{
	struct control *named[CONTROLS_MAX];
	unsigned count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control *control = value;

		if (count < CONTROLS_MAX &&
		    control->named_index > flow->document_index &&
		    channel_is_open(control->channel))
			named[count++] = control;
	}
	return count > 0 ? named[turn % count] : NULL;
}

/*
 * Asks for a document that has been named and does not come from nearby: one
 * control instance after the other, since any may be frozen or cut off.
 */
static void
fetch_document(struct flow *flow, uint64_t now_us)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Fetch fetch = FLEET__FETCH__INIT;
	struct control *from;

	if (flow->named_index <= flow->document_index ||
	    now_us < flow->fetch_due_us)
		return;
	flow->fetch_due_us = now_us + FETCH_AGAIN_MS * US_PER_MS;
	from = fetch_from(flow, flow->fetches++);
	if (from == NULL)
		return;
	frame.body_case = FLEET__FRAME__BODY_FETCH;
	frame.fetch = &fetch;
	channel_send(from->channel, &frame);
}

/*
 * Forgets targets that control has not named for long.  While no control
 * instance tells of targets, their silence says nothing.
 */
static void
expire_targets(struct flow *flow, uint64_t now_us)
{
	uint64_t kept_us = flow->settings.target_kept_ms * US_PER_MS;
	bool told = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct control *control = value;

		told = told || (control->primary && control->synced);
	}
	if (!told)
		flow->told_since_us = 0;
	else if (flow->told_since_us == 0)
		flow->told_since_us = now_us;
	if (told && now_us - flow->told_since_us > kept_us)
		roster_expire(flow->roster, now_us - kept_us);
}

/*
 * Looks at readiness, at who schedules what, and at who is gone.
 */
void
fleet_tick(struct flow *flow)
{
	uint64_t now = flow_now_us(flow);
	bool ready = !flow->stopping && (flow->ready || has_heard_enough(flow));

	for (unsigned i = 0; i < flow->settings.seed_count; i++) {
		struct control *control =
		    control_of(flow, flow->settings.seeds[i]);

		if (control != NULL)
			control->named_us = now;
	}
	forget_controls(flow, now);
	choose_primaries(flow);
	if (ready != flow->ready) {
		flow->ready = ready;
		flow->ready_us = now;
		fleet_changed(flow);
		log_info("ready",
		    "instance=%s ready=%d index=%" PRIu64 " targets=%u",
		    flow->settings.instance, ready, flow->document_index,
		    g_hash_table_size(flow->pools));
		fleet_greet(flow);
	}
	settle(flow);
	if (flow->ready)
		exchange_begin_parked(flow);
	fetch_document(flow, now);
	fleet_ask_signs(flow, now);
	expire_targets(flow, now);
}

/*
 * Sets up what is known of the fleet, and dials the seeds.
 */
void
fleet_open(struct flow *flow)
{
	const struct roster_callbacks callbacks = {
	    .ctx = flow,
	    .added = service_on_added,
	    .removed = service_on_removed,
	};

	flow->own_hash = str_hash(str_from(flow->settings.datagram_address));
	flow->owners_of = flow->fleet_state - 1;
	flow->roster = roster_new(&callbacks);
	flow->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, service_release);
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
