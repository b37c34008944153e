/*
 * The data folder under faults.  A sequence of all its operations is
 * repeated with each kind of fault at each mutating system call.
 */
#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/memory.h"
#include "replica/storage_calls.h"
#include "support_replica_fs.h"

enum {
	INDEX_MAX = 64,
	VERSIONS_MAX = 4, /* different entries at one index */
	SEEDS = 6,
	REPLICA_ID = 5
};

/* What must be stored, and what may be stored in addition. */
struct model {
	uint64_t term, vote; /* acknowledged */
	uint64_t pending_term, pending_vote; /* being saved */
	uint64_t terms[INDEX_MAX][VERSIONS_MAX]; /* ever appended */
	unsigned versions[INDEX_MAX];
	uint64_t current_terms[INDEX_MAX]; /* term of the current entry */
	uint64_t last; /* appended */
	uint64_t durable; /* synced and not truncated since */
	uint64_t snapshot, pending_snapshot;
	bool group;
	bool failed;
};

/* What was loaded from a folder. */
struct loaded {
	const struct model *model;
	uint64_t term, vote;
	uint64_t snapshot;
	uint64_t last;
	bool group;
	unsigned errors;
};

static struct str
entry_data(uint64_t index, uint64_t term, char *space, size_t size)
{
	int len = snprintf(space, size, "entry %llu of term %llu",
	    (unsigned long long)index, (unsigned long long)term);

	return str_of(space, (size_t)len);
}

static void
loaded_state(void *ctx, uint64_t term, uint64_t vote)
{
	struct loaded *loaded = ctx;

	loaded->term = term;
	loaded->vote = vote;
}

static void
loaded_snapshot(
    void *ctx, uint64_t index, uint64_t term ATTR_UNUSED, struct str data)
{
	struct loaded *loaded = ctx;

	loaded->snapshot = index;
	loaded->last = index;
	if (!str_equal_c(data, "snapshot"))
		loaded->errors++;
}

static void
loaded_group(void *ctx, struct str data)
{
	struct loaded *loaded = ctx;

	loaded->group = true;
	if (!str_equal_c(data, "group"))
		loaded->errors++;
}

static void
loaded_entry(void *ctx, const struct storage_entry *entry)
{
	struct loaded *loaded = ctx;
	const struct model *model = loaded->model;
	char space[64];
	bool known = false;

	if (entry->index != loaded->last + 1 || entry->index >= INDEX_MAX) {
		loaded->errors++;
		return;
	}
	for (unsigned i = 0; i < model->versions[entry->index]; i++)
		known = known || model->terms[entry->index][i] == entry->term;
	if (!known ||
	    !str_equal(entry->data,
		entry_data(entry->index, entry->term, space, sizeof(space))))
		loaded->errors++;
	if (entry->index <= model->durable &&
	    entry->term != model->current_terms[entry->index])
		loaded->errors++;
	loaded->last = entry->index;
}

/*
 * Opens and loads a folder.
 */
static enum status
load(struct fs *fs, const struct model *model, struct loaded *loaded,
    struct replica_storage *storage)
{
	const struct storage_loader loader = {.ctx = loaded,
	    .state = loaded_state,
	    .snapshot = loaded_snapshot,
	    .entry = loaded_entry,
	    .group = loaded_group};
	enum status status =
	    storage_folder_open_with("/data", REPLICA_ID, &fs->calls, storage);

	*loaded = (struct loaded){.model = model};
	if (status != STATUS_OK)
		return status;
	status = storage->load(storage->ctx, &loader);
	if (status != STATUS_OK)
		storage->close(storage->ctx);
	return status;
}

/*
 * Records the status of an operation; after a failure every further one must
 * be refused with STATUS_CLOSED. Returns whether it succeeded.
 */
static bool
check_status(struct model *model, enum status status)
{
	if (model->failed)
		assert_int_equal(status, STATUS_CLOSED);
	if (status != STATUS_OK)
		model->failed = true;
	return !model->failed;
}

