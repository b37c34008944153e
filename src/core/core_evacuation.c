/*
 * Evacuations of failure domains: orders go through the log, and the whole set
 * is sent to entries and to instances without a log.
 */
#include <inttypes.h>
#include <string.h>

#include "base/logger.h"
#include "core/core_internal.h"

enum {
	NAMES_LOGGED_MAX = 8 /* in one line */
};

/*
 * Returns the newest set that may be sent to others: the log's, or a kept one
 * that the log is behind.
 */
const struct evacuation_set *
core_latest_evacuations(const struct core *core)
{
	return core->kept_evacuations.index > core->state.evacuations.index
	    ? &core->kept_evacuations
	    : &core->state.evacuations;
}

/*
 * Keeps a set while the log may be behind it; message may be NULL: none.
 */
void
core_keep_evacuations(struct core *core, const Fleet__Evacuations *message)
{
	if (message == NULL || message->index <= core->kept_evacuations.index)
		return;
	evacuation_set_load(&core->kept_evacuations, message);
	core->evacuations_due = true;
}

/*
 * Drops the kept set once the log holds all that was committed.  One that is
 * newer than the log's is of another group.
 */
void
core_release_evacuations(struct core *core)
{
	if (core->kept_evacuations.index > core->state.evacuations.index)
		core->evacuations_due = true;
	evacuation_set_load(&core->kept_evacuations, NULL);
}

/*
 * Appends the set to a batch; nothing if there was never an evacuation.
 */
void
core_batch_evacuations(const struct core *core, struct str_buf *batch)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Evacuations message =
	    evacuation_set_message(core_latest_evacuations(core));

	if (message.index == 0)
		return;
	frame.body_case = FLEET__FRAME__BODY_EVACUATIONS;
	frame.evacuations = &message;
	channel_batch_append(batch, &frame);
}

/*
 * Logs the set, and its first names.
 */
static void
log_set(const struct core *core, const struct evacuation_set *set)
{
	struct str_buf names = {0};

	for (guint i = 0; i < set->names->len && i < NAMES_LOGGED_MAX; i++)
		str_buf_printf(&names, "%s%s", i > 0 ? "," : "",
		    (const char *)set->names->pdata[i]);
	log_info("evacuation",
	    "instance=%s index=%" PRIu64 " count=%u failure_domains=%.*s%s",
	    core->settings.instance, set->index, set->names->len,
	    (int)names.len, names.data != NULL ? names.data : "",
	    set->names->len > NAMES_LOGGED_MAX ? ",..." : "");
	str_buf_free(&names);
}

/*
 * Sends the set to peers after a change.  Instances with a log get it from the
 * log, and an instance without one passes it on to entries only.
 */
void
core_push_evacuations(struct core *core)
{
	const struct evacuation_set *set = core_latest_evacuations(core);
	struct str_buf batch = {0};
	struct packed_frame *packed;

	if (!core->evacuations_due)
		return;
	core->evacuations_due = false;
	counter_set(core->evacuations, set->names->len);
	if (set->index == core->sent_evacuations)
		return;
	core->sent_evacuations = set->index;
	log_set(core, set);
	core_batch_evacuations(core, &batch);
	if (batch.len == 0)
		return;
	packed = channel_pack_batch(&batch);
	str_buf_free(&batch);
	/* Backwards: a peer with a full queue is removed. */
	for (guint i = core->peers->len; i > 0; i--) {
		const struct core_peer *peer = core->peers->pdata[i - 1];

		if (peer->hello_received &&
		    (!peer->is_control ||
			(peer->replica == 0 && core->settings.data != NULL)))
			channel_send_packed(peer->channel, packed);
	}
	packed_frame_put(packed);
}

/*
 * Stores a newer set on an instance without a log and passes it on.
 */
void
core_on_evacuations(struct core *core, const Fleet__Evacuations *message)
{
	if (core->settings.data != NULL ||
	    message->index <= core->state.evacuations.index)
		return;
	evacuation_set_load(&core->state.evacuations, message);
	core->evacuations_due = true;
}

/*
 * Starts or ends the evacuation of a failure domain.
 */
void
core_evacuate(struct core *core, const char *failure_domain, bool active,
    core_done *done, void *ctx)
{
	Fleet__Command command = FLEET__COMMAND__INIT;
	Fleet__Evacuation evacuation = FLEET__EVACUATION__INIT;

	evacuation.failure_domain = (char *)failure_domain;
	evacuation.active = active;
	command.body_case = FLEET__COMMAND__BODY_EVACUATION;
	command.evacuation = &evacuation;
	core_submit_command(core, &command, done, ctx);
}

/*
 * Returns the names of the evacuated failure domains that this instance knows.
 */
const GPtrArray *
core_evacuations(const struct core *core)
{
	return core_latest_evacuations(core)->names;
}
