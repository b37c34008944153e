#include "support_disk_schedule.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"
#include "support_disk_world.h"

static void
restart_all(struct world *w)
{
	world_trace(w, "all restart");
	for (unsigned i = 0; i < w->machine_count; i++) {
		if (w->machines[i].replica != NULL)
			machine_stop(
			    &w->machines[i], random_below(&w->random, 100));
	}
	w->result->restarts_of_all++;
}

/*
 * Another process with an empty disk takes a machine's address for a while.
 */
static void
take_address(struct machine *m)
{
	struct world *w = m->world;

	if (m->own_step != 0)
		return;
	world_trace(w, "machine %u loses its address", m->number);
	machine_stop(m, 5);
	m->own = m->disk;
	m->disk = (struct disk){0};
	m->own_step = w->step + 20 + random_below(&w->random, 300);
	w->result->takeovers++;
}

/*
 * Cuts a machine off, in one direction or both.
 */
static void
cut_off(struct machine *m)
{
	struct world *w = m->world;
	uint64_t ways = random_below(&w->random, 3);

	if (w->cut_step != 0)
		return;
	world_trace(w, "machine %u is cut off", m->number);
	for (unsigned i = 0; i < w->machine_count; i++) {
		w->cut[m->number][i] = ways != 1;
		w->cut[i][m->number] = ways != 2;
	}
	w->cut_machine = m->number;
	w->cut_step = w->step + 5 + random_below(&w->random, 400);
	m->whole_step = UINT64_MAX;
	w->result->cuts++;
}

static void
end_cut(struct world *w)
{
	if (w->cut_step == 0 || w->step < w->cut_step)
		return;
	memset(w->cut, 0, sizeof(w->cut));
	w->cut_step = 0;
	machine_set_back(&w->machines[w->cut_machine], w->step);
}

/*
 * Starts one event, as long as not too many machines are lost.
 */
static void
start_event(struct world *w)
{
	struct machine *m =
	    &w->machines[random_below(&w->random, w->machine_count)];

	if (random_below(&w->random, 8) == 0 &&
	    (!w->lossy || world_is_whole(w))) {
		restart_all(w);
		return;
	}
	if (machine_is_lost(m) || world_count_lost(w) >= w->losses ||
	    (w->lossy && !world_is_whole(w)))
		return;
	switch (random_below(&w->random, 9)) {
	case 0:
	case 1:
	case 2:
	case 3:
		w->loss_armed = true;
		return;
	case 4:
		machine_lose_disk(m);
		return;
	case 5:
		world_trace(w, "machine %u is killed", m->number);
		machine_stop(m, random_below(&w->random, 500));
		w->result->kills++;
		return;
	case 6:
		cut_off(m);
		return;
	case 7:
		m->thaw_step = w->step + 5 + random_below(&w->random, 400);
		machine_set_back(m, m->thaw_step);
		w->result->freezes++;
		world_trace(w, "machine %u freezes", m->number);
		return;
	default:
		take_address(m);
		return;
	}
}

/*
 * The leader that has just acknowledged a change loses its disk, if that was
 * asked for and may be.
 */
static void
lose_disk_after_ack(struct world *w)
{
	struct machine *m = w->acknowledged_by;

	w->acknowledged_by = NULL;
	if (!w->loss_armed || m == NULL || machine_is_lost(m) ||
	    world_count_lost(w) >= w->losses || m->own_step != 0 ||
	    (w->lossy && !world_is_whole(w)))
		return;
	w->loss_armed = false;
	w->result->lost_after_ack++;
	machine_lose_disk(m);
}

/*
 * Returns whether all machines run and are connected.
 */
static bool
all_are_back(const struct world *w)
{
	for (unsigned i = 0; i < w->machine_count; i++) {
		if (!machine_is_running(&w->machines[i]))
			return false;
	}
	return w->cut_step == 0;
}

/*
 * Checks that the group is whole as soon as no machine is lost any more, and
 * records how long that took.
 */
static void
check_whole(struct world *w)
{
	bool whole = world_is_whole(w);
	uint64_t steps = w->step - w->changed_step;
	if (whole && !w->whole && all_are_back(w) &&
	    w->step >= w->changed_step && !w->lossy) {
		w->result->whole_count++;
		w->result->whole_ms += steps * STEP_US / US_PER_MS;
		w->result->whole_seconds[steps * STEP_US / US_PER_S < 4
			? steps * STEP_US / US_PER_S
			: 4]++;
	}
	w->whole = whole;
	if (world_count_lost(w) > 0 || whole || w->lossy) {
		w->late = false;
		return;
	}
	if (!w->late) {
		world_trace(w, "NOT WHOLE");
		w->result->late++;
	}
	w->late = true;
}

void
world_run_step(struct world *w, bool events)
{
	w->step++;
	end_cut(w);
	world_deliver(w);
	world_propose(w);
	for (unsigned i = 0; i < w->machine_count; i++)
		machine_tick(&w->machines[i]);
	check_whole(w);
	if (events && random_below(&w->random, w->event_steps) == 0)
		start_event(w);
	if (events)
		lose_disk_after_ack(w);
}

/*
 * Checks, long after the last event, that all that was acknowledged is there,
 * and that changes are accepted.
 */
