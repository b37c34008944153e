#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "core/core_cache.h"
#include "core/core_internal.h"
#include "retry/quarantine.h"
#include "wire/fleet_bounds.h"

enum {
	/* A burst of updates is one write; a third of a heartbeat interval. */
	CACHE_MS = 500
};

/*
 * Returns the newest document that may be sent to others: the log's, or a kept
 * one that the log is behind.
 */
Fleet__Document
core_latest_document(const struct core *core)
{
	Fleet__Document document = FLEET__DOCUMENT__INIT;

	if (core->kept.index > core->state.document_index) {
		document.index = core->kept.index;
		document.version = core->kept.version;
		document.text.data = (uint8_t *)core->kept.text.data;
		document.text.len = core->kept.text.len;
		return document;
	}
	document.index = core->state.document_index;
	document.version = core->state.version;
	document.text.data = (uint8_t *)core->state.text.data;
	document.text.len = core->state.text.len;
	return document;
}

static void
set_kept(struct core *core, uint64_t index, uint64_t version, struct str text)
{
	core->kept.index = index;
	core->kept.version = version;
	str_buf_clear(&core->kept.text);
	str_buf_append(&core->kept.text, text);
}

/*
 * Keeps the document and the evacuations of the state, which a replica that is
 * opened again replaces by those of its snapshot.
 */
void
core_keep_state(struct core *core)
{
	Fleet__Evacuations evacuations =
	    evacuation_set_message(&core->state.evacuations);

	core_keep_evacuations(core, &evacuations);
	if (core->state.document_index > core->kept.index)
		set_kept(core, core->state.document_index, core->state.version,
		    str_buf_view(&core->state.text));
}

/*
 * Drops the kept document.
 */
void
core_drop_kept_document(struct core *core)
{
	core->kept.index = 0;
	str_buf_free(&core->kept.text);
}

struct snapshot {
	Fleet__Announcement *space;
	Fleet__Announcement **list;
	size_t count;
	uint64_t now_us;
};

/*
 * Adds a target to the cache message; for roster_for_each().
 */
static void
cache_target(void *ctx, struct roster_target *target)
{
	struct snapshot *s = ctx;
	Fleet__Announcement *to = &s->space[s->count];

	fleet__announcement__init(to);
	to->id = target->id;
	to->service = target->service;
	to->address = target->address;
	to->failure_domain = target->failure_domain;
	to->started_ms = target->started_ms;
	to->born_ms = target->born_ms;
	to->sequence = target->sequence;
	to->slots = target->slots;
	/*
	 * The time in between is unknown: a target that was cold when the cache
	 * was written is cold for as long again, or until its next report.
	 */
	if (target->warmup_end_us > s->now_us)
		to->warm_in_ms = (uint32_t)((target->warmup_end_us - s->now_us +
						US_PER_MS - 1) /
		    US_PER_MS);
	s->list[s->count++] = to;
}

static void
count_target(void *ctx, struct roster_target *target ATTR_UNUSED)
{
	(*(size_t *)ctx)++;
}

/*
 * Adds an estimate to the cache message; for core_for_each_estimate().
 */
static void
cache_estimate(void *ctx, Fleet__Estimate *estimate)
{

	g_ptr_array_add(ctx, estimate);
}

/*
 * Adds a refused request to the cache message; for quarantine_for_each().
 */
static void
cache_quarantine(void *ctx, uint64_t content, uint32_t caller, uint64_t left_us)
{
	Fleet__Quarantine *message = mem_alloc(sizeof(*message));

	*message = quarantine_message(content, caller, left_us);
	g_ptr_array_add(ctx, message);
}

/* A write of the cache, which runs on another thread. */
struct core_cache_job {
	uv_work_t work;
	struct core *core; /* NULL: it was closed */
	struct str_buf bytes;
	enum status status;
	char message[256];
	char folder[CORE_PATH_BYTES];
};

static void
write_cache(uv_work_t *work)
{
	struct core_cache_job *job = work->data;

	job->status = core_cache_write(job->folder, str_buf_view(&job->bytes));
	if (job->status != STATUS_OK)
		snprintf(
		    job->message, sizeof(job->message), "%s", status_message());
}

static void
on_cache_written(uv_work_t *work, int cancelled)
{
	struct core_cache_job *job = work->data;

	if (job->core != NULL)
		job->core->cache_job = NULL;
	if (job->core != NULL && cancelled == 0 && job->status != STATUS_OK)
		log_warn("cache_not_written", "instance=%s reason=\"%s\"",
		    job->core->settings.instance, job->message);
	str_buf_free(&job->bytes);
	mem_free(job);
}

