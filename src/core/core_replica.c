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
#include "core/group_membership.h"

enum {
	ELECTION_MS = 600, /* a new leader well within ack_ms, 4 s */
	HEARTBEAT_MS = 100, /* a sixth of the election timeout */
	LEASE_MS = 500, /* below the election timeout */
	SNAPSHOT_ENTRIES = 400, /* hundreds of edits are usual per day */
	APPEND_MAX_BYTES = 1 << 20,
	MEMBERSHIP_INTERVAL_MS = 100,
	JOIN_MS = 300,
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
	    UINT64_C(1) << 47;
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
	    .election_timeout_us = ELECTION_MS * US_PER_MS,
	    .heartbeat_us = HEARTBEAT_MS * US_PER_MS,
	    .lease_us = LEASE_MS * US_PER_MS,
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
	core_path(core, core_log_folder, path);
	status = storage_folder_open(path, core->replica_id, &core->storage);
	if (status == STATUS_OK)
		status = replica_open(&config, &core->storage, &callbacks,
		    members, count, clock_boot_us(), &core->replica);
	if (status != STATUS_OK)
		return status;
	replica_describe(core->replica, &core->info);
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
 * Records the time of a replica's last message.
 */
static void
record_replica_message(struct core *core, uint64_t id, uint64_t now_us)
{
	uint64_t *known = g_hash_table_lookup(core->replica_last_message, &id);

	if (known == NULL) {
		uint64_t *key = g_new(uint64_t, 1);

		known = g_new(uint64_t, 1);
		*key = id;
		g_hash_table_insert(core->replica_last_message, key, known);
	}
	*known = now_us;
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
	record_replica_message(core, from, now);
	return replica_receive(core->replica, from,
	    str_of((const char *)bytes->data, bytes->len), now);
}

/*
 * Fills in the leader's view of its group.
 */
static void
describe_group(struct core *core, struct group_view *view, uint64_t now_us)
{
	*view = (struct group_view){
	    .count = core->info.member_count,
	    .wanted_voters = 2 * core->settings.losses + 1,
	};
	for (unsigned i = 0; i < view->count; i++) {
		const struct replica_member *from = &core->info.members[i];
		struct group_member *to = &view->members[i];
		const uint64_t *last_message_us =
		    g_hash_table_lookup(core->replica_last_message, &from->id);

		to->id = from->id;
		to->voter = from->voter;
		to->self = from->id == core->replica_id;
		memcpy(to->address, from->address, sizeof(to->address));
		if (last_message_us == NULL)
			record_replica_message(core, from->id, now_us);
		else
			to->silent_ms = (now_us - *last_message_us) / US_PER_MS;
		if (from->id == core->joiner_id)
			core->joiner_id = 0;
	}
	if (now_us - core->joiner_us < GROUP_SILENT_MS * US_PER_MS) {
		view->joiner.id = core->joiner_id;
		memcpy(view->joiner.address, core->joiner_address,
		    sizeof(view->joiner.address));
	}
}

/*
 * Starts the next membership change, if one is needed.  A change that can't
 * start yet is retried at the next interval.
 */
static void
run_membership_action(struct core *core, uint64_t now_us)
{
	static const char *const names[] = {
	    [GROUP_KEEP] = "keep",
	    [GROUP_ADD] = "add",
	    [GROUP_PROMOTE] = "promote",
	    [GROUP_REMOVE] = "remove",
	};
	struct group_view view;
	struct group_action action;
	struct replica_member member = {0};
	uint64_t index = 0;
	enum status status = STATUS_OK;

	describe_group(core, &view, now_us);
	action = group_next_action(&view);
	switch (action.change) {
	case GROUP_KEEP:
		return;
	case GROUP_ADD:
		member.id = action.id;
		memcpy(member.address, view.joiner.address,
		    sizeof(member.address));
		status = replica_add_learner(core->replica, &member, &index);
		break;
	case GROUP_PROMOTE:
		status = replica_promote(core->replica, action.id, &index);
		break;
	case GROUP_REMOVE:
		status = replica_remove(core->replica, action.id, &index);
		break;
	}
	if (status == STATUS_BUSY)
		return;
	log_info("group_change",
	    "instance=%s change=%s replica=%" PRIu64 " index=%" PRIu64
	    " term=%" PRIu64 " members=%u outcome=%s",
	    core->settings.instance, names[action.change], action.id, index,
	    core->info.term, view.count, status_name(status));
}

/*
 * Updates the replica's description and logs a change of role.
 */
static void
log_role_change(struct core *core)
{
	struct replica_info before = core->info;

	replica_describe(core->replica, &core->info);
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
 * Reopens the replica after its storage failed, or under a new id after the
 * group removed it.
 */
static void
reopen(struct core *core, uint64_t now_us)
{
	enum status status;

	if (now_us < core->reopen_us)
		return;
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
 * Requests membership while this replica is not a member.
 */
static void
request_join(struct core *core, uint64_t now_us)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Join message = FLEET__JOIN__INIT;
	GHashTableIter iter;
	gpointer value;

	for (unsigned i = 0; i < core->info.member_count; i++)
		if (core->info.members[i].id == core->replica_id)
			return;
	if (now_us < core->next_join_us)
		return;
	core->next_join_us = now_us + JOIN_MS * US_PER_MS;
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
	log_role_change(core);
	request_join(core, now_us);
	if (now_us < core->next_membership_us || !core_has_lease(core, now_us))
		return;
	core->next_membership_us = now_us + MEMBERSHIP_INTERVAL_MS * US_PER_MS;
	run_membership_action(core, now_us);
}
