#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"
#include "control/control_internal.h"
#include "replica/storage_thread.h"

static const uint64_t append_max_bytes = 1 << 20;

/*
 * Parses ID=IP:PORT,... into voters, at most REPLICA_MEMBERS_MAX.
 * STATUS_INVALID says what is wrong.
 */
static enum status
parse_members(const char *text, struct replica_member *members, unsigned *count)
{
	struct str rest = str_from(text);
	struct str item, id;

	*count = 0;
	while (str_split(&rest, ',', &item)) {
		struct replica_member *member = &members[*count];

		if (*count == REPLICA_MEMBERS_MAX)
			return status_set(STATUS_INVALID, "too many members");
		*member = (struct replica_member){.voter = true};
		if (!str_split(&item, '=', &id) ||
		    !str_to_u64(id, &member->id) || item.data == NULL ||
		    item.len == 0 || item.len >= sizeof(member->address))
			return status_set(STATUS_INVALID,
			    "members: each is ID=IP:PORT, separated by "
			    "commas");
		memcpy(member->address, item.data, item.len);
		(*count)++;
	}
	return STATUS_OK;
}

/*
 * Opens the storage and the replica.  The configured members apply only to a
 * new group.  The leader lease is 10 % shorter than the minimum election
 * timeout.
 */
static enum status
open_replica(struct control *control)
{
	const struct control_settings *s = &control->settings;
	struct replica_member members[REPLICA_MEMBERS_MAX];
	struct random random;
	unsigned count = 0;
	struct replica_callbacks callbacks;
	struct replica_config config = {
	    .id = s->replica_id,
	    .election_timeout_us = s->election_ms * US_PER_MS,
	    .heartbeat_us = s->heartbeat_ms * US_PER_MS,
	    .lease_us = s->election_ms * US_PER_MS * 9 / 10,
	    .snapshot_entries = s->snapshot_entries,
	    .append_max_bytes = append_max_bytes,
	};
	enum status status = STATUS_OK;

	control_replica_callbacks(control, &callbacks);
	random_seed(&random, clock_wall_us() ^ (s->replica_id << 48));
	config.seed = random_next(&random);
	if (s->members != NULL)
		status = parse_members(s->members, members, &count);
	for (unsigned i = 0; i < count; i++)
		control_replica_set_address(
		    control, members[i].id, members[i].address);
	if (status == STATUS_OK)
		status = storage_folder_open(
		    s->data, s->replica_id, &control->storage);
	if (status == STATUS_OK)
		status = storage_thread_start(&control->storage,
		    &(struct storage_owner){
			.ctx = control, .wake = control_wake});
	if (status == STATUS_OK)
		status = replica_open(&config, &control->storage, &callbacks,
		    members, count, clock_monotonic_us(), &control->replica);
	return status;
}

/*
 * Registers the counters of the loop.
 */
static void
register_counters(struct control *control)
{
	control->is_leader = counter_register(COUNTER_GAUGE,
	    "gypsummill_control_leader", "1 while this instance leads", NULL);
	control->commands =
	    counter_register(COUNTER_TOTAL, "gypsummill_control_commands_total",
		"Commands applied (count)", NULL);
	control->rejected_messages = counter_register(COUNTER_TOTAL,
	    "gypsummill_control_rejected_messages_total",
	    "Messages that were unreadable or from an unauthorized sender "
	    "(count)",
	    NULL);
}

/*
 * Frees a pending command with its job reference and claim text; for GLib's
 * table.
 */
static void
pending_free(void *value)
{
	struct pending_command *pending = value;

	job_put(pending->job);
	g_free(pending->claim);
	mem_free(pending);
}

/*
 * Frees the peers that wait for a claim; for GLib's table.
 */
static void
waiters_free(void *value)
{
	g_array_free(value, TRUE);
}

/*
 * Frees a query and its reference to its job; for GLib's table.
 */
static void
query_free(void *value)
{
	struct pending_query *query = value;

	job_put(query->job);
	mem_free(query);
}

/*
 * Opens a control instance on its data folder.  Fails if the folder, the keys
 * or an address cannot be used.
 */
enum status
control_open(const struct control_settings *settings, struct control **out)
{
	struct control *control = mem_calloc(1, sizeof(*control));
	enum status status;

	control->settings = *settings;
	control->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	pthread_mutex_init(&control->lock, NULL);
	g_queue_init(&control->jobs);
	control->peers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, transport_socket_close);
	control->addresses =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	control->pending = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, pending_free);
	control->claim_waiters = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, waiters_free);
	control->queries = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, query_free);
	control->entries = entry_table_new();
	register_counters(control);
	state_machine_init(
	    &control->machine, control_notify_claim_ended, control);
	status = transport_open(
	    settings->keys, TRANSPORT_CONTROL_KEY, &control->transport);
	if (status == STATUS_OK) {
		control->router =
		    transport_router(control->transport, settings->link_listen);
		if (control->router == NULL)
			status = STATUS_IO;
	}
	if (status == STATUS_OK)
		status = open_replica(control);
	if (status != STATUS_OK) {
		control_close(control);
		return status;
	}
	*out = control;
	return STATUS_OK;
}

/*
 * Closes a control after its loop has ended and its HTTP threads have stopped;
 * NULL is allowed.
 */
void
control_close(struct control *control)
{
	if (control == NULL)
		return;
	replica_close(control->replica);
	g_hash_table_destroy(control->pending);
	g_hash_table_destroy(control->addresses);
	g_hash_table_destroy(control->claim_waiters);
	g_hash_table_destroy(control->queries);
	g_hash_table_destroy(control->peers);
	transport_socket_close(control->router);
	transport_close(control->transport);
	entry_table_free(control->entries);
	state_machine_destroy(&control->machine);
	pthread_mutex_destroy(&control->lock);
	close(control->wake_fd);
	minute_log_free(&control->rejected_log);
	mem_free(control);
}
