/*
 * Selection of the entries that may schedule for others, and are therefore
 * announced to all entries.  In a large fleet these are the entries with the
 * most processor time, plus a fixed sample of the rest in case those are lost
 * together.  Control instances and entries apply the same rule.
 */
#ifndef ROSTER_CANDIDATE_H
#define ROSTER_CANDIDATE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CANDIDATE_FLEET_MIN = 64, /* below this all entries may schedule */
	CANDIDATE_SAMPLE_ONE_IN = 16 /* one of 16, chosen by hash */
};

/*
 * Returns whether an entry may schedule.  address_hash is the hash of its
 * datagram address, processor_millis its processor time in thousandths of a
 * core, entries the size of the fleet.
 */
static inline bool
is_scheduler_candidate(uint64_t address_hash, unsigned processor_millis,
    unsigned entries, unsigned most_processor_millis)
{
	return entries < CANDIDATE_FLEET_MIN ||
	    processor_millis >= most_processor_millis ||
	    address_hash % CANDIDATE_SAMPLE_ONE_IN == 0;
}

#endif
