/*
 * Files of the voters' floors in the model: written late, not at all, or torn.
 */
#include "support_allowance_defs.h"

enum {
	TICK_MS = 20,
	WRITE_MS = 200, /* between two writes */
	STALLED_MS = 10000,
	REPLICA = 1
};

static void
replace_file(struct disk *disk)
{
	str_buf_clear(&disk->file);
	str_buf_append(&disk->file, str_buf_view(&disk->next));
}

/*
 * Lets a write end: a third of those of a bad disk fail, and leave the earlier
 * file, the later one, or none.
 */
static void
end_write(struct world *w, struct voter *voter)
{
	struct disk *disk = &voter->disk;
	uint64_t fault = w->model->disk == ALLOWANCE_DISK_BAD
	    ? random_below(&w->disk_random, 9)
	    : 8;

	disk->ends_ms = 0;
	if (fault == 2)
		str_buf_clear(&disk->file);
	else if (fault != 0)
		replace_file(disk);
	allowance_table_end_write(voter->table,
	    fault == 2       ? ALLOWANCE_WRITE_EMPTY
		: fault <= 1 ? ALLOWANCE_WRITE_UNKNOWN
			     : ALLOWANCE_WRITE_DONE);
}

/*
 * Begins and ends the writes of a voter that runs.
 */
void
allowance_model_disk_tick(struct world *w, struct voter *voter)
{
	struct disk *disk = &voter->disk;
	GPtrArray *lines;
	uint64_t ms = 1 + random_below(&w->disk_random, 20);

	if (disk->ends_ms != 0 && w->now_ms >= disk->ends_ms)
		end_write(w, voter);
	if (w->model->disk == ALLOWANCE_DISK_NONE || disk->ends_ms != 0 ||
	    w->now_ms % TICK_MS != 0 || w->now_ms < disk->next_write_ms ||
	    w->now_ms < voter->grants_from_ms ||
	    w->now_ms >= voter->grants_until_ms)
		return;
	lines = allowance_table_begin_write(voter->table, now_us(w));
	if (lines == NULL)
		return;
	if (w->model->disk == ALLOWANCE_DISK_BAD)
		ms = random_below(&w->disk_random, 20) == 0
		    ? STALLED_MS
		    : random_below(&w->disk_random, 1000);
	str_buf_clear(&disk->next);
	if (lines->len > 0)
		allowance_floor_format(
		    &disk->next, REPLICA, ALLOWANCE_MODEL_SHARES, lines);
	g_ptr_array_unref(lines);
	disk->ends_ms = w->now_ms + 1 + ms;
	disk->next_write_ms = w->now_ms + WRITE_MS;
}

/*
 * A write under way leaves the earlier file, the later one, or a torn one.
 */
static void
lose_power(struct world *w, struct disk *disk)
{
	if (disk->ends_ms == 0)
		return;
	disk->ends_ms = 0;
	if (random_below(&w->disk_random, 2) == 0)
		replace_file(disk);
	if (random_below(&w->disk_random, 4) == 0 && disk->file.len > 0)
		disk->file.len = random_below(&w->disk_random, disk->file.len);
}

static void
plant(const struct world *w, struct disk *disk)
{
	GPtrArray *lines = allowance_floor_lines_new();

	allowance_floor_lines_add(
	    lines, "acct", w->model->burst / ALLOWANCE_MODEL_SHARES / 2);
	str_buf_clear(&disk->file);
	allowance_floor_format(
	    &disk->file, REPLICA, ALLOWANCE_MODEL_SHARES, lines);
	g_ptr_array_unref(lines);
}

/*
 * Ends a process, and starts the next one with what the disk holds.
 */
void
allowance_model_new_table(struct world *w, struct voter *voter)
{
	GPtrArray *lines;

	lose_power(w, &voter->disk);
	voter->disk.next_write_ms = 0;
	if (w->model->disk == ALLOWANCE_DISK_PLANTED)
		plant(w, &voter->disk);
	allowance_table_free(voter->table);
	voter->table = allowance_table_new(
	    ALLOWANCE_MODEL_SHARES, w->model->window_ms * US_PER_MS, now_us(w));
	lines = allowance_floor_parse(
	    str_buf_view(&voter->disk.file), REPLICA, ALLOWANCE_MODEL_SHARES);
	if (lines == NULL)
		return;
	allowance_table_load_floors(voter->table, lines);
	allowance_table_use_floors(voter->table);
	g_ptr_array_unref(lines);
}
