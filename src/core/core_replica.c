#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "base/random.h"
#include "core/core_internal.h"
#include "replica/storage_thread.h"

enum {
	SNAPSHOT_ENTRIES = 400, /* hundreds of edits are usual per day */
	APPEND_MAX_BYTES = 1 << 20,
	SLOW_SYNC_MS = 1000,
	REOPEN_MS = 1000
};

/*
 * Returns the id of a bootstrap member, derived from its address so that all
 * members agree on it without communication.  Ids drawn later have bit 47
 * set.
 */
static uint64_t
bootstrap_replica_id(const char *address)
{
	return (str_hash(str_from(address)) & ((UINT64_C(1) << 46) - 1)) | 1;
}

/*
 * Returns a random id with bit 47 set, which no bootstrap member has.
 */
static uint64_t
random_replica_id(void)
{
	struct random random;

	random_seed(&random,
	    clock_wall_us() ^ (uint64_t)getpid() << 40 ^
		(uint64_t)(uintptr_t)&random ^ clock_boot_us() << 20);
	return (random_next(&random) & ((UINT64_C(1) << 46) - 1)) |
	    GROUP_DRAWN_ID;
}

/*
 * Sends a replica's message to the neighbour that runs replica to; dropped
 * if its address is unknown.
 */
static void
on_send(void *ctx, uint64_t to, struct str message)
{
	struct core *core = ctx;
	const char *address = g_hash_table_lookup(core->addresses, &to);
	Fleet__Frame frame = FLEET__FRAME__INIT;
	const struct core_neighbour *neighbour;

	for (unsigned i = 0; address == NULL && i < core->info.member_count;
	     i++)
		if (core->info.members[i].id == to)
			address = core->info.members[i].address;
	if (address == NULL)
		return;
	neighbour = core_neighbour(core, address);
	if (neighbour == NULL)
		return;
	/* The address may belong to a successor under a new id. */
	frame.replica_to = to;
	frame.body_case = FLEET__FRAME__BODY_REPLICA;
	frame.replica.data = (uint8_t *)message.data;
	frame.replica.len = message.len;
	channel_send(neighbour->channel, &frame);
}

/*
 * Applies a committed command, publishes what it changed and completes the
 * request that waits for it.
 */
static void
on_apply(void *ctx, uint64_t index, uint64_t term, struct str bytes)
{
	struct core *core = ctx;
	Fleet__Command *command = fleet__command__unpack(
	    NULL, bytes.len, (const uint8_t *)bytes.data);
	struct core_effect effect = {.outcome = CORE_STALE};

	if (command == NULL) {
		log_error("command_unreadable", "index=%" PRIu64, index);
		core_on_applied(core, index, term, CORE_STALE);
		return;
	}
	core_state_apply(&core->state, index, command, &effect);
	if (effect.document_changed) {
		counter_add(core->edits, 1);
		core->cache_dirty = true;
		core->document_due = true;
		core->applied_count++;
	}
	if (effect.evacuations_changed) {
		core->cache_dirty = true;
		core->evacuations_due = true;
		log_info("evacuation_order",
		    "instance=%s index=%" PRIu64 " failure_domain=%s active=%d",
		    core->settings.instance, index,
		    command->evacuation->failure_domain,
		    command->evacuation->active);
	}
	if (effect.has_departed) {
		core->cache_dirty = true;
		counter_add(core->departures, 1);
		log_info("departure",
		    "instance=%s index=%" PRIu64 " target=%s started=%" PRIu64,
		    core->settings.instance, index, effect.departed.id,
		    effect.departed.started_ms);
		core_queue_departure(core, &effect.departed);
	}
	fleet__command__free_unpacked(command, NULL);
	core_on_applied(core, index, term, effect.outcome);
}

static void
on_snapshot_save(void *ctx, struct str_buf *out)
{
	const struct core *core = ctx;

	core_state_save(&core->state, out);
}

