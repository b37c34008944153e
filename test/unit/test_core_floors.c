/*
 * The file of floors of a control instance: a real folder, and restarts of the
 * instance.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "support_core.h"

enum {
	BURST = 100, /* of the only share */
	FLOOR = BURST / 2
};

struct fixture {
	struct core_fixture core;
	int64_t ends; /* of writes before those that a test waits for */
};

static int64_t
count_ends(const struct fixture *fixture)
{
	const struct core_allowance *a = &fixture->core.core->allowance;

	return counter_get(a->floors_written) +
	    counter_get(a->floors_not_written);
}

static bool
is_granting(const void *ctx)
{
	const struct core *core = ctx;

	return core->allowance.granting && core->allowance.share_index != 0;
}

static bool
has_ended_write(const void *ctx)
{
	const struct fixture *fixture = ctx;

	return count_ends(fixture) > fixture->ends;
}

static bool
has_file(const struct fixture *fixture)
{
	char path[CORE_PATH_BYTES];

	core_path(fixture->core.core, "floors", path);
	return access(path, F_OK) == 0;
}

static unsigned
draw(struct fixture *fixture, unsigned most, uint64_t now_us)
{
	const struct allowance_limit limit = {1, BURST, 1};
	unsigned count = 0;

	while (count < most &&
	    allowance_table_draw(fixture->core.core->allowance.table, "a",
		&limit, 1, count, 1, now_us)
		    .granted == 1)
		count++;
	return count;
}

static void
open_instance(struct fixture *fixture)
{
	core_fixture_open(&fixture->core, NULL);
	core_fixture_run_until(&fixture->core, is_granting, fixture->core.core);
}

static void
restart(struct fixture *fixture)
{
	fixture->ends = count_ends(fixture);
	core_fixture_stop(&fixture->core);
	open_instance(fixture);
}

static void
init(struct fixture *fixture)
{
	core_fixture_init(&fixture->core, true);
	core_fixture_open(&fixture->core, NULL);
	core_fixture_edit(&fixture->core, 0, 1, "text");
	core_fixture_run_until(&fixture->core, is_granting, fixture->core.core);
	fixture->ends = count_ends(fixture);
}

/*
 * Lets time pass until the bucket is full and a write of its floor has ended.
 * Returns the time then.
 */
static uint64_t
fill(struct fixture *fixture)
{
	struct core *core = fixture->core.core;
	uint64_t now = clock_boot_us() + 2 * BURST * US_PER_S;

	uv_timer_stop(&core->timer);
	assert_int_equal(draw(fixture, 1, now), 1);
	core_allowance_tick(core, now);
	now += 2 * US_PER_S;
	core_allowance_tick(core, now);
	core_fixture_run_until(&fixture->core, has_ended_write, fixture);
	return now;
}

/*
 * Writes a file as if a process had ended that left it.
 */
static void
leave_file(struct fixture *fixture, uint64_t replica_id, size_t cut)
{
	GPtrArray *lines = allowance_floor_lines_new();
	struct str_buf text = {0};
	char path[CORE_PATH_BYTES];
	FILE *file;

	allowance_floor_lines_add(lines, "a", FLOOR);
	allowance_floor_format(&text, replica_id, 1, lines);
	g_ptr_array_unref(lines);
	core_path(fixture->core.core, "floors", path);
	file = fopen(path, "we");
	assert_non_null(file);
	assert_int_equal(
	    fwrite(text.data, 1, text.len - cut, file), text.len - cut);
	assert_int_equal(fclose(file), 0);
	str_buf_free(&text);
}

/*
 * Guards against a burst that a restart loses, that it grants while the file
 * promises it to the next one, or that it grants twice.
 */
static void
a_floor_outlives_a_restart(void **state ATTR_UNUSED)
{
	struct fixture fixture;
	uint64_t now;

	init(&fixture);
	now = fill(&fixture);
	assert_true(has_file(&fixture));
	assert_int_equal(draw(&fixture, BURST, now), BURST - FLOOR);
	restart(&fixture);
	/* At most what has accrued since the start. */
	assert_true(draw(&fixture, 10, clock_boot_us()) < 2);
	core_fixture_run_until(&fixture.core, has_ended_write, &fixture);
	assert_false(has_file(&fixture));
	assert_in_range(
	    draw(&fixture, BURST, clock_boot_us()), FLOOR - 2, FLOOR + 10);
	restart(&fixture);
	assert_in_range(draw(&fixture, BURST, clock_boot_us()), 1, 10);
	core_fixture_close(&fixture.core);
}

