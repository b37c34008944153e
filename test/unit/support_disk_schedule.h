/*
 * Seeded schedules of machines that lose their disks one after the other, with
 * restarts, cuts, freezes, addresses taken by other processes and late
 * messages between the losses.  The machines run the replica and the keeper of
 * its group on a virtual clock; never more are lost at a time than the group
 * has to bear.
 */
#ifndef SUPPORT_DISK_SCHEDULE_H
#define SUPPORT_DISK_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

/* A fault that the schedules have to find. */
enum disk_plant {
	DISK_PLANT_NONE,
	DISK_PLANT_KEEP_OLD_VOTER, /* a lost voter is never removed */
	DISK_PLANT_REMOVE_FIRST, /* before its successor has caught up */
	DISK_PLANT_VOTE_OF_LOST_DISK, /* its id goes on with an empty disk */
	DISK_PLANT_FORMS_WITH_ALL, /* first start: a majority isn't enough */
	DISK_PLANTS
};

struct disk_result {
	uint64_t schedules;
	uint64_t broken; /* schedules with a violation */
	/* Violations. */
	uint64_t lost; /* acknowledged changes that are gone or replaced */
	uint64_t two_leaders; /* of one term */
	uint64_t small_quorum; /* acknowledged by too few disks */
	uint64_t
	    late; /* CATCH_UP after all were back, the group is not whole */
	uint64_t stuck; /* no change is accepted in the end */
	/* Events. */
	uint64_t acknowledged;
	uint64_t disks_lost;
	uint64_t lost_after_ack; /* of them, the leader's right after it */
	uint64_t restarts_of_all;
	uint64_t kills;
	uint64_t cuts;
	uint64_t freezes;
	uint64_t takeovers; /* of an address by another process for a while */
	uint64_t changes_of_members;
	uint64_t elections;
	uint64_t whole_count; /* times that the group became whole again */
	uint64_t whole_seconds[5]; /* after the last machine was back; 4 up */
	uint64_t whole_ms; /* sum */
};

/* Runs one schedule and adds to result; trace prints each event. */
void disk_schedule_run(uint64_t seed, enum disk_plant plant, bool trace,
    struct disk_result *result) ATTR_NONNULL_ALL;
/* What becomes of a seed that is killed at its first start. */
enum start_fate {
	START_SAME_DISK, /* back with its disk and bootstrap */
	START_NO_BOOTSTRAP, /* back with its disk, bootstrap set to false */
	START_LOST_DISK, /* back without */
	START_AWAY, /* never back */
	START_EARLIER_TRY, /* only it keeps its disk; all start anew */
	START_FATES
};

/* A first start, of which one seed is killed. */
struct first_start {
	uint64_t seed; /* of the order and the delays */
	unsigned victim; /* number of the seed */
	bool after; /* the call has its effect */
	uint64_t call; /* to the disk, at which it is killed; from 1 */
	enum start_fate fate;
	bool power; /* what isn't synced is lost, too */
};

/*
 * Runs a first start and adds to result; false once the call would come after
 * the group has formed.
 */
bool first_start_run(const struct first_start *start, enum disk_plant plant,
    bool trace, struct disk_result *result) ATTR_NONNULL_ALL;
/* Runs count schedules from seed on in several threads. */
void
disk_schedule_run_many(uint64_t seed, uint64_t count, enum disk_plant plant,
    unsigned threads, struct disk_result *result) ATTR_NONNULL_ALL;
void disk_schedule_print(const struct disk_result *result) ATTR_NONNULL_ALL;

#endif