static void
queue_one_departure(void *ctx, const struct roster_departure *departure)
{
	core_queue_departure(ctx, departure);
}

/*
 * Loads a snapshot; its document and departures are sent with the rest of what
 * is applied.
 */
static enum status
on_snapshot_load(void *ctx, uint64_t index, struct str data)
{
	struct core *core = ctx;
	enum status status = core_state_load(&core->state, data);

	log_info("snapshot", "instance=%s index=%" PRIu64 " version=%" PRIu64,
	    core->settings.instance, index, core->state.version);
	if (status == STATUS_OK) {
		core->document_due = true;
		core->evacuations_due = true;
		roster_for_each_departure(
		    core->roster, queue_one_departure, core);
	}
	return status;
}

static void
on_changed(void *ctx ATTR_UNUSED)
{
}

/*
 * Lists the bootstrap members: the seeds, if this instance is one of them.
 * Returns 0 when no group is to be created.
 */
static unsigned
bootstrap_members(const struct core *core, struct replica_member *members)
{
	unsigned count = 0;
	bool own = false;

	for (unsigned i = 0; i < core->settings.seed_count; i++) {
		const char *address = core->settings.seeds[i];

		if (count == REPLICA_MEMBERS_MAX)
			break;
		own = own || strcmp(address, core->settings.link_address) == 0;
		members[count].id = bootstrap_replica_id(address);
		members[count].voter = true;
		snprintf(members[count].address, sizeof(members[count].address),
		    "%s", address);
		count++;
	}
	return core->settings.bootstrap && own ? count : 0;
}

/*
 * Reads the replica's id or assigns one, and creates the folder of its log.
 */
static enum status
prepare_folder(struct core *core, unsigned first_count)
{
	char path[CORE_PATH_BYTES];
	enum status status;

	core_path(core, core_log_folder, path);
	if (mkdir(path, 0755) != 0 && errno != EEXIST)
		return status_set_errno(STATUS_IO, path);
	/* A process that wrote or removed the id may have been killed before its
	 * sync. */
	status = core_sync_folder(core->settings.data);
	if (status != STATUS_OK)
		return status;
	status = core_read_id(core, &core->replica_id);
	if (status != STATUS_OK || core->replica_id != 0)
		return status;
	core_remove_files(path);
	core->replica_id = first_count > 0
	    ? bootstrap_replica_id(core->settings.link_address)
	    : random_replica_id();
	return core_write_id(core, core->replica_id);
}

/*
 * Makes the loop run, and flush the replica before it waits again.
 */
static void
wake_loop(void *ctx)
{
	(void)uv_async_send(ctx);
}

/*
 * Opens the replica in the data folder; STATUS_OK without a disk.
 */