static void
save_state(struct model *model, struct replica_storage *storage, uint64_t term)
{
	if (!model->failed) {
		model->pending_term = term;
		model->pending_vote = term + 100;
	}
	if (check_status(
		model, storage->save_state(storage->ctx, term, term + 100))) {
		model->term = term;
		model->vote = term + 100;
	}
}

static void
append(struct model *model, struct replica_storage *storage, unsigned count,
    uint64_t term)
{
	for (unsigned i = 0; i < count; i++) {
		char space[64];
		const struct storage_entry entry = {.index = model->last + 1,
		    .term = term,
		    .kind = 1,
		    .data = entry_data(
			model->last + 1, term, space, sizeof(space))};

		if (!model->failed) {
			model->terms[entry.index]
				    [model->versions[entry.index]++] = term;
			model->current_terms[entry.index] = term;
			model->last++;
		}
		check_status(model, storage->append(storage->ctx, &entry, 1));
	}
}

static void
sync_log(struct model *model, struct replica_storage *storage)
{
	if (check_status(model, storage->sync(storage->ctx)))
		model->durable = model->last;
}

static void
truncate_log(
    struct model *model, struct replica_storage *storage, uint64_t index)
{
	if (!model->failed && model->durable > index)
		model->durable = index;
	if (check_status(model, storage->truncate_after(storage->ctx, index)))
		model->last = index;
}

static void
snapshot(struct model *model, struct replica_storage *storage, uint64_t index,
    uint64_t term)
{
	if (!model->failed)
		model->pending_snapshot = index;
	if (!check_status(model,
		storage->save_snapshot(
		    storage->ctx, index, term, str_from("snapshot"))))
		return;
	model->snapshot = index;
	if (index <= model->last && model->current_terms[index] == term)
		return;
	model->last = index;
	model->durable = index;
}

/*
 * Runs all operations, some more than once.
 */
static void
run_operations(struct model *model, struct replica_storage *storage)
{
	if (check_status(
		model, storage->save_group(storage->ctx, str_from("group"))))
		model->group = true;
	save_state(model, storage, 1);
	append(model, storage, 5, 1);
	sync_log(model, storage);
	append(model, storage, 3, 1);
	sync_log(model, storage);
	truncate_log(model, storage, 6);
	save_state(model, storage, 2);
	append(model, storage, 4, 2);
	sync_log(model, storage);
	snapshot(model, storage, 8, 2);
	append(model, storage, 2, 2);
	sync_log(model, storage);
	snapshot(model, storage, 12, 2);
	append(model, storage, 3, 2);
	sync_log(model, storage);
	save_state(model, storage, 3);
	/* A leader's snapshot that conflicts with our log. */
	snapshot(model, storage, 14, 3);
	append(model, storage, 2, 3);
	sync_log(model, storage);
	/* A leader's snapshot ahead of our log. */
	snapshot(model, storage, 30, 3);
	append(model, storage, 2, 3);
	sync_log(model, storage);
}

/*
 * Checks that a folder contains all acknowledged data and nothing that was
 * never written.
 */
static void
check_loaded(const struct model *model, const struct loaded *loaded)
{
	assert_int_equal(loaded->errors, 0);
	assert_true(
	    (loaded->term == model->term && loaded->vote == model->vote) ||
	    (loaded->term == model->pending_term &&
		loaded->vote == model->pending_vote));
	assert_true(loaded->snapshot == model->snapshot ||
	    loaded->snapshot == model->pending_snapshot);
	if (model->group)
		assert_true(loaded->group);
	assert_true(loaded->last >= model->durable ||
	    loaded->snapshot == model->pending_snapshot);
	assert_true(loaded->last >= loaded->snapshot);
}

/*
 * Runs the operations with one fault and checks the folder after a crash.
 * Returns false once the fault would come after the last operation.
 */
