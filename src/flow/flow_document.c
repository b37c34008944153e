/*
 * Documents that control instances announce and send to an entry.  Only the
 * newest one is fetched and parsed: parsing takes 2 ms at an entry with a tenth
 * of a core, and documents may come faster than that.
 */
#include <inttypes.h>
#include <stdio.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

enum {
	/*
	 * Two heartbeats of the leader: by then the nearby control instance has
	 * applied the document.
	 */
	FETCH_DELAY_MS = 200,
	FETCH_RETRY_MS = 300, /* much longer than any round trip */
	/*
	 * Until an entry that gets texts, but not the newest, fetches that: its
	 * nearby control instance lags behind.  Leaves a second of the time in which
	 * a document must be in force.
	 */
	FETCH_BEHIND_MS = 800,
	/* Half of the shortest time in which documents must be in force. */
	DOCUMENT_LATE_MS = 1000,
	/* A twentieth of that time: a text waits no longer for newer ones. */
	TEXT_KEPT_MS = 100
};

/*
 * Returns the index of the newest document whose text was read.
 */
static uint64_t
newest_read(const struct flow *flow)
{
	return flow->read_text.index > flow->parsed_index
	    ? flow->read_text.index
	    : flow->parsed_index;
}

/*
 * Returns the connected control instance number turn, in rotation, to fetch
 * from; NULL if none has announced a document newer than the last one read.
 * Those that have announced the newest one come first; the others are asked in
 * case these are frozen or lost.
 */
static struct control *
next_document_source(const struct flow *flow, unsigned turn)
{
	struct control *newest[FLOW_CONTROLS_MAX];
	struct control *newer[FLOW_CONTROLS_MAX];
	unsigned newest_count = 0;
	unsigned newer_count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control *control = value;

		if (!channel_is_open(control->channel) ||
		    control->named_index <= newest_read(flow) ||
		    newer_count == FLOW_CONTROLS_MAX)
			continue;
		newer[newer_count++] = control;
		if (control->named_index == flow->named_index)
			newest[newest_count++] = control;
	}
	if (turn < newest_count)
		return newest[turn];
	return newer_count > 0 ? newer[turn % newer_count] : NULL;
}

/*
 * Fetches a document that was announced but not received from a nearby control
 * instance.  Asks one control instance after the other, since any of them may
 * be frozen or cut off.
 */
void
document_fetch(struct flow *flow, uint64_t now_us)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Fetch fetch = FLEET__FETCH__INIT;
	struct control *from;

	if (flow->named_index <= newest_read(flow) ||
	    now_us < flow->fetch_due_us)
		return;
	flow->fetch_due_us = now_us + FETCH_RETRY_MS * US_PER_MS;
	from = next_document_source(flow, flow->fetch_count++);
	if (from == NULL)
		return;
	flow->fetch_latest_us = now_us + FETCH_BEHIND_MS * US_PER_MS;
	flow->fetched_from = from;
	flow->fetch_retry_us = flow->fetch_due_us;
	frame.body_case = FLEET__FRAME__BODY_FETCH;
	frame.fetch = &fetch;
	counter_add(flow->document_fetches, 1);
	channel_send(from->channel, &frame);
}

/*
 * Sets the time of the next fetch, when a document is announced and after each
 * one that was received.  Further announcements don't put it off, since they
 * may come faster than documents; older texts do for FETCH_BEHIND_MS.  While a text that was fetched is on its way,
 * no other one is fetched.  The first document is fetched at once: callers wait
 * for it.
 */
static void
schedule_fetch(struct flow *flow)
{
	flow->fetch_count = 0;
	flow->fetch_due_us = flow_now_us(flow);
	if (flow->routes != NULL)
		flow->fetch_due_us += FETCH_DELAY_MS * US_PER_MS;
	if (flow->named_index <= newest_read(flow) ||
	    flow->fetch_latest_us == 0)
		flow->fetch_latest_us =
		    flow_now_us(flow) + FETCH_BEHIND_MS * US_PER_MS;
	if (flow->fetch_due_us > flow->fetch_latest_us)
		flow->fetch_due_us = flow->fetch_latest_us;
	if (flow->fetched_from != NULL &&
	    flow->fetch_due_us < flow->fetch_retry_us)
		flow->fetch_due_us = flow->fetch_retry_us;
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
document_check_lateness(struct flow *flow, uint64_t now_us)
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
 * Records that a control instance has announced or sent a document.
 */
static void
record_announced(struct flow *flow, struct control *from, uint64_t index)
{
	if (index > from->named_index)
		from->named_index = index;
	if (index <= flow->named_index)
		return;
	if (flow->named_index <= flow->document_index)
		flow->named_us = flow_now_us(flow);
	flow->named_index = index;
}

/*
 * Confirms a text that was parsed, or that a newer one has overtaken: the control
 * instance may send the next one.
 */
static void
confirm_text(const struct control *from, uint64_t index)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__DocumentReceived received = FLEET__DOCUMENT_RECEIVED__INIT;

	received.index = index;
	frame.body_case = FLEET__FRAME__BODY_DOCUMENT_RECEIVED;
	frame.document_received = &received;
	channel_send(from->channel, &frame);
}

