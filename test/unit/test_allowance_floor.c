/*
 * Floors of a voter's buckets: what a restart starts with, and that no restart
 * adds to what a share can supply to a window.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "limit/allowance_bucket.h"
#include "support_allowance.h"

enum {
	WINDOW_US = 5000 * 1000,
	RATE = 100,
	BURST = 100
};

static unsigned
draw(struct allowance_table *table, const char *account, double burst,
    uint64_t index, uint64_t request, uint64_t now_us)
{
	const struct allowance_limit limit = {RATE, burst, index};

	return allowance_table_draw(
	    table, account, &limit, 1, request, 1, now_us)
	    .granted;
}

static unsigned
draw_all(struct allowance_table *table, const char *account, uint64_t now_us)
{
	unsigned count = 0;

	while (draw(table, account, BURST, 1, 1000 + count, now_us) == 1)
		count++;
	return count;
}

/*
 * Returns what a write that is due holds, as text; none if no write is due.
 */
static struct str_buf
begin(struct allowance_table *table, uint64_t now_us)
{
	GPtrArray *lines = allowance_table_begin_write(table, now_us);
	struct str_buf text = {0};

	if (lines == NULL)
		return text;
	allowance_floor_format(&text, 7, 1, lines);
	g_ptr_array_unref(lines);
	return text;
}

static void
write_floors(struct allowance_table *table, struct str_buf *file,
    uint64_t now_us, enum allowance_write outcome)
{
	struct str_buf next = begin(table, now_us);

	if (next.data == NULL)
		return;
	str_buf_free(file);
	*file = next;
	allowance_table_end_write(table, outcome);
}

static struct allowance_table *
restart(struct allowance_table *table, const struct str_buf *file,
    uint64_t window_us, uint64_t now_us)
{
	GPtrArray *lines = allowance_floor_parse(str_buf_view(file), 7, 1);

	allowance_table_free(table);
	table = allowance_table_new(1, window_us, now_us);
	if (lines == NULL)
		return table;
	allowance_table_load_floors(table, lines);
	allowance_table_use_floors(table);
	g_ptr_array_unref(lines);
	return table;
}

/*
 * A bucket of 100 whose floor of 50 is in the file.
 */
static struct allowance_table *
with_floor(struct str_buf *file, uint64_t *now_us)
{
	struct allowance_table *table = allowance_table_new(1, WINDOW_US, 0);

	*file = (struct str_buf){0};
	*now_us = 10 * US_PER_S;
	assert_int_equal(draw(table, "a", BURST, 1, 1, *now_us), 1);
	write_floors(table, file, *now_us, ALLOWANCE_WRITE_DONE);
	assert_int_equal(file->len, 0);
	*now_us += US_PER_S;
	write_floors(table, file, *now_us, ALLOWANCE_WRITE_DONE);
	assert_true(file->len > 0);
	return table;
}

/*
 * Guards against a burst that is granted while the file still promises it,
 * against one that is granted again at each restart, and against one that a
 * restart loses.
 */
static void
a_floor_is_granted_once(void **state ATTR_UNUSED)
{
	struct str_buf file;
	uint64_t now;
	struct allowance_table *table = with_floor(&file, &now);

	assert_int_equal(draw_all(table, "a", now), 50);
	for (unsigned i = 0; i < 3; i++) {
		now += US_PER_S;
		table = restart(table, &file, WINDOW_US, now);
		assert_int_equal(draw_all(table, "a", now), 0);
		now += 100 * US_PER_MS;
		assert_int_equal(draw_all(table, "a", now), 10);
	}
	write_floors(table, &file, now, ALLOWANCE_WRITE_DONE);
	assert_int_equal(draw_all(table, "a", now), 50);
	table = restart(table, &file, WINDOW_US, now);
	assert_int_equal(draw_all(table, "a", now), 1);
	allowance_table_free(table);
	str_buf_free(&file);
}

/*
 * Guards against a stalled or failing disk that stops a bucket from granting
 * its rate, and against a failed write after which the earlier file counts as
 * gone.
 */
static void
a_bucket_grants_its_rate_without_a_disk(void **state ATTR_UNUSED)
{
	struct str_buf file;
	struct str_buf lost = {0};
	uint64_t now;
	struct allowance_table *table = with_floor(&file, &now);

	assert_int_equal(draw_all(table, "a", now), 50);
	lost = begin(table, now); /* stalled from now on */
	for (unsigned i = 0; i < 20; i++) {
		now += 250 * US_PER_MS;
		assert_int_equal(draw_all(table, "a", now), 25);
	}
	allowance_table_end_write(table, ALLOWANCE_WRITE_UNKNOWN);
	assert_int_equal(draw_all(table, "a", now), 0);
	str_buf_free(&lost);
	lost = begin(table, now);
	assert_non_null(lost.data);
	allowance_table_end_write(table, ALLOWANCE_WRITE_EMPTY);
	assert_int_equal(draw_all(table, "a", now), 50);
	str_buf_free(&lost);
	allowance_table_free(table);
	str_buf_free(&file);
}

