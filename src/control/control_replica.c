#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "control/control_internal.h"

/* A replica's routing id is replica/ID@IP:PORT, with its link address. */
static const char peer_id_prefix[] = "replica/";

enum {
	PEER_ID_PREFIX_LEN = 8
};

/*
 * Returns the socket to another control, connected at its first use; NULL when
 * ZeroMQ refuses the address.  The table keeps it until control_close().
 */
static void *
peer_socket(struct control *control, const char *address)
{
	void *socket = g_hash_table_lookup(control->peers, address);
	char id[TRANSPORT_ID_BYTES];

	if (socket != NULL)
		return socket;
	snprintf(id, sizeof(id), "%s%llu@%s", peer_id_prefix,
	    (unsigned long long)control->settings.replica_id,
	    control->settings.link_listen);
	socket = transport_dealer(control->transport, address, str_from(id));
	if (socket != NULL)
		g_hash_table_insert(control->peers, g_strdup(address), socket);
	return socket;
}

/* Where a replica can be reached: as it said itself, else as configured. */
static const char *
find_replica_address(const struct control *control, uint64_t id)
{
	const char *seen = g_hash_table_lookup(control->addresses, &id);

	if (seen != NULL)
		return seen;
	for (unsigned i = 0; i < control->info.member_count; i++) {
		if (control->info.members[i].id == id)
			return control->info.members[i].address;
	}
	return NULL;
}

/*
 * Notes where a replica says it can be reached; an empty address tells
 * nothing.
 */
static void
update_replica_address(struct control *control, uint64_t id, struct str address)
{
	const char *known = g_hash_table_lookup(control->addresses, &id);
	guint64 *key;

	if (address.len == 0 || (known != NULL && str_equal_c(address, known)))
		return;
	key = g_new(guint64, 1);
	*key = id;
	g_hash_table_replace(
	    control->addresses, key, g_strndup(address.data, address.len));
}

/*
 * Returns the leader's link address, or an empty text.
 */
const char *
control_leader_address(const struct control *control)
{
	const char *address =
	    find_replica_address(control, control->info.leader);

	return address != NULL ? address : "";
}

/*
 * Tells whether this instance leads and nobody else can: its lease among the
 * replicas holds at now_us (monotonic).
 */
bool
control_holds_leader_lease(const struct control *control, uint64_t now_us)
{
	return control->leading && replica_has_lease(control->replica, now_us);
}

/*
 * Proposes a command, stamped with the wall clock.  On success the waiter's
 * job reference and claim text are taken over; on an error they stay the
 * caller's. waiter may be NULL.
 */
enum status
control_propose(struct control *control, Wire__Command *command,
    const struct pending_command *waiter)
{
	struct pending_command *pending;
	uint64_t index, term;
	uint8_t *bytes;
	enum status status;
	size_t len;

	command->time_us = clock_wall_us();
	len = wire__command__get_packed_size(command);
	bytes = mem_alloc(len);
	wire__command__pack(command, bytes);
	status = replica_propose(
	    control->replica, str_of((const char *)bytes, len), &index, &term);
	mem_free(bytes);
	if (status != STATUS_OK || waiter == NULL)
		return status;
	pending = mem_alloc(sizeof(*pending));
	*pending = *waiter;
	pending->index = index;
	pending->term = term;
	g_hash_table_replace(control->pending, &pending->index, pending);
	return STATUS_OK;
}

/*
 * Sends a replica's message, or drops it: the replica repeats what it needs.
 */
static void
on_send(void *ctx, uint64_t to, struct str message)
{
	struct control *control = ctx;
	const char *address = find_replica_address(control, to);
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	void *socket;

	if (address == NULL)
		return;
	socket = peer_socket(control, address);
	if (socket == NULL)
		return;
	envelope.body_case = WIRE__ENVELOPE__BODY_REPLICA;
	envelope.replica.data = (uint8_t *)message.data;
	envelope.replica.len = message.len;
	(void)transport_send(socket, NULL, &envelope);
}