enum status
core_replica_open(struct core *core)
{
	struct replica_member members[REPLICA_MEMBERS_MAX] = {0};
	unsigned count;
	char path[CORE_PATH_BYTES];
	enum status status;
	const struct replica_callbacks callbacks = {
	    .ctx = core,
	    .send = on_send,
	    .apply = on_apply,
	    .snapshot_save = on_snapshot_save,
	    .snapshot_load = on_snapshot_load,
	    .changed = on_changed,
	};
	struct replica_config config = {
	    .election_timeout_us = GROUP_ELECTION_MS * US_PER_MS,
	    .heartbeat_us = GROUP_HEARTBEAT_MS * US_PER_MS,
	    .lease_us = GROUP_LEASE_MS * US_PER_MS,
	    .snapshot_entries = SNAPSHOT_ENTRIES,
	    .append_max_bytes = APPEND_MAX_BYTES,
	};

	if (core->settings.data == NULL)
		return STATUS_OK;
	count = bootstrap_members(core, members);
	status = prepare_folder(core, count);
	if (status != STATUS_OK)
		return status;
	config.id = core->replica_id;
	config.seed = random_replica_id();
	config.started_us = core->allowance.started_us;
	/* A machine that has lost its disk starts with bootstrap set to false. */
	config.forms_by_majority = true;
	core_path(core, core_log_folder, path);
	status = storage_folder_open(path, core->replica_id, &core->storage);
	if (status == STATUS_OK)
		status = storage_thread_start(&core->storage,
		    &(struct storage_owner){
			.ctx = &core->log_synced, .wake = wake_loop});
	if (status == STATUS_OK)
		status = replica_open(&config, &core->storage, &callbacks,
		    members, count, clock_boot_us(), &core->replica);
	if (status != STATUS_OK)
		return status;
	replica_describe(core->replica, &core->info);
	if (group_never_took_part(&core->info, core->replica_id, count)) {
		log_info("replica_discarded",
		    "instance=%s replica=%" PRIu64
		    " reason=\"killed before it took part in the first start\"",
		    core->settings.instance, core->replica_id);
		core_replica_close(core);
		core_discard_replica(core);
		return core_replica_open(core);
	}
	core_allowance_on_opened(core);
	log_info("replica_opened",
	    "instance=%s replica=%" PRIu64 " term=%" PRIu64
	    " last_index=%" PRIu64 " members=%u first=%u",
	    core->settings.instance, core->replica_id, core->info.term,
	    core->info.last_index, core->info.member_count, count);
	return STATUS_OK;
}

/*
 * Closes the replica and its storage.
 */
void
core_replica_close(struct core *core)
{
	if (core->replica != NULL)
		replica_close(core->replica);
	core->replica = NULL;
	core->info = (struct replica_info){0};
}

/*
 * Returns whether this instance is the leader and no other can be.
 */
bool
core_has_lease(const struct core *core, uint64_t now_us)
{
	return core->replica != NULL &&
	    replica_has_lease(core->replica, now_us);
}

/*
 * Returns the leader's link address, or an empty string.
 */
const char *
core_leader_address(const struct core *core)
{
	const char *address;

	if (core->replica == NULL)
		return core->leader_address;
	if (core->info.leader == core->replica_id)
		return core->settings.link_address;
	address = g_hash_table_lookup(core->addresses, &core->info.leader);
	for (unsigned i = 0; address == NULL && i < core->info.member_count;
	     i++)
		if (core->info.members[i].id == core->info.leader)
			address = core->info.members[i].address;
	return address != NULL ? address : "";
}

/*
 * Passes a message of another replica to the local one.  STATUS_INVALID as for
 * replica_receive().
 */
enum status
core_replica_message(
    struct core *core, uint64_t from, const ProtobufCBinaryData *bytes)
{
	uint64_t now = clock_boot_us();

	if (core->replica == NULL || core->rejoin_due)
		return STATUS_OK;
	group_keeper_on_message(&core->keeper, from, now);
	return replica_receive(core->replica, from,
	    str_of((const char *)bytes->data, bytes->len), now);
}

/*
 * Starts the next change of members, if one is needed.  A change that can't
 * start yet is retried.
 */
static void
run_membership_action(struct core *core, uint64_t now_us)
{
	struct group_step step;
	struct group_action action = group_keeper_plan(
	    &core->keeper, &core->info, 2 * core->settings.losses + 1, now_us);

	if (!group_keeper_apply(&core->keeper, core->replica, action, &step))
		return;
	log_info("group_change",
	    "instance=%s change=%s replica=%" PRIu64 " index=%" PRIu64
	    " term=%" PRIu64 " members=%u outcome=%s",
	    core->settings.instance, group_change_name(action.change),
	    action.id, step.index, core->info.term, core->info.member_count,
	    status_name(step.status));
}

/*
 * Updates the replica's description and logs a change of role.
 */