/*
 * Guards against a bucket that grants what an unread file may promise to the
 * next process, and against one that a stalled disk stops from granting its
 * rate.
 */
static void
a_file_that_was_not_read_is_withheld(void **state ATTR_UNUSED)
{
	uint64_t now = US_PER_S;
	struct allowance_table *table = allowance_table_new(1, WINDOW_US, now);
	struct str_buf file;

	allowance_table_miss_floors(table);
	assert_true(allowance_table_has_stale_floors(table));
	assert_int_equal(draw_all(table, "a", now), 0);
	file = begin(table, now);
	assert_non_null(file.data);
	str_buf_free(&file);
	now += 2 * US_PER_S;
	assert_int_equal(draw_all(table, "a", now), BURST / 2);
	now += US_PER_S / 2;
	assert_int_equal(draw_all(table, "a", now), RATE / 2);
	allowance_table_end_write(table, ALLOWANCE_WRITE_UNKNOWN);
	assert_int_equal(draw_all(table, "a", now), 0);
	file = begin(table, now);
	assert_non_null(file.data);
	str_buf_free(&file);
	allowance_table_end_write(table, ALLOWANCE_WRITE_DONE);
	assert_false(allowance_table_has_stale_floors(table));
	assert_int_equal(draw_all(table, "a", now), BURST / 2);
	allowance_table_free(table);
}

/*
 * Guards against floors that count although the share was lost in between, and
 * against grants above them before the file is gone.
 */
static void
floors_of_an_earlier_share_are_withheld(void **state ATTR_UNUSED)
{
	struct str_buf file;
	uint64_t now;
	struct allowance_table *table = with_floor(&file, &now);

	allowance_table_reset(table, now);
	assert_int_equal(draw_all(table, "a", now), 0);
	write_floors(table, &file, now, ALLOWANCE_WRITE_DONE);
	assert_int_equal(draw_all(table, "a", now), 1);
	table = restart(table, &file, WINDOW_US, now);
	assert_int_equal(draw_all(table, "a", now), 1);
	allowance_table_free(table);
	str_buf_free(&file);
}

/*
 * Guards against a floor above a limit that was lowered, before and after a
 * restart: the bucket must hold no more, and still grant its rate.
 */
static void
a_lower_limit_cuts_the_floor(void **state ATTR_UNUSED)
{
	struct str_buf file;
	uint64_t now;
	struct allowance_table *table = with_floor(&file, &now);
	unsigned count = 0;

	while (draw(table, "a", 20, 2, count, now) == 1)
		count++;
	assert_int_equal(count, 10);
	table = restart(table, &file, WINDOW_US, now);
	assert_int_equal(draw(table, "a", 20, 2, 1, now), 0);
	now += 50 * US_PER_MS;
	for (count = 0; draw(table, "a", 20, 2, count, now) == 1; count++)
		;
	assert_int_equal(count, 5);
	write_floors(table, &file, now, ALLOWANCE_WRITE_DONE);
	for (count = 0; draw(table, "a", 20, 2, count, now) == 1; count++)
		;
	assert_int_equal(count, 10);
	allowance_table_free(table);
	str_buf_free(&file);
}

/*
 * Guards against a file that counts although it is torn anywhere, or was
 * written by another replica or with another number of shares.
 */
static void
only_a_whole_own_file_counts(void **state ATTR_UNUSED)
{
	struct str_buf text = {0};
	GPtrArray *lines = allowance_floor_lines_new();
	const struct allowance_floor_line *line;

	allowance_floor_lines_add(lines, "two words\n", 2.5);
	allowance_floor_lines_add(lines, "b", 40);
	allowance_floor_format(&text, 7, 5, lines);
	g_ptr_array_unref(lines);
	lines = allowance_floor_parse(str_buf_view(&text), 7, 5);
	assert_non_null(lines);
	assert_int_equal(lines->len, 2);
	line = g_ptr_array_index(lines, 0);
	assert_string_equal(line->account, "two words\n");
	assert_true(line->level == 2.5);
	g_ptr_array_unref(lines);
	assert_null(allowance_floor_parse(str_buf_view(&text), 8, 5));
	assert_null(allowance_floor_parse(str_buf_view(&text), 7, 3));
	assert_null(allowance_floor_parse((struct str){0}, 7, 5));
	for (size_t i = 0; i < text.len; i++) {
		assert_null(allowance_floor_parse(str_of(text.data, i), 7, 5));
		text.data[i] ^= 1;
		assert_null(allowance_floor_parse(str_buf_view(&text), 7, 5));
		text.data[i] ^= 1;
	}
	str_buf_free(&text);
}

