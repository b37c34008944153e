#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"
#include "replica/replica_defs.h"

/*
 * Queues a message for replica_flush().  It is sent when all that was stored
 * before it is durable, with before_sync when term and vote are.  Dropped if too
 * many wait: others repeat what they ask.
 */
void
message_send(
    struct replica *r, uint64_t to, Replica__Message *message, bool before_sync)
{
	const struct peer *peer = members_peer(r, to);
	struct outgoing *out;
	size_t len;

	if (r->out_count == OUTGOING_MAX)
		return;
	message->from_disk = r->storage.disk;
	if (message->to_disk == 0 && peer != NULL && peer->voter)
		message->to_disk = peer->disk;
	len = replica__message__get_packed_size(message);
	if (r->out_count == r->out_capacity) {
		r->out_capacity =
		    r->out_capacity > 0 ? r->out_capacity * 2 : 16;
		r->out = mem_resize(r->out, r->out_capacity * sizeof(*r->out));
	}
	out = &r->out[r->out_count++];
	*out = (struct outgoing){.to = to,
	    .data = mem_alloc(len),
	    .len = len,
	    .writes = before_sync ? r->state_write : r->writes};
	replica__message__pack(message, (uint8_t *)out->data);
}

/*
 * Decodes a received message, NULL when it is too long or malformed.  Freed
 * with replica__message__free_unpacked().
 */
Replica__Message *
message_decode(struct str bytes)
{
	if (bytes.len > MESSAGE_MAX_BYTES)
		return NULL;
	return replica__message__unpack(
	    NULL, bytes.len, (const uint8_t *)bytes.data);
}

/*
 * Returns the name of a number out of its bounds, or NULL.  A term in the log
 * is never above the sender's.
 */
const char *
message_fault(const Replica__Message *m)
{
	if (m->term > REPLICA_NUMBER_MAX)
		return "term";
	if (m->index > REPLICA_NUMBER_MAX)
		return "index";
	if (m->log_term > m->term)
		return "log_term";
	if (m->commit > REPLICA_NUMBER_MAX)
		return "commit";
	if (m->hint > REPLICA_NUMBER_MAX)
		return "hint";
	if (m->list_end > REPLICA_NUMBER_MAX)
		return "list_end";
	if (m->offset > SNAPSHOT_MAX_BYTES)
		return "offset";
	if (m->total > SNAPSHOT_MAX_BYTES)
		return "total";
	if (m->n_entries > REPLICA_NUMBER_MAX - m->index)
		return "entries";
	for (size_t i = 0; i < m->n_entries; i++) {
		if (m->entries[i]->term > m->term)
			return "entry.term";
		if (m->entries[i]->kind > ENTRY_MEMBERS)
			return "entry.kind";
	}
	return NULL;
}

/*
 * Fills REPLICA_MEMBERS_MAX messages in space and pointers to them in list.
 * The addresses are borrowed from members.
 */
void
members_to_message(const struct members *members, Replica__Member *space,
    Replica__Member **list)
{
	for (unsigned i = 0; i < members->count; i++) {
		const struct member *member = &members->list[i];

		replica__member__init(&space[i]);
		space[i].id = member->info.id;
		space[i].voter = member->info.voter;
		space[i].address = (char *)member->info.address;
		space[i].disk = member->disk;
		list[i] = &space[i];
	}
}

/*
 * Reads members from decoded messages; false when there are too many, an id
 * is 0 or repeated, or an address is too long.
 */
bool
members_from_message(
    Replica__Member *const *list, size_t count, struct members *members)
{
	*members = (struct members){0};
	if (count > REPLICA_MEMBERS_MAX)
		return false;
	for (size_t i = 0; i < count; i++) {
		struct member *member = &members->list[i];
		size_t len = strlen(list[i]->address);

		if (list[i]->id == 0 || len >= sizeof(member->info.address) ||
		    members_find(members, list[i]->id) != NULL)
			return false;
		member->info.id = list[i]->id;
		member->info.voter = list[i]->voter;
		member->disk = list[i]->disk;
		memcpy(member->info.address, list[i]->address, len + 1);
		members->count++;
	}
	return true;
}

/*
 * Appends the encoded members to out.
 */
void
members_encode(const struct members *members, struct str_buf *out)
{
	Replica__Member space[REPLICA_MEMBERS_MAX];
	Replica__Member *list[REPLICA_MEMBERS_MAX];
	Replica__Members message = REPLICA__MEMBERS__INIT;
	uint8_t *bytes;
	size_t len;

	members_to_message(members, space, list);
	message.n_members = members->count;
	message.members = list;
	len = replica__members__get_packed_size(&message);
	bytes = mem_alloc(len);
	replica__members__pack(&message, bytes);
	str_buf_append(out, str_of((const char *)bytes, len));
	mem_free(bytes);
}

/*
 * Decodes what members_encode() wrote; false when it is malformed.
 */
bool
members_decode(struct str bytes, struct members *members)
{
	Replica__Members *message = replica__members__unpack(
	    NULL, bytes.len, (const uint8_t *)bytes.data);
	bool good;

	if (message == NULL)
		return false;
	good =
	    members_from_message(message->members, message->n_members, members);
	replica__members__free_unpacked(message, NULL);
	return good;
}

/*
 * Encodes a snapshot from the state and the members.
 */
struct image *
image_new(uint64_t index, uint64_t term, const struct members *members,
    struct str data)
{
	Replica__Member space[REPLICA_MEMBERS_MAX];
	Replica__Member *list[REPLICA_MEMBERS_MAX];
	Replica__Snapshot message = REPLICA__SNAPSHOT__INIT;
	struct image *image = mem_calloc(1, sizeof(*image));

	members_to_message(members, space, list);
	message.n_members = members->count;
	message.members = list;
	message.data.data = (uint8_t *)data.data;
	message.data.len = data.len;
	refcount_init(&image->ref);
	image->index = index;
	image->term = term;
	image->len = replica__snapshot__get_packed_size(&message);
	image->data = mem_alloc(image->len);
	replica__snapshot__pack(&message, (uint8_t *)image->data);
	return image;
}

/*
 * Creates a snapshot from encoded bytes that were stored or received.
 */
struct image *
image_from_bytes(uint64_t index, uint64_t term, struct str bytes)
{
	struct image *image = mem_calloc(1, sizeof(*image));

	refcount_init(&image->ref);
	image->index = index;
	image->term = term;
	image->len = bytes.len;
	image->data = mem_alloc(bytes.len);
	if (bytes.len > 0)
		memcpy(image->data, bytes.data, bytes.len);
	return image;
}

/*
 * Drops a reference to a snapshot and frees it with the last one; NULL is
 * allowed.
 */
void
image_put(struct image *image)
{
	if (image == NULL || !refcount_put(&image->ref))
		return;
	mem_free(image->data);
	mem_free(image);
}

/*
 * Decodes a snapshot and its members; NULL when it is corrupt.  Freed with
 * replica__snapshot__free_unpacked().
 */
Replica__Snapshot *
image_decode(struct str bytes, struct members *members)
{
	Replica__Snapshot *message = replica__snapshot__unpack(
	    NULL, bytes.len, (const uint8_t *)bytes.data);

	if (message == NULL)
		return NULL;
	if (members_from_message(message->members, message->n_members, members))
		return message;
	replica__snapshot__free_unpacked(message, NULL);
	return NULL;
}
