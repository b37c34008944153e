#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"
#include "replica/replica_defs.h"
#include "support_disk_world.h"

void world_trace(const struct world *w, const char *fmt, ...) ATTR_PRINTF(2, 3);

void
world_trace(const struct world *w, const char *fmt, ...)
{
	va_list ap;

	if (!w->trace)
		return;
	printf("step %llu: ", (unsigned long long)w->step);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	putchar('\n');
}

uint64_t
machine_local_us(const struct machine *m)
{
	return m->clock_offset_us + (m->world->step + 1) * STEP_US;
}

bool
machine_is_running(const struct machine *m)
{
	return m->replica != NULL && m->world->step >= m->thaw_step;
}

bool
machine_is_lost(const struct machine *m)
{
	return !machine_is_running(m) || m->world->step < m->whole_step;
}

/*
 * A machine is back: it still counts as lost for a while.
 */
void
machine_set_back(struct machine *m, uint64_t step)
{
	m->whole_step = step + CATCH_UP_STEPS;
	if (m->world->changed_step < step)
		m->world->changed_step = step;
}

unsigned
world_count_lost(const struct world *w)
{
	unsigned count = 0;

	for (unsigned i = 0; i < w->machine_count; i++)
		count += machine_is_lost(&w->machines[i]) ? 1 : 0;
	return count;
}

/*
 * Delivers a copy of a message after a number of steps.
 */
static void
enqueue(
    struct world *w, struct envelope envelope, struct str bytes, uint64_t delay)
{
	struct bucket *bucket = &w->buckets[(w->step + delay) % BUCKETS];

	if (bucket->count == bucket->capacity) {
		bucket->capacity =
		    bucket->capacity > 0 ? bucket->capacity * 2 : 16;
		bucket->list = mem_resize(
		    bucket->list, bucket->capacity * sizeof(*bucket->list));
	}
	envelope.data = bytes.len > 0 ? str_dup(bytes) : NULL;
	envelope.len = bytes.len;
	bucket->list[bucket->count++] = envelope;
}

/*
 * Sends a message.  A copy of it may come late; in a lossy world itself may be
 * late or lost.
 */
void
world_send(struct world *w, struct envelope envelope, struct str bytes)
{
	uint64_t delay = 1 + random_below(&w->random, 3);
	uint64_t late = delay + random_below(&w->random, BUCKETS - 8);

	if (w->cut[envelope.from][envelope.to])
		return;
	if (random_below(&w->random, 50) == 0)
		enqueue(w, envelope, bytes, late);
	if (w->lossy && random_below(&w->random, 50) == 0)
		return;
	if (w->lossy && random_below(&w->random, 40) == 0)
		delay = late;
	enqueue(w, envelope, bytes, delay);
}

/*
 * Sends a replica's message to the address of another one.
 */
static void
on_send(void *ctx, uint64_t to, struct str message)
{
	struct machine *m = ctx;
	struct world *w = m->world;
	const char *address = NULL;

	for (unsigned i = 0; i < m->info.member_count; i++)
		if (m->info.members[i].id == to)
			address = m->info.members[i].address;
	for (unsigned i = 0; address == NULL && i < w->first_count; i++)
		if (w->first[i].id == to)
			address = w->first[i].address;
	for (unsigned i = 0; i < w->machine_count; i++) {
		struct machine *other = &w->machines[i];

		/* One without members knows others by their greetings. */
		if (other != m &&
		    (address != NULL ? strcmp(address, other->address) == 0
				     : other->disk.id == to))
			world_send(w,
			    (struct envelope){.kind = MESSAGE_REPLICA,
				.from = m->number,
				.to = i,
				.from_id = m->disk.id,
				.to_id = to},
			    message);
	}
}

/*
 * Applies a change.  It is acknowledged when the leader that proposed it
 * applies it, in its term: the change names both.
 */
static void
on_apply(void *ctx, uint64_t index, uint64_t term, struct str command)
{
	struct machine *m = ctx;
	struct world *w = m->world;
	uint64_t content[3]; /* value, term, proposer's id */

	INVARIANT(index < VALUES_MAX && command.len == sizeof(content),
	    "a change of this schedule");
	memcpy(content, command.data, sizeof(content));
	m->values[index] = content[0];
	m->applied = index;
	if (w->values[index] != 0 && w->values[index] != content[0])
		w->result->lost++;
	w->values[index] = content[0];
	if (content[1] != term || content[2] != m->disk.id ||
	    w->acknowledged[index])
		return;
	w->acknowledged[index] = true;
	w->last_ack_step = w->step;
	w->result->acknowledged++;
	if (members_quorum(m->replica) < w->losses + 1)
		w->result->small_quorum++;
	w->acknowledged_by = m;
}

