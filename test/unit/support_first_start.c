#include <string.h>

#include "base/memory.h"
#include "replica/replica_defs.h"
#include "support_disk_world.h"

/*
 * All start anew after an earlier try, of which one seed has kept its disk.
 * Returns whether it hadn't formed a group: else more disks are lost than any
 * group bears.
 */
static bool
start_all_anew(struct world *w)
{
	bool unformed = true;

	for (unsigned i = 0; i < w->first_count; i++) {
		struct machine *m = &w->machines[i];

		if (m->replica != NULL) {
			unformed = unformed &&
			    (i != w->first_start->victim ||
				m->info.bootstrapping);
			replica_close(m->replica);
			m->replica = NULL;
			fs_kill(m->disk.fs);
		}
		m->start_step =
		    w->step + 1 + random_below(&w->random, APART_STEPS);
		m->bootstrap = true;
		if (i == w->first_start->victim)
			continue;
		if (m->disk.fs != NULL)
			fs_free(m->disk.fs);
		m->disk.fs = NULL;
	}
	memset(w->values, 0, sizeof(w->values));
	memset(w->acknowledged, 0, sizeof(w->acknowledged));
	memset(w->leaders, 0, sizeof(w->leaders));
	return unformed;
}

/*
 * Checks that one group has formed, of a majority at least.
 */
static void
check_first_start(struct world *w)
{
	world_check_end(w);
	if (w->first_start->fate != START_AWAY && !world_is_whole(w)) {
		world_trace(w, "NOT WHOLE");
		w->result->late++;
	}
}

bool
first_start_run(const struct first_start *first_start, enum disk_plant plant,
    bool trace_events, struct disk_result *result)
{
	struct world *w = mem_calloc(1, sizeof(*w));
	uint64_t before = disk_violations(result);
	uint64_t apart, tries;
	bool unformed = true;
	bool unfinished;

	w->plant = plant;
	w->trace = trace_events;
	w->result = result;
	w->first_start = first_start;
	world_init(w, first_start->seed);
	w->lossy = false;
	apart = random_below(&w->random, 2) == 0 ? 30 : APART_STEPS;
	for (unsigned i = 0; i < w->machine_count; i++)
		w->machines[i].start_step = random_below(&w->random, apart);
	if (first_start->fate == START_EARLIER_TRY) {
		/* How far the earlier try has come is drawn. */
		tries = 1 + random_below(&w->random, APART_STEPS);
		w->killed = true;
		for (uint64_t i = 0; i < tries; i++)
			world_run_step(w, false);
		unformed = start_all_anew(w);
		apart = APART_STEPS;
	}
	for (unsigned i = 0; unformed && i < apart + START_STEPS; i++)
		world_run_step(w, false);
	if (unformed)
		check_first_start(w);
	unfinished = w->killed && !w->formed;
	result->schedules += unformed ? 1 : 0;
	result->broken += disk_violations(result) > before ? 1 : 0;
	world_free(w);
	return unfinished;
}