/*
 * Returns the control instance that has sent the kept text; NULL if it is no
 * longer known.
 */
static struct control *
text_sender(const struct flow *flow)
{
	return g_hash_table_lookup(flow->controls, flow->read_text.from);
}

/*
 * Drops the kept text and confirms it.
 */
static void
release_text(struct flow *flow)
{
	const struct control *from = text_sender(flow);

	if (from != NULL)
		confirm_text(from, flow->read_text.index);
	flow->read_text.index = 0;
	str_buf_free(&flow->read_text.text);
}

/*
 * Parses the kept text and puts it in force.
 */
static void
parse_text(struct flow *flow)
{
	const struct read_text *read = &flow->read_text;
	struct routes *routes = NULL;
	uint64_t late_ms = document_late_ms(flow, flow_now_us(flow));

	flow->parsed_index = read->index;
	if (flow->dialect.read_document(str_buf_view(&read->text), &routes) !=
	    STATUS_OK) {
		log_error("document_unreadable",
		    "instance=%s index=%" PRIu64 " reason=\"%s\"",
		    flow->settings.instance, read->index, status_message());
		return;
	}
	routes_randomize_rotation(routes, random_next(&flow->random));
	routes_put(flow->routes);
	flow->routes = routes;
	account_counts_prune(flow);
	flow->document_index = read->index;
	flow->late_logged = false;
	counter_add(flow->documents, 1);
	counter_set(flow->document_version, (int64_t)read->version);
	log_info("document",
	    "instance=%s index=%" PRIu64 " version=%" PRIu64
	    " bytes=%zu from=%s late_ms=%" PRIu64 " fetches=%u newest=%" PRIu64
	    " started_ms=%" PRIu64,
	    flow->settings.instance, read->index, read->version, read->text.len,
	    read->from, late_ms, flow->fetch_count, flow->named_index,
	    (flow_now_us(flow) - flow->opened_us) / US_PER_MS);
	schedule_fetch(flow);
	cold_on_document(flow);
	allowance_on_document(flow);
}

/*
 * After the input of a loop iteration: parses the kept text, unless its sender
 * has more input that may hold a newer one.
 */
static void
on_check(uv_check_t *check)
{
	struct flow *flow = check->data;
	const struct control *from = text_sender(flow);

	if (from != NULL && channel_has_more_input(from->channel) &&
	    flow_now_us(flow) - flow->read_text.first_us <
		TEXT_KEPT_MS * US_PER_MS)
		return;
	parse_text(flow);
	release_text(flow);
	uv_check_stop(check);
}

/*
 * Keeps a text until the input of this loop iteration was read.  One that is not
 * newer than the last comes from a control instance that lags behind.
 */
static void
on_text(struct flow *flow, const struct control *from, const Fleet__Document *m)
{
	struct read_text *read = &flow->read_text;

	if (from == flow->fetched_from)
		flow->fetched_from = NULL;
	if (m->index <= newest_read(flow)) {
		confirm_text(from, m->index);
		return;
	}
	if (read->index != 0)
		release_text(flow);
	else
		read->first_us = flow_now_us(flow);
	read->index = m->index;
	read->version = m->version;
	str_buf_append(
	    &read->text, str_of((const char *)m->text.data, m->text.len));
	snprintf(read->from, sizeof(read->from), "%s",
	    channel_address(from->channel));
	uv_check_start(&flow->text_check, on_check);
}

/*
 * Processes a document, or the announcement of one: its text will be sent by a
 * nearby control instance, or is fetched.
 */
void
document_on_update(
    struct flow *flow, struct control *from, const Fleet__Document *m)
{
	bool has_all = flow->named_index <= newest_read(flow);

	record_announced(flow, from, m->index);
	if (m->text.len > 0) {
		on_text(flow, from, m);
		return;
	}
	if (m->index <= newest_read(flow))
		return;
	if (has_all)
		schedule_fetch(flow);
	document_fetch(flow, flow_now_us(flow));
}

void
document_open(struct flow *flow)
{
	uv_check_init(flow->loop, &flow->text_check);
	flow->text_check.data = flow;
}

void
document_close(struct flow *flow)
{
	uv_close((uv_handle_t *)&flow->text_check, NULL);
	str_buf_free(&flow->read_text.text);
}