static bool
run_with_failure(uint64_t seed, enum fs_fault fault, uint64_t at)
{
	struct fs *fs = fs_new(seed);
	struct model model = {0};
	struct replica_storage storage;
	struct loaded loaded;
	bool fault_triggered;

	fs->short_writes = seed % 2 == 0;
	fs->fault = fault;
	fs->fault_at = at;
	if (load(fs, &model, &loaded, &storage) == STATUS_OK) {
		run_operations(&model, &storage);
		storage.close(storage.ctx);
	}
	fault_triggered = fs->fault_triggered;
	assert_true(fault_triggered || !model.failed);
	fs_crash(fs);
	assert_int_equal(load(fs, &model, &loaded, &storage), STATUS_OK);
	check_loaded(&model, &loaded);
	storage.close(storage.ctx);
	fs_free(fs);
	return fault_triggered;
}

static void
recovers_from_every_failure_point(void **state ATTR_UNUSED)
{
	static const enum fs_fault faults[] = {FS_KILL_BEFORE, FS_KILL_AFTER,
	    FS_SYNC_ERROR, FS_FULL, FS_WRITE_ERROR};
	uint64_t points = 0;

	for (unsigned i = 0; i < sizeof(faults) / sizeof(*faults); i++) {
		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			uint64_t at = 1;

			while (run_with_failure(seed, faults[i], at))
				at++;
			points += at - 1;
			assert_true(at > 50);
		}
	}
	printf("%llu failure points\n", (unsigned long long)points);
}

/*
 * What is loaded after the kill of a process survives a loss of power, whether
 * the killed process had synced it or not: a replica confirms and counts what
 * it has loaded.  Returns false once the kill would come after the last
 * operation.
 */
static bool
run_with_kill_and_crash(uint64_t seed, enum fs_fault kill, uint64_t at)
{
	struct fs *fs = fs_new(seed);
	struct model model = {0};
	struct replica_storage storage;
	struct loaded before, after;
	bool killed;

	fs->short_writes = seed % 2 == 0;
	fs->fault = kill;
	fs->fault_at = at;
	if (load(fs, &model, &before, &storage) == STATUS_OK) {
		run_operations(&model, &storage);
		storage.close(storage.ctx);
	}
	killed = fs->fault_triggered;
	fs_kill(fs);
	assert_int_equal(load(fs, &model, &before, &storage), STATUS_OK);
	check_loaded(&model, &before);
	storage.close(storage.ctx);
	fs_crash(fs);
	assert_int_equal(load(fs, &model, &after, &storage), STATUS_OK);
	storage.close(storage.ctx);
	fs_free(fs);
	assert_int_equal(after.errors, 0);
	assert_int_equal(after.term, before.term);
	assert_int_equal(after.vote, before.vote);
	assert_int_equal(after.snapshot, before.snapshot);
	assert_int_equal(after.group, before.group);
	assert_int_equal(after.last, before.last);
	return killed;
}

static void
loaded_data_survives_a_power_failure(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		uint64_t at = 1;

		while (run_with_kill_and_crash(seed, FS_KILL_BEFORE, at))
			at++;
		at = 1;
		while (run_with_kill_and_crash(seed, FS_KILL_AFTER, at))
			at++;
	}
}

/*
 * Appends entries of a size that fills several segments.
 */
static void
append_large(struct replica_storage *storage, uint64_t first, unsigned count)
{
	enum {
		LARGE_BYTES = 3 << 20
	};
	char *data = mem_calloc(1, LARGE_BYTES);

	for (unsigned i = 0; i < count; i++) {
		const struct storage_entry entry = {.index = first + i,
		    .term = 1,
		    .kind = 1,
		    .data = str_of(data, LARGE_BYTES)};

		if (storage->append(storage->ctx, &entry, 1) != STATUS_OK)
			break;
	}
	(void)storage->sync(storage->ctx);
	mem_free(data);
}

static void
count_entry(void *ctx, const struct storage_entry *entry)
{
	uint64_t *last = ctx;

	*last = entry->index;
}

