/*
 * A group of one replica on a data folder in the file system.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "replica/replica.h"
#include "replica/storage.h"

enum {
	COMMANDS = 500
};

struct state_machine {
	struct str_buf text; /* concatenated applied commands */
	uint64_t applied;
	uint64_t term;
	unsigned loads;
};

static void
machine_send(void *ctx ATTR_UNUSED, uint64_t to ATTR_UNUSED,
    struct str message ATTR_UNUSED)
{
	fail_msg("a group of one must not send messages");
}

static void
state_machine_apply(
    void *ctx, uint64_t index, uint64_t term, struct str command)
{
	struct state_machine *state_machine = ctx;

	assert_true(index > state_machine->applied);
	state_machine->applied = index;
	state_machine->term = term;
	str_buf_append(&state_machine->text, command);
}

static void
state_machine_save(void *ctx, struct str_buf *out)
{
	struct state_machine *state_machine = ctx;

	str_buf_append(out, str_buf_view(&state_machine->text));
}

static enum status
state_machine_load(void *ctx, uint64_t index, struct str data)
{
	struct state_machine *state_machine = ctx;

	str_buf_clear(&state_machine->text);
	str_buf_append(&state_machine->text, data);
	state_machine->applied = index;
	state_machine->loads++;
	return STATUS_OK;
}

static struct replica *
open_replica(const char *path, uint64_t snapshot_entries,
    struct state_machine *state_machine)
{
	const struct replica_config config = {.id = 1,
	    .election_timeout_us = 300 * US_PER_MS,
	    .heartbeat_us = 50 * US_PER_MS,
	    .lease_us = 250 * US_PER_MS,
	    .snapshot_entries = snapshot_entries,
	    .append_max_bytes = 64 << 10,
	    .seed = 1};
	const struct replica_callbacks callbacks = {.ctx = state_machine,
	    .send = machine_send,
	    .apply = state_machine_apply,
	    .snapshot_save = state_machine_save,
	    .snapshot_load = state_machine_load};
	const struct replica_member member = {
	    .id = 1, .voter = true, .address = "127.0.0.1:1"};
	struct replica_storage storage;
	struct replica *replica;

	assert_int_equal(storage_folder_open(path, 1, &storage), STATUS_OK);
	assert_int_equal(replica_open(&config, &storage, &callbacks, &member, 1,
			     US_PER_S, &replica),
	    STATUS_OK);
	replica_tick(replica, US_PER_S);
	replica_flush(replica, US_PER_S);
	return replica;
}

static void
remove_folder(const char *path)
{
	char command[256];

	snprintf(command, sizeof(command), "rm -rf '%s'", path);
	assert_int_equal(system(command), 0);
}

/*
 * After 500 commands and a restart the state is the same, with and without
 * snapshots.
 */
static void
restart_restores_the_same_state(void **state ATTR_UNUSED)
{
	for (uint64_t snapshots = 16; snapshots <= 100000; snapshots *= 6250) {
		char path[] = "/tmp/gypsummill-replica-XXXXXX";
		struct state_machine before = {0}, after = {0};
		struct replica *replica;
		struct replica_info info;

		assert_non_null(mkdtemp(path));
		replica = open_replica(path, snapshots, &before);
		assert_true(replica_has_lease(replica, US_PER_S));
		for (int i = 0; i < COMMANDS; i++) {
			char text[32];
			uint64_t index, term;

			snprintf(text, sizeof(text), "change %d;", i);
			assert_int_equal(replica_propose(replica,
					     str_from(text), &index, &term),
			    STATUS_OK);
			assert_true(before.applied < index);
			replica_flush(replica, US_PER_S);
			assert_true(before.applied == index);
			assert_true(before.term == term);
		}
		replica_close(replica);
		replica = open_replica(path, snapshots, &after);
		replica_describe(replica, &info);
		assert_int_equal(info.role, REPLICA_LEADER);
		assert_true(str_equal(
		    str_buf_view(&before.text), str_buf_view(&after.text)));
		assert_true(after.loads == (snapshots == 16));
		replica_close(replica);
		str_buf_free(&before.text);
		str_buf_free(&after.text);
		remove_folder(path);
	}
}

/*
 * A data folder can be opened only under its replica's id and by one process
 * at a time.
 */
static void
folder_is_bound_to_its_id(void **state ATTR_UNUSED)
{
	char path[] = "/tmp/gypsummill-replica-XXXXXX";
	struct replica_storage storage, second;

	assert_non_null(mkdtemp(path));
	assert_int_equal(storage_folder_open(path, 1, &storage), STATUS_OK);
	assert_int_equal(
	    storage_folder_open(path, 1, &second), STATUS_CONFLICT);
	storage.close(storage.ctx);
	assert_int_equal(
	    storage_folder_open(path, 2, &storage), STATUS_CONFLICT);
	remove_folder(path);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(restart_restores_the_same_state),
	    cmocka_unit_test(folder_is_bound_to_its_id),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