/*
 * Guards against a file without a bound, and against one that leaves out the
 * accounts with the largest bursts.
 */
static void
the_largest_accounts_are_written(void **state ATTR_UNUSED)
{
	struct allowance_table *table = allowance_table_new(1, WINDOW_US, 0);
	uint64_t now = 600 * US_PER_S;
	GPtrArray *lines;
	char name[16];

	for (unsigned i = 0; i < ALLOWANCE_FLOORS_MAX + 10; i++) {
		(void)g_snprintf(name, sizeof(name), "a%u", i);
		assert_int_equal(
		    draw(table, name, i < 10 ? 50 : 100, 1, i, now), 1);
	}
	assert_null(allowance_table_begin_write(table, now));
	lines = allowance_table_begin_write(table, now + US_PER_S);
	assert_non_null(lines);
	assert_int_equal(lines->len, ALLOWANCE_FLOORS_MAX);
	for (guint i = 0; i < lines->len; i++) {
		const struct allowance_floor_line *line =
		    g_ptr_array_index(lines, i);

		assert_true(line->level == 50);
	}
	g_ptr_array_unref(lines);
	allowance_table_end_write(table, ALLOWANCE_WRITE_DONE);
	allowance_table_free(table);
}

/* One share whose tokens are used, held or returned as is worst for a window. */
struct share_run {
	struct random random;
	struct allowance_table *table;
	struct str_buf file;
	struct str_buf next; /* of the write under way */
	bool writing;
	uint64_t now_ms;
	uint64_t next_request;
	GArray *held; /* struct held_token */
	unsigned used[60000]; /* by millisecond */
	unsigned anew[60000]; /* restarts without a floor: a token each */
	bool plant; /* the file of the first floor is never replaced */
};

struct held_token {
	uint64_t request;
	uint64_t at_ms;
};

static void
run_disk(struct share_run *run)
{
	if (run->writing && random_below(&run->random, 100) == 0) {
		uint64_t outcome = random_below(&run->random, 4);

		run->writing = false;
		if (outcome != 0 && !(run->plant && run->file.len > 0)) {
			str_buf_clear(&run->file);
			str_buf_append(&run->file, str_buf_view(&run->next));
		}
		allowance_table_end_write(run->table,
		    outcome < 2 ? ALLOWANCE_WRITE_UNKNOWN
				: ALLOWANCE_WRITE_DONE);
	}
	if (run->writing || run->now_ms % 20 != 0)
		return;
	str_buf_free(&run->next);
	run->next = begin(run->table, run->now_ms * US_PER_MS);
	run->writing = run->next.data != NULL;
}

/*
 * The process ends, and another one starts at once.  A write under way leaves
 * either file, or a torn one.
 */
static void
run_restart(struct share_run *run, uint64_t window_us)
{
	if (run->writing && random_below(&run->random, 2) == 0 &&
	    !(run->plant && run->file.len > 0)) {
		str_buf_clear(&run->file);
		str_buf_append(&run->file, str_buf_view(&run->next));
		if (random_below(&run->random, 4) == 0)
			run->file.len /= 2;
	}
	run->writing = false;
	run->table =
	    restart(run->table, &run->file, window_us, run->now_ms * US_PER_MS);
	run->anew[run->now_ms]++;
}

/*
 * Returns the largest number of tokens used in a window beyond what one share
 * may supply to it; 0 or less if the bound holds.
 */
static double
excess(const struct share_run *run, unsigned window_ms, double supply)
{
	double most = -1e9;
	double sum = 0;

	for (unsigned t = 0; t < G_N_ELEMENTS(run->used); t++) {
		sum += (double)run->used[t] - run->anew[t];
		if (t > window_ms)
			sum -= (double)run->used[t - window_ms - 1] -
			    run->anew[t - window_ms - 1];
		most = sum > most ? sum : most;
	}
	return most - supply;
}