static void
on_save(void *ctx, struct str_buf *out)
{
	const struct machine *m = ctx;

	str_buf_append(
	    out, str_of((const char *)&m->applied, sizeof(m->applied)));
	str_buf_append(out,
	    str_of((const char *)m->values,
		(m->applied + 1) * sizeof(*m->values)));
}

static enum status
on_load(void *ctx, uint64_t index ATTR_UNUSED, struct str data)
{
	struct machine *m = ctx;

	memcpy(&m->applied, data.data, sizeof(m->applied));
	memcpy(m->values, data.data + sizeof(m->applied),
	    data.len - sizeof(m->applied));
	return STATUS_OK;
}

/*
 * Opens the replica of a machine.  False if its disk has failed meanwhile.
 */
static bool
open_replica(struct machine *m)
{
	struct world *w = m->world;
	const struct replica_callbacks callbacks = {.ctx = m,
	    .send = on_send,
	    .apply = on_apply,
	    .snapshot_save = on_save,
	    .snapshot_load = on_load};
	struct replica_config config = {.id = m->disk.id,
	    .election_timeout_us = GROUP_ELECTION_MS * US_PER_MS,
	    .heartbeat_us = GROUP_HEARTBEAT_MS * US_PER_MS,
	    .lease_us = GROUP_LEASE_MS * US_PER_MS,
	    .snapshot_entries = w->snapshot_entries,
	    .append_max_bytes = 4096,
	    .forms_by_majority = w->plant != DISK_PLANT_FORMS_WITH_ALL,
	    .seed = random_next(&w->random)};
	struct replica_storage storage;
	enum status status = storage_folder_open_with(
	    "/data", m->disk.id, &m->disk.fs->calls, &storage);

	if (status == STATUS_OK && m->disk.number != 0)
		storage.disk = m->disk.number;
	if (status == STATUS_OK)
		status = replica_open(&config, &storage, &callbacks, w->first,
		    m->bootstrap ? w->first_count : 0, machine_local_us(m),
		    &m->replica);
	INVARIANT(status == STATUS_OK || m->disk.fs->fault_triggered,
	    "the replica opens");
	if (status != STATUS_OK)
		m->replica = NULL;
	return status == STATUS_OK;
}

/*
 * Starts the process of a machine on the disk that it has.
 */
void
machine_start(struct machine *m)
{
	struct world *w = m->world;

	if (m->disk.fs == NULL)
		m->disk.fs = fs_new(random_next(&w->random));
	if (m->disk.id == 0)
		m->disk.id = GROUP_DRAWN_ID | ++w->next_id;
	m->clock_offset_us = random_below(&w->random, 100 * US_PER_S);
	m->keeper = (struct group_keeper){0};
	m->info = (struct replica_info){0};
	m->applied = 0;
	memset(m->values, 0, sizeof(m->values));
	if (w->first_start != NULL && !w->killed &&
	    m->number == w->first_start->victim) {
		m->disk.fs->fault =
		    w->first_start->after ? FS_KILL_AFTER : FS_KILL_BEFORE;
		m->disk.fs->fault_at = w->first_start->call;
	}
	if (!open_replica(m)) {
		machine_set_dead(m);
		return;
	}
	replica_describe(m->replica, &m->info);
	if (group_never_took_part(
		&m->info, m->disk.id, m->bootstrap ? w->first_count : 0)) {
		replica_close(m->replica);
		fs_free(m->disk.fs);
		m->disk = (struct disk){0};
		machine_start(m);
		return;
	}
	m->thaw_step = 0;
	machine_set_back(m, w->step);
	world_trace(w, "machine %u starts replica %llu", m->number,
	    (unsigned long long)m->disk.id);
}

/*
 * Kills the process of a machine, with a loss of power.
 */
void
machine_stop(struct machine *m, uint64_t down_steps)
{
	if (m->replica != NULL) {
		replica_close(m->replica);
		m->replica = NULL;
		fs_crash(m->disk.fs);
	}
	m->start_step = m->world->step + 1 + down_steps;
}

/*
 * The process of a first start has been killed at a call to its disk.
 */