static void
log_role_change(struct core *core, uint64_t now_us)
{
	struct replica_info before = core->info;

	replica_describe(core->replica, &core->info);
	group_keeper_update(
	    &core->keeper, &core->info, core->replica_id, now_us);
	counter_set(core->is_leader, core->info.role == REPLICA_LEADER);
	if (before.role == core->info.role && before.term == core->info.term &&
	    before.leader == core->info.leader &&
	    before.member_count == core->info.member_count)
		return;
	log_info("role",
	    "instance=%s replica=%" PRIu64 " role=%s term=%" PRIu64
	    " leader=%" PRIu64 " members=%u commit=%" PRIu64,
	    core->settings.instance, core->replica_id,
	    replica_role_name(core->info.role), core->info.term,
	    core->info.leader, core->info.member_count,
	    core->info.commit_index);
	core->next_members_us = 0;
}

/*
 * Follows how long the log's disk takes, and logs the first slow sync of
 * several.
 */
static void
watch_disk(struct core *core)
{
	uint64_t sync_ms = core->info.sync_us / US_PER_MS;
	bool slow = sync_ms >= SLOW_SYNC_MS;

	counter_set(core->log_sync_ms, sync_ms);
	if (slow && !core->disk_is_slow && core_may_log(core))
		log_warn("disk_slow",
		    "instance=%s sync_ms=%" PRIu64
		    " reason=\"a sync of the log takes long: changes wait\"",
		    core->settings.instance, sync_ms);
	core->disk_is_slow = slow;
}

/*
 * Reopens the replica after its storage failed, or under a new id after the
 * group removed it.
 */
static void
reopen(struct core *core, uint64_t now_us)
{
	enum status status;

	if (now_us < core->reopen_us)
		return;
	if (core->info.refused) {
		log_warn("replica_refused",
		    "instance=%s replica=%" PRIu64
		    " reason=\"its id belongs to another disk\" next=join_anew",
		    core->settings.instance, core->replica_id);
		core->rejoin_due = true;
	}
	core->reopen_us = now_us + REOPEN_MS * US_PER_MS;
	core_keep_state(core);
	core_replica_close(core);
	if (core->rejoin_due) {
		core_discard_replica(core);
		core->settings.bootstrap = false;
		core->rejoin_due = false;
	}
	status = core_replica_open(core);
	if (status == STATUS_OK)
		return;
	log_warn("replica_not_opened", "instance=%s reason=\"%s\"",
	    core->settings.instance, status_message());
	core_replica_close(core);
	/* An unreadable folder is treated as a lost disk. */
	if (status == STATUS_CORRUPT || status == STATUS_INVALID)
		core->rejoin_due = true;
}

/*
 * Requests membership while this replica may not be a member.
 */
static void
request_join(struct core *core, uint64_t now_us)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Join message = FLEET__JOIN__INIT;
	GHashTableIter iter;
	gpointer value;

	if (now_us < core->next_join_us ||
	    !group_should_ask_to_join(&core->info, core->replica_id))
		return;
	core->next_join_us = now_us + GROUP_JOIN_MS * US_PER_MS;
	message.replica = core->replica_id;
	message.address = (char *)core->settings.link_address;
	frame.body_case = FLEET__FRAME__BODY_JOIN;
	frame.join = &message;
	g_hash_table_iter_init(&iter, core->neighbours);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		channel_send(((struct core_neighbour *)value)->channel, &frame);
}

/*
 * Runs the replica's timers and, on the leader, membership changes.
 */
void
core_replica_tick(struct core *core, uint64_t now_us)
{
	if (core->settings.data == NULL)
		return;
	if (core->replica == NULL || core->rejoin_due ||
	    core->info.role == REPLICA_STOPPED) {
		reopen(core, now_us);
		return;
	}
	replica_tick(core->replica, now_us);
	replica_flush(core->replica, clock_boot_us());
	log_role_change(core, now_us);
	watch_disk(core);
	core_quorum_tick(core, now_us);
	request_join(core, now_us);
	if (core_has_lease(core, now_us))
		run_membership_action(core, now_us);
}
