/*
 * The file of floors: levels that the buckets of this replica have not gone
 * below, at which they start after a restart.  A lost, torn or foreign file
 * costs the burst of the accounts.
 */
#include <errno.h>
#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "core/core_internal.h"

enum {
	WRITE_INTERVAL_MS = 200,
	WRITE_RETRY_MS = 1000, /* after a failed write */
	/* ALLOWANCE_FLOORS_MAX lines take less than a fifth of it. */
	FILE_BYTES_MAX = 4 * 1024 * 1024
};

static const char floors_file[] = "floors";

struct core_floors_write {
	uv_work_t work;
	struct core *core; /* NULL: it was closed */
	struct str_buf text; /* empty: the file is removed */
	enum allowance_write outcome;
	bool failed;
	char folder[CORE_PATH_BYTES];
};

/*
 * Registers the metrics.
 */
void
core_floors_open(struct core *core)
{
	struct core_allowance *a = &core->allowance;

	a->floors_written = counter_register(COUNTER_TOTAL,
	    "gypsummill_core_allowance_floor_writes_total",
	    "Writes of the file of floors (count)", NULL);
	a->floors_not_written = counter_register(COUNTER_TOTAL,
	    "gypsummill_core_allowance_floor_write_failures_total",
	    "Writes of the file of floors that failed (count)", NULL);
}

/*
 * Detaches a write that is under way.
 */
void
core_floors_close(struct core *core)
{
	if (core->allowance.floors_write != NULL)
		core->allowance.floors_write->core = NULL;
	core->allowance.floors_write = NULL;
}

/*
 * Appends a file, of at most FILE_BYTES_MAX; nothing if there is none.  Returns
 * false if it can't be read.
 */
static bool
read_file(const char *path, struct str_buf *text)
{
	FILE *file = fopen(path, "re");
	char block[4096];
	size_t n;
	bool good;

	if (file == NULL)
		return errno == ENOENT;
	while (text->len <= FILE_BYTES_MAX &&
	    (n = fread(block, 1, sizeof(block), file)) > 0)
		str_buf_append(text, str_of(block, n));
	good = ferror(file) == 0;
	(void)fclose(file);
	return good;
}

/*
 * Reads the floors of the replica when it is opened first.  Later the table
 * knows what may be on disk.
 */
void
core_floors_on_opened(struct core *core)
{
	struct core_allowance *a = &core->allowance;
	struct str_buf text = {0};
	GPtrArray *lines = NULL;
	char path[CORE_PATH_BYTES];

	if (a->floors_read || core->settings.data == NULL)
		return;
	a->floors_read = true;
	core_path(core, floors_file, path);
	if (read_file(path, &text)) {
		lines = allowance_floor_parse(
		    str_buf_view(&text), core->replica_id, a->shares);
	} else {
		/* It may be read, and count, at the next start. */
		log_warn(
		    "floors_not_read", "instance=%s", core->settings.instance);
		allowance_table_miss_floors(a->table);
	}
	str_buf_free(&text);
	if (lines == NULL)
		return;
	log_info("allowance_floors", "instance=%s accounts=%u",
	    core->settings.instance, lines->len);
	allowance_table_load_floors(a->table, lines);
	g_ptr_array_unref(lines);
	a->floors_usable = true;
}

/*
 * The share is granted from.  Buckets start at their floors if it is the share
 * that was held when they were written, and this process has granted nothing
 * yet.
 */
void
core_floors_on_granting(struct core *core, bool kept)
{
	struct core_allowance *a = &core->allowance;

	if (kept && a->floors_usable)
		allowance_table_use_floors(a->table);
	a->floors_usable = false;
}

/*
 * Replaces or removes the file; runs on another thread.  If it can't be
 * written, on a full disk, it is removed, so that nothing is withheld.
 */
static void
write_floors(uv_work_t *work)
{
	struct core_floors_write *w = work->data;
	char path[CORE_PATH_BYTES + 16];

	w->outcome = ALLOWANCE_WRITE_DONE;
	if (w->text.len > 0) {
		if (core_replace_file(
			w->folder, floors_file, str_buf_view(&w->text)))
			return;
		w->failed = true;
		w->outcome = ALLOWANCE_WRITE_EMPTY;
	}
	snprintf(path, sizeof(path), "%s/%s", w->folder, floors_file);
	if ((unlink(path) != 0 && errno != ENOENT) ||
	    core_sync_folder(w->folder) != STATUS_OK) {
		w->failed = true;
		w->outcome = ALLOWANCE_WRITE_UNKNOWN;
	}
}

/*
 * Follows the end of a write.  A line is logged for the first of several that
 * failed.
 */
static void
on_written(uv_work_t *work, int status)
{
	struct core_floors_write *w = work->data;
	struct core *core = w->core;

	if (core != NULL) {
		struct core_allowance *a = &core->allowance;
		bool failed = status != 0 || w->failed;

		a->floors_write = NULL;
		allowance_table_end_write(a->table,
		    status != 0 ? ALLOWANCE_WRITE_UNKNOWN : w->outcome);
		counter_add(
		    failed ? a->floors_not_written : a->floors_written, 1);
		if (failed)
			a->next_floors_us =
			    clock_boot_us() + WRITE_RETRY_MS * US_PER_MS;
		if (failed && !a->floors_failed)
			log_warn("floors_not_written", "instance=%s removed=%d",
			    core->settings.instance,
			    w->outcome == ALLOWANCE_WRITE_EMPTY);
		a->floors_failed = failed;
	}
	str_buf_free(&w->text);
	mem_free(w);
}

/*
 * Begins a write if floors have changed, at most once in WRITE_INTERVAL_MS.
 * Levels do not fall while the share is not granted from.
 */
void
core_floors_tick(struct core *core, uint64_t now_us)
{
	struct core_allowance *a = &core->allowance;
	struct core_floors_write *w;
	GPtrArray *lines;

	if (!a->granting || a->floors_write != NULL ||
	    now_us < a->next_floors_us)
		return;
	lines = allowance_table_begin_write(a->table, now_us);
	if (lines == NULL)
		return;
	a->next_floors_us = now_us + WRITE_INTERVAL_MS * US_PER_MS;
	w = mem_calloc(1, sizeof(*w));
	w->core = core;
	w->work.data = w;
	snprintf(w->folder, sizeof(w->folder), "%s", core->settings.data);
	if (lines->len > 0)
		allowance_floor_format(
		    &w->text, core->replica_id, a->shares, lines);
	g_ptr_array_unref(lines);
	if (uv_queue_work(core->loop, &w->work, write_floors, on_written) !=
	    0) {
		allowance_table_end_write(a->table, ALLOWANCE_WRITE_UNKNOWN);
		str_buf_free(&w->text);
		mem_free(w);
		return;
	}
	a->floors_write = w;
}