void
machine_set_dead(struct machine *m)
{
	struct world *w = m->world;
	const struct first_start *s = w->first_start;

	world_trace(w, "machine %u is killed at call %llu", m->number,
	    (unsigned long long)s->call);
	w->killed = true;
	w->formed = m->info.member_count > 0;
	replica_close(m->replica);
	m->replica = NULL;
	if (s->power)
		fs_crash(m->disk.fs);
	else
		fs_kill(m->disk.fs);
	m->start_step = w->step + 1 + random_below(&w->random, 200);
	switch (s->fate) {
	case START_NO_BOOTSTRAP:
		m->bootstrap = false;
		break;
	case START_LOST_DISK:
		fs_free(m->disk.fs);
		m->disk = (struct disk){0};
		m->bootstrap = false;
		break;
	case START_AWAY:
		m->start_step = UINT64_MAX;
		break;
	case START_SAME_DISK:
	case START_EARLIER_TRY:
	case START_FATES:
		break;
	}
}

static void
drop_disk(struct machine *m)
{
	struct disk old = m->disk;

	if (old.fs != NULL)
		fs_free(old.fs);
	m->disk = (struct disk){0};
	m->bootstrap = false;
	if (m->world->plant != DISK_PLANT_VOTE_OF_LOST_DISK || old.fs == NULL)
		return;
	m->disk.id = old.id;
	m->disk.number = old.number;
}

void
machine_lose_disk(struct machine *m)
{
	struct world *w = m->world;

	if (w->plant == DISK_PLANT_VOTE_OF_LOST_DISK && m->replica != NULL)
		m->disk.number = m->replica->storage.disk;
	world_trace(w, "machine %u loses its disk", m->number);
	machine_stop(m, random_below(&w->random, 60));
	drop_disk(m);
	w->result->disks_lost++;
}

/*
 * Joins under a new id after a removal.
 */
static void
rejoin(struct machine *m)
{
	world_trace(m->world, "machine %u was removed", m->number);
	replica_close(m->replica);
	m->replica = NULL;
	fs_free(m->disk.fs);
	m->disk = (struct disk){0};
	m->bootstrap = false;
	machine_start(m);
}

static void
handle_message(struct machine *m, const struct envelope *e)
{
	struct world *w = m->world;
	uint64_t now_us = machine_local_us(m);

	switch (e->kind) {
	case MESSAGE_REPLICA:
		switch (group_judge_message(&m->info,
		    replica_has_lease(m->replica, now_us), m->disk.id,
		    e->from_id, e->to_id)) {
		case GROUP_TAKE:
			group_keeper_on_message(&m->keeper, e->from_id, now_us);
			(void)replica_receive(m->replica, e->from_id,
			    str_of(e->data, e->len), now_us);
			return;
		case GROUP_TELL_REMOVED:
			world_send(w,
			    (struct envelope){.kind = MESSAGE_REMOVED,
				.from = m->number,
				.to = e->from,
				.to_id = e->from_id},
			    str_of("", 0));
			return;
		case GROUP_DENY:
			world_send(w,
			    (struct envelope){.kind = MESSAGE_DENIED,
				.from = m->number,
				.to = e->from,
				.to_id = e->to_id},
			    str_of("", 0));
			return;
		}
		return;
	case MESSAGE_JOIN:
		group_keeper_on_join(&m->keeper, e->from_id,
		    w->machines[e->from].address, now_us);
		return;
	case MESSAGE_REMOVED:
		if (e->to_id == m->disk.id && m->info.member_count > 0)
			rejoin(m);
		return;
	case MESSAGE_DENIED:
		group_keeper_on_denied(&m->keeper, e->to_id, now_us);
		return;
	}
}

/*
 * Delivers the messages of this step in random order.
 */
void
world_deliver(struct world *w)
{
	struct bucket now = w->buckets[w->step % BUCKETS];

	w->buckets[w->step % BUCKETS] = (struct bucket){0};
	while (now.count > 0) {
		size_t pick = random_below(&w->random, now.count);
		struct envelope e = now.list[pick];
		struct machine *to = &w->machines[e.to];

		now.list[pick] = now.list[--now.count];
		if (machine_is_running(to))
			handle_message(to, &e);
		else if (to->replica != NULL) /* frozen: it waits */
			enqueue(w, e, str_of(e.data, e.len), 1);
		mem_free(e.data);
	}
	mem_free(now.list);
}
