/*
 * Updates that control instances send to an entry: targets, departures, other
 * entries and control members.
 */
#include <string.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"
#include "roster/announcement.h"
#include "roster/candidate.h"

/*
 * Frees a peer entry; a GDestroyNotify.
 */
void
peer_entry_free(void *value)
{
	struct peer_entry *peer_entry = value;

	mem_free(peer_entry->address);
	mem_free(peer_entry->instance);
	mem_free(peer_entry);
}

/*
 * Returns whether an announcement moves a known incarnation out of the services
 * of the document.  No target does that, and it would lose its place until its
 * next report.
 */
static bool
leaves_named_services(
    const struct flow *flow, const struct roster_target *target)
{
	const struct roster_target *known =
	    roster_find(flow->roster, target->id);

	return known != NULL && flow->routes != NULL &&
	    target->started_ms != 0 &&
	    known->started_ms == target->started_ms &&
	    g_hash_table_contains(flow->routes->services, known->service) &&
	    !g_hash_table_contains(flow->routes->services, target->service);
}

static void
on_announcement(struct flow *flow, const Fleet__Announcement *m)
{
	struct roster_target target;

	if (announcement_read(m, flow_now_us(flow), &target) &&
	    !leaves_named_services(flow, &target))
		(void)roster_announce(flow->roster, &target);
	else
		counter_add(flow->announcements_refused, 1);
}

static void
on_departure(struct flow *flow, const Fleet__Departure *m)
{
	const struct roster_departure departure = {
	    .id = m->id,
	    .started_ms = m->started_ms,
	    .recorded_ms = m->recorded_ms,
	};

	leaving_on_recorded(flow, m->id, m->started_ms);
	(void)roster_depart(flow->roster, &departure);
}

/*
 * An entry that no control instance reports as connected is removed at the next
 * tick.
 */
static void
check_sources(struct flow *flow, const struct peer_entry *peer_entry)
{
	if (peer_entry->sources == 0)
		fleet_invalidate_schedulers(flow);
}

/*
 * Processes the state of another entry, reported by a control instance.
 */
static void
on_entry(struct flow *flow, const struct control *from, const Fleet__Entry *m)
{
	const Fleet__Hello *hello = m->hello;
	struct peer_entry *peer_entry;
	uint64_t bit = UINT64_C(1) << from->source_bit;

	if (hello == NULL ||
	    strcmp(hello->datagram_address, flow->settings.datagram_address) ==
		0)
		return;
	peer_entry =
	    g_hash_table_lookup(flow->peer_entries, hello->datagram_address);
	if (m->gone) {
		if (peer_entry != NULL && (peer_entry->sources & bit) != 0) {
			peer_entry->sources &= ~bit;
			peer_entry->renewed &= ~bit;
			check_sources(flow, peer_entry);
		}
		return;
	}
	if (peer_entry == NULL) {
		peer_entry = mem_calloc(1, sizeof(*peer_entry));
		peer_entry->address =
		    str_dup(str_from(hello->datagram_address));
		peer_entry->address_hash =
		    str_hash(str_from(peer_entry->address));
		peer_entry->instance = str_dup(str_from(hello->instance));
		if (!address_parse(
			peer_entry->address, &peer_entry->datagram)) {
			peer_entry_free(peer_entry);
			return;
		}
		g_hash_table_insert(
		    flow->peer_entries, peer_entry->address, peer_entry);
	}
	if (peer_entry->processor_millis != hello->processor_millis ||
	    peer_entry->ready != hello->ready ||
	    peer_entry->stopping != hello->stopping || peer_entry->sources == 0)
		fleet_invalidate_schedulers(flow);
	peer_entry->processor_millis = hello->processor_millis;
	peer_entry->ready = hello->ready;
	peer_entry->stopping = hello->stopping;
	peer_entry->sources |= bit;
	peer_entry->renewed |= bit;
}

static void
on_members(struct flow *flow, struct control *from, const Fleet__Members *m)
{
	for (size_t i = 0; i < m->n_address; i++) {
		struct control *control =
		    control_find_or_connect(flow, m->address[i]);

		if (control != NULL)
			control->last_named_us = flow_now_us(flow);
	}
	allowance_on_members(flow, m);
	from->relay = m->relay;
	if (m->relay)
		return;
	/*
	 * A control instance that has just started knows few entries, so the
	 * maximum counts.
	 */
	if (m->most_millis > flow->most_millis) {
		flow->most_millis = m->most_millis;
		fleet_invalidate_schedulers(flow);
	}
	if ((from->primary || flow->entries == 0) &&
	    m->entries != flow->entries) {
		if ((m->entries < CANDIDATE_FLEET_MIN) !=
		    (flow->entries < CANDIDATE_FLEET_MIN))
			fleet_invalidate_schedulers(flow);
		flow->entries = m->entries;
	}
}

/*
 * Drops what one control instance has reported about other entries.
 */
void
updates_drop_source(struct flow *flow, unsigned bit)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->peer_entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_entry *peer_entry = value;

		peer_entry->sources &= ~(UINT64_C(1) << bit);
		check_sources(flow, peer_entry);
	}
}

