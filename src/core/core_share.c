/*
 * The file that says which share of the allowances this replica has held, so
 * that it need not wait as a successor after a restart.  A lost or torn file
 * costs that wait.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "core/core_internal.h"

enum {
	WRITE_RETRY_MS = 1000 /* after a failed write */
};

static const char share_file[] = "share";

struct core_share_write {
	uv_work_t work;
	struct core *core; /* NULL: it was closed */
	uint64_t replica_id;
	uint64_t index;
	unsigned shares;
	bool failed;
	char folder[CORE_PATH_BYTES];
};

/*
 * Formats the file: replica id, index, number of shares, and a digest of them.
 * With fewer shares the replica may have held none since, and have a
 * predecessor when it holds one again.
 */
static void
format(char *out, size_t size, uint64_t replica_id, uint64_t index,
    unsigned shares)
{
	const uint64_t numbers[] = {replica_id, index, shares};

	snprintf(out, size, "%" PRIu64 " %" PRIu64 " %u %" PRIu64 "\n",
	    replica_id, index, shares,
	    (uint64_t)XXH3_64bits(numbers, sizeof(numbers)));
}

/*
 * Reads the index at which this replica held one of as many shares as there are
 * now; 0 if it did not, or the file is missing or torn.
 */
uint64_t
core_share_read(const struct core *core)
{
	char path[CORE_PATH_BYTES];
	char text[96] = "";
	char expected[96];
	struct str rest;
	struct str word;
	uint64_t index = 0;
	FILE *file;

	if (core->settings.data == NULL)
		return 0;
	core_path(core, share_file, path);
	file = fopen(path, "re");
	if (file == NULL)
		return 0;
	if (fgets(text, sizeof(text), file) == NULL)
		text[0] = '\0';
	(void)fclose(file);
	rest = str_from(text);
	(void)str_split(&rest, ' ', &word);
	(void)str_split(&rest, ' ', &word);
	if (!str_to_u64(word, &index))
		return 0;
	format(expected, sizeof(expected), core->replica_id, index,
	    core->allowance.shares);
	return strcmp(text, expected) == 0 ? index : 0;
}

/*
 * Replaces the file; runs on another thread.  The folder is synced by the next
 * write of it: until then the earlier file, which is as valid, may come back.
 */
static void
write_share(uv_work_t *work)
{
	struct core_share_write *w = work->data;
	char text[96];

	format(text, sizeof(text), w->replica_id, w->index, w->shares);
	w->failed = !core_replace_file(w->folder, share_file, str_from(text));
}

static void
on_written(uv_work_t *work, int status)
{
	struct core_share_write *w = work->data;
	struct core *core = w->core;

	if (core != NULL) {
		core->allowance.write = NULL;
		if (status == 0 && !w->failed && core->allowance.granting &&
		    core->replica_id == w->replica_id)
			core->allowance.share_index = w->index;
		else if (w->failed)
			log_warn("share_not_written",
			    "instance=%s index=%" PRIu64,
			    core->settings.instance, w->index);
	}
	mem_free(w);
}

/*
 * Writes the index of the list of members while the share is granted from.  A
 * replica that is opened again knows only that its list was in effect at its
 * last snapshot, so that a newer snapshot is a newer index.  The first members
 * have index 0, which stands for no file; they are in effect at the first
 * entry, too, since that is a leader's no-op.  Floors of an earlier share are
 * removed before, since this file says that they count.
 */
void
core_share_tick(struct core *core, uint64_t now_us)
{
	struct core_allowance *a = &core->allowance;
	uint64_t index =
	    MAX(core->info.members_index, core->info.snapshot_index);
	struct core_share_write *w;

	if (index == 0 && core->info.commit_index > 0)
		index = 1;
	if (!a->granting || !core->info.members_committed ||
	    index <= a->share_index || a->write != NULL ||
	    now_us < a->next_write_us ||
	    allowance_table_has_stale_floors(a->table))
		return;
	a->next_write_us = now_us + WRITE_RETRY_MS * US_PER_MS;
	w = mem_calloc(1, sizeof(*w));
	*w = (struct core_share_write){
	    .core = core,
	    .replica_id = core->replica_id,
	    .index = index,
	    .shares = a->shares,
	};
	snprintf(w->folder, sizeof(w->folder), "%s", core->settings.data);
	w->work.data = w;
	if (uv_queue_work(core->loop, &w->work, write_share, on_written) != 0) {
		mem_free(w);
		return;
	}
	a->write = w;
}

/*
 * Detaches a write that is under way.
 */
void
core_share_close(struct core *core)
{
	if (core->allowance.write != NULL)
		core->allowance.write->core = NULL;
	core->allowance.write = NULL;
}