static double
run_share(uint64_t seed, bool plant)
{
	const unsigned window_ms = 1000;
	const unsigned token_ms = window_ms / ALLOWANCE_TOKEN_WINDOW_PART;
	struct share_run *run = g_new0(struct share_run, 1);
	enum {
		IDLE,
		HOLD,
		USE,
		RETURN,
		MODES
	} mode = IDLE;
	double most;

	random_seed(&run->random, seed);
	run->plant = plant;
	run->held = g_array_new(FALSE, FALSE, sizeof(struct held_token));
	run->table = allowance_table_new(1, window_ms * US_PER_MS, 0);
	for (; run->now_ms < G_N_ELEMENTS(run->used); run->now_ms++) {
		uint64_t now_us = run->now_ms * US_PER_MS;
		GArray *held = run->held;

		if (random_below(&run->random, mode == IDLE ? 1500 : 150) == 0)
			mode =
			    (mode + 1 + random_below(&run->random, MODES - 1)) %
			    MODES;
		/* Tokens are newest while they are returned and drawn again. */
		if (random_below(&run->random, mode == RETURN ? 150 : 1500) ==
		    0)
			run_restart(run, window_ms * US_PER_MS);
		run_disk(run);
		while (mode != IDLE && held->len < 10000) {
			struct held_token token = {
			    ++run->next_request, run->now_ms};

			if (draw(run->table, "a", BURST, 1, token.request,
				now_us) == 0)
				break;
			g_array_append_val(held, token);
		}
		for (guint i = held->len; i-- > 0;) {
			const struct held_token token =
			    g_array_index(held, struct held_token, i);
			bool expires =
			    run->now_ms - token.at_ms >= token_ms - 1;

			if (mode == USE || (expires && mode != RETURN))
				run->used[run->now_ms]++;
			else if (expires ||
			    (mode == RETURN &&
				random_below(&run->random, 4) == 0))
				(void)allowance_table_return(run->table, "a", 1,
				    token.request, 1, now_us);
			else
				continue;
			g_array_remove_index_fast(held, i);
		}
	}
	most = excess(run, window_ms,
	    BURST + (double)RATE * (window_ms + token_ms) / 1000 +
		ALLOWANCE_EXCESS + 1);
	allowance_table_free(run->table);
	g_array_free(run->held, TRUE);
	str_buf_free(&run->file);
	str_buf_free(&run->next);
	g_free(run);
	return most;
}

/*
 * Guards against any restart, write or return after which a share supplies more
 * to a window than without restarts, apart from the one token that a bucket
 * without a floor starts with.
 */
static void
restarts_add_nothing_to_a_window(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= 40; seed++) {
		double most = run_share(seed, false);

		if (most > 0)
			fail_msg("seed %u: %.1f above", (unsigned)seed, most);
	}
}

/*
 * Guards against a checker that finds nothing: a file that is never lowered.
 */
static void
the_checker_finds_a_file_that_is_not_lowered(void **state ATTR_UNUSED)
{
	double most = -1;

	for (uint64_t seed = 1; seed <= 20; seed++)
		most = MAX(most, run_share(seed, true));
	assert_true(most > 0);
}

/*
 * Guards against a model that sees no violation, and against floors that give
 * returning callers nothing.
 */
static void
floors_serve_callers_after_a_restart(void **state ATTR_UNUSED)
{
	struct allowance_model model = {"crowd, all restart", 50, 150, 5000, 6,
	    141, 0, 30, 0, 0, false, 5000, 0, ALLOWANCE_RESTART_ALL, false,
	    ALLOWANCE_DISK_NONE};
	const struct allowance_model planted = {"planted floors", 100, 1000,
	    5000, 7, 141, 0, 20, 0, 0, false, 0, 0, ALLOWANCE_RESTART_VOTERS,
	    false, ALLOWANCE_DISK_PLANTED};
	unsigned before = allowance_model_run(&model, 1).first;

	model.disk = ALLOWANCE_DISK_GOOD;
	assert_true(allowance_model_run(&model, 1).first >= before + 50);
	assert_true(allowance_model_run(&planted, 1).above > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_floor_is_granted_once),
	    cmocka_unit_test(a_bucket_grants_its_rate_without_a_disk),
	    cmocka_unit_test(a_file_that_was_not_read_is_withheld),
	    cmocka_unit_test(floors_of_an_earlier_share_are_withheld),
	    cmocka_unit_test(a_lower_limit_cuts_the_floor),
	    cmocka_unit_test(only_a_whole_own_file_counts),
	    cmocka_unit_test(the_largest_accounts_are_written),
	    cmocka_unit_test(restarts_add_nothing_to_a_window),
	    cmocka_unit_test(the_checker_finds_a_file_that_is_not_lowered),
	    cmocka_unit_test(floors_serve_callers_after_a_restart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