/*
 * A control instance will report all entries that it knows.  One that has just
 * started doesn't know those that were lost with its last start.
 */
void
updates_expect_all(struct flow *flow, struct control *control)
{
	uint64_t bit = UINT64_C(1) << control->source_bit;
	GHashTableIter iter;
	gpointer value;

	control->sweep_us = 0;
	control->reports_anew = false;
	g_hash_table_iter_init(&iter, flow->peer_entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_entry *peer_entry = value;

		peer_entry->renewed &= ~bit;
		control->reports_anew =
		    control->reports_anew || (peer_entry->sources & bit) != 0;
	}
}

/*
 * Drops what a control instance had reported before and has not reported again,
 * once the entries that live have had time to connect to it.
 */
static void
sweep(struct flow *flow, struct control *control)
{
	uint64_t bit = UINT64_C(1) << control->source_bit;
	unsigned dropped = 0;
	GHashTableIter iter;
	gpointer value;

	control->sweep_us = 0;
	flow_count_scanned(flow, g_hash_table_size(flow->peer_entries));
	g_hash_table_iter_init(&iter, flow->peer_entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_entry *peer_entry = value;

		if ((peer_entry->sources & ~peer_entry->renewed & bit) == 0)
			continue;
		peer_entry->sources &= ~bit;
		dropped += peer_entry->sources == 0 ? 1 : 0;
		check_sources(flow, peer_entry);
	}
	if (dropped > 0)
		log_info("entries_not_returned",
		    "instance=%s control=%s count=%u", flow->settings.instance,
		    channel_address(control->channel), dropped);
}

void
updates_tick(struct flow *flow, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control *control = value;

		if (control->sweep_us != 0 && now_us >= control->sweep_us)
			sweep(flow, control);
	}
}

/*
 * Drops the entries reported only by control instances that were lost, after
 * another one is synchronized.  One that is back and a primary again reports
 * anew what it knows; the others send no lists.
 */
static void
drop_stale_sources(struct flow *flow)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control *control = value;

		if (control->stale && !(control->primary && control->synced))
			updates_drop_source(flow, control->source_bit);
		control->stale = false;
	}
}

/*
 * Refreshes the targets in a list, and asks for those that are not known here:
 * control announces a target only when something about it changes, and knows
 * nothing of what has expired here alone.
 */
static void
on_heard(
    struct flow *flow, const struct control *control, const Fleet__Heard *m)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Unknown message = FLEET__UNKNOWN__INIT;
	GArray *unknown = roster_refresh(
	    flow->roster, m->target, m->n_target, flow_now_us(flow));

	/* Before that its first announcements are still on their way. */
	if (unknown->len > 0 && control->synced) {
		counter_add(flow->targets_asked_again, unknown->len);
		message.n_target = unknown->len;
		message.target = (uint32_t *)(void *)unknown->data;
		frame.body_case = FLEET__FRAME__BODY_UNKNOWN;
		frame.unknown = &message;
		channel_send(control->channel, &frame);
	}
	g_array_free(unknown, TRUE);
}

/*
 * Processes a frame from a control instance.
 */
void
updates_on_frame(
    struct flow *flow, struct control *control, const Fleet__Frame *frame)
{
	switch (frame->body_case) {
	case FLEET__FRAME__BODY_DOCUMENT:
		document_on_update(flow, control, frame->document);
		break;
	case FLEET__FRAME__BODY_ANNOUNCEMENT:
		on_announcement(flow, frame->announcement);
		break;
	case FLEET__FRAME__BODY_DEPARTURE:
		on_departure(flow, frame->departure);
		break;
	case FLEET__FRAME__BODY_EVACUATIONS:
		evacuation_on_update(flow, frame->evacuations);
		break;
	case FLEET__FRAME__BODY_QUARANTINE:
		crash_on_quarantine(flow, frame->quarantine, "control");
		break;
	case FLEET__FRAME__BODY_ENTRY:
		on_entry(flow, control, frame->entry);
		break;
	case FLEET__FRAME__BODY_MEMBERS:
		on_members(flow, control, frame->members);
		break;
	case FLEET__FRAME__BODY_DRAW_RESULT:
		allowance_on_result(flow, frame->draw_result);
		break;
	case FLEET__FRAME__BODY_ESTIMATE:
		schedule_on_estimate(flow, frame->estimate);
		break;
	case FLEET__FRAME__BODY_HEARD:
		on_heard(flow, control, frame->heard);
		break;
	case FLEET__FRAME__BODY_SYNCED:
		control->synced = true;
		if (!frame->synced->all)
			break;
		if (control->reports_anew)
			control->sweep_us =
			    flow_now_us(flow) + CHANNEL_RETURN_MS * US_PER_MS;
		if (control->primary)
			drop_stale_sources(flow);
		if (flow->first_synced_us == 0)
			flow->first_synced_us = flow_now_us(flow);
		break;
	default:
		break;
	}
}
