#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "control/control_internal.h"

/* The routing id of a replica is replica/ID@IP:PORT, with its link address. */
static const char peer_id_prefix[] = "replica/";

enum {
	PEER_ID_PREFIX_LEN = 8
};

/*
 * Returns the socket to another control instance, which is connected on first
 * use; NULL if ZeroMQ rejects the address.  The table owns it until
 * control_close().
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

/*
 * Returns the link address of a replica: as it reported itself, else as
 * configured; NULL if unknown.
 */
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
 * Stores the link address that a replica reported; an empty address is ignored.
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
 * Returns the leader's link address, or an empty string.
 */
const char *
control_leader_address(const struct control *control)
{
	const char *address =
	    find_replica_address(control, control->info.leader);

	return address != NULL ? address : "";
}

/*
 * Returns whether this instance leads and no other can: its leader lease is
 * valid at now_us (monotonic).
 */
bool
control_holds_leader_lease(const struct control *control, uint64_t now_us)
{
	return control->leading && replica_has_lease(control->replica, now_us);
}

/*
 * Proposes a command, stamped with the wall clock.  On success waiter's job
 * reference and claim text are taken over; on an error the caller keeps them.
 * waiter may be NULL.
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
 * Sends a message of the replica, or drops it: the replica resends what is
 * lost.
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
 * Applies a committed command and answers its waiter.  A waiter of another term
 * proposed a command that this one replaced, and gets no result.
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
 * Callback of the replica: appends the state to a snapshot.
 */
static void
on_snapshot_save(void *ctx, struct str_buf *out)
{
	struct control *control = ctx;

	state_machine_save(&control->machine, out);
}

/*
 * Callback of the replica: replaces the state by a snapshot.
 */
static enum status
on_snapshot_load(void *ctx, uint64_t index, struct str data)
{
	struct control *control = ctx;

	return state_machine_load(&control->machine, index, data);
}

/*
 * Callback of the replica: updates its description, and logs a change of role,
 * term, leader or number of members.
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
 * Parses a peer's routing id, replica/ID@IP:PORT; 0 if it is not a replica's or
 * the peer authenticated with another key than control's.
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
 * Counts a message of a replica that had no effect, and logs the field that was
 * wrong.
 */
static void
reject_message(struct control *control, uint64_t id, uint64_t now_us)
{
	char sender[32];

	counter_add(control->rejected_messages, 1);
	snprintf(sender, sizeof(sender), "%llu", (unsigned long long)id);
	if (minute_log_allow(&control->rejected_log, sender, now_us))
		log_warn("message_refused",
		    "instance=%s replica=%s field=\"%s\"",
		    control->settings.instance, sender, status_message());
}

/*
 * Passes a message of another replica to this one; messages from other peers,
 * and those with wrong numbers, are counted as rejected.
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
	if (replica_receive(control->replica, id, message, now_us) != STATUS_OK)
		reject_message(control, id, now_us);
}

/*
 * Stores the configured link address of an initial member.
 */
void
control_replica_set_address(
    struct control *control, uint64_t id, const char *address)
{
	update_replica_address(control, id, str_from(address));
}

/*
 * Fills the callbacks of the replica.
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
