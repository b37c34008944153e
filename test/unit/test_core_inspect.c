/*
 * What is read of a data folder of control: the log, a torn end of it, and which
 * of two folders has all that was committed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/memory.h"
#include "core/core_inspect.h"
#include "replica/storage.h"

enum {
	REPLICA_ID = 7,
	COMMAND_KIND = 1,
	TERM = 3
};

static char folder[64];

static int
make_folder(void **state ATTR_UNUSED)
{
	snprintf(folder, sizeof(folder), "/tmp/test_core_inspect-XXXXXX");
	return mkdtemp(folder) != NULL ? 0 : -1;
}

static int
remove_folder(void **state ATTR_UNUSED)
{
	char command[128];

	snprintf(command, sizeof(command), "rm -r %s", folder);
	return system(command);
}

/*
 * Appends an edit that replaces the version before it.
 */
static void
append_edit(struct replica_storage *storage, uint64_t index, uint64_t version)
{
	Fleet__Command command = FLEET__COMMAND__INIT;
	Fleet__Edit edit = FLEET__EDIT__INIT;
	char text[32];
	uint8_t bytes[128];
	struct storage_entry entry = {
	    .index = index, .term = TERM, .kind = COMMAND_KIND};

	edit.base_version = version - 1;
	edit.version = version;
	edit.text.len =
	    (size_t)snprintf(text, sizeof(text), "text %u", (unsigned)version);
	edit.text.data = (uint8_t *)text;
	command.body_case = FLEET__COMMAND__BODY_EDIT;
	command.edit = &edit;
	entry.data =
	    str_of((const char *)bytes, fleet__command__pack(&command, bytes));
	assert_int_equal(storage->append(storage->ctx, &entry, 1), STATUS_OK);
}

/*
 * Writes a log of edits from version 1 on.
 */
static void
write_log(unsigned versions)
{
	struct replica_storage storage;
	char path[96];

	snprintf(path, sizeof(path), "%s/log", folder);
	assert_int_equal(
	    storage_folder_open(path, REPLICA_ID, &storage), STATUS_OK);
	assert_int_equal(
	    storage.load(storage.ctx, &(struct storage_loader){.ctx = NULL}),
	    STATUS_OK);
	assert_int_equal(storage.save_state(storage.ctx, TERM, 0), STATUS_OK);
	for (unsigned i = 1; i <= versions; i++)
		append_edit(&storage, i, i);
	assert_int_equal(storage.sync(storage.ctx), STATUS_OK);
	storage.close(storage.ctx);
}

static long
log_size(void)
{
	char path[128];
	FILE *file;
	long size;

	snprintf(path, sizeof(path), "%s/log/log-%020d", folder, 1);
	file = fopen(path, "re");
	assert_non_null(file);
	assert_int_equal(fseek(file, 0, SEEK_END), 0);
	size = ftell(file);
	(void)fclose(file);
	return size;
}

static void
cut_log(long bytes)
{
	char path[128];

	snprintf(path, sizeof(path), "%s/log/log-%020d", folder, 1);
	assert_int_equal(truncate(path, log_size() - bytes), 0);
}

static void
last_version_is_found(void **state ATTR_UNUSED)
{
	struct core_inspection inspection;

	write_log(5);
	assert_int_equal(core_inspect(folder, &inspection), STATUS_OK);
	assert_int_equal(inspection.contents.id, REPLICA_ID);
	assert_int_equal(inspection.contents.term, TERM);
	assert_int_equal(inspection.contents.last_index, 5);
	assert_int_equal(inspection.contents.last_term, TERM);
	assert_int_equal(inspection.state.version, 5);
	assert_true(
	    str_equal_c(str_buf_view(&inspection.state.text), "text 5"));
	assert_int_equal(inspection.unreadable, 0);
	core_inspection_destroy(&inspection);
}

/*
 * A record that was never synced ends the log; the file keeps its length.
 */
static void
torn_record_is_left_out_and_left_alone(void **state ATTR_UNUSED)
{
	struct core_inspection inspection;
	long size;

	write_log(5);
	cut_log(1);
	size = log_size();
	for (unsigned i = 0; i < 2; i++) {
		assert_int_equal(core_inspect(folder, &inspection), STATUS_OK);
		assert_int_equal(inspection.state.version, 4);
		core_inspection_destroy(&inspection);
		assert_int_equal(log_size(), size);
	}
}

static void
folder_without_a_replica_stays_empty(void **state ATTR_UNUSED)
{
	struct core_inspection inspection;
	char path[96];

	assert_int_equal(core_inspect(folder, &inspection), STATUS_NOT_FOUND);
	core_inspection_destroy(&inspection);
	snprintf(path, sizeof(path), "%s/log", folder);
	assert_int_not_equal(access(path, F_OK), 0);
}

/*
 * A longer log of an earlier leader may lack what a later one has committed.
 */
static void
later_term_is_newer_than_a_longer_log(void **state ATTR_UNUSED)
{
	const struct replica_contents longer = {
	    .last_term = 2, .last_index = 90};
	const struct replica_contents later = {
	    .last_term = 3, .last_index = 60};
	const struct replica_contents last = {.last_term = 3, .last_index = 61};

	assert_true(replica_contents_is_newer(&later, &longer));
	assert_false(replica_contents_is_newer(&longer, &later));
	assert_true(replica_contents_is_newer(&last, &later));
	assert_false(replica_contents_is_newer(&later, &later));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		last_version_is_found, make_folder, remove_folder),
	    cmocka_unit_test_setup_teardown(
		torn_record_is_left_out_and_left_alone, make_folder,
		remove_folder),
	    cmocka_unit_test_setup_teardown(
		folder_without_a_replica_stays_empty, make_folder,
		remove_folder),
	    cmocka_unit_test(later_term_is_newer_than_a_longer_log),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