void
world_check_end(struct world *w)
{
	const struct machine *leader = world_leader(w);

	if (leader == NULL || w->last_ack_step + 100 < w->step) {
		world_trace(w, "STUCK");
		w->result->stuck++;
		return;
	}
	for (unsigned i = 0; i < VALUES_MAX; i++) {
		if (w->acknowledged[i] && leader->values[i] != w->values[i])
			w->result->lost++;
	}
}

void
world_init(struct world *w, uint64_t seed)
{
	random_seed(&w->random, seed);
	w->losses = 1 + (unsigned)random_below(&w->random, LOSSES_MAX);
	w->machine_count =
	    2 * w->losses + 1 + (unsigned)random_below(&w->random, 2);
	w->lossy = random_below(&w->random, 3) == 0;
	w->snapshot_entries = 8 + random_below(&w->random, 200);
	w->event_steps = 40 + random_below(&w->random, 200);
	w->first_count = 2 * w->losses + 1;
	for (unsigned i = 0; i < w->machine_count; i++) {
		struct machine *m = &w->machines[i];

		m->world = w;
		m->number = i;
		m->start_step = random_below(&w->random, 30);
		snprintf(m->address, sizeof(m->address), "m%u", i);
		if (i >= w->first_count)
			continue;
		m->disk.id = ++w->next_id;
		m->bootstrap = true;
		w->first[i] =
		    (struct replica_member){.id = m->disk.id, .voter = true};
		memcpy(w->first[i].address, m->address, sizeof(m->address));
	}
}

void
world_free(struct world *w)
{
	for (unsigned i = 0; i < w->machine_count; i++) {
		struct machine *m = &w->machines[i];

		replica_close(m->replica);
		if (m->disk.fs != NULL)
			fs_free(m->disk.fs);
		if (m->own.fs != NULL)
			fs_free(m->own.fs);
	}
	for (unsigned i = 0; i < BUCKETS; i++) {
		for (size_t j = 0; j < w->buckets[i].count; j++)
			mem_free(w->buckets[i].list[j].data);
		mem_free(w->buckets[i].list);
	}
	mem_free(w);
}

uint64_t
disk_violations(const struct disk_result *result)
{
	return result->lost + result->two_leaders + result->small_quorum +
	    result->late + result->stuck;
}

void
disk_schedule_run(uint64_t seed, enum disk_plant plant, bool trace_events,
    struct disk_result *result)
{
	struct world *w = mem_calloc(1, sizeof(*w));
	uint64_t before = disk_violations(result);

	w->plant = plant;
	w->trace = trace_events;
	w->result = result;
	world_init(w, seed);
	for (unsigned i = 0; i < EVENT_STEPS; i++)
		world_run_step(w, true);
	for (unsigned i = 0; i < FINAL_STEPS; i++)
		world_run_step(w, false);
	world_check_end(w);
	result->schedules++;
	result->broken += disk_violations(result) > before ? 1 : 0;
	world_free(w);
}

struct worker {
	uint64_t seed;
	uint64_t count;
	enum disk_plant plant;
	_Atomic uint64_t *next;
	struct disk_result result;
	pthread_t thread;
};

static void *
work(void *arg)
{
	struct worker *worker = arg;
	uint64_t i;

	while ((i = atomic_fetch_add(worker->next, 1)) < worker->count) {
		uint64_t broken = worker->result.broken;

		disk_schedule_run(
		    worker->seed + i, worker->plant, false, &worker->result);
		if (worker->result.broken > broken &&
		    worker->plant == DISK_PLANT_NONE)
			printf("broken: seed %llu\n",
			    (unsigned long long)(worker->seed + i));
	}
	return NULL;
}

void
disk_schedule_run_many(uint64_t seed, uint64_t count, enum disk_plant plant,
    unsigned threads, struct disk_result *result)
{
	enum {
		COUNTERS = sizeof(struct disk_result) / sizeof(uint64_t)
	};
	struct worker *workers = mem_calloc(threads, sizeof(*workers));
	_Atomic uint64_t next = 0;

	for (unsigned i = 0; i < threads; i++) {
		workers[i] = (struct worker){.seed = seed,
		    .count = count,
		    .plant = plant,
		    .next = &next};
		INVARIANT(pthread_create(
			      &workers[i].thread, NULL, work, &workers[i]) == 0,
		    "pthread_create failed");
	}
	for (unsigned i = 0; i < threads; i++) {
		pthread_join(workers[i].thread, NULL);
		for (unsigned j = 0; j < COUNTERS; j++)
			((uint64_t *)result)[j] +=
			    ((uint64_t *)&workers[i].result)[j];
	}
	mem_free(workers);
}

void
disk_schedule_print(const struct disk_result *result)
{
	static const char *const names[] = {"schedules", "BROKEN", "LOST",
	    "TWO LEADERS OF A TERM", "SMALL QUORUM", "NOT WHOLE IN TIME",
	    "STUCK", "changes acknowledged", "disks lost",
	    "of them after an ack", "restarts of all", "kills", "cuts",
	    "freezes", "addresses taken", "changes of members", "elections",
	    "whole again", "of them within 1 s", "2 s", "3 s", "4 s", "later",
	    "sum of ms until whole"};

	for (unsigned row = 0; row < sizeof(names) / sizeof(*names); row++)
		printf("%-24s%14llu\n", names[row],
		    (unsigned long long)((const uint64_t *)result)[row]);
}