/*
 * Applies a committed command and answers who waits for it.  A waiter of
 * another term proposed a command that this one replaced: it gets no result
 * from here.
 */
static void
on_apply(void *ctx, uint64_t index, uint64_t term, struct str command)
{
	struct control *control = ctx;
	Wire__Result *result =
	    state_machine_apply(&control->machine, index, command);
	struct pending_command *pending =
	    g_hash_table_lookup(control->pending, &index);

	counter_add(control->commands, 1);
	if (pending != NULL && pending->term == term) {
		if (pending->job != NULL)
			control_jobs_result(pending->job, result);
		else if (pending->has_peer)
			control_entries_result(control, pending, result);
	}
	if (pending != NULL)
		g_hash_table_remove(control->pending, &index);
	wire__result__free_unpacked(result, NULL);
}

/*
 * Appends the machine's state to a snapshot (a callback of the replica).
 */
static void
on_snapshot_save(void *ctx, struct str_buf *out)
{
	struct control *control = ctx;

	state_machine_save(&control->machine, out);
}

/*
 * Replaces the machine's state by a snapshot's (a callback of the replica).
 */
static enum status
on_snapshot_load(void *ctx, uint64_t index, struct str data)
{
	struct control *control = ctx;

	return state_machine_load(&control->machine, index, data);
}

/*
 * Notes the replica's new state and logs it when role, term, leader or the
 * number of members differ.
 */
static void
on_changed(void *ctx)
{
	struct control *control = ctx;
	struct replica_info before = control->info;
	const struct replica_info *info = &control->info;

	replica_describe(control->replica, &control->info);
	if (before.role == info->role && before.term == info->term &&
	    before.leader == info->leader &&
	    before.member_count == info->member_count)
		return;
	log_info("role",
	    "instance=%s failure_domain=%s replica=%llu role=%s term=%llu "
	    "leader=%llu members=%u",
	    control->settings.instance, control->settings.failure_domain,
	    (unsigned long long)control->settings.replica_id,
	    replica_role_name(info->role), (unsigned long long)info->term,
	    (unsigned long long)info->leader, info->member_count);
}

/*
 * Reads a peer's routing id, replica/ID@IP:PORT; 0 when it is no replica.
 */
static uint64_t
parse_replica_id(const struct transport_peer *peer, struct str *address)
{
	struct str id = str_of((const char *)peer->id, peer->id_len);
	struct str number;
	uint64_t value;

	if (!str_has_prefix(id, str_from(peer_id_prefix)))
		return 0;
	if (peer->user[0] != '\0' &&
	    strcmp(peer->user, TRANSPORT_CONTROL_KEY) != 0)
		return 0;
	id = str_of(id.data + PEER_ID_PREFIX_LEN, id.len - PEER_ID_PREFIX_LEN);
	if (!str_split(&id, '@', &number) || !str_to_u64(number, &value))
		return 0;
	*address = id.data != NULL ? id : str_of("", 0);
	return value;
}

/*
 * Hands a message of another replica to ours; counts what is no replica's.
 */
void
control_replica_message(struct control *control,
    const struct transport_peer *from, struct str message, uint64_t now_us)
{
	struct str address;
	uint64_t id = parse_replica_id(from, &address);

	if (id == 0) {
		counter_add(control->rejected_messages, 1);
		return;
	}
	update_replica_address(control, id, address);
	replica_receive(control->replica, id, message, now_us);
}

/*
 * Notes where a first member can be reached, as it was configured.
 */
void
control_replica_set_address(
    struct control *control, uint64_t id, const char *address)
{
	update_replica_address(control, id, str_from(address));
}

/*
 * Fills the callbacks through which the replica acts on this control.
 */
void
control_replica_callbacks(
    struct control *control, struct replica_callbacks *callbacks)
{
	*callbacks = (struct replica_callbacks){
	    .ctx = control,
	    .send = on_send,
	    .apply = on_apply,
	    .snapshot_save = on_snapshot_save,
	    .snapshot_load = on_snapshot_load,
	    .changed = on_changed,
	};
}
