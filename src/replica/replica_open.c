#include "base/memory.h"
#include "replica/replica_defs.h"

/* State while the storage is loaded. */
struct load_context {
	struct replica *r;
	struct image *image;
	bool found_data; /* the storage was not empty */
	bool corrupt;
};

/*
 * Restores the stored term and vote.
 */
static void
load_state(void *ctx, uint64_t term, uint64_t vote)
{
	struct load_context *load_context = ctx;

	load_context->found_data = true;
	load_context->r->term = term;
	load_context->r->vote = vote;
}

/*
 * Keeps the stored snapshot for restore_snapshot() and starts the log after
 * it; called before load_entry().
 */
static void
load_snapshot(void *ctx, uint64_t index, uint64_t term, struct str data)
{
	struct load_context *load_context = ctx;

	load_context->found_data = true;
	load_context->image = image_from_bytes(index, term, data);
	log_reset(&load_context->r->log, index, term);
}

/*
 * Appends a stored entry to the log; one that does not follow the last marks
 * the storage corrupt.
 */
static void
load_entry(void *ctx, const struct storage_entry *entry)
{
	struct load_context *load_context = ctx;

	load_context->found_data = true;
	if (entry->index == log_last_index(&load_context->r->log) + 1)
		log_append(&load_context->r->log, entry);
	else
		load_context->corrupt = true;
}

/*
 * Restores the stored bootstrap members; bytes that can't be decoded mark
 * the storage corrupt.
 */
static void
load_group(void *ctx, struct str data)
{
	struct load_context *load_context = ctx;

	load_context->found_data = true;
	if (!group_load(load_context->r, data))
		load_context->corrupt = true;
}

/*
 * Restores the state from the stored snapshot.
 */
static enum status
restore_snapshot(struct replica *r, struct image *image)
{
	struct members members;
	Replica__Snapshot *message =
	    image_decode(str_of(image->data, image->len), &members);
	enum status status;

	if (message == NULL) {
		image_put(image);
		return status_set(
		    STATUS_CORRUPT, "the snapshot can't be decoded");
	}
	snapshot_adopt(r, image, &members);
	r->commit_index = image->index;
	r->applied_index = image->index;
	r->applied_term = image->term;
	status = r->callbacks.snapshot_load(r->callbacks.ctx, image->index,
	    str_of((const char *)message->data.data, message->data.len));
	replica__snapshot__free_unpacked(message, NULL);
	return status;
}

/*
 * Loads everything that is stored.
 */
static enum status
load_storage(
    struct replica *r, const struct replica_member *bootstrap, unsigned count)
{
	struct load_context load_context = {.r = r};
	const struct storage_loader loader = {.ctx = &load_context,
	    .state = load_state,
	    .snapshot = load_snapshot,
	    .entry = load_entry,
	    .group = load_group};
	enum status status = r->storage.load(r->storage.ctx, &loader);

	if (status == STATUS_OK && load_context.corrupt)
		status = status_set(STATUS_CORRUPT, "the stored log has a gap");
	if (status != STATUS_OK) {
		image_put(load_context.image);
		return status;
	}
	if (!r->bootstrapping)
		r->snapshot_members = r->bootstrap_members;
	if (load_context.image != NULL)
		status = restore_snapshot(r, load_context.image);
	if (status == STATUS_OK)
		status =
		    group_open(r, bootstrap, count, load_context.found_data);
	r->durable_index = log_last_index(&r->log);
	return status;
}

/*
 * Opens a replica on its storage, which replica_close() closes.  The replica
 * grants no votes until a minimum election timeout has passed, since it
 * can't know whether a leader contacted it before a restart.
 */
enum status
replica_open(const struct replica_config *config,
    struct replica_storage *storage, const struct replica_callbacks *callbacks,
    const struct replica_member *bootstrap, unsigned bootstrap_count,
    uint64_t now_us, struct replica **replica)
{
	struct replica *r = mem_calloc(1, sizeof(*r));
	enum status status;

	r->config = *config;
	r->callbacks = *callbacks;
	r->storage = *storage;
	r->now_us = now_us;
	r->leader_contact_us = now_us;
	random_seed(&r->random, config->seed ^ config->id << 32);
	r->question_base_us = random_next(&r->random);
	status = load_storage(r, bootstrap, bootstrap_count);
	if (status != STATUS_OK) {
		replica_close(r);
		return status;
	}
	members_reload(r);
	/* The first pre-votes ask for the lists of members (list_us). */
	election_retry_soon(r);
	if (r->bootstrapping)
		group_tick(r);
	if (members_is_voter(r) && members_quorum(r) == 1 && r->peer_count == 0)
		r->election_due_us = now_us;
	r->change_pending = false;
	*replica = r;
	return STATUS_OK;
}