/*
 * Begins to write the cache.  The loop doesn't wait for the disk.
 */
static void
begin_write(struct core *core, const Fleet__Cache *cache)
{
	struct core_cache_job *job = mem_calloc(1, sizeof(*job));
	int error;

	job->core = core;
	job->work.data = job;
	snprintf(job->folder, sizeof(job->folder), "%s", core->settings.data);
	core_cache_encode(cache, &job->bytes);
	error = uv_queue_work(
	    core->loop, &job->work, write_cache, on_cache_written);
	if (error == 0) {
		core->cache_job = job;
		return;
	}
	log_warn("cache_not_written", "instance=%s reason=\"%s\"",
	    core->settings.instance, uv_strerror(error));
	str_buf_free(&job->bytes);
	mem_free(job);
}

/*
 * Detaches a write that is under way.
 */
void
core_cache_close(struct core *core)
{
	if (core->cache_job != NULL)
		core->cache_job->core = NULL;
	core->cache_job = NULL;
}

/*
 * Saves what is known for the next start.
 */
void
core_cache_tick(struct core *core, uint64_t now_us)
{
	Fleet__Cache cache = FLEET__CACHE__INIT;
	Fleet__Document document = core_latest_document(core);
	Fleet__Evacuations evacuations =
	    evacuation_set_message(core_latest_evacuations(core));
	struct snapshot s = {.now_us = clock_boot_us()};
	GPtrArray *estimates;
	GPtrArray *quarantine;
	size_t count = 0;

	if (core->settings.data == NULL || !core->cache_dirty ||
	    core->cache_job != NULL || now_us < core->next_cache_us)
		return;
	core->cache_dirty = false;
	core->next_cache_us = now_us + CACHE_MS * US_PER_MS;
	roster_for_each(core->roster, count_target, &count);
	s.space = mem_calloc(count, sizeof(*s.space));
	s.list = mem_calloc(count, sizeof(*s.list));
	roster_for_each(core->roster, cache_target, &s);
	cache.document = &document;
	if (evacuations.index != 0)
		cache.evacuations = &evacuations;
	cache.n_announcement = s.count;
	cache.announcement = s.list;
	estimates = g_ptr_array_new();
	core_for_each_estimate(core, cache_estimate, estimates);
	cache.n_estimate = estimates->len;
	cache.estimate = (Fleet__Estimate **)(void *)estimates->pdata;
	quarantine = g_ptr_array_new_with_free_func(mem_free);
	quarantine_for_each(
	    core->quarantine, s.now_us, cache_quarantine, quarantine);
	cache.n_quarantine = quarantine->len;
	cache.quarantine = (Fleet__Quarantine **)(void *)quarantine->pdata;
	begin_write(core, &cache);
	g_ptr_array_free(quarantine, TRUE);
	g_ptr_array_free(estimates, TRUE);
	mem_free(s.list);
	mem_free(s.space);
}

/*
 * Loads what the previous run knew.
 */
void
core_cache_load(struct core *core)
{
	Fleet__Cache *cache;

	if (core->settings.data == NULL)
		return;
	cache = core_cache_read(core->settings.data);
	if (cache == NULL)
		return;
	if (cache->document != NULL)
		set_kept(core, cache->document->index, cache->document->version,
		    str_of((const char *)cache->document->text.data,
			cache->document->text.len));
	core->sent_index = core->kept.index;
	core_keep_evacuations(core, cache->evacuations);
	for (size_t i = 0; i < cache->n_announcement; i++)
		core_on_announcement(core, cache->announcement[i]);
	for (size_t i = 0; i < cache->n_estimate; i++) {
		if (fleet_estimate_fault(cache->estimate[i]) == NULL)
			core_on_estimate(core, cache->estimate[i]);
		else
			counter_add(core->messages_refused, 1);
	}
	for (size_t i = 0; i < cache->n_quarantine; i++) {
		if (fleet_quarantine_fault(cache->quarantine[i]) == NULL)
			core_crash_restore(core, cache->quarantine[i]);
		else
			counter_add(core->messages_refused, 1);
	}
	core->cache_dirty = false;
	log_info("cache",
	    "instance=%s index=%" PRIu64 " targets=%zu"
	    " quarantined=%zu",
	    core->settings.instance, core->kept.index, cache->n_announcement,
	    cache->n_quarantine);
	fleet__cache__free_unpacked(cache, NULL);
}
