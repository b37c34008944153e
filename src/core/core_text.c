/*
 * Documents that control sends to its peers.  A text that a newer one has
 * overtaken costs a slow peer time in which it could read the newest.  Therefore
 * at most one text is on its way to each peer, and at most one announcement is
 * in its queue; that a newer document is due is remembered by the peer.
 */
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "core/core_internal.h"

enum {
	/*
	 * Until a text that was not confirmed is taken as lost; a quarter of the
	 * time in which a document must be in force.  Older programs confirm
	 * nothing.
	 */
	CONFIRM_TIMEOUT_MS = 500
};

static bool
is_same_domain(const struct core *core, const struct core_peer *peer)
{
	return strcmp(peer->hello->failure_domain,
		   core->settings.failure_domain) == 0;
}

/*
 * Drops the packed document, after a change of the document.
 */
void
core_drop_packed_document(struct core *core)
{
	for (int i = 0; i < 2; i++) {
		if (core->packed_document[i] != NULL)
			packed_frame_put(core->packed_document[i]);
		core->packed_document[i] = NULL;
	}
}

/*
 * Returns the packed document, packed once for all peers; NULL when there is
 * none.
 */
static struct packed_frame *
packed_document(struct core *core, bool with_text)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Document document = core_latest_document(core);
	struct packed_frame **packed = &core->packed_document[with_text];

	if (document.index == 0)
		return NULL;
	if (document.index != core->packed_index)
		core_drop_packed_document(core);
	core->packed_index = document.index;
	if (*packed == NULL) {
		if (!with_text)
			document.text = (ProtobufCBinaryData){0};
		frame.body_case = FLEET__FRAME__BODY_DOCUMENT;
		frame.document = &document;
		*packed = channel_pack(&frame);
	}
	return *packed;
}

/*
 * Returns whether a text was sent that the peer may still receive.
 */
static bool
is_text_on_its_way(const struct core_peer *peer, uint64_t now_us)
{
	const struct core_peer_document *sent = &peer->document;

	return sent->text_index != 0 &&
	    (now_us - sent->text_sent_us < CONFIRM_TIMEOUT_MS * US_PER_MS ||
		channel_written(peer->channel) < sent->text_end);
}

/*
 * Sends a peer the newest text if it is due and none is on its way.  The peer may
 * be freed if its queue is full.
 */
static void
send_due_text(struct core *core, struct core_peer *peer, uint64_t now_us)
{
	struct core_peer_document *sent = &peer->document;
	struct packed_frame *packed;

	if (!sent->text_due || is_text_on_its_way(peer, now_us))
		return;
	sent->text_due = false;
	packed = packed_document(core, true);
	if (packed == NULL)
		return;
	sent->text_index = core->packed_index;
	sent->text_sent_us = now_us;
	sent->text_end =
	    channel_queued(peer->channel) + packed_frame_len(packed);
	counter_add(core->texts_sent, 1);
	channel_send_packed(peer->channel, packed);
}

/*
 * Announces the newest document to a peer if that is due and the last
 * announcement is in the socket.  The peer may be freed if its queue is full.
 */
static void
send_due_announcement(struct core *core, struct core_peer *peer)
{
	struct core_peer_document *sent = &peer->document;
	struct packed_frame *packed;

	if (!sent->announcement_due ||
	    channel_written(peer->channel) < sent->announcement_end)
		return;
	sent->announcement_due = false;
	packed = packed_document(core, false);
	if (packed == NULL)
		return;
	sent->announcement_end =
	    channel_queued(peer->channel) + packed_frame_len(packed);
	channel_send_packed(peer->channel, packed);
}

/*
 * Sends a peer the newest document.  Traffic between failure domains is
 * expensive, so the text is sent only to entries of this domain and to
 * instances without a log; instances with a log get it from the log.  A peer that
 * has the text, or soon will, gets no other copy.
 */
void
core_send_known_document(struct core *core, struct core_peer *peer)
{
	struct core_peer_document *sent = &peer->document;
	uint64_t now = clock_boot_us();
	uint64_t index = core_latest_document(core).index;

	if (peer->is_control && peer->replica != 0)
		return;
	if (!peer->is_control && !is_same_domain(core, peer)) {
		sent->announcement_due = true;
		send_due_announcement(core, peer);
		return;
	}
	if (sent->confirmed_index == index ||
	    (sent->text_index == index && is_text_on_its_way(peer, now)))
		return;
	sent->text_due = true;
	send_due_text(core, peer, now);
}

/*
 * Sends the text that a peer asks for, unless it is on its way already.
 */
void
core_on_fetch(struct core *core, struct core_peer *peer)
{
	uint64_t now = clock_boot_us();

	if (peer->document.text_index == core_latest_document(core).index &&
	    is_text_on_its_way(peer, now))
		return;
	peer->document.text_due = true;
	send_due_text(core, peer, now);
}

/*
 * A peer has read a text; it may get a newer one.
 */
void
core_on_document_received(struct core *core, struct core_peer *peer,
    const Fleet__DocumentReceived *received)
{
	struct core_peer_document *sent = &peer->document;

	if (sent->text_index == 0 || received->index != sent->text_index)
		return;
	sent->confirmed_index = received->index;
	sent->text_index = 0;
	send_due_text(core, peer, clock_boot_us());
}

/*
 * Sends the newest document to all peers, unless they have it.
 */
void
core_push_document(struct core *core)
{
	Fleet__Document document = core_latest_document(core);

	if (document.index == core->sent_index)
		return;
	core->sent_index = document.index;
	log_info("document",
	    "instance=%s index=%" PRIu64 " version=%" PRIu64
	    " bytes=%zu applied=%u",
	    core->settings.instance, document.index, document.version,
	    document.text.len, core->applied_count);
	core->applied_count = 0;
	/* Backwards: a peer with a full queue is removed. */
	for (guint i = core->peers->len; i > 0; i--) {
		struct core_peer *peer = core->peers->pdata[i - 1];

		if (peer->hello_received)
			core_send_known_document(core, peer);
	}
}

/*
 * Announces the current document to entries.  They fetch its text unless an
 * instance with a log has sent it, which usually has the wider link.  Control
 * instances have it from those too, and would pass it on in circles.
 */
void
core_relay_document(struct core *core)
{
	for (guint i = core->peers->len; i > 0; i--) {
		struct core_peer *peer = core->peers->pdata[i - 1];

		if (!peer->hello_received || peer->is_control)
			continue;
		peer->document.announcement_due = true;
		send_due_announcement(core, peer);
	}
}

/*
 * Sends what is due to peers whose last text has timed out, or whose queue has
 * emptied.
 */
void
core_text_tick(struct core *core, uint64_t now_us)
{
	for (guint i = core->peers->len; i > 0; i--) {
		struct core_peer *peer = core->peers->pdata[i - 1];

		if (peer->document.announcement_due)
			send_due_announcement(core, peer);
		else if (peer->document.text_due)
			send_due_text(core, peer, now_us);
	}
}
