/*
 * Updates that control instances send to an entry: documents, targets,
 * departures, other entries and control members.
 */
#include <inttypes.h>
#include <string.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"
#include "roster/announcement.h"
#include "roster/candidate.h"

enum {
	/*
	 * Two heartbeats of the leader: by then the nearby control instance has
	 * applied the document.
	 */
	FETCH_DELAY_MS = 200,
	FETCH_RETRY_MS = 300, /* much longer than any round trip */
	/* Half of the shortest time in which documents must be in force. */
	DOCUMENT_LATE_MS = 1000
};

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
 * Returns the connected control instance number turn, in rotation, of those
 * that have announced a document newer than the one in force; NULL if there is
 * none.
 */
static struct control *
next_document_source(const struct flow *flow, unsigned turn)
{
	struct control *named[FLOW_CONTROLS_MAX];
	unsigned count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control *control = value;

		if (count < FLOW_CONTROLS_MAX &&
		    control->named_index > flow->document_index &&
		    channel_is_open(control->channel))
			named[count++] = control;
	}
	return count > 0 ? named[turn % count] : NULL;
}

/*
 * Fetches a document that was announced but not received from a nearby control
 * instance.  Asks one control instance after the other, since any of them may
 * be frozen or cut off.
 */
void
updates_fetch_document(struct flow *flow, uint64_t now_us)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Fetch fetch = FLEET__FETCH__INIT;
	struct control *from;

	if (flow->named_index <= flow->document_index ||
	    now_us < flow->fetch_due_us)
		return;
	flow->fetch_due_us = now_us + FETCH_RETRY_MS * US_PER_MS;
	from = next_document_source(flow, flow->fetch_count++);
	if (from == NULL)
		return;
	frame.body_case = FLEET__FRAME__BODY_FETCH;
	frame.fetch = &fetch;
	counter_add(flow->document_fetches, 1);
	channel_send(from->channel, &frame);
}

/*
 * Returns for how long a document newer than the one in force has been
 * announced, in milliseconds; 0 if there is none.
 */
static uint64_t
document_late_ms(const struct flow *flow, uint64_t now_us)
{
	if (flow->named_index <= flow->document_index)
		return 0;
	return (now_us - flow->named_us) / US_PER_MS;
}

/*
 * Updates the metrics of the document, and logs once that an announced one was
 * not received for DOCUMENT_LATE_MS.
 */
void
updates_check_lateness(struct flow *flow, uint64_t now_us)
{
	uint64_t late_ms = document_late_ms(flow, now_us);

	counter_set(flow->document_late_ms, (int64_t)late_ms);
	counter_set(flow->controls_open, controls_count_open(flow));
	if (late_ms < DOCUMENT_LATE_MS || flow->late_logged)
		return;
	flow->late_logged = true;
	log_warn("document_late",
	    "instance=%s index=%" PRIu64 " in_force=%" PRIu64
	    " late_ms=%" PRIu64 " fetches=%u controls=%u",
	    flow->settings.instance, flow->named_index, flow->document_index,
	    late_ms, flow->fetch_count, controls_count_open(flow));
}

/*
 * Records that a control instance has announced a document.
 */
static void
record_announced(struct flow *flow, struct control *from, uint64_t index)
{
	if (index > from->named_index)
		from->named_index = index;
	if (index > flow->document_index &&
	    flow->named_index <= flow->document_index)
		flow->named_us = flow_now_us(flow);
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
 * Sets the time of the next fetch, when a document is announced and after each
 * one that was received.  Further announcements don't put it off, since they
 * may come faster than documents.  The first document is fetched at once:
 * callers wait for it.
 */
static void
schedule_fetch(struct flow *flow)
{
	flow->fetch_count = 0;
	flow->fetch_due_us = flow_now_us(flow);
	if (flow->routes != NULL)
		flow->fetch_due_us += FETCH_DELAY_MS * US_PER_MS;
}

/*
 * Processes a document.  One that is not newer than the one in force comes from
 * a control instance that lags behind.
 */
static void
on_document(struct flow *flow, struct control *from, const Fleet__Document *m)
{
	struct routes *routes = NULL;
	uint64_t late_ms;

	record_announced(flow, from, m->index);
	if (m->index <= flow->document_index)
		return;
	if (m->text.len == 0) {
		/*
		 * Only announced: the text will be sent by a nearby control
		 * instance, or is fetched.
		 */
		if (flow->named_index <= flow->document_index)
			schedule_fetch(flow);
		if (m->index > flow->named_index)
			flow->named_index = m->index;
		updates_fetch_document(flow, flow_now_us(flow));
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
	routes_randomize_rotation(routes, random_next(&flow->random));
	routes_put(flow->routes);
	flow->routes = routes;
	late_ms = document_late_ms(flow, flow_now_us(flow));
	flow->document_index = m->index;
	flow->late_logged = false;
	counter_add(flow->documents, 1);
	counter_set(flow->document_version, (int64_t)m->version);
	log_info("document",
	    "instance=%s index=%" PRIu64 " version=%" PRIu64
	    " bytes=%zu from=%s late_ms=%" PRIu64 " fetches=%u newest=%" PRIu64
	    " started_ms=%" PRIu64,
	    flow->settings.instance, m->index, m->version, m->text.len,
	    channel_address(from->channel), late_ms, flow->fetch_count,
	    flow->named_index,
	    (flow_now_us(flow) - flow->opened_us) / US_PER_MS);
	schedule_fetch(flow);
	cold_on_document(flow);
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
 * Drops the entries reported only by lost control instances, after another one
 * is synchronized.
 */
static void
drop_stale_sources(struct flow *flow)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control *control = value;

		if (control->stale && !control->synced)
			updates_drop_source(flow, control->source_bit);
		control->stale = false;
	}
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
	case FLEET__FRAME__BODY_ESTIMATE:
		schedule_on_estimate(flow, frame->estimate);
		break;
	case FLEET__FRAME__BODY_HEARD:
		roster_refresh(flow->roster, frame->heard->target,
		    frame->heard->n_target, flow_now_us(flow));
		break;
	case FLEET__FRAME__BODY_SYNCED:
		control->synced = true;
		if (!frame->synced->all)
			break;
		if (control->primary)
			drop_stale_sources(flow);
		if (flow->first_synced_us == 0)
			flow->first_synced_us = flow_now_us(flow);
		break;
	default:
		break;
	}
}
