/*
 * Which entries may schedule for others, and so are told to all: in a large
 * fleet those with the most processor time, and a fixed sample of the rest in
 * case that these are lost together.  Control and entries decide alike.
 */
#ifndef ROSTER_CANDIDATE_H
#define ROSTER_CANDIDATE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CANDIDATE_FLEET_MIN = 64, /* in a smaller fleet all may */
	CANDIDATE_SAMPLE_ONE_IN = 16 /* one of so many */
};

/*
 * Returns whether an entry may schedule; address_hash is of its datagram
 * address, entries counts the fleet, millis are thousandths of a core.
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
