/*
 * A replay in virtual time of a service that is split into parts of uneven
 * size, with a placement for each part and entries that know the parts' loads
 * from the answers to their own requests.
 */
#ifndef SUPPORT_PART_LOAD_H
#define SUPPORT_PART_LOAD_H

#include <stdint.h>

enum part_policy {
	PART_POLICY_ONE, /* one placement over all targets */
	PART_POLICY_ROTATION, /* the same number of requests to each part */
	PART_POLICY_CHOICE, /* without moves */
	PART_POLICY_MOVES /* as the entry does it */
};

struct part_load {
	double load; /* arrivals, as a part of what all slots complete */
	double slowness; /* of the targets of part 1 */
	unsigned lost_slots; /* of part 1, occupied by calls that never end */
	unsigned seconds; /* counted, after the first two */
	uint64_t seed;
};

struct part_load_result {
	unsigned requests;
	unsigned rejected;
	unsigned late; /* answered after the objective, or not at all */
	unsigned moved;
	double load_spread; /* mean of the largest load less the smallest */
};

struct part_load_result
part_load_replay(const struct part_load *load, enum part_policy policy);
/* The part of the requests that were rejected or late. */
double part_load_missed(const struct part_load_result *result);

#endif
