/*
 * Channels of an entry to control instances, and the choice of the primaries,
 * which send targets and entries.
 */
#include <inttypes.h>
#include <string.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	/*
	 * A control instance that was not named for this long is no longer
	 * dialled.
	 */
	CONTROL_EXPIRE_MS = 60 * 1000,
	/* One more than may fail at once without a loss of updates. */
	PRIMARIES = 2,
	/* Ten round trips; the members are known and connected by then. */
	PRIMARY_DELAY_MS = 40,
	/* Time to send the lists to 476 entries over a link of 100 Mbit/s. */
	SECOND_PRIMARY_SPREAD_MS = 2000
};

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
	const char *fault = fleet_frame_fault(frame);

	if (fault != NULL)
		flow_refuse_message(flow, channel_address(channel),
		    (int)frame->body_case, fault);
	else if (control != NULL)
		updates_on_frame(flow, control, frame);
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
	hello.processor_millis =
	    fleet_clamp(flow->settings.processor_millis, FLEET_MILLIS_MAX);
	hello.link_kbps =
	    fleet_clamp(flow->settings.link_kbps, FLEET_LINK_MAX_KBPS);
	hello.busy = flow->loop_lag.busy;
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
 * Returns whether a control instance that keeps a log is connected.
 */
static bool
has_log_keeper(const struct flow *flow)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct control *control = value;

		if (!control->relay && channel_is_open(control->channel))
			return true;
	}
	return false;
}

/*
 * Returns the connected control instance that should become the next primary,
 * ranked by a hash so that entries are spread over all of them.  A relay knows
 * few other entries and is chosen only while nothing else is connected.
 */
static struct control *
next_primary(const struct flow *flow)
{
	bool keepers_only = has_log_keeper(flow);
	uint64_t own = str_hash(str_from(flow->settings.datagram_address));
	struct control *best = NULL;
	uint64_t best_rank = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control *control = value;
		uint64_t rank = rank_hash(
		    own, str_hash(str_from(channel_address(control->channel))));

		if (control->primary || !channel_is_open(control->channel) ||
		    (keepers_only && control->relay) ||
		    (best != NULL && rank <= best_rank))
			continue;
		best = control;
		best_rank = rank;
	}
	return best;
}

/*
 * Returns how many primaries this entry should have now.  All entries may have
 * started at once, and the lists of one control instance go to each of them
 * over one link.  Therefore the first primary is chosen when other control
 * instances are known, and the second one after this entry is ready, at a time
 * of its own.
 */
static unsigned
wanted_primaries(const struct flow *flow)
{
	uint64_t now = flow_now_us(flow);

	if (flow->first_opened_us == 0 ||
	    now - flow->first_opened_us < PRIMARY_DELAY_MS * US_PER_MS)
		return 0;
	return flow->ready &&
		now - flow->ready_us > flow->own_address_hash %
			SECOND_PRIMARY_SPREAD_MS * US_PER_MS
	    ? PRIMARIES
	    : 1;
}

/*
 * Unsubscribes from relays once a control instance that keeps a log is
 * connected.  The entries that they reported are kept until a primary is
 * synchronized.
 */
static void
release_relays(struct flow *flow)
{
	GHashTableIter iter;
	gpointer value;

	if (!has_log_keeper(flow))
		return;
	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control *control = value;

		if (!control->relay || !control->primary)
			continue;
		control->primary = false;
		control->synced = false;
		control->stale = true;
		send_hello(flow, control);
	}
}

/*
 * Chooses up to PRIMARIES control instances that send targets and entries.
 * Edits and departures come from all.
 */