static void
ignore_state(
    void *ctx ATTR_UNUSED, uint64_t term ATTR_UNUSED, uint64_t vote ATTR_UNUSED)
{
}

static void
ignore_snapshot(void *ctx ATTR_UNUSED, uint64_t index ATTR_UNUSED,
    uint64_t term ATTR_UNUSED, struct str data ATTR_UNUSED)
{
}

/*
 * Removes several segments, the oldest ones behind a snapshot or the newest
 * ones by a truncation, with a loss of power at a call.  A gap would make the
 * replica give up its disk.  Returns false once the loss would come after the
 * last call.
 */
static bool
remove_segments_with_crash(uint64_t seed, bool oldest, uint64_t at)
{
	struct fs *fs = fs_new(seed);
	uint64_t last = 0;
	const struct storage_loader loader = {.ctx = &last,
	    .state = ignore_state,
	    .snapshot = ignore_snapshot,
	    .entry = count_entry};
	struct replica_storage storage;
	bool killed;

	assert_int_equal(
	    storage_folder_open_with("/data", REPLICA_ID, &fs->calls, &storage),
	    STATUS_OK);
	assert_int_equal(storage.load(storage.ctx, &loader), STATUS_OK);
	assert_int_equal(storage.save_state(storage.ctx, 1, 1), STATUS_OK);
	append_large(&storage, 1, 8);
	fs->fault = FS_KILL_AFTER;
	fs->fault_at = fs->mutations + at;
	if (oldest)
		(void)storage.save_snapshot(
		    storage.ctx, 7, 1, str_from("snapshot"));
	else
		(void)storage.truncate_after(storage.ctx, 1);
	killed = fs->fault_triggered;
	storage.close(storage.ctx);
	fs_crash(fs);
	assert_int_equal(
	    storage_folder_open_with("/data", REPLICA_ID, &fs->calls, &storage),
	    STATUS_OK);
	assert_int_equal(storage.load(storage.ctx, &loader), STATUS_OK);
	assert_true(oldest ? last == 8 : last >= 1);
	storage.close(storage.ctx);
	fs_free(fs);
	return killed;
}

static void
removed_segments_leave_no_gap(void **state ATTR_UNUSED)
{
	for (uint64_t seed = 1; seed <= 4 * SEEDS; seed++) {
		for (unsigned oldest = 0; oldest < 2; oldest++) {
			uint64_t at = 1;

			while (
			    remove_segments_with_crash(seed, oldest == 1, at))
				at++;
		}
	}
}

/*
 * Creates a folder with a snapshot and entries after it.
 */
static struct fs *
make_folder(struct model *model)
{
	struct fs *fs = fs_new(1);
	struct replica_storage storage;
	struct loaded loaded;

	*model = (struct model){0};
	assert_int_equal(load(fs, model, &loaded, &storage), STATUS_OK);
	assert_int_equal(
	    storage.save_group(storage.ctx, str_from("group")), STATUS_OK);
	save_state(model, &storage, 2);
	append(model, &storage, 6, 1);
	snapshot(model, &storage, 3, 1);
	append(model, &storage, 6, 2);
	sync_log(model, &storage);
	storage.close(storage.ctx);
	fs_crash(fs);
	return fs;
}

/*
 * A flipped bit in any byte of any file is detected and reported as
 * corruption, never loaded silently.
 */
static void
flipped_bits_are_detected(void **state ATTR_UNUSED)
{
	static const char *const files[] = {
	    "identity", "group", "state", "snapshot", "log-"};

	for (unsigned i = 0; i < sizeof(files) / sizeof(*files); i++) {
		struct model model;
		struct fs *fs = make_folder(&model);
		struct str_buf *bytes = fs_last_file(fs, files[i]);

		assert_non_null(bytes);
		for (size_t at = 0; at < bytes->len; at++) {
			struct replica_storage storage;
			struct loaded loaded;

			bytes->data[at] ^= (char)(1 << at % 8);
			assert_int_equal(load(fs, &model, &loaded, &storage),
			    STATUS_CORRUPT);
			assert_non_null(strstr(status_message(), "damaged"));
			bytes->data[at] ^= (char)(1 << at % 8);
		}
		fs_free(fs);
	}
}