/*
 * Guards against a file that counts although it is torn or another replica
 * wrote it.
 */
static void
a_torn_or_foreign_file_counts_as_none(void **state ATTR_UNUSED)
{
	struct fixture fixture;
	uint64_t id;

	init(&fixture);
	id = fixture.core.core->replica_id;
	leave_file(&fixture, id, 3);
	restart(&fixture);
	assert_in_range(draw(&fixture, BURST, clock_boot_us()), 1, 10);
	leave_file(&fixture, id + 1, 0);
	restart(&fixture);
	assert_in_range(draw(&fixture, BURST, clock_boot_us()), 1, 10);
	leave_file(&fixture, id, 0);
	restart(&fixture);
	(void)draw(&fixture, BURST, clock_boot_us());
	core_fixture_run_until(&fixture.core, has_ended_write, &fixture);
	assert_in_range(
	    draw(&fixture, BURST, clock_boot_us()), FLOOR - 10, FLOOR + 10);
	core_fixture_close(&fixture.core);
}

/*
 * Guards against floors that a voter uses although it cannot know that the
 * share is the one that they were written for, and against their file being
 * left for a later restart.
 */
static void
floors_without_a_share_file_are_removed(void **state ATTR_UNUSED)
{
	struct fixture fixture;
	char path[CORE_PATH_BYTES];

	init(&fixture);
	leave_file(&fixture, fixture.core.core->replica_id, 0);
	core_path(fixture.core.core, "share", path);
	assert_int_equal(unlink(path), 0);
	restart(&fixture);
	/* Before the new share file, which would make them count. */
	assert_false(has_file(&fixture));
	assert_in_range(draw(&fixture, BURST, clock_boot_us()), 1, 10);
	core_fixture_close(&fixture.core);
}

/*
 * Guards against a file that could not be read at one start, stays on disk while
 * the bucket is used up, and counts at the next start.
 */
static void
a_file_that_could_not_be_read_is_removed(void **state ATTR_UNUSED)
{
	struct fixture fixture;
	char path[CORE_PATH_BYTES];
	char target[8];

	init(&fixture);
	core_path(fixture.core.core, "floors", path);
	/* Opening a link to itself fails, also for root. */
	assert_int_equal(symlink("floors", path), 0);
	restart(&fixture);
	core_fixture_run_until(&fixture.core, has_ended_write, &fixture);
	assert_int_equal(readlink(path, target, sizeof(target)), -1);
	assert_in_range(draw(&fixture, BURST, clock_boot_us()), 1, 10);
	core_fixture_close(&fixture.core);
}

/*
 * Guards against a disk that takes no file, as a full one, and stops a bucket
 * from granting what it holds.
 */
static void
a_failed_write_withholds_nothing(void **state ATTR_UNUSED)
{
	struct fixture fixture;
	char path[CORE_PATH_BYTES];
	int64_t failed;
	uint64_t now;

	init(&fixture);
	core_path(fixture.core.core, "floors.new", path);
	assert_int_equal(mkdir(path, 0700), 0);
	failed = counter_get(fixture.core.core->allowance.floors_not_written);
	now = fill(&fixture);
	assert_int_equal(
	    counter_get(fixture.core.core->allowance.floors_not_written),
	    failed + 1);
	assert_false(has_file(&fixture));
	assert_int_equal(draw(&fixture, BURST + 1, now), BURST);
	core_fixture_close(&fixture.core);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_floor_outlives_a_restart),
	    cmocka_unit_test(a_torn_or_foreign_file_counts_as_none),
	    cmocka_unit_test(floors_without_a_share_file_are_removed),
	    cmocka_unit_test(a_file_that_could_not_be_read_is_removed),
	    cmocka_unit_test(a_failed_write_withholds_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
