/*
 * Requests under which targets end: the reports of all entries, and the requests
 * that they have to refuse.  Each control instance judges by itself and passes
 * on what it has found or heard.
 */
#include <inttypes.h>

#include "base/clock.h"
#include "base/logger.h"
#include "core/core_internal.h"
#include "retry/crash_ledger.h"
#include "retry/quarantine.h"

void
core_crash_open(struct core *core)
{
	core->crash_ledger = crash_ledger_new();
	core->quarantine = quarantine_new();
}

void
core_crash_close(struct core *core)
{
	crash_ledger_free(core->crash_ledger);
	quarantine_free(core->quarantine);
}

static void
add_to_batch(void *ctx, uint64_t content, uint32_t caller, uint64_t left_us)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Quarantine message =
	    quarantine_message(content, caller, left_us);

	frame.body_case = FLEET__FRAME__BODY_QUARANTINE;
	frame.quarantine = &message;
	channel_batch_append(ctx, &frame);
}

/*
 * Appends all requests that are refused to a batch.
 */
void
core_batch_quarantine(const struct core *core, struct str_buf *batch)
{
	quarantine_for_each(
	    core->quarantine, clock_boot_us(), add_to_batch, batch);
}

/*
 * Tells all peers that a request is refused, or not any more.
 */
static void
publish(struct core *core, uint64_t content, uint32_t caller, uint64_t left_us)
{
	struct str_buf batch = {0};

	log_warn("quarantine",
	    "instance=%s content=%016" PRIx64 " caller=%08" PRIx32
	    " left_ms=%" PRIu64,
	    core->settings.instance, content, caller, left_us / US_PER_MS);
	add_to_batch(&batch, content, caller, left_us);
	core_broadcast(core, &batch);
}

/*
 * Refuses a request that was refused when the cache was written, for as long
 * again: how long ago that was is unknown.
 */
void
core_crash_restore(struct core *core, const Fleet__Quarantine *message)
{
	(void)quarantine_add(core->quarantine, message->content,
	    message->caller, clock_boot_us() + message->left_ms * US_PER_MS);
}

static void
refuse(struct core *core, uint64_t content, uint32_t caller, uint64_t left_us)
{
	if (!quarantine_add(
		core->quarantine, content, caller, clock_boot_us() + left_us))
		return;
	counter_add(core->quarantines, 1);
	core->cache_dirty = true;
	publish(core, content, caller, left_us);
}

static void
lift(struct core *core, uint64_t content, uint32_t caller)
{
	if (!quarantine_remove(core->quarantine, content, caller))
		return;
	core->cache_dirty = true;
	publish(core, content, caller, 0);
}

/*
 * An entry reports that a target has ended under a request, or that one was
 * answered.
 */
void
core_on_crash(struct core *core, const Fleet__Crash *crash)
{
	if (!crash->answered) {
		crash_ledger_record(core->crash_ledger, crash->content,
		    crash->caller, crash->target, clock_boot_us());
		return;
	}
	(void)crash_ledger_answered(
	    core->crash_ledger, crash->content, crash->caller);
	lift(core, crash->content, crash->caller);
	lift(core, crash->content, CRASH_ANY_CALLER);
}

/*
 * Another control instance, or an entry that was without control, tells that a
 * request is refused.
 */
void
core_on_quarantine(struct core *core, const Fleet__Quarantine *message)
{
	if (message->left_ms == 0)
		lift(core, message->content, message->caller);
	else
		refuse(core, message->content, message->caller,
		    message->left_ms * US_PER_MS);
}

static void
on_verdict(void *ctx, uint64_t content, uint32_t caller)
{
	refuse(ctx, content, caller, QUARANTINE_MS * US_PER_MS);
}

void
core_crash_tick(struct core *core, uint64_t now_us)
{
	(void)quarantine_expire(core->quarantine, now_us);
	crash_ledger_judge(core->crash_ledger, now_us, on_verdict, core);
}