/*
 * A log file truncated at any byte gives back the complete entries before
 * that byte and accepts new ones after them.
 */
static void
torn_tails_are_truncated(void **state ATTR_UNUSED)
{
	struct model model;
	struct fs *fs = make_folder(&model);
	size_t full_size = fs_last_file(fs, "log-")->len;

	fs_free(fs);
	for (size_t len = 0; len <= full_size; len++) {
		struct replica_storage storage;
		struct loaded loaded;
		uint64_t last;

		fs = make_folder(&model);
		fs_truncate_last(fs, "log-", len);
		model.durable = 0;
		assert_int_equal(
		    load(fs, &model, &loaded, &storage), STATUS_OK);
		assert_int_equal(loaded.errors, 0);
		last = loaded.last;
		model.last = last;
		append(&model, &storage, 1, 3);
		sync_log(&model, &storage);
		storage.close(storage.ctx);
		fs_crash(fs);
		assert_int_equal(
		    load(fs, &model, &loaded, &storage), STATUS_OK);
		assert_int_equal(loaded.errors, 0);
		assert_true(loaded.last == last + 1);
		storage.close(storage.ctx);
		fs_free(fs);
	}
}

/*
 * A file missing from a folder in use is reported as corruption; the folder
 * is not taken for a new one.
 */
static void
missing_files_are_detected(void **state ATTR_UNUSED)
{
	static const char *const files[] = {"identity", "state", "snapshot"};

	for (unsigned i = 0; i < sizeof(files) / sizeof(*files); i++) {
		struct model model;
		struct fs *fs = make_folder(&model);
		struct replica_storage storage;
		struct loaded loaded;

		if (strcmp(files[i], "snapshot") == 0) {
			assert_int_equal(
			    load(fs, &model, &loaded, &storage), STATUS_OK);
			snapshot(&model, &storage, model.last, 2);
			append(&model, &storage, 2, 2);
			sync_log(&model, &storage);
			storage.close(storage.ctx);
		}
		fs_remove(fs, files[i]);
		assert_int_equal(
		    load(fs, &model, &loaded, &storage), STATUS_CORRUPT);
		assert_non_null(strstr(status_message(), "missing"));
		fs_free(fs);
	}
}

/* Replaces the descriptor being listed, so that the next read fails. */
static void
interrupt_listing(void *ctx, const char *name ATTR_UNUSED)
{
	const int *listed = ctx;
	int other = open("/dev/null", O_RDONLY | O_CLOEXEC);

	assert_true(other >= 0);
	assert_int_equal(dup2(other, *listed), *listed);
	close(other);
}

/*
 * A listing that fails midway is an error; it must not be taken for a folder
 * with fewer files.
 */
static void
interrupted_listing_is_an_error(void **state ATTR_UNUSED)
{
	const struct storage_calls *calls = storage_calls_system();
	int listed = open("/dev/null", O_RDONLY | O_CLOEXEC);

	/* The folder is opened next and gets this descriptor number. */
	assert_true(listed >= 0);
	close(listed);
	assert_int_equal(
	    calls->list(calls->ctx, ".", interrupt_listing, &listed), -1);
	assert_int_equal(errno, ENOTDIR);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(recovers_from_every_failure_point),
	    cmocka_unit_test(loaded_data_survives_a_power_failure),
	    cmocka_unit_test(removed_segments_leave_no_gap),
	    cmocka_unit_test(flipped_bits_are_detected),
	    cmocka_unit_test(torn_tails_are_truncated),
	    cmocka_unit_test(missing_files_are_detected),
	    cmocka_unit_test(interrupted_listing_is_an_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