void
controls_choose_primaries(struct flow *flow)
{
	unsigned wanted = wanted_primaries(flow);
	struct control *control;

	release_relays(flow);
	while (count_primaries(flow) < wanted &&
	    (control = next_primary(flow)) != NULL) {
		control->primary = true;
		updates_expect_all(flow, control);
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
	updates_expect_all(flow, control);
	if (flow->first_opened_us == 0)
		flow->first_opened_us = control->opened_us;
	log_info("control_connected", "instance=%s control=%s",
	    flow->settings.instance, channel_address(channel));
	send_hello(flow, control);
	crash_on_connected(flow, channel);
	allowance_on_connected(flow);
}

/*
 * Marks the entries on the host of a lost control instance as suspect, since
 * the whole host may be lost.
 */
static void
suspect_host(struct flow *flow, const char *address)
{
	struct sockaddr_in at;
	GHashTableIter iter;
	gpointer value;

	if (!address_parse(address, &at))
		return;
	g_hash_table_iter_init(&iter, flow->peer_entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_entry *peer_entry = value;

		if (peer_entry->datagram.sin_addr.s_addr == at.sin_addr.s_addr)
			fleet_mark_suspect(flow, peer_entry);
	}
}

/*
 * A control instance is lost.  The entries that it reported are kept until
 * another one is synchronized.
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
	control->sweep_us = 0;
	control->stale = control->stale || control->primary;
	control->primary = false;
	controls_choose_primaries(flow);
}

/*
 * Closes the channel of a control instance; a GDestroyNotify.
 */
void
control_free(void *value)
{
	struct control *control = value;

	channel_close(control->channel);
	mem_free(control);
}

/*
 * Returns a control instance by its link address, and connects to a new one.
 * NULL if there are FLOW_CONTROLS_MAX already.
 */
struct control *
control_find_or_connect(struct flow *flow, const char *address)
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
	while (bit < FLOW_CONTROLS_MAX && (flow->control_bits >> bit & 1) != 0)
		bit++;
	if (bit == FLOW_CONTROLS_MAX) {
		if (flow_may_log(flow))
			log_warn("controls_max",
			    "instance=%s control=%s known=%u next=left_out",
			    flow->settings.instance, address,
			    FLOW_CONTROLS_MAX);
		return NULL;
	}
	control = mem_calloc(1, sizeof(*control));
	control->source_bit = bit;
	control->last_named_us = flow_now_us(flow);
	flow->control_bits |= UINT64_C(1) << bit;
	control->channel = channel_dial(flow->loop, address, &callbacks);
	g_hash_table_insert(flow->controls, g_strdup(address), control);
	return control;
}

/*
 * Removes control instances that are permanently gone, since others may need
 * their bits.
 */
void
controls_expire(struct flow *flow, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us < flow->controls_expire_due_us)
		return;
	flow->controls_expire_due_us =
	    now_us + CONTROL_EXPIRE_MS * US_PER_MS / 4;
	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct control *control = value;

		if (channel_is_open(control->channel) ||
		    now_us - control->last_named_us <
			CONTROL_EXPIRE_MS * US_PER_MS)
			continue;
		updates_drop_source(flow, control->source_bit);
		flow->control_bits &= ~(UINT64_C(1) << control->source_bit);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Returns the number of connected control instances.
 */
unsigned
controls_count_open(const struct flow *flow)
{
	unsigned count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct control *control = value;

		count += channel_is_open(control->channel) ? 1 : 0;
	}
	return count;
}

/*
 * Sends a frame to all connected control instances.
 */
void
controls_send(struct flow *flow, const Fleet__Frame *frame)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		channel_send(((struct control *)value)->channel, frame);
}

/*
 * Sends a frame to the connected control instance number turn, in rotation;
 * returns false if none is connected.
 */
bool
controls_send_one(struct flow *flow, unsigned turn, const Fleet__Frame *frame)
{
	struct channel *open[FLOW_CONTROLS_MAX];
	unsigned count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct control *control = value;

		if (count < FLOW_CONTROLS_MAX &&
		    channel_is_open(control->channel))
			open[count++] = control->channel;
	}
	if (count > 0)
		channel_send(open[turn % count], frame);
	return count > 0;
}

/*
 * Sends the state of this entry to all control instances.
 */
void
fleet_send_hello(struct flow *flow)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->controls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_hello(flow, value);
}
